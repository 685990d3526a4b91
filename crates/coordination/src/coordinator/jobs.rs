//! The life cycle of a job, from its submission by an entry to its outcome.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use figrill_state::{
    error::Kind,
    event::Code,
    job::{Job, JobId, Outcome},
    worker::Capacity,
};

use crate::message::{
    AgentRequest, Band, Dispatched, JobHeader, JobReport, JobRequest,
    JobStatus, Run,
};

use crate::learn::KindId;

use super::{
    Action, Coordinator, UNKNOWN_OUTCOME_TIMEOUT,
    cell::CapacityView,
    guarantee::{Claim, Guarantees, accelerators_per_part},
    job_state::{JobState, Phase},
    placement,
    queue::QueueKey,
};

/// How long after the rebuild window a new coordinator may still learn of
/// workers that were there before it.
const REPORT_GRACE: Duration = Duration::from_secs(4);

/// How long a lead has to keep an outcome that an entry has not acknowledged,
/// for example because the entry has ended. The coordinator itself keeps the
/// outcome for [`super::OUTCOME_RETENTION`], which is longer.
const ACK_TIMEOUT: Duration = Duration::from_secs(10);

/// The interval between two attempts to write an outcome to the store.
const SAVE_RETRY_INTERVAL: Duration = Duration::from_secs(2);

impl Coordinator {
    /// Handles a message from an entry.
    pub(super) fn handle_entry_request(
        &mut self,
        now: Duration,
        from: u64,
        request: JobRequest,
    ) {
        match request {
            JobRequest::Submit {
                job,
                age,
                maybe_started,
            } => {
                self.submit(now, from, *job, age, maybe_started);
            }
            JobRequest::Follow {
                job,
                dispatched,
                scope,
            } => {
                let dispatched = dispatched
                    .filter(|_| self.in_scope(job, scope.as_deref()));
                self.follow(now, from, job, dispatched, scope.as_deref());
            }
            JobRequest::Cancel { job, scope } => {
                if self.in_scope(job, scope.as_deref()) {
                    self.cancel(now, job);
                }
            }
            JobRequest::Ack { job } => {
                if let Some(state) = self.jobs.get_mut(&job) {
                    state.watchers.remove(&from);
                }
                self.acknowledge(job);
            }
        }
    }

    /// Handles a submitted job: queues or refuses a new one, and reports the
    /// status of a known one.
    fn submit(
        &mut self,
        now: Duration,
        from: u64,
        job: Job,
        age: Duration,
        maybe_started: bool,
    ) {
        let id = job.id;
        if let Some(state) = self.jobs.get_mut(&id) {
            state.watchers.insert(from);
            state.header.recorded |= job.record.is_some();
            match &mut state.job {
                Some(known) => known.record = known.record.max(job.record),
                empty => *empty = Some(job),
            }
            self.report_to(id, from);
            return;
        }
        let header = JobHeader {
            workspace: job.workspace.clone(),
            service: job.service.clone(),
            shape: job.shape,
            class: job.class,
            repeatable: job.repeatable,
            recorded: job.record.is_some(),
            band: Band::Unpromised,
        };
        let work_kind = self.run_times.kind(
            &job.workspace,
            &job.service,
            &job.shape,
            job.declared,
        );
        let state = JobState {
            job: Some(job),
            header,
            work_kind,
            submitted_at: now.saturating_sub(age),
            watchers: BTreeSet::from([from]),
            maybe_started,
            failures: 0,
            reclaims: 0,
            excluded_workers: BTreeSet::new(),
            checkpoints: BTreeMap::new(),
            cancelled: None,
            not_before: Duration::ZERO,
            phase: Phase::Queued,
        };
        let refusal_reason = self.refusal_reason(now, &state);
        self.jobs.insert(id, state);
        if let Some(kind) = refusal_reason {
            self.record_event(Code::JobRefused, id, &format!("why={kind}"));
            self.end_not_run(now, id, kind);
            return;
        }
        self.enqueue(id);
        self.record_event(Code::JobQueued, id, "");
        self.report_to(id, from);
    }

    /// Returns why a new job must be refused, or `None` if it can be accepted.
    /// A refused job has not run and never will.
    fn refusal_reason(&self, now: Duration, state: &JobState) -> Option<Kind> {
        let header = &state.header;
        let policy = self.tree.policy(&header.workspace, &header.service);
        let Some(policy) = policy else {
            return Some(Kind::UnknownWorkspace);
        };
        let limit = usize::try_from(policy.queue_limit).unwrap_or(usize::MAX);
        if self.queue.workspace_len(&header.workspace) >= limit {
            return Some(Kind::QueueFull);
        }
        if self.never_fits(now, state) {
            return Some(Kind::NeverFits);
        }
        let job = state.job.as_ref()?;
        let unreachable = !self.can_meet_deadline(now, state)
            || !self.queue_allows_deadline(state, job);
        unreachable.then_some(Kind::DeadlineUnreachable)
    }

    /// Returns whether the job could not be placed even if all workers were
    /// empty. Always `false` until all agents have had time to report, since
    /// the workers are not known before. A job that must not be repeated can't
    /// run on borrowed capacity, so it must also fit beside all guarantees or
    /// inside its workspace's own.
    fn never_fits(&self, now: Duration, state: &JobState) -> bool {
        if now < self.rebuild_until + REPORT_GRACE
            || self.cell.nodes().is_empty()
        {
            return false;
        }
        let shape = &state.header.shape;
        if !placement::fits_when_empty(&self.cell, shape, |_| true) {
            return true;
        }
        if state.header.repeatable || self.could_claim(state) {
            return false;
        }
        let placements = placement::candidates(
            &self.cell,
            shape,
            CapacityView::Empty,
            |_| true,
        );
        let guarantees = Guarantees::new(&self.tree);
        !placements.iter().any(|placement| {
            let additional: Vec<_> = placement.needs(shape).collect();
            guarantees.fit_beside(&self.cell, &additional)
        })
    }

    /// Returns whether a job fits its workspace's guarantee when all of it is
    /// idle.
    fn could_claim(&self, state: &JobState) -> bool {
        let header = &state.header;
        let per_part =
            accelerators_per_part(self.typical_capacity(), &header.shape);
        Guarantees::new(&self.tree)
            .find_idle(&header.workspace, &header.shape, per_part)
            .is_some()
    }

    /// Puts a job into the queue, ordered by what is known of it now.
    pub(super) fn enqueue(&mut self, id: JobId) {
        let Some(state) = self.jobs.get(&id) else {
            return;
        };
        let deadline = state.job.as_ref().and_then(|j| j.deadline);
        let key = QueueKey {
            class: state.header.class,
            lane: self.lane(state),
            deadline: deadline
                .map_or(Duration::MAX, |d| state.submitted_at + d),
            submitted_at: state.submitted_at,
            job: id,
        };
        let workspace = state.header.workspace.clone();
        self.queue.push(&workspace, key);
        self.pass_needed = true;
    }

    /// Returns whether a caller that is limited to the workspace `scope` may
    /// see a job. For a job that is known only by its record, the entry has
    /// already checked this.
    fn in_scope(&self, job: JobId, scope: Option<&str>) -> bool {
        let Some(scope) = scope else { return true };
        self.jobs.get(&job).is_none_or(|state| {
            let workspace = &state.header.workspace;
            workspace.is_empty() || workspace == scope
        })
    }

    /// Sends an entry the status of a job now and whenever it changes. If the
    /// job is only known by its record, looks for the attempt that the record
    /// names.
    fn follow(
        &mut self,
        now: Duration,
        from: u64,
        job: JobId,
        dispatched: Option<Dispatched>,
        scope: Option<&str>,
    ) {
        let in_scope = self.in_scope(job, scope);
        if in_scope && let Some(state) = self.jobs.get_mut(&job) {
            state.watchers.insert(from);
            self.report_to(job, from);
            return;
        }
        let Some(dispatched) = dispatched else {
            let status = JobStatus::Unknown;
            let report = JobReport::Status { job, status };
            self.actions.push(Action::ToEntry { to: from, report });
            return;
        };
        self.track_dispatched(now, from, job, dispatched);
    }

    /// Sends the status or the outcome of a job to an entry.
    fn report_to(&mut self, job: JobId, to: u64) {
        let Some(state) = self.jobs.get(&job) else {
            return;
        };
        let report = match state.outcome() {
            Some(outcome) => JobReport::Ended {
                job,
                outcome: outcome.clone(),
            },
            None if state.is_started() => JobReport::Status {
                job,
                status: JobStatus::Running,
            },
            None => JobReport::Status {
                job,
                status: JobStatus::Queued,
            },
        };
        self.actions.push(Action::ToEntry { to, report });
    }

    /// Sends the state or the outcome of a job to all entries that watch it.
    pub(super) fn notify_watchers(&mut self, job: JobId) {
        let Some(state) = self.jobs.get(&job) else {
            return;
        };
        for to in state.watchers.clone() {
            self.report_to(job, to);
        }
    }

    fn cancel(&mut self, now: Duration, job: JobId) {
        let Some(state) = self.jobs.get_mut(&job) else {
            return;
        };
        if state.outcome().is_some() || state.cancelled.is_some() {
            return;
        }
        state.cancelled = Some(Kind::Cancelled);
        self.record_event(Code::JobCancelled, job, "");
        self.end_attempt(now, job, Kind::Cancelled, Duration::ZERO);
    }

    /// Ends a job's current attempt, whatever its phase. An attempt that has
    /// only been placed ends at once. One that may have started ends when its
    /// lead reports so, and checkpoints may take up to `window`.
    pub(super) fn end_attempt(
        &mut self,
        now: Duration,
        job: JobId,
        reason: Kind,
        window: Duration,
    ) {
        let Some(state) = self.jobs.get(&job) else {
            return;
        };
        match state.phase.clone() {
            Phase::Queued => {
                self.queue.remove(job);
                self.end_waiting(now, job, reason);
            }
            Phase::Reclaiming { allocation, .. } => {
                self.deallocate(&allocation);
                self.end_waiting(now, job, reason);
            }
            Phase::Holding { allocation, .. } => {
                self.release_holds(&allocation);
                self.end_waiting(now, job, reason);
            }
            Phase::Started { allocation, .. } => {
                let term = self.term;
                let run = allocation.run;
                if let Some(lead) = allocation.lead() {
                    let request = AgentRequest::Cancel {
                        term,
                        run,
                        reason,
                        window,
                    };
                    let worker = lead.worker.clone();
                    self.send_to_agent(&worker, request);
                }
            }
            // An attempt whose record is being marked continues or ends when
            // the store answers.
            Phase::Marking(..)
            | Phase::Unreported { .. }
            | Phase::Saving { .. }
            | Phase::Ended { .. } => {}
        }
    }

    /// Ends a job with an outcome. If the job has a record, the outcome is
    /// written there before the lead of `run` may discard it.
    pub(super) fn end(
        &mut self,
        now: Duration,
        job: JobId,
        outcome: Outcome,
        run: Option<Run>,
    ) {
        let detail = format!("outcome={}", outcome.name());
        self.record_event(Code::JobEnded, job, &detail);
        self.queue.remove(job);
        self.active.remove(&job);
        let Some(state) = self.jobs.get_mut(&job) else {
            return;
        };
        if state.header.recorded {
            let retry_at = now + SAVE_RETRY_INTERVAL;
            let outcome_to_save = outcome.clone();
            state.phase = Phase::Saving {
                outcome,
                run,
                retry_at,
            };
            self.actions.push(Action::SaveOutcome {
                job,
                outcome: outcome_to_save,
            });
        } else {
            state.phase = Phase::Ended {
                outcome,
                run,
                at: now,
            };
            self.ended.push_back(job);
        }
        self.notify_watchers(job);
        self.pass_needed = true;
    }

    /// Handles the result of writing a job's outcome to its record. A failed
    /// write is repeated after [`SAVE_RETRY_INTERVAL`].
    pub(super) fn handle_save_result(
        &mut self,
        now: Duration,
        job: JobId,
        ok: bool,
    ) {
        let Some(state) = self.jobs.get_mut(&job) else {
            return;
        };
        let Phase::Saving {
            outcome,
            run,
            retry_at,
        } = &mut state.phase
        else {
            return;
        };
        if !ok {
            *retry_at = now + SAVE_RETRY_INTERVAL;
            return;
        }
        let (outcome, run) = (outcome.clone(), *run);
        state.phase = Phase::Ended {
            outcome,
            run,
            at: now,
        };
        self.ended.push_back(job);
        self.acknowledge(job);
    }

    /// Lets the lead discard the outcome of a job once every entry that asked
    /// for it has it and the record, if there is one, is written.
    pub(super) fn acknowledge(&mut self, job: JobId) {
        let Some(state) = self.jobs.get_mut(&job) else {
            return;
        };
        let Phase::Ended { run, .. } = &mut state.phase else {
            return;
        };
        if !state.watchers.is_empty() {
            return;
        }
        if let Some(run) = run.take() {
            self.send_ack(run);
        }
    }

    /// Acknowledges the outcome of an attempt to its lead, which is the only
    /// agent that keeps it. If the coordinator's state was rebuilt, the lead
    /// may not be known. The message then goes to all connected workers, of
    /// which a cell has few.
    pub(super) fn send_ack(&mut self, run: Run) {
        let lead = self.leads.remove(&run);
        let workers: Vec<String> = match lead {
            Some(worker) => vec![worker],
            None => self.connected.iter().cloned().collect(),
        };
        for worker in workers {
            self.send_to_agent(&worker, AgentRequest::Ack { run });
        }
    }

    /// Returns a claim on the idle guarantee of a job's workspace, if the job
    /// fits there.
    pub(super) fn find_claim(&self, state: &JobState) -> Option<Claim> {
        let header = &state.header;
        let per_part =
            accelerators_per_part(self.typical_capacity(), &header.shape);
        self.guarantees
            .find_idle(&header.workspace, &header.shape, per_part)
    }

    /// Returns the nominal capacity of the first worker with accelerators.
    /// The workers of a cell are assumed to be much alike.
    fn typical_capacity(&self) -> Capacity {
        let nodes = self.cell.nodes().iter();
        let known = nodes.map(|n| n.nominal).find(|c| c.accelerators > 0);
        known.unwrap_or_default()
    }

    /// Checks the time limits of a job in its current phase.
    pub(super) fn tick_job(&mut self, now: Duration, job: JobId) {
        let Some(state) = self.jobs.get(&job) else {
            return;
        };
        match &state.phase {
            Phase::Queued => self.tick_queued(now, job),
            Phase::Saving {
                outcome, retry_at, ..
            } if now >= *retry_at => {
                let outcome = outcome.clone();
                self.actions.push(Action::SaveOutcome { job, outcome });
                self.handle_save_result(now, job, false);
            }
            Phase::Ended {
                run: Some(run), at, ..
            } if now >= *at + ACK_TIMEOUT => {
                let run = *run;
                self.send_ack(run);
                self.clear_acked_run(job);
            }
            Phase::Saving { .. } | Phase::Ended { .. } => {}
            _ => self.tick_attempt(now, job),
        }
    }

    /// Clears the attempt of an ended job once its outcome is acknowledged to
    /// the lead.
    fn clear_acked_run(&mut self, job: JobId) {
        if let Some(state) = self.jobs.get_mut(&job)
            && let Phase::Ended { run, .. } = &mut state.phase
        {
            *run = None;
        }
    }

    /// Ends a queued job that has waited for too long, can no longer meet its
    /// deadline or can no longer be placed.
    fn tick_queued(&mut self, now: Duration, job: JobId) {
        let Some(state) = self.jobs.get(&job) else {
            return;
        };
        let header = &state.header;
        let policy = self.tree.policy(&header.workspace, &header.service);
        let waited = now.saturating_sub(state.submitted_at);
        let limit = policy.map_or(Duration::MAX, |p| p.queue_wait);
        let ran = state.failures > 0 && !state.header.repeatable;
        if waited >= limit && !ran {
            self.end_waiting(now, job, Kind::QueueTimeout);
        } else if !self.can_meet_deadline(now, state) {
            self.end_waiting(now, job, Kind::DeadlineUnreachable);
        } else if self.never_fits(now, state) {
            self.end_waiting(now, job, Kind::NeverFits);
        }
    }

    /// Ends a job that has no attempt in progress, with the reason `kind`. If
    /// an earlier attempt may have run, the outcome must not say that the job
    /// did not run.
    pub(super) fn end_waiting(
        &mut self,
        now: Duration,
        job: JobId,
        kind: Kind,
    ) {
        let Some(state) = self.jobs.get(&job) else {
            return;
        };
        if state.failures == 0 && state.reclaims == 0 {
            self.end_not_run(now, job, kind);
        } else {
            let reason = "no further attempt could start".to_owned();
            self.end(now, job, Outcome::Failed(kind, reason), None);
        }
    }

    /// Adds a job of which only the record is known, and asks the lead that
    /// the record names for the outcome if it is connected.
    fn track_dispatched(
        &mut self,
        now: Duration,
        from: u64,
        job: JobId,
        dispatched: Dispatched,
    ) {
        let header = JobHeader {
            workspace: String::new(),
            service: String::new(),
            shape: figrill_state::job::Shape {
                parts: 1,
                accelerators: 0,
                memory_mib: 0,
                adjacency: figrill_state::job::Adjacency::None,
            },
            class: figrill_state::job::Class::Normal,
            repeatable: false,
            recorded: true,
            band: Band::Unpromised,
        };
        let deadline = now + UNKNOWN_OUTCOME_TIMEOUT;
        let state = JobState {
            job: None,
            header,
            work_kind: KindId::default(),
            submitted_at: now,
            watchers: BTreeSet::from([from]),
            maybe_started: true,
            failures: 0,
            reclaims: 0,
            excluded_workers: BTreeSet::new(),
            checkpoints: BTreeMap::new(),
            cancelled: None,
            not_before: Duration::ZERO,
            phase: Phase::Unreported {
                dispatched,
                deadline,
            },
        };
        self.jobs.insert(job, state);
        self.report_to(job, from);
        self.tick_attempt(now, job);
    }
}
