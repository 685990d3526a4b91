//! Passes the progress of runs to
//! [`LearntSpeeds`](super::speed::LearntSpeeds), and computes the speed that a
//! group of tasks demands of its workers.

use std::time::Duration;

use figrill_state::{
    batch::{Step, TaskId},
    event::{Code, NewEvent},
};

use super::{
    Action, Now, Scheduler,
    job::Job,
    place::{Band, SpeedDemand},
    speed::{Observation, SpeedChange, Work},
    task_group::TaskGroup,
};

/// The time from the placement of tasks until they run: a commit and the
/// messages to the agents.
const START_LATENCY: Duration = Duration::from_millis(250);

/// The factor by which the slowest of several tasks takes longer than the
/// usual one of its step.
const SLOWEST_TASK_FACTOR: f64 = 1.15;

/// The number of standard deviations by which a worker is assumed to be slower
/// than its mean. Unknown workers then come between known slow and known
/// normal ones.
const CAUTION_SDS: f64 = 0.5;

impl Scheduler {
    /// Records the progress of a run for the speed of its worker.
    pub(super) fn observe_speed(
        &mut self,
        now: Now,
        observation: &Observation<'_>,
    ) {
        if !self.features.worker_speeds {
            self.speeds.observe(now.monotonic, observation);
            return;
        }
        let Some(job) = self.jobs.get(&observation.task.job) else {
            return;
        };
        let run = job.runs.get(&observation.task);
        if run.is_none_or(|r| r.stopping.is_some()) {
            return;
        }
        if !self.learnt_speeds.knows(observation) {
            if let Some(work) = self.work_of(job, observation) {
                self.learnt_speeds.begin(now.monotonic, observation, &work);
            }
            return;
        }
        let change = self.learnt_speeds.observe(now.monotonic, observation);
        if let Some(change) = change {
            self.record_speed(observation.agent, change);
        }
    }

    /// Returns what a run works on; `None` if its rate says nothing of its
    /// worker, because it is away from its data.
    fn work_of<'a>(
        &self,
        job: &'a Job,
        observation: &Observation<'_>,
    ) -> Option<Work<'a>> {
        let task = observation.task;
        let step = job.batch.step(task)?;
        let rack = self.rack_of(observation.agent)?;
        if step.data_rack.as_deref().is_some_and(|data| data != rack) {
            return None;
        }
        let is_spread = step.gang
            && step.same_rack
            && job.runs_of_step(task).any(|(_, run)| {
                let other = self.rack_of(&run.agent);
                other.is_some_and(|other| other != rack)
            });
        let estimate = Duration::from_millis(step.estimate_ms);
        Some(Work {
            queue: &job.batch.queue,
            estimate: (!is_spread).then_some(estimate),
        })
    }

    fn rack_of(&self, agent: &str) -> Option<&str> {
        let upstream = self.workers.get(agent)?.upstream.as_ref()?;
        Some(&upstream.rack)
    }

    fn record_speed(&mut self, agent: &str, change: SpeedChange) {
        let (code, speed) = match change {
            SpeedChange::Learnt(speed) => (Code::WorkerSpeed, speed),
            SpeedChange::Slowed(speed) => (Code::WorkerSlowed, speed),
            SpeedChange::Restored(speed) => (Code::WorkerSpeedRestored, speed),
        };
        let detail = format!(
            "agent={agent} speed={:.2} sd={:.2}",
            speed.ln.exp(),
            speed.sd()
        );
        let event = NewEvent::new(code, detail);
        self.actions.push(Action::RecordEvent(event));
    }

    /// Returns the band of the speed that a worker has at least.
    pub(super) fn speed_band(&self, now: Now, agent: &str) -> Band {
        if !self.features.worker_speeds {
            return Band::default();
        }
        let speed = self.learnt_speeds.speed(now.monotonic, agent);
        Band::of(speed.ln - CAUTION_SDS * speed.sd())
    }

    /// Returns the speed that a group demands, if work is placed by speed.
    pub(super) fn speed_demand(
        &self,
        now: Now,
        group: &TaskGroup,
        job: &Job,
    ) -> Option<SpeedDemand> {
        if !self.features.worker_speeds {
            return None;
        }
        let remaining_ms = path_ms(&job.batch.steps, group.first());
        let ratio = self.learnt_speeds.queue_ratio(&job.batch.queue);
        let work = Duration::from_millis(remaining_ms).as_secs_f64()
            * ratio
            * SLOWEST_TASK_FACTOR;
        let left = group.time_left(now).saturating_sub(START_LATENCY);
        let required = (work / left.as_secs_f64()).ln();
        let spread = required + self.limits.spread_slowdown.ln();
        Some(SpeedDemand {
            urgent: group.priority == 0,
            required: Band::of(required),
            required_if_spread: Band::of(spread),
        })
    }
}

/// Returns the length of the longest chain of steps that begins with the step
/// of `task`, by their estimates, in milliseconds.
fn path_ms(steps: &[Step], task: TaskId) -> u64 {
    let first = task.step as usize;
    let mut ends_ms: Vec<Option<u64>> = vec![None; steps.len()];
    for (i, step) in steps.iter().enumerate().skip(first) {
        let after = step.after.iter();
        let begin = after
            .filter_map(|s| ends_ms.get(*s as usize).copied().flatten())
            .max();
        let begin = if i == first { Some(0) } else { begin };
        ends_ms[i] = begin.map(|ms| ms.saturating_add(step.estimate_ms));
    }
    ends_ms.into_iter().flatten().max().unwrap_or(0)
}
