//! The wire types of the messages between a coordinator and its agents in the
//! mode in which all scheduling state is kept in the platform's store.

use bincode::{Decode, Encode};
use figrill_coordination::scheduler::message as domain;
use figrill_state::{
    batch::{self, BatchId},
    runner,
};
use std::time::Duration;

use super::{WireError, try_convert_all};

#[derive(Encode, Decode)]
pub struct Incarnation {
    id: String,
    born_ms: u64,
}

impl From<batch::Incarnation> for Incarnation {
    fn from(v: batch::Incarnation) -> Self {
        Self {
            id: v.id,
            born_ms: v.born_ms,
        }
    }
}

impl From<Incarnation> for batch::Incarnation {
    fn from(w: Incarnation) -> Self {
        Self {
            id: w.id,
            born_ms: w.born_ms,
        }
    }
}

/// The job, the occurrence, the step and the index of a task.
#[derive(Encode, Decode)]
pub struct TaskId(u64, u32, u32, u32);

impl From<batch::TaskId> for TaskId {
    fn from(v: batch::TaskId) -> Self {
        Self(v.job.0, v.occurrence, v.step, v.index)
    }
}

impl From<TaskId> for batch::TaskId {
    fn from(w: TaskId) -> Self {
        Self {
            job: BatchId(w.0),
            occurrence: w.1,
            step: w.2,
            index: w.3,
        }
    }
}

#[derive(Encode, Decode)]
pub enum ToAgent {
    Grant {
        token: u64,
        upstream: Incarnation,
        deadline_ms: Option<u64>,
        acknowledged: u64,
    },
    Start {
        upstream: Incarnation,
        task: TaskId,
        run: u32,
        payload: String,
        deadline_ms: u64,
        token: u64,
        checkpoint: String,
    },
    Stop {
        upstream: Incarnation,
        token: u64,
        task: TaskId,
        run: u32,
    },
}

impl From<domain::ToAgent> for ToAgent {
    fn from(v: domain::ToAgent) -> Self {
        match v {
            domain::ToAgent::Grant(g) => Self::Grant {
                token: g.token,
                upstream: g.upstream.into(),
                deadline_ms: g.deadline_ms,
                acknowledged: g.acknowledged,
            },
            domain::ToAgent::Start { upstream, start } => Self::Start {
                upstream: upstream.into(),
                task: start.task.into(),
                run: start.run,
                payload: start.payload,
                deadline_ms: start.deadline_ms,
                token: start.token,
                checkpoint: start.checkpoint,
            },
            domain::ToAgent::Stop {
                upstream,
                token,
                task,
                run,
            } => Self::Stop {
                upstream: upstream.into(),
                token,
                task: task.into(),
                run,
            },
        }
    }
}

impl TryFrom<ToAgent> for domain::ToAgent {
    type Error = WireError;

    fn try_from(w: ToAgent) -> Result<Self, WireError> {
        Ok(match w {
            ToAgent::Grant {
                token,
                upstream,
                deadline_ms,
                acknowledged,
            } => Self::Grant(domain::Grant {
                token,
                upstream: upstream.into(),
                deadline_ms,
                acknowledged,
            }),
            ToAgent::Start {
                upstream,
                task,
                run,
                payload,
                deadline_ms,
                token,
                checkpoint,
            } => Self::Start {
                upstream: upstream.into(),
                start: runner::StartOrder {
                    task: task.into(),
                    run,
                    payload,
                    deadline_ms,
                    token,
                    checkpoint,
                },
            },
            ToAgent::Stop {
                upstream,
                token,
                task,
                run,
            } => Self::Stop {
                upstream: upstream.into(),
                token,
                task: task.into(),
                run,
            },
        })
    }
}

#[derive(Encode, Decode)]
pub struct Upstream {
    incarnation: Incarnation,
    address: String,
    service: String,
    failure_domain: String,
    cpu_milli: u64,
    memory_mib: u64,
    accelerators: u64,
    labels: Vec<String>,
    rack: String,
    draining: bool,
    remaining: Option<Duration>,
    sequence: u64,
}

impl From<runner::UpstreamState> for Upstream {
    fn from(v: runner::UpstreamState) -> Self {
        Self {
            incarnation: v.incarnation.into(),
            address: v.address,
            service: v.service,
            failure_domain: v.failure_domain,
            cpu_milli: v.capacity.cpu_milli,
            memory_mib: v.capacity.memory_mib,
            accelerators: v.capacity.accelerators,
            labels: v.labels,
            rack: v.rack,
            draining: v.draining,
            remaining: v.remaining,
            sequence: v.sequence,
        }
    }
}

impl From<Upstream> for runner::UpstreamState {
    fn from(w: Upstream) -> Self {
        Self {
            incarnation: w.incarnation.into(),
            address: w.address,
            service: w.service,
            failure_domain: w.failure_domain,
            capacity: batch::Resources {
                cpu_milli: w.cpu_milli,
                memory_mib: w.memory_mib,
                accelerators: w.accelerators,
            },
            labels: w.labels,
            rack: w.rack,
            draining: w.draining,
            remaining: w.remaining,
            sequence: w.sequence,
        }
    }
}

/// All values of [`runner::RunEnd`]. A value is encoded as its index here, so
/// the order is part of the protocol.
const RUN_ENDS: [runner::RunEnd; 6] = [
    runner::RunEnd::Done,
    runner::RunEnd::Failed,
    runner::RunEnd::Stopped,
    runner::RunEnd::Lapsed,
    runner::RunEnd::GangBroken,
    runner::RunEnd::GangIncomplete,
];

/// All values of [`runner::Refusal`]. A value is encoded as its index here, so
/// the order is part of the protocol.
const REFUSALS: [runner::Refusal; 6] = [
    runner::Refusal::Fenced,
    runner::Refusal::StaleRun,
    runner::Refusal::DeadlinePassed,
    runner::Refusal::NoCapacity,
    runner::Refusal::Unhealthy,
    runner::Refusal::OtherIncarnation,
];

/// Returns the index of `v` in `all`. A value that is missing there becomes
/// `u8::MAX`, which the receiver rejects as malformed.
fn index_of<T: PartialEq>(all: &[T], v: &T) -> u8 {
    let index = all.iter().position(|item| item == v);
    index.and_then(|i| u8::try_from(i).ok()).unwrap_or(u8::MAX)
}

/// The task, the run, its last checkpoint and its progress in percent.
#[derive(Encode, Decode)]
pub struct ActiveRun(TaskId, u32, String, u32);

impl From<runner::ActiveRun> for ActiveRun {
    fn from(v: runner::ActiveRun) -> Self {
        Self(v.task.into(), v.run, v.checkpoint, v.percent)
    }
}

impl TryFrom<ActiveRun> for runner::ActiveRun {
    type Error = WireError;

    fn try_from(w: ActiveRun) -> Result<Self, WireError> {
        Ok(Self {
            task: w.0.into(),
            run: w.1,
            checkpoint: w.2,
            percent: w.3,
        })
    }
}

/// The number of the end, the task, the run, how it ended (an index into
/// [`RUN_ENDS`]) and its last checkpoint.
#[derive(Encode, Decode)]
pub struct EndedRun(u64, TaskId, u32, u8, String);

impl From<runner::EndedRun> for EndedRun {
    fn from(v: runner::EndedRun) -> Self {
        let end = index_of(&RUN_ENDS, &v.end);
        Self(v.number, v.task.into(), v.run, end, v.checkpoint)
    }
}

impl TryFrom<EndedRun> for runner::EndedRun {
    type Error = WireError;

    fn try_from(w: EndedRun) -> Result<Self, WireError> {
        Ok(Self {
            number: w.0,
            task: w.1.into(),
            run: w.2,
            end: *RUN_ENDS.get(usize::from(w.3)).ok_or(WireError)?,
            checkpoint: w.4,
        })
    }
}

#[derive(Encode, Decode)]
pub struct Snapshot {
    born_ms: u64,
    clock_ms: u64,
    running: Vec<ActiveRun>,
    ended: Vec<EndedRun>,
}

impl From<runner::Snapshot> for Snapshot {
    fn from(v: runner::Snapshot) -> Self {
        Self {
            born_ms: v.born_ms,
            clock_ms: v.clock_ms,
            running: v.running.into_iter().map(Into::into).collect(),
            ended: v.ended.into_iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<Snapshot> for runner::Snapshot {
    type Error = WireError;

    fn try_from(w: Snapshot) -> Result<Self, WireError> {
        Ok(Self {
            born_ms: w.born_ms,
            clock_ms: w.clock_ms,
            running: try_convert_all(w.running)?,
            ended: try_convert_all(w.ended)?,
        })
    }
}

/// The outcome of an order to start a run.
#[derive(Encode, Decode)]
pub enum StartOutcome {
    /// The upstream's clock in milliseconds.
    Running(u64),
    /// The refusal, as an index into [`REFUSALS`].
    Refused(u8),
    Unknown,
}

/// The task, the run and the outcome of the order to start it.
#[derive(Encode, Decode)]
pub struct StartResult(TaskId, u32, StartOutcome);

impl From<domain::StartResult> for StartResult {
    fn from(v: domain::StartResult) -> Self {
        let outcome = match v.outcome {
            runner::StartOutcome::Running { clock_ms } => {
                StartOutcome::Running(clock_ms)
            }
            runner::StartOutcome::Refused(refusal) => {
                StartOutcome::Refused(index_of(&REFUSALS, &refusal))
            }
            runner::StartOutcome::Unknown => StartOutcome::Unknown,
        };
        Self(v.task.into(), v.run, outcome)
    }
}

impl TryFrom<StartResult> for domain::StartResult {
    type Error = WireError;

    fn try_from(w: StartResult) -> Result<Self, WireError> {
        let outcome = match w.2 {
            StartOutcome::Running(clock_ms) => {
                runner::StartOutcome::Running { clock_ms }
            }
            StartOutcome::Refused(refusal) => {
                let refusal = REFUSALS.get(usize::from(refusal));
                runner::StartOutcome::Refused(*refusal.ok_or(WireError)?)
            }
            StartOutcome::Unknown => runner::StartOutcome::Unknown,
        };
        Ok(Self {
            task: w.0.into(),
            run: w.1,
            outcome,
        })
    }
}

#[derive(Encode, Decode)]
pub struct Report {
    token: u64,
    upstream: Option<Upstream>,
    ended_incarnation: Option<Incarnation>,
    snapshot: Option<Snapshot>,
    start_results: Vec<StartResult>,
    stop_results: Vec<StopResult>,
}

/// The task, the run and the upstream's clock in milliseconds.
#[derive(Encode, Decode)]
pub struct StopResult(TaskId, u32, u64);

impl From<domain::StopResult> for StopResult {
    fn from(v: domain::StopResult) -> Self {
        Self(v.task.into(), v.run, v.clock_ms)
    }
}

impl From<StopResult> for domain::StopResult {
    fn from(w: StopResult) -> Self {
        Self {
            task: w.0.into(),
            run: w.1,
            clock_ms: w.2,
        }
    }
}

impl From<domain::Report> for Report {
    fn from(v: domain::Report) -> Self {
        Self {
            token: v.token,
            upstream: v.upstream.map(Into::into),
            ended_incarnation: v.ended_incarnation.map(Into::into),
            snapshot: v.snapshot.map(Into::into),
            start_results: v
                .start_results
                .into_iter()
                .map(Into::into)
                .collect(),
            stop_results: v.stop_results.into_iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<Report> for domain::Report {
    type Error = WireError;

    fn try_from(w: Report) -> Result<Self, WireError> {
        Ok(Self {
            token: w.token,
            upstream: w.upstream.map(Into::into),
            ended_incarnation: w.ended_incarnation.map(Into::into),
            snapshot: w.snapshot.map(TryInto::try_into).transpose()?,
            start_results: try_convert_all(w.start_results)?,
            stop_results: w.stop_results.into_iter().map(Into::into).collect(),
        })
    }
}
