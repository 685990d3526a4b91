//! The wire types of jobs, workers and stored records; they mirror types of
//! `figrill_state`.

use std::time::Duration;

use bincode::{Decode, Encode};

use super::{Attempt, JobId, Kind, WireError, try_convert_all};

#[derive(Encode, Decode)]
pub struct Stamp {
    ms: u64,
    count: u32,
}

impl From<figrill_state::event::Stamp> for Stamp {
    fn from(v: figrill_state::event::Stamp) -> Self {
        Self {
            ms: v.ms,
            count: v.count,
        }
    }
}

impl TryFrom<Stamp> for figrill_state::event::Stamp {
    type Error = WireError;
    fn try_from(w: Stamp) -> Result<Self, WireError> {
        Ok(Self {
            ms: w.ms,
            count: w.count,
        })
    }
}

#[derive(Encode, Decode)]
pub struct Shape {
    parts: u32,
    accelerators: u32,
    memory_mib: u32,
    adjacency: Adjacency,
}

impl From<figrill_state::job::Shape> for Shape {
    fn from(v: figrill_state::job::Shape) -> Self {
        Self {
            parts: v.parts,
            accelerators: v.accelerators,
            memory_mib: v.memory_mib,
            adjacency: v.adjacency.into(),
        }
    }
}

impl TryFrom<Shape> for figrill_state::job::Shape {
    type Error = WireError;
    fn try_from(w: Shape) -> Result<Self, WireError> {
        Ok(Self {
            parts: w.parts,
            accelerators: w.accelerators,
            memory_mib: w.memory_mib,
            adjacency: w.adjacency.try_into()?,
        })
    }
}

#[derive(Encode, Decode)]
pub struct Capacity {
    accelerators: u32,
    slots: u32,
    memory_mib: u32,
}

impl From<figrill_state::worker::Capacity> for Capacity {
    fn from(v: figrill_state::worker::Capacity) -> Self {
        Self {
            accelerators: v.accelerators,
            slots: v.slots,
            memory_mib: v.memory_mib,
        }
    }
}

impl TryFrom<Capacity> for figrill_state::worker::Capacity {
    type Error = WireError;
    fn try_from(w: Capacity) -> Result<Self, WireError> {
        Ok(Self {
            accelerators: w.accelerators,
            slots: w.slots,
            memory_mib: w.memory_mib,
        })
    }
}

#[derive(Encode, Decode)]
pub struct Place {
    failure_domain: String,
    rack: String,
}

impl From<figrill_state::worker::Place> for Place {
    fn from(v: figrill_state::worker::Place) -> Self {
        Self {
            failure_domain: v.failure_domain,
            rack: v.rack,
        }
    }
}

impl TryFrom<Place> for figrill_state::worker::Place {
    type Error = WireError;
    fn try_from(w: Place) -> Result<Self, WireError> {
        Ok(Self {
            failure_domain: w.failure_domain,
            rack: w.rack,
        })
    }
}

#[derive(Encode, Decode)]
pub struct Worker {
    name: String,
    incarnation: u64,
    address: String,
    place: Place,
    capacity: Capacity,
}

impl From<figrill_state::worker::Worker> for Worker {
    fn from(v: figrill_state::worker::Worker) -> Self {
        Self {
            name: v.name,
            incarnation: v.incarnation,
            address: v.address,
            place: v.place.into(),
            capacity: v.capacity.into(),
        }
    }
}

impl TryFrom<Worker> for figrill_state::worker::Worker {
    type Error = WireError;
    fn try_from(w: Worker) -> Result<Self, WireError> {
        Ok(Self {
            name: w.name,
            incarnation: w.incarnation,
            address: w.address,
            place: w.place.try_into()?,
            capacity: w.capacity.try_into()?,
        })
    }
}

#[derive(Encode, Decode)]
pub struct EntryAddress {
    name: String,
    peer: String,
    http: String,
    incarnation: u64,
}

impl From<figrill_state::record::EntryAddress> for EntryAddress {
    fn from(v: figrill_state::record::EntryAddress) -> Self {
        Self {
            name: v.name,
            peer: v.peer,
            http: v.http,
            incarnation: v.incarnation,
        }
    }
}

impl TryFrom<EntryAddress> for figrill_state::record::EntryAddress {
    type Error = WireError;
    fn try_from(w: EntryAddress) -> Result<Self, WireError> {
        Ok(Self {
            name: w.name,
            peer: w.peer,
            http: w.http,
            incarnation: w.incarnation,
        })
    }
}

#[derive(Encode, Decode)]
pub struct TermRecord {
    term: u64,
    holder: String,
    incarnation: u64,
    peer: String,
}

impl From<figrill_state::record::TermRecord> for TermRecord {
    fn from(v: figrill_state::record::TermRecord) -> Self {
        Self {
            term: v.term,
            holder: v.holder,
            incarnation: v.incarnation,
            peer: v.peer,
        }
    }
}

impl TryFrom<TermRecord> for figrill_state::record::TermRecord {
    type Error = WireError;
    fn try_from(w: TermRecord) -> Result<Self, WireError> {
        Ok(Self {
            term: w.term,
            holder: w.holder,
            incarnation: w.incarnation,
            peer: w.peer,
        })
    }
}

#[derive(Encode, Decode)]
pub struct Job {
    id: JobId,
    workspace: String,
    service: String,
    shape: Shape,
    declared: Option<Duration>,
    deadline: Option<Duration>,
    class: Class,
    repeatable: bool,
    record: Option<u64>,
    inputs: Vec<Vec<u8>>,
}

impl From<figrill_state::job::Job> for Job {
    fn from(v: figrill_state::job::Job) -> Self {
        Self {
            id: v.id.into(),
            workspace: v.workspace,
            service: v.service,
            shape: v.shape.into(),
            declared: v.declared,
            deadline: v.deadline,
            class: v.class.into(),
            repeatable: v.repeatable,
            record: v.record,
            inputs: v.inputs,
        }
    }
}

impl TryFrom<Job> for figrill_state::job::Job {
    type Error = WireError;
    fn try_from(w: Job) -> Result<Self, WireError> {
        Ok(Self {
            id: w.id.try_into()?,
            workspace: w.workspace,
            service: w.service,
            shape: w.shape.try_into()?,
            declared: w.declared,
            deadline: w.deadline,
            class: w.class.try_into()?,
            repeatable: w.repeatable,
            record: w.record,
            inputs: w.inputs,
        })
    }
}

#[derive(Encode, Decode)]
pub struct PartAnswer {
    rank: u32,
    bytes: Vec<u8>,
}

impl From<figrill_state::job::PartAnswer> for PartAnswer {
    fn from(v: figrill_state::job::PartAnswer) -> Self {
        Self {
            rank: v.rank,
            bytes: v.bytes,
        }
    }
}

impl TryFrom<PartAnswer> for figrill_state::job::PartAnswer {
    type Error = WireError;
    fn try_from(w: PartAnswer) -> Result<Self, WireError> {
        Ok(Self {
            rank: w.rank,
            bytes: w.bytes,
        })
    }
}

#[derive(Encode, Decode)]
pub struct Answer {
    attempt: Attempt,
    parts: Vec<PartAnswer>,
}

impl From<figrill_state::job::Answer> for Answer {
    fn from(v: figrill_state::job::Answer) -> Self {
        Self {
            attempt: v.attempt.into(),
            parts: v.parts.into_iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<Answer> for figrill_state::job::Answer {
    type Error = WireError;
    fn try_from(w: Answer) -> Result<Self, WireError> {
        Ok(Self {
            attempt: w.attempt.try_into()?,
            parts: try_convert_all(w.parts)?,
        })
    }
}

#[derive(Encode, Decode)]
pub enum Adjacency {
    None,
    FailureDomain,
    Rack,
    Worker,
}

impl From<figrill_state::job::Adjacency> for Adjacency {
    fn from(v: figrill_state::job::Adjacency) -> Self {
        use figrill_state::job::Adjacency as D;
        match v {
            D::None => Self::None,
            D::FailureDomain => Self::FailureDomain,
            D::Rack => Self::Rack,
            D::Worker => Self::Worker,
        }
    }
}

impl TryFrom<Adjacency> for figrill_state::job::Adjacency {
    type Error = WireError;
    fn try_from(w: Adjacency) -> Result<Self, WireError> {
        Ok(match w {
            Adjacency::None => Self::None,
            Adjacency::FailureDomain => Self::FailureDomain,
            Adjacency::Rack => Self::Rack,
            Adjacency::Worker => Self::Worker,
        })
    }
}

#[derive(Encode, Decode)]
pub enum Class {
    Urgent,
    Normal,
    Batch,
}

impl From<figrill_state::job::Class> for Class {
    fn from(v: figrill_state::job::Class) -> Self {
        use figrill_state::job::Class as D;
        match v {
            D::Urgent => Self::Urgent,
            D::Normal => Self::Normal,
            D::Batch => Self::Batch,
        }
    }
}

impl TryFrom<Class> for figrill_state::job::Class {
    type Error = WireError;
    fn try_from(w: Class) -> Result<Self, WireError> {
        Ok(match w {
            Class::Urgent => Self::Urgent,
            Class::Normal => Self::Normal,
            Class::Batch => Self::Batch,
        })
    }
}

#[derive(Encode, Decode)]
pub enum Outcome {
    Done(Answer),
    NotRun(Kind),
    Failed(Kind, String),
    Unknown(Kind),
}

impl From<figrill_state::job::Outcome> for Outcome {
    fn from(v: figrill_state::job::Outcome) -> Self {
        use figrill_state::job::Outcome as D;
        match v {
            D::Done(a) => Self::Done(a.into()),
            D::NotRun(a) => Self::NotRun(a.into()),
            D::Failed(a, b) => Self::Failed(a.into(), b),
            D::Unknown(a) => Self::Unknown(a.into()),
        }
    }
}

impl TryFrom<Outcome> for figrill_state::job::Outcome {
    type Error = WireError;
    fn try_from(w: Outcome) -> Result<Self, WireError> {
        Ok(match w {
            Outcome::Done(a) => Self::Done(a.try_into()?),
            Outcome::NotRun(a) => Self::NotRun(a.try_into()?),
            Outcome::Failed(a, b) => Self::Failed(a.try_into()?, b),
            Outcome::Unknown(a) => Self::Unknown(a.try_into()?),
        })
    }
}
