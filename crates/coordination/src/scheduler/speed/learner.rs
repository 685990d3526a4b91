//! Speeds of workers with a confidence, learnt from the progress of runs.
//!
//! This addresses sites whose workers differ by a factor of two or three, at
//! the start of a term, when nothing is known, and workers that become several
//! times slower for some seconds.
//!
//! A run is one observation of its worker, however often its progress is
//! reported: tasks of one step differ too. What a task needs is inferred from
//! the other runs of its step and from the estimate of its caller, which is
//! corrected by what the work of its queue took.

use std::{collections::BTreeMap, time::Duration};

use figrill_state::batch::{BatchId, TaskId};

use super::{
    Observation, StepKey,
    belief::Belief,
    queue_ratio::{QueueRatios, median},
    run_rate::{Gain, RunRate},
    worker_speed::{Evidence, WorkerSpeed},
};

/// The variance of the work of the tasks of one step.
const TASK_VARIANCE: f64 = 0.2 * 0.2;

/// The maximum number of runs that one run is compared with.
const MAX_COMPARED: usize = 24;

/// The number of compared runs from which their median is used. It is not
/// affected by a single straggler.
const MIN_FOR_MEDIAN: usize = 3;

/// The variance of a median of values of a normal distribution, relative to
/// that of their mean.
const MEDIAN_VARIANCE_FACTOR: f64 = 1.57;

/// A run counts as slow below this fraction of its own earlier rate, as a
/// natural logarithm.
const SUDDEN_SLOW_LN: f64 = -0.6;

/// The same for a run that has no earlier rate, relative to what is expected
/// of its task and its worker. Tasks vary more than a single run does.
const INITIAL_SLOW_LN: f64 = -0.9;

/// The number of standard deviations of what is expected that a run without an
/// earlier rate has to fall short by as well.
const INITIAL_SLOW_SDS: f64 = 2.0;

/// The age up to which windows of other runs of a step are compared.
const MAX_WINDOW_AGE: Duration = Duration::from_millis(1500);

/// The progress, in percent, from which a run counts for the ratio of its
/// queue.
const MIN_RATIO_PERCENT: f64 = 15.0;

/// The change of a speed, as a natural logarithm, that is logged.
const LOGGED_CHANGE_LN: f64 = 0.13;

/// The highest standard deviation of a speed that is logged.
const MAX_LOGGED_SD: f64 = 0.2;

/// The runs of one step.
#[derive(Debug, Default)]
struct StepRuns {
    queue: String,
    /// The logarithm of the rate that the estimate implies, in percent per
    /// second; zero if there is no estimate.
    nominal: f64,
    has_estimate: bool,
    /// By the index of the task.
    runs: BTreeMap<u32, RunRate>,
}

/// What an observed run works on.
pub(in super::super) struct Work<'a> {
    pub(in super::super) queue: &'a str,
    /// The estimate of its run time; `None` if the run is known to take longer
    /// than that, as its gang is spread over racks.
    pub(in super::super) estimate: Option<Duration>,
}

/// A change that is logged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(in super::super) enum SpeedChange {
    /// The learnt speed of a worker has moved.
    Learnt(Belief),
    /// A worker has suddenly become slow.
    Slowed(Belief),
    /// A worker is no longer slow.
    Restored(Belief),
}

/// The learnt speeds of all workers.
#[derive(Debug, Default)]
pub(in super::super) struct LearntSpeeds {
    workers: BTreeMap<String, WorkerSpeed>,
    steps: BTreeMap<StepKey, StepRuns>,
    ratios: QueueRatios,
}

impl LearntSpeeds {
    /// Returns the speed of a worker at present, as a natural logarithm.
    pub(in super::super) fn speed(
        &self,
        now: Duration,
        agent: &str,
    ) -> Belief {
        let worker = self.workers.get(agent);
        worker.map_or(Belief::PRIOR, |w| w.present(now))
    }

    /// Returns the ratio of actual to estimated run times of a queue.
    pub(in super::super) fn queue_ratio(&self, queue: &str) -> f64 {
        self.ratios.get(queue).ln.exp()
    }

    /// Returns whether the run is already known.
    pub(in super::super) fn knows(
        &self,
        observation: &Observation<'_>,
    ) -> bool {
        let runs = self.steps.get(&step_key(observation.task));
        let run = runs.and_then(|s| s.runs.get(&observation.task.index));
        run.is_some_and(|r| {
            r.run == observation.run && r.agent == observation.agent
        })
    }

    /// Adds a run at its first report.
    pub(in super::super) fn begin(
        &mut self,
        now: Duration,
        observation: &Observation<'_>,
        work: &Work<'_>,
    ) {
        let task = observation.task;
        self.end(task);
        let worker = self
            .workers
            .entry(observation.agent.to_owned())
            .or_insert_with(|| WorkerSpeed::new(now));
        let rate = RunRate::new(
            observation.agent,
            observation.run,
            worker.settled(now),
            observation.percent,
        );
        let step = self.steps.entry(step_key(task)).or_default();
        let estimate = work.estimate.filter(|e| !e.is_zero());
        work.queue.clone_into(&mut step.queue);
        step.has_estimate = estimate.is_some();
        step.nominal =
            estimate.map_or(0.0, |e| (100.0 / e.as_secs_f64()).ln());
        step.runs.insert(task.index, rate);
    }

    /// Adds the reported progress of a known run. Returns a change that is to
    /// be logged.
    pub(in super::super) fn observe(
        &mut self,
        now: Duration,
        observation: &Observation<'_>,
    ) -> Option<SpeedChange> {
        let task = observation.task;
        let step = self.steps.get_mut(&step_key(task))?;
        let run = step.runs.get_mut(&task.index)?;
        let window = run.advance(
            observation.clock_ms,
            observation.percent,
            step.nominal,
        )?;
        let worker = self.workers.get_mut(observation.agent)?;
        let ratio = step.ratio(observation.agent, &self.ratios);
        let steady = worker.steady(now);
        let shortfall = step.shortfall(task.index, window, ratio, steady);
        let slow = shortfall.is_some() && !step.is_shared(now, task.index);
        let slowed_before = worker.is_slowed(now);
        let run = step.runs.get_mut(&task.index)?;
        run.record(now, window, slow);
        let evidence = Evidence {
            slow_windows: run.slow_windows,
            initially_slow: run.steady_rate().is_none(),
            latest_ln: steady.ln + shortfall.unwrap_or_default(),
            at: now,
            observation: step.observation(task.index, ratio),
        };
        worker.record(task, evidence);
        change(worker, now, slowed_before)
    }

    /// Records that the run of a task has ended.
    pub(in super::super) fn end(&mut self, task: TaskId) {
        let step = self.steps.get(&step_key(task));
        let run = step.and_then(|s| s.runs.get(&task.index));
        let Some(run) = run else {
            return;
        };
        if let Some(worker) = self.workers.get_mut(&run.agent) {
            worker.settle(task);
        }
    }

    /// Removes the runs of a job, and learns from them how long the work of
    /// its queue takes.
    pub(in super::super) fn remove_job(&mut self, job: BatchId) {
        let first = (job, 0, 0);
        let last = (job, u32::MAX, u32::MAX);
        let keys: Vec<StepKey> =
            self.steps.range(first..=last).map(|(k, _)| *k).collect();
        for key in keys {
            let Some(step) = self.steps.remove(&key) else {
                continue;
            };
            let mut ratios = Vec::new();
            for (index, run) in &step.runs {
                let (job, occurrence, step_index) = key;
                let task = TaskId {
                    job,
                    occurrence,
                    step: step_index,
                    index: *index,
                };
                let Some(worker) = self.workers.get_mut(&run.agent) else {
                    continue;
                };
                worker.settle(task);
                if run.steady.percent >= MIN_RATIO_PERCENT {
                    let speed = worker.settled(Duration::ZERO).ln;
                    ratios.push(speed + step.nominal - run.steady.ln_rate());
                }
            }
            if let (true, Some(ratio)) =
                (step.has_estimate, median(&mut ratios))
            {
                self.ratios.record(&step.queue, ratio);
            }
        }
    }
}

impl StepRuns {
    /// Returns the ratio of the step's run times to its estimate, by the runs
    /// on other workers and by its queue; `None` if neither is known.
    fn ratio(&self, agent: &str, ratios: &QueueRatios) -> Option<Belief> {
        let by_queue = self.has_estimate.then(|| ratios.get(&self.queue));
        let mut values = [0.0; MAX_COMPARED];
        let mut count = 0;
        let mut by_runs: Option<Belief> = None;
        let others = self.runs.values().filter(|r| r.agent != agent);
        let comparable = others
            .filter(|r| r.slow_windows == 0)
            .filter_map(|r| Some((r, r.compared()?)));
        for (run, gain) in comparable.take(MAX_COMPARED) {
            let value = Belief {
                ln: run.base.ln + self.nominal - gain.ln_rate(),
                variance: run.base.variance + TASK_VARIANCE + gain.variance(),
            };
            values[count] = value.ln;
            count += 1;
            by_runs = Some(by_runs.map_or(value, |b| b.combine(&value)));
        }
        if count >= MIN_FOR_MEDIAN {
            let middle = median(&mut values[..count]);
            by_runs = by_runs.zip(middle).map(|(b, ln)| Belief {
                ln,
                variance: b.variance * MEDIAN_VARIANCE_FACTOR,
            });
        }
        match (by_queue, by_runs) {
            (Some(queue), Some(runs)) => Some(queue.combine(&runs)),
            (queue, runs) => queue.or(runs),
        }
    }

    /// Returns by how much a run is slow in a window, as a natural logarithm;
    /// `None` if it is not.
    fn shortfall(
        &self,
        index: u32,
        window: Gain,
        ratio: Option<Belief>,
        worker: Belief,
    ) -> Option<f64> {
        let run = self.runs.get(&index)?;
        let (expected, limit) = if let Some(own) = run.steady_rate() {
            (own, SUDDEN_SLOW_LN)
        } else {
            let ratio = ratio?;
            let variance = ratio.variance + worker.variance + TASK_VARIANCE;
            let limit = -INITIAL_SLOW_SDS * variance.sqrt();
            let expected = worker.ln + self.nominal - ratio.ln;
            (expected, limit.min(INITIAL_SLOW_LN))
        };
        let shortfall = window.max_ln_rate() - expected;
        (shortfall < limit).then_some(shortfall)
    }

    /// Returns whether as many other runs of the step, on other workers, are
    /// slow at present as are not: then it is the work that takes longer.
    fn is_shared(&self, now: Duration, index: u32) -> bool {
        let Some(own) = self.runs.get(&index) else {
            return false;
        };
        let others = self.runs.values().filter(|r| r.agent != own.agent);
        let recent = others.filter(|r| {
            r.latest.is_some_and(|(_, at)| now <= at + MAX_WINDOW_AGE)
        });
        let (slow, steady) =
            recent.fold((0_u32, 0_u32), |(slow, steady), run| {
                let is_slow = run.slow_windows > 0;
                (slow + u32::from(is_slow), steady + u32::from(!is_slow))
            });
        slow > 0 && slow >= steady
    }

    /// Returns what a run shows of its worker while it is not slow.
    fn observation(
        &self,
        index: u32,
        ratio: Option<Belief>,
    ) -> Option<Belief> {
        let run = self.runs.get(&index)?;
        let ratio = ratio?;
        run.steady_rate()?;
        let same_worker =
            self.runs.values().filter(|r| r.agent == run.agent).count();
        // The error of the ratio is the same for all runs on this worker.
        #[allow(clippy::cast_precision_loss)]
        let shared_variance = ratio.variance * same_worker as f64;
        let observation = Belief {
            ln: run.steady.ln_rate() - self.nominal + ratio.ln,
            variance: shared_variance + TASK_VARIANCE + run.steady.variance(),
        };
        Some(run.base.discount_outlier(&observation))
    }
}

/// Returns the change of a worker that is to be logged.
fn change(
    worker: &mut WorkerSpeed,
    now: Duration,
    slowed_before: bool,
) -> Option<SpeedChange> {
    let speed = worker.present(now);
    match (slowed_before, worker.is_slowed(now)) {
        (false, true) => return Some(SpeedChange::Slowed(speed)),
        (true, false) => return Some(SpeedChange::Restored(speed)),
        (true, true) => return None,
        (false, false) => {}
    }
    let is_known = speed.sd() <= MAX_LOGGED_SD;
    let moved = worker
        .logged_ln
        .is_none_or(|ln| (speed.ln - ln).abs() >= LOGGED_CHANGE_LN);
    if !is_known || !moved {
        return None;
    }
    worker.logged_ln = Some(speed.ln);
    Some(SpeedChange::Learnt(speed))
}

const fn step_key(task: TaskId) -> StepKey {
    (task.job, task.occurrence, task.step)
}
