//! An upstream that runs tasks under leases, as its agent sees it.

use std::time::Duration;

use displaydoc::Display;

use crate::batch::{Incarnation, Resources, TaskId};

/// What an upstream says of itself in a heartbeat.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Upstream {
    /// Which life of it.
    pub incarnation: Incarnation,
    /// Where it takes calls.
    pub address: String,
    /// The service that it belongs to.
    pub service: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// What it offers.
    pub capacity: Resources,
    /// Its kind and its rack, among others.
    pub labels: Vec<String>,
    /// The rack that it stands in.
    pub rack: String,
    /// Whether it leaves and takes no new work.
    pub draining: bool,
    /// The least time that is left to it while it drains.
    pub remaining: Option<Duration>,
    /// Rises with each heartbeat of this life.
    pub sequence: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RunEnd {
    /// Its work is done.
    Done,
    /// It failed by its own fault or the worker's.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its lease lapsed.
    Lapsed,
    /// Another member of its gang ended.
    GangBroken,
    /// It waited too long for the rest of its gang.
    GangIncomplete,
}

impl RunEnd {
    /// The name that logs use.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::Lapsed => "lapsed",
            Self::GangBroken => "broken",
            Self::GangIncomplete => "alone",
        }
    }
}

/// A run that an upstream lists as running.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ActiveRun {
    /// The task.
    pub task: TaskId,
    /// The number of the run.
    pub run: u32,
    /// Its latest checkpoint; empty: none.
    pub checkpoint: String,
    /// How much of its work is done, 0 to 100.
    pub percent: u32,
}

/// A run that an upstream lists as ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndedRun {
    /// Rises by one with each end in the upstream's life, from 1.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// The number of the run.
    pub run: u32,
    /// How it ended.
    pub end: RunEnd,
    /// Its last checkpoint; empty: none.
    pub checkpoint: String,
}

/// All that runs on an upstream and what ended there, at one moment.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Snapshot {
    /// When the upstream started that gave this.
    pub born_ms: u64,
    /// The upstream's clock, in milliseconds.
    pub clock_ms: u64,
    /// What runs or is being stopped.
    pub running: Vec<ActiveRun>,
    /// What ended and was not acknowledged.
    pub ended: Vec<EndedRun>,
}

/// An order to start a run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StartOrder {
    /// The task.
    pub task: TaskId,
    /// The number of the run.
    pub run: u32,
    /// What to run.
    pub payload: String,
    /// After this time of the upstream's clock the order is refused.
    pub deadline_ms: u64,
    /// The coordinator's fencing token.
    pub token: u64,
    /// The checkpoint to go on from; empty: none.
    pub checkpoint: String,
}

/// What became of an order to start a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartOutcome {
    /// It is there, as of this time of the upstream's clock.
    Running {
        /// The clock, in milliseconds.
        clock_ms: u64,
    },
    /// It was refused and is not there.
    Refused(Refusal),
    /// Nobody can say yet: it may start until its deadline.
    Unknown,
}

/// Why an upstream refused to start a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// A higher fencing token was seen.
    Fenced,
    /// A run of this or a higher number ended or was stopped there.
    StaleRun,
    /// Its deadline had passed.
    DeadlinePassed,
    /// It does not fit.
    NoCapacity,
    /// The upstream is unhealthy or does not know what was asked.
    Unhealthy,
    /// It is another life of the upstream than the one that was meant.
    OtherIncarnation,
}

impl Refusal {
    /// The name that logs use.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Fenced => "fenced",
            Self::StaleRun => "old",
            Self::DeadlinePassed => "late",
            Self::NoCapacity => "room",
            Self::Unhealthy => "unhealthy",
            Self::OtherIncarnation => "other_incarnation",
        }
    }
}

/// Why a call of an upstream brought nothing.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum RunnerError {
    /// nothing listens at its address: {0}
    NotListening(String),
    /// it did not answer: {0}
    Unanswered(String),
    /// it answered what has no meaning: {0}
    Malformed(String),
    /// another life of it answered
    OtherIncarnation,
}

impl std::error::Error for RunnerError {}

/// The calls of an upstream.
pub trait Runner: Send + Sync {
    /// Starts a run.
    fn start(&self, upstream: &Upstream, start: &StartOrder) -> StartOutcome;

    /// Stops a run; it may go on for a short grace. A run that is not there
    /// is refused from then on. Returns the upstream's clock when it
    /// answered, in milliseconds.
    ///
    /// # Errors
    ///
    /// Any [`RunnerError`].
    fn stop(
        &self,
        upstream: &Upstream,
        task: TaskId,
        run: u32,
        token: u64,
    ) -> Result<u64, RunnerError>;

    /// Raises the fencing token, forgets ends up to `acknowledged`, extends
    /// what runs until `deadline_ms` of the upstream's clock if given, waits
    /// for an end for at most `wait`, and lists everything.
    ///
    /// # Errors
    ///
    /// Any [`RunnerError`].
    fn hold(
        &self,
        upstream: &Upstream,
        hold: Hold,
    ) -> Result<Snapshot, RunnerError>;
}

/// What a hold call carries.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Hold {
    /// The coordinator's fencing token.
    pub token: u64,
    /// The number of the last end that stands in the store.
    pub acknowledged: u64,
    /// Until when everything there may run, on the upstream's clock.
    pub deadline_ms: Option<u64>,
    /// How long the answer may wait for an end.
    pub wait: Duration,
}
