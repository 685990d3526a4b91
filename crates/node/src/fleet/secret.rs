//! The secret by which all processes of a cell authenticate each other. The
//! first process that finds none in the store creates it.

use std::{thread, time::Duration};

use figrill_state::{
    batch::keys,
    kv::{Kv, KvError, Txn},
};
use figrill_transport::auth::Secret;
use rand::RngCore;

use super::{STORE_RETRY_DELAY, STORE_TIMEOUT};

/// Reads the shared secret, or creates it if there is none. Retries until the
/// store answers.
pub(super) fn load_or_create(kv: &dyn Kv) -> Secret {
    loop {
        match try_load_or_create(kv, STORE_TIMEOUT) {
            Ok(Some(secret)) => return secret,
            Ok(None) => {}
            Err(e) => log::warn!("failed to obtain the shared secret: {e}"),
        }
        thread::sleep(STORE_RETRY_DELAY);
    }
}

/// Makes one attempt. Returns `None` if the secret has to be read again. A
/// stored one that is invalid is replaced: no process can be using it.
fn try_load_or_create(
    kv: &dyn Kv,
    timeout: Duration,
) -> Result<Option<Secret>, KvError> {
    let existing = kv.get(keys::SECRET, timeout)?;
    if let Some(item) = &existing {
        let text = std::str::from_utf8(&item.value).ok();
        if let Some(secret) = text.and_then(Secret::parse) {
            return Ok(Some(secret));
        }
        log::warn!("replacing the shared secret in the store: it is invalid");
    }
    let revision = existing.map_or(0, |item| item.revision);
    let mut bytes = [0_u8; 32];
    rand::rng().fill_bytes(&mut bytes);
    let text = figrill_state::digest::of_bytes(&bytes);
    let txn = Txn::compare_and_swap(keys::SECRET, revision, text.into_bytes());
    match kv.commit(&txn, timeout) {
        // The next attempt reads the secret that was stored, because another
        // process may have created it first.
        Ok(_) | Err(KvError::Conflict(_)) => Ok(None),
        Err(e) => Err(e),
    }
}
