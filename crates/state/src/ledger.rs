//! Changes of the records in the store. Each settles an answer that was
//! lost by reading back: a write that turns out to have taken effect counts
//! as done, however its answer fared.

use displaydoc::Display;

use crate::{
    error::Kind,
    job::{JobId, Outcome},
    record::{
        self, ENTRIES, EntriesRecord, EntryAddress, JobRecord, KeyRecord,
        Progress, SETTINGS, SavedOutcome, SettingsRecord, TermRecord,
    },
    store::{LeaseId, Store, StoreError},
};

/// Tries of a swap that others may race.
const TRIES: usize = 8;

/// A record with its version; 0 if it does not exist.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Read<T> {
    /// The version.
    pub version: u64,
    /// The record.
    pub record: Option<T>,
}

/// Reads a record.
///
/// # Errors
///
/// [`StoreError::Unavailable`].
pub fn read<T: serde::de::DeserializeOwned>(
    store: &dyn Store,
    key: &str,
) -> Result<Read<T>, StoreError> {
    let found = store.get(key)?;
    Ok(found.map_or(
        Read {
            version: 0,
            record: None,
        },
        |v| Read {
            version: v.version,
            record: record::decode(&v.value),
        },
    ))
}

/// Swaps a record in; a lost answer is settled by reading back.
fn swap(
    store: &dyn Store,
    key: &str,
    version: u64,
    value: &[u8],
    lease: Option<LeaseId>,
) -> Result<u64, StoreError> {
    match store.swap(key, version, value, lease) {
        Err(StoreError::Unavailable(why)) => match store.get(key)? {
            Some(v) if v.version > version && v.value == value => {
                Ok(v.version)
            }
            Some(v) if v.version != version => {
                Err(StoreError::Conflict(Some(v)))
            }
            _ => Err(StoreError::Unavailable(why)),
        },
        // A repeated send of a swap that took effect meets its own result.
        Err(StoreError::Conflict(Some(v))) if v.value == value => {
            Ok(v.version)
        }
        other => other,
    }
}

/// How a claim ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Claimed {
    /// The job is new, and this is its record's version.
    New(u64),
    /// The key stands for this job already.
    Known(JobId),
    /// The key was used with another body.
    OtherBody(JobId),
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
/// [`StoreError::Unavailable`]; nothing was claimed, or the next try of the
/// same job finds what was.
pub fn claim(
    store: &dyn Store,
    claim: &Claim<'_>,
) -> Result<Claimed, StoreError> {
    let body = crate::digest::of_bytes(claim.request.as_bytes());
    if let Some(key) = claim.key {
        let name = record::caller_key(claim.workspace, key);
        let found: Read<KeyRecord> = read(store, &name)?;
        if let Some(known) = found.record {
            return Ok(compare(&known, &body));
        }
    }
    let job = record::encode(&JobRecord {
        workspace: claim.workspace.to_owned(),
        request: claim.request.to_owned(),
        progress: Progress::Claimed { entry: claim.entry },
    });
    let version = swap(store, &record::job_key(claim.job), 0, &job, None)?;
    let Some(key) = claim.key else {
        return Ok(Claimed::New(version));
    };
    let name = record::caller_key(claim.workspace, key);
    let mine = KeyRecord {
        job: claim.job.to_string(),
        body: body.clone(),
    };
    match swap(store, &name, 0, &record::encode(&mine), None) {
        Ok(_) => Ok(Claimed::New(version)),
        Err(StoreError::Conflict(Some(v))) => {
            let known: Option<KeyRecord> = record::decode(&v.value);
            let known = known.ok_or_else(|| {
                StoreError::Unavailable("a key's record is damaged".into())
            })?;
            Ok(compare(&known, &body))
        }
        Err(e) => Err(e),
    }
}

fn compare(known: &KeyRecord, body: &str) -> Claimed {
    let job = known.job.parse().unwrap_or(JobId(0));
    if known.body == body {
        Claimed::Known(job)
    } else {
        Claimed::OtherBody(job)
    }
}

/// Takes a claimed job over from an entry that is gone.
///
/// # Errors
///
/// [`StoreError::Conflict`] if its record has changed.
pub fn take_over(
    store: &dyn Store,
    job: JobId,
    version: u64,
    record: &JobRecord,
    entry: u64,
) -> Result<u64, StoreError> {
    let next = JobRecord {
        progress: Progress::Claimed { entry },
        ..record.clone()
    };
    let key = record::job_key(job);
    swap(store, &key, version, &record::encode(&next), None)
}

/// Marks a job as dispatched, before anything of it can start.
///
/// # Errors
///
/// [`StoreError::Conflict`] if the record has another version.
pub fn mark(
    store: &dyn Store,
    job: JobId,
    version: u64,
    progress: Progress,
) -> Result<u64, StoreError> {
    let key = record::job_key(job);
    let found: Read<JobRecord> = read(store, &key)?;
    let Some(record) = found.record else {
        return Err(StoreError::Conflict(None));
    };
    if found.version != version {
        if record.progress == progress {
            return Ok(found.version);
        }
        return Err(StoreError::Conflict(store.get(&key)?));
    }
    let next = JobRecord { progress, ..record };
    swap(store, &key, version, &record::encode(&next), None)
}

/// Writes a job's outcome into its record, unless it has one.
///
/// # Errors
///
/// [`StoreError::Unavailable`].
pub fn save(
    store: &dyn Store,
    job: JobId,
    outcome: &Outcome,
) -> Result<(), StoreError> {
    let key = record::job_key(job);
    for _ in 0..TRIES {
        let found: Read<JobRecord> = read(store, &key)?;
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
        match swap(store, &key, found.version, &buf, None) {
            Err(StoreError::Conflict(_)) => {}
            other => return other.map(|_| ()),
        }
    }
    Err(StoreError::Unavailable(
        "the record keeps changing".to_owned(),
    ))
}

/// Why settings were not accepted.
#[derive(Debug, Display)]
pub enum ApplyError {
    /// someone else changed the settings: they are at revision {0} now
    Raced(u64),
    /// {0}
    Store(StoreError),
}

impl std::error::Error for ApplyError {}

impl ApplyError {
    /// The kind that callers are told.
    #[must_use]
    pub const fn kind(&self) -> Kind {
        match self {
            Self::Raced(_) => Kind::RevisionConflict,
            Self::Store(_) => Kind::StoreDown,
        }
    }
}

/// A change of the settings.
#[derive(Clone, Copy, Debug)]
pub struct Change<'a> {
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
/// [`ApplyError::Raced`] if the settings are not at the change's base.
pub fn apply(
    store: &dyn Store,
    change: &Change<'_>,
) -> Result<SettingsRecord, ApplyError> {
    let found: Read<SettingsRecord> =
        read(store, SETTINGS).map_err(ApplyError::Store)?;
    let current = found.record.unwrap_or_default();
    if current.revision > 0 && current.change == change.id {
        return Ok(current);
    }
    if current.history.iter().any(|past| past.change == change.id) {
        return Ok(current);
    }
    if current.revision != change.base {
        return Err(ApplyError::Raced(current.revision));
    }
    let next = current.next(change.text, change.id, change.by, change.at_s);
    let buf = record::encode(&next);
    match swap(store, SETTINGS, found.version, &buf, None) {
        Ok(_) => Ok(next),
        Err(StoreError::Conflict(now)) => {
            let now: Option<SettingsRecord> =
                now.and_then(|v| record::decode(&v.value));
            Err(ApplyError::Raced(now.map_or(0, |r| r.revision)))
        }
        Err(e) => Err(ApplyError::Store(e)),
    }
}

/// What came of trying to coordinate a cell.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Term {
    /// This process holds the lease and this term.
    Taken(TermRecord, LeaseId),
    /// Another does.
    Held(TermRecord),
    /// Another holds the lease and has not written its term yet.
    Busy,
}

/// Tries to take a cell's lease, then its next term.
///
/// # Errors
///
/// [`StoreError::Unavailable`].
pub fn take_term(
    store: &dyn Store,
    cell: &str,
    me: &TermRecord,
    ttl: std::time::Duration,
    bid_bits: u32,
) -> Result<Term, StoreError> {
    let key = record::term_key(cell);
    let lease_key = format!("{key}/lease");
    let mine = record::encode(&me.incarnation);
    let holder = store.get(&lease_key)?;
    let current: Read<TermRecord> = read(store, &key)?;
    if let Some(holder) = holder {
        let holder: Option<u64> = record::decode(&holder.value);
        return Ok(match current.record {
            Some(term) if Some(term.incarnation) == holder => Term::Held(term),
            _ => Term::Busy,
        });
    }
    let lease = store.grant(ttl)?;
    match swap(store, &lease_key, 0, &mine, Some(lease)) {
        Ok(_) => {}
        Err(StoreError::Conflict(_)) => {
            store.revoke(lease)?;
            return Ok(Term::Busy);
        }
        Err(e) => return Err(e),
    }
    let last = current.record.map_or(0, |t| t.term >> bid_bits);
    let next = TermRecord {
        term: (last + 1) << bid_bits,
        ..me.clone()
    };
    let buf = record::encode(&next);
    match swap(store, &key, current.version, &buf, None) {
        Ok(_) => Ok(Term::Taken(next, lease)),
        Err(StoreError::Conflict(_)) => {
            store.revoke(lease)?;
            Ok(Term::Busy)
        }
        Err(e) => Err(e),
    }
}

/// Changes the list of entries until the change stands.
///
/// # Errors
///
/// [`StoreError::Unavailable`].
pub fn change_entries(
    store: &dyn Store,
    change: impl Fn(&mut Vec<EntryAddress>),
) -> Result<EntriesRecord, StoreError> {
    for _ in 0..TRIES {
        let found: Read<EntriesRecord> = read(store, ENTRIES)?;
        let current = found.record.unwrap_or_default();
        let mut next = current.clone();
        change(&mut next.entries);
        if next == current {
            return Ok(current);
        }
        let buf = record::encode(&next);
        match swap(store, ENTRIES, found.version, &buf, None) {
            Ok(_) => return Ok(next),
            Err(StoreError::Conflict(_)) => {}
            Err(e) => return Err(e),
        }
    }
    Err(StoreError::Unavailable(
        "the entries keep changing".to_owned(),
    ))
}
