//! What the ends of runs say about the health of workers.

use std::time::Duration;

use figrill_state::{
    batch::TaskId,
    event::{Code, NewEvent},
};

use super::{
    Action, Now, Scheduler,
    health::{self, Evidence, Failure, TrialState},
    job::{FailedRun, Job, Phase, Run},
    worker::{RunResult, Worker},
};

/// The maximum time that a start takes from its order to the upstream.
const MAX_START_LATENCY: Duration = Duration::from_millis(500);

/// The maximum number of failed runs that are kept of a task. Tasks of
/// persistent steps fail any number of times.
const MAX_FAILED_RUNS: usize = 8;

impl Scheduler {
    /// Returns the number of workers that get no work, or at most a probe,
    /// because they fail the runs that they start.
    #[must_use]
    pub fn suspect_workers(&self) -> usize {
        self.health.suspect_workers()
    }

    /// Returns the result of a run that failed.
    pub(super) fn failure_of(
        &mut self,
        now: Now,
        id: TaskId,
        run: &Run,
    ) -> RunResult {
        let is_weak = run.is_adopted || run.has_progressed();
        if !self.features.worker_health || is_weak {
            return RunResult::Failed;
        }
        let running_for = running_for(now, self.workers.get(&run.agent), run);
        let elapsed = running_for.unwrap_or_else(|| {
            // Nothing has shown it before its end.
            let ordered_at = run.ordered_at.unwrap_or(run.placed_at);
            let since_order = now.monotonic.saturating_sub(ordered_at);
            since_order.saturating_sub(MAX_START_LATENCY)
        });
        let expected = self.expected_duration(id);
        if health::is_early(elapsed, expected) {
            RunResult::FailedEarly
        } else {
            RunResult::Failed
        }
    }

    /// Returns the expected duration of a run of a task.
    fn expected_duration(&mut self, id: TaskId) -> Duration {
        let Some(job) = self.jobs.get(&id.job) else {
            return Duration::ZERO;
        };
        let queue = job.batch.queue.clone();
        let estimate = estimated_duration(job, id);
        estimate.max(self.typical_duration(&queue))
    }

    /// Records that a run succeeded on a worker.
    pub(super) fn record_success(
        &mut self,
        now: Now,
        id: TaskId,
        agent: &str,
    ) {
        if !self.features.worker_health {
            if let Some(worker) = self.workers.get_mut(agent) {
                let result = RunResult::Succeeded;
                worker.record_result(now.monotonic, id.job, result);
            }
            return;
        }
        if let Some(job) = self.jobs.get(&id.job) {
            let queue = &job.batch.queue;
            self.health.record_success(now.monotonic, agent, queue, id);
        }
    }

    /// Records that a run failed or got stuck on a worker. The task then
    /// avoids the worker, which may become suspect.
    pub(super) fn record_evidence(
        &mut self,
        now: Now,
        id: TaskId,
        agent: &str,
        result: RunResult,
    ) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        if job.batch.cancelled {
            return;
        }
        let evidence = match result {
            RunResult::FailedEarly | RunResult::Stuck => Evidence::Strong,
            RunResult::Failed | RunResult::Succeeded => Evidence::Weak,
        };
        let failure = Failure {
            agent,
            job: id.job,
            queue: &job.batch.queue,
            evidence,
            job_progresses: job.has_progressed,
        };
        let suspicion = self.health.record_failure(now.monotonic, &failure);
        let is_workers_fault =
            evidence == Evidence::Strong || self.health.is_suspect(agent);
        let failed_runs = job.failed_runs.entry(id).or_default();
        if failed_runs.len() == MAX_FAILED_RUNS {
            failed_runs.remove(0);
        }
        failed_runs.push(FailedRun {
            agent: agent.to_owned(),
            at: now.monotonic,
            is_workers_fault,
        });
        if let Some(suspicion) = suspicion {
            let detail = format!(
                "agent={agent} task={id} how={result:?} evidence={:?} \
                 score={:.1} backoff_ms={}",
                suspicion.evidence,
                suspicion.score,
                suspicion.backoff.as_millis()
            );
            self.record_event(Code::WorkerQuarantined, id.job, &detail);
            self.update_suspicion_scope(now);
            if !self.health.is_ignored() {
                self.withdraw_placements(agent);
            }
        }
    }

    /// Releases the placements on a worker whose starts are not ordered yet.
    fn withdraw_placements(&mut self, agent: &str) {
        let Some(worker) = self.workers.get(agent) else {
            return;
        };
        let placed: Vec<TaskId> = worker.allocations.keys().copied().collect();
        for id in placed {
            if self.was_ordered(id) {
                continue;
            }
            self.request_stop(id, "its worker is suspect");
            self.request_gang_stop(id, "the worker of a member is suspect");
        }
    }

    /// Decides whether so many workers are suspect that this is ignored.
    fn update_suspicion_scope(&mut self, now: Now) {
        let usable = self.workers.iter().filter(|(_, w)| {
            let upstream = w.upstream.as_ref();
            w.is_reachable(now.monotonic)
                && upstream.is_some_and(|u| !u.draining)
                && !self.is_in_drained_domain(w)
        });
        let agents: Vec<String> =
            usable.map(|(agent, _)| agent.clone()).collect();
        if let Some(suspect) = self.health.update_scope(&agents) {
            let event = NewEvent::new(
                Code::SuspicionIgnored,
                format!("suspect={suspect}"),
            );
            self.actions.push(Action::RecordEvent(event));
        }
    }

    /// Advances the backoffs and trials of suspect workers.
    pub(super) fn update_health(&mut self, now: Now) {
        if !self.features.worker_health {
            return;
        }
        let (jobs, workers) = (&self.jobs, &self.workers);
        let state = |task: TaskId, number: u32| {
            let job = jobs.get(&task.job)?;
            let run = job.runs.get(&task).filter(|r| r.number == number)?;
            let worker = workers.get(&run.agent);
            Some(trial_state(now, job, worker, task, run))
        };
        let recovered = self.health.advance(now.monotonic, state);
        self.update_suspicion_scope(now);
        for agent in recovered {
            let detail = format!("agent={agent}");
            let event = NewEvent::new(Code::WorkerRestored, detail);
            self.actions.push(Action::RecordEvent(event));
            self.pending_work.plan = true;
        }
    }
}

fn estimated_duration(job: &Job, id: TaskId) -> Duration {
    let estimate_ms = job.batch.step(id).map_or(0, |s| s.estimate_ms);
    Duration::from_millis(estimate_ms)
}

/// Returns for how long a run is known to have been running, by the clock of
/// its upstream.
fn running_for(
    now: Now,
    worker: Option<&Worker>,
    run: &Run,
) -> Option<Duration> {
    let Phase::Running { first_seen_ms } = run.phase else {
        return None;
    };
    let clock_ms = worker?.clock_now(now.monotonic)?;
    Some(Duration::from_millis(
        clock_ms.saturating_sub(first_seen_ms),
    ))
}

fn trial_state(
    now: Now,
    job: &Job,
    worker: Option<&Worker>,
    id: TaskId,
    run: &Run,
) -> TrialState {
    let running_for = running_for(now, worker, run);
    TrialState {
        running_for: running_for.filter(|_| run.stopping.is_none()),
        has_progressed: run.has_progressed(),
        expected: estimated_duration(job, id),
    }
}
