//! How the coordinator learns of an agent: its address stands in the store.

use std::{thread, time::Duration};

use figrill_state::{
    batch::keys,
    kv::{Kv, KvError, Txn},
};

use super::{STORE_AGAIN, STORE_TIMEOUT};

/// Time between two looks at the own record.
const LOOK: Duration = Duration::from_secs(20);

/// Keeps the address of this agent in the store, for good.
pub(super) fn keep(kv: &dyn Kv, name: &str, address: &str) {
    loop {
        match put(kv, name, address) {
            Ok(()) => thread::sleep(LOOK),
            Err(e) => {
                log::debug!("this agent's address is not stored: {e}");
                thread::sleep(STORE_AGAIN);
            }
        }
    }
}

fn put(kv: &dyn Kv, name: &str, address: &str) -> Result<(), KvError> {
    let key = keys::agent(name);
    let known = kv.get(&key, STORE_TIMEOUT)?;
    let revision = known.as_ref().map_or(0, |item| item.revision);
    if known.is_some_and(|item| item.value == address.as_bytes()) {
        return Ok(());
    }
    let txn =
        Txn::compare_and_swap(&key, revision, address.as_bytes().to_vec());
    kv.commit(&txn, STORE_TIMEOUT).map(|_| ())
}
