//! How attempts end, and what follows for their jobs.

use std::time::Duration;

use figrill_state::error::Kind;
use figrill_state::event::Code;
use figrill_state::job::{JobId, Outcome};

use crate::message::{Run, RunOutcome};

use super::attempts::PLACE_AGAIN;
use super::health::Change;
use super::job_state::{Booking, Phase};
use super::{Coordinator, LEAD_LOST_AFTER, UNKNOWN_AFTER};

impl Coordinator {
    /// Takes the lead's word on how an attempt ended.
    pub(super) fn ended_at_lead(
        &mut self,
        now: Duration,
        run: Run,
        outcome: RunOutcome,
    ) {
        let sought = match self.jobs.get(&run.job).map(|s| &s.phase) {
            Some(Phase::Sought { dispatched, .. }) => {
                dispatched.attempt == run.attempt
            }
            _ => false,
        };
        if !self.current(run) && !sought {
            self.ended_stale(run);
            return;
        }
        let Some(state) = self.jobs.get(&run.job) else {
            return;
        };
        let booking = state.booking().cloned();
        if let Some(booking) = &booking {
            self.guarantees.release(booking.run);
        }
        match outcome {
            RunOutcome::Failed {
                kind: Kind::OutcomeLost,
                ..
            } if sought => {
                let outcome = Outcome::Unknown(Kind::OutcomeLost);
                self.end(now, run.job, outcome, None);
            }
            RunOutcome::Done(answer) => {
                self.learn(now, run.job);
                self.credit(booking.as_ref());
                self.end(now, run.job, Outcome::Done(answer), Some(run));
            }
            RunOutcome::Failed { kind, why, culprit } => {
                self.ack_everywhere(run);
                self.failed(now, run.job, kind, why, culprit);
            }
            RunOutcome::NotStarted(kind) => {
                self.ack_everywhere(run);
                self.nothing_ran(now, run.job, kind);
            }
            RunOutcome::Stopped(kind, checkpoints) => {
                self.ack_everywhere(run);
                self.stopped(now, run.job, kind, checkpoints);
            }
        }
    }

    /// An attempt that was given up has ended after all. If its job still
    /// waits for an outcome, only a newer attempt may give it one.
    pub(super) fn ended_stale(&mut self, run: Run) {
        let known = self.jobs.get(&run.job);
        if known.is_some() {
            let ended = known.and_then(|s| match &s.phase {
                Phase::Saving { run, .. } | Phase::Ended { run, .. } => *run,
                _ => None,
            });
            if ended != Some(run) {
                let detail = format!("attempt={}", run.attempt);
                self.note(Code::StaleAnswer, run.job, &detail);
                self.ack_everywhere(run);
            }
        }
    }

    pub(super) fn credit(&mut self, booking: Option<&Booking>) {
        let Some(booking) = booking else { return };
        for member in &booking.members {
            self.health.succeeded(&member.worker);
        }
    }

    pub(super) fn learn(&mut self, now: Duration, job: JobId) {
        let Some(state) = self.jobs.get(&job) else {
            return;
        };
        let Some(booking) = state.booking() else {
            return;
        };
        let time = now.saturating_sub(booking.placed);
        self.learner.add(state.kind, time);
    }

    /// Some part ran and the gang failed.
    pub(super) fn failed(
        &mut self,
        now: Duration,
        job: JobId,
        kind: Kind,
        why: String,
        culprit: Option<String>,
    ) {
        if let Some(worker) = culprit {
            self.blame(now, job, &worker);
        }
        let Some(state) = self.jobs.get_mut(&job) else {
            return;
        };
        state.failures += 1;
        let header = &state.header;
        let policy = self.tree.effective(&header.workspace, &header.service);
        let attempts = policy.map_or(1, |p| p.attempts);
        let again = state.header.repeatable
            && state.job.is_some()
            && state.cancelled.is_none();
        if !again {
            let kind = state.cancelled.unwrap_or(kind);
            self.end(now, job, Outcome::Failed(kind, why), None);
        } else if state.failures >= attempts {
            let kind = Kind::TooManyAttempts;
            self.end(now, job, Outcome::Failed(kind, why), None);
        } else {
            self.requeue(now, job, Duration::ZERO);
        }
    }

    pub(super) fn blame(&mut self, now: Duration, job: JobId, worker: &str) {
        let workers = self.connected.len();
        if let Some(state) = self.jobs.get_mut(&job)
            && state.excluded.len() + 1 < workers
        {
            state.excluded.insert(worker.to_owned());
        }
        let change = self.health.failed(now, worker, job, workers);
        if change == Change::Quarantined {
            self.note_worker(Code::WorkerQuarantined, worker);
        }
    }

    pub(super) fn nothing_ran(
        &mut self,
        now: Duration,
        job: JobId,
        kind: Kind,
    ) {
        let Some(state) = self.jobs.get(&job) else {
            return;
        };
        if let Some(kind) = state.cancelled {
            self.end_waiting(now, job, kind);
        } else if state.job.is_some() {
            self.requeue(now, job, PLACE_AGAIN);
        } else {
            self.end_waiting(now, job, kind);
        }
    }

    pub(super) fn stopped(
        &mut self,
        now: Duration,
        job: JobId,
        kind: Kind,
        checkpoints: Vec<Option<Vec<u8>>>,
    ) {
        let Some(state) = self.jobs.get_mut(&job) else {
            return;
        };
        for (rank, checkpoint) in (0..).zip(checkpoints) {
            if let Some(bytes) = checkpoint {
                state.checkpoints.insert(rank, bytes);
            }
        }
        state.reclaims += 1;
        let again = state.cancelled.is_none()
            && state.header.repeatable
            && state.job.is_some();
        if again {
            self.requeue(now, job, Duration::ZERO);
        } else {
            let kind = state.cancelled.unwrap_or(kind);
            let why = "stopped on request".to_owned();
            self.end(now, job, Outcome::Failed(kind, why), None);
        }
    }

    /// Puts a job back into the queue.
    pub(super) fn requeue(
        &mut self,
        now: Duration,
        job: JobId,
        wait: Duration,
    ) {
        let Some(state) = self.jobs.get_mut(&job) else {
            return;
        };
        if let Some(kind) = state.cancelled {
            self.end_waiting(now, job, kind);
            return;
        }
        self.active.remove(&job);
        state.phase = Phase::Queued;
        state.not_before = now + wait;
        let wake = self.wake.map_or(now + wait, |at| at.min(now + wait));
        self.wake = Some(wake);
        self.note(Code::JobRequeued, job, "");
        self.enqueue(job);
    }

    pub(super) fn tick_lost(
        &mut self,
        now: Duration,
        booking: &Booking,
        since: Duration,
    ) {
        let job = booking.run.job;
        let Some(state) = self.jobs.get(&job) else {
            return;
        };
        let repeatable = state.header.repeatable;
        let limit = if repeatable {
            LEAD_LOST_AFTER
        } else {
            UNKNOWN_AFTER
        };
        if now >= since + limit {
            self.lose(now, booking);
        }
    }

    /// The lead's word can't be had, or its incarnation is gone.
    pub(super) fn lose(&mut self, now: Duration, booking: &Booking) {
        let job = booking.run.job;
        // What other members still run is in their agents' reports, and
        // leaves the books as they say; the lead's share goes with it.
        self.guarantees.release(booking.run);
        self.leads.remove(&booking.run);
        if let Some(lead) = booking.lead()
            && let Some(i) = self.cell.index(&lead.worker)
        {
            self.cell.unbook(i, booking.run);
        }
        let Some(state) = self.jobs.get(&job) else {
            return;
        };
        if state.header.repeatable {
            let why = "the lead's worker was lost".to_owned();
            self.failed(now, job, Kind::WorkerLost, why, None);
        } else {
            let outcome = Outcome::Unknown(Kind::OutcomeLost);
            self.end(now, job, outcome, None);
        }
    }
}
