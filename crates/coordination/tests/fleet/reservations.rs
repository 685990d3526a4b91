//! Tests of capacity that is reserved for a gang that does not fit. Work that
//! would not delay the gang must not wait for it, and the gang must not starve.

use std::time::Duration;

use figrill_coordination::scheduler::WaitReason;
use figrill_state::batch::{Batch, BatchId, BatchState};
use figrill_state::event::{Code, NewEvent};
use figrill_state::features::Features;
use figrill_state::job::JobId;

use crate::delay_cost::delay_cost;
use crate::sim::{Sim, gang, job};
use crate::{assert_no_violations, count_events};

/// The time within which a task starts on capacity that is free, though a gang
/// waits.
const START_LIMIT_MS: u64 = 3000;

/// The time after which a gang has a reservation, if it gets one.
const RESERVATION_MS: u64 = 2000;

fn started(sim: &Sim, id: u64) -> bool {
    let text = format!(" start {id:016x}");
    sim.pool.trace.iter().any(|l| l.contains(&text))
}

/// Returns a job of short tasks that is due after all gangs of these tests.
fn short(id: u64, count: u32) -> Batch {
    Batch {
        stretch: 60.0,
        ..job(id, 1, count, 1, 1000)
    }
}

/// Returns a job of one lasting task.
fn lasting(id: u64, gpu: u64) -> Batch {
    let mut batch = job(id, 2, 1, gpu, 600_000);
    batch.steps[0].persistent = true;
    batch
}

// Guards against a gang that lost a worker and reserves all free capacity for
// as long as a lasting task runs, as in review/7.
#[test]
fn a_gang_that_waits_for_a_lasting_task_holds_back_nothing() {
    let mut sim = Sim::new(4, 1);
    sim.run(500);
    sim.submit(lasting(1, 4));
    assert!(sim.run_until(1000, |s| started(s, 1)));
    // To stop it would lose more than the gang may.
    sim.run(10_000);
    let occupied = sim.agent_of_last_start();
    sim.submit(gang(job(2, 1, 3, 8, 5000)));
    assert!(sim.run_until(1000, |s| started(s, 2)));
    sim.run(500);
    let names: Vec<String> = sim.pool.nodes.keys().cloned().collect();
    let lost = names.iter().find(|name| **name != occupied);
    sim.crash(lost.expect("a member's worker"));
    sim.run(RESERVATION_MS);
    sim.submit(short(3, 1));
    assert!(sim.run_until(START_LIMIT_MS, |s| started(s, 3)));
    assert_no_violations(&sim, "lost worker");
}

/// A run for whose end a gang waits.
struct Case {
    name: &'static str,
    /// Its estimate in milliseconds. It takes ten minutes.
    estimate_ms: u64,
}

// Guards against work that is held back for the end of a run that takes far
// longer than its estimate, or has none.
#[test]
fn a_gang_that_waits_for_an_overdue_run_holds_back_no_short_task() {
    let cases = [
        Case {
            name: "no estimate",
            estimate_ms: 0,
        },
        Case {
            name: "far over its estimate",
            estimate_ms: 100,
        },
    ];
    for case in cases {
        let mut sim = Sim::new(2, 1);
        sim.run(500);
        let mut overdue = job(1, 2, 1, 8, 600_000);
        overdue.steps[0].estimate_ms = case.estimate_ms;
        sim.submit(overdue);
        // To stop it would lose more than the gang may.
        sim.run(40_000);
        sim.submit(gang(job(2, 1, 2, 8, 5000)));
        sim.run(RESERVATION_MS);
        sim.submit(short(3, 1));
        let starts = |s: &Sim| started(s, 3);
        assert!(sim.run_until(START_LIMIT_MS, starts), "{}", case.name);
        assert_no_violations(&sim, case.name);
    }
}

// Guards against a reservation that holds back work that ends before the gang
// can start, and against work that delays the gang.
#[test]
fn only_work_that_ends_in_time_runs_on_reserved_capacity() {
    let mut sim = Sim::new(2, 1);
    sim.run(500);
    // To stop it would lose more than the gang may.
    sim.submit(job(1, 2, 1, 8, 20_000));
    assert!(sim.run_until(1000, |s| started(s, 1)));
    sim.run(10_000);
    sim.submit(gang(job(2, 1, 2, 8, 5000)));
    sim.run(RESERVATION_MS);
    // A stream of work that is due before long, as long or longer than the
    // gang has to wait, and short work.
    for id in 10..20 {
        sim.submit(job(id, 1, 1, 1, 30_000));
    }
    sim.submit(short(3, 4));
    assert!(sim.run_until(START_LIMIT_MS, |s| started(s, 3)));
    assert!(sim.run_until(12_000, |s| started(s, 2)), "the gang starves");
    let before_gang = |id: u64| {
        let start = |id: u64| format!(" start {id:016x}");
        let position = |id| {
            let mut lines = sim.pool.trace.iter();
            lines.position(|l| l.contains(&start(id)))
        };
        position(id).is_some_and(|p| Some(p) < position(2))
    };
    assert!(!(10..20).any(before_gang), "long work has delayed the gang");
    assert_eq!(
        sim.state(BatchId(3)),
        figrill_state::batch::BatchState::Done
    );
    assert_no_violations(&sim, "in time");
}

// Guards against two gangs that reserve what the other one needs.
#[test]
fn gangs_that_wait_for_the_same_workers_run_one_after_the_other() {
    let mut sim = Sim::new(3, 1);
    sim.run(500);
    sim.submit(job(1, 1, 2, 4, 3000));
    assert!(sim.run_until(1000, |s| count_events(s, "start") == 2));
    sim.submit(gang(job(2, 1, 3, 8, 1000)));
    sim.submit(gang(job(3, 1, 3, 8, 1000)));
    assert!(sim.run_until(20_000, Sim::all_ended));
    assert_no_violations(&sim, "two gangs");
}

/// Returns when a job's tasks were started, in milliseconds.
fn starts_of(sim: &Sim, id: u64) -> Vec<u64> {
    let text = format!(" start {id:016x}");
    let lines = sim.pool.trace.iter().filter(|l| l.contains(&text));
    let time = |line: &String| line.split(' ').next()?.parse().ok();
    lines.filter_map(time).collect()
}

/// Returns a site on which an urgent gang that needs all three workers waits
/// for a run of `ms` milliseconds on one of them, which it may not stop.
fn site_with_waiting_gang(ms: u64, features: Features) -> Sim {
    let mut sim = Sim::with_features(3, 1, features);
    sim.run(500);
    sim.submit(job(1, 1, 1, 8, ms));
    assert!(sim.run_until(1000, |s| started(s, 1)));
    // To stop it would lose more than the gang may.
    sim.run(8000);
    sim.submit(gang(job(2, 0, 3, 8, 2100)));
    sim.run(RESERVATION_MS);
    sim
}

/// The time from the end of the run for which a gang waits until the gang
/// starts: other work is stopped meanwhile.
const GANG_START_LIMIT_MS: u64 = 1500;

// Guards against jobs that wait beside idle workers for as long as a gang waits
// for a long run, as in review/13.
#[test]
fn long_and_lasting_work_starts_on_capacity_that_waits_for_a_gang() {
    for features in [Features::default(), delay_cost()] {
        let mut sim = site_with_waiting_gang(95_000, features);
        sim.submit(job(3, 1, 1, 1, 97_000));
        assert!(sim.run_until(START_LIMIT_MS, |s| started(s, 3)), "long");
        sim.submit(lasting(4, 1));
        let lasts = |s: &Sim| started(s, 4);
        assert!(sim.run_until(START_LIMIT_MS, lasts), "lasting");
        assert!(sim.run_until(95_000, |s| count_events(s, "done") == 1));
        assert!(
            sim.run_until(GANG_START_LIMIT_MS, |s| started(s, 2)),
            "the gang is delayed"
        );
        // What was stopped for the gang goes on after it.
        let again =
            |s: &Sim| [3, 4].iter().all(|id| starts_of(s, *id).len() == 2);
        assert!(sim.run_until(2100 + START_LIMIT_MS, again));
        assert_no_violations(&sim, "lent capacity");
    }
}

// Guards against a gang that starves behind work that takes longer than the
// gang waits, when such work comes all the time and fills each hole.
#[test]
fn a_gang_starts_under_a_stream_of_work_that_fills_each_hole() {
    let mut sim = site_with_waiting_gang(28_000, Features::default());
    let mut id = 10;
    let ended = |s: &Sim| s.state(BatchId(1)) == BatchState::Done;
    while !sim.run_until(500, ended) {
        assert!(sim.now_ms < 60_000, "the run does not end");
        sim.submit(lasting(id, 1));
        sim.submit(job(id + 1, 1, 1, 1, 40_000));
        sim.submit(job(id + 2, 1, 1, 2, 3000));
        id += 3;
    }
    assert!(
        sim.run_until(GANG_START_LIMIT_MS, |s| started(s, 2)),
        "the gang starves"
    );
    assert_no_violations(&sim, "a stream of long work");
}

// Guards against a gang that starves behind lasting work because a new
// coordinator does not know which runs use capacity that was reserved.
#[test]
fn a_gang_starts_after_a_change_of_coordinator_although_lasting_work_runs() {
    let mut sim = site_with_waiting_gang(28_000, Features::default());
    for id in 10..14 {
        sim.submit(lasting(id, 2));
    }
    let all = |s: &Sim| (10..14).all(|id| started(s, id));
    assert!(sim.run_until(START_LIMIT_MS, all));
    sim.take_over();
    let ended = |s: &Sim| s.state(BatchId(1)) == BatchState::Done;
    assert!(sim.run_until(30_000, ended));
    assert!(
        sim.run_until(GANG_START_LIMIT_MS, |s| started(s, 2)),
        "the gang starves"
    );
    assert_no_violations(&sim, "change of coordinator");
}

// Guards against a gang whose log does not say why it waits: a lasting task
// that may not be stopped for it holds a worker that it needs.
#[test]
fn a_gang_that_no_end_and_no_stop_helps_is_logged() {
    let mut sim = Sim::new(2, 1);
    sim.run(500);
    sim.submit(lasting(1, 1));
    assert!(sim.run_until(1000, |s| started(s, 1)));
    sim.submit(gang(job(2, 2, 2, 8, 1000)));
    sim.run(RESERVATION_MS);
    let is_blocked = |(_, e): &(u64, NewEvent)| {
        e.code == Code::JobBlocked && e.job == Some(JobId(2))
    };
    assert!(sim.events.iter().any(is_blocked), "not logged");
}

// Guards against a wait that the log does not explain: a job would fit, but the
// capacity is reserved for a gang.
#[test]
fn work_that_waits_beside_free_capacity_is_logged_with_the_reason() {
    let mut sim = Sim::new(2, 1);
    sim.run(500);
    sim.submit(job(1, 2, 1, 8, 20_000));
    assert!(sim.run_until(1000, |s| started(s, 1)));
    sim.run(10_000);
    sim.submit(gang(job(2, 1, 2, 8, 5000)));
    sim.run(RESERVATION_MS);
    sim.submit(job(3, 1, 1, 1, 30_000));
    sim.run(RESERVATION_MS);
    let is_explained = |(_, e): &(u64, NewEvent)| {
        e.code == Code::JobWaits
            && e.job == Some(JobId(3))
            && e.detail.contains("reason=reservation")
    };
    assert!(sim.events.iter().any(is_explained), "not logged");
    let waited = sim
        .scheduler
        .longest_wait(sim.now(), WaitReason::Reservation);
    assert!(waited >= Duration::from_millis(1500), "{waited:?}");
}
