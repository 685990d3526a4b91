//! Workers and what they offer.

use serde::{Deserialize, Serialize};

/// Where a worker stands.
#[derive(
    Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct Place {
    /// The failure domain.
    pub failure_domain: String,
    /// The rack inside the failure domain.
    pub rack: String,
}

/// What a worker can hold when it is empty.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct Capacity {
    /// Accelerators.
    pub accelerators: u32,
    /// Parts that may run at once.
    pub slots: u32,
    /// Memory in MiB.
    pub memory_mib: u32,
}

impl Capacity {
    /// Whether `need` fits into this capacity.
    #[must_use]
    pub const fn fits(&self, need: Self) -> bool {
        self.accelerators >= need.accelerators
            && self.slots >= need.slots
            && self.memory_mib >= need.memory_mib
    }

    /// What is left after `used` is taken; never below nothing.
    #[must_use]
    pub const fn minus(&self, used: Self) -> Self {
        Self {
            accelerators: self.accelerators.saturating_sub(used.accelerators),
            slots: self.slots.saturating_sub(used.slots),
            memory_mib: self.memory_mib.saturating_sub(used.memory_mib),
        }
    }

    /// Both together.
    #[must_use]
    pub const fn plus(&self, more: Self) -> Self {
        Self {
            accelerators: self.accelerators + more.accelerators,
            slots: self.slots + more.slots,
            memory_mib: self.memory_mib + more.memory_mib,
        }
    }
}

/// One worker as its agent announces it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Worker {
    /// Its name from the agent's settings.
    pub name: String,
    /// A fresh number at each start of its agent.
    pub incarnation: u64,
    /// Where other agents reach this one.
    pub address: String,
    /// Where it stands.
    pub place: Place,
    /// What its upstream offers; nothing while no upstream is announced.
    pub capacity: Capacity,
}
