//! The budget of work that preemptions may discard.
//!
//! The budget is meant for long bursts of urgent work, in which each single
//! preemption is worth its cost by estimates that are often wrong, and all of
//! them together discard a large part of the site's work. It is a token bucket
//! whose refill rate follows the capacity of the site.

use std::time::Duration;

/// The fraction of the site's cores whose work may be discarded.
const REFILL_FRACTION: f64 = 0.02;

/// The time in which an empty bucket is filled, and in which the largest debt
/// is paid off.
const FILL_TIME: Duration = Duration::from_secs(20);

/// A token bucket of lost work. A token is a core-second.
#[derive(Debug, Default)]
pub(in super::super) struct Budget {
    /// The tokens that were used and are not refilled yet.
    used: f64,
    /// The maximum number of tokens.
    capacity: f64,
    refilled_at: Duration,
}

impl Budget {
    /// Adds the tokens since the last call, for the given number of cores of
    /// the site.
    pub(in super::super) fn refill(&mut self, now: Duration, cores: f64) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        let per_second = cores * REFILL_FRACTION;
        self.refilled_at = now;
        self.capacity = per_second * FILL_TIME.as_secs_f64();
        self.used = (self.used - per_second * elapsed).max(0.0);
    }

    /// Returns the tokens that are left; below zero if claims have overdrawn
    /// the budget.
    pub(in super::super) fn tokens(&self) -> f64 {
        self.capacity - self.used
    }

    /// Takes tokens. The debt does not exceed the capacity, so that it is paid
    /// off within [`FILL_TIME`].
    pub(in super::super) fn draw(&mut self, lost_work: f64) {
        self.used = (self.used + lost_work).min(2.0 * self.capacity);
    }
}
