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
    AgentRequest, Band, Dispatched, Header, JobReport, JobRequest, JobStatus,
    Run,
};

use crate::learn::KindId;

use super::{
    Action, Coordinator, UNKNOWN_AFTER,
    cell::View,
    guarantee::{Claim, Guarantees, accelerators_each},
    job_state::{JobState, Phase},
    placement,
    queue::Rank,
};

/// How long after its start a coordinator may still learn of workers that
/// have been there all along.
const SETTLE: Duration = Duration::from_secs(4);

/// How long a lead keeps an ending that no entry has acknowledged, as when
/// the entry is gone; the coordinator keeps the outcome for longer.
const ACK_AFTER: Duration = Duration::from_secs(10);

/// Time between two tries to write an outcome to the store.
const SAVE_AGAIN: Duration = Duration::from_secs(2);

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
        tried: bool,
    ) {
        let id = job.id;
        if let Some(state) = self.jobs.get_mut(&id) {
            state.watchers.insert(from);
            state.header.recorded |= job.record.is_some();
            match &mut state.job {
                Some(known) => known.record = known.record.max(job.record),
                empty => *empty = Some(job),
            }
            self.tell(id, from);
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
        let kind = self.learner.kind(
            &job.workspace,
            &job.service,
            &job.shape,
            job.declared,
        );
        let state = JobState {
            job: Some(job),
            header,
            kind,
            submitted: now.saturating_sub(age),
            watchers: BTreeSet::from([from]),
            tried,
            failures: 0,
            reclaims: 0,
            excluded: BTreeSet::new(),
            checkpoints: BTreeMap::new(),
            cancelled: None,
            not_before: Duration::ZERO,
            phase: Phase::Queued,
        };
        let refusal = self.refusal(now, &state);
        self.jobs.insert(id, state);
        if let Some(kind) = refusal {
            self.note(Code::JobRefused, id, &format!("why={kind}"));
            self.end_not_run(now, id, kind);
            return;
        }
        self.enqueue(id);
        self.note(Code::JobQueued, id, "");
        self.tell(id, from);
    }

    /// Why a new job can't be taken, if so: it has not run, nor will it.
    fn refusal(&self, now: Duration, state: &JobState) -> Option<Kind> {
        let header = &state.header;
        let policy = self.tree.effective(&header.workspace, &header.service);
        let Some(policy) = policy else {
            return Some(Kind::UnknownWorkspace);
        };
        let limit = usize::try_from(policy.queue_limit).unwrap_or(usize::MAX);
        if self.queue.len_of(&header.workspace) >= limit {
            return Some(Kind::QueueFull);
        }
        if self.never_fits(now, state) {
            return Some(Kind::NeverFits);
        }
        let job = state.job.as_ref()?;
        let late = !self.can_meet_deadline(now, state)
            || !self.queue_lets_finish(state, job);
        late.then_some(Kind::DeadlineUnreachable)
    }

    /// Whether no workers, even empty, could hold a job. Nothing is known of
    /// that until all agents have had time to report. What may not be
    /// repeated must also fit beside all guarantees, or inside its own.
    fn never_fits(&self, now: Duration, state: &JobState) -> bool {
        if now < self.rebuild_until + SETTLE || self.cell.nodes().is_empty() {
            return false;
        }
        let shape = &state.header.shape;
        if !placement::fits_empty(&self.cell, shape, |_| true) {
            return true;
        }
        if state.header.repeatable || self.could_claim(state) {
            return false;
        }
        let places =
            placement::candidates(&self.cell, shape, View::Empty, |_| true);
        let guarantees = Guarantees::new(&self.tree);
        !places.iter().any(|place| {
            let more: Vec<_> = place.needs(shape).collect();
            guarantees.leave_room(&self.cell, &more)
        })
    }

    /// Whether a job fits its workspace's guarantee when all of it is idle.
    fn could_claim(&self, state: &JobState) -> bool {
        let header = &state.header;
        let each = accelerators_each(self.typical_worker(), &header.shape);
        Guarantees::new(&self.tree)
            .find(&header.workspace, &header.shape, each)
            .is_some()
    }

    /// Puts a job into the queue by what is known of it now.
    pub(super) fn enqueue(&mut self, id: JobId) {
        let Some(state) = self.jobs.get(&id) else {
            return;
        };
        let deadline = state.job.as_ref().and_then(|j| j.deadline);
        let rank = Rank {
            class: state.header.class,
            lane: self.lane(state),
            deadline: deadline.map_or(Duration::MAX, |d| state.submitted + d),
            submitted: state.submitted,
            job: id,
        };
        let workspace = state.header.workspace.clone();
        self.queue.push(&workspace, rank);
        self.changed = true;
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
            self.tell(job, from);
            return;
        }
        let Some(dispatched) = dispatched else {
            let status = JobStatus::Unknown;
            let report = JobReport::Status { job, status };
            self.out.push(Action::ToEntry { to: from, report });
            return;
        };
        self.seek(now, from, job, dispatched);
    }

    /// Tells an entry how a job stands.
    fn tell(&mut self, job: JobId, to: u64) {
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
        self.out.push(Action::ToEntry { to, report });
    }

    pub(super) fn tell_watchers(&mut self, job: JobId) {
        let Some(state) = self.jobs.get(&job) else {
            return;
        };
        for to in state.watchers.clone() {
            self.tell(job, to);
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
        self.note(Code::JobCancelled, job, "");
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
            Phase::Reclaiming { booking, .. } => {
                self.unbook(&booking);
                self.end_waiting(now, job, why);
            }
            Phase::Holding { booking, .. } => {
                self.release(&booking);
                self.end_waiting(now, job, why);
            }
            Phase::Started { booking, .. } => {
                let term = self.term;
                let run = booking.run;
                if let Some(lead) = booking.lead() {
                    let request = AgentRequest::Cancel {
                        term,
                        run,
                        why,
                        window,
                    };
                    let worker = lead.worker.clone();
                    self.tell_agent(&worker, request);
                }
            }
            // A marked record is settled once the store has answered.
            Phase::Marking(..)
            | Phase::Sought { .. }
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
        self.note(Code::JobEnded, job, &detail);
        self.queue.remove(job);
        self.active.remove(&job);
        let Some(state) = self.jobs.get_mut(&job) else {
            return;
        };
        if state.header.recorded {
            let again = now + SAVE_AGAIN;
            let outcome_saved = outcome.clone();
            state.phase = Phase::Saving {
                outcome,
                run,
                again,
            };
            self.out.push(Action::Save {
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
        self.tell_watchers(job);
        self.changed = true;
    }

    pub(super) fn saved(&mut self, now: Duration, job: JobId, ok: bool) {
        let Some(state) = self.jobs.get_mut(&job) else {
            return;
        };
        let Phase::Saving {
            outcome,
            run,
            again,
        } = &mut state.phase
        else {
            return;
        };
        if !ok {
            *again = now + SAVE_AGAIN;
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
            self.ack_everywhere(run);
        }
    }

    /// Only the lead keeps an ending, but which worker led is forgotten by
    /// now if the books were rebuilt; there are few workers in a cell.
    pub(super) fn ack_everywhere(&mut self, run: Run) {
        let lead = self.leads.remove(&run);
        let workers: Vec<String> = match lead {
            Some(worker) => vec![worker],
            None => self.connected.iter().cloned().collect(),
        };
        for worker in workers {
            self.tell_agent(&worker, AgentRequest::Ack { run });
        }
    }

    pub(super) fn claim_of(&self, state: &JobState) -> Option<Claim> {
        let header = &state.header;
        let each = accelerators_each(self.typical_worker(), &header.shape);
        self.guarantees.find(&header.workspace, &header.shape, each)
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
            Phase::Saving { outcome, again, .. } if now >= *again => {
                let outcome = outcome.clone();
                self.out.push(Action::Save { job, outcome });
                self.saved(now, job, false);
            }
            Phase::Ended {
                run: Some(run), at, ..
            } if now >= *at + ACK_AFTER => {
                let run = *run;
                self.ack_everywhere(run);
                self.forget_run(job);
            }
            Phase::Saving { .. } | Phase::Ended { .. } => {}
            _ => self.tick_attempt(now, job),
        }
    }

    /// Notes that a job's lead was told to forget its ending.
    fn forget_run(&mut self, job: JobId) {
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
        let waited = now.saturating_sub(state.submitted);
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
    fn seek(
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
        let until = now + UNKNOWN_AFTER;
        let state = JobState {
            job: None,
            header,
            kind: KindId::default(),
            submitted: now,
            watchers: BTreeSet::from([from]),
            tried: true,
            failures: 0,
            reclaims: 0,
            excluded: BTreeSet::new(),
            checkpoints: BTreeMap::new(),
            cancelled: None,
            not_before: Duration::ZERO,
            phase: Phase::Sought { dispatched, until },
        };
        self.jobs.insert(job, state);
        self.tell(job, from);
        self.tick_attempt(now, job);
    }
}
