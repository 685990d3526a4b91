//! Who coordinates a cell: a term granted by compare-and-swap under a lease
//! of the store, and a provisional one while the store is down.
//!
//! A term has two parts in one number: the granted count in the upper bits
//! and the provisional bid in the lower [`PROVISIONAL_BITS`]. Any later grant is
//! therefore larger than every bid made on an earlier one, and agents need
//! only compare numbers.

use std::time::Duration;

use figrill_state::record::TermRecord;

/// Bits of a term that number provisional bids.
pub const PROVISIONAL_BITS: u32 = 8;

/// Time between two renewals, and between two looks at another's lease.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(1);

/// How long a lease lasts without renewal.
pub const LEASE_TTL: Duration = Duration::from_secs(3);

/// How long an entry hears of no coordinator before it bids.
pub const ELECTION_TIMEOUT: Duration = Duration::from_secs(4);

/// The term of the `count`th grant.
#[must_use]
pub const fn granted(count: u64) -> u64 {
    count << PROVISIONAL_BITS
}

/// What happened.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Input {
    /// Time passed.
    Tick,
    /// The store answered an attempt to take the lease and the term.
    Leased(Result<TermRecord, AcquireError>),
    /// The store answered a renewal.
    Renewed(Result<(), RenewError>),
    /// Another process says that it coordinates under this term.
    Observed(TermRecord),
    /// An agent refused a message because it has seen this term.
    Fenced(u64),
    /// The process drains: give the term up and never take it again.
    Drain,
}

/// Why the term was not taken.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AcquireError {
    /// Another process holds it.
    Held(TermRecord),
    /// Another process holds the lease but has not written its term.
    HolderUnknown,
    /// The store did not answer.
    Unavailable,
}

/// Why the lease was not renewed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RenewError {
    /// The lease is gone.
    Lost,
    /// The store did not answer.
    Unavailable,
}

/// What to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Try to take the lease, then the term.
    Acquire,
    /// Renew the lease.
    Renew,
    /// Give the lease up.
    Release,
    /// Coordinate under this term.
    Lead {
        /// The term.
        term: u64,
        /// Whether the store granted it.
        granted: bool,
    },
    /// Stop coordinating.
    Follow,
}

/// Sees to it that one process of a cell coordinates.
#[derive(Debug)]
pub struct Election {
    me: TermRecord,
    leading: Option<u64>,
    holds_lease: bool,
    known: TermRecord,
    next_call: Duration,
    call_in_flight: bool,
    last_heard: Duration,
    candidacy: Candidacy,
}

/// Whether this process would coordinate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Candidacy {
    /// Also without the store.
    Preferred,
    /// Only under a term that the store grants.
    GrantedOnly,
    /// No more: it drains.
    Withdrawn,
}

impl Election {
    /// A process that follows; `me` tells others how to reach it.
    #[must_use]
    pub fn new(me: TermRecord, now: Duration) -> Self {
        let known = TermRecord {
            term: 0,
            holder: String::new(),
            incarnation: 0,
            peer: String::new(),
        };
        Self {
            me,
            leading: None,
            holds_lease: false,
            known,
            next_call: now,
            call_in_flight: false,
            last_heard: now,
            candidacy: Candidacy::Preferred,
        }
    }

    /// The term under which this process coordinates, if it does.
    #[must_use]
    pub const fn leading(&self) -> Option<u64> {
        self.leading
    }

    /// The coordinator with the highest term that this process knows.
    #[must_use]
    pub fn coordinator(&self) -> Option<TermRecord> {
        if let Some(term) = self.leading {
            return Some(TermRecord {
                term,
                ..self.me.clone()
            });
        }
        (self.known.term > 0).then(|| self.known.clone())
    }

    /// Says whether this process is the first candidate among the entries
    /// that it can reach; only that one bids without the store.
    pub fn set_preferred(&mut self, preferred: bool) {
        if self.candidacy != Candidacy::Withdrawn {
            self.candidacy = if preferred {
                Candidacy::Preferred
            } else {
                Candidacy::GrantedOnly
            };
        }
    }

    /// Takes an input and says what to do.
    pub fn handle(&mut self, now: Duration, input: Input) -> Vec<Action> {
        let mut actions = Vec::new();
        match input {
            Input::Tick => self.tick(now, &mut actions),
            Input::Leased(result) => self.leased(now, result, &mut actions),
            Input::Renewed(result) => self.renewed(now, result, &mut actions),
            Input::Observed(record) => self.observe(now, record, &mut actions),
            Input::Fenced(term) => self.fenced(term, &mut actions),
            Input::Drain => self.drain(&mut actions),
        }
        actions
    }

    fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.candidacy == Candidacy::Withdrawn
            || self.call_in_flight
            || now < self.next_call
        {
            return;
        }
        self.next_call = now + RENEW_INTERVAL;
        self.call_in_flight = true;
        actions.push(if self.holds_lease {
            Action::Renew
        } else {
            Action::Acquire
        });
    }

    fn leased(
        &mut self,
        now: Duration,
        result: Result<TermRecord, AcquireError>,
        actions: &mut Vec<Action>,
    ) {
        self.call_in_flight = false;
        match result {
            Ok(record) if self.candidacy == Candidacy::Withdrawn => {
                self.known = record;
                actions.push(Action::Release);
            }
            Ok(record) => {
                self.holds_lease = true;
                self.start_leading(record.term, true, actions);
            }
            Err(AcquireError::Held(record)) => {
                self.observe(now, record, actions);
            }
            Err(AcquireError::HolderUnknown) => {}
            Err(AcquireError::Unavailable) => self.campaign(now, actions),
        }
    }

    fn renewed(
        &mut self,
        now: Duration,
        result: Result<(), RenewError>,
        actions: &mut Vec<Action>,
    ) {
        self.call_in_flight = false;
        if result == Err(RenewError::Lost) {
            // Another process may hold the lease now. Acquire it back or hear
            // who has it; until then agents decide by the term alone.
            self.holds_lease = false;
            self.next_call = now;
            self.tick(now, actions);
        }
    }

    fn campaign(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let silent = now.saturating_sub(self.last_heard) >= ELECTION_TIMEOUT;
        if self.leading.is_some()
            || !silent
            || self.candidacy != Candidacy::Preferred
        {
            return;
        }
        let provisional_mask = (1 << PROVISIONAL_BITS) - 1;
        let last = self.known.term;
        let term = if last & provisional_mask == provisional_mask {
            last
        } else {
            last + 1
        };
        self.start_leading(term, false, actions);
    }

    fn start_leading(
        &mut self,
        term: u64,
        granted: bool,
        out: &mut Vec<Action>,
    ) {
        self.leading = Some(term);
        self.known = TermRecord {
            term,
            ..self.me.clone()
        };
        out.push(Action::Lead { term, granted });
    }

    fn observe(
        &mut self,
        now: Duration,
        record: TermRecord,
        actions: &mut Vec<Action>,
    ) {
        if record.term >= self.known.term {
            self.last_heard = now;
        }
        if self.leading == Some(record.term) {
            self.break_tie(&record, actions);
            return;
        }
        let holder_unknown = self.known.incarnation == 0;
        if record.term < self.known.term
            || record.term == self.known.term && !holder_unknown
        {
            return;
        }
        self.known = record;
        self.step_down(actions);
    }

    /// Two processes bid the same provisional term: the one with the lower
    /// incarnation steps down and the other outbids the tie, because some
    /// agents may already follow its rival.
    fn break_tie(&mut self, rival: &TermRecord, actions: &mut Vec<Action>) {
        if rival.incarnation > self.me.incarnation {
            self.known = rival.clone();
            self.step_down(actions);
        } else if rival.incarnation < self.me.incarnation {
            self.start_leading(rival.term + 1, false, actions);
        }
    }

    fn fenced(&mut self, term: u64, actions: &mut Vec<Action>) {
        if self.leading.is_some_and(|mine| mine < term) {
            self.step_down(actions);
            // Nobody has said yet who has it, but a later bid must be larger.
            self.known.term = self.known.term.max(term);
            self.known.incarnation = 0;
        }
    }

    fn step_down(&mut self, actions: &mut Vec<Action>) {
        if self.leading.take().is_some() {
            actions.push(Action::Follow);
        }
        if self.holds_lease {
            self.holds_lease = false;
            actions.push(Action::Release);
        }
    }

    fn drain(&mut self, actions: &mut Vec<Action>) {
        self.candidacy = Candidacy::Withdrawn;
        self.step_down(actions);
    }
}
