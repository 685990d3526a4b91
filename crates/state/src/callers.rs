//! The requests that callers send to an entry on the users' platform and the
//! replies they receive, independent of their encoding on the wire. The
//! platform's encoding implements [`CallerCodec`].

use std::time::Duration;

use crate::batch::{BatchId, BatchState, Schedule, Step};

/// The kind of a caller's request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// Submits a job.
    Submit,
    /// Reads a job's state or a queue's length.
    Read,
    /// Cancels a job.
    Cancel,
}

/// A decoded request without its body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// The host that the request is addressed to.
    pub host: String,
    /// The request's path.
    pub path: String,
    /// The caller's API key, if given.
    pub key: Option<String>,
    /// How long the caller waits for an answer, if given.
    pub timeout: Option<Duration>,
    /// The kind of request; `None` if it is not a known one.
    pub kind: Option<RequestKind>,
}

/// A job as its caller describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// The payload that is passed to the upstream.
    pub payload: String,
    /// The job's steps.
    pub steps: Vec<Step>,
    /// The schedule, if the job runs more than once.
    pub schedule: Option<Schedule>,
}

/// The reply to a caller. Every request gets one of these.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The job is recorded in the store.
    Accepted,
    /// The cancellation is recorded in the store.
    CancelAccepted,
    /// The job's state.
    State(BatchState),
    /// The number of jobs in the queue of which no task has started.
    Pending(u64),
    /// The store says that there is no such job.
    NoSuchJob,
    /// No queue has this host and path.
    NoSuchQueue,
    /// The key belongs to no workspace.
    UnknownKey,
    /// The request is malformed, for this reason.
    Malformed(String),
    /// The job was not accepted and will not run.
    NotRun {
        /// Seconds after which the caller may retry.
        retry_after_s: u32,
    },
    /// The request was rejected because of overload.
    Overloaded {
        /// Seconds after which the caller may retry.
        retry_after_s: u32,
    },
    /// The information that the caller asked for is not available at present.
    TryLater {
        /// Seconds after which the caller may retry.
        retry_after_s: u32,
    },
    /// It is not known yet whether the request took effect. Repeating it is
    /// safe.
    Unsettled,
}

impl Reply {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::CancelAccepted => "cancel_accepted",
            Self::State(_) => "state",
            Self::Pending(_) => "pending",
            Self::NoSuchJob => "no_such_job",
            Self::NoSuchQueue => "no_such_queue",
            Self::UnknownKey => "unknown_key",
            Self::Malformed(_) => "malformed",
            Self::NotRun { .. } => "not_run",
            Self::Overloaded { .. } => "overloaded",
            Self::TryLater { .. } => "try_later",
            Self::Unsettled => "unsettled",
        }
    }
}

/// The encoding of requests and replies on the wire.
pub trait CallerCodec: Send + Sync {
    /// An encoded request.
    type Call;
    /// An encoded reply.
    type Answer;

    /// Decodes a request except for its body. Parts that are missing or
    /// invalid are left out.
    fn decode_request(&self, call: &Self::Call) -> Request;

    /// Returns the job id that a path consists of after the queue's `prefix`;
    /// `None` if the rest of the path is not a job id.
    fn parse_job_id(&self, path: &str, prefix: &str) -> Option<BatchId>;

    /// Decodes the body of a submission.
    ///
    /// # Errors
    ///
    /// Returns a message that says what is wrong and where.
    fn decode_submission(&self, body: &[u8]) -> Result<Submission, String>;

    /// Encodes a reply.
    fn encode_reply(&self, reply: &Reply) -> Self::Answer;
}
