//! Preemption by the value that callers gain and lose; see
//! [`super::super::cost`].
//!
//! Work other than claims waits for capacity that becomes free in time by
//! itself. It stops runs only if that gains clearly more than it loses, and
//! within a budget of lost work.

use std::{collections::BTreeSet, time::Duration};

use figrill_state::event::Code;

use super::{
    super::{
        Now, Scheduler,
        cost::{Balance, Decline, Demand},
        place::Candidate,
        task_group::TaskGroup,
        victims::{Victim, Victims, gang_key},
    },
    CapacityOption, FreeingMode, PreemptionPolicy, Pricing, stopped_victims,
};

impl Scheduler {
    /// Refills the budget of lost work.
    pub(in super::super) fn refill_budget(&mut self, now: Now) {
        let capacities = self.workers.values().filter_map(|w| {
            Some(super::cores(&w.upstream.as_ref()?.capacity))
        });
        let cores = capacities.sum();
        self.delay_costs.budget.refill(now.monotonic, cores);
    }

    /// Preempts the runs that free enough capacity for a group at the least
    /// loss, and reserves that capacity for it. If nothing is worth stopping,
    /// only reserves capacity that becomes free by itself.
    pub(super) fn preempt_by_value(
        &mut self,
        now: Now,
        group: &TaskGroup,
        candidates: &mut [Candidate],
        victims: &mut Victims,
    ) {
        if group.claim {
            self.preempt_for_claim(now, group, candidates, victims);
            return;
        }
        let wait = FreeingMode::Wait;
        let waiting =
            self.choose_options(now, group, candidates, victims, wait);
        let demand = self.pending_demand(group);
        let gain = self.gain(now, &demand, &waiting);
        if gain <= 0.0 {
            self.reserve_until_free(now, group, &waiting, candidates, victims);
            return;
        }
        let spare_s = demand.spare_time(now.wall_ms).as_secs_f64();
        let policy = PreemptionPolicy {
            claim: false,
            priority: group.priority,
            short_wait_s: spare_s,
            long_wait_s: spare_s,
            high_loss: f64::INFINITY,
            pricing: self.pricing(&demand),
        };
        let mode = FreeingMode::Preempt(policy);
        let options =
            self.choose_options(now, group, candidates, victims, mode);
        let stopped = stopped_victims(&policy, &options, candidates, victims);
        if stopped.is_empty() {
            self.reserve_until_free(now, group, &waiting, candidates, victims);
            return;
        }
        let balance = balance(gain, &policy, &stopped);
        let tokens = self.delay_costs.budget.tokens();
        if let Some(why) = balance.decline(tokens) {
            self.record_decline(now, group, &balance, why);
            self.reserve_until_free(now, group, &waiting, candidates, victims);
            return;
        }
        self.stop_for(group, &balance, &stopped, victims);
        self.reserve_options(now, group, &options, candidates, victims);
    }

    /// Preempts the runs with the least loss for a claim. The claim waits for
    /// runs that end within its time limit, if its deadline does not suffer or
    /// suffers less than the runs.
    fn preempt_for_claim(
        &mut self,
        now: Now,
        group: &TaskGroup,
        candidates: &mut [Candidate],
        victims: &mut Victims,
    ) {
        let waited = group.waited(now);
        let max_wait = self.max_preemption_wait().saturating_sub(waited);
        let demand = self.pending_demand(group);
        let spare = demand.spare_time(now.wall_ms).min(max_wait);
        let value = |delay| demand.value(now.wall_ms, delay);
        let policy = PreemptionPolicy {
            claim: true,
            priority: group.priority,
            short_wait_s: spare.as_secs_f64(),
            long_wait_s: max_wait.as_secs_f64(),
            high_loss: value(Duration::ZERO) - value(max_wait),
            pricing: self.pricing(&demand),
        };
        let mode = FreeingMode::Preempt(policy);
        let options =
            self.choose_options(now, group, candidates, victims, mode);
        let stopped = stopped_victims(&policy, &options, candidates, victims);
        if !stopped.is_empty() {
            let wait = FreeingMode::Wait;
            let waiting =
                self.choose_options(now, group, candidates, victims, wait);
            let gain = self.gain(now, &demand, &waiting);
            let balance = balance(gain, &policy, &stopped);
            self.stop_for(group, &balance, &stopped, victims);
        }
        self.reserve_options(now, group, &options, candidates, victims);
    }

    /// Returns the demand of a group without the tasks that were placed since
    /// it was built.
    fn pending_demand(&self, group: &TaskGroup) -> Demand {
        let job = self.jobs.get(&group.first().job);
        let is_pending =
            |t: &&_| job.is_some_and(|j| !j.runs.contains_key(*t));
        let pending = group.tasks.iter().filter(is_pending).count();
        let pending = f64::from(u32::try_from(pending).unwrap_or(u32::MAX));
        let mut demand = group.demand;
        demand.work *= pending / f64::from(group.count());
        demand
    }

    /// Returns the value that a group gains if runs are stopped for it now
    /// instead of waiting until the capacity of `waiting` is free.
    fn gain(
        &self,
        now: Now,
        demand: &Demand,
        waiting: &[CapacityOption],
    ) -> f64 {
        // Without options, nothing is known to free enough capacity.
        let wait_s = waiting.iter().map(|o| o.cost).reduce(f64::max);
        let wait = wait_s
            .and_then(|s| Duration::try_from_secs_f64(s).ok())
            .unwrap_or(Duration::MAX);
        demand.gain(now.wall_ms, self.limits.stop_grace, wait)
    }

    /// Returns the pricing of runs that are stopped for a group: their next
    /// runs begin after the group at the earliest.
    fn pricing(&self, demand: &Demand) -> Pricing {
        let delay = self.limits.stop_grace + demand.expected;
        Pricing::Value {
            delay_s: delay.as_secs_f64(),
        }
    }

    /// Stops runs for a group, and takes the lost work from the budget.
    fn stop_for(
        &mut self,
        group: &TaskGroup,
        balance: &Balance,
        stopped: &[Victim],
        victims: &mut Victims,
    ) {
        let budget = &mut self.delay_costs.budget;
        budget.draw(balance.lost_work);
        let reason = balance.detail(budget.tokens());
        for victim in stopped {
            self.preempt_run(group, victim, victims, &reason);
        }
    }

    /// Logs that a preemption for a group is declined, unless this was logged
    /// recently.
    fn record_decline(
        &mut self,
        now: Now,
        group: &TaskGroup,
        balance: &Balance,
        why: Decline,
    ) {
        let first = group.first();
        if !self.delay_costs.declines.is_due(now.monotonic, first) {
            return;
        }
        let reason = balance.detail(self.delay_costs.budget.tokens());
        let detail = format!("for={first} why={}{reason}", why.name());
        self.record_event(Code::PreemptionDeclined, first.job, &detail);
    }
}

/// Returns the effects of stopping runs. A gang is lost once, however many of
/// its members are among them, and so is the deadline of a job.
fn balance(
    gain: f64,
    policy: &PreemptionPolicy,
    stopped: &[Victim],
) -> Balance {
    let mut balance = Balance {
        gain,
        loss: 0.0,
        lost_work: 0.0,
    };
    let Pricing::Value { delay_s } = policy.pricing else {
        return balance;
    };
    let mut gangs = BTreeSet::new();
    let mut deadlines = BTreeSet::new();
    for victim in stopped {
        if victim.gang.is_none_or(|gang| gangs.insert(gang)) {
            balance.lost_work += victim.lost;
            balance.loss += victim.value.work_loss(victim.lost);
        }
        if deadlines.insert(gang_key(victim.task)) {
            balance.loss += victim.value.deadline_loss(delay_s);
        }
    }
    balance
}
