//! The fencing token with which an agent calls its upstream.
//!
//! Calls name an upstream by an id that outlives it, so an upstream that is
//! back under its old id executes calls that were meant for its former
//! incarnation, until it has seen a higher token than theirs. The coordinator
//! gives each incarnation such a token, but it may learn of one late. So an
//! agent that registers an upstream under a token with which it has called
//! another incarnation raises the token by itself. It reports the token that
//! it used, and the coordinator gives its next orders one that is not lower.

use figrill_state::batch::Incarnation;

/// The fencing token of an agent's calls to its upstream.
#[derive(Clone, Debug, Default)]
pub struct AgentFence {
    /// The highest token that a coordinator has sent; 0 before the first one.
    granted: u64,
    /// The highest token that the agent has chosen by itself.
    raised: u64,
    /// The incarnation that calls with the present token are meant for.
    incarnation: Option<Incarnation>,
}

impl AgentFence {
    /// Returns the token of calls to the upstream; 0 if none is known yet.
    #[must_use]
    pub fn token(&self) -> u64 {
        self.granted.max(self.raised)
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
        let is_higher = token > self.token();
        let is_unused = token == self.token() && self.incarnation.is_none();
        self.granted = self.granted.max(token);
        if is_higher || is_unused {
            self.incarnation = registered.or(named).cloned();
        }
    }

    /// Returns the token of the call after which `incarnation` is registered:
    /// a higher one than the present if calls with that were meant for another
    /// incarnation.
    #[must_use]
    pub fn token_for(&self, incarnation: &Incarnation) -> u64 {
        let is_used =
            self.incarnation.as_ref().is_some_and(|i| i != incarnation);
        self.token() + u64::from(is_used)
    }

    /// Records that `incarnation` was registered.
    pub fn record_registration(&mut self, incarnation: &Incarnation) {
        self.incarnation = Some(incarnation.clone());
    }

    /// Raises the token to at least `token`. This comes before a call with it,
    /// which an upstream may execute without an answer.
    pub fn raise(&mut self, token: u64) {
        if token > self.token() {
            self.raised = token;
        }
    }
}
