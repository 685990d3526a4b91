//! A queue is moved to another service while a job waits in it.

use std::{thread, time::Duration};

use serde_json::{Value, json};

use super::{Tasks, job, limits, route, tenants};
use crate::{
    Verdict,
    deployment::{CaseError, Deployment, WorkerPlan, wait_until},
    record::Record,
    rules::{WaitingJob, check_finish},
};

const LONG_JOB: u64 = 0x1046_0000_0000_0001;
const WAITING_JOB: u64 = 0x3a17_0000_0000_0001;

const FORMER: WorkerPlan = WorkerPlan {
    service: "svc-former",
    rack: "r1-1",
};

const NEW: WorkerPlan = WorkerPlan {
    service: "svc-new",
    rack: "r1-2",
};

/// The time limit for a job to start on free workers.
const START_LIMIT: Duration = Duration::from_secs(5);

/// The time between two steps of the case.
const PAUSE: Duration = Duration::from_secs(2);

fn manifest(version: u64, service: &str) -> Value {
    json!({
        "version": version,
        "routes": [
            route("moved", service, 1),
            route("other", FORMER.service, 1),
            route("new", NEW.service, 1),
        ],
        "services": [{"name": FORMER.service}, {"name": NEW.service}],
        "limits": limits(),
        "tenants": tenants(),
    })
}

/// Runs the case.
pub fn run(trouble: bool, record: &Record) -> Result<Verdict, CaseError> {
    let workers = [FORMER, FORMER, NEW, NEW, NEW, NEW];
    let first = manifest(1, FORMER.service);
    let site = Deployment::start(record, 2, &workers, &first)?;
    site.wait_until_serving("moved", 1, 2)?;
    site.wait_until_serving("new", 2, 4)?;
    let whole_workers = |count, duration_ms| Tasks {
        count,
        accelerators: 8,
        cpu_milli: 1000,
        duration_ms,
        ..Tasks::default()
    };
    let long = job(whole_workers(2, 100_000), &json!({}));
    site.submit_accepted("other", LONG_JOB, &long)?;
    wait_until("the long job to run", START_LIMIT, || {
        site.running(LONG_JOB) == 2
    })?;
    let waiting = job(whole_workers(1, 2000), &json!({}));
    site.submit_accepted("moved", WAITING_JOB, &waiting)?;
    thread::sleep(PAUSE);
    if trouble {
        site.configure(&manifest(2, NEW.service));
    }
    thread::sleep(PAUSE);
    let service = if trouble { NEW } else { FORMER }.service;
    let waiting = WaitingJob {
        queue: "moved",
        id: WAITING_JOB,
        service,
        count: 1,
        accelerators: 8,
    };
    let verdict = check_finish(&site, &waiting);
    site.record_runs();
    Ok(verdict)
}
