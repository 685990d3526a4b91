//! What an entry knows of the other entries: which of them it has to ask
//! before it may say that a job does not run, and which reach the store
//! where this one is turned away.
//!
//! Answers the load of an outage of the store: callers who are refused come
//! back to any entry, and an earlier entry's write may land meanwhile.

use std::{collections::BTreeMap, time::Duration};

use figrill_state::batch::BatchId;

/// How long after it was sent a write without an answer may still land. The
/// platform speaks of seconds, and of six in its list of troubles.
pub const LATE_WRITE_WINDOW: Duration = Duration::from_secs(10);

/// Time between two dials of an entry that was not reached.
const REDIAL_INTERVAL: Duration = Duration::from_millis(700);

/// How long an entry leaves it to the other one to dial, of two that find
/// each other at the same time.
const DIAL_DEFERRAL: Duration = Duration::from_secs(2);

/// The most jobs whose writes are remembered as unsettled.
const UNCONFIRMED_WRITES_MAX: usize = 4096;

/// An open stream to another entry.
#[derive(Clone, Copy, Debug)]
struct Link<L> {
    id: L,
    reaches_store: bool,
}

#[derive(Clone, Debug)]
struct PeerEntry<L> {
    address: String,
    /// When its record left the store, if it has.
    removed: Option<Duration>,
    link: Option<Link<L>>,
    /// When it became known or its last stream ended.
    disconnected_since: Duration,
    dialled: Option<Duration>,
}

/// The other entries; `L` names a stream.
#[derive(Clone, Debug)]
pub struct Entries<L> {
    me: String,
    known: BTreeMap<String, PeerEntry<L>>,
    listed: bool,
    next_index: usize,
}

impl<L: Copy + Eq> Entries<L> {
    /// Knows of nobody but itself.
    pub fn new(me: impl Into<String>) -> Self {
        Self {
            me: me.into(),
            known: BTreeMap::new(),
            listed: false,
            next_index: 0,
        }
    }

    /// All entries that the store names, with their addresses.
    pub fn list(&mut self, now: Duration, entries: &[(String, String)]) {
        self.listed = true;
        let gone: Vec<String> = self
            .known
            .keys()
            .filter(|name| !entries.iter().any(|(n, _)| n == *name))
            .cloned()
            .collect();
        for name in gone {
            self.remove(now, &name);
        }
        for (name, address) in entries {
            self.add(now, name, address);
        }
    }

    /// An entry's record was written.
    pub fn add(&mut self, now: Duration, name: &str, address: &str) {
        if name == self.me {
            return;
        }
        let known = self.known.entry(name.to_owned());
        let known = known.or_insert_with(|| PeerEntry {
            address: String::new(),
            removed: None,
            link: None,
            disconnected_since: now,
            dialled: None,
        });
        known.removed = None;
        address.clone_into(&mut known.address);
    }

    /// An entry's record is gone. What it sent may still land.
    pub fn remove(&mut self, now: Duration, name: &str) {
        if let Some(known) = self.known.get_mut(name) {
            known.removed.get_or_insert(now);
        }
    }

    /// A stream to an entry is open.
    pub fn link(&mut self, now: Duration, name: &str, address: &str, id: L) {
        if name == self.me {
            return;
        }
        if !self.known.contains_key(name) {
            self.add(now, name, address);
        }
        if let Some(known) = self.known.get_mut(name) {
            known.link = Some(Link {
                id,
                reaches_store: false,
            });
        }
    }

    /// A stream has ended; the entry at its other end, if it was its last.
    pub fn unlink(&mut self, now: Duration, id: L) -> Option<&str> {
        let mut known = self.known.iter_mut();
        let (name, known) =
            known.find(|(_, k)| k.link.is_some_and(|l| l.id == id))?;
        known.link = None;
        known.disconnected_since = now;
        Some(name)
    }

    /// What an entry said of its own way to the store.
    pub fn set_reaches_store(&mut self, id: L, reaches_store: bool) {
        let links = self.known.values_mut().filter_map(|k| k.link.as_mut());
        for link in links.filter(|l| l.id == id) {
            link.reaches_store = reaches_store;
        }
    }

    /// All open streams.
    pub fn links(&self) -> impl Iterator<Item = L> + use<'_, L> {
        self.known.values().filter_map(|k| Some(k.link?.id))
    }

    /// Addresses to dial now.
    pub fn to_dial(&mut self, now: Duration) -> Vec<String> {
        let me = self.me.clone();
        let due = |name: &String, known: &PeerEntry<L>| {
            let deferred =
                *name < me && now < known.disconnected_since + DIAL_DEFERRAL;
            let redial =
                known.dialled.is_none_or(|at| now >= at + REDIAL_INTERVAL);
            known.link.is_none()
                && known.removed.is_none()
                && !deferred
                && redial
        };
        let mut addresses = Vec::new();
        for (name, known) in &mut self.known {
            if due(name, known) {
                known.dialled = Some(now);
                addresses.push(known.address.clone());
            }
        }
        addresses
    }

    /// An entry that reaches the store, each in its turn.
    pub fn next_relay(&mut self) -> Option<L> {
        let links = self.known.values().filter_map(|k| k.link);
        let relays: Vec<L> =
            links.filter(|l| l.reaches_store).map(|l| l.id).collect();
        self.next_index = self.next_index.wrapping_add(1);
        let index = self.next_index.checked_rem(relays.len())?;
        relays.get(index).copied()
    }

    /// Whom to ask whether a write of theirs may still land; `None` if not
    /// all of those whose writes may land can be asked.
    pub fn peers_to_query(&mut self, now: Duration) -> Option<Vec<L>> {
        self.known.retain(|_, known| {
            let expiry = known.removed.map(|at| at + LATE_WRITE_WINDOW);
            known.link.is_some() || expiry.is_none_or(|at| now < at)
        });
        if !self.listed {
            return None;
        }
        let links = self.known.values().map(|k| k.link.map(|l| l.id));
        links.collect()
    }
}

/// How the write of a job went, as far as its sender knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteResult {
    /// The job stands in the store.
    Stored,
    /// It was not done, nor will it be.
    NotApplied,
    /// There was no answer.
    Unanswered,
}

/// The writes of jobs that this process sent and that may still land.
#[derive(Clone, Debug)]
pub struct UnconfirmedWrites {
    /// Until when a write that this process does not know of may land.
    unknown_until: Duration,
    /// Writes under way, and whether an earlier one had no answer.
    pending: BTreeMap<BatchId, (u32, bool)>,
}

impl UnconfirmedWrites {
    /// Nothing was sent; but an earlier life of the process may have.
    #[must_use]
    pub const fn new(now: Duration) -> Self {
        Self {
            unknown_until: now.saturating_add(LATE_WRITE_WINDOW),
            pending: BTreeMap::new(),
        }
    }

    /// The process has no earlier life.
    pub fn set_first_incarnation(&mut self) {
        self.unknown_until = Duration::ZERO;
    }

    /// A write is about to be sent.
    pub fn begin(&mut self, job: BatchId) {
        self.pending.entry(job).or_default().0 += 1;
    }

    /// A write that was begun has ended.
    pub fn end(&mut self, now: Duration, job: BatchId, result: WriteResult) {
        let Some((in_flight, unanswered)) = self.pending.get_mut(&job) else {
            return;
        };
        *in_flight = in_flight.saturating_sub(1);
        match result {
            // A late write of the same job meets the record and fails.
            WriteResult::Stored => *unanswered = false,
            WriteResult::NotApplied => {}
            WriteResult::Unanswered => *unanswered = true,
        }
        if *in_flight == 0 && !*unanswered {
            self.pending.remove(&job);
        }
        if self.pending.len() > UNCONFIRMED_WRITES_MAX {
            self.pending.retain(|_, (in_flight, _)| *in_flight > 0);
            self.unknown_until = now + LATE_WRITE_WINDOW;
        }
    }

    /// Whether nothing is under way and nothing had no answer.
    #[must_use]
    pub fn all_confirmed(&self, now: Duration) -> bool {
        now >= self.unknown_until && self.pending.is_empty()
    }

    /// Whether a write of this job may still land.
    #[must_use]
    pub fn may_still_apply(&self, now: Duration, job: BatchId) -> bool {
        now < self.unknown_until || self.pending.contains_key(&job)
    }
}
