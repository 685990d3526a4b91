//! Exit codes and the errors that lead to them.

use std::process::ExitCode;

use displaydoc::Display;

/// The result of a command. The numbers are its exit codes, which are part of
/// the program's interface.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// The command succeeded; a job that it waited for is done.
    Done = 0,
    /// The job failed.
    Failed = 1,
    /// The command line, a file or the settings are invalid.
    Usage = 2,
    /// The request was refused; the job did not run.
    Refused = 3,
    /// The outcome is unknown; the job may have run.
    Unknown = 4,
    /// The entry did not answer.
    Unreachable = 5,
    /// The job has not ended yet.
    Waiting = 6,
}

/// All exit codes with their descriptions for the help text.
pub const EXIT_CODES: &[(Exit, &str)] = &[
    (Exit::Done, "done"),
    (Exit::Failed, "the job failed"),
    (Exit::Usage, "invalid command line, file or settings"),
    (
        Exit::Refused,
        "the request was refused; the job did not run",
    ),
    (
        Exit::Unknown,
        "the outcome is unknown; the job may have run",
    ),
    (Exit::Unreachable, "the entry did not answer"),
    (
        Exit::Waiting,
        "the job has not ended yet; query it again later",
    ),
];

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// Why a command failed.
#[derive(Debug, Display)]
pub enum CommandError {
    /// {0}
    Usage(String),
    /// {0}
    Refused(String),
    /// {0}; check the address and that the entry is running
    Unreachable(String),
    /// {0}
    Failed(String),
}

impl std::error::Error for CommandError {}

impl CommandError {
    /// Returns the exit code for this error.
    #[must_use]
    pub const fn exit(&self) -> Exit {
        match self {
            Self::Usage(_) => Exit::Usage,
            Self::Refused(_) => Exit::Refused,
            Self::Unreachable(_) => Exit::Unreachable,
            Self::Failed(_) => Exit::Failed,
        }
    }
}
