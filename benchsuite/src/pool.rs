//! A simulated pool of workers on a virtual clock. It runs the jobs that a
//! scheduler starts for their actual run times, injects the fault of the mix,
//! and counts orders that are invalid.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    time::Duration,
};

use figrill_state::{
    job::JobId,
    worker::{Capacity, Place},
};

use crate::mixes::{
    ARRIVAL_PERIOD, FAULT_AT, FAULT_DURATION, WorkItem, WorkKind,
};

/// The time that stopping a job takes, with its checkpoint.
const STOP_TIME: Duration = Duration::from_secs(1);

/// The time after which a worker that fails everything fails a job.
const FAILURE_TIME: Duration = Duration::from_millis(500);

/// The time between two ticks.
const TICK_INTERVAL: Duration = Duration::from_secs(1);

/// How long the simulation goes on after the arrival period while jobs are
/// left.
const MAX_DRAIN_TIME: Duration = Duration::from_hours(6);

/// An order of a scheduler to the pool.
#[derive(Clone, Debug)]
pub enum Order {
    /// Start a job, with the given numbers of parts on the given workers.
    Start {
        job: JobId,
        shares: Vec<(usize, u32)>,
    },
    /// Stop a job with a checkpoint.
    Stop { job: JobId },
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// It finished.
    Done,
    /// It failed on the worker with this index.
    Failed(usize),
    /// It was stopped by an order.
    Stopped,
    /// One of its workers was lost.
    Lost,
}

/// A scheduler under test. Its handlers return the orders that follow from
/// their events.
pub trait Scheduler {
    /// Returns the name of the scheduler in tables.
    fn name(&self) -> &'static str;
    /// Handles the arrival of a job.
    fn submit(&mut self, now: Duration, item: &WorkItem) -> Vec<Order>;
    /// Handles the cancellation of a job. The pool itself stops a running job.
    fn cancel(&mut self, now: Duration, job: JobId) -> Vec<Order>;
    /// Handles the end of a run, whose capacity is free again.
    fn run_ended(
        &mut self,
        now: Duration,
        job: JobId,
        end: RunEnd,
    ) -> Vec<Order>;
    /// Handles the loss or the return of the worker with index `i`.
    fn set_worker_up(
        &mut self,
        now: Duration,
        i: usize,
        up: bool,
    ) -> Vec<Order>;
    /// Handles the passing of [`TICK_INTERVAL`].
    fn tick(&mut self, now: Duration) -> Vec<Order>;
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive(usize),
    Finish(JobId, u32),
    Tick,
    Fault,
    Repair,
}

struct Run {
    /// Changes when the run is stopped, so that its earlier
    /// [`Event::Finish`] is ignored.
    number: u32,
    shares: Vec<(usize, u32)>,
    started: Duration,
    /// How the run will end, as far as is known.
    ending: RunEnd,
}

/// The result of one job.
#[derive(Clone, Debug)]
pub struct JobResult {
    /// The kind of the job.
    pub kind: WorkKind,
    /// Whether it is a short job that fitted the unused guarantee of its
    /// workspace on arrival.
    pub in_guarantee: bool,
    /// Whether it arrived within a minute of a multiple of [`FAULT_AT`], when
    /// a peak begins in the mix that has peaks.
    pub at_peak: bool,
    /// The time from arrival to the first start, if it started.
    pub wait: Option<Duration>,
    /// The time from arrival to completion, if it completed.
    pub completion: Option<Duration>,
    /// Whether the job was cancelled.
    pub cancelled: bool,
    remaining: Duration,
}

/// The measurements of one simulation.
#[derive(Debug, Default)]
pub struct PoolStats {
    /// The result of each job.
    pub results: BTreeMap<JobId, JobResult>,
    /// Accelerator seconds in use while a job waited.
    pub busy_s: f64,
    /// Accelerator seconds available, in use or not, while a job waited.
    pub available_s: f64,
    /// The sum over all samples of the share of the free accelerators that
    /// are in the rack with the most.
    pub freest_rack_share: f64,
    /// The number of samples in `freest_rack_share`.
    pub samples: f64,
    /// Hours in which a gang waited although enough accelerators were free.
    pub gang_blocked_h: f64,
    /// Orders to start a job that did not wait, did not fit or had the
    /// wrong number of parts.
    pub invalid_orders: u32,
    /// Accelerator seconds of runs that failed or were lost.
    pub wasted_s: f64,
}

/// A simulated pool of workers.
pub struct Pool<'a> {
    workers: Vec<(Place, Capacity)>,
    workload: &'a [WorkItem],
    by_id: BTreeMap<JobId, usize>,
    /// The guaranteed accelerators of each workspace, as in
    /// [`SETTINGS`](crate::mixes::SETTINGS).
    guarantees: BTreeMap<&'static str, u32>,
    /// The mix whose fault is injected.
    fault: &'a str,
    down: BTreeSet<usize>,
    /// The worker that fails every job while the fault of the mix lasts.
    black_hole: Option<usize>,
    /// The capacity in use on each worker.
    used: Vec<Capacity>,
    running: BTreeMap<JobId, Run>,
    waiting: BTreeSet<JobId>,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    /// The number of the last scheduled event. Events at the same time are
    /// handled in the order of their numbers.
    last_event: u64,
    last_run: u32,
    stats: PoolStats,
}

impl<'a> Pool<'a> {
    /// Returns a pool that runs `workload` and injects the fault of its mix.
    pub fn new(
        workers: Vec<(Place, Capacity)>,
        workload: &'a [WorkItem],
        mix: &'a str,
    ) -> Self {
        let by_id = (0..).zip(workload).map(|(i, w)| (w.job.id, i)).collect();
        let mut pool = Self {
            used: vec![Capacity::default(); workers.len()],
            workers,
            workload,
            by_id,
            guarantees: [("w1", 16), ("w2", 8), ("w3", 8), ("w4", 4)].into(),
            fault: mix,
            down: BTreeSet::new(),
            black_hole: None,
            running: BTreeMap::new(),
            waiting: BTreeSet::new(),
            events: BinaryHeap::new(),
            last_event: 0,
            last_run: 0,
            stats: PoolStats::default(),
        };
        for (i, item) in (0..).zip(workload) {
            pool.schedule(item.arrives_at, Event::Arrive(i));
        }
        pool.schedule(Duration::ZERO, Event::Tick);
        pool.schedule(FAULT_AT, Event::Fault);
        pool.schedule(FAULT_AT + FAULT_DURATION, Event::Repair);
        pool
    }

    fn schedule(&mut self, time: Duration, event: Event) {
        self.last_event += 1;
        self.events.push(Reverse((time, self.last_event, event)));
    }

    /// Runs the whole simulation under a scheduler.
    pub fn run(mut self, scheduler: &mut dyn Scheduler) -> PoolStats {
        let mut now = Duration::ZERO;
        for i in 0..self.workers.len() {
            let orders = scheduler.set_worker_up(now, i, true);
            self.execute_orders(now, orders, scheduler);
        }
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            now = time;
            let all_done = self.waiting.is_empty() && self.running.is_empty();
            if now > ARRIVAL_PERIOD && all_done
                || now > ARRIVAL_PERIOD + MAX_DRAIN_TIME
            {
                break;
            }
            self.handle(now, event, scheduler);
        }
        self.stats
    }

    fn handle(
        &mut self,
        now: Duration,
        event: Event,
        scheduler: &mut dyn Scheduler,
    ) {
        let orders = match event {
            Event::Arrive(i) => {
                self.add_job(now, i);
                scheduler.submit(now, &self.workload[i])
            }
            Event::Finish(job, number) => {
                let known = self.running.get(&job);
                if known.is_none_or(|r| r.number != number) {
                    return;
                }
                self.finish(now, job, scheduler)
            }
            Event::Tick => {
                self.schedule(now + TICK_INTERVAL, Event::Tick);
                self.sample();
                scheduler.tick(now)
            }
            Event::Fault => return self.inject_fault(now, scheduler),
            Event::Repair => return self.repair(now, scheduler),
        };
        self.execute_orders(now, orders, scheduler);
    }

    fn add_job(&mut self, now: Duration, i: usize) {
        let item = &self.workload[i];
        let workspace = item.job.workspace.as_str();
        let demand: u32 = self
            .running
            .keys()
            .chain(&self.waiting)
            .map(|id| &self.workload[self.by_id[id]].job)
            .filter(|job| job.workspace == workspace)
            .map(|job| job.shape.total_accelerators())
            .sum();
        let guaranteed = self.guarantees.get(workspace).copied().unwrap_or(0);
        let since_peak_s = now.as_secs() % FAULT_AT.as_secs();
        let result = JobResult {
            kind: item.kind,
            in_guarantee: item.kind == WorkKind::Short
                && demand + item.job.shape.total_accelerators() <= guaranteed,
            at_peak: now >= FAULT_AT && since_peak_s < 60,
            wait: None,
            completion: None,
            cancelled: item.cancelled,
            remaining: item.run_time,
        };
        self.stats.results.insert(item.job.id, result);
        self.waiting.insert(item.job.id);
    }

    fn execute_orders(
        &mut self,
        now: Duration,
        orders: Vec<Order>,
        scheduler: &mut dyn Scheduler,
    ) {
        for order in orders {
            match order {
                Order::Start { job, shares } => self.start(now, job, shares),
                Order::Stop { job } => self.stop(now, job, scheduler),
            }
        }
    }

    fn start(&mut self, now: Duration, job: JobId, shares: Vec<(usize, u32)>) {
        let item = &self.workload[self.by_id[&job]];
        let shape = item.job.shape;
        let parts: u32 = shares.iter().map(|(_, parts)| parts).sum();
        let fits = shares.iter().all(|(i, parts)| {
            let remaining = self.workers[*i].1.minus(self.used[*i]);
            remaining.fits(shape.required_capacity(*parts))
                && !self.down.contains(i)
        });
        if !fits || parts != shape.parts || !self.waiting.remove(&job) {
            self.stats.invalid_orders += 1;
            return;
        }
        for (i, parts) in &shares {
            self.used[*i] =
                self.used[*i].plus(shape.required_capacity(*parts));
        }
        let Some(result) = self.stats.results.get_mut(&job) else {
            return;
        };
        result
            .wait
            .get_or_insert(now.saturating_sub(item.arrives_at));
        let black_hole = self.black_hole;
        let failing_worker = shares
            .iter()
            .map(|(i, _)| *i)
            .find(|i| black_hole == Some(*i));
        let (duration, ending) = match failing_worker {
            Some(worker) => (FAILURE_TIME, RunEnd::Failed(worker)),
            None => (result.remaining, RunEnd::Done),
        };
        self.last_run += 1;
        let number = self.last_run;
        let run = Run {
            number,
            shares,
            started: now,
            ending,
        };
        self.running.insert(job, run);
        self.schedule(now + duration, Event::Finish(job, number));
    }

    fn stop(
        &mut self,
        now: Duration,
        job: JobId,
        _scheduler: &mut dyn Scheduler,
    ) {
        let Some(run) = self.running.get_mut(&job) else {
            return;
        };
        if run.ending == RunEnd::Stopped {
            return;
        }
        run.ending = RunEnd::Stopped;
        self.last_run += 1;
        run.number = self.last_run;
        let number = run.number;
        self.schedule(now + STOP_TIME, Event::Finish(job, number));
    }

    fn finish(
        &mut self,
        now: Duration,
        job: JobId,
        scheduler: &mut dyn Scheduler,
    ) -> Vec<Order> {
        let Some(run) = self.running.remove(&job) else {
            return Vec::new();
        };
        let item = &self.workload[self.by_id[&job]];
        for (i, parts) in &run.shares {
            let need = item.job.shape.required_capacity(*parts);
            self.used[*i] = self.used[*i].minus(need);
        }
        let ran = now.saturating_sub(run.started);
        let Some(result) = self.stats.results.get_mut(&job) else {
            return Vec::new();
        };
        match run.ending {
            RunEnd::Done => {
                result.completion = Some(now.saturating_sub(item.arrives_at));
            }
            RunEnd::Stopped => {
                let done = ran.saturating_sub(STOP_TIME);
                result.remaining = result.remaining.saturating_sub(done);
            }
            RunEnd::Failed(_) | RunEnd::Lost => {
                let total = f64::from(item.job.shape.total_accelerators());
                self.stats.wasted_s += total * ran.as_secs_f64();
            }
        }
        if run.ending != RunEnd::Done && !result.cancelled {
            self.waiting.insert(job);
        }
        scheduler.run_ended(now, job, run.ending)
    }

    fn inject_fault(&mut self, now: Duration, scheduler: &mut dyn Scheduler) {
        match self.fault {
            "cancel wave" => {
                let cancelled = self.workload.iter().filter(|w| w.cancelled);
                let cancelled: Vec<JobId> =
                    cancelled.map(|w| w.job.id).collect();
                for job in cancelled {
                    self.waiting.remove(&job);
                    let orders = scheduler.cancel(now, job);
                    self.execute_orders(now, orders, scheduler);
                    self.stop(now, job, scheduler);
                }
            }
            "dead rack" => {
                self.down = BTreeSet::from([0, 1, 2]);
                let lost: Vec<JobId> = self
                    .running
                    .iter()
                    .filter(|(_, run)| {
                        run.shares.iter().any(|(i, _)| self.down.contains(i))
                    })
                    .map(|(job, _)| *job)
                    .collect();
                for i in 0..3 {
                    let orders = scheduler.set_worker_up(now, i, false);
                    self.execute_orders(now, orders, scheduler);
                }
                for job in lost {
                    if let Some(run) = self.running.get_mut(&job) {
                        run.ending = RunEnd::Lost;
                    }
                    let orders = self.finish(now, job, scheduler);
                    self.execute_orders(now, orders, scheduler);
                }
            }
            "black hole" => self.black_hole = Some(4),
            _ => {}
        }
    }

    fn repair(&mut self, now: Duration, scheduler: &mut dyn Scheduler) {
        for i in std::mem::take(&mut self.down) {
            let orders = scheduler.set_worker_up(now, i, true);
            self.execute_orders(now, orders, scheduler);
        }
        self.black_hole = None;
    }

    fn sample(&mut self) {
        if self.waiting.is_empty() {
            return;
        }
        let up = |i: &usize| !self.down.contains(i);
        let mut racks: BTreeMap<&Place, u32> = BTreeMap::new();
        let (mut available, mut used) = (0, 0);
        for i in (0..self.workers.len()).filter(up) {
            let (place, capacity) = &self.workers[i];
            available += capacity.accelerators;
            used += self.used[i].accelerators;
            let free = capacity.minus(self.used[i]).accelerators;
            *racks.entry(place).or_default() += free;
        }
        let seconds = TICK_INTERVAL.as_secs_f64();
        self.stats.available_s += f64::from(available) * seconds;
        self.stats.busy_s += f64::from(used) * seconds;
        let free = available - used;
        if free > 0 {
            let largest = racks.values().max().copied().unwrap_or(0);
            self.stats.freest_rack_share +=
                f64::from(largest) / f64::from(free);
            self.stats.samples += 1.0;
        }
        let blocked = self.waiting.iter().any(|id| {
            let item = &self.workload[self.by_id[id]];
            item.kind == WorkKind::Gang
                && item.job.shape.total_accelerators() <= free
        });
        if blocked {
            self.stats.gang_blocked_h += seconds / 3600.0;
        }
    }
}
