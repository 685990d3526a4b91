//! Records of jobs in the store.

use std::time::Duration;

use figrill_state::{
    batch::{
        Batch, BatchId, BatchState, Ledger, Progress, decode, encode, keys,
    },
    kv::{Kv, KvError, Txn},
};

/// How a write that may be repeated went.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Written {
    /// It stands in the store.
    Stands,
    /// There is nothing to write it to.
    Missing,
    /// It was not done, nor will it be.
    NotDone,
    /// Nobody can say yet.
    Unsettled,
}

/// What the store says of a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Known {
    /// It is in this state.
    State(BatchState),
    /// There is no such job.
    Missing,
}

fn bad(e: &impl std::fmt::Display) -> KvError {
    KvError::Unanswered(e.to_string())
}

/// Time left of a caller's patience, as its clock tells.
pub(super) trait Patience {
    /// How long the next call of the store may take; zero: none may.
    fn left(&self) -> Duration;
    /// Waits before the next try.
    fn pause(&self);
}

/// Writes an accepted job, if there is none of its name yet. The same
/// write may be repeated: it meets its own result as a conflict.
pub(super) fn create(
    kv: &dyn Kv,
    batch: &Batch,
    patience: &dyn Patience,
) -> Written {
    let txn = Txn::compare_and_swap(&keys::job(batch.id), 0, encode(batch));
    let mut uncertain = false;
    loop {
        let left = patience.left();
        if left.is_zero() {
            break;
        }
        match kv.commit(&txn, left) {
            // A conflict: the key exists, by this write or by an earlier
            // one of the same job.
            Ok(_) | Err(KvError::Conflict(_)) => return Written::Stands,
            Err(KvError::Unanswered(_)) => uncertain = true,
            Err(e) => log::debug!("the store refused a job: {e}"),
        }
        patience.pause();
    }
    if uncertain {
        Written::Unsettled
    } else {
        Written::NotDone
    }
}

/// Marks a job as cancelled.
pub(super) fn cancel(
    kv: &dyn Kv,
    id: BatchId,
    patience: &dyn Patience,
) -> Written {
    let key = keys::job(id);
    let mut uncertain = false;
    loop {
        let left = patience.left();
        if left.is_zero() {
            break;
        }
        match try_cancel(kv, &key, left) {
            Ok(done) => return done,
            Err(KvError::Unanswered(_)) => uncertain = true,
            Err(KvError::Conflict(_)) => continue,
            Err(e) => log::debug!("the store refused a cancel: {e}"),
        }
        patience.pause();
    }
    if uncertain {
        Written::Unsettled
    } else {
        Written::NotDone
    }
}

fn try_cancel(
    kv: &dyn Kv,
    key: &str,
    left: Duration,
) -> Result<Written, KvError> {
    let Some(item) = kv.get(key, left)? else {
        return Ok(Written::Missing);
    };
    let mut batch: Batch = decode(&item.value).map_err(|e| bad(&e))?;
    if batch.cancelled {
        return Ok(Written::Stands);
    }
    batch.cancelled = true;
    let txn = Txn::compare_and_swap(key, item.revision, encode(&batch));
    kv.commit(&txn, left)?;
    Ok(Written::Stands)
}

/// Reads a job's state.
pub(super) fn state(
    kv: &dyn Kv,
    id: BatchId,
    left: Duration,
) -> Result<Known, KvError> {
    if let Some(item) = kv.get(&keys::progress(id), left)? {
        let progress: Progress = decode(&item.value).map_err(|e| bad(&e))?;
        return Ok(Known::State(progress.state));
    }
    let Some(item) = kv.get(&keys::job(id), left)? else {
        return Ok(Known::Missing);
    };
    let batch: Batch = decode(&item.value).map_err(|e| bad(&e))?;
    Ok(Known::State(if batch.cancelled {
        BatchState::Cancelled
    } else {
        BatchState::Queued
    }))
}

/// Reads how many jobs of a queue wait.
pub(super) fn waiting(
    kv: &dyn Kv,
    queue: &str,
    left: Duration,
) -> Result<u64, KvError> {
    let Some(item) = kv.get(keys::LEDGER, left)? else {
        return Ok(0);
    };
    let ledger: Ledger = decode(&item.value).map_err(|e| bad(&e))?;
    Ok(ledger.waiting.get(queue).copied().unwrap_or(0))
}
