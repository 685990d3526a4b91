//! Tests of the limits that the store sets a commit.

use figrill_state::batch::{BatchId, BatchState};

use crate::sim::{Sim, job};
use crate::{assert_no_violations, count_events};

/// How long the records of ended jobs are kept, in milliseconds.
const RETENTION_MS: u64 = 300_000;

/// The jobs of which the store can be given only one in a commit or none.
const SMALL_JOBS: u64 = 40;

/// Runs short jobs and lets the time pass until their records are due to be
/// removed in `due_in_ms` milliseconds. Their ids begin at 1000.
pub fn sim_with_old_jobs(workers: usize, jobs: u64, due_in_ms: u64) -> Sim {
    let mut sim = Sim::new(workers, 1);
    sim.run(500);
    for id in 1000..1000 + jobs {
        sim.submit(job(id, 1, 1, 1, 100));
    }
    assert!(sim.run_until(5000, Sim::all_ended));
    // Nothing runs that could tell this from a time that passes.
    sim.now_ms += RETENTION_MS - due_in_ms;
    sim.run(500);
    sim
}

// Guards against a scheduler that stops for good because a commit of many
// jobs and of removals has more entries than the store accepts.
#[test]
fn all_jobs_go_on_after_many_changes_and_removals_at_once() {
    struct Case {
        name: &'static str,
        old_jobs: u64,
        running_jobs: u64,
    }
    let cases = [
        Case {
            name: "a few of both",
            old_jobs: 6,
            running_jobs: 30,
        },
        Case {
            name: "more removals than fit",
            old_jobs: 100,
            running_jobs: 10,
        },
        Case {
            name: "more changes than fit",
            old_jobs: 6,
            running_jobs: 80,
        },
    ];
    for Case {
        name,
        old_jobs,
        running_jobs,
    } in cases
    {
        let mut sim = sim_with_old_jobs(10, old_jobs, 8000);
        for id in 0..running_jobs {
            sim.submit(job(id, 1, 1, 1, 4000 + id * 40));
        }
        sim.run(3500);
        sim.store_up = false;
        sim.run(4400);
        sim.store_up = true;
        sim.submit(job(500, 1, 1, 1, 100));
        let is_done = |s: &Sim| s.state(BatchId(500)) == BatchState::Done;
        assert!(sim.run_until(3000, is_done), "{name}");
        assert!(sim.run_until(10_000, Sim::all_ended), "{name}");
        sim.run(5000);
        let old = (1000..1000 + old_jobs).map(BatchId);
        let kept = old.filter(|id| sim.has_record(*id)).count();
        assert_eq!(kept, 0, "{name}: records of ended jobs");
        assert_no_violations(&sim, name);
    }
}

// Guards against a job whose record the store does not accept, and that keeps
// all other jobs from being committed.
#[test]
fn a_job_whose_record_is_rejected_ends_alone() {
    const LARGE_JOB: BatchId = BatchId(500);
    for takeover in [false, true] {
        let name = format!("takeover: {takeover}");
        let mut sim = Sim::new(10, 1);
        sim.max_value_bytes = 3000;
        sim.run(500);
        for id in 0..SMALL_JOBS / 2 {
            sim.submit(job(id, 1, 1, 1, 1000));
        }
        // Its record is small enough until its tasks are placed.
        sim.submit(job(LARGE_JOB.0, 1, 60, 0, 1000));
        for id in SMALL_JOBS / 2..SMALL_JOBS {
            sim.submit(job(id, 1, 1, 1, 1000));
        }
        sim.run(1000);
        if takeover {
            sim.take_over();
        }
        assert!(sim.run_until(10_000, Sim::all_ended), "{name}");
        for id in 0..SMALL_JOBS {
            assert_eq!(sim.state(BatchId(id)), BatchState::Done, "{name}");
        }
        assert_eq!(sim.state(LARGE_JOB), BatchState::Failed, "{name}");
        assert_eq!(count_events(&sim, "start"), 40, "{name}");
        assert_no_violations(&sim, &name);
    }
}

// Guards against a store that accepts less than it says, so that a commit is
// rejected and sent again without end.
#[test]
fn a_rejected_commit_is_written_in_parts() {
    let mut sim = sim_with_old_jobs(10, 20, 2000);
    sim.max_entries = 6;
    for id in 0..SMALL_JOBS {
        sim.submit(job(id, 1, 1, 1, 1000));
    }
    assert!(sim.run_until(10_000, Sim::all_ended));
    sim.run(3000);
    for id in 0..SMALL_JOBS {
        assert_eq!(sim.state(BatchId(id)), BatchState::Done);
    }
    let old = (1000..1020).map(BatchId);
    assert_eq!(old.filter(|id| sim.has_record(*id)).count(), 0);
    assert_no_violations(&sim, "parts");
}
