//! A gang that is bound to a rack loses a worker.

use std::{thread, time::Duration};

use serde_json::json;

use super::{Tasks, job, manifest};
use crate::{
    Verdict,
    deployment::{CaseError, Deployment, WorkerPlan, wait_until},
    record::Record,
    rules::{WaitingJob, check_finish},
};

const GANG: u64 = 0x6a46_0000_0000_0001;
const SMALL_JOB: u64 = 0x54a1_0000_0000_0001;

const RACKS: [&str; 3] = ["r1-1", "r1-2", "r1-3"];

/// The time limit for a job to start on free workers.
const START_LIMIT: Duration = Duration::from_secs(5);

/// How long the gang has worked when a worker is lost.
const GANG_TIME: Duration = Duration::from_secs(3);

/// Runs the case.
pub fn run(trouble: bool, record: &Record) -> Result<Verdict, CaseError> {
    let workers: Vec<WorkerPlan> = RACKS
        .iter()
        .flat_map(|rack| {
            [WorkerPlan {
                service: "svc",
                rack,
            }; 3]
        })
        .collect();
    let site = Deployment::start(record, 2, &workers, &manifest())?;
    site.wait_until_serving("q", 1, 9)?;
    // One small task on each rack but one, so that the gang fits on that one.
    for (id, rack) in (SMALL_JOB..).zip(&RACKS[1..]) {
        let small = Tasks {
            count: 1,
            accelerators: 1,
            cpu_milli: 1000,
            duration_ms: 110_000,
            ..Tasks::default()
        };
        let small = job(small, &json!({"data_rack": rack}));
        site.submit_accepted("q", id, &small)?;
        wait_until("a small job to run", START_LIMIT, || {
            site.running(id) == 1
        })?;
    }
    let gang = Tasks {
        count: 3,
        accelerators: 8,
        cpu_milli: 1000,
        duration_ms: 60_000,
        gang: true,
    };
    let gang = job(gang, &json!({"same_rack": true}));
    site.submit_accepted("q", GANG, &gang)?;
    wait_until("the gang to run", START_LIMIT, || site.running(GANG) == 3)?;
    thread::sleep(GANG_TIME);
    if trouble {
        let agents = site.agents_of(GANG);
        let agent = agents.first().ok_or("the gang has ended")?;
        record.line(&format!("upstreams: {agent} crashes for good"));
        site.workers.crash(agent);
    }
    let waiting = WaitingJob {
        queue: "q",
        id: GANG,
        service: "svc",
        count: 3,
        accelerators: 8,
    };
    let verdict = check_finish(&site, &waiting);
    site.record_runs();
    Ok(verdict)
}
