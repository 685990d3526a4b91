//! The records that a new coordinator reads from the store.

use std::collections::BTreeMap;

use figrill_state::{
    batch::{Batch, BatchId, Progress, decode, keys},
    kv::{Kv, KvError},
};

use super::StoreInput;
use crate::fleet::STORE_TIMEOUT;

/// The contents of the store at the start of a term.
pub(super) struct StoredState {
    /// The jobs, each with its progress if a record of it exists.
    pub(super) jobs: Vec<(Batch, Option<Progress>)>,
    /// The addresses of the agents, by name.
    pub(super) agents: BTreeMap<String, String>,
    /// The revision of the ledger, or 0 if there is none.
    pub(super) ledger_revision: u64,
    /// The revision from which to watch jobs and agents.
    pub(super) revision: u64,
}

impl StoredState {
    /// Reads the records. Those that can't be decoded are logged and skipped.
    pub(super) fn read(kv: &dyn Kv) -> Result<Self, KvError> {
        let inputs = kv.list(keys::INPUTS, STORE_TIMEOUT)?;
        let outputs = kv.list("figrill/out/", STORE_TIMEOUT)?;
        let mut progress = BTreeMap::new();
        let mut ledger_revision = 0;
        for item in outputs.items {
            if item.key == keys::LEDGER {
                ledger_revision = item.revision;
            } else if let Some(id) = parse_job_id(&item.key, keys::PROGRESS) {
                match decode::<Progress>(&item.value) {
                    Ok(decoded) => {
                        progress.insert(id, decoded);
                    }
                    Err(e) => log::error!("cannot decode {}: {e}", item.key),
                }
            }
        }
        let mut stored = Self {
            jobs: Vec::new(),
            agents: BTreeMap::new(),
            ledger_revision,
            revision: inputs.revision,
        };
        for item in inputs.items {
            match decode_input(&item.key, &item.value) {
                Some(StoreInput::Job(batch)) => {
                    let progress = progress.remove(&batch.id);
                    stored.jobs.push((*batch, progress));
                }
                Some(StoreInput::Agent(name, address)) => {
                    stored.agents.insert(name, address);
                }
                _ => {}
            }
        }
        Ok(stored)
    }
}

fn parse_job_id(key: &str, prefix: &str) -> Option<BatchId> {
    BatchId::parse(key.strip_prefix(prefix)?)
}

/// Decodes a record under [`keys::INPUTS`]. Returns `None` if it is neither
/// the record of an agent nor a valid one of a job.
pub(super) fn decode_input(key: &str, value: &[u8]) -> Option<StoreInput> {
    if let Some(name) = key.strip_prefix(keys::AGENTS) {
        let address = String::from_utf8_lossy(value).into_owned();
        return Some(StoreInput::Agent(name.to_owned(), address));
    }
    key.strip_prefix(keys::JOBS)?;
    match decode::<Batch>(value) {
        Ok(batch) => Some(StoreInput::Job(Box::new(batch))),
        Err(e) => {
            log::error!("cannot decode {key}: {e}");
            None
        }
    }
}
