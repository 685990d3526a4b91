//! Assignment of the tasks of one step to workers with free resources.
//!
//! Large gangs compete with many small tasks, so placement limits
//! fragmentation: it prefers the worker with the fewest accelerators left
//! over (best fit), which keeps whole workers free. Tasks that run slower
//! when they are spread over racks stay on one rack.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use figrill_state::{
    batch::{Resources, Step},
    runner::UpstreamState,
};

use super::speed::SpeedClass;
use demand::Space;

mod demand;

pub(super) use demand::{Band, SpeedDemand};

/// Free resources that are held back for a group until others are free as well.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reservation {
    resources: Resources,
    /// The seconds until the group is expected to need them.
    ready_in_s: f64,
    /// Whether work of any length may use them until the group needs them.
    allows_backfill: bool,
}

/// The work that reserved resources are lent to.
#[derive(Clone, Copy, Debug)]
pub(super) enum LoanTerm {
    /// Work that takes this long, and ends before the resources are needed.
    EndsWithin(Duration),
    /// Work that is stopped when the resources are needed.
    Backfill,
    /// Any work, to find out whether it would fit.
    Any,
}

/// A worker that may receive tasks, as seen by one planning pass.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    pub(super) agent: String,
    pub(super) service: String,
    pub(super) rack: String,
    pub(super) labels: Vec<String>,
    /// Its free resources, less what this pass has assigned or reserved.
    pub(super) free: Resources,
    /// What runs that end soon free beyond what this pass has reserved. It
    /// can be reserved but not assigned.
    pub(super) expected: Resources,
    pub(super) capacity: Resources,
    /// What is free and reserved.
    pub(super) reservations: Vec<Reservation>,
    /// The number of tasks that it may still get.
    pub(super) max_tasks: u32,
    /// Its speed relative to the other workers.
    pub(super) speed_class: SpeedClass,
    /// The band of its learnt speed, if work is placed by that.
    pub(super) speed_band: Band,
}

impl Candidate {
    /// Returns a worker for which nothing is assigned or reserved yet.
    pub(super) fn new(agent: &str, upstream: &UpstreamState) -> Self {
        Self {
            agent: agent.to_owned(),
            service: upstream.service.clone(),
            rack: upstream.rack.clone(),
            labels: upstream.labels.clone(),
            free: upstream.capacity,
            expected: Resources::default(),
            capacity: upstream.capacity,
            reservations: Vec::new(),
            max_tasks: u32::MAX,
            speed_class: SpeedClass::default(),
            speed_band: Band::default(),
        }
    }

    /// Holds back free resources for a group that needs them in `ready_in_s`
    /// seconds.
    pub(super) fn reserve(
        &mut self,
        resources: &Resources,
        ready_in_s: f64,
        allows_backfill: bool,
    ) {
        let free = self.free.minus(resources);
        let resources = self.free.minus(&free);
        self.free = free;
        self.reservations.push(Reservation {
            resources,
            ready_in_s,
            allows_backfill,
        });
    }

    /// Returns whether reserved resources are lent to backfill.
    pub(super) fn allows_backfill(&self) -> bool {
        self.reservations.iter().any(|r| r.allows_backfill)
    }

    /// Makes the reserved resources free that are lent on these terms. Returns
    /// them, for [`Self::end_loan`].
    pub(super) fn begin_loan(&mut self, term: LoanTerm) -> Loan {
        let is_lent = |r: &mut Reservation| match term {
            LoanTerm::EndsWithin(duration) => {
                r.ready_in_s >= duration.as_secs_f64()
            }
            LoanTerm::Backfill => r.allows_backfill,
            LoanTerm::Any => true,
        };
        let mut loan = Loan::default();
        for lent in self.reservations.extract_if(.., is_lent) {
            loan.resources = loan.resources.plus(&lent.resources);
            loan.ready_in_s = loan.ready_in_s.min(lent.ready_in_s);
            loan.allows_backfill &= lent.allows_backfill;
        }
        self.free = self.free.plus(&loan.resources);
        loan
    }

    /// Reserves the resources of a loan again that are still free.
    pub(super) fn end_loan(&mut self, loan: &Loan) {
        if loan.resources != Resources::default() {
            self.reserve(
                &loan.resources,
                loan.ready_in_s,
                loan.allows_backfill,
            );
        }
    }
}

/// Reserved resources that other tasks may use meanwhile.
#[derive(Clone, Copy, Debug)]
pub(super) struct Loan {
    resources: Resources,
    ready_in_s: f64,
    allows_backfill: bool,
}

impl Default for Loan {
    fn default() -> Self {
        Self {
            resources: Resources::default(),
            ready_in_s: f64::INFINITY,
            allows_backfill: true,
        }
    }
}

/// Pairs of the index of a candidate and the number of tasks assigned to it.
pub(super) type Assignment = Vec<(usize, u32)>;

/// The requirements of one step for the workers of its tasks.
pub(super) struct PlacementRequest<'a> {
    pub(super) service: &'a str,
    pub(super) step: &'a Step,
    /// The number of tasks of this step that are already placed, by agent.
    pub(super) tasks_by_agent: &'a BTreeMap<String, u32>,
    /// Agents that must not be used.
    pub(super) excluded_agents: &'a [String],
    /// Whether fast workers are preferred over keeping whole workers free.
    pub(super) prefer_fast: bool,
    /// The speed that the tasks demand, if work is placed by learnt speeds.
    pub(super) demand: Option<SpeedDemand>,
    /// Whether suspect workers are used like any other.
    pub(super) ignores_suspicion: bool,
}

impl PlacementRequest<'_> {
    /// Returns whether a worker may run the step, regardless of its free
    /// resources.
    pub(super) fn is_eligible(&self, candidate: &Candidate) -> bool {
        let labelled = self
            .step
            .requires
            .as_ref()
            .is_none_or(|label| candidate.labels.contains(label));
        candidate.service == self.service
            && labelled
            && !self.excluded_agents.contains(&candidate.agent)
    }

    /// Returns how many tasks fit into `available` resources of a worker;
    /// zero if the worker is not eligible.
    pub(super) fn fitting_tasks(
        &self,
        candidate: &Candidate,
        available: &Resources,
    ) -> u32 {
        if !self.is_eligible(candidate) {
            return 0;
        }
        let mut fit = fit_count(available, &self.step.needs);
        if self.step.max_per_worker > 0 {
            let placed = self
                .tasks_by_agent
                .get(&candidate.agent)
                .copied()
                .unwrap_or(0);
            fit = fit.min(self.step.max_per_worker.saturating_sub(placed));
        }
        fit
    }

    /// Returns how many tasks a worker may get into `available` resources.
    pub(super) fn placeable_tasks(
        &self,
        candidate: &Candidate,
        available: &Resources,
    ) -> u32 {
        let fit = self.fitting_tasks(candidate, available);
        if self.ignores_suspicion {
            fit
        } else {
            fit.min(candidate.max_tasks)
        }
    }

    /// Assigns `count` tasks, or returns `None` if they do not all fit. If the
    /// step is bound to one rack, tasks go to several racks only if
    /// `allow_spread` is set.
    pub(super) fn place_all(
        &self,
        candidates: &[Candidate],
        count: u32,
        allow_spread: bool,
    ) -> Option<Assignment> {
        let fill = |rack: Option<&str>| {
            let demand = if rack.is_none() && self.is_rack_bound() {
                self.demand.map(SpeedDemand::spread)
            } else {
                self.demand
            };
            let assignment = self.fill(candidates, count, rack, demand);
            let placed: u32 = assignment.iter().map(|(_, n)| n).sum();
            (placed == count).then_some(assignment)
        };
        if let Some(rack) = &self.step.data_rack
            && let Some(assignment) = fill(Some(rack))
        {
            return Some(assignment);
        }
        let rack_bound = self.is_rack_bound();
        if rack_bound && self.step.data_rack.is_none() {
            let best = racks(candidates)
                .into_iter()
                .filter_map(|rack| fill(Some(rack)))
                .min_by_key(|assignment| {
                    (
                        self.rack_rank(candidates, assignment),
                        self.leftover_accelerators(candidates, assignment),
                    )
                });
            if best.is_some() {
                return best;
            }
        }
        if rack_bound && !allow_spread {
            None
        } else {
            fill(None)
        }
    }

    /// Assigns as many of `count` tasks as fit. If the step is bound to the
    /// rack of its data, the rest goes elsewhere only if `allow_spread` is
    /// set.
    pub(super) fn place_up_to(
        &self,
        candidates: &[Candidate],
        count: u32,
        allow_spread: bool,
    ) -> Assignment {
        let Some(rack) = &self.step.data_rack else {
            return self.fill(candidates, count, None, self.demand);
        };
        let on_rack = self.fill(candidates, count, Some(rack), self.demand);
        let placed: u32 = on_rack.iter().map(|(_, n)| n).sum();
        if placed == count || !allow_spread {
            return on_rack;
        }
        // The workers of that rack are full now, but `candidates` still
        // shows their resources as free, so they have to be left out.
        let spread = self.demand.map(SpeedDemand::spread);
        let elsewhere = self.fill(candidates, count - placed, None, spread);
        let used: BTreeSet<usize> = on_rack.iter().map(|(i, _)| *i).collect();
        let elsewhere =
            elsewhere.into_iter().filter(|(i, _)| !used.contains(i));
        on_rack.iter().copied().chain(elsewhere).collect()
    }

    /// Assigns up to `count` tasks, optionally on one rack only. Workers are
    /// used by best fit, or by speed class first if `prefer_fast` is set.
    /// Workers that seem faulty come last in any case. A `demand` replaces the
    /// speed classes.
    fn fill(
        &self,
        candidates: &[Candidate],
        count: u32,
        rack: Option<&str>,
        demand: Option<SpeedDemand>,
    ) -> Assignment {
        let mut eligible: Vec<Space> = candidates
            .iter()
            .enumerate()
            .filter(|(_, candidate)| rack.is_none_or(|r| candidate.rack == r))
            .filter_map(|(i, candidate)| {
                let fit = self
                    .placeable_tasks(candidate, &candidate.free)
                    .min(count);
                let used = scaled(&self.step.needs, fit);
                let leftover = candidate.free.minus(&used).accelerators;
                let band = match demand {
                    Some(_) => candidate.speed_band,
                    None => {
                        Band::of_class(self.speed_order(candidate.speed_class))
                    }
                };
                (fit > 0).then_some(Space {
                    band,
                    leftover,
                    free: candidate.free.accelerators,
                    candidate: i,
                    fit,
                })
            })
            .collect();
        match demand {
            Some(demand) => demand.arrange(&mut eligible, count),
            None => eligible.sort_unstable(),
        }
        let mut unassigned = count;
        let mut assignment = Vec::new();
        for space in eligible {
            if unassigned == 0 {
                break;
            }
            let assigned = space.fit.min(unassigned);
            unassigned -= assigned;
            assignment.push((space.candidate, assigned));
        }
        assignment
    }

    /// Returns the speed class by which a worker is sorted.
    fn speed_order(&self, speed_class: SpeedClass) -> SpeedClass {
        if self.prefer_fast || speed_class == SpeedClass::Faulty {
            speed_class
        } else {
            SpeedClass::Normal
        }
    }

    /// Returns whether the tasks run slower on other racks.
    const fn is_rack_bound(&self) -> bool {
        self.step.same_rack || self.step.data_rack.is_some()
    }

    /// Returns the rank of the rack of an assignment by the speed of the
    /// slowest worker, lowest first. Without a demand, all racks are equal.
    fn rack_rank(
        &self,
        candidates: &[Candidate],
        assignment: &Assignment,
    ) -> Option<(bool, i64)> {
        let bands = assignment.iter().map(|(i, _)| candidates[*i].speed_band);
        let slowest = bands.min().unwrap_or_default();
        self.demand.map(|demand| demand.rack_rank(slowest))
    }

    /// Returns the number of accelerators that stay free on the workers of
    /// an assignment.
    fn leftover_accelerators(
        &self,
        candidates: &[Candidate],
        assignment: &Assignment,
    ) -> u64 {
        let leftover = |(candidate, count): &(usize, u32)| {
            let used = scaled(&self.step.needs, *count);
            candidates[*candidate].free.minus(&used).accelerators
        };
        assignment.iter().map(leftover).sum()
    }

    /// Returns whether the workers of one rack could hold `count` tasks if
    /// they were empty.
    pub(super) fn fits_on_one_rack(
        &self,
        candidates: &[Candidate],
        count: u32,
    ) -> bool {
        let wanted = self.step.data_rack.as_deref();
        racks(candidates)
            .into_iter()
            .filter(|rack| wanted.is_none_or(|w| w == *rack))
            .any(|rack| {
                let on_rack = candidates.iter().filter(|c| c.rack == rack);
                let fit = on_rack.map(|c| self.fitting_tasks(c, &c.capacity));
                // Tasks that need nothing fit without limit on each worker.
                fit.fold(0, u32::saturating_add) >= count
            })
    }
}

/// Returns the racks of the candidates.
fn racks(candidates: &[Candidate]) -> BTreeSet<&str> {
    candidates.iter().map(|c| c.rack.as_str()).collect()
}

/// Returns how many times `needs` fits into `available`.
fn fit_count(available: &Resources, needs: &Resources) -> u32 {
    let each = |available: u64, need: u64| {
        available.checked_div(need).unwrap_or(u64::from(u32::MAX))
    };
    let fit = each(available.cpu_milli, needs.cpu_milli)
        .min(each(available.memory_mib, needs.memory_mib))
        .min(each(available.accelerators, needs.accelerators));
    u32::try_from(fit).unwrap_or(u32::MAX)
}

/// Returns the resources that `count` tasks need in total.
pub(super) fn scaled(needs: &Resources, count: u32) -> Resources {
    let count = u64::from(count);
    Resources {
        cpu_milli: needs.cpu_milli * count,
        memory_mib: needs.memory_mib * count,
        accelerators: needs.accelerators * count,
    }
}
