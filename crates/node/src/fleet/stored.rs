//! The store calls that answer a caller's request, with their retries. They
//! read and write the records of jobs.

use std::time::Duration;

use figrill_state::{
    batch::{
        Batch, BatchId, BatchState, Ledger, Progress, decode, decode_job,
        encode, keys,
    },
    kv::{Kv, KvError, Txn},
};

/// The outcome of a write, after all its attempts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum WriteOutcome {
    /// The record of the job is written or marked as cancelled.
    Applied,
    /// A record of the job existed before: an earlier attempt or submission
    /// has written it.
    Existing,
    /// The record to change does not exist.
    NotFound,
    /// No attempt was applied, and none will be.
    NotApplied,
    /// The store does not accept the record, nor will it ever.
    Rejected,
    /// An attempt was not answered. It may have been applied, or may still be.
    Unknown,
}

/// The state of a job according to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum JobLookup {
    /// The job exists and has this state.
    Found(BatchState),
    /// The job does not exist.
    NotFound,
}

/// Returns the error for a record that can't be decoded. It is retried like a
/// call that the store did not answer.
fn malformed(e: &impl std::fmt::Display) -> KvError {
    KvError::Unanswered(e.to_string())
}

/// The least time limit of a store call that repeats one.
const MIN_RETRY_TIMEOUT: Duration = Duration::from_millis(100);

/// The deadline of a caller's request.
pub(super) trait Deadline {
    /// Returns the time limit for the next store call. If it is zero, no
    /// further call may be made.
    fn attempt_timeout(&self) -> Duration;
    /// Waits before the next attempt.
    fn wait_before_retry(&self);
}

/// Returns whether an attempt to write may still be made. A retry that the store
/// hardly has the time to answer could turn a refusal into an unknown outcome.
fn allows_attempt(timeout: Duration, is_retry: bool) -> bool {
    if is_retry {
        timeout >= MIN_RETRY_TIMEOUT
    } else {
        !timeout.is_zero()
    }
}

/// Writes the record of an accepted job, unless a record with its id exists.
/// Retries until the deadline. This is safe because a repeated write only
/// conflicts with the record that an earlier one has written.
pub(super) fn create(
    kv: &dyn Kv,
    batch: &Batch,
    deadline: &dyn Deadline,
) -> WriteOutcome {
    let txn = Txn::compare_and_swap(&keys::job(batch.id), 0, encode(batch));
    let mut uncertain = false;
    for attempt in 0.. {
        let timeout = deadline.attempt_timeout();
        if !allows_attempt(timeout, attempt > 0) {
            break;
        }
        match kv.commit(&txn, timeout) {
            Ok(_) => return WriteOutcome::Applied,
            // An earlier attempt, or an earlier submission of the same job,
            // has written the record.
            Err(KvError::Conflict(_)) => return WriteOutcome::Existing,
            // An earlier attempt without an answer was rejected as well.
            Err(KvError::Rejected(why)) => {
                log::warn!(
                    "the record of job {} is rejected: {why}",
                    batch.id
                );
                return WriteOutcome::Rejected;
            }
            Err(KvError::Unanswered(_)) => uncertain = true,
            Err(e) => log::debug!("failed to store a job: {e}"),
        }
        deadline.wait_before_retry();
    }
    if uncertain {
        WriteOutcome::Unknown
    } else {
        WriteOutcome::NotApplied
    }
}

/// Marks a job's record as cancelled. Retries until the deadline.
pub(super) fn cancel(
    kv: &dyn Kv,
    id: BatchId,
    deadline: &dyn Deadline,
) -> WriteOutcome {
    let key = keys::job(id);
    let mut uncertain = false;
    for attempt in 0.. {
        let timeout = deadline.attempt_timeout();
        if !allows_attempt(timeout, attempt > 0) {
            break;
        }
        match try_cancel(kv, &key, timeout) {
            Ok(outcome) => return outcome,
            Err(KvError::Unanswered(_)) => uncertain = true,
            Err(KvError::Conflict(_)) => continue,
            Err(e) => log::debug!("failed to store a cancellation: {e}"),
        }
        deadline.wait_before_retry();
    }
    if uncertain {
        WriteOutcome::Unknown
    } else {
        WriteOutcome::NotApplied
    }
}

/// Makes one attempt to mark a job's record as cancelled.
fn try_cancel(
    kv: &dyn Kv,
    key: &str,
    timeout: Duration,
) -> Result<WriteOutcome, KvError> {
    let Some(item) = kv.get(key, timeout)? else {
        return Ok(WriteOutcome::NotFound);
    };
    let mut batch: Batch = decode(&item.value).map_err(|e| malformed(&e))?;
    if batch.cancelled {
        return Ok(WriteOutcome::Applied);
    }
    batch.cancelled = true;
    let txn = Txn::compare_and_swap(key, item.revision, encode(&batch));
    kv.commit(&txn, timeout)?;
    Ok(WriteOutcome::Applied)
}

/// Reads the state of a job. A job that has no progress record yet is queued,
/// also if its cancellation was accepted: only the coordinator ends a job, and
/// it may find that the job is already done.
pub(super) fn read_state(
    kv: &dyn Kv,
    id: BatchId,
    timeout: Duration,
) -> Result<JobLookup, KvError> {
    if let Some(item) = kv.get(&keys::progress(id), timeout)? {
        let progress: Progress =
            decode(&item.value).map_err(|e| malformed(&e))?;
        return Ok(JobLookup::Found(progress.state));
    }
    let Some(item) = kv.get(&keys::job(id), timeout)? else {
        return Ok(JobLookup::NotFound);
    };
    // Nothing runs for a record that no entry can have written.
    decode_job(id, &item.value).map_err(|e| malformed(&e))?;
    Ok(JobLookup::Found(BatchState::Queued))
}

/// Returns the number of jobs in a queue of which no task has started, as of
/// the coordinator's last commit.
pub(super) fn pending_jobs(
    kv: &dyn Kv,
    queue: &str,
    timeout: Duration,
) -> Result<u64, KvError> {
    let Some(item) = kv.get(keys::LEDGER, timeout)? else {
        return Ok(0);
    };
    let ledger: Ledger = decode(&item.value).map_err(|e| malformed(&e))?;
    Ok(ledger.waiting.get(queue).copied().unwrap_or(0))
}
