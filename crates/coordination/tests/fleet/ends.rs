//! Tests of the ends of runs and jobs: cancellations, failures and the attempts
//! that they use up, and tasks without progress.

use figrill_state::batch::{BatchId, BatchState};

use crate::sim::{Sim, job};
use crate::{
    FIRST_JOB, UNSEEN_RESTART_MS, assert_no_violations, count_events,
};

#[test]
fn a_cancelled_job_stops_all_its_tasks() {
    let mut sim = Sim::new(3, 1);
    sim.submit(job(1, 1, 6, 2, 20_000));
    assert!(sim.run_until(1000, |s| count_events(s, "start") == 6));
    sim.cancel(FIRST_JOB);
    sim.run(700);
    assert_eq!(sim.state(FIRST_JOB), BatchState::Cancelled);
    assert_eq!(count_events(&sim, "stopped"), 6, "{:?}", sim.pool.trace);
    assert_eq!(count_events(&sim, "start"), 6);
}

#[test]
fn a_job_that_always_fails_uses_all_attempts() {
    let mut sim = Sim::new(4, 1);
    let mut batch = job(1, 1, 1, 1, 300);
    batch.payload.push_str(" fail");
    sim.submit(batch);
    assert!(sim.run_until(5000, Sim::all_ended));
    assert_eq!(sim.state(FIRST_JOB), BatchState::Failed);
    assert_eq!(count_events(&sim, "start"), 2);
    // The second attempt must use another worker.
    let agents: std::collections::BTreeSet<&str> = sim
        .pool
        .trace
        .iter()
        .filter(|l| l.contains("start"))
        .filter_map(|l| l.rsplit(' ').next())
        .collect();
    assert_eq!(agents.len(), 2);
}

#[test]
fn a_failure_before_a_lapsed_lease_uses_up_no_attempt() {
    let mut sim = Sim::new(2, 1);
    let mut batch = job(1, 1, 1, 8, 3000);
    batch.payload.push_str(" fail");
    sim.submit(batch);
    assert!(sim.run_until(1000, |s| count_events(s, "start") == 1));
    let agent = sim.agent_of_last_start();
    // The lease lapses before the failure can be acknowledged.
    sim.set_reachable(&agent, false);
    assert!(
        sim.run_until(UNSEEN_RESTART_MS, |s| count_events(s, "start") == 2)
    );
    sim.set_reachable(&agent, true);
    assert!(sim.run_until(20_000, Sim::all_ended));
    assert_eq!(sim.state(FIRST_JOB), BatchState::Failed);
    assert_eq!(count_events(&sim, "start"), 3, "{:?}", sim.pool.trace);
}

#[test]
fn a_worker_that_fails_everything_gets_no_more_work() {
    let mut sim = Sim::new(4, 1);
    sim.run(300);
    if let Some(node) = sim.pool.nodes.get_mut("agent-00") {
        node.fails_all = true;
    }
    for id in 1..=8 {
        sim.submit(job(id, 1, 1, 1, 300));
        sim.run(250);
    }
    assert!(sim.run_until(5000, Sim::all_ended));
    for id in 1..=8 {
        assert_eq!(sim.state(BatchId(id)), BatchState::Done);
    }
    let failed = count_events(&sim, "failed");
    assert!((1..=3).contains(&failed), "{:?}", sim.pool.trace);
}

#[test]
fn a_task_without_progress_is_moved() {
    let mut sim = Sim::new(2, 1);
    let mut batch = job(1, 1, 1, 1, 1000);
    batch.payload.push_str(" hang");
    sim.submit(batch);
    assert!(
        sim.run_until(8000, |s| count_events(s, "start") == 2),
        "{:?}",
        sim.pool.trace
    );
    assert_no_violations(&sim, "task without progress");
}

#[test]
fn a_long_task_among_short_ones_is_not_stopped() {
    let mut sim = Sim::new(4, 1);
    sim.run(300);
    // One of four tasks takes ten times as long as the others.
    if let Some(node) = sim.pool.nodes.get_mut("agent-00") {
        node.speed_percent = 10;
    }
    // All tasks also take ten times as long as estimated.
    let mut batch = job(1, 1, 4, 8, 200);
    batch.payload = batch.payload.replace("ms=200", "ms=2000");
    sim.submit(batch);
    assert!(sim.run_until(25_000, Sim::all_ended));
    assert_eq!(count_events(&sim, "stopped"), 0, "{:?}", sim.pool.trace);
}

// Guards against a long task without an estimate that is stopped as stuck again
// and again, because a percent of it takes longer than a run may stand still.
#[test]
fn a_long_task_without_an_estimate_ends() {
    // A percent takes 4 s.
    const RUN_MS: u64 = 400_000;
    let mut sim = Sim::new(4, 1);
    let mut batch = job(1, 1, 1, 1, RUN_MS);
    batch.steps[0].estimate_ms = 0;
    sim.submit(batch);
    assert!(sim.run_until(RUN_MS + 30_000, Sim::all_ended));
    assert_eq!(sim.state(FIRST_JOB), BatchState::Done);
    let stops = count_events(&sim, "stopped");
    assert!((1..=3).contains(&stops), "{:?}", sim.pool.trace);
    assert_no_violations(&sim, "a long task");
}
