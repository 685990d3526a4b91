//! The store as this entry reaches it: directly, or through another entry
//! where the store turns this one away.

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

/// How long the store is not tried directly after it failed, while another
/// entry reaches it.
const DIRECT_AGAIN: Duration = Duration::from_secs(1);

/// How long a trial may take while the store seems to be away.
const TRIAL: Duration = Duration::from_millis(300);

/// The longest that a watch waits at another entry, which has few threads
/// for the calls of others.
const WATCH_BY_ANOTHER: Duration = Duration::from_millis(400);

/// Added to a watch's wait before it counts as unanswered.
const WATCH_MARGIN: Duration = Duration::from_millis(500);

/// The store by either way.
pub(in crate::fleet) struct RelayedKv {
    direct: Arc<dyn Kv>,
    mesh: Mesh,
    clock: Arc<dyn Clock>,
    /// When the store last failed this process, if it has not answered
    /// since.
    failed: Mutex<Option<Duration>>,
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
            failed: Mutex::default(),
        }
    }

    fn failed(&self) -> std::sync::MutexGuard<'_, Option<Duration>> {
        self.failed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the store may be tried directly now. Of all threads that ask
    /// after it failed, one is told so now and then.
    fn direct_is_due(&self) -> bool {
        let now = self.clock.now();
        let mut failed = self.failed();
        match *failed {
            None => true,
            Some(at) if now >= at + DIRECT_AGAIN => {
                *failed = Some(now);
                true
            }
            Some(_) => false,
        }
    }

    fn directly(
        &self,
        call: &Call,
        timeout: Duration,
    ) -> Result<CallResult, KvError> {
        let result = call.execute(&*self.direct, timeout);
        match &result {
            Err(e) if e.is_outage() => {
                *self.failed() = Some(self.clock.now());
                self.mesh.set_reaches_store(false, &e.to_string());
            }
            _ => {
                *self.failed() = None;
                self.mesh.set_reaches_store(true, "it answers");
            }
        }
        result
    }

    /// Makes a call directly where that works, else through another entry.
    /// What the store left open stays open: only a refusal, which says that
    /// nothing was done, is followed by the other way.
    fn call(
        &self,
        call: &Call,
        timeout: Duration,
    ) -> Result<CallResult, KvError> {
        let was_up = self.failed().is_none();
        let mut refused = None;
        if self.direct_is_due() {
            // A trial must not take the time that another entry needs.
            let first = if was_up { timeout } else { timeout.min(TRIAL) };
            match self.directly(call, first) {
                Err(KvError::Refused(why)) => {
                    refused = Some(KvError::Refused(why));
                }
                result => return result,
            }
        }
        match (self.by_another(call, timeout), refused) {
            (Some(result), _) => result,
            (None, Some(refused)) => Err(refused),
            (None, None) => self.directly(call, timeout),
        }
    }

    fn by_another(
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
            return self.mesh.call_by_another(call, timeout);
        };
        let wait = (*wait).min(WATCH_BY_ANOTHER);
        let call = Call::Watch {
            prefix: prefix.clone(),
            after: *after,
            wait,
        };
        self.mesh.call_by_another(&call, wait + WATCH_MARGIN)
    }
}

/// What a call brought is of the call's kind; anything else is no answer.
fn strange() -> KvError {
    KvError::Unanswered("an answer of another kind".to_owned())
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
            _ => Err(strange()),
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
            _ => Err(strange()),
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
            _ => Err(strange()),
        }
    }

    fn commit(&self, txn: &Txn, timeout: Duration) -> Result<u64, KvError> {
        match self.call(&Call::Commit(txn.clone()), timeout)? {
            CallResult::Revision(revision) => Ok(revision),
            _ => Err(strange()),
        }
    }

    fn grant(
        &self,
        ttl: Duration,
        timeout: Duration,
    ) -> Result<LeaseId, KvError> {
        match self.call(&Call::Grant { ttl }, timeout)? {
            CallResult::Lease(lease) => Ok(lease),
            _ => Err(strange()),
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
