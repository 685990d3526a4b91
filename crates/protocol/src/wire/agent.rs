//! The wire types of the messages between a coordinator and its agents.

use std::time::Duration;

use bincode::{Decode, Encode};

use super::{
    Attempt, EndingReport, JobId, Kind, WireError,
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
pub struct Header {
    workspace: String,
    service: String,
    shape: Shape,
    class: Class,
    repeatable: bool,
    recorded: bool,
    band: Band,
}

impl From<figrill_coordination::message::Header> for Header {
    fn from(v: figrill_coordination::message::Header) -> Self {
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

impl TryFrom<Header> for figrill_coordination::message::Header {
    type Error = WireError;
    fn try_from(w: Header) -> Result<Self, WireError> {
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
    header: Header,
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
    header: Header,
    need: Capacity,
    phase: GrantPhase,
    members: Vec<Member>,
    age: Duration,
}

impl From<figrill_coordination::message::GrantReport> for GrantReport {
    fn from(v: figrill_coordination::message::GrantReport) -> Self {
        Self {
            run: v.run.into(),
            header: v.header.into(),
            need: v.need.into(),
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
            need: w.need.try_into()?,
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
    Promised,
    Running,
    Stopping,
}

impl From<figrill_coordination::message::GrantPhase> for GrantPhase {
    fn from(v: figrill_coordination::message::GrantPhase) -> Self {
        use figrill_coordination::message::GrantPhase as D;
        match v {
            D::Held => Self::Held,
            D::Prepared => Self::Promised,
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
            GrantPhase::Promised => Self::Prepared,
            GrantPhase::Running => Self::Running,
            GrantPhase::Stopping => Self::Stopping,
        })
    }
}

#[derive(Encode, Decode)]
pub enum Ending {
    Done(Answer),
    Failed {
        kind: Kind,
        why: String,
        culprit: Option<String>,
    },
    NothingRan(Kind),
    Stopped(Kind, Vec<Option<Vec<u8>>>),
}

impl From<figrill_coordination::message::RunOutcome> for Ending {
    fn from(v: figrill_coordination::message::RunOutcome) -> Self {
        use figrill_coordination::message::RunOutcome as D;
        match v {
            D::Done(a) => Self::Done(a.into()),
            D::Failed { kind, why, culprit } => Self::Failed {
                kind: kind.into(),
                why,
                culprit,
            },
            D::NotStarted(a) => Self::NothingRan(a.into()),
            D::Stopped(a, b) => Self::Stopped(a.into(), b),
        }
    }
}

impl TryFrom<Ending> for figrill_coordination::message::RunOutcome {
    type Error = WireError;
    fn try_from(w: Ending) -> Result<Self, WireError> {
        Ok(match w {
            Ending::Done(a) => Self::Done(a.try_into()?),
            Ending::Failed { kind, why, culprit } => Self::Failed {
                kind: kind.try_into()?,
                why,
                culprit,
            },
            Ending::NothingRan(a) => Self::NotStarted(a.try_into()?),
            Ending::Stopped(a, b) => Self::Stopped(a.try_into()?, b),
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
    Stage {
        term: u64,
        run: Run,
    },
    Cancel {
        term: u64,
        run: Run,
        why: Kind,
        window: Duration,
    },
    Ack {
        run: Run,
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
            D::StartGang { term, run } => Self::Stage {
                term,
                run: run.into(),
            },
            D::Cancel {
                term,
                run,
                why,
                window,
            } => Self::Cancel {
                term,
                run: run.into(),
                why: why.into(),
                window,
            },
            D::Ack { run } => Self::Ack { run: run.into() },
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
            AgentRequest::Stage { term, run } => Self::StartGang {
                term,
                run: run.try_into()?,
            },
            AgentRequest::Cancel {
                term,
                run,
                why,
                window,
            } => Self::Cancel {
                term,
                run: run.try_into()?,
                why: why.try_into()?,
                window,
            },
            AgentRequest::Ack { run } => Self::Ack {
                run: run.try_into()?,
            },
        })
    }
}

#[derive(Encode, Decode)]
pub enum AgentReport {
    Full {
        term: u64,
        worker: Worker,
        grants: Vec<GrantReport>,
        endings: Vec<EndingReport>,
    },
    Changed {
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
        ending: Ending,
    },
    Freed {
        run: Run,
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
                endings: outcomes.into_iter().map(Into::into).collect(),
            },
            D::CapacityChanged { worker } => Self::Changed {
                worker: worker.into(),
            },
            D::Held { run } => Self::Held { run: run.into() },
            D::Refused { run } => Self::Refused { run: run.into() },
            D::Fenced { term } => Self::Fenced { term },
            D::Started { run } => Self::Started { run: run.into() },
            D::Ended { run, outcome } => Self::Ended {
                run: run.into(),
                ending: outcome.into(),
            },
            D::Freed { run } => Self::Freed { run: run.into() },
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
                endings,
            } => Self::Full {
                term,
                worker: worker.try_into()?,
                grants: try_convert_all(grants)?,
                outcomes: try_convert_all(endings)?,
            },
            AgentReport::Changed { worker } => Self::CapacityChanged {
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
            AgentReport::Ended { run, ending } => Self::Ended {
                run: run.try_into()?,
                outcome: ending.try_into()?,
            },
            AgentReport::Freed { run } => Self::Freed {
                run: run.try_into()?,
            },
        })
    }
}
