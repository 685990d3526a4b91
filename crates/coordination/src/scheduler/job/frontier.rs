//! The tasks of a job that wait to be placed, kept up to date as tasks end and
//! runs come and go. A planning pass looks at these alone, so its cost does
//! not grow with the steps and occurrences that are done, blocked or at work.

use std::collections::{BTreeMap, BTreeSet};

use figrill_state::batch::TaskId;

use super::step_graph::StepGraph;

/// The maximum number of steps of one job that a planning pass looks at.
const MAX_STEPS_PER_PASS: usize = 64;

/// The maximum number of tasks in the open occurrences of a job, unless there
/// is only one. The record of a job has all of them, at most some 100 bytes
/// each, and the store accepts no larger ones than 1 MiB.
const MAX_OPEN_TASKS: u64 = 8192;

/// An occurrence and the index of a step in it.
pub(in super::super) type StepKey = (u32, u32);

/// An occurrence that is due and not done.
#[derive(Debug)]
struct OpenOccurrence {
    /// The number of dependencies of each step that are not done.
    blocked_by: Vec<u32>,
    /// The number of tasks of each step that are not done.
    open_tasks: Vec<u32>,
    /// The number of steps that are not done.
    open_steps: usize,
}

/// The tasks of a job that wait to be placed.
#[derive(Debug, Default)]
pub(super) struct Frontier {
    /// The number of occurrences that were opened, which are the first ones.
    opened: u32,
    /// The number of occurrences that are done.
    done: u32,
    open: BTreeMap<u32, OpenOccurrence>,
    /// The indices of the waiting tasks of each step that is not blocked, if
    /// there are any.
    waiting: BTreeMap<StepKey, BTreeSet<u32>>,
    /// The steps in `waiting`, by their shape.
    by_shape: BTreeMap<usize, BTreeSet<StepKey>>,
    /// The shape with which the next planning pass begins.
    next_shape: usize,
}

impl Frontier {
    /// Returns the number of occurrences that were opened.
    pub(super) fn opened(&self) -> u32 {
        self.opened
    }

    /// Returns the number of occurrences that are done.
    pub(super) fn done(&self) -> u32 {
        self.done
    }

    /// Returns whether an occurrence is open: due and not done.
    pub(super) fn is_open(&self, occurrence: u32) -> bool {
        self.open.contains_key(&occurrence)
    }

    /// Returns whether another occurrence may be open.
    pub(super) fn has_room(&self, graph: &StepGraph) -> bool {
        let tasks = graph.counts().iter().map(|count| u64::from(*count));
        let tasks: u64 = tasks.sum();
        let open = u64::try_from(self.open.len()).unwrap_or(u64::MAX);
        open == 0 || open.saturating_add(1) * tasks <= MAX_OPEN_TASKS
    }

    /// Passes over the next occurrence, which is done.
    pub(super) fn skip_done(&mut self) {
        self.opened += 1;
        self.done += 1;
    }

    /// Opens the next occurrence. `is_done` tells which of its tasks are done.
    pub(super) fn open_next(
        &mut self,
        graph: &StepGraph,
        is_done: impl Fn(u32, u32) -> bool,
    ) {
        let occurrence = self.opened;
        self.opened += 1;
        let mut state = OpenOccurrence {
            blocked_by: graph.dependencies().to_vec(),
            open_tasks: graph.counts().to_vec(),
            open_steps: graph.counts().len(),
        };
        for (step, open_tasks) in (0..).zip(&mut state.open_tasks) {
            let done = (0..*open_tasks).filter(|index| is_done(step, *index));
            *open_tasks -= u32::try_from(done.count()).unwrap_or(0);
            if *open_tasks == 0 {
                state.open_steps -= 1;
                for dependent in graph.dependents(step) {
                    state.blocked_by[*dependent as usize] -= 1;
                }
            }
        }
        if state.open_steps == 0 {
            self.done += 1;
            return;
        }
        let unblocked: Vec<u32> = (0..)
            .zip(&state.blocked_by)
            .filter(|(_, n)| **n == 0)
            .map(|(step, _)| step)
            .collect();
        self.open.insert(occurrence, state);
        for step in unblocked {
            self.unblock((occurrence, step), graph, |index| {
                !is_done(step, index)
            });
        }
    }

    /// Adds the tasks of a step that has no dependency left.
    fn unblock(
        &mut self,
        key: StepKey,
        graph: &StepGraph,
        is_waiting: impl Fn(u32) -> bool,
    ) {
        let count = graph.counts().get(key.1 as usize).copied();
        let tasks: BTreeSet<u32> =
            (0..count.unwrap_or(0)).filter(|i| is_waiting(*i)).collect();
        if !tasks.is_empty() {
            self.waiting.insert(key, tasks);
            let shape = graph.shape(key.1);
            self.by_shape.entry(shape).or_default().insert(key);
        }
    }

    /// Records that a task is done, which was not done before. `is_waiting`
    /// tells which tasks of other steps of the occurrence are neither done nor
    /// have a run.
    pub(super) fn task_done(
        &mut self,
        task: TaskId,
        graph: &StepGraph,
        is_waiting: impl Fn(u32, u32) -> bool,
    ) {
        let (occurrence, step) = (task.occurrence, task.step);
        self.remove((occurrence, step), task.index, graph);
        let Some(state) = self.open.get_mut(&occurrence) else {
            return;
        };
        let Some(open_tasks) = state.open_tasks.get_mut(step as usize) else {
            return;
        };
        *open_tasks = open_tasks.saturating_sub(1);
        if *open_tasks > 0 {
            return;
        }
        state.open_steps -= 1;
        let mut unblocked = Vec::new();
        for dependent in graph.dependents(step) {
            let blocked_by = &mut state.blocked_by[*dependent as usize];
            *blocked_by -= 1;
            if *blocked_by == 0 {
                unblocked.push(*dependent);
            }
        }
        if state.open_steps == 0 {
            self.open.remove(&occurrence);
            self.done += 1;
        }
        for dependent in unblocked {
            self.unblock((occurrence, dependent), graph, |index| {
                is_waiting(dependent, index)
            });
        }
    }

    /// Records that a task has a run.
    pub(super) fn run_added(&mut self, task: TaskId, graph: &StepGraph) {
        self.remove((task.occurrence, task.step), task.index, graph);
    }

    /// Records that a task that is not done has no run any more.
    pub(super) fn run_removed(&mut self, task: TaskId, graph: &StepGraph) {
        let key = (task.occurrence, task.step);
        let blocked_by = self
            .open
            .get(&task.occurrence)
            .and_then(|state| state.blocked_by.get(task.step as usize));
        if blocked_by == Some(&0) {
            self.waiting.entry(key).or_default().insert(task.index);
            let shape = graph.shape(task.step);
            self.by_shape.entry(shape).or_default().insert(key);
        }
    }

    fn remove(&mut self, key: StepKey, index: u32, graph: &StepGraph) {
        let Some(waiting) = self.waiting.get_mut(&key) else {
            return;
        };
        waiting.remove(&index);
        if !waiting.is_empty() {
            return;
        }
        self.waiting.remove(&key);
        let shape = graph.shape(key.1);
        if let Some(steps) = self.by_shape.get_mut(&shape) {
            steps.remove(&key);
            if steps.is_empty() {
                self.by_shape.remove(&shape);
            }
        }
    }

    /// Returns the indices of the waiting tasks of a step.
    pub(super) fn waiting(&self, key: StepKey) -> &BTreeSet<u32> {
        static NONE: BTreeSet<u32> = BTreeSet::new();
        self.waiting.get(&key).unwrap_or(&NONE)
    }

    /// Returns the steps that the next planning pass looks at, in order, and
    /// whether there are more: the first ones of each shape, which the others
    /// of that shape can't precede. If there are too many shapes, the passes
    /// take turns.
    pub(super) fn next_steps(&mut self) -> (Vec<StepKey>, bool) {
        let shapes = self.by_shape.len().clamp(1, MAX_STEPS_PER_PASS);
        let steps_per_shape = MAX_STEPS_PER_PASS / shapes;
        let from = self.by_shape.range(self.next_shape..);
        let wrapped = self.by_shape.range(..self.next_shape);
        let mut steps = Vec::new();
        let mut last = None;
        for (shape, keys) in from.chain(wrapped).take(shapes) {
            steps.extend(keys.iter().take(steps_per_shape).copied());
            last = Some(*shape);
        }
        self.next_shape = last.map_or(0, |shape| shape + 1);
        steps.sort_unstable();
        let has_more = steps.len() < self.waiting.len();
        (steps, has_more)
    }
}
