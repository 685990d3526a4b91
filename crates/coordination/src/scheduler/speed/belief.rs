//! A normal distribution of the logarithm of a speed or of a ratio of times.

use std::time::Duration;

/// The standard deviation of the speeds of workers of which nothing is known.
/// It covers speeds from half to twice the usual one.
pub(super) const PRIOR_SD: f64 = 0.35;

/// The variance that a speed gains per second without observations: in ten
/// minutes, half of the variance of an unknown worker.
const VARIANCE_PER_SECOND: f64 = 1e-4;

/// The lowest variance of a speed. It keeps new observations at a weight of
/// about a seventh, so that slow changes are followed.
const MIN_VARIANCE: f64 = 0.08 * 0.08;

/// A normal distribution of a natural logarithm.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Belief {
    pub(crate) ln: f64,
    pub(crate) variance: f64,
}

impl Belief {
    /// What is assumed of the speed of a worker without observations.
    pub(super) const PRIOR: Self = Self {
        ln: 0.0,
        variance: PRIOR_SD * PRIOR_SD,
    };

    /// Returns the standard deviation.
    pub(crate) fn sd(&self) -> f64 {
        self.variance.sqrt()
    }

    /// Returns the combination with an independent observation.
    pub(super) fn combine(&self, other: &Self) -> Self {
        let (own, new) = (1.0 / self.variance, 1.0 / other.variance);
        Self {
            ln: (self.ln * own + other.ln * new) / (own + new),
            variance: 1.0 / (own + new),
        }
    }

    /// Returns the belief after `elapsed` without observations.
    pub(super) fn aged(&self, elapsed: Duration) -> Self {
        let gained = elapsed.as_secs_f64() * VARIANCE_PER_SECOND;
        let variance = self.variance + gained;
        Self {
            ln: self.ln,
            variance: variance.min(Self::PRIOR.variance.max(self.variance)),
        }
    }

    /// Returns the belief with its lowest variance.
    pub(super) fn bounded(&self) -> Self {
        Self {
            ln: self.ln,
            variance: self.variance.max(MIN_VARIANCE),
        }
    }

    /// Returns an observation with less weight if it is far from this belief:
    /// beyond two standard deviations, the weight falls with the square of
    /// the distance.
    pub(super) fn discount_outlier(&self, observation: &Self) -> Self {
        let sd = (self.variance + observation.variance).sqrt();
        let excess = ((observation.ln - self.ln).abs() / (2.0 * sd)).max(1.0);
        Self {
            ln: observation.ln,
            variance: observation.variance * excess * excess,
        }
    }
}
