//! Estimates of how fast each worker is relative to the others.
//!
//! Workers of a pool can differ in speed or become slow. All tasks of one
//! step do the same work, so their rates of progress can be compared to
//! estimate the speeds of their workers. This matters most for gangs: a gang
//! is only as fast as its slowest member.
//!
//! [`Speeds`] has the estimates, or [`LearntSpeeds`] where the feature
//! `worker_speeds` is on.

use std::{collections::BTreeMap, time::Duration};

use figrill_state::batch::{BatchId, TaskId};

mod belief;
mod learner;
mod queue_ratio;
mod run_rate;
mod worker_speed;

pub(super) use learner::{LearntSpeeds, SpeedChange, Work};

/// The minimum duration of a rate sample.
const MIN_SAMPLE_DURATION: Duration = Duration::from_millis(400);

/// The duration after which a rate is computed even if progress is below
/// [`MIN_SAMPLE_PERCENT`].
const MAX_SAMPLE_DURATION: Duration = Duration::from_millis(1500);

/// The progress, in percent, from which a rate sample is precise enough.
const MIN_SAMPLE_PERCENT: u32 = 4;

/// The progress, in percent, from which no rates are computed, because a
/// member of a gang may be waiting for the others.
const NEARLY_DONE_PERCENT: u32 = 99;

/// The maximum age of another task's rate for a comparison.
const MAX_RATE_AGE: Duration = Duration::from_millis(2500);

/// The weight of a new comparison in the exponential moving average.
const SMOOTHING_FACTOR: f64 = 0.2;

/// Speeds below this, as a natural logarithm, are treated as a transient
/// fault: 0.67 times the speed of most workers.
const FAULT_LN: f64 = -0.4;

/// The half-life of the difference between a speed and [`FAULT_LN`], for
/// speeds below it: the worker is assumed to recover at this rate while
/// nothing new is measured.
const FAULT_HALF_LIFE: Duration = Duration::from_secs(4);

/// The minimum progress assumed in a sample, in percent. Reported progress
/// is rounded down, so a difference of zero may hide real progress.
const MIN_PROGRESS_PERCENT: f64 = 0.5;

/// The speed of a worker, in the classes that matter for placement.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd,
)]
pub(super) enum SpeedClass {
    /// Clearly faster than most workers.
    Fast,
    /// As fast as most workers, or of unknown speed.
    #[default]
    Normal,
    /// Clearly slower than most workers.
    Slow,
    /// So slow that the worker is probably faulty.
    Faulty,
}

/// The lower bounds of the speed classes, as natural logarithms: 1.11, 0.9
/// and 0.6 times the speed of most workers.
const FAST_LN: f64 = 0.104;
const NORMAL_LN: f64 = -0.105;
const SLOW_LN: f64 = -0.511;

#[derive(Clone, Copy, Debug)]
struct Speed {
    /// Natural logarithm of the speed relative to most workers.
    ln: f64,
    updated_at: Duration,
}

/// The rate measurement of a running task.
#[derive(Clone, Debug)]
struct Sample {
    agent: String,
    run: u32,
    /// The upstream's clock, in milliseconds, and the progress, in percent,
    /// at the start of the current sample.
    start: (u64, u32),
    /// The latest rate, as the natural logarithm of percent per second, and
    /// the time at which it was computed.
    rate: Option<(f64, Duration)>,
}

/// Identifies tasks that do the same work: job, occurrence and step.
type StepKey = (BatchId, u32, u32);

/// The estimated speeds of all workers.
#[derive(Debug, Default)]
pub(super) struct Speeds {
    speeds: BTreeMap<String, Speed>,
    samples: BTreeMap<StepKey, BTreeMap<u32, Sample>>,
}

/// The progress of a running task, as listed in a snapshot.
pub(super) struct Observation<'a> {
    pub(super) task: TaskId,
    pub(super) run: u32,
    pub(super) agent: &'a str,
    /// The upstream's clock, in milliseconds.
    pub(super) clock_ms: u64,
    pub(super) percent: u32,
}

impl Speeds {
    /// Records the progress of a task, and updates the speed of its worker
    /// when a new rate can be computed.
    pub(super) fn observe(
        &mut self,
        now: Duration,
        observation: &Observation<'_>,
    ) {
        let task = observation.task;
        let step_key = (task.job, task.occurrence, task.step);
        let samples = self.samples.entry(step_key).or_default();
        let new_sample = Sample {
            agent: observation.agent.to_owned(),
            run: observation.run,
            start: (observation.clock_ms, observation.percent),
            rate: None,
        };
        let sample = samples
            .entry(task.index)
            .or_insert_with(|| new_sample.clone());
        if sample.run != observation.run || sample.agent != observation.agent {
            *sample = new_sample;
            return;
        }
        if observation.percent >= NEARLY_DONE_PERCENT {
            return;
        }
        let Some(rate) =
            rate(sample.start, (observation.clock_ms, observation.percent))
        else {
            return;
        };
        sample.start = (observation.clock_ms, observation.percent);
        sample.rate = Some((rate, now));
        self.compare(now, step_key, observation.agent, rate);
    }

    /// Updates the speed of a worker by comparing a rate with those of tasks
    /// of the same step on other workers.
    fn compare(
        &mut self,
        now: Duration,
        step_key: StepKey,
        agent: &str,
        rate: f64,
    ) {
        let Some(samples) = self.samples.get(&step_key) else {
            return;
        };
        let mut sum = 0.0;
        let mut count = 0_u32;
        for other in samples.values().filter(|s| s.agent != agent) {
            let Some((other_rate, at)) = other.rate else {
                continue;
            };
            if now <= at + MAX_RATE_AGE {
                sum += other_rate - self.log_speed(now, &other.agent);
                count += 1;
            }
        }
        if count == 0 {
            return;
        }
        let measured = rate - sum / f64::from(count);
        let known = self.log_speed(now, agent);
        let ln = known + SMOOTHING_FACTOR * (measured - known);
        let speed = Speed {
            ln,
            updated_at: now,
        };
        self.speeds.insert(agent.to_owned(), speed);
    }

    /// Removes the samples of a job.
    pub(super) fn remove_job(&mut self, job: BatchId) {
        let first = (job, 0, 0);
        let last = (job, u32::MAX, u32::MAX);
        let keys: Vec<StepKey> =
            self.samples.range(first..=last).map(|(k, _)| *k).collect();
        for key in keys {
            self.samples.remove(&key);
        }
    }

    /// Returns the natural logarithm of a worker's speed; zero if unknown.
    fn log_speed(&self, now: Duration, agent: &str) -> f64 {
        let Some(speed) = self.speeds.get(agent) else {
            return 0.0;
        };
        if speed.ln >= FAULT_LN {
            return speed.ln;
        }
        let elapsed = now.saturating_sub(speed.updated_at).as_secs_f64();
        let remaining_share =
            0.5_f64.powf(elapsed / FAULT_HALF_LIFE.as_secs_f64());
        FAULT_LN + (speed.ln - FAULT_LN) * remaining_share
    }

    /// Returns the speed class of a worker.
    pub(super) fn speed_class(
        &self,
        now: Duration,
        agent: &str,
    ) -> SpeedClass {
        let ln = self.log_speed(now, agent);
        if ln >= FAST_LN {
            SpeedClass::Fast
        } else if ln >= NORMAL_LN {
            SpeedClass::Normal
        } else if ln >= SLOW_LN {
            SpeedClass::Slow
        } else {
            SpeedClass::Faulty
        }
    }
}

/// Returns the natural logarithm of the rate between two observations, in
/// percent per second. Returns `None` while they are too close together.
fn rate(start: (u64, u32), end: (u64, u32)) -> Option<f64> {
    let elapsed = Duration::from_millis(end.0.saturating_sub(start.0));
    let gained = end.1.saturating_sub(start.1);
    let is_precise =
        elapsed >= MIN_SAMPLE_DURATION && gained >= MIN_SAMPLE_PERCENT;
    if !is_precise && elapsed < MAX_SAMPLE_DURATION {
        return None;
    }
    let gained = f64::from(gained).max(MIN_PROGRESS_PERCENT);
    Some((gained / elapsed.as_secs_f64()).ln())
}
