//! Attempts that this agent refuses for good.

use std::collections::{BTreeSet, VecDeque};

use crate::message::Run;

/// The most attempts remembered. A coordinator never asks again for an
/// attempt that was refused, so only messages still under way matter.
const TOMBSTONES_MAX: usize = 4096;

/// A bounded set; the oldest go first.
#[derive(Debug, Default)]
pub struct Tombstones {
    order: VecDeque<Run>,
    set: BTreeSet<Run>,
}

impl Tombstones {
    /// Refuses `run` from now on.
    pub fn insert(&mut self, run: Run) {
        if !self.set.insert(run) {
            return;
        }
        self.order.push_back(run);
        if self.order.len() > TOMBSTONES_MAX
            && let Some(oldest) = self.order.pop_front()
        {
            self.set.remove(&oldest);
        }
    }

    /// Whether `run` is refused.
    #[must_use]
    pub fn contains(&self, run: Run) -> bool {
        self.set.contains(&run)
    }
}
