//! How entries find each other: each keeps a record in the store under a
//! lease, and watches the records of all.

use std::{sync::Arc, thread, time::Duration};

use figrill_state::{
    batch::keys,
    kv::{Change, Kv, KvError, LeaseId, Txn},
};

use super::Mesh;
use crate::fleet::{EntryParts, STORE_TIMEOUT, serve};

/// How long an entry's record outlives it.
const LEASE: Duration = Duration::from_secs(4);

/// Time between two renewals.
const RENEW: Duration = Duration::from_secs(1);

/// How long one watch waits.
const WATCH: Duration = Duration::from_secs(10);

/// Time before the records are read again after the store failed.
const READ_AGAIN: Duration = Duration::from_secs(1);

/// Starts the threads.
pub(super) fn start(parts: &EntryParts, mesh: &Mesh) {
    let kv = parts.kv.clone();
    let (name, address) = (
        parts.deployment.name.clone(),
        parts.deployment.advertise.clone(),
    );
    let kept_by = mesh.clone();
    let kept = serve::start("record", move || {
        keep(&kv, &kept_by, &name, &address);
    });
    let (kv, mesh) = (parts.kv.clone(), mesh.clone());
    let followed = serve::start("entries", move || follow(&kv, &mesh));
    if let Err(e) = kept.and(followed) {
        log::error!("this entry does not find the others: {e}");
    }
}

/// Keeps this entry's record in the store.
fn keep(kv: &Arc<dyn Kv>, mesh: &Mesh, name: &str, address: &str) {
    while !mesh.is_leaving() {
        match put(&**kv, name, address) {
            Ok((lease, first_life)) => {
                mesh.set_registered(first_life);
                renew(&**kv, mesh, lease);
            }
            Err(e) => log::debug!("this entry's record is not stored: {e}"),
        }
        thread::sleep(READ_AGAIN);
    }
}

/// Writes the record. Also says whether no process of this name has ever
/// written one; if the answer to the write is lost, that is not known again.
fn put(
    kv: &dyn Kv,
    name: &str,
    address: &str,
) -> Result<(LeaseId, bool), KvError> {
    let (key, started) = (keys::entry(name), keys::started(name));
    let first_life = kv.get(&started, STORE_TIMEOUT)?.is_none();
    let known = kv.get(&key, STORE_TIMEOUT)?;
    let lease = kv.grant(LEASE, STORE_TIMEOUT)?;
    let mut txn = Txn {
        conditions: vec![(key.clone(), known.map_or(0, |i| i.revision))],
        puts: vec![(key, address.as_bytes().to_vec(), Some(lease))],
        removes: Vec::new(),
    };
    if first_life {
        txn.conditions.push((started.clone(), 0));
        txn.puts.push((started, Vec::new(), None));
    }
    kv.commit(&txn, STORE_TIMEOUT).map(|_| (lease, first_life))
}

/// Takes the record away as the process ends. Where no write of its may
/// land, the next life of its name need not answer for this one.
pub(super) fn leave(kv: &dyn Kv, name: &str, settled: bool) {
    let mut txn = Txn {
        removes: vec![keys::entry(name)],
        ..Txn::default()
    };
    if settled {
        txn.removes.push(keys::started(name));
    }
    if let Err(e) = kv.commit(&txn, STORE_TIMEOUT) {
        log::debug!("this entry's record was not taken away: {e}");
    }
}

/// Renews the lease of the record until it is gone or the process ends.
fn renew(kv: &dyn Kv, mesh: &Mesh, lease: LeaseId) {
    while !mesh.is_leaving() {
        thread::sleep(RENEW);
        match kv.renew(lease, STORE_TIMEOUT) {
            Ok(()) => {}
            Err(KvError::LeaseGone) => return,
            Err(e) => log::debug!("the record was not renewed: {e}"),
        }
    }
}

/// Follows the records of all entries.
fn follow(kv: &Arc<dyn Kv>, mesh: &Mesh) {
    loop {
        match read(&**kv, mesh) {
            Ok(revision) => watch(&**kv, mesh, revision),
            Err(e) => log::debug!("the entries were not read: {e}"),
        }
        thread::sleep(READ_AGAIN);
    }
}

fn read(kv: &dyn Kv, mesh: &Mesh) -> Result<u64, KvError> {
    let listing = kv.list(keys::ENTRIES, STORE_TIMEOUT)?;
    let entries: Vec<(String, String)> = listing
        .items
        .iter()
        .filter_map(|item| {
            let name = item.key.strip_prefix(keys::ENTRIES)?;
            let address = String::from_utf8_lossy(&item.value);
            Some((name.to_owned(), address.into_owned()))
        })
        .collect();
    mesh.lock().entries.set_all(mesh.now(), &entries);
    Ok(listing.revision)
}

/// Watches until the store does not answer.
fn watch(kv: &dyn Kv, mesh: &Mesh, mut revision: u64) {
    loop {
        let seen = match kv.watch(keys::ENTRIES, revision, WATCH) {
            Ok(seen) => seen,
            Err(e) => {
                log::debug!("the watch of entries ended: {e}");
                return;
            }
        };
        revision = seen.revision.max(revision);
        let now = mesh.now();
        for change in seen.changes {
            take(mesh, now, change);
        }
    }
}

fn take(mesh: &Mesh, now: Duration, change: Change) {
    let mut state = mesh.lock();
    match change {
        Change::Put(item) => {
            if let Some(name) = item.key.strip_prefix(keys::ENTRIES) {
                let address = String::from_utf8_lossy(&item.value);
                state.entries.add(now, name, &address);
            }
        }
        Change::Removed(key) => {
            if let Some(name) = key.strip_prefix(keys::ENTRIES) {
                state.entries.remove(now, name);
            }
        }
    }
}
