//! The calls of an agent to its upstream that are open: those that were not
//! answered, or not yet.
//!
//! An open call may still be executed, also by a later incarnation of the
//! upstream that nobody has called yet. That incarnation could execute an open
//! start and then an open acknowledgement: it would begin the run, and forget
//! its end before anybody has read that. So no acknowledgement that could
//! follow an open start is ever open:
//!
//! - While a start is open, nothing is acknowledged. Calls that renew a lease
//!   and acknowledge nothing are made all the same.
//! - While an acknowledgement is open, a start needs a higher fencing token.
//!   An incarnation that has executed the start then refuses the
//!   acknowledgement.

use std::time::Duration;

/// How long after its timeout a call that was not answered may still be
/// executed. The upstream's protocol says that this may take seconds.
pub const LATE_CALL_WINDOW: Duration = Duration::from_secs(12);

/// How long an acknowledgement may take before starts no longer wait for its
/// answer.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);

/// Whether a call may be made now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Permission {
    /// The call may be made, and its end has to be recorded.
    Granted,
    /// A call that is in flight has to end first.
    Wait,
    /// A call that was not answered bars it: an acknowledgement for as long as
    /// the start may be executed, a start for as long as its fencing token is
    /// below [`OpenCalls::required_token`].
    Refused,
}

/// An acknowledgement in flight.
#[derive(Clone, Copy, Debug)]
struct Acknowledgement {
    token: u64,
    made_at: Duration,
}

/// The open calls of one agent. They outlast the incarnations of its upstream.
#[derive(Clone, Debug, Default)]
pub struct OpenCalls {
    /// The number of starts in flight.
    starts: usize,
    /// Until when a start that was not answered may be executed.
    starts_open_until: Duration,
    acknowledgement: Option<Acknowledgement>,
    /// Whether an acknowledgement waits for the starts in flight. Further ones
    /// wait for it, because there may always be some.
    acknowledgement_waits: bool,
    /// The lowest fencing token above those of all acknowledgements that were
    /// not answered; 0 if there were none.
    required_token: u64,
}

impl OpenCalls {
    /// Begins a start with a fencing token, with all its attempts, if it may be
    /// made now.
    pub fn begin_start(&mut self, now: Duration, token: u64) -> Permission {
        if token < self.required_token(now) {
            return Permission::Refused;
        }
        let is_barred = |a: &Acknowledgement| token <= a.token;
        if self.acknowledgement.as_ref().is_some_and(is_barred)
            || self.acknowledgement_waits
        {
            return Permission::Wait;
        }
        self.starts += 1;
        Permission::Granted
    }

    /// Records the end of a start, and whether all its attempts were answered.
    pub fn end_start(&mut self, now: Duration, answered: bool) {
        self.starts = self.starts.saturating_sub(1);
        if !answered {
            self.starts_open_until = now + LATE_CALL_WINDOW;
        }
    }

    /// Begins an acknowledgement with a fencing token if it may be made now.
    /// Starts wait until it was made if this returns [`Permission::Wait`].
    pub fn begin_acknowledgement(
        &mut self,
        now: Duration,
        token: u64,
    ) -> Permission {
        let is_refused = now < self.starts_open_until;
        self.acknowledgement_waits = !is_refused && self.starts > 0;
        if is_refused {
            return Permission::Refused;
        }
        if self.acknowledgement_waits {
            return Permission::Wait;
        }
        self.acknowledgement = Some(Acknowledgement {
            token,
            made_at: now,
        });
        Permission::Granted
    }

    /// Returns whether no start bars an acknowledgement now.
    #[must_use]
    pub fn may_acknowledge(&self, now: Duration) -> bool {
        now >= self.starts_open_until && self.starts == 0
    }

    /// Records the end of an acknowledgement, and whether it was answered.
    pub fn end_acknowledgement(&mut self, answered: bool) {
        if let Some(ended) = self.acknowledgement.take()
            && !answered
        {
            self.record_unanswered(ended.token);
        }
    }

    /// Records that an acknowledgement with a fencing token may be open.
    pub fn record_unanswered(&mut self, token: u64) {
        self.required_token = self.required_token.max(token + 1);
    }

    /// Records that nothing has to be acknowledged at present.
    pub fn withdraw_acknowledgement(&mut self) {
        self.acknowledgement_waits = false;
    }

    /// Returns the lowest fencing token with which a start may be made.
    #[must_use]
    pub fn required_token(&self, now: Duration) -> u64 {
        let is_slow = |a: &Acknowledgement| now >= a.made_at + ANSWER_TIMEOUT;
        let slow = self.acknowledgement.filter(is_slow);
        slow.map_or(0, |a| a.token + 1).max(self.required_token)
    }
}
