//! An urgent job that needs all workers waits for a long one on one of them.
//! The other workers are kept idle for it, and other jobs, which they have room
//! for, do not start.

use std::{path::Path, thread, time::Duration};

use crate::{
    installation::{Installation, Plan, wait_until},
    jobs::{Job, gpus_in_use, standing_still},
    record::{Outcome, Record},
};

/// The installation: 24 GPUs, 8 at each worker.
const PLAN: Plan = Plan {
    entries: 2,
    agents: 3,
    max_lease_ms: 10_000,
    can_suspend: false,
};

/// The job that has one worker to itself.
const LONG: Job = Job {
    id: 0x131,
    gpus: 8,
    ms: 95_000,
    ..Job::SMALL
};

/// The urgent gang that needs all workers.
const LARGE: Job = Job {
    queue: "u",
    id: 0x132,
    count: 3,
    gpus: 8,
    ms: 2100,
    ..Job::SMALL
};

/// The jobs that two workers have room for.
const SMALL: Job = Job {
    id: 0x133,
    ..Job::SMALL
};
const LASTING: Job = Job {
    id: 0x134,
    persistent: true,
    ..Job::SMALL
};

/// How long the long job runs before the others are sent.
const HEAD_START: Duration = Duration::from_secs(10);

/// How long the large job waits before the last two jobs are sent.
const WAIT: Duration = Duration::from_secs(4);

/// The time between two jobs of priority 1: the usual one is 3.1 s.
const USUAL_INTERVAL: Duration = Duration::from_millis(3200);

/// The time after the end of the traffic from which jobs may not stand still,
/// `finish_s`.
const FINISH_TIME: Duration = Duration::from_secs(14);

/// How long the jobs are watched then. The rule allows 3 s.
const WATCH_TIME: Duration = Duration::from_secs(10);

/// The time limit for the first subtask to run.
const START_LIMIT: Duration = Duration::from_secs(10);

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
    let jobs = [LONG, LARGE, SMALL, LASTING];
    LONG.submit(&site, record)?;
    wait_until(START_LIMIT, || gpus_in_use(&site, &jobs) == LONG.gpus)?;
    record.note("the long job runs");
    thread::sleep(HEAD_START);
    if trouble {
        LARGE.submit(&site, record)?;
    }
    thread::sleep(WAIT);
    SMALL.submit(&site, record)?;
    thread::sleep(USUAL_INTERVAL);
    LASTING.submit(&site, record)?;
    record.note("end of the traffic");
    thread::sleep(FINISH_TIME);
    let watched = SMALL.id..=LASTING.id;
    let still = standing_still(&site, &jobs, watched, WATCH_TIME, record);
    record.add_runs(&site.workers, "000000000000013");
    Ok(Outcome::of_standing_still(&still))
}
