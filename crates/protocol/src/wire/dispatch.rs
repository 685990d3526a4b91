//! Orders and reports on the wire.

use bincode::{Decode, Encode};
use figrill_coordination::scheduler::message as domain;
use figrill_state::{
    batch::{self, BatchId},
    runner,
};
use std::time::Duration;

use super::{WireError, each};

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

/// Job, occurrence, step, index.
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
                start: runner::Start {
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

impl From<runner::Upstream> for Upstream {
    fn from(v: runner::Upstream) -> Self {
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

impl From<Upstream> for runner::Upstream {
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

/// An end by its place in the list of all.
const ENDS: [runner::End; 6] = [
    runner::End::Done,
    runner::End::Failed,
    runner::End::Stopped,
    runner::End::Lapsed,
    runner::End::Broken,
    runner::End::Alone,
];

/// A refusal by its place in the list of all.
const REFUSALS: [runner::Refusal; 6] = [
    runner::Refusal::Fenced,
    runner::Refusal::Old,
    runner::Refusal::Late,
    runner::Refusal::Room,
    runner::Refusal::Unhealthy,
    runner::Refusal::OtherIncarnation,
];

fn place<T: PartialEq>(all: &[T], v: &T) -> u8 {
    let place = all.iter().position(|each| each == v);
    place.and_then(|i| u8::try_from(i).ok()).unwrap_or(u8::MAX)
}

/// Task, run, checkpoint, percent.
#[derive(Encode, Decode)]
pub struct Running(TaskId, u32, String, u32);

impl From<runner::Running> for Running {
    fn from(v: runner::Running) -> Self {
        Self(v.task.into(), v.run, v.checkpoint, v.percent)
    }
}

impl TryFrom<Running> for runner::Running {
    type Error = WireError;

    fn try_from(w: Running) -> Result<Self, WireError> {
        Ok(Self {
            task: w.0.into(),
            run: w.1,
            checkpoint: w.2,
            percent: w.3,
        })
    }
}

/// Number, task, run, end, checkpoint.
#[derive(Encode, Decode)]
pub struct Ended(u64, TaskId, u32, u8, String);

impl From<runner::Ended> for Ended {
    fn from(v: runner::Ended) -> Self {
        let end = place(&ENDS, &v.end);
        Self(v.number, v.task.into(), v.run, end, v.checkpoint)
    }
}

impl TryFrom<Ended> for runner::Ended {
    type Error = WireError;

    fn try_from(w: Ended) -> Result<Self, WireError> {
        Ok(Self {
            number: w.0,
            task: w.1.into(),
            run: w.2,
            end: *ENDS.get(usize::from(w.3)).ok_or(WireError)?,
            checkpoint: w.4,
        })
    }
}

#[derive(Encode, Decode)]
pub struct Snapshot {
    born_ms: u64,
    clock_ms: u64,
    running: Vec<Running>,
    ended: Vec<Ended>,
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
            running: each(w.running)?,
            ended: each(w.ended)?,
        })
    }
}

#[derive(Encode, Decode)]
pub enum Started {
    Running(u64),
    Refused(u8),
    Unknown,
}

#[derive(Encode, Decode)]
pub struct StartResult(TaskId, u32, Started);

impl From<domain::StartResult> for StartResult {
    fn from(v: domain::StartResult) -> Self {
        let started = match v.started {
            runner::Started::Running { clock_ms } => {
                Started::Running(clock_ms)
            }
            runner::Started::Refused(refusal) => {
                Started::Refused(place(&REFUSALS, &refusal))
            }
            runner::Started::Unknown => Started::Unknown,
        };
        Self(v.task.into(), v.run, started)
    }
}

impl TryFrom<StartResult> for domain::StartResult {
    type Error = WireError;

    fn try_from(w: StartResult) -> Result<Self, WireError> {
        let started = match w.2 {
            Started::Running(clock_ms) => {
                runner::Started::Running { clock_ms }
            }
            Started::Refused(refusal) => {
                let refusal = REFUSALS.get(usize::from(refusal));
                runner::Started::Refused(*refusal.ok_or(WireError)?)
            }
            Started::Unknown => runner::Started::Unknown,
        };
        Ok(Self {
            task: w.0.into(),
            run: w.1,
            started,
        })
    }
}

#[derive(Encode, Decode)]
pub struct Report {
    token: u64,
    upstream: Option<Upstream>,
    gone: Option<Incarnation>,
    snapshot: Option<Snapshot>,
    results: Vec<StartResult>,
    stopped: Vec<StopResult>,
}

/// Task, run, clock.
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
            gone: v.ended_incarnation.map(Into::into),
            snapshot: v.snapshot.map(Into::into),
            results: v.start_results.into_iter().map(Into::into).collect(),
            stopped: v.stop_results.into_iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<Report> for domain::Report {
    type Error = WireError;

    fn try_from(w: Report) -> Result<Self, WireError> {
        Ok(Self {
            token: w.token,
            upstream: w.upstream.map(Into::into),
            ended_incarnation: w.gone.map(Into::into),
            snapshot: w.snapshot.map(TryInto::try_into).transpose()?,
            start_results: each(w.results)?,
            stop_results: w.stopped.into_iter().map(Into::into).collect(),
        })
    }
}
