//! The operators' settings.

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

/// The most redirects to the coordinator that are followed.
const REDIRECTS_MAX: usize = 3;

fn parse(text: &str, file: &str) -> Result<Tree, CommandError> {
    Tree::parse(text, file).map_err(|e| CommandError::Usage(e.to_string()))
}

/// Checks a file.
///
/// # Errors
///
/// [`CommandError::Usage`] with all problems and their lines.
pub fn check(file: &str, json: bool) -> Result<Exit, CommandError> {
    let tree = parse(&read_file(file)?, file)?;
    let workspaces = tree.workspaces().count();
    let tokens = tree.tokens().len();
    if json {
        let body = json!({ "workspaces": workspaces, "tokens": tokens });
        say!("{body}");
    } else {
        say!("{file}: good: {workspaces} workspaces, {tokens} tokens");
    }
    Ok(Exit::Done)
}

fn current(remote: &Remote) -> Result<SettingsRecord, CommandError> {
    Client::new(remote).get("/v1/settings")
}

/// Shows the settings in force, or what a path inherits.
///
/// # Errors
///
/// Any [`CommandError`].
pub fn show(
    effective: Option<&str>,
    file: Option<&str>,
    remote: &Remote,
    json: bool,
) -> Result<Exit, CommandError> {
    let (text, name) = if let Some(file) = file {
        (read_file(file)?, file.to_owned())
    } else {
        let record = current(remote)?;
        let name = format!("revision {}", record.revision);
        (record.text, name)
    };
    let Some(path) = effective else {
        if json {
            say!("{}", json!({ "of": name, "text": text }));
        } else {
            say!("; {name}\n{}", text.trim_end());
        }
        return Ok(Exit::Done);
    };
    let tree = parse(&text, &name)?;
    let rows = tree.show(path).ok_or_else(|| {
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
            say!("{}", json!({"key": key, "value": value, "origin": origin}));
        } else {
            say!("{:<16} {:<12} {}", row.key, row.value, row.origin);
        }
    }
}

/// Puts new settings in force.
///
/// # Errors
///
/// Any [`CommandError`]; after a race, with both revisions.
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
        None => current(remote)?.revision,
    };
    // The same change sent again after a lost answer finds itself accepted,
    // so one name serves for all tries.
    let change = format!("{:016x}", rand::random::<u64>());
    let client = Client::new(remote);
    let query = format!("?base={base}&change={change}");
    let mut path = format!("/v1/settings{query}");
    for _ in 0..REDIRECTS_MAX {
        let answer = client.call("PUT", &path, Some(&text), Duration::ZERO)?;
        if answer.status == 307
            && let Some(location) = &answer.location
        {
            path = format!("{location}{query}");
            continue;
        }
        if answer.status == 409 {
            return Err(CommandError::Refused(format!(
                "{}; yours was made from {base}: look at `settings show`, \
                 merge, and apply again",
                answer.explain()
            )));
        }
        let record: SettingsRecord = answer.json()?;
        if json {
            say!("{}", json!({ "revision": record.revision }));
        } else {
            say!("revision {} is accepted", record.revision);
        }
        return Ok(Exit::Done);
    }
    Err(CommandError::Refused(
        "the coordinator keeps changing; try again".to_owned(),
    ))
}

/// Lists the changes.
///
/// # Errors
///
/// Any [`CommandError`].
pub fn history(remote: &Remote, json: bool) -> Result<Exit, CommandError> {
    let record = current(remote)?;
    let newest = json!({
        "revision": record.revision, "change": record.change,
        "by": record.by, "at_s": record.at_s,
    });
    let past = record.history.iter().map(|p| json!(p));
    for row in std::iter::once(newest).chain(past) {
        if json {
            say!("{row}");
        } else {
            say!(
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

/// Prints the digest of a token.
///
/// # Errors
///
/// [`CommandError::Usage`] if the file can't be read.
pub fn digest(file: &str) -> Result<Exit, CommandError> {
    let token = read_file(file)?;
    say!("{}", digest::of_bytes(token.trim().as_bytes()));
    Ok(Exit::Done)
}
