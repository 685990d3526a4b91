//! What a site is doing, and draining one of its processes.

use std::time::Duration;

use serde_json::Value;

use crate::{
    args::Remote,
    client::Client,
    exit::{CommandError, Exit},
};

/// Shows an entry, its coordinator and the cell.
///
/// # Errors
///
/// Any [`CommandError`].
pub fn status(remote: &Remote, json: bool) -> Result<Exit, CommandError> {
    let body: Value = Client::new(remote).get("/v1/status")?;
    if json {
        say!("{body}");
        return Ok(Exit::Done);
    }
    let coordinator = body["coordinator"].as_str().unwrap_or("none known");
    say!("entry         {}", plain(&body["name"]));
    say!("settings      revision {}", body["revision"]);
    say!("coordinator   {coordinator} under term {}", body["term"]);
    say!("entries       {}", body["entries"]);
    say!("agents        {}", body["agents"]);
    say!("callers       {} wait", body["waiting_calls"]);
    if body["draining"] == true {
        say!("draining      takes no new work");
    }
    let cell = &body["cell"];
    if cell.is_null() {
        say!("cell          ask the coordinator for it");
        return Ok(Exit::Done);
    }
    say!("workers       {}", cell["workers"]);
    say!(
        "accelerators  {} free of {}, {} in the freest rack",
        cell["free"],
        cell["accelerators"],
        cell["largest_rack_block"]
    );
    say!(
        "jobs          {} wait, {} run",
        cell["queued"],
        cell["running"]
    );
    let idle = cell["idle_guarantee"].as_object();
    for (workspace, accelerators) in idle.into_iter().flatten() {
        say!("  {workspace}: {accelerators} guaranteed and idle");
    }
    Ok(Exit::Done)
}

fn plain(value: &Value) -> &str {
    value.as_str().unwrap_or_default()
}

/// Asks a process to drain.
///
/// # Errors
///
/// Any [`CommandError`].
pub fn drain(remote: &Remote, json: bool) -> Result<Exit, CommandError> {
    let client = Client::new(remote);
    let answer = client.call("POST", "/v1/drain", Some(""), Duration::ZERO)?;
    let body: Value = answer.json()?;
    if json {
        say!("{body}");
    } else {
        say!("{} takes no new work", remote.entry);
    }
    Ok(Exit::Done)
}
