//! Late calls reach the next incarnation of an upstream before its agent does.

use std::{thread, time::Duration};

use figrill_standin::platform::workers::{CallKind, Delay, Share};
use serde_json::json;

use super::{Tasks, job, manifest};
use crate::{
    Verdict,
    deployment::{CaseError, Deployment, WorkerPlan, wait_until},
    record::Record,
};

const FILLING_JOB: u64 = 0xf111_0000_0000_0001;
const FIRST_JOB: u64 = 0xf125_0000_0000_0001;
const TASK_JOB: u64 = 0x7a5c_0000_0000_0001;

const WORKER: WorkerPlan = WorkerPlan {
    service: "svc",
    rack: "r1-1",
};

/// One of them is cut off and starts again, which is a share of 0.091.
const WORKERS: usize = 11;

/// The time limit for a job to start on free workers.
const START_LIMIT: Duration = Duration::from_secs(5);

/// How long the upstreams have run when the case begins. The deadlines of
/// starts are still ahead on the clock of the next incarnation then.
const AGE: Duration = Duration::from_secs(8);

/// The time from the receipt of a call without an answer until it is carried
/// out. The pages have 2 to 12 s.
const LATE: Duration = Duration::from_millis(2500);

/// The time from the submission of the task until its worker is cut off, in
/// which its agent makes all calls to start it.
const ORDER_TIME: Duration = Duration::from_millis(1300);

/// The time from the cut until the upstream starts again behind it.
const DOWN_TIME: Duration = Duration::from_millis(300);

/// How long the cut lasts after that.
const CUT_TIME: Duration = Duration::from_millis(3500);

/// The time limit for the task to be done in the end.
const END_LIMIT: Duration = Duration::from_secs(40);

/// Runs the case.
pub fn run(trouble: bool, record: &Record) -> Result<Verdict, CaseError> {
    let workers = [WORKER; WORKERS];
    let site = Deployment::start(record, 2, &workers, &manifest())?;
    site.wait_until_serving("q", 1, WORKERS)?;
    let whole_workers = |count, duration_ms| Tasks {
        count,
        accelerators: 8,
        cpu_milli: 1000,
        duration_ms,
        ..Tasks::default()
    };
    // One worker is left for the tasks of the case.
    let filling = job(whole_workers(10, 100_000), &json!({}));
    site.submit_accepted("q", FILLING_JOB, &filling)?;
    wait_until("the filling job to run", START_LIMIT, || {
        site.running(FILLING_JOB) == 10
    })?;
    thread::sleep(AGE);
    let first = job(whole_workers(1, 600), &json!({}));
    site.submit_accepted("q", FIRST_JOB, &first)?;
    wait_until("the first task to run", START_LIMIT, || {
        site.running(FIRST_JOB) == 1
    })?;
    let agents = site.agents_of(FIRST_JOB);
    let agent = agents.first().ok_or("the first task has ended")?;
    let late = |starts| Delay {
        starts,
        acknowledgements: Share::All,
        duration: Some(LATE),
        ..Delay::default()
    };
    if trouble {
        record.line(&format!("upstreams: late acknowledgements at {agent}"));
        site.workers.delay_calls(agent, Some(late(Share::None)));
    }
    site.wait_for_state("q", FIRST_JOB, "done", START_LIMIT)?;
    if trouble {
        record.line(&format!("upstreams: late starts at {agent}"));
        site.workers.delay_calls(agent, Some(late(Share::All)));
    }
    let task = job(whole_workers(1, 100), &json!({}));
    site.submit_accepted("q", TASK_JOB, &task)?;
    if trouble {
        thread::sleep(ORDER_TIME);
        record.line(&format!("upstreams: {agent} is cut off and ends"));
        site.workers.end_silently(agent);
        site.workers.delay_calls(agent, None);
        thread::sleep(DOWN_TIME);
        record.line(&format!("upstreams: {agent} starts again, cut off"));
        site.workers.start_after_silence(agent, false);
        thread::sleep(CUT_TIME);
        record.line(&format!("upstreams: the cut of {agent} ends"));
        if let Some(node) = site.workers.pool().nodes.get_mut(agent) {
            node.reachable = true;
        }
    }
    site.wait_for_state("q", TASK_JOB, "done", END_LIMIT)?;
    record_late_calls(&site);
    site.record_runs();
    let pool = site.workers.pool();
    let pattern = format!("{TASK_JOB:016x}.");
    let found = pool.violations.iter().find(|v| v.0.contains(&pattern));
    Ok(found.map_or(Verdict::Held, |v| {
        Verdict::Broken(format!("TWICE: {}", v.0))
    }))
}

/// Writes to the record which calls were carried out late.
fn record_late_calls(site: &Deployment) {
    for call in site.workers.carried_out() {
        let kind = match call.kind {
            CallKind::Start => "start",
            CallKind::Stop => "stop",
            CallKind::Hold => "hold",
            CallKind::Acknowledgement => "acknowledgement",
        };
        site.record.line(&format!(
            "upstreams: a {kind} was carried out {:.1?} late, by a later \
             incarnation: {}, accepted: {}",
            call.delay, call.by_later, call.accepted
        ));
    }
}
