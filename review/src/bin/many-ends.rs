//! The store is down for some seconds while hundreds of small tasks end on one
//! worker. An upstream lists 500 ends at a time, so the rest follow later.

use std::{
    process::ExitCode,
    thread,
    time::{Duration, Instant},
};

use figrill_review::{
    case::{self, Case, Verdict},
    record::doubled_runs,
    site::{Site, job_id},
};
use figrill_standin::platform::store::Outage;
use serde_json::{Value, json};

/// The number of jobs and the number of tasks of each.
const JOBS: u64 = 9;
const TASKS: u64 = 90;

/// The run time of a task.
const RUN_MS: u64 = 9000;

/// When the outage begins, after the first submission.
const OUTAGE_AT: Duration = Duration::from_secs(8);

/// How long the outage lasts.
const OUTAGE: Duration = Duration::from_millis(4400);

/// How long the site is watched after the outage.
const WATCHED: Duration = Duration::from_secs(20);

fn main() -> ExitCode {
    case::main(run)
}

/// Returns a job of small tasks without accelerators.
fn small_tasks() -> Value {
    json!({
        "spec": format!("ms={RUN_MS}"),
        "steps": [{
            "count": TASKS, "cpu": 60, "mem_mb": 50, "estimate_ms": RUN_MS,
        }],
    })
}

fn run(case: &Case) -> Result<Verdict, String> {
    let site = Site::start(&case.program, &case.record, 2, 1)
        .map_err(|e| e.to_string())?;
    let begin = Instant::now();
    for i in 0..JOBS {
        let answer = site.submit(0, &job_id(1, i), &small_tasks());
        if answer.status != 200 {
            return Err("a job was not accepted".to_owned());
        }
        thread::sleep(Duration::from_millis(400));
    }
    thread::sleep(OUTAGE_AT.saturating_sub(begin.elapsed()));
    if case.trouble {
        site.set_outage(Outage::Refusing);
    }
    thread::sleep(OUTAGE);
    if case.trouble {
        site.set_outage(Outage::None);
    }
    thread::sleep(WATCHED);
    let mut breaches: Vec<String> = doubled_runs(&case.record.runs())
        .into_iter()
        .map(|text| format!("TWICE: {text}"))
        .collect();
    for i in 0..JOBS {
        let id = job_id(1, i);
        let state = site.state(1, &id);
        if state != "done" {
            breaches.push(format!("LOST: job {id} is shown as {state}"));
        }
    }
    Ok(if breaches.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken(breaches)
    })
}
