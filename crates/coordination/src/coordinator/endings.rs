//! Handles the ends of attempts and decides whether their jobs end or are
//! placed again.

use std::time::Duration;

use figrill_state::error::Kind;
use figrill_state::event::Code;
use figrill_state::job::{JobId, Outcome};

use crate::message::{Run, RunOutcome};

use super::attempts::PLACE_RETRY_BACKOFF;
use super::health::HealthChange;
use super::job_state::{Allocation, Phase};
use super::{Coordinator, LEAD_LOST_TIMEOUT, UNKNOWN_OUTCOME_TIMEOUT};

impl Coordinator {
    /// Handles the outcome that the lead of an attempt has reported.
    pub(super) fn attempt_ended(
        &mut self,
        now: Duration,
        run: Run,
        outcome: RunOutcome,
    ) {
        let unreported = match self.jobs.get(&run.job).map(|s| &s.phase) {
            Some(Phase::Unreported { dispatched, .. }) => {
                dispatched.attempt == run.attempt
            }
            _ => false,
        };
        if !self.is_current(run) && !unreported {
            self.stale_attempt_ended(run);
            return;
        }
        let Some(state) = self.jobs.get(&run.job) else {
            return;
        };
        let allocation = state.allocation().cloned();
        if let Some(allocation) = &allocation {
            self.guarantees.release_claim(allocation.run);
        }
        match outcome {
            RunOutcome::Failed {
                kind: Kind::OutcomeLost,
                ..
            } if unreported => {
                let outcome = Outcome::Unknown(Kind::OutcomeLost);
                self.end(now, run.job, outcome, None);
            }
            RunOutcome::Done(answer) => {
                self.record_run_time(now, run.job);
                self.record_success(allocation.as_ref());
                self.end(now, run.job, Outcome::Done(answer), Some(run));
            }
            RunOutcome::Failed {
                kind,
                reason,
                failed_worker,
            } => {
                self.send_ack(run);
                self.attempt_failed(now, run.job, kind, reason, failed_worker);
            }
            RunOutcome::NotStarted(kind) => {
                self.send_ack(run);
                self.attempt_not_started(now, run.job, kind);
            }
            RunOutcome::Stopped(kind, checkpoints) => {
                self.send_ack(run);
                self.attempt_stopped(now, run.job, kind, checkpoints);
            }
        }
    }

    /// Handles the outcome of an attempt that is no longer current. It is
    /// acknowledged and discarded, unless it is the outcome that the job ended
    /// with: only the current attempt may decide the outcome of a job. Does
    /// nothing if the job is unknown.
    pub(super) fn stale_attempt_ended(&mut self, run: Run) {
        let known = self.jobs.get(&run.job);
        if known.is_some() {
            let ended = known.and_then(|s| match &s.phase {
                Phase::Saving { run, .. } | Phase::Ended { run, .. } => *run,
                _ => None,
            });
            if ended != Some(run) {
                let detail = format!("attempt={}", run.attempt);
                self.record_event(Code::StaleAnswer, run.job, &detail);
                self.send_ack(run);
            }
        }
    }

    /// Records a success of all workers of an attempt.
    pub(super) fn record_success(&mut self, allocation: Option<&Allocation>) {
        let Some(allocation) = allocation else { return };
        for member in &allocation.members {
            self.health.record_success(&member.worker);
        }
    }

    /// Records the time since the placement of a completed attempt, to
    /// estimate the run times of its kind of work.
    pub(super) fn record_run_time(&mut self, now: Duration, job: JobId) {
        let Some(state) = self.jobs.get(&job) else {
            return;
        };
        let Some(allocation) = state.allocation() else {
            return;
        };
        let time = now.saturating_sub(allocation.placed_at);
        self.run_times.record(state.work_kind, time);
    }

    /// Handles a failed attempt of which some part may have run. The job is
    /// placed again if it is repeatable and has attempts left.
    pub(super) fn attempt_failed(
        &mut self,
        now: Duration,
        job: JobId,
        kind: Kind,
        reason: String,
        failed_worker: Option<String>,
    ) {
        if let Some(worker) = failed_worker {
            self.record_failure(now, job, &worker);
        }
        let Some(state) = self.jobs.get_mut(&job) else {
            return;
        };
        state.failures += 1;
        let header = &state.header;
        let policy = self.tree.policy(&header.workspace, &header.service);
        let attempts = policy.map_or(1, |p| p.attempts);
        let retry = state.header.repeatable
            && state.job.is_some()
            && state.cancelled.is_none();
        if !retry {
            let kind = state.cancelled.unwrap_or(kind);
            self.end(now, job, Outcome::Failed(kind, reason), None);
        } else if state.failures >= attempts {
            let kind = Kind::TooManyAttempts;
            self.end(now, job, Outcome::Failed(kind, reason), None);
        } else {
            self.requeue(now, job, Duration::ZERO);
        }
    }

    /// Records that a part of a job failed on a worker. The job avoids the
    /// worker from then on, unless that would exclude all connected workers.
    pub(super) fn record_failure(
        &mut self,
        now: Duration,
        job: JobId,
        worker: &str,
    ) {
        let workers = self.connected.len();
        if let Some(state) = self.jobs.get_mut(&job)
            && state.excluded_workers.len() + 1 < workers
        {
            state.excluded_workers.insert(worker.to_owned());
        }
        let change = self.health.record_failure(now, worker, job, workers);
        if change == HealthChange::Quarantined {
            self.record_worker_event(Code::WorkerQuarantined, worker);
        }
    }

    /// Handles an attempt of which no part has started. The job is placed
    /// again, unless it was cancelled or this coordinator does not have its
    /// inputs.
    pub(super) fn attempt_not_started(
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
            self.requeue(now, job, PLACE_RETRY_BACKOFF);
        } else {
            self.end_waiting(now, job, kind);
        }
    }

    /// Handles an attempt that was stopped on request. Its checkpoints are
    /// kept for the next attempt, if there may be one.
    pub(super) fn attempt_stopped(
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
        let retry = state.cancelled.is_none()
            && state.header.repeatable
            && state.job.is_some();
        if retry {
            self.requeue(now, job, Duration::ZERO);
        } else {
            let kind = state.cancelled.unwrap_or(kind);
            let reason = "stopped on request".to_owned();
            self.end(now, job, Outcome::Failed(kind, reason), None);
        }
    }

    /// Puts a job back into the queue, to be placed after `wait` at the
    /// earliest.
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
        let wake_at = self.wake_at.map_or(now + wait, |at| at.min(now + wait));
        self.wake_at = Some(wake_at);
        self.record_event(Code::JobRequeued, job, "");
        self.enqueue(job);
    }

    /// Treats an attempt as lost once its lead's worker has been disconnected
    /// since `since` for too long.
    pub(super) fn tick_disconnected_lead(
        &mut self,
        now: Duration,
        allocation: &Allocation,
        since: Duration,
    ) {
        let job = allocation.run.job;
        let Some(state) = self.jobs.get(&job) else {
            return;
        };
        let repeatable = state.header.repeatable;
        let limit = if repeatable {
            LEAD_LOST_TIMEOUT
        } else {
            UNKNOWN_OUTCOME_TIMEOUT
        };
        if now >= since + limit {
            self.attempt_lost(now, allocation);
        }
    }

    /// Handles an attempt whose outcome can't be learned, because its lead is
    /// out of reach or has restarted.
    pub(super) fn attempt_lost(
        &mut self,
        now: Duration,
        allocation: &Allocation,
    ) {
        let job = allocation.run.job;
        // The other members may still run their parts. Their allocations are
        // removed when their agents report the end of these parts; only the
        // lead's own is removed here.
        self.guarantees.release_claim(allocation.run);
        self.leads.remove(&allocation.run);
        if let Some(lead) = allocation.lead()
            && let Some(i) = self.cell.index(&lead.worker)
        {
            self.cell.deallocate(i, allocation.run);
        }
        let Some(state) = self.jobs.get(&job) else {
            return;
        };
        if state.header.repeatable {
            let reason = "the lead's worker was lost".to_owned();
            self.attempt_failed(now, job, Kind::WorkerLost, reason, None);
        } else {
            let outcome = Outcome::Unknown(Kind::OutcomeLost);
            self.end(now, job, outcome, None);
        }
    }
}
