//! The wire types of the messages between a coordinator and its agents.

use std::time::Duration;

use bincode::{Decode, Encode};

use super::{
    Attempt, JobId, Kind, OutcomeReport, WireError,
    state::{Answer, Capacity, Class, Shape, Worker},
    try_convert_all,
};

#[derive(Encode, Decode)]
pub struct Run {
    job: JobId,
    attempt: Attempt,
}

impl From<figrill_coordination::message::Run> for Run {
    fn from(v: figrill_coordination::message::Run) -> Self {
        Self {
            job: v.job.into(),
            attempt: v.attempt.into(),
        }
    }
}

impl TryFrom<Run> for figrill_coordination::message::Run {
    type Error = WireError;
    fn try_from(w: Run) -> Result<Self, WireError> {
        Ok(Self {
            job: w.job.try_into()?,
            attempt: w.attempt.try_into()?,
        })
    }
}

#[derive(Encode, Decode)]
pub struct JobHeader {
    workspace: String,
    service: String,
    shape: Shape,
    class: Class,
    repeatable: bool,
    recorded: bool,
    band: Band,
}

impl From<figrill_coordination::message::JobHeader> for JobHeader {
    fn from(v: figrill_coordination::message::JobHeader) -> Self {
        Self {
            workspace: v.workspace,
            service: v.service,
            shape: v.shape.into(),
            class: v.class.into(),
            repeatable: v.repeatable,
            recorded: v.recorded,
            band: v.band.into(),
        }
    }
}

impl TryFrom<JobHeader> for figrill_coordination::message::JobHeader {
    type Error = WireError;
    fn try_from(w: JobHeader) -> Result<Self, WireError> {
        Ok(Self {
            workspace: w.workspace,
            service: w.service,
            shape: w.shape.try_into()?,
            class: w.class.try_into()?,
            repeatable: w.repeatable,
            recorded: w.recorded,
            band: w.band.try_into()?,
        })
    }
}

#[derive(Encode, Decode)]
pub struct Member {
    worker: String,
    incarnation: u64,
    address: String,
    ranks: Vec<u32>,
}

impl From<figrill_coordination::message::Member> for Member {
    fn from(v: figrill_coordination::message::Member) -> Self {
        Self {
            worker: v.worker,
            incarnation: v.incarnation,
            address: v.address,
            ranks: v.ranks,
        }
    }
}

impl TryFrom<Member> for figrill_coordination::message::Member {
    type Error = WireError;
    fn try_from(w: Member) -> Result<Self, WireError> {
        Ok(Self {
            worker: w.worker,
            incarnation: w.incarnation,
            address: w.address,
            ranks: w.ranks,
        })
    }
}

#[derive(Encode, Decode)]
pub struct Part {
    rank: u32,
    input: Vec<u8>,
    checkpoint: Option<Vec<u8>>,
}

impl From<figrill_coordination::message::Part> for Part {
    fn from(v: figrill_coordination::message::Part) -> Self {
        Self {
            rank: v.rank,
            input: v.input,
            checkpoint: v.checkpoint,
        }
    }
}

impl TryFrom<Part> for figrill_coordination::message::Part {
    type Error = WireError;
    fn try_from(w: Part) -> Result<Self, WireError> {
        Ok(Self {
            rank: w.rank,
            input: w.input,
            checkpoint: w.checkpoint,
        })
    }
}

#[derive(Encode, Decode)]
pub struct Hold {
    term: u64,
    run: Run,
    header: JobHeader,
    members: Vec<Member>,
    parts: Vec<Part>,
    ttl: Duration,
}

impl From<figrill_coordination::message::Hold> for Hold {
    fn from(v: figrill_coordination::message::Hold) -> Self {
        Self {
            term: v.term,
            run: v.run.into(),
            header: v.header.into(),
            members: v.members.into_iter().map(Into::into).collect(),
            parts: v.parts.into_iter().map(Into::into).collect(),
            ttl: v.ttl,
        }
    }
}

impl TryFrom<Hold> for figrill_coordination::message::Hold {
    type Error = WireError;
    fn try_from(w: Hold) -> Result<Self, WireError> {
        Ok(Self {
            term: w.term,
            run: w.run.try_into()?,
            header: w.header.try_into()?,
            members: try_convert_all(w.members)?,
            parts: try_convert_all(w.parts)?,
            ttl: w.ttl,
        })
    }
}

#[derive(Encode, Decode)]
pub struct GrantReport {
    run: Run,
    header: JobHeader,
    capacity: Capacity,
    phase: GrantPhase,
    members: Vec<Member>,
    age: Duration,
}

impl From<figrill_coordination::message::GrantReport> for GrantReport {
    fn from(v: figrill_coordination::message::GrantReport) -> Self {
        Self {
            run: v.run.into(),
            header: v.header.into(),
            capacity: v.capacity.into(),
            phase: v.phase.into(),
            members: v.members.into_iter().map(Into::into).collect(),
            age: v.age,
        }
    }
}

impl TryFrom<GrantReport> for figrill_coordination::message::GrantReport {
    type Error = WireError;
    fn try_from(w: GrantReport) -> Result<Self, WireError> {
        Ok(Self {
            run: w.run.try_into()?,
            header: w.header.try_into()?,
            capacity: w.capacity.try_into()?,
            phase: w.phase.try_into()?,
            members: try_convert_all(w.members)?,
            age: w.age,
        })
    }
}

#[derive(Encode, Decode)]
pub enum Band {
    Own,
    Unpromised,
    Borrowed,
}

impl From<figrill_coordination::message::Band> for Band {
    fn from(v: figrill_coordination::message::Band) -> Self {
        use figrill_coordination::message::Band as D;
        match v {
            D::Own => Self::Own,
            D::Unpromised => Self::Unpromised,
            D::Borrowed => Self::Borrowed,
        }
    }
}

impl TryFrom<Band> for figrill_coordination::message::Band {
    type Error = WireError;
    fn try_from(w: Band) -> Result<Self, WireError> {
        Ok(match w {
            Band::Own => Self::Own,
            Band::Unpromised => Self::Unpromised,
            Band::Borrowed => Self::Borrowed,
        })
    }
}

#[derive(Encode, Decode)]
pub enum GrantPhase {
    Held,
    Prepared,
    Running,
    Stopping,
}

impl From<figrill_coordination::message::GrantPhase> for GrantPhase {
    fn from(v: figrill_coordination::message::GrantPhase) -> Self {
        use figrill_coordination::message::GrantPhase as D;
        match v {
            D::Held => Self::Held,
            D::Prepared => Self::Prepared,
            D::Running => Self::Running,
            D::Stopping => Self::Stopping,
        }
    }
}

impl TryFrom<GrantPhase> for figrill_coordination::message::GrantPhase {
    type Error = WireError;
    fn try_from(w: GrantPhase) -> Result<Self, WireError> {
        Ok(match w {
            GrantPhase::Held => Self::Held,
            GrantPhase::Prepared => Self::Prepared,
            GrantPhase::Running => Self::Running,
            GrantPhase::Stopping => Self::Stopping,
        })
    }
}

#[derive(Encode, Decode)]
pub enum RunOutcome {
    Done(Answer),
    Failed {
        kind: Kind,
        reason: String,
        failed_worker: Option<String>,
    },
    NotStarted(Kind),
    Stopped(Kind, Vec<Option<Vec<u8>>>),
}

impl From<figrill_coordination::message::RunOutcome> for RunOutcome {
    fn from(v: figrill_coordination::message::RunOutcome) -> Self {
        use figrill_coordination::message::RunOutcome as D;
        match v {
            D::Done(a) => Self::Done(a.into()),
            D::Failed {
                kind,
                reason,
                failed_worker,
            } => Self::Failed {
                kind: kind.into(),
                reason,
                failed_worker,
            },
            D::NotStarted(a) => Self::NotStarted(a.into()),
            D::Stopped(a, b) => Self::Stopped(a.into(), b),
        }
    }
}

impl TryFrom<RunOutcome> for figrill_coordination::message::RunOutcome {
    type Error = WireError;
    fn try_from(w: RunOutcome) -> Result<Self, WireError> {
        Ok(match w {
            RunOutcome::Done(a) => Self::Done(a.try_into()?),
            RunOutcome::Failed {
                kind,
                reason,
                failed_worker,
            } => Self::Failed {
                kind: kind.try_into()?,
                reason,
                failed_worker,
            },
            RunOutcome::NotStarted(a) => Self::NotStarted(a.try_into()?),
            RunOutcome::Stopped(a, b) => Self::Stopped(a.try_into()?, b),
        })
    }
}

#[derive(Encode, Decode)]
pub enum AgentRequest {
    Coordinate {
        term: u64,
    },
    Hold(Hold),
    Release {
        term: u64,
        run: Run,
    },
    StartGang {
        term: u64,
        run: Run,
    },
    Cancel {
        term: u64,
        run: Run,
        reason: Kind,
        window: Duration,
    },
    Ack {
        run: Run,
    },
    Dismiss {
        term: u64,
    },
}

impl From<figrill_coordination::message::AgentRequest> for AgentRequest {
    fn from(v: figrill_coordination::message::AgentRequest) -> Self {
        use figrill_coordination::message::AgentRequest as D;
        match v {
            D::Coordinate { term } => Self::Coordinate { term },
            D::Hold(a) => Self::Hold(a.into()),
            D::Release { term, run } => Self::Release {
                term,
                run: run.into(),
            },
            D::StartGang { term, run } => Self::StartGang {
                term,
                run: run.into(),
            },
            D::Cancel {
                term,
                run,
                reason,
                window,
            } => Self::Cancel {
                term,
                run: run.into(),
                reason: reason.into(),
                window,
            },
            D::Ack { run } => Self::Ack { run: run.into() },
            D::Dismiss { term } => Self::Dismiss { term },
        }
    }
}

impl TryFrom<AgentRequest> for figrill_coordination::message::AgentRequest {
    type Error = WireError;
    fn try_from(w: AgentRequest) -> Result<Self, WireError> {
        Ok(match w {
            AgentRequest::Coordinate { term } => Self::Coordinate { term },
            AgentRequest::Hold(a) => Self::Hold(a.try_into()?),
            AgentRequest::Release { term, run } => Self::Release {
                term,
                run: run.try_into()?,
            },
            AgentRequest::StartGang { term, run } => Self::StartGang {
                term,
                run: run.try_into()?,
            },
            AgentRequest::Cancel {
                term,
                run,
                reason,
                window,
            } => Self::Cancel {
                term,
                run: run.try_into()?,
                reason: reason.try_into()?,
                window,
            },
            AgentRequest::Ack { run } => Self::Ack {
                run: run.try_into()?,
            },
            AgentRequest::Dismiss { term } => Self::Dismiss { term },
        })
    }
}

#[derive(Encode, Decode)]
pub enum AgentReport {
    Full {
        term: u64,
        worker: Worker,
        grants: Vec<GrantReport>,
        outcomes: Vec<OutcomeReport>,
    },
    CapacityChanged {
        worker: Worker,
    },
    Held {
        run: Run,
    },
    Refused {
        run: Run,
    },
    Fenced {
        term: u64,
    },
    Started {
        run: Run,
    },
    Ended {
        run: Run,
        outcome: RunOutcome,
    },
    Freed {
        run: Run,
    },
    Leaving {
        term: u64,
        worker: Worker,
    },
}

impl From<figrill_coordination::message::AgentReport> for AgentReport {
    fn from(v: figrill_coordination::message::AgentReport) -> Self {
        use figrill_coordination::message::AgentReport as D;
        match v {
            D::Full {
                term,
                worker,
                grants,
                outcomes,
            } => Self::Full {
                term,
                worker: worker.into(),
                grants: grants.into_iter().map(Into::into).collect(),
                outcomes: outcomes.into_iter().map(Into::into).collect(),
            },
            D::CapacityChanged { worker } => Self::CapacityChanged {
                worker: worker.into(),
            },
            D::Held { run } => Self::Held { run: run.into() },
            D::Refused { run } => Self::Refused { run: run.into() },
            D::Fenced { term } => Self::Fenced { term },
            D::Started { run } => Self::Started { run: run.into() },
            D::Ended { run, outcome } => Self::Ended {
                run: run.into(),
                outcome: outcome.into(),
            },
            D::Freed { run } => Self::Freed { run: run.into() },
            D::Leaving { term, worker } => Self::Leaving {
                term,
                worker: worker.into(),
            },
        }
    }
}

impl TryFrom<AgentReport> for figrill_coordination::message::AgentReport {
    type Error = WireError;
    fn try_from(w: AgentReport) -> Result<Self, WireError> {
        Ok(match w {
            AgentReport::Full {
                term,
                worker,
                grants,
                outcomes,
            } => Self::Full {
                term,
                worker: worker.try_into()?,
                grants: try_convert_all(grants)?,
                outcomes: try_convert_all(outcomes)?,
            },
            AgentReport::CapacityChanged { worker } => Self::CapacityChanged {
                worker: worker.try_into()?,
            },
            AgentReport::Held { run } => Self::Held {
                run: run.try_into()?,
            },
            AgentReport::Refused { run } => Self::Refused {
                run: run.try_into()?,
            },
            AgentReport::Fenced { term } => Self::Fenced { term },
            AgentReport::Started { run } => Self::Started {
                run: run.try_into()?,
            },
            AgentReport::Ended { run, outcome } => Self::Ended {
                run: run.try_into()?,
                outcome: outcome.try_into()?,
            },
            AgentReport::Freed { run } => Self::Freed {
                run: run.try_into()?,
            },
            AgentReport::Leaving { term, worker } => Self::Leaving {
                term,
                worker: worker.try_into()?,
            },
        })
    }
}
