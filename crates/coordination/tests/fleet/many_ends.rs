//! Tests of more ended runs than an upstream lists at a time.

use figrill_state::batch::{Batch, Resources};

use crate::count_events;
use crate::sim::{Sim, job};

/// The number of jobs, and of the tasks of each. All tasks fit on one worker,
/// and they are more than an upstream lists ends of at a time.
const JOBS: u32 = 9;
const TASKS: u32 = 90;

/// The run time of a task, in milliseconds.
const RUN_MS: u64 = 2000;

/// Returns a job of small tasks.
fn small_tasks(id: u64) -> Batch {
    let mut batch = job(id, 1, TASKS, 0, RUN_MS);
    batch.steps[0].needs = Resources {
        cpu_milli: 10,
        memory_mib: 10,
        accelerators: 0,
    };
    batch.payload = format!("ms={RUN_MS} cpu=10 mem=10");
    batch
}

/// Something that happens while the ends of all tasks gather at their worker.
struct Case {
    name: &'static str,
    disrupt: fn(&mut Sim),
}

// Guards against tasks that are started again because their ends are beyond
// the first 500, and so in no list yet.
#[test]
fn tasks_whose_ends_are_not_listed_yet_are_not_started_again() {
    let cases = [
        Case {
            name: "the store is down",
            disrupt: |sim| {
                sim.store_up = false;
                sim.run(4400);
                sim.store_up = true;
            },
        },
        Case {
            name: "the store is down, then another coordinator takes over",
            disrupt: |sim| {
                sim.store_up = false;
                sim.run(4400);
                sim.store_up = true;
                sim.take_over();
            },
        },
        Case {
            name: "reports of the agent are lost",
            disrupt: |sim| {
                sim.faults.lost_reports = 1000;
                sim.run(4400);
                sim.faults.lost_reports = 0;
            },
        },
    ];
    let all_tasks = (JOBS * TASKS) as usize;
    for case in cases {
        let mut sim = Sim::new(1, 1);
        sim.run(500);
        for id in 1..=JOBS {
            sim.submit(small_tasks(id.into()));
        }
        let started = |s: &Sim| count_events(s, "start") == all_tasks;
        assert!(sim.run_until(1500, started), "{}", case.name);
        (case.disrupt)(&mut sim);
        assert!(sim.run_until(10_000, Sim::all_ended), "{}", case.name);
        sim.run(2000);
        let starts = count_events(&sim, "start");
        assert_eq!(starts, all_tasks, "{}", case.name);
        assert_eq!(sim.pool.violations, [], "{}", case.name);
    }
}
