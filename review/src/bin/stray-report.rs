//! A status report of another writer arrives at an agent: all its fields are
//! of the right type, but it names a service that the configuration does not
//! have. The upstream that registered before must hold, and its runs with it.

use std::{net::SocketAddr, process::ExitCode, thread, time::Duration};

use figrill_review::{
    case::{self, Case, Verdict},
    record::doubled_runs,
    site::{Site, job, job_id},
    worker::wall_ms,
};
use serde_json::json;

/// The run time of the tasks.
const RUN_MS: u64 = 12_000;

/// When the report arrives, after the tasks have started.
const REPORT_AFTER: Duration = Duration::from_secs(2);

/// How long the site is watched after that.
const WATCHED: Duration = Duration::from_secs(24);

/// The port of the address that the report names. Nothing listens there.
const STRAY_PORT: u16 = 9;

fn main() -> ExitCode {
    case::main(run)
}

fn run(case: &Case) -> Result<Verdict, String> {
    let site = Site::start(&case.program, &case.record, 2, 3)
        .map_err(|e| e.to_string())?;
    let id = job_id(1, 1);
    if site.submit(0, &id, &job(2, 4, RUN_MS)).status != 200 {
        return Err("the job was not accepted".to_owned());
    }
    if !site.wait_for_state(0, &id, "running", 5) {
        return Err("the job does not run".to_owned());
    }
    thread::sleep(REPORT_AFTER);
    let first = case
        .record
        .runs()
        .into_iter()
        .find(|e| e.task.starts_with(&id));
    let worker = first.ok_or("no task of the job has started")?.worker;
    let agent = site
        .agents
        .iter()
        .find(|a| a.name.replace("agent", "vm") == worker)
        .ok_or("the run is on an unknown VM")?;
    if case.trouble {
        report(case, agent.address)?;
    }
    thread::sleep(WATCHED);
    let state = site.state(1, &id);
    let mut breaches: Vec<String> = doubled_runs(&case.record.runs())
        .into_iter()
        .map(|text| format!("TWICE: {text}"))
        .collect();
    if state != "done" {
        breaches.push(format!("LOST: job {id} is shown as {state}"));
    }
    Ok(if breaches.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken(breaches)
    })
}

/// Sends the report of the other writer to an agent.
fn report(case: &Case, agent: SocketAddr) -> Result<(), String> {
    let body = json!({
        "service": "another-service",
        "addr": SocketAddr::new(agent.ip(), STRAY_PORT).to_string(),
        "zone": "riga",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_left_ms": 0,
        "capacity": {"cpu": 16_000, "mem_mb": 32_768, "gpu": 0},
        "labels": ["b", "r-9"],
        "clock_ms": 1000,
        "born": wall_ms() - 1000,
        "seq": 1,
    });
    let url = format!("http://{agent}/-/workers/i-of-another-writer");
    let answer = ureq::put(&url)
        .config()
        .http_status_as_error(false)
        .proxy(None)
        .build()
        .send(body.to_string())
        .map_err(|e| format!("the report was not answered: {e}"))?;
    case.record.line(&format!(
        "another writer: PUT {url} {body}: {}",
        answer.status()
    ));
    Ok(())
}
