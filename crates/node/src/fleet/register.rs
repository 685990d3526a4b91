//! The agent's record in the store, from which the coordinator learns the
//! agent's address.

use std::{thread, time::Duration};

use figrill_state::{
    batch::keys,
    kv::{Kv, KvError, Txn},
};

use super::{STORE_RETRY_DELAY, STORE_TIMEOUT};

/// The interval at which an agent checks that its record is in the store.
const CHECK_INTERVAL: Duration = Duration::from_secs(20);

/// Keeps the agent's record in the store, and writes it again if it is missing
/// or holds another address. Never returns.
pub(super) fn keep_registered(kv: &dyn Kv, name: &str, address: &str) {
    loop {
        match write_address(kv, name, address) {
            Ok(()) => thread::sleep(CHECK_INTERVAL),
            Err(e) => {
                log::debug!("failed to store the address of this agent: {e}");
                thread::sleep(STORE_RETRY_DELAY);
            }
        }
    }
}

/// Writes the agent's address to its record, unless it is there already.
fn write_address(
    kv: &dyn Kv,
    name: &str,
    address: &str,
) -> Result<(), KvError> {
    let key = keys::agent(name);
    let existing = kv.get(&key, STORE_TIMEOUT)?;
    let revision = existing.as_ref().map_or(0, |item| item.revision);
    if existing.is_some_and(|item| item.value == address.as_bytes()) {
        return Ok(());
    }
    let txn =
        Txn::compare_and_swap(&key, revision, address.as_bytes().to_vec());
    kv.commit(&txn, STORE_TIMEOUT).map(|_| ())
}
