//! Finds the entries: from the platform's store, whenever it answers.

use std::{io, sync::Arc, thread, time::Duration};

use crossbeam::channel::Sender;
use figrill_state::{
    kv::Kv,
    ledger,
    record::{ENTRIES, EntriesRecord},
};

use super::duty::Command;

/// Time between two looks. Entries tell their agents of changes at once;
/// this is for an agent that has lost them all.
const LOOK_EVERY: Duration = Duration::from_secs(10);

/// Time between two looks until the first answer.
const LOOK_FIRST: Duration = Duration::from_millis(300);

/// Starts the thread; it ends with its ring.
pub(super) fn start(
    store: Arc<dyn Kv>,
    commands: Sender<Command>,
) -> io::Result<()> {
    crate::config::spawn_detached("discover", move || {
        let mut found_any = false;
        loop {
            let found: Result<ledger::Versioned<EntriesRecord>, _> =
                ledger::read(store.as_ref(), ENTRIES);
            if let Ok(ledger::Versioned {
                record: Some(entries),
                ..
            }) = found
            {
                found_any = !entries.entries.is_empty();
                if commands.send(Command::Entries(entries)).is_err() {
                    return;
                }
            }
            let every = if found_any { LOOK_EVERY } else { LOOK_FIRST };
            // Agents that start together do not ask together.
            let jitter = 0.5 + rand::random::<f64>();
            thread::sleep(every.mul_f64(jitter));
        }
    })
}
