//! The records that a new coordinator reads from the store.

use std::collections::BTreeMap;

use figrill_state::{
    batch::{Batch, BatchId, Progress, decode_job, decode_progress, keys},
    kv::{Item, Kv, KvError},
};

use super::StoreInput;
use crate::fleet::{
    STORE_TIMEOUT,
    refusals::{Refusals, decode_address},
};

/// The contents of the store at the start of a term.
pub(super) struct StoredState {
    /// The jobs, each with its progress if a record of it exists.
    pub(super) jobs: Vec<(Batch, Option<Progress>)>,
    /// The jobs whose progress can't be read.
    pub(super) unreadable_jobs: Vec<BatchId>,
    /// The addresses of the agents, by name.
    pub(super) agents: BTreeMap<String, String>,
    /// The revision of the ledger, or 0 if there is none.
    pub(super) ledger_revision: u64,
    /// The revision from which to watch jobs and agents.
    pub(super) revision: u64,
}

impl StoredState {
    /// Reads the records. Those that can't be decoded are refused.
    pub(super) fn read(
        kv: &dyn Kv,
        refusals: &mut Refusals,
    ) -> Result<Self, KvError> {
        let inputs = kv.list(keys::INPUTS, STORE_TIMEOUT)?;
        let outputs = kv.list("figrill/out/", STORE_TIMEOUT)?;
        let mut progress = BTreeMap::new();
        let mut ledger_revision = 0;
        for item in outputs.items {
            if item.key == keys::LEDGER {
                ledger_revision = item.revision;
            } else if let Some(id) = parse_job_id(&item.key, keys::PROGRESS) {
                progress.insert(id, item);
            } else {
                refusals.refuse(&item, "unknown key");
            }
        }
        let mut stored = Self {
            jobs: Vec::new(),
            unreadable_jobs: Vec::new(),
            agents: BTreeMap::new(),
            ledger_revision,
            revision: inputs.revision,
        };
        for item in inputs.items {
            match decode_input(&item) {
                Ok(StoreInput::Job(batch, _)) => {
                    let progress = progress.remove(&batch.id);
                    stored.add_job(*batch, progress.as_ref(), refusals);
                }
                Ok(StoreInput::Agent(name, address)) => {
                    stored.agents.insert(name, address);
                }
                Ok(_) => {}
                Err(why) => refusals.refuse(&item, why),
            }
        }
        Ok(stored)
    }

    fn add_job(
        &mut self,
        batch: Batch,
        progress: Option<&Item>,
        refusals: &mut Refusals,
    ) {
        let Some(item) = progress else {
            self.jobs.push((batch, None));
            return;
        };
        match decode_progress(&batch, &item.value) {
            Ok(progress) => self.jobs.push((batch, Some(progress))),
            Err(e) => {
                refusals.refuse(item, e);
                self.unreadable_jobs.push(batch.id);
            }
        }
    }
}

fn parse_job_id(key: &str, prefix: &str) -> Option<BatchId> {
    BatchId::parse(key.strip_prefix(prefix)?)
}

/// Decodes a record under [`keys::INPUTS`].
///
/// # Errors
///
/// Returns why the item is neither the record of an agent nor that of a job.
pub(super) fn decode_input(item: &Item) -> Result<StoreInput, String> {
    if let Some(name) = item.key.strip_prefix(keys::AGENTS) {
        if name.is_empty() {
            return Err("no name".to_owned());
        }
        let address = decode_address(&item.value)?;
        return Ok(StoreInput::Agent(name.to_owned(), address));
    }
    let id = parse_job_id(&item.key, keys::JOBS).ok_or("unknown key")?;
    match decode_job(id, &item.value) {
        Ok(batch) => Ok(StoreInput::Job(Box::new(batch), item.revision)),
        Err(e) => Err(e.to_string()),
    }
}
