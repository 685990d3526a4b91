//! The rate at which tasks fail by their own fault, by queue, and the test
//! whether the failures on a worker are improbable at that rate.

use std::{collections::BTreeMap, time::Duration};

use figrill_state::batch::BatchId;

/// The rate assumed without any runs, and the number of runs that it counts
/// as.
const ASSUMED_RATE: f64 = 0.05;
const ASSUMED_RUNS: f64 = 20.0;

/// The number of runs at which the counts are halved, so that older runs lose
/// weight.
const DECAY_RUNS: f64 = 400.0;

/// The lowest and the highest rate that is assumed of a queue.
const MIN_RATE: f64 = 0.01;
const MAX_RATE: f64 = 0.4;

/// The rate at which runs fail on a faulty worker, as the test assumes.
const FAULTY_RATE: f64 = 0.5;

/// The half-life of a score.
const SCORE_HALF_LIFE: Duration = Duration::from_secs(10);

/// The score, as a natural logarithm, from which failures are improbable. At
/// the assumed rate, five failures in a row reach it.
const IMPROBABLE_SCORE: f64 = 11.0;

/// The score below which earlier failures no longer count.
const NEGLIGIBLE_SCORE: f64 = 0.1;

/// The number of different jobs that must have failed: one job may be faulty.
const MIN_FAILED_JOBS: usize = 2;

/// The counts of a queue.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    failures: f64,
    runs: f64,
}

/// The rate at which tasks fail by their own fault, by queue.
#[derive(Debug, Default)]
pub(in super::super) struct FailureRates(BTreeMap<String, Counts>);

impl FailureRates {
    /// Records the end of a run of a queue.
    pub(super) fn record(&mut self, queue: &str, failed: bool) {
        let counts = self.0.entry(queue.to_owned()).or_default();
        counts.runs += 1.0;
        counts.failures += f64::from(u8::from(failed));
        if counts.runs >= DECAY_RUNS {
            counts.runs /= 2.0;
            counts.failures /= 2.0;
        }
    }

    /// Returns the rate of a queue.
    pub(super) fn rate(&self, queue: &str) -> f64 {
        let counts = self.0.get(queue).copied().unwrap_or_default();
        let failures = counts.failures + ASSUMED_RATE * ASSUMED_RUNS;
        let runs = counts.runs + ASSUMED_RUNS;
        (failures / runs).clamp(MIN_RATE, MAX_RATE)
    }
}

/// The logarithm of the likelihood ratio of a worker's runs: that it is faulty
/// against that tasks fail by their own fault. It never falls below zero, so
/// that earlier successes do not hide a fault.
#[derive(Clone, Debug, Default)]
pub(super) struct Score {
    ln: f64,
    updated_at: Duration,
    failed_jobs: Vec<BatchId>,
}

impl Score {
    pub(super) fn record_failure(
        &mut self,
        now: Duration,
        rate: f64,
        job: BatchId,
    ) {
        if self.value(now) < NEGLIGIBLE_SCORE {
            self.failed_jobs.clear();
        }
        self.add(now, (FAULTY_RATE / rate).ln());
        if !self.failed_jobs.contains(&job) {
            self.failed_jobs.push(job);
        }
    }

    pub(super) fn record_success(&mut self, now: Duration, rate: f64) {
        self.add(now, ((1.0 - FAULTY_RATE) / (1.0 - rate)).ln());
    }

    fn add(&mut self, now: Duration, ln: f64) {
        self.ln = (self.value(now) + ln).max(0.0);
        self.updated_at = now;
        if self.ln <= 0.0 {
            self.failed_jobs.clear();
        }
    }

    /// Returns the score now.
    pub(super) fn value(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.ln * 0.5_f64.powf(elapsed / SCORE_HALF_LIFE.as_secs_f64())
    }

    /// Returns whether the failures are improbable if the worker is healthy.
    pub(super) fn is_improbable(&self, now: Duration) -> bool {
        self.value(now) >= IMPROBABLE_SCORE
            && self.failed_jobs.len() >= MIN_FAILED_JOBS
    }
}
