//! Tests of calls for runs that have ended or were given up, which the next
//! incarnation executes, and of how long a task waits for such calls.

use crate::sim::{Sim, job};
use crate::{assert_no_violations, count_events};

// Guards against a task that runs twice: a list lacked its run, and the next
// incarnation begins it.
#[test]
fn a_run_that_a_list_lacked_is_not_begun_by_the_next_incarnation() {
    for late_ms in (1600..=2500).step_by(50) {
        for uptime_ms in (0..400).step_by(50) {
            let mut sim = Sim::new(2, 1);
            sim.run(1000);
            sim.held_up_starts_ms = vec![late_ms; 3];
            sim.submit(job(1, 1, 1, 8, 6000));
            assert!(sim.run_until(500, |s| s.start_orders.len() == 1));
            let agent = sim.agent_of_first_order();
            assert!(sim.run_until(3000, |s| count_events(s, "start") == 1));
            sim.run(uptime_ms);
            let now = sim.now_ms;
            sim.pool.restart_upstream(now, &agent);
            let case = format!("{late_ms} ms late, {uptime_ms} ms");
            assert!(sim.run_until(20_000, Sim::all_ended), "{case}");
            assert_no_violations(&sim, &case);
        }
    }
}

// Guards against a done task that runs again, begun by the next incarnation.
#[test]
fn a_done_task_is_not_begun_again_by_an_unanswered_call() {
    for late_ms in (700..=2500).step_by(50) {
        for uptime_ms in (50..400).step_by(50) {
            let mut sim = Sim::new(1, 1);
            sim.run(5000);
            sim.held_up_starts_ms = vec![late_ms];
            sim.submit(job(1, 1, 1, 8, 300));
            assert!(sim.run_until(2000, Sim::all_ended));
            sim.run(uptime_ms);
            let now = sim.now_ms;
            sim.pool.restart_upstream(now, "agent-00");
            sim.run(5000);
            let case = format!("{late_ms} ms late, {uptime_ms} ms");
            assert_no_violations(&sim, &case);
        }
    }
}

// Guards against an acknowledgement for the former incarnation that drops the
// end of a run before the next one has seen a token of its own.
#[test]
fn a_late_acknowledgement_drops_no_end_of_a_late_start() {
    for start_late_ms in (300..=1500).step_by(50) {
        for hold_late_ms in (300..=2500).step_by(50) {
            let mut sim = Sim::new(2, 1);
            sim.run(500);
            sim.submit(job(1, 1, 1, 8, 300));
            assert!(sim.run_until(3000, Sim::all_ended));
            sim.submit(job(2, 1, 1, 8, 100));
            sim.held_up_starts_ms = vec![start_late_ms; 3];
            let agents: Vec<String> = sim.pool.nodes.keys().cloned().collect();
            assert!(sim.run_until(500, |s| s.start_orders.len() == 2));
            for agent in &agents {
                sim.held_up_holds_ms.insert(agent.clone(), hold_late_ms);
            }
            sim.run(210);
            let now = sim.now_ms;
            for agent in &agents {
                sim.pool.restart_upstream(now, agent);
                sim.set_reachable(agent, false);
            }
            sim.run(2600);
            for agent in &agents {
                sim.set_reachable(agent, true);
            }
            let case = format!("{start_late_ms} ms, {hold_late_ms} ms late");
            assert!(sim.run_until(20_000, Sim::all_ended), "{case}");
            assert_no_violations(&sim, &case);
        }
    }
}

// Guards against the same if the acknowledgement is not answered first. A
// second one, after the start, is held up as well.
#[test]
fn a_late_start_after_a_late_acknowledgement_loses_no_end() {
    for start_late_ms in (300..=1500).step_by(100) {
        for hold_late_ms in (300..=1500).step_by(50) {
            let mut sim = Sim::new(1, 1);
            sim.run(500);
            sim.submit(job(1, 1, 1, 8, 300));
            assert!(sim.run_until(3000, Sim::all_ended));
            let agent = sim.agent_of_first_order();
            sim.held_up_acknowledgements_ms = vec![hold_late_ms; 2];
            sim.submit(job(2, 1, 1, 8, 100));
            sim.held_up_starts_ms = vec![start_late_ms; 3];
            sim.run(400);
            let case = format!("{start_late_ms} ms, {hold_late_ms} ms late");
            check_restart_behind_a_cut(&mut sim, &agent, &case);
        }
    }
}

/// Restarts the only upstream behind a cut of 2.6 s, and checks that no task
/// runs twice in the end.
fn check_restart_behind_a_cut(sim: &mut Sim, agent: &str, case: &str) {
    let now = sim.now_ms;
    sim.pool.restart_upstream(now, agent);
    sim.set_reachable(agent, false);
    sim.run(2600);
    sim.set_reachable(agent, true);
    assert!(sim.run_until(30_000, Sim::all_ended), "{case}");
    assert_no_violations(sim, case);
}

// Guards against an agent that does not know that a start of its former process
// is open, and acknowledges the end of another run.
#[test]
fn a_restarted_agent_acknowledges_nothing_while_a_former_start_is_open() {
    for start_late_ms in (800..=1500).step_by(50) {
        for hold_late_ms in (300..=1500).step_by(50) {
            let mut sim = Sim::new(1, 1);
            sim.run(500);
            sim.submit(job(1, 1, 1, 1, 600));
            assert!(sim.run_until(500, |s| count_events(s, "start") == 1));
            let agent = sim.agent_of_first_order();
            sim.held_up_starts_ms = vec![start_late_ms];
            sim.submit(job(2, 1, 1, 1, 100));
            sim.run(100);
            sim.restart_agent(&agent);
            sim.held_up_acknowledgements_ms = vec![hold_late_ms];
            sim.run(650);
            let case = format!("{start_late_ms} ms, {hold_late_ms} ms late");
            check_restart_behind_a_cut(&mut sim, &agent, &case);
        }
    }
}

// Guards against an agent that does not know that an acknowledgement of its
// former process is open, and starts a run with the same token.
#[test]
fn a_restarted_agent_starts_nothing_that_a_former_acknowledgement_ends() {
    for start_late_ms in (300..=1500).step_by(100) {
        for hold_late_ms in (700..=1500).step_by(50) {
            let mut sim = Sim::new(1, 1);
            sim.run(500);
            sim.submit(job(1, 1, 1, 1, 300));
            sim.held_up_acknowledgements_ms = vec![hold_late_ms];
            let acknowledges =
                |s: &Sim| s.held_up_acknowledgements_ms.is_empty();
            assert!(sim.run_until(3000, acknowledges));
            let agent = sim.agent_of_first_order();
            sim.restart_agent(&agent);
            sim.run(50);
            sim.held_up_starts_ms = vec![start_late_ms; 3];
            sim.submit(job(2, 1, 1, 1, 100));
            sim.run(250);
            let case = format!("{start_late_ms} ms, {hold_late_ms} ms late");
            check_restart_behind_a_cut(&mut sim, &agent, &case);
        }
    }
}

// Guards against a task that waits for calls that cannot arrive any more: its
// run was listed long after all calls to start it were made.
#[test]
fn a_run_that_was_listed_after_a_take_over_does_not_hold_up_its_task() {
    for listed_ms in [4000, 9000] {
        let mut sim = Sim::new(2, 1);
        sim.submit(job(1, 1, 1, 8, 60_000));
        assert!(sim.run_until(1000, |s| count_events(s, "start") == 1));
        sim.run(10_000);
        sim.take_over();
        sim.run(listed_ms);
        let agent = sim.agent_of_last_start();
        sim.crash(&agent);
        let crashed_ms = sim.now_ms;
        let starts_again = |s: &Sim| count_events(s, "start") == 2;
        assert!(sim.run_until(20_000, starts_again));
        let waited_ms = sim.now_ms - crashed_ms;
        assert!(waited_ms <= 1000, "{listed_ms} ms listed: {waited_ms} ms");
    }
}

// Guards against a task that runs twice: the first list of a new coordinator
// lacked its run, and the next incarnation begins it.
#[test]
fn a_run_that_the_first_list_after_a_take_over_lacks_is_not_given_up_at_once()
{
    for late_ms in (500..=1400).step_by(50) {
        for uptime_ms in (250..=500).step_by(50) {
            let mut sim = Sim::new(2, 1);
            sim.run(1000);
            sim.held_up_starts_ms = vec![late_ms; 3];
            sim.submit(job(1, 1, 1, 8, 6000));
            assert!(sim.run_until(500, |s| s.start_orders.len() == 1));
            let agent = sim.agent_of_first_order();
            sim.take_over();
            sim.run(uptime_ms);
            let now = sim.now_ms;
            sim.pool.restart_upstream(now, &agent);
            let case = format!("{late_ms} ms late, {uptime_ms} ms");
            assert!(sim.run_until(20_000, Sim::all_ended), "{case}");
            assert_no_violations(&sim, &case);
        }
    }
}
