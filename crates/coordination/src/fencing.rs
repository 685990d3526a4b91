//! The fencing token with which an agent calls its upstream.
//!
//! Calls name an upstream by an id that outlives it, so an upstream that is
//! back under its old id executes calls that were meant for its former
//! incarnation, until it has seen a higher token than theirs. The coordinator
//! gives each incarnation such a token, but it may learn of one late. So an
//! agent registers an upstream only after that has answered a call with a token
//! with which no other one was called. It reports the token that it uses, and
//! the coordinator gives its next orders one that is not lower.

use figrill_state::batch::Incarnation;

/// The fencing token of an agent's calls to its upstream.
#[derive(Clone, Debug, Default)]
pub struct AgentFence {
    token: u64,
    /// The incarnation that calls with the token are meant for.
    used_for: Option<Incarnation>,
}

impl AgentFence {
    /// Returns the token of calls to the registered upstream; 0 if none is
    /// known yet.
    #[must_use]
    pub fn token(&self) -> u64 {
        self.token
    }

    /// Records the token of a coordinator's message, and for which incarnation
    /// calls with it are meant: the registered one, or else that of the
    /// message, which an earlier process of this agent may have called.
    pub fn record_grant(
        &mut self,
        token: u64,
        registered: Option<&Incarnation>,
        named: Option<&Incarnation>,
    ) {
        let is_unused = token == self.token && self.used_for.is_none();
        if token > self.token || is_unused {
            self.token = token;
            self.used_for = registered.or(named).cloned();
        }
    }

    /// Returns the lowest token that `incarnation` must have seen before it is
    /// registered.
    #[must_use]
    pub fn required_for(&self, incarnation: &Incarnation) -> u64 {
        let is_used = self.used_for.as_ref().is_some_and(|i| i != incarnation);
        self.token + u64::from(is_used)
    }

    /// Records that `incarnation` is registered, which has seen `token`.
    pub fn record_registration(
        &mut self,
        incarnation: &Incarnation,
        token: u64,
    ) {
        self.raise(token);
        self.used_for = Some(incarnation.clone());
    }

    /// Raises the token to at least `token`, which the registered upstream has
    /// seen.
    pub fn raise(&mut self, token: u64) {
        self.token = self.token.max(token);
    }
}
