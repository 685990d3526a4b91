//! The wire types of the messages between entries: calls of the store that
//! one entry makes on behalf of another.

use std::time::Duration;

use bincode::{Decode, Encode};
use figrill_state::kv::{self, Attachment, KvError, LeaseId, call};

use super::millis;

/// A key, its value and its revision. The lease that the key is attached to is
/// left out.
#[derive(Encode, Decode)]
pub struct Item(String, Vec<u8>, u64);

impl From<kv::Item> for Item {
    fn from(v: kv::Item) -> Self {
        Self(v.key, v.value, v.revision)
    }
}

impl From<Item> for kv::Item {
    fn from(w: Item) -> Self {
        Self {
            key: w.0,
            value: w.1,
            revision: w.2,
            attachment: Attachment::Unknown,
        }
    }
}

#[derive(Encode, Decode)]
pub enum Change {
    Put(Item),
    Removed(String),
}

impl From<kv::Change> for Change {
    fn from(v: kv::Change) -> Self {
        match v {
            kv::Change::Put(item) => Self::Put(item.into()),
            kv::Change::Removed(key) => Self::Removed(key),
        }
    }
}

impl From<Change> for kv::Change {
    fn from(w: Change) -> Self {
        match w {
            Change::Put(item) => Self::Put(item.into()),
            Change::Removed(key) => Self::Removed(key),
        }
    }
}

#[derive(Encode, Decode)]
pub struct Txn {
    conditions: Vec<(String, u64)>,
    puts: Vec<(String, Vec<u8>, Option<u64>)>,
    removes: Vec<String>,
}

impl From<kv::Txn> for Txn {
    fn from(v: kv::Txn) -> Self {
        let puts = v.puts.into_iter();
        let puts = puts.map(|(key, value, lease)| {
            (key, value, lease.map(|lease| lease.0))
        });
        Self {
            conditions: v.conditions,
            puts: puts.collect(),
            removes: v.removes,
        }
    }
}

impl From<Txn> for kv::Txn {
    fn from(w: Txn) -> Self {
        let puts = w.puts.into_iter();
        let puts =
            puts.map(|(key, value, lease)| (key, value, lease.map(LeaseId)));
        Self {
            conditions: w.conditions,
            puts: puts.collect(),
            removes: w.removes,
        }
    }
}

#[derive(Encode, Decode)]
pub enum Call {
    Get(String),
    List(String),
    Watch {
        prefix: String,
        after: u64,
        wait_ms: u64,
    },
    Commit(Txn),
    Grant {
        ttl_ms: u64,
    },
    Renew(u64),
    Revoke(u64),
}

impl From<call::Call> for Call {
    fn from(v: call::Call) -> Self {
        match v {
            call::Call::Get { key } => Self::Get(key),
            call::Call::List { prefix } => Self::List(prefix),
            call::Call::Watch {
                prefix,
                after,
                wait,
            } => Self::Watch {
                prefix,
                after,
                wait_ms: millis(wait),
            },
            call::Call::Commit(txn) => Self::Commit(txn.into()),
            call::Call::Grant { ttl } => Self::Grant {
                ttl_ms: millis(ttl),
            },
            call::Call::Renew(lease) => Self::Renew(lease.0),
            call::Call::Revoke(lease) => Self::Revoke(lease.0),
        }
    }
}

impl From<Call> for call::Call {
    fn from(w: Call) -> Self {
        match w {
            Call::Get(key) => Self::Get { key },
            Call::List(prefix) => Self::List { prefix },
            Call::Watch {
                prefix,
                after,
                wait_ms,
            } => Self::Watch {
                prefix,
                after,
                wait: Duration::from_millis(wait_ms),
            },
            Call::Commit(txn) => Self::Commit(txn.into()),
            Call::Grant { ttl_ms } => Self::Grant {
                ttl: Duration::from_millis(ttl_ms),
            },
            Call::Renew(lease) => Self::Renew(LeaseId(lease)),
            Call::Revoke(lease) => Self::Revoke(LeaseId(lease)),
        }
    }
}

/// The result of a call: a [`call::CallResult`] or, from `Conflict` on, a
/// [`KvError`]. The number beside a list is the revision from which a watch
/// continues.
#[derive(Encode, Decode)]
pub enum StoreResult {
    Item(Option<Item>),
    Listing(Vec<Item>, u64),
    Changes(Vec<Change>, u64),
    Revision(u64),
    Lease(u64),
    Nothing,
    Conflict(Vec<Item>),
    LeaseNotFound,
    Compacted,
    Refused(String),
    Unanswered(String),
    Rejected(String),
}

fn convert_all<W, T: From<W>>(list: Vec<W>) -> Vec<T> {
    list.into_iter().map(T::from).collect()
}

impl From<Result<call::CallResult, KvError>> for StoreResult {
    fn from(v: Result<call::CallResult, KvError>) -> Self {
        match v {
            Ok(call::CallResult::Item(item)) => {
                Self::Item(item.map(Into::into))
            }
            Ok(call::CallResult::Listing(listing)) => {
                Self::Listing(convert_all(listing.items), listing.revision)
            }
            Ok(call::CallResult::Changes(changes)) => {
                Self::Changes(convert_all(changes.changes), changes.revision)
            }
            Ok(call::CallResult::Revision(revision)) => {
                Self::Revision(revision)
            }
            Ok(call::CallResult::Lease(lease)) => Self::Lease(lease.0),
            Ok(call::CallResult::Nothing) => Self::Nothing,
            Err(KvError::Conflict(items)) => {
                Self::Conflict(convert_all(items))
            }
            Err(KvError::LeaseNotFound) => Self::LeaseNotFound,
            Err(KvError::Compacted) => Self::Compacted,
            Err(KvError::Refused(reason)) => Self::Refused(reason),
            Err(KvError::Unanswered(reason)) => Self::Unanswered(reason),
            Err(KvError::Rejected(reason)) => Self::Rejected(reason),
        }
    }
}

impl From<StoreResult> for Result<call::CallResult, KvError> {
    fn from(w: StoreResult) -> Self {
        match w {
            StoreResult::Item(item) => {
                Ok(call::CallResult::Item(item.map(Into::into)))
            }
            StoreResult::Listing(items, revision) => {
                Ok(call::CallResult::Listing(kv::Listing {
                    items: convert_all(items),
                    revision,
                }))
            }
            StoreResult::Changes(changes, revision) => {
                Ok(call::CallResult::Changes(kv::Changes {
                    changes: convert_all(changes),
                    revision,
                }))
            }
            StoreResult::Revision(revision) => {
                Ok(call::CallResult::Revision(revision))
            }
            StoreResult::Lease(lease) => {
                Ok(call::CallResult::Lease(LeaseId(lease)))
            }
            StoreResult::Nothing => Ok(call::CallResult::Nothing),
            StoreResult::Conflict(items) => {
                Err(KvError::Conflict(convert_all(items)))
            }
            StoreResult::LeaseNotFound => Err(KvError::LeaseNotFound),
            StoreResult::Compacted => Err(KvError::Compacted),
            StoreResult::Refused(reason) => Err(KvError::Refused(reason)),
            StoreResult::Unanswered(reason) => {
                Err(KvError::Unanswered(reason))
            }
            StoreResult::Rejected(reason) => Err(KvError::Rejected(reason)),
        }
    }
}
