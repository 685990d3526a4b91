//! An in-memory implementation of the store for `figrill dev`, tests and
//! benchmarks.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use crate::clock::Clock;

use super::{
    Attachment, Change, Changes, Item, Kv, KvError, LeaseId, Listing, Txn,
};

/// The maximum number of past changes that are kept for watches.
const MAX_HISTORY_LEN: usize = 4096;

/// How often a waiting watch checks whether its deadline has passed or a lease
/// has expired. The clock may be a virtual one, whose progress does not wake
/// the condition variable.
const CLOCK_POLL_INTERVAL: Duration = Duration::from_millis(5);

#[derive(Clone, Debug)]
struct Stored {
    value: Vec<u8>,
    revision: u64,
    lease: Option<LeaseId>,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    /// When the lease expires, on the store's clock.
    expires_at: Duration,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Stored>,
    leases: BTreeMap<u64, Lease>,
    /// The identifier of the latest lease; 0 before the first one.
    last_lease_id: u64,
    /// The latest changes with their revisions, oldest first.
    history: VecDeque<(u64, Change)>,
    /// The history up to and including this revision has been discarded.
    compacted_revision: u64,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    clock: Arc<dyn Clock>,
}

/// An in-memory store. Clones share the same data. Timeouts are ignored, as
/// only a watch ever waits.
#[derive(Clone)]
pub struct MemoryKv {
    shared: Arc<Shared>,
}

impl MemoryKv {
    /// Returns an empty store whose leases expire by `clock`.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        let state = State {
            // As in the platform's store, revisions start above 0, because 0
            // stands for a key that does not exist.
            revision: 1,
            ..State::default()
        };
        Self {
            shared: Arc::new(Shared {
                state: Mutex::new(state),
                changed: Condvar::new(),
                clock,
            }),
        }
    }

    /// Discards the history, so that watches from an earlier revision fail
    /// with [`KvError::Compacted`] and have to list the keys again.
    pub fn compact_history(&self) {
        let mut state = self.lock();
        state.compacted_revision = state.revision;
        state.history.clear();
        self.shared.changed.notify_all();
    }

    /// Expires all leases immediately and removes their keys.
    pub fn expire_leases(&self) {
        let mut state = self.lock();
        for lease in state.leases.values_mut() {
            lease.expires_at = Duration::ZERO;
        }
        drop(state);
        // Taking the lock again removes the leases that have just expired.
        drop(self.lock());
    }

    /// Locks the state after removing the expired leases and their keys.
    fn lock(&self) -> MutexGuard<'_, State> {
        let now = self.shared.clock.now();
        let mut state = self
            .shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let expired: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, lease)| now >= lease.expires_at)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            state.remove_lease(id);
            self.shared.changed.notify_all();
        }
        state
    }
}

impl State {
    /// Removes a lease and the keys attached to it, each at a new revision.
    fn remove_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let attached = self.items.iter().filter(|(_, stored)| {
            stored.lease.is_some_and(|lease| lease.0 == id)
        });
        let keys: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.revision += 1;
            self.remove(&key);
        }
    }

    /// Removes a key, if it exists, at the current revision.
    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.append_history(Change::Removed(key.to_owned()));
        }
    }

    fn append_history(&mut self, change: Change) {
        self.history.push_back((self.revision, change));
        while self.history.len() > MAX_HISTORY_LEN {
            if let Some((revision, _)) = self.history.pop_front() {
                self.compacted_revision = revision;
            }
        }
    }

    fn item(&self, key: &str) -> Option<Item> {
        self.items.get(key).map(|stored| Item {
            key: key.to_owned(),
            value: stored.value.clone(),
            revision: stored.revision,
            attachment: stored
                .lease
                .map_or(Attachment::None, Attachment::Lease),
        })
    }

    /// Applies a transaction at a new revision. Changes nothing if it returns
    /// an error.
    fn apply(&mut self, txn: &Txn) -> Result<u64, KvError> {
        txn.check()?;
        let revision = |key: &str| {
            self.items.get(key).map_or(0, |stored| stored.revision)
        };
        let matches =
            |(key, expected): &(String, u64)| revision(key) == *expected;
        if !txn.conditions.iter().all(matches) {
            let keys = txn.conditions.iter().map(|(key, _)| key);
            let items = keys.filter_map(|key| self.item(key)).collect();
            return Err(KvError::Conflict(items));
        }
        let exists = |lease: &Option<LeaseId>| {
            lease.is_none_or(|l| self.leases.contains_key(&l.0))
        };
        if !txn.puts.iter().all(|(_, _, lease)| exists(lease)) {
            return Err(KvError::LeaseNotFound);
        }
        self.revision += 1;
        for (key, value, lease) in &txn.puts {
            let stored = Stored {
                value: value.clone(),
                revision: self.revision,
                lease: *lease,
            };
            self.items.insert(key.clone(), stored);
            if let Some(item) = self.item(key) {
                self.append_history(Change::Put(item));
            }
        }
        for key in &txn.removes {
            self.remove(key);
        }
        Ok(self.revision)
    }

    /// Returns the changes after the revision `after` to keys that start with
    /// `prefix`.
    fn changes_after(
        &self,
        prefix: &str,
        after: u64,
    ) -> Result<Vec<Change>, KvError> {
        if after < self.compacted_revision {
            return Err(KvError::Compacted);
        }
        let has_prefix = |change: &Change| match change {
            Change::Put(item) => item.key.starts_with(prefix),
            Change::Removed(key) => key.starts_with(prefix),
        };
        let later = self
            .history
            .iter()
            .filter(|(revision, _)| *revision > after);
        let changes = later.map(|(_, change)| change);
        Ok(changes.filter(|c| has_prefix(c)).cloned().collect())
    }
}

impl Kv for MemoryKv {
    fn get(&self, key: &str, _: Duration) -> Result<Option<Item>, KvError> {
        Ok(self.lock().item(key))
    }

    fn list(&self, prefix: &str, _: Duration) -> Result<Listing, KvError> {
        let state = self.lock();
        let keys = state.items.keys().filter(|k| k.starts_with(prefix));
        Ok(Listing {
            items: keys.filter_map(|key| state.item(key)).collect(),
            revision: state.revision,
        })
    }

    fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Changes, KvError> {
        let deadline = self.shared.clock.now() + wait;
        loop {
            let state = self.lock();
            let changes = state.changes_after(prefix, after)?;
            if !changes.is_empty() || self.shared.clock.now() >= deadline {
                return Ok(Changes {
                    changes,
                    revision: state.revision,
                });
            }
            drop(self.shared.changed.wait_timeout(state, CLOCK_POLL_INTERVAL));
        }
    }

    fn commit(&self, txn: &Txn, _: Duration) -> Result<u64, KvError> {
        let result = self.lock().apply(txn);
        self.shared.changed.notify_all();
        result
    }

    fn grant(&self, ttl: Duration, _: Duration) -> Result<LeaseId, KvError> {
        let expires_at = self.shared.clock.now() + ttl;
        let mut state = self.lock();
        state.last_lease_id += 1;
        let id = state.last_lease_id;
        state.leases.insert(id, Lease { ttl, expires_at });
        Ok(LeaseId(id))
    }

    fn renew(&self, lease: LeaseId, _: Duration) -> Result<(), KvError> {
        let now = self.shared.clock.now();
        let mut state = self.lock();
        let lease = state.leases.get_mut(&lease.0);
        let lease = lease.ok_or(KvError::LeaseNotFound)?;
        lease.expires_at = now + lease.ttl;
        Ok(())
    }

    fn revoke(&self, lease: LeaseId, _: Duration) -> Result<(), KvError> {
        self.lock().remove_lease(lease.0);
        self.shared.changed.notify_all();
        Ok(())
    }
}
