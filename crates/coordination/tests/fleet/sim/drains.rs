//! Requests to drain failure domains: the keys in the store, and the thread of
//! the coordinator's process that reads them.

use std::collections::BTreeSet;
use std::time::Duration;

use figrill_state::drain::Drains;

use super::Sim;

/// The time from one read of the requests to the next, in milliseconds.
const READ_INTERVAL_MS: u64 = 700;

/// The requests in the store, and when they are read.
pub struct DrainRequests {
    /// The names of the failure domains.
    pub domains: BTreeSet<String>,
    /// Whether the coordinator's process can read them.
    pub readable: bool,
    pub next_read_ms: u64,
}

impl Default for DrainRequests {
    fn default() -> Self {
        Self {
            domains: BTreeSet::new(),
            readable: true,
            next_read_ms: 0,
        }
    }
}

impl Sim {
    /// Assigns the workers to failure domains in turn. Must be called before
    /// the first step.
    pub fn set_domains(&mut self, domains: &[&str]) {
        let names = domains.iter().cycle();
        for (node, domain) in self.pool.nodes.values_mut().zip(names) {
            (*domain).clone_into(&mut node.upstream.failure_domain);
        }
    }

    /// Returns the failure domain of an agent's worker.
    pub fn domain_of(&self, agent: &str) -> &str {
        &self.pool.nodes[agent].upstream.failure_domain
    }

    /// Makes coordinators follow the requests, from a new one on.
    pub fn follow_drains(&mut self, limit_ms: u64) {
        self.limits.domain_drain = Some(Duration::from_millis(limit_ms));
        self.take_over();
    }

    /// Requests the drain of a failure domain, which the watch of the
    /// coordinator's process notices at once.
    pub fn request_drain(&mut self, domain: &str) {
        self.drains.domains.insert(domain.to_owned());
        self.drains.next_read_ms = self.now_ms;
    }

    /// Ends the drain of a failure domain in the same way.
    pub fn end_drain(&mut self, domain: &str) {
        self.drains.domains.remove(domain);
        self.drains.next_read_ms = self.now_ms;
    }

    /// Reads the requests if that is due and possible.
    pub(super) fn read_drains(&mut self) {
        let requests = &mut self.drains;
        let is_due = self.now_ms >= requests.next_read_ms;
        if self.limits.domain_drain.is_none() || !requests.readable || !is_due
        {
            return;
        }
        requests.next_read_ms = self.now_ms + READ_INTERVAL_MS;
        let drains: Drains = requests.domains.iter().cloned().collect();
        let now = self.now();
        self.scheduler.set_drains(now, &drains, now.monotonic);
    }
}
