//! Transactions, and the limits that the store sets them.

use displaydoc::Display;

use super::{KvError, LeaseId};

/// A transaction: a write that is applied atomically or not at all.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Txn {
    /// Keys and the revision that each must have; 0 means that the key must
    /// not exist.
    pub conditions: Vec<(String, u64)>,
    /// Keys and values to write, each with the lease it is attached to, if
    /// any.
    pub puts: Vec<(String, Vec<u8>, Option<LeaseId>)>,
    /// Keys to remove.
    pub removes: Vec<String>,
}

/// Why a transaction is beyond a limit of the store.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum TxnError {
    /// a transaction has at most 32 entries and 2 MiB of values
    Full,
    /// the value of {key} has {bytes} bytes, more than the store accepts
    ValueTooLarge {
        /// The key.
        key: String,
        /// The length of its value.
        bytes: usize,
    },
}

impl std::error::Error for TxnError {}

impl From<TxnError> for KvError {
    fn from(e: TxnError) -> Self {
        Self::Rejected(e.to_string())
    }
}

impl Txn {
    /// The maximum number of conditions, puts and removals in a transaction.
    pub const MAX_ENTRIES: usize = 32;

    /// The maximum length of a value in bytes.
    pub const MAX_VALUE_BYTES: usize = 1 << 20;

    /// The maximum length of all values together, in bytes. A transaction has
    /// to fit into a frame when another entry relays it.
    pub const MAX_BYTES: usize = 2 << 20;

    /// Returns a transaction that writes one key on the condition that it
    /// has `revision`; 0 means that the key must not exist.
    #[must_use]
    pub fn compare_and_swap(key: &str, revision: u64, value: Vec<u8>) -> Self {
        Self {
            conditions: vec![(key.to_owned(), revision)],
            puts: vec![(key.to_owned(), value, None)],
            removes: Vec::new(),
        }
    }

    /// Returns the number of conditions, puts and removals.
    #[must_use]
    pub const fn entries(&self) -> usize {
        self.conditions.len() + self.puts.len() + self.removes.len()
    }

    /// Returns the length of all values together, in bytes.
    fn bytes(&self) -> usize {
        self.puts.iter().map(|(_, value, _)| value.len()).sum()
    }

    /// Checks the limits of the store.
    ///
    /// # Errors
    ///
    /// Returns the first limit that the transaction exceeds.
    pub fn check(&self) -> Result<(), TxnError> {
        if self.entries() > Self::MAX_ENTRIES || self.bytes() > Self::MAX_BYTES
        {
            return Err(TxnError::Full);
        }
        let mut puts = self.puts.iter();
        puts.try_for_each(|(key, value, _)| check_value(key, value))
    }
}

fn check_value(key: &str, value: &[u8]) -> Result<(), TxnError> {
    if value.len() <= Txn::MAX_VALUE_BYTES {
        return Ok(());
    }
    Err(TxnError::ValueTooLarge {
        key: key.to_owned(),
        bytes: value.len(),
    })
}

/// Builds a transaction that stays within the limits of the store. An entry
/// that would exceed one is refused and changes nothing.
#[derive(Debug, Default)]
pub struct TxnBuilder {
    txn: Txn,
    /// The length of all values so far, in bytes.
    bytes: usize,
    /// Entries that the caller adds to the finished transaction.
    reserved: usize,
}

impl TxnBuilder {
    /// Returns a builder that leaves room for `reserved` further entries.
    #[must_use]
    pub fn with_reserved(reserved: usize) -> Self {
        Self {
            reserved,
            ..Self::default()
        }
    }

    fn check_room(&self, entries: usize) -> Result<(), TxnError> {
        let total = self.txn.entries() + self.reserved + entries;
        if total > Txn::MAX_ENTRIES {
            return Err(TxnError::Full);
        }
        Ok(())
    }

    /// Adds the condition that a key has a revision; 0 means that it must not
    /// exist.
    ///
    /// # Errors
    ///
    /// Returns [`TxnError::Full`] if there is no room.
    pub fn condition(
        &mut self,
        key: impl Into<String>,
        revision: u64,
    ) -> Result<(), TxnError> {
        self.check_room(1)?;
        self.txn.conditions.push((key.into(), revision));
        Ok(())
    }

    /// Adds a key to write.
    ///
    /// # Errors
    ///
    /// Returns any [`TxnError`].
    pub fn put(
        &mut self,
        key: impl Into<String>,
        value: Vec<u8>,
    ) -> Result<(), TxnError> {
        let key = key.into();
        check_value(&key, &value)?;
        self.check_room(1)?;
        let bytes = self.bytes + value.len();
        if bytes > Txn::MAX_BYTES {
            return Err(TxnError::Full);
        }
        self.bytes = bytes;
        self.txn.puts.push((key, value, None));
        Ok(())
    }

    /// Adds keys to remove, all or none of them.
    ///
    /// # Errors
    ///
    /// Returns [`TxnError::Full`] if there is no room for all.
    pub fn remove<const N: usize>(
        &mut self,
        keys: [String; N],
    ) -> Result<(), TxnError> {
        self.check_room(N)?;
        self.txn.removes.extend(keys);
        Ok(())
    }

    /// Returns the transaction.
    #[must_use]
    pub fn build(self) -> Txn {
        self.txn
    }
}
