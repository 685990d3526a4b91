//! Failure domains that the settings drain: nothing more is started on their
//! workers, and what runs there continues.
//!
//! The load that this addresses: a failure domain is taken out of service while
//! jobs of all workspaces wait. Attempts that were placed there and have not
//! started are released as a whole, so that the waiting work starts elsewhere.

use std::time::Duration;

use figrill_state::{
    drain::Drains,
    event::{Code, NewEvent},
    job::JobId,
};

use super::{
    Action, Coordinator,
    attempts::PLACE_RETRY_BACKOFF,
    cell::Node,
    job_state::{JobState, Phase},
};

impl Coordinator {
    /// Sets the failure domains to drain, and releases the attempts there that
    /// have not started. One whose record is being marked as dispatched is
    /// released once the store has answered.
    pub(super) fn set_drains(&mut self, drains: Drains) {
        let old = std::mem::take(&mut self.drains);
        for domain in drains.difference(&old) {
            self.record_drain(Code::DrainStarted, domain);
        }
        for domain in old.difference(&drains) {
            self.record_drain(Code::DrainEnded, domain);
        }
        self.drains = drains;
        let placed_there: Vec<JobId> = self
            .active
            .iter()
            .copied()
            .filter(|job| self.is_placed_in_drained_domain(*job))
            .collect();
        for job in placed_there {
            self.release_unstarted(self.now, job);
        }
    }

    /// Releases an attempt that waits for capacity to be reclaimed or held, and
    /// requeues its job. Returns whether the job has such an attempt.
    pub(super) fn release_unstarted(
        &mut self,
        now: Duration,
        job: JobId,
    ) -> bool {
        let Some(state) = self.jobs.get(&job) else {
            return false;
        };
        match state.phase.clone() {
            Phase::Holding { allocation, .. } => {
                self.release_holds(&allocation);
            }
            Phase::Reclaiming { allocation, .. } => {
                self.deallocate(&allocation);
            }
            _ => return false,
        }
        self.requeue(now, job, PLACE_RETRY_BACKOFF);
        true
    }

    /// Returns whether nothing is to be started on a worker because its
    /// failure domain is drained.
    pub(super) fn is_drained(&self, node: &Node) -> bool {
        self.drains.contains(&node.place.failure_domain)
    }

    fn is_placed_in_drained_domain(&self, job: JobId) -> bool {
        let state = self.jobs.get(&job);
        let allocation = state.and_then(JobState::allocation);
        allocation.is_some_and(|allocation| {
            let members = allocation.members.iter();
            let mut nodes = members.filter_map(|m| self.cell.node(&m.worker));
            nodes.any(|node| self.is_drained(node))
        })
    }

    fn record_drain(&mut self, code: Code, domain: &str) {
        let event = NewEvent::new(code, format!("domain={domain:?}"));
        self.actions.push(Action::RecordEvent(event));
    }
}
