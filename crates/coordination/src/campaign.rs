//! When an entry campaigns to be the coordinator.
//!
//! The coordinator of hundreds of workers needs more processor time and
//! bandwidth than an entry on a small VM has. Small VMs therefore campaign
//! later, and become the coordinator only if no larger one does.

use std::time::Duration;

/// The share of a processor with which an entry campaigns at once.
const SUFFICIENT_SHARE: f64 = 0.25;

/// The maximum time by which an entry campaigns later.
const MAX_DEFERRAL: Duration = Duration::from_millis(400);

/// Returns how long an entry that has `processor_share` processors lets others
/// campaign first once there is no coordinator.
#[must_use]
pub fn deferral(processor_share: f64) -> Duration {
    let missing = 1.0 - (processor_share / SUFFICIENT_SHARE).clamp(0.0, 1.0);
    if missing > 0.0 {
        // Even a small difference leaves the others time for their calls.
        MAX_DEFERRAL.mul_f64(0.5 + missing / 2.0)
    } else {
        Duration::ZERO
    }
}
