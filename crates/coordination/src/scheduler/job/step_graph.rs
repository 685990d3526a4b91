//! What follows from the steps of a job alone, computed once for each job.

use std::time::Duration;

use figrill_state::batch::Step;

/// The dependencies between the steps of a job, and the times that follow from
/// their estimates. Building it takes time linear in the number of steps and
/// of dependencies.
#[derive(Debug)]
pub(super) struct StepGraph {
    /// The steps that come after each step, once for each time that they name
    /// it.
    dependents: Vec<Vec<u32>>,
    /// The number of dependencies of each step.
    dependencies: Vec<u32>,
    /// The number of tasks of each step.
    counts: Vec<u32>,
    /// The length of the longest chain of steps that follow each step, in
    /// milliseconds.
    time_after_ms: Vec<u64>,
    critical_path_ms: u64,
    max_accelerators: u64,
    /// The shape of each step: steps of one shape fit on the same workers.
    shapes: Vec<usize>,
}

impl StepGraph {
    pub(super) fn new(steps: &[Step]) -> Self {
        let mut dependents = vec![Vec::new(); steps.len()];
        let mut dependencies = vec![0; steps.len()];
        for (index, step) in (0..).zip(steps) {
            for dependency in &step.after {
                if let Some(list) = dependents.get_mut(*dependency as usize) {
                    list.push(index);
                    dependencies[index as usize] += 1;
                }
            }
        }
        // Dependencies are earlier steps, so all that follows a step is known
        // when it is reached from the end.
        let mut time_after_ms = vec![0_u64; steps.len()];
        let mut critical_path_ms = 0;
        for (index, step) in steps.iter().enumerate().rev() {
            let chain = |d: &u32| {
                let d = *d as usize;
                time_after_ms[d].saturating_add(steps[d].estimate_ms)
            };
            let after = dependents[index].iter().map(chain).max();
            time_after_ms[index] = after.unwrap_or(0);
            let whole = time_after_ms[index].saturating_add(step.estimate_ms);
            critical_path_ms = critical_path_ms.max(whole);
        }
        let accelerators =
            |s: &Step| s.needs.accelerators.saturating_mul(s.count.into());
        let max_accelerators = steps.iter().map(accelerators).max();
        Self {
            dependents,
            dependencies,
            counts: steps.iter().map(|s| s.count).collect(),
            time_after_ms,
            critical_path_ms,
            max_accelerators: max_accelerators.unwrap_or(0),
            shapes: shapes_of(steps),
        }
    }

    /// Returns the number of tasks of each step.
    pub(super) fn counts(&self) -> &[u32] {
        &self.counts
    }

    /// Returns the number of steps that each step depends on.
    pub(super) fn dependencies(&self) -> &[u32] {
        &self.dependencies
    }

    /// Returns the steps that depend on a step.
    pub(super) fn dependents(&self, step: u32) -> &[u32] {
        self.dependents
            .get(step as usize)
            .map_or(&[], Vec::as_slice)
    }

    /// Returns the length of the longest chain of steps that follow a step, by
    /// their estimates.
    pub(super) fn time_after(&self, step: u32) -> Duration {
        let ms = self.time_after_ms.get(step as usize).copied();
        Duration::from_millis(ms.unwrap_or(0))
    }

    /// Returns the length of the longest chain of steps, by their estimates.
    pub(super) fn critical_path(&self) -> Duration {
        Duration::from_millis(self.critical_path_ms)
    }

    /// Returns the largest number of accelerators that one step needs.
    pub(super) fn max_accelerators(&self) -> u64 {
        self.max_accelerators
    }

    /// Returns the shape of a step.
    pub(super) fn shape(&self, step: u32) -> usize {
        self.shapes.get(step as usize).copied().unwrap_or(0)
    }
}

/// Returns the shape of each step.
fn shapes_of(steps: &[Step]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..steps.len()).collect();
    order.sort_by_key(|i| shape_key(&steps[*i]));
    let mut shapes = vec![0; steps.len()];
    let mut shape = 0;
    for (position, index) in order.iter().enumerate() {
        let previous = position.checked_sub(1).map(|p| &steps[order[p]]);
        let key = shape_key(&steps[*index]);
        if previous.is_some_and(|s| shape_key(s) != key) {
            shape += 1;
        }
        shapes[*index] = shape;
    }
    shapes
}

/// Returns what decides on which workers the tasks of a step fit.
fn shape_key(step: &Step) -> impl Ord + use<'_> {
    let needs = &step.needs;
    let gang_size = if step.gang { step.count } else { 0 };
    (
        (needs.cpu_milli, needs.memory_mib, needs.accelerators),
        (gang_size, step.same_rack, step.max_per_worker),
        (&step.requires, &step.data_rack),
        // A shorter task may use what is reserved for later.
        (step.estimate_ms, step.persistent),
    )
}
