//! The plan of a round: the faults and other events, generated from a seed.

use std::{fmt, time::Duration};

use displaydoc::Display;
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    restarts::{RestartSeries, Restarts},
    signals::SignalSeries,
};

/// The period of a round in which faults begin.
pub const FAULT_PHASE: Duration = Duration::from_secs(7);

/// The limit `domain_drain_ms` of the sites.
pub const DOMAIN_DRAIN_LIMIT: Duration = Duration::from_secs(5);

/// The maximum number of faults in a round.
const MAX_FAULTS: usize = 9;

/// The maximum number of faults by another writer in a round.
const MAX_WRITER_FAULTS: usize = 6;

/// What the seeds of the other kinds of faults differ in from that of the
/// basic ones, so that the basic ones of a seed stay the same.
const WRITER_SEED: u64 = 0x7772_6974_6572;
const DRAIN_SEED: u64 = 0x6472_6169_6e73;

/// The maximum number of drains of a failure domain in a round.
const MAX_DRAINS: usize = 3;

/// Which kinds of faults a round has.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Profile {
    /// basic
    Basic,
    /// writer
    Writer,
    /// signals
    Signals,
    /// restarts
    Restarts,
    /// drains
    Drains,
    /// all
    All,
}

impl Profile {
    /// Parses the name of a profile.
    #[must_use]
    pub fn parse(name: &str) -> Option<Self> {
        let all = [
            Self::Basic,
            Self::Writer,
            Self::Signals,
            Self::Restarts,
            Self::Drains,
            Self::All,
        ];
        all.into_iter().find(|p| p.to_string() == name)
    }

    fn includes(self, part: Self) -> bool {
        self == part || self == Self::All
    }
}

/// The size of a site.
#[derive(Clone, Copy, Debug)]
pub enum Size {
    /// The seed selects 2 to 4 entries and 4 to 8 agents.
    FromSeed,
    /// About this number of processes, a sixth of them entries, but at least
    /// two entries and two agents.
    Processes(usize),
}

/// A process, by its role and index.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Target {
    /// The entry with this index.
    Entry(usize),
    /// The agent with this index.
    Agent(usize),
    /// The entry that is the coordinator when the fault begins.
    Coordinator,
}

/// A fault of a process, of its connections, of the store or of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultKind {
    /// The process is killed and restarted.
    Kill,
    /// The process is asked to stop, is killed if it does not stop in time,
    /// and is restarted.
    Stop,
    /// The process is paused.
    Freeze,
    /// The process is asked to reload its settings.
    Reload,
    /// The store refuses the calls of the process.
    StoreRefusing,
    /// The store does not answer the process.
    StoreUnresponsive,
    /// The store is slow to answer the process.
    StoreSlow,
    /// The store commits the writes of the process but does not answer them.
    StoreLostAnswers,
    /// The store commits the writes of the process seconds later.
    StoreLateWrites,
    /// The peer connections of the process carry no data any more, without a
    /// reset.
    Blackhole,
    /// The peer connections of the process carry data in one direction only.
    BlackholeOneWay,
    /// The peer connections of the process are closed.
    CloseConnections,
    /// The peer connections of the process are slow.
    DelayConnections,
    /// The upstream beside the agent crashes and restarts.
    UpstreamRestart,
    /// The upstream beside the agent cannot be reached.
    UpstreamUnreachable,
    /// The upstream beside the agent fails all tasks.
    UpstreamFailsTasks,
    /// The upstream beside the agent is slow.
    UpstreamSlow,
    /// The upstream beside the agent drains, and a new incarnation replaces
    /// it.
    UpstreamDrain,
    /// The agent gets a series of status reports that its upstream did not
    /// send.
    StrayReports(u64),
    /// The store gets invalid records of another writer. They are left there
    /// if the seed is odd.
    StrayRecords(u64),
    /// An operator drains the failure domain with this index.
    DomainDrain(usize),
}

/// The faults that may affect entries.
const ENTRY_KINDS: &[FaultKind] = &[
    FaultKind::Kill,
    FaultKind::Stop,
    FaultKind::Freeze,
    FaultKind::Reload,
    FaultKind::StoreRefusing,
    FaultKind::StoreUnresponsive,
    FaultKind::StoreSlow,
    FaultKind::StoreLostAnswers,
    FaultKind::StoreLateWrites,
    FaultKind::Blackhole,
    FaultKind::BlackholeOneWay,
    FaultKind::CloseConnections,
    FaultKind::DelayConnections,
];

/// The faults that may affect agents and their upstreams.
const AGENT_KINDS: &[FaultKind] = &[
    FaultKind::Kill,
    FaultKind::Stop,
    FaultKind::Freeze,
    FaultKind::Reload,
    FaultKind::Blackhole,
    FaultKind::BlackholeOneWay,
    FaultKind::CloseConnections,
    FaultKind::DelayConnections,
    FaultKind::UpstreamRestart,
    FaultKind::UpstreamUnreachable,
    FaultKind::UpstreamFailsTasks,
    FaultKind::UpstreamSlow,
    FaultKind::UpstreamDrain,
];

/// A fault.
#[derive(Clone, Debug)]
pub struct Fault {
    /// When the fault begins, from the start of the round.
    pub at: Duration,
    /// How long the fault lasts. A process that was killed or asked to stop is
    /// restarted after this time.
    pub duration: Duration,
    /// The kind of fault.
    pub kind: FaultKind,
    /// The processes that the fault affects, all at the same time.
    pub targets: Vec<Target>,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (at, duration) =
            (self.at.as_secs_f64(), self.duration.as_secs_f64());
        let Self { kind, targets, .. } = self;
        write!(f, "{at:.2} s, for {duration:.2} s: {kind:?} {targets:?}")
    }
}

/// The plan of a round.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The number of entries.
    pub entries: usize,
    /// The number of agents, each with an upstream.
    pub agents: usize,
    /// The faults in the order in which they begin. They may overlap.
    pub faults: Vec<Fault>,
    /// The series of signals, which may overlap.
    pub series: Vec<SignalSeries>,
    /// The series of restarts of upstreams, which may overlap.
    pub restarts: Vec<RestartSeries>,
    /// Times at which the store drops its history and expires all leases.
    pub store_resets: Vec<Duration>,
    /// Times at which the configuration changes.
    pub configuration_changes: Vec<Duration>,
}

/// Returns a random time in a range of milliseconds.
pub fn random_time(rng: &mut StdRng, from_ms: u64, to_ms: u64) -> Duration {
    Duration::from_millis(rng.random_range(from_ms..to_ms))
}

impl Plan {
    /// Generates the plan of a seed.
    #[must_use]
    pub fn from_seed(seed: u64, size: Size, profile: Profile) -> Self {
        let mut plan = Self::basic(seed, size);
        if !profile.includes(Profile::Basic) {
            plan.faults.clear();
            plan.store_resets.clear();
            plan.configuration_changes.clear();
        }
        if profile.includes(Profile::Writer) {
            let rng = &mut StdRng::seed_from_u64(seed ^ WRITER_SEED);
            let count = rng.random_range(2..=MAX_WRITER_FAULTS);
            let faults = (0..count).map(|_| writer_fault(rng, plan.agents));
            plan.faults.extend(faults);
            plan.faults.sort_by_key(|fault| fault.at);
        }
        if profile.includes(Profile::Signals) {
            let series = SignalSeries::random(seed, plan.entries, plan.agents);
            plan.series = series.series;
            plan.configuration_changes
                .extend(series.configuration_changes);
            plan.configuration_changes.sort_unstable();
        }
        if profile.includes(Profile::Restarts) {
            let restarts = Restarts::random(seed, plan.agents);
            plan.restarts = restarts.series;
            plan.faults.extend(restarts.disturbances);
            plan.faults.sort_by_key(|fault| fault.at);
        }
        if profile.includes(Profile::Drains) {
            let rng = &mut StdRng::seed_from_u64(seed ^ DRAIN_SEED);
            let count = rng.random_range(1..=MAX_DRAINS);
            plan.faults.extend((0..count).map(|_| domain_drain(rng)));
            plan.faults.extend((0..count).map(|_| {
                let end = u64::try_from(FAULT_PHASE.as_millis()).unwrap_or(0);
                random_fault(rng, plan.entries, plan.agents, end)
            }));
            plan.faults.sort_by_key(|fault| fault.at);
        }
        plan
    }

    /// Returns the faults and other events for display, one a line.
    #[must_use]
    pub fn lines(&self) -> Vec<String> {
        let mut lines: Vec<String> =
            self.faults.iter().map(Fault::to_string).collect();
        lines.extend(self.series.iter().map(SignalSeries::to_string));
        lines.extend(self.restarts.iter().map(RestartSeries::to_string));
        let events = [
            ("the store is reset", &self.store_resets),
            ("the configuration changes", &self.configuration_changes),
        ];
        for (event, times) in events {
            let times = times.iter().map(|at| format!("{at:.2?}: {event}"));
            lines.extend(times);
        }
        lines
    }

    fn basic(seed: u64, size: Size) -> Self {
        let rng = &mut StdRng::seed_from_u64(seed);
        let (entries, agents) = match size {
            Size::FromSeed => (rng.random_range(2..5), rng.random_range(4..9)),
            Size::Processes(n) => ((n / 6).max(2), (n - n / 6).max(2)),
        };
        let end = u64::try_from(FAULT_PHASE.as_millis()).unwrap_or(0);
        let count = rng.random_range(2..=MAX_FAULTS);
        let mut faults: Vec<Fault> = (0..count)
            .map(|_| random_fault(rng, entries, agents, end))
            .collect();
        faults.sort_by_key(|fault| fault.at);
        let store_resets =
            (0..rng.random_range(0..2)).map(|_| random_time(rng, 0, end));
        let store_resets = store_resets.collect();
        let changes =
            (0..rng.random_range(0..3)).map(|_| random_time(rng, 0, end));
        let mut configuration_changes: Vec<Duration> = changes.collect();
        configuration_changes.sort_unstable();
        Self {
            entries,
            agents,
            faults,
            series: Vec::new(),
            restarts: Vec::new(),
            store_resets,
            configuration_changes,
        }
    }
}

fn random_fault(
    rng: &mut StdRng,
    entries: usize,
    agents: usize,
    end: u64,
) -> Fault {
    let target_entries = rng.random_bool(0.5);
    let kinds = if target_entries {
        ENTRY_KINDS
    } else {
        AGENT_KINDS
    };
    let kind = kinds[rng.random_range(0..kinds.len())];
    let targets = if target_entries {
        random_indices(rng, entries).map(Target::Entry).collect()
    } else {
        random_indices(rng, agents).map(Target::Agent).collect()
    };
    Fault {
        at: random_time(rng, 0, end),
        duration: random_time(rng, 200, 4000),
        kind,
        targets,
    }
}

/// Returns usually one of `total` indices, sometimes half of them, rarely all.
fn random_indices(
    rng: &mut StdRng,
    total: usize,
) -> impl Iterator<Item = usize> + use<> {
    let count = match rng.random_range(0..10) {
        0 => total,
        1 | 2 => total.div_ceil(2),
        _ => 1,
    };
    let first = rng.random_range(0..total);
    (0..count).map(move |i| (first + i) % total)
}

/// Returns a drain of a failure domain. Most last longer than the limit until
/// nothing starts there, and some less than a second.
fn domain_drain(rng: &mut StdRng) -> Fault {
    let duration = if rng.random_bool(0.7) {
        random_time(rng, 5500, 9000)
    } else {
        random_time(rng, 100, 1000)
    };
    Fault {
        at: random_time(rng, 0, 2000),
        duration,
        kind: FaultKind::DomainDrain(rng.random_range(0..2)),
        targets: Vec::new(),
    }
}

fn writer_fault(rng: &mut StdRng, agents: usize) -> Fault {
    let seed = rng.random();
    let kind = if rng.random_bool(0.75) {
        FaultKind::StrayReports(seed)
    } else {
        FaultKind::StrayRecords(seed)
    };
    let targets = match kind {
        FaultKind::StrayRecords(_) => Vec::new(),
        _ => random_indices(rng, agents).map(Target::Agent).collect(),
    };
    Fault {
        at: random_time(
            rng,
            0,
            u64::try_from(FAULT_PHASE.as_millis()).unwrap_or(0),
        ),
        duration: random_time(rng, 200, 4000),
        kind,
        targets,
    }
}
