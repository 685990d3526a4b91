//! The tasks of one step that wait together to be placed.

use std::time::Duration;

use figrill_state::batch::TaskId;

use super::{
    Now,
    avoidance::{self, FailureHistory},
    cost::Demand,
    job::Job,
    victims::cores,
    waits::{WaitLimits, WaitReason},
};

/// The maximum number of tasks in a group that is not a gang. A planning pass
/// places hardly more; the others follow in the next ones.
const MAX_TASKS: usize = 512;

/// The tasks of one step and occurrence that wait to be placed.
#[derive(Clone, Debug)]
pub(super) struct TaskGroup {
    pub(super) tasks: Vec<TaskId>,
    pub(super) gang: bool,
    pub(super) priority: u32,
    /// When the group became ready to be placed.
    pub(super) ready_at: Duration,
    /// When it has to end to meet its deadline, in milliseconds since 1970.
    pub(super) due_ms: u64,
    /// Whether its job is a claim, which means that it fits into its
    /// workspace's guarantee.
    pub(super) claim: bool,
    /// How long its job may wait and still meet its deadline, if its estimate
    /// is right.
    pub(super) slack: Duration,
    /// How long it waits at most although it would fit.
    pub(super) waits: WaitLimits,
    /// How long its tasks are expected to run. Unlimited if that is not known,
    /// and for tasks that last.
    pub(super) duration: Duration,
    /// How its tasks have failed so far.
    pub(super) history: FailureHistory,
    /// When it has to start to meet its deadline, in milliseconds since 1970.
    pub(super) latest_start_ms: u64,
    /// What the cost of its delay depends on.
    pub(super) demand: Demand,
    /// Whether it is late and goes before others, because it would starve
    /// otherwise.
    pub(super) has_turn: bool,
}

/// What the groups of a job are built from, besides the job itself.
#[derive(Clone, Copy)]
pub(super) struct GroupContext {
    pub(super) now: Now,
    pub(super) claim: bool,
    /// Whether less than half of the capacity of the job's service is in use.
    pub(super) is_mostly_idle: bool,
    /// The assumed minimum run time of tasks of the job's queue, from the
    /// run times of earlier ones.
    pub(super) typical_duration: Duration,
    /// The maximum time that a claim waits for capacity on one rack.
    pub(super) max_claim_rack_wait: Duration,
    /// How long other gangs wait for capacity on one rack, as a multiple of
    /// their expected duration.
    pub(super) rack_patience: f64,
    /// Whether tasks avoid the workers on which they failed.
    pub(super) worker_health: bool,
}

impl TaskGroup {
    /// Returns the first task, which represents all: they have the same
    /// needs.
    pub(super) fn first(&self) -> TaskId {
        self.tasks[0]
    }

    pub(super) fn count(&self) -> u32 {
        u32::try_from(self.tasks.len()).unwrap_or(u32::MAX)
    }

    /// Returns how long it has waited.
    pub(super) fn waited(&self, now: Now) -> Duration {
        now.monotonic.saturating_sub(self.ready_at)
    }

    /// Returns whether it has waited for the longest time that it waits for a
    /// reason.
    pub(super) fn has_waited(&self, now: Now, reason: WaitReason) -> bool {
        self.waited(now) >= self.waits.of(reason)
    }

    /// Returns the group without its first `count` tasks.
    pub(super) fn without_first(&self, count: u32) -> Self {
        Self {
            tasks: self.tasks[count as usize..].to_vec(),
            ..self.clone()
        }
    }

    /// Returns the time until its deadline; zero if that has passed.
    pub(super) fn time_left(&self, now: Now) -> Duration {
        Duration::from_millis(self.due_ms.saturating_sub(now.wall_ms))
    }
}

/// Adds the groups of a job that the next planning pass looks at to `groups`.
/// A gang is only added when all its members wait to be placed. Returns whether
/// the job has more.
pub(super) fn add_groups(
    job: &mut Job,
    cx: GroupContext,
    groups: &mut Vec<TaskGroup>,
) -> bool {
    job.open_due(cx.now.wall_ms);
    let (steps, mut has_more) = job.next_steps();
    for (occurrence, step) in steps {
        let waiting = job.waiting_tasks((occurrence, step));
        let spec = &job.batch.steps[step as usize];
        if spec.gang && waiting.len() < spec.count as usize {
            continue;
        }
        let limit = if spec.gang { usize::MAX } else { MAX_TASKS };
        has_more |= waiting.len() > limit;
        let id = job.batch.id;
        let tasks = waiting.iter().take(limit).map(|index| TaskId {
            job: id,
            occurrence,
            step,
            index: *index,
        });
        let tasks: Vec<TaskId> = tasks.collect();
        if tasks.is_empty() {
            continue;
        }
        let group = group_of(job, (occurrence, step), cx, tasks);
        if cx.worker_health {
            groups.extend(avoidance::split(cx.now, job, group));
        } else {
            groups.push(group);
        }
    }
    has_more
}

/// Returns the group of waiting tasks of a step in an occurrence.
fn group_of(
    job: &mut Job,
    (occurrence, step): (u32, u32),
    cx: GroupContext,
    tasks: Vec<TaskId>,
) -> TaskGroup {
    let key = (occurrence, step);
    let ready_at = *job.ready_at.entry(key).or_insert(cx.now.monotonic);
    let spec = &job.batch.steps[step as usize];
    let expected_duration =
        Duration::from_millis(spec.estimate_ms).max(cx.typical_duration);
    let waits = WaitLimits::new(&cx, spec, expected_duration);
    let count = f64::from(u32::try_from(tasks.len()).unwrap_or(u32::MAX));
    let due_ms = job.due_ms(occurrence);
    let expected_ms =
        u64::try_from(expected_duration.as_millis()).unwrap_or(u64::MAX);
    TaskGroup {
        tasks,
        gang: spec.gang,
        priority: job.batch.priority,
        ready_at,
        due_ms,
        claim: cx.claim,
        slack: job.slack(cx.typical_duration),
        waits,
        duration: if spec.persistent || expected_duration.is_zero() {
            Duration::MAX
        } else {
            expected_duration
        },
        history: FailureHistory::default(),
        latest_start_ms: due_ms.saturating_sub(expected_ms),
        demand: Demand {
            priority: job.batch.priority,
            claim: cx.claim,
            work: cores(&spec.needs) * expected_duration.as_secs_f64() * count,
            value_rate: job.value_rate,
            expected: expected_duration + job.time_after_step(step),
            accepted_ms: job.allowed_from_ms(occurrence),
            due_ms,
        },
        has_turn: false,
    }
}
