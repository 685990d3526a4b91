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
pub enum Done {
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
    pub fn carry_out(
        &self,
        kv: &dyn Kv,
        timeout: Duration,
    ) -> Result<Done, KvError> {
        match self {
            Self::Get { key } => kv.get(key, timeout).map(Done::Item),
            Self::List { prefix } => {
                kv.list(prefix, timeout).map(Done::Listing)
            }
            Self::Watch {
                prefix,
                after,
                wait,
            } => kv.watch(prefix, *after, *wait).map(Done::Changes),
            Self::Commit(txn) => kv.commit(txn, timeout).map(Done::Revision),
            Self::Grant { ttl } => kv.grant(*ttl, timeout).map(Done::Lease),
            Self::Renew(lease) => {
                kv.renew(*lease, timeout).map(|()| Done::Nothing)
            }
            Self::Revoke(lease) => {
                kv.revoke(*lease, timeout).map(|()| Done::Nothing)
            }
        }
    }
}
