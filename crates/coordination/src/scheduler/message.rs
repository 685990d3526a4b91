//! What the coordinator and an agent tell each other.

use figrill_state::{
    batch::{Incarnation, TaskId},
    runner::{Snapshot, StartOrder, StartOutcome, Upstream},
};

/// Coordinator to agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ToAgent {
    /// The answer to a report, and the first message of a new coordinator.
    Grant(Grant),
    /// Start a run.
    Start {
        /// The life of the upstream that is meant.
        upstream: Incarnation,
        /// The order.
        start: StartOrder,
    },
    /// Stop a run.
    Stop {
        /// The life of the upstream that is meant.
        upstream: Incarnation,
        /// The coordinator's fencing token.
        token: u64,
        /// The task.
        task: TaskId,
        /// The run.
        run: u32,
    },
}

/// What an agent may do until the next word.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Grant {
    /// The coordinator's fencing token.
    pub token: u64,
    /// The life of the upstream that the rest is about.
    pub upstream: Incarnation,
    /// Until when everything there may run, on the upstream's clock.
    pub deadline_ms: Option<u64>,
    /// The number of the last end that stands in the store.
    pub acknowledged: u64,
}

/// What became of a start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StartResult {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: u32,
    /// What became of it.
    pub started: StartOutcome,
}

/// A stop that the upstream has answered: from then on the run is not begun
/// there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopResult {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: u32,
    /// The upstream's clock when it answered, in milliseconds.
    pub clock_ms: u64,
}

/// Agent to coordinator.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// The token under which the snapshot was taken.
    pub token: u64,
    /// The upstream, if one is registered.
    pub upstream: Option<Upstream>,
    /// A life of the upstream that is surely over.
    pub gone: Option<Incarnation>,
    /// What runs there, if it answered.
    pub snapshot: Option<Snapshot>,
    /// What became of starts since the last report.
    pub results: Vec<StartResult>,
    /// Stops that were answered since the last report.
    pub stopped: Vec<StopResult>,
}
