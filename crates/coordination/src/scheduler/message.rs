//! The messages between a store-backed coordinator and the agents.

use figrill_state::{
    batch::{Incarnation, TaskId},
    runner::{Snapshot, StartOrder, StartOutcome, UpstreamState},
};

/// A message from the coordinator to an agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ToAgent {
    /// Extends the deadline of runs and acknowledges ends of runs. It answers
    /// a report, is sent when a commit makes more ends durable, and is the
    /// first message on a new connection.
    Grant(Grant),
    /// Starts a run.
    Start {
        /// The incarnation of the upstream that the message is for.
        upstream: Incarnation,
        /// The run to start, with its payload and deadline.
        start: StartOrder,
    },
    /// Stops a run.
    Stop {
        /// The incarnation of the upstream that the message is for.
        upstream: Incarnation,
        /// The fencing token of orders to the incarnation.
        token: u64,
        /// The task that the run belongs to.
        task: TaskId,
        /// The number of the run to stop.
        run: u32,
    },
}

/// What an agent's upstream may do until the next grant.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Grant {
    /// The fencing token of orders to the upstream. It rises with each
    /// coordinator and with each incarnation that a coordinator sees.
    pub token: u64,
    /// The incarnation of the upstream that the other fields refer to.
    pub upstream: Incarnation,
    /// Until when all runs on the upstream may continue, in milliseconds on
    /// its clock. `None` leaves the deadline as it is.
    pub deadline_ms: Option<u64>,
    /// The sequence number up to which all ends of runs are committed to the
    /// store. The upstream need not report these any more.
    pub acknowledged: u64,
}

/// The result of an order to start a run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StartResult {
    /// The task that the run belongs to.
    pub task: TaskId,
    /// The number of the run that was to start.
    pub run: u32,
    /// The answer of the upstream or its agent.
    pub outcome: StartOutcome,
}

/// A stop that the upstream has acknowledged. From then on it does not begin
/// the run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopResult {
    /// The task that the run belongs to.
    pub task: TaskId,
    /// The number of the run that was to stop.
    pub run: u32,
    /// The upstream's clock when it answered, in milliseconds.
    pub clock_ms: u64,
}

/// A message from an agent to the coordinator.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// The fencing token under which the snapshot was taken.
    pub token: u64,
    /// The upstream, if one is registered.
    pub upstream: Option<UpstreamState>,
    /// An incarnation of the upstream that has certainly ended.
    pub ended_incarnation: Option<Incarnation>,
    /// The runs on the upstream, if it answered.
    pub snapshot: Option<Snapshot>,
    /// The results of starts since the last report.
    pub start_results: Vec<StartResult>,
    /// Stops that the incarnation in `upstream` acknowledged since the last
    /// report.
    pub stop_results: Vec<StopResult>,
}
