//! Discovers the entries by polling their list in the platform's store. This
//! has its own thread because calls to the store block.

use std::{io, sync::Arc, thread, time::Duration};

use crossbeam::channel::Sender;
use figrill_state::{
    kv::Kv,
    ledger,
    record::{ENTRIES, EntriesRecord},
};

use super::duty::Command;

/// The mean interval between reads of the list. Entries send every change to
/// their agents at once; polling is for an agent that has lost contact with
/// all entries, and for the removal of entries from the list.
const POLL_INTERVAL: Duration = Duration::from_secs(10);

/// The mean interval between reads while the list is unknown or empty.
const INITIAL_POLL_INTERVAL: Duration = Duration::from_millis(300);

/// Starts the thread. It ends when the event loop has ended.
pub(super) fn start(
    store: Arc<dyn Kv>,
    commands: Sender<Command>,
) -> io::Result<()> {
    crate::config::spawn_detached("discover", move || {
        let mut entries_known = false;
        loop {
            let result: Result<ledger::Versioned<EntriesRecord>, _> =
                ledger::read(store.as_ref(), ENTRIES);
            if let Ok(ledger::Versioned {
                record: Some(entries),
                ..
            }) = result
            {
                entries_known = !entries.entries.is_empty();
                if commands.send(Command::EntriesRead(entries)).is_err() {
                    return;
                }
            }
            let interval = if entries_known {
                POLL_INTERVAL
            } else {
                INITIAL_POLL_INTERVAL
            };
            // Jitter keeps agents that were started together from calling
            // the store together.
            let jitter = 0.5 + rand::random::<f64>();
            thread::sleep(interval.mul_f64(jitter));
        }
    })
}
