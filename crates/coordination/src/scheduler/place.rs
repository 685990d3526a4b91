//! Which workers the tasks of a step go to, as far as there is room now.
//!
//! Answers the load of large gangs among many small tasks: each task goes
//! where it leaves the least behind, so that whole workers stay free, and
//! tasks that are slower apart stay on one rack.

use std::collections::{BTreeMap, BTreeSet};

use figrill_state::batch::{Resources, Step};

use super::speed::Pace;

/// A worker that may take work, as one pass of planning sees it.
#[derive(Clone, Debug)]
pub(super) struct Site {
    pub(super) agent: String,
    pub(super) service: String,
    pub(super) rack: String,
    pub(super) labels: Vec<String>,
    /// What is free, less what this pass has given away or kept.
    pub(super) free: Resources,
    pub(super) capacity: Resources,
    /// How fast it is.
    pub(super) pace: Pace,
}

/// How many tasks go to which site, by the site's place in the list.
pub(super) type Shares = Vec<(usize, u32)>;

/// What a step asks of its workers.
pub(super) struct Wish<'a> {
    pub(super) service: &'a str,
    pub(super) step: &'a Step,
    /// Tasks of this step that are there already, by agent.
    pub(super) there: &'a BTreeMap<String, u32>,
    /// Agents to be left out.
    pub(super) avoid: &'a [String],
    /// Whether speed matters more than keeping workers whole.
    pub(super) hurry: bool,
}

impl Wish<'_> {
    /// Whether a site may run the step at all.
    pub(super) fn allows(&self, site: &Site) -> bool {
        let labelled = self
            .step
            .requires
            .as_ref()
            .is_none_or(|label| site.labels.contains(label));
        site.service == self.service
            && labelled
            && !self.avoid.contains(&site.agent)
    }

    /// How many tasks fit into `room` at a site.
    pub(super) fn fitting(&self, site: &Site, room: &Resources) -> u32 {
        if !self.allows(site) {
            return 0;
        }
        let mut fit = times(room, &self.step.needs);
        if self.step.max_per_worker > 0 {
            let there = self.there.get(&site.agent).copied().unwrap_or(0);
            fit = fit.min(self.step.max_per_worker.saturating_sub(there));
        }
        fit
    }

    /// Places `count` tasks, all of them or none.
    pub(super) fn whole(
        &self,
        sites: &[Site],
        count: u32,
        spread: bool,
    ) -> Option<Shares> {
        let fill = |rack: Option<&str>| {
            let shares = self.fill(sites, count, rack);
            let placed: u32 = shares.iter().map(|(_, n)| n).sum();
            (placed == count).then_some(shares)
        };
        if let Some(rack) = &self.step.data_rack
            && let Some(shares) = fill(Some(rack))
        {
            return Some(shares);
        }
        let bound = self.step.same_rack || self.step.data_rack.is_some();
        if bound && self.step.data_rack.is_none() {
            let found = racks(sites)
                .into_iter()
                .filter_map(|rack| fill(Some(rack)))
                .min_by_key(|shares| self.left_behind(sites, shares));
            if found.is_some() {
                return found;
            }
        }
        if bound && !spread { None } else { fill(None) }
    }

    /// Places as many of `count` tasks as there is room for.
    pub(super) fn most(
        &self,
        sites: &[Site],
        count: u32,
        spread: bool,
    ) -> Shares {
        let Some(rack) = &self.step.data_rack else {
            return self.fill(sites, count, None);
        };
        let near = self.fill(sites, count, Some(rack));
        let placed: u32 = near.iter().map(|(_, n)| n).sum();
        if placed == count || !spread {
            return near;
        }
        // Sites of that rack have nothing left to give.
        let far = self.fill(sites, count - placed, None);
        let used: BTreeSet<usize> = near.iter().map(|(i, _)| *i).collect();
        let far = far.into_iter().filter(|(i, _)| !used.contains(i));
        near.iter().copied().chain(far).collect()
    }

    /// Fills sites: in a hurry the fastest first, otherwise the tightest
    /// first, and those that seem faulty last.
    fn fill(&self, sites: &[Site], count: u32, rack: Option<&str>) -> Shares {
        let mut open: Vec<(Pace, u64, u64, usize, u32)> = sites
            .iter()
            .enumerate()
            .filter(|(_, site)| rack.is_none_or(|r| site.rack == r))
            .filter_map(|(i, site)| {
                let fit = self.fitting(site, &site.free).min(count);
                let used = scaled(&self.step.needs, fit);
                let left = site.free.minus(&used).accelerators;
                let pace = self.order(site.pace);
                let free = site.free.accelerators;
                (fit > 0).then_some((pace, left, free, i, fit))
            })
            .collect();
        open.sort_unstable();
        let mut left = count;
        let mut shares = Vec::new();
        for (.., site, fit) in open {
            if left == 0 {
                break;
            }
            let here = fit.min(left);
            left -= here;
            shares.push((site, here));
        }
        shares
    }

    /// What a site's pace counts for in the order of sites.
    fn order(&self, pace: Pace) -> Pace {
        if self.hurry || pace == Pace::Faulty {
            pace
        } else {
            Pace::Usual
        }
    }

    /// Accelerators that stay free on the workers that are used.
    fn left_behind(&self, sites: &[Site], shares: &Shares) -> u64 {
        let left = |(site, count): &(usize, u32)| {
            let used = scaled(&self.step.needs, *count);
            sites[*site].free.minus(&used).accelerators
        };
        shares.iter().map(left).sum()
    }

    /// Whether empty workers of one rack could hold `count` tasks.
    pub(super) fn could_share_rack(&self, sites: &[Site], count: u32) -> bool {
        let wanted = self.step.data_rack.as_deref();
        racks(sites)
            .into_iter()
            .filter(|rack| wanted.is_none_or(|w| w == *rack))
            .any(|rack| {
                let there = sites.iter().filter(|s| s.rack == rack);
                let fit = there.map(|s| self.fitting(s, &s.capacity));
                fit.sum::<u32>() >= count
            })
    }
}

fn racks(sites: &[Site]) -> BTreeSet<&str> {
    sites.iter().map(|s| s.rack.as_str()).collect()
}

/// How many times `needs` fits into `room`.
fn times(room: &Resources, needs: &Resources) -> u32 {
    let each = |room: u64, need: u64| {
        room.checked_div(need).unwrap_or(u64::from(u32::MAX))
    };
    let fit = each(room.cpu_milli, needs.cpu_milli)
        .min(each(room.memory_mib, needs.memory_mib))
        .min(each(room.accelerators, needs.accelerators));
    u32::try_from(fit).unwrap_or(u32::MAX)
}

/// `needs` of `count` tasks.
pub(super) fn scaled(needs: &Resources, count: u32) -> Resources {
    let count = u64::from(count);
    Resources {
        cpu_milli: needs.cpu_milli * count,
        memory_mib: needs.memory_mib * count,
        accelerators: needs.accelerators * count,
    }
}
