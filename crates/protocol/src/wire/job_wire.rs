//! The wire types of the messages between entries and the coordinator.

use std::time::Duration;

use bincode::{Decode, Encode};

use super::{
    Attempt, JobId, WireError,
    state::{Job, Outcome},
};

#[derive(Encode, Decode)]
pub struct Dispatched {
    attempt: Attempt,
    lead: String,
    incarnation: u64,
}

impl From<figrill_coordination::message::Dispatched> for Dispatched {
    fn from(v: figrill_coordination::message::Dispatched) -> Self {
        Self {
            attempt: v.attempt.into(),
            lead: v.lead,
            incarnation: v.incarnation,
        }
    }
}

impl TryFrom<Dispatched> for figrill_coordination::message::Dispatched {
    type Error = WireError;
    fn try_from(w: Dispatched) -> Result<Self, WireError> {
        Ok(Self {
            attempt: w.attempt.try_into()?,
            lead: w.lead,
            incarnation: w.incarnation,
        })
    }
}

#[derive(Encode, Decode)]
pub enum JobStatus {
    Queued,
    Running,
    Unknown,
}

impl From<figrill_coordination::message::JobStatus> for JobStatus {
    fn from(v: figrill_coordination::message::JobStatus) -> Self {
        use figrill_coordination::message::JobStatus as D;
        match v {
            D::Queued => Self::Queued,
            D::Running => Self::Running,
            D::Unknown => Self::Unknown,
        }
    }
}

impl TryFrom<JobStatus> for figrill_coordination::message::JobStatus {
    type Error = WireError;
    fn try_from(w: JobStatus) -> Result<Self, WireError> {
        Ok(match w {
            JobStatus::Queued => Self::Queued,
            JobStatus::Running => Self::Running,
            JobStatus::Unknown => Self::Unknown,
        })
    }
}

#[derive(Encode, Decode)]
pub enum JobRequest {
    Submit {
        job: Box<Job>,
        age: Duration,
        maybe_started: bool,
    },
    Follow {
        job: JobId,
        dispatched: Option<Dispatched>,
        scope: Option<String>,
    },
    Cancel {
        job: JobId,
        scope: Option<String>,
    },
    Ack {
        job: JobId,
    },
}

impl From<figrill_coordination::message::JobRequest> for JobRequest {
    fn from(v: figrill_coordination::message::JobRequest) -> Self {
        use figrill_coordination::message::JobRequest as D;
        match v {
            D::Submit {
                job,
                age,
                maybe_started,
            } => Self::Submit {
                job: Box::new((*job).into()),
                age,
                maybe_started,
            },
            D::Follow {
                job,
                dispatched,
                scope,
            } => Self::Follow {
                job: job.into(),
                dispatched: dispatched.map(Into::into),
                scope,
            },
            D::Cancel { job, scope } => Self::Cancel {
                job: job.into(),
                scope,
            },
            D::Ack { job } => Self::Ack { job: job.into() },
        }
    }
}

impl TryFrom<JobRequest> for figrill_coordination::message::JobRequest {
    type Error = WireError;
    fn try_from(w: JobRequest) -> Result<Self, WireError> {
        Ok(match w {
            JobRequest::Submit {
                job,
                age,
                maybe_started,
            } => Self::Submit {
                job: Box::new((*job).try_into()?),
                age,
                maybe_started,
            },
            JobRequest::Follow {
                job,
                dispatched,
                scope,
            } => Self::Follow {
                job: job.try_into()?,
                dispatched: dispatched.map(TryInto::try_into).transpose()?,
                scope,
            },
            JobRequest::Cancel { job, scope } => Self::Cancel {
                job: job.try_into()?,
                scope,
            },
            JobRequest::Ack { job } => Self::Ack {
                job: job.try_into()?,
            },
        })
    }
}

#[derive(Encode, Decode)]
pub enum JobReport {
    Status { job: JobId, status: JobStatus },
    Ended { job: JobId, outcome: Outcome },
}

impl From<figrill_coordination::message::JobReport> for JobReport {
    fn from(v: figrill_coordination::message::JobReport) -> Self {
        use figrill_coordination::message::JobReport as D;
        match v {
            D::Status { job, status } => Self::Status {
                job: job.into(),
                status: status.into(),
            },
            D::Ended { job, outcome } => Self::Ended {
                job: job.into(),
                outcome: outcome.into(),
            },
        }
    }
}

impl TryFrom<JobReport> for figrill_coordination::message::JobReport {
    type Error = WireError;
    fn try_from(w: JobReport) -> Result<Self, WireError> {
        Ok(match w {
            JobReport::Status { job, status } => Self::Status {
                job: job.try_into()?,
                status: status.try_into()?,
            },
            JobReport::Ended { job, outcome } => Self::Ended {
                job: job.try_into()?,
                outcome: outcome.try_into()?,
            },
        })
    }
}
