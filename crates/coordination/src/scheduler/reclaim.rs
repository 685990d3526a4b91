//! Capacity for tasks that cannot be placed now.
//!
//! Work preempts runs of lower priority: a claim on a guarantee at any loss,
//! and also work of priority 0 beyond a guarantee; other work of priority 0
//! for a loss below its own work; and the rest, once it has waited, for hardly
//! any loss. Where that is not enough it gets a reservation: capacity that is
//! held back for it as runs end. With the feature `delay_cost`, the value that
//! the work gains is compared with the value that is lost instead; see
//! [`super::cost`].
//!
//! The decisions are meant for bursts of urgent work on a full site. Capacity
//! that one group is given, now or when runs have ended, is not counted for
//! any later group.

use std::{collections::BTreeSet, time::Duration};

use figrill_state::{batch::TaskId, event::Code};

use super::{
    Now, Scheduler,
    place::{Candidate, PlacementRequest, scaled},
    plan::tasks_by_agent,
    task_group::TaskGroup,
    victims::{GangKey, Victim, Victims, cores},
};

mod by_value;
mod search;

use search::{
    CapacityOption, FreeingMode, PreemptionPolicy, Pricing, Search, total_cost,
};

/// The time that a claim needs, besides the grace period of the stopped runs,
/// from the decision to stop runs until its own tasks run: two commits, and
/// the messages to the agents and back.
const PREEMPTION_LATENCY: Duration = Duration::from_millis(900);

/// The maximum fraction of its slack that work waits for runs that end by
/// themselves if stopping them would lose little.
const SLACK_WAIT_FRACTION: f64 = 0.4;

/// The maximum work that may be lost for work of priority 0 beyond its
/// guarantee, as a fraction of that work.
const MAX_LOSS_FRACTION: f64 = 1.0;

/// The same for work of lower priority. It allows hardly more than stopping
/// work that resumes from its checkpoint.
const MAX_NORMAL_LOSS_FRACTION: f64 = 0.1;

/// The loss above which [`PreemptionPolicy::long_wait_s`] applies, as a
/// fraction of the work that waits.
const HIGH_LOSS_FRACTION: f64 = 0.3;

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
        if self.features.delay_cost {
            self.preempt_by_value(now, group, candidates, victims);
            return;
        }
        let waited = group.waited(now);
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
            priority: group.priority,
            short_wait_s: remaining_s(max_wait.min(slack_wait)),
            long_wait_s: remaining_s(max_wait),
            high_loss: HIGH_LOSS_FRACTION * self.work(group),
            pricing: Pricing::Work,
        };
        let mode = FreeingMode::Preempt(policy);
        let options =
            self.choose_options(now, group, candidates, victims, mode);
        let max_loss = if group.priority == 0 {
            MAX_LOSS_FRACTION
        } else {
            MAX_NORMAL_LOSS_FRACTION
        };
        let is_too_dear = total_cost(&options) > max_loss * self.work(group);
        if !group.claim && is_too_dear {
            self.reserve(now, group, candidates, victims);
            return;
        }
        if options.is_empty() {
            self.record_blocked(now, group);
        }
        let stopped = stopped_victims(&policy, &options, candidates, victims);
        for victim in stopped {
            self.preempt_run(group, &victim, victims, "");
        }
        self.reserve_options(now, group, &options, candidates, victims);
    }

    /// Returns the maximum time that a claim waits for runs that end by
    /// themselves, or for capacity on one rack. After it there is still enough
    /// time to stop runs and start within the limit for claims.
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
    fn reserve(
        &mut self,
        now: Now,
        group: &TaskGroup,
        candidates: &mut [Candidate],
        victims: &mut Victims,
    ) {
        let mode = FreeingMode::Wait;
        let options =
            self.choose_options(now, group, candidates, victims, mode);
        self.reserve_until_free(now, group, &options, candidates, victims);
    }

    /// Reserves the capacity of options for which the group waits. Stops the
    /// backfill there once there is nothing else to wait for.
    fn reserve_until_free(
        &mut self,
        now: Now,
        group: &TaskGroup,
        options: &[CapacityOption],
        candidates: &mut [Candidate],
        victims: &mut Victims,
    ) {
        if options.is_empty() {
            self.record_blocked(now, group);
        }
        for option in options {
            if ready_in_s(group, options, option) > 0.0 {
                continue;
            }
            let agent = &candidates[option.candidate].agent;
            let backfill: Vec<Victim> = victims
                .on(agent)
                .iter()
                .filter(|v| option.victims.contains(&v.task))
                .filter(|v| !v.stopping && v.yields_to(group))
                .cloned()
                .collect();
            for victim in backfill {
                self.preempt_run(group, &victim, victims, " backfill=true");
            }
        }
        self.reserve_options(now, group, options, candidates, victims);
    }

    /// Stops a victim, and its gang if it is a member of one. `reason` is
    /// added to the log line.
    fn preempt_run(
        &mut self,
        group: &TaskGroup,
        victim: &Victim,
        victims: &mut Victims,
        reason: &str,
    ) {
        if let Some(gang) = victim.gang {
            victims.mark_stopping(gang);
        }
        let task = victim.task;
        let job = self.jobs.get_mut(&task.job);
        let run = job.as_ref().and_then(|j| j.runs.get(&task));
        if run.is_none_or(|r| r.stopping.is_some()) {
            return;
        }
        if let Some(job) = job {
            job.count_preemption(task);
        }
        let detail = format!("victim={task} for={}{reason}", group.first());
        self.record_event(Code::ReclaimStarted, group.first().job, &detail);
        self.request_stop(task, "the run is preempted");
        self.request_gang_stop(task, "a gang member is preempted");
    }

    /// Reserves the capacity of options. Later groups of this pass can't take
    /// what their victims free, and of what is free now only what they return
    /// before the group needs it.
    fn reserve_options(
        &mut self,
        now: Now,
        group: &TaskGroup,
        options: &[CapacityOption],
        candidates: &mut [Candidate],
        victims: &mut Victims,
    ) {
        let job = self.jobs.get(&group.first().job);
        let Some(step) = job.and_then(|j| j.batch.step(group.first())) else {
            return;
        };
        let needs = step.needs;
        let is_stopping = options.iter().any(|o| !o.victims.is_empty());
        let waited = group.waited(now);
        for option in options {
            let ready_in_s = ready_in_s(group, options, option);
            let is_stopping = is_stopping && ready_in_s <= 0.0;
            // Backfill could delay a claim beyond its time limit.
            let is_claim_in_time = group.claim
                && waited.as_secs_f64() + ready_in_s
                    < self.limits.claim_start.as_secs_f64();
            let allows_backfill = !is_claim_in_time
                && self.lends_to_backfill(now, group, ready_in_s, is_stopping);
            let candidate = &mut candidates[option.candidate];
            let tasks: BTreeSet<TaskId> =
                option.victims.iter().copied().collect();
            let expected = victims
                .on(&candidate.agent)
                .iter()
                .filter(|v| tasks.contains(&v.task))
                .fold(candidate.expected, |sum, v| sum.plus(&v.needs));
            victims.take(&candidate.agent, &tasks);
            let reserved = scaled(&needs, option.fit);
            candidate.max_tasks =
                candidate.max_tasks.saturating_sub(option.fit);
            candidate.reserve(
                &reserved.minus(&expected),
                ready_in_s,
                allows_backfill,
            );
            candidate.expected = expected.minus(&reserved);
        }
    }

    /// Returns the options that free capacity for the group at the least
    /// cost. A gang gets capacity for all its tasks or none; another group for
    /// as many of its tasks as possible. Workers that the group avoids are
    /// used only if there is no other way, and if it may fall back to them.
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
        let avoidance = self.avoidance(now, group, candidates);
        let tasks_by_agent = tasks_by_agent(job, group.first());
        let pending = group.tasks.iter().filter(|t| !job.runs.contains_key(t));
        let mut search = Search {
            request: PlacementRequest {
                service: &job.batch.service,
                step,
                tasks_by_agent: &tasks_by_agent,
                excluded_agents: &avoidance.agents,
                prefer_fast: group.priority == 0,
                demand: None,
                ignores_suspicion: false,
            },
            candidates,
            victims,
            group,
            mode,
            count: u32::try_from(pending.count()).unwrap_or(0),
        };
        let mut options = search.options_for(now);
        if options.is_empty()
            && let Some(fallback) = &avoidance.fallback
        {
            search.request.excluded_agents = fallback;
            options = search.options_for(now);
        }
        if options.is_empty() && avoidance.is_pressed_claim {
            search.request.excluded_agents = &[];
            search.request.ignores_suspicion = true;
            options = search.options_for(now);
        }
        options
    }
}

/// Returns the seconds until a group can use one of its options. A gang needs
/// all of them at a time.
fn ready_in_s(
    group: &TaskGroup,
    options: &[CapacityOption],
    option: &CapacityOption,
) -> f64 {
    if group.gang {
        options.iter().map(|o| o.ready_in_s).fold(0.0, f64::max)
    } else {
        option.ready_in_s
    }
}

/// Returns the runs that have to be stopped for options. Gangs of earlier
/// options are left out, as they are stopped whole.
fn stopped_victims(
    policy: &PreemptionPolicy,
    options: &[CapacityOption],
    candidates: &[Candidate],
    victims: &Victims,
) -> Vec<Victim> {
    let mut stopped: Vec<Victim> = Vec::new();
    for option in options {
        let agent = &candidates[option.candidate].agent;
        let gangs: BTreeSet<GangKey> =
            stopped.iter().filter_map(|v| v.gang).collect();
        let chosen = victims
            .on(agent)
            .iter()
            .filter(|v| option.victims.contains(&v.task))
            .filter(|v| !v.stopping && !policy.lets_finish(v))
            .filter(|v| v.gang.is_none_or(|g| !gangs.contains(&g)));
        stopped.extend(chosen.cloned());
    }
    stopped
}
