//! A store in memory, for the `dev` command and for tests.

use std::{
    collections::HashMap,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use crate::clock::Clock;

use super::{LeaseId, MAX_VALUE_BYTES, Store, StoreError, Versioned};

/// Longest sleep between two looks at lapsing leases.
const LEASE_CHECK: Duration = Duration::from_millis(100);

#[derive(Default)]
struct Inner {
    values: HashMap<String, Slot>,
    leases: HashMap<LeaseId, Lease>,
    next_lease: u64,
}

struct Slot {
    versioned: Versioned,
    lease: Option<LeaseId>,
    gone: bool,
}

struct Lease {
    ttl: Duration,
    until: Duration,
}

/// The store; one value is shared by all its users.
pub struct MemoryStore {
    clock: Arc<dyn Clock>,
    inner: Mutex<Inner>,
    changed: Condvar,
}

impl MemoryStore {
    /// An empty store.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            inner: Mutex::new(Inner::default()),
            changed: Condvar::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        let mut inner =
            self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.lapse(self.clock.now());
        inner
    }
}

impl Inner {
    fn lapse(&mut self, now: Duration) {
        self.leases.retain(|_, lease| lease.until > now);
        let leases = &self.leases;
        for slot in self.values.values_mut() {
            if let Some(lease) = slot.lease
                && !leases.contains_key(&lease)
                && !slot.gone
            {
                slot.gone = true;
                slot.versioned.version += 1;
            }
        }
    }

    fn read(&self, key: &str) -> Option<Versioned> {
        let slot = self.values.get(key).filter(|s| !s.gone)?;
        Some(slot.versioned.clone())
    }
}

impl Store for MemoryStore {
    fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        Ok(self.lock().read(key))
    }

    fn swap(
        &self,
        key: &str,
        version: u64,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> Result<u64, StoreError> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(StoreError::TooLarge);
        }
        let mut inner = self.lock();
        if lease.is_some_and(|l| !inner.leases.contains_key(&l)) {
            return Err(StoreError::LeaseGone);
        }
        let found = inner.read(key);
        if found.as_ref().map_or(0, |v| v.version) != version {
            return Err(StoreError::Conflict(found));
        }
        // A key that went away keeps counting, so no version comes twice.
        let last = inner.values.get(key).map_or(0, |s| s.versioned.version);
        let versioned = Versioned {
            version: last + 1,
            value: value.to_vec(),
        };
        let slot = Slot {
            versioned,
            lease,
            gone: false,
        };
        inner.values.insert(key.to_owned(), slot);
        self.changed.notify_all();
        Ok(last + 1)
    }

    fn grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let mut inner = self.lock();
        inner.next_lease += 1;
        let id = LeaseId(inner.next_lease);
        let until = self.clock.now() + ttl;
        inner.leases.insert(id, Lease { ttl, until });
        Ok(id)
    }

    fn renew(&self, lease: LeaseId) -> Result<(), StoreError> {
        let mut inner = self.lock();
        let now = self.clock.now();
        let found = inner.leases.get_mut(&lease);
        let found = found.ok_or(StoreError::LeaseGone)?;
        found.until = now + found.ttl;
        Ok(())
    }

    fn revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        let mut inner = self.lock();
        inner.leases.remove(&lease);
        inner.lapse(self.clock.now());
        self.changed.notify_all();
        Ok(())
    }

    fn watch(
        &self,
        key: &str,
        version: u64,
        wait: Duration,
    ) -> Result<Option<Versioned>, StoreError> {
        let end = self.clock.now() + wait;
        let mut inner = self.lock();
        loop {
            let found = inner.read(key);
            let now = self.clock.now();
            let current = found.as_ref().map_or(0, |v| v.version);
            if current != version || now >= end {
                return Ok(found);
            }
            let nap = end.checked_sub(now).unwrap().min(LEASE_CHECK);
            inner = self
                .changed
                .wait_timeout(inner, nap)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
            inner.lapse(self.clock.now());
        }
    }
}
