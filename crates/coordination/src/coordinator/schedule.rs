//! Which waiting job goes next, and where: the policy of a cell.
//!
//! Claims on a workspace's own guarantee go first, then the workspace that
//! uses least for its weight. Inside a workspace the queue's order holds;
//! what can't be placed is passed over, so short work does not wait behind
//! a gang that does not fit. A gang that has waited long gets a
//! reservation: its workers take only work that is expected to end before
//! the gang could start.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use figrill_state::{
    job::{Class, Job, JobId, Shape},
    worker::Capacity,
};

use crate::message::{Band, Run};

use super::{
    Coordinator,
    cell::{Booked, View},
    guarantee::{Claim, Packed},
    job_state::{Choice, JobState, Phase},
    learn::KindId,
    placement::{self, Placement},
    queue::Lane,
};

/// The most waiting jobs of one workspace that one pass looks at.
const DEPTH: usize = 24;

/// How long a gang waits before it gets a reservation.
pub const RESERVE_AFTER: Duration = Duration::from_secs(20);

/// The most borrowers that one tick looks at.
const PROMOTIONS: usize = 4;

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
            let total = state.header.shape.total();
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

    fn active_jobs(&self) -> impl Iterator<Item = &JobState> {
        self.active.iter().filter_map(|id| self.jobs.get(id))
    }

    /// Makes borrowed work firm where that costs no guarantee any more: it
    /// then need not be reclaimed later.
    pub(super) fn promote(&mut self) {
        let borrowed: Vec<Run> = self
            .active_jobs()
            .filter_map(JobState::booking)
            .filter(|b| b.band == Band::Borrowed)
            .map(|b| b.run)
            .take(PROMOTIONS)
            .collect();
        for run in borrowed {
            self.promote_run(run);
        }
    }

    fn promote_run(&mut self, run: Run) {
        let Some(state) = self.jobs.get(&run.job) else {
            return;
        };
        let claim = self.claim_of(state);
        let needs: Vec<(usize, Capacity)> = self
            .cell
            .nodes()
            .iter()
            .enumerate()
            .filter_map(|(i, n)| Some((i, n.runs().get(&run)?.need)))
            .collect();
        let before = self.guarantees.pack(&self.cell, &[], None);
        let shape = state.header.shape;
        let claimed = claim_size(&shape, claim.as_ref());
        let own = claim.filter(|claim| {
            let wanted = before.less(claimed);
            let packed = self.guarantees.pack(&self.cell, &needs, Some(claim));
            packed.serves(wanted)
        });
        let firm = || {
            let packed = self.guarantees.pack(&self.cell, &needs, None);
            packed.serves(before)
        };
        let band = match own {
            Some(claim) => {
                self.guarantees.claim(run, claim);
                Band::Own
            }
            None if firm() => Band::Unpromised,
            None => return,
        };
        for (i, need) in needs {
            self.cell.book(i, run, Booked { need, band });
        }
        if let Some(state) = self.jobs.get_mut(&run.job) {
            state.header.band = band;
            state.set_band(band);
        }
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
        elapsed > limit || self.estimate(state).middle > limit
    }

    pub(super) fn long_after(&self, state: &JobState) -> Duration {
        let header = &state.header;
        let policy = self.tree.effective(&header.workspace, &header.service);
        policy.map_or(Duration::MAX, |p| p.long_after)
    }

    /// The lane of a waiting job.
    pub(super) fn lane(&self, state: &JobState) -> Lane {
        if self.estimate(state).middle > self.long_after(state) {
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
        let total = state.header.shape.total();
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
            .map(|(state, _)| state.header.shape.total() * 100)
            .sum();
        let decayed = self.short_demand - self.short_demand / SHORT_DECAY;
        self.short_demand = short.max(decayed);
    }

    /// Chooses a place for a waiting job.
    fn choose(
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
        let enough = self.cell.free_accelerators() >= shape.total();
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
    fn choose_reserved(
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
    fn choose_own(
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
    fn keeps(
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
    fn victims(
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
    fn fills(&self, run: Run, gang: JobId) -> bool {
        let state = self.jobs.get(&run.job);
        let booking = state.and_then(JobState::booking);
        booking.is_some_and(|b| b.run == run && b.under == Some(gang))
    }

    /// Borrowers that were asked to leave and have not left yet.
    fn leaving(&self) -> BTreeSet<Run> {
        let mut leaving = BTreeSet::new();
        for state in self.active_jobs() {
            if let Phase::Reclaiming { victims, .. } = &state.phase {
                leaving.extend(victims.iter().copied());
            }
        }
        leaving
    }

    fn cost(&self, victims: &BTreeSet<Run>) -> u64 {
        victims.iter().map(|run| self.cost_of(*run)).sum()
    }

    /// What it costs to move a borrower: with a checkpoint no work is lost,
    /// but its accelerators idle for a while, and one that was moved before
    /// should not be moved again and again.
    fn cost_of(&self, run: Run) -> u64 {
        let Some(state) = self.jobs.get(&run.job) else {
            return 0;
        };
        let total = u64::from(state.header.shape.total());
        total * (1 + u64::from(state.reclaims))
    }

    fn allows(&self, state: &JobState, i: usize) -> bool {
        let node = &self.cell.nodes()[i];
        if self.excludes(state, &node.name) {
            return false;
        }
        // A quarantined worker is tried with work that may be repeated.
        state.header.repeatable || !self.health.is_quarantined(&node.name)
    }

    /// Whether a job stays off a worker on which it failed: not if the
    /// others could never hold it.
    fn excludes(&self, state: &JobState, worker: &str) -> bool {
        let nodes = self.cell.nodes();
        let others = |i: usize| !state.excluded.contains(&nodes[i].name);
        state.excluded.contains(worker)
            && placement::fits_empty(&self.cell, &state.header.shape, others)
    }

    /// Whether a worker is kept for another gang that would have to wait
    /// longer if this job ran there.
    fn reserves(&self, now: Duration, state: &JobState, i: usize) -> bool {
        let Some(reservation) = &self.reservation else {
            return false;
        };
        let own = state.job.as_ref().map(|j| j.id) == Some(reservation.job);
        if own || !reservation.nodes.contains(&i) {
            return false;
        }
        now + self.estimate(state).high > reservation.start
    }

    fn refresh_usable(&mut self, now: Duration) {
        for i in 0..self.cell.nodes().len() {
            let name = &self.cell.nodes()[i].name;
            let connected = self.connected.contains(name);
            let usable = connected && self.health.admits(now, name);
            self.cell.node_mut(i).usable = usable;
        }
    }

    /// A reservation stays on its workers, so that what drains there is not
    /// lost, until the gang has started or a worker is out of use.
    fn refresh_reservation(&mut self, now: Duration) {
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
            let start = self.earliest(now, job, state, &group, &ends);
            let start = start.map_or(reservation.start, |(start, _)| start);
            Some(Reservation {
                start,
                ..reservation
            })
        } else {
            self.reserve(now, job, &state.header.shape)
        };
    }

    /// Keeps workers for a gang that could not be placed, if it has waited
    /// long and no other gang has a reservation.
    fn consider_reservation(&mut self, now: Duration, job: JobId) {
        if self.reservation.is_some() {
            return;
        }
        let Some(state) = self.jobs.get(&job) else {
            return;
        };
        let waited = now.saturating_sub(state.submitted);
        if !state.is_queued()
            || waited < RESERVE_AFTER
            || now < state.not_before
        {
            return;
        }
        self.reservation = self.reserve(now, job, &state.header.shape);
    }

    /// The workers on which a gang can start first, if all that runs there
    /// ends as expected.
    fn reserve(
        &self,
        now: Duration,
        job: JobId,
        shape: &Shape,
    ) -> Option<Reservation> {
        let state = self.jobs.get(&job)?;
        let ends = self.expected_ends(now);
        let groups = self.cell.groups(shape.adjacency).iter();
        let best = groups
            .filter_map(|group| self.earliest(now, job, state, group, &ends))
            .min_by_key(|(start, _)| *start);
        let (start, nodes) = best?;
        Some(Reservation { job, nodes, start })
    }

    fn expected_ends(&self, now: Duration) -> BTreeMap<Run, Duration> {
        let mut ends = BTreeMap::new();
        for state in self.active_jobs() {
            if let Some(booking) = state.booking() {
                let high = self.estimate(state).high;
                let elapsed = now.saturating_sub(booking.placed);
                // What has outrun its estimate is expected to take as long
                // again as it has taken.
                let left = high.checked_sub(elapsed).unwrap_or(elapsed);
                ends.insert(booking.run, now + left);
            }
        }
        ends
    }

    /// When a group has room for a gang, and on which workers; what fills
    /// them under its reservation leaves when it is asked to.
    fn earliest(
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
            .filter(|i| nodes[*i].usable && self.allows(state, *i))
            .collect();
        let mut rooms: BTreeMap<usize, Capacity> = usable
            .iter()
            .map(|i| (*i, nodes[*i].room(View::Empty)))
            .collect();
        let mut leaving: Vec<(Duration, usize, Capacity)> = Vec::new();
        for &i in &usable {
            let staying = nodes[i]
                .runs()
                .iter()
                .filter(|(run, _)| !self.fills(**run, job));
            for (run, booked) in staying {
                if let Some(room) = rooms.get_mut(&i) {
                    *room = room.minus(booked.need);
                }
                let end = ends.get(run).copied().unwrap_or(now);
                leaving.push((end, i, booked.need));
            }
        }
        leaving.sort_by_key(|(end, i, _)| (*end, *i));
        let mut leaving = leaving.into_iter();
        let mut at = now;
        loop {
            let parts: u32 = rooms
                .values()
                .map(|room| placement::fit(*room, shape))
                .fold(0, u32::saturating_add);
            if parts >= shape.parts {
                return Some((at, emptiest(&rooms, shape)));
            }
            let (end, i, need) = leaving.next()?;
            at = at.max(end);
            if let Some(room) = rooms.get_mut(&i) {
                *room = room.plus(need);
            }
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
        spent + self.estimate(state).low <= deadline
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
                let ms = self.estimate(other).low.as_millis();
                let ms = u64::try_from(ms).unwrap_or(u64::MAX);
                ms.saturating_mul(u64::from(other.header.shape.total()))
            })
            .fold(0, u64::saturating_add);
        let wait = Duration::from_millis(work / all);
        wait + self.estimate(state).low <= deadline
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

const fn plain(placement: Placement, band: Band) -> Choice {
    Choice {
        placement,
        band,
        claim: None,
        victims: BTreeSet::new(),
        under: None,
    }
}

/// How much idle guarantee a claim uses up.
fn claim_size(shape: &Shape, claim: Option<&Claim>) -> u32 {
    claim.map_or(shape.total(), Claim::accelerators)
}

/// The workers with most room that hold the gang together.
fn emptiest(
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
