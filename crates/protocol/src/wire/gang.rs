//! The wire types of the messages between the lead of a gang and its members.

use std::time::Duration;

use bincode::{Decode, Encode};

use super::WireError;

#[derive(Encode, Decode)]
pub enum MemberRequest {
    Prepare,
    Commit,
    Start,
    Renew,
    Ack { rank: u32 },
    Abort,
    Stop { window: Duration },
}

impl From<figrill_coordination::message::MemberRequest> for MemberRequest {
    fn from(v: figrill_coordination::message::MemberRequest) -> Self {
        use figrill_coordination::message::MemberRequest as D;
        match v {
            D::Prepare => Self::Prepare,
            D::Commit => Self::Commit,
            D::Start => Self::Start,
            D::Renew => Self::Renew,
            D::Ack { rank } => Self::Ack { rank },
            D::Abort => Self::Abort,
            D::Stop { window } => Self::Stop { window },
        }
    }
}

impl TryFrom<MemberRequest> for figrill_coordination::message::MemberRequest {
    type Error = WireError;
    fn try_from(w: MemberRequest) -> Result<Self, WireError> {
        Ok(match w {
            MemberRequest::Prepare => Self::Prepare,
            MemberRequest::Commit => Self::Commit,
            MemberRequest::Start => Self::Start,
            MemberRequest::Renew => Self::Renew,
            MemberRequest::Ack { rank } => Self::Ack { rank },
            MemberRequest::Abort => Self::Abort,
            MemberRequest::Stop { window } => Self::Stop { window },
        })
    }
}

#[derive(Encode, Decode)]
pub enum MemberReport {
    Ready,
    Committed,
    Started,
    Alive,
    NoGrant,
    Answered {
        rank: u32,
        bytes: Vec<u8>,
    },
    Failed {
        rank: u32,
        reason: String,
    },
    Stopped {
        rank: u32,
        checkpoint: Option<Vec<u8>>,
    },
}

impl From<figrill_coordination::message::MemberReport> for MemberReport {
    fn from(v: figrill_coordination::message::MemberReport) -> Self {
        use figrill_coordination::message::MemberReport as D;
        match v {
            D::Ready => Self::Ready,
            D::Committed => Self::Committed,
            D::Started => Self::Started,
            D::Alive => Self::Alive,
            D::NoGrant => Self::NoGrant,
            D::Answered { rank, bytes } => Self::Answered { rank, bytes },
            D::Failed { rank, reason } => Self::Failed { rank, reason },
            D::Stopped { rank, checkpoint } => {
                Self::Stopped { rank, checkpoint }
            }
        }
    }
}

impl TryFrom<MemberReport> for figrill_coordination::message::MemberReport {
    type Error = WireError;
    fn try_from(w: MemberReport) -> Result<Self, WireError> {
        Ok(match w {
            MemberReport::Ready => Self::Ready,
            MemberReport::Committed => Self::Committed,
            MemberReport::Started => Self::Started,
            MemberReport::Alive => Self::Alive,
            MemberReport::NoGrant => Self::NoGrant,
            MemberReport::Answered { rank, bytes } => {
                Self::Answered { rank, bytes }
            }
            MemberReport::Failed { rank, reason } => {
                Self::Failed { rank, reason }
            }
            MemberReport::Stopped { rank, checkpoint } => {
                Self::Stopped { rank, checkpoint }
            }
        })
    }
}
