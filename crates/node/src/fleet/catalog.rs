//! Follows the catalogue, which is the operators' configuration of queues,
//! workspaces and API keys, in the store. A version is adopted only if it is
//! higher than the one in force, so a late or repeated change has no effect.

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

use super::{EntryConfig, STORE_RETRY_DELAY, STORE_TIMEOUT};
use crate::metrics::Journal;

/// The maximum wait of a watch, after which the catalogue is read again. A
/// watch of the platform's store may miss changes without reporting an error.
const MAX_WATCH_WAIT: Duration = Duration::from_millis(800);

/// The catalogue in force, if there is one yet. All threads share it.
#[derive(Default)]
pub(super) struct SharedCatalog {
    catalog: RwLock<Option<Arc<Catalog>>>,
    /// Whether the last read of the catalogue succeeded. The other threads
    /// take this as the state of the store.
    pub(super) store_available: AtomicBool,
}

impl SharedCatalog {
    pub(super) fn get(&self) -> Option<Arc<Catalog>> {
        let catalog = self.catalog.read();
        catalog.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Adopts `catalog` if its version is higher than the one in force.
    /// Returns whether it was adopted.
    pub(super) fn adopt(&self, catalog: Catalog) -> bool {
        let mut current =
            self.catalog.write().unwrap_or_else(PoisonError::into_inner);
        let newer =
            current.as_ref().is_none_or(|c| c.version < catalog.version);
        if newer {
            *current = Some(Arc::new(catalog));
        }
        newer
    }
}

/// Follows the catalogue in the store. Never returns.
pub(super) fn follow(
    config: &EntryConfig,
    shared: &SharedCatalog,
    journal: &Journal,
) {
    let mut failing = false;
    loop {
        let read = read(config, shared, journal);
        record_store_state(shared, journal, &read, &mut failing);
        let Ok(revision) = read else {
            thread::sleep(STORE_RETRY_DELAY);
            continue;
        };
        let result =
            config
                .kv
                .watch(config.catalog_key, revision, MAX_WATCH_WAIT);
        match result {
            Ok(changes) => {
                for change in changes.changes {
                    if let Change::Put(item) = change {
                        adopt_encoded(config, shared, journal, &item.value);
                    }
                }
            }
            Err(KvError::Compacted) => {}
            Err(e) => {
                log::debug!("the watch of {} failed: {e}", config.catalog_key);
            }
        }
    }
}

/// Reads the catalogue and adopts it. Returns the revision from which to watch
/// for changes.
fn read(
    config: &EntryConfig,
    shared: &SharedCatalog,
    journal: &Journal,
) -> Result<u64, KvError> {
    // Only a listing returns a revision from which a watch can start. The
    // revision of a key that has not changed for long may be older than the
    // history that the store keeps.
    let listing = config.kv.list(config.catalog_key, STORE_TIMEOUT)?;
    let key = config.catalog_key;
    if let Some(item) = listing.items.iter().find(|i| i.key == key) {
        adopt_encoded(config, shared, journal, &item.value);
    }
    Ok(listing.revision)
}

fn adopt_encoded(
    config: &EntryConfig,
    shared: &SharedCatalog,
    journal: &Journal,
    bytes: &[u8],
) {
    let catalog = match (config.decode_catalog)(bytes) {
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

/// Records whether the last read succeeded, and an event if this has changed.
fn record_store_state(
    shared: &SharedCatalog,
    journal: &Journal,
    read: &Result<u64, KvError>,
    failing: &mut bool,
) {
    shared
        .store_available
        .store(read.is_ok(), Ordering::Relaxed);
    match read {
        Err(e) if !*failing => {
            journal.record_event(Code::StoreFailed, format!("why={e}"));
        }
        Ok(_) if *failing => journal.record_event(Code::StoreBack, ""),
        _ => {}
    }
    *failing = read.is_err();
}
