//! The life cycle of an attempt, from its chosen placement to the messages of
//! its members' agents. The outcome that its lead reports is handled in the
//! module `endings`.

use std::collections::BTreeSet;
use std::time::Duration;

use figrill_state::error::Kind;
use figrill_state::event::Code;
use figrill_state::job::{Job, JobId, Outcome};

use crate::message::{
    AgentReport, AgentRequest, Hold, JobReport, JobStatus, Member, Part, Run,
};

use super::cell::WorkerAllocation;
use super::job_state::{Allocation, JobState, Phase, PlacementChoice};
use super::{
    Action, Coordinator, HOLD_TIMEOUT, HOLD_TTL, MarkError,
    UNKNOWN_OUTCOME_TIMEOUT,
};

/// The delay before a job is placed again after an attempt that did not start,
/// for example because its holds were refused.
pub(super) const PLACE_RETRY_BACKOFF: Duration = Duration::from_millis(100);

/// The delay before a job is placed again after the store did not answer the
/// request to mark its record.
const MARK_RETRY_BACKOFF: Duration = Duration::from_secs(1);

impl Coordinator {
    /// Allocates a chosen placement and begins the first of the steps that the
    /// attempt needs before it can start: reclaiming its capacity, marking the
    /// job's record as dispatched, and asking the agents for holds.
    pub(super) fn dispatch(
        &mut self,
        now: Duration,
        job: JobId,
        choice: PlacementChoice,
    ) {
        let attempt = self.next_attempt();
        let run = Run { job, attempt };
        self.queue.remove(job);
        self.active.insert(job);
        if self.reservation.as_ref().is_some_and(|r| r.job == job) {
            self.reservation = None;
        }
        let Some(state) = self.jobs.get_mut(&job) else {
            return;
        };
        state.header.band = choice.band;
        let shape = state.header.shape;
        let mut members = Vec::new();
        let mut rank = 0;
        for (i, parts) in &choice.placement.shares {
            let node = &self.cell.nodes()[*i];
            members.push(Member {
                worker: node.name.clone(),
                incarnation: node.incarnation,
                address: node.address.clone(),
                ranks: (rank..rank + parts).collect(),
            });
            rank += parts;
        }
        for (i, capacity) in choice.placement.needs(&shape) {
            let allocation = WorkerAllocation {
                capacity,
                band: choice.band,
            };
            self.cell.allocate(i, run, allocation);
        }
        if let Some(claim) = choice.claim {
            self.guarantees.claim(run, claim);
        }
        let allocation = Allocation {
            run,
            members,
            band: choice.band,
            placed_at: now,
            backfill_for: choice.backfill_for,
        };
        let detail = format!(
            "attempt={attempt} band={:?} workers={}",
            allocation.band,
            allocation.members.len()
        );
        self.record_event(Code::JobPlaced, job, &detail);
        if choice.victims.is_empty() {
            self.mark_or_hold(now, allocation);
        } else {
            self.start_reclaim(now, allocation, choice.victims);
        }
    }

    /// Requests the stop of the borrowers on allocated capacity. The attempt
    /// goes on once they have ended.
    fn start_reclaim(
        &mut self,
        now: Duration,
        allocation: Allocation,
        victims: BTreeSet<Run>,
    ) {
        let job = allocation.run.job;
        let detail = format!("victims={}", victims.len());
        self.record_event(Code::ReclaimStarted, job, &detail);
        let Some(state) = self.jobs.get(&job) else {
            return;
        };
        let header = &state.header;
        let policy = self.tree.policy(&header.workspace, &header.service);
        let window = policy.map_or(HOLD_TIMEOUT, |p| p.reclaim_window);
        for victim in &victims {
            self.stop_borrower(now, victim.job, window / 2);
        }
        // A borrower that has not ended by then is out of reach. The other
        // half of the window is left for another placement.
        let deadline = now + window / 2 + Duration::from_millis(500);
        self.set_phase(
            job,
            Phase::Reclaiming {
                allocation,
                victims,
                deadline,
            },
        );
        self.proceed_if_reclaimed(now, job);
    }

    /// Requests the stop of a borrower, which may take up to `window` to write
    /// its checkpoints. One that has not started is requeued at once.
    fn stop_borrower(&mut self, now: Duration, job: JobId, window: Duration) {
        if !self.release_unstarted(now, job) {
            self.end_attempt(now, job, Kind::Reclaimed, window);
        }
    }

    /// Marks the job's record as dispatched if it has one, and asks for the
    /// holds otherwise.
    fn mark_or_hold(&mut self, now: Duration, allocation: Allocation) {
        let run = allocation.run;
        if self.draining {
            self.deallocate(&allocation);
            self.requeue(now, run.job, Duration::ZERO);
            return;
        }
        let state = self.jobs.get(&run.job);
        let version = state.and_then(|s| s.job.as_ref()?.record);
        let lead = allocation.lead().cloned();
        if let (Some(version), Some(lead)) = (version, lead) {
            self.set_phase(run.job, Phase::Marking(allocation, version));
            self.actions.push(Action::MarkDispatched {
                run,
                version,
                lead: lead.worker,
                incarnation: lead.incarnation,
            });
            return;
        }
        self.send_holds(now, allocation);
    }

    /// Handles the store's answer to the request to mark a job's record as
    /// dispatched. Only an attempt whose record is marked may start, except
    /// that repeatable work starts even if the store did not answer.
    pub(super) fn handle_mark_result(
        &mut self,
        now: Duration,
        run: Run,
        result: Result<u64, MarkError>,
    ) {
        let Some(state) = self.jobs.get_mut(&run.job) else {
            return;
        };
        let Phase::Marking(allocation, expected_version) = &state.phase else {
            return;
        };
        let expected_version = Some(*expected_version);
        if allocation.run != run {
            return;
        }
        let allocation = allocation.clone();
        let cancelled = state.cancelled;
        match result {
            Ok(version) => {
                if let Some(job) = &mut state.job {
                    job.record = Some(version);
                }
                if let Some(kind) = cancelled {
                    self.deallocate(&allocation);
                    self.end_waiting(now, run.job, kind);
                } else {
                    self.send_holds(now, allocation);
                }
            }
            // Work that may be repeated does not wait for the store.
            Err(MarkError::Unavailable)
                if state.header.repeatable && cancelled.is_none() =>
            {
                self.send_holds(now, allocation);
            }
            Err(MarkError::Unavailable) => {
                self.deallocate(&allocation);
                self.requeue(now, run.job, MARK_RETRY_BACKOFF);
            }
            Err(MarkError::Conflict) => {
                self.deallocate(&allocation);
                self.job_superseded(now, run.job, expected_version);
            }
            Err(MarkError::Ended(outcome)) => {
                self.deallocate(&allocation);
                self.end(now, run.job, outcome, None);
            }
            // The store has marked an earlier attempt late. This coordinator
            // has given that attempt up, and knows that it may place another.
            Err(MarkError::Dispatched(dispatched, version))
                if dispatched.attempt.term() == self.term =>
            {
                self.deallocate(&allocation);
                if let Some(job) = self.job_mut(run.job) {
                    job.record = Some(version);
                }
                self.requeue(now, run.job, PLACE_RETRY_BACKOFF);
            }
            Err(MarkError::Dispatched(dispatched, version)) => {
                self.deallocate(&allocation);
                if let Some(job) = &mut self.job_mut(run.job) {
                    job.record = Some(version);
                }
                let deadline = now + UNKNOWN_OUTCOME_TIMEOUT;
                let phase = Phase::Unreported {
                    dispatched,
                    deadline,
                };
                self.set_phase(run.job, phase);
                self.tick_attempt(now, run.job);
            }
        }
    }

    fn job_mut(&mut self, job: JobId) -> Option<&mut Job> {
        self.jobs.get_mut(&job)?.job.as_mut()
    }

    /// Handles a job that another entry has claimed. If that entry has
    /// submitted it here, the record's new version is already known and the
    /// job is requeued. If not, this copy must not run, and the entries that
    /// asked for the job follow its record instead.
    fn job_superseded(
        &mut self,
        now: Duration,
        job: JobId,
        expected_version: Option<u64>,
    ) {
        let known = self.job_mut(job).and_then(|j| j.record);
        if known > expected_version {
            self.requeue(now, job, Duration::ZERO);
            return;
        }
        self.active.remove(&job);
        let Some(state) = self.jobs.remove(&job) else {
            return;
        };
        for to in state.watchers {
            let status = JobStatus::Unknown;
            let report = JobReport::Status { job, status };
            self.actions.push(Action::ToEntry { to, report });
        }
    }

    /// Returns whether all members can still be asked to hold capacity. An
    /// agent may have left, or been restarted, since it was chosen.
    fn can_hold(&self, allocation: &Allocation) -> bool {
        allocation.members.iter().all(|member| {
            self.cell.node(&member.worker).is_some_and(|node| {
                let share = node.runs().get(&allocation.run);
                node.usable
                    && !self.is_drained(node)
                    && node.incarnation == member.incarnation
                    && share.is_some_and(|s| node.capacity.fits(s.capacity))
            })
        })
    }

    /// Asks all members of a gang to hold capacity. A gang on one worker needs
    /// no further request: its agent starts it together with the hold.
    fn send_holds(&mut self, now: Duration, allocation: Allocation) {
        let run = allocation.run;
        if !self.can_hold(&allocation) {
            self.deallocate(&allocation);
            self.requeue(now, run.job, PLACE_RETRY_BACKOFF);
            return;
        }
        let Some(state) = self.jobs.get(&run.job) else {
            return;
        };
        let Some(job) = &state.job else { return };
        let mut holds: Vec<(String, Hold)> = Vec::new();
        for member in &allocation.members {
            let parts = member.ranks.iter().map(|rank| {
                let i = usize::try_from(*rank).unwrap_or(usize::MAX);
                Part {
                    rank: *rank,
                    input: job.inputs.get(i).cloned().unwrap_or_default(),
                    checkpoint: state.checkpoints.get(rank).cloned(),
                }
            });
            let hold = Hold {
                term: self.term,
                run,
                header: state.header.clone(),
                members: allocation.members.clone(),
                parts: parts.collect(),
                ttl: HOLD_TTL,
            };
            holds.push((member.worker.clone(), hold));
        }
        // All gangs send their holds in the same order, which prevents a
        // deadlock: two gangs never each hold what the other waits for.
        holds.sort_by(|a, b| a.0.cmp(&b.0));
        let pending = holds.iter().map(|(w, _)| w.clone()).collect();
        if let Some(lead) = allocation.lead() {
            self.leads.insert(run, lead.worker.clone());
        }
        for member in &allocation.members {
            let name = member.worker.clone();
            if self.health.record_probe(now, &name) {
                self.record_worker_event(Code::WorkerProbed, &name);
            }
        }
        for (worker, hold) in holds {
            self.send_to_agent(&worker, AgentRequest::Hold(hold));
        }
        let phase = if allocation.is_solo() {
            Phase::Started {
                allocation,
                lost_since: None,
            }
        } else {
            let deadline = now + HOLD_TIMEOUT;
            Phase::Holding {
                allocation,
                pending,
                deadline,
            }
        };
        self.set_phase(run.job, phase);
    }

    /// Handles a message from the agent of a worker.
    pub(super) fn handle_agent_report(
        &mut self,
        now: Duration,
        worker: &str,
        incarnation: u64,
        report: AgentReport,
    ) {
        match report {
            AgentReport::Full {
                term,
                worker,
                grants,
                outcomes,
            } => {
                if term == self.term {
                    self.handle_full_report(now, &worker, grants, outcomes);
                }
            }
            AgentReport::CapacityChanged { worker } => {
                self.cell.update(&worker);
                self.pass_needed = true;
            }
            AgentReport::Leaving { term, worker } => {
                if term == self.term {
                    self.handle_leaving(now, &worker);
                }
            }
            AgentReport::Held { run } => {
                self.handle_hold_accepted(worker, run);
            }
            AgentReport::Refused { run } => {
                self.handle_hold_refused(now, worker, run);
            }
            AgentReport::Fenced { .. } => {}
            AgentReport::Started { run } => {
                if self.is_current(run) {
                    self.notify_watchers(run.job);
                }
            }
            AgentReport::Ended { run, outcome } => {
                self.leads.insert(run, worker.to_owned());
                self.attempt_ended(now, run, outcome);
            }
            AgentReport::Freed { run } => {
                let node = self.cell.node(worker);
                if node.is_some_and(|n| n.incarnation == incarnation) {
                    self.handle_freed(now, worker, run);
                }
            }
        }
    }

    /// Returns whether `run` is the current attempt of its job.
    pub(super) fn is_current(&self, run: Run) -> bool {
        let state = self.jobs.get(&run.job);
        let allocation = state.and_then(JobState::allocation);
        allocation.is_some_and(|a| a.run == run)
    }

    /// Handles the acceptance of a hold. Has the lead start the gang once all
    /// members have accepted.
    fn handle_hold_accepted(&mut self, worker: &str, run: Run) {
        let Some(state) = self.jobs.get_mut(&run.job) else {
            return;
        };
        let Phase::Holding {
            allocation,
            pending,
            ..
        } = &mut state.phase
        else {
            return;
        };
        if allocation.run != run {
            return;
        }
        pending.remove(worker);
        if !pending.is_empty() {
            return;
        }
        let allocation = allocation.clone();
        let term = self.term;
        if let Some(lead) = allocation.lead() {
            let request = AgentRequest::StartGang { term, run };
            let worker = lead.worker.clone();
            self.send_to_agent(&worker, request);
        }
        self.set_phase(
            run.job,
            Phase::Started {
                allocation,
                lost_since: None,
            },
        );
    }

    /// Handles the refusal of a hold. The job is requeued, since a gang starts
    /// as a whole or not at all.
    pub(super) fn handle_hold_refused(
        &mut self,
        now: Duration,
        worker: &str,
        run: Run,
    ) {
        if !self.is_current(run) {
            return;
        }
        let Some(state) = self.jobs.get(&run.job) else {
            return;
        };
        match state.phase.clone() {
            Phase::Holding { allocation, .. } => {
                self.release_holds(&allocation);
                self.requeue(now, run.job, PLACE_RETRY_BACKOFF);
            }
            // A gang on one worker that refused the hold has never started.
            Phase::Started { allocation, .. }
                if allocation.is_solo()
                    && allocation
                        .lead()
                        .is_some_and(|l| l.worker == worker) =>
            {
                self.deallocate(&allocation);
                self.attempt_not_started(now, run.job, Kind::GangAborted);
            }
            _ => {}
        }
    }

    /// Handles the end of a run's parts on a worker, which frees their
    /// capacity for attempts that wait for it to be reclaimed.
    fn handle_freed(&mut self, now: Duration, worker: &str, run: Run) {
        if let Some(i) = self.cell.index(worker) {
            self.cell.deallocate(i, run);
        }
        self.pass_needed = true;
        let waiting: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, s)| matches!(s.phase, Phase::Reclaiming { .. }))
            .map(|(id, _)| *id)
            .collect();
        for job in waiting {
            self.proceed_if_reclaimed(now, job);
        }
    }

    /// Goes on with an attempt once all borrowers on its capacity have ended.
    fn proceed_if_reclaimed(&mut self, now: Duration, job: JobId) {
        let Some(state) = self.jobs.get(&job) else {
            return;
        };
        if !self.is_reclaim_complete(&state.phase) {
            return;
        }
        if let Some(allocation) = state.allocation().cloned() {
            self.mark_or_hold(now, allocation);
        }
    }

    /// Releases the holds of an attempt on all members and removes its
    /// allocations.
    pub(super) fn release_holds(&mut self, allocation: &Allocation) {
        let (term, run) = (self.term, allocation.run);
        for member in &allocation.members {
            let request = AgentRequest::Release { term, run };
            let worker = member.worker.clone();
            self.send_to_agent(&worker, request);
        }
        self.deallocate(allocation);
    }

    /// Removes an attempt's allocations and its claim.
    pub(super) fn deallocate(&mut self, allocation: &Allocation) {
        for member in &allocation.members {
            if let Some(i) = self.cell.index(&member.worker) {
                self.cell.deallocate(i, allocation.run);
            }
        }
        self.guarantees.release_claim(allocation.run);
        self.leads.remove(&allocation.run);
        self.pass_needed = true;
    }

    fn set_phase(&mut self, job: JobId, phase: Phase) {
        if let Some(state) = self.jobs.get_mut(&job) {
            state.phase = phase;
        }
    }

    /// Checks the time limits of a job's current attempt. If no agent has
    /// reported the attempt, asks the lead that the record names.
    pub(super) fn tick_attempt(&mut self, now: Duration, job: JobId) {
        let Some(state) = self.jobs.get(&job) else {
            return;
        };
        match state.phase.clone() {
            Phase::Reclaiming {
                allocation,
                deadline,
                ..
            } if now >= deadline => {
                self.deallocate(&allocation);
                self.requeue(now, job, Duration::ZERO);
            }
            Phase::Holding {
                allocation,
                deadline,
                ..
            } if now >= deadline => {
                self.release_holds(&allocation);
                self.requeue(now, job, PLACE_RETRY_BACKOFF);
            }
            Phase::Started {
                allocation,
                lost_since: Some(since),
            } => {
                self.tick_disconnected_lead(now, &allocation, since);
            }
            Phase::Unreported {
                dispatched,
                deadline,
            } => {
                let node = self.cell.node(&dispatched.lead);
                let other = node
                    .is_some_and(|n| n.incarnation != dispatched.incarnation);
                let same = node
                    .is_some_and(|n| n.incarnation == dispatched.incarnation)
                    && self.connected.contains(&dispatched.lead);
                if same {
                    self.query_lead(job, &dispatched);
                } else if other || now >= deadline {
                    let outcome = Outcome::Unknown(Kind::OutcomeLost);
                    self.end(now, job, outcome, None);
                }
            }
            _ => {}
        }
    }

    /// Asks the lead that a record names to cancel the attempt. The lead is
    /// connected but did not report the attempt when the state was rebuilt. It
    /// either still has the attempt's outcome or refuses to start the attempt
    /// from now on, so its answer decides the outcome of the job in both
    /// cases.
    fn query_lead(
        &mut self,
        job: JobId,
        dispatched: &crate::message::Dispatched,
    ) {
        let request = AgentRequest::Cancel {
            term: self.term,
            run: Run {
                job,
                attempt: dispatched.attempt,
            },
            reason: Kind::OutcomeLost,
            window: Duration::ZERO,
        };
        let lead = dispatched.lead.clone();
        self.send_to_agent(&lead, request);
    }
}
