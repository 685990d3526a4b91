//! Typed command line arguments, converted from the raw ones of
//! [`flags`](crate::flags).

use std::{env, time::Duration};

use crate::{exit::CommandError, flags::RawArgs};

/// The base URL of the entry that is called if none is given.
const DEFAULT_ENTRY: &str = "http://127.0.0.1:7070";

/// The default time to wait for the outcome of a job.
const DEFAULT_OUTCOME_WAIT: Duration = Duration::from_mins(10);

/// The maximum number of workers of `figrill dev`.
const MAX_DEV_WORKERS: u32 = 16;

/// The entry that a command calls, and the credentials for it.
#[derive(Clone, Debug)]
pub struct Remote {
    /// The entry's base URL, without a trailing slash.
    pub entry: String,
    /// The bearer token; none is sent if absent.
    pub token: Option<String>,
}

/// The output format of a timeline.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Format {
    /// One line per event.
    Text,
    /// A JSON list of events.
    Json,
    /// An HTML page with one column per process.
    Html,
}

/// A command with its arguments.
#[derive(Debug)]
pub enum Args {
    /// Run all roles and one job in one process.
    Dev {
        job: String,
        workers: u32,
        json: bool,
        log_level: String,
    },
    /// Run an entry.
    Entry {
        settings: String,
        set: Vec<(String, String)>,
    },
    /// Run an agent.
    Agent {
        settings: String,
        set: Vec<(String, String)>,
    },
    /// Check a configuration of the users' platform.
    Check {
        file: String,
        against: Option<String>,
        accelerators: Option<u64>,
        json: bool,
    },
    /// Validate a settings file.
    SettingsCheck { file: String, json: bool },
    /// Show the settings, or the effective values at a path.
    SettingsShow {
        effective: Option<String>,
        file: Option<String>,
        remote: Remote,
        json: bool,
    },
    /// Apply settings.
    SettingsApply {
        file: String,
        base: Option<u64>,
        remote: Remote,
        json: bool,
    },
    /// List the history of settings changes.
    SettingsHistory { remote: Remote, json: bool },
    /// Print the digest of a token.
    SettingsDigest { file: String },
    /// Print the reference of all settings keys.
    SettingsReference,
    /// Submit a job and wait for its outcome.
    JobSubmit {
        file: String,
        wait: Duration,
        remote: Remote,
        json: bool,
    },
    /// Wait for the outcome of a job. `job show` is the same with a wait of
    /// zero.
    JobWait {
        job: String,
        wait: Duration,
        remote: Remote,
        json: bool,
    },
    /// Cancel a job.
    JobCancel {
        job: String,
        remote: Remote,
        json: bool,
    },
    /// Show the status of an entry.
    Status { remote: Remote, json: bool },
    /// Drain a process.
    Drain { remote: Remote, json: bool },
    /// Print the timeline of all processes' events.
    Timeline {
        job: Option<String>,
        format: Format,
        out: Option<String>,
        remote: Remote,
    },
}

fn usage_error(text: impl Into<String>) -> CommandError {
    CommandError::Usage(text.into())
}

/// Converts raw arguments to typed ones.
///
/// # Errors
///
/// Returns [`CommandError::Usage`] that names the invalid or missing flag.
pub fn resolve(raw: &RawArgs) -> Result<Args, CommandError> {
    let json = raw.value("json").is_some();
    let operand = || raw.operands.first().cloned().unwrap_or_default();
    let owned = |name: &str| raw.value(name).map(str::to_owned);
    Ok(match raw.command.path {
        ["dev"] => Args::Dev {
            job: required(raw, "job")?,
            workers: workers(raw)?,
            json,
            log_level: owned("log-level").unwrap_or("off".to_owned()),
        },
        ["entry"] => Args::Entry {
            settings: required(raw, "settings")?,
            set: raw.pairs("set").map_err(usage_error)?,
        },
        ["agent"] => Args::Agent {
            settings: required(raw, "settings")?,
            set: raw.pairs("set").map_err(usage_error)?,
        },
        ["check"] => Args::Check {
            file: operand(),
            against: owned("against"),
            accelerators: accelerators(raw)?,
            json,
        },
        ["settings", "check"] => Args::SettingsCheck {
            file: operand(),
            json,
        },
        ["settings", "show"] => Args::SettingsShow {
            effective: owned("effective"),
            file: owned("file"),
            remote: remote(raw)?,
            json,
        },
        ["settings", "apply"] => Args::SettingsApply {
            file: operand(),
            base: base(raw)?,
            remote: remote(raw)?,
            json,
        },
        ["settings", "history"] => Args::SettingsHistory {
            remote: remote(raw)?,
            json,
        },
        ["settings", "digest"] => Args::SettingsDigest { file: operand() },
        ["settings", "reference"] => Args::SettingsReference,
        ["job", "submit"] => Args::JobSubmit {
            file: operand(),
            wait: wait(raw)?,
            remote: remote(raw)?,
            json,
        },
        ["job", "wait"] => Args::JobWait {
            job: operand(),
            wait: wait(raw)?,
            remote: remote(raw)?,
            json,
        },
        ["job", "show"] => Args::JobWait {
            job: operand(),
            wait: Duration::ZERO,
            remote: remote(raw)?,
            json,
        },
        ["job", "cancel"] => Args::JobCancel {
            job: operand(),
            remote: remote(raw)?,
            json,
        },
        ["status"] => Args::Status {
            remote: remote(raw)?,
            json,
        },
        ["drain"] => Args::Drain {
            remote: remote(raw)?,
            json,
        },
        ["timeline"] => Args::Timeline {
            job: owned("job"),
            format: format(raw)?,
            out: owned("out"),
            remote: remote(raw)?,
        },
        // Not reached: the parser accepts only the commands above.
        other => {
            return Err(usage_error(format!(
                "no command {}",
                other.join(" ")
            )));
        }
    })
}

/// Returns the value of a flag that the command requires.
fn required(raw: &RawArgs, flag: &str) -> Result<String, CommandError> {
    let value = raw.value(flag).map(str::to_owned);
    value.ok_or_else(|| {
        let path = raw.command.path.join(" ");
        usage_error(format!(
            "{path} needs --{flag}; see figrill {path} --help"
        ))
    })
}

fn workers(raw: &RawArgs) -> Result<u32, CommandError> {
    let Some(text) = raw.value("workers") else {
        return Ok(3);
    };
    let count: Option<u32> = text.parse().ok();
    count
        .filter(|n| (1..=MAX_DEV_WORKERS).contains(n))
        .ok_or_else(|| {
            usage_error(format!(
                "--workers {text}: write 1 to {MAX_DEV_WORKERS}"
            ))
        })
}

fn accelerators(raw: &RawArgs) -> Result<Option<u64>, CommandError> {
    let Some(text) = raw.value("accelerators") else {
        return Ok(None);
    };
    text.parse().map(Some).map_err(|_| {
        usage_error(format!("--accelerators {text}: write a number"))
    })
}

fn base(raw: &RawArgs) -> Result<Option<u64>, CommandError> {
    let Some(text) = raw.value("base") else {
        return Ok(None);
    };
    let revision = text.parse().map(Some);
    revision.map_err(|_| {
        usage_error(format!("--base {text}: write a revision number"))
    })
}

fn wait(raw: &RawArgs) -> Result<Duration, CommandError> {
    let Some(text) = raw.value("wait") else {
        return Ok(DEFAULT_OUTCOME_WAIT);
    };
    let seconds: Option<f64> = text.parse().ok();
    seconds
        .and_then(|s| Duration::try_from_secs_f64(s).ok())
        .ok_or_else(|| {
            usage_error(format!("--wait {text}: write a number of seconds"))
        })
}

fn format(raw: &RawArgs) -> Result<Format, CommandError> {
    match raw.value("format") {
        None | Some("text") => Ok(Format::Text),
        Some("json") => Ok(Format::Json),
        Some("html") => Ok(Format::Html),
        Some(other) => Err(usage_error(format!(
            "--format {other}: write text, json or html"
        ))),
    }
}

/// Determines the entry and the token from the flags, or else from the
/// environment. Without either, the default entry is called without a token.
fn remote(raw: &RawArgs) -> Result<Remote, CommandError> {
    let from_env = |name: &str| env::var(name).ok().filter(|v| !v.is_empty());
    let entry = raw
        .value("entry")
        .map(str::to_owned)
        .or_else(|| from_env("FIGRILL_ENTRY"))
        .unwrap_or_else(|| DEFAULT_ENTRY.to_owned());
    let token = match raw.value("token-file") {
        Some(file) => {
            Some(crate::commands::read_file(file)?.trim().to_owned())
        }
        None => from_env("FIGRILL_TOKEN"),
    };
    let entry = entry.trim_end_matches('/').to_owned();
    Ok(Remote { entry, token })
}
