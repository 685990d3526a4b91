//! Turns of late work among work that can still end in time.
//!
//! The decision is meant for an overload that lasts so long that work which
//! can end in time always waits. Late work is ordered behind it and would
//! never run. Therefore the late group that has waited longest gets a turn
//! once others have been given a multiple of its work since the last turn.

use std::time::Duration;

use figrill_state::batch::TaskId;

use super::{Demand, Lateness};

/// How long a late group waits for a turn, as a multiple of its expected run
/// time. Work whose allowed time is three times its run time is late once it
/// has waited for two run times, and has no value once it has waited for
/// eight.
const STARVATION_FACTOR: f64 = 4.0;

/// The minimum time that a late group waits for a turn.
const MIN_STARVATION_WAIT: Duration = Duration::from_millis(1500);

/// The work of turns as a fraction of the work that others were given.
const TURN_FRACTION: f64 = 0.1;

/// A group that waits to be placed.
#[derive(Clone, Copy, Debug)]
pub(in super::super) struct Waiting {
    pub(in super::super) first: TaskId,
    pub(in super::super) ready_at: Duration,
    pub(in super::super) demand: Demand,
}

impl Waiting {
    /// Returns whether the group would starve without a turn.
    fn is_starving(&self, now: Duration, now_ms: u64) -> bool {
        let patience = self
            .demand
            .expected
            .mul_f64(STARVATION_FACTOR)
            .max(MIN_STARVATION_WAIT);
        !self.demand.claim
            && now.saturating_sub(self.ready_at) >= patience
            && self.demand.lateness(now_ms) != Lateness::InTime
    }
}

/// Decides when a starving group goes first.
#[derive(Debug, Default)]
pub(in super::super) struct Turns {
    /// The work of earlier turns, in core-seconds, less [`TURN_FRACTION`] of
    /// the work that others were given since.
    debt: f64,
}

impl Turns {
    /// Returns the first task of the group whose turn it is, if any.
    pub(in super::super) fn next(
        &self,
        now: Duration,
        now_ms: u64,
        waiting: impl Iterator<Item = Waiting>,
    ) -> Option<TaskId> {
        if self.debt > 0.0 {
            return None;
        }
        waiting
            .filter(|w| w.is_starving(now, now_ms))
            .min_by_key(|w| (w.ready_at, w.first))
            .map(|w| w.first)
    }

    /// Records that tasks were placed, with their work in core-seconds.
    pub(in super::super) fn record_placement(
        &mut self,
        work: f64,
        has_turn: bool,
    ) {
        if has_turn {
            self.debt += work;
        } else {
            self.debt = (self.debt - work * TURN_FRACTION).max(0.0);
        }
    }
}
