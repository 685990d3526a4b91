//! The `settings` commands.

use std::time::Duration;

use figrill_state::{
    digest,
    record::SettingsRecord,
    settings::{ResolvedValue, Tree},
};
use serde_json::json;

use crate::{
    args::Remote,
    client::Client,
    exit::{CommandError, Exit},
};

use super::read_file;

/// The maximum number of times that a change is sent: first to the given
/// entry, and then to the coordinator that each answer redirects to.
const MAX_ATTEMPTS: usize = 3;

fn parse(text: &str, file: &str) -> Result<Tree, CommandError> {
    Tree::parse(text, file).map_err(|e| CommandError::Usage(e.to_string()))
}

/// Validates a settings file.
///
/// # Errors
///
/// Returns [`CommandError::Usage`] with all problems and their lines.
pub fn check(file: &str, json: bool) -> Result<Exit, CommandError> {
    let tree = parse(&read_file(file)?, file)?;
    let workspaces = tree.workspaces().count();
    let tokens = tree.tokens().len();
    if json {
        let body = json!({ "workspaces": workspaces, "tokens": tokens });
        outln!("{body}");
    } else {
        outln!("{file}: valid: {workspaces} workspaces, {tokens} tokens");
    }
    Ok(Exit::Done)
}

/// Fetches the current settings from the entry.
fn fetch_current(remote: &Remote) -> Result<SettingsRecord, CommandError> {
    Client::new(remote).get("/v1/settings")
}

/// Prints the settings of the entry or of a file, or the effective values of
/// the path `effective` in them.
///
/// # Errors
///
/// Returns any [`CommandError`].
pub fn show(
    effective: Option<&str>,
    file: Option<&str>,
    remote: &Remote,
    json: bool,
) -> Result<Exit, CommandError> {
    let (text, name) = if let Some(file) = file {
        (read_file(file)?, file.to_owned())
    } else {
        let record = fetch_current(remote)?;
        let name = format!("revision {}", record.revision);
        (record.text, name)
    };
    let Some(path) = effective else {
        if json {
            outln!("{}", json!({ "of": name, "text": text }));
        } else {
            outln!("; {name}\n{}", text.trim_end());
        }
        return Ok(Exit::Done);
    };
    let tree = parse(&text, &name)?;
    let rows = tree.resolved_values(path).ok_or_else(|| {
        CommandError::Usage(format!(
            "no path {path} in {name}: write defaults, workspace/NAME or \
             workspace/NAME/service/NAME"
        ))
    })?;
    print_rows(&rows, json);
    Ok(Exit::Done)
}

fn print_rows(rows: &[ResolvedValue], json: bool) {
    for row in rows {
        if json {
            let (key, value, origin) = (row.key, &row.value, &row.origin);
            outln!(
                "{}",
                json!({"key": key, "value": value, "origin": origin})
            );
        } else {
            outln!("{:<16} {:<12} {}", row.key, row.value, row.origin);
        }
    }
}

/// Applies new settings to the whole system.
///
/// # Errors
///
/// Returns any [`CommandError`]. If the settings are no longer at the base
/// revision, the message names both revisions.
pub fn apply(
    file: &str,
    base: Option<u64>,
    remote: &Remote,
    json: bool,
) -> Result<Exit, CommandError> {
    let text = read_file(file)?;
    parse(&text, file)?;
    let base = match base {
        Some(base) => base,
        None => fetch_current(remote)?.revision,
    };
    // All attempts use the same id, by which a change that was already
    // accepted is recognised.
    let change = format!("{:016x}", rand::random::<u64>());
    let client = Client::new(remote);
    let query = format!("?base={base}&change={change}");
    let mut path = format!("/v1/settings{query}");
    for _ in 0..MAX_ATTEMPTS {
        let answer = client.call("PUT", &path, Some(&text), Duration::ZERO)?;
        if answer.status == 307
            && let Some(location) = &answer.location
        {
            path = format!("{location}{query}");
            continue;
        }
        if answer.status == 409 {
            return Err(CommandError::Refused(format!(
                "{}; the new settings are based on revision {base}: run \
                 `settings show`, merge, and apply again",
                answer.error_message()
            )));
        }
        let record: SettingsRecord = answer.json()?;
        if json {
            outln!("{}", json!({ "revision": record.revision }));
        } else {
            outln!("revision {} is accepted", record.revision);
        }
        return Ok(Exit::Done);
    }
    Err(CommandError::Refused(
        "too many redirects as the coordinator changed; retry".to_owned(),
    ))
}

/// Prints the history of settings changes, newest first.
///
/// # Errors
///
/// Returns any [`CommandError`].
pub fn history(remote: &Remote, json: bool) -> Result<Exit, CommandError> {
    let record = fetch_current(remote)?;
    let newest = json!({
        "revision": record.revision, "change": record.change,
        "by": record.by, "at_s": record.at_s,
    });
    let past = record.history.iter().map(|p| json!(p));
    for row in std::iter::once(newest).chain(past) {
        if json {
            outln!("{row}");
        } else {
            outln!(
                "{:>6}  {}  by {}  at {} s",
                row["revision"],
                row["change"].as_str().unwrap_or_default(),
                row["by"].as_str().unwrap_or_default(),
                row["at_s"]
            );
        }
    }
    Ok(Exit::Done)
}

/// Prints the digest of the token in a file.
///
/// # Errors
///
/// Returns [`CommandError::Usage`] if the file can't be read.
pub fn digest(file: &str) -> Result<Exit, CommandError> {
    let token = read_file(file)?;
    outln!("{}", digest::of_bytes(token.trim().as_bytes()));
    Ok(Exit::Done)
}
