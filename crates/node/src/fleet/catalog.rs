//! The operators' configuration: adopted as its version rises, never lower.

use std::{
    sync::{
        Arc, PoisonError, RwLock,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use figrill_state::{
    catalog::Catalog,
    event::Code,
    kv::{Change, KvError},
};

use super::{EntryParts, STORE_AGAIN, STORE_TIMEOUT};
use crate::metrics::Journal;

/// How long a watch waits before the configuration is read anyway: a watch
/// may miss changes without a sign.
const WATCH: Duration = Duration::from_millis(800);

/// What the other threads see.
#[derive(Default)]
pub(super) struct Shared {
    catalog: RwLock<Option<Arc<Catalog>>>,
    /// Whether the store answered this process lately.
    pub(super) store_up: AtomicBool,
}

impl Shared {
    pub(super) fn get(&self) -> Option<Arc<Catalog>> {
        let catalog = self.catalog.read();
        catalog.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Adopts a configuration if its version is higher than what is in
    /// force.
    pub(super) fn adopt(&self, catalog: Catalog) -> bool {
        let mut slot =
            self.catalog.write().unwrap_or_else(PoisonError::into_inner);
        let newer = slot.as_ref().is_none_or(|c| c.version < catalog.version);
        if newer {
            *slot = Some(Arc::new(catalog));
        }
        newer
    }
}

/// Follows the configuration for good.
pub(super) fn follow(parts: &EntryParts, shared: &Shared, journal: &Journal) {
    let mut failing = false;
    loop {
        let read = read(parts, shared, journal);
        note_store(shared, journal, &read, &mut failing);
        let Ok(revision) = read else {
            thread::sleep(STORE_AGAIN);
            continue;
        };
        let watched = parts.kv.watch(parts.catalog_key, revision, WATCH);
        match watched {
            Ok(changes) => {
                for change in changes.changes {
                    if let Change::Put(item) = change {
                        offer(parts, shared, journal, &item.value);
                    }
                }
            }
            Err(KvError::Compacted) => {}
            Err(e) => {
                log::debug!("the watch of {} ended: {e}", parts.catalog_key);
            }
        }
    }
}

fn read(
    parts: &EntryParts,
    shared: &Shared,
    journal: &Journal,
) -> Result<u64, KvError> {
    // A listing tells where a watch may begin; the revision of a key that
    // has not changed for long is older than the store's history.
    let listing = parts.kv.list(parts.catalog_key, STORE_TIMEOUT)?;
    let key = parts.catalog_key;
    if let Some(item) = listing.items.iter().find(|i| i.key == key) {
        offer(parts, shared, journal, &item.value);
    }
    Ok(listing.revision)
}

fn offer(
    parts: &EntryParts,
    shared: &Shared,
    journal: &Journal,
    bytes: &[u8],
) {
    let catalog = match (parts.decode_catalog)(bytes) {
        Ok(catalog) => catalog,
        Err(e) => {
            journal.record_event(Code::SettingsRefused, format!("why={e}"));
            return;
        }
    };
    let detail = format!(
        "version={} queues={} workspaces={}",
        catalog.version,
        catalog.queues.len(),
        catalog.workspaces.len()
    );
    if shared.adopt(catalog) {
        journal.record_event(Code::SettingsAdopted, detail);
    }
}

fn note_store(
    shared: &Shared,
    journal: &Journal,
    read: &Result<u64, KvError>,
    failing: &mut bool,
) {
    shared.store_up.store(read.is_ok(), Ordering::Relaxed);
    match read {
        Err(e) if !*failing => {
            journal.record_event(Code::StoreFailed, format!("why={e}"));
        }
        Ok(_) if *failing => journal.record_event(Code::StoreBack, ""),
        _ => {}
    }
    *failing = read.is_err();
}
