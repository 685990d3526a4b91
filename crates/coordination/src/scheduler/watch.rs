//! Detection of runs that are lost, are stuck, or cannot end before their
//! worker leaves.

use std::{collections::BTreeMap, time::Duration};

use figrill_state::{batch::TaskId, event::Code};

use super::{
    Now, Scheduler,
    job::{Job, Phase, Run},
    victims::{self, GangKey, gang_key},
    worker::RunResult,
};

/// How much earlier than the upstreams, which give up on a gang after
/// [`Limits::gang_assembly`](figrill_state::limits::Limits::gang_assembly),
/// the scheduler stops the members of one that is incomplete. The stops have
/// to arrive before.
const GANG_STOP_MARGIN: Duration = Duration::from_millis(800);

/// Added to three times the announced remaining time of a draining worker when
/// a run without checkpoints is checked for whether it can still end there.
const DRAIN_GRACE: Duration = Duration::from_secs(2);

/// How long a run may make no progress, in addition to a fifth of its
/// estimate.
const STALL_TIMEOUT: Duration = Duration::from_millis(1700);

/// How often [`STALL_TIMEOUT`] doubles for one task.
const MAX_STALL_DOUBLINGS: u32 = 10;

/// How far a gang is.
#[derive(Clone, Copy)]
struct GangState {
    /// When any of its current runs last made progress.
    progressed_at: Duration,
    /// Whether all its members run.
    is_complete: bool,
    /// The progress of the member that is the farthest, in percent.
    max_percent: u32,
}

impl GangState {
    fn new(job: &Job, id: TaskId) -> Self {
        let mut state = Self {
            progressed_at: Duration::ZERO,
            is_complete: false,
            max_percent: 0,
        };
        let mut running = 0;
        for (_, run) in job.runs_of_step(id) {
            state.progressed_at = state.progressed_at.max(run.progressed_at);
            state.max_percent = state.max_percent.max(run.percent);
            running += u32::from(matches!(run.phase, Phase::Running { .. }));
        }
        let count = job.batch.step(id).map_or(0, |s| s.count);
        state.is_complete = running == count;
        state
    }
}

impl Scheduler {
    /// Releases the runs on workers that were unreachable until all their
    /// grants had expired.
    pub(super) fn release_expired(&mut self, now: Now) {
        let lost: Vec<TaskId> = self
            .workers
            .values()
            .filter(|w| now.monotonic >= w.expires_at)
            .flat_map(|w| w.allocations.keys().copied())
            .filter(|task| {
                self.was_ordered(*task) && self.is_settled(now, *task)
            })
            .collect();
        for task in lost {
            self.release(task, "worker unreachable until its grant expired");
            self.request_gang_stop(task, "a gang member was lost");
        }
    }

    /// Returns whether the start of a task's current run was ordered.
    pub(super) fn was_ordered(&self, id: TaskId) -> bool {
        let run = self.jobs.get(&id.job).and_then(|j| j.runs.get(&id));
        run.is_some_and(|r| !matches!(r.phase, Phase::Committing { .. }))
    }

    /// Requests the stop of gangs that did not assemble in time, of runs that
    /// are stuck, and of runs that would outlast their worker.
    pub(super) fn check_runs(&mut self, now: Now) {
        let gang_start_timeout =
            self.limits.gang_assembly.saturating_sub(GANG_STOP_MARGIN);
        let mut incomplete = Vec::new();
        let mut stalled_runs = Vec::new();
        let mut stranded = Vec::new();
        for job in self.jobs.values() {
            let mut gangs: BTreeMap<GangKey, GangState> = BTreeMap::new();
            for (id, run) in &job.runs {
                if run.stopping.is_some() {
                    continue;
                }
                let Some(step) = job.batch.step(*id) else {
                    continue;
                };
                let late = |limit: Duration| {
                    run.ordered_at.is_some_and(|at| now.monotonic > at + limit)
                };
                let is_running = matches!(run.phase, Phase::Running { .. });
                if is_running && self.outlasts_worker(now, job, *id, run) {
                    stranded.push(*id);
                }
                if step.gang && !is_running && late(gang_start_timeout) {
                    incomplete.push((*id, run.agent.clone()));
                }
                let stalls = job.stalls.get(id).copied().unwrap_or(0);
                let limit = stall_timeout(step.estimate_ms, stalls);
                // Members of a gang end together: one that has done its
                // share makes no more progress until the others have.
                let gang = step.gang.then(|| {
                    let gang = gangs.entry(gang_key(*id));
                    *gang.or_insert_with(|| GangState::new(job, *id))
                });
                let progressed_at =
                    gang.map_or(run.progressed_at, |g| g.progressed_at);
                let stalled = now.monotonic > progressed_at + limit;
                let worker = self.workers.get(&run.agent);
                let reachable =
                    worker.is_some_and(|w| w.is_reachable(now.monotonic));
                let done = job.is_task_done(*id);
                // The members of a gang work only once all of them are there.
                let at_work = is_running && gang.is_none_or(|g| g.is_complete);
                if at_work && stalled && reachable && !step.persistent && !done
                {
                    // Members end together, so the others of a gang that has
                    // come to a halt only wait for those that lag.
                    let is_suspect =
                        gang.is_none_or(|g| run.percent < g.max_percent);
                    stalled_runs.push((*id, run.agent.clone(), is_suspect));
                }
            }
        }
        for id in stranded {
            self.request_stop(id, "its worker leaves before the run can end");
            self.request_gang_stop(id, "the worker of a gang member leaves");
        }
        for (id, agent) in incomplete {
            self.record_failure(now, id, &agent, RunResult::Failed);
            self.request_gang_stop(id, "the gang did not assemble in time");
        }
        for (id, agent, is_suspect) in stalled_runs {
            if is_suspect {
                self.record_failure(now, id, &agent, RunResult::Stuck);
            }
            if let Some(job) = self.jobs.get_mut(&id.job) {
                *job.stalls.entry(id).or_insert(0) += 1;
            }
            self.request_stop(id, "the run makes no progress");
            self.request_gang_stop(id, "a gang member makes no progress");
        }
    }

    /// Returns whether a run's worker is expected to leave before the run
    /// ends. Such a run should continue elsewhere as soon as possible.
    pub(super) fn outlasts_worker(
        &self,
        now: Now,
        job: &Job,
        id: TaskId,
        run: &Run,
    ) -> bool {
        let worker = self.workers.get(&run.agent);
        let Some(remaining) =
            worker.and_then(|w| w.remaining_time(now.monotonic))
        else {
            return false;
        };
        let checkpoints = job.batch.step(id).is_some_and(|s| s.checkpoints);
        // A worker often stays longer than announced, and stopping a run
        // without checkpoints certainly loses its work.
        let expected_stay = if checkpoints {
            remaining
        } else {
            remaining * 3 + DRAIN_GRACE
        };
        victims::remaining_seconds(now, job, id, run)
            > expected_stay.as_secs_f64()
    }

    /// Records that a run failed or got stuck on a worker. The job's tasks
    /// then avoid the worker, and it may be quarantined.
    pub(super) fn record_failure(
        &mut self,
        now: Now,
        id: TaskId,
        agent: &str,
        result: RunResult,
    ) {
        if self.features.worker_health {
            self.record_evidence(now, id, agent, result);
            return;
        }
        if let Some(job) = self.jobs.get_mut(&id.job)
            && !job.excluded_agents.iter().any(|a| a == agent)
        {
            job.excluded_agents.push(agent.to_owned());
        }
        let Some(worker) = self.workers.get_mut(agent) else {
            return;
        };
        if worker.record_result(now.monotonic, id.job, result) {
            let detail = format!("agent={agent} task={id} how={result:?}");
            self.record_event(Code::WorkerQuarantined, id.job, &detail);
        }
    }
}

/// Returns how long a run may make no progress. Progress is reported in
/// percent, and one percent of a long run takes longer, even more so on a
/// slow worker. Nothing else tells a long run without an estimate from one that
/// stands still, so the time doubles with each stop of an earlier run.
fn stall_timeout(estimate_ms: u64, earlier_stalls: u32) -> Duration {
    let timeout = STALL_TIMEOUT + Duration::from_millis(estimate_ms) / 5;
    timeout * 2_u32.pow(earlier_stalls.min(MAX_STALL_DOUBLINGS))
}
