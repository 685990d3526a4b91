//! What a caller may ask of an entry and what it may be told, without the
//! form that either has on the wire.

use std::time::Duration;

use crate::batch::{BatchId, BatchState, Schedule, Step};

/// What a caller asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// To run a job.
    Submit,
    /// For a job's state, or a queue's length.
    Show,
    /// To cancel a job.
    Cancel,
}

/// A request, its body aside.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// The host that it names.
    pub host: String,
    /// Its path.
    pub path: String,
    /// The caller's key.
    pub key: Option<String>,
    /// How long the caller waits for an answer, if it says so.
    pub timeout: Option<Duration>,
    /// What it asks; `None` if that is nothing known.
    pub kind: Option<RequestKind>,
}

/// A job as its caller describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// What the upstream is given.
    pub payload: String,
    /// Its steps.
    pub steps: Vec<Step>,
    /// If it runs more than once.
    pub schedule: Option<Schedule>,
}

/// What a caller is told. The list is closed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The job stands in the store.
    Accepted,
    /// The cancellation stands in the store.
    CancelAccepted,
    /// The job's state.
    State(BatchState),
    /// Jobs of the queue of which no task has started.
    Pending(u64),
    /// The store says that there is no such job.
    NoSuchJob,
    /// No queue has this host and path.
    NoSuchQueue,
    /// The key belongs to no workspace.
    UnknownKey,
    /// The request has no meaning.
    Malformed(String),
    /// Nothing was done; the job does not run.
    NotRun {
        /// When another try may help.
        retry_after_s: u32,
    },
    /// Nothing was done, since there is too much to do.
    Overloaded {
        /// When another try may help.
        retry_after_s: u32,
    },
    /// The question cannot be answered now.
    TryLater {
        /// When another try may help.
        retry_after_s: u32,
    },
    /// Nobody can say yet whether it was done; the same request again is
    /// safe.
    Unsettled,
}

impl Reply {
    /// The name that logs and metrics use.
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

/// How requests and answers look on the wire.
pub trait Callers: Send + Sync {
    /// A request on the wire.
    type Call;
    /// An answer on the wire.
    type Answer;

    /// Reads all of a request but its body.
    fn request(&self, call: &Self::Call) -> Request;

    /// The job that a path names, after the prefix of its queue.
    fn id(&self, path: &str, prefix: &str) -> Option<BatchId>;

    /// Reads the body of a submission.
    ///
    /// # Errors
    ///
    /// What is wrong and where.
    fn submission(&self, body: &[u8]) -> Result<Submission, String>;

    /// Writes an answer.
    fn answer(&self, reply: &Reply) -> Self::Answer;
}
