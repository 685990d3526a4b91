//! Store calls as values, so that they can be sent to another process, which
//! executes them on behalf of the sender.

use std::time::Duration;

use super::{Changes, Item, Kv, KvError, LeaseId, Listing, Txn};

/// A call to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Call {
    /// [`Kv::get`].
    Get {
        /// The key to read.
        key: String,
    },
    /// [`Kv::list`].
    List {
        /// The prefix of the keys to read.
        prefix: String,
    },
    /// [`Kv::watch`].
    Watch {
        /// The prefix of the keys to watch.
        prefix: String,
        /// Only changes after this revision are returned.
        after: u64,
        /// The longest time to wait for a change.
        wait: Duration,
    },
    /// [`Kv::commit`].
    Commit(Txn),
    /// [`Kv::grant`].
    Grant {
        /// How long the lease lasts without renewal.
        ttl: Duration,
    },
    /// [`Kv::renew`].
    Renew(LeaseId),
    /// [`Kv::revoke`].
    Revoke(LeaseId),
}

/// The result of a call that succeeded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallResult {
    /// The result of [`Call::Get`].
    Item(Option<Item>),
    /// The result of [`Call::List`].
    Listing(Listing),
    /// The result of [`Call::Watch`].
    Changes(Changes),
    /// The result of [`Call::Commit`].
    Revision(u64),
    /// The result of [`Call::Grant`].
    Lease(LeaseId),
    /// The result of [`Call::Renew`] and [`Call::Revoke`].
    Nothing,
}

impl Call {
    /// Makes the call through `kv`. A watch ignores `timeout` and takes the
    /// time limit from its own `wait`.
    ///
    /// # Errors
    ///
    /// Returns the error of the corresponding [`Kv`] method.
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
