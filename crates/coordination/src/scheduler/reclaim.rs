//! Capacity for tasks that cannot be placed now.
//!
//! Work of priority 0 preempts runs of lower priority, and a claim on a
//! guarantee also work of priority 0 beyond a guarantee. Other work gets a
//! reservation: capacity that is held back for it as runs end.
//!
//! The decisions are meant for bursts of urgent work on a full site. Capacity
//! that one group is given, now or when runs have ended, is not counted for
//! any later group.

use std::{collections::BTreeSet, time::Duration};

use figrill_state::{
    batch::{Resources, TaskId},
    event::Code,
};

use super::{
    Now, Scheduler,
    place::{Candidate, PlacementRequest, scaled},
    plan::{TaskGroup, may_spread, tasks_by_agent},
    victims::{GangKey, Victim, Victims, cores},
};

/// A way to get capacity on one worker.
#[derive(Clone, Debug)]
struct CapacityOption {
    /// The index of the worker in the list of candidates.
    candidate: usize,
    /// The number of tasks that fit once the victims have ended.
    fit: u32,
    /// The runs that have to end.
    victims: Vec<TaskId>,
    /// The gangs among them.
    gangs: Vec<GangKey>,
    /// The work lost in core-seconds, or the waiting time in seconds; only
    /// comparable between options of the same mode.
    cost: f64,
}

/// How capacity is freed.
#[derive(Clone, Copy, Debug, PartialEq)]
enum FreeingMode {
    /// Runs are stopped, and the cost is the work lost. Runs that are expected
    /// to end soon cost almost nothing and are left to end.
    Preempt(PreemptionPolicy),
    /// Nothing is stopped, and the cost is the time until runs end.
    Wait,
}

/// Decides which runs work of priority 0 stops, and which ones it waits for.
#[derive(Clone, Copy, Debug, PartialEq)]
struct PreemptionPolicy {
    /// Whether the work is a claim on a guarantee.
    claim: bool,
    /// A run that ends within this many seconds is never stopped.
    short_wait_s: f64,
    /// A run that would lose more than `high_loss` is not stopped if it ends
    /// within this many seconds.
    long_wait_s: f64,
    /// The loss of work, in core-seconds, above which `long_wait_s` applies.
    high_loss: f64,
}

impl PreemptionPolicy {
    /// Returns whether a run is left to end by itself.
    fn lets_finish(&self, victim: &Victim) -> bool {
        victim.remaining_s <= self.short_wait_s
            || victim.lost > self.high_loss
                && victim.remaining_s <= self.long_wait_s
    }

    /// Returns the cost of ending a run, or `None` if it must not be stopped.
    fn cost(&self, victim: &Victim) -> Option<f64> {
        if victim.stopping {
            Some(0.0)
        } else if self.lets_finish(victim) {
            Some(victim.remaining_s * WAITING_COST)
        } else if victim.priority > 0 {
            Some(victim.lost)
        } else if self.claim && !victim.claim {
            // Urgent work beyond a guarantee gives way only if nothing else
            // does.
            Some(victim.lost + URGENT_VICTIM_COST)
        } else {
            None
        }
    }
}

/// The time that a claim needs, besides the grace period of the stopped runs,
/// from the decision to stop runs until its own tasks run: two commits, and
/// the messages to the agents and back.
const PREEMPTION_LATENCY: Duration = Duration::from_millis(900);

/// The maximum fraction of its slack that work of priority 0 waits for such
/// runs if stopping them would lose little.
const SLACK_WAIT_FRACTION: f64 = 0.4;

/// The maximum work that may be lost for work of priority 0 beyond its
/// guarantee, as a fraction of that work.
const MAX_LOSS_FRACTION: f64 = 1.0;

/// The loss above which [`PreemptionPolicy::long_wait_s`] applies, as a
/// fraction of the work that waits.
const HIGH_LOSS_FRACTION: f64 = 0.3;

/// The cost, in core-seconds, of a second of waiting for a run to end. It only
/// has to order runs that end by themselves, which lose nothing.
const WAITING_COST: f64 = 0.01;

/// The cost, in core-seconds, that is added for a victim of priority 0.
const URGENT_VICTIM_COST: f64 = 1e6;

/// What the search for capacity of one group is based on.
struct Search<'a> {
    request: PlacementRequest<'a>,
    candidates: &'a [Candidate],
    victims: &'a Victims,
    mode: FreeingMode,
    /// The number of tasks to place.
    count: u32,
}

impl Scheduler {
    /// Preempts the runs that free enough capacity for a group at the least
    /// cost, and reserves that capacity for it. If the cost is too high for a
    /// group beyond its guarantee, only reserves capacity for it and stops
    /// nothing.
    pub(super) fn preempt_for_group(
        &mut self,
        now: Now,
        group: &TaskGroup,
        candidates: &mut [Candidate],
        victims: &mut Victims,
    ) {
        let waited = now.monotonic.saturating_sub(group.ready_at);
        let slack_wait = group.slack.mul_f64(SLACK_WAIT_FRACTION);
        // Only claims have a time limit for their start; other work may wait
        // as long as it still ends in time.
        let max_wait = if group.claim {
            self.max_preemption_wait()
        } else {
            self.max_preemption_wait().max(slack_wait)
        };
        let remaining_s =
            |limit: Duration| limit.saturating_sub(waited).as_secs_f64();
        let policy = PreemptionPolicy {
            claim: group.claim,
            short_wait_s: remaining_s(max_wait.min(slack_wait)),
            long_wait_s: remaining_s(max_wait),
            high_loss: HIGH_LOSS_FRACTION * self.work(group),
        };
        let mode = FreeingMode::Preempt(policy);
        let options =
            self.choose_options(now, group, candidates, victims, mode);
        if !group.claim
            && total_cost(&options) > MAX_LOSS_FRACTION * self.work(group)
        {
            self.reserve(now, group, candidates, victims);
            return;
        }
        for option in &options {
            let agent = &candidates[option.candidate].agent;
            let stopped: Vec<Victim> = victims
                .on(agent)
                .iter()
                .filter(|v| option.victims.contains(&v.task))
                .filter(|v| !v.stopping && !policy.lets_finish(v))
                .cloned()
                .collect();
            for victim in stopped {
                self.preempt_run(group, victim.task);
                if let Some(gang) = victim.gang {
                    victims.mark_stopping(gang);
                }
            }
        }
        self.reserve_options(group, &options, candidates, victims);
    }

    /// Returns the maximum time that work of priority 0 waits for runs that
    /// end by themselves, or for capacity on one rack. After it there is still
    /// enough time to stop runs and start within the limit for claims.
    pub(super) fn max_preemption_wait(&self) -> Duration {
        let limits = &self.limits;
        let start = limits.claim_start.saturating_sub(limits.stop_grace);
        start.saturating_sub(PREEMPTION_LATENCY)
    }

    /// Returns the work of a group in core-seconds, by its estimate.
    fn work(&self, group: &TaskGroup) -> f64 {
        let job = self.jobs.get(&group.first().job);
        let step = job.and_then(|j| j.batch.step(group.first()));
        step.map_or(0.0, |step| {
            let estimate = Duration::from_millis(step.estimate_ms);
            let tasks = f64::from(group.count());
            estimate.as_secs_f64() * cores(&step.needs) * tasks
        })
    }

    /// Reserves capacity for a group on the workers that are expected to have
    /// it first.
    pub(super) fn reserve(
        &self,
        now: Now,
        group: &TaskGroup,
        candidates: &mut [Candidate],
        victims: &mut Victims,
    ) {
        let mode = FreeingMode::Wait;
        let options =
            self.choose_options(now, group, candidates, victims, mode);
        self.reserve_options(group, &options, candidates, victims);
    }

    /// Stops a victim, and its gang if it is a member of one.
    fn preempt_run(&mut self, group: &TaskGroup, victim: TaskId) {
        let job = self.jobs.get(&victim.job);
        let run = job.and_then(|j| j.runs.get(&victim));
        if run.is_none_or(|r| r.stopping.is_some()) {
            return;
        }
        let detail = format!("victim={victim} for={}", group.first());
        self.record_event(Code::ReclaimStarted, group.first().job, &detail);
        self.request_stop(victim, "the run is preempted");
        self.request_gang_stop(victim, "a gang member is preempted");
    }

    /// Reserves the capacity of options, so that later groups of this pass can
    /// take neither what is free now nor what their victims free.
    fn reserve_options(
        &self,
        group: &TaskGroup,
        options: &[CapacityOption],
        candidates: &mut [Candidate],
        victims: &mut Victims,
    ) {
        let job = self.jobs.get(&group.first().job);
        let Some(step) = job.and_then(|j| j.batch.step(group.first())) else {
            return;
        };
        for option in options {
            let candidate = &mut candidates[option.candidate];
            let tasks: BTreeSet<TaskId> =
                option.victims.iter().copied().collect();
            let expected = victims
                .on(&candidate.agent)
                .iter()
                .filter(|v| tasks.contains(&v.task))
                .fold(candidate.expected, |sum, v| sum.plus(&v.needs));
            victims.take(&candidate.agent, &tasks);
            let reserved = scaled(&step.needs, option.fit);
            candidate.free = candidate.free.minus(&reserved.minus(&expected));
            candidate.expected = expected.minus(&reserved);
        }
    }

    /// Returns the options that free capacity for the group at the least
    /// cost. A gang gets capacity for all its tasks or none; another group for
    /// as many of its tasks as possible. Workers on which the job failed are
    /// used only if there is no other way.
    fn choose_options(
        &self,
        now: Now,
        group: &TaskGroup,
        candidates: &[Candidate],
        victims: &Victims,
        mode: FreeingMode,
    ) -> Vec<CapacityOption> {
        let Some(job) = self.jobs.get(&group.first().job) else {
            return Vec::new();
        };
        let Some(step) = job.batch.step(group.first()) else {
            return Vec::new();
        };
        let tasks_by_agent = tasks_by_agent(job, group.first());
        let pending = group.tasks.iter().filter(|t| !job.runs.contains_key(t));
        let mut search = Search {
            request: PlacementRequest {
                service: &job.batch.service,
                step,
                tasks_by_agent: &tasks_by_agent,
                excluded_agents: &job.excluded_agents,
                prefer_fast: group.priority == 0,
            },
            candidates,
            victims,
            mode,
            count: u32::try_from(pending.count()).unwrap_or(0),
        };
        let options = search.options_for(now, group);
        if !options.is_empty() || job.excluded_agents.is_empty() {
            return options;
        }
        search.request.excluded_agents = &[];
        search.options_for(now, group)
    }
}

impl Search<'_> {
    /// Returns the cheapest options for a group; see
    /// [`Scheduler::choose_options`].
    fn options_for(&self, now: Now, group: &TaskGroup) -> Vec<CapacityOption> {
        if self.request.step.same_rack && group.gang {
            let racks: BTreeSet<&str> =
                self.candidates.iter().map(|c| c.rack.as_str()).collect();
            let best = racks
                .into_iter()
                .map(|rack| self.cheapest(Some(rack)))
                .filter(|options| total_fit(options) >= self.count)
                .min_by(|a, b| total_cost(a).total_cmp(&total_cost(b)));
            if let Some(best) = best {
                return best;
            }
            if !may_spread(now, group, &self.request, self.candidates) {
                return Vec::new();
            }
        }
        let options = self.cheapest(None);
        if group.gang && total_fit(&options) < self.count {
            return Vec::new();
        }
        options
    }

    /// Returns the options that free capacity for up to `count` tasks,
    /// optionally on one rack only. Adds the step with the least cost per task
    /// until there is enough: another worker, or more tasks on a worker that
    /// is already used.
    fn cheapest(&self, rack: Option<&str>) -> Vec<CapacityOption> {
        let mut stopped_gangs = BTreeSet::new();
        let mut ladders = self.ladders(rack, &stopped_gangs);
        let mut chosen: Vec<Option<CapacityOption>> =
            vec![None; ladders.len()];
        let mut remaining = self.count;
        while remaining > 0 {
            let Some((ladder, option)) =
                cheapest_step(&ladders, &chosen, remaining)
            else {
                break;
            };
            let previous = chosen[ladder].as_ref().map_or(0, |o| o.fit);
            let added = (option.fit - previous).min(remaining);
            remaining -= added;
            let mut option = option.clone();
            option.fit = previous + added;
            let known_gangs = stopped_gangs.len();
            stopped_gangs.extend(option.gangs.iter().copied());
            chosen[ladder] = Some(option);
            if stopped_gangs.len() > known_gangs {
                ladders = self.ladders(rack, &stopped_gangs);
            }
        }
        chosen.into_iter().flatten().collect()
    }

    /// Returns the options on each worker, optionally on one rack only.
    fn ladders(
        &self,
        rack: Option<&str>,
        stopped_gangs: &BTreeSet<GangKey>,
    ) -> Vec<Vec<CapacityOption>> {
        let candidates = self.candidates.iter().enumerate();
        candidates
            .filter(|(_, c)| rack.is_none_or(|r| c.rack == r))
            .map(|(i, c)| self.ladder(i, c, stopped_gangs))
            .collect()
    }

    /// Returns the options on one worker: for each number of tasks that fits,
    /// the cheapest victims that have to end. Members of `stopped_gangs` cost
    /// nothing.
    fn ladder(
        &self,
        index: usize,
        candidate: &Candidate,
        stopped_gangs: &BTreeSet<GangKey>,
    ) -> Vec<CapacityOption> {
        if !self.request.is_eligible(candidate) {
            return Vec::new();
        }
        let base = candidate.free.plus(&candidate.expected);
        let fit = |available: &Resources| {
            self.request
                .fitting_tasks(candidate, available)
                .min(self.count)
        };
        let mut priced: Vec<(f64, &Victim)> = self
            .victims
            .on(&candidate.agent)
            .iter()
            .filter_map(|v| Some((self.cost(v, stopped_gangs)?, v)))
            .collect();
        priced.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut options = Vec::new();
        let mut last_fit = fit(&base);
        if last_fit > 0 {
            options.push(self.option(index, last_fit, &[]));
        }
        let mut available = base;
        for (i, (_, victim)) in priced.iter().enumerate() {
            available = available.plus(&victim.needs);
            let new_fit = fit(&available);
            if new_fit > last_fit {
                last_fit = new_fit;
                let needed = needed_victims(&priced[..=i], |available| {
                    fit(&base.plus(available)) >= new_fit
                });
                options.push(self.option(index, new_fit, &needed));
            }
        }
        options
    }

    /// Returns the cost of ending a run, or `None` if it can't be ended.
    fn cost(
        &self,
        victim: &Victim,
        stopped_gangs: &BTreeSet<GangKey>,
    ) -> Option<f64> {
        match self.mode {
            FreeingMode::Wait if victim.stopping => Some(0.0),
            FreeingMode::Wait => Some(victim.remaining_s),
            FreeingMode::Preempt(policy) => {
                let is_stopped =
                    victim.gang.is_some_and(|g| stopped_gangs.contains(&g));
                let cost = policy.cost(victim)?;
                Some(if is_stopped { 0.0 } else { cost })
            }
        }
    }

    fn option(
        &self,
        candidate: usize,
        fit: u32,
        victims: &[(f64, &Victim)],
    ) -> CapacityOption {
        let mut gangs: Vec<GangKey> = Vec::new();
        let mut cost = 0.0;
        for (victim_cost, victim) in victims {
            // The loss of a gang counts once, however many members are here.
            let is_known = victim.gang.is_some_and(|g| gangs.contains(&g));
            gangs.extend(victim.gang.filter(|_| !is_known));
            match self.mode {
                FreeingMode::Preempt(_) if is_known => {}
                FreeingMode::Preempt(_) => cost += victim_cost,
                FreeingMode::Wait => cost = f64::max(cost, *victim_cost),
            }
        }
        if let FreeingMode::Preempt(policy) = self.mode {
            let stopped = |g: &GangKey| {
                victims.iter().any(|(_, v)| {
                    v.gang == Some(*g) && !v.stopping && !policy.lets_finish(v)
                })
            };
            gangs.retain(stopped);
        } else {
            gangs.clear();
        }
        CapacityOption {
            candidate,
            fit,
            victims: victims.iter().map(|(_, v)| v.task).collect(),
            gangs,
            cost,
        }
    }
}

/// Returns the step with the least cost per added task, and the index of its
/// ladder. Steps that add at most `remaining` tasks come before larger ones.
fn cheapest_step<'a>(
    ladders: &'a [Vec<CapacityOption>],
    chosen: &[Option<CapacityOption>],
    remaining: u32,
) -> Option<(usize, &'a CapacityOption)> {
    let steps = ladders.iter().enumerate().flat_map(|(i, ladder)| {
        let (fit, cost) =
            chosen[i].as_ref().map_or((0, 0.0), |o| (o.fit, o.cost));
        ladder
            .iter()
            .filter(move |o| o.fit > fit)
            .map(move |option| {
                let added = option.fit - fit;
                let exceeds = added > remaining;
                let per_task =
                    (option.cost - cost) / f64::from(added.min(remaining));
                (exceeds, per_task, i, option)
            })
    });
    steps
        .min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)))
        .map(|(_, _, i, option)| (i, option))
}

/// Returns the victims without those that are not needed: cheap small ones
/// that do not help once a larger one has to end as well.
fn needed_victims<'a>(
    victims: &[(f64, &'a Victim)],
    suffices: impl Fn(&Resources) -> bool,
) -> Vec<(f64, &'a Victim)> {
    let mut needed = victims.to_vec();
    let mut index = needed.len();
    while index > 0 {
        index -= 1;
        let others = needed.iter().enumerate().filter(|(i, _)| *i != index);
        let freed = others
            .fold(Resources::default(), |sum, (_, (_, v))| sum.plus(&v.needs));
        if suffices(&freed) {
            needed.remove(index);
        }
    }
    needed
}

fn total_fit(options: &[CapacityOption]) -> u32 {
    options.iter().map(|o| o.fit).sum()
}

fn total_cost(options: &[CapacityOption]) -> f64 {
    options.iter().map(|o| o.cost).sum()
}
