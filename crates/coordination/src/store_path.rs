//! Whether an entry reaches the store itself, by the results of its direct
//! calls.
//!
//! Calls end in another order than they were sent. A watch that was sent
//! before an outage may be answered in it, and a call that was lost in an
//! outage may run out of time after its end. So a result counts only if no
//! call that was sent later has ended before.

use std::time::Duration;

/// The path of an entry to the store. It is taken to work until a call fails.
#[derive(Clone, Debug, Default)]
pub struct StorePath {
    /// When the call was sent whose result counts, if any has ended.
    decided_by: Option<Duration>,
    failed: bool,
}

impl StorePath {
    /// Creates a path that has not failed.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether the path works.
    #[must_use]
    pub const fn works(&self) -> bool {
        !self.failed
    }

    /// Records the result of a call that was sent at `sent_at`. Returns whether
    /// the path works now and did not before, or the other way around.
    pub fn record(&mut self, sent_at: Duration, answered: bool) -> bool {
        if self.decided_by.is_some_and(|at| sent_at < at) {
            return false;
        }
        self.decided_by = Some(sent_at);
        let changed = self.failed == answered;
        self.failed = !answered;
        changed
    }
}
