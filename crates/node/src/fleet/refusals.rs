//! The items of the store that are refused because another writer has left
//! something else there than the records of figrill.

use std::{collections::BTreeMap, fmt::Display, net::SocketAddr};

use figrill_state::{event::Code, kv::Item};

use crate::metrics::Journal;

/// The maximum number of refused items that are remembered. Beyond it, they
/// are forgotten, and each may be recorded once more.
const MAX_REMEMBERED: usize = 4096;

/// Records each refused item once, however often it is read.
pub(super) struct Refusals {
    journal: Journal,
    /// The revisions of the items that were recorded, by key.
    recorded: BTreeMap<String, u64>,
}

impl Refusals {
    pub(super) const fn new(journal: Journal) -> Self {
        Self {
            journal,
            recorded: BTreeMap::new(),
        }
    }

    /// Records that an item is refused, unless that was recorded before.
    pub(super) fn refuse(&mut self, item: &Item, why: impl Display) {
        if self.recorded.get(&item.key) == Some(&item.revision) {
            return;
        }
        if self.recorded.len() >= MAX_REMEMBERED {
            self.recorded.clear();
        }
        self.recorded.insert(item.key.clone(), item.revision);
        let detail = format!("key={:?} why={why}", item.key);
        self.journal.record_event(Code::EntryRefused, detail);
    }
}

/// Decodes the address of a process. The error says what is wrong with it.
pub(super) fn decode_address(value: &[u8]) -> Result<String, &'static str> {
    let text = std::str::from_utf8(value).map_err(|_| "not UTF-8")?;
    let address: Option<SocketAddr> = text.parse().ok();
    match address {
        Some(address) if address.port() != 0 => Ok(text.to_owned()),
        _ => Err("not an IP address and a port"),
    }
}
