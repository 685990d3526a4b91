//! Moves running work between the bands of capacity as workers come and go.
//!
//! Unpromised work was beyond all guarantees when it was granted. After the
//! loss of workers it may prevent guarantees from being served. Unless it must
//! not be repeated, it then becomes borrowed, and so reclaimable. Borrowed work
//! moves the other way once it no longer prevents any guarantee from being
//! served.

use figrill_state::worker::Capacity;

use super::{
    Coordinator, cell::WorkerAllocation, guarantee::Packed,
    job_state::JobState, schedule::claimed_accelerators,
};
use crate::message::{Band, Run};

/// The maximum number of borrowed runs that one call tries to promote.
const MAX_PROMOTIONS: usize = 4;

impl Coordinator {
    /// Claims a share of its workspace's guarantee for a run, if there is
    /// enough.
    pub(super) fn renew_claim(&mut self, run: Run) {
        let Some(state) = self.jobs.get(&run.job) else {
            return;
        };
        if let Some(claim) = self.find_claim(state) {
            self.guarantees.claim(run, claim);
        }
    }

    /// Moves borrowed work to the workspace's own guarantee or to unpromised
    /// capacity where that reduces no guarantee. It then need not be reclaimed
    /// later.
    pub(super) fn promote_borrowed(&mut self) {
        let borrowed: Vec<Run> = self
            .active_jobs()
            .filter_map(JobState::allocation)
            .filter(|a| a.band == Band::Borrowed)
            .map(|a| a.run)
            .take(MAX_PROMOTIONS)
            .collect();
        for run in borrowed {
            self.promote_run(run);
        }
    }

    fn promote_run(&mut self, run: Run) {
        let Some(state) = self.jobs.get(&run.job) else {
            return;
        };
        let claim = self.find_claim(state);
        let needs = self.needs_of(run);
        let before = self.guarantees.pack(&self.cell, &[], None);
        let shape = state.header.shape;
        let claimed = claimed_accelerators(&shape, claim.as_ref());
        let own = claim.filter(|claim| {
            let wanted = before.minus(claimed);
            let packed = self.guarantees.pack(&self.cell, &needs, Some(claim));
            packed.serves(wanted)
        });
        let fits_unpromised = || {
            let packed = self.guarantees.pack(&self.cell, &needs, None);
            packed.serves(before)
        };
        let band = match own {
            Some(claim) => {
                self.guarantees.claim(run, claim);
                Band::Own
            }
            None if fits_unpromised() => Band::Unpromised,
            None => return,
        };
        self.set_run_band(run, band);
    }

    /// Marks unpromised work as borrowed where it prevents guarantees from
    /// being served. Work that must not be repeated never becomes borrowed.
    pub(super) fn demote_unpromised(&mut self) {
        let packed = |this: &Self| -> Packed {
            this.guarantees.pack(&this.cell, &[], None)
        };
        let wanted: u32 = self.guarantees.idle_total();
        if packed(self).now >= wanted {
            return;
        }
        let mut unpromised_runs: Vec<(u32, Run)> = self
            .active_jobs()
            .filter(|state| state.header.repeatable)
            .filter_map(|state| {
                let allocation = state.allocation()?;
                let unpromised = allocation.band == Band::Unpromised;
                unpromised.then(|| {
                    (state.header.shape.total_accelerators(), allocation.run)
                })
            })
            .collect();
        unpromised_runs.sort_unstable();
        for (_, run) in unpromised_runs {
            let before = packed(self);
            if before.now >= wanted {
                return;
            }
            self.set_run_band(run, Band::Borrowed);
            if packed(self).now <= before.now {
                self.set_run_band(run, Band::Unpromised);
            }
        }
    }

    /// Changes the band of a run and of its allocations.
    fn set_run_band(&mut self, run: Run, band: Band) {
        let needs: Vec<(usize, Capacity)> = self.needs_of(run);
        for (i, capacity) in needs {
            self.cell
                .allocate(i, run, WorkerAllocation { capacity, band });
        }
        if let Some(state) = self.jobs.get_mut(&run.job) {
            state.header.band = band;
            state.set_band(band);
        }
    }

    /// Returns the capacity that a run takes from each worker, with the index
    /// of the worker.
    fn needs_of(&self, run: Run) -> Vec<(usize, Capacity)> {
        let nodes = self.cell.nodes().iter().enumerate();
        nodes
            .filter_map(|(i, n)| Some((i, n.runs().get(&run)?.capacity)))
            .collect()
    }
}
