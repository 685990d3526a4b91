//! The search for the capacity that one group of tasks gets at the least
//! cost.

use std::collections::BTreeSet;

use figrill_state::batch::{Resources, TaskId};

use super::{
    super::{
        Now,
        place::{Candidate, PlacementRequest},
        plan::may_spread,
        task_group::TaskGroup,
    },
    GangKey, Victim, Victims,
};

/// A way to get capacity on one worker.
#[derive(Clone, Debug)]
pub(super) struct CapacityOption {
    /// The index of the worker in the list of candidates.
    pub(super) candidate: usize,
    /// The number of tasks that fit once the victims have ended.
    pub(super) fit: u32,
    /// The runs that have to end.
    pub(super) victims: Vec<TaskId>,
    /// The seconds until all of them have ended.
    pub(super) ready_in_s: f64,
    /// The gangs among them.
    gangs: Vec<GangKey>,
    /// The loss by the policy's pricing, or the waiting time in seconds; only
    /// comparable between options of the same mode.
    pub(super) cost: f64,
}

/// How capacity is freed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum FreeingMode {
    /// Runs are stopped, and the cost is what is lost. Runs that are expected
    /// to end soon cost almost nothing and are left to end.
    Preempt(PreemptionPolicy),
    /// Nothing is stopped but backfill, and the cost is the time until the
    /// other runs end.
    Wait,
}

/// Decides which runs a group of tasks stops, and which ones it waits for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct PreemptionPolicy {
    /// Whether the work is a claim on a guarantee.
    pub(super) claim: bool,
    /// The priority of the work. Runs of lower priority, which is a higher
    /// number, may be stopped for it.
    pub(super) priority: u32,
    /// A run that ends within this many seconds is never stopped.
    pub(super) short_wait_s: f64,
    /// A run that would lose more than `high_loss` is not stopped if it ends
    /// within this many seconds.
    pub(super) long_wait_s: f64,
    /// The loss above which `long_wait_s` applies.
    pub(super) high_loss: f64,
    /// How the loss of a run is measured.
    pub(super) pricing: Pricing,
}

/// How the loss of a run that is stopped is measured.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Pricing {
    /// By its work, in core-seconds.
    Work,
    /// By the value that its caller loses.
    Value {
        /// The seconds by which its next run is delayed at least.
        delay_s: f64,
    },
}

impl PreemptionPolicy {
    /// Returns whether a run is left to end by itself.
    pub(super) fn lets_finish(&self, victim: &Victim) -> bool {
        victim.remaining_s <= self.short_wait_s
            || self.loss(victim) > self.high_loss
                && victim.remaining_s <= self.long_wait_s
    }

    /// Returns the cost of ending a run, or `None` if it must not be stopped.
    fn cost(&self, victim: &Victim) -> Option<f64> {
        if victim.stopping {
            Some(0.0)
        } else if self.lets_finish(victim) {
            Some(victim.remaining_s * WAITING_COST)
        } else if victim.priority > self.priority {
            self.may_stop(victim).then(|| self.loss(victim))
        } else if self.claim && !victim.claim {
            // Urgent work beyond a guarantee gives way only if nothing else
            // does.
            Some(self.loss(victim) + URGENT_VICTIM_COST)
        } else {
            None
        }
    }

    /// Returns whether a run of lower priority may be stopped. Only claims may
    /// stop one that has already been preempted too often.
    fn may_stop(&self, victim: &Victim) -> bool {
        self.claim || victim.value.may_be_preempted()
    }

    /// Returns what is lost if a run is stopped.
    fn loss(&self, victim: &Victim) -> f64 {
        match self.pricing {
            Pricing::Work => victim.lost,
            Pricing::Value { delay_s } => victim.loss(delay_s),
        }
    }
}

/// The cost of a second of waiting for a run to end. It only has to order runs
/// that end by themselves, which lose nothing.
const WAITING_COST: f64 = 0.01;

/// The cost that is added for a victim of priority 0.
const URGENT_VICTIM_COST: f64 = 1e6;

/// What the search for capacity of one group is based on.
pub(super) struct Search<'a> {
    pub(super) request: PlacementRequest<'a>,
    pub(super) candidates: &'a [Candidate],
    pub(super) victims: &'a Victims,
    /// The group that gets the capacity.
    pub(super) group: &'a TaskGroup,
    pub(super) mode: FreeingMode,
    /// The number of tasks to place.
    pub(super) count: u32,
}

impl Search<'_> {
    /// Returns the cheapest options for a group; see
    /// [`Scheduler::choose_options`](super::super::Scheduler).
    pub(super) fn options_for(&self, now: Now) -> Vec<CapacityOption> {
        let group = self.group;
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
                .placeable_tasks(candidate, available)
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
            // Capacity that never becomes free is no reason to hold any back.
            FreeingMode::Wait => {
                Some(self.wait_s(victim)).filter(|s| s.is_finite())
            }
            FreeingMode::Preempt(policy) => {
                let is_stopped =
                    victim.gang.is_some_and(|g| stopped_gangs.contains(&g));
                let cost = policy.cost(victim)?;
                Some(if is_stopped { 0.0 } else { cost })
            }
        }
    }

    /// Returns the seconds until the capacity of a run can be free if only
    /// backfill is stopped.
    fn wait_s(&self, victim: &Victim) -> f64 {
        if victim.stopping || victim.yields_to(self.group) {
            0.0
        } else {
            victim.ends_in_s
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
        let ends_in_s = |v: &Victim| match self.mode {
            _ if v.stopping => 0.0,
            FreeingMode::Wait => self.wait_s(v),
            FreeingMode::Preempt(policy) if policy.lets_finish(v) => {
                v.remaining_s
            }
            FreeingMode::Preempt(_) => 0.0,
        };
        let ready_in_s = victims
            .iter()
            .map(|(_, v)| ends_in_s(v))
            .fold(0.0, f64::max);
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
            ready_in_s,
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

pub(super) fn total_cost(options: &[CapacityOption]) -> f64 {
    options.iter().map(|o| o.cost).sum()
}
