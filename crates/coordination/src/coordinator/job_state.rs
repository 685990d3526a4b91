//! The state of a job as the coordinator knows it.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use figrill_state::{
    error::Kind,
    job::{Job, JobId, Outcome},
};

use crate::message::{Band, Dispatched, JobHeader, Member, Run};

use super::placement::Placement;
use crate::learn::KindId;

/// An attempt with the capacity that is allocated to it.
#[derive(Clone, Debug)]
pub struct Allocation {
    /// The attempt that the capacity is allocated to.
    pub run: Run,
    /// The members of the gang; the first one is the lead.
    pub members: Vec<Member>,
    /// The kind of capacity that it uses.
    pub band: Band,
    /// When it was placed.
    pub placed_at: Duration,
    /// The gang whose reserved workers it uses as backfill until that gang can
    /// start. No placement is chosen as backfill at present, so it is `None`.
    pub backfill_for: Option<JobId>,
}

impl Allocation {
    /// Returns the lead of the gang.
    #[must_use]
    pub fn lead(&self) -> Option<&Member> {
        self.members.first()
    }

    /// Returns whether the whole gang is on one worker.
    #[must_use]
    pub fn is_solo(&self) -> bool {
        self.members.len() == 1
    }
}

/// The phase of a job.
#[derive(Clone, Debug)]
pub enum Phase {
    /// The job waits for capacity.
    Queued,
    /// Capacity is allocated, and the borrowers that use it are being
    /// stopped.
    Reclaiming {
        /// The attempt that waits for the victims to end.
        allocation: Allocation,
        /// The runs that must end first.
        victims: BTreeSet<Run>,
        /// When to remove the allocation and requeue the job.
        deadline: Duration,
    },
    /// The job's record, which must have this version, is being marked as
    /// dispatched.
    Marking(Allocation, u64),
    /// The agents have been asked to hold capacity.
    Holding {
        /// The attempt that the capacity is to be held for.
        allocation: Allocation,
        /// The workers whose agents have not accepted the hold yet.
        pending: BTreeSet<String>,
        /// When to release the holds and requeue the job.
        deadline: Duration,
    },
    /// The attempt may have started; only its lead knows.
    Started {
        /// The attempt whose outcome the lead will report.
        allocation: Allocation,
        /// Since when the lead's worker has been disconnected, if it is.
        lost_since: Option<Duration>,
    },
    /// A record says that the job was dispatched, but no agent has reported
    /// the attempt.
    Unreported {
        /// Where the job was dispatched.
        dispatched: Dispatched,
        /// When the attempt counts as lost.
        deadline: Duration,
    },
    /// The outcome is being written to the job's record.
    Saving {
        /// The outcome to write.
        outcome: Outcome,
        /// The attempt whose outcome the lead keeps until the job's record
        /// has it.
        run: Option<Run>,
        /// When to write the outcome again.
        retry_at: Duration,
    },
    /// The job has ended.
    Ended {
        /// The outcome, which is kept for entries that ask again.
        outcome: Outcome,
        /// The attempt whose outcome the lead keeps until every entry that
        /// asked has it.
        run: Option<Run>,
        /// When the job ended.
        at: Duration,
    },
}

/// All that is known of a job.
#[derive(Clone, Debug)]
pub struct JobState {
    /// The job with its inputs, if an entry has submitted it to this
    /// coordinator.
    pub job: Option<Job>,
    /// The properties that are known even without the inputs.
    pub header: JobHeader,
    /// The kind of work whose run times are used to estimate this job's.
    pub work_kind: KindId,
    /// When the caller submitted it. For a job that no entry has submitted to
    /// this coordinator: when its attempt was placed or, if that is unknown,
    /// when the job became known.
    pub submitted_at: Duration,
    /// The incarnations of the entries that are sent its state and outcome.
    pub watchers: BTreeSet<u64>,
    /// Whether another coordinator may have started it.
    pub maybe_started: bool,
    /// The number of attempts that may have run and that failed.
    pub failures: u32,
    /// The number of attempts that were stopped on request, which is mostly to
    /// reclaim borrowed capacity.
    pub reclaims: u32,
    /// The workers on which it failed.
    pub excluded_workers: BTreeSet<String>,
    /// The latest checkpoint that a stopped attempt has left, by rank.
    pub checkpoints: BTreeMap<u32, Vec<u8>>,
    /// The kind of the error that the outcome carries, if a caller cancelled
    /// the job.
    pub cancelled: Option<Kind>,
    /// The earliest time at which it may be placed again.
    pub not_before: Duration,
    /// How far it has come, from the queue to its outcome.
    pub phase: Phase,
}

impl JobState {
    /// Returns the allocation of its current attempt, if it has one.
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

    /// Changes the band of its current attempt, if it has one.
    pub const fn set_band(&mut self, band: Band) {
        match &mut self.phase {
            Phase::Reclaiming { allocation, .. }
            | Phase::Marking(allocation, _)
            | Phase::Holding { allocation, .. }
            | Phase::Started { allocation, .. } => allocation.band = band,
            _ => {}
        }
    }

    /// Returns whether an attempt may be running.
    #[must_use]
    pub const fn is_started(&self) -> bool {
        matches!(self.phase, Phase::Started { .. } | Phase::Unreported { .. })
    }

    /// Returns the allocation of its current attempt if no agent was asked to
    /// hold capacity for it.
    #[must_use]
    pub const fn unsent_allocation(&self) -> Option<&Allocation> {
        match &self.phase {
            Phase::Reclaiming { allocation, .. }
            | Phase::Marking(allocation, _) => Some(allocation),
            _ => None,
        }
    }

    /// Returns whether the job waits for capacity.
    #[must_use]
    pub const fn is_queued(&self) -> bool {
        matches!(self.phase, Phase::Queued)
    }

    /// Returns the outcome, if the job has one.
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

/// A chosen placement, before its capacity is allocated.
#[derive(Clone, Debug)]
pub struct PlacementChoice {
    /// Where the parts go.
    pub placement: Placement,
    /// The kind of capacity that they use.
    pub band: Band,
    /// The claim on the workspace's guarantee, if the band is [`Band::Own`].
    pub claim: Option<super::guarantee::Claim>,
    /// The borrowers that must end first.
    pub victims: BTreeSet<Run>,
    /// The gang whose reserved workers it uses as backfill; see
    /// [`Allocation::backfill_for`].
    pub backfill_for: Option<JobId>,
}
