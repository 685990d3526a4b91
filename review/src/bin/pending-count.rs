//! One worker refuses starts for some seconds while all others are in use.
//! The jobs that it refused have not begun, and have to be counted as pending.

use std::{
    process::ExitCode,
    thread,
    time::{Duration, Instant},
};

use figrill_review::{
    case::{self, Case, Verdict},
    site::{POLL_INTERVAL, Site, job, job_id},
};

/// The number of workers, and the share of 0.1 of them that is unhealthy.
const WORKERS: u8 = 11;

/// The run time of the jobs that use the other workers.
const BUSY_MS: u64 = 30_000;

/// The number of jobs that wait.
const WAITING_JOBS: u64 = 4;

/// How long the worker refuses starts.
const UNHEALTHY: Duration = Duration::from_millis(5400);

/// How long the counts are watched, from the moment the worker refuses starts.
const WATCHED: Duration = Duration::from_secs(12);

/// How long after its acceptance a job that has not begun has to be counted:
/// `visible_ms` and 2 s.
const VISIBLE: Duration = Duration::from_secs(5);

fn main() -> ExitCode {
    case::main(run)
}

fn run(case: &Case) -> Result<Verdict, String> {
    let site = Site::start(&case.program, &case.record, 2, WORKERS)
        .map_err(|e| e.to_string())?;
    // Jobs of all accelerators of a worker each leave one worker free.
    for i in 0..u64::from(WORKERS) - 1 {
        let id = job_id(1, i);
        let _ = site.submit(0, &id, &job(1, 8, BUSY_MS));
        if !site.wait_for_state(0, &id, "running", 5) {
            return Err("a job that fills a worker does not run".to_owned());
        }
    }
    thread::sleep(Duration::from_secs(1));
    let mut free = site.workers.iter().filter(|w| w.active_runs() == 0);
    let free = free.next().ok_or("no worker is free")?;
    if case.trouble {
        case.record.line(&format!("{} refuses starts", free.id()));
        free.set_unhealthy(true);
        let (free, record) = (free.clone(), case.record.clone());
        thread::spawn(move || {
            thread::sleep(UNHEALTHY);
            free.set_unhealthy(false);
            record.line(&format!("{} accepts starts again", free.id()));
        });
    }
    let begin = Instant::now();
    let mut accepted = Vec::new();
    for i in 0..WAITING_JOBS {
        let id = job_id(2, i);
        if site.submit(0, &id, &job(1, 2, 20_000)).status != 200 {
            return Err("a job was not accepted".to_owned());
        }
        accepted.push((id, Instant::now()));
    }
    let mut breaches = Vec::new();
    while begin.elapsed() < WATCHED {
        let waiting = accepted.iter().filter(|(id, at)| {
            at.elapsed() >= VISIBLE && case.record.first_start(id).is_none()
        });
        let waiting = waiting.count() as u64;
        for entry in 0..site.entries.len() {
            let asked_at = case.record.now_ms();
            let answer = site.call(entry, "GET", "/q/", None);
            let shown = answer.body["pending"].as_u64();
            if let Some(shown) = shown.filter(|shown| shown * 2 < waiting) {
                breaches.push(format!(
                    "MIXED: at {asked_at} ms {} gives {shown} as pending, \
                     while {waiting} jobs that were accepted over 5 s before \
                     have not begun",
                    site.entries[entry].name
                ));
            }
        }
        thread::sleep(POLL_INTERVAL * 4);
    }
    Ok(if breaches.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken(breaches)
    })
}
