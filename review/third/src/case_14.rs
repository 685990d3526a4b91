//! A gang that takes longer on more than one rack waits for a rack of its own,
//! for as long as it is expected to run, while most workers are idle.

use std::{path::Path, thread, time::Duration};

use crate::{
    installation::{Installation, Plan, wait_until},
    jobs::{Job, gpus_in_use, standing_still},
    record::{Outcome, Record},
};

/// The installation: three racks of three workers with 8 GPUs each.
const PLAN: Plan = Plan {
    entries: 2,
    agents: 9,
    max_lease_ms: 10_000,
    can_suspend: false,
};

/// The racks, whose data each of the long jobs needs.
const RACKS: [&str; 3] = ["r0", "r1", "r2"];

/// The id of the first long job.
const LONG_ID: u64 = 0x141;

/// The gang, which fits on a rack that is empty.
const GANG: Job = Job {
    id: 0x149,
    count: 3,
    gpus: 8,
    ms: 60_000,
    same_rack: true,
    ..Job::SMALL
};

/// The time between two long jobs, as in a burst of 1.9 times the usual 0.321
/// a second, and the usual time until the gang is sent.
const BURST_INTERVAL: Duration = Duration::from_millis(1650);
const USUAL_INTERVAL: Duration = Duration::from_millis(3200);

/// The time until all workers are known.
const WARM_UP: Duration = Duration::from_secs(4);

/// The time after the end of the traffic from which jobs may not stand still,
/// `finish_s`.
const FINISH_TIME: Duration = Duration::from_secs(14);

/// How long the gang is watched then. The rule allows 3 s.
const WATCH_TIME: Duration = Duration::from_secs(10);

/// The time limit for the long jobs to run.
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
    thread::sleep(WARM_UP);
    let mut jobs = vec![GANG];
    if trouble {
        for (rack, id) in RACKS.iter().zip(LONG_ID..) {
            let long = Job {
                id,
                gpus: 8,
                ms: 95_000,
                data_rack: Some(rack),
                ..Job::SMALL
            };
            long.submit(&site, record)?;
            jobs.push(long);
            thread::sleep(BURST_INTERVAL);
        }
        let gpus = 8 * RACKS.len() as u64;
        wait_until(START_LIMIT, || gpus_in_use(&site, &jobs) == gpus)?;
        record.note("the long jobs run");
    }
    thread::sleep(USUAL_INTERVAL);
    GANG.submit(&site, record)?;
    record.note("end of the traffic");
    thread::sleep(FINISH_TIME);
    let watched = GANG.id..=GANG.id;
    let still = standing_still(&site, &jobs, watched, WATCH_TIME, record);
    record.add_runs(&site.workers, "000000000000014");
    Ok(Outcome::of_standing_still(&still))
}
