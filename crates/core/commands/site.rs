//! The `status` and `drain` commands.

use std::time::Duration;

use serde_json::Value;

use crate::{
    args::Remote,
    client::Client,
    exit::{CommandError, Exit},
};

/// Prints the status of an entry, its coordinator and the cell.
///
/// # Errors
///
/// Returns any [`CommandError`].
pub fn status(remote: &Remote, json: bool) -> Result<Exit, CommandError> {
    let body: Value = Client::new(remote).get("/v1/status")?;
    if json {
        outln!("{body}");
        return Ok(Exit::Done);
    }
    let coordinator = body["coordinator"].as_str().unwrap_or("none known");
    outln!("entry         {}", text(&body["name"]));
    outln!("settings      revision {}", body["revision"]);
    outln!("coordinator   {coordinator} under term {}", body["term"]);
    outln!("entries       {}", body["entries"]);
    outln!("agents        {}", body["agents"]);
    outln!("callers       {} waiting", body["waiting_calls"]);
    if body["draining"] == true {
        outln!("draining      accepts no new work");
    }
    let domains = body["drained_domains"].as_array();
    let domains: Vec<&str> = domains.into_iter().flatten().map(text).collect();
    if !domains.is_empty() {
        outln!("drained       {}", domains.join(", "));
    }
    let cell = &body["cell"];
    if cell.is_null() {
        outln!("cell          not available here; query the coordinator");
        return Ok(Exit::Done);
    }
    outln!("workers       {}", cell["workers"]);
    outln!(
        "accelerators  {} free of {}, at most {} in one rack",
        cell["free"],
        cell["accelerators"],
        cell["largest_rack_block"]
    );
    outln!(
        "jobs          {} queued, {} running",
        cell["queued"],
        cell["running"]
    );
    let idle = cell["idle_guarantee"].as_object();
    for (workspace, accelerators) in idle.into_iter().flatten() {
        outln!("  {workspace}: {accelerators} guaranteed but idle");
    }
    Ok(Exit::Done)
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or_default()
}

/// Asks a process to drain.
///
/// # Errors
///
/// Returns any [`CommandError`].
pub fn drain(remote: &Remote, json: bool) -> Result<Exit, CommandError> {
    let client = Client::new(remote);
    let answer = client.call("POST", "/v1/drain", Some(""), Duration::ZERO)?;
    let body: Value = answer.json()?;
    if json {
        outln!("{body}");
    } else {
        outln!("{} accepts no new work", remote.entry);
    }
    Ok(Exit::Done)
}
