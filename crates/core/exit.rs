//! Exit codes and the errors that lead to them.

use std::process::ExitCode;

use displaydoc::Display;

/// How a command ends; the numbers are part of its interface.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// It did what was asked, and a job is done.
    Done = 0,
    /// The job failed.
    Failed = 1,
    /// The command line, a file or the settings are wrong.
    Usage = 2,
    /// The request was refused; a job was not run.
    Refused = 3,
    /// The job may have run, and nobody can tell.
    Unknown = 4,
    /// No answer from the entry.
    Unreachable = 5,
    /// The job goes on; ask again.
    Waiting = 6,
}

/// All codes with what they mean, for help and the guide.
pub const TABLE: &[(Exit, &str)] = &[
    (Exit::Done, "done"),
    (Exit::Failed, "the job failed"),
    (Exit::Usage, "wrong command line, file or settings"),
    (Exit::Refused, "refused; a job was not run"),
    (Exit::Unknown, "the job may have run, and nobody can tell"),
    (Exit::Unreachable, "no answer from the entry"),
    (Exit::Waiting, "the job goes on; ask again"),
];

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// Why a command could not do what was asked.
#[derive(Debug, Display)]
pub enum CommandError {
    /// {0}
    Usage(String),
    /// {0}
    Refused(String),
    /// {0}; is the address right, and does the entry run?
    Unreachable(String),
    /// {0}
    Failed(String),
}

impl std::error::Error for CommandError {}

impl CommandError {
    /// The code that the command ends with.
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
