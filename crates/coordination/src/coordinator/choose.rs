//! A place for one job: which workers, whose capacity, and who leaves.

use std::collections::BTreeSet;
use std::time::Duration;

use figrill_state::job::{JobId, Shape};
use figrill_state::worker::Capacity;

use crate::message::{Band, Run};

use super::cell::View;
use super::guarantee::{Claim, Packed};
use super::job_state::{Choice, JobState, Phase};
use super::placement::Placement;
use super::schedule::{claim_size, plain};
use super::{Coordinator, placement};

impl Coordinator {
    /// Chooses a place for a waiting job.
    pub(super) fn choose(
        &self,
        now: Duration,
        state: &JobState,
        reserved: bool,
        long_share_full: bool,
        before: Packed,
    ) -> Option<Choice> {
        let shape = &state.header.shape;
        let claim = self.claim_of(state);
        if claim.is_some()
            && let Some(choice) = self.choose_own(state, claim, before)
        {
            return Some(choice);
        }
        // Work that may not be repeated can't be borrowed. Room for the loss
        // of a rack is kept by what can: were it kept here too, such work
        // might never start.
        let before = if state.header.repeatable {
            before
        } else {
            Packed {
                without_a_rack: 0,
                ..before
            }
        };
        if reserved && let Some(choice) = self.choose_reserved(state, before) {
            return Some(choice);
        }
        let enough =
            self.cell.free_accelerators() >= shape.total_accelerators();
        if long_share_full || !enough {
            return None;
        }
        let free = |allowed: &dyn Fn(usize) -> bool| {
            placement::candidates(&self.cell, shape, View::Free, allowed)
        };
        let unreserved = free(&|i: usize| {
            self.allows(state, i) && !self.reserves(now, state, i)
        });
        let firm = unreserved
            .iter()
            .find(|placement| self.keeps(shape, placement, None, before));
        if let Some(placement) = firm {
            return Some(plain(placement.clone(), Band::Unpromised));
        }
        if !state.header.repeatable {
            return None;
        }
        // Also workers that are kept for a gang: it takes them back when it
        // can start.
        let placement = unreserved.into_iter().next().or_else(|| {
            free(&|i: usize| self.allows(state, i)).into_iter().next()
        })?;
        Some(plain(placement, Band::Borrowed))
    }

    /// The place that was kept for a reserved gang, once borrowers are all
    /// that is in its way.
    pub(super) fn choose_reserved(
        &self,
        state: &JobState,
        before: Packed,
    ) -> Option<Choice> {
        let reservation = self.reservation.as_ref()?;
        let shape = &state.header.shape;
        let kept =
            |i: usize| reservation.nodes.contains(&i) && self.allows(state, i);
        let found = placement::candidates(&self.cell, shape, View::Firm, kept);
        let (placement, victims) = found
            .into_iter()
            .filter_map(|p| {
                let fills = |run| self.fills(run, reservation.job);
                let victims = self.victims(shape, &p, fills)?;
                Some((p, victims))
            })
            .min_by_key(|(_, victims)| self.cost(victims))?;
        let firm = self.keeps(shape, &placement, None, before);
        if !firm && !state.header.repeatable {
            return None;
        }
        let band = if firm {
            Band::Unpromised
        } else {
            Band::Borrowed
        };
        Some(Choice {
            placement,
            band,
            claim: None,
            victims,
            under: None,
        })
    }

    /// A place on the workspace's own guarantee: free if there is one, or
    /// else the one whose borrowers cost least to move.
    pub(super) fn choose_own(
        &self,
        state: &JobState,
        claim: Option<Claim>,
        before: Packed,
    ) -> Option<Choice> {
        let shape = &state.header.shape;
        let allowed = |i: usize| self.allows(state, i);
        let claimed = claim_size(shape, claim.as_ref());
        // A claim is never held up by a rack that might be lost.
        let after = Packed {
            without_a_rack: 0,
            ..before.less(claimed)
        };
        let keeps =
            |p: &Placement| self.keeps(shape, p, claim.as_ref(), after);
        let free =
            placement::candidates(&self.cell, shape, View::Free, allowed);
        let firm =
            || placement::candidates(&self.cell, shape, View::Firm, allowed);
        let (placement, victims) = match free.into_iter().find(|p| keeps(p)) {
            Some(placement) => (placement, BTreeSet::new()),
            None => firm()
                .into_iter()
                .filter(|p| keeps(p))
                .filter_map(|p| {
                    let victims = self.victims(shape, &p, |_| true)?;
                    Some((p, victims))
                })
                .min_by_key(|(_, v)| self.cost(v))?,
        };
        Some(Choice {
            placement,
            band: Band::Own,
            claim,
            victims,
            under: None,
        })
    }

    /// Whether all idle guarantees still pack once a placement is granted.
    pub(super) fn keeps(
        &self,
        shape: &Shape,
        placement: &Placement,
        claim: Option<&Claim>,
        wanted: Packed,
    ) -> bool {
        let more: Vec<(usize, Capacity)> = placement.needs(shape).collect();
        self.guarantees
            .pack(&self.cell, &more, claim)
            .serves(wanted)
    }

    /// The cheapest borrowers, of those that `may` leave, whose end makes
    /// room for a placement; `None` if they are not enough. Those that leave
    /// already are waited for first: a place that was booked while they
    /// leave takes more than the worker has until they are gone.
    pub(super) fn victims(
        &self,
        shape: &Shape,
        placement: &Placement,
        may: impl Fn(Run) -> bool,
    ) -> Option<BTreeSet<Run>> {
        let leaving = self.leaving();
        let mut victims = BTreeSet::new();
        for (i, need) in placement.needs(shape) {
            let node = &self.cell.nodes()[i];
            let mut used = node.used().plus(need);
            for run in &victims {
                if let Some(booked) = node.runs().get(run) {
                    used = used.minus(booked.need);
                }
            }
            let mut borrowers: Vec<(bool, u64, Run)> = node
                .runs()
                .iter()
                .filter(|(run, b)| {
                    b.band == Band::Borrowed
                        && !victims.contains(run)
                        && may(**run)
                })
                .map(|(run, _)| {
                    (!leaving.contains(run), self.cost_of(*run), *run)
                })
                .collect();
            borrowers.sort_unstable();
            for (_, _, run) in borrowers {
                if node.capacity.fits(used) {
                    break;
                }
                used = used.minus(node.runs()[&run].need);
                victims.insert(run);
            }
            if !node.capacity.fits(used) {
                return None;
            }
        }
        Some(victims)
    }

    /// Whether a run fills workers that are reserved for a gang.
    pub(super) fn fills(&self, run: Run, gang: JobId) -> bool {
        let state = self.jobs.get(&run.job);
        let booking = state.and_then(JobState::booking);
        booking.is_some_and(|b| b.run == run && b.under == Some(gang))
    }

    /// Borrowers that were asked to leave and have not left yet.
    pub(super) fn leaving(&self) -> BTreeSet<Run> {
        let mut leaving = BTreeSet::new();
        for state in self.active_jobs() {
            if let Phase::Reclaiming { victims, .. } = &state.phase {
                leaving.extend(victims.iter().copied());
            }
        }
        leaving
    }

    pub(super) fn cost(&self, victims: &BTreeSet<Run>) -> u64 {
        victims.iter().map(|run| self.cost_of(*run)).sum()
    }

    /// What it costs to move a borrower: with a checkpoint no work is lost,
    /// but its accelerators idle for a while, and one that was moved before
    /// should not be moved again and again.
    pub(super) fn cost_of(&self, run: Run) -> u64 {
        let Some(state) = self.jobs.get(&run.job) else {
            return 0;
        };
        let total = u64::from(state.header.shape.total_accelerators());
        total * (1 + u64::from(state.reclaims))
    }

    pub(super) fn allows(&self, state: &JobState, i: usize) -> bool {
        let node = &self.cell.nodes()[i];
        if self.excludes(state, &node.name) {
            return false;
        }
        // A quarantined worker is tried with work that may be repeated.
        state.header.repeatable || !self.health.is_quarantined(&node.name)
    }

    /// Whether a job stays off a worker on which it failed: not if the
    /// others could never hold it.
    pub(super) fn excludes(&self, state: &JobState, worker: &str) -> bool {
        let nodes = self.cell.nodes();
        let others = |i: usize| !state.excluded.contains(&nodes[i].name);
        state.excluded.contains(worker)
            && placement::fits_empty(&self.cell, &state.header.shape, others)
    }
}
