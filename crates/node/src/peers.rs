//! The streams to the connected peers, and the addresses that this process
//! dials again whenever it has no stream to them.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use figrill_protocol::message::{Message, Peer};
use figrill_state::event::Code;
use figrill_transport::peer::{ConnId, Net};

use crate::metrics::Journal;

/// The base of the backoff before an address is dialled again. The upper
/// bound of the random delay is twice this after the first failure, and
/// doubles with each further one up to [`MAX_DIAL_BACKOFF`].
const DIAL_BACKOFF_BASE: Duration = Duration::from_millis(100);

/// The maximum delay before an address is dialled again.
const MAX_DIAL_BACKOFF: Duration = Duration::from_secs(3);

/// An address that this process maintains a stream to.
#[derive(Debug)]
struct DialTarget {
    conn: Option<ConnId>,
    /// Whether an attempt to dial the address is in progress.
    dialling: bool,
    /// The number of attempts that have failed since the last success.
    failures: u32,
    /// The earliest time of the next attempt.
    next_dial: Duration,
}

/// The streams of this process. There may be more than one to the same peer.
pub(crate) struct Peers {
    net: Net,
    journal: Journal,
    by_conn: HashMap<ConnId, Peer>,
    /// The streams to each process, in the order in which they were opened.
    by_incarnation: BTreeMap<u64, Vec<ConnId>>,
    targets: BTreeMap<String, DialTarget>,
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

    pub(crate) fn local_peer(&self) -> &Peer {
        self.net.local_peer()
    }

    pub(crate) const fn net(&self) -> &Net {
        &self.net
    }

    /// Adds an address to maintain a stream to. An empty address and that of
    /// this process are ignored.
    pub(crate) fn add_target(&mut self, address: &str) {
        if address == self.net.local_peer().address || address.is_empty() {
            return;
        }
        self.targets
            .entry(address.to_owned())
            .or_insert(DialTarget {
                conn: None,
                dialling: false,
                failures: 0,
                next_dial: Duration::ZERO,
            });
    }

    /// Replaces the addresses to maintain a stream to. Streams that were
    /// dialled to other addresses are closed.
    pub(crate) fn set_targets(&mut self, addresses: &BTreeSet<String>) {
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
            self.add_target(address);
        }
    }

    /// Dials the targets that have no stream and whose backoff is over.
    pub(crate) fn dial_due_targets(&mut self, now: Duration) {
        for (address, target) in &mut self.targets {
            let disconnected = target.conn.is_none() && !target.dialling;
            if disconnected && now >= target.next_dial {
                target.dialling = true;
                self.net.dial(address);
            }
        }
    }

    /// Records that an attempt to dial an address has failed, and schedules
    /// the next one.
    pub(crate) fn dial_failed(&mut self, now: Duration, address: &str) {
        if let Some(target) = self.targets.get_mut(address) {
            target.dialling = false;
            target.failures += 1;
            let factor = 1_u32 << target.failures.min(5);
            let max_delay = (DIAL_BACKOFF_BASE * factor).min(MAX_DIAL_BACKOFF);
            // Full jitter spreads out the attempts of many processes that
            // have lost the same peer.
            target.next_dial = now + max_delay.mul_f64(rand::random::<f64>());
        }
    }

    /// Adds a newly opened stream. `dialled` is the address that was dialled
    /// for it; `None` if the peer has opened it.
    pub(crate) fn add_stream(
        &mut self,
        conn: ConnId,
        peer: Peer,
        dialled: Option<&str>,
    ) {
        let detail = format!("peer={} conn={}", peer.name, conn.0);
        self.journal.record_event(Code::PeerUp, detail);
        let streams = self.by_incarnation.entry(peer.incarnation);
        streams.or_default().push(conn);
        self.by_conn.insert(conn, peer);
        if let Some(target) = dialled.and_then(|a| self.targets.get_mut(a)) {
            target.conn = Some(conn);
            target.dialling = false;
            target.failures = 0;
        }
    }

    /// Removes a closed stream. Returns its peer if no other stream to that
    /// peer is open. A dialled address is due for dialling at once.
    pub(crate) fn remove_stream(
        &mut self,
        now: Duration,
        conn: ConnId,
        why: &str,
    ) -> Option<Peer> {
        for target in self.targets.values_mut() {
            if target.conn == Some(conn) {
                target.conn = None;
                target.next_dial = now;
            }
        }
        let peer = self.by_conn.remove(&conn)?;
        let detail = format!("peer={} conn={} why={why}", peer.name, conn.0);
        self.journal.record_event(Code::PeerDown, detail);
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

    /// Returns the connected peers. A peer with several streams occurs once.
    pub(crate) fn connected(&self) -> impl Iterator<Item = &Peer> {
        let latest = self.by_incarnation.values().filter_map(|c| c.last());
        latest.filter_map(|conn| self.by_conn.get(conn))
    }

    /// Returns whether a process with this incarnation is connected.
    pub(crate) fn is_connected(&self, incarnation: u64) -> bool {
        self.by_incarnation.contains_key(&incarnation)
    }

    /// Sends a message on one stream. If the queue of the stream is full, the
    /// transport closes the stream, and the failure is recorded as an event.
    pub(crate) fn send(&self, conn: ConnId, message: Message) {
        let stamp = self.journal.timeline.stamp();
        if self.net.send(conn, stamp, message).is_err() {
            let peer = self.peer(conn).map_or("", |p| p.name.as_str());
            self.journal
                .record_event(Code::RingFull, format!("to={peer}"));
        }
    }

    /// Sends a message on the newest stream to a process. Returns `false` if
    /// there is no stream.
    pub(crate) fn send_to(&self, incarnation: u64, message: Message) -> bool {
        let streams = self.by_incarnation.get(&incarnation);
        let Some(conn) = streams.and_then(|c| c.last()) else {
            return false;
        };
        self.send(*conn, message);
        true
    }

    /// Sends a message to each connected process that `filter` accepts, on the
    /// newest stream to it.
    pub(crate) fn broadcast(
        &self,
        message: &Message,
        filter: impl Fn(&Peer) -> bool,
    ) {
        for streams in self.by_incarnation.values() {
            let Some(conn) = streams.last() else { continue };
            if self.by_conn.get(conn).is_some_and(&filter) {
                self.send(*conn, message.clone());
            }
        }
    }

    /// Closes all streams to a process.
    pub(crate) fn disconnect(&self, incarnation: u64) {
        let streams = self.by_incarnation.get(&incarnation);
        for conn in streams.into_iter().flatten() {
            self.net.close(*conn);
        }
    }

    /// Sends a heartbeat on every stream, even if there are two to the same
    /// process, because a stream without heartbeats is closed as dead.
    pub(crate) fn send_heartbeats(&self, message: impl Fn(&Peer) -> Message) {
        for (conn, peer) in &self.by_conn {
            self.send(*conn, message(peer));
        }
    }
}
