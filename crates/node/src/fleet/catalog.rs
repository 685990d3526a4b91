//! Follows the catalogue, which is the operators' configuration of queues,
//! workspaces and API keys, in the store. A version is adopted only if it is
//! higher than the one in force, so a late or repeated change has no effect.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, RwLock,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use figrill_coordination::outages::Outages;
use figrill_state::{
    catalog::Catalog,
    event::Code,
    kv::{Change, Item, KvError},
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
    /// Whether the last read of the catalogue succeeded.
    pub(super) last_read_succeeded: AtomicBool,
    outages: Mutex<Outages>,
}

impl SharedCatalog {
    pub(super) fn get(&self) -> Option<Arc<Catalog>> {
        let catalog = self.catalog.read();
        catalog.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the outages of the store, by the reads of the catalogue.
    pub(super) fn outages(&self) -> MutexGuard<'_, Outages> {
        self.outages.lock().unwrap_or_else(PoisonError::into_inner)
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
    let mut refused_revision = 0;
    loop {
        let sent_at = config.clock.now();
        let read = read(config, shared, journal, &mut refused_revision);
        shared.outages().record(sent_at, read.is_ok());
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
                        adopt_item(
                            config,
                            shared,
                            journal,
                            &mut refused_revision,
                            &item,
                        );
                    }
                }
            }
            Err(KvError::Compacted) => {}
            Err(e) => {
                log::debug!("the watch of {} failed: {e}", config.catalog_key);
                thread::sleep(STORE_RETRY_DELAY);
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
    refused_revision: &mut u64,
) -> Result<u64, KvError> {
    // Only a listing returns a revision from which a watch can start. The
    // revision of a key that has not changed for long may be older than the
    // history that the store keeps.
    let listing = config.kv.list(config.catalog_key, STORE_TIMEOUT)?;
    for item in &listing.items {
        adopt_item(config, shared, journal, refused_revision, item);
    }
    Ok(listing.revision)
}

/// Adopts the catalogue in an item. Does nothing if the item is that of a
/// longer key. `refused_revision` is the revision of the last item that was
/// refused, which is recorded only once although it is read again and again.
fn adopt_item(
    config: &EntryConfig,
    shared: &SharedCatalog,
    journal: &Journal,
    refused_revision: &mut u64,
    item: &Item,
) {
    if item.key != config.catalog_key {
        return;
    }
    let catalog = match (config.decode_catalog)(&item.value) {
        Ok(catalog) => catalog,
        Err(e) => {
            if *refused_revision != item.revision {
                *refused_revision = item.revision;
                let detail = format!("why={e}");
                journal.record_event(Code::SettingsRefused, detail);
            }
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
        .last_read_succeeded
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
