//! What a core-second of a job's work is worth to its caller.
//!
//! Callers value jobs, not core-seconds: an urgent job of a few seconds is
//! worth more than a long one of low priority that needs ten times its work.
//! So a job with the mean work of its queue is worth the weight of its
//! priority, and others in proportion to their work.

use std::{collections::BTreeMap, time::Duration};

use figrill_state::batch::{Batch, Step};

use super::{super::victims::cores, weight};

/// The number of jobs over which the mean work of a queue is taken, so that it
/// follows changes of the queue's use.
const MEAN_WINDOW_JOBS: f64 = 50.0;

/// The least work that a job counts with, in core-seconds. A job without an
/// estimate would make the value of others infinite.
const MIN_WORK: f64 = 0.1;

/// The maximum number of queues with a mean of their own.
const MAX_QUEUES: usize = 4096;

/// The mean work of the jobs of one queue.
#[derive(Clone, Copy, Debug, Default)]
struct MeanWork {
    core_seconds: f64,
    jobs: f64,
}

/// The mean work of the jobs of each queue.
#[derive(Debug, Default)]
pub(in super::super) struct JobValues(BTreeMap<String, MeanWork>);

impl JobValues {
    /// Records a job, and returns the value of a core-second of its work.
    pub(in super::super) fn record(&mut self, batch: &Batch) -> f64 {
        let work = work(batch).max(MIN_WORK);
        if !self.0.contains_key(&batch.queue) && self.0.len() >= MAX_QUEUES {
            return weight(batch.priority) / work;
        }
        let mean = self.0.entry(batch.queue.clone()).or_default();
        mean.jobs = (mean.jobs + 1.0).min(MEAN_WINDOW_JOBS);
        mean.core_seconds += (work - mean.core_seconds) / mean.jobs;
        weight(batch.priority) / mean.core_seconds
    }
}

/// Returns the work of a job in core-seconds, by its estimates.
fn work(batch: &Batch) -> f64 {
    let of_step = |step: &Step| {
        let estimate = Duration::from_millis(step.estimate_ms);
        cores(&step.needs) * estimate.as_secs_f64() * f64::from(step.count)
    };
    batch.steps.iter().map(of_step).sum()
}
