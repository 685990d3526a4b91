//! The addresses of the agents, which the coordinator dials and sends
//! heartbeats.

use std::{collections::BTreeMap, time::Duration};

use figrill_protocol::message::{Heartbeat, Message};

use super::Coordinator;

/// The interval of heartbeats on the streams to agents.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// The delay before an agent that is not connected is dialled again.
const DIAL_RETRY_DELAY: Duration = Duration::from_millis(700);

/// The addresses of agents, and the times of the last dials and heartbeats.
pub(super) struct AgentDirectory {
    /// The addresses by the name of the agent.
    pub(super) addresses: BTreeMap<String, String>,
    /// The time of the last dial, by the name of the agent.
    pub(super) last_dials: BTreeMap<String, Duration>,
    last_heartbeat: Duration,
}

impl AgentDirectory {
    pub(super) fn new(addresses: BTreeMap<String, String>) -> Self {
        Self {
            addresses,
            last_dials: BTreeMap::new(),
            last_heartbeat: Duration::ZERO,
        }
    }
}

impl Coordinator {
    /// Dials agents that are not connected, and sends a heartbeat on all
    /// streams once per [`HEARTBEAT_INTERVAL`].
    pub(super) fn dial_and_heartbeat(
        &mut self,
        directory: &mut AgentDirectory,
    ) {
        let now = self.config.clock.now();
        for (name, address) in &directory.addresses {
            let last_dial = directory.last_dials.get(name);
            let is_due =
                last_dial.is_none_or(|at| now >= *at + DIAL_RETRY_DELAY);
            let is_connected = self.agents.contains_key(name)
                || self.dialled.values().any(|dialled| dialled == address);
            if is_due && !is_connected {
                directory.last_dials.insert(name.clone(), now);
                self.net.dial(address);
            }
        }
        if now >= directory.last_heartbeat + HEARTBEAT_INTERVAL {
            directory.last_heartbeat = now;
            for conn in self.agents.values() {
                self.send(*conn, Message::Heartbeat(Heartbeat::default()));
            }
        }
    }
}
