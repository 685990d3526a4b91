//! The store: the jobs and the progress that it keeps, and the coordinators
//! that load them.

use std::collections::BTreeMap;

use figrill_coordination::scheduler::Scheduler;
use figrill_state::batch::{Batch, BatchId, BatchState};
use figrill_state::catalog::Workspace;
use figrill_state::limits::Limits;

use super::messages::{Message, is_for_coordinator};
use super::{STEP_MS, Sim, WALL_START_MS};

impl Sim {
    /// Replaces the coordinator by one that loads its state from the store.
    /// Messages that the earlier one sent to agents stay in flight; messages
    /// to it are lost.
    pub fn take_over(&mut self) {
        self.token += 1;
        self.commit = None;
        self.in_flight
            .retain(|(_, _, message)| !is_for_coordinator(message));
        self.scheduler =
            Scheduler::new(self.token, self.now(), Limits::default());
        self.scheduler.set_workspaces(workspaces());
        for batch in self.batches.values() {
            match self.progress.get(&batch.id) {
                Some(p) => {
                    self.scheduler.load_job(
                        self.now(),
                        batch.clone(),
                        p.clone(),
                    );
                }
                None => self.scheduler.update_job(self.now(), batch.clone()),
            }
        }
        let names: Vec<String> = self.agents.keys().cloned().collect();
        for name in names {
            self.scheduler.agent_connected(&name);
        }
    }

    pub fn submit(&mut self, batch: Batch) {
        let batch = Batch {
            accepted_ms: WALL_START_MS + self.now_ms,
            ..batch
        };
        self.batches.insert(batch.id, batch.clone());
        self.scheduler.update_job(self.now(), batch);
    }

    pub fn cancel(&mut self, id: BatchId) {
        if let Some(batch) = self.batches.get_mut(&id) {
            batch.cancelled = true;
            let batch = batch.clone();
            self.scheduler.update_job(self.now(), batch);
        }
    }

    /// Returns the committed state of a job, which is what callers see.
    pub fn state(&self, id: BatchId) -> BatchState {
        self.progress
            .get(&id)
            .map_or(BatchState::Queued, |p| p.state)
    }

    /// Returns the committed number of waiting jobs of the only queue, which is
    /// what callers see.
    pub fn queued_jobs(&self) -> u64 {
        self.queued_jobs.values().sum()
    }

    /// Returns whether all jobs have ended.
    pub fn all_ended(&self) -> bool {
        self.batches.keys().all(|id| self.state(*id).is_final())
    }

    /// Writes the scheduler's next commit if the store is up. Otherwise the
    /// commit is kept until it is.
    pub(super) fn write_commit(&mut self) {
        if self.commit.is_none() {
            self.commit = self.scheduler.take_commit();
        }
        if !self.store_up {
            return;
        }
        if let Some(commit) = self.commit.take() {
            let number = commit.number;
            for (id, progress) in commit.progress {
                self.progress.insert(id, progress);
            }
            self.queued_jobs = commit.queued_jobs;
            self.send(STEP_MS, Message::Committed(number));
        }
    }
}

/// Returns the workspaces `a` and `b` with a guarantee of 16 accelerators
/// each.
fn workspaces() -> BTreeMap<String, Workspace> {
    let workspace = || Workspace { guaranteed: 16 };
    BTreeMap::from([
        ("a".to_owned(), workspace()),
        ("b".to_owned(), workspace()),
    ])
}
