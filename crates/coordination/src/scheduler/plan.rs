//! What is placed next, and in which order.
//!
//! Answers the heaviest bursts: work of priority 0 goes first and takes
//! capacity back; within a priority, what is due first goes first; and work
//! that has waited long keeps the room that it waits for.

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
    job::Job,
    place::{Shares, Site, Wish, scaled},
};

/// How long a unit waits before the room that it waits for is kept free.
const RESERVE_AFTER: Duration = Duration::from_millis(1500);

/// The most units that have room kept free for them at once.
const RESERVATIONS_MAX: usize = 2;

/// The share of what a queue's tasks usually take that a task is thought to
/// take at least, whatever its estimate says.
const TYPICAL_SHARE: f64 = 0.7;

/// The longest that a claim waits for one rack before it is spread over
/// several; it leaves time to start within the bound on claims.
const CLAIM_PICKY: Duration = Duration::from_secs(2);

/// Tasks of one step that wait to be placed.
#[derive(Clone, Debug)]
pub(super) struct Unit {
    pub(super) tasks: Vec<TaskId>,
    pub(super) gang: bool,
    pub(super) priority: u32,
    /// Since when it could have been placed.
    pub(super) ready: Duration,
    due_ms: u64,
    /// Whether its job is within its workspace's guarantee.
    pub(super) claim: bool,
    /// How long it may wait and still end when its caller wants it, if its
    /// estimate is right.
    pub(super) slack: Duration,
    /// How long its tasks are thought to run.
    pub(super) expected: Duration,
}

/// What units are made with, besides their job.
#[derive(Clone, Copy)]
struct Background {
    now: Now,
    claim: bool,
    /// What tasks of the queue take at least, as learnt.
    typical: Duration,
}

impl Unit {
    /// Any task of it; they are alike.
    pub(super) fn first(&self) -> TaskId {
        self.tasks[0]
    }

    pub(super) fn count(&self) -> u32 {
        u32::try_from(self.tasks.len()).unwrap_or(u32::MAX)
    }
}

impl Scheduler {
    /// Places what can be placed.
    pub(super) fn plan(&mut self, now: Now) {
        let mut units = self.units(now);
        if units.is_empty() {
            return;
        }
        units.sort_by_key(|u| (u.priority, !u.claim, u.due_ms, u.first()));
        let mut sites = self.sites(now);
        let mut reserved = 0;
        for unit in &units {
            let placed = self.place_unit(now, unit, &mut sites);
            if placed == unit.count() {
                continue;
            }
            let waited = now.steady.saturating_sub(unit.ready);
            if unit.priority == 0 {
                self.reclaim(now, unit, &mut sites);
            } else if waited >= RESERVE_AFTER && reserved < RESERVATIONS_MAX {
                reserved += 1;
                self.reserve(now, unit, &mut sites);
            }
        }
    }

    /// Everything that waits to be placed.
    fn units(&mut self, now: Now) -> Vec<Unit> {
        let claims = self.claims();
        let typical = self.typical_times();
        let mut units = Vec::new();
        for job in self.jobs.values_mut() {
            if job.progress.state.is_final() || job.batch.cancelled {
                continue;
            }
            for occurrence in 0..job.batch.occurrences() {
                if job.batch.due_ms(occurrence) > now.wall_ms {
                    break;
                }
                let with = Background {
                    now,
                    claim: claims.contains(&job.batch.id),
                    typical: typical
                        .get(&job.batch.queue)
                        .copied()
                        .unwrap_or_default(),
                };
                units_of(job, occurrence, with, &mut units);
            }
        }
        units
    }

    /// How long tasks of each queue usually run, as far as was learnt.
    fn typical_times(&mut self) -> BTreeMap<String, Duration> {
        let queues: BTreeSet<String> =
            self.jobs.values().map(|j| j.batch.queue.clone()).collect();
        queues
            .into_iter()
            .map(|queue| {
                let kind = self.learner.kind_of_queue(&queue);
                let known = Some(Duration::ZERO);
                let middle = self.learner.estimate(kind, known).middle;
                (queue, middle.mul_f64(TYPICAL_SHARE))
            })
            .collect()
    }

    /// Jobs of priority 0 that fit into the guarantee of their workspace,
    /// in the order in which they were accepted.
    fn claims(&self) -> BTreeSet<BatchId> {
        let mut open: Vec<&Job> = self
            .jobs
            .values()
            .filter(|j| j.batch.priority == 0)
            .filter(|j| !j.progress.state.is_final())
            .collect();
        open.sort_by_key(|j| (j.batch.accepted_ms, j.batch.id));
        let mut left: BTreeMap<&str, u64> = self
            .workspaces
            .iter()
            .map(|(name, w)| (name.as_str(), w.guaranteed))
            .collect();
        let mut claims = BTreeSet::new();
        for job in open {
            let need = job.most_accelerators();
            let left = left.entry(&job.batch.workspace).or_insert(0);
            if need <= *left {
                *left -= need;
                claims.insert(job.batch.id);
            }
        }
        claims
    }

    /// Workers that may take work now.
    pub(super) fn sites(&self, now: Now) -> Vec<Site> {
        let usable: Vec<_> = self
            .workers
            .iter()
            .filter(|(_, w)| w.is_heard(now.steady))
            .filter_map(|(agent, w)| Some((agent, w, w.upstream.as_ref()?)))
            .filter(|(_, _, upstream)| !upstream.draining)
            .collect();
        // A fault that seems to be everywhere is no fault of the workers.
        let suspended = |w: &super::Worker| now.steady < w.suspended_until;
        let bad = usable.iter().filter(|(_, w, _)| suspended(w)).count();
        let believed = bad * 3 <= usable.len();
        usable
            .into_iter()
            .filter(|(_, w, _)| !believed || !suspended(w))
            .map(|(agent, worker, upstream)| Site {
                agent: agent.clone(),
                service: upstream.service.clone(),
                rack: upstream.rack.clone(),
                labels: upstream.labels.clone(),
                free: worker.free(),
                capacity: upstream.capacity,
                pace: self.speeds.pace(now.steady, agent),
            })
            .collect()
    }

    /// Places a unit as far as there is room; a gang whole or not at all.
    /// Returns how many tasks were placed.
    fn place_unit(
        &mut self,
        now: Now,
        unit: &Unit,
        sites: &mut [Site],
    ) -> u32 {
        let Some(job) = self.jobs.get(&unit.first().job) else {
            return 0;
        };
        let Some(step) = job.batch.step(unit.first()) else {
            return 0;
        };
        let there = there(job, unit.first());
        let mut wish = Wish {
            service: &job.batch.service,
            step,
            there: &there,
            avoid: &job.avoid,
            hurry: unit.priority == 0,
        };
        let spread = may_spread(now, unit, &wish, sites);
        let shares = |wish: &Wish| -> Shares {
            if unit.gang {
                wish.whole(sites, unit.count(), spread).unwrap_or_default()
            } else {
                wish.most(sites, unit.count(), spread)
            }
        };
        let mut found = shares(&wish);
        if found.is_empty() && !job.avoid.is_empty() {
            wish.avoid = &[];
            found = shares(&wish);
        }
        let needs = step.needs;
        let mut tasks = unit.tasks.iter().copied();
        let mut placed = Vec::new();
        for (site, count) in found {
            sites[site].free = sites[site].free.minus(&scaled(&needs, count));
            for task in tasks.by_ref().take(count as usize) {
                placed.push((task, sites[site].agent.clone()));
            }
        }
        let count = u32::try_from(placed.len()).unwrap_or(0);
        self.commit_placement(now, unit, placed);
        count
    }

    fn commit_placement(
        &mut self,
        now: Now,
        unit: &Unit,
        placed: Vec<(TaskId, String)>,
    ) {
        if placed.is_empty() {
            return;
        }
        let id = unit.first().job;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let last_run =
            |job: &Job, task: TaskId| job.task(task).map_or(0, |t| t.run);
        // Members of a gang share the number of their run.
        let gang_run =
            placed.iter().map(|(task, _)| last_run(job, *task)).max();
        let needs = job.batch.step(unit.first()).map(|s| s.needs);
        let needs = needs.unwrap_or_default();
        let mut detail = String::new();
        for (task, agent) in placed {
            let Some(worker) = self.workers.get_mut(&agent) else {
                continue;
            };
            let Some(life) = worker.incarnation().cloned() else {
                continue;
            };
            let run = match (unit.gang, gang_run) {
                (true, Some(run)) => run + 1,
                _ => last_run(job, task) + 1,
            };
            let checkpoint = job.task(task);
            let checkpoint =
                checkpoint.map(|t| t.checkpoint.clone()).unwrap_or_default();
            worker.occupied.insert(task, needs);
            let _ = write!(detail, " {task}/{run}@{agent}");
            let to = Placement {
                agent,
                upstream: life,
            };
            job.place(now.steady, task, run, to, &checkpoint);
        }
        let waited = now.steady.saturating_sub(unit.ready).as_millis();
        let due_in = i128::from(unit.due_ms) - i128::from(now.wall_ms);
        let claim = unit.claim;
        let detail = format!(
            "waited_ms={waited} due_in_ms={due_in} claim={claim}{detail}"
        );
        self.dirty.insert(id);
        self.waiting_changed = true;
        self.note(Code::JobPlaced, id, &detail);
    }
}

/// Tasks of the same step and occurrence by the agent that they run at.
pub(super) fn there(job: &Job, task: TaskId) -> BTreeMap<String, u32> {
    let mut there = BTreeMap::new();
    for (id, run) in &job.runs {
        if id.occurrence == task.occurrence && id.step == task.step {
            *there.entry(run.agent.clone()).or_insert(0) += 1;
        }
    }
    there
}

/// Whether a unit has waited long enough for its rack to go elsewhere,
/// where its tasks take longer; or no rack could ever hold it.
pub(super) fn may_spread(
    now: Now,
    unit: &Unit,
    wish: &Wish,
    sites: &[Site],
) -> bool {
    let patience = if unit.claim {
        unit.expected.min(CLAIM_PICKY)
    } else {
        unit.expected
    };
    let waited = now.steady.saturating_sub(unit.ready);
    waited >= patience || !wish.could_share_rack(sites, unit.count())
}

fn units_of(
    job: &mut Job,
    occurrence: u32,
    with: Background,
    units: &mut Vec<Unit>,
) {
    let steps = u32::try_from(job.batch.steps.len()).unwrap_or(0);
    for step in 0..steps {
        if !job.is_step_open(occurrence, step) {
            continue;
        }
        let gang = job.batch.steps[step as usize].gang;
        let all: Vec<TaskId> = job.tasks_of(occurrence, step).collect();
        let waits = |task: &TaskId| {
            let done = job.task(*task).is_some_and(|t| t.done);
            !done && !job.runs.contains_key(task)
        };
        let tasks: Vec<TaskId> = all.iter().copied().filter(waits).collect();
        if tasks.is_empty() || gang && tasks.len() < all.len() {
            continue;
        }
        let key = (occurrence, step);
        let ready = *job.ready.entry(key).or_insert(with.now.steady);
        let estimate = job.batch.steps[step as usize].estimate_ms;
        let expected = Duration::from_millis(estimate).max(with.typical);
        for task in &tasks {
            // The progress of every task exists before it is placed.
            job.task_mut(*task);
        }
        units.push(Unit {
            tasks,
            gang,
            priority: job.batch.priority,
            ready,
            due_ms: job.due_ms(occurrence),
            claim: with.claim,
            slack: job.slack(with.typical),
            expected,
        });
    }
}
