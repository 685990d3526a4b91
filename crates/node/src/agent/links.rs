//! Streams between the agents of one gang, made when they are needed.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use figrill_coordination::message::Member;
use figrill_protocol::message::Message;

use crate::peers::Peers;

/// The most messages that wait for a stream to be made. The oldest go
/// first: each is sent again by its sender's decisions.
const WAITING_MAX: usize = 256;

/// How long a stream to another agent is kept without use.
const IDLE: Duration = Duration::from_mins(1);

/// Time before an agent is dialled again.
const DIAL_AGAIN: Duration = Duration::from_millis(300);

#[derive(Default)]
struct Link {
    waiting: VecDeque<Message>,
    dialled: Option<Duration>,
    used: Duration,
}

/// Streams to other agents, by incarnation.
#[derive(Default)]
pub(super) struct Links {
    links: BTreeMap<u64, Link>,
}

impl Links {
    /// Sends to an agent, dialling it if need be.
    pub(super) fn send(
        &mut self,
        now: Duration,
        peers: &Peers,
        to: &Member,
        message: Message,
    ) {
        let link = self.links.entry(to.incarnation).or_default();
        link.used = now;
        if peers.is_connected(to.incarnation) {
            peers.send_to(to.incarnation, message);
            return;
        }
        link.waiting.push_back(message);
        if link.waiting.len() > WAITING_MAX {
            link.waiting.pop_front();
        }
        if link.dialled.is_none_or(|at| now >= at + DIAL_AGAIN) {
            link.dialled = Some(now);
            peers.net().dial(&to.address);
        }
    }

    /// A stream to an agent is open: sends what has waited for it.
    pub(super) fn up(&mut self, peers: &Peers, incarnation: u64) {
        let Some(link) = self.links.get_mut(&incarnation) else {
            return;
        };
        link.dialled = None;
        for message in std::mem::take(&mut link.waiting) {
            peers.send_to(incarnation, message);
        }
    }

    /// Closes what was not used for long.
    pub(super) fn tick(&mut self, now: Duration, peers: &Peers) {
        let idle: Vec<u64> = self
            .links
            .iter()
            .filter(|(_, link)| now >= link.used + IDLE)
            .map(|(incarnation, _)| *incarnation)
            .collect();
        for incarnation in idle {
            self.links.remove(&incarnation);
            peers.disconnect(incarnation);
        }
    }
}
