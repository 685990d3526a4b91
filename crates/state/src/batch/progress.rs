//! The progress of a job, and its record in the store.
//!
//! A job has one record, which the store limits in size. So the record leaves
//! out the tasks of occurrences that are done, and names each worker once.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{BatchState, Placement};

/// The progress of a task.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TaskProgress {
    /// The highest number of a run that may have been ordered; 0 if there is
    /// none.
    pub run: u32,
    /// Where that run may be active; `None` once it has certainly ended.
    pub placement: Option<Placement>,
    /// Whether the task is done.
    pub done: bool,
    /// The number of failed runs. For a gang, it is counted on the first
    /// task.
    pub failures: u32,
    /// The last run that was counted in `failures`, so that none is counted
    /// twice.
    pub failed_run: u32,
    /// The latest known checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// The progress of a job, written by the coordinator.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "ProgressRecord", into = "ProgressRecord")]
pub struct Progress {
    /// The state reported to callers.
    pub state: BatchState,
    /// The tasks by occurrence, step and index, of occurrences that are not
    /// done.
    pub tasks: BTreeMap<u32, Vec<Vec<TaskProgress>>>,
    /// The occurrences that are done: the first and the last one of each
    /// range, in order.
    done: Vec<(u32, u32)>,
    /// When the job ended, in milliseconds since the Unix epoch; 0 until then.
    pub ended_ms: u64,
    /// The service that runs the job since its queue was moved; empty if that
    /// is the one of the job's record.
    pub service: String,
}

impl Progress {
    /// Returns whether an occurrence was recorded as done.
    #[must_use]
    pub fn is_occurrence_done(&self, occurrence: u32) -> bool {
        let after = self.done.partition_point(|range| range.0 <= occurrence);
        let range = after.checked_sub(1).and_then(|i| self.done.get(i));
        range.is_some_and(|(_, last)| occurrence <= *last)
    }

    /// Returns the last occurrence of which the progress has anything.
    #[must_use]
    pub fn last_occurrence(&self) -> Option<u32> {
        let done = self.done.last().map(|(_, last)| *last);
        let open = self.tasks.last_key_value().map(|(k, _)| *k);
        done.max(open)
    }

    /// Records that an occurrence is done. Its tasks are dropped.
    pub fn finish_occurrence(&mut self, occurrence: u32) {
        self.tasks.remove(&occurrence);
        if self.is_occurrence_done(occurrence) {
            return;
        }
        let index = self.done.partition_point(|range| range.0 < occurrence);
        self.done.insert(index, (occurrence, occurrence));
        self.join_ranges(index);
        if let Some(previous) = index.checked_sub(1) {
            self.join_ranges(previous);
        }
    }

    /// Joins a range with the next one if nothing is between them.
    fn join_ranges(&mut self, index: usize) {
        let Some((_, next_last)) = self.done.get(index + 1).copied() else {
            return;
        };
        let (_, last) = self.done[index];
        if self.done[index + 1].0 == last + 1 {
            self.done[index].1 = next_last;
            self.done.remove(index + 1);
        }
    }
}

/// The record of a [`Progress`]. Most fields of most tasks have their default
/// and are left out.
#[derive(Serialize, Deserialize)]
struct ProgressRecord {
    state: BatchState,
    tasks: BTreeMap<u32, Vec<Vec<TaskRecord>>>,
    ended_ms: u64,
    #[serde(default, skip_serializing_if = "String::is_empty")]
    service: String,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    done: Vec<(u32, u32)>,
    /// The workers and incarnations at which there are runs.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    placements: Vec<Placement>,
}

#[derive(Default, Serialize, Deserialize)]
#[serde(default)]
struct TaskRecord {
    #[serde(rename = "r", skip_serializing_if = "is_default")]
    run: u32,
    /// The placement itself, in records of earlier builds.
    #[serde(rename = "p", skip_serializing_if = "Option::is_none")]
    placement: Option<Placement>,
    /// The index of the placement.
    #[serde(rename = "w", skip_serializing_if = "Option::is_none")]
    placement_index: Option<usize>,
    #[serde(rename = "d", skip_serializing_if = "is_default")]
    done: bool,
    #[serde(rename = "f", skip_serializing_if = "is_default")]
    failures: u32,
    #[serde(rename = "g", skip_serializing_if = "is_default")]
    failed_run: u32,
    #[serde(rename = "c", skip_serializing_if = "String::is_empty")]
    checkpoint: String,
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

impl From<Progress> for ProgressRecord {
    fn from(v: Progress) -> Self {
        let mut indices: BTreeMap<Placement, usize> = BTreeMap::new();
        let mut task_record = |task: TaskProgress| {
            let placement_index = task.placement.map(|placement| {
                let next = indices.len();
                *indices.entry(placement).or_insert(next)
            });
            TaskRecord {
                run: task.run,
                placement: None,
                placement_index,
                done: task.done,
                failures: task.failures,
                failed_run: task.failed_run,
                checkpoint: task.checkpoint,
            }
        };
        let mut step_records = |tasks: Vec<TaskProgress>| {
            tasks.into_iter().map(&mut task_record).collect()
        };
        let tasks = v.tasks.into_iter().map(|(occurrence, steps)| {
            let steps = steps.into_iter().map(&mut step_records).collect();
            (occurrence, steps)
        });
        let tasks = tasks.collect();
        let mut placements: Vec<(usize, Placement)> =
            indices.into_iter().map(|(p, index)| (index, p)).collect();
        placements.sort_unstable_by_key(|(index, _)| *index);
        Self {
            state: v.state,
            tasks,
            ended_ms: v.ended_ms,
            service: v.service,
            done: v.done,
            placements: placements.into_iter().map(|(_, p)| p).collect(),
        }
    }
}

impl TryFrom<ProgressRecord> for Progress {
    type Error = String;

    fn try_from(w: ProgressRecord) -> Result<Self, String> {
        let task = |task: TaskRecord| {
            let placement = match task.placement_index {
                Some(index) => {
                    let placement = w.placements.get(index).cloned();
                    Some(placement.ok_or("a task has an unknown placement")?)
                }
                None => task.placement,
            };
            Ok(TaskProgress {
                run: task.run,
                placement,
                done: task.done,
                failures: task.failures,
                failed_run: task.failed_run,
                checkpoint: task.checkpoint,
            })
        };
        let mut tasks = BTreeMap::new();
        for (occurrence, steps) in w.tasks {
            let steps: Result<Vec<Vec<TaskProgress>>, String> = steps
                .into_iter()
                .map(|tasks| tasks.into_iter().map(task).collect())
                .collect();
            tasks.insert(occurrence, steps?);
        }
        let is_range = |(first, last): &(u32, u32)| first <= last;
        let is_after = |pair: &[(u32, u32)]| pair[0].1 < pair[1].0;
        if !w.done.iter().all(is_range) || !w.done.windows(2).all(is_after) {
            return Err("the occurrences that are done overlap".to_owned());
        }
        Ok(Self {
            state: w.state,
            tasks,
            done: w.done,
            ended_ms: w.ended_ms,
            service: w.service,
        })
    }
}
