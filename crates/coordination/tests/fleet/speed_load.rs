//! Load tests of the placement by learnt speeds: a site whose workers are at
//! 60, 100 and 160 % for one third each, mixed within each rack, under bursts
//! of urgent gangs, long gangs and many small tasks.

use std::fmt::Write;
use std::time::Duration;

use figrill_state::batch::Batch;
use figrill_state::features::Features;

use crate::assert_no_violations;
use crate::sim::{STEP_MS, Sim, gang, job};

const WORKERS: usize = 18;

/// The workers of one rack.
const RACK_WORKERS: usize = 9;

/// How long jobs arrive, in milliseconds.
const LOAD_MS: u64 = 60_000;

/// When the first jobs arrive, in milliseconds.
const START_MS: u64 = 500;

/// The number of stragglers in a hundred tasks.
const STRAGGLER_PERCENT: u64 = 3;

const SEEDS: [u64; 2] = [1, 2];

/// The least gain of urgent gangs that end in time, in percent of all.
const MIN_GAIN_PERCENT: usize = 10;

/// The time in which the last jobs end, in milliseconds.
const DRAIN_MS: u64 = 15_000;

/// A job that arrives, and its deadline, both in milliseconds.
struct Arrival {
    at_ms: u64,
    due_ms: u64,
    batch: Batch,
}

/// The jobs of one priority.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    jobs: usize,
    in_time: usize,
}

/// Returns a site without any runs, whose workers differ in speed.
fn site(seed: u64, worker_speeds: bool) -> Sim {
    let mut sim = Sim::new(WORKERS, seed);
    for (i, node) in sim.pool.nodes.values_mut().enumerate() {
        node.speed_percent = [60, 100, 160][i % 3];
        node.upstream.rack = format!("rack-{}", i / RACK_WORKERS);
    }
    sim.features = Features {
        worker_speeds,
        ..Features::default()
    };
    sim.take_over();
    sim.run(START_MS);
    sim
}

/// Returns a job of a priority. Its caller overestimates or underestimates it,
/// its tasks differ, and some of them are stragglers.
fn random_job(random: &mut Sim, id: u64, priority: u32) -> Batch {
    let work_percent = 70 + random.random(61);
    let accelerators = [1, 2, 4][usize::try_from(random.random(3)).unwrap()];
    let (mut batch, stretch, target_ms, error_percent) = match priority {
        0 => {
            let batch = gang(job(id, 0, 4, accelerators, 21 * work_percent));
            (batch, 1.5, 250, 20)
        }
        1 => {
            let batch = gang(job(id, 1, 6, accelerators, 94 * work_percent));
            (batch, 3.0, 1000, 50)
        }
        _ => (job(id, 2, 20, 1, 81 * work_percent), 3.0, 3000, 90),
    };
    batch.queue = format!("queue-{priority}");
    batch.stretch = stretch;
    batch.target = Duration::from_millis(target_ms);
    let step = &mut batch.steps[0];
    step.same_rack = priority < 2 && random.random(10) < 7;
    let percent = 100 - error_percent + random.random(2 * error_percent + 1);
    step.estimate_ms = step.estimate_ms * percent / 100;
    batch.payload.push_str(" vary=25");
    let count = u64::from(step.count);
    if random.random(100) < STRAGGLER_PERCENT * count {
        let index = 1 + random.random(count);
        let _ = write!(batch.payload, " straggler={index}");
    }
    batch
}

/// Returns the jobs that arrive, in their order. Every third ten seconds, they
/// arrive more than twice as fast.
fn arrivals(seed: u64) -> Vec<Arrival> {
    let mut random = Sim::new(1, seed);
    let mut arrivals = Vec::new();
    let mut at_ms = START_MS;
    for id in 1.. {
        let is_burst = at_ms / 10_000 % 3 == 2;
        let interval_ms = if is_burst { 450 } else { 1300 };
        at_ms +=
            (interval_ms + random.random(interval_ms)) / STEP_MS * STEP_MS;
        if at_ms > LOAD_MS {
            break;
        }
        let kind = usize::try_from(random.random(5)).unwrap();
        let batch = random_job(&mut random, id, [0, 0, 0, 1, 2][kind]);
        let estimate = Duration::from_millis(batch.steps[0].estimate_ms);
        let allowed = estimate.mul_f64(batch.stretch) + batch.target;
        arrivals.push(Arrival {
            at_ms,
            due_ms: at_ms + u64::try_from(allowed.as_millis()).unwrap(),
            batch,
        });
    }
    arrivals
}

/// Lets the jobs of a seed arrive, and returns the outcome by priority.
fn play(seed: u64, worker_speeds: bool) -> [Outcome; 3] {
    let mut sim = site(seed, worker_speeds);
    let arrivals = arrivals(seed);
    for arrival in &arrivals {
        sim.run(arrival.at_ms - sim.now_ms);
        sim.submit(arrival.batch.clone());
    }
    sim.run(DRAIN_MS);
    assert_no_violations(&sim, "workers of different speeds under load");
    let mut outcomes = [Outcome::default(); 3];
    for Arrival { due_ms, batch, .. } in arrivals {
        let outcome = &mut outcomes[batch.priority as usize];
        outcome.jobs += 1;
        let done_ms = sim.done_ms(batch.id);
        outcome.in_time += usize::from(done_ms.is_some_and(|ms| ms <= due_ms));
    }
    outcomes
}

/// Guards against urgent gangs that start in time and end late, as one of
/// their members is on a slow worker.
#[test]
fn learnt_speeds_let_more_urgent_gangs_end_in_time() {
    let in_time = |worker_speeds| {
        let urgent = SEEDS.map(|seed| play(seed, worker_speeds)[0]);
        let jobs: usize = urgent.iter().map(|o| o.jobs).sum();
        let in_time: usize = urgent.iter().map(|o| o.in_time).sum();
        in_time * 100 / jobs
    };
    let (off, on) = (in_time(false), in_time(true));
    assert!(on >= off + MIN_GAIN_PERCENT, "off {off} %, on {on} %");
}
