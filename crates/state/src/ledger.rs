//! Changes of the records in the store. Each settles an answer that was
//! lost by reading back: a write that turns out to have taken effect counts
//! as done, however its answer fared.

use std::time::Duration;

use displaydoc::Display;

use crate::{
    error::Kind,
    job::{JobId, Outcome},
    kv::{Item, Kv, KvError, LeaseId, Txn},
    record::{
        self, ENTRIES, EntriesRecord, EntryAddress, JobRecord, KeyRecord,
        Progress, SETTINGS, SavedOutcome, SettingsRecord, TermRecord,
    },
};

/// How long a call of the store may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Tries of a swap that others may race.
const MAX_SWAP_ATTEMPTS: usize = 8;

/// A record with its version; 0 if it does not exist.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Versioned<T> {
    /// The version.
    pub version: u64,
    /// The record.
    pub record: Option<T>,
}

/// Reads a record.
///
/// # Errors
///
/// [`KvError::Unanswered`].
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

/// Swaps a record in; a lost answer is settled by reading back.
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
        Err(KvError::Unanswered(why)) => match kv.get(key, CALL_TIMEOUT)? {
            Some(i) if i.revision > version && i.value == value => {
                Ok(i.revision)
            }
            Some(i) if i.revision != version => {
                Err(KvError::Conflict(vec![i]))
            }
            _ => Err(KvError::Unanswered(why)),
        },
        Err(KvError::Conflict(items)) => match find_item(&items, key) {
            // A repeated send of a swap that took effect meets its own
            // result.
            Some(i) if i.value == value => Ok(i.revision),
            _ => Err(KvError::Conflict(items)),
        },
        other => other,
    }
}

/// The item of a key among those that a condition met.
fn find_item<'a>(items: &'a [Item], key: &str) -> Option<&'a Item> {
    items.iter().find(|i| i.key == key)
}

/// Waits until a record has another version than `known`, at most `wait`;
/// then its item, if it has one.
///
/// # Errors
///
/// [`KvError::Refused`] or [`KvError::Unanswered`].
pub fn wait_for_change(
    kv: &dyn Kv,
    key: &str,
    known_version: u64,
    wait: Duration,
) -> Result<Option<Item>, KvError> {
    // The listing's revision is where a watch may begin: the record's own
    // may be older than the store's history.
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

/// How a claim ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// The job is new, and this is its record's version.
    New(u64),
    /// The key stands for this job already.
    Existing(JobId),
    /// The key was used with another body.
    BodyMismatch(JobId),
}

/// A job to claim.
#[derive(Clone, Copy, Debug)]
pub struct Claim<'a> {
    /// The job.
    pub job: JobId,
    /// Its workspace.
    pub workspace: &'a str,
    /// The caller's key, if there is one.
    pub key: Option<&'a str>,
    /// The caller's request.
    pub request: &'a str,
    /// The claiming entry's incarnation.
    pub entry: u64,
}

/// Writes the record of a new job and, if it has one, of its key.
///
/// The job's record goes first, so a key never names a job without one; a
/// record whose key went to another job is never found again.
///
/// # Errors
///
/// [`KvError::Unanswered`]; nothing was claimed, or the next try of the
/// same job finds what was.
pub fn claim(kv: &dyn Kv, claim: &Claim<'_>) -> Result<ClaimOutcome, KvError> {
    let body = crate::digest::of_bytes(claim.request.as_bytes());
    if let Some(key) = claim.key {
        let name = record::caller_key(claim.workspace, key);
        let found: Versioned<KeyRecord> = read(kv, &name)?;
        if let Some(known) = found.record {
            return Ok(compare_body(&known, &body));
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
    let name = record::caller_key(claim.workspace, key);
    let mine = KeyRecord {
        job: claim.job.to_string(),
        body: body.clone(),
    };
    match compare_and_swap(kv, &name, 0, &record::encode(&mine), None) {
        Ok(_) => Ok(ClaimOutcome::New(version)),
        Err(KvError::Conflict(items)) => {
            let known: Option<KeyRecord> = find_item(&items, &name)
                .and_then(|item| record::decode(&item.value));
            let known = known.ok_or_else(|| {
                KvError::Unanswered("a key's record is damaged".into())
            })?;
            Ok(compare_body(&known, &body))
        }
        Err(e) => Err(e),
    }
}

fn compare_body(known: &KeyRecord, body: &str) -> ClaimOutcome {
    let job = known.job.parse().unwrap_or(JobId(0));
    if known.body == body {
        ClaimOutcome::Existing(job)
    } else {
        ClaimOutcome::BodyMismatch(job)
    }
}

/// Takes a claimed job over from an entry that is gone.
///
/// # Errors
///
/// [`KvError::Conflict`] if its record has changed.
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

/// Marks a job as dispatched, before anything of it can start.
///
/// # Errors
///
/// [`KvError::Conflict`] if the record has another version.
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

/// Writes a job's outcome into its record, unless it has one.
///
/// # Errors
///
/// [`KvError::Unanswered`].
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
            // An ended job is not submitted again.
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
    Err(KvError::Unanswered("the record keeps changing".to_owned()))
}

/// Why settings were not accepted.
#[derive(Debug, Display)]
pub enum ApplyError {
    /// someone else changed the settings: they are at revision {0} now
    RevisionConflict(u64),
    /// {0}
    Store(KvError),
}

impl std::error::Error for ApplyError {}

impl ApplyError {
    /// The kind that callers are told.
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
    /// The revision that it was made from.
    pub base: u64,
    /// The new text.
    pub text: &'a str,
    /// Names the change.
    pub id: &'a str,
    /// Who makes it.
    pub by: &'a str,
    /// Seconds since the Unix epoch.
    pub at_s: u64,
}

/// Writes new settings; returns their record. The same change sent again
/// finds itself accepted.
///
/// # Errors
///
/// [`ApplyError::RevisionConflict`] if the settings are not at the change's base.
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

/// What came of trying to coordinate a cell.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TermOutcome {
    /// This process holds the lease and this term.
    Acquired(TermRecord, LeaseId),
    /// Another does.
    Held(TermRecord),
    /// Another holds the lease and has not written its term yet.
    Busy,
}

/// Tries to take a cell's lease, then its next term.
///
/// # Errors
///
/// [`KvError::Unanswered`].
pub fn take_term(
    kv: &dyn Kv,
    cell: &str,
    candidate: &TermRecord,
    ttl: Duration,
    bid_bits: u32,
) -> Result<TermOutcome, KvError> {
    let key = record::term_key(cell);
    let lease_key = format!("{key}/lease");
    let mine = record::encode(&candidate.incarnation);
    let holder = kv.get(&lease_key, CALL_TIMEOUT)?;
    let current: Versioned<TermRecord> = read(kv, &key)?;
    if let Some(holder) = holder {
        let holder: Option<u64> = record::decode(&holder.value);
        return Ok(match current.record {
            Some(term) if Some(term.incarnation) == holder => {
                TermOutcome::Held(term)
            }
            _ => TermOutcome::Busy,
        });
    }
    let lease = kv.grant(ttl, CALL_TIMEOUT)?;
    match compare_and_swap(kv, &lease_key, 0, &mine, Some(lease)) {
        Ok(_) => {}
        Err(KvError::Conflict(_)) => {
            kv.revoke(lease, CALL_TIMEOUT)?;
            return Ok(TermOutcome::Busy);
        }
        Err(e) => return Err(e),
    }
    let last = current.record.map_or(0, |t| t.term >> bid_bits);
    let next = TermRecord {
        term: (last + 1) << bid_bits,
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

/// Changes the list of entries until the change stands.
///
/// # Errors
///
/// [`KvError::Unanswered`].
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
    Err(KvError::Unanswered("the entries keep changing".to_owned()))
}
