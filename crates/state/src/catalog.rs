//! The operators' configuration: queues, services, workspaces and keys.

use std::{collections::BTreeMap, time::Duration};

/// A queue that callers submit jobs to.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Its name.
    pub name: String,
    /// The host that callers name.
    pub host: String,
    /// What a path of this queue begins with.
    pub prefix: String,
    /// The service whose workers run its jobs.
    pub service: String,
    /// 0 goes first.
    pub priority: u32,
    /// How often a task may fail.
    pub attempts: u32,
    /// How many times its chain of work a caller allows.
    pub stretch: f64,
    /// Time that a caller allows besides.
    pub target: Duration,
    /// Whether it needs no key.
    pub public: bool,
    /// Whether an outside policy names the workers that may run a step.
    pub has_placement_advice: bool,
}

/// A workspace.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Workspace {
    /// Accelerators that are its own for jobs of priority 0.
    pub guaranteed: u64,
}

/// One version of the configuration, whole.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// Rises with each change.
    pub version: u64,
    /// The queues.
    pub queues: Vec<Queue>,
    /// Services whose workers refuse what does not fit.
    pub capacity_enforcing: Vec<String>,
    /// Workspaces by name.
    pub workspaces: BTreeMap<String, Workspace>,
    /// The workspace that each key belongs to.
    pub keys: BTreeMap<String, String>,
}

impl Catalog {
    /// The queue that a host and path select: the one with the longest
    /// prefix.
    #[must_use]
    pub fn queue(&self, host: &str, path: &str) -> Option<&Queue> {
        self.queues
            .iter()
            .filter(|q| q.host == host && path.starts_with(&q.prefix))
            .max_by_key(|q| q.prefix.len())
    }
}
