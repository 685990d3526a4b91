//! Capacity for tasks that cannot be placed now.
//!
//! Work of priority 0 preempts runs of lower priority. Other work gets a
//! reservation: capacity that is held back for it as runs end.

use std::{collections::BTreeSet, time::Duration};

use figrill_state::{
    batch::{Resources, TaskId},
    event::Code,
};

use super::{
    Now, Scheduler,
    job::{Job, Run},
    place::{Candidate, PlacementRequest, scaled},
    plan::{TaskGroup, may_spread, tasks_by_agent},
};

/// The number of cores that one accelerator counts as when work is compared.
const CORES_PER_ACCELERATOR: f64 = 8.0;

/// A way to get capacity on one worker.
struct CapacityOption {
    /// The index of the worker in the list of candidates.
    candidate: usize,
    /// The number of tasks that fit once the victims have ended.
    fit: u32,
    /// The runs that have to end.
    victims: Vec<TaskId>,
    /// The work lost in core-seconds, or the waiting time in seconds; only
    /// comparable between options of the same mode.
    cost: f64,
}

/// How capacity is freed.
#[derive(Clone, Copy, Debug, PartialEq)]
enum FreeingMode {
    /// Runs of lower priority are stopped, and the cost is the work lost.
    /// Runs that are expected to end soon cost almost nothing and are left
    /// to end.
    Preempt(WaitPolicy),
    /// Nothing is stopped, and the cost is the time until runs end.
    Wait,
}

/// Decides which runs work of priority 0 waits for instead of stopping them.
#[derive(Clone, Copy, Debug, PartialEq)]
struct WaitPolicy {
    /// A run that ends within this many seconds is never stopped.
    short_wait_s: f64,
    /// A run that would lose more than `high_loss` is not stopped if it ends
    /// within this many seconds.
    long_wait_s: f64,
    /// The loss of work, in core-seconds, above which `long_wait_s` applies.
    high_loss: f64,
}

impl WaitPolicy {
    /// Returns whether a run is left to end by itself. `lost` is the work, in
    /// core-seconds, that stopping it would lose.
    fn lets_finish(&self, remaining_s: f64, lost: f64) -> bool {
        remaining_s <= self.short_wait_s
            || lost > self.high_loss && remaining_s <= self.long_wait_s
    }
}

/// The maximum time that work of priority 0 waits for runs that end by
/// themselves. It leaves enough time for a stop and a start within 2.7 s, the
/// limit for claims.
const MAX_PREEMPTION_WAIT: Duration = Duration::from_millis(1600);

/// The maximum fraction of its slack that work of priority 0 waits for such
/// runs if stopping them would lose little.
const SLACK_WAIT_FRACTION: f64 = 0.4;

/// The maximum work that may be lost for work of priority 0 beyond its
/// guarantee, as a fraction of that work. For all work of priority 0 it is
/// also the loss above which [`WaitPolicy::long_wait_s`] applies.
const MAX_LOSS_FRACTION: f64 = 0.3;

impl Scheduler {
    /// Preempts the runs of lower priority that free enough capacity for a
    /// group at the least cost, and reserves that capacity for it. If the cost
    /// is too high for a group beyond its guarantee, only reserves capacity
    /// for it and stops nothing.
    pub(super) fn preempt_for_group(
        &mut self,
        now: Now,
        group: &TaskGroup,
        candidates: &mut [Candidate],
    ) {
        let waited = now.monotonic.saturating_sub(group.ready_at);
        let slack_wait = group.slack.mul_f64(SLACK_WAIT_FRACTION);
        let remaining_s =
            |limit: Duration| limit.saturating_sub(waited).as_secs_f64();
        let policy = WaitPolicy {
            short_wait_s: remaining_s(MAX_PREEMPTION_WAIT.min(slack_wait)),
            long_wait_s: remaining_s(MAX_PREEMPTION_WAIT),
            high_loss: self.max_loss(group),
        };
        let mode = FreeingMode::Preempt(policy);
        let options = self.choose_options(now, group, candidates, mode);
        if !group.claim && total_cost(&options) > self.max_loss(group) {
            self.reserve(now, group, candidates);
            return;
        }
        let mut victims = BTreeSet::new();
        for option in &options {
            victims.extend(option.victims.iter().copied());
        }
        self.deduct(group, &options, candidates);
        for victim in victims {
            self.preempt_run(now, group, victim, policy);
        }
    }

    /// Returns the core-seconds of other work that may be lost for a group;
    /// see [`MAX_LOSS_FRACTION`].
    fn max_loss(&self, group: &TaskGroup) -> f64 {
        let job = self.jobs.get(&group.first().job);
        let step = job.and_then(|j| j.batch.step(group.first()));
        step.map_or(0.0, |step| {
            #[allow(clippy::cast_precision_loss)]
            let seconds = step.estimate_ms as f64 / 1000.0;
            let tasks = f64::from(group.count());
            seconds * cores(&step.needs) * tasks * MAX_LOSS_FRACTION
        })
    }

    /// Reserves capacity for a group on the workers that are expected to have
    /// it first.
    pub(super) fn reserve(
        &self,
        now: Now,
        group: &TaskGroup,
        candidates: &mut [Candidate],
    ) {
        let options =
            self.choose_options(now, group, candidates, FreeingMode::Wait);
        self.deduct(group, &options, candidates);
    }

    /// Stops a victim, and its gang if it is a member of one, unless it is
    /// stopping already or ends soon.
    fn preempt_run(
        &mut self,
        now: Now,
        group: &TaskGroup,
        victim: TaskId,
        policy: WaitPolicy,
    ) {
        let Some(job) = self.jobs.get(&victim.job) else {
            return;
        };
        let Some(run) = job.runs.get(&victim) else {
            return;
        };
        let remaining_s = remaining_seconds(now, job, victim, run);
        let ends_soon = policy
            .lets_finish(remaining_s, lost_core_seconds(now, job, victim));
        if run.stopping.is_some() || ends_soon {
            return;
        }
        let detail = format!("victim={victim} for={}", group.first());
        self.record_event(Code::ReclaimStarted, group.first().job, &detail);
        self.request_stop(victim, "the run is preempted");
        self.request_gang_stop(victim, "a gang member is preempted");
    }

    /// Deducts the capacity of options from the free resources of their
    /// candidates, so that later groups cannot take it.
    fn deduct(
        &self,
        group: &TaskGroup,
        options: &[CapacityOption],
        candidates: &mut [Candidate],
    ) {
        let job = self.jobs.get(&group.first().job);
        let Some(step) = job.and_then(|j| j.batch.step(group.first())) else {
            return;
        };
        for option in options {
            let reserved = scaled(&step.needs, option.fit);
            let candidate = &mut candidates[option.candidate];
            candidate.free = candidate.free.minus(&reserved);
        }
    }

    /// Returns the options that free capacity for the group at the least
    /// cost. A gang gets capacity for all its tasks or none; another group for
    /// as many of its tasks as possible.
    fn choose_options(
        &self,
        now: Now,
        group: &TaskGroup,
        candidates: &[Candidate],
        mode: FreeingMode,
    ) -> Vec<CapacityOption> {
        let Some(job) = self.jobs.get(&group.first().job) else {
            return Vec::new();
        };
        let Some(step) = job.batch.step(group.first()) else {
            return Vec::new();
        };
        let tasks_by_agent = tasks_by_agent(job, group.first());
        let request = PlacementRequest {
            service: &job.batch.service,
            step,
            tasks_by_agent: &tasks_by_agent,
            excluded_agents: &[],
            prefer_fast: group.priority == 0,
        };
        let pending: Vec<TaskId> = group
            .tasks
            .iter()
            .copied()
            .filter(|t| !job.runs.contains_key(t))
            .collect();
        let count = u32::try_from(pending.len()).unwrap_or(0);
        let rack_bound = step.same_rack && group.gang;
        let all_or_nothing = group.gang;
        let in_rack = |rack: Option<&str>| {
            self.cheapest_options(
                now, group, &request, candidates, mode, count, rack,
            )
        };
        if rack_bound {
            let mut racks: Vec<&str> =
                candidates.iter().map(|c| c.rack.as_str()).collect();
            racks.sort_unstable();
            racks.dedup();
            let best = racks
                .into_iter()
                .map(|rack| in_rack(Some(rack)))
                .filter(|options| total_fit(options) >= count)
                .min_by(|a, b| total_cost(a).total_cmp(&total_cost(b)));
            if let Some(best) = best {
                return best;
            }
            if !may_spread(now, group, &request, candidates) {
                return Vec::new();
            }
        }
        let options = in_rack(None);
        if all_or_nothing && total_fit(&options) < count {
            return Vec::new();
        }
        options
    }

    /// Returns the options that free capacity for up to `count` tasks at the
    /// least cost per task, optionally on one rack only.
    #[allow(clippy::too_many_arguments)]
    fn cheapest_options(
        &self,
        now: Now,
        group: &TaskGroup,
        request: &PlacementRequest,
        candidates: &[Candidate],
        mode: FreeingMode,
        count: u32,
        rack: Option<&str>,
    ) -> Vec<CapacityOption> {
        let mut options: Vec<CapacityOption> = candidates
            .iter()
            .enumerate()
            .filter(|(_, c)| rack.is_none_or(|r| c.rack == r))
            .flat_map(|(i, c)| {
                self.capacity_options(now, group, request, i, c, mode, count)
            })
            .collect();
        options.sort_by(|a, b| {
            let cost_per_task =
                |o: &CapacityOption| o.cost / f64::from(o.fit.max(1));
            cost_per_task(a).total_cmp(&cost_per_task(b))
        });
        let mut remaining = count;
        let mut used = BTreeSet::new();
        let mut chosen = Vec::new();
        for mut option in options {
            if remaining == 0 {
                break;
            }
            if option.fit > remaining || !used.insert(option.candidate) {
                continue;
            }
            option.fit = option.fit.min(remaining);
            remaining -= option.fit;
            chosen.push(option);
        }
        chosen
    }

    /// Returns the options on one candidate: for each number of tasks up to
    /// `count` that fits, the cheapest victims that have to end.
    #[allow(clippy::too_many_arguments)]
    fn capacity_options(
        &self,
        now: Now,
        group: &TaskGroup,
        request: &PlacementRequest,
        index: usize,
        candidate: &Candidate,
        mode: FreeingMode,
        count: u32,
    ) -> Vec<CapacityOption> {
        let mut options = Vec::new();
        let mut available = candidate.free;
        let mut victims = Vec::new();
        let mut cost = 0.0;
        let mut last_fit =
            request.fitting_tasks(candidate, &available).min(count);
        if last_fit > 0 {
            options.push(capacity_option(index, last_fit, &victims, cost));
        }
        for (victim_cost, task, needs) in
            self.victims(now, group, candidate, mode)
        {
            available = available.plus(&needs);
            victims.push(task);
            cost = match mode {
                FreeingMode::Preempt(_) => cost + victim_cost,
                FreeingMode::Wait => victim_cost.max(cost),
            };
            let fit = request.fitting_tasks(candidate, &available).min(count);
            if fit > last_fit {
                last_fit = fit;
                options.push(capacity_option(index, fit, &victims, cost));
            }
        }
        options
    }

    /// Returns the runs on a candidate that may free capacity, with their cost
    /// and resources, the cheapest first.
    fn victims(
        &self,
        now: Now,
        group: &TaskGroup,
        candidate: &Candidate,
        mode: FreeingMode,
    ) -> Vec<(f64, TaskId, Resources)> {
        let Some(worker) = self.workers.get(&candidate.agent) else {
            return Vec::new();
        };
        let mut victims: Vec<(f64, TaskId, Resources)> = worker
            .allocations
            .iter()
            .filter_map(|(task, needs)| {
                let job = self.jobs.get(&task.job)?;
                let run = job.runs.get(task)?;
                let cost = match mode {
                    FreeingMode::Wait => {
                        remaining_seconds(now, job, *task, run)
                    }
                    FreeingMode::Preempt(_) if run.stopping.is_some() => 0.0,
                    FreeingMode::Preempt(policy) => {
                        let lost = lost_core_seconds(now, job, *task);
                        let remaining_s =
                            remaining_seconds(now, job, *task, run);
                        if policy.lets_finish(remaining_s, lost) {
                            remaining_s / 100.0
                        } else if job.batch.priority <= group.priority {
                            return None;
                        } else {
                            lost
                        }
                    }
                };
                Some((cost, *task, *needs))
            })
            .collect();
        victims.sort_by(|a, b| a.0.total_cmp(&b.0));
        victims
    }
}

fn capacity_option(
    candidate: usize,
    fit: u32,
    victims: &[TaskId],
    cost: f64,
) -> CapacityOption {
    CapacityOption {
        candidate,
        fit,
        victims: victims.to_vec(),
        cost,
    }
}

fn total_fit(options: &[CapacityOption]) -> u32 {
    options.iter().map(|o| o.fit).sum()
}

fn total_cost(options: &[CapacityOption]) -> f64 {
    options.iter().map(|o| o.cost).sum()
}

/// Returns the seconds until a run is expected to end. Extrapolates from the
/// progress of the run once it has done a tenth of the work, and relies on
/// the estimate before that.
pub(super) fn remaining_seconds(
    now: Now,
    job: &Job,
    task: TaskId,
    run: &Run,
) -> f64 {
    let estimate = job.batch.step(task).map_or(0, |s| s.estimate_ms);
    let done = f64::from(run.percent) / 100.0;
    let started_at = run.ordered_at.unwrap_or(run.placed_at);
    let spent = now.monotonic.saturating_sub(started_at).as_secs_f64();
    let gained =
        f64::from(run.percent.saturating_sub(run.initial_percent)) / 100.0;
    if gained >= 0.1 {
        return spent / gained * (1.0 - done);
    }
    #[allow(clippy::cast_precision_loss)]
    let estimate = estimate as f64 / 1000.0;
    (estimate * (1.0 - done)).max(0.1)
}

/// Returns the core-seconds that are lost if a run is stopped; for a member
/// of a gang, the loss of the whole gang.
fn lost_core_seconds(now: Now, job: &Job, task: TaskId) -> f64 {
    let Some(step) = job.batch.step(task) else {
        return f64::MAX;
    };
    let lost = |run: &Run| {
        let started_at = run.ordered_at.unwrap_or(now.monotonic);
        let spent = now.monotonic.saturating_sub(started_at).as_secs_f64();
        // The latest checkpoint is at most about a second old, and only work
        // since then is lost.
        if step.checkpoints {
            spent.min(1.0)
        } else {
            spent
        }
    };
    let in_gang = |id: &TaskId| {
        *id == task
            || step.gang
                && id.occurrence == task.occurrence
                && id.step == task.step
    };
    let runs = job.runs.iter().filter(|(id, _)| in_gang(id));
    let seconds: f64 = runs.map(|(_, run)| lost(run)).sum();
    // About 0.2 s is lost in any case, because the run has to start again.
    (seconds + 0.2) * cores(&step.needs)
}

/// Returns the resources of a task, expressed in cores.
#[allow(clippy::cast_precision_loss)]
fn cores(needs: &Resources) -> f64 {
    needs.cpu_milli as f64 / 1000.0
        + needs.accelerators as f64 * CORES_PER_ACCELERATOR
}
