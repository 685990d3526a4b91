//! A pool of workers on a virtual clock: it runs what a scheduler starts,
//! for as long as the work really takes, and checks what it is told to do.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    time::Duration,
};

use figrill_state::{
    job::JobId,
    worker::{Capacity, Place},
};

use crate::mixes::{HORIZON, Label, RACK_DEAD_FOR, TROUBLE_AT, Work};

/// How long it takes to stop a part with its checkpoint.
const STOP_TAKES: Duration = Duration::from_secs(1);

/// How long a worker that fails everything takes to do so.
const FAIL_TAKES: Duration = Duration::from_millis(500);

/// Time between two ticks.
const TICK: Duration = Duration::from_secs(1);

/// How long work may still run after the last arrival.
const AFTER: Duration = Duration::from_hours(6);

/// What a scheduler wants done.
#[derive(Clone, Debug)]
pub enum Order {
    /// Start a gang: parts on workers.
    Start {
        job: JobId,
        shares: Vec<(usize, u32)>,
    },
    /// Stop a gang with a checkpoint.
    Stop { job: JobId },
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// It is done.
    Done,
    /// It failed on a worker.
    Failed(usize),
    /// It was stopped as asked.
    Stopped,
    /// A worker of it was lost.
    Lost,
}

/// A policy under test.
pub trait Scheduler {
    /// Its name in tables.
    fn name(&self) -> &'static str;
    /// A job arrives.
    fn submit(&mut self, now: Duration, work: &Work) -> Vec<Order>;
    /// A job is cancelled; a running one is stopped by the pool.
    fn cancel(&mut self, now: Duration, job: JobId) -> Vec<Order>;
    /// A run ended, and its workers are free of it.
    fn ended(&mut self, now: Duration, job: JobId, end: End) -> Vec<Order>;
    /// A worker goes or comes back.
    fn worker(&mut self, now: Duration, i: usize, up: bool) -> Vec<Order>;
    /// Time passed.
    fn tick(&mut self, now: Duration) -> Vec<Order>;
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive(usize),
    Finish(JobId, u32),
    Tick,
    Trouble,
    Mend,
}

struct Run {
    number: u32,
    shares: Vec<(usize, u32)>,
    started: Duration,
    ending: End,
}

/// What came of one job.
#[derive(Clone, Debug)]
pub struct Fate {
    /// Its kind.
    pub label: Label,
    /// Whether its workspace had idle guarantee for it when it came.
    pub in_guarantee: bool,
    /// Whether it came in a peak.
    pub at_peak: bool,
    /// From arrival to first start.
    pub wait: Option<Duration>,
    /// From arrival to its end.
    pub completion: Option<Duration>,
    /// Whether it was cancelled.
    pub cancelled: bool,
    left: Duration,
}

/// What was seen of a whole run.
#[derive(Debug, Default)]
pub struct Seen {
    /// What came of each job.
    pub fates: BTreeMap<JobId, Fate>,
    /// Accelerator seconds that ran while something waited.
    pub busy: f64,
    /// Accelerator seconds that there were while something waited.
    pub all: f64,
    /// Share of the free accelerators that the freest rack has, summed.
    pub blocks: f64,
    /// Samples of that.
    pub samples: f64,
    /// Hours in which a gang waited though enough accelerators were free.
    pub gang_blocked_h: f64,
    /// Orders that broke a rule.
    pub broken: u32,
    /// Accelerator seconds that ran and had to run again.
    pub wasted: f64,
}

/// The pool.
pub struct Pool<'a> {
    workers: Vec<(Place, Capacity)>,
    work: &'a [Work],
    by_id: BTreeMap<JobId, usize>,
    guarantees: BTreeMap<&'static str, u32>,
    trouble: &'a str,
    down: BTreeSet<usize>,
    black_hole: Option<usize>,
    used: Vec<Capacity>,
    running: BTreeMap<JobId, Run>,
    waiting: BTreeSet<JobId>,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    next: u64,
    runs: u32,
    seen: Seen,
}

impl<'a> Pool<'a> {
    /// A pool that will run `work` and meet the trouble of its mix.
    pub fn new(
        workers: Vec<(Place, Capacity)>,
        work: &'a [Work],
        mix: &'a str,
    ) -> Self {
        let by_id = (0..).zip(work).map(|(i, w)| (w.job.id, i)).collect();
        let mut pool = Self {
            used: vec![Capacity::default(); workers.len()],
            workers,
            work,
            by_id,
            guarantees: [("w1", 16), ("w2", 8), ("w3", 8), ("w4", 4)].into(),
            trouble: mix,
            down: BTreeSet::new(),
            black_hole: None,
            running: BTreeMap::new(),
            waiting: BTreeSet::new(),
            events: BinaryHeap::new(),
            next: 0,
            runs: 0,
            seen: Seen::default(),
        };
        for (i, work) in (0..).zip(work) {
            pool.at(work.at, Event::Arrive(i));
        }
        pool.at(Duration::ZERO, Event::Tick);
        pool.at(TROUBLE_AT, Event::Trouble);
        pool.at(TROUBLE_AT + RACK_DEAD_FOR, Event::Mend);
        pool
    }

    fn at(&mut self, time: Duration, event: Event) {
        self.next += 1;
        self.events.push(Reverse((time, self.next, event)));
    }

    /// Runs everything under a scheduler.
    pub fn run(mut self, scheduler: &mut dyn Scheduler) -> Seen {
        let mut now = Duration::ZERO;
        for i in 0..self.workers.len() {
            let orders = scheduler.worker(now, i, true);
            self.obey(now, orders, scheduler);
        }
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            now = time;
            let over = self.waiting.is_empty() && self.running.is_empty();
            if now > HORIZON && over || now > HORIZON + AFTER {
                break;
            }
            self.handle(now, event, scheduler);
        }
        self.seen
    }

    fn handle(
        &mut self,
        now: Duration,
        event: Event,
        scheduler: &mut dyn Scheduler,
    ) {
        let orders = match event {
            Event::Arrive(i) => {
                self.arrive(now, i);
                scheduler.submit(now, &self.work[i])
            }
            Event::Finish(job, number) => {
                let known = self.running.get(&job);
                if known.is_none_or(|r| r.number != number) {
                    return;
                }
                self.finish(now, job, scheduler)
            }
            Event::Tick => {
                self.at(now + TICK, Event::Tick);
                self.sample();
                scheduler.tick(now)
            }
            Event::Trouble => return self.bring_trouble(now, scheduler),
            Event::Mend => return self.mend(now, scheduler),
        };
        self.obey(now, orders, scheduler);
    }

    fn arrive(&mut self, now: Duration, i: usize) {
        let work = &self.work[i];
        let workspace = work.job.workspace.as_str();
        let claimed: u32 = self
            .running
            .keys()
            .chain(&self.waiting)
            .map(|id| &self.work[self.by_id[id]].job)
            .filter(|job| job.workspace == workspace)
            .map(|job| job.shape.total_accelerators())
            .sum();
        let promised = self.guarantees.get(workspace).copied().unwrap_or(0);
        let peak_since = now.as_secs() % TROUBLE_AT.as_secs();
        let fate = Fate {
            label: work.label,
            in_guarantee: work.label == Label::Short
                && claimed + work.job.shape.total_accelerators() <= promised,
            at_peak: now >= TROUBLE_AT && peak_since < 60,
            wait: None,
            completion: None,
            cancelled: work.cancelled,
            left: work.real,
        };
        self.seen.fates.insert(work.job.id, fate);
        self.waiting.insert(work.job.id);
    }

    fn obey(
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
        let work = &self.work[self.by_id[&job]];
        let shape = work.job.shape;
        let parts: u32 = shares.iter().map(|(_, parts)| parts).sum();
        let fits = shares.iter().all(|(i, parts)| {
            let room = self.workers[*i].1.minus(self.used[*i]);
            room.fits(shape.required_capacity(*parts))
                && !self.down.contains(i)
        });
        if !fits || parts != shape.parts || !self.waiting.remove(&job) {
            self.seen.broken += 1;
            return;
        }
        for (i, parts) in &shares {
            self.used[*i] =
                self.used[*i].plus(shape.required_capacity(*parts));
        }
        let Some(fate) = self.seen.fates.get_mut(&job) else {
            return;
        };
        fate.wait.get_or_insert(now.saturating_sub(work.at));
        let hole = self.black_hole;
        let failing =
            shares.iter().map(|(i, _)| *i).find(|i| hole == Some(*i));
        let (takes, ending) = match failing {
            Some(worker) => (FAIL_TAKES, End::Failed(worker)),
            None => (fate.left, End::Done),
        };
        self.runs += 1;
        let number = self.runs;
        let run = Run {
            number,
            shares,
            started: now,
            ending,
        };
        self.running.insert(job, run);
        self.at(now + takes, Event::Finish(job, number));
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
        if run.ending == End::Stopped {
            return;
        }
        run.ending = End::Stopped;
        self.runs += 1;
        run.number = self.runs;
        let number = run.number;
        self.at(now + STOP_TAKES, Event::Finish(job, number));
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
        let work = &self.work[self.by_id[&job]];
        for (i, parts) in &run.shares {
            let need = work.job.shape.required_capacity(*parts);
            self.used[*i] = self.used[*i].minus(need);
        }
        let ran = now.saturating_sub(run.started);
        let Some(fate) = self.seen.fates.get_mut(&job) else {
            return Vec::new();
        };
        match run.ending {
            End::Done => {
                fate.completion = Some(now.saturating_sub(work.at));
            }
            End::Stopped => {
                let done = ran.saturating_sub(STOP_TAKES);
                fate.left = fate.left.saturating_sub(done);
            }
            End::Failed(_) | End::Lost => {
                let total = f64::from(work.job.shape.total_accelerators());
                self.seen.wasted += total * ran.as_secs_f64();
            }
        }
        if run.ending != End::Done && !fate.cancelled {
            self.waiting.insert(job);
        }
        scheduler.ended(now, job, run.ending)
    }

    fn bring_trouble(&mut self, now: Duration, scheduler: &mut dyn Scheduler) {
        match self.trouble {
            "cancel wave" => {
                let wave = self.work.iter().filter(|w| w.cancelled);
                let wave: Vec<JobId> = wave.map(|w| w.job.id).collect();
                for job in wave {
                    self.waiting.remove(&job);
                    let orders = scheduler.cancel(now, job);
                    self.obey(now, orders, scheduler);
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
                    let orders = scheduler.worker(now, i, false);
                    self.obey(now, orders, scheduler);
                }
                for job in lost {
                    if let Some(run) = self.running.get_mut(&job) {
                        run.ending = End::Lost;
                    }
                    let orders = self.finish(now, job, scheduler);
                    self.obey(now, orders, scheduler);
                }
            }
            "black hole" => self.black_hole = Some(4),
            _ => {}
        }
    }

    fn mend(&mut self, now: Duration, scheduler: &mut dyn Scheduler) {
        for i in std::mem::take(&mut self.down) {
            let orders = scheduler.worker(now, i, true);
            self.obey(now, orders, scheduler);
        }
        self.black_hole = None;
    }

    fn sample(&mut self) {
        if self.waiting.is_empty() {
            return;
        }
        let up = |i: &usize| !self.down.contains(i);
        let mut racks: BTreeMap<&Place, u32> = BTreeMap::new();
        let (mut all, mut used) = (0, 0);
        for i in (0..self.workers.len()).filter(up) {
            let (place, capacity) = &self.workers[i];
            all += capacity.accelerators;
            used += self.used[i].accelerators;
            let free = capacity.minus(self.used[i]).accelerators;
            *racks.entry(place).or_default() += free;
        }
        let seconds = TICK.as_secs_f64();
        self.seen.all += f64::from(all) * seconds;
        self.seen.busy += f64::from(used) * seconds;
        let free = all - used;
        if free > 0 {
            let largest = racks.values().max().copied().unwrap_or(0);
            self.seen.blocks += f64::from(largest) / f64::from(free);
            self.seen.samples += 1.0;
        }
        let blocked = self.waiting.iter().any(|id| {
            let work = &self.work[self.by_id[id]];
            work.label == Label::Gang
                && work.job.shape.total_accelerators() <= free
        });
        if blocked {
            self.seen.gang_blocked_h += seconds / 3600.0;
        }
    }
}
