//! The wire types of frames and of the message that each of them carries.

use std::time::Duration;

use bincode::{Decode, Encode};
use figrill_state::batch::BatchId;

use crate::message::{Nonce, Role};

use super::{
    JobId, WireError,
    agent::{AgentReport, AgentRequest, Run},
    dispatch::{Report, ToAgent},
    entry::{Call, StoreResult},
    gang::{MemberReport, MemberRequest},
    job_wire::{JobReport, JobRequest},
    millis,
    state::{EntryAddress, Stamp, TermRecord, Worker},
    try_convert_all,
};

#[derive(Encode, Decode)]
pub struct Peer {
    name: String,
    is_entry: bool,
    incarnation: u64,
    address: String,
    http: String,
    worker: Option<Worker>,
}

impl From<crate::message::Peer> for Peer {
    fn from(v: crate::message::Peer) -> Self {
        Self {
            name: v.name,
            is_entry: v.role == Role::Entry,
            incarnation: v.incarnation,
            address: v.address,
            http: v.http,
            worker: v.worker.map(Into::into),
        }
    }
}

impl TryFrom<Peer> for crate::message::Peer {
    type Error = WireError;
    fn try_from(w: Peer) -> Result<Self, WireError> {
        Ok(Self {
            name: w.name,
            role: if w.is_entry { Role::Entry } else { Role::Agent },
            incarnation: w.incarnation,
            address: w.address,
            http: w.http,
            worker: w.worker.map(TryInto::try_into).transpose()?,
        })
    }
}

#[derive(Encode, Decode)]
pub struct Heartbeat {
    revision: u64,
    coordinator: Option<TermRecord>,
    leading: bool,
}

impl From<crate::message::Heartbeat> for Heartbeat {
    fn from(v: crate::message::Heartbeat) -> Self {
        Self {
            revision: v.revision,
            coordinator: v.coordinator.map(Into::into),
            leading: v.leading,
        }
    }
}

impl TryFrom<Heartbeat> for crate::message::Heartbeat {
    type Error = WireError;
    fn try_from(w: Heartbeat) -> Result<Self, WireError> {
        Ok(Self {
            revision: w.revision,
            coordinator: w.coordinator.map(TryInto::try_into).transpose()?,
            leading: w.leading,
        })
    }
}

#[derive(Encode, Decode)]
pub struct Frame {
    stamp: Stamp,
    message: Message,
}

impl From<crate::message::Frame> for Frame {
    fn from(v: crate::message::Frame) -> Self {
        Self {
            stamp: v.stamp.into(),
            message: v.message.into(),
        }
    }
}

impl TryFrom<Frame> for crate::message::Frame {
    type Error = WireError;
    fn try_from(w: Frame) -> Result<Self, WireError> {
        Ok(Self {
            stamp: w.stamp.try_into()?,
            message: w.message.try_into()?,
        })
    }
}

#[derive(Encode, Decode)]
pub enum Message {
    Challenge {
        nonce: Nonce,
    },
    Hello {
        version: u32,
        peer: Peer,
        nonce: Nonce,
        proof: Vec<u8>,
    },
    Welcome {
        peer: Peer,
        proof: Vec<u8>,
    },
    Heartbeat(Heartbeat),
    SettingsRequest,
    Settings(Vec<u8>),
    Entries(Vec<EntryAddress>),
    StandbyJobs(Vec<JobId>),
    AgentRequest(AgentRequest),
    AgentReport(AgentReport),
    MemberRequest {
        run: Run,
        request: MemberRequest,
    },
    MemberReport {
        run: Run,
        report: MemberReport,
    },
    JobRequest(JobRequest),
    JobReport(JobReport),
    ToAgent(ToAgent),
    Report(Report),
    EntryHeartbeat {
        reaches_store: bool,
    },
    StoreCall {
        number: u64,
        timeout_ms: u64,
        call: Call,
    },
    StoreAnswer {
        number: u64,
        result: StoreResult,
    },
    PendingWriteQuery {
        number: u64,
        job: u64,
    },
    PendingWriteAnswer {
        number: u64,
        may_still_apply: bool,
    },
    JobRecord(Vec<u8>),
}

impl From<crate::message::Message> for Message {
    fn from(v: crate::message::Message) -> Self {
        use crate::message::Message as D;
        match v {
            D::Challenge { nonce } => Self::Challenge { nonce },
            D::Hello {
                version,
                peer,
                nonce,
                proof,
            } => Self::Hello {
                version,
                peer: peer.into(),
                nonce,
                proof,
            },
            D::Welcome { peer, proof } => Self::Welcome {
                peer: peer.into(),
                proof,
            },
            D::Heartbeat(a) => Self::Heartbeat(a.into()),
            D::SettingsRequest => Self::SettingsRequest,
            D::Settings(a) => Self::Settings(a),
            D::JobRecord(a) => Self::JobRecord(a),
            D::Entries(a) => {
                Self::Entries(a.into_iter().map(Into::into).collect())
            }
            D::StandbyJobs(a) => {
                Self::StandbyJobs(a.into_iter().map(Into::into).collect())
            }
            D::AgentRequest(a) => Self::AgentRequest(a.into()),
            D::AgentReport(a) => Self::AgentReport(a.into()),
            D::MemberRequest { run, request } => Self::MemberRequest {
                run: run.into(),
                request: request.into(),
            },
            D::MemberReport { run, report } => Self::MemberReport {
                run: run.into(),
                report: report.into(),
            },
            D::JobRequest(a) => Self::JobRequest(a.into()),
            D::JobReport(a) => Self::JobReport(a.into()),
            D::ToAgent(a) => Self::ToAgent(a.into()),
            D::Report(a) => Self::Report((*a).into()),
            D::EntryHeartbeat { reaches_store } => {
                Self::EntryHeartbeat { reaches_store }
            }
            D::StoreCall {
                number,
                timeout,
                call,
            } => Self::StoreCall {
                number,
                timeout_ms: millis(timeout),
                call: call.into(),
            },
            D::StoreAnswer { number, result } => Self::StoreAnswer {
                number,
                result: result.into(),
            },
            D::PendingWriteQuery { number, job } => {
                Self::PendingWriteQuery { number, job: job.0 }
            }
            D::PendingWriteAnswer {
                number,
                may_still_apply,
            } => Self::PendingWriteAnswer {
                number,
                may_still_apply,
            },
        }
    }
}

impl TryFrom<Message> for crate::message::Message {
    type Error = WireError;
    fn try_from(w: Message) -> Result<Self, WireError> {
        Ok(match w {
            Message::Challenge { nonce } => Self::Challenge { nonce },
            Message::Hello {
                version,
                peer,
                nonce,
                proof,
            } => Self::Hello {
                version,
                peer: peer.try_into()?,
                nonce,
                proof,
            },
            Message::Welcome { peer, proof } => Self::Welcome {
                peer: peer.try_into()?,
                proof,
            },
            Message::Heartbeat(a) => Self::Heartbeat(a.try_into()?),
            Message::SettingsRequest => Self::SettingsRequest,
            Message::Settings(a) => Self::Settings(a),
            Message::JobRecord(a) => Self::JobRecord(a),
            Message::Entries(a) => Self::Entries(try_convert_all(a)?),
            Message::StandbyJobs(a) => Self::StandbyJobs(try_convert_all(a)?),
            Message::AgentRequest(a) => Self::AgentRequest(a.try_into()?),
            Message::AgentReport(a) => Self::AgentReport(a.try_into()?),
            Message::MemberRequest { run, request } => Self::MemberRequest {
                run: run.try_into()?,
                request: request.try_into()?,
            },
            Message::MemberReport { run, report } => Self::MemberReport {
                run: run.try_into()?,
                report: report.try_into()?,
            },
            Message::JobRequest(a) => Self::JobRequest(a.try_into()?),
            Message::JobReport(a) => Self::JobReport(a.try_into()?),
            Message::ToAgent(a) => Self::ToAgent(a.try_into()?),
            Message::Report(a) => Self::Report(Box::new(a.try_into()?)),
            Message::EntryHeartbeat { reaches_store } => {
                Self::EntryHeartbeat { reaches_store }
            }
            Message::StoreCall {
                number,
                timeout_ms,
                call,
            } => Self::StoreCall {
                number,
                timeout: Duration::from_millis(timeout_ms),
                call: call.into(),
            },
            Message::StoreAnswer { number, result } => Self::StoreAnswer {
                number,
                result: result.into(),
            },
            Message::PendingWriteQuery { number, job } => {
                Self::PendingWriteQuery {
                    number,
                    job: BatchId(job),
                }
            }
            Message::PendingWriteAnswer {
                number,
                may_still_apply,
            } => Self::PendingWriteAnswer {
                number,
                may_still_apply,
            },
        })
    }
}
