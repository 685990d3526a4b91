//! Two occurrences of a timed job come due while the store is away.

use std::{
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use serde_json::json;

use super::{Tasks, job, manifest};
use crate::{
    Verdict,
    deployment::{CaseError, Deployment, WorkerPlan},
    record::Record,
};

const JOB: u64 = 0x7143_0000_0000_0001;

const WORKER: WorkerPlan = WorkerPlan {
    service: "svc",
    rack: "r1-1",
};

/// The schedule of the job.
const OCCURRENCES: u32 = 6;
const INTERVAL: Duration = Duration::from_secs(6);
const FIRST_IN: Duration = Duration::from_secs(2);

/// The number of occurrences that are due before the store is away. It is so
/// from shortly before the next one is due until shortly after the one after.
const LAST_SERVED: u32 = 4;
const OUTAGE_LEAD: Duration = Duration::from_millis(600);
const OUTAGE: Duration = Duration::from_millis(6900);

/// When the job has to be done.
const LIMIT: Duration = Duration::from_secs(80);

/// The time between two looks at the job.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);

/// Runs the case.
pub fn run(trouble: bool, record: &Record) -> Result<Verdict, CaseError> {
    let site = Deployment::start(record, 2, &[WORKER; 11], &manifest())?;
    site.wait_until_serving("q", 1, 11)?;
    let tasks = Tasks {
        count: 4000,
        cpu_milli: 20,
        duration_ms: 1000,
        ..Tasks::default()
    };
    let mut timed = job(tasks, &json!({"max_per_server": 400}));
    let now = SystemTime::now().duration_since(UNIX_EPOCH)?;
    let first_at = record.elapsed() + FIRST_IN;
    timed["times"] = json!(OCCURRENCES);
    timed["start_at_ms"] = json!((now + FIRST_IN).as_millis());
    timed["interval_ms"] = json!(INTERVAL.as_millis());
    site.submit_accepted("q", JOB, &timed)?;
    let next_at = first_at + INTERVAL * LAST_SERVED;
    let outage_at = next_at.saturating_sub(OUTAGE_LEAD);
    let outage = outage_at..outage_at + OUTAGE;
    let mut was_away = false;
    let mut state = String::new();
    while record.elapsed() < LIMIT {
        let is_away = trouble && outage.contains(&record.elapsed());
        if is_away != was_away {
            was_away = is_away;
            site.set_store_silent(is_away);
        }
        if !is_away {
            state = site.recorded_state(1, "q", JOB);
        }
        if state == "done" || state == "failed" {
            break;
        }
        let pause = if is_away {
            outage.end.saturating_sub(record.elapsed())
        } else {
            outage_at.saturating_sub(record.elapsed())
        };
        thread::sleep(pause.clamp(Duration::from_millis(1), LOOK_INTERVAL));
    }
    let failed_runs = site.ends(JOB, "failed");
    record.line(&format!("upstreams: {failed_runs} runs ended failed"));
    site.record_runs();
    match state.as_str() {
        "done" => Ok(Verdict::Held),
        "failed" if failed_runs == 0 => Ok(Verdict::Broken(
            "LOST: an accepted job is shown as failed, and none of its runs \
             has ended failed"
                .to_owned(),
        )),
        _ => Err(format!("the job is {state:?} at the end").into()),
    }
}
