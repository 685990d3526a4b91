//! Generates the users' mixes of work from a seed: the jobs that arrive at a
//! site, their arrival times and their actual run times.

use std::time::Duration;

use figrill_state::{
    job::{Adjacency, Class, Job, JobId, Shape},
    worker::{Capacity, Place},
};

/// The period in which jobs arrive.
pub const ARRIVAL_PERIOD: Duration = Duration::from_hours(4);

/// When the fault of a mix begins. Its peaks come at multiples of this.
pub const FAULT_AT: Duration = Duration::from_hours(1);

/// How long a fault lasts: the outage of a rack, or the time in which a
/// worker fails everything.
pub const FAULT_DURATION: Duration = Duration::from_mins(30);

/// The settings of both sites: four workspaces with weights and guarantees.
/// Only `w1` is guaranteed more than one worker.
pub const SETTINGS: &str = "\
[defaults]
reclaim_window = 10s
long_after = 2m
queue_wait = 700h
queue_limit = 100000
[workspace/w1]
weight = 4
guarantee = 2x8 rack
[workspace/w2]
weight = 2
guarantee = 1x8
[workspace/w3]
guarantee = 1x8
[workspace/w4]
guarantee = 1x4
";

/// A pseudo-random number generator (xorshift) with the same sequence for
/// the same seed on every run.
#[derive(Clone, Debug)]
pub struct Random(u64);

impl Random {
    /// Returns a generator for a seed.
    pub const fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// Returns the next number.
    pub const fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d)
    }

    /// Returns a number in `[0, 1)`.
    pub fn unit(&mut self) -> f64 {
        // The mantissa of an `f64` has 53 bits.
        #[allow(clippy::cast_precision_loss)]
        let top = (self.next() >> 11) as f64;
        top / 9_007_199_254_740_992.0
    }

    /// Returns a number in `[low, high)`.
    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }

    /// Returns a random element of a list.
    ///
    /// # Panics
    ///
    /// Panics if the list is empty.
    pub fn pick<'a, T>(&mut self, list: &'a [T]) -> &'a T {
        let at = usize::try_from(self.next() >> 33).unwrap_or(0);
        &list[at % list.len()]
    }
}

/// The kind of a job, by which the tables group results.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum WorkKind {
    /// A job of 2 to 30 seconds on one accelerator.
    Short,
    /// A job of half an hour to two hours in one or two parts.
    Long,
    /// A gang of 10 to 60 minutes on two, three or five whole workers.
    Gang,
}

/// A job with the facts that schedulers can't see.
#[derive(Clone, Debug)]
pub struct WorkItem {
    /// The job as it is submitted.
    pub job: Job,
    /// The kind of the job.
    pub kind: WorkKind,
    /// The arrival time.
    pub arrives_at: Duration,
    /// The actual run time, which the declared time may be far from.
    pub run_time: Duration,
    /// Whether the job is cancelled at [`FAULT_AT`].
    pub cancelled: bool,
}

/// Returns the ten workers of a site: racks of three, spread over the given
/// number of failure domains.
pub fn workers(failure_domains: usize) -> Vec<(Place, Capacity)> {
    let place = |i: usize| Place {
        failure_domain: format!("d{}", (i / 3) % failure_domains),
        rack: format!("r{}", i / 3),
    };
    let capacity = Capacity {
        accelerators: 8,
        slots: 8,
        memory_mib: 131_072,
    };
    (0..10).map(|i| (place(i), capacity)).collect()
}

/// The names of the mixes.
pub const MIXES: [&str; 5] = [
    "long and short",
    "peak",
    "cancel wave",
    "dead rack",
    "black hole",
];

/// Returns the work of a mix, sorted by arrival time.
pub fn workload(mix: &str, seed: u64) -> Vec<WorkItem> {
    let mut random = Random::new(seed);
    let mut list = Vec::new();
    add_background(&mut random, &mut list);
    match mix {
        "peak" => add_peak(&mut random, &mut list),
        "cancel wave" => add_cancel_wave(&mut random, &mut list),
        _ => {}
    }
    list.sort_by_key(|w| w.arrives_at);
    for (item, id) in list.iter_mut().zip(1..) {
        item.job.id = JobId(id);
    }
    list
}

/// Returns the arrival times of a Poisson process with gaps of `mean_s`
/// seconds on average.
fn arrivals(random: &mut Random, mean_s: f64) -> Vec<Duration> {
    let mut at = 0.0;
    let mut times = Vec::new();
    loop {
        at += -mean_s * (1.0 - random.unit()).ln();
        if at >= ARRIVAL_PERIOD.as_secs_f64() {
            return times;
        }
        times.push(Duration::from_secs_f64(at));
    }
}

/// Adds the steady arrivals that every mix has.
fn add_background(random: &mut Random, list: &mut Vec<WorkItem>) {
    for at in arrivals(random, 4.0) {
        list.push(short(random, at, None));
    }
    for at in arrivals(random, 400.0) {
        list.push(long(random, at));
    }
    for at in arrivals(random, 1800.0) {
        list.push(gang(random, at));
    }
}

/// Adds three bursts of 200 short jobs of one workspace within 20 seconds,
/// as the users' morning dispatch sends them.
fn add_peak(random: &mut Random, list: &mut Vec<WorkItem>) {
    for burst in 1..=3 {
        for _ in 0..200 {
            let offset = Duration::from_secs_f64(random.between(0.0, 20.0));
            let at = FAULT_AT * burst + offset;
            list.push(short(random, at, Some("w2")));
        }
    }
}

/// Adds 1000 long jobs that arrive within a minute and are cancelled together
/// a few minutes later, while most of them wait.
fn add_cancel_wave(random: &mut Random, list: &mut Vec<WorkItem>) {
    let wave_start = FAULT_AT.checked_sub(Duration::from_mins(5));
    let wave_start = wave_start.unwrap_or_default();
    for _ in 0..1000 {
        let offset = Duration::from_secs_f64(random.between(0.0, 60.0));
        let mut item = long(random, wave_start + offset);
        item.cancelled = true;
        list.push(item);
    }
}

fn job(
    workspace: &str,
    service: &str,
    shape: Shape,
    declared: Duration,
) -> Job {
    Job {
        id: JobId(0),
        workspace: workspace.to_owned(),
        service: service.to_owned(),
        shape,
        declared: Some(declared),
        deadline: None,
        class: Class::Normal,
        repeatable: true,
        record: None,
        inputs: vec![Vec::new(); shape.parts as usize],
    }
}

/// Returns a declared time that is up to ten times shorter or longer than the
/// actual run time.
fn declared_time(random: &mut Random, run_time: Duration) -> Duration {
    run_time.mul_f64(10_f64.powf(random.between(-1.0, 1.0)))
}

/// The workspaces that submit jobs, repeated in proportion to how much they
/// submit.
const WORKSPACES: [&str; 6] = ["w1", "w1", "w1", "w2", "w3", "w4"];

fn short(
    random: &mut Random,
    arrives_at: Duration,
    workspace: Option<&str>,
) -> WorkItem {
    let run_time = Duration::from_secs_f64(random.between(2.0, 30.0));
    let shape = Shape {
        parts: 1,
        accelerators: 1,
        memory_mib: 1000,
        adjacency: Adjacency::None,
    };
    let any = *random.pick(&WORKSPACES);
    let workspace = workspace.unwrap_or(any);
    let declared = declared_time(random, run_time);
    let mut job = job(workspace, "fix", shape, declared);
    job.repeatable = random.unit() > 0.2;
    WorkItem {
        job,
        kind: WorkKind::Short,
        arrives_at,
        run_time,
        cancelled: false,
    }
}

fn long(random: &mut Random, arrives_at: Duration) -> WorkItem {
    let run_time = Duration::from_secs_f64(random.between(1800.0, 7200.0));
    let shape = Shape {
        parts: *random.pick(&[1, 1, 2]),
        accelerators: *random.pick(&[2, 4, 8]),
        memory_mib: 4000,
        adjacency: Adjacency::None,
    };
    let workspace = *random.pick(&WORKSPACES);
    let declared = declared_time(random, run_time);
    let job = job(workspace, "replan", shape, declared);
    WorkItem {
        job,
        kind: WorkKind::Long,
        arrives_at,
        run_time,
        cancelled: false,
    }
}

fn gang(random: &mut Random, arrives_at: Duration) -> WorkItem {
    let run_time = Duration::from_secs_f64(random.between(600.0, 3600.0));
    let (parts, adjacency) = *random.pick(&[
        (2, Adjacency::Rack),
        (3, Adjacency::Rack),
        (5, Adjacency::None),
    ]);
    let shape = Shape {
        parts,
        accelerators: 8,
        memory_mib: 8000,
        adjacency,
    };
    let declared = declared_time(random, run_time);
    let job = job("w1", "exposure", shape, declared);
    WorkItem {
        job,
        kind: WorkKind::Gang,
        arrives_at,
        run_time,
        cancelled: false,
    }
}
