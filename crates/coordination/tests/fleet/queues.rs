//! Tests of the states of jobs and the lengths of queues that callers see.

use std::collections::{BTreeSet, VecDeque};

use figrill_state::batch::{BatchId, BatchState};

use crate::sim::{Faults, STEP_MS, Sim, job};
use crate::{FIRST_JOB, assert_no_violations, count_events};

/// The jobs that a case submits: as many as its workers can run at a time.
const JOBS: u64 = 6;

/// The maximum time until a start or an acceptance is visible to callers.
const VISIBLE_MS: u64 = 300;

/// Returns the number of jobs of which no task has ever started.
fn jobs_without_start(sim: &Sim) -> u64 {
    let task = |line: &String| {
        let mut words = line.split(' ').skip_while(|w| *w != "start");
        words.nth(1)?.split('.').next().map(str::to_owned)
    };
    let started: BTreeSet<String> =
        sim.pool.trace.iter().filter_map(task).collect();
    JOBS - u64::try_from(started.len()).expect("a small number")
}

/// Runs the simulation for `ms` milliseconds of virtual time, and checks that
/// the jobs shown as queued are those of which no task has started.
fn check_queue(sim: &mut Sim, ms: u64, case: &str) {
    let mut earlier = VecDeque::from([JOBS]);
    for _ in 0..ms / STEP_MS {
        sim.run(STEP_MS);
        let waiting = jobs_without_start(sim);
        earlier.push_back(waiting);
        if earlier.len() as u64 > VISIBLE_MS / STEP_MS {
            earlier.pop_front();
        }
        let shown = sim.queued_jobs();
        let range = waiting..=earlier[0];
        assert!(range.contains(&shown), "{case}: {shown} of {range:?}");
        let is_queued =
            |id: &u64| sim.state(BatchId(*id)) == BatchState::Queued;
        let queued = (1..=JOBS).filter(is_queued).count();
        assert_eq!(queued as u64, shown, "{case}");
    }
}

/// Something because of which placed tasks do not start.
struct Case {
    name: &'static str,
    begin: fn(&mut Sim),
    end: fn(&mut Sim),
}

fn set_refusing(sim: &mut Sim, refuses: bool) {
    for node in sim.pool.nodes.values_mut() {
        node.refuses_starts = refuses;
    }
}

fn set_unanswered(sim: &mut Sim, unanswered: bool) {
    sim.faults = Faults {
        late_starts: if unanswered { 1000 } else { 0 },
        ..Faults::default()
    };
}

// Guards against jobs that were placed but have not begun, and are shown as
// running and missing from the number of pending jobs.
#[test]
fn a_placed_job_is_queued_until_a_task_has_started() {
    let cases = [
        Case {
            name: "starts are refused",
            begin: |sim| set_refusing(sim, true),
            end: |sim| set_refusing(sim, false),
        },
        Case {
            name: "starts are not answered",
            begin: |sim| set_unanswered(sim, true),
            end: |sim| set_unanswered(sim, false),
        },
        Case {
            name: "starts are refused before and after a takeover",
            begin: |sim| {
                set_refusing(sim, true);
                sim.run(1000);
                sim.take_over();
            },
            end: |sim| set_refusing(sim, false),
        },
        Case {
            name: "starts are not answered before and after a takeover",
            begin: |sim| {
                set_unanswered(sim, true);
                sim.run(1000);
                sim.take_over();
            },
            end: |sim| set_unanswered(sim, false),
        },
    ];
    for case in cases {
        let mut sim = Sim::new(3, 1);
        sim.run(500);
        for id in 1..=JOBS {
            sim.submit(job(id, 1, 1, 4, 700));
        }
        (case.begin)(&mut sim);
        sim.run(VISIBLE_MS);
        check_queue(&mut sim, 4000, case.name);
        (case.end)(&mut sim);
        assert!(sim.run_until(30_000, Sim::all_ended), "{}", case.name);
        sim.run(VISIBLE_MS);
        assert_eq!(sim.queued_jobs(), 0, "{}", case.name);
        assert_no_violations(&sim, case.name);
    }
}

// Guards against a job that has begun and is counted as pending again.
#[test]
fn a_job_that_has_started_is_never_queued_again() {
    let mut sim = Sim::new(2, 1);
    sim.run(500);
    sim.submit(job(1, 1, 1, 4, 3000));
    assert!(sim.run_until(1000, |s| count_events(s, "start") == 1));
    sim.run(VISIBLE_MS);
    set_refusing(&mut sim, true);
    let agent = sim.agent_of_last_start();
    sim.crash(&agent);
    for takeover in [false, true] {
        if takeover {
            sim.take_over();
        }
        for _ in 0..100 {
            sim.run(STEP_MS);
            assert_eq!(sim.state(FIRST_JOB), BatchState::Running);
            assert_eq!(sim.queued_jobs(), 0);
        }
    }
    set_refusing(&mut sim, false);
    assert!(sim.run_until(20_000, Sim::all_ended));
    assert_no_violations(&sim, "a job that has started");
}

// Guards against a start that only a list or an end shows, and that leaves its
// job among the pending ones.
#[test]
fn a_start_whose_answer_is_lost_ends_the_wait_of_its_job() {
    let mut sim = Sim::new(3, 1);
    sim.faults.lost_answers = 1000;
    for id in 1..=JOBS {
        // Half of them have ended before any list shows them as running.
        let ms = if id % 2 == 0 { 20 } else { 3000 };
        sim.submit(job(id, 1, 1, 4, ms));
    }
    assert!(sim.run_until(2000, |s| jobs_without_start(s) == 0));
    sim.run(2 * VISIBLE_MS);
    assert_eq!(sim.queued_jobs(), 0, "{:?}", sim.pool.trace);
    assert!(sim.run_until(8000, Sim::all_ended));
    assert_no_violations(&sim, "lost answers");
}
