//! The interface between an agent and its upstream on the users' platform. One
//! call, [`Runner::hold`], renews the leases of all runs of an upstream. Other
//! deployments use [`upstream`](crate::upstream) instead.

use std::time::Duration;

use displaydoc::Display;

use crate::batch::{Incarnation, Resources, TaskId};

/// The state that an upstream reports in a heartbeat.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct UpstreamState {
    /// The upstream's incarnation.
    pub incarnation: Incarnation,
    /// The IP address and port at which it accepts calls.
    pub address: String,
    /// The service that the upstream belongs to.
    pub service: String,
    /// The failure domain of its worker.
    pub failure_domain: String,
    /// The total resources that it offers.
    pub capacity: Resources,
    /// Labels of the worker, among them its kind and its rack.
    pub labels: Vec<String>,
    /// The rack of its worker.
    pub rack: String,
    /// Whether the upstream is draining: it accepts no new runs and will
    /// leave.
    pub draining: bool,
    /// The minimum time until a draining upstream leaves.
    pub remaining: Option<Duration>,
    /// Increases with each heartbeat of this incarnation.
    pub sequence: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RunEnd {
    /// The run completed its work.
    Done,
    /// The run failed, because of a fault of its own or of the worker.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The run's lease lapsed.
    Lapsed,
    /// Another member of its gang ended before the gang was done.
    GangBroken,
    /// The rest of its gang did not start in time.
    GangIncomplete,
}

impl RunEnd {
    /// Returns the name used in logs.
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

/// An active run in an upstream's [`Snapshot`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ActiveRun {
    /// The task.
    pub task: TaskId,
    /// The number of the run.
    pub run: u32,
    /// The latest checkpoint; empty if there is none.
    pub checkpoint: String,
    /// The percentage of its work that is done, 0 to 100.
    pub percent: u32,
}

/// An ended run in an upstream's [`Snapshot`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndedRun {
    /// The sequence number of this end, counted from 1 in each incarnation of
    /// the upstream.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// The number of the run.
    pub run: u32,
    /// How the run ended.
    pub end: RunEnd,
    /// The last checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// A snapshot of all active runs of an upstream and of its first ended runs
/// that are not acknowledged yet.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Snapshot {
    /// When the upstream that gave the snapshot started, in milliseconds since
    /// the Unix epoch. It identifies the incarnation.
    pub born_ms: u64,
    /// The upstream's clock at the time of the snapshot, in milliseconds.
    pub clock_ms: u64,
    /// The runs that are active or being stopped.
    pub running: Vec<ActiveRun>,
    /// The runs that have ended and are not acknowledged yet, at most
    /// [`Self::MAX_ENDED`] of them. Further ones follow once these are
    /// acknowledged.
    pub ended: Vec<EndedRun>,
}

impl Snapshot {
    /// The maximum number of ended runs in a snapshot.
    pub const MAX_ENDED: usize = 500;

    /// Returns whether the snapshot certainly has all ended runs that are not
    /// acknowledged yet. Otherwise a run that it lacks may have ended.
    #[must_use]
    pub const fn lists_all_ends(&self) -> bool {
        self.ended.len() < Self::MAX_ENDED
    }
}

/// An order to start a run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StartOrder {
    /// The task.
    pub task: TaskId,
    /// The number of the run.
    pub run: u32,
    /// The payload that describes what to run.
    pub payload: String,
    /// The time on the upstream's clock, in milliseconds, after which the
    /// upstream refuses the order.
    pub deadline_ms: u64,
    /// The fencing token of orders to the upstream.
    pub token: u64,
    /// The checkpoint to resume from; empty if there is none.
    pub checkpoint: String,
}

/// The outcome of an order to start a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartOutcome {
    /// The run is active, as of this time on the upstream's clock.
    Running {
        /// The upstream's clock, in milliseconds.
        clock_ms: u64,
    },
    /// The order was refused, and the run is not active.
    Refused(Refusal),
    /// The outcome is not known yet: the run may still start until the order's
    /// deadline.
    Unknown,
}

/// Why an upstream refused to start a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The upstream has seen a higher fencing token.
    Fenced,
    /// A run of the task with this or a higher number has already ended or
    /// been stopped on the upstream.
    StaleRun,
    /// The order's deadline had passed.
    DeadlinePassed,
    /// The task does not fit into the remaining capacity.
    NoCapacity,
    /// The upstream cannot be reached, is unhealthy or rejected the order for
    /// another reason.
    Unhealthy,
    /// The order was meant for another incarnation of the upstream.
    OtherIncarnation,
}

impl Refusal {
    /// Returns the name used in logs.
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

/// Why a call to an upstream failed.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum RunnerError {
    /// nothing listens at the upstream's address: {0}
    NotListening(String),
    /// no usable answer from the upstream: {0}
    Unanswered(String),
    /// the upstream rejected the call and did nothing: status {0}
    Rejected(u16),
    /// the upstream's answer is malformed: {0}
    Malformed(String),
    /// another incarnation of the upstream answered
    OtherIncarnation,
    /// the upstream has seen a higher fencing token
    Fenced,
}

impl std::error::Error for RunnerError {}

/// A client of an upstream's API.
pub trait Runner: Send + Sync {
    /// Orders the upstream to start a run, and waits at most for `timeout`.
    /// Repeating the order has no effect once the run has started.
    fn start(
        &self,
        upstream: &UpstreamState,
        start: &StartOrder,
        timeout: Duration,
    ) -> StartOutcome;

    /// Orders the upstream to stop a run, which may continue for a short grace
    /// period. If the run has not started, the upstream refuses to start it
    /// from then on. Waits at most for `timeout`. Returns the upstream's clock
    /// at the time of its answer, in milliseconds.
    ///
    /// # Errors
    ///
    /// Returns any [`RunnerError`].
    fn stop(
        &self,
        upstream: &UpstreamState,
        run: (TaskId, u32),
        token: u64,
        timeout: Duration,
    ) -> Result<u64, RunnerError>;

    /// Renews the leases of all runs of an upstream and reports what runs
    /// there.
    ///
    /// The call raises the fencing token, discards the ended runs up to
    /// [`Hold::acknowledged`], extends all active runs until
    /// [`Hold::deadline_ms`] if that is given, waits for a run to end for at
    /// most [`Hold::wait`], and returns a snapshot.
    ///
    /// # Errors
    ///
    /// Returns any [`RunnerError`].
    fn hold(
        &self,
        upstream: &UpstreamState,
        hold: Hold,
    ) -> Result<Snapshot, RunnerError>;
}

/// The parameters of [`Runner::hold`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Hold {
    /// The fencing token of orders to the upstream.
    pub token: u64,
    /// The sequence number of the last ended run that is recorded in the
    /// store.
    pub acknowledged: u64,
    /// The time on the upstream's clock, in milliseconds, until which all
    /// active runs may continue; `None` leaves their leases unchanged.
    pub deadline_ms: Option<u64>,
    /// The maximum time that the answer may be delayed until a run ends.
    pub wait: Duration,
}
