//! The typed command line that the program uses.

use std::{env, time::Duration};

use crate::{exit::CommandError, flags::Raw};

/// Where an entry is expected if nothing else is said.
const DEFAULT_ENTRY: &str = "http://127.0.0.1:7070";

/// How long to wait for an outcome if nothing else is said.
const DEFAULT_WAIT: Duration = Duration::from_mins(10);

/// The most workers of a development site.
const WORKERS_MAX: u32 = 16;

/// Which entry to ask, and as whom.
#[derive(Clone, Debug)]
pub struct Remote {
    /// Its address.
    pub entry: String,
    /// The bearer token.
    pub token: Option<String>,
}

/// How a time line is printed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Format {
    /// A line for each event.
    Text,
    /// A JSON list.
    Json,
    /// One page with a lane for each process.
    Html,
}

/// A command with all that it needs.
#[derive(Debug)]
pub enum Args {
    /// Run all roles in one process.
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
    /// Check a file of settings.
    SettingsCheck { file: String, json: bool },
    /// Show settings.
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
    /// List changes of the settings.
    SettingsHistory { remote: Remote, json: bool },
    /// Print a token's digest.
    SettingsDigest { file: String },
    /// Print the reference of all keys.
    SettingsReference,
    /// Submit a job.
    JobSubmit {
        file: String,
        wait: Duration,
        remote: Remote,
        json: bool,
    },
    /// Wait for a job.
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
    /// Show an entry.
    Status { remote: Remote, json: bool },
    /// Drain a process.
    Drain { remote: Remote, json: bool },
    /// Print a time line.
    Timeline {
        job: Option<String>,
        format: Format,
        out: Option<String>,
        remote: Remote,
    },
}

fn usage(text: impl Into<String>) -> CommandError {
    CommandError::Usage(text.into())
}

/// Makes a raw command line typed.
///
/// # Errors
///
/// [`CommandError::Usage`] with the flag that is wrong or missing.
pub fn resolve(raw: &Raw) -> Result<Args, CommandError> {
    let json = raw.value("json").is_some();
    let operand = || raw.operands.first().cloned().unwrap_or_default();
    let owned = |name: &str| raw.value(name).map(str::to_owned);
    Ok(match raw.command.path {
        ["dev"] => Args::Dev {
            job: needed(raw, "job")?,
            workers: workers(raw)?,
            json,
            log_level: owned("log-level").unwrap_or("off".to_owned()),
        },
        ["entry"] => Args::Entry {
            settings: needed(raw, "settings")?,
            set: raw.pairs("set").map_err(usage)?,
        },
        ["agent"] => Args::Agent {
            settings: needed(raw, "settings")?,
            set: raw.pairs("set").map_err(usage)?,
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
        other => {
            return Err(usage(format!("no command {}", other.join(" "))));
        }
    })
}

fn needed(raw: &Raw, flag: &str) -> Result<String, CommandError> {
    let value = raw.value(flag).map(str::to_owned);
    value.ok_or_else(|| {
        let path = raw.command.path.join(" ");
        usage(format!("{path} needs --{flag}; see figrill {path} --help"))
    })
}

fn workers(raw: &Raw) -> Result<u32, CommandError> {
    let Some(text) = raw.value("workers") else {
        return Ok(3);
    };
    let count: Option<u32> = text.parse().ok();
    count
        .filter(|n| (1..=WORKERS_MAX).contains(n))
        .ok_or_else(|| {
            usage(format!("--workers {text}: write 1 to {WORKERS_MAX}"))
        })
}

fn base(raw: &Raw) -> Result<Option<u64>, CommandError> {
    let Some(text) = raw.value("base") else {
        return Ok(None);
    };
    let number = text.parse().map(Some);
    number.map_err(|_| usage(format!("--base {text}: write a revision")))
}

fn wait(raw: &Raw) -> Result<Duration, CommandError> {
    let Some(text) = raw.value("wait") else {
        return Ok(DEFAULT_WAIT);
    };
    let seconds: Option<f64> = text.parse().ok();
    seconds
        .and_then(|s| Duration::try_from_secs_f64(s).ok())
        .ok_or_else(|| usage(format!("--wait {text}: write seconds")))
}

fn format(raw: &Raw) -> Result<Format, CommandError> {
    match raw.value("format") {
        None | Some("text") => Ok(Format::Text),
        Some("json") => Ok(Format::Json),
        Some("html") => Ok(Format::Html),
        Some(other) => {
            Err(usage(format!("--format {other}: write text, json or html")))
        }
    }
}

fn remote(raw: &Raw) -> Result<Remote, CommandError> {
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
