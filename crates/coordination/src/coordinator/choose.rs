//! Chooses a placement for one job: on which workers it runs, whose capacity
//! it uses, and which borrowers must end first.

use std::collections::BTreeSet;
use std::time::Duration;

use figrill_state::job::{JobId, Shape};
use figrill_state::worker::Capacity;

use crate::message::{Band, Run};

use super::cell::CapacityView;
use super::guarantee::{Claim, Packed};
use super::job_state::{JobState, Phase, PlacementChoice};
use super::placement::Placement;
use super::schedule::{claimed_accelerators, unclaimed_choice};
use super::{Coordinator, placement};

impl Coordinator {
    /// Chooses a placement for a queued job.
    ///
    /// `reserved` is whether the job is the gang that holds the reservation,
    /// `long_share_full` whether it is long work and the share of long work is
    /// used up, and `before` how much of the idle guarantees packs before the
    /// job is placed. Returns `None` if the job must wait.
    pub(super) fn choose(
        &self,
        now: Duration,
        state: &JobState,
        reserved: bool,
        long_share_full: bool,
        before: Packed,
    ) -> Option<PlacementChoice> {
        let shape = &state.header.shape;
        let claim = self.find_claim(state);
        if claim.is_some()
            && let Some(choice) = self.choose_guaranteed(state, claim, before)
        {
            return Some(choice);
        }
        // Work that must not be repeated can't run on borrowed capacity. If it
        // also had to leave enough capacity for the guarantees after the loss
        // of a rack, it might never start. Only repeatable work does so.
        let before = if state.header.repeatable {
            before
        } else {
            Packed {
                after_rack_loss: 0,
                ..before
            }
        };
        if reserved && let Some(choice) = self.choose_reserved(state, before) {
            return Some(choice);
        }
        let enough_free =
            self.cell.free_accelerators() >= shape.total_accelerators();
        if long_share_full || !enough_free {
            return None;
        }
        let free_candidates = |allowed: &dyn Fn(usize) -> bool| {
            placement::candidates(
                &self.cell,
                shape,
                CapacityView::Free,
                allowed,
            )
        };
        let unreserved = free_candidates(&|i: usize| {
            self.is_eligible(state, i)
                && !self.is_reserved_for_other(now, state, i)
        });
        let unpromised = unreserved.iter().find(|placement| {
            self.preserves_guarantees(shape, placement, None, before)
        });
        if let Some(placement) = unpromised {
            return Some(unclaimed_choice(
                placement.clone(),
                Band::Unpromised,
            ));
        }
        if !state.header.repeatable {
            return None;
        }
        // Falls back to workers that are reserved for a gang. The choice is
        // not marked as backfill for that gang, so the gang does not reclaim
        // it.
        let placement = unreserved.into_iter().next().or_else(|| {
            free_candidates(&|i: usize| self.is_eligible(state, i))
                .into_iter()
                .next()
        })?;
        Some(unclaimed_choice(placement, Band::Borrowed))
    }

    /// Chooses a placement on a gang's reserved workers, once it fits there
    /// beside all runs but backfill on borrowed capacity, which it reclaims.
    pub(super) fn choose_reserved(
        &self,
        state: &JobState,
        before: Packed,
    ) -> Option<PlacementChoice> {
        let reservation = self.reservation.as_ref()?;
        let shape = &state.header.shape;
        let is_reserved = |i: usize| {
            reservation.nodes.contains(&i) && self.is_eligible(state, i)
        };
        let candidates = placement::candidates(
            &self.cell,
            shape,
            CapacityView::AfterReclaim,
            is_reserved,
        );
        let (placement, victims) = candidates
            .into_iter()
            .filter_map(|p| {
                let is_backfill = |run| self.is_backfill(run, reservation.job);
                let victims = self.select_victims(shape, &p, is_backfill)?;
                Some((p, victims))
            })
            .min_by_key(|(_, victims)| self.total_reclaim_cost(victims))?;
        let preserved =
            self.preserves_guarantees(shape, &placement, None, before);
        if !preserved && !state.header.repeatable {
            return None;
        }
        let band = if preserved {
            Band::Unpromised
        } else {
            Band::Borrowed
        };
        Some(PlacementChoice {
            placement,
            band,
            claim: None,
            victims,
            backfill_for: None,
        })
    }

    /// Chooses a placement on the workspace's own guarantee. Free capacity is
    /// preferred; otherwise the placement whose borrowers cost least to
    /// reclaim is chosen.
    pub(super) fn choose_guaranteed(
        &self,
        state: &JobState,
        claim: Option<Claim>,
        before: Packed,
    ) -> Option<PlacementChoice> {
        let shape = &state.header.shape;
        let allowed = |i: usize| self.is_eligible(state, i);
        let claimed = claimed_accelerators(shape, claim.as_ref());
        // A claim never has to wait so that the other guarantees can be served
        // after the loss of a rack.
        let after = Packed {
            after_rack_loss: 0,
            ..before.minus(claimed)
        };
        let preserves = |p: &Placement| {
            self.preserves_guarantees(shape, p, claim.as_ref(), after)
        };
        let free = placement::candidates(
            &self.cell,
            shape,
            CapacityView::Free,
            allowed,
        );
        let after_reclaim = || {
            placement::candidates(
                &self.cell,
                shape,
                CapacityView::AfterReclaim,
                allowed,
            )
        };
        let (placement, victims) =
            match free.into_iter().find(|p| preserves(p)) {
                Some(placement) => (placement, BTreeSet::new()),
                None => after_reclaim()
                    .into_iter()
                    .filter(|p| preserves(p))
                    .filter_map(|p| {
                        let victims =
                            self.select_victims(shape, &p, |_| true)?;
                        Some((p, victims))
                    })
                    .min_by_key(|(_, v)| self.total_reclaim_cost(v))?,
            };
        Some(PlacementChoice {
            placement,
            band: Band::Own,
            claim,
            victims,
            backfill_for: None,
        })
    }

    /// Returns whether the idle guarantees still pack at least as well as
    /// `wanted` once a placement is granted.
    pub(super) fn preserves_guarantees(
        &self,
        shape: &Shape,
        placement: &Placement,
        claim: Option<&Claim>,
        wanted: Packed,
    ) -> bool {
        let additional: Vec<(usize, Capacity)> =
            placement.needs(shape).collect();
        self.guarantees
            .pack(&self.cell, &additional, claim)
            .serves(wanted)
    }

    /// Returns the cheapest borrowers that must end to free the capacity for a
    /// placement, or `None` if all of them together are not enough. Only runs
    /// that `is_reclaimable` accepts are considered.
    ///
    /// Runs that are already being reclaimed are chosen first. Another
    /// placement may already be allocated on their capacity, so that the
    /// allocations exceed the worker's capacity until these runs have ended.
    pub(super) fn select_victims(
        &self,
        shape: &Shape,
        placement: &Placement,
        is_reclaimable: impl Fn(Run) -> bool,
    ) -> Option<BTreeSet<Run>> {
        let reclaiming = self.reclaiming_runs();
        let mut victims = BTreeSet::new();
        for (i, need) in placement.needs(shape) {
            let node = &self.cell.nodes()[i];
            let mut used = node.used().plus(need);
            for run in &victims {
                if let Some(allocation) = node.runs().get(run) {
                    used = used.minus(allocation.capacity);
                }
            }
            let mut borrowers: Vec<(bool, u64, Run)> = node
                .runs()
                .iter()
                .filter(|(run, allocation)| {
                    allocation.band == Band::Borrowed
                        && !victims.contains(run)
                        && is_reclaimable(**run)
                })
                .map(|(run, _)| {
                    (!reclaiming.contains(run), self.reclaim_cost(*run), *run)
                })
                .collect();
            borrowers.sort_unstable();
            for (_, _, run) in borrowers {
                if node.capacity.fits(used) {
                    break;
                }
                used = used.minus(node.runs()[&run].capacity);
                victims.insert(run);
            }
            if !node.capacity.fits(used) {
                return None;
            }
        }
        Some(victims)
    }

    /// Returns whether a run is backfill on workers that are reserved for
    /// `gang`.
    pub(super) fn is_backfill(&self, run: Run, gang: JobId) -> bool {
        let state = self.jobs.get(&run.job);
        let allocation = state.and_then(JobState::allocation);
        allocation
            .is_some_and(|a| a.run == run && a.backfill_for == Some(gang))
    }

    /// Returns the borrowers for whose end an attempt in
    /// [`Phase::Reclaiming`] waits.
    pub(super) fn reclaiming_runs(&self) -> BTreeSet<Run> {
        let mut reclaiming = BTreeSet::new();
        for state in self.active_jobs() {
            if let Phase::Reclaiming { victims, .. } = &state.phase {
                reclaiming.extend(victims.iter().copied());
            }
        }
        reclaiming
    }

    /// Returns the sum of the reclaim costs of all victims.
    pub(super) fn total_reclaim_cost(&self, victims: &BTreeSet<Run>) -> u64 {
        victims.iter().map(|run| self.reclaim_cost(*run)).sum()
    }

    /// Returns the relative cost of reclaiming a run. With a checkpoint no
    /// work is lost, but the accelerators are idle for a while. The cost grows
    /// with the number of earlier reclaims, so that the same job is not
    /// reclaimed again and again.
    pub(super) fn reclaim_cost(&self, run: Run) -> u64 {
        let Some(state) = self.jobs.get(&run.job) else {
            return 0;
        };
        let total = u64::from(state.header.shape.total_accelerators());
        total * (1 + u64::from(state.reclaims))
    }

    /// Returns whether the health of a worker and the job's earlier failures
    /// allow the job to run there.
    pub(super) fn is_eligible(&self, state: &JobState, i: usize) -> bool {
        let node = &self.cell.nodes()[i];
        if self.avoids(state, &node.name) {
            return false;
        }
        // A quarantined worker is only probed with work that may be repeated.
        state.header.repeatable || !self.health.is_quarantined(&node.name)
    }

    /// Returns whether a job must avoid a worker because it failed there. It
    /// may use the worker again if it would not fit on the others even if they
    /// were empty.
    pub(super) fn avoids(&self, state: &JobState, worker: &str) -> bool {
        let nodes = self.cell.nodes();
        let others =
            |i: usize| !state.excluded_workers.contains(&nodes[i].name);
        state.excluded_workers.contains(worker)
            && placement::fits_when_empty(
                &self.cell,
                &state.header.shape,
                others,
            )
    }
}
