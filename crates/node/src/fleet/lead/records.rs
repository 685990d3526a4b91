//! What a new coordinator finds in the store.

use std::collections::BTreeMap;

use figrill_state::{
    batch::{Batch, BatchId, Progress, decode, keys},
    kv::{Kv, KvError},
};

use super::FromStore;
use crate::fleet::STORE_TIMEOUT;

/// All records, as a new coordinator finds them.
pub(super) struct Loaded {
    pub(super) jobs: Vec<(Batch, Option<Progress>)>,
    pub(super) agents: BTreeMap<String, String>,
    /// The ledger's revision; 0: there is none.
    pub(super) ledger: u64,
    /// Where the watch of jobs and agents begins.
    pub(super) revision: u64,
}

impl Loaded {
    pub(super) fn read(kv: &dyn Kv) -> Result<Self, KvError> {
        let inputs = kv.list(keys::INPUTS, STORE_TIMEOUT)?;
        let outputs = kv.list("figrill/out/", STORE_TIMEOUT)?;
        let mut progress = BTreeMap::new();
        let mut ledger = 0;
        for item in outputs.items {
            if item.key == keys::LEDGER {
                ledger = item.revision;
            } else if let Some(id) = id_of(&item.key, keys::PROGRESS) {
                match decode::<Progress>(&item.value) {
                    Ok(found) => {
                        progress.insert(id, found);
                    }
                    Err(e) => log::error!("{}: {e}", item.key),
                }
            }
        }
        let mut loaded = Self {
            jobs: Vec::new(),
            agents: BTreeMap::new(),
            ledger,
            revision: inputs.revision,
        };
        for item in inputs.items {
            match input(&item.key, &item.value) {
                Some(FromStore::Job(batch)) => {
                    let progress = progress.remove(&batch.id);
                    loaded.jobs.push((*batch, progress));
                }
                Some(FromStore::Agent(name, address)) => {
                    loaded.agents.insert(name, address);
                }
                _ => {}
            }
        }
        Ok(loaded)
    }
}

fn id_of(key: &str, prefix: &str) -> Option<BatchId> {
    BatchId::parse(key.strip_prefix(prefix)?)
}

/// What a key that the coordinator watches says.
pub(super) fn input(key: &str, value: &[u8]) -> Option<FromStore> {
    if let Some(name) = key.strip_prefix(keys::AGENTS) {
        let address = String::from_utf8_lossy(value).into_owned();
        return Some(FromStore::Agent(name.to_owned(), address));
    }
    key.strip_prefix(keys::JOBS)?;
    match decode::<Batch>(value) {
        Ok(batch) => Some(FromStore::Job(Box::new(batch))),
        Err(e) => {
            log::error!("{key}: {e}");
            None
        }
    }
}
