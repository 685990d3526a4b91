//! Which waiting job goes next, and where: the policy of a cell.
//!
//! Claims on a workspace's own guarantee go first, then the workspace that
//! uses least for its weight. Inside a workspace the queue's order holds;
//! what can't be placed is passed over, so short work does not wait behind
//! a gang that does not fit. A gang that has waited long gets a
//! reservation: its workers take only work that is expected to end before
//! the gang could start.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use figrill_state::job::{Class, Job, JobId, Shape};
use figrill_state::worker::Capacity;

use crate::message::Band;

use super::guarantee::{Claim, Packed};
use super::job_state::{Choice, JobState, Phase};
use super::placement::Placement;
use super::queue::Lane;
use super::{Coordinator, placement};
use crate::learn::KindId;

/// The most waiting jobs of one workspace that one pass looks at.
const DEPTH: usize = 24;

/// How long a gang waits before it gets a reservation.
pub const RESERVE_AFTER: Duration = Duration::from_secs(20);

/// Accelerators left for short work while there is none.
const SPARE: u32 = 2;

/// The part of the short demand that fades with each tick.
const SHORT_DECAY: u32 = 600;

/// Workers kept for a gang that has waited long.
#[derive(Clone, Debug)]
pub struct Reservation {
    /// The gang.
    pub job: JobId,
    /// Its workers.
    pub nodes: BTreeSet<usize>,
    /// When they are expected to be free.
    pub start: Duration,
}

/// What a pass knows of each workspace.
struct Shares {
    used: BTreeMap<String, u32>,
    long: u32,
    all: u32,
    /// Idle guarantee that packs now.
    packed: Packed,
    /// Kinds of jobs that found no place: others of the same kind need not
    /// look, because a pass only fills workers.
    hopeless: Vec<Wish>,
}

/// All that a job's place depends on.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Wish {
    workspace: String,
    shape: Shape,
    repeatable: bool,
    kind: KindId,
}

impl Wish {
    fn new(state: &JobState) -> Self {
        Self {
            workspace: state.header.workspace.clone(),
            shape: state.header.shape,
            repeatable: state.header.repeatable,
            kind: state.kind,
        }
    }
}

impl Coordinator {
    /// Places what can be placed now.
    pub(super) fn schedule(&mut self, now: Duration) {
        if now < self.rebuild_until || self.queue.is_empty() {
            return;
        }
        self.refresh_usable(now);
        self.demote();
        self.refresh_reservation(now);
        let mut shares = self.shares(now);
        let mut heads = self.queue.heads(DEPTH);
        for jobs in heads.values_mut() {
            jobs.reverse();
        }
        while let Some(job) = self.next(&mut heads, &shares) {
            if self.try_place(now, job, &mut shares) {
                continue;
            }
            self.consider_reservation(now, job);
        }
    }

    /// Takes the first job of the workspace whose turn it is.
    fn next(
        &self,
        heads: &mut BTreeMap<String, Vec<JobId>>,
        shares: &Shares,
    ) -> Option<JobId> {
        heads.retain(|_, jobs| !jobs.is_empty());
        let turn = heads
            .iter()
            .min_by_key(|(name, jobs)| {
                let job = jobs.last().copied();
                self.turn(name, job, shares)
            })
            .map(|(name, _)| name.clone())?;
        heads.get_mut(&turn)?.pop()
    }

    /// The order between workspaces: reserved gangs, claims on their own
    /// guarantee, urgent work, then use by weight.
    fn turn(
        &self,
        workspace: &str,
        job: Option<JobId>,
        shares: &Shares,
    ) -> (bool, bool, bool, u64) {
        let state = job.and_then(|j| self.jobs.get(&j));
        let urgent = state.is_some_and(|s| s.header.class == Class::Urgent);
        let own = state.is_some_and(|s| self.claim_of(s).is_some());
        let reserved =
            job.is_some() && self.reservation.as_ref().map(|r| r.job) == job;
        let weight = self.tree.workspace(workspace).map_or(1, |w| w.weight);
        let used = shares.used.get(workspace).copied().unwrap_or(0);
        let share = u64::from(used) * 1000 / u64::from(weight.max(1));
        (!reserved, !own, !urgent, share)
    }

    fn shares(&self, now: Duration) -> Shares {
        let mut used: BTreeMap<String, u32> = BTreeMap::new();
        let mut long = 0;
        for state in self.jobs.values() {
            let Some(booking) = state.booking() else {
                continue;
            };
            let total = state.header.shape.total_accelerators();
            *used.entry(state.header.workspace.clone()).or_default() += total;
            if self.is_long_running(now, state, booking.placed) {
                long += total;
            }
        }
        Shares {
            used,
            long,
            all: self.cell.accelerators(),
            packed: self.guarantees.pack(&self.cell, &[], None),
            hopeless: Vec::new(),
        }
    }

    pub(super) fn active_jobs(&self) -> impl Iterator<Item = &JobState> {
        self.active.iter().filter_map(|id| self.jobs.get(id))
    }

    /// Whether running work is long: by what was learnt of its kind, or
    /// because it has run for longer than short work does.
    fn is_long_running(
        &self,
        now: Duration,
        state: &JobState,
        placed: Duration,
    ) -> bool {
        let limit = self.long_after(state);
        let elapsed = now.saturating_sub(placed);
        elapsed > limit || self.estimate(state).p50 > limit
    }

    pub(super) fn long_after(&self, state: &JobState) -> Duration {
        let header = &state.header;
        let policy = self.tree.effective(&header.workspace, &header.service);
        policy.map_or(Duration::MAX, |p| p.long_after)
    }

    /// The lane of a waiting job.
    pub(super) fn lane(&self, state: &JobState) -> Lane {
        if self.estimate(state).p50 > self.long_after(state) {
            Lane::Long
        } else {
            Lane::Short
        }
    }

    fn try_place(
        &mut self,
        now: Duration,
        job: JobId,
        shares: &mut Shares,
    ) -> bool {
        let Some(state) = self.jobs.get(&job) else {
            return false;
        };
        if !state.is_queued() || now < state.not_before {
            return false;
        }
        let reserved = self.reservation.as_ref().is_some_and(|r| r.job == job);
        let ordinary = state.excluded.is_empty() && !reserved;
        let wish = Wish::new(state);
        if ordinary && shares.hopeless.contains(&wish) {
            return false;
        }
        let long = self.lane(state) == Lane::Long;
        let total = state.header.shape.total_accelerators();
        let workspace = state.header.workspace.clone();
        // A reserved gang has had its workers drained for it already.
        let reserved = self.reservation.as_ref().is_some_and(|r| r.job == job);
        let full = long && !reserved && self.long_share_is_full(shares, total);
        let packed = shares.packed;
        let Some(choice) = self.choose(now, state, reserved, full, packed)
        else {
            if ordinary {
                shares.hopeless.push(wish);
            }
            return false;
        };
        self.dispatch(now, job, choice);
        shares.packed = self.guarantees.pack(&self.cell, &[], None);
        *shares.used.entry(workspace).or_default() += total;
        if long {
            shares.long += total;
        }
        true
    }

    /// Long work leaves room for short work: twice what short work has used
    /// of late, and at most what the settings keep from long work. One gang
    /// may exceed that if there is no other long work.
    fn long_share_is_full(&self, shares: &Shares, more: u32) -> bool {
        let most = shares.all * (100 - self.long_share) / 100;
        let room = (self.short_demand * 2 / 100 + SPARE).min(most);
        shares.long > 0 && shares.long + more > shares.all - room
    }

    /// Follows how many accelerators short work uses, in hundredths: up at
    /// once, down by a part with each tick.
    pub(super) fn watch_short_demand(&mut self, now: Duration) {
        let short: u32 = self
            .active_jobs()
            .filter_map(|state| Some((state, state.booking()?.placed)))
            .filter(|(s, placed)| !self.is_long_running(now, s, *placed))
            .map(|(state, _)| state.header.shape.total_accelerators() * 100)
            .sum();
        let decayed = self.short_demand - self.short_demand / SHORT_DECAY;
        self.short_demand = short.max(decayed);
    }

    fn refresh_usable(&mut self, now: Duration) {
        for i in 0..self.cell.nodes().len() {
            let name = &self.cell.nodes()[i].name;
            let connected = self.connected.contains(name);
            let usable = connected && self.health.admits(now, name);
            self.cell.node_mut(i).usable = usable;
        }
    }

    /// Whether a deadline can still be met if the job started now.
    pub(super) fn can_meet_deadline(
        &self,
        now: Duration,
        state: &JobState,
    ) -> bool {
        let Some(job) = &state.job else { return true };
        let Some(deadline) = job.deadline else {
            return true;
        };
        let spent = now.saturating_sub(state.submitted);
        spent + self.estimate(state).p10 <= deadline
    }

    /// Whether all jobs that wait in front of a new one of the workspace
    /// leave it time to finish, by a lower bound: each runs for the least
    /// that was learnt, and together they fill the whole cell.
    pub(super) fn queue_lets_finish(
        &self,
        state: &JobState,
        job: &Job,
    ) -> bool {
        let Some(deadline) = job.deadline else {
            return true;
        };
        let all = u64::from(self.cell.accelerators());
        if all == 0 {
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
        let wait = Duration::from_millis(work / all);
        wait + self.estimate(state).p10 <= deadline
    }

    /// Whether a waiting reclaim has everything that it waits for.
    pub(super) fn reclaimed(&self, phase: &Phase) -> bool {
        let Phase::Reclaiming {
            booking, victims, ..
        } = phase
        else {
            return false;
        };
        let places: Vec<usize> = booking
            .members
            .iter()
            .filter_map(|m| self.cell.index(&m.worker))
            .collect();
        !victims.iter().any(|run| {
            places
                .iter()
                .any(|i| self.cell.nodes()[*i].runs().contains_key(run))
        })
    }
}

pub(super) const fn plain(placement: Placement, band: Band) -> Choice {
    Choice {
        placement,
        band,
        claim: None,
        victims: BTreeSet::new(),
        under: None,
    }
}

/// How much idle guarantee a claim uses up.
pub(super) fn claim_size(shape: &Shape, claim: Option<&Claim>) -> u32 {
    claim.map_or(shape.total_accelerators(), Claim::accelerators)
}

/// The workers with most room that hold the gang together.
pub(super) fn emptiest(
    rooms: &BTreeMap<usize, Capacity>,
    shape: &Shape,
) -> BTreeSet<usize> {
    let mut fits: Vec<(u32, usize)> = rooms
        .iter()
        .map(|(i, room)| (placement::fit(*room, shape), *i))
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
