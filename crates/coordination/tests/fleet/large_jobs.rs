//! Tests of jobs with many steps, tasks or occurrences. The thread that plans
//! also answers agents, so a planning pass must not take longer the more of a
//! job is blocked, waits, or is done.

use std::time::{Duration, Instant};

use figrill_state::batch::{Batch, BatchId, BatchState, Schedule, Step};

use crate::sim::{Sim, gang, job};
use crate::{assert_no_violations, count_events};

/// The number of steps that follow all others in a job of two stages.
const LAST_STEPS: usize = 16;

/// How much longer the scheduler may take for a job that is 16 times as large.
/// If it looked at each step or occurrence in each pass, it would take 16 times
/// as long, and 256 times if it did so for each of them.
const MAX_GROWTH: u32 = 8;

/// Returns a job of two stages. Each step of the second one comes after all
/// steps of the first one.
fn two_stages(first: usize) -> Batch {
    let mut batch = job(1, 1, 1, 8, 60_000);
    let step = batch.steps[0].clone();
    batch.steps = vec![step.clone(); first];
    let after: Vec<u32> = (0..).take(first).collect();
    let last = Step { after, ..step };
    batch.steps.extend(vec![last; LAST_STEPS]);
    batch
}

/// Returns a job of single tasks that are all due.
fn due_occurrences(times: u32) -> Batch {
    let mut batch = job(1, 1, 1, 8, 60_000);
    batch.schedule = Some(Schedule {
        first_ms: 1,
        every_ms: 1,
        times,
    });
    batch
}

/// Returns how long the scheduler takes for a second in which a job waits
/// behind its own first tasks. The shortest of three tells the least of what
/// else the machine does.
fn time_while_waiting(batch: Batch) -> Duration {
    let mut sim = Sim::new(4, 1);
    sim.run(500);
    sim.submit(batch);
    assert!(sim.run_until(2000, |s| count_events(s, "start") == 4));
    let seconds = (0..3).map(|_| {
        let started = Instant::now();
        sim.run(1000);
        started.elapsed()
    });
    seconds.min().expect("three seconds")
}

/// A kind of large job.
struct Case {
    name: &'static str,
    small: Batch,
    large: Batch,
}

// Guards against a coordinator that is busy with planning and answers no agent,
// so that nothing runs any more, as in review/6.
#[test]
fn a_planning_pass_does_not_take_longer_for_a_larger_job() {
    let cases = [
        Case {
            name: "steps",
            small: two_stages(240),
            large: two_stages(3840),
        },
        Case {
            name: "occurrences",
            small: due_occurrences(1000),
            large: due_occurrences(16_000),
        },
        Case {
            name: "tasks",
            small: job(1, 1, 250, 8, 60_000),
            large: job(1, 1, 4000, 8, 60_000),
        },
    ];
    for case in cases {
        let small = time_while_waiting(case.small);
        let large = time_while_waiting(case.large);
        assert!(
            large < small * MAX_GROWTH,
            "{}: {small:?}, {large:?}",
            case.name
        );
    }
}

// Guards against tasks that are never looked at, because others of their job
// that do not fit come before them.
#[test]
fn tasks_that_fit_run_beside_many_that_do_not() {
    let mut sim = Sim::new(1, 1);
    sim.run(500);
    let mut batch = job(1, 1, 1, 8, 200);
    let step = batch.steps[0].clone();
    let mut steps = Vec::new();
    for i in 0..300 {
        // Each of these has a shape of its own, and more accelerators than
        // the worker.
        let mut large = step.clone();
        large.needs.accelerators = 9 + i;
        steps.push(large);
    }
    steps.push(Step {
        needs: job(1, 1, 1, 1, 200).steps[0].needs,
        ..step
    });
    batch.steps = steps;
    batch.payload = "ms=200 cpu=1000 mem=1000 gpu=1".to_owned();
    sim.submit(batch);
    assert!(sim.run_until(1000, |s| count_events(s, "done") == 1));
}

// Guards against steps and occurrences that are not placed, or placed too
// early, when only some are looked at in a pass.
#[test]
fn all_tasks_of_large_jobs_run_once_and_in_order() {
    let mut stages = two_stages(300);
    for step in &mut stages.steps {
        step.needs.accelerators = 1;
        step.estimate_ms = 50;
    }
    stages.payload = "ms=50 cpu=1000 mem=1000 gpu=1".to_owned();
    let mut timed = job(2, 1, 1, 1, 50);
    timed.schedule = Some(Schedule {
        first_ms: 1,
        every_ms: 1,
        times: 300,
    });
    let wide = job(3, 1, 1500, 1, 20);
    let gangs = Batch {
        id: BatchId(4),
        ..gang(job(4, 1, 4, 1, 50))
    };
    let mut sim = Sim::new(6, 1);
    sim.run(500);
    for batch in [stages, timed, wide, gangs] {
        sim.submit(batch);
    }
    assert!(sim.run_until(120_000, Sim::all_ended));
    for id in 1..=4 {
        assert_eq!(sim.state(BatchId(id)), BatchState::Done, "job {id}");
    }
    assert_eq!(count_events(&sim, "done"), 300 + LAST_STEPS + 300 + 1504);
    let line_of = |word: &str, task: &str| {
        let has = |l: &String| l.contains(word) && l.contains(task);
        sim.pool.trace.iter().rposition(has)
    };
    let first_stage = (0..300).filter_map(|step| {
        let task = format!("0000000000000001.0.{step}.0");
        line_of(" done ", &task)
    });
    let last_of_first = first_stage.max();
    for step in 300..300 + LAST_STEPS {
        let task = format!("0000000000000001.0.{step}.0/");
        assert!(line_of(" start ", &task) > last_of_first, "step {step}");
    }
    assert_no_violations(&sim, "large jobs");
}

/// Returns a job of `count` small tasks, which is due `times` times at an
/// interval of two seconds from the beginning on.
fn timed(sim: &Sim, count: u32, times: u32) -> Batch {
    let mut batch = job(1, 1, count, 0, 1000);
    "ms=1000 cpu=100 mem=100 gpu=0".clone_into(&mut batch.payload);
    batch.steps[0].needs.cpu_milli = 100;
    batch.steps[0].needs.memory_mib = 100;
    batch.schedule = Some(Schedule {
        first_ms: sim.now().wall_ms + 500,
        every_ms: 2000,
        times,
    });
    batch
}

// Guards against a job that is shown as failed, though no run has failed: two
// occurrences that come due in an outage of the store make a record that it
// does not accept, as in review/9.
#[test]
fn occurrences_that_come_due_in_an_outage_can_be_stored() {
    let mut sim = Sim::new(8, 1);
    sim.max_value_bytes = 30_000;
    sim.run(500);
    let batch = timed(&sim, 300, 6);
    sim.submit(batch);
    sim.run(7000);
    sim.store_up = false;
    sim.run(4500);
    sim.store_up = true;
    assert!(sim.run_until(60_000, Sim::all_ended));
    assert_eq!(sim.state(BatchId(1)), BatchState::Done);
    assert_eq!(count_events(&sim, "done"), 1800);
    assert_no_violations(&sim, "outage");
}

// Guards against the same for a job of many occurrences that are all due.
#[test]
fn a_job_of_many_due_occurrences_can_be_stored() {
    for takeover in [false, true] {
        let mut sim = Sim::new(2, 1);
        sim.max_value_bytes = 30_000;
        sim.run(500);
        let mut batch = due_occurrences(2000);
        batch.steps[0].needs.accelerators = 1;
        batch.payload = "ms=30 cpu=1000 mem=1000 gpu=1".to_owned();
        sim.submit(batch);
        sim.run(2000);
        if takeover {
            sim.take_over();
        }
        assert!(sim.run_until(60_000, Sim::all_ended));
        assert_eq!(sim.state(BatchId(1)), BatchState::Done);
        assert_eq!(count_events(&sim, "done"), 2000);
        assert_no_violations(&sim, "due occurrences");
    }
}
