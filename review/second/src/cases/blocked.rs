//! A gang that no longer fits holds back all work that is due later.

use std::{thread, time::Duration};

use serde_json::json;

use super::{Tasks, job, manifest};
use crate::{
    Verdict,
    deployment::{CaseError, Deployment, WorkerPlan, wait_until},
    record::Record,
    rules::{WaitingJob, check_finish},
};

const LASTING_JOB: u64 = 0x1a57_0000_0000_0001;
const GANG: u64 = 0x6a46_0000_0000_0001;
const SMALL_JOB: u64 = 0x54a1_0000_0000_0001;

const WORKER: WorkerPlan = WorkerPlan {
    service: "svc",
    rack: "r1-1",
};

/// One of them is lost, which is a share of 0.125.
const WORKERS: usize = 8;

/// The time limit for a job to start on free workers.
const START_LIMIT: Duration = Duration::from_secs(5);

/// How long the lasting task has worked when the gang comes.
const LASTING_TIME: Duration = Duration::from_secs(10);

/// How long the gang has worked when a worker is lost.
const GANG_TIME: Duration = Duration::from_secs(2);

/// The time from then to the small job.
const PAUSE: Duration = Duration::from_secs(4);

/// Runs the case.
pub fn run(trouble: bool, record: &Record) -> Result<Verdict, CaseError> {
    let workers = [WORKER; WORKERS];
    let site = Deployment::start(record, 2, &workers, &manifest())?;
    site.wait_until_serving("q", 1, 8)?;
    let lasting = Tasks {
        count: 1,
        accelerators: 4,
        cpu_milli: 4000,
        duration_ms: 1_000_000,
        ..Tasks::default()
    };
    let lasting = job(lasting, &json!({"persistent": true}));
    site.submit_accepted("low", LASTING_JOB, &lasting)?;
    wait_until("the lasting task to run", START_LIMIT, || {
        site.running(LASTING_JOB) == 1
    })?;
    thread::sleep(LASTING_TIME);
    let gang = Tasks {
        count: 7,
        accelerators: 8,
        cpu_milli: 1000,
        duration_ms: 5000,
        gang: true,
    };
    site.submit_accepted("q", GANG, &job(gang, &json!({})))?;
    wait_until("the gang to run", START_LIMIT, || site.running(GANG) == 7)?;
    thread::sleep(GANG_TIME);
    if trouble {
        let agents = site.agents_of(GANG);
        let agent = agents.first().ok_or("the gang has ended")?;
        record.line(&format!("upstreams: {agent} crashes for good"));
        site.workers.crash(agent);
    }
    thread::sleep(PAUSE);
    let small = Tasks {
        count: 1,
        accelerators: 1,
        cpu_milli: 1000,
        duration_ms: 4000,
        ..Tasks::default()
    };
    site.submit_accepted("q", SMALL_JOB, &job(small, &json!({})))?;
    let waiting = WaitingJob {
        queue: "q",
        id: SMALL_JOB,
        service: "svc",
        count: 1,
        accelerators: 1,
    };
    let verdict = check_finish(&site, &waiting);
    site.record_runs();
    Ok(verdict)
}
