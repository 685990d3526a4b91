//! The health of the workers: which of them fail the runs that they start, and
//! how much work each may get.
//!
//! The decisions are meant for workers that fail every run at once while their
//! health checks pass. Such a worker is always empty, so it attracts all work
//! that waits, and uses up the attempts of many jobs within seconds.
//!
//! A worker becomes suspect after one failure without progress soon after the
//! start, or when its other failures are improbable at the rate at which tasks
//! fail by their own fault. It gets no work during a backoff, then one task as
//! a probe, and then twice as many after each success.
//!
//! All of it is soft state: a new coordinator begins with healthy workers.

use std::{collections::BTreeMap, time::Duration};

use figrill_state::batch::{BatchId, TaskId};

mod failure_rate;

pub(super) use failure_rate::FailureRates;
use failure_rate::Score;

/// The backoff after the first suspicion. It doubles with each relapse.
const MIN_BACKOFF: Duration = Duration::from_secs(1);

/// The longest backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// How long after its last suspicion or trial another suspicion of a worker
/// counts as a relapse.
const RELAPSE_WINDOW: Duration = Duration::from_secs(10);

/// How long a worker waits for tasks in each stage of its trial. Without any
/// until then, it counts as healthy.
const MAX_TRIAL_WAIT: Duration = Duration::from_secs(8);

/// The number of concurrent trial tasks whose success ends the trial: the
/// accelerators of a usual worker.
const MAX_TRIAL_TASKS: u32 = 8;

/// How long tasks on their last attempt avoid a worker after a failure there.
const RECENT_FAILURE: Duration = Duration::from_secs(4);

/// How long after a suspicion other workers are assumed to have the same fault
/// until their runs make progress.
const ALARM_TIME: Duration = Duration::from_secs(10);

/// How long after its start a run that has made progress shows that its worker
/// is not faulty.
const MAX_PROOF_AGE: Duration = Duration::from_secs(3);

/// The fraction of the expected run time in which a failure without progress
/// counts against the worker.
const EARLY_FRACTION: f64 = 0.1;

/// The fraction of the expected run time after which a trial run has passed.
const PASS_FRACTION: f64 = 0.2;

/// The bounds of both times. Reports may take as long as the lower one; within
/// the upper one, runs on a worker without a fault make progress.
const MIN_RUN_CHECK: Duration = Duration::from_millis(300);
const MAX_RUN_CHECK: Duration = Duration::from_secs(1);

/// How long a trial run without any reported progress has to last to pass.
/// Runs that stand still are stopped before, unless they are very long ones.
const MAX_SILENT_TRIAL: Duration = Duration::from_secs(4);

/// Suspicions are ignored when more than one in this many workers is suspect.
const MAX_SUSPECT_DIVISOR: usize = 3;

/// The number of workers on which runs of a job that never makes progress
/// fail early before its failures need those of another job as confirmation.
const UNCONFIRMED_WORKERS: usize = 3;

/// What a failed run says about its worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Evidence {
    /// The run failed without progress soon after its start, or the worker
    /// refused it or let it stand still.
    Strong,
    /// The run failed later. Tasks do so by their own fault as well.
    Weak,
}

/// A failed run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Failure<'a> {
    pub(super) agent: &'a str,
    pub(super) job: BatchId,
    pub(super) queue: &'a str,
    pub(super) evidence: Evidence,
    /// Whether other runs of the job have made progress, so that its tasks
    /// are not all faulty.
    pub(super) job_progresses: bool,
}

/// Why and for how long a worker became suspect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Suspicion {
    pub(super) evidence: Evidence,
    pub(super) backoff: Duration,
    /// The logarithm of the likelihood ratio of the weak evidence.
    pub(super) score: f64,
}

/// The state of a trial run, as far as its worker's health is concerned.
#[derive(Clone, Copy, Debug)]
pub(super) struct TrialState {
    /// The time since its start was ordered; `None` until it is running.
    pub(super) running_for: Option<Duration>,
    pub(super) has_progressed: bool,
    /// The expected duration of the run.
    pub(super) expected: Duration,
}

impl TrialState {
    fn has_passed(&self) -> bool {
        let check = run_check(self.expected, PASS_FRACTION);
        self.running_for.is_some_and(|time| {
            time >= MAX_SILENT_TRIAL || time >= check && self.has_progressed
        })
    }
}

/// Returns whether a run without progress that failed after `elapsed` is
/// strong evidence against its worker.
pub(super) fn is_early(elapsed: Duration, expected: Duration) -> bool {
    elapsed <= run_check(expected, EARLY_FRACTION)
}

fn run_check(expected: Duration, fraction: f64) -> Duration {
    expected
        .mul_f64(fraction)
        .clamp(MIN_RUN_CHECK, MAX_RUN_CHECK)
}

/// A task that a worker got during its trial.
#[derive(Clone, Debug)]
struct TrialRun {
    task: TaskId,
    run: u32,
    passed: bool,
}

#[derive(Clone, Debug, Default)]
enum Stage {
    #[default]
    Healthy,
    /// The worker gets no work.
    Backoff { until: Duration },
    /// The worker gets up to `limit` tasks. A limit of one is the probe.
    Trial {
        limit: u32,
        since: Duration,
        runs: Vec<TrialRun>,
    },
}

/// The record of one worker.
#[derive(Debug, Default)]
struct Record {
    stage: Stage,
    backoff: Duration,
    /// When it was last suspect or on trial.
    doubted_at: Option<Duration>,
    failed_at: Option<Duration>,
    /// When the latest of its runs that have made progress was started.
    proven_at: Option<Duration>,
    /// The latest early failure of each job, by time.
    early_failures: Vec<(Duration, BatchId)>,
    score: Score,
}

impl Record {
    fn suspect(&mut self, now: Duration) -> Duration {
        let relapses =
            self.doubted_at.is_some_and(|at| now <= at + RELAPSE_WINDOW);
        self.backoff = if relapses {
            (self.backoff * 2).clamp(MIN_BACKOFF, MAX_BACKOFF)
        } else {
            MIN_BACKOFF
        };
        self.stage = Stage::Backoff {
            until: now + self.backoff,
        };
        self.doubted_at = Some(now);
        self.score = Score::default();
        self.backoff
    }

    const fn is_suspect(&self) -> bool {
        matches!(
            self.stage,
            Stage::Backoff { .. } | Stage::Trial { limit: 1, .. }
        )
    }

    /// Ends the backoff, evaluates the trial runs and begins the next stage.
    /// Returns whether the worker became healthy.
    fn advance(
        &mut self,
        now: Duration,
        state: impl Fn(TaskId, u32) -> Option<TrialState>,
    ) -> bool {
        match &mut self.stage {
            Stage::Healthy => return false,
            Stage::Backoff { until } if now < *until => {}
            Stage::Backoff { .. } => self.begin_trial(now, 1),
            Stage::Trial { limit, since, runs } => {
                for run in &mut *runs {
                    run.passed |= state(run.task, run.run)
                        .is_some_and(|s| s.has_passed());
                }
                // A run that was stopped or lost says nothing.
                runs.retain(|r| r.passed || state(r.task, r.run).is_some());
                let (limit, since) = (*limit, *since);
                let passed = runs.iter().all(|r| r.passed);
                if runs.is_empty() && now >= since + MAX_TRIAL_WAIT {
                    self.stage = Stage::Healthy;
                } else if !runs.is_empty() && passed {
                    self.begin_trial(now, limit * 2);
                }
            }
        }
        self.doubted_at = Some(now);
        matches!(self.stage, Stage::Healthy)
    }

    fn begin_trial(&mut self, now: Duration, limit: u32) {
        self.stage = if limit > MAX_TRIAL_TASKS {
            Stage::Healthy
        } else {
            Stage::Trial {
                limit,
                since: now,
                runs: Vec::new(),
            }
        };
    }

    fn failed_recently(&self, now: Duration) -> bool {
        self.failed_at.is_some_and(|at| now < at + RECENT_FAILURE)
    }
}

/// The health of all workers.
#[derive(Debug, Default)]
pub(super) struct Health {
    records: BTreeMap<String, Record>,
    rates: FailureRates,
    /// Whether so many workers are suspect that suspicions are ignored.
    is_ignored: bool,
    /// When a worker became suspect last.
    suspected_at: Option<Duration>,
    /// When the first of a series of suspicions was, each of which is at most
    /// [`ALARM_TIME`] after the one before.
    alarm_at: Duration,
}

impl Health {
    /// Records a failed run. Returns the suspicion if it made its worker
    /// suspect. Further failures during a backoff change nothing.
    pub(super) fn record_failure(
        &mut self,
        now: Duration,
        failure: &Failure<'_>,
    ) -> Option<Suspicion> {
        let is_confirmed = failure.evidence == Evidence::Strong
            && (failure.job_progresses
                || self.confirms_early_failure(now, failure));
        let rate = self.rates.rate(failure.queue);
        if failure.evidence == Evidence::Weak {
            self.rates.record(failure.queue, true);
        }
        let record = self.records.entry(failure.agent.to_owned()).or_default();
        let is_confirmed = is_confirmed
            || failure.evidence == Evidence::Strong
                && matches!(record.stage, Stage::Trial { .. });
        record.failed_at = Some(now);
        if failure.evidence == Evidence::Strong {
            record.early_failures.retain(|(at, job)| {
                now < *at + RELAPSE_WINDOW && *job != failure.job
            });
            record.early_failures.push((now, failure.job));
        } else {
            record.score.record_failure(now, rate, failure.job);
        }
        if matches!(record.stage, Stage::Backoff { .. }) {
            return None;
        }
        let score = record.score.value(now);
        if !is_confirmed && !record.score.is_improbable(now) {
            return None;
        }
        let is_new = self.suspected_at.is_none_or(|at| now > at + ALARM_TIME);
        if is_new {
            self.alarm_at = now;
        }
        self.suspected_at = Some(now);
        Some(Suspicion {
            evidence: failure.evidence,
            backoff: record.suspect(now),
            score,
        })
    }

    /// Returns whether an early failure of a job without any progress counts
    /// against the worker. A job that always fails at once does so everywhere:
    /// after a few workers, only those on which other jobs failed as well
    /// become suspect.
    fn confirms_early_failure(
        &self,
        now: Duration,
        failure: &Failure<'_>,
    ) -> bool {
        let recent =
            |(at, _): &&(Duration, BatchId)| now < *at + RELAPSE_WINDOW;
        let others = self.records.iter().filter(|(agent, record)| {
            let mut failures = record.early_failures.iter().filter(recent);
            *agent != failure.agent
                && failures.any(|(_, job)| *job == failure.job)
        });
        let record = self.records.get(failure.agent);
        others.count() < UNCONFIRMED_WORKERS
            || record.is_some_and(|r| {
                let mut failures = r.early_failures.iter().filter(recent);
                failures.any(|(_, job)| *job != failure.job)
            })
    }

    /// Records a run that completed its work.
    pub(super) fn record_success(
        &mut self,
        now: Duration,
        agent: &str,
        queue: &str,
        task: TaskId,
    ) {
        let rate = self.rates.rate(queue);
        self.rates.record(queue, false);
        let record = self.records.entry(agent.to_owned()).or_default();
        record.score.record_success(now, rate);
        if let Stage::Trial { runs, .. } = &mut record.stage {
            for run in runs.iter_mut().filter(|r| r.task == task) {
                run.passed = true;
            }
        }
    }

    /// Records that a run that started at `started_at` has made progress.
    pub(super) fn record_progress(
        &mut self,
        agent: &str,
        started_at: Duration,
    ) {
        if let Some(record) = self.records.get_mut(agent) {
            record.proven_at = record.proven_at.max(Some(started_at));
        } else {
            let record = Record {
                proven_at: Some(started_at),
                ..Record::default()
            };
            self.records.insert(agent.to_owned(), record);
        }
    }

    /// Returns whether any worker became suspect within [`ALARM_TIME`], and no
    /// run has shown since that this one is not faulty. Several often fail at
    /// the same time, and each is noticed only when it gets work.
    pub(super) fn is_unproven(&self, now: Duration, agent: &str) -> bool {
        let is_alarmed =
            self.suspected_at.is_some_and(|at| now <= at + ALARM_TIME);
        let proven_at = self.records.get(agent).and_then(|r| r.proven_at);
        let oldest_proof =
            self.alarm_at.max(now.saturating_sub(MAX_PROOF_AGE));
        is_alarmed && proven_at.is_none_or(|at| at < oldest_proof)
    }

    /// Records that a run was placed. Returns whether it is a probe.
    pub(super) fn record_placement(
        &mut self,
        agent: &str,
        task: TaskId,
        run: u32,
    ) -> bool {
        let stage = self.records.get_mut(agent).map(|r| &mut r.stage);
        let Some(Stage::Trial { limit, runs, .. }) = stage else {
            return false;
        };
        runs.push(TrialRun {
            task,
            run,
            passed: false,
        });
        *limit == 1
    }

    /// Records another incarnation of a worker's upstream: a worker in its
    /// backoff is probed at once.
    pub(super) fn record_restart(&mut self, now: Duration, agent: &str) {
        let Some(record) = self.records.get_mut(agent) else {
            return;
        };
        record.score = Score::default();
        record.early_failures.clear();
        record.failed_at = None;
        if !matches!(record.stage, Stage::Healthy) {
            record.begin_trial(now, 1);
        }
    }

    /// Advances the trials of all workers. `state` returns the state of a
    /// current run. Returns the workers that became healthy.
    pub(super) fn advance(
        &mut self,
        now: Duration,
        state: impl Fn(TaskId, u32) -> Option<TrialState>,
    ) -> Vec<String> {
        let records = self.records.iter_mut();
        records
            .filter_map(|(agent, record)| {
                record.advance(now, &state).then(|| agent.clone())
            })
            .collect()
    }

    /// Returns the number of further tasks that a worker may get.
    pub(super) fn max_tasks(&self, agent: &str) -> u32 {
        if self.is_ignored {
            return u32::MAX;
        }
        match self.records.get(agent).map(|r| &r.stage) {
            None | Some(Stage::Healthy) => u32::MAX,
            Some(Stage::Backoff { .. }) => 0,
            Some(Stage::Trial { limit, runs, .. }) => {
                let placed = u32::try_from(runs.len()).unwrap_or(u32::MAX);
                limit.saturating_sub(placed)
            }
        }
    }

    /// Decides whether suspicions are ignored, from the agents of all workers
    /// that could get work. Returns the number of suspect workers if they are
    /// ignored from now on.
    pub(super) fn update_scope(&mut self, agents: &[String]) -> Option<usize> {
        let workers = agents.len();
        let suspect = agents.iter().filter(|a| self.is_suspect(a)).count();
        let was_ignored = self.is_ignored;
        self.is_ignored = suspect * MAX_SUSPECT_DIVISOR > workers;
        (self.is_ignored && !was_ignored).then_some(suspect)
    }

    /// Returns the number of suspect workers.
    pub(super) fn suspect_workers(&self) -> usize {
        self.records.values().filter(|r| r.is_suspect()).count()
    }

    /// Returns whether suspicions are ignored.
    pub(super) const fn is_ignored(&self) -> bool {
        self.is_ignored
    }

    /// Returns whether a worker gets nothing, or at most a probe.
    pub(super) fn is_suspect(&self, agent: &str) -> bool {
        self.records.get(agent).is_some_and(Record::is_suspect)
    }

    /// Returns whether a run failed on a worker recently, or whether the
    /// worker has not passed its trial yet.
    pub(super) fn is_doubtful(&self, now: Duration, agent: &str) -> bool {
        self.records.get(agent).is_some_and(|r| {
            r.failed_recently(now) || !matches!(r.stage, Stage::Healthy)
        })
    }
}
