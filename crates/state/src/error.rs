//! The reasons why a request is refused or a job does not finish, and the HTTP
//! status that each is reported with.

use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// Why a request was refused or a job did not finish.
///
/// The doc comment of each variant is the message sent to the caller.
#[derive(
    Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// the request could not be read
    BadRequest,
    /// the request needs a valid bearer token
    Unauthorised,
    /// the token does not allow this
    Forbidden,
    /// there is no such thing here
    NotFound,
    /// the request body is over the limit
    TooLarge,
    /// the same key was used before with another body
    KeyConflict,
    /// settings were changed by someone else meanwhile
    RevisionConflict,
    /// the settings are not valid
    BadSettings,
    /// the workspace or service is not in the settings
    UnknownWorkspace,
    /// no worker or set of workers could ever hold this shape
    NeverFits,
    /// the queue of the workspace is full
    QueueFull,
    /// the deadline cannot be met
    DeadlineUnreachable,
    /// the job waited for its whole queue limit
    QueueTimeout,
    /// the process is draining and takes no new work
    Draining,
    /// no coordinator is known yet
    NoCoordinator,
    /// the platform's store does not answer
    StoreDown,
    /// the job was cancelled
    Cancelled,
    /// a worker that ran a part was lost
    WorkerLost,
    /// a part failed on its upstream
    PartFailed,
    /// the gang could not start together
    GangAborted,
    /// the job was stopped to return borrowed capacity
    Reclaimed,
    /// another entry took this job over
    Superseded,
    /// the job failed on too many workers
    TooManyAttempts,
    /// the outcome can no longer be learnt
    OutcomeLost,
}

/// How a [`Kind`] is reported to the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ErrorResponse {
    /// The HTTP status code.
    pub status: u16,
    /// Seconds after which the caller may retry; `None` if a retry cannot
    /// help.
    pub retry_after_s: Option<u32>,
}

impl Kind {
    /// Returns the HTTP status and retry delay for this kind. Kinds with
    /// status 200 say how an accepted job ended, where the request for its
    /// outcome itself succeeded.
    #[must_use]
    pub const fn response(self) -> ErrorResponse {
        let (status, retry_after_s) = match self {
            Self::BadRequest | Self::BadSettings => (400, None),
            Self::Unauthorised => (401, None),
            Self::Forbidden => (403, None),
            Self::NotFound | Self::UnknownWorkspace => (404, None),
            Self::TooLarge => (413, None),
            Self::KeyConflict | Self::RevisionConflict | Self::Superseded => {
                (409, None)
            }
            Self::NeverFits => (422, None),
            Self::QueueFull => (429, Some(5)),
            Self::DeadlineUnreachable => (429, None),
            Self::QueueTimeout => (503, Some(5)),
            Self::Draining | Self::NoCoordinator => (503, Some(1)),
            Self::StoreDown => (503, Some(2)),
            Self::Cancelled
            | Self::WorkerLost
            | Self::PartFailed
            | Self::GangAborted
            | Self::Reclaimed
            | Self::TooManyAttempts
            | Self::OutcomeLost => (200, None),
        };
        ErrorResponse {
            status,
            retry_after_s,
        }
    }

    /// All kinds. The peer protocol encodes a kind as its index in this
    /// array, so the order must not change.
    pub const ALL: [Self; 24] = [
        Self::BadRequest,
        Self::Unauthorised,
        Self::Forbidden,
        Self::NotFound,
        Self::TooLarge,
        Self::KeyConflict,
        Self::RevisionConflict,
        Self::BadSettings,
        Self::UnknownWorkspace,
        Self::NeverFits,
        Self::QueueFull,
        Self::DeadlineUnreachable,
        Self::QueueTimeout,
        Self::Draining,
        Self::NoCoordinator,
        Self::StoreDown,
        Self::Cancelled,
        Self::WorkerLost,
        Self::PartFailed,
        Self::GangAborted,
        Self::Reclaimed,
        Self::Superseded,
        Self::TooManyAttempts,
        Self::OutcomeLost,
    ];
}
