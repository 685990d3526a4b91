//! A worker leaves the orders to start a subtask unanswered. The subtask is
//! started and done elsewhere. Meanwhile the worker has crashed. It comes back
//! under its id, and the orders are carried out there.

use std::{path::Path, thread, time::Duration};

use figrill_standin::platform::workers::{Delay, Share, Successor};

use crate::{
    installation::{Installation, Plan, plain_job, wait_until},
    record::{Outcome, Record, run_events, twice},
};

/// The installation.
const PLAN: Plan = Plan {
    entries: 2,
    agents: 8,
    max_lease_ms: 10_000,
    can_suspend: false,
};

/// The id of the job.
const JOB_ID: u64 = 0x11;

/// Its only subtask, as the workers name it.
const TASK: &str = "0000000000000011.0.0.0";

/// How long the subtask works.
const WORK_MS: u64 = 250;

/// How long after their receipt the orders are carried out: between 2 and 12
/// seconds, as for workers that leave orders unanswered.
const ORDER_DELAY: Duration = Duration::from_secs(4);

/// How long the worker is down: less than the 4.5 s of workers that crash.
const DOWN_TIME: Duration = Duration::from_millis(4300);

/// The age that workers have at least when the job is sent.
const WARM_UP: Duration = Duration::from_secs(4);

/// The number of attempts at an order that is not answered.
const ATTEMPTS: usize = 3;

/// The ids of the other jobs, whose orders are answered: so at most half of
/// the orders are not.
const OTHER_JOBS: std::ops::Range<u64> = 0x21..0x29;

/// The time limit for the job to be done.
const DONE_LIMIT: Duration = Duration::from_secs(20);

/// How long the workers are watched after the worker is back.
const WATCH_TIME: Duration = Duration::from_secs(5);

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
    thread::sleep(WARM_UP);
    let names: Vec<&str> =
        site.agents.iter().map(|a| a.name.as_str()).collect();
    if trouble {
        for name in &names {
            let delay = Delay {
                starts: Share::All,
                duration: Some(ORDER_DELAY),
                ..Delay::default()
            };
            site.workers.delay_calls(name, Some(delay));
        }
    }
    let entry = site.entries[0].address;
    let answer = site.client.submit(entry, JOB_ID, &plain_job(1, WORK_MS));
    record.note(&format!("POST of the job: {}", answer.status));
    if answer.status != 200 {
        return Err("the job was not accepted".to_owned());
    }
    let mut victim = None;
    if trouble {
        wait_until(DONE_LIMIT, || {
            let held =
                names.iter().find(|n| site.workers.delayed_calls(n) > 0);
            victim = held.copied();
            victim.is_some()
        })?;
        for name in names.iter().filter(|n| Some(**n) != victim) {
            site.workers.delay_calls(name, None);
        }
        record.note(&format!("orders are left unanswered at {victim:?}"));
        let name = victim.unwrap_or_default();
        wait_until(DONE_LIMIT, || {
            site.workers.delayed_calls(name) == ATTEMPTS
        })?;
        site.workers.delay_calls(name, None);
    }
    send_other_jobs(&site, record);
    wait_until(DONE_LIMIT, || site.client.state(entry, JOB_ID) == "done")?;
    record.note("GET of the job: done");
    if let Some(name) = victim {
        crash_and_return(&site, name, record)?;
    }
    thread::sleep(WATCH_TIME);
    for call in site.workers.carried_out() {
        record.note(&format!("carried out late: {call:?}"));
    }
    record.add_runs(&site.workers, "0000000000000011");
    record.add_findings(&site.workers);
    let events = run_events(&site.workers);
    let broken = twice(&events, TASK);
    Ok(broken.map_or(Outcome::Held, Outcome::Broken))
}

/// Sends the other jobs, of one short subtask each.
fn send_other_jobs(site: &Installation, record: &mut Record) {
    for id in OTHER_JOBS {
        let entry = site.entries[1].address;
        let answer = site.client.submit(entry, id, &plain_job(1, 50));
        record.note(&format!("POST of another job: {}", answer.status));
    }
}

/// Has a worker crash and come back under its id, and waits meanwhile.
fn crash_and_return(
    site: &Installation,
    name: &str,
    record: &mut Record,
) -> Result<(), String> {
    site.workers.crash(name);
    record.note(&format!("the worker of {name} crashes"));
    thread::sleep(DOWN_TIME);
    site.workers
        .restart(name, Successor::default())
        .map_err(|e| e.to_string())?;
    record.note(&format!("the worker of {name} is back under its id"));
    Ok(())
}
