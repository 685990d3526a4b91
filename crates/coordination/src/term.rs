//! The election of a cell's coordinator.
//!
//! A process becomes coordinator by taking a lease in the store and then a
//! term by compare-and-swap. While the store is down, one process may
//! coordinate under a provisional term instead.
//!
//! A term is a fencing token that packs two counters into one number: the
//! number of the store's grant in the upper bits and the number of the
//! provisional term in the lower [`PROVISIONAL_BITS`]. A later grant is
//! therefore always larger than every provisional term based on an earlier
//! grant, and agents only need to compare numbers.

use std::time::Duration;

use figrill_state::record::TermRecord;

/// The number of low bits of a term that count provisional terms.
pub const PROVISIONAL_BITS: u32 = 8;

/// The time between two renewals of the lease, and between two attempts to
/// take a lease that another process holds.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(1);

/// How long a lease stays valid without renewal.
pub const LEASE_TTL: Duration = Duration::from_secs(3);

/// How long an entry must have seen no coordinator before it takes a
/// provisional term.
pub const ELECTION_TIMEOUT: Duration = Duration::from_secs(4);

/// Returns the term of the `count`th grant by the store.
#[must_use]
pub const fn granted(count: u64) -> u64 {
    count << PROVISIONAL_BITS
}

/// An input of the election.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// The result of an attempt to take the lease and the term.
    Leased(Result<TermRecord, AcquireError>),
    /// The result of a renewal of the lease.
    Renewed(Result<(), RenewError>),
    /// Another process announced that it coordinates under this term.
    Observed(TermRecord),
    /// An agent rejected a message because it has seen this higher term.
    Fenced(u64),
    /// The process drains: it stops coordinating and never takes a term again.
    Drain,
}

/// The reason why the term was not taken.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AcquireError {
    /// Another process holds the term.
    Held(TermRecord),
    /// Another process holds the lease but has not written its term yet.
    HolderUnknown,
    /// The store did not answer.
    Unavailable,
}

/// The reason why the lease was not renewed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RenewError {
    /// The lease no longer exists.
    Lost,
    /// The store did not answer.
    Unavailable,
}

/// An action for the caller to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Try to take the lease, and then the term.
    Acquire,
    /// Renew the lease.
    Renew,
    /// Release the lease.
    Release,
    /// Start to coordinate under this term.
    Lead {
        /// The term, by which agents reject earlier coordinators.
        term: u64,
        /// Whether the store granted the term; otherwise it is provisional.
        granted: bool,
    },
    /// Stop coordinating.
    Follow,
}

/// The state machine by which the processes of a cell elect a coordinator.
#[derive(Debug)]
pub struct Election {
    local_record: TermRecord,
    leading: Option<u64>,
    holds_lease: bool,
    /// The highest term seen. Its holder is unknown if the incarnation is 0.
    highest: TermRecord,
    /// When the lease is to be acquired or renewed next.
    next_call: Duration,
    call_in_flight: bool,
    /// When a coordinator with the highest term was last observed.
    last_observed: Duration,
    candidacy: Candidacy,
}

/// The conditions under which this process becomes coordinator.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Candidacy {
    /// Under a granted or a provisional term.
    Preferred,
    /// Only under a term that the store grants.
    GrantedOnly,
    /// Never again, because the process drains.
    Withdrawn,
}

impl Election {
    /// Creates the election of a process that does not coordinate.
    /// `local_record` is the record under which other processes reach it.
    #[must_use]
    pub fn new(local_record: TermRecord, now: Duration) -> Self {
        let highest = TermRecord {
            term: 0,
            holder: String::new(),
            incarnation: 0,
            peer: String::new(),
        };
        Self {
            local_record,
            leading: None,
            holds_lease: false,
            highest,
            next_call: now,
            call_in_flight: false,
            last_observed: now,
            candidacy: Candidacy::Preferred,
        }
    }

    /// Returns the term under which this process coordinates, if it does.
    #[must_use]
    pub const fn leading(&self) -> Option<u64> {
        self.leading
    }

    /// Returns the coordinator with the highest term that this process has
    /// seen.
    #[must_use]
    pub fn coordinator(&self) -> Option<TermRecord> {
        if let Some(term) = self.leading {
            return Some(TermRecord {
                term,
                ..self.local_record.clone()
            });
        }
        (self.highest.term > 0).then(|| self.highest.clone())
    }

    /// Sets whether this process is the preferred candidate among the entries
    /// that it can reach. Only the preferred candidate takes a provisional
    /// term while the store is down.
    pub fn set_preferred(&mut self, preferred: bool) {
        if self.candidacy != Candidacy::Withdrawn {
            self.candidacy = if preferred {
                Candidacy::Preferred
            } else {
                Candidacy::GrantedOnly
            };
        }
    }

    /// Handles an input and returns the resulting actions.
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
            // The process began to drain while the call was in flight.
            Ok(record) if self.candidacy == Candidacy::Withdrawn => {
                self.highest = record;
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
            // Another process may hold the lease now. The next attempt either
            // takes it back or returns its holder. Until then both may
            // coordinate, and agents reject the lower term.
            self.holds_lease = false;
            self.next_call = now;
            self.tick(now, actions);
        }
    }

    /// Takes the next provisional term if this process is the preferred
    /// candidate and no coordinator was observed for [`ELECTION_TIMEOUT`].
    fn campaign(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let timed_out =
            now.saturating_sub(self.last_observed) >= ELECTION_TIMEOUT;
        if self.leading.is_some()
            || !timed_out
            || self.candidacy != Candidacy::Preferred
        {
            return;
        }
        // If all provisional terms of this grant are used up, the last one is
        // taken again, since the next number belongs to the store's next
        // grant.
        let provisional_mask = (1 << PROVISIONAL_BITS) - 1;
        let last = self.highest.term;
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
        actions: &mut Vec<Action>,
    ) {
        self.leading = Some(term);
        self.highest = TermRecord {
            term,
            ..self.local_record.clone()
        };
        actions.push(Action::Lead { term, granted });
    }

    fn observe(
        &mut self,
        now: Duration,
        record: TermRecord,
        actions: &mut Vec<Action>,
    ) {
        if record.term >= self.highest.term {
            self.last_observed = now;
        }
        if self.leading == Some(record.term) {
            self.break_tie(&record, actions);
            return;
        }
        // After a fencing, only the number of the highest term is known, and a
        // record of the same term adds its holder.
        let holder_unknown = self.highest.incarnation == 0;
        if record.term < self.highest.term
            || record.term == self.highest.term && !holder_unknown
        {
            return;
        }
        self.highest = record;
        self.step_down(actions);
    }

    /// Resolves a tie between two processes that took the same provisional
    /// term. The process with the lower incarnation steps down. The other one
    /// moves to the next term, because some agents may already follow its
    /// rival under the tied one.
    fn break_tie(&mut self, rival: &TermRecord, actions: &mut Vec<Action>) {
        if rival.incarnation > self.local_record.incarnation {
            self.highest = rival.clone();
            self.step_down(actions);
        } else if rival.incarnation < self.local_record.incarnation {
            self.start_leading(rival.term + 1, false, actions);
        }
    }

    fn fenced(&mut self, term: u64, actions: &mut Vec<Action>) {
        if self.leading.is_some_and(|own| own < term) {
            self.step_down(actions);
            // The holder of this term is not known yet, but the next
            // provisional term must be larger.
            self.highest.term = self.highest.term.max(term);
            self.highest.incarnation = 0;
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
