//! Reservations for gangs that have waited long. Other work uses the reserved
//! workers only if it is expected to end before the gang could start, or if it
//! is repeatable and no other worker has capacity for it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use figrill_state::job::{JobId, Shape};
use figrill_state::worker::Capacity;

use crate::message::Run;

use super::cell::CapacityView;
use super::job_state::JobState;
use super::schedule::{RESERVATION_WAIT, Reservation, fewest_workers};
use super::{Coordinator, placement};

impl Coordinator {
    /// Returns whether a worker is reserved for another gang whose start this
    /// job would probably delay by running there.
    pub(super) fn is_reserved_for_other(
        &self,
        now: Duration,
        state: &JobState,
        i: usize,
    ) -> bool {
        let Some(reservation) = &self.reservation else {
            return false;
        };
        let own = state.job.as_ref().map(|j| j.id) == Some(reservation.job);
        if own || !reservation.nodes.contains(&i) {
            return false;
        }
        now + self.estimate(state).p90 > reservation.start
    }

    /// Updates the expected start of the reservation. It stays on its workers
    /// until the gang has started, because the capacity that has already
    /// become free there would be lost otherwise. If one of its workers
    /// becomes unusable, a new reservation is planned.
    pub(super) fn refresh_reservation(&mut self, now: Duration) {
        let Some(reservation) = self.reservation.take() else {
            return;
        };
        let job = reservation.job;
        let Some(state) = self.jobs.get(&job).filter(|s| s.is_queued()) else {
            return;
        };
        let nodes = self.cell.nodes();
        let usable = reservation.nodes.iter().all(|i| nodes[*i].usable);
        self.reservation = if usable {
            let group: Vec<usize> =
                reservation.nodes.iter().copied().collect();
            let ends = self.expected_ends(now);
            let start = self.earliest_start(now, job, state, &group, &ends);
            let start = start.map_or(reservation.start, |(start, _)| start);
            Some(Reservation {
                start,
                ..reservation
            })
        } else {
            self.plan_reservation(now, job, &state.header.shape)
        };
    }

    /// Reserves workers for a gang that could not be placed, if it has waited
    /// long enough and no other gang holds a reservation.
    pub(super) fn reserve_if_overdue(&mut self, now: Duration, job: JobId) {
        if self.reservation.is_some() {
            return;
        }
        let Some(state) = self.jobs.get(&job) else {
            return;
        };
        let waited = now.saturating_sub(state.submitted_at);
        if !state.is_queued()
            || waited < RESERVATION_WAIT
            || now < state.not_before
        {
            return;
        }
        self.reservation =
            self.plan_reservation(now, job, &state.header.shape);
    }

    /// Returns the workers on which a gang can start earliest, provided that
    /// everything running there ends when expected.
    pub(super) fn plan_reservation(
        &self,
        now: Duration,
        job: JobId,
        shape: &Shape,
    ) -> Option<Reservation> {
        let state = self.jobs.get(&job)?;
        let ends = self.expected_ends(now);
        let groups = self.cell.groups(shape.adjacency).iter();
        let best = groups
            .filter_map(|group| {
                self.earliest_start(now, job, state, group, &ends)
            })
            .min_by_key(|(start, _)| *start);
        let (start, nodes) = best?;
        Some(Reservation { job, nodes, start })
    }

    /// Returns when each active run is expected to end: after the 90th
    /// percentile of its estimated run time.
    pub(super) fn expected_ends(
        &self,
        now: Duration,
    ) -> BTreeMap<Run, Duration> {
        let mut ends = BTreeMap::new();
        for state in self.active_jobs() {
            if let Some(allocation) = state.allocation() {
                let p90 = self.estimate(state).p90;
                let elapsed = now.saturating_sub(allocation.placed_at);
                // A run that has exceeded its estimate is expected to take as
                // long again as it has taken so far.
                let remaining = p90.checked_sub(elapsed).unwrap_or(elapsed);
                ends.insert(allocation.run, now + remaining);
            }
        }
        ends
    }

    /// Returns when a group first has enough remaining capacity for a gang,
    /// and on which workers. Backfill under the gang's own reservation does
    /// not count, since it is reclaimed when the gang can start. Returns
    /// `None` if the gang would not fit even after the end of all runs.
    pub(super) fn earliest_start(
        &self,
        now: Duration,
        job: JobId,
        state: &JobState,
        group: &[usize],
        ends: &BTreeMap<Run, Duration>,
    ) -> Option<(Duration, BTreeSet<usize>)> {
        let shape = &state.header.shape;
        let nodes = self.cell.nodes();
        let usable: Vec<usize> = group
            .iter()
            .copied()
            .filter(|i| nodes[*i].usable && self.is_eligible(state, *i))
            .collect();
        let mut remaining_by_node: BTreeMap<usize, Capacity> = usable
            .iter()
            .map(|i| (*i, nodes[*i].remaining(CapacityView::Empty)))
            .collect();
        let mut expected_releases: Vec<(Duration, usize, Capacity)> =
            Vec::new();
        for &i in &usable {
            let other_runs = nodes[i]
                .runs()
                .iter()
                .filter(|(run, _)| !self.is_backfill(**run, job));
            for (run, allocation) in other_runs {
                if let Some(remaining) = remaining_by_node.get_mut(&i) {
                    *remaining = remaining.minus(allocation.capacity);
                }
                let end = ends.get(run).copied().unwrap_or(now);
                expected_releases.push((end, i, allocation.capacity));
            }
        }
        expected_releases.sort_by_key(|(end, i, _)| (*end, *i));
        let mut expected_releases = expected_releases.into_iter();
        let mut at = now;
        loop {
            let parts: u32 = remaining_by_node
                .values()
                .map(|remaining| placement::parts_that_fit(*remaining, shape))
                .fold(0, u32::saturating_add);
            if parts >= shape.parts {
                return Some((at, fewest_workers(&remaining_by_node, shape)));
            }
            let (end, i, capacity) = expected_releases.next()?;
            at = at.max(end);
            if let Some(remaining) = remaining_by_node.get_mut(&i) {
                *remaining = remaining.plus(capacity);
            }
        }
    }
}
