//! The directory of entries in the store, by which the entries discover each
//! other. Each entry keeps a record of its address under a lease, and watches
//! the records of all entries.

use std::{
    sync::{Arc, atomic::Ordering},
    thread,
    time::Duration,
};

use figrill_state::{
    batch::keys,
    kv::{Change, Item, Kv, KvError, LeaseId, Txn},
};

use super::{Mesh, relay::RelayedKv};
use crate::fleet::{
    EntryConfig, STORE_RETRY_DELAY, STORE_TIMEOUT,
    refusals::{Refusals, decode_address},
    serve,
};

/// The time to live of the lease of a record, which is how long a record stays
/// after its entry has crashed.
const LEASE_TTL: Duration = Duration::from_secs(4);

/// The interval at which the lease of the record is renewed.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// The maximum wait of one watch.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(10);

/// The delay before the records are read or written again after the store has
/// failed or a lease has expired.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Starts the threads that keep the record of this entry and follow the
/// records of all entries. If the store does not answer this entry, another
/// one relays the renewals, as it does the calls for callers: without its
/// record this entry could relay no write. The records of the others are
/// followed directly, because a relayed watch blocks a thread of the relaying
/// entry.
pub(super) fn start(config: &EntryConfig, mesh: &Mesh) {
    let kv = RelayedKv::new(config.kv.clone(), mesh.clone());
    let (name, address) = (
        config.deployment.name.clone(),
        config.deployment.advertise.clone(),
    );
    let record_mesh = mesh.clone();
    let record_thread = serve::spawn("record", move || {
        keep_record(&kv, &record_mesh, &name, &address);
    });
    let (kv, mesh) = (config.kv.clone(), mesh.clone());
    let entries_thread = serve::spawn("entries", move || follow(&kv, &mesh));
    if let Err(e) = record_thread.and(entries_thread) {
        log::error!("failed to start the threads of the entry directory: {e}");
    }
}

/// Keeps the record of this entry in the store until the process stops.
fn keep_record(kv: &dyn Kv, mesh: &Mesh, name: &str, address: &str) {
    while !mesh.is_leaving() {
        match write_record(kv, name, address) {
            Ok(written) => {
                mesh.set_registered(
                    written.revision,
                    written.is_first_incarnation,
                );
                renew_lease(kv, mesh, written.lease);
            }
            Err(e) => log::debug!("failed to store the entry record: {e}"),
        }
        thread::sleep(RETRY_DELAY);
    }
}

/// The record of this entry as it was written.
struct WrittenRecord {
    lease: LeaseId,
    revision: u64,
    /// Whether no marker shows that a process of this name has written a
    /// record before.
    is_first_incarnation: bool,
}

/// Writes the record of this entry. If the answer to the write is lost, the
/// retry finds the marker of the lost write and does not count as that of the
/// first incarnation, which is safe: the entry then also accounts for writes
/// of an earlier one.
fn write_record(
    kv: &dyn Kv,
    name: &str,
    address: &str,
) -> Result<WrittenRecord, KvError> {
    let (key, marker_key) = (keys::entry(name), keys::started(name));
    let is_first_incarnation = kv.get(&marker_key, STORE_TIMEOUT)?.is_none();
    let existing = kv.get(&key, STORE_TIMEOUT)?;
    let lease = kv.grant(LEASE_TTL, STORE_TIMEOUT)?;
    let mut txn = Txn {
        conditions: vec![(key.clone(), existing.map_or(0, |i| i.revision))],
        puts: vec![(key, address.as_bytes().to_vec(), Some(lease))],
        removes: Vec::new(),
    };
    if is_first_incarnation {
        txn.conditions.push((marker_key.clone(), 0));
        txn.puts.push((marker_key, Vec::new(), None));
    }
    kv.commit(&txn, STORE_TIMEOUT)
        .map(|revision| WrittenRecord {
            lease,
            revision,
            is_first_incarnation,
        })
}

/// Removes the record of this entry when the process stops. If
/// `all_confirmed`, no write of this process is pending. Its marker is then
/// removed too, so that the next incarnation need not account for any.
///
/// The store may carry out a removal seconds later. It is conditional on the
/// revision that this process has written, so that it spares the record and
/// the marker of the next incarnation.
pub(super) fn remove_record(
    kv: &dyn Kv,
    name: &str,
    revision: u64,
    all_confirmed: bool,
) {
    let mut txn = Txn {
        conditions: vec![(keys::entry(name), revision)],
        removes: vec![keys::entry(name)],
        ..Txn::default()
    };
    if all_confirmed {
        txn.removes.push(keys::started(name));
    }
    if let Err(e) = kv.commit(&txn, STORE_TIMEOUT) {
        log::debug!("failed to remove the entry record: {e}");
    }
}

/// Renews the lease of the record until it has expired, the record was lost or
/// the process stops. A renewal that failed is repeated soon, as the lease
/// lasts for only a few of them.
fn renew_lease(kv: &dyn Kv, mesh: &Mesh, lease: LeaseId) {
    let mut delay = RENEWAL_INTERVAL;
    while !mesh.is_leaving() {
        thread::sleep(delay);
        if mesh.0.record_lost.swap(false, Ordering::Relaxed) {
            return;
        }
        delay = match kv.renew(lease, STORE_TIMEOUT) {
            Ok(()) => RENEWAL_INTERVAL,
            Err(KvError::LeaseNotFound) => return,
            Err(e) => {
                log::debug!(
                    "failed to renew the lease of the entry record: {e}"
                );
                STORE_RETRY_DELAY
            }
        };
    }
}

/// Follows the records of all entries. Never returns.
fn follow(kv: &Arc<dyn Kv>, mesh: &Mesh) {
    let mut refusals = Refusals::new(mesh.0.journal.clone());
    loop {
        match read_entries(&**kv, mesh, &mut refusals) {
            Ok(revision) => {
                watch_entries(&**kv, mesh, revision, &mut refusals);
            }
            Err(e) => log::debug!("failed to read the entry records: {e}"),
        }
        thread::sleep(RETRY_DELAY);
    }
}

/// Reads the records of all entries. Returns the revision from which to watch
/// for changes.
fn read_entries(
    kv: &dyn Kv,
    mesh: &Mesh,
    refusals: &mut Refusals,
) -> Result<u64, KvError> {
    let listing = kv.list(keys::ENTRIES, STORE_TIMEOUT)?;
    let mut entries = Vec::new();
    let mut revisions = Vec::new();
    let mut refused = Vec::new();
    for item in &listing.items {
        match decode_record(item) {
            Ok((name, address)) => {
                revisions.push((name.clone(), item.revision));
                entries.push((name, address));
            }
            Err(why) => {
                refusals.refuse(item, why);
                refused.extend(item.key.strip_prefix(keys::ENTRIES));
            }
        }
    }
    let now = mesh.now();
    let mut state = mesh.lock();
    // A record that was overwritten does not mean that its entry has left.
    for name in refused {
        let address = state.entries.address_of(name).map(str::to_owned);
        entries.extend(address.map(|a| (name.to_owned(), a)));
    }
    state.entries.set_all(now, &entries);
    for (name, revision) in revisions {
        state.entries.set_record_revision(&name, revision);
    }
    Ok(listing.revision)
}

/// Decodes the record of an entry: its name and its address.
fn decode_record(item: &Item) -> Result<(String, String), &'static str> {
    let name = item.key.strip_prefix(keys::ENTRIES).ok_or("unknown key")?;
    if name.is_empty() {
        return Err("no name");
    }
    Ok((name.to_owned(), decode_address(&item.value)?))
}

/// Watches the records until a store call fails.
fn watch_entries(
    kv: &dyn Kv,
    mesh: &Mesh,
    mut revision: u64,
    refusals: &mut Refusals,
) {
    loop {
        let changes = match kv.watch(keys::ENTRIES, revision, MAX_WATCH_WAIT) {
            Ok(changes) => changes,
            Err(e) => {
                log::debug!("the watch of the entry records failed: {e}");
                return;
            }
        };
        revision = changes.revision.max(revision);
        let now = mesh.now();
        for change in changes.changes {
            apply_change(mesh, now, change, refusals);
        }
    }
}

fn apply_change(
    mesh: &Mesh,
    now: Duration,
    change: Change,
    refusals: &mut Refusals,
) {
    check_own_record(mesh, &change);
    let mut state = mesh.lock();
    match change {
        Change::Put(item) => match decode_record(&item) {
            Ok((name, address)) => {
                state.entries.add(now, &name, &address);
                state.entries.set_record_revision(&name, item.revision);
            }
            Err(why) => refusals.refuse(&item, why),
        },
        Change::Removed(key) => {
            if let Some(name) = key.strip_prefix(keys::ENTRIES) {
                state.entries.remove(now, name);
            }
        }
    }
}

/// Has the record of this entry written again if another writer has changed or
/// removed it: new entries find this one only by its record.
fn check_own_record(mesh: &Mesh, change: &Change) {
    let peer = mesh.net().local_peer();
    let own_key = keys::entry(&peer.name);
    let lost = match change {
        Change::Put(item) => {
            item.key == own_key && item.value != peer.address.as_bytes()
        }
        Change::Removed(key) => *key == own_key,
    };
    if lost {
        mesh.0.record_lost.store(true, Ordering::Relaxed);
    }
}
