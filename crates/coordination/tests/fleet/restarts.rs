//! Tests of restarted upstreams. Starts, stops and answers of one incarnation
//! do not stand for those of another.

use crate::sim::{Sim, job};
use crate::{FIRST_JOB, assert_no_violations, count_events};

#[test]
fn tasks_of_a_restarted_upstream_start_again_at_once() {
    let mut sim = Sim::new(1, 1);
    sim.submit(job(1, 1, 2, 2, 3000));
    assert!(sim.run_until(1000, |s| count_events(s, "start") == 2));
    sim.run(500);
    let now = sim.now_ms;
    sim.pool.restart_upstream(now, "agent-00");
    assert!(
        sim.run_until(1500, |s| count_events(s, "start") == 4),
        "{:?}",
        sim.pool.trace
    );
    assert!(sim.run_until(6000, Sim::all_ended));
    assert_no_violations(&sim, "restarted upstream");
}

#[test]
fn a_start_that_reaches_a_later_incarnation_runs_once() {
    // The upstream restarts shortly before, at or after the arrival of the
    // start. The new incarnation may execute a start that was meant for the
    // earlier one, and the scheduler must not order another run while that one
    // may run.
    for wait_ms in [0, 10, 20, 30, 40] {
        let mut sim = Sim::new(1, 1);
        sim.run(500);
        sim.submit(job(1, 1, 1, 8, 400));
        sim.run(wait_ms);
        let now = sim.now_ms;
        sim.pool.restart_upstream(now, "agent-00");
        assert!(
            sim.run_until(20_000, Sim::all_ended),
            "restarted after {wait_ms} ms"
        );
        assert_no_violations(&sim, &format!("restarted after {wait_ms} ms"));
    }
}

#[test]
fn an_answer_of_a_later_incarnation_is_not_taken_for_the_placed_one() {
    // Both incarnations are young, so that the clock of the later one has
    // passed the last reading of the earlier one when it answers, but not the
    // deadline of the start.
    const START_WINDOW_MS: u64 = 1500;
    let mut sim = Sim::new(2, 1);
    sim.run(300);
    sim.faults.late_starts = 1000;
    sim.submit(job(1, 1, 1, 8, 5000));
    assert!(sim.run_until(200, |s| s.start_orders.len() == 1));
    sim.faults.late_starts = 0;
    let (ordered_ms, order) = sim.start_orders[0].clone();
    let agent = order.rsplit(' ').next().unwrap_or_default();
    // The agent carries out the start after a pause, before the heartbeat of
    // the later incarnation.
    let now = sim.now_ms;
    sim.pool.restart_upstream(now, agent);
    sim.set_reachable(agent, false);
    sim.run(1000);
    sim.start_first_task(agent, FIRST_JOB, ordered_ms + START_WINDOW_MS);
    sim.set_reachable(agent, true);
    sim.run(3000);
    assert_no_violations(&sim, "answer of a later incarnation");
}

#[test]
fn a_stop_on_an_earlier_incarnation_does_not_stand_for_the_later_one() {
    // The stop of the earlier incarnation is answered after the later one has
    // registered, and its clock is far ahead of the later one's.
    const EARLIER_CLOCK_MS: u64 = 400_000;
    let mut sim = Sim::new(2, 1);
    sim.run(500);
    sim.faults.late_starts = 1000;
    sim.submit(job(1, 1, 1, 8, 300));
    assert!(sim.run_until(200, |s| s.start_orders.len() == 1));
    sim.faults.late_starts = 0;
    let agent = &sim.agent_of_first_order();
    let earlier = sim.pool.nodes[agent].upstream.clone();
    let now = sim.now_ms;
    sim.pool.restart_upstream(now, agent);
    sim.report_upstream(agent);
    sim.report_stop_result(agent, earlier, FIRST_JOB, EARLIER_CLOCK_MS);
    assert!(sim.run_until(5000, Sim::all_ended), "{:?}", sim.pool.trace);
    assert_no_violations(&sim, "late answer to a stop");
}
