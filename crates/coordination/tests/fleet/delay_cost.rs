//! Tests of the order and of preemption by the cost of delay, under loads that
//! exceed the capacity of the site.

mod load;

use std::time::Duration;

use figrill_state::batch::{Batch, BatchId};
use figrill_state::event::Code;
use figrill_state::features::Features;

use crate::sim::{Sim, gang, job};
use crate::{assert_no_violations, count_events};
use load::{Outcome, run_burst};

/// A workspace that no workspace of the simulation guarantees anything.
const UNGUARANTEED: &str = "without a guarantee";

/// The number of workers of a busy site, so many that its budget of lost work
/// allows for the preemption of some runs.
const WORKERS: usize = 8;

pub fn delay_cost() -> Features {
    Features {
        delay_cost: true,
        ..Features::default()
    }
}

fn site(workers: usize) -> Sim {
    Sim::with_features(workers, 1, delay_cost())
}

/// Returns a site with one worker that is free for a while, and others that
/// are taken by urgent work.
fn busy_site() -> Sim {
    let mut sim = site(WORKERS);
    for id in 1001..1000 + u64::try_from(WORKERS).expect("few workers") {
        let mut busy = unguaranteed(job(id, 0, 1, 8, 600_000));
        busy.target = Duration::from_hours(1);
        sim.submit(busy);
    }
    sim.run(500);
    sim
}

/// Returns a job that is not a claim.
fn unguaranteed(batch: Batch) -> Batch {
    Batch {
        workspace: UNGUARANTEED.to_owned(),
        ..batch
    }
}

/// Returns the time at which a job's first task started, in milliseconds.
fn started_ms(sim: &Sim, id: u64) -> Option<u64> {
    let text = format!(" start {id:016x}");
    let line = sim.pool.trace.iter().find(|l| l.contains(&text))?;
    line.split(' ').next()?.parse().ok()
}

/// Returns the details of all events of a kind.
fn details(sim: &Sim, code: Code) -> Vec<&str> {
    let events = sim.events.iter().filter(|(_, e)| e.code == code);
    events.map(|(_, e)| e.detail.as_str()).collect()
}

/// Returns how often the site was asked to stop a job's runs.
fn preemptions_of(sim: &Sim, id: u64) -> usize {
    let victim = format!("victim={id:016x}");
    let details = details(sim, Code::ReclaimStarted);
    details.iter().filter(|d| d.contains(&victim)).count()
}

// Guards against work that ends late although other work, whose delay costs
// less, ends in time: a burst of three priorities that exceeds the capacity.
#[test]
fn a_burst_ends_jobs_in_time_and_loses_less_work() {
    const BURST_MS: u64 = 40_000;
    let mut off = Outcome::default();
    let mut on = Outcome::default();
    for seed in 1..=2 {
        off.add(&run_burst(seed, BURST_MS, Features::default()));
        on.add(&run_burst(seed, BURST_MS, delay_cost()));
    }
    let outcomes = format!("off: {off:?}\non: {on:?}");
    println!("{outcomes}");
    assert_eq!((off.late_claims, on.late_claims), (0, 0), "{outcomes}");
    assert!(on.value > off.value, "{outcomes}");
    assert!(on.lost_core_s * 2.0 <= off.lost_core_s, "{outcomes}");
}

// Guards against late work that holds up work which can still end in time.
#[test]
fn late_work_lets_work_that_can_end_in_time_go_first() {
    for priority in [0, 1, 2] {
        let mut sim = site(1);
        sim.submit(unguaranteed(job(1, 0, 1, 8, 3000)));
        sim.run(500);
        // The first is late from the start; by deadline it would go first.
        let mut late = unguaranteed(job(2, priority, 1, 8, 1000));
        late.stretch = 0.5;
        late.target = Duration::ZERO;
        sim.submit(late);
        let mut in_time = unguaranteed(job(3, priority, 1, 8, 1000));
        in_time.stretch = 10.0;
        sim.submit(in_time);
        assert!(sim.run_until(20_000, Sim::all_ended));
        let starts = (started_ms(&sim, 2), started_ms(&sim, 3));
        assert!(starts.1 < starts.0, "priority {priority}: {starts:?}");
        assert_no_violations(&sim, "late work");
    }
}

// Guards against work without any value for its caller that holds up late work
// with some value.
#[test]
fn work_without_value_goes_last() {
    let mut sim = site(1);
    sim.submit(unguaranteed(job(1, 0, 1, 8, 3000)));
    sim.run(500);
    let mut hopeless = unguaranteed(job(2, 1, 1, 8, 1000));
    hopeless.stretch = 0.1;
    hopeless.target = Duration::ZERO;
    sim.submit(hopeless);
    let mut late = unguaranteed(job(3, 1, 1, 8, 1000));
    late.stretch = 2.0;
    late.target = Duration::ZERO;
    sim.submit(late);
    assert!(sim.run_until(20_000, Sim::all_ended));
    let starts = (started_ms(&sim, 2), started_ms(&sim, 3));
    assert!(starts.1 < starts.0, "{starts:?}");
}

// Guards against the order of deadlines, which starts work with a near
// deadline and little left to do before longer work that has to start now.
#[test]
fn the_work_that_must_start_first_goes_first() {
    let mut sim = site(1);
    sim.submit(unguaranteed(job(1, 0, 1, 8, 1000)));
    sim.run(500);
    // Deadlines after 9 and 10 s; latest starts after 8.5 and 4 s.
    let mut short = unguaranteed(job(2, 1, 1, 8, 500));
    short.stretch = 18.0;
    short.target = Duration::ZERO;
    sim.submit(short);
    let mut long = unguaranteed(job(3, 1, 1, 8, 6000));
    long.stretch = 1.0;
    long.target = Duration::from_secs(4);
    sim.submit(long);
    assert!(sim.run_until(20_000, Sim::all_ended));
    let starts = (started_ms(&sim, 2), started_ms(&sim, 3));
    assert!(starts.1 < starts.0, "{starts:?}");
}

// Guards against late work that never runs, because work that can end in time
// waits all the time, and against late work that then takes all capacity.
#[test]
fn late_work_of_each_priority_starts_in_a_long_overload() {
    // Each turn takes two workers for a second, a tenth of what they do in
    // this time and a little more.
    const MIN_INTERVAL_MS: u64 = 9000;
    let mut sim = site(2);
    // Two thirds more work than the workers can do, and all of it in time.
    let mut id = 100;
    let mut feed = |sim: &mut Sim| {
        for priority in [0, 1] {
            id += 1;
            let mut batch = unguaranteed(job(id, priority, 1, 8, 1000));
            batch.target = Duration::from_mins(10);
            sim.submit(batch);
        }
        sim.run(600);
    };
    for _ in 0..10 {
        feed(&mut sim);
    }
    for late in 1..=3 {
        let priority = u32::try_from(late - 1).expect("a priority");
        let mut batch = unguaranteed(gang(job(late, priority, 2, 8, 1000)));
        batch.stretch = 0.5;
        batch.target = Duration::ZERO;
        sim.submit(batch);
    }
    for _ in 0..100 {
        feed(&mut sim);
    }
    let mut starts: Vec<u64> = Vec::new();
    for late in 1..=3 {
        let start = started_ms(&sim, late);
        starts.push(start.expect("the late job has started"));
    }
    starts.sort_unstable();
    let are_apart = starts.windows(2).all(|w| w[1] - w[0] > MIN_INTERVAL_MS);
    assert!(are_apart, "{starts:?}");
    assert_no_violations(&sim, "a long overload");
}

// Guards against late work that never gets its turn, because a group that no
// worker can run keeps it.
#[test]
fn a_group_that_no_worker_can_run_passes_its_turn_on() {
    let mut sim = site(1);
    let mut id = 100;
    let mut feed = |sim: &mut Sim| {
        id += 1;
        let mut batch = unguaranteed(job(id, 1, 1, 8, 1000));
        batch.target = Duration::from_mins(10);
        sim.submit(batch);
        sim.run(600);
    };
    for late in [1, 2] {
        let mut batch = unguaranteed(job(late, 1, 1, 8, 1000));
        batch.stretch = 0.5;
        batch.target = Duration::ZERO;
        if late == 1 {
            batch.steps[0].requires = Some("missing".to_owned());
        }
        sim.submit(batch);
        feed(&mut sim);
    }
    for _ in 0..80 {
        feed(&mut sim);
    }
    assert_eq!(started_ms(&sim, 1), None);
    assert!(started_ms(&sim, 2).is_some(), "it has had no turn");
}

// Guards against runs that are stopped for work which gains nothing.
#[test]
fn work_that_gains_nothing_preempts_nothing() {
    struct Case {
        name: &'static str,
        /// The estimate of the run in the way, and how long it has worked.
        victim_ms: (u64, u64),
        urgent_stretch: f64,
        urgent_target_ms: u64,
        stops: usize,
    }
    let cases = [
        Case {
            name: "it ends in time only if the run is stopped",
            victim_ms: (30_000, 300),
            urgent_stretch: 1.5,
            urgent_target_ms: 500,
            stops: 1,
        },
        Case {
            name: "it can wait until the run ends",
            victim_ms: (3000, 300),
            urgent_stretch: 1.5,
            urgent_target_ms: 4000,
            stops: 0,
        },
        Case {
            name: "it is late anyway, and keeps that value if it waits",
            victim_ms: (3000, 300),
            urgent_stretch: 0.9,
            urgent_target_ms: 0,
            stops: 0,
        },
        Case {
            name: "it is late anyway, and has no value if it waits",
            victim_ms: (30_000, 300),
            urgent_stretch: 0.9,
            urgent_target_ms: 0,
            stops: 1,
        },
        Case {
            name: "the run loses more than it gains",
            victim_ms: (30_000, 6000),
            urgent_stretch: 1.5,
            urgent_target_ms: 500,
            stops: 0,
        },
    ];
    for case in cases {
        let mut sim = busy_site();
        let (ms, spent_ms) = case.victim_ms;
        let mut victim = job(1, 2, 1, 8, ms);
        // Its deadline does not matter here.
        victim.target = Duration::from_mins(10);
        sim.submit(victim);
        assert!(sim.run_until(1000, |s| started_ms(s, 1).is_some()));
        sim.run(spent_ms);
        let mut urgent = unguaranteed(job(2, 0, 1, 8, 2000));
        urgent.stretch = case.urgent_stretch;
        urgent.target = Duration::from_millis(case.urgent_target_ms);
        sim.submit(urgent);
        sim.run(2500);
        assert_eq!(count_events(&sim, "stopped"), case.stops, "{}", case.name);
        assert_no_violations(&sim, case.name);
    }
}

// Guards against the preemption of a run that would miss its deadline by it,
// although another one would not.
#[test]
fn a_run_that_would_miss_its_deadline_is_spared() {
    let mut sim = site(2);
    for (id, target_ms) in [(1, 1500), (2, 600_000)] {
        let mut victim = job(id, 2, 1, 8, 20_000);
        victim.stretch = 1.0;
        victim.target = Duration::from_millis(target_ms);
        sim.submit(victim);
    }
    assert!(sim.run_until(1000, |s| count_events(s, "start") == 2));
    sim.run(2000);
    sim.submit(job(3, 0, 1, 8, 500));
    assert!(sim.run_until(3000, |s| count_events(s, "start") == 3));
    assert_eq!((preemptions_of(&sim, 1), preemptions_of(&sim, 2)), (0, 1));
}

// Guards against a gang that is stopped in part, and against a loss that
// counts once for each of its members.
#[test]
fn a_gang_is_stopped_whole_and_lost_once() {
    let mut sim = site(2);
    let mut victim = gang(job(1, 2, 2, 8, 20_000));
    victim.target = Duration::from_mins(10);
    sim.submit(victim);
    assert!(sim.run_until(1000, |s| count_events(s, "start") == 2));
    sim.run(1000);
    sim.submit(gang(job(2, 0, 2, 8, 500)));
    assert!(sim.run_until(2700, |s| count_events(s, "start") == 4));
    let stops = details(&sim, Code::ReclaimStarted);
    assert_eq!(stops.len(), 1, "{stops:?}");
    // Two members of 65 cores have worked for about a second.
    let lost = stops[0].split("lost_core_s=").nth(1);
    let lost = lost.and_then(|l| l.split(' ').next()?.parse::<f64>().ok());
    let lost = lost.expect("the lost work");
    assert!((130.0..200.0).contains(&lost), "{lost}");
    assert_no_violations(&sim, "a gang");
}

// Guards against a run that is stopped again and again and never ends.
#[test]
fn a_victim_is_not_stopped_again_and_again() {
    struct Case {
        name: &'static str,
        is_claim: bool,
        victims: u64,
        max_stops: usize,
    }
    let cases = [
        Case {
            name: "for urgent work",
            is_claim: false,
            victims: 1,
            max_stops: 2,
        },
        Case {
            name: "for claims, which take turns between two victims",
            is_claim: true,
            victims: 2,
            max_stops: 4,
        },
    ];
    for case in cases {
        let mut sim = if case.is_claim { site(2) } else { busy_site() };
        for id in 1..=case.victims {
            let mut victim = job(id, 2, 1, 8, 20_000);
            victim.target = Duration::from_mins(10);
            victim.steps[0].checkpoints = true;
            sim.submit(victim);
        }
        sim.run(1000);
        for id in 11..=18 {
            let mut urgent = job(id, 0, 1, 8, 1000);
            urgent.stretch = 1.5;
            urgent.target = Duration::from_millis(500);
            if !case.is_claim {
                urgent = unguaranteed(urgent);
            }
            sim.submit(urgent);
            sim.run(3000);
        }
        for id in 1..=case.victims {
            let stops = preemptions_of(&sim, id);
            assert!(stops > 0, "{}", case.name);
            assert!(stops <= case.max_stops, "{}: {stops}", case.name);
        }
        let have_ended = |sim: &Sim| {
            (1..=case.victims).all(|id| sim.state(BatchId(id)).is_final())
        };
        assert!(sim.run_until(60_000, have_ended), "{}", case.name);
        assert_no_violations(&sim, case.name);
    }
}

// Guards against preemptions that each are worth their cost, and together
// discard most of the site's work. Claims exceed the budget.
#[test]
fn the_lost_work_stays_within_a_budget() {
    for is_claim in [false, true] {
        let mut sim = busy_site();
        let mut victims = job(1, 2, 4, 2, 30_000);
        victims.target = Duration::from_mins(10);
        sim.submit(victims);
        sim.run(6500);
        // Each stops three seconds of a quarter of the worker.
        for id in 11..=14 {
            let mut urgent = job(id, 0, 1, 2, 4000);
            urgent.stretch = 1.5;
            urgent.target = Duration::from_millis(500);
            if !is_claim {
                urgent = unguaranteed(urgent);
            }
            sim.submit(urgent);
        }
        sim.run(2000);
        let stops = details(&sim, Code::ReclaimStarted).len();
        let declined = details(&sim, Code::PreemptionDeclined);
        if is_claim {
            assert_eq!(stops, 4);
            assert!(declined.is_empty(), "{declined:?}");
        } else {
            assert!((1..4).contains(&stops), "{stops}");
            let is_budget = |d: &&str| d.contains("why=budget");
            assert!(declined.iter().any(is_budget), "{declined:?}");
        }
    }
}

// Guards against a log that a waiting group fills with one line per planning
// pass.
#[test]
fn a_declined_preemption_is_logged_once_a_second() {
    let mut sim = site(1);
    let mut victim = job(1, 2, 1, 8, 30_000);
    victim.target = Duration::from_mins(10);
    sim.submit(victim);
    sim.run(12_000);
    let mut urgent = unguaranteed(job(2, 0, 1, 8, 2000));
    urgent.target = Duration::from_secs(4);
    sim.submit(urgent);
    sim.run(3000);
    let declined = details(&sim, Code::PreemptionDeclined);
    assert!((2..=3).contains(&declined.len()), "{declined:?}");
    assert!(declined[0].contains("why=loss gain="), "{declined:?}");
}
