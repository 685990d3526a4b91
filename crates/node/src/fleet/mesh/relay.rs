//! A client of the store that makes direct calls, or relays its calls through
//! another entry while the store is not available to this one.

use std::{sync::Arc, time::Duration};

use figrill_state::kv::{
    Changes, Item, Kv, KvError, LeaseId, Listing, Txn,
    call::{Call, CallResult},
};

use super::Mesh;

/// The maximum wait of a relayed watch. The relaying entry has few threads for
/// relayed calls, and a watch blocks one of them.
const MAX_RELAYED_WATCH_WAIT: Duration = Duration::from_millis(400);

/// The time beyond its wait after which a relayed watch counts as unanswered.
const RELAYED_WATCH_MARGIN: Duration = Duration::from_millis(500);

/// A client of the store that makes direct or relayed calls.
pub(in crate::fleet) struct RelayedKv {
    direct: Arc<dyn Kv>,
    mesh: Mesh,
}

impl RelayedKv {
    pub(in crate::fleet) fn new(direct: Arc<dyn Kv>, mesh: Mesh) -> Self {
        Self { direct, mesh }
    }

    fn call_directly(
        &self,
        call: &Call,
        timeout: Duration,
    ) -> Result<CallResult, KvError> {
        self.mesh.call_directly(&*self.direct, call, timeout)
    }

    /// Makes a call directly while the store answers direct calls, and relays
    /// it otherwise. A direct call that failed is relayed only if the store
    /// refused it, because then nothing was done. A direct call that was not
    /// answered may still take effect, so its error is returned. If no entry
    /// can relay a call, it is made directly after all.
    fn call(
        &self,
        call: &Call,
        timeout: Duration,
    ) -> Result<CallResult, KvError> {
        if !self.mesh.reaches_store() {
            let relayed = self.call_by_relay(call, timeout);
            return relayed
                .unwrap_or_else(|| self.call_directly(call, timeout));
        }
        match self.call_directly(call, timeout) {
            Err(KvError::Refused(why)) => self
                .call_by_relay(call, timeout)
                .unwrap_or(Err(KvError::Refused(why))),
            result => result,
        }
    }

    /// Relays a call through another entry. Returns `None` if none can relay
    /// it.
    fn call_by_relay(
        &self,
        call: &Call,
        timeout: Duration,
    ) -> Option<Result<CallResult, KvError>> {
        let Call::Watch {
            prefix,
            after,
            wait,
        } = call
        else {
            return self.mesh.relay_call(call, timeout);
        };
        let wait = (*wait).min(MAX_RELAYED_WATCH_WAIT);
        let call = Call::Watch {
            prefix: prefix.clone(),
            after: *after,
            wait,
        };
        self.mesh.relay_call(&call, wait + RELAYED_WATCH_MARGIN)
    }
}

/// Returns the error for a result that is not of the kind of the call, such as
/// a lease for a read. Whether the call took effect is unknown then.
fn mismatched_answer() -> KvError {
    KvError::Unanswered("the answer does not match the call".to_owned())
}

impl Kv for RelayedKv {
    fn get(
        &self,
        key: &str,
        timeout: Duration,
    ) -> Result<Option<Item>, KvError> {
        let key = key.to_owned();
        match self.call(&Call::Get { key }, timeout)? {
            CallResult::Item(item) => Ok(item),
            _ => Err(mismatched_answer()),
        }
    }

    fn list(
        &self,
        prefix: &str,
        timeout: Duration,
    ) -> Result<Listing, KvError> {
        let prefix = prefix.to_owned();
        match self.call(&Call::List { prefix }, timeout)? {
            CallResult::Listing(listing) => Ok(listing),
            _ => Err(mismatched_answer()),
        }
    }

    fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Changes, KvError> {
        let call = Call::Watch {
            prefix: prefix.to_owned(),
            after,
            wait,
        };
        match self.call(&call, wait)? {
            CallResult::Changes(changes) => Ok(changes),
            _ => Err(mismatched_answer()),
        }
    }

    fn commit(&self, txn: &Txn, timeout: Duration) -> Result<u64, KvError> {
        match self.call(&Call::Commit(txn.clone()), timeout)? {
            CallResult::Revision(revision) => Ok(revision),
            _ => Err(mismatched_answer()),
        }
    }

    fn grant(
        &self,
        ttl: Duration,
        timeout: Duration,
    ) -> Result<LeaseId, KvError> {
        match self.call(&Call::Grant { ttl }, timeout)? {
            CallResult::Lease(lease) => Ok(lease),
            _ => Err(mismatched_answer()),
        }
    }

    fn renew(&self, lease: LeaseId, timeout: Duration) -> Result<(), KvError> {
        self.call(&Call::Renew(lease), timeout).map(|_| ())
    }

    fn revoke(
        &self,
        lease: LeaseId,
        timeout: Duration,
    ) -> Result<(), KvError> {
        self.call(&Call::Revoke(lease), timeout).map(|_| ())
    }
}
