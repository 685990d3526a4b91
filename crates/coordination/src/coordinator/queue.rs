//! Waiting jobs: by workspace, and inside one by class, lane and deadline.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use figrill_state::job::{Class, JobId};

/// Short work goes before long work of the same class.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Lane {
    /// Work that ends soon.
    Short,
    /// Work that does not.
    Long,
}

/// A job's place in the order of its workspace.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct QueueKey {
    /// Urgent work first.
    pub class: Class,
    /// Then short work.
    pub lane: Lane,
    /// Then the earliest deadline; those without one come last.
    pub deadline: Duration,
    /// Then the first that came.
    pub submitted_at: Duration,
    /// Then any, but always the same.
    pub job: JobId,
}

/// The queue of one cell.
#[derive(Debug, Default)]
pub struct Queue {
    workspaces: BTreeMap<String, BTreeSet<QueueKey>>,
    keys: BTreeMap<JobId, (String, QueueKey)>,
}

impl Queue {
    /// Puts a job into the queue of its workspace, or moves it to a new
    /// rank.
    pub fn push(&mut self, workspace: &str, key: QueueKey) {
        self.remove(key.job);
        let queue = self.workspaces.entry(workspace.to_owned()).or_default();
        queue.insert(key);
        self.keys.insert(key.job, (workspace.to_owned(), key));
    }

    /// Takes a job out.
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

    /// Jobs that wait in all.
    #[must_use]
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Jobs of a workspace that wait.
    #[must_use]
    pub fn workspace_len(&self, workspace: &str) -> usize {
        self.workspaces.get(workspace).map_or(0, BTreeSet::len)
    }

    /// Each workspace's first `depth` jobs of each lane in order, so that
    /// however much waits in one lane, the other is looked at.
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

    /// All waiting jobs with their ranks.
    pub fn keys(&self) -> impl Iterator<Item = &QueueKey> {
        self.keys.values().map(|(_, key)| key)
    }
}
