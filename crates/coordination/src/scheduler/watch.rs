//! Runs that are lost, stand still, or cannot end where they are.

use std::time::Duration;

use figrill_state::{batch::TaskId, event::Code};

use super::{
    Now, Scheduler,
    job::{Job, Phase, Run},
    reclaim,
    worker::Verdict,
};

/// How long the members of a gang may take to be seen. The upstreams give
/// up on a gang after three seconds at the least.
const GANG_SEEN: Duration = Duration::from_millis(2200);

/// How much longer than it said a leaving worker may stay.
const HOPED_STAY: Duration = Duration::from_secs(2);

/// How long a run may show no progress, besides a share of its estimate.
const STANDSTILL: Duration = Duration::from_millis(1700);

impl Scheduler {
    /// Releases what ran on workers that were not heard of for so long that
    /// it must be over.
    pub(super) fn settle_unheard(&mut self, now: Now) {
        let lost: Vec<TaskId> = self
            .workers
            .values()
            .filter(|w| now.steady >= w.over_at)
            .flat_map(|w| w.occupied.keys().copied())
            .filter(|task| self.was_ordered(*task))
            .collect();
        for task in lost {
            self.release(task, "not heard of until it must be over");
            self.stop_gang_of(task, "a member was lost");
        }
    }

    pub(super) fn was_ordered(&self, id: TaskId) -> bool {
        let run = self.jobs.get(&id.job).and_then(|j| j.runs.get(&id));
        run.is_some_and(|r| !matches!(r.phase, Phase::Committing { .. }))
    }

    /// Stops gangs that did not come together and runs that stand still.
    pub(super) fn watch_runs(&mut self, now: Now) {
        let mut apart = Vec::new();
        let mut stuck = Vec::new();
        let mut leaving = Vec::new();
        for job in self.jobs.values() {
            for (id, run) in &job.runs {
                if run.stopping.is_some() {
                    continue;
                }
                let Some(step) = job.batch.step(*id) else {
                    continue;
                };
                let late = |limit: Duration| {
                    run.ordered.is_some_and(|at| now.steady > at + limit)
                };
                let seen = matches!(run.phase, Phase::Running { .. });
                if seen && self.ends_too_late(now, job, *id, run) {
                    leaving.push(*id);
                }
                if step.gang && !seen && late(GANG_SEEN) {
                    apart.push(*id);
                }
                let limit = standstill_limit(step.estimate_ms);
                // Members of a gang end together: one that has done its
                // share stands still until the others have.
                let moved = if step.gang {
                    job.gang_moved(*id)
                } else {
                    run.moved
                };
                let still = now.steady > moved + limit;
                let worker = self.workers.get(&run.agent);
                let heard = worker.is_some_and(|w| w.is_heard(now.steady));
                let done = job.task(*id).is_some_and(|t| t.done);
                if seen && still && heard && !step.persistent && !done {
                    stuck.push((*id, run.agent.clone()));
                }
            }
        }
        for id in leaving {
            self.stop(id, "its worker leaves before it can end");
            self.stop_gang_of(id, "a member's worker leaves");
        }
        for id in apart {
            self.stop_gang_of(id, "the gang did not come together");
        }
        for (id, agent) in stuck {
            self.record_failure(now, id, &agent, Verdict::Stuck);
            self.stop(id, "it stands still");
            self.stop_gang_of(id, "a member stands still");
        }
    }

    /// Whether a run's worker leaves before the run is expected to end: then
    /// the sooner it goes on elsewhere, the better.
    pub(super) fn ends_too_late(
        &self,
        now: Now,
        job: &Job,
        id: TaskId,
        run: &Run,
    ) -> bool {
        let worker = self.workers.get(&run.agent);
        let Some(left) = worker.and_then(|w| w.left(now.steady)) else {
            return false;
        };
        let keeps = job.batch.step(id).is_some_and(|s| s.checkpoints);
        // A worker often stays longer than it said, and what cannot be
        // saved is lost for certain by a stop.
        let hope = if keeps { left } else { left * 3 + HOPED_STAY };
        reclaim::time_left(now, job, id, run) > hope.as_secs_f64()
    }

    /// Takes note that a run went wrong on a worker.
    pub(super) fn record_failure(
        &mut self,
        now: Now,
        id: TaskId,
        agent: &str,
        how: Verdict,
    ) {
        if let Some(job) = self.jobs.get_mut(&id.job)
            && !job.avoid.iter().any(|a| a == agent)
        {
            job.avoid.push(agent.to_owned());
        }
        let Some(worker) = self.workers.get_mut(agent) else {
            return;
        };
        if worker.judge(now.steady, id.job, how) {
            let detail = format!("agent={agent} task={id} how={how:?}");
            self.note(Code::WorkerQuarantined, id.job, &detail);
        }
    }
}

/// How long a run may show no progress: a hundredth of its work takes
/// longer the longer it is, on a slow worker more so.
fn standstill_limit(estimate_ms: u64) -> Duration {
    STANDSTILL + Duration::from_millis(estimate_ms) / 5
}
