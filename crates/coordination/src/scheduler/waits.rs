//! The reasons for which work waits although it would fit on free capacity, and
//! how long it waits at most for each of them.
//!
//! Such a wait gives others, or the work itself, a better place later. It is
//! not worth that while most of a service is idle, so it ends soon then.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use figrill_state::{
    batch::{Resources, Step},
    event::Code,
};

use super::{
    Now, Scheduler,
    place::{Candidate, LoanTerm, PlacementRequest},
    plan::{may_spread, tasks_by_agent},
    task_group::{GroupContext, TaskGroup},
    victims::{GangKey, gang_key},
};

/// How long work waits at most, for whatever reason, while most of its service
/// is idle. It has to start within three seconds, of which a commit and the
/// messages to the agents take a part.
const MAX_IDLE_WAIT: Duration = Duration::from_millis(1500);

/// How long capacity that a group is about to need is not lent to work that
/// would have to be stopped for the group at once.
const MAX_UNLENT_TIME: Duration = Duration::from_secs(1);

/// The same while runs are being stopped for the group. They take the grace
/// period and the messages to the agents and back.
const MAX_STOP_TIME: Duration = Duration::from_millis(2500);

/// How long it is remembered why a group waits. Then that is checked and logged
/// again.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// The maximum number of groups that one planning pass checks.
const MAX_CHECKS: usize = 2;

/// A reason for which work waits that would fit.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum WaitReason {
    /// It would run slower on the racks that have capacity for it.
    Rack,
    /// The capacity is reserved for another group.
    Reservation,
    /// It avoids the workers that have capacity for it, because runs have
    /// failed there.
    Worker,
}

impl WaitReason {
    /// All reasons.
    pub const ALL: [Self; 3] = [Self::Rack, Self::Reservation, Self::Worker];

    /// Returns the name used in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Rack => "rack",
            Self::Reservation => "reservation",
            Self::Worker => "worker",
        }
    }
}

/// How long a group waits at most for each reason.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitLimits {
    rack: Duration,
    reservation: Duration,
}

impl WaitLimits {
    /// Returns the limits of a step that is expected to run for
    /// `expected_duration`.
    pub(super) fn new(
        cx: &GroupContext,
        step: &Step,
        expected_duration: Duration,
    ) -> Self {
        let rack = if cx.claim {
            expected_duration.min(cx.max_claim_rack_wait)
        } else {
            expected_duration.mul_f64(cx.rack_patience)
        };
        // Work that lasts loses its service while it waits, also on a service
        // that is busy.
        let limit = if cx.is_mostly_idle || step.persistent {
            MAX_IDLE_WAIT
        } else {
            Duration::MAX
        };
        Self {
            rack: rack.min(limit),
            reservation: limit,
        }
    }

    /// Returns the limit for a reason.
    pub(super) const fn of(&self, reason: WaitReason) -> Duration {
        match reason {
            WaitReason::Rack => self.rack,
            WaitReason::Reservation => self.reservation,
            // Runs there would probably fail, and use up attempts of the job.
            WaitReason::Worker => Duration::MAX,
        }
    }
}

/// What a check of a waiting group has found.
#[derive(Clone, Copy, Debug)]
struct Check {
    made_at: Duration,
    /// The reason for which it waits; `None` if it does not fit.
    reason: Option<WaitReason>,
    waits_since: Duration,
}

/// The groups that wait, and the reservations for some of them.
#[derive(Debug, Default)]
pub(super) struct Waits {
    /// The latest check of each group.
    checks: BTreeMap<GangKey, Check>,
    /// The number of checks in the current planning pass.
    checks_in_pass: usize,
    /// Since when each group with a reservation has been about to need it.
    needed_since: BTreeMap<GangKey, Duration>,
    /// The groups that had a reservation in the latest planning pass.
    reserving: BTreeSet<GangKey>,
}

impl Scheduler {
    /// Returns how long work has waited at most that would fit, by reason.
    #[must_use]
    pub fn longest_wait(&self, now: Now, reason: WaitReason) -> Duration {
        let checks = self.waits.checks.values();
        let of_reason = checks.filter(|c| c.reason == Some(reason));
        let since = of_reason.map(|c| c.waits_since).min();
        since.map_or(Duration::ZERO, |at| now.monotonic.saturating_sub(at))
    }

    /// Prepares for a planning pass.
    pub(super) fn begin_waits(&mut self, now: Now) {
        let waits = &mut self.waits;
        let is_recent = |c: &Check| now.monotonic < c.made_at + CHECK_INTERVAL;
        waits.checks.retain(|_, check| is_recent(check));
        waits.checks_in_pass = 0;
        let reserving = std::mem::take(&mut waits.reserving);
        waits
            .needed_since
            .retain(|group, _| reserving.contains(group));
    }

    /// Records why a group waits if it would fit on free capacity.
    pub(super) fn record_wait(
        &mut self,
        now: Now,
        group: &TaskGroup,
        candidates: &[Candidate],
    ) {
        if !self.is_check_due(now, group) {
            return;
        }
        let reason = self.wait_reason(now, group, candidates);
        self.record_check(now, group, reason);
        let Some(reason) = reason else {
            return;
        };
        let limit = group.waits.of(reason);
        let limit_ms = if limit == Duration::MAX {
            "none".to_owned()
        } else {
            limit.as_millis().to_string()
        };
        let detail = format!(
            "task={} count={} reason={} waited_ms={} limit_ms={limit_ms}",
            group.first(),
            group.count(),
            reason.name(),
            group.waited(now).as_millis(),
        );
        self.record_event(Code::JobWaits, group.first().job, &detail);
    }

    /// Records that a group gets capacity neither when runs end nor by stopping
    /// those that it may stop.
    pub(super) fn record_blocked(&mut self, now: Now, group: &TaskGroup) {
        let check = self.waits.checks.get(&gang_key(group.first()));
        let does_not_fit =
            |c: &Check| c.made_at == now.monotonic && c.reason.is_none();
        if !check.is_some_and(does_not_fit) {
            return;
        }
        let detail = format!(
            "task={} count={} gang={} priority={} waited_ms={}",
            group.first(),
            group.count(),
            group.gang,
            group.priority,
            group.waited(now).as_millis(),
        );
        self.record_event(Code::JobBlocked, group.first().job, &detail);
    }

    fn is_check_due(&self, now: Now, group: &TaskGroup) -> bool {
        group.waited(now) >= MAX_IDLE_WAIT
            && self.waits.checks_in_pass < MAX_CHECKS
            && !self.waits.checks.contains_key(&gang_key(group.first()))
    }

    fn record_check(
        &mut self,
        now: Now,
        group: &TaskGroup,
        reason: Option<WaitReason>,
    ) {
        let check = Check {
            made_at: now.monotonic,
            reason,
            waits_since: group.ready_at,
        };
        self.waits.checks_in_pass += 1;
        self.waits.checks.insert(gang_key(group.first()), check);
    }

    /// Records that tasks of a group were placed.
    pub(super) fn end_wait(&mut self, group: &TaskGroup) {
        let key = gang_key(group.first());
        self.waits.checks.remove(&key);
        self.waits.needed_since.remove(&key);
    }

    /// Returns the tasks of a group that may use capacity which is reserved for
    /// another group, if it has room for them twice over.
    ///
    /// Work that would lose its progress when that group starts gets only as
    /// much as keeps its job going.
    pub(super) fn backfill_of(
        &self,
        now: Now,
        mut group: TaskGroup,
        candidates: &[Candidate],
    ) -> Option<TaskGroup> {
        let job = self.jobs.get(&group.first().job)?;
        let step = job.batch.step(group.first())?;
        let loses_progress = !step.persistent && !step.checkpoints;
        if loses_progress && !job.runs.is_empty() {
            return None;
        }
        if loses_progress && !group.gang {
            group.tasks.truncate(1);
        }
        let needed = if group.gang { group.count() } else { 1 };
        let avoidance = self.avoidance(now, &group, candidates);
        let tasks_by_agent = tasks_by_agent(job, group.first());
        let request = PlacementRequest {
            service: &job.batch.service,
            step,
            tasks_by_agent: &tasks_by_agent,
            excluded_agents: &avoidance.agents,
            prefer_fast: false,
            demand: None,
            ignores_suspicion: false,
        };
        let fit = candidates.iter().map(|candidate| {
            let mut candidate = candidate.clone();
            candidate.begin_loan(LoanTerm::Backfill);
            request.placeable_tasks(&candidate, &candidate.free)
        });
        let has_room =
            fit.fold(0, u32::saturating_add) >= needed.saturating_mul(2);
        has_room.then_some(group)
    }

    /// Returns whether the capacity that is reserved for a group, which needs it
    /// in `ready_in_s` seconds, is lent to backfill. `is_stopping` says whether
    /// it waits for runs that are being stopped.
    pub(super) fn lends_to_backfill(
        &mut self,
        now: Now,
        group: &TaskGroup,
        ready_in_s: f64,
        is_stopping: bool,
    ) -> bool {
        let Waits {
            needed_since,
            reserving,
            ..
        } = &mut self.waits;
        let key = gang_key(group.first());
        if ready_in_s >= MAX_UNLENT_TIME.as_secs_f64() {
            return true;
        }
        reserving.insert(key);
        let since = *needed_since.entry(key).or_insert(now.monotonic);
        let limit = if is_stopping {
            MAX_STOP_TIME
        } else {
            MAX_UNLENT_TIME
        };
        now.monotonic >= since + limit
    }

    /// Returns the reason without which a group would fit on free capacity. If
    /// there are several, the last one in their order.
    fn wait_reason(
        &self,
        now: Now,
        group: &TaskGroup,
        candidates: &[Candidate],
    ) -> Option<WaitReason> {
        let job = self.jobs.get(&group.first().job)?;
        let step = job.batch.step(group.first())?;
        let avoidance = self.avoidance(now, group, candidates);
        let tasks_by_agent = tasks_by_agent(job, group.first());
        let mut request = PlacementRequest {
            service: &job.batch.service,
            step,
            tasks_by_agent: &tasks_by_agent,
            excluded_agents: &avoidance.agents,
            prefer_fast: false,
            demand: None,
            ignores_suspicion: false,
        };
        let count = if group.gang { group.count() } else { 1 };
        let fits = |request: &PlacementRequest, candidates: &[Candidate]| {
            request.place_all(candidates, count, true).is_some()
        };
        if fits(&request, candidates)
            && !may_spread(now, group, &request, candidates)
        {
            return Some(WaitReason::Rack);
        }
        let mut candidates = candidates.to_vec();
        for candidate in &mut candidates {
            candidate.begin_loan(LoanTerm::Any);
        }
        if fits(&request, &candidates) {
            return Some(WaitReason::Reservation);
        }
        request.excluded_agents = &[];
        request.ignores_suspicion = true;
        fits(&request, &candidates).then_some(WaitReason::Worker)
    }

    /// Returns the services of which less than half of the capacity is in use:
    /// less than half of the processors and of the accelerators.
    pub(super) fn mostly_idle_services(&self) -> Vec<String> {
        let mut by_service: BTreeMap<&str, (Resources, Resources)> =
            BTreeMap::new();
        for worker in self.workers.values() {
            let Some(upstream) = &worker.upstream else {
                continue;
            };
            let (free, capacity) =
                by_service.entry(&upstream.service).or_default();
            *free = free.plus(&worker.free());
            *capacity = capacity.plus(&upstream.capacity);
        }
        by_service
            .into_iter()
            .filter(|(_, (free, capacity))| is_mostly_free(free, capacity))
            .map(|(service, _)| service.to_owned())
            .collect()
    }
}

fn is_mostly_free(free: &Resources, capacity: &Resources) -> bool {
    // A service may have no accelerators at all.
    let is_free = |free: u64, capacity: u64| {
        capacity == 0 || free.saturating_mul(2) > capacity
    };
    is_free(free.cpu_milli, capacity.cpu_milli)
        && is_free(free.accelerators, capacity.accelerators)
}
