//! The platform's store in memory, for `figrill dev`, tests and benches.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use crate::clock::Clock;

use super::{Change, Changes, Item, Kv, KvError, LeaseId, Listing, Txn};

/// The most changes that are remembered for watches.
const HISTORY_MAX: usize = 4096;

/// How often a waiting watch looks at the clock.
const LOOK: Duration = Duration::from_millis(5);

#[derive(Clone, Debug)]
struct Stored {
    value: Vec<u8>,
    revision: u64,
    lease: Option<LeaseId>,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    ends: Duration,
}

#[derive(Default)]
struct Inner {
    revision: u64,
    items: BTreeMap<String, Stored>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    history: VecDeque<(u64, Change)>,
    /// Changes up to this revision are forgotten.
    forgotten: u64,
}

struct Shared {
    inner: Mutex<Inner>,
    changed: Condvar,
    clock: Arc<dyn Clock>,
}

/// A store in memory; clones share it.
#[derive(Clone)]
pub struct MemoryKv {
    shared: Arc<Shared>,
}

impl MemoryKv {
    /// An empty store whose leases run on `clock`.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        let inner = Inner {
            // Like the platform's: the first revision is above 0.
            revision: 1,
            ..Inner::default()
        };
        Self {
            shared: Arc::new(Shared {
                inner: Mutex::new(inner),
                changed: Condvar::new(),
                clock,
            }),
        }
    }

    /// Forgets the history, so that watches have to read anew.
    pub fn forget_history(&self) {
        let mut inner = self.lock();
        inner.forgotten = inner.revision;
        inner.history.clear();
        self.shared.changed.notify_all();
    }

    /// Lets all leases run out now.
    pub fn lapse_leases(&self) {
        let mut inner = self.lock();
        for lease in inner.leases.values_mut() {
            lease.ends = Duration::ZERO;
        }
        drop(inner);
        drop(self.lock());
    }

    /// The store with all leases that are over taken away.
    fn lock(&self) -> MutexGuard<'_, Inner> {
        let now = self.shared.clock.now();
        let mut inner = self
            .shared
            .inner
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let over: Vec<u64> = inner
            .leases
            .iter()
            .filter(|(_, lease)| now >= lease.ends)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            inner.end_lease(id);
            self.shared.changed.notify_all();
        }
        inner
    }
}

impl Inner {
    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let held = self.items.iter().filter(|(_, stored)| {
            stored.lease.is_some_and(|lease| lease.0 == id)
        });
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.revision += 1;
            self.remove(&key);
        }
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.remember(Change::Removed(key.to_owned()));
        }
    }

    fn remember(&mut self, change: Change) {
        self.history.push_back((self.revision, change));
        while self.history.len() > HISTORY_MAX {
            if let Some((revision, _)) = self.history.pop_front() {
                self.forgotten = revision;
            }
        }
    }

    fn item(&self, key: &str) -> Option<Item> {
        self.items.get(key).map(|stored| Item {
            key: key.to_owned(),
            value: stored.value.clone(),
            revision: stored.revision,
        })
    }

    fn apply(&mut self, txn: &Txn) -> Result<u64, KvError> {
        let revision = |key: &str| {
            self.items.get(key).map_or(0, |stored| stored.revision)
        };
        let holds = |(key, at): &(String, u64)| revision(key) == *at;
        if !txn.conditions.iter().all(holds) {
            let keys = txn.conditions.iter().map(|(key, _)| key);
            let items = keys.filter_map(|key| self.item(key)).collect();
            return Err(KvError::Conflict(items));
        }
        let known = |lease: &Option<LeaseId>| {
            lease.is_none_or(|l| self.leases.contains_key(&l.0))
        };
        if !txn.puts.iter().all(|(_, _, lease)| known(lease)) {
            return Err(KvError::LeaseGone);
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
                self.remember(Change::Put(item));
            }
        }
        for key in &txn.removes {
            self.remove(key);
        }
        Ok(self.revision)
    }

    fn changes(
        &self,
        prefix: &str,
        after: u64,
    ) -> Result<Vec<Change>, KvError> {
        if after < self.forgotten {
            return Err(KvError::Compacted);
        }
        let of_prefix = |change: &Change| match change {
            Change::Put(item) => item.key.starts_with(prefix),
            Change::Removed(key) => key.starts_with(prefix),
        };
        let later = self.history.iter().filter(|(at, _)| *at > after);
        let changes = later.map(|(_, change)| change);
        Ok(changes.filter(|c| of_prefix(c)).cloned().collect())
    }
}

impl Kv for MemoryKv {
    fn get(&self, key: &str, _: Duration) -> Result<Option<Item>, KvError> {
        Ok(self.lock().item(key))
    }

    fn list(&self, prefix: &str, _: Duration) -> Result<Listing, KvError> {
        let inner = self.lock();
        let keys = inner.items.keys().filter(|k| k.starts_with(prefix));
        Ok(Listing {
            items: keys.filter_map(|key| inner.item(key)).collect(),
            revision: inner.revision,
        })
    }

    fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Changes, KvError> {
        let until = self.shared.clock.now() + wait;
        loop {
            let inner = self.lock();
            let changes = inner.changes(prefix, after)?;
            if !changes.is_empty() || self.shared.clock.now() >= until {
                return Ok(Changes {
                    changes,
                    revision: inner.revision,
                });
            }
            drop(self.shared.changed.wait_timeout(inner, LOOK));
        }
    }

    fn commit(&self, txn: &Txn, _: Duration) -> Result<u64, KvError> {
        let result = self.lock().apply(txn);
        self.shared.changed.notify_all();
        result
    }

    fn grant(&self, ttl: Duration, _: Duration) -> Result<LeaseId, KvError> {
        let ends = self.shared.clock.now() + ttl;
        let mut inner = self.lock();
        inner.next_lease += 1;
        let id = inner.next_lease;
        inner.leases.insert(id, Lease { ttl, ends });
        Ok(LeaseId(id))
    }

    fn renew(&self, lease: LeaseId, _: Duration) -> Result<(), KvError> {
        let now = self.shared.clock.now();
        let mut inner = self.lock();
        let lease = inner.leases.get_mut(&lease.0);
        let lease = lease.ok_or(KvError::LeaseGone)?;
        lease.ends = now + lease.ttl;
        Ok(())
    }

    fn revoke(&self, lease: LeaseId, _: Duration) -> Result<(), KvError> {
        self.lock().end_lease(lease.0);
        self.shared.changed.notify_all();
        Ok(())
    }
}
