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
pub const WRITE_LANDS_WITHIN: Duration = Duration::from_secs(10);

/// Time between two dials of an entry that was not reached.
const DIAL_AGAIN: Duration = Duration::from_millis(700);

/// How long an entry leaves it to the other one to dial, of two that find
/// each other at the same time.
const DIAL_POLITELY: Duration = Duration::from_secs(2);

/// The most jobs whose writes are remembered as unsettled.
const UNSETTLED_MAX: usize = 4096;

/// An open stream to another entry.
#[derive(Clone, Copy, Debug)]
struct Link<L> {
    id: L,
    reaches_store: bool,
}

#[derive(Clone, Debug)]
struct Known<L> {
    address: String,
    /// When its record left the store, if it has.
    removed: Option<Duration>,
    link: Option<Link<L>>,
    /// When it became known or its last stream ended.
    alone_since: Duration,
    dialled: Option<Duration>,
}

/// The other entries; `L` names a stream.
#[derive(Clone, Debug)]
pub struct Entries<L> {
    me: String,
    known: BTreeMap<String, Known<L>>,
    listed: bool,
    turn: usize,
}

impl<L: Copy + Eq> Entries<L> {
    /// Knows of nobody but itself.
    pub fn new(me: impl Into<String>) -> Self {
        Self {
            me: me.into(),
            known: BTreeMap::new(),
            listed: false,
            turn: 0,
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
        let known = known.or_insert_with(|| Known {
            address: String::new(),
            removed: None,
            link: None,
            alone_since: now,
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
        known.alone_since = now;
        Some(name)
    }

    /// What an entry said of its own way to the store.
    pub fn heard(&mut self, id: L, reaches_store: bool) {
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
        let due = |name: &String, known: &Known<L>| {
            let polite = *name < me && now < known.alone_since + DIAL_POLITELY;
            let again = known.dialled.is_none_or(|at| now >= at + DIAL_AGAIN);
            known.link.is_none() && known.removed.is_none() && !polite && again
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
    pub fn helper(&mut self) -> Option<L> {
        let links = self.known.values().filter_map(|k| k.link);
        let able: Vec<L> =
            links.filter(|l| l.reaches_store).map(|l| l.id).collect();
        self.turn = self.turn.wrapping_add(1);
        let place = self.turn.checked_rem(able.len())?;
        able.get(place).copied()
    }

    /// Whom to ask whether a write of theirs may still land; `None` if not
    /// all of those whose writes may land can be asked.
    pub fn to_ask(&mut self, now: Duration) -> Option<Vec<L>> {
        self.known.retain(|_, known| {
            let over = known.removed.map(|at| at + WRITE_LANDS_WITHIN);
            known.link.is_some() || over.is_none_or(|at| now < at)
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
pub enum Sent {
    /// The job stands in the store.
    Stands,
    /// It was not done, nor will it be.
    NotDone,
    /// There was no answer.
    Unanswered,
}

/// The writes of jobs that this process sent and that may still land.
#[derive(Clone, Debug)]
pub struct UnsettledWrites {
    /// Until when a write that this process does not know of may land.
    unsure_until: Duration,
    /// Writes under way, and whether an earlier one had no answer.
    open: BTreeMap<BatchId, (u32, bool)>,
}

impl UnsettledWrites {
    /// Nothing was sent; but an earlier life of the process may have.
    #[must_use]
    pub const fn new(now: Duration) -> Self {
        Self {
            unsure_until: now.saturating_add(WRITE_LANDS_WITHIN),
            open: BTreeMap::new(),
        }
    }

    /// The process has no earlier life.
    pub fn is_first_life(&mut self) {
        self.unsure_until = Duration::ZERO;
    }

    /// A write is about to be sent.
    pub fn begin(&mut self, job: BatchId) {
        self.open.entry(job).or_default().0 += 1;
    }

    /// A write that was begun has ended.
    pub fn end(&mut self, now: Duration, job: BatchId, how: Sent) {
        let Some((under_way, unanswered)) = self.open.get_mut(&job) else {
            return;
        };
        *under_way = under_way.saturating_sub(1);
        match how {
            // A late write of the same job meets the record and fails.
            Sent::Stands => *unanswered = false,
            Sent::NotDone => {}
            Sent::Unanswered => *unanswered = true,
        }
        if *under_way == 0 && !*unanswered {
            self.open.remove(&job);
        }
        if self.open.len() > UNSETTLED_MAX {
            self.open.retain(|_, (under_way, _)| *under_way > 0);
            self.unsure_until = now + WRITE_LANDS_WITHIN;
        }
    }

    /// Whether nothing is under way and nothing had no answer.
    #[must_use]
    pub fn is_settled(&self, now: Duration) -> bool {
        now >= self.unsure_until && self.open.is_empty()
    }

    /// Whether a write of this job may still land.
    #[must_use]
    pub fn may_land(&self, now: Duration, job: BatchId) -> bool {
        now < self.unsure_until || self.open.contains_key(&job)
    }
}
