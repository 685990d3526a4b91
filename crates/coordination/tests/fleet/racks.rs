//! Tests of work that runs slower away from a rack, and waits for it.

use figrill_state::batch::Batch;

use crate::sim::{Sim, gang, job};
use crate::{assert_no_violations, count_events};

/// The time within which work starts while most accelerators are idle.
const START_LIMIT_MS: u64 = 3000;

/// How long the runs take that occupy the racks, in milliseconds.
const LONG_MS: u64 = 95_000;

fn started(sim: &Sim, id: u64) -> bool {
    let text = format!(" start {id:016x}");
    sim.pool.trace.iter().any(|l| l.contains(&text))
}

/// Returns a site of three racks with three workers each, of which so many on
/// each rack are occupied for a long time.
fn site_with_occupied_racks(occupied: [u32; 3]) -> Sim {
    let mut sim = Sim::new(9, 1);
    sim.run(500);
    for (id, count) in (1..).zip(occupied).filter(|(_, count)| *count > 0) {
        let mut long = job(id, 1, count, 8, LONG_MS);
        long.steps[0].data_rack = Some(format!("rack-{}", id - 1));
        sim.submit(long);
    }
    let all = occupied.into_iter().sum::<u32>() as usize;
    assert!(sim.run_until(1000, |s| count_events(s, "start") == all));
    sim
}

/// Returns a job of tasks that each need a whole worker.
fn job_of_workers(count: u32) -> Batch {
    job(9, 1, count, 8, 60_000)
}

fn on_one_rack(mut batch: Batch) -> Batch {
    batch.steps[0].same_rack = true;
    gang(batch)
}

fn near_data(mut batch: Batch) -> Batch {
    batch.steps[0].data_rack = Some("rack-0".to_owned());
    batch
}

fn lasting(mut batch: Batch) -> Batch {
    batch.steps[0].persistent = true;
    batch
}

/// Work that waits for a rack.
struct Case {
    name: &'static str,
    batch: Batch,
    /// The number of workers that are occupied on each rack.
    occupied: [u32; 3],
    /// Whether it starts soon.
    starts: bool,
}

// Guards against work that waits for a rack while most workers are idle, for as
// long as it is expected to run, as in review/14; and against work that gives up
// its rack at once on a service that is busy.
#[test]
fn work_waits_long_for_a_rack_only_on_a_busy_service() {
    let cases = [
        Case {
            name: "gang",
            batch: on_one_rack(job_of_workers(3)),
            occupied: [1, 1, 1],
            starts: true,
        },
        Case {
            name: "task near its data",
            batch: near_data(job_of_workers(1)),
            occupied: [3, 0, 0],
            starts: true,
        },
        Case {
            name: "gang on a busy service",
            batch: on_one_rack(job_of_workers(2)),
            occupied: [2, 2, 2],
            starts: false,
        },
        Case {
            name: "task near its data on a busy service",
            batch: near_data(job_of_workers(1)),
            occupied: [3, 1, 1],
            starts: false,
        },
        Case {
            name: "lasting task on a busy service",
            batch: lasting(near_data(job_of_workers(1))),
            occupied: [3, 1, 1],
            starts: true,
        },
    ];
    for case in cases {
        let mut sim = site_with_occupied_racks(case.occupied);
        sim.submit(case.batch);
        let starts = sim.run_until(START_LIMIT_MS, |s| started(s, 9));
        assert_eq!(starts, case.starts, "{}", case.name);
        assert_no_violations(&sim, case.name);
    }
}
