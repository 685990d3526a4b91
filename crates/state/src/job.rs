//! Jobs, their shapes, attempts, answers and outcomes, as used where figrill
//! serves its own HTTP API. Jobs on the users' platform are in
//! [`batch`](crate::batch).

use std::{fmt, str::FromStr, time::Duration};

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::{digest, error::Kind, worker::Capacity};

/// The maximum number of parts in a gang.
pub const MAX_PARTS: u32 = 128;

/// The maximum total size of the inputs of a request, and of the parts of a
/// complete answer, in bytes. A record with either of them still fits into one
/// value of the store.
pub const MAX_JOB_BYTES: usize = 768 * 1024;

/// The permanent identifier of a job, written as 32 hexadecimal digits.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct JobId(pub u128);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// a job id is 32 hexadecimal digits
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub struct BadJobId;

impl std::error::Error for BadJobId {}

impl FromStr for JobId {
    type Err = BadJobId;

    fn from_str(text: &str) -> Result<Self, BadJobId> {
        if text.len() != 32 {
            return Err(BadJobId);
        }
        u128::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| BadJobId)
    }
}

/// The number of lower bits of an attempt's number that hold the counter.
const COUNTER_BITS: u32 = 24;

/// The number of an attempt, unique among all jobs in a cell. It holds the
/// coordinator's term in the upper bits and a counter in the lower ones, so a
/// later attempt always has a larger number.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Attempt(pub u64);

impl Attempt {
    /// Returns the attempt with counter value `count`, which must be less than
    /// 2²⁴, under `term`.
    #[must_use]
    pub const fn new(term: u64, count: u32) -> Self {
        Self((term << COUNTER_BITS) | count as u64)
    }

    /// Returns the term under which the attempt was made.
    #[must_use]
    pub const fn term(self) -> u64 {
        self.0 >> COUNTER_BITS
    }
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = self.0 & ((1 << COUNTER_BITS) - 1);
        write!(f, "{}.{count}", self.term())
    }
}

/// How close to each other the parts of a gang must run.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Adjacency {
    /// Anywhere in the cell.
    #[default]
    None,
    /// Within one failure domain.
    FailureDomain,
    /// Within one rack.
    Rack,
    /// On one worker.
    Worker,
}

impl Adjacency {
    /// All values with the names used in settings and requests.
    pub const NAMES: [(&'static str, Self); 4] = [
        ("none", Self::None),
        ("failure_domain", Self::FailureDomain),
        ("rack", Self::Rack),
        ("worker", Self::Worker),
    ];
}

/// The resources that a gang needs at the same time.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shape {
    /// The number of parts, 1 to [`MAX_PARTS`].
    pub parts: u32,
    /// The number of accelerators for each part.
    #[serde(default = "one")]
    pub accelerators: u32,
    /// Memory for each part, in MiB.
    #[serde(default)]
    pub memory_mib: u32,
    /// How close to each other the parts must run.
    #[serde(default)]
    pub adjacency: Adjacency,
}

const fn one() -> u32 {
    1
}

impl Shape {
    /// Returns the number of accelerators for all parts together.
    #[must_use]
    pub const fn total_accelerators(&self) -> u32 {
        self.parts * self.accelerators
    }

    /// Returns the capacity that `parts` parts of this shape use on a worker.
    #[must_use]
    pub const fn required_capacity(&self, parts: u32) -> Capacity {
        Capacity {
            accelerators: self.accelerators * parts,
            slots: parts,
            memory_mib: self.memory_mib * parts,
        }
    }
}

/// The scheduling class that a caller requests for a job.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Jobs that go before all others of their workspace.
    Urgent,
    /// Ordinary jobs.
    #[default]
    Normal,
    /// Jobs that may wait.
    Batch,
}

/// A job as submitted to the coordinator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Job {
    /// The job's identifier.
    pub id: JobId,
    /// The workspace that the job is charged to.
    pub workspace: String,
    /// The service within the workspace.
    pub service: String,
    /// The resources that the job needs.
    pub shape: Shape,
    /// The run time that the caller expects.
    pub declared: Option<Duration>,
    /// The time from submission by which the job must have finished.
    pub deadline: Option<Duration>,
    /// The scheduling class.
    pub class: Class,
    /// Whether the job may be run again if an earlier attempt may have run.
    pub repeatable: bool,
    /// The version of the job's record in the store, if it has one.
    pub record: Option<u64>,
    /// The input of each part, in rank order.
    pub inputs: Vec<Vec<u8>>,
}

/// The answer of one part of a gang.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PartAnswer {
    /// The part's rank in its gang.
    pub rank: u32,
    /// The answer of the upstream.
    pub bytes: Vec<u8>,
}

/// The complete answer of one attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// The attempt that all parts come from.
    pub attempt: Attempt,
    /// The answers of the parts in rank order.
    pub parts: Vec<PartAnswer>,
}

impl Answer {
    /// Returns the digest over all parts; see [`digest::of_parts`].
    #[must_use]
    pub fn digest(&self) -> String {
        let parts = self.parts.iter();
        digest::of_parts(parts.map(|p| (p.rank, p.bytes.as_slice())))
    }

    /// Returns whether the answer has exactly the ranks of a gang of `parts`
    /// parts, in order.
    #[must_use]
    pub fn is_complete(&self, parts: u32) -> bool {
        let ranks = self.parts.iter().map(|p| p.rank);
        ranks.eq(0..parts)
    }
}

/// How a job ended. Every job that ends has one of these outcomes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The job ran, and this is its complete answer.
    Done(Answer),
    /// No part of the job has started or will start.
    NotRun(Kind),
    /// The job ran and failed, for this reason and with these details.
    Failed(Kind, String),
    /// The job may or may not have run; this can no longer be determined.
    Unknown(Kind),
}

impl Outcome {
    /// Returns the outcome's name, as sent to callers and stored in records.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Done(_) => "done",
            Self::NotRun(_) => "not_run",
            Self::Failed(..) => "failed",
            Self::Unknown(_) => "unknown",
        }
    }
}
