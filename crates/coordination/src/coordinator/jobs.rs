//! Jobs from an entry's submission to their outcome.

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
    AgentRequest, Band, Dispatched, Header, JobReport, JobRequest, Run,
    Standing,
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

/// How long after its start a coordinator may still learn of workers that
/// have been there all along.
const REPORT_GRACE: Duration = Duration::from_secs(4);

/// How long a lead keeps an ending that no entry has acknowledged, as when
/// the entry is gone; the coordinator keeps the outcome for longer.
const ACK_TIMEOUT: Duration = Duration::from_secs(10);

/// Time between two tries to write an outcome to the store.
const SAVE_RETRY_INTERVAL: Duration = Duration::from_secs(2);

impl Coordinator {
    pub(super) fn entry(
        &mut self,
        now: Duration,
        from: u64,
        request: JobRequest,
    ) {
        match request {
            JobRequest::Submit { job, age, tried } => {
                self.submit(now, from, *job, age, tried);
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
        let header = Header {
            workspace: job.workspace.clone(),
            service: job.service.clone(),
            shape: job.shape,
            class: job.class,
            repeatable: job.repeatable,
            recorded: job.record.is_some(),
            band: Band::Unpromised,
        };
        let work_kind = self.learner.kind(
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

    /// Why a new job can't be taken, if so: it has not run, nor will it.
    fn refusal_reason(&self, now: Duration, state: &JobState) -> Option<Kind> {
        let header = &state.header;
        let policy = self.tree.effective(&header.workspace, &header.service);
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

    /// Whether no workers, even empty, could hold a job. Nothing is known of
    /// that until all agents have had time to report. What may not be
    /// repeated must also fit beside all guarantees, or inside its own.
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
        let places = placement::candidates(
            &self.cell,
            shape,
            CapacityView::Empty,
            |_| true,
        );
        let guarantees = Guarantees::new(&self.tree);
        !places.iter().any(|place| {
            let additional: Vec<_> = place.needs(shape).collect();
            guarantees.fit_beside(&self.cell, &additional)
        })
    }

    /// Whether a job fits its workspace's guarantee when all of it is idle.
    fn could_claim(&self, state: &JobState) -> bool {
        let header = &state.header;
        let per_part =
            accelerators_per_part(self.typical_worker(), &header.shape);
        Guarantees::new(&self.tree)
            .find_idle(&header.workspace, &header.shape, per_part)
            .is_some()
    }

    /// Puts a job into the queue by what is known of it now.
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

    /// Whether a caller that may see one workspace may see a job. Of a job
    /// known by its record alone, the entry has checked that.
    fn in_scope(&self, job: JobId, scope: Option<&str>) -> bool {
        let Some(scope) = scope else { return true };
        self.jobs.get(&job).is_none_or(|state| {
            let workspace = &state.header.workspace;
            workspace.is_empty() || workspace == scope
        })
    }

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
            let standing = Standing::Unheard;
            let report = JobReport::Stands { job, standing };
            self.actions.push(Action::ToEntry { to: from, report });
            return;
        };
        self.track_dispatched(now, from, job, dispatched);
    }

    /// Tells an entry how a job stands.
    fn report_to(&mut self, job: JobId, to: u64) {
        let Some(state) = self.jobs.get(&job) else {
            return;
        };
        let report = match state.outcome() {
            Some(outcome) => JobReport::Ended {
                job,
                outcome: outcome.clone(),
            },
            None if state.is_started() => JobReport::Stands {
                job,
                standing: Standing::Running,
            },
            None => JobReport::Stands {
                job,
                standing: Standing::Queued,
            },
        };
        self.actions.push(Action::ToEntry { to, report });
    }

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

    /// Ends whatever a job's attempt has come to; one that was only placed
    /// ends at once, one that may have started ends by its lead's word.
    pub(super) fn end_attempt(
        &mut self,
        now: Duration,
        job: JobId,
        why: Kind,
        window: Duration,
    ) {
        let Some(state) = self.jobs.get(&job) else {
            return;
        };
        match state.phase.clone() {
            Phase::Queued => {
                self.queue.remove(job);
                self.end_waiting(now, job, why);
            }
            Phase::Reclaiming { allocation, .. } => {
                self.deallocate(&allocation);
                self.end_waiting(now, job, why);
            }
            Phase::Holding { allocation, .. } => {
                self.release_holds(&allocation);
                self.end_waiting(now, job, why);
            }
            Phase::Started { allocation, .. } => {
                let term = self.term;
                let run = allocation.run;
                if let Some(lead) = allocation.lead() {
                    let request = AgentRequest::Cancel {
                        term,
                        run,
                        why,
                        window,
                    };
                    let worker = lead.worker.clone();
                    self.send_to_agent(&worker, request);
                }
            }
            // A marked record is settled once the store has answered.
            Phase::Marking(..)
            | Phase::Unreported { .. }
            | Phase::Saving { .. }
            | Phase::Ended { .. } => {}
        }
    }

    /// Gives a job its outcome. What has a record is written there before
    /// the lead forgets its ending.
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
            let outcome_saved = outcome.clone();
            state.phase = Phase::Saving {
                outcome,
                run,
                retry_at,
            };
            self.actions.push(Action::SaveOutcome {
                job,
                outcome: outcome_saved,
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

    pub(super) fn saved(&mut self, now: Duration, job: JobId, ok: bool) {
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

    /// Lets the lead forget an ending once every entry that asked has the
    /// outcome and the record, if any, is written.
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

    /// Only the lead keeps an ending, but which worker led is forgotten by
    /// now if the books were rebuilt; there are few workers in a cell.
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

    pub(super) fn find_claim(&self, state: &JobState) -> Option<Claim> {
        let header = &state.header;
        let per_part =
            accelerators_per_part(self.typical_worker(), &header.shape);
        self.guarantees
            .find_idle(&header.workspace, &header.shape, per_part)
    }

    fn typical_worker(&self) -> Capacity {
        let nodes = self.cell.nodes().iter();
        let known = nodes.map(|n| n.nominal).find(|c| c.accelerators > 0);
        known.unwrap_or_default()
    }

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
                self.saved(now, job, false);
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

    /// Notes that a job's lead was told to forget its ending.
    fn clear_acked_run(&mut self, job: JobId) {
        if let Some(state) = self.jobs.get_mut(&job)
            && let Phase::Ended { run, .. } = &mut state.phase
        {
            *run = None;
        }
    }

    fn tick_queued(&mut self, now: Duration, job: JobId) {
        let Some(state) = self.jobs.get(&job) else {
            return;
        };
        let header = &state.header;
        let policy = self.tree.effective(&header.workspace, &header.service);
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

    /// Ends a job that waits. If an earlier attempt ran, "not run" would
    /// not be true of it.
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
            let why = "no further attempt could start".to_owned();
            self.end(now, job, Outcome::Failed(kind, why), None);
        }
    }

    /// Looks for a job of which only its record is known.
    fn track_dispatched(
        &mut self,
        now: Duration,
        from: u64,
        job: JobId,
        dispatched: Dispatched,
    ) {
        let header = Header {
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
