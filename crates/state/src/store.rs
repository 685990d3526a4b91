//! The platform's key-value service as figrill sees it.

use std::time::Duration;

use displaydoc::Display;

pub mod memory;

/// The most bytes in one value.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// A value with the version that its last write gave it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Versioned {
    /// Rises with each write of the key; the first is 1.
    pub version: u64,
    /// The bytes.
    pub value: Vec<u8>,
}

/// Names a lease of the store.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct LeaseId(pub u64);

/// Why a call failed.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum StoreError {
    /// the version is not the one expected
    Conflict(Option<Versioned>),
    /// the store did not answer: {0}
    Unavailable(String),
    /// the lease is gone
    LeaseGone,
    /// the value is over the limit
    TooLarge,
}

impl std::error::Error for StoreError {}

/// Compare-and-swap, leases and watches.
///
/// After [`StoreError::Unavailable`] a write may or may not have taken
/// effect; the caller settles it by reading.
pub trait Store: Send + Sync {
    /// Reads a key.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`].
    fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError>;

    /// Writes `value` if the key has `version` (0: does not exist). With a
    /// lease, the key goes away when the lease does.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`].
    fn swap(
        &self,
        key: &str,
        version: u64,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> Result<u64, StoreError>;

    /// Grants a lease of `ttl`.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`].
    fn grant(&self, ttl: Duration) -> Result<LeaseId, StoreError>;

    /// Renews a lease for its whole time.
    ///
    /// # Errors
    ///
    /// [`StoreError::LeaseGone`] or [`StoreError::Unavailable`].
    fn renew(&self, lease: LeaseId) -> Result<(), StoreError>;

    /// Gives a lease up, with its keys.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`].
    fn revoke(&self, lease: LeaseId) -> Result<(), StoreError>;

    /// Waits until the key's version differs from `version`, at most
    /// `wait`; then as [`Store::get`].
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`].
    fn watch(
        &self,
        key: &str,
        version: u64,
        wait: Duration,
    ) -> Result<Option<Versioned>, StoreError>;
}
