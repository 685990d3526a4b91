//! Tests of starts that are late, and of starts whose answers are late or lost.
//! None may run a task twice.

use figrill_state::runner::{Refusal, StartOutcome};

use crate::sim::{Faults, Sim, job};
use crate::{FIRST_JOB, assert_no_violations, count_events};

#[test]
fn a_start_whose_answer_is_lost_is_not_sent_again() {
    let mut sim = Sim::new(3, 1);
    sim.faults = Faults {
        lost_answers: 1000,
        ..Faults::default()
    };
    sim.submit(job(1, 1, 3, 2, 2000));
    assert!(sim.run_until(8000, Sim::all_ended));
    assert_eq!(count_events(&sim, "start"), 3, "{:?}", sim.pool.trace);
    assert_no_violations(&sim, "lost answers");
}

#[test]
fn a_late_result_of_an_earlier_run_does_not_release_the_current_one() {
    struct Case {
        name: &'static str,
        from_current_agent: bool,
        outcome: StartOutcome,
    }
    let refused = |refusal| StartOutcome::Refused(refusal);
    let cases = [
        Case {
            name: "refused by the agent of the earlier run",
            from_current_agent: false,
            outcome: refused(Refusal::Unhealthy),
        },
        Case {
            name: "refused by the agent that has the later run",
            from_current_agent: true,
            outcome: refused(Refusal::DeadlinePassed),
        },
    ];
    for case in cases {
        let mut sim = Sim::new(3, 1);
        sim.run(500);
        // The start of run 1 is lost, so that run 2 is ordered.
        sim.faults.late_starts = 1000;
        sim.submit(job(1, 1, 1, 1, 3000));
        sim.run(100);
        sim.faults.late_starts = 0;
        let run_2 = |s: &Sim| {
            s.start_orders
                .iter()
                .any(|(_, order)| order.contains("/2 "))
        };
        assert!(sim.run_until(4000, run_2), "{}", case.name);
        let agent_of = |order: &(u64, String)| {
            order.1.rsplit(' ').next().unwrap_or_default().to_owned()
        };
        let agent = if case.from_current_agent {
            agent_of(sim.start_orders.last().expect("run 2"))
        } else {
            agent_of(&sim.start_orders[0])
        };
        sim.report_start_result(&agent, FIRST_JOB, 1, case.outcome);
        assert!(sim.run_until(9000, Sim::all_ended), "{}", case.name);
        assert_eq!(count_events(&sim, "start"), 1, "{}", case.name);
        assert_no_violations(&sim, case.name);
    }
}

#[test]
fn a_late_start_is_refused_and_its_task_runs_elsewhere() {
    let mut sim = Sim::new(3, 1);
    sim.faults.late_starts = 1000;
    sim.submit(job(1, 1, 1, 2, 500));
    sim.run(2500);
    sim.faults.late_starts = 0;
    assert!(
        sim.run_until(15_000, Sim::all_ended),
        "{:?}",
        sim.pool.trace
    );
    sim.run(10_000);
    assert_no_violations(&sim, "late start");
}

// Guards against starts that are refused and sent again without a pause, each
// with a commit, because all workers are quarantined.
#[test]
fn refused_starts_are_not_repeated_without_a_pause() {
    const REFUSING_MS: u64 = 4000;
    // A retry every 200 ms, and the first start.
    const MAX_STARTS: u64 = REFUSING_MS / 200 + 1;
    for workers in [1, 2, 3] {
        let mut sim = Sim::new(workers, 1);
        sim.run(500);
        for node in sim.pool.nodes.values_mut() {
            node.refuses_starts = true;
        }
        sim.submit(job(1, 1, 1, 1, 200));
        sim.run(REFUSING_MS);
        let orders = sim.start_orders.len() as u64;
        let limit = MAX_STARTS * workers as u64;
        assert!(orders <= limit, "{workers} workers: {orders} starts");
        for node in sim.pool.nodes.values_mut() {
            node.refuses_starts = false;
        }
        assert!(sim.run_until(1000, Sim::all_ended), "{workers} workers");
        assert_no_violations(&sim, "refused starts");
    }
}
