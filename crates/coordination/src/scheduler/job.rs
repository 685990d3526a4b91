//! The scheduler's view of one job: its record, its progress and its current
//! runs.

use std::{borrow::Cow, collections::BTreeMap, time::Duration};

use figrill_state::batch::{
    Batch, BatchState, Incarnation, Placement, Progress, Step, TaskId,
    TaskProgress,
};

use super::START_WINDOW;
use crate::open_calls::LATE_CALL_WINDOW;

/// The phase of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// The placement is not committed yet, and nothing was ordered.
    Committing {
        /// The number of the commit that contains it, once there is one.
        commit: Option<u64>,
    },
    /// The start was ordered. A snapshot that is taken later than
    /// `conclusive_after_ms` shows whether the run exists.
    Ordered {
        /// A time on the upstream's clock, in milliseconds.
        conclusive_after_ms: u64,
    },
    /// The upstream has ended, and the run is being stopped on the next
    /// incarnation, which a call to start it may still reach.
    Superseded {
        /// When the next incarnation acknowledged the stop, in milliseconds on
        /// its clock. A snapshot that is taken later shows whether the run
        /// exists there.
        stopped_at_ms: Option<u64>,
    },
    /// The upstream has listed or confirmed the run.
    Running {
        /// The upstream's clock when it first did so, in milliseconds.
        first_seen_ms: u64,
    },
}

impl Phase {
    /// Returns whether the start was ordered and nothing has shown the run.
    pub(super) const fn awaits_start(self) -> bool {
        matches!(self, Self::Ordered { .. } | Self::Superseded { .. })
    }

    /// Returns the name used in logs.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Committing { .. } => "committing",
            Self::Ordered { .. } => "ordered",
            Self::Superseded { .. } => "superseded",
            Self::Running { .. } => "running",
        }
    }
}

/// A run that may hold resources of a worker.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) agent: String,
    pub(super) upstream: Incarnation,
    /// The number of the run: later runs of the same task have higher ones.
    pub(super) number: u32,
    pub(super) phase: Phase,
    /// When the run was placed.
    pub(super) placed_at: Duration,
    /// When its start was ordered; `None` before that.
    pub(super) ordered_at: Option<Duration>,
    /// Whether an earlier coordinator has ordered its start.
    pub(super) is_adopted: bool,
    /// Whether its agent has made all calls to start it, and every one of them
    /// was answered.
    pub(super) is_answered: bool,
    /// From when on no call to start the run can begin it any more, nor have
    /// begun it at an incarnation that nobody has heard of and whose lease
    /// lasts. Zero once its upstream is known to have executed the only call.
    pub(super) settled_at: Duration,
    /// When a stop was last sent, if the run is to be stopped; zero if none
    /// was sent yet.
    pub(super) stopping: Option<Duration>,
    /// Its latest checkpoint, or the one it starts from; empty if there is
    /// none.
    pub(super) checkpoint: String,
    /// The latest reported progress, in percent.
    pub(super) percent: u32,
    /// When the progress last increased.
    pub(super) progressed_at: Duration,
    /// The progress, in percent, when this run was first listed.
    pub(super) initial_percent: u32,
    /// The progress, in percent, from which it began; `None` until it is
    /// listed.
    pub(super) first_percent: Option<u32>,
}

impl Run {
    /// Returns after which time on the upstream's clock, in milliseconds, a
    /// snapshot shows whether the run exists; `None` if none does yet.
    pub(super) fn conclusive_after_ms(&self, now: Duration) -> Option<u64> {
        match self.phase {
            Phase::Committing { .. } => None,
            // A call for an adopted run may still reach the next incarnation.
            Phase::Ordered { .. }
                if self.is_adopted && !self.calls_have_ended(now) =>
            {
                None
            }
            Phase::Ordered {
                conclusive_after_ms,
            } => Some(conclusive_after_ms),
            Phase::Superseded { stopped_at_ms } => {
                // No call is on its way any more, so an answer to the stop is
                // not needed.
                stopped_at_ms.or((now >= self.settled_at).then_some(0))
            }
            Phase::Running { first_seen_ms } => Some(first_seen_ms),
        }
    }

    /// Records a listed progress, in percent. Returns whether it is the first
    /// progress of this run. One that resumed from a checkpoint began with the
    /// first listed progress.
    pub(super) fn record_progress(&mut self, percent: u32) -> bool {
        let is_resumed = self.is_adopted || !self.checkpoint.is_empty();
        let first = if is_resumed { percent } else { 0 };
        let first = *self.first_percent.get_or_insert(first);
        self.percent <= first && percent > first
    }

    /// Returns whether a snapshot has shown progress of this run.
    pub(super) fn has_progressed(&self) -> bool {
        self.first_percent.is_some_and(|first| self.percent > first)
    }

    /// Returns whether a call to start the run that this coordinator has
    /// ordered may be on its way.
    pub(super) fn awaits_answers(&self, now: Duration) -> bool {
        let is_recent = |at: Duration| now < at + START_WINDOW;
        !self.is_answered
            && !self.is_adopted
            && self.ordered_at.is_some_and(is_recent)
    }

    /// Returns until when a call to start the run that this coordinator has
    /// ordered may be executed although nobody knows its answer; zero if there
    /// is none.
    pub(super) fn open_until(&self) -> Duration {
        if self.is_answered || self.is_adopted {
            return Duration::ZERO;
        }
        let ordered_at = self.ordered_at;
        ordered_at
            .map_or(Duration::ZERO, |at| at + START_WINDOW + LATE_CALL_WINDOW)
    }

    /// Returns whether no call to start the run is on its way any more. The
    /// answers to calls that an earlier coordinator has ordered are not known.
    pub(super) fn calls_have_ended(&self, now: Duration) -> bool {
        let is_past = |at: Duration| now >= at + START_WINDOW;
        self.is_answered
            || self.is_adopted && self.ordered_at.is_some_and(is_past)
    }
}

/// A failed run of a task, and the worker on which it failed.
#[derive(Clone, Debug)]
pub(super) struct FailedRun {
    pub(super) agent: String,
    pub(super) at: Duration,
    /// Whether the worker is the probable cause.
    pub(super) is_workers_fault: bool,
}

/// A job that has not ended, or whose end is not committed yet.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) batch: Batch,
    pub(super) progress: Progress,
    /// Runs that may hold resources of a worker.
    pub(super) runs: BTreeMap<TaskId, Run>,
    /// When tasks of each step were first ready to be placed, by occurrence
    /// and step.
    pub(super) ready_at: BTreeMap<(u32, u32), Duration>,
    /// Agents where a task of this job failed or got stuck. Placement avoids
    /// them while there are others.
    pub(super) excluded_agents: Vec<String>,
    /// The failed runs of each task, oldest first.
    pub(super) failed_runs: BTreeMap<TaskId, Vec<FailedRun>>,
    /// Whether a run of the job has made progress.
    pub(super) has_progressed: bool,
    /// How often a run of a task was stopped because it made no progress. The
    /// next one is given more time: the task may just be a long one.
    pub(super) stalls: BTreeMap<TaskId, u32>,
    /// How often each task, or the gang with this first member, was preempted
    /// under this coordinator.
    preemptions: BTreeMap<TaskId, u32>,
    /// Whether the store does not accept the job's progress.
    pub(super) is_unstorable: bool,
    /// The value of a core-second of its work to its caller.
    pub(super) value_rate: f64,
}

impl Job {
    pub(super) fn new(batch: Batch, progress: Progress) -> Self {
        Self {
            batch,
            progress,
            runs: BTreeMap::new(),
            ready_at: BTreeMap::new(),
            excluded_agents: Vec::new(),
            failed_runs: BTreeMap::new(),
            has_progressed: false,
            stalls: BTreeMap::new(),
            preemptions: BTreeMap::new(),
            is_unstorable: false,
            value_rate: 0.0,
        }
    }

    /// Returns the progress that is written to the store.
    pub(super) fn stored_progress(&self) -> Cow<'_, Progress> {
        if !self.is_unstorable {
            return Cow::Borrowed(&self.progress);
        }
        Cow::Owned(Progress {
            state: self.progress.state,
            tasks: BTreeMap::new(),
            ended_ms: self.progress.ended_ms,
            service: self.progress.service.clone(),
        })
    }

    /// Returns the progress of a task, and creates it if there is none yet.
    /// Returns `None` for a task that the job does not have.
    pub(super) fn task_mut(
        &mut self,
        task: TaskId,
    ) -> Option<&mut TaskProgress> {
        let steps = &self.batch.steps;
        if task.occurrence >= self.batch.occurrences() {
            return None;
        }
        let tasks_by_step = self.progress.tasks.entry(task.occurrence);
        let tasks_by_step = tasks_by_step.or_insert_with(|| {
            let new_tasks =
                |s: &Step| vec![TaskProgress::default(); s.count as usize];
            steps.iter().map(new_tasks).collect()
        });
        tasks_by_step
            .get_mut(task.step as usize)?
            .get_mut(task.index as usize)
    }

    /// Returns the progress of a task, if there is any yet.
    pub(super) fn task(&self, task: TaskId) -> Option<&TaskProgress> {
        self.progress
            .tasks
            .get(&task.occurrence)?
            .get(task.step as usize)?
            .get(task.index as usize)
    }

    /// Returns all tasks of a step in an occurrence.
    pub(super) fn tasks_of(
        &self,
        occurrence: u32,
        step: u32,
    ) -> impl Iterator<Item = TaskId> + use<> {
        let job = self.batch.id;
        let count = self.batch.steps.get(step as usize);
        let count = count.map_or(0, |s| s.count);
        (0..count).map(move |index| TaskId {
            job,
            occurrence,
            step,
            index,
        })
    }

    /// Returns whether all tasks of a step are done.
    pub(super) fn is_step_done(&self, occurrence: u32, step: u32) -> bool {
        self.tasks_of(occurrence, step)
            .all(|t| self.task(t).is_some_and(|p| p.done))
    }

    /// Returns whether all steps that this step depends on are done.
    pub(super) fn is_step_unblocked(
        &self,
        occurrence: u32,
        step: u32,
    ) -> bool {
        let Some(spec) = self.batch.steps.get(step as usize) else {
            return false;
        };
        spec.after.iter().all(|s| self.is_step_done(occurrence, *s))
    }

    /// Returns whether all steps of all occurrences are done.
    pub(super) fn is_done(&self) -> bool {
        let steps = u32::try_from(self.batch.steps.len()).unwrap_or(0);
        (0..self.batch.occurrences())
            .all(|k| (0..steps).all(|s| self.is_step_done(k, s)))
    }

    /// Returns whether a task or a gang has used up its attempts. Persistent
    /// steps have no limit.
    pub(super) fn has_failed(&self) -> bool {
        let attempts = self.batch.attempts.max(1);
        let failed = |step: &Step, tasks: &[TaskProgress]| {
            !step.persistent
                && tasks.iter().any(|t| !t.done && t.failures >= attempts)
        };
        self.progress.tasks.values().any(|steps| {
            let pairs = self.batch.steps.iter().zip(steps);
            pairs.into_iter().any(|(step, tasks)| failed(step, tasks))
        })
    }

    /// Returns whether another failed run of a task fails the job.
    pub(super) fn is_last_attempt(&self, task: TaskId) -> bool {
        let Some(step) = self.batch.step(task) else {
            return false;
        };
        let index = if step.gang { 0 } else { task.index };
        let counting_task = TaskId { index, ..task };
        let failures = self.task(counting_task).map_or(0, |t| t.failures);
        !step.persistent && failures + 1 >= self.batch.attempts.max(1)
    }

    /// Counts a failed run of a task. A failed run of a gang counts once,
    /// however many of its members fail: it is counted in the first member.
    pub(super) fn count_failure(&mut self, task: TaskId, run: u32) {
        let counting_task = self.counting_task(task);
        if let Some(progress) = self.task_mut(counting_task)
            && progress.failed_run < run
        {
            progress.failed_run = run;
            progress.failures += 1;
        }
    }

    /// Returns the task in which events of a task are counted that concern its
    /// whole gang: the first member of the gang, or the task itself.
    fn counting_task(&self, task: TaskId) -> TaskId {
        let gang = self.batch.step(task).is_some_and(|s| s.gang);
        if gang {
            TaskId { index: 0, ..task }
        } else {
            task
        }
    }

    /// Counts a preemption of a task, together with its gang.
    pub(super) fn count_preemption(&mut self, task: TaskId) {
        let key = self.counting_task(task);
        *self.preemptions.entry(key).or_insert(0) += 1;
    }

    /// Returns how often a task, or its gang, was preempted.
    pub(super) fn preemptions(&self, task: TaskId) -> u32 {
        let key = self.counting_task(task);
        self.preemptions.get(&key).copied().unwrap_or(0)
    }

    /// Records a placement in memory. It must be committed before the start
    /// is ordered.
    pub(super) fn place(
        &mut self,
        now: Duration,
        task: TaskId,
        run: u32,
        to: Placement,
        checkpoint: &str,
    ) {
        if let Some(progress) = self.task_mut(task) {
            progress.run = run;
            progress.placement = Some(to.clone());
            checkpoint.clone_into(&mut progress.checkpoint);
        }
        let run = Run {
            agent: to.agent,
            upstream: to.upstream,
            number: run,
            phase: Phase::Committing { commit: None },
            placed_at: now,
            ordered_at: None,
            is_adopted: false,
            is_answered: false,
            settled_at: Duration::ZERO,
            stopping: None,
            checkpoint: checkpoint.to_owned(),
            percent: 0,
            progressed_at: now,
            initial_percent: 0,
            first_percent: None,
        };
        self.runs.insert(task, run);
    }

    /// Records that a task has started. Returns whether the job was queued
    /// until now.
    pub(super) fn record_start(&mut self) -> bool {
        let was_queued = self.progress.state == BatchState::Queued;
        if was_queued {
            self.progress.state = BatchState::Running;
        }
        was_queued
    }

    /// Returns the current runs of a gang's members.
    fn gang_runs(&self, id: TaskId) -> impl Iterator<Item = &Run> {
        self.tasks_of(id.occurrence, id.step)
            .filter_map(|member| self.runs.get(&member))
    }

    /// Returns when any current run of a gang's members last made progress;
    /// zero if there is none.
    pub(super) fn gang_progressed_at(&self, id: TaskId) -> Duration {
        let progressed_at = self.gang_runs(id).map(|run| run.progressed_at);
        progressed_at.max().unwrap_or_default()
    }

    /// Returns whether all members of a gang run.
    pub(super) fn is_gang_complete(&self, id: TaskId) -> bool {
        let mut members = self.tasks_of(id.occurrence, id.step);
        members.all(|member| {
            let run = self.runs.get(&member);
            run.is_some_and(|r| matches!(r.phase, Phase::Running { .. }))
        })
    }

    /// Returns whether a run has made less progress than another member of
    /// its gang. Members end together, so the others of a gang that has come
    /// to a halt only wait for those that lag.
    pub(super) fn lags_in_gang(&self, id: TaskId, run: &Run) -> bool {
        self.gang_runs(id).any(|other| other.percent > run.percent)
    }

    /// Returns the largest number of accelerators that one step of the job
    /// needs.
    pub(super) fn max_step_accelerators(&self) -> u64 {
        let accelerators =
            |s: &Step| s.needs.accelerators.saturating_mul(s.count.into());
        self.batch.steps.iter().map(accelerators).max().unwrap_or(0)
    }

    /// Returns the latest end of an occurrence that still meets the caller's
    /// deadline, in milliseconds since 1970.
    pub(super) fn due_ms(&self, occurrence: u32) -> u64 {
        let critical_path = Duration::from_millis(self.critical_path_ms());
        let allowed =
            critical_path.mul_f64(self.batch.stretch.clamp(0.0, 1e6));
        let allowed = allowed + self.batch.target;
        self.allowed_from_ms(occurrence)
            + u64::try_from(allowed.as_millis()).unwrap_or(0)
    }

    /// Returns when the time allowed for an occurrence begins, in
    /// milliseconds since 1970.
    pub(super) fn allowed_from_ms(&self, occurrence: u32) -> u64 {
        if self.batch.schedule.is_some() {
            self.batch.due_ms(occurrence)
        } else {
            self.batch.accepted_ms
        }
    }

    /// Returns the length of the longest chain of steps that follow a step,
    /// by their estimates.
    pub(super) fn time_after_step(&self, step: u32) -> Duration {
        if step as usize + 1 >= self.batch.steps.len() {
            return Duration::ZERO;
        }
        let mut chain_ms: BTreeMap<u32, u64> = BTreeMap::from([(step, 0)]);
        let mut latest_ms = 0;
        for (index, spec) in (0..).zip(&self.batch.steps).skip(1) {
            let follows = spec.after.iter().filter_map(|s| chain_ms.get(s));
            if let Some(start_ms) = follows.max().copied() {
                let end_ms = start_ms.saturating_add(spec.estimate_ms);
                chain_ms.insert(index, end_ms);
                latest_ms = latest_ms.max(end_ms);
            }
        }
        Duration::from_millis(latest_ms)
    }

    /// Returns how long the job may wait in total and still meet its
    /// deadline. Its work is assumed to take `typical_duration` at least.
    pub(super) fn slack(&self, typical_duration: Duration) -> Duration {
        let critical_path = Duration::from_millis(self.critical_path_ms())
            .max(typical_duration);
        let extra = (self.batch.stretch - 1.0).clamp(0.0, 1e6);
        critical_path.mul_f64(extra) + self.batch.target
    }

    /// Returns the length of the critical path through the steps, by their
    /// estimates, in milliseconds.
    fn critical_path_ms(&self) -> u64 {
        let mut end_times_ms: Vec<u64> = Vec::new();
        for step in &self.batch.steps {
            let dependencies = step.after.iter();
            let start_ms = dependencies
                .filter_map(|s| end_times_ms.get(*s as usize))
                .max()
                .copied()
                .unwrap_or(0);
            end_times_ms.push(start_ms + step.estimate_ms);
        }
        end_times_ms.into_iter().max().unwrap_or(0)
    }
}
