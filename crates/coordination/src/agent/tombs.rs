//! Tombstones: a bounded set of attempts that an agent remembers after it has
//! refused them, ended their grant or discarded their outcome.

use std::collections::{BTreeSet, VecDeque};

use crate::message::Run;

/// The maximum number of attempts in a set. A coordinator never requests an
/// attempt again after it was refused, so a tombstone only has to outlive the
/// messages that are still in flight.
const MAX_TOMBSTONES: usize = 4096;

/// A bounded set of attempts. When it is full, the oldest is evicted.
#[derive(Debug, Default)]
pub struct Tombstones {
    order: VecDeque<Run>,
    set: BTreeSet<Run>,
}

impl Tombstones {
    /// Adds `run` to the set.
    pub fn insert(&mut self, run: Run) {
        if !self.set.insert(run) {
            return;
        }
        self.order.push_back(run);
        if self.order.len() > MAX_TOMBSTONES
            && let Some(oldest) = self.order.pop_front()
        {
            self.set.remove(&oldest);
        }
    }

    /// Returns whether `run` is in the set.
    #[must_use]
    pub fn contains(&self, run: Run) -> bool {
        self.set.contains(&run)
    }
}
