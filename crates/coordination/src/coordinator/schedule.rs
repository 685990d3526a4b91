//! The scheduling policy of a cell: which queued job is placed next, and
//! where.
//!
//! Claims on a workspace's own guarantee go first, then jobs of the workspace
//! that uses least for its weight. Inside a workspace the order of the queue
//! applies. Jobs that can't be placed are skipped, so that short work does not
//! wait behind a gang that does not fit. A gang that has waited long gets a
//! reservation: its workers accept only work that is expected to end before
//! the gang could start, and repeatable work that fits nowhere else.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use figrill_state::job::{Class, Job, JobId, Shape};
use figrill_state::worker::Capacity;

use crate::message::Band;

use super::guarantee::{Claim, Packed};
use super::job_state::{JobState, Phase, PlacementChoice};
use super::placement::Placement;
use super::queue::Lane;
use super::{Coordinator, placement};
use crate::learn::KindId;

/// The maximum number of queued jobs of one workspace and lane that one pass
/// considers.
const SCAN_DEPTH: usize = 24;

/// How long a gang must have waited before it gets a reservation.
pub const RESERVATION_WAIT: Duration = Duration::from_secs(20);

/// The number of accelerators that long work leaves free for short work even
/// if there is no short work.
const MIN_SHORT_HEADROOM: u32 = 2;

/// The short demand decays by one part in this many at each update. With one
/// update in each [`super::PASS_INTERVAL`], the time constant is ten
/// minutes.
const SHORT_DEMAND_DECAY: u32 = 600;

/// Workers that are reserved for a gang that has waited long.
#[derive(Clone, Debug)]
pub struct Reservation {
    /// The gang that the workers are reserved for.
    pub job: JobId,
    /// The indices of the reserved workers in the cell.
    pub nodes: BTreeSet<usize>,
    /// When the gang is expected to be able to start.
    pub start: Duration,
}

/// The state of one scheduling pass.
struct PassState {
    /// The number of accelerators that each workspace uses.
    used_by_workspace: BTreeMap<String, u32>,
    /// The number of accelerators that long work uses.
    long_accelerators: u32,
    /// The number of accelerators on workers that may be given work.
    accelerators: u32,
    /// How much of the idle guarantees packs now.
    packed: Packed,
    /// The keys of jobs that could not be placed. Later jobs with the same key
    /// are skipped, because a pass only adds allocations.
    unplaceable: Vec<PlacementKey>,
}

/// Everything that determines whether a job can be placed. The state of the
/// cell is not included.
#[derive(Clone, Debug, Eq, PartialEq)]
struct PlacementKey {
    workspace: String,
    shape: Shape,
    repeatable: bool,
    work_kind: KindId,
}

impl PlacementKey {
    fn new(state: &JobState) -> Self {
        Self {
            workspace: state.header.workspace.clone(),
            shape: state.header.shape,
            repeatable: state.header.repeatable,
            work_kind: state.work_kind,
        }
    }
}

impl Coordinator {
    /// Runs one scheduling pass, which places all queued jobs that can be
    /// placed now.
    pub(super) fn schedule(&mut self, now: Duration) {
        let rebuilding = now < self.rebuild_until;
        if rebuilding || self.draining || self.queue.is_empty() {
            return;
        }
        self.refresh_usable(now);
        self.demote_unpromised();
        self.refresh_reservation(now);
        let mut pass = self.pass_state(now);
        let mut heads = self.queue.heads(SCAN_DEPTH);
        for jobs in heads.values_mut() {
            jobs.reverse();
        }
        while let Some(job) = self.next_job(&mut heads, &pass) {
            if self.try_place(now, job, &mut pass) {
                continue;
            }
            self.reserve_if_overdue(now, job);
        }
    }

    /// Takes the first job of the workspace whose turn it is, out of the
    /// remaining `heads`. Returns `None` if there are no more.
    fn next_job(
        &self,
        heads: &mut BTreeMap<String, Vec<JobId>>,
        pass: &PassState,
    ) -> Option<JobId> {
        heads.retain(|_, jobs| !jobs.is_empty());
        let turn = heads
            .iter()
            .min_by_key(|(name, jobs)| {
                let job = jobs.last().copied();
                self.turn_order(name, job, pass)
            })
            .map(|(name, _)| name.clone())?;
        heads.get_mut(&turn)?.pop()
    }

    /// Returns the sort key that orders the workspaces by their first job: the
    /// gang with the reservation, claims on the workspace's own guarantee,
    /// urgent work, then the least use in proportion to weight.
    fn turn_order(
        &self,
        workspace: &str,
        job: Option<JobId>,
        pass: &PassState,
    ) -> (bool, bool, bool, u64) {
        let state = job.and_then(|j| self.jobs.get(&j));
        let urgent = state.is_some_and(|s| s.header.class == Class::Urgent);
        let own = state.is_some_and(|s| self.find_claim(s).is_some());
        let reserved =
            job.is_some() && self.reservation.as_ref().map(|r| r.job) == job;
        let weight = self.tree.workspace(workspace).map_or(1, |w| w.weight);
        let used = pass.used_by_workspace.get(workspace).copied().unwrap_or(0);
        let share = u64::from(used) * 1000 / u64::from(weight.max(1));
        (!reserved, !own, !urgent, share)
    }

    fn pass_state(&self, now: Duration) -> PassState {
        let mut used_by_workspace: BTreeMap<String, u32> = BTreeMap::new();
        let mut long_accelerators = 0;
        for state in self.jobs.values() {
            let Some(allocation) = state.allocation() else {
                continue;
            };
            let total = state.header.shape.total_accelerators();
            *used_by_workspace
                .entry(state.header.workspace.clone())
                .or_default() += total;
            if self.is_long_running(now, state, allocation.placed_at) {
                long_accelerators += total;
            }
        }
        PassState {
            used_by_workspace,
            long_accelerators,
            accelerators: self.cell.accelerators(),
            packed: self.guarantees.pack(&self.cell, &[], None),
            unplaceable: Vec::new(),
        }
    }

    pub(super) fn active_jobs(&self) -> impl Iterator<Item = &JobState> {
        self.active.iter().filter_map(|id| self.jobs.get(id))
    }

    /// Returns whether running work counts as long, either by the run times of
    /// its kind or because it has already run longer than short work may.
    fn is_long_running(
        &self,
        now: Duration,
        state: &JobState,
        placed_at: Duration,
    ) -> bool {
        let limit = self.long_after(state);
        let elapsed = now.saturating_sub(placed_at);
        elapsed > limit || self.estimate(state).p50 > limit
    }

    /// Returns the run time above which a job counts as long.
    pub(super) fn long_after(&self, state: &JobState) -> Duration {
        let header = &state.header;
        let policy = self.tree.policy(&header.workspace, &header.service);
        policy.map_or(Duration::MAX, |p| p.long_after)
    }

    /// Returns the lane of a queued job.
    pub(super) fn lane(&self, state: &JobState) -> Lane {
        if self.estimate(state).p50 > self.long_after(state) {
            Lane::Long
        } else {
            Lane::Short
        }
    }

    /// Places a queued job if it can be placed now. Returns whether it was.
    fn try_place(
        &mut self,
        now: Duration,
        job: JobId,
        pass: &mut PassState,
    ) -> bool {
        let Some(state) = self.jobs.get(&job) else {
            return false;
        };
        if !state.is_queued() || now < state.not_before {
            return false;
        }
        let reserved = self.reservation.as_ref().is_some_and(|r| r.job == job);
        let ordinary = state.excluded_workers.is_empty() && !reserved;
        let key = PlacementKey::new(state);
        if ordinary && pass.unplaceable.contains(&key) {
            return false;
        }
        let is_long = self.lane(state) == Lane::Long;
        let total = state.header.shape.total_accelerators();
        let workspace = state.header.workspace.clone();
        // The workers of a reserved gang have already been drained for it, so
        // the share of long work does not apply to it.
        let reserved = self.reservation.as_ref().is_some_and(|r| r.job == job);
        let full =
            is_long && !reserved && self.long_share_is_full(pass, total);
        let packed = pass.packed;
        let Some(choice) = self.choose(now, state, reserved, full, packed)
        else {
            if ordinary {
                pass.unplaceable.push(key);
            }
            return false;
        };
        self.dispatch(now, job, choice);
        pass.packed = self.guarantees.pack(&self.cell, &[], None);
        *pass.used_by_workspace.entry(workspace).or_default() += total;
        if is_long {
            pass.long_accelerators += total;
        }
        true
    }

    /// Returns whether `additional` accelerators would exceed the share of
    /// long work. Long work leaves free twice what short work has used
    /// recently, but no more than the settings withhold from it. One long job
    /// may exceed the share if there is no other long work.
    fn long_share_is_full(&self, pass: &PassState, additional: u32) -> bool {
        let max_headroom = pass.accelerators * (100 - self.long_share) / 100;
        let headroom = (self.short_demand * 2 / 100 + MIN_SHORT_HEADROOM)
            .min(max_headroom);
        pass.long_accelerators > 0
            && pass.long_accelerators + additional
                > pass.accelerators - headroom
    }

    /// Updates the short demand: the accelerators that short work uses, in
    /// hundredths. It rises at once and decays slowly. Below six accelerators
    /// it does not decay, because the division rounds down.
    pub(super) fn update_short_demand(&mut self, now: Duration) {
        let short: u32 = self
            .active_jobs()
            .filter_map(|state| Some((state, state.allocation()?.placed_at)))
            .filter(|(s, placed_at)| !self.is_long_running(now, s, *placed_at))
            .map(|(state, _)| state.header.shape.total_accelerators() * 100)
            .sum();
        let decayed =
            self.short_demand - self.short_demand / SHORT_DEMAND_DECAY;
        self.short_demand = short.max(decayed);
    }

    /// Updates which workers may be given work: those that are connected, not
    /// in a drained failure domain, and not quarantined, or quarantined but
    /// due to be probed.
    fn refresh_usable(&mut self, now: Duration) {
        for i in 0..self.cell.nodes().len() {
            let node = &self.cell.nodes()[i];
            let usable = self.connected.contains(&node.name)
                && self.health.admits(now, &node.name)
                && !self.is_drained(node);
            self.cell.node_mut(i).usable = usable;
        }
    }

    /// Returns whether the job could still meet its deadline if it started now
    /// and took the 10th percentile of its estimated run time.
    pub(super) fn can_meet_deadline(
        &self,
        now: Duration,
        state: &JobState,
    ) -> bool {
        let Some(job) = &state.job else { return true };
        let Some(deadline) = job.deadline else {
            return true;
        };
        let elapsed = now.saturating_sub(state.submitted_at);
        elapsed + self.estimate(state).p10 <= deadline
    }

    /// Returns whether the jobs that are queued before a new one of the
    /// workspace leave it time to meet its deadline. This uses a lower bound
    /// of their time: each runs for the 10th percentile of its estimated run
    /// time, and together they use the whole cell.
    pub(super) fn queue_allows_deadline(
        &self,
        state: &JobState,
        job: &Job,
    ) -> bool {
        let Some(deadline) = job.deadline else {
            return true;
        };
        let accelerators = u64::from(self.cell.accelerators());
        if accelerators == 0 {
            return true;
        }
        let ahead = self
            .queue
            .heads(usize::MAX)
            .remove(&job.workspace)
            .unwrap_or_default();
        let work: u64 = ahead
            .iter()
            .filter_map(|id| self.jobs.get(id))
            .filter(|other| other.header.class <= state.header.class)
            .map(|other| {
                let ms = self.estimate(other).p10.as_millis();
                let ms = u64::try_from(ms).unwrap_or(u64::MAX);
                ms.saturating_mul(u64::from(
                    other.header.shape.total_accelerators(),
                ))
            })
            .fold(0, u64::saturating_add);
        let wait = Duration::from_millis(work / accelerators);
        wait + self.estimate(state).p10 <= deadline
    }

    /// Returns whether a job in [`Phase::Reclaiming`] no longer waits for any
    /// victim.
    pub(super) fn is_reclaim_complete(&self, phase: &Phase) -> bool {
        let Phase::Reclaiming {
            allocation,
            victims,
            ..
        } = phase
        else {
            return false;
        };
        let nodes: Vec<usize> = allocation
            .members
            .iter()
            .filter_map(|m| self.cell.index(&m.worker))
            .collect();
        !victims.iter().any(|run| {
            nodes
                .iter()
                .any(|i| self.cell.nodes()[*i].runs().contains_key(run))
        })
    }
}

/// Returns a choice that makes no claim and has no victims.
pub(super) const fn unclaimed_choice(
    placement: Placement,
    band: Band,
) -> PlacementChoice {
    PlacementChoice {
        placement,
        band,
        claim: None,
        victims: BTreeSet::new(),
        backfill_for: None,
    }
}

/// Returns how many accelerators of the idle guarantees a claim takes, or how
/// many the shape needs if there is no claim.
pub(super) fn claimed_accelerators(
    shape: &Shape,
    claim: Option<&Claim>,
) -> u32 {
    claim.map_or(shape.total_accelerators(), Claim::accelerators)
}

/// Returns as few workers as possible that together hold the gang, starting
/// with those that hold most parts.
pub(super) fn fewest_workers(
    remaining_by_node: &BTreeMap<usize, Capacity>,
    shape: &Shape,
) -> BTreeSet<usize> {
    let mut fits: Vec<(u32, usize)> = remaining_by_node
        .iter()
        .map(|(i, remaining)| {
            (placement::parts_that_fit(*remaining, shape), *i)
        })
        .filter(|(parts, _)| *parts > 0)
        .collect();
    fits.sort_by_key(|(parts, i)| (std::cmp::Reverse(*parts), *i));
    let mut nodes = BTreeSet::new();
    let mut parts: u32 = 0;
    for (fit, i) in fits {
        if parts >= shape.parts {
            break;
        }
        parts = parts.saturating_add(fit);
        nodes.insert(i);
    }
    nodes
}
