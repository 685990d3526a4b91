//! How fast each worker is beside the others, learnt from tasks that are
//! alike.
//!
//! Answers pools whose workers differ, and workers that turn slow: tasks of
//! one step do the same work, so the rates at which they get on tell their
//! workers apart. A gang is as fast as its slowest member.

use std::{collections::BTreeMap, time::Duration};

use figrill_state::batch::{BatchId, TaskId};

/// The shortest time that a rate is taken over.
const SAMPLE: Duration = Duration::from_millis(400);

/// The longest time that progress is waited for before a rate is taken.
const SAMPLE_MAX: Duration = Duration::from_millis(1500);

/// Progress, in percent, that tells a rate well enough.
const SAMPLE_PERCENT: u32 = 4;

/// From here on, in percent, a member of a gang may wait for the others.
const NEARLY_DONE: u32 = 99;

/// How old the rate of another task may be to compare with it.
const COMPARABLE_FOR: Duration = Duration::from_millis(2500);

/// The share of what a comparison says that is believed at once.
const GAIN: f64 = 0.2;

/// Speeds below this, as a logarithm, are taken for a fault that passes.
const FAULT: f64 = -0.4;

/// How long it takes until half of a fault is thought to have passed.
const FAULT_HALF_LIFE: Duration = Duration::from_secs(4);

/// The least change of progress that is thought to have happened, in
/// percent: what is reported is rounded down.
const LEAST_PROGRESS: f64 = 0.5;

/// How fast a worker is, as far as that matters for a choice.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd,
)]
pub(super) enum Pace {
    /// Clearly faster than most.
    Fast,
    /// Like most, or not known.
    #[default]
    Usual,
    /// Clearly slower than most.
    Slow,
    /// So slow that something is wrong with it.
    Faulty,
}

/// Bounds of the paces, as logarithms: 1.11, 0.9 and 0.6 times as fast as
/// most.
const FAST: f64 = 0.104;
const USUAL: f64 = -0.105;
const SLOW: f64 = -0.511;

#[derive(Clone, Copy, Debug)]
struct Speed {
    /// Logarithm of the speed.
    ln: f64,
    at: Duration,
}

/// What is known of a running task.
#[derive(Clone, Debug)]
struct Sample {
    agent: String,
    run: u32,
    /// The upstream's clock, in milliseconds, and progress in percent, when
    /// the present sample began.
    from: (u64, u32),
    /// The latest rate, as the logarithm of percent a second, and when it
    /// was taken.
    rate: Option<(f64, Duration)>,
}

/// Tasks that do the same work.
type Alike = (BatchId, u32, u32);

/// The speeds of all workers.
#[derive(Debug, Default)]
pub(super) struct Speeds {
    speeds: BTreeMap<String, Speed>,
    samples: BTreeMap<Alike, BTreeMap<u32, Sample>>,
}

/// A task that was seen running.
pub(super) struct Seen<'a> {
    pub(super) task: TaskId,
    pub(super) run: u32,
    pub(super) agent: &'a str,
    /// The upstream's clock, in milliseconds.
    pub(super) clock_ms: u64,
    pub(super) percent: u32,
}

impl Speeds {
    /// Takes note of how far a task is.
    pub(super) fn see(&mut self, now: Duration, seen: &Seen<'_>) {
        let task = seen.task;
        let alike = (task.job, task.occurrence, task.step);
        let samples = self.samples.entry(alike).or_default();
        let fresh = Sample {
            agent: seen.agent.to_owned(),
            run: seen.run,
            from: (seen.clock_ms, seen.percent),
            rate: None,
        };
        let sample =
            samples.entry(task.index).or_insert_with(|| fresh.clone());
        if sample.run != seen.run || sample.agent != seen.agent {
            *sample = fresh;
            return;
        }
        if seen.percent >= NEARLY_DONE {
            return;
        }
        let Some(rate) = rate(sample.from, (seen.clock_ms, seen.percent))
        else {
            return;
        };
        sample.from = (seen.clock_ms, seen.percent);
        sample.rate = Some((rate, now));
        self.compare(now, alike, seen.agent, rate);
    }

    /// Compares a rate with those of tasks that are alike, elsewhere.
    fn compare(
        &mut self,
        now: Duration,
        alike: Alike,
        agent: &str,
        rate: f64,
    ) {
        let Some(samples) = self.samples.get(&alike) else {
            return;
        };
        let mut sum = 0.0;
        let mut count = 0_u32;
        for other in samples.values().filter(|s| s.agent != agent) {
            let Some((other_rate, at)) = other.rate else {
                continue;
            };
            if now <= at + COMPARABLE_FOR {
                sum += other_rate - self.ln(now, &other.agent);
                count += 1;
            }
        }
        if count == 0 {
            return;
        }
        let told = rate - sum / f64::from(count);
        let known = self.ln(now, agent);
        let ln = known + GAIN * (told - known);
        let speed = Speed { ln, at: now };
        self.speeds.insert(agent.to_owned(), speed);
    }

    /// Forgets the tasks of a job.
    pub(super) fn forget(&mut self, job: BatchId) {
        let first = (job, 0, 0);
        let last = (job, u32::MAX, u32::MAX);
        let keys: Vec<Alike> =
            self.samples.range(first..=last).map(|(k, _)| *k).collect();
        for key in keys {
            self.samples.remove(&key);
        }
    }

    /// The logarithm of a worker's speed, as far as known.
    fn ln(&self, now: Duration, agent: &str) -> f64 {
        let Some(speed) = self.speeds.get(agent) else {
            return 0.0;
        };
        if speed.ln >= FAULT {
            return speed.ln;
        }
        let since = now.saturating_sub(speed.at).as_secs_f64();
        let left = 0.5_f64.powf(since / FAULT_HALF_LIFE.as_secs_f64());
        FAULT + (speed.ln - FAULT) * left
    }

    /// How fast a worker is.
    pub(super) fn pace(&self, now: Duration, agent: &str) -> Pace {
        let ln = self.ln(now, agent);
        if ln >= FAST {
            Pace::Fast
        } else if ln >= USUAL {
            Pace::Usual
        } else if ln >= SLOW {
            Pace::Slow
        } else {
            Pace::Faulty
        }
    }
}

/// The logarithm of percent a second between two looks; `None` if they tell
/// too little yet.
fn rate(from: (u64, u32), to: (u64, u32)) -> Option<f64> {
    let time = Duration::from_millis(to.0.saturating_sub(from.0));
    let gained = to.1.saturating_sub(from.1);
    let told = time >= SAMPLE && gained >= SAMPLE_PERCENT;
    if !told && time < SAMPLE_MAX {
        return None;
    }
    let gained = f64::from(gained).max(LEAST_PROGRESS);
    Some((gained / time.as_secs_f64()).ln())
}
