//! The plan of a round: the faults and other events, generated from a seed.

use std::{fmt, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng};

/// The period of a round in which faults begin.
pub const FAULT_PHASE: Duration = Duration::from_secs(7);

/// The maximum number of faults in a round.
const MAX_FAULTS: usize = 9;

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
    /// Times at which the store drops its history and expires all leases.
    pub store_resets: Vec<Duration>,
    /// Times at which the configuration changes.
    pub configuration_changes: Vec<Duration>,
}

fn random_time(rng: &mut StdRng, from_ms: u64, to_ms: u64) -> Duration {
    Duration::from_millis(rng.random_range(from_ms..to_ms))
}

impl Plan {
    /// Generates the plan of a seed.
    #[must_use]
    pub fn from_seed(seed: u64, size: Size) -> Self {
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
    let total = if target_entries { entries } else { agents };
    // Usually one process, sometimes half of those with the role, rarely all
    // of them.
    let spread = rng.random_range(0..10);
    let count = match spread {
        0 => total,
        1 | 2 => total.div_ceil(2),
        _ => 1,
    };
    let first = rng.random_range(0..total);
    let index = |i: usize| (first + i) % total;
    let targets = (0..count).map(|i| {
        if target_entries {
            Target::Entry(index(i))
        } else {
            Target::Agent(index(i))
        }
    });
    Fault {
        at: random_time(rng, 0, end),
        duration: random_time(rng, 200, 4000),
        kind,
        targets: targets.collect(),
    }
}
