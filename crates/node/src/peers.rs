//! Who is connected to this process, and by which stream.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use figrill_protocol::message::{Message, Peer};
use figrill_state::event::Code;
use figrill_transport::peer::{ConnId, Net};

use crate::metrics::Journal;

/// First time before an address is dialled again; it doubles with each
/// failure up to [`DIAL_MAX`], with jitter.
const DIAL_FIRST: Duration = Duration::from_millis(100);

/// Longest time before an address is dialled again.
const DIAL_MAX: Duration = Duration::from_secs(3);

/// An address that this process keeps a stream to.
#[derive(Debug)]
struct Target {
    conn: Option<ConnId>,
    dialling: bool,
    failures: u32,
    next: Duration,
}

/// All streams of this process.
pub(crate) struct Peers {
    net: Net,
    journal: Journal,
    by_conn: HashMap<ConnId, Peer>,
    by_incarnation: BTreeMap<u64, Vec<ConnId>>,
    targets: BTreeMap<String, Target>,
}

impl Peers {
    pub(crate) fn new(net: Net, journal: Journal) -> Self {
        Self {
            net,
            journal,
            by_conn: HashMap::new(),
            by_incarnation: BTreeMap::new(),
            targets: BTreeMap::new(),
        }
    }

    pub(crate) fn me(&self) -> &Peer {
        self.net.local_peer()
    }

    pub(crate) const fn net(&self) -> &Net {
        &self.net
    }

    /// Keeps a stream to `address` from now on.
    pub(crate) fn keep(&mut self, address: &str) {
        if address == self.net.local_peer().peer || address.is_empty() {
            return;
        }
        self.targets.entry(address.to_owned()).or_insert(Target {
            conn: None,
            dialling: false,
            failures: 0,
            next: Duration::ZERO,
        });
    }

    /// Keeps streams to just these addresses; others are closed.
    pub(crate) fn keep_only(&mut self, addresses: &BTreeSet<String>) {
        let dropped: Vec<String> = self
            .targets
            .keys()
            .filter(|a| !addresses.contains(*a))
            .cloned()
            .collect();
        for address in dropped {
            let target = self.targets.remove(&address);
            if let Some(conn) = target.and_then(|t| t.conn) {
                self.net.close(conn);
            }
        }
        for address in addresses {
            self.keep(address);
        }
    }

    /// Dials what should be connected and is not.
    pub(crate) fn tick(&mut self, now: Duration) {
        for (address, target) in &mut self.targets {
            let idle = target.conn.is_none() && !target.dialling;
            if idle && now >= target.next {
                target.dialling = true;
                self.net.dial(address);
            }
        }
    }

    pub(crate) fn dial_failed(&mut self, now: Duration, address: &str) {
        if let Some(target) = self.targets.get_mut(address) {
            target.dialling = false;
            target.failures += 1;
            let factor = 1_u32 << target.failures.min(5);
            let most = (DIAL_FIRST * factor).min(DIAL_MAX);
            // Full jitter: a crowd that lost the same peer spreads out.
            target.next = now + most.mul_f64(rand::random::<f64>());
        }
    }

    /// Takes a new stream in.
    pub(crate) fn up(
        &mut self,
        conn: ConnId,
        peer: Peer,
        dialled: Option<&str>,
    ) {
        let detail = format!("peer={} conn={}", peer.name, conn.0);
        self.journal.say(Code::PeerUp, detail);
        let streams = self.by_incarnation.entry(peer.incarnation);
        streams.or_default().push(conn);
        self.by_conn.insert(conn, peer);
        if let Some(target) = dialled.and_then(|a| self.targets.get_mut(a)) {
            target.conn = Some(conn);
            target.dialling = false;
            target.failures = 0;
        }
    }

    /// Takes the end of a stream in; returns its peer if no other stream
    /// to it is left.
    pub(crate) fn down(
        &mut self,
        now: Duration,
        conn: ConnId,
        why: &str,
    ) -> Option<Peer> {
        for target in self.targets.values_mut() {
            if target.conn == Some(conn) {
                target.conn = None;
                target.next = now;
            }
        }
        let peer = self.by_conn.remove(&conn)?;
        let detail = format!("peer={} conn={} why={why}", peer.name, conn.0);
        self.journal.say(Code::PeerDown, detail);
        let streams = self.by_incarnation.get_mut(&peer.incarnation)?;
        streams.retain(|c| *c != conn);
        if !streams.is_empty() {
            return None;
        }
        self.by_incarnation.remove(&peer.incarnation);
        Some(peer)
    }

    pub(crate) fn peer(&self, conn: ConnId) -> Option<&Peer> {
        self.by_conn.get(&conn)
    }

    /// All peers, each once.
    pub(crate) fn all(&self) -> impl Iterator<Item = &Peer> {
        let latest = self.by_incarnation.values().filter_map(|c| c.last());
        latest.filter_map(|conn| self.by_conn.get(conn))
    }

    /// Whether a process with this incarnation is connected.
    pub(crate) fn is_connected(&self, incarnation: u64) -> bool {
        self.by_incarnation.contains_key(&incarnation)
    }

    /// Sends on one stream.
    pub(crate) fn send(&self, conn: ConnId, message: Message) {
        let stamp = self.journal.timeline.stamp();
        if self.net.send(conn, stamp, message).is_err() {
            let peer = self.peer(conn).map_or("", |p| p.name.as_str());
            self.journal.say(Code::RingFull, format!("to={peer}"));
        }
    }

    /// Sends by the newest stream to a process; `false` if there is none.
    pub(crate) fn send_to(&self, incarnation: u64, message: Message) -> bool {
        let streams = self.by_incarnation.get(&incarnation);
        let Some(conn) = streams.and_then(|c| c.last()) else {
            return false;
        };
        self.send(*conn, message);
        true
    }

    /// Sends to each connected process that `wanted` admits.
    pub(crate) fn broadcast(
        &self,
        message: &Message,
        wanted: impl Fn(&Peer) -> bool,
    ) {
        for streams in self.by_incarnation.values() {
            let Some(conn) = streams.last() else { continue };
            if self.by_conn.get(conn).is_some_and(&wanted) {
                self.send(*conn, message.clone());
            }
        }
    }

    /// Closes all streams to a process.
    pub(crate) fn close(&self, incarnation: u64) {
        let streams = self.by_incarnation.get(&incarnation);
        for conn in streams.into_iter().flatten() {
            self.net.close(*conn);
        }
    }

    /// Sends on every stream, also where there are two to one process: a
    /// stream without heartbeats is taken for dead.
    pub(crate) fn beat(&self, message: impl Fn(&Peer) -> Message) {
        for (conn, peer) in &self.by_conn {
            self.send(*conn, message(peer));
        }
    }
}
