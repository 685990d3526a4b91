//! The runs whose capacity waiting work may get: what it costs to stop each
//! of them, and when they end by themselves.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use figrill_state::{
    batch::{BatchId, Resources, Step, TaskId},
    limits::Limits,
};

use super::{
    Now, Scheduler,
    cost::VictimValue,
    job::{Job, Run},
    task_group::TaskGroup,
};

/// The number of cores that one accelerator counts as when work is compared.
const CORES_PER_ACCELERATOR: f64 = 8.0;

/// The work that is lost with any run that is stopped, in seconds, because it
/// has to be placed and started again.
const RESTART_LOSS_S: f64 = 0.2;

/// The shortest time in which a run is expected to end, in seconds, unless it
/// has done all its work.
const MIN_REMAINING_S: f64 = 0.1;

/// The progress after which a run's own speed says more than the estimate.
const MIN_MEASURED_PROGRESS: f64 = 0.1;

/// Identifies a gang: job, occurrence and step.
pub(super) type GangKey = (BatchId, u32, u32);

/// A run whose capacity may become free.
#[derive(Clone, Debug)]
pub(super) struct Victim {
    pub(super) task: TaskId,
    /// The gang that it is a member of, which ends with it.
    pub(super) gang: Option<GangKey>,
    pub(super) needs: Resources,
    /// The seconds until it, or its whole gang, is expected to end; infinite
    /// for runs that last until they are stopped.
    pub(super) remaining_s: f64,
    /// The seconds after which a reservation may count on its end. More than
    /// `remaining_s` for a run that takes longer than expected.
    pub(super) ends_in_s: f64,
    /// The core-seconds of work that are lost if it is stopped, together with
    /// its gang.
    pub(super) lost: f64,
    pub(super) priority: u32,
    /// Whether its job is a claim on a guarantee.
    pub(super) claim: bool,
    /// Whether its stop was already requested.
    pub(super) stopping: bool,
    /// When it was placed, if it uses capacity that was reserved for another
    /// group.
    backfill_since: Option<Duration>,
    /// When its job was accepted, in milliseconds since 1970, if it lasts until
    /// it is stopped.
    lasting_since_ms: Option<u64>,
    /// The value that is lost with it; all zero without the feature
    /// `delay_cost`.
    pub(super) value: VictimValue,
}

impl Victim {
    /// Returns the value that is lost if it is stopped, together with its
    /// gang, and its next run is delayed.
    pub(super) fn loss(&self, delay_s: f64) -> f64 {
        self.value.work_loss(self.lost) + self.value.deadline_loss(delay_s)
    }

    /// Returns whether it is stopped as soon as a group needs its capacity,
    /// whatever is lost with it: it is backfill that was placed while the group
    /// waited.
    ///
    /// An earlier coordinator may have placed it. The group can wait for its
    /// end then, unless it lasts.
    pub(super) fn yields_to(&self, group: &TaskGroup) -> bool {
        let is_backfill =
            self.backfill_since.is_some_and(|at| at >= group.ready_at);
        let is_later_lasting = self
            .lasting_since_ms
            .is_some_and(|ms| ms > group.demand.accepted_ms);
        self.priority >= group.priority && (is_backfill || is_later_lasting)
    }
}

/// All runs that may free capacity, as seen by one planning pass, by agent.
#[derive(Debug, Default)]
pub(super) struct Victims(BTreeMap<String, Vec<Victim>>);

impl Victims {
    /// Returns the runs on an agent.
    pub(super) fn on(&self, agent: &str) -> &[Victim] {
        self.0.get(agent).map_or(&[], Vec::as_slice)
    }

    /// Removes runs whose capacity was given to a group, so that no other
    /// group counts on it.
    pub(super) fn take(&mut self, agent: &str, tasks: &BTreeSet<TaskId>) {
        if let Some(victims) = self.0.get_mut(agent) {
            victims.retain(|v| !tasks.contains(&v.task));
        }
    }

    /// Records that a gang is being stopped, so that the capacity of its
    /// other members costs nothing.
    pub(super) fn mark_stopping(&mut self, gang: GangKey) {
        let members = self.0.values_mut().flatten();
        for member in members.filter(|v| v.gang == Some(gang)) {
            member.stopping = true;
        }
    }
}

impl Scheduler {
    /// Returns the runs that may free capacity. Runs that are not ordered yet
    /// are included: releasing them loses nothing.
    pub(super) fn victims(
        &self,
        now: Now,
        claims: &BTreeSet<BatchId>,
    ) -> Victims {
        let mut by_agent: BTreeMap<String, Vec<Victim>> = BTreeMap::new();
        for job in self.jobs.values() {
            let mut gangs: BTreeMap<GangKey, Outlook> = BTreeMap::new();
            let mut steps: BTreeMap<GangKey, StepValue> = BTreeMap::new();
            for (task, run) in &job.runs {
                let Some(step) = job.batch.step(*task) else {
                    continue;
                };
                let gang = step.gang.then(|| gang_key(*task));
                let outlook = match gang {
                    Some(key) => *gangs.entry(key).or_insert_with(|| {
                        gang_outlook(now, &self.limits, job, key)
                    }),
                    None => Outlook::new(now, &self.limits, step, run),
                };
                let value = if self.features.delay_cost {
                    let key = gang_key(*task);
                    let of_step = steps.entry(key).or_insert_with(|| {
                        StepValue::new(now, job, step, key)
                    });
                    let remaining_s = outlook.remaining_s;
                    of_step.of_run(&self.limits, job, *task, remaining_s)
                } else {
                    VictimValue::default()
                };
                let victim = Victim {
                    task: *task,
                    gang,
                    needs: step.needs,
                    remaining_s: if step.persistent {
                        f64::INFINITY
                    } else {
                        outlook.remaining_s
                    },
                    ends_in_s: outlook.ends_in_s,
                    lost: outlook.lost,
                    priority: job.batch.priority,
                    claim: claims.contains(&job.batch.id),
                    stopping: run.stopping.is_some(),
                    backfill_since: run.is_backfill.then_some(run.placed_at),
                    lasting_since_ms: step
                        .persistent
                        .then_some(job.batch.accepted_ms),
                    value,
                };
                by_agent.entry(run.agent.clone()).or_default().push(victim);
            }
        }
        Victims(by_agent)
    }
}

/// Returns the key of a task's step and occurrence, which is that of its gang
/// if it is a member of one.
pub(super) fn gang_key(task: TaskId) -> GangKey {
    (task.job, task.occurrence, task.step)
}

/// What the value of the runs of one step has in common.
#[derive(Clone, Copy, Debug)]
struct StepValue {
    /// The seconds until the step has to end to meet the deadline.
    left_s: f64,
    estimate_s: f64,
    /// The value of the tasks that are not done.
    open_value: f64,
}

impl StepValue {
    fn new(
        now: Now,
        job: &Job,
        step: &Step,
        (_, occurrence, index): GangKey,
    ) -> Self {
        let due_ms = job.due_ms(occurrence).saturating_sub(now.wall_ms);
        let left = Duration::from_millis(due_ms)
            .saturating_sub(job.time_after_step(index));
        let open_tasks = job
            .tasks_of(occurrence, index)
            .filter(|t| !job.is_task_done(*t))
            .count();
        let open_tasks =
            f64::from(u32::try_from(open_tasks).unwrap_or(u32::MAX));
        let estimate_s = Duration::from_millis(step.estimate_ms).as_secs_f64();
        let work = open_tasks * estimate_s * cores(&step.needs);
        Self {
            left_s: left.as_secs_f64(),
            estimate_s,
            open_value: job.value_rate * work,
        }
    }

    /// Returns the value that is lost with a run that is expected to end, with
    /// its gang, in `remaining_s` seconds.
    fn of_run(
        &self,
        limits: &Limits,
        job: &Job,
        task: TaskId,
        remaining_s: f64,
    ) -> VictimValue {
        let checkpoints = job.batch.step(task).is_some_and(|s| s.checkpoints);
        let next_run_s = if checkpoints {
            remaining_s + limits.checkpoint_restore.as_secs_f64()
        } else {
            self.estimate_s
        };
        let is_in_time = remaining_s <= self.left_s;
        VictimValue {
            value_rate: job.value_rate,
            preemptions: job.preemptions(task),
            deadline_value: if is_in_time { self.open_value } else { 0.0 },
            margin_s: self.left_s - next_run_s,
        }
    }
}

/// What becomes of a run, or of a whole gang.
#[derive(Clone, Copy, Debug, Default)]
struct Outlook {
    /// The seconds until it is expected to end.
    remaining_s: f64,
    /// The seconds after which its end can be counted on.
    ends_in_s: f64,
    /// The core-seconds that are lost if it is stopped.
    lost: f64,
}

impl Outlook {
    fn new(now: Now, limits: &Limits, step: &Step, run: &Run) -> Self {
        let remaining_s = run_remaining_seconds(now, step, run);
        let ends_in_s = if step.persistent {
            f64::INFINITY
        } else {
            remaining_s.max(overrun_seconds(now, step, run))
        };
        Self {
            remaining_s,
            ends_in_s,
            lost: run_loss(now, limits, step, run),
        }
    }

    fn and(self, other: Self) -> Self {
        Self {
            remaining_s: self.remaining_s.max(other.remaining_s),
            ends_in_s: self.ends_in_s.max(other.ends_in_s),
            lost: self.lost + other.lost,
        }
    }
}

/// Returns the outlook of a gang, whose members end together.
fn gang_outlook(
    now: Now,
    limits: &Limits,
    job: &Job,
    (id, occurrence, index): GangKey,
) -> Outlook {
    let first = TaskId {
        job: id,
        occurrence,
        step: index,
        index: 0,
    };
    let Some(step) = job.batch.step(first) else {
        return Outlook::default();
    };
    job.runs_of_step(first)
        .map(|(_, run)| Outlook::new(now, limits, step, run))
        .fold(Outlook::default(), Outlook::and)
}

/// Returns the seconds until a run is expected to end, or its gang if it is a
/// member of one.
pub(super) fn remaining_seconds(
    now: Now,
    job: &Job,
    task: TaskId,
    run: &Run,
) -> f64 {
    let Some(step) = job.batch.step(task) else {
        return 0.0;
    };
    if !step.gang {
        return run_remaining_seconds(now, step, run);
    }
    job.runs_of_step(task)
        .map(|(_, r)| run_remaining_seconds(now, step, r))
        .fold(0.0, f64::max)
}

/// Returns the seconds until a single run has done its work. Extrapolates
/// from its progress once that says enough, and relies on the estimate before.
fn run_remaining_seconds(now: Now, step: &Step, run: &Run) -> f64 {
    let done = f64::from(run.percent) / 100.0;
    let started_at = run.ordered_at.unwrap_or(run.placed_at);
    let spent = now.monotonic.saturating_sub(started_at).as_secs_f64();
    let gained =
        f64::from(run.percent.saturating_sub(run.initial_percent)) / 100.0;
    if gained >= MIN_MEASURED_PROGRESS {
        return spent / gained * (1.0 - done);
    }
    let estimate = Duration::from_millis(step.estimate_ms).as_secs_f64();
    (estimate * (1.0 - done)).max(MIN_REMAINING_S)
}

/// Returns by how many seconds a run has exceeded its estimate, unless its
/// progress says when it ends. Nothing is known of such a run but how long it
/// has taken, so it is expected to take that long again.
fn overrun_seconds(now: Now, step: &Step, run: &Run) -> f64 {
    let gained = run.percent.saturating_sub(run.initial_percent);
    if f64::from(gained) / 100.0 >= MIN_MEASURED_PROGRESS {
        return 0.0;
    }
    let started_at = run.ordered_at.unwrap_or(run.placed_at);
    let spent = now.monotonic.saturating_sub(started_at);
    let estimate = Duration::from_millis(step.estimate_ms);
    spent.saturating_sub(estimate).as_secs_f64()
}

/// Returns the core-seconds of work that are lost if a single run is stopped.
/// A run that checkpoints also does so when it is stopped, and then loses only
/// the time to resume.
fn run_loss(now: Now, limits: &Limits, step: &Step, run: &Run) -> f64 {
    let started_at = run.ordered_at.unwrap_or(now.monotonic);
    let spent = now.monotonic.saturating_sub(started_at);
    let lost = if step.checkpoints {
        spent.min(limits.checkpoint_restore)
    } else {
        spent
    };
    (lost.as_secs_f64() + RESTART_LOSS_S) * cores(&step.needs)
}

/// Returns the resources of a task, expressed in cores.
#[allow(clippy::cast_precision_loss)]
pub(super) fn cores(needs: &Resources) -> f64 {
    needs.cpu_milli as f64 / 1000.0
        + needs.accelerators as f64 * CORES_PER_ACCELERATOR
}
