//! The operators' configuration on the users' platform: queues, services,
//! workspaces and API keys.

use std::{collections::BTreeMap, time::Duration};

/// A queue that callers submit jobs to.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// The queue's name.
    pub name: String,
    /// The host that requests to this queue are addressed to.
    pub host: String,
    /// The prefix of the paths of requests to this queue.
    pub prefix: String,
    /// The service whose workers run the queue's jobs.
    pub service: String,
    /// The priority of the queue's jobs; 0 is the highest.
    pub priority: u32,
    /// The number of failures of one task after which the job fails; see
    /// [`Batch::attempts`](crate::batch::Batch::attempts).
    pub attempts: u32,
    /// The time allowed for a job from its acceptance, or from the due time
    /// of a scheduled occurrence, to its completion, as a multiple of the
    /// estimated run time of its longest chain of steps.
    pub stretch: f64,
    /// A fixed time that is allowed in addition to `stretch`.
    pub target: Duration,
    /// Whether requests need no API key.
    pub public: bool,
    /// Whether an external placement policy selects the workers that may run
    /// a step.
    pub has_placement_advice: bool,
}

/// A workspace.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Workspace {
    /// The number of accelerators guaranteed to the workspace's jobs of
    /// priority 0.
    pub guaranteed: u64,
}

/// One complete version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// Increases with each change.
    pub version: u64,
    /// All queues.
    pub queues: Vec<Queue>,
    /// The services whose workers refuse a task that exceeds their remaining
    /// capacity.
    pub capacity_enforcing: Vec<String>,
    /// Workspaces by name.
    pub workspaces: BTreeMap<String, Workspace>,
    /// The workspace of each API key, by key.
    pub keys: BTreeMap<String, String>,
}

impl Catalog {
    /// Returns the queue for a host and path. If several prefixes match, the
    /// longest one wins.
    #[must_use]
    pub fn queue(&self, host: &str, path: &str) -> Option<&Queue> {
        self.queues
            .iter()
            .filter(|q| q.host == host && path.starts_with(&q.prefix))
            .max_by_key(|q| q.prefix.len())
    }
}
