//! A job in the coordinator's books.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use figrill_state::{
    error::Kind,
    job::{Job, JobId, Outcome},
};

use crate::message::{Band, Dispatched, Header, Member, Run};

use super::placement::Placement;
use crate::learn::KindId;

/// An attempt with its place.
#[derive(Clone, Debug)]
pub struct Allocation {
    /// The attempt.
    pub run: Run,
    /// The gang; the first member is the lead.
    pub members: Vec<Member>,
    /// Whose capacity it takes.
    pub band: Band,
    /// When it was placed.
    pub placed_at: Duration,
    /// The gang whose reserved workers it fills until that can start.
    pub backfill_for: Option<JobId>,
}

impl Allocation {
    /// The worker that leads the gang.
    #[must_use]
    pub fn lead(&self) -> Option<&Member> {
        self.members.first()
    }

    /// Whether the whole gang is on one worker.
    #[must_use]
    pub fn is_solo(&self) -> bool {
        self.members.len() == 1
    }
}

/// How far a job has come.
#[derive(Clone, Debug)]
pub enum Phase {
    /// It waits for capacity.
    Queued,
    /// Its place is booked, and borrowers are being moved out of it.
    Reclaiming {
        /// The place.
        allocation: Allocation,
        /// Attempts that must end first.
        victims: BTreeSet<Run>,
        /// When to look for another place.
        deadline: Duration,
    },
    /// Its record, at this version, is being marked as dispatched.
    Marking(Allocation, u64),
    /// Agents are asked to hold.
    Holding {
        /// The place.
        allocation: Allocation,
        /// Workers that have not answered.
        pending: BTreeSet<String>,
        /// When to give the holds up.
        deadline: Duration,
    },
    /// It may have started: only its lead knows.
    Started {
        /// The place.
        allocation: Allocation,
        /// Since when its lead is not connected.
        lost_since: Option<Duration>,
    },
    /// A record says that it was dispatched, but no agent has reported it.
    Unreported {
        /// Where it was dispatched.
        dispatched: Dispatched,
        /// When it counts as lost.
        deadline: Duration,
    },
    /// Its outcome is being written to its record.
    Saving {
        /// The outcome.
        outcome: Outcome,
        /// The attempt that its lead keeps until then.
        run: Option<Run>,
        /// When to write again.
        retry_at: Duration,
    },
    /// It has ended.
    Ended {
        /// The outcome.
        outcome: Outcome,
        /// The attempt that its lead keeps until an entry has the outcome.
        run: Option<Run>,
        /// When.
        at: Duration,
    },
}

/// A job and all that is known of it.
#[derive(Clone, Debug)]
pub struct JobState {
    /// The job with its inputs, if an entry has submitted it here.
    pub job: Option<Job>,
    /// What is known of it in any case.
    pub header: Header,
    /// What is learnt of its run time.
    pub work_kind: KindId,
    /// When its caller sent it.
    pub submitted_at: Duration,
    /// The incarnations of entries that want to hear of it.
    pub watchers: BTreeSet<u64>,
    /// Whether another coordinator may have started it.
    pub maybe_started: bool,
    /// Attempts that may have run and failed.
    pub failures: u32,
    /// Times that it was stopped to return borrowed capacity.
    pub reclaims: u32,
    /// Workers on which it failed.
    pub excluded_workers: BTreeSet<String>,
    /// What stopped attempts left, by rank.
    pub checkpoints: BTreeMap<u32, Vec<u8>>,
    /// Why it is to end, if a caller cancelled it.
    pub cancelled: Option<Kind>,
    /// Before this it is not placed.
    pub not_before: Duration,
    /// How far it has come.
    pub phase: Phase,
}

impl JobState {
    /// The booking of its attempt, if it has one.
    #[must_use]
    pub const fn allocation(&self) -> Option<&Allocation> {
        match &self.phase {
            Phase::Reclaiming { allocation, .. }
            | Phase::Marking(allocation, _)
            | Phase::Holding { allocation, .. }
            | Phase::Started { allocation, .. } => Some(allocation),
            _ => None,
        }
    }

    /// Notes that its attempt now takes another band of capacity.
    pub const fn set_band(&mut self, band: Band) {
        match &mut self.phase {
            Phase::Reclaiming { allocation, .. }
            | Phase::Marking(allocation, _)
            | Phase::Holding { allocation, .. }
            | Phase::Started { allocation, .. } => allocation.band = band,
            _ => {}
        }
    }

    /// Whether an attempt of it may be running.
    #[must_use]
    pub const fn is_started(&self) -> bool {
        matches!(self.phase, Phase::Started { .. } | Phase::Unreported { .. })
    }

    /// Whether it waits for capacity.
    #[must_use]
    pub const fn is_queued(&self) -> bool {
        matches!(self.phase, Phase::Queued)
    }

    /// The outcome, once there is one.
    #[must_use]
    pub const fn outcome(&self) -> Option<&Outcome> {
        match &self.phase {
            Phase::Saving { outcome, .. } | Phase::Ended { outcome, .. } => {
                Some(outcome)
            }
            _ => None,
        }
    }
}

/// A chosen place, before it is booked.
#[derive(Clone, Debug)]
pub struct PlacementChoice {
    /// Where the parts go.
    pub placement: Placement,
    /// Whose capacity they take.
    pub band: Band,
    /// The claim on the workspace's guarantee, if the band is its own.
    pub claim: Option<super::guarantee::Claim>,
    /// Borrowers that must leave first.
    pub victims: BTreeSet<Run>,
    /// The gang whose reserved workers it fills until that can start.
    pub backfill_for: Option<JobId>,
}
