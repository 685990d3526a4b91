//! The scheduler's view of one job: its record, its progress and its current
//! runs.

use std::{
    borrow::Cow,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use figrill_state::batch::{
    Batch, BatchState, Placement, Progress, Step, TaskId, TaskProgress,
};

use frontier::{Frontier, StepKey};
use step_graph::StepGraph;

mod frontier;
mod run;
mod step_graph;

pub(super) use run::{Phase, Run};

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
    graph: StepGraph,
    frontier: Frontier,
    /// A task that has used up its attempts, if there is one.
    failed_task: Option<TaskId>,
    /// Runs that may hold resources of a worker. They are added by
    /// [`Self::insert_run`] and removed by [`Self::remove_run`].
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
    /// Whether the record of the job's progress leaves out the checkpoints,
    /// because the store does not accept it with them.
    pub(super) leaves_out_checkpoints: bool,
    /// Whether the store does not accept the job's progress.
    pub(super) is_unstorable: bool,
    /// The value of a core-second of its work to its caller.
    pub(super) value_rate: f64,
}

impl Job {
    pub(super) fn new(batch: Batch, progress: Progress) -> Self {
        let mut job = Self {
            graph: StepGraph::new(&batch.steps),
            frontier: Frontier::default(),
            failed_task: None,
            batch,
            progress,
            runs: BTreeMap::new(),
            ready_at: BTreeMap::new(),
            excluded_agents: Vec::new(),
            failed_runs: BTreeMap::new(),
            has_progressed: false,
            stalls: BTreeMap::new(),
            preemptions: BTreeMap::new(),
            leaves_out_checkpoints: false,
            is_unstorable: false,
            value_rate: 0.0,
        };
        let last = job.progress.last_occurrence();
        while last.is_some_and(|last| job.frontier.opened() <= last) {
            job.open_occurrence();
        }
        job.failed_task = job.find_failed_task();
        job
    }

    /// Opens the occurrences that are due, so that their tasks wait to be
    /// placed. If there are too many at a time, the later ones wait for the
    /// earlier ones.
    pub(super) fn open_due(&mut self, wall_ms: u64) {
        while self.frontier.opened() < self.batch.occurrences()
            && self.batch.due_ms(self.frontier.opened()) <= wall_ms
            && self.frontier.has_room(&self.graph)
        {
            self.open_occurrence();
        }
    }

    fn open_occurrence(&mut self) {
        if self.progress.is_occurrence_done(self.frontier.opened()) {
            self.frontier.skip_done();
            return;
        }
        let tasks = self.progress.tasks.get(&self.frontier.opened());
        self.frontier.open_next(&self.graph, |step, index| {
            let of_step = tasks.and_then(|steps| steps.get(step as usize));
            let task = of_step.and_then(|tasks| tasks.get(index as usize));
            task.is_some_and(|t| t.done)
        });
    }

    /// Returns the steps that the next planning pass looks at, in order, and
    /// whether there are more.
    pub(super) fn next_steps(&mut self) -> (Vec<StepKey>, bool) {
        self.frontier.next_steps()
    }

    /// Returns the shape of a step: steps of one shape fit on the same workers.
    pub(super) fn shape(&self, step: u32) -> usize {
        self.graph.shape(step)
    }

    /// Returns the indices of the tasks of a step that wait to be placed.
    pub(super) fn waiting_tasks(&self, key: StepKey) -> &BTreeSet<u32> {
        self.frontier.waiting(key)
    }

    /// Adds a run of a task.
    pub(super) fn insert_run(&mut self, task: TaskId, run: Run) {
        self.frontier.run_added(task, &self.graph);
        self.runs.insert(task, run);
    }

    /// Removes the run of a task, which waits to be placed again unless it is
    /// done.
    pub(super) fn remove_run(&mut self, task: TaskId) -> Option<Run> {
        let run = self.runs.remove(&task)?;
        if !self.is_task_done(task) {
            self.frontier.run_removed(task, &self.graph);
        }
        Some(run)
    }

    /// Returns whether a task is done.
    pub(super) fn is_task_done(&self, task: TaskId) -> bool {
        self.task(task).is_some_and(|t| t.done)
            || self.progress.is_occurrence_done(task.occurrence)
    }

    /// Marks a task as done.
    pub(super) fn set_done(&mut self, task: TaskId) {
        let Some(progress) = self.task_mut(task).filter(|t| !t.done) else {
            return;
        };
        progress.done = true;
        progress.checkpoint.clear();
        let Self {
            frontier,
            graph,
            progress,
            runs,
            ..
        } = self;
        let tasks = progress.tasks.get(&task.occurrence);
        frontier.task_done(task, graph, |step, index| {
            let of_step = tasks.and_then(|steps| steps.get(step as usize));
            let other = of_step.and_then(|tasks| tasks.get(index as usize));
            let id = TaskId {
                step,
                index,
                ..task
            };
            !other.is_some_and(|t| t.done) && !runs.contains_key(&id)
        });
        if !frontier.is_open(task.occurrence) {
            progress.finish_occurrence(task.occurrence);
            let of_occurrence =
                |(occurrence, _): &StepKey| *occurrence == task.occurrence;
            self.ready_at.retain(|key, _| !of_occurrence(key));
        }
    }

    /// Returns the progress that is written to the store.
    pub(super) fn stored_progress(&self) -> Cow<'_, Progress> {
        if self.is_unstorable {
            let mut state = Progress::default();
            state.state = self.progress.state;
            state.ended_ms = self.progress.ended_ms;
            return Cow::Owned(state);
        }
        if !self.leaves_out_checkpoints {
            return Cow::Borrowed(&self.progress);
        }
        let mut progress = self.progress.clone();
        for task in progress.tasks.values_mut().flatten().flatten() {
            task.checkpoint.clear();
        }
        Cow::Owned(progress)
    }

    /// Returns the progress of a task, and creates it if there is none yet.
    /// Returns `None` for a task that the job does not have, and if its
    /// occurrence is done.
    pub(super) fn task_mut(
        &mut self,
        task: TaskId,
    ) -> Option<&mut TaskProgress> {
        let steps = &self.batch.steps;
        if task.occurrence >= self.batch.occurrences()
            || self.progress.is_occurrence_done(task.occurrence)
        {
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

    /// Returns whether all steps of all occurrences are done.
    pub(super) fn is_done(&self) -> bool {
        self.frontier.done() >= self.batch.occurrences()
    }

    /// Returns whether a task or a gang has used up its attempts. Persistent
    /// steps have no limit.
    pub(super) fn has_failed(&self) -> bool {
        self.failed_task
            .is_some_and(|task| !self.is_task_done(task))
    }

    /// Returns whether a task has used up its attempts.
    fn is_task_failed(&self, task: TaskId) -> bool {
        let is_limited = self.batch.step(task).is_some_and(|s| !s.persistent);
        let attempts = self.batch.attempts.max(1);
        is_limited
            && self
                .task(task)
                .is_some_and(|t| !t.done && t.failures >= attempts)
    }

    /// Looks for a task that has used up its attempts.
    fn find_failed_task(&self) -> Option<TaskId> {
        let steps = self.progress.tasks.iter().flat_map(|(k, steps)| {
            (0..).zip(steps).map(move |(step, tasks)| (*k, step, tasks))
        });
        let mut tasks = steps.flat_map(|(occurrence, step, tasks)| {
            let job = self.batch.id;
            (0..).zip(tasks).map(move |(index, _)| TaskId {
                job,
                occurrence,
                step,
                index,
            })
        });
        tasks.find(|task| self.is_task_failed(*task))
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
        if self.is_task_failed(counting_task) {
            self.failed_task = Some(counting_task);
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
            is_backfill: false,
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
        self.insert_run(task, run);
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

    /// Returns the current runs of the step and occurrence of a task.
    pub(super) fn runs_of_step(
        &self,
        id: TaskId,
    ) -> impl Iterator<Item = (&TaskId, &Run)> {
        let first = TaskId { index: 0, ..id };
        let last = TaskId {
            index: u32::MAX,
            ..id
        };
        self.runs.range(first..=last)
    }

    /// Returns the largest number of accelerators that one step of the job
    /// needs.
    pub(super) fn max_step_accelerators(&self) -> u64 {
        self.graph.max_accelerators()
    }

    /// Returns the latest end of an occurrence that still meets the caller's
    /// deadline, in milliseconds since 1970.
    pub(super) fn due_ms(&self, occurrence: u32) -> u64 {
        let stretch = self.batch.stretch.clamp(0.0, 1e6);
        let allowed = self.graph.critical_path().mul_f64(stretch);
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
        self.graph.time_after(step)
    }

    /// Returns how long the job may wait in total and still meet its
    /// deadline. Its work is assumed to take `typical_duration` at least.
    pub(super) fn slack(&self, typical_duration: Duration) -> Duration {
        let critical_path = self.graph.critical_path().max(typical_duration);
        let extra = (self.batch.stretch - 1.0).clamp(0.0, 1e6);
        critical_path.mul_f64(extra) + self.batch.target
    }
}
