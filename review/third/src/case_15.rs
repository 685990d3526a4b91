//! Another writer sends status reports under the ids of the workers, with a
//! service that no manifest names.

use std::{
    net::SocketAddr,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use figrill_standin::platform::reports::send_report;
use serde_json::json;

use crate::{
    installation::{Installation, Plan, plain_job},
    record::{Outcome, Record},
    worker::Worker,
};

/// The installation.
const PLAN: Plan = Plan {
    entries: 2,
    agents: 2,
    max_lease_ms: 10_000,
    can_suspend: true,
};

/// The id of the job.
const JOB_ID: u64 = 0x15;

/// The service of the other writer's reports.
const OTHER_SERVICE: &str = "another-service";

/// The first sequence number of the other writer's reports.
const FIRST_SEQUENCE: u64 = 1000;

/// The interval between two reports of the other writer.
const FOREIGN_INTERVAL: Duration = Duration::from_millis(400);

/// The time from the first of them until the job is sent.
const WARM_UP: Duration = Duration::from_secs(4);

/// The time after the end of the traffic from which jobs may not stand still,
/// `finish_s`, and how long the job is watched then. The rule allows 3 s.
const FINISH_TIME: Duration = Duration::from_secs(14);
const WATCH_TIME: Duration = Duration::from_secs(10);

/// How often the state of the job is asked for until there is an answer.
const MAX_QUESTIONS: usize = 4;

/// Runs the case.
///
/// # Errors
///
/// Returns why the case could not run.
pub fn run(
    program: &Path,
    trouble: bool,
    record: &mut Record,
) -> Result<Outcome, String> {
    let site = Installation::start(program, PLAN)?;
    let stopped = Arc::new(AtomicBool::new(!trouble));
    let agents = site.agents.iter().map(|a| a.address);
    for (worker, agent) in site.suspendable.iter().zip(agents) {
        let (worker, stopped) = (worker.clone(), stopped.clone());
        thread::spawn(move || send_foreign(&worker, agent, &stopped));
    }
    thread::sleep(WARM_UP);
    let entry = site.entries[0].address;
    let answer = site.client.submit(entry, JOB_ID, &plain_job(1, 500));
    record.note(&format!("POST of the job: {}", answer.status));
    record.note("end of the traffic");
    thread::sleep(FINISH_TIME);
    let before = state(&site);
    record.note(&format!("GET of the job: {before}"));
    thread::sleep(WATCH_TIME);
    let after = state(&site);
    record.note(&format!("GET of the job: {after}"));
    stopped.store(true, Ordering::Relaxed);
    for (i, worker) in site.suspendable.iter().enumerate() {
        for line in worker.trace() {
            record.note(&format!("worker {i}: {line}"));
        }
    }
    if before == "queued" && after == "queued" {
        let text = "the job does not start though all workers are idle";
        return Ok(Outcome::Broken(text.to_owned()));
    }
    Ok(Outcome::Held)
}

/// Returns the state of the job. A question that gets no answer, as on a
/// connection that has been idle for long, is asked again.
fn state(site: &Installation) -> String {
    let ask = |i: usize| {
        let entry = &site.entries[i % site.entries.len()];
        site.client.state(entry.address, JOB_ID)
    };
    let answered = (0..MAX_QUESTIONS).map(ask).find(|s| s != "0");
    answered.unwrap_or_default()
}

/// Sends what the worker reports, but for the service, until `stopped`.
fn send_foreign(worker: &Worker, agent: SocketAddr, stopped: &AtomicBool) {
    for sequence in FIRST_SEQUENCE.. {
        if stopped.load(Ordering::Relaxed) {
            return;
        }
        let (id, mut report) = worker.next_report();
        report["service"] = json!(OTHER_SERVICE);
        report["seq"] = json!(sequence);
        let _ = send_report(agent, &id, &report);
        thread::sleep(FOREIGN_INTERVAL);
    }
}
