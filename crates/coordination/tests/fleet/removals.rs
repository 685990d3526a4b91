//! Tests of the removal of the records of jobs that ended long ago.

use figrill_state::batch::BatchId;

use crate::commits::sim_with_old_jobs;
use crate::sim::{Sim, job};
use crate::{assert_no_violations, count_events};

const OLD_JOBS: u64 = 12;

/// When the records of the old jobs are due to be removed, in milliseconds.
const DUE_IN_MS: u64 = 2000;

fn kept_records(sim: &Sim) -> usize {
    let old = (1000..1000 + OLD_JOBS).map(BatchId);
    old.filter(|id| sim.has_record(*id)).count()
}

/// When the coordinator reads all jobs again, as it does after an outage.
struct Case {
    name: &'static str,
    /// How long the store was down before.
    outage_ms: u64,
    /// The time from the end of the outage to the reading.
    read_after_ms: u64,
    /// The time from the reading until the scheduler is given it.
    delivered_after_ms: u64,
}

// Guards against ended jobs that run again because they were forgotten before
// their records were gone, and then found in a reading of all records.
#[test]
fn jobs_whose_records_are_being_removed_do_not_run_again() {
    let cases = [
        Case {
            name: "read while no removal can be committed",
            outage_ms: 4400,
            read_after_ms: 0,
            delivered_after_ms: 0,
        },
        Case {
            name: "read while removals are committed",
            outage_ms: 4400,
            read_after_ms: 30,
            delivered_after_ms: 0,
        },
        Case {
            name: "read before the removals and delivered after them",
            outage_ms: 4400,
            read_after_ms: 0,
            delivered_after_ms: 1500,
        },
        Case {
            name: "read before the removals were due, without an outage",
            outage_ms: 0,
            read_after_ms: 1000,
            delivered_after_ms: 3000,
        },
    ];
    for case in cases {
        let mut sim = sim_with_old_jobs(3, OLD_JOBS, DUE_IN_MS);
        let starts = count_events(&sim, "start");
        sim.store_up = case.outage_ms == 0;
        sim.run(case.outage_ms);
        sim.store_up = true;
        sim.run(case.read_after_ms);
        let listing = sim.read_jobs();
        sim.run(case.delivered_after_ms);
        sim.deliver_jobs(listing);
        sim.run(6000);
        assert_eq!(count_events(&sim, "start"), starts, "{}", case.name);
        assert_eq!(kept_records(&sim), 0, "{}", case.name);
        assert_no_violations(&sim, case.name);
    }
}

// Guards against a job that never runs because an earlier one with its id has
// ended and was removed.
#[test]
fn a_job_with_the_id_of_a_removed_one_runs() {
    for listing_before in [false, true] {
        let mut sim = sim_with_old_jobs(3, OLD_JOBS, 500);
        let listing = sim.read_jobs();
        assert!(sim.run_until(5000, |s| kept_records(s) == 0));
        if listing_before {
            sim.deliver_jobs(listing);
        }
        let starts = count_events(&sim, "start");
        sim.submit(job(1000, 1, 1, 1, 100));
        assert!(sim.run_until(2000, |s| kept_records(s) == 1));
        assert!(sim.run_until(2000, Sim::all_ended));
        assert_eq!(count_events(&sim, "start"), starts + 1);
        let listing = sim.read_jobs();
        sim.deliver_jobs(listing);
        sim.run(2000);
        assert_eq!(count_events(&sim, "start"), starts + 1);
    }
}
