//! Tests of workers that are silent or have crashed. Their tasks start again
//! only after their runs have ended for certain.

use crate::sim::{Sim, job};
use crate::{SILENT_RESTART_MS, assert_no_violations, count_events};

#[test]
fn a_task_of_a_lost_worker_restarts_only_after_its_run_has_ended() {
    let mut sim = Sim::new(2, 1);
    sim.submit(job(1, 1, 1, 8, 20_000));
    assert!(sim.run_until(1000, |s| count_events(s, "start") == 1));
    sim.run(500);
    let agent = sim.agent_of_last_start();
    if let Some(node) = sim.pool.nodes.get_mut(&agent) {
        node.reachable = false;
    }
    // The model would record a violation if both runs overlapped.
    assert!(
        sim.run_until(SILENT_RESTART_MS, |s| count_events(s, "start") == 2),
        "{:?}",
        sim.pool.trace
    );
    if let Some(node) = sim.pool.nodes.get_mut(&agent) {
        node.reachable = true;
    }
    sim.run(3000);
    assert_no_violations(&sim, "lost worker");
}

#[test]
fn a_task_of_a_worker_that_is_silent_for_a_while_runs_on() {
    // All are shorter than a grant.
    for silent_ms in [1000, 2500, 5000, 8000] {
        let mut sim = Sim::new(2, 1);
        sim.submit(job(1, 1, 1, 8, 10_000));
        assert!(sim.run_until(1000, |s| count_events(s, "start") == 1));
        sim.run(500);
        let agent = sim.agent_of_last_start();
        sim.set_reachable(&agent, false);
        sim.run(silent_ms);
        sim.set_reachable(&agent, true);
        assert!(sim.run_until(15_000, Sim::all_ended));
        let case = format!("silent for {silent_ms} ms");
        assert_eq!(count_events(&sim, "start"), 1, "{case}");
        assert_no_violations(&sim, &case);
    }
}

#[test]
fn a_task_of_a_crashed_upstream_starts_elsewhere_at_once() {
    let mut sim = Sim::new(2, 1);
    sim.submit(job(1, 1, 1, 8, 3000));
    assert!(sim.run_until(1000, |s| count_events(s, "start") == 1));
    sim.run(300);
    let agent = sim.agent_of_last_start();
    sim.crash(&agent);
    assert!(
        sim.run_until(500, |s| count_events(s, "start") == 2),
        "{:?}",
        sim.pool.trace
    );
    assert!(sim.run_until(5000, Sim::all_ended));
}

// Guards against a task that waits for a lease to expire, because the new
// coordinator does not know whether the calls to start it were answered.
#[test]
fn a_task_of_an_upstream_that_crashes_after_a_take_over_starts_at_once() {
    let mut sim = Sim::new(2, 1);
    sim.submit(job(1, 1, 1, 8, 5000));
    assert!(sim.run_until(1000, |s| count_events(s, "start") == 1));
    sim.run(300);
    sim.take_over();
    sim.run(2000);
    let agent = sim.agent_of_last_start();
    sim.crash(&agent);
    let has_restarted = sim.run_until(500, |s| count_events(s, "start") == 2);
    assert!(has_restarted, "{:?}", sim.pool.trace);
    assert!(sim.run_until(8000, Sim::all_ended));
}
