//! A large gang whose members all fit on one worker.

use std::time::Duration;

use serde_json::json;

use super::{Tasks, job, manifest};
use crate::{
    Verdict,
    deployment::{CaseError, Deployment, WorkerPlan, wait_until},
    record::Record,
};

const GANG: u64 = 0x6a46_0000_0000_0001;

const WORKER: WorkerPlan = WorkerPlan {
    service: "svc",
    rack: "r1-1",
};

/// For how long the case waits for the gang.
const WATCH: Duration = Duration::from_mins(1);

/// Runs the case.
pub fn run(trouble: bool, record: &Record) -> Result<Verdict, CaseError> {
    let site = Deployment::start(record, 2, &[WORKER; 8], &manifest())?;
    site.wait_until_serving("q", 1, 8)?;
    let gang = Tasks {
        count: if trouble { 1000 } else { 300 },
        cpu_milli: 10,
        duration_ms: 2000,
        gang: true,
        ..Tasks::default()
    };
    site.submit_accepted("q", GANG, &job(gang, &json!({})))?;
    let done = wait_until("the gang to be done", WATCH, || {
        site.state(1, "q", GANG) == "done"
    });
    site.recorded_state(1, "q", GANG);
    site.record_runs();
    Ok(match done {
        Ok(()) => Verdict::Held,
        Err(e) => Verdict::Broken(format!("LOST: {e}")),
    })
}
