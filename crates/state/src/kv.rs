//! The interface to the platform's store: keys with revisions, leases,
//! watches and atomic transactions.

use std::time::Duration;

use displaydoc::Display;

pub mod call;
pub mod memory;
mod txn;

pub use txn::{Txn, TxnBuilder, TxnError};

/// The identifier of a lease in the store.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct LeaseId(pub u64);

/// Whether a key is attached to a lease, with which it is removed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Attachment {
    /// Not known: another process has read the key.
    #[default]
    Unknown,
    /// The key is attached to no lease.
    None,
    /// The key is attached to this lease.
    Lease(LeaseId),
}

/// A key and its current value in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value's bytes.
    pub value: Vec<u8>,
    /// The store's revision when the key was last changed. Conditions use 0
    /// for a key that does not exist.
    pub revision: u64,
    /// The lease that the key is attached to.
    pub attachment: Attachment,
}

/// A change reported by a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// A key was written.
    Put(Item),
    /// A key was removed.
    Removed(String),
}

/// The result of a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Changes {
    /// The changes in order of revision; empty if the wait timed out.
    pub changes: Vec<Change>,
    /// The revision that the next watch should continue from.
    pub revision: u64,
}

/// All items whose keys start with a prefix.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Listing {
    /// The items in order of key. They are not an atomic snapshot: keys may
    /// have been read at different revisions.
    pub items: Vec<Item>,
    /// A watch that starts after this revision misses no change to the
    /// listed keys.
    pub revision: u64,
}

/// Why a store call failed.
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
    /// the store will never accept this call: {0}
    Rejected(String),
    /// the store did not answer; the call may take effect even now: {0}
    Unanswered(String),
}

impl std::error::Error for KvError {}

impl KvError {
    /// Returns whether the store was unavailable, as opposed to rejecting the
    /// call or reporting a conflict, a missing lease or a compacted history.
    #[must_use]
    pub const fn is_outage(&self) -> bool {
        matches!(self, Self::Refused(_) | Self::Unanswered(_))
    }
}

/// A client of the platform's store. Every call returns within `timeout`,
/// except that a listing of several pages may take that long for each page. A
/// watch returns within its `wait` plus a margin.
///
/// # Errors
///
/// Every method returns [`KvError::Refused`] or [`KvError::Unanswered`] if
/// the store is unavailable, and [`KvError::Rejected`] if it would answer the
/// same call in the same way at any time. Other errors are listed on the
/// method.
#[allow(clippy::missing_errors_doc)]
pub trait Kv: Send + Sync {
    /// Reads a key. The result is up to date, never a stale value.
    fn get(
        &self,
        key: &str,
        timeout: Duration,
    ) -> Result<Option<Item>, KvError>;

    /// Reads all keys that start with a prefix, with their values.
    fn list(
        &self,
        prefix: &str,
        timeout: Duration,
    ) -> Result<Listing, KvError>;

    /// Waits for changes after a revision to keys that start with a prefix.
    /// Also returns [`KvError::Compacted`].
    fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Changes, KvError>;

    /// Applies a transaction and returns the revision it created. Also
    /// returns [`KvError::Conflict`] and [`KvError::LeaseNotFound`].
    fn commit(&self, txn: &Txn, timeout: Duration) -> Result<u64, KvError>;

    /// Grants a lease that expires after `ttl` unless it is renewed.
    fn grant(
        &self,
        ttl: Duration,
        timeout: Duration,
    ) -> Result<LeaseId, KvError>;

    /// Renews a lease for its full TTL. Also returns
    /// [`KvError::LeaseNotFound`].
    fn renew(&self, lease: LeaseId, timeout: Duration) -> Result<(), KvError>;

    /// Revokes a lease and removes the keys attached to it. Succeeds if there
    /// is no such lease.
    fn revoke(&self, lease: LeaseId, timeout: Duration)
    -> Result<(), KvError>;
}
