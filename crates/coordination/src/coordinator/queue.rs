//! The queue of a cell. Jobs are kept by workspace and, inside one, ordered by
//! class, lane and deadline.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use figrill_state::job::{Class, JobId};

/// Whether a job is expected to run for a short or a long time. Short work
/// goes before long work of the same class.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Lane {
    /// Work whose median run time is expected to be within the `long_after`
    /// setting.
    Short,
    /// All other work.
    Long,
}

/// The sort key of a job in the queue of its workspace. Fields are compared in
/// their order of declaration.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct QueueKey {
    /// Urgent work comes first.
    pub class: Class,
    /// Short work comes before long work.
    pub lane: Lane,
    /// Earlier deadlines come first; jobs without one have the maximum.
    pub deadline: Duration,
    /// Jobs that were submitted earlier come first.
    pub submitted_at: Duration,
    /// The id breaks ties, so that the order is deterministic.
    pub job: JobId,
}

/// The queue of one cell.
#[derive(Debug, Default)]
pub struct Queue {
    workspaces: BTreeMap<String, BTreeSet<QueueKey>>,
    keys: BTreeMap<JobId, (String, QueueKey)>,
}

impl Queue {
    /// Adds a job to the queue of its workspace, or moves it if its key has
    /// changed.
    pub fn push(&mut self, workspace: &str, key: QueueKey) {
        self.remove(key.job);
        let queue = self.workspaces.entry(workspace.to_owned()).or_default();
        queue.insert(key);
        self.keys.insert(key.job, (workspace.to_owned(), key));
    }

    /// Removes a job, if it is queued.
    pub fn remove(&mut self, job: JobId) {
        let Some((workspace, key)) = self.keys.remove(&job) else {
            return;
        };
        if let Some(queue) = self.workspaces.get_mut(&workspace) {
            queue.remove(&key);
            if queue.is_empty() {
                self.workspaces.remove(&workspace);
            }
        }
    }

    /// Returns the number of queued jobs in all workspaces.
    #[must_use]
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether no job is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns the number of queued jobs of a workspace.
    #[must_use]
    pub fn workspace_len(&self, workspace: &str) -> usize {
        self.workspaces.get(workspace).map_or(0, BTreeSet::len)
    }

    /// Returns, for each workspace, the first `depth` jobs of each lane in
    /// queue order. The limit holds for each lane, so that a backlog in one
    /// does not hide the other.
    #[must_use]
    pub fn heads(&self, depth: usize) -> BTreeMap<String, Vec<JobId>> {
        let lane_heads =
            |queue: &BTreeSet<QueueKey>, lane: Lane| -> Vec<QueueKey> {
                let lane = queue.iter().filter(|key| key.lane == lane);
                lane.take(depth).copied().collect()
            };
        let heads = |queue: &BTreeSet<QueueKey>| {
            let mut keys = lane_heads(queue, Lane::Short);
            keys.extend(lane_heads(queue, Lane::Long));
            keys.sort_unstable();
            keys.into_iter().map(|key| key.job).collect()
        };
        let all = self.workspaces.iter();
        all.map(|(name, queue)| (name.clone(), heads(queue)))
            .collect()
    }

    /// Returns the keys of all queued jobs.
    pub fn keys(&self) -> impl Iterator<Item = &QueueKey> {
        self.keys.values().map(|(_, key)| key)
    }
}
