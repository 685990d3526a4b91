//! The store is down for some seconds while jobs that ended five minutes ago
//! become due to be forgotten. No task of theirs may start again.

use std::{
    process::ExitCode,
    thread,
    time::{Duration, Instant},
};

use figrill_review::{
    case::{self, Case, Verdict},
    record::doubled_runs,
    site::{Site, job, job_id},
    worker::wall_ms,
};
use figrill_standin::platform::store::Outage;

/// The jobs of five minutes ago.
const OLD_JOBS: u64 = 12;

/// The jobs that run during the outage.
const RUNNING_JOBS: u64 = 10;

/// When the outage begins, after the start of the running jobs.
const OUTAGE_AT: Duration = Duration::from_secs(6);

/// How long the outage lasts.
const OUTAGE: Duration = Duration::from_millis(4400);

/// When the jobs of five minutes ago are due to be forgotten, after the start
/// of the running jobs.
const FORGOTTEN_AT_MS: u64 = 8000;

/// How long the site is watched after the outage.
const WATCHED: Duration = Duration::from_secs(15);

fn main() -> ExitCode {
    case::main(run)
}

fn run(case: &Case) -> Result<Verdict, String> {
    let text = |e: std::io::Error| e.to_string();
    let mut site =
        Site::start(&case.program, &case.record, 2, 3).map_err(text)?;
    for i in 0..OLD_JOBS {
        let id = job_id(1, i);
        let _ = site.submit(0, &id, &job(1, 1, 3000));
    }
    for i in 0..OLD_JOBS {
        if !site.wait_for_state(0, &job_id(1, i), "done", 10) {
            return Err("a job of the first sitting is not done".to_owned());
        }
    }
    site.kill_all();
    // Nothing runs that could tell the time of the records from five minutes
    // that pass.
    let _ = site.age_records(wall_ms() + FORGOTTEN_AT_MS + 2000);
    site.restart_all().map_err(text)?;
    let started = Instant::now();
    for i in 0..RUNNING_JOBS {
        // They end one after the other, some of them during the outage.
        let ms = 5000 + i * 400;
        let answer = site.submit(0, &job_id(2, i), &job(1, 1, ms));
        if answer.status != 200 {
            return Err("a job was not accepted before the outage".to_owned());
        }
    }
    thread::sleep(OUTAGE_AT.saturating_sub(started.elapsed()));
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
    for i in 0..OLD_JOBS {
        let state = site.state(1, &job_id(1, i));
        case.record.line(&format!("old job {i}: {state}"));
    }
    for i in 0..RUNNING_JOBS {
        let id = job_id(2, i);
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
