//! The store is down for some seconds while many jobs end. When it is back,
//! every accepted job must go on, and new ones must start.

use std::{
    process::ExitCode,
    thread,
    time::{Duration, Instant},
};

use figrill_review::{
    case::{self, Case, Verdict},
    site::{Site, job, job_id},
    worker::{Worker, wall_ms},
};
use figrill_standin::platform::store::Outage;

/// The jobs of five minutes ago.
const OLD_JOBS: u64 = 6;

/// The jobs that run when the outage begins, one accelerator each.
const RUNNING_JOBS: u64 = 30;

/// When the outage begins, after the start of the running jobs.
const OUTAGE_AT: Duration = Duration::from_secs(6);

/// How long the outage lasts.
const OUTAGE: Duration = Duration::from_millis(4400);

/// When the jobs of five minutes ago are due to be forgotten, after the start
/// of the running jobs.
const FORGOTTEN_AT_MS: u64 = 8000;

/// The time after an outage in which calm machines are out of touch.
const CONTACT: Duration = Duration::from_secs(3);

/// How long jobs may have nothing running although there is capacity.
const IDLE_LIMIT: Duration = Duration::from_secs(3);

/// How long the site is watched after it is calm again.
const WATCHED: Duration = Duration::from_secs(20);

fn main() -> ExitCode {
    case::main(run)
}

fn run(case: &Case) -> Result<Verdict, String> {
    let text = |e: std::io::Error| e.to_string();
    let mut site =
        Site::start(&case.program, &case.record, 2, 4).map_err(text)?;
    for i in 0..OLD_JOBS {
        let id = job_id(1, i);
        let _ = site.submit(0, &id, &job(1, 1, 100));
        if !site.wait_for_state(0, &id, "done", 10) {
            return Err("a job of the first sitting is not done".to_owned());
        }
    }
    site.kill_all();
    // The site is off until five minutes after these jobs. Nothing runs that
    // could tell the time of their records from that.
    let _ = site.age_records(wall_ms() + FORGOTTEN_AT_MS + 2000);
    site.restart_all().map_err(text)?;
    let started = Instant::now();
    for i in 0..RUNNING_JOBS {
        // They end one after the other, from 1 s after the outage begins.
        let ms = 7000 + i * 90;
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
    thread::sleep(CONTACT);
    Ok(judge(&site))
}

/// Submits jobs and watches whether they start and whether ended jobs are
/// shown as done.
fn judge(site: &Site) -> Verdict {
    let mut breaches = Vec::new();
    let probes: Vec<String> = (0..3).map(|i| job_id(3, i)).collect();
    let mut accepted = Vec::new();
    for (i, id) in probes.iter().enumerate() {
        let answer = site.submit(i % 2, id, &job(1, 1, 200));
        accepted.push((id, answer.status, site.record.now_ms()));
    }
    thread::sleep(WATCHED);
    let active: usize = site.workers.iter().map(Worker::active_runs).sum();
    let until = site.record.now_ms();
    for (id, status, at) in accepted {
        if status != 200 {
            breaches.push(format!("LOST: job {id} was answered {status}"));
            continue;
        }
        let start = site.record.first_start(id);
        let waited = start.unwrap_or(until) - at;
        if u128::from(waited) > IDLE_LIMIT.as_millis() {
            breaches.push(format!(
                "LOST: job {id} was accepted at {at} ms and had nothing \
                 running for {waited} ms (started: {start:?}); {active} runs \
                 are active on 32 accelerators"
            ));
        }
    }
    for i in 0..RUNNING_JOBS {
        let id = job_id(2, i);
        let state = site.state(0, &id);
        if state != "done" {
            breaches.push(format!(
                "LOST: job {id} is shown as {state} long after its task ended"
            ));
        }
    }
    if breaches.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken(breaches)
    }
}
