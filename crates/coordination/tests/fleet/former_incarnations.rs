//! Tests of calls that were meant for one incarnation of an upstream and are
//! executed by the next one under the same id. Its clock and its fencing token
//! begin anew, and the call names only the id.

use figrill_state::batch::BatchState;

use crate::sim::{Sim, job};
use crate::{
    FIRST_JOB, SECOND_JOB, UNSEEN_RESTART_MS, assert_no_violations,
    count_events,
};

/// The uptime of an incarnation whose clock is far ahead of that of the next
/// one, in milliseconds.
const LONG_UPTIME_MS: u64 = 30_000;

/// When the coordinator changes in a test.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum TakeOver {
    Never,
    BeforeRestart,
    AfterRestart,
}

impl TakeOver {
    const ALL: [Self; 3] =
        [Self::Never, Self::BeforeRestart, Self::AfterRestart];
}

/// Returns a site whose upstreams have been running for a long time, where the
/// only task of a job has just started after one call that was not answered.
/// Also returns the agent beside that upstream.
fn site_with_repeated_start(late_ms: u64) -> (Sim, String) {
    let mut sim = Sim::new(2, 1);
    sim.run(LONG_UPTIME_MS);
    sim.held_up_starts_ms = vec![late_ms];
    sim.submit(job(1, 1, 1, 8, 6000));
    assert!(sim.run_until(1000, |s| count_events(s, "start") == 1));
    let agent = sim.agent_of_last_start();
    (sim, agent)
}

// Guards against a task that starts elsewhere while the next incarnation begins
// its run, because an answered repeat of the start had shown the run.
#[test]
fn a_repeated_start_that_the_next_incarnation_executes_does_not_run_twice() {
    for take_over in TakeOver::ALL {
        for late_ms in (300..3000).step_by(50) {
            let (mut sim, agent) = site_with_repeated_start(late_ms);
            sim.run(300);
            if take_over == TakeOver::BeforeRestart {
                sim.take_over();
                sim.run(100);
            }
            let now = sim.now_ms;
            sim.pool.restart_upstream(now, &agent);
            if take_over == TakeOver::AfterRestart {
                sim.run(100);
                sim.take_over();
            }
            let case = format!("{take_over:?}, {late_ms} ms late");
            assert!(sim.run_until(20_000, Sim::all_ended), "{case}");
            assert_no_violations(&sim, &case);
        }
    }
}

// Guards against a task that starts elsewhere while a run goes on whose lease
// the next incarnation took from a call with a deadline on the former clock.
#[test]
fn a_start_that_the_next_incarnation_executes_unseen_does_not_run_twice() {
    for take_over in TakeOver::ALL {
        for late_ms in (100..1500).step_by(100) {
            let mut sim = Sim::new(2, 1);
            sim.run(LONG_UPTIME_MS);
            sim.held_up_starts_ms = vec![late_ms];
            sim.submit(job(1, 1, 1, 8, 30_000));
            let case = format!("{take_over:?}, {late_ms} ms late");
            assert!(sim.run_until(500, |s| !s.start_orders.is_empty()));
            let agent = sim.agent_of_first_order();
            if take_over == TakeOver::BeforeRestart {
                sim.take_over();
            }
            // The upstream is silent from then on, but a call is on its way.
            let now = sim.now_ms;
            sim.pool.restart_upstream(now, &agent);
            sim.set_reachable(&agent, false);
            if take_over == TakeOver::AfterRestart {
                sim.run(50);
                sim.take_over();
            }
            assert!(
                sim.run_until(UNSEEN_RESTART_MS, |s| count_events(s, "start")
                    == 2),
                "{case}\n{}",
                sim.pool.trace.join("\n")
            );
            sim.set_reachable(&agent, true);
            sim.run(3000);
            assert_no_violations(&sim, &case);
        }
    }
}

// Guards against a task that starts elsewhere while its run goes on, because a
// renewal for the former incarnation prolonged the lease of the next one.
#[test]
fn a_renewal_for_the_former_incarnation_does_not_prolong_a_lease() {
    for take_over in TakeOver::ALL {
        for late_ms in (500..8000).step_by(250) {
            let mut sim = Sim::new(2, 1);
            sim.run(LONG_UPTIME_MS);
            let agents: Vec<String> = sim.pool.nodes.keys().cloned().collect();
            for agent in &agents {
                sim.held_up_holds_ms.insert(agent.clone(), late_ms);
            }
            sim.run(250);
            if take_over == TakeOver::BeforeRestart {
                sim.take_over();
                sim.run(50);
            }
            let now = sim.now_ms;
            for agent in &agents {
                sim.pool.restart_upstream(now, agent);
            }
            sim.run(600);
            sim.submit(job(1, 1, 1, 8, 30_000));
            let case = format!("{take_over:?}, {late_ms} ms late");
            assert!(
                sim.run_until(3000, |s| count_events(s, "start") == 1),
                "{case}"
            );
            if take_over == TakeOver::AfterRestart {
                sim.take_over();
            }
            sim.run(100);
            let agent = sim.agent_of_last_start();
            sim.set_reachable(&agent, false);
            assert!(
                sim.run_until(20_000, |s| count_events(s, "start") == 2),
                "{case}"
            );
            sim.set_reachable(&agent, true);
            sim.run(3000);
            assert_no_violations(&sim, &case);
        }
    }
}

// Guards against a done task that runs again, because an acknowledgement for
// the former incarnation made the next one forget the end of its run.
#[test]
fn an_acknowledgement_for_the_former_incarnation_drops_no_end_of_the_next() {
    for late_ms in (200..3000).step_by(20) {
        let mut sim = Sim::new(1, 1);
        sim.run(500);
        sim.submit(job(1, 1, 4, 2, 300));
        assert!(sim.run_until(3000, Sim::all_ended));
        sim.run(500);
        sim.held_up_holds_ms.insert("agent-00".to_owned(), late_ms);
        sim.run(250);
        let now = sim.now_ms;
        sim.pool.restart_upstream(now, "agent-00");
        sim.submit(job(2, 1, 3, 2, 700));
        let case = format!("{late_ms} ms late");
        assert!(sim.run_until(8000, Sim::all_ended), "{case}");
        assert_no_violations(&sim, &case);
        let jobs = [FIRST_JOB, SECOND_JOB];
        let states = jobs.map(|id| sim.state(id));
        assert_eq!(states, [BatchState::Done; 2], "{case}");
    }
}

// Guards against a task that starts a second time on a worker whose list shows
// an earlier run of it, which was given up and begun by the next incarnation.
#[test]
fn a_task_does_not_start_while_a_run_that_was_given_up_is_listed() {
    for take_over_after_ms in (0..400).step_by(50) {
        for late_ms in (300..1500).step_by(50) {
            let mut sim = Sim::new(1, 1);
            sim.run(500);
            sim.held_up_starts_ms = vec![late_ms; 3];
            sim.submit(job(1, 1, 1, 2, 2000));
            assert!(sim.run_until(500, |s| !s.start_orders.is_empty()));
            sim.run(take_over_after_ms);
            sim.take_over();
            sim.run(100);
            let now = sim.now_ms;
            sim.pool.restart_upstream(now, "agent-00");
            let case = format!("{take_over_after_ms} ms, {late_ms} ms late");
            assert!(sim.run_until(20_000, Sim::all_ended), "{case}");
            assert_no_violations(&sim, &case);
        }
    }
}

// Guards against a done task that begins again, because a call to start it was
// held up until the next incarnation, before anybody had called that one.
#[test]
fn a_start_that_is_held_up_does_not_begin_a_done_task_on_an_unseen_incarnation()
 {
    let mut sim = Sim::new(2, 1);
    sim.run(LONG_UPTIME_MS);
    sim.held_up_starts_ms = vec![1000];
    sim.submit(job(1, 1, 1, 8, 300));
    assert!(sim.run_until(3000, Sim::all_ended));
    sim.run(200);
    let agent = sim.agent_of_last_start();
    let now = sim.now_ms;
    sim.pool.restart_upstream(now, &agent);
    sim.set_reachable(&agent, false);
    sim.run(2000);
    assert_no_violations(&sim, "held up until after the end");
}

// Guards against a done task that begins again on an incarnation that its
// agent knows and the coordinator, which is paused, does not.
#[test]
fn a_start_that_is_held_up_begins_no_done_task_while_the_coordinator_is_paused()
 {
    for late_ms in (2200..4000).step_by(50) {
        let mut sim = Sim::new(1, 1);
        sim.run(LONG_UPTIME_MS);
        sim.held_up_starts_ms = vec![late_ms];
        sim.submit(job(1, 1, 1, 8, 300));
        let case = format!("{late_ms} ms late");
        assert!(sim.run_until(3000, Sim::all_ended), "{case}");
        sim.run(50);
        sim.paused = true;
        let now = sim.now_ms;
        sim.pool.restart_upstream(now, "agent-00");
        sim.run(3000);
        assert_no_violations(&sim, &case);
    }
}

// Guards against an upstream that refuses all orders, because its agent has
// raised the fencing token further than the next commit does.
#[test]
fn an_upstream_that_restarted_often_in_an_outage_of_the_store_gets_work_again()
{
    for restarts in 1..8 {
        let mut sim = Sim::new(1, 1);
        sim.run(1000);
        sim.store_up = false;
        for _ in 0..restarts {
            let now = sim.now_ms;
            sim.pool.restart_upstream(now, "agent-00");
            sim.run(500);
        }
        sim.submit(job(1, 1, 1, 8, 300));
        sim.store_up = true;
        let case = format!("{restarts} restarts");
        assert!(sim.run_until(3000, Sim::all_ended), "{case}");
        assert_no_violations(&sim, &case);
    }
}

// Guards against an upstream that the next coordinator cannot use, because its
// agent was sent a token that the store had not reached.
#[test]
fn an_upstream_that_restarted_often_gets_work_from_the_next_coordinator() {
    for restarts in 1..8 {
        let mut sim = Sim::new(1, 1);
        sim.run(1000);
        sim.store_up = false;
        for _ in 0..restarts {
            let now = sim.now_ms;
            sim.pool.restart_upstream(now, "agent-00");
            sim.run(500);
        }
        sim.scheduler.agent_connected("agent-00");
        sim.run(100);
        sim.store_up = true;
        sim.take_over();
        sim.submit(job(1, 1, 1, 8, 300));
        let case = format!("{restarts} restarts");
        assert!(sim.run_until(5000, Sim::all_ended), "{case}");
        assert_no_violations(&sim, &case);
    }
}
