//! Which running work is firm and which is borrowed, as capacity comes and
//! goes.
//!
//! Answers the loss of workers: what was beyond all guarantees when it was
//! granted may stand in their way afterwards, and is then borrowed.

use figrill_state::worker::Capacity;

use super::{
    Coordinator, cell::WorkerAllocation, guarantee::Packed,
    job_state::JobState, schedule::claimed_accelerators,
};
use crate::message::{Band, Run};

/// The most borrowers that one tick looks at.
const MAX_PROMOTIONS: usize = 4;

impl Coordinator {
    /// Makes borrowed work firm where that costs no guarantee any more: it
    /// then need not be reclaimed later.
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

    /// Makes work borrowed that stands in the way of guarantees, if some
    /// can't be served. Work that may not be repeated is never borrowed.
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
                unpromised
                    .then(|| (state.header.shape.total(), allocation.run))
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

    fn set_run_band(&mut self, run: Run, band: Band) {
        let needs: Vec<(usize, Capacity)> = self.needs_of(run);
        for (i, need) in needs {
            self.cell.allocate(i, run, WorkerAllocation { need, band });
        }
        if let Some(state) = self.jobs.get_mut(&run.job) {
            state.header.band = band;
            state.set_band(band);
        }
    }

    /// What a run takes, by worker.
    fn needs_of(&self, run: Run) -> Vec<(usize, Capacity)> {
        let nodes = self.cell.nodes().iter().enumerate();
        nodes
            .filter_map(|(i, n)| Some((i, n.runs().get(&run)?.need)))
            .collect()
    }
}
