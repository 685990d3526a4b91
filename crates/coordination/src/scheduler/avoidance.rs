//! Which workers a group of tasks avoids because runs have failed there.
//!
//! The rules are meant for workers that fail every run at once, and for tasks
//! that fail by their own fault: both use up the attempts of a job, after
//! which it has failed for its caller.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use figrill_state::batch::TaskId;

use super::{
    Now, Scheduler,
    job::{FailedRun, Job},
    place::{Candidate, PlacementRequest},
    task_group::TaskGroup,
};

/// How long a task avoids a worker on which it failed.
const EXCLUSION_TIME: Duration = Duration::from_secs(30);

/// The number of workers without a fault of their own on which a task has
/// failed when it decides whether its job can succeed.
const DECISIVE_FAILURES: usize = 2;

/// How the tasks of a group have failed so far. Tasks with the same history
/// are placed together.
#[derive(Clone, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct FailureHistory {
    /// The agents on which one of them has failed.
    agents: Vec<String>,
    /// When one of them failed last.
    failed_at: Option<Duration>,
    /// Whether another failed run fails the job.
    is_last_attempt: bool,
}

/// The agents that a group avoids.
#[derive(Debug, Default)]
pub(super) struct Avoidance {
    /// The agents that it avoids if it fits on the others without being
    /// spread; `None` if there are no more than in `agents`.
    pub(super) preferred: Option<Vec<String>>,
    pub(super) agents: Vec<String>,
    /// The agents that it still avoids when nothing fits elsewhere; `None` if
    /// it waits instead.
    pub(super) fallback: Option<Vec<String>>,
    /// Whether the group is a claim that would miss its time limit if it did
    /// not use a suspect worker when nothing else fits.
    pub(super) is_pressed_claim: bool,
}

impl Scheduler {
    /// Returns the agents that a group avoids.
    pub(super) fn avoidance(
        &self,
        now: Now,
        group: &TaskGroup,
        candidates: &[Candidate],
    ) -> Avoidance {
        let Some(job) = self.jobs.get(&group.first().job) else {
            return Avoidance::default();
        };
        if !self.features.worker_health {
            let is_empty = job.excluded_agents.is_empty();
            return Avoidance {
                preferred: None,
                agents: job.excluded_agents.clone(),
                fallback: (!is_empty).then(Vec::new),
                is_pressed_claim: false,
            };
        }
        let history = &group.history;
        let mut excluded = history.agents.clone();
        if !fits_without(job, group, candidates, &excluded) {
            excluded.clear();
        }
        let mut unfit = Vec::new();
        let mut doubtful = Vec::new();
        let mut unproven = Vec::new();
        for Candidate { agent, .. } in candidates {
            let is_suspect = self.health.is_suspect(agent);
            let takes_probes = !group.gang && !history.is_last_attempt;
            if is_suspect && !takes_probes && !self.health.is_ignored() {
                unfit.push(agent.clone());
            } else if history.is_last_attempt
                && self.health.is_doubtful(now.monotonic, agent)
            {
                doubtful.push(agent.clone());
            } else if history.is_last_attempt
                && self.health.is_unproven(now.monotonic, agent)
            {
                unproven.push(agent.clone());
            }
        }
        let is_pressed_claim =
            group.claim && self.claim_is_pressed(now, group);
        let fallback = if group.claim {
            // Whatever has to be stopped for it elsewhere takes too long now.
            let suspect = |a: &String| self.health.is_suspect(a);
            is_pressed_claim
                .then(|| excluded.iter().filter(|a| suspect(a)).cloned())
                .map(|agents| agents.chain(unfit.iter().cloned()).collect())
        } else {
            let is_late = now.wall_ms >= group.latest_start_ms;
            let agents = excluded.iter().chain(&unfit).cloned();
            (is_late && !doubtful.is_empty()).then(|| agents.collect())
        };
        let agents: Vec<String> =
            excluded.into_iter().chain(unfit).chain(doubtful).collect();
        let preferred = (!unproven.is_empty()).then(|| {
            let all = agents.iter().cloned().chain(unproven);
            all.collect()
        });
        Avoidance {
            preferred,
            agents,
            fallback,
            is_pressed_claim,
        }
    }

    /// Returns whether a claim cannot wait any longer for other workers, since
    /// to preempt runs there takes the rest of its time. A claim that failed
    /// after the limit for its start has met it, and waits afresh.
    fn claim_is_pressed(&self, now: Now, group: &TaskGroup) -> bool {
        let start_limit = group.ready_at + self.limits.claim_start;
        let failed_late =
            group.history.failed_at.filter(|at| *at >= start_limit);
        let waits_since = failed_late.unwrap_or(group.ready_at);
        now.monotonic >= waits_since + self.max_preemption_wait()
    }
}

/// Returns whether the group would fit on the workers other than `excluded` if
/// these were empty. A worker that gets no work now counts as well.
fn fits_without(
    job: &Job,
    group: &TaskGroup,
    candidates: &[Candidate],
    excluded: &[String],
) -> bool {
    let Some(step) = job.batch.step(group.first()) else {
        return true;
    };
    let request = PlacementRequest {
        service: &job.batch.service,
        step,
        tasks_by_agent: &BTreeMap::new(),
        excluded_agents: excluded,
        prefer_fast: false,
        demand: None,
        ignores_suspicion: false,
    };
    let needed = if group.gang { group.count() } else { 1 };
    let fit = candidates
        .iter()
        .map(|c| request.fitting_tasks(c, &c.capacity));
    excluded.is_empty() || fit.fold(0, u32::saturating_add) >= needed
}

/// Splits a group into groups of tasks that failed on the same workers. A gang
/// stays whole, and avoids the workers on which any member failed.
///
/// While there is a decisive task, the others of its step wait until it has
/// ended or is past half of its work.
pub(super) fn split(
    now: Now,
    job: &Job,
    mut group: TaskGroup,
) -> Vec<TaskGroup> {
    if group.gang {
        let history = history(now, job, &group.tasks);
        return vec![TaskGroup { history, ..group }];
    }
    let work_per_task = group.demand.work / f64::from(group.count());
    if holds_siblings(now, job, group.first()) {
        group.tasks.retain(|t| is_decisive(job, *t));
    }
    let (failed, others): (Vec<TaskId>, Vec<TaskId>) =
        group.tasks.iter().partition(|t| {
            job.failed_runs.contains_key(t) || job.is_last_attempt(**t)
        });
    let mut groups: BTreeMap<FailureHistory, TaskGroup> = BTreeMap::new();
    for task in failed {
        let history = history(now, job, &[task]);
        let key = FailureHistory {
            failed_at: None,
            ..history.clone()
        };
        let part = groups.entry(key).or_insert_with(|| TaskGroup {
            tasks: Vec::new(),
            history: history.clone(),
            ..group.clone()
        });
        part.tasks.push(task);
        part.history.failed_at = part.history.failed_at.max(history.failed_at);
    }
    group.tasks = others;
    groups
        .into_values()
        .chain([group])
        .filter(|part| !part.tasks.is_empty())
        .map(|mut part| {
            part.demand.work = work_per_task * f64::from(part.count());
            part
        })
        .collect()
}

/// Returns whether a task of the same step is decisive and has neither ended
/// nor run past half of its work.
fn holds_siblings(now: Now, job: &Job, task: TaskId) -> bool {
    let estimate_ms = job.batch.step(task).map_or(0, |s| s.estimate_ms);
    let half = Duration::from_millis(estimate_ms) / 2;
    let of_step = job
        .failed_runs
        .keys()
        .filter(|t| t.occurrence == task.occurrence && t.step == task.step);
    of_step.filter(|t| is_decisive(job, **t)).any(|t| {
        let Some(run) = job.runs.get(t) else {
            return true;
        };
        let started_at = run.ordered_at.unwrap_or(now.monotonic);
        run.percent < 50 && now.monotonic < started_at + half
    })
}

/// Returns whether a task is on its last attempt after failures on different
/// workers that are not the cause. Its job probably cannot succeed.
fn is_decisive(job: &Job, task: TaskId) -> bool {
    let is_open = job.task(task).is_some_and(|t| !t.done);
    let runs = job.failed_runs.get(&task).into_iter().flatten();
    let agents: BTreeSet<&str> = runs
        .filter(|r| !r.is_workers_fault)
        .map(|r| r.agent.as_str())
        .collect();
    is_open && agents.len() >= DECISIVE_FAILURES && job.is_last_attempt(task)
}

fn history(now: Now, job: &Job, tasks: &[TaskId]) -> FailureHistory {
    let runs = tasks
        .iter()
        .filter_map(|t| job.failed_runs.get(t))
        .flatten();
    let recent: Vec<&FailedRun> = runs
        .filter(|r| now.monotonic < r.at + EXCLUSION_TIME)
        .collect();
    let mut agents: Vec<String> =
        recent.iter().map(|r| r.agent.clone()).collect();
    agents.sort_unstable();
    agents.dedup();
    FailureHistory {
        agents,
        failed_at: recent.iter().map(|r| r.at).max(),
        is_last_attempt: tasks.iter().any(|t| job.is_last_attempt(*t)),
    }
}
