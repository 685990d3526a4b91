//! The outages of the store that an entry has seen, by the results of its
//! reads.
//!
//! The reads are made one after the other, with a watch between them. An outage
//! is measured from the time at which the first unanswered read was sent, so it
//! seems shorter than it is by up to the length of a watch.

use std::{collections::VecDeque, time::Duration};

/// The maximum number of past outages that are remembered. Older ones say
/// little about the next.
const MAX_REMEMBERED: usize = 8;

/// An outage that lasts, and the lengths of the last ones.
#[derive(Clone, Debug, Default)]
pub struct Outages {
    since: Option<Duration>,
    lengths: VecDeque<Duration>,
}

impl Outages {
    /// Creates a record without outages.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the result of a read that was sent at `sent_at`. Reads must be
    /// recorded in the order in which they were sent.
    pub fn record(&mut self, sent_at: Duration, answered: bool) {
        if !answered {
            self.since.get_or_insert(sent_at);
            return;
        }
        let Some(since) = self.since.take() else {
            return;
        };
        if self.lengths.len() == MAX_REMEMBERED {
            self.lengths.pop_front();
        }
        self.lengths.push_back(sent_at.saturating_sub(since));
    }

    /// Returns how long the present outage has lasted, if there is one.
    #[must_use]
    pub fn elapsed(&self, now: Duration) -> Option<Duration> {
        self.since.map(|since| now.saturating_sub(since))
    }

    /// Returns the lengths of the past outages, the oldest one first.
    pub fn lengths(&self) -> impl Iterator<Item = Duration> {
        self.lengths.iter().copied()
    }
}
