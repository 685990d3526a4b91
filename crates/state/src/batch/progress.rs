//! The progress of a job, and its record in the store.
//!
//! A job has one record, which the store limits in size. So the record leaves
//! out the tasks of occurrences that are done, and names each worker once.
//!
//! Earlier builds do not know this form. They refuse it, because it has `open`
//! where they expect `tasks`, and leave the job to a later coordinator. A record
//! that does not need the new form has the former one.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{BatchState, Placement};

/// The maximum number of placements that are written in full.
const MAX_INLINE_PLACEMENTS: usize = 100;

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
    /// The tasks by occurrence, step and index, in the form of earlier builds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    tasks: Option<TaskRecords>,
    /// The same if `done` or `placements` are used.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    open: Option<TaskRecords>,
    ended_ms: u64,
    #[serde(default, skip_serializing_if = "String::is_empty")]
    service: String,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    done: Vec<(u32, u32)>,
    /// The workers and incarnations at which there are runs.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    placements: Vec<Placement>,
}

type TaskRecords = BTreeMap<u32, Vec<Vec<TaskRecord>>>;

#[derive(Default, Serialize, Deserialize)]
#[serde(default)]
struct TaskRecord {
    #[serde(rename = "r", skip_serializing_if = "is_default")]
    run: u32,
    /// The placement itself, in the form of earlier builds.
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

impl TaskRecord {
    /// Returns the record of a task. `index_of` gives a placement its index;
    /// without it, the placement is written in full.
    fn new(
        task: TaskProgress,
        index_of: Option<&mut impl FnMut(Placement) -> usize>,
    ) -> Self {
        let (placement, placement_index) = match (task.placement, index_of) {
            (Some(placement), Some(index_of)) => {
                (None, Some(index_of(placement)))
            }
            (placement, _) => (placement, None),
        };
        Self {
            run: task.run,
            placement,
            placement_index,
            done: task.done,
            failures: task.failures,
            failed_run: task.failed_run,
            checkpoint: task.checkpoint,
        }
    }
}

impl From<Progress> for ProgressRecord {
    fn from(v: Progress) -> Self {
        let all = v.tasks.values().flatten().flatten();
        let placed = all.filter(|t| t.placement.is_some()).count();
        let is_former = v.done.is_empty() && placed <= MAX_INLINE_PLACEMENTS;
        let mut indices: BTreeMap<Placement, usize> = BTreeMap::new();
        let mut index_of = |placement| {
            let next = indices.len();
            *indices.entry(placement).or_insert(next)
        };
        let mut records = TaskRecords::new();
        for (occurrence, steps) in v.tasks {
            let steps = steps.into_iter().map(|tasks| {
                let tasks = tasks.into_iter().map(|task| {
                    let index_of = (!is_former).then_some(&mut index_of);
                    TaskRecord::new(task, index_of)
                });
                tasks.collect()
            });
            records.insert(occurrence, steps.collect());
        }
        let mut placements: Vec<(usize, Placement)> =
            indices.into_iter().map(|(p, index)| (index, p)).collect();
        placements.sort_unstable_by_key(|(index, _)| *index);
        let (tasks, open) = if is_former {
            (Some(records), None)
        } else {
            (None, Some(records))
        };
        Self {
            state: v.state,
            tasks,
            open,
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
        let ((Some(records), None) | (None, Some(records))) =
            (w.tasks, w.open)
        else {
            return Err("it has no tasks, or has them twice".to_owned());
        };
        let mut tasks = BTreeMap::new();
        for (occurrence, steps) in records {
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
