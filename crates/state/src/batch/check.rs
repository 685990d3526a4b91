//! Checks of records of jobs. Another writer may have left any bytes under
//! their keys, so a record is checked before anything is computed from it.

use std::time::Duration;

use super::{BadRecord, Batch, BatchId, Progress, Step, TaskProgress, decode};

/// The maximum number of tasks in one occurrence of a job.
const MAX_TASKS: u32 = 4096;

/// The maximum number of tasks in all occurrences of a job together. The
/// coordinator keeps the progress of each in memory once it is due.
const MAX_TOTAL_TASKS: u64 = 1 << 20;

/// The maximum estimated run time of a task, which is 10⁹ seconds.
const MAX_ESTIMATE_MS: u64 = 1_000_000_000_000;

/// The maximum of [`Batch::target`].
const MAX_TARGET: Duration = Duration::from_secs(1_000_000_000);

/// The maximum time in a record, in milliseconds since the Unix epoch. It lies
/// hundreds of thousands of years ahead, and sums with it do not overflow.
const MAX_TIME_MS: u64 = 1 << 53;

/// The maximum number of runs and of failures of a task. No task gets near it.
const MAX_RUNS: u32 = 1 << 30;

impl Batch {
    /// Returns why the job can never run; `None` if it is valid. The reason is
    /// sent to the caller.
    #[must_use]
    pub fn validation_error(&self) -> Option<String> {
        if self.steps.is_empty() {
            return Some("steps: at least one is needed".to_owned());
        }
        let mut tasks = 0_u32;
        for (index, step) in self.steps.iter().enumerate() {
            tasks = tasks.saturating_add(step.count);
            if let Some(why) = step_error(index, step) {
                return Some(why);
            }
        }
        if tasks > MAX_TASKS {
            return Some(format!("steps: {tasks} tasks, over {MAX_TASKS}"));
        }
        let total = u64::from(tasks) * u64::from(self.occurrences());
        if total > MAX_TOTAL_TASKS {
            return Some(format!("{total} tasks, over {MAX_TOTAL_TASKS}"));
        }
        self.time_error()
    }

    /// Returns which of the job's times is out of range.
    fn time_error(&self) -> Option<String> {
        if self.schedule.is_some_and(|s| s.times == 0) {
            return Some("the schedule has no occurrence".to_owned());
        }
        let last_due_ms = self.due_ms(self.occurrences().saturating_sub(1));
        if last_due_ms > MAX_TIME_MS {
            return Some("the schedule is out of range".to_owned());
        }
        let out_of_range =
            self.target > MAX_TARGET || self.accepted_ms > MAX_TIME_MS;
        out_of_range.then(|| "a time is out of range".to_owned())
    }
}

fn step_error(index: usize, step: &Step) -> Option<String> {
    if step.count == 0 {
        return Some(format!("steps[{index}].count: 0"));
    }
    if step.estimate_ms > MAX_ESTIMATE_MS {
        return Some(format!("steps[{index}]: estimate out of range"));
    }
    let invalid = step.after.iter().find(|s| **s as usize >= index)?;
    Some(format!(
        "steps[{index}].after: step {invalid} is not earlier"
    ))
}

/// Decodes the record of the job `id`.
///
/// # Errors
///
/// Returns a [`BadRecord`] if it can't be decoded, is that of another job, or
/// is one that no entry accepts.
pub fn decode_job(id: BatchId, bytes: &[u8]) -> Result<Batch, BadRecord> {
    let batch: Batch = decode(bytes)?;
    if batch.id != id {
        return Err(BadRecord(format!("it is that of job {}", batch.id)));
    }
    match batch.validation_error() {
        Some(why) => Err(BadRecord(why)),
        None => Ok(batch),
    }
}

/// Decodes the progress of a job.
///
/// # Errors
///
/// Returns a [`BadRecord`] if it can't be decoded or does not have the tasks
/// of `batch`.
pub fn decode_progress(
    batch: &Batch,
    bytes: &[u8],
) -> Result<Progress, BadRecord> {
    let progress: Progress = decode(bytes)?;
    let has_tasks = |(occurrence, steps): (&u32, &Vec<Vec<TaskProgress>>)| {
        let counts = steps.iter().map(Vec::len);
        *occurrence < batch.occurrences()
            && counts.eq(batch.steps.iter().map(|s| s.count as usize))
    };
    let last = progress.last_occurrence();
    let is_beyond = last.is_some_and(|k| k >= batch.occurrences());
    let is_open = |k: &u32| !progress.is_occurrence_done(*k);
    if is_beyond
        || !progress.tasks.iter().all(has_tasks)
        || !progress.tasks.keys().all(is_open)
    {
        return Err(BadRecord("its tasks are not the job's".to_owned()));
    }
    let in_range =
        |t: &TaskProgress| t.run <= MAX_RUNS && t.failures <= MAX_RUNS;
    if !progress.tasks.values().flatten().flatten().all(in_range) {
        return Err(BadRecord("a number is out of range".to_owned()));
    }
    Ok(progress)
}
