//! Turns of late work among work that can still end in time.
//!
//! The decision is meant for an overload that lasts so long that work which
//! can end in time always waits. Late work is ordered behind it and would
//! never run. Therefore the late group that has waited longest gets a turn
//! once others have been given a multiple of its work since the last turn.

use std::{collections::BTreeMap, time::Duration};

use figrill_state::batch::TaskId;

use super::{Demand, Lateness};

/// How long a late group waits for a turn, as a multiple of its expected run
/// time. Work whose allowed time is three times its run time is late once it
/// has waited for two run times, and has no value once it has waited for
/// eight.
const STARVATION_FACTOR: f64 = 4.0;

/// The minimum time that a late group waits for a turn.
const MIN_STARVATION_WAIT: Duration = Duration::from_millis(1500);

/// How long a group may keep the turn without being placed, and how long it
/// then waits for the next one. No worker may be able to run it.
const MAX_TURN: Duration = Duration::from_secs(10);

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
    /// The group that has the turn, and since when.
    current: Option<(TaskId, Duration)>,
    /// The groups that were not placed on their turn, and when it ended.
    passed: BTreeMap<TaskId, Duration>,
}

impl Turns {
    /// Returns the first task of the group whose turn it is, if any.
    pub(in super::super) fn next(
        &mut self,
        now: Duration,
        now_ms: u64,
        waiting: impl Iterator<Item = Waiting>,
    ) -> Option<TaskId> {
        if self.debt > 0.0 {
            self.current = None;
            return None;
        }
        self.passed.retain(|_, at| now < *at + MAX_TURN);
        if let Some((first, since)) = self.current
            && now >= since + MAX_TURN
        {
            self.passed.insert(first, now);
            self.current = None;
        }
        let next = waiting
            .filter(|w| w.is_starving(now, now_ms))
            .filter(|w| !self.passed.contains_key(&w.first))
            .min_by_key(|w| (w.ready_at, w.first))
            .map(|w| w.first);
        if self.current.map(|(first, _)| first) != next {
            self.current = next.map(|first| (first, now));
        }
        next
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
