//! Tests of claims: urgent work within its workspace's guarantee. Its tasks
//! start in time, although borrowers have to stop first, with and without the
//! feature `delay_cost`.

use crate::delay_cost::delay_cost;
use crate::sim::{Sim, gang, job};
use crate::{assert_no_violations, count_events};

/// Runs a test on a site without features, and on one with `delay_cost`.
fn with_each_setting(workers: usize, test: impl Fn(Sim)) {
    test(Sim::new(workers, 1));
    test(Sim::with_features(workers, 1, delay_cost()));
}

#[test]
fn a_claim_preempts_borrowers_within_its_time_limit() {
    // Installations require that all tasks of a claim start within 2.7 s.
    const MAX_CLAIM_MS: u64 = 2700;
    struct Case {
        name: &'static str,
        urgent: figrill_state::batch::Batch,
    }
    let cases = [
        Case {
            name: "one task",
            urgent: job(2, 0, 1, 8, 500),
        },
        Case {
            name: "a gang over two workers",
            urgent: gang(job(2, 0, 2, 8, 500)),
        },
    ];
    for case in cases {
        with_each_setting(3, |mut sim| {
            sim.submit(job(1, 1, 12, 2, 60_000));
            assert!(sim.run_until(2000, |s| count_events(s, "start") == 12));
            let tasks = case.urgent.steps[0].count as usize;
            sim.submit(case.urgent.clone());
            let all_started = |s: &Sim| {
                let of_claim =
                    |l: &&String| l.contains("start 0000000000000002");
                s.pool.trace.iter().filter(of_claim).count() == tasks
            };
            assert!(sim.run_until(MAX_CLAIM_MS, all_started), "{}", case.name);
            assert_no_violations(&sim, case.name);
        });
    }
}

#[test]
fn claims_of_a_burst_do_not_wait_for_each_others_victims() {
    // The four claims need all workers. Each has to stop a run of its own at
    // once, so that none starts later than a single claim would.
    const MAX_CLAIM_MS: u64 = 1000;
    with_each_setting(4, |mut sim| {
        for id in 11..=14 {
            sim.submit(job(id, 1, 1, 8, 60_000));
        }
        assert!(sim.run_until(2000, |s| count_events(s, "start") == 4));
        sim.run(3000);
        for id in 1..=4 {
            let mut claim = job(id, 0, 1, 8, 500);
            let workspace = if id <= 2 { "a" } else { "b" };
            claim.workspace = workspace.to_owned();
            sim.submit(claim);
        }
        let all_started = |s: &Sim| count_events(s, "start") == 8;
        assert!(
            sim.run_until(MAX_CLAIM_MS, all_started),
            "{:?}",
            sim.pool.trace
        );
        assert_no_violations(&sim, "burst of claims");
    });
}

#[test]
fn a_claim_gets_capacity_beside_tasks_that_fit_already() {
    // One accelerator is free, so one task of the claim fits without a stop.
    // The other three have to get the capacity of the borrower.
    const MAX_CLAIM_MS: u64 = 2700;
    with_each_setting(1, |mut sim| {
        sim.submit(job(1, 1, 1, 7, 60_000));
        assert!(sim.run_until(2000, |s| count_events(s, "start") == 1));
        sim.run(3000);
        sim.submit(gang(job(2, 0, 4, 1, 500)));
        let all_started = |s: &Sim| count_events(s, "start") == 5;
        assert!(
            sim.run_until(MAX_CLAIM_MS, all_started),
            "{:?}",
            sim.pool.trace
        );
        assert_no_violations(&sim, "partly free worker");
    });
}

#[test]
fn a_claim_does_not_wait_for_a_gang_that_only_seems_to_end() {
    // One member of the borrowers' gang has done its share and waits for the
    // other, which is slow. The claim has to stop them.
    const MAX_CLAIM_MS: u64 = 2700;
    with_each_setting(2, |mut sim| {
        sim.submit(gang(job(1, 1, 2, 8, 3000)));
        if let Some(node) = sim.pool.nodes.get_mut("agent-01") {
            node.speed_percent = 10;
        }
        assert!(sim.run_until(1000, |s| count_events(s, "start") == 2));
        sim.run(3500);
        sim.submit(job(2, 0, 1, 8, 500));
        let all_started = |s: &Sim| count_events(s, "start") == 3;
        assert!(
            sim.run_until(MAX_CLAIM_MS, all_started),
            "{:?}",
            sim.pool.trace
        );
        assert_no_violations(&sim, "gang with a slow member");
    });
}

#[test]
fn a_claim_preempts_urgent_work_beyond_a_guarantee() {
    const MAX_CLAIM_MS: u64 = 2700;
    with_each_setting(1, |mut sim| {
        let mut borrower = job(1, 0, 1, 8, 60_000);
        borrower.workspace = "without a guarantee".to_owned();
        sim.submit(borrower);
        assert!(sim.run_until(1000, |s| count_events(s, "start") == 1));
        sim.run(3000);
        sim.submit(job(2, 0, 1, 8, 500));
        let started = |s: &Sim| count_events(s, "start") == 2;
        assert!(sim.run_until(MAX_CLAIM_MS, started), "{:?}", sim.pool.trace);
    });
}
