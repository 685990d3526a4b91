//! What an entry knows of the other entries and of writes that may still be
//! applied.
//!
//! [`Entries`] tracks the streams to the other entries. It determines which of
//! them can relay calls to the store when this entry cannot reach it, and
//! which must be queried before this entry may answer that a job does not run.
//! [`UnconfirmedWrites`] answers such a query for the writes of this process.
//!
//! Both are needed during an outage of the store. A caller that was refused
//! retries at any entry, while the write that the first entry sent may still
//! be applied.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use figrill_state::batch::BatchId;

/// How long after it was sent an unanswered write may still be applied. The
/// platform's documentation gives this time as seconds, and as six seconds in
/// its list of known faults.
pub const LATE_WRITE_WINDOW: Duration = Duration::from_secs(10);

/// The time between two attempts to connect to an entry.
const REDIAL_INTERVAL: Duration = Duration::from_millis(700);

/// How long an entry waits for an entry with a lower name to connect first.
/// Without the delay, two entries that discover each other at the same time
/// would open a stream each.
const DIAL_DEFERRAL: Duration = Duration::from_secs(2);

/// The maximum number of jobs whose unconfirmed writes are remembered. Beyond
/// it, unanswered writes are dropped, and any job may have a pending write for
/// [`LATE_WRITE_WINDOW`].
const MAX_UNCONFIRMED_WRITES: usize = 4096;

/// An open stream to another entry.
#[derive(Clone, Copy, Debug)]
struct Stream<S> {
    id: S,
    /// Whether the entry reaches the store itself, by its last heartbeat.
    reaches_store: bool,
}

/// Another entry.
#[derive(Clone, Debug)]
struct PeerEntry<S> {
    address: String,
    /// The revision of the entry's record in the store; `None` if it is not
    /// known or there is no such record.
    record_revision: Option<u64>,
    /// When the entry's record was removed from the store, if it was.
    removed_at: Option<Duration>,
    stream: Option<Stream<S>>,
    /// When the entry was discovered or its last stream ended.
    disconnected_since: Duration,
    /// When the entry was last dialled, if ever.
    dialled_at: Option<Duration>,
}

/// An entry that can relay a write to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WriteRelay<S> {
    /// The stream to it.
    pub stream: S,
    /// Its name.
    pub name: String,
    /// The revision of its record in the store.
    pub record_revision: u64,
}

/// The other entries. `S` identifies a stream.
#[derive(Clone, Debug)]
pub struct Entries<S> {
    local_name: String,
    /// The other entries, by name.
    peers: BTreeMap<String, PeerEntry<S>>,
    /// Whether the store has listed the entries.
    listed: bool,
    /// A counter by which [`next_relay`](Self::next_relay) alternates.
    relay_index: usize,
}

impl<S: Copy + Eq> Entries<S> {
    /// Creates the view of the entry `local_name`, which knows no other entry
    /// yet.
    pub fn new(local_name: impl Into<String>) -> Self {
        Self {
            local_name: local_name.into(),
            peers: BTreeMap::new(),
            listed: false,
            relay_index: 0,
        }
    }

    /// Replaces the known entries by the names and addresses that the store
    /// lists.
    pub fn set_all(&mut self, now: Duration, entries: &[(String, String)]) {
        self.listed = true;
        let removed: Vec<String> = self
            .peers
            .keys()
            .filter(|name| !entries.iter().any(|(n, _)| n == *name))
            .cloned()
            .collect();
        for name in removed {
            self.remove(now, &name);
        }
        for (name, address) in entries {
            self.add(now, name, address);
        }
    }

    /// Adds an entry whose record was written, or updates its address.
    pub fn add(&mut self, now: Duration, name: &str, address: &str) {
        if name == self.local_name {
            return;
        }
        let peer = self.peers.entry(name.to_owned());
        let peer = peer.or_insert_with(|| PeerEntry {
            address: String::new(),
            record_revision: None,
            removed_at: None,
            stream: None,
            disconnected_since: now,
            dialled_at: None,
        });
        peer.removed_at = None;
        address.clone_into(&mut peer.address);
    }

    /// Returns the address of an entry, if it is known.
    #[must_use]
    pub fn address_of(&self, name: &str) -> Option<&str> {
        self.peers.get(name).map(|p| p.address.as_str())
    }

    /// Marks an entry whose record was removed from the store. The entry stays
    /// known for [`LATE_WRITE_WINDOW`] after that and after the end of its
    /// stream, because a write that it sent may still be applied.
    pub fn remove(&mut self, now: Duration, name: &str) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.removed_at.get_or_insert(now);
            peer.record_revision = None;
        }
    }

    /// Records the revision of an entry's record in the store.
    pub fn set_record_revision(&mut self, name: &str, revision: u64) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.record_revision = Some(revision);
        }
    }

    /// Records an open stream to an entry.
    pub fn add_stream(
        &mut self,
        now: Duration,
        name: &str,
        address: &str,
        id: S,
    ) {
        if name == self.local_name {
            return;
        }
        if !self.peers.contains_key(name) {
            self.add(now, name, address);
        }
        if let Some(peer) = self.peers.get_mut(name) {
            peer.stream = Some(Stream {
                id,
                reaches_store: false,
            });
        }
    }

    /// Removes a stream that has ended. Returns the name of the entry at its
    /// other end, unless a newer stream to that entry has replaced it.
    pub fn remove_stream(&mut self, now: Duration, id: S) -> Option<&str> {
        let mut peers = self.peers.iter_mut();
        let (name, peer) =
            peers.find(|(_, p)| p.stream.is_some_and(|s| s.id == id))?;
        peer.stream = None;
        peer.disconnected_since = now;
        Some(name)
    }

    /// Records whether the entry at the other end of the stream `id` reaches
    /// the store itself.
    pub fn set_reaches_store(&mut self, id: S, reaches_store: bool) {
        let streams =
            self.peers.values_mut().filter_map(|p| p.stream.as_mut());
        for stream in streams.filter(|s| s.id == id) {
            stream.reaches_store = reaches_store;
        }
    }

    /// Returns all open streams.
    pub fn streams(&self) -> impl Iterator<Item = S> + use<'_, S> {
        self.peers.values().filter_map(|p| Some(p.stream?.id))
    }

    /// Returns the open stream to an entry, if there is one.
    #[must_use]
    pub fn stream_to(&self, name: &str) -> Option<S> {
        Some(self.peers.get(name)?.stream?.id)
    }

    /// Returns the addresses of the entries to connect to now, and records
    /// that they are dialled.
    pub fn addresses_to_dial(&mut self, now: Duration) -> Vec<String> {
        let local_name = self.local_name.clone();
        // A stream to the same address under another name would replace the
        // one that is open.
        let connected: BTreeSet<String> = self
            .peers
            .values()
            .filter(|p| p.stream.is_some())
            .map(|p| p.address.clone())
            .collect();
        let due = |name: &String, peer: &PeerEntry<S>| {
            let deferred = *name < local_name
                && now < peer.disconnected_since + DIAL_DEFERRAL;
            let redial =
                peer.dialled_at.is_none_or(|at| now >= at + REDIAL_INTERVAL);
            peer.stream.is_none()
                && peer.removed_at.is_none()
                && !connected.contains(&peer.address)
                && !deferred
                && redial
        };
        let mut addresses = Vec::new();
        for (name, peer) in &mut self.peers {
            if due(name, peer) {
                peer.dialled_at = Some(now);
                addresses.push(peer.address.clone());
            }
        }
        addresses
    }

    /// Returns the stream to an entry that can relay calls to the store, or
    /// `None` if no connected entry reaches it. Such entries are chosen in
    /// round-robin order.
    pub fn next_relay(&mut self) -> Option<S> {
        self.choose_relay(|_, _, stream| Some(stream))
    }

    /// Returns an entry that can relay a write to the store, chosen like
    /// [`next_relay`](Self::next_relay). Its record has to be known, because
    /// the write is conditional on it.
    pub fn next_write_relay(&mut self) -> Option<WriteRelay<S>> {
        self.choose_relay(|name, peer, stream| {
            Some(WriteRelay {
                stream,
                name: name.to_owned(),
                record_revision: peer.record_revision?,
            })
        })
    }

    /// Returns whether an entry can relay a write to the store.
    #[must_use]
    pub fn has_write_relay(&self) -> bool {
        self.peers.values().any(|peer| {
            peer.record_revision.is_some()
                && peer.stream.is_some_and(|s| s.reaches_store)
        })
    }

    /// Chooses one of the connected entries that reach the store and for which
    /// `describe` returns something.
    fn choose_relay<T>(
        &mut self,
        describe: impl Fn(&str, &PeerEntry<S>, S) -> Option<T>,
    ) -> Option<T> {
        self.relay_index = self.relay_index.wrapping_add(1);
        let relays = self.peers.iter().filter_map(|(name, peer)| {
            let stream = peer.stream.filter(|s| s.reaches_store)?;
            describe(name, peer, stream.id)
        });
        let mut relays: Vec<T> = relays.collect();
        let index = self.relay_index.checked_rem(relays.len())?;
        Some(relays.swap_remove(index))
    }

    /// Returns the streams to all entries that may have sent a write that may
    /// still be applied. Returns `None` if one of these entries has no stream
    /// or if the store has not listed the entries yet, because an entry that
    /// cannot be queried may have such a write. Entries that were removed are
    /// forgotten when they have had no stream for [`LATE_WRITE_WINDOW`].
    pub fn peers_to_query(&mut self, now: Duration) -> Option<Vec<S>> {
        self.peers.retain(|_, peer| {
            // An entry that lost its record may have written until its stream
            // ended.
            let last_seen =
                peer.removed_at.map(|at| at.max(peer.disconnected_since));
            let expiry = last_seen.map(|at| at + LATE_WRITE_WINDOW);
            peer.stream.is_some() || expiry.is_none_or(|at| now < at)
        });
        if !self.listed {
            return None;
        }
        let streams = self.peers.values().map(|p| p.stream.map(|s| s.id));
        streams.collect()
    }
}

/// The result of a write of a job, as its sender knows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteResult {
    /// The job is in the store.
    Stored,
    /// The write was not applied and never will be.
    NotApplied,
    /// The store did not answer, so the write may still be applied.
    Unanswered,
}

/// The writes of jobs that this process sent and that may still be applied.
#[derive(Clone, Debug)]
pub struct UnconfirmedWrites {
    /// Until when a write that is not in `pending` may be applied: one that an
    /// earlier incarnation sent, or one that was dropped to bound the memory.
    unknown_until: Duration,
    /// For each job, the number of its writes in flight and whether an earlier
    /// one was not answered.
    pending: BTreeMap<BatchId, (u32, bool)>,
}

impl UnconfirmedWrites {
    /// Creates an empty set. Until [`LATE_WRITE_WINDOW`] has passed, any job
    /// may have a pending write from an earlier incarnation of the process.
    #[must_use]
    pub const fn new(now: Duration) -> Self {
        Self {
            unknown_until: now.saturating_add(LATE_WRITE_WINDOW),
            pending: BTreeMap::new(),
        }
    }

    /// Declares that the process has no earlier incarnation, so that no write
    /// from one can be pending.
    pub fn set_first_incarnation(&mut self) {
        self.unknown_until = Duration::ZERO;
    }

    /// Records that a write is about to be sent.
    pub fn begin(&mut self, job: BatchId) {
        self.pending.entry(job).or_default().0 += 1;
    }

    /// Records the result of a write that [`begin`](Self::begin) recorded.
    pub fn end(&mut self, now: Duration, job: BatchId, result: WriteResult) {
        let Some((in_flight, unanswered)) = self.pending.get_mut(&job) else {
            return;
        };
        *in_flight = in_flight.saturating_sub(1);
        match result {
            // The record exists, so a late write of the same job fails its
            // precondition.
            WriteResult::Stored => *unanswered = false,
            WriteResult::NotApplied => {}
            WriteResult::Unanswered => *unanswered = true,
        }
        if *in_flight == 0 && !*unanswered {
            self.pending.remove(&job);
        }
        if self.pending.len() > MAX_UNCONFIRMED_WRITES {
            self.pending.retain(|_, (in_flight, _)| *in_flight > 0);
            self.unknown_until = now + LATE_WRITE_WINDOW;
        }
    }

    /// Returns whether no write of any job may still be applied.
    #[must_use]
    pub fn all_confirmed(&self, now: Duration) -> bool {
        now >= self.unknown_until && self.pending.is_empty()
    }

    /// Returns whether a write of this job may still be applied.
    #[must_use]
    pub fn may_still_apply(&self, now: Duration, job: BatchId) -> bool {
        now < self.unknown_until || self.pending.contains_key(&job)
    }
}
