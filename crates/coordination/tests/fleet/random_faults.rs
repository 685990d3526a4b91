//! Tests the model's invariants over series of random faults.

use std::ops::Range;

use figrill_state::batch::BatchId;
use figrill_state::features::Features;

use crate::assert_no_violations;
use crate::delay_cost::delay_cost;
use crate::sim::{Faults, Sim, gang, job};

#[test]
fn invariants_hold_over_random_faults() {
    check_invariants(0..60, Features::default());
}

#[test]
fn invariants_hold_over_random_faults_with_delay_cost() {
    check_invariants(60..90, delay_cost());
}

/// Injects random faults while jobs are submitted and run. The model must
/// record no violation, and all jobs must end once the faults are over.
fn check_invariants(seeds: Range<u64>, features: Features) {
    for seed in seeds {
        let mut sim = Sim::with_features(5, seed, features);
        sim.faults = Faults {
            lost_answers: 100,
            late_starts: 60,
            lost_reports: 50,
            late_holds: 30,
        };
        for id in 0..30 {
            let priority = u32::try_from(sim.random(3)).unwrap_or(0);
            let count = u32::try_from(1 + sim.random(4)).unwrap_or(1);
            let gpu = 1 << sim.random(4);
            let ms = 300 + sim.random(3000);
            let mut batch = job(100 + id, priority, count, gpu, ms);
            batch.steps[0].checkpoints = sim.random(2) == 0;
            if sim.random(2) == 0 {
                batch = gang(batch);
            }
            sim.submit(batch);
            sim.run(200 + seed % 7 * 50);
            inject_fault(&mut sim);
        }
        sim.faults = Faults::default();
        sim.store_up = true;
        for node in sim.pool.nodes.values_mut() {
            node.reachable = true;
        }
        assert!(
            sim.run_until(180_000, Sim::all_ended),
            "seed {seed}: some jobs have not ended\n{}",
            sim.pool.trace.join("\n")
        );
        assert_no_violations(&sim, &format!("seed {seed}"));
    }
}

/// Injects one random fault, undoes an earlier one, cancels a job, or does
/// nothing.
fn inject_fault(sim: &mut Sim) {
    let agent = format!("agent-{:02}", sim.random(5));
    match sim.random(18) {
        0 | 1 => sim.take_over(),
        2 => {
            let now = sim.now_ms;
            sim.pool.restart_upstream(now, &agent);
        }
        3 | 4 => {
            if let Some(node) = sim.pool.nodes.get_mut(&agent) {
                node.reachable = !node.reachable;
            }
        }
        5 => sim.store_up = !sim.store_up,
        6 => {
            let id = BatchId(100 + sim.random(30));
            sim.cancel(id);
        }
        7 | 8 => {
            // The upstream restarts and is cut off soon after.
            let now = sim.now_ms;
            sim.pool.restart_upstream(now, &agent);
            let uptime_ms = sim.random(1500);
            sim.run(uptime_ms);
            sim.set_reachable(&agent, false);
        }
        _ => {}
    }
}
