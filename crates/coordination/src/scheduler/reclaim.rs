//! Room for what cannot be placed now: taken back from lower priorities
//! for work of priority 0, or kept free as it falls free.

use std::{collections::BTreeSet, time::Duration};

use figrill_state::{
    batch::{Resources, TaskId},
    event::Code,
};

use super::{
    Now, Scheduler,
    job::{Job, Run},
    place::{Site, Wish, scaled},
    plan::{Unit, may_spread, there},
};

/// An accelerator, in cores, where work is compared.
const ACCELERATOR_CORES: f64 = 8.0;

/// What making room on one site takes.
struct Offer {
    site: usize,
    /// Tasks that fit once the victims are gone.
    fit: u32,
    victims: Vec<TaskId>,
    /// What is lost or waited for, in a unit that only compares.
    cost: f64,
}

/// How room is made.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    /// Runs of lower priority are stopped; the cost is the work lost. What
    /// is expected to end soon costs nothing and is left to end.
    Stop(Patience),
    /// Nothing is stopped; the cost is the time until runs end.
    Wait,
}

/// What work of priority 0 waits for rather than stop it.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Patience {
    /// Any run is left to end within this many seconds.
    short_s: f64,
    /// A run that loses more than `dear` is left to end within this many.
    long_s: f64,
    /// Core-seconds.
    costly: f64,
}

impl Patience {
    /// Whether a run is left to end.
    fn leaves(&self, left_s: f64, lost: f64) -> bool {
        left_s <= self.short_s || lost > self.costly && left_s <= self.long_s
    }
}

/// The longest that a claim waits for runs that end by themselves. It leaves
/// time for a stop and a start within the bound on claims.
const CLAIM_PATIENCE: Duration = Duration::from_millis(1600);

/// The share of its slack that a claim waits for them at most.
const PATIENCE_SHARE: f64 = 0.4;

/// How much work may be lost for work of priority 0 beyond its guarantee,
/// as a share of that work.
const LOSS_SHARE: f64 = 0.3;

impl Scheduler {
    /// Stops the runs of lower priority that cost least and make room for a
    /// unit, and keeps that room for it.
    pub(super) fn reclaim(
        &mut self,
        now: Now,
        unit: &Unit,
        sites: &mut [Site],
    ) {
        let waited = now.steady.saturating_sub(unit.ready);
        let slack = unit.slack.mul_f64(PATIENCE_SHARE);
        let after =
            |limit: Duration| limit.saturating_sub(waited).as_secs_f64();
        let patience = Patience {
            short_s: after(CLAIM_PATIENCE.min(slack)),
            long_s: after(CLAIM_PATIENCE),
            costly: self.loss_allowed(unit),
        };
        let way = Way::Stop(patience);
        let offers = self.choose(now, unit, sites, way);
        if !unit.claim && total_cost(&offers) > self.loss_allowed(unit) {
            self.reserve(now, unit, sites);
            return;
        }
        let mut victims = BTreeSet::new();
        for offer in &offers {
            victims.extend(offer.victims.iter().copied());
        }
        self.keep(unit, &offers, sites);
        for victim in victims {
            self.reclaim_run(now, unit, victim, patience);
        }
    }

    /// Core-seconds that may be lost for a unit beyond its guarantee.
    fn loss_allowed(&self, unit: &Unit) -> f64 {
        let job = self.jobs.get(&unit.first().job);
        let step = job.and_then(|j| j.batch.step(unit.first()));
        step.map_or(0.0, |step| {
            #[allow(clippy::cast_precision_loss)]
            let seconds = step.estimate_ms as f64 / 1000.0;
            let tasks = f64::from(unit.count());
            seconds * cores(&step.needs) * tasks * LOSS_SHARE
        })
    }

    /// Keeps room for a unit on the workers that are expected to have it
    /// first.
    pub(super) fn reserve(&self, now: Now, unit: &Unit, sites: &mut [Site]) {
        let offers = self.choose(now, unit, sites, Way::Wait);
        self.keep(unit, &offers, sites);
    }

    fn reclaim_run(
        &mut self,
        now: Now,
        unit: &Unit,
        victim: TaskId,
        patience: Patience,
    ) {
        let Some(job) = self.jobs.get(&victim.job) else {
            return;
        };
        let Some(run) = job.runs.get(&victim) else {
            return;
        };
        let left = time_left(now, job, victim, run);
        let soon = patience.leaves(left, work_lost(now, job, victim));
        if run.stopping.is_some() || soon {
            return;
        }
        let detail = format!("victim={victim} for={}", unit.first());
        self.note(Code::ReclaimStarted, unit.first().job, &detail);
        self.stop(victim, "its capacity is taken back");
        self.stop_gang_of(victim, "a member's capacity is taken back");
    }

    fn keep(&self, unit: &Unit, offers: &[Offer], sites: &mut [Site]) {
        let job = self.jobs.get(&unit.first().job);
        let Some(step) = job.and_then(|j| j.batch.step(unit.first())) else {
            return;
        };
        for offer in offers {
            let kept = scaled(&step.needs, offer.fit);
            let site = &mut sites[offer.site];
            site.free = site.free.minus(&kept);
        }
    }

    /// The sites that can make room for the whole unit at the least cost;
    /// of a unit that is no gang, for as much of it as there can be.
    fn choose(
        &self,
        now: Now,
        unit: &Unit,
        sites: &[Site],
        way: Way,
    ) -> Vec<Offer> {
        let Some(job) = self.jobs.get(&unit.first().job) else {
            return Vec::new();
        };
        let Some(step) = job.batch.step(unit.first()) else {
            return Vec::new();
        };
        let there = there(job, unit.first());
        let wish = Wish {
            service: &job.batch.service,
            step,
            there: &there,
            avoid: &[],
            hurry: unit.priority == 0,
        };
        let waiting: Vec<TaskId> = unit
            .tasks
            .iter()
            .copied()
            .filter(|t| !job.runs.contains_key(t))
            .collect();
        let count = u32::try_from(waiting.len()).unwrap_or(0);
        let bound = step.same_rack && unit.gang;
        let whole = unit.gang;
        let in_rack = |rack: Option<&str>| {
            self.cheapest(now, unit, &wish, sites, way, count, rack)
        };
        if bound {
            let mut racks: Vec<&str> =
                sites.iter().map(|s| s.rack.as_str()).collect();
            racks.sort_unstable();
            racks.dedup();
            let best = racks
                .into_iter()
                .map(|rack| in_rack(Some(rack)))
                .filter(|offers| total_fit(offers) >= count)
                .min_by(|a, b| total_cost(a).total_cmp(&total_cost(b)));
            if let Some(best) = best {
                return best;
            }
            if !may_spread(now, unit, &wish, sites) {
                return Vec::new();
            }
        }
        let offers = in_rack(None);
        if whole && total_fit(&offers) < count {
            return Vec::new();
        }
        offers
    }

    #[allow(clippy::too_many_arguments)]
    fn cheapest(
        &self,
        now: Now,
        unit: &Unit,
        wish: &Wish,
        sites: &[Site],
        way: Way,
        count: u32,
        rack: Option<&str>,
    ) -> Vec<Offer> {
        let mut offers: Vec<Offer> = sites
            .iter()
            .enumerate()
            .filter(|(_, s)| rack.is_none_or(|r| s.rack == r))
            .flat_map(|(i, s)| self.offers(now, unit, wish, i, s, way, count))
            .collect();
        offers.sort_by(|a, b| {
            let each = |o: &Offer| o.cost / f64::from(o.fit.max(1));
            each(a).total_cmp(&each(b))
        });
        let mut left = count;
        let mut used = BTreeSet::new();
        let mut chosen = Vec::new();
        for mut offer in offers {
            if left == 0 {
                break;
            }
            if offer.fit > left || !used.insert(offer.site) {
                continue;
            }
            offer.fit = offer.fit.min(left);
            left -= offer.fit;
            chosen.push(offer);
        }
        chosen
    }

    /// What a site can offer: for each number of tasks up to `count`, the
    /// cheapest victims that make room for them.
    #[allow(clippy::too_many_arguments)]
    fn offers(
        &self,
        now: Now,
        unit: &Unit,
        wish: &Wish,
        index: usize,
        site: &Site,
        way: Way,
        count: u32,
    ) -> Vec<Offer> {
        let mut offers = Vec::new();
        let mut room = site.free;
        let mut victims = Vec::new();
        let mut cost = 0.0;
        let mut last = wish.fitting(site, &room).min(count);
        if last > 0 {
            offers.push(offer(index, last, &victims, cost));
        }
        for (each, task, needs) in self.victims(now, unit, site, way) {
            room = room.plus(&needs);
            victims.push(task);
            cost = match way {
                Way::Stop(_) => cost + each,
                Way::Wait => each.max(cost),
            };
            let fit = wish.fitting(site, &room).min(count);
            if fit > last {
                last = fit;
                offers.push(offer(index, fit, &victims, cost));
            }
        }
        offers
    }

    /// Runs at a site that may make room, the cheapest first.
    fn victims(
        &self,
        now: Now,
        unit: &Unit,
        site: &Site,
        way: Way,
    ) -> Vec<(f64, TaskId, Resources)> {
        let Some(worker) = self.workers.get(&site.agent) else {
            return Vec::new();
        };
        let mut victims: Vec<(f64, TaskId, Resources)> = worker
            .occupied
            .iter()
            .filter_map(|(task, needs)| {
                let job = self.jobs.get(&task.job)?;
                let run = job.runs.get(task)?;
                let cost = match way {
                    Way::Wait => time_left(now, job, *task, run),
                    Way::Stop(_) if run.stopping.is_some() => 0.0,
                    Way::Stop(patience) => {
                        let lost = work_lost(now, job, *task);
                        let left = time_left(now, job, *task, run);
                        if patience.leaves(left, lost) {
                            left / 100.0
                        } else if job.batch.priority <= unit.priority {
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

fn offer(site: usize, fit: u32, victims: &[TaskId], cost: f64) -> Offer {
    Offer {
        site,
        fit,
        victims: victims.to_vec(),
        cost,
    }
}

fn total_fit(offers: &[Offer]) -> u32 {
    offers.iter().map(|o| o.fit).sum()
}

fn total_cost(offers: &[Offer]) -> f64 {
    offers.iter().map(|o| o.cost).sum()
}

/// Seconds until a run is expected to end.
pub(super) fn time_left(now: Now, job: &Job, task: TaskId, run: &Run) -> f64 {
    let estimate = job.batch.step(task).map_or(0, |s| s.estimate_ms);
    let done = f64::from(run.percent) / 100.0;
    let since = run.ordered.unwrap_or(run.since);
    let spent = now.steady.saturating_sub(since).as_secs_f64();
    let gained = f64::from(run.percent.saturating_sub(run.began_at)) / 100.0;
    if gained >= 0.1 {
        return spent / gained * (1.0 - done);
    }
    #[allow(clippy::cast_precision_loss)]
    let estimate = estimate as f64 / 1000.0;
    (estimate * (1.0 - done)).max(0.1)
}

/// Core-seconds that are lost if a run is stopped; for a member of a gang,
/// of the whole gang.
fn work_lost(now: Now, job: &Job, task: TaskId) -> f64 {
    let Some(step) = job.batch.step(task) else {
        return f64::MAX;
    };
    let lost = |run: &Run| {
        let since = run.ordered.unwrap_or(now.steady);
        let spent = now.steady.saturating_sub(since).as_secs_f64();
        // What was saved is at most about a second old.
        if step.checkpoints {
            spent.min(1.0)
        } else {
            spent
        }
    };
    let of_gang = |id: &TaskId| {
        *id == task
            || step.gang
                && id.occurrence == task.occurrence
                && id.step == task.step
    };
    let runs = job.runs.iter().filter(|(id, _)| of_gang(id));
    let seconds: f64 = runs.map(|(_, run)| lost(run)).sum();
    // A started run always costs its start as well.
    (seconds + 0.2) * cores(&step.needs)
}

/// What a task occupies, in cores.
#[allow(clippy::cast_precision_loss)]
fn cores(needs: &Resources) -> f64 {
    needs.cpu_milli as f64 / 1000.0
        + needs.accelerators as f64 * ACCELERATOR_CORES
}
