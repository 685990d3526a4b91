//! The secret that all processes share: whoever comes first makes it.

use std::{thread, time::Duration};

use figrill_state::{
    batch::keys,
    kv::{Kv, KvError, Txn},
};
use figrill_transport::auth::Secret;
use rand::RngCore;

use super::{STORE_AGAIN, STORE_TIMEOUT};

/// Reads the secret, or makes it. Tries until the store answers.
pub(super) fn obtain(kv: &dyn Kv) -> Secret {
    loop {
        match try_obtain(kv, STORE_TIMEOUT) {
            Ok(Some(secret)) => return secret,
            Ok(None) => {}
            Err(e) => log::warn!("no shared secret yet: {e}"),
        }
        thread::sleep(STORE_AGAIN);
    }
}

fn try_obtain(
    kv: &dyn Kv,
    timeout: Duration,
) -> Result<Option<Secret>, KvError> {
    if let Some(item) = kv.get(keys::SECRET, timeout)? {
        let text = String::from_utf8_lossy(&item.value).into_owned();
        return Ok(Secret::parse(&text));
    }
    let mut bytes = [0_u8; 32];
    rand::rng().fill_bytes(&mut bytes);
    let text = figrill_state::digest::of_bytes(&bytes);
    let txn = Txn::compare_and_swap(keys::SECRET, 0, text.into_bytes());
    match kv.commit(&txn, timeout) {
        // Read back: another process may have been first.
        Ok(_) | Err(KvError::Conflict(_)) => Ok(None),
        Err(e) => Err(e),
    }
}
