//! A call of the store as a value, so that one process can make it in the
//! place of another.

use std::time::Duration;

use super::{Changes, Item, Kv, KvError, LeaseId, Listing, Txn};

/// A call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Call {
    /// [`Kv::get`].
    Get {
        /// The key.
        key: String,
    },
    /// [`Kv::list`].
    List {
        /// What the keys begin with.
        prefix: String,
    },
    /// [`Kv::watch`].
    Watch {
        /// What the keys begin with.
        prefix: String,
        /// The revision to continue from.
        after: u64,
        /// The longest wait.
        wait: Duration,
    },
    /// [`Kv::commit`].
    Commit(Txn),
    /// [`Kv::grant`].
    Grant {
        /// How long the lease runs.
        ttl: Duration,
    },
    /// [`Kv::renew`].
    Renew(LeaseId),
    /// [`Kv::revoke`].
    Revoke(LeaseId),
}

/// What a call that was carried out brought.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallResult {
    /// Of [`Call::Get`].
    Item(Option<Item>),
    /// Of [`Call::List`].
    Listing(Listing),
    /// Of [`Call::Watch`].
    Changes(Changes),
    /// Of [`Call::Commit`].
    Revision(u64),
    /// Of [`Call::Grant`].
    Lease(LeaseId),
    /// Of [`Call::Renew`] and [`Call::Revoke`].
    Nothing,
}

impl Call {
    /// Makes the call.
    ///
    /// # Errors
    ///
    /// What the store's method returns.
    pub fn execute(
        &self,
        kv: &dyn Kv,
        timeout: Duration,
    ) -> Result<CallResult, KvError> {
        match self {
            Self::Get { key } => kv.get(key, timeout).map(CallResult::Item),
            Self::List { prefix } => {
                kv.list(prefix, timeout).map(CallResult::Listing)
            }
            Self::Watch {
                prefix,
                after,
                wait,
            } => kv.watch(prefix, *after, *wait).map(CallResult::Changes),
            Self::Commit(txn) => {
                kv.commit(txn, timeout).map(CallResult::Revision)
            }
            Self::Grant { ttl } => {
                kv.grant(*ttl, timeout).map(CallResult::Lease)
            }
            Self::Renew(lease) => {
                kv.renew(*lease, timeout).map(|()| CallResult::Nothing)
            }
            Self::Revoke(lease) => {
                kv.revoke(*lease, timeout).map(|()| CallResult::Nothing)
            }
        }
    }
}
