//! Workers, their location and their capacity.

use serde::{Deserialize, Serialize};

/// The location of a worker or a process.
#[derive(
    Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct Place {
    /// The failure domain.
    pub failure_domain: String,
    /// The rack within the failure domain.
    pub rack: String,
}

/// An amount of resources: what a worker offers, what is in use or what is
/// required.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct Capacity {
    /// The number of accelerators.
    pub accelerators: u32,
    /// The number of parts that may run at the same time.
    pub slots: u32,
    /// Memory in MiB.
    pub memory_mib: u32,
}

impl Capacity {
    /// Returns whether `need` does not exceed this capacity in any resource.
    #[must_use]
    pub const fn fits(&self, need: Self) -> bool {
        self.accelerators >= need.accelerators
            && self.slots >= need.slots
            && self.memory_mib >= need.memory_mib
    }

    /// Returns the capacity that remains after subtracting `used`. Each
    /// resource saturates at zero.
    #[must_use]
    pub const fn minus(&self, used: Self) -> Self {
        Self {
            accelerators: self.accelerators.saturating_sub(used.accelerators),
            slots: self.slots.saturating_sub(used.slots),
            memory_mib: self.memory_mib.saturating_sub(used.memory_mib),
        }
    }

    /// Returns the sum of both.
    #[must_use]
    pub const fn plus(&self, more: Self) -> Self {
        Self {
            accelerators: self.accelerators + more.accelerators,
            slots: self.slots + more.slots,
            memory_mib: self.memory_mib + more.memory_mib,
        }
    }
}

/// A worker as announced by its agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Worker {
    /// The worker's name from the agent's settings.
    pub name: String,
    /// The incarnation of the worker's agent: a new number at each start.
    pub incarnation: u64,
    /// The address at which other agents reach this worker's agent.
    pub address: String,
    /// The worker's location.
    pub place: Place,
    /// The capacity that its upstream offers; zero while no upstream is
    /// announced.
    pub capacity: Capacity,
}
