//! A client of the store that makes direct calls, or relays its calls through
//! another entry while the store is not available to this one.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use figrill_state::{
    clock::Clock,
    kv::{
        Changes, Item, Kv, KvError, LeaseId, Listing, Txn,
        call::{Call, CallResult},
    },
};

use super::Mesh;

/// The delay after a failed direct call before the store is called directly
/// again, while another entry can relay calls.
const DIRECT_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The time limit for a direct call that probes whether the store answers this
/// entry again.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// The maximum wait of a relayed watch. The relaying entry has few threads for
/// relayed calls, and a watch blocks one of them.
const MAX_RELAYED_WATCH_WAIT: Duration = Duration::from_millis(400);

/// The time beyond its wait after which a relayed watch counts as unanswered.
const RELAYED_WATCH_MARGIN: Duration = Duration::from_millis(500);

/// A client of the store that makes direct or relayed calls.
pub(in crate::fleet) struct RelayedKv {
    direct: Arc<dyn Kv>,
    mesh: Mesh,
    clock: Arc<dyn Clock>,
    /// The time of the last failure, if the store has not answered a direct
    /// call since.
    failed_at: Mutex<Option<Duration>>,
}

impl RelayedKv {
    pub(in crate::fleet) fn new(
        direct: Arc<dyn Kv>,
        mesh: Mesh,
        clock: Arc<dyn Clock>,
    ) -> Self {
        Self {
            direct,
            mesh,
            clock,
            failed_at: Mutex::default(),
        }
    }

    fn lock_failed_at(&self) -> std::sync::MutexGuard<'_, Option<Duration>> {
        self.failed_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether to call the store directly now. After a failure, this
    /// returns `true` to one thread per [`DIRECT_RETRY_DELAY`], which then
    /// probes the store.
    fn should_call_directly(&self) -> bool {
        let now = self.clock.now();
        let mut failed_at = self.lock_failed_at();
        match *failed_at {
            None => true,
            Some(at) if now >= at + DIRECT_RETRY_DELAY => {
                *failed_at = Some(now);
                true
            }
            Some(_) => false,
        }
    }

    /// Makes a direct call, and records whether the store was available.
    fn call_directly(
        &self,
        call: &Call,
        timeout: Duration,
    ) -> Result<CallResult, KvError> {
        let result = call.execute(&*self.direct, timeout);
        match &result {
            Err(e) if e.is_outage() => {
                *self.lock_failed_at() = Some(self.clock.now());
                self.mesh.set_reaches_store(false, &e.to_string());
            }
            _ => {
                *self.lock_failed_at() = None;
                self.mesh
                    .set_reaches_store(true, "the store answers direct calls");
            }
        }
        result
    }

    /// Makes a call directly if one is due, and relays it otherwise. A direct
    /// call that failed is relayed only if the store refused it, because then
    /// nothing was done. A direct call that was not answered may still take
    /// effect, so its error is returned. If no direct call is due and no entry
    /// can relay the call either, it is made directly after all.
    fn call(
        &self,
        call: &Call,
        timeout: Duration,
    ) -> Result<CallResult, KvError> {
        let was_available = self.lock_failed_at().is_none();
        let mut refused = None;
        if self.should_call_directly() {
            // A probe must leave time for the relayed call.
            let direct_timeout = if was_available {
                timeout
            } else {
                timeout.min(PROBE_TIMEOUT)
            };
            match self.call_directly(call, direct_timeout) {
                Err(KvError::Refused(why)) => {
                    refused = Some(KvError::Refused(why));
                }
                result => return result,
            }
        }
        match (self.call_by_relay(call, timeout), refused) {
            (Some(result), _) => result,
            (None, Some(refused)) => Err(refused),
            (None, None) => self.call_directly(call, timeout),
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
