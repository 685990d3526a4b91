//! The order in which waiting tasks are placed.
//!
//! The order is meant for heavy bursts of work. Priority 0, the highest, goes
//! first; within it, claims on a workspace's guarantee go first. After that,
//! the earliest deadline goes first, or with the feature `delay_cost` the work
//! whose delay costs most; see [`super::cost`]. Work of lower priority that has
//! waited long gets a reservation, so that later and smaller work cannot starve
//! it.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write,
    time::Duration,
};

use figrill_state::{
    batch::{BatchId, Placement, TaskId},
    event::Code,
};

use super::{
    Now, Scheduler,
    avoidance::FailureHistory,
    job::Job,
    place::{
        Assignment, Candidate, Loan, LoanTerm, PlacementRequest, SpeedDemand,
        scaled,
    },
    task_group::{GroupContext, TaskGroup, add_groups},
    waits::WaitReason,
};

/// How long a group waits before capacity is freed or reserved for it, unless
/// it gets that at once.
const RESERVATION_WAIT: Duration = Duration::from_millis(1500);

/// The maximum number of groups that have waited for [`RESERVATION_WAIT`] for
/// which one planning pass frees or reserves capacity.
const MAX_RESERVATIONS: usize = 2;

/// The maximum number of groups that one planning pass looks at. The reports of
/// agents wait meanwhile, and with them the leases of runs.
const MAX_GROUPS: usize = 1024;

/// The number of groups that each pass looks at if there are more than
/// [`MAX_GROUPS`]: the first ones in order.
const MAX_FIRST_GROUPS: usize = 768;

/// The factor applied to the median run time of a queue's tasks. A task is
/// assumed to take at least the result, whatever its estimate says.
const TYPICAL_DURATION_FACTOR: f64 = 0.7;

/// The site is crowded while less than one in this many accelerators is free.
const CROWDED_FREE_DIVISOR: u64 = 3;

impl Scheduler {
    /// Places waiting tasks in order. For those that do not fit, preempts runs
    /// or reserves capacity: at once or once they have waited for
    /// [`RESERVATION_WAIT`]; see [`Scheduler::gets_capacity_at_once`].
    pub(super) fn plan(&mut self, now: Now) {
        self.begin_waits(now);
        let claims = self.claims();
        if self.features.delay_cost {
            self.refill_budget(now);
        }
        let (mut groups, mut has_more) = self.pending_groups(now, &claims);
        if groups.is_empty() {
            return;
        }
        if !self.may_start(now) {
            self.record_withheld_starts(now);
            return;
        }
        if self.features.delay_cost {
            self.order_by_delay_cost(now, &mut groups);
        } else {
            groups
                .sort_by_key(|g| (g.priority, !g.claim, g.due_ms, g.first()));
        }
        has_more |= self.limit_pass(&mut groups);
        let mut candidates = self.candidates(now);
        let mut victims = None;
        let mut reserved = 0;
        let mut full = BTreeSet::new();
        for group in &groups {
            let shape = self.shape_of(group);
            let placed = if shape.is_some_and(|s| full.contains(&s)) {
                0
            } else {
                self.place_with_loans(now, group, &mut candidates)
            };
            // What did not fit does not fit for later tasks of its shape.
            full.extend(shape.filter(|_| placed == 0));
            // The next pass has other tasks, and may find room for them.
            self.pending_work.plan |= has_more && placed > 0;
            self.record_turn(group, placed);
            if placed > 0 {
                self.end_wait(group);
            }
            if placed == group.count() {
                continue;
            }
            self.record_wait(now, group, &candidates);
            let is_next = group.waited(now) >= RESERVATION_WAIT
                && reserved < MAX_RESERVATIONS;
            if !self.gets_capacity_at_once(now, group) {
                if !is_next {
                    continue;
                }
                reserved += 1;
            }
            let victims =
                victims.get_or_insert_with(|| self.victims(now, &claims));
            self.preempt_for_group(now, group, &mut candidates, victims);
        }
    }

    /// Drops groups, which are in order, if there are too many for one pass.
    /// Besides the first ones, the passes look at the others in turn. Returns
    /// whether any were dropped.
    fn limit_pass(&mut self, groups: &mut Vec<TaskGroup>) -> bool {
        if groups.len() <= MAX_GROUPS {
            return false;
        }
        let others = groups.split_off(MAX_FIRST_GROUPS);
        let from = self.pending_work.next_group % others.len();
        let count = MAX_GROUPS - MAX_FIRST_GROUPS;
        self.pending_work.next_group = from + count;
        let in_turn = others.into_iter().skip(from).take(count);
        groups.extend(in_turn);
        true
    }

    /// Returns a value that is the same for groups of one job that fit on the
    /// same workers; `None` if that depends on more than their steps.
    fn shape_of(&self, group: &TaskGroup) -> Option<(BatchId, usize)> {
        let task = group.first();
        let job = self.jobs.get(&task.job)?;
        let step = job.batch.step(task)?;
        let is_plain = !step.same_rack
            && step.data_rack.is_none()
            && step.max_per_worker == 0
            && group.history == FailureHistory::default();
        is_plain.then(|| (task.job, job.shape(task.step)))
    }

    /// Returns the groups of tasks that wait to be placed, and whether there are
    /// more than one pass looks at.
    fn pending_groups(
        &mut self,
        now: Now,
        claims: &BTreeSet<BatchId>,
    ) -> (Vec<TaskGroup>, bool) {
        let max_claim_rack_wait = self.max_preemption_wait();
        // A gang that is spread takes its capacity from others for longer.
        let rack_patience = if self.is_crowded() {
            1.0 + self.limits.spread_slowdown
        } else {
            1.0
        };
        let typical_durations = self.typical_durations();
        let idle_services = self.mostly_idle_services();
        let mut groups = Vec::new();
        let mut has_more = false;
        for job in self.jobs.values_mut() {
            if job.progress.state.is_final() || job.batch.cancelled {
                continue;
            }
            let cx = GroupContext {
                now,
                claim: claims.contains(&job.batch.id),
                is_mostly_idle: idle_services.contains(&job.batch.service),
                typical_duration: typical_durations
                    .get(&job.batch.queue)
                    .copied()
                    .unwrap_or_default(),
                max_claim_rack_wait,
                rack_patience,
                worker_health: self.features.worker_health,
            };
            has_more |= add_groups(job, cx, &mut groups);
        }
        self.withhold_orphaned(now, &mut groups);
        (groups, has_more)
    }

    /// Returns the assumed minimum run time of the tasks of each queue.
    fn typical_durations(&mut self) -> BTreeMap<String, Duration> {
        let queues: BTreeSet<String> =
            self.jobs.values().map(|j| j.batch.queue.clone()).collect();
        queues
            .into_iter()
            .map(|queue| {
                let duration = self.typical_duration(&queue);
                (queue, duration)
            })
            .collect()
    }

    /// Returns the assumed minimum run time of the tasks of a queue.
    pub(super) fn typical_duration(&mut self, queue: &str) -> Duration {
        let kind = self.run_times.kind_of_queue(queue);
        let declared = Some(Duration::ZERO);
        let p50 = self.run_times.estimate(kind, declared).p50;
        p50.mul_f64(TYPICAL_DURATION_FACTOR)
    }

    /// Returns the claims: the jobs of priority 0 that fit into the guarantee
    /// of their workspace, which is used up in the order in which they were
    /// accepted.
    fn claims(&self) -> BTreeSet<BatchId> {
        let mut open_jobs: Vec<&Job> = self
            .jobs
            .values()
            .filter(|j| j.batch.priority == 0)
            .filter(|j| !j.progress.state.is_final())
            .collect();
        open_jobs.sort_by_key(|j| (j.batch.accepted_ms, j.batch.id));
        let mut remaining_by_workspace: BTreeMap<&str, u64> = self
            .workspaces
            .iter()
            .map(|(name, w)| (name.as_str(), w.guaranteed))
            .collect();
        let mut claims = BTreeSet::new();
        for job in open_jobs {
            let need = job.max_step_accelerators();
            let remaining = remaining_by_workspace
                .entry(&job.batch.workspace)
                .or_insert(0);
            if need <= *remaining {
                *remaining -= need;
                claims.insert(job.batch.id);
            }
        }
        claims
    }

    /// Returns whether little of the accelerators is free.
    fn is_crowded(&self) -> bool {
        let reported = self.workers.values().filter_map(|w| {
            let capacity = w.upstream.as_ref()?.capacity.accelerators;
            Some((w.free().accelerators, capacity))
        });
        let (free, capacity) =
            reported.fold((0, 0), |(f, c), (free, cap)| (f + free, c + cap));
        free * CROWDED_FREE_DIVISOR < capacity
    }

    /// Returns the workers that may receive tasks now.
    pub(super) fn candidates(&self, now: Now) -> Vec<Candidate> {
        let usable: Vec<_> = self
            .workers
            .iter()
            .filter(|(_, w)| w.is_reachable(now.monotonic))
            .filter(|(_, w)| !self.is_in_drained_domain(w))
            .filter_map(|(agent, w)| Some((agent, w, w.upstream.as_ref()?)))
            .filter(|(_, _, upstream)| !upstream.draining)
            .collect();
        // If more than a third of the workers are quarantined, the cause is
        // probably not the workers, so quarantines are ignored.
        let quarantined =
            |w: &super::Worker| now.monotonic < w.quarantined_until;
        let quarantined_count =
            usable.iter().filter(|(_, w, _)| quarantined(w)).count();
        let quarantine_applies = quarantined_count * 3 <= usable.len();
        usable
            .into_iter()
            .filter(|(_, w, _)| !quarantine_applies || !quarantined(w))
            .filter(|(_, w, _)| w.accepts_starts(now.monotonic))
            // Further runs would end unseen, and an unanswered start would
            // hold up the acknowledgement that makes room in the list.
            .filter(|(_, w, _)| !w.ends_incomplete)
            .map(|(agent, worker, upstream)| Candidate {
                free: worker.free(),
                max_tasks: self.health.max_tasks(agent),
                speed_class: self.speeds.speed_class(now.monotonic, agent),
                speed_band: self.speed_band(now, agent),
                ..Candidate::new(agent, upstream)
            })
            .collect()
    }

    /// Places as many tasks of a group as fit, also on capacity that is
    /// reserved for other groups and lent to this one. Returns the number of
    /// tasks that were placed.
    fn place_with_loans(
        &mut self,
        now: Now,
        group: &TaskGroup,
        candidates: &mut [Candidate],
    ) -> u32 {
        let term = LoanTerm::EndsWithin(group.duration);
        let placed = self.place_on_loan(now, group, candidates, term);
        let may_backfill = group.has_waited(now, WaitReason::Reservation)
            && candidates.iter().any(Candidate::allows_backfill);
        if placed == group.count() || !may_backfill {
            return placed;
        }
        let rest = group.without_first(placed);
        let Some(backfill) = self.backfill_of(now, rest, candidates) else {
            return placed;
        };
        let term = LoanTerm::Backfill;
        placed + self.place_on_loan(now, &backfill, candidates, term)
    }

    fn place_on_loan(
        &mut self,
        now: Now,
        group: &TaskGroup,
        candidates: &mut [Candidate],
        term: LoanTerm,
    ) -> u32 {
        let loans: Vec<Loan> =
            candidates.iter_mut().map(|c| c.begin_loan(term)).collect();
        let is_backfill = matches!(term, LoanTerm::Backfill);
        let placed = self.place_group(now, group, candidates, is_backfill);
        for (candidate, loan) in candidates.iter_mut().zip(&loans) {
            candidate.end_loan(loan);
        }
        placed
    }

    /// Places as many tasks of a group as fit, and a gang only as a whole.
    /// Returns the number of tasks that were placed.
    fn place_group(
        &mut self,
        now: Now,
        group: &TaskGroup,
        candidates: &mut [Candidate],
        is_backfill: bool,
    ) -> u32 {
        let Some(job) = self.jobs.get(&group.first().job) else {
            return 0;
        };
        let Some(step) = job.batch.step(group.first()) else {
            return 0;
        };
        let avoidance = self.avoidance(now, group, candidates);
        let tasks_by_agent = tasks_by_agent(job, group.first());
        let mut request = PlacementRequest {
            service: &job.batch.service,
            step,
            tasks_by_agent: &tasks_by_agent,
            excluded_agents: &avoidance.agents,
            prefer_fast: group.priority == 0,
            demand: self.speed_demand(now, group, job),
            ignores_suspicion: false,
        };
        let allow_spread = may_spread(now, group, &request, candidates);
        let assign = |request: &PlacementRequest,
                      allow_spread|
         -> Assignment {
            if group.gang {
                request
                    .place_all(candidates, group.count(), allow_spread)
                    .unwrap_or_default()
            } else {
                request.place_up_to(candidates, group.count(), allow_spread)
            }
        };
        let mut assignment = Assignment::new();
        if let Some(agents) = &avoidance.preferred {
            request.excluded_agents = agents;
            assignment = assign(&request, false);
        }
        if assignment.is_empty() {
            request.excluded_agents = &avoidance.agents;
            assignment = assign(&request, allow_spread);
        }
        if assignment.is_empty()
            && let Some(agents) = &avoidance.fallback
        {
            // Nothing fits elsewhere, so the avoided agents are used as well.
            request.excluded_agents = agents;
            assignment = assign(&request, allow_spread);
        }
        if assignment.is_empty() && avoidance.is_pressed_claim {
            request.excluded_agents = &[];
            request.ignores_suspicion = true;
            assignment = assign(&request, allow_spread);
        }
        let needs = step.needs;
        let demand = request.demand;
        let mut tasks = group.tasks.iter().copied();
        let mut placed = Vec::new();
        for (candidate, count) in assignment {
            candidates[candidate].free =
                candidates[candidate].free.minus(&scaled(&needs, count));
            candidates[candidate].max_tasks =
                candidates[candidate].max_tasks.saturating_sub(count);
            for task in tasks.by_ref().take(count as usize) {
                placed.push((task, candidates[candidate].agent.clone()));
            }
        }
        let count = u32::try_from(placed.len()).unwrap_or(0);
        self.record_placement(now, group, demand, is_backfill, placed);
        count
    }

    /// Records the placement of tasks of a group. The next commit contains it.
    fn record_placement(
        &mut self,
        now: Now,
        group: &TaskGroup,
        demand: Option<SpeedDemand>,
        is_backfill: bool,
        placed: Vec<(TaskId, String)>,
    ) {
        if placed.is_empty() {
            return;
        }
        let id = group.first().job;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let last_run =
            |job: &Job, task: TaskId| job.task(task).map_or(0, |t| t.run);
        // All members of a gang have the same run number.
        let gang_run =
            placed.iter().map(|(task, _)| last_run(job, *task)).max();
        let needs = job.batch.step(group.first()).map(|s| s.needs);
        let needs = needs.unwrap_or_default();
        let mut detail = String::new();
        let mut probes = Vec::new();
        if let Some(demand) = demand {
            let required = demand.required.speed();
            let _ = write!(detail, " required_speed={required:.2}");
        }
        for (task, agent) in placed {
            let Some(worker) = self.workers.get_mut(&agent) else {
                continue;
            };
            let Some(incarnation) = worker.incarnation().cloned() else {
                continue;
            };
            let run = match (group.gang, gang_run) {
                (true, Some(run)) => run + 1,
                _ => last_run(job, task) + 1,
            };
            let checkpoint = job.task(task);
            let checkpoint =
                checkpoint.map(|t| t.checkpoint.clone()).unwrap_or_default();
            worker.allocations.insert(task, needs);
            if self.health.record_placement(&agent, task, run) {
                probes.push(format!("agent={agent} task={task} run={run}"));
            }
            let _ = write!(detail, " {task}/{run}@{agent}");
            let to = Placement {
                agent,
                upstream: incarnation,
            };
            job.place(now.monotonic, task, run, to, &checkpoint);
            if let Some(run) = job.runs.get_mut(&task) {
                run.is_backfill = is_backfill;
            }
        }
        let waited_ms =
            now.monotonic.saturating_sub(group.ready_at).as_millis();
        let due_in_ms = i128::from(group.due_ms) - i128::from(now.wall_ms);
        let claim = group.claim;
        let order = self.order_detail(now, group);
        let detail = format!(
            "waited_ms={waited_ms} due_in_ms={due_in_ms} \
             claim={claim} backfill={is_backfill}{order}{detail}"
        );
        self.dirty.insert(id);
        self.record_event(Code::JobPlaced, id, &detail);
        for detail in probes {
            self.record_event(Code::WorkerProbed, id, &detail);
        }
    }
}

/// Returns the number of current runs of the step and occurrence of `task`,
/// by agent.
pub(super) fn tasks_by_agent(
    job: &Job,
    task: TaskId,
) -> BTreeMap<String, u32> {
    let mut tasks_by_agent = BTreeMap::new();
    for (_, run) in job.runs_of_step(task) {
        *tasks_by_agent.entry(run.agent.clone()).or_insert(0) += 1;
    }
    tasks_by_agent
}

/// Returns whether a group may be spread over racks, where its tasks take
/// longer: if it has waited long enough for one rack, or if it would not fit
/// on any single rack even if that were empty.
pub(super) fn may_spread(
    now: Now,
    group: &TaskGroup,
    request: &PlacementRequest,
    candidates: &[Candidate],
) -> bool {
    group.has_waited(now, WaitReason::Rack)
        || !request.fits_on_one_rack(candidates, group.count())
}
