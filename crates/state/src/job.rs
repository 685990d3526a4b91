//! Jobs, their shapes and their outcomes.

use std::{fmt, str::FromStr, time::Duration};

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::{digest, error::Kind, worker::Capacity};

/// The most parts that one gang may have.
pub const MAX_PARTS: u32 = 128;

/// The most bytes in a whole request, and in a whole answer; both fit a
/// value of the store together with what surrounds them.
pub const MAX_JOB_BYTES: usize = 768 * 1024;

/// Names one job for good.
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

/// Bits of an attempt that count under one term.
const COUNTER_BITS: u32 = 24;

/// Numbers the attempts of all jobs in a cell: the coordinator's term in the
/// upper bits and a counter in the lower, so a later attempt is larger.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Attempt(pub u64);

impl Attempt {
    /// The attempt with number `count` under `term`.
    #[must_use]
    pub const fn new(term: u64, count: u32) -> Self {
        Self((term << COUNTER_BITS) | count as u64)
    }

    /// The term that the attempt was made under.
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

/// How close together the parts of a gang must run.
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
    /// In one failure domain.
    FailureDomain,
    /// In one rack.
    Rack,
    /// On one worker.
    Worker,
}

impl Adjacency {
    /// All values with the names that settings and callers use.
    pub const NAMES: [(&'static str, Self); 4] = [
        ("none", Self::None),
        ("failure_domain", Self::FailureDomain),
        ("rack", Self::Rack),
        ("worker", Self::Worker),
    ];
}

/// What a gang needs, all at once.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shape {
    /// Number of parts, 1 to [`MAX_PARTS`].
    pub parts: u32,
    /// Accelerators for each part.
    #[serde(default = "one")]
    pub accelerators: u32,
    /// Memory for each part, in MiB.
    #[serde(default)]
    pub memory_mib: u32,
    /// How close the parts must be.
    #[serde(default)]
    pub adjacency: Adjacency,
}

const fn one() -> u32 {
    1
}

impl Shape {
    /// Accelerators of all parts together.
    #[must_use]
    pub const fn total_accelerators(&self) -> u32 {
        self.parts * self.accelerators
    }

    /// What `parts` of this shape take from a worker.
    #[must_use]
    pub const fn required_capacity(&self, parts: u32) -> Capacity {
        Capacity {
            accelerators: self.accelerators * parts,
            slots: parts,
            memory_mib: self.memory_mib * parts,
        }
    }
}

/// What a caller says about how a job should be treated.
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
    /// Goes before all other work of its workspace.
    Urgent,
    /// Ordinary work.
    #[default]
    Normal,
    /// Work that may wait.
    Batch,
}

/// A job as the coordinator sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Job {
    /// Its name.
    pub id: JobId,
    /// The workspace that pays for it.
    pub workspace: String,
    /// The service inside the workspace.
    pub service: String,
    /// What it needs.
    pub shape: Shape,
    /// How long the caller thinks that it runs.
    pub declared: Option<Duration>,
    /// How long from its submission until it must have finished.
    pub deadline: Option<Duration>,
    /// The caller's class.
    pub class: Class,
    /// Whether it may be run again after it may have run.
    pub repeatable: bool,
    /// Version of its record in the store, if it has one.
    pub record: Option<u64>,
    /// The input of each part, in rank order.
    pub inputs: Vec<Vec<u8>>,
}

/// The answer of one part.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PartAnswer {
    /// The part's place in its gang.
    pub rank: u32,
    /// What the upstream answered.
    pub bytes: Vec<u8>,
}

/// All parts of one attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// The attempt that all parts come from.
    pub attempt: Attempt,
    /// One answer for each rank, in order.
    pub parts: Vec<PartAnswer>,
}

impl Answer {
    /// The digest over all parts; see [`digest::of_parts`].
    #[must_use]
    pub fn digest(&self) -> String {
        let parts = self.parts.iter();
        digest::of_parts(parts.map(|p| (p.rank, p.bytes.as_slice())))
    }

    /// Whether each rank of a gang of `parts` is there once, in order.
    #[must_use]
    pub fn is_complete(&self, parts: u32) -> bool {
        let ranks = self.parts.iter().map(|p| p.rank);
        ranks.eq(0..parts)
    }
}

/// How a job ended: the closed list that callers see.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It ran, and this is its whole answer.
    Done(Answer),
    /// No part of it ever started, nor will.
    NotRun(Kind),
    /// It ran and failed.
    Failed(Kind, String),
    /// It may have run, and there is no way to tell.
    Unknown(Kind),
}

impl Outcome {
    /// The outcome's name for callers.
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
