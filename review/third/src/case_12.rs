//! The machine of a worker is suspended for some seconds and then cut off. The
//! steady clock of the worker, by which its lease lasts, does not count the
//! suspension.

use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    installation::{Installation, Plan, plain_job, wait_until},
    record::{Outcome, Record},
};

/// The installation, with the `hold_max_ms` of a site.
const PLAN: Plan = Plan {
    entries: 2,
    agents: 10,
    max_lease_ms: 6000,
    can_suspend: true,
};

/// The id of the job.
const JOB_ID: u64 = 0x12;

/// Its only subtask, as the workers name it.
const TASK: &str = "0000000000000012.0.0.0";

/// How long the subtask works.
const WORK_MS: u64 = 25_000;

/// How long the machine is suspended.
const SUSPENSION: Duration = Duration::from_millis(4800);

/// When the cut begins, counted from the begin of the suspension, and how long
/// it lasts.
const CUT_AFTER: Duration = Duration::from_secs(3);
const CUT_FOR: Duration = Duration::from_millis(5300);

/// How long the subtask runs before.
const WARM_UP: Duration = Duration::from_secs(3);

/// The time limit for the subtask to run.
const START_LIMIT: Duration = Duration::from_secs(10);

/// How long the workers are watched, from the begin of the suspension.
const WATCH_TIME: Duration = Duration::from_secs(14);

/// The interval at which they are watched.
const WATCH_INTERVAL: Duration = Duration::from_millis(20);

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
    let entry = site.entries[0].address;
    let answer = site.client.submit(entry, JOB_ID, &plain_job(1, WORK_MS));
    record.note(&format!("POST of the job: {}", answer.status));
    if answer.status != 200 {
        return Err("the job was not accepted".to_owned());
    }
    let mut at = None;
    wait_until(START_LIMIT, || {
        at = site.suspendable.iter().position(|w| w.is_at_work(TASK));
        at.is_some()
    })?;
    let at = at.unwrap_or_default();
    record.note(&format!("the subtask runs at worker {at}"));
    thread::sleep(WARM_UP);
    let overlap = watch(&site, trouble.then_some(at), record);
    for (i, worker) in site.suspendable.iter().enumerate() {
        for line in worker.trace().iter().filter(|l| l.contains(TASK)) {
            record.note(&format!("worker {i}, by its clock: {line}"));
        }
    }
    Ok(if overlap.is_zero() {
        Outcome::Held
    } else {
        let ms = overlap.as_millis();
        Outcome::Broken(format!("{TASK} runs at two workers for {ms} ms"))
    })
}

/// Watches the workers while the machine `suspended`, if any, is suspended and
/// cut off. Returns for how long the subtask has run at two workers.
fn watch(
    site: &Installation,
    suspended: Option<usize>,
    record: &mut Record,
) -> Duration {
    let started_at = Instant::now();
    let mut steps = [
        (Duration::ZERO, "suspended"),
        (CUT_AFTER, "cut off"),
        (SUSPENSION, "resumed"),
        (CUT_AFTER + CUT_FOR, "reachable again"),
    ]
    .into_iter()
    .peekable();
    let mut overlap = Duration::ZERO;
    let mut seen = Vec::new();
    while started_at.elapsed() < WATCH_TIME {
        let elapsed = started_at.elapsed();
        if let Some(i) = suspended
            && let Some((_, step)) = steps.next_if(|(at, _)| elapsed >= *at)
        {
            apply(site, i, step);
            record.note(&format!("the machine of worker {i} is {step}"));
        }
        let workers = site.suspendable.iter();
        let running: Vec<usize> = workers
            .enumerate()
            .filter(|(_, w)| w.is_at_work(TASK))
            .map(|(i, _)| i)
            .collect();
        if running.len() > 1 {
            overlap += WATCH_INTERVAL;
        }
        if running != seen {
            record.note(&format!("at work at the workers: {running:?}"));
            seen = running;
        }
        thread::sleep(WATCH_INTERVAL);
    }
    overlap
}

/// Applies a step to the machine of a worker and its agent.
fn apply(site: &Installation, i: usize, step: &str) {
    match step {
        "suspended" => {
            site.agents[i].set_stopped(true);
            site.suspendable[i].set_suspended(true);
        }
        "resumed" => {
            site.suspendable[i].set_suspended(false);
            site.agents[i].set_stopped(false);
        }
        "cut off" => site.agents[i].set_cut_off(true),
        _ => site.agents[i].set_cut_off(false),
    }
}
