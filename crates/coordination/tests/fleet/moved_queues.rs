//! Tests of queues that the operators move to another service while jobs wait
//! in them. What has not started runs on the service of the settings in force.

use figrill_state::batch::{Batch, BatchState, Schedule, Step};

use crate::sim::{Sim, gang, job};
use crate::{FIRST_JOB, SECOND_JOB, agents_of_job, assert_no_violations};

/// The maximum time until a job starts on workers that are free.
const START_LIMIT_MS: u64 = 500;

/// The service to which the queue is moved; `svc` is the former one.
const NEW: &str = "svc-new";

/// The worker of the former service, which a long job occupies, and one of the
/// new service.
const FORMER_AGENT: &str = "agent-00";
const NEW_AGENT: &str = "agent-01";

/// Returns a site with one worker of each service. A long job of another queue
/// occupies that of the former one.
fn site_with_full_service() -> Sim {
    let mut sim = Sim::new(2, 1);
    let node = sim.pool.nodes.get_mut(NEW_AGENT).expect("a worker");
    NEW.clone_into(&mut node.upstream.service);
    sim.run(500);
    sim.set_queue(1, Some("svc"));
    sim.submit(Batch {
        queue: "other".to_owned(),
        ..job(1, 1, 1, 8, 60_000)
    });
    assert!(sim.run_until(START_LIMIT_MS, |s| started(s, 1)));
    sim
}

/// Returns whether a task of a job has started.
fn started(sim: &Sim, id: u64) -> bool {
    let text = format!(" start {id:016x}");
    sim.pool.trace.iter().any(|l| l.contains(&text))
}

fn agents(sim: &Sim, id: u64) -> Vec<String> {
    agents_of_job(sim, &format!("{id:016x}"))
}

/// A job that waits in the queue when that is moved.
struct Case {
    name: &'static str,
    job: fn() -> Batch,
}

fn lasting() -> Batch {
    let mut batch = job(2, 1, 1, 8, 60_000);
    batch.steps[0].persistent = true;
    batch
}

// Guards against jobs that wait for the service that their queue had when they
// were accepted, though it belongs to another one with free workers.
#[test]
fn a_waiting_job_runs_on_the_service_that_its_queue_is_moved_to() {
    let cases = [
        Case {
            name: "a task",
            job: || job(2, 1, 1, 8, 300),
        },
        Case {
            name: "a gang",
            job: || gang(job(2, 1, 2, 4, 300)),
        },
        Case {
            name: "a lasting task",
            job: lasting,
        },
    ];
    for case in cases {
        let mut sim = site_with_full_service();
        sim.submit((case.job)());
        sim.run(1000);
        assert!(!started(&sim, 2), "{}", case.name);
        sim.set_queue(2, Some(NEW));
        let starts = |s: &Sim| started(s, 2);
        assert!(sim.run_until(START_LIMIT_MS, starts), "{}", case.name);
        assert_eq!(agents(&sim, 2)[0], NEW_AGENT, "{}", case.name);
        assert_no_violations(&sim, case.name);
    }
}

// Guards against a job that is left with the former service by the next
// coordinator, which knows the job's record and no version with its queue.
#[test]
fn a_moved_job_stays_moved_after_its_queue_is_dropped() {
    let mut sim = site_with_full_service();
    let node = sim.pool.nodes.get_mut(NEW_AGENT).expect("a worker");
    node.refuses_starts = true;
    sim.submit(job(2, 1, 1, 8, 300));
    sim.run(100);
    sim.set_queue(2, Some(NEW));
    sim.run(300);
    sim.set_queue(3, None);
    sim.take_over();
    let node = sim.pool.nodes.get_mut(NEW_AGENT).expect("a worker");
    node.refuses_starts = false;
    assert!(sim.run_until(8000, |s| started(s, 2)));
    assert_eq!(agents(&sim, 2).last().expect("a start"), NEW_AGENT);
    assert_no_violations(&sim, "dropped");
}

// Guards against a job that waits after its queue has returned to the former
// service, and against a job that a version of the past takes back.
#[test]
fn the_latest_version_decides_where_a_job_runs() {
    let mut sim = site_with_full_service();
    sim.set_queue(2, Some(NEW));
    // An entry has accepted this one under a version that the coordinator does
    // not know yet, where the queue has returned.
    sim.submit(Batch {
        service: "svc".to_owned(),
        catalog_version: 3,
        ..job(2, 1, 1, 8, 300)
    });
    sim.run(1000);
    assert!(!started(&sim, 2), "an earlier version has decided");
    sim.set_queue(3, Some("svc"));
    sim.run(1000);
    assert!(!started(&sim, 2));
    sim.set_queue(4, Some(NEW));
    assert!(sim.run_until(START_LIMIT_MS, |s| started(s, 2)));
    assert_eq!(agents(&sim, 2), [NEW_AGENT]);
}

// Guards against runs that are ended by the move, and against later steps and
// occurrences that wait for the former service.
#[test]
fn runs_go_on_where_they_are_and_later_tasks_follow_the_queue() {
    let mut sim = Sim::new(2, 1);
    let node = sim.pool.nodes.get_mut(NEW_AGENT).expect("a worker");
    NEW.clone_into(&mut node.upstream.service);
    sim.run(500);
    sim.set_queue(1, Some("svc"));
    let mut steps = job(1, 1, 1, 4, 1500);
    steps.steps.push(Step {
        after: vec![0],
        ..steps.steps[0].clone()
    });
    sim.submit(steps);
    let mut timed = job(2, 1, 1, 4, 1500);
    timed.schedule = Some(Schedule {
        first_ms: 0,
        every_ms: sim.now().wall_ms + 2500,
        times: 2,
    });
    sim.submit(timed);
    let both = |s: &Sim| started(s, 1) && started(s, 2);
    assert!(sim.run_until(START_LIMIT_MS, both));
    sim.set_queue(2, Some(NEW));
    assert!(sim.run_until(8000, Sim::all_ended));
    for (id, batch) in [(1, FIRST_JOB), (2, SECOND_JOB)] {
        assert_eq!(agents(&sim, id), [FORMER_AGENT, NEW_AGENT]);
        assert_eq!(sim.state(batch), BatchState::Done);
    }
    assert_no_violations(&sim, "moved");
}
