//! Decides which incarnation of its upstream an agent works with.
//!
//! A heartbeat alone proves nothing: any process that reaches the agent can
//! send one, and a heartbeat that was held up may arrive after its sender has
//! ended. So a heartbeat of an incarnation that is not registered only makes
//! it a candidate. The agent then calls the candidate, and registers it if it
//! answers as the incarnation that it claims to be. A registered upstream that
//! still exists is never replaced, and a deregistration only counts once the
//! upstream has ended: nothing listens on its address, another incarnation
//! answers there, or it has been silent for longer than its leases last.

use std::{collections::VecDeque, time::Duration};

use displaydoc::Display;
use figrill_state::{
    batch::Incarnation,
    limits::Limits,
    runner::{RunnerError, UpstreamState},
};

/// The maximum number of candidates that wait for their confirmation.
const MAX_CANDIDATES: usize = 4;

/// The time for which an upstream may refuse connections before it counts as
/// crashed. The agent and the upstream share a VM, so a refusal comes from
/// that VM's own operating system and means that nothing listens on the
/// address.
const CRASH_TIMEOUT: Duration = Duration::from_millis(400);

/// The number of contradictory heartbeats in a row that correct what is
/// registered. One may come from another writer, while those of the upstream
/// itself arrive again and again.
const MIN_CONTRADICTIONS: u32 = 3;

/// The effect of a heartbeat.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeartbeatEffect {
    /// The state of the registered upstream was updated.
    Updated {
        /// Whether the heartbeat is the first to announce that the upstream
        /// is draining.
        starts_draining: bool,
    },
    /// Repeated heartbeats have shown that the registered upstream was
    /// registered with the claims of another writer, which were replaced.
    Corrected,
    /// A later heartbeat of the same incarnation arrived before.
    Outdated,
    /// The sender is not the registered upstream and has to be confirmed.
    Candidate,
    /// The heartbeat was refused and changed nothing.
    Refused(HeartbeatError),
}

/// Why a heartbeat was refused.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum HeartbeatError {
    /// it contradicts the registered upstream of the same incarnation
    Contradiction,
    /// too many unknown upstreams wait to be confirmed
    TooManyCandidates,
    /// the sender does not answer calls as this incarnation
    Unconfirmed,
    /// the registered upstream still answers
    Occupied,
}

/// A call that the agent has to make to find out which incarnations exist.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Check {
    /// Whether a candidate answers as the incarnation that it claims to be.
    Candidate(UpstreamState),
    /// Whether the registered upstream, which has deregistered, still answers.
    Leaving(UpstreamState),
}

/// The result of the confirmation of a candidate.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Confirmation {
    /// The candidate is the registered upstream now.
    Registered(Box<Change>),
    /// The candidate was dropped.
    Refused(HeartbeatError),
    /// The registration changed during the check, which has to be repeated.
    Changed,
}

/// A change of the registered upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// The upstream that is registered now.
    pub upstream: UpstreamState,
    /// The upstream whose place it has taken, if there was one.
    pub replaced: Option<UpstreamState>,
}

/// The registration of an agent's upstream.
#[derive(Clone, Debug)]
pub struct Registration {
    /// The time after which an upstream that answers no calls counts as ended
    /// if it has deregistered or another one answers. Silence alone proves
    /// nothing: the upstream may be suspended or its answer lost. After this
    /// time its runs have ended in any case.
    silence_timeout: Duration,
    current: Option<UpstreamState>,
    /// Whether the current upstream has deregistered.
    leaving: bool,
    ended: Option<Incarnation>,
    candidates: VecDeque<UpstreamState>,
    /// Since when the current upstream has refused all connections.
    refused_since: Option<Duration>,
    /// Since when no call to the current upstream was answered as expected.
    silent_since: Option<Duration>,
    contradiction: Option<Contradiction>,
}

/// Consecutive heartbeats that contradict the current upstream and agree with
/// each other.
#[derive(Clone, Debug)]
struct Contradiction {
    last: UpstreamState,
    count: u32,
}

impl Registration {
    /// Returns a registration without an upstream.
    #[must_use]
    pub fn new(limits: &Limits) -> Self {
        Self {
            silence_timeout: limits.expiry_after_silence(limits.max_lease),
            current: None,
            leaving: false,
            ended: None,
            candidates: VecDeque::new(),
            refused_since: None,
            silent_since: None,
            contradiction: None,
        }
    }

    /// Returns the registered upstream, as it last reported itself.
    #[must_use]
    pub fn current(&self) -> Option<&UpstreamState> {
        self.current.as_ref()
    }

    /// Returns the last incarnation that is known to have ended.
    #[must_use]
    pub fn ended(&self) -> Option<&Incarnation> {
        self.ended.as_ref()
    }

    /// Returns whether the registered upstream accepts new runs.
    #[must_use]
    pub fn accepts_runs(&self) -> bool {
        !self.leaving && self.current().is_some_and(|u| !u.draining)
    }

    /// Handles a heartbeat.
    pub fn handle_heartbeat(
        &mut self,
        upstream: UpstreamState,
    ) -> HeartbeatEffect {
        match &mut self.current {
            Some(current) if current.incarnation == upstream.incarnation => {
                if !is_consistent(current, &upstream) {
                    return self.handle_contradiction(upstream);
                }
                self.contradiction = None;
                if upstream.sequence < current.sequence {
                    return HeartbeatEffect::Outdated;
                }
                self.leaving &= upstream.sequence == current.sequence;
                let starts_draining = upstream.draining && !current.draining;
                *current = upstream;
                HeartbeatEffect::Updated { starts_draining }
            }
            _ => self.add_candidate(upstream),
        }
    }

    /// Handles a heartbeat that contradicts the current upstream, which it
    /// replaces if it is the last of [`MIN_CONTRADICTIONS`].
    fn handle_contradiction(
        &mut self,
        upstream: UpstreamState,
    ) -> HeartbeatEffect {
        let count = match &self.contradiction {
            Some(known) if is_consistent(&known.last, &upstream) => {
                if upstream.sequence <= known.last.sequence {
                    return HeartbeatEffect::Refused(
                        HeartbeatError::Contradiction,
                    );
                }
                known.count + 1
            }
            _ => 1,
        };
        if count < MIN_CONTRADICTIONS {
            self.contradiction = Some(Contradiction {
                last: upstream,
                count,
            });
            return HeartbeatEffect::Refused(HeartbeatError::Contradiction);
        }
        self.contradiction = None;
        self.leaving = false;
        self.current = Some(upstream);
        HeartbeatEffect::Corrected
    }

    fn add_candidate(&mut self, upstream: UpstreamState) -> HeartbeatEffect {
        let mut candidates = self.candidates.iter_mut();
        if let Some(known) = candidates.find(|c| is_same(c, &upstream)) {
            if upstream.sequence < known.sequence {
                return HeartbeatEffect::Outdated;
            }
            *known = upstream;
            return HeartbeatEffect::Candidate;
        }
        if self.candidates.len() >= MAX_CANDIDATES {
            return HeartbeatEffect::Refused(
                HeartbeatError::TooManyCandidates,
            );
        }
        self.candidates.push_back(upstream);
        HeartbeatEffect::Candidate
    }

    /// Handles a deregistration. Returns whether it is that of the registered
    /// upstream. It takes effect once [`Self::settle_leaving`] has shown that
    /// the upstream has ended; a further heartbeat cancels it.
    pub fn handle_deregistration(&mut self, id: &str) -> bool {
        let is_current =
            self.current().is_some_and(|u| u.incarnation.id == id);
        self.leaving |= is_current;
        is_current
    }

    /// Returns the checks that are due: that of an upstream that has
    /// deregistered, and those of all candidates, the oldest first.
    pub fn due_checks(&self) -> impl Iterator<Item = Check> + use<> {
        let leaving = self.current().filter(|_| self.leaving).cloned();
        let leaving = leaving.map(Check::Leaving).into_iter();
        let candidates = self.candidates.iter().cloned();
        let candidates: Vec<Check> =
            candidates.map(Check::Candidate).collect();
        leaving.chain(candidates)
    }

    /// Handles the result of a call at `now` that checks whether a registered
    /// upstream still exists. Returns whether it has ended. One refused
    /// connection is enough here, other than in [`Self::handle_failed_call`]:
    /// a deregistration or a live candidate says the same.
    pub fn handle_check(
        &mut self,
        now: Duration,
        incarnation: &Incarnation,
        result: Result<(), &RunnerError>,
    ) -> bool {
        if !self.is_current(incarnation) {
            return false;
        }
        match result {
            Ok(()) => {
                self.record_answer();
                false
            }
            Err(
                RunnerError::OtherIncarnation | RunnerError::NotListening(_),
            ) => true,
            Err(
                RunnerError::Unanswered(_)
                | RunnerError::Rejected(_)
                | RunnerError::Malformed(_)
                | RunnerError::Fenced,
            ) => {
                let since = *self.silent_since.get_or_insert(now);
                now >= since + self.silence_timeout
            }
        }
    }

    /// Returns whether a candidate can be registered. `ended` is the registered
    /// upstream if there is one and [`Self::handle_check`] has shown that it has
    /// ended.
    #[must_use]
    pub fn is_free(&self, ended: Option<&Incarnation>) -> bool {
        self.current().is_none_or(|u| Some(&u.incarnation) == ended)
    }

    /// Handles the result of [`Check::Candidate`]. `answers` tells whether the
    /// candidate answered as itself, and `ended` is the registered upstream
    /// if there is one and [`Self::handle_check`] has shown that it has ended.
    pub fn settle_candidate(
        &mut self,
        candidate: &UpstreamState,
        answers: bool,
        ended: Option<&Incarnation>,
    ) -> Confirmation {
        let mut candidates = self.candidates.iter();
        let Some(position) = candidates.position(|c| is_same(c, candidate))
        else {
            return Confirmation::Changed;
        };
        if !answers || !self.is_free(ended) {
            self.candidates.remove(position);
            let why = if answers {
                HeartbeatError::Occupied
            } else {
                HeartbeatError::Unconfirmed
            };
            return Confirmation::Refused(why);
        }
        let Some(upstream) = self.candidates.remove(position) else {
            return Confirmation::Changed;
        };
        let replaced = self.end_current();
        if self.ended.as_ref() == Some(&upstream.incarnation) {
            self.ended = None;
        }
        self.current = Some(upstream.clone());
        Confirmation::Registered(Box::new(Change { upstream, replaced }))
    }

    /// Handles the result of [`Check::Leaving`]. `exists` is false if
    /// [`Self::handle_check`] has shown that the upstream has ended. Returns
    /// whether its registration has ended.
    pub fn settle_leaving(
        &mut self,
        incarnation: &Incarnation,
        exists: bool,
    ) -> bool {
        let has_ended =
            self.leaving && !exists && self.is_current(incarnation);
        if has_ended {
            self.end_current();
        }
        has_ended
    }

    /// Records that the registered upstream answered a call as itself.
    pub fn record_answer(&mut self) {
        self.refused_since = None;
        self.silent_since = None;
    }

    /// Handles a call to `incarnation` that failed at `now`. Returns whether
    /// this shows that the registered upstream has ended: another incarnation
    /// answers at its address, or nothing has listened there for
    /// [`CRASH_TIMEOUT`].
    pub fn handle_failed_call(
        &mut self,
        now: Duration,
        incarnation: &Incarnation,
        e: &RunnerError,
    ) -> bool {
        if !self.is_current(incarnation) {
            return false;
        }
        let has_ended = match e {
            RunnerError::OtherIncarnation => true,
            RunnerError::NotListening(_) => {
                let since = *self.refused_since.get_or_insert(now);
                now >= since + CRASH_TIMEOUT
            }
            RunnerError::Unanswered(_)
            | RunnerError::Rejected(_)
            | RunnerError::Malformed(_)
            | RunnerError::Fenced => {
                self.refused_since = None;
                self.silent_since.get_or_insert(now);
                false
            }
        };
        if has_ended {
            self.end_current();
        }
        has_ended
    }

    fn is_current(&self, incarnation: &Incarnation) -> bool {
        self.current()
            .is_some_and(|u| u.incarnation == *incarnation)
    }

    fn end_current(&mut self) -> Option<UpstreamState> {
        self.leaving = false;
        self.refused_since = None;
        self.silent_since = None;
        self.contradiction = None;
        let ended = self.current.take()?;
        self.ended = Some(ended.incarnation.clone());
        Some(ended)
    }
}

/// Returns whether two heartbeats are from the same incarnation and agree.
fn is_same(a: &UpstreamState, b: &UpstreamState) -> bool {
    a.incarnation == b.incarnation && is_consistent(a, b)
}

/// Returns whether two heartbeats of one incarnation agree in everything that
/// does not change during an incarnation.
pub(crate) fn is_consistent(a: &UpstreamState, b: &UpstreamState) -> bool {
    a.address == b.address
        && a.service == b.service
        && a.failure_domain == b.failure_domain
        && a.capacity == b.capacity
        && a.labels == b.labels
}
