//! Streams to the agents of the same gang, which are opened on demand and
//! closed when idle.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use figrill_coordination::message::Member;
use figrill_protocol::message::Message;

use crate::peers::Peers;

/// The maximum number of messages that are queued for one agent until a stream
/// to it is open. The oldest are dropped first, which is safe because the
/// agent's state machine sends each of them again.
const MAX_QUEUED_MESSAGES: usize = 256;

/// The time after the last message to another agent at which the streams to it
/// are closed.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// The minimum time between two attempts to dial an agent.
const REDIAL_DELAY: Duration = Duration::from_millis(300);

#[derive(Default)]
struct Link {
    queued: VecDeque<Message>,
    /// The time of the last dial, if no stream has been opened since.
    last_dial: Option<Duration>,
    last_sent: Duration,
}

/// The streams to other agents, by incarnation.
#[derive(Default)]
pub(super) struct Links {
    links: BTreeMap<u64, Link>,
}

impl Links {
    /// Sends a message to an agent. If it is not connected, queues the message
    /// and dials the agent.
    pub(super) fn send(
        &mut self,
        now: Duration,
        peers: &Peers,
        to: &Member,
        message: Message,
    ) {
        let link = self.links.entry(to.incarnation).or_default();
        link.last_sent = now;
        if peers.is_connected(to.incarnation) {
            peers.send_to(to.incarnation, message);
            return;
        }
        link.queued.push_back(message);
        if link.queued.len() > MAX_QUEUED_MESSAGES {
            link.queued.pop_front();
        }
        if link.last_dial.is_none_or(|at| now >= at + REDIAL_DELAY) {
            link.last_dial = Some(now);
            peers.net().dial(&to.address);
        }
    }

    /// Sends the queued messages to an agent to which a stream was opened.
    pub(super) fn flush(&mut self, peers: &Peers, incarnation: u64) {
        let Some(link) = self.links.get_mut(&incarnation) else {
            return;
        };
        link.last_dial = None;
        for message in std::mem::take(&mut link.queued) {
            peers.send_to(incarnation, message);
        }
    }

    /// Closes the streams to agents to which nothing was sent for
    /// [`IDLE_TIMEOUT`].
    pub(super) fn close_idle(&mut self, now: Duration, peers: &Peers) {
        let idle: Vec<u64> = self
            .links
            .iter()
            .filter(|(_, link)| now >= link.last_sent + IDLE_TIMEOUT)
            .map(|(incarnation, _)| *incarnation)
            .collect();
        for incarnation in idle {
            self.links.remove(&incarnation);
            peers.disconnect(incarnation);
        }
    }
}
