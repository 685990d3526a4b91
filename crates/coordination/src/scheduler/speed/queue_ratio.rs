//! How long the work of each queue takes on a worker of speed 1, relative to
//! the estimates of its callers.

use std::collections::{BTreeMap, VecDeque};

use super::belief::Belief;

/// The number of steps of a queue from which its ratio is computed.
const MAX_SAMPLES: usize = 48;

/// The number of steps that the assumption of a ratio of 1 counts for.
const PRIOR_SAMPLES: f64 = 2.0;

/// The standard deviation of the ratios of a queue of which nothing is known.
const PRIOR_SD: f64 = 0.3;

/// The lowest standard deviation of the ratios of a queue.
const MIN_SD: f64 = 0.1;

/// The ratio of a median absolute deviation to the standard deviation of a
/// normal distribution.
const MAD_PER_SD: f64 = 0.6745;

/// The maximum number of queues with a ratio of their own.
const MAX_QUEUES: usize = 1024;

/// The ratios of one queue.
#[derive(Debug)]
struct Queue {
    /// The natural logarithms of the latest ratios, one per step.
    samples: VecDeque<f64>,
    /// The distribution of the ratio of the next step.
    ratio: Belief,
}

/// The ratios of actual to estimated run times, by queue.
#[derive(Debug, Default)]
pub(super) struct QueueRatios(BTreeMap<String, Queue>);

impl QueueRatios {
    /// What is assumed of a queue without samples.
    const PRIOR: Belief = Belief {
        ln: 0.0,
        variance: PRIOR_SD * PRIOR_SD,
    };

    /// Records the ratio of one step, as a natural logarithm.
    pub(super) fn record(&mut self, name: &str, ln: f64) {
        if !self.0.contains_key(name) {
            if self.0.len() >= MAX_QUEUES {
                return;
            }
            let queue = Queue {
                samples: VecDeque::new(),
                ratio: Self::PRIOR,
            };
            self.0.insert(name.to_owned(), queue);
        }
        let Some(queue) = self.0.get_mut(name) else {
            return;
        };
        if queue.samples.len() == MAX_SAMPLES {
            queue.samples.pop_front();
        }
        queue.samples.push_back(ln);
        queue.ratio = distribution(&queue.samples);
    }

    /// Returns the distribution of the ratio of a queue's steps.
    pub(super) fn get(&self, name: &str) -> Belief {
        self.0.get(name).map_or(Self::PRIOR, |q| q.ratio)
    }
}

/// Returns the distribution of the samples, by their median and their median
/// absolute deviation, which ignore single stragglers.
#[allow(clippy::cast_precision_loss)]
fn distribution(samples: &VecDeque<f64>) -> Belief {
    let count = samples.len() as f64;
    let mut values: Vec<f64> = samples.iter().copied().collect();
    let median = median(&mut values).unwrap_or_default();
    let mut deviations: Vec<f64> =
        samples.iter().map(|s| (s - median).abs()).collect();
    let deviation = self::median(&mut deviations).unwrap_or_default();
    let weight = count / (count + PRIOR_SAMPLES);
    let sd = (deviation / MAD_PER_SD).max(MIN_SD);
    Belief {
        ln: median * weight,
        variance: sd * sd * weight + PRIOR_SD * PRIOR_SD * (1.0 - weight),
    }
}

/// Returns the median, the lower one of two; `None` if there are no values.
pub(super) fn median(values: &mut [f64]) -> Option<f64> {
    if values.is_empty() {
        return None;
    }
    let middle = (values.len() - 1) / 2;
    let (_, median, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median)
}
