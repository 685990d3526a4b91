//! Loads that exceed a site's capacity, and what they mean for callers.

use std::collections::BTreeMap;
use std::time::Duration;

use figrill_state::batch::{Batch, BatchId};
use figrill_state::event::{Code, NewEvent};
use figrill_state::features::Features;

use super::unguaranteed;
use crate::assert_no_violations;
use crate::sim::{STEP_MS, Sim, gang, job};

/// The number of workers of the site, each with 8 accelerators.
const WORKERS: usize = 8;

/// The accelerators of the claims that are open at a time, at most: the
/// guarantee of one workspace.
const GUARANTEED: u64 = 16;

/// Installations require that claims start within this time.
const MAX_CLAIM_MS: u64 = 2700;

/// The relative values of jobs by priority.
const WEIGHTS: [f64; 3] = [4.0, 3.0, 1.0];

/// The part of its value that a job retains if it ends late.
const LATE_VALUE: f64 = 0.2;

/// The number of cores that one accelerator counts as.
const CORES_PER_ACCELERATOR: u64 = 8;

/// The time after which no job of a load may be open, in milliseconds.
const MAX_LOAD_MS: u64 = 300_000;

/// How jobs of one priority are made.
struct Kind {
    priority: u32,
    /// The time between two submissions, in milliseconds.
    every_ms: u64,
    /// The maximum number of tasks.
    max_count: u64,
    /// The binary logarithm of the maximum number of accelerators of a task.
    max_gpu_log2: u64,
    /// The mean run time, in milliseconds.
    ms: u64,
    /// The maximum error of the estimate, in percent.
    error_percent: u64,
    stretch: f64,
    target_ms: u64,
    /// How many of a hundred jobs checkpoint.
    checkpoint_percent: u64,
    gang: bool,
}

/// The kinds of jobs of the first deployment, fewer and smaller.
const KINDS: [Kind; 3] = [
    Kind {
        priority: 0,
        every_ms: 900,
        max_count: 7,
        max_gpu_log2: 2,
        ms: 2500,
        error_percent: 20,
        stretch: 1.5,
        target_ms: 250,
        checkpoint_percent: 0,
        gang: true,
    },
    Kind {
        priority: 1,
        every_ms: 2000,
        max_count: 9,
        max_gpu_log2: 2,
        ms: 11_000,
        error_percent: 20,
        stretch: 3.0,
        target_ms: 1000,
        checkpoint_percent: 45,
        gang: true,
    },
    Kind {
        priority: 2,
        every_ms: 2500,
        max_count: 40,
        max_gpu_log2: 0,
        ms: 7600,
        error_percent: 60,
        stretch: 3.0,
        target_ms: 3000,
        checkpoint_percent: 45,
        gang: false,
    },
];

/// How the jobs of a load have ended, by priority.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub jobs: [u32; 3],
    pub in_time: [u32; 3],
    /// Jobs that have ended late, but with some value.
    pub late: [u32; 3],
    /// The claims, and those that have ended in time.
    pub claims: u32,
    pub claims_in_time: u32,
    /// Claims whose tasks started after their time limit.
    pub late_claims: u32,
    /// The work of runs that were stopped, without what checkpoints saved.
    pub lost_core_s: f64,
    /// The number of runs that were stopped.
    pub stopped: u32,
    /// The value of the jobs for their callers.
    pub value: f64,
}

impl Outcome {
    pub fn add(&mut self, other: &Self) {
        for priority in 0..3 {
            self.jobs[priority] += other.jobs[priority];
            self.in_time[priority] += other.in_time[priority];
            self.late[priority] += other.late[priority];
        }
        self.claims += other.claims;
        self.claims_in_time += other.claims_in_time;
        self.late_claims += other.late_claims;
        self.lost_core_s += other.lost_core_s;
        self.stopped += other.stopped;
        self.value += other.value;
    }
}

/// A job that was submitted.
struct Submitted {
    batch: Batch,
    at_ms: u64,
    is_claim: bool,
}

/// Submits jobs of all kinds for `burst_ms` milliseconds, which need about
/// twice the capacity, and returns how all of them ended.
pub fn run_burst(seed: u64, burst_ms: u64, features: Features) -> Outcome {
    let mut sim = Sim::with_features(WORKERS, seed, features);
    let mut jobs = plan_jobs(&mut sim, burst_ms);
    jobs.reverse();
    let mut submitted: BTreeMap<BatchId, Submitted> = BTreeMap::new();
    sim.run(500);
    while let Some((at_ms, batch)) = jobs.pop() {
        while sim.now_ms < at_ms {
            sim.run(STEP_MS);
        }
        let is_claim = batch.priority == 0
            && open_claims(&sim, &submitted) + accelerators(&batch)
                <= GUARANTEED;
        let batch = if is_claim { batch } else { unguaranteed(batch) };
        sim.submit(batch.clone());
        let at_ms = sim.now_ms;
        let job = Submitted {
            batch,
            at_ms,
            is_claim,
        };
        submitted.insert(job.batch.id, job);
    }
    assert!(sim.run_until(MAX_LOAD_MS, Sim::all_ended), "seed {seed}");
    assert_no_violations(&sim, &format!("seed {seed}"));
    outcome(&sim, &submitted)
}

/// Returns the jobs of a burst, each with the time of its submission.
fn plan_jobs(sim: &mut Sim, burst_ms: u64) -> Vec<(u64, Batch)> {
    let mut jobs = Vec::new();
    let mut id = 0;
    for kind in &KINDS {
        let mut at_ms = 500 + sim.random(kind.every_ms);
        while at_ms < burst_ms {
            id += 1;
            jobs.push((at_ms, random_job(sim, kind, id)));
            at_ms += kind.every_ms / 2 + sim.random(kind.every_ms);
        }
    }
    jobs.sort_by_key(|(at_ms, batch)| (*at_ms, batch.id));
    jobs
}

fn random_job(sim: &mut Sim, kind: &Kind, id: u64) -> Batch {
    let count = 1 + sim.random(kind.max_count);
    let gpu = 1 << sim.random(kind.max_gpu_log2 + 1);
    let ms = kind.ms / 2 + sim.random(kind.ms);
    let count = u32::try_from(count).expect("a small number");
    let mut batch = job(id, kind.priority, count, gpu, ms);
    let error = 100 - kind.error_percent + sim.random(2 * kind.error_percent);
    batch.steps[0].estimate_ms = ms * error / 100;
    batch.steps[0].checkpoints = sim.random(100) < kind.checkpoint_percent;
    batch.stretch = kind.stretch;
    batch.target = Duration::from_millis(kind.target_ms);
    batch.queue = format!("q{}", kind.priority);
    if kind.gang { gang(batch) } else { batch }
}

fn accelerators(batch: &Batch) -> u64 {
    let step = &batch.steps[0];
    step.needs.accelerators * u64::from(step.count)
}

fn open_claims(sim: &Sim, jobs: &BTreeMap<BatchId, Submitted>) -> u64 {
    let claims = jobs.values().filter(|j| j.is_claim);
    let open = claims.filter(|j| !sim.state(j.batch.id).is_final());
    open.map(|j| accelerators(&j.batch)).sum()
}

fn outcome(sim: &Sim, jobs: &BTreeMap<BatchId, Submitted>) -> Outcome {
    let mut outcome = Outcome::default();
    for (_, event) in &sim.events {
        count_end(&mut outcome, event, jobs);
    }
    count_starts_and_stops(&mut outcome, sim, jobs);
    outcome
}

/// Counts the end of a job, if an event reports one.
fn count_end(
    outcome: &mut Outcome,
    event: &NewEvent,
    jobs: &BTreeMap<BatchId, Submitted>,
) {
    let id = event.job.and_then(|j| u64::try_from(j.0).ok());
    let job = id.and_then(|id| jobs.get(&BatchId(id)));
    let Some(job) = job.filter(|_| event.code == Code::JobEnded) else {
        return;
    };
    let age_ms = number(&event.detail, "age_ms=");
    let due_in_ms = number(&event.detail, "due_in_ms=");
    let priority = job.batch.priority as usize;
    let step = &job.batch.steps[0];
    let work = core_seconds(&job.batch, step.estimate_ms);
    let value = WEIGHTS[priority] * work * f64::from(step.count);
    outcome.jobs[priority] += 1;
    outcome.claims += u32::from(job.is_claim);
    outcome.claims_in_time += u32::from(job.is_claim && due_in_ms >= 0);
    if due_in_ms >= 0 {
        outcome.in_time[priority] += 1;
        outcome.value += value;
    } else if age_ms <= 3 * (age_ms + due_in_ms) {
        outcome.late[priority] += 1;
        outcome.value += value * LATE_VALUE;
    }
}

/// Counts the claims whose first starts are late, and the work of runs that
/// did not complete it.
fn count_starts_and_stops(
    outcome: &mut Outcome,
    sim: &Sim,
    jobs: &BTreeMap<BatchId, Submitted>,
) {
    let mut running: BTreeMap<&str, u64> = BTreeMap::new();
    let mut first_starts: BTreeMap<&str, u64> = BTreeMap::new();
    for line in &sim.pool.trace {
        let words: Vec<&str> = line.split(' ').collect();
        let [ms, event, task, _] = words[..] else {
            continue;
        };
        let ms: u64 = ms.parse().expect("a time");
        if event == "start" {
            let task = task.split('/').next().unwrap_or(task);
            running.insert(task, ms);
            first_starts.entry(task).or_insert(ms);
        } else if let Some(started_ms) = running.remove(task)
            && event != "done"
        {
            let job = &jobs[&id_of_task(task)];
            let spent_ms = ms - started_ms;
            let lost_ms = if job.batch.steps[0].checkpoints {
                spent_ms.min(250)
            } else {
                spent_ms
            };
            outcome.stopped += 1;
            outcome.lost_core_s += core_seconds(&job.batch, lost_ms);
        }
    }
    let mut late: Vec<BatchId> = Vec::new();
    for (task, ms) in first_starts {
        let job = &jobs[&id_of_task(task)];
        if job.is_claim && ms > job.at_ms + MAX_CLAIM_MS {
            late.push(job.batch.id);
        }
    }
    late.sort_unstable();
    late.dedup();
    outcome.late_claims = u32::try_from(late.len()).expect("few claims");
}

fn id_of_task(task: &str) -> BatchId {
    let id = task.split('.').next().and_then(BatchId::parse);
    id.expect("a task")
}

/// Returns the work of one task of a job in `ms` milliseconds.
fn core_seconds(batch: &Batch, ms: u64) -> f64 {
    let needs = &batch.steps[0].needs;
    let cores_milli =
        needs.accelerators * CORES_PER_ACCELERATOR * 1000 + needs.cpu_milli;
    #[allow(clippy::cast_precision_loss)]
    let core_seconds = (cores_milli * ms) as f64 / 1e6;
    core_seconds
}

/// Returns the number that follows a key in the detail of an event.
fn number(detail: &str, key: &str) -> i64 {
    let mut words = detail.split(' ');
    let value = words.find_map(|w| w.strip_prefix(key));
    value.and_then(|v| v.parse().ok()).expect("a number")
}
