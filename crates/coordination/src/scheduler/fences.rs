//! The fencing tokens of orders to upstreams, one for each incarnation.
//!
//! A token is the revision of a commit, so it is higher than the coordinator's
//! own and lower than that of any later coordinator: the key of the next one is
//! written after the last commit of this one. An agent that was the first to
//! notice an incarnation has called it with a higher token than those before
//! (see [`crate::fencing`]), and the orders to it get one that is not lower.

use super::{Scheduler, worker::Fence};

impl Scheduler {
    /// Returns the fencing token of orders to an agent's upstream.
    pub(super) fn order_token(&self, agent: &str) -> u64 {
        let worker = self.workers.get(agent);
        match worker.map(|w| w.fence).unwrap_or_default() {
            Fence::Term => self.token,
            Fence::Revision(token) => token,
            // A token above those that the store has reached could be above
            // that of the next coordinator.
            Fence::Above(token) => {
                token.min(self.commit_state.revision().max(self.token))
            }
        }
    }

    /// Returns whether an upstream has a token that its earlier incarnations
    /// have not seen.
    pub(super) fn is_fenced(&self, agent: &str) -> bool {
        let worker = self.workers.get(agent);
        worker.is_none_or(|w| !matches!(w.fence, Fence::Above(_)))
    }

    /// Records the token of an agent's call to its upstream, which answers no
    /// calls with a lower one. Orders may have the same.
    pub(super) fn record_agent_token(&mut self, agent: &str, token: u64) {
        if token <= self.order_token(agent) {
            return;
        }
        if let Some(worker) = self.workers.get_mut(agent) {
            worker.fence = Fence::Above(token - 1);
            self.assign_fences();
        }
    }

    /// Returns whether an upstream waits for a token, which only a commit can
    /// give.
    pub(super) fn awaits_fence(&self) -> bool {
        self.workers
            .values()
            .any(|w| matches!(w.fence, Fence::Above(_)))
    }

    /// Gives a token to each upstream that waits for one that is lower than the
    /// revision of the latest commit, and tells its agent.
    pub(super) fn assign_fences(&mut self) {
        let revision = self.commit_state.revision();
        let mut fenced = Vec::new();
        for (agent, worker) in &mut self.workers {
            if let Fence::Above(token) = worker.fence
                && token < revision
            {
                worker.fence = Fence::Revision(revision);
                fenced.push(agent.clone());
            }
        }
        for agent in fenced {
            self.send_token(&agent);
        }
    }
}
