//! Tests of VMs that are suspended. The clock by which an upstream measures its
//! leases stands still meanwhile, and its runs go on afterwards.

use crate::sim::{Sim, job};
use crate::{assert_no_violations, count_events};

/// A worker whose VM is suspended and which can't be reached for a while.
struct Case {
    name: &'static str,
    /// When it is suspended and for how long, in milliseconds since it was last
    /// reachable.
    suspended_at_ms: u64,
    suspended_for_ms: u64,
    /// For how long it can't be reached.
    cut_for_ms: u64,
    /// When a new coordinator takes over, if one does.
    take_over_at_ms: Option<u64>,
}

// Guards against a second run of a task while the first one goes on: its lease
// lasts for longer than by true time because its VM was suspended, as in
// review/12.
#[test]
fn a_task_of_a_suspended_worker_does_not_run_twice() {
    let cases = [
        Case {
            name: "suspended, then cut off",
            suspended_at_ms: 0,
            suspended_for_ms: 4800,
            cut_for_ms: 25_000,
            take_over_at_ms: None,
        },
        Case {
            name: "suspended shortly before its lease ends",
            suspended_at_ms: 8000,
            suspended_for_ms: 4800,
            cut_for_ms: 25_000,
            take_over_at_ms: None,
        },
        Case {
            name: "a new coordinator",
            suspended_at_ms: 500,
            suspended_for_ms: 4800,
            cut_for_ms: 25_000,
            take_over_at_ms: Some(2000),
        },
        Case {
            name: "reachable before its lease ends",
            suspended_at_ms: 0,
            suspended_for_ms: 4800,
            cut_for_ms: 8300,
            take_over_at_ms: None,
        },
    ];
    for case in cases {
        let mut sim = Sim::new(2, 1);
        sim.submit(job(1, 1, 1, 8, 20_000));
        assert!(sim.run_until(1000, |s| count_events(s, "start") == 1));
        sim.run(500);
        let agent = sim.agent_of_last_start();
        let cut_at_ms = sim.now_ms;
        sim.set_reachable(&agent, false);
        while sim.now_ms < cut_at_ms + case.cut_for_ms {
            let elapsed_ms = sim.now_ms - cut_at_ms;
            let suspended_to_ms = case.suspended_at_ms + case.suspended_for_ms;
            sim.set_suspended(
                &agent,
                (case.suspended_at_ms..suspended_to_ms).contains(&elapsed_ms),
            );
            if case.take_over_at_ms == Some(elapsed_ms) {
                sim.take_over();
            }
            sim.run(10);
        }
        sim.set_reachable(&agent, true);
        assert!(sim.run_until(30_000, Sim::all_ended), "{}", case.name);
        assert_no_violations(&sim, case.name);
    }
}
