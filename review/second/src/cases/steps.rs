//! Large jobs of many steps keep the coordinator from all its other work.

use std::{thread, time::Duration};

use serde_json::{Value, json};

use super::{Tasks, job, manifest};
use crate::{
    Verdict,
    deployment::{CaseError, Deployment, WorkerPlan, wait_until},
    record::Record,
    rules::{WaitingJob, check_finish},
};

const FIRST_LARGE_JOB: u64 = 0x1a46_0000_0000_0001;
const LONG_JOB: u64 = 0x1046_0000_0000_0001;
const SMALL_JOB: u64 = 0x54a1_0000_0000_0001;

/// The large jobs are as many as bursts of the three kinds of requests of the
/// site bring together in 6 s.
const LARGE_JOBS: u64 = 9;
const LARGE_JOB_INTERVAL: Duration = Duration::from_millis(650);

const WORKER: WorkerPlan = WorkerPlan {
    service: "svc",
    rack: "r1-1",
};

/// The time limit for a job to start on free workers.
const START_LIMIT: Duration = Duration::from_secs(5);

/// `max_body_bytes` in the manifests of the platform.
const MAX_BODY_BYTES: usize = 262_144;

/// The time from the large jobs to the small one.
const PAUSE: Duration = Duration::from_secs(4);

/// Returns a job of two stages. Each step of the second one comes after all
/// steps of the first one, and all have one task.
fn two_stages(first: usize, second: usize) -> Value {
    let step = json!({"count": 1, "cpu": 500, "gpu": 8, "estimate_ms": 900});
    let mut later = step.clone();
    later["after"] = (0..first).collect();
    let mut steps = vec![step; first];
    steps.extend(vec![later; second]);
    json!({"spec": "ms=1000 cpu=500 gpu=8", "steps": steps})
}

/// Runs the case.
pub fn run(trouble: bool, record: &Record) -> Result<Verdict, CaseError> {
    let site = Deployment::start(record, 2, &[WORKER; 8], &manifest())?;
    site.wait_until_serving("q", 1, 8)?;
    let one_accelerator = |duration_ms| Tasks {
        count: 1,
        accelerators: 1,
        cpu_milli: 1000,
        duration_ms,
        ..Tasks::default()
    };
    let long = job(one_accelerator(100_000), &json!({}));
    site.submit_accepted("q", LONG_JOB, &long)?;
    wait_until("the long job to run", START_LIMIT, || {
        site.running(LONG_JOB) == 1
    })?;
    let large = if trouble {
        two_stages(2000, 16)
    } else {
        two_stages(20, 5)
    };
    let length = large.to_string().len();
    if length > MAX_BODY_BYTES {
        return Err(format!("the body has {length} bytes").into());
    }
    record.line(&format!("client: a large job has {length} bytes"));
    for id in FIRST_LARGE_JOB..FIRST_LARGE_JOB + LARGE_JOBS {
        site.submit_accepted("low", id, &large)?;
        thread::sleep(LARGE_JOB_INTERVAL);
    }
    thread::sleep(PAUSE);
    let small = job(one_accelerator(1000), &json!({}));
    site.submit_accepted("q", SMALL_JOB, &small)?;
    let waiting = WaitingJob {
        queue: "q",
        id: SMALL_JOB,
        service: "svc",
        count: 1,
        accelerators: 1,
    };
    let verdict = check_finish(&site, &waiting);
    let lapsed = site.ends(LONG_JOB, "lapsed");
    record.line(&format!("upstreams: {lapsed} runs of the long job lapsed"));
    site.record_runs();
    Ok(verdict)
}
