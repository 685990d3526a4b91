//! The platform's store as figrill sees it: keys with revisions, leases,
//! watches, and transactions that apply as a whole or not at all.

use std::time::Duration;

use displaydoc::Display;

pub mod call;
pub mod memory;

/// Names a lease of the store.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct LeaseId(pub u64);

/// A value as it stands in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    /// Its key.
    pub key: String,
    /// Its bytes.
    pub value: Vec<u8>,
    /// The store's revision at its last change; a key that does not exist
    /// counts as 0.
    pub revision: u64,
}

/// A change that a watch saw.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// A key was written.
    Put(Item),
    /// A key was removed.
    Removed(String),
}

/// What a watch brings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Changes {
    /// In the order of their revisions; empty if the wait ran out.
    pub changes: Vec<Change>,
    /// Where the next watch continues.
    pub revision: u64,
}

/// All keys under a prefix.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Listing {
    /// In the order of their keys; not a snapshot.
    pub items: Vec<Item>,
    /// A watch from here on misses no change.
    pub revision: u64,
}

/// A write that applies as a whole or not at all.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Txn {
    /// Keys with the revision that each must have; 0: must not exist.
    pub conditions: Vec<(String, u64)>,
    /// Keys to write, some under a lease.
    pub puts: Vec<(String, Vec<u8>, Option<LeaseId>)>,
    /// Keys to remove.
    pub removes: Vec<String>,
}

impl Txn {
    /// A write of one key that must have `revision` (0: must not exist).
    #[must_use]
    pub fn compare_and_swap(key: &str, revision: u64, value: Vec<u8>) -> Self {
        Self {
            conditions: vec![(key.to_owned(), revision)],
            puts: vec![(key.to_owned(), value, None)],
            removes: Vec::new(),
        }
    }
}

/// Why a call failed.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum KvError {
    /// a condition did not hold
    Conflict(Vec<Item>),
    /// there is no such lease
    LeaseNotFound,
    /// the history that the watch asked for is gone
    Compacted,
    /// the store refused, and nothing was done: {0}
    Refused(String),
    /// the store did not answer; the call may take effect even now: {0}
    Unanswered(String),
}

impl std::error::Error for KvError {}

impl KvError {
    /// Whether the store could not be used, as against an answer of its own.
    #[must_use]
    pub const fn is_outage(&self) -> bool {
        matches!(self, Self::Refused(_) | Self::Unanswered(_))
    }
}

/// The platform's store. Every call ends within `timeout` (a watch within
/// its wait and a margin).
///
/// # Errors
///
/// Every method returns [`KvError::Refused`] or [`KvError::Unanswered`] if
/// the store can't be used, and the errors named by it otherwise.
#[allow(clippy::missing_errors_doc)]
pub trait Kv: Send + Sync {
    /// Reads a key; what it returns is up to date.
    fn get(
        &self,
        key: &str,
        timeout: Duration,
    ) -> Result<Option<Item>, KvError>;

    /// Reads all keys under a prefix.
    fn list(
        &self,
        prefix: &str,
        timeout: Duration,
    ) -> Result<Listing, KvError>;

    /// Waits for a change under a prefix after a revision. Also returns
    /// [`KvError::Compacted`].
    fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Changes, KvError>;

    /// Applies a transaction and returns its revision. Also returns
    /// [`KvError::Conflict`] and [`KvError::LeaseNotFound`].
    fn commit(&self, txn: &Txn, timeout: Duration) -> Result<u64, KvError>;

    /// Grants a lease of `ttl`.
    fn grant(
        &self,
        ttl: Duration,
        timeout: Duration,
    ) -> Result<LeaseId, KvError>;

    /// Renews a lease for its whole time. Also returns
    /// [`KvError::LeaseNotFound`].
    fn renew(&self, lease: LeaseId, timeout: Duration) -> Result<(), KvError>;

    /// Ends a lease and removes its keys.
    fn revoke(&self, lease: LeaseId, timeout: Duration)
    -> Result<(), KvError>;
}
