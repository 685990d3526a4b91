//! Reads and conditional writes of the [records](crate::record) in the store.
//! This module is unrelated to [`batch::Ledger`](crate::batch::Ledger).
//!
//! If the store does not answer a write, the record is read back: a write that
//! took effect counts as successful even though its answer was lost.

use std::time::Duration;

use displaydoc::Display;

use crate::{
    error::Kind,
    job::{JobId, Outcome},
    kv::{Item, Kv, KvError, LeaseId, Txn},
    record::{
        self, ENTRIES, EntriesRecord, EntryAddress, IdempotencyRecord,
        JobRecord, Progress, SETTINGS, SavedOutcome, SettingsRecord,
        TermRecord,
    },
};

/// The timeout of each store call made in this module, except for a watch.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// The maximum number of attempts of a compare-and-swap that may conflict
/// with concurrent writers.
const MAX_SWAP_ATTEMPTS: usize = 8;

/// A record and its version in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Versioned<T> {
    /// The store's revision of the record; 0 if it does not exist.
    pub version: u64,
    /// The record; `None` if it does not exist or cannot be decoded.
    pub record: Option<T>,
}

/// Reads a record.
///
/// # Errors
///
/// Returns a [`KvError`] if the store is unavailable.
pub fn read<T: serde::de::DeserializeOwned>(
    kv: &dyn Kv,
    key: &str,
) -> Result<Versioned<T>, KvError> {
    let found = kv.get(key, CALL_TIMEOUT)?;
    Ok(found.map_or(
        Versioned {
            version: 0,
            record: None,
        },
        |i| Versioned {
            version: i.revision,
            record: record::decode(&i.value),
        },
    ))
}

/// Writes a record if it still has `version` and returns its new version.
///
/// If the store does not answer, the record is read back to find out whether
/// the write took effect.
fn compare_and_swap(
    kv: &dyn Kv,
    key: &str,
    version: u64,
    value: &[u8],
    lease: Option<LeaseId>,
) -> Result<u64, KvError> {
    let mut txn = Txn::compare_and_swap(key, version, value.to_vec());
    for put in &mut txn.puts {
        put.2 = lease;
    }
    match kv.commit(&txn, CALL_TIMEOUT) {
        Err(KvError::Unanswered(reason)) => match kv.get(key, CALL_TIMEOUT)? {
            Some(i) if i.revision > version && i.value == value => {
                Ok(i.revision)
            }
            Some(i) if i.revision != version => {
                Err(KvError::Conflict(vec![i]))
            }
            _ => Err(KvError::Unanswered(reason)),
        },
        Err(KvError::Conflict(items)) => match find_item(&items, key) {
            // If the transport repeats a write that took effect, the
            // repetition conflicts with the value it wrote itself.
            Some(i) if i.value == value => Ok(i.revision),
            _ => Err(KvError::Conflict(items)),
        },
        other => other,
    }
}

/// Returns the item of a key, if it is among the given items.
fn find_item<'a>(items: &'a [Item], key: &str) -> Option<&'a Item> {
    items.iter().find(|i| i.key == key)
}

/// Waits for at most `wait` until a record's version differs from
/// `known_version`, and returns its item, if it exists.
///
/// A change to any key that starts with `key` ends the wait, so the returned
/// item may still have `known_version`.
///
/// # Errors
///
/// Returns [`KvError::Refused`] or [`KvError::Unanswered`] if the store is
/// unavailable.
pub fn wait_for_change(
    kv: &dyn Kv,
    key: &str,
    known_version: u64,
    wait: Duration,
) -> Result<Option<Item>, KvError> {
    // The watch starts from the listing's revision, because the record's own
    // revision may already be compacted from the store's history.
    let listing = kv.list(key, CALL_TIMEOUT)?;
    let item = find_item(&listing.items, key).cloned();
    if item.as_ref().map_or(0, |i| i.revision) != known_version {
        return Ok(item);
    }
    match kv.watch(key, listing.revision, wait) {
        Ok(_) | Err(KvError::Compacted) => kv.get(key, CALL_TIMEOUT),
        Err(e) => Err(e),
    }
}

/// The outcome of [`claim`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// The job is new; its record has this version.
    New(u64),
    /// The idempotency key already belongs to this job, whose request is the
    /// same.
    Existing(JobId),
    /// The idempotency key already belongs to this job, whose request differs.
    BodyMismatch(JobId),
}

/// A new job that an entry claims.
#[derive(Clone, Copy, Debug)]
pub struct Claim<'a> {
    /// The job.
    pub job: JobId,
    /// The job's workspace.
    pub workspace: &'a str,
    /// The idempotency key, if the request has one.
    pub key: Option<&'a str>,
    /// The caller's request as JSON.
    pub request: &'a str,
    /// The incarnation of the entry that claims the job.
    pub entry: u64,
}

/// Writes the record of a new job and, if the request has an idempotency key,
/// the record of that key.
///
/// The job's record is written first, so that a key never refers to a job
/// without a record. If another job wins the key in between, the record
/// written here remains in the store, but nothing refers to it.
///
/// # Errors
///
/// Returns a [`KvError`] if the store is unavailable. In that case, either
/// nothing was claimed, or a retry with the same job finds what was written.
/// Returns [`KvError::Conflict`] if the job already has a different record.
pub fn claim(kv: &dyn Kv, claim: &Claim<'_>) -> Result<ClaimOutcome, KvError> {
    let digest = crate::digest::of_bytes(claim.request.as_bytes());
    if let Some(key) = claim.key {
        let record_key = record::idempotency_key(claim.workspace, key);
        let found: Versioned<IdempotencyRecord> = read(kv, &record_key)?;
        if let Some(known) = found.record {
            return Ok(compare_body(&known, &digest));
        }
    }
    let job = record::encode(&JobRecord {
        workspace: claim.workspace.to_owned(),
        request: claim.request.to_owned(),
        progress: Progress::Claimed { entry: claim.entry },
    });
    let version =
        compare_and_swap(kv, &record::job_key(claim.job), 0, &job, None)?;
    let Some(key) = claim.key else {
        return Ok(ClaimOutcome::New(version));
    };
    let record_key = record::idempotency_key(claim.workspace, key);
    let key_record = IdempotencyRecord {
        job: claim.job.to_string(),
        body: digest.clone(),
    };
    match compare_and_swap(
        kv,
        &record_key,
        0,
        &record::encode(&key_record),
        None,
    ) {
        Ok(_) => Ok(ClaimOutcome::New(version)),
        Err(KvError::Conflict(items)) => {
            let known: Option<IdempotencyRecord> =
                find_item(&items, &record_key)
                    .and_then(|item| record::decode(&item.value));
            let known = known.ok_or_else(|| {
                KvError::Unanswered("cannot decode the key's record".into())
            })?;
            Ok(compare_body(&known, &digest))
        }
        Err(e) => Err(e),
    }
}

/// Compares the digest of a request with that of the request which already has
/// the same idempotency key.
fn compare_body(known: &IdempotencyRecord, digest: &str) -> ClaimOutcome {
    let job = known.job.parse().unwrap_or(JobId(0));
    if known.body == digest {
        ClaimOutcome::Existing(job)
    } else {
        ClaimOutcome::BodyMismatch(job)
    }
}

/// Moves the claim of a job from an entry that is gone to the entry with
/// incarnation `entry`, and returns the record's new version.
///
/// # Errors
///
/// Returns [`KvError::Conflict`] if the record no longer has `version`, and
/// another [`KvError`] if the store is unavailable.
pub fn take_over(
    kv: &dyn Kv,
    job: JobId,
    version: u64,
    record: &JobRecord,
    entry: u64,
) -> Result<u64, KvError> {
    let next = JobRecord {
        progress: Progress::Claimed { entry },
        ..record.clone()
    };
    let key = record::job_key(job);
    compare_and_swap(kv, &key, version, &record::encode(&next), None)
}

/// Records that a job is dispatched, and returns the record's new version.
/// This must succeed before any part of the job can start.
///
/// # Errors
///
/// Returns [`KvError::Conflict`] if the record no longer has `version`, unless
/// it already has the given progress, and also if the record does not exist or
/// cannot be decoded. Returns another [`KvError`] if the store is unavailable.
pub fn mark_dispatched(
    kv: &dyn Kv,
    job: JobId,
    version: u64,
    progress: Progress,
) -> Result<u64, KvError> {
    let key = record::job_key(job);
    let found: Versioned<JobRecord> = read(kv, &key)?;
    let Some(record) = found.record else {
        return Err(KvError::Conflict(Vec::new()));
    };
    if found.version != version {
        if record.progress == progress {
            return Ok(found.version);
        }
        let item = kv.get(&key, CALL_TIMEOUT)?;
        return Err(KvError::Conflict(item.into_iter().collect()));
    }
    let next = JobRecord { progress, ..record };
    compare_and_swap(kv, &key, version, &record::encode(&next), None)
}

/// Writes a job's outcome into its record. Does nothing if the record already
/// has an outcome, does not exist or cannot be decoded.
///
/// # Errors
///
/// Returns a [`KvError`] if the store is unavailable, or if every attempt
/// conflicted with another change of the record.
pub fn save_outcome(
    kv: &dyn Kv,
    job: JobId,
    outcome: &Outcome,
) -> Result<(), KvError> {
    let key = record::job_key(job);
    for _ in 0..MAX_SWAP_ATTEMPTS {
        let found: Versioned<JobRecord> = read(kv, &key)?;
        let Some(record) = found.record else {
            return Ok(());
        };
        if let Progress::Ended(_) = record.progress {
            return Ok(());
        }
        let saved = SavedOutcome::from(outcome);
        let next = JobRecord {
            // The request is no longer needed: an ended job is not submitted
            // to a coordinator again.
            request: String::new(),
            progress: Progress::Ended(saved),
            ..record
        };
        let buf = record::encode(&next);
        match compare_and_swap(kv, &key, found.version, &buf, None) {
            Err(KvError::Conflict(_)) => {}
            other => return other.map(|_| ()),
        }
    }
    Err(KvError::Unanswered("the record kept changing".to_owned()))
}

/// Why a change of the settings was not accepted.
#[derive(Debug, Display)]
pub enum ApplyError {
    /// someone else changed the settings: they are at revision {0} now
    RevisionConflict(u64),
    /// {0}
    Store(KvError),
}

impl std::error::Error for ApplyError {}

impl ApplyError {
    /// Returns the kind with which the error is reported to the operator.
    #[must_use]
    pub const fn kind(&self) -> Kind {
        match self {
            Self::RevisionConflict(_) => Kind::RevisionConflict,
            Self::Store(_) => Kind::StoreDown,
        }
    }
}

/// A change of the settings.
#[derive(Clone, Copy, Debug)]
pub struct SettingsChange<'a> {
    /// The revision of the settings that the change was made from.
    pub base: u64,
    /// The new settings, as INI text.
    pub text: &'a str,
    /// A unique identifier of the change, by which a repeated request is
    /// recognised.
    pub id: &'a str,
    /// Who makes the change.
    pub by: &'a str,
    /// When the change is made, in seconds since the Unix epoch.
    pub at_s: u64,
}

/// Writes new settings and returns their record. A change that was already
/// accepted is not applied again: the current record is returned.
///
/// # Errors
///
/// Returns [`ApplyError::RevisionConflict`] if the settings are not at the
/// change's base revision, and [`ApplyError::Store`] if the store is
/// unavailable.
pub fn apply_settings(
    kv: &dyn Kv,
    change: &SettingsChange<'_>,
) -> Result<SettingsRecord, ApplyError> {
    let found: Versioned<SettingsRecord> =
        read(kv, SETTINGS).map_err(ApplyError::Store)?;
    let current = found.record.unwrap_or_default();
    if current.revision > 0 && current.change == change.id {
        return Ok(current);
    }
    if current.history.iter().any(|past| past.change == change.id) {
        return Ok(current);
    }
    if current.revision != change.base {
        return Err(ApplyError::RevisionConflict(current.revision));
    }
    let next = current.next(change.text, change.id, change.by, change.at_s);
    let buf = record::encode(&next);
    match compare_and_swap(kv, SETTINGS, found.version, &buf, None) {
        Ok(_) => Ok(next),
        Err(KvError::Conflict(items)) => {
            let now: Option<SettingsRecord> = find_item(&items, SETTINGS)
                .and_then(|item| record::decode(&item.value));
            Err(ApplyError::RevisionConflict(now.map_or(0, |r| r.revision)))
        }
        Err(e) => Err(ApplyError::Store(e)),
    }
}

/// The outcome of [`acquire_term`], an attempt to become a cell's coordinator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TermOutcome {
    /// This process holds the lease and the given term.
    Acquired(TermRecord, LeaseId),
    /// The given term and its lease are already held: by another process, or
    /// by this one if an earlier attempt succeeded without an answer.
    Held(TermRecord),
    /// Another process holds the lease but has not written its term yet, or
    /// won a race for the lease or the term.
    Busy,
}

/// Tries to acquire a cell's lease and then its next term for `candidate`,
/// whose `term` is ignored.
///
/// The lease expires after `ttl` unless it is renewed. The lower
/// `provisional_bits` bits of a term are reserved for provisional terms, so
/// the new term is the next higher multiple of 2^`provisional_bits`.
///
/// # Errors
///
/// Returns a [`KvError`] if the store is unavailable.
pub fn acquire_term(
    kv: &dyn Kv,
    cell: &str,
    candidate: &TermRecord,
    ttl: Duration,
    provisional_bits: u32,
) -> Result<TermOutcome, KvError> {
    let key = record::term_key(cell);
    let lease_key = format!("{key}/lease");
    let holder = kv.get(&lease_key, CALL_TIMEOUT)?;
    let current: Versioned<TermRecord> = read(kv, &key)?;
    if let Some(holder) = holder {
        let holder: Option<(u64, u64)> = record::decode(&holder.value);
        let incarnation = holder.map(|(incarnation, _)| incarnation);
        return Ok(match current.record {
            Some(term) if Some(term.incarnation) == incarnation => {
                TermOutcome::Held(term)
            }
            _ => TermOutcome::Busy,
        });
    }
    let lease = kv.grant(ttl, CALL_TIMEOUT)?;
    // The lease tells this attempt from an earlier one, whose write may be
    // applied late.
    let lease_value = record::encode(&(candidate.incarnation, lease.0));
    match compare_and_swap(kv, &lease_key, 0, &lease_value, Some(lease)) {
        Ok(_) => {}
        Err(KvError::Conflict(_)) => {
            kv.revoke(lease, CALL_TIMEOUT)?;
            return Ok(TermOutcome::Busy);
        }
        Err(e) => return Err(e),
    }
    let last_count = current.record.map_or(0, |t| t.term >> provisional_bits);
    let next = TermRecord {
        term: (last_count + 1) << provisional_bits,
        ..candidate.clone()
    };
    let buf = record::encode(&next);
    match compare_and_swap(kv, &key, current.version, &buf, None) {
        Ok(_) => Ok(TermOutcome::Acquired(next, lease)),
        Err(KvError::Conflict(_)) => {
            kv.revoke(lease, CALL_TIMEOUT)?;
            Ok(TermOutcome::Busy)
        }
        Err(e) => Err(e),
    }
}

/// Applies `change` to the list of entries and returns the new list. If
/// another process changes the list at the same time, `change` is applied
/// again to the newer list.
///
/// # Errors
///
/// Returns a [`KvError`] if the store is unavailable, or if every attempt
/// conflicted with another change of the list.
pub fn change_entries(
    kv: &dyn Kv,
    change: impl Fn(&mut Vec<EntryAddress>),
) -> Result<EntriesRecord, KvError> {
    for _ in 0..MAX_SWAP_ATTEMPTS {
        let found: Versioned<EntriesRecord> = read(kv, ENTRIES)?;
        let current = found.record.unwrap_or_default();
        let mut next = current.clone();
        change(&mut next.entries);
        if next == current {
            return Ok(current);
        }
        let buf = record::encode(&next);
        match compare_and_swap(kv, ENTRIES, found.version, &buf, None) {
            Ok(_) => return Ok(next),
            Err(KvError::Conflict(_)) => {}
            Err(e) => return Err(e),
        }
    }
    Err(KvError::Unanswered(
        "the list of entries kept changing".to_owned(),
    ))
}
