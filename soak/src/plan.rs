//! What goes wrong in a round, drawn from its seed.

use std::{fmt, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng};

/// How long faults go on.
pub const FAULTS_FOR: Duration = Duration::from_secs(7);

/// The most faults in a round.
const FAULTS_MAX: usize = 9;

/// How large a site is.
#[derive(Clone, Copy, Debug)]
pub enum Size {
    /// By the seed.
    Drawn,
    /// So many processes.
    Processes(usize),
}

/// A process, by its role and its place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Target {
    /// An entry.
    Entry(usize),
    /// An agent.
    Agent(usize),
}

/// What is done to a process, to the store or to an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// It is killed and starts again.
    Kill,
    /// It is asked to stop, killed if it has not within its grace, and
    /// starts again.
    Stop,
    /// It is paused.
    Freeze,
    /// It is told that its settings have changed.
    Reload,
    /// The store refuses its calls.
    StoreBusy,
    /// The store does not answer it.
    StoreSilent,
    /// The store's answers take long.
    StoreSlow,
    /// The store carries out its writes and does not answer.
    StoreLost,
    /// The store carries out its writes seconds later.
    StoreLate,
    /// Its streams to other processes carry nothing more, without a reset.
    Silence,
    /// The same one way.
    SilenceOneWay,
    /// Its streams are reset.
    Cut,
    /// What its streams carry takes long.
    Delay,
    /// The upstream beside it starts anew.
    Reborn,
    /// The upstream beside it cannot be reached.
    Unreachable,
    /// The upstream beside it fails all that it starts.
    FailsAll,
    /// The upstream beside it works slowly.
    Slow,
    /// The upstream beside it leaves, and another comes.
    Drain,
}

const ENTRY_KINDS: &[Kind] = &[
    Kind::Kill,
    Kind::Stop,
    Kind::Freeze,
    Kind::Reload,
    Kind::StoreBusy,
    Kind::StoreSilent,
    Kind::StoreSlow,
    Kind::StoreLost,
    Kind::StoreLate,
    Kind::Silence,
    Kind::SilenceOneWay,
    Kind::Cut,
    Kind::Delay,
];

const AGENT_KINDS: &[Kind] = &[
    Kind::Kill,
    Kind::Stop,
    Kind::Freeze,
    Kind::Reload,
    Kind::Silence,
    Kind::SilenceOneWay,
    Kind::Cut,
    Kind::Delay,
    Kind::Reborn,
    Kind::Unreachable,
    Kind::FailsAll,
    Kind::Slow,
    Kind::Drain,
];

/// One fault.
#[derive(Clone, Debug)]
pub struct Fault {
    /// When it begins.
    pub at: Duration,
    /// How long it lasts, or until the process starts again.
    pub lasts: Duration,
    /// What happens.
    pub kind: Kind,
    /// To whom; several at the same moment where more than one stands here.
    pub targets: Vec<Target>,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (at, lasts) = (self.at.as_secs_f64(), self.lasts.as_secs_f64());
        let Self { kind, targets, .. } = self;
        write!(f, "{at:.2} s, for {lasts:.2} s: {kind:?} {targets:?}")
    }
}

/// A round.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Entries.
    pub entries: usize,
    /// Agents, each with an upstream.
    pub agents: usize,
    /// In the order of their times; they may overlap.
    pub faults: Vec<Fault>,
    /// Times at which the store drops its history or all leases end.
    pub lapses: Vec<Duration>,
    /// Times at which a new configuration comes.
    pub configurations: Vec<Duration>,
}

fn time(rng: &mut StdRng, from_ms: u64, to_ms: u64) -> Duration {
    Duration::from_millis(rng.random_range(from_ms..to_ms))
}

impl Plan {
    /// The plan of a seed.
    #[must_use]
    pub fn draw(seed: u64, size: Size) -> Self {
        let rng = &mut StdRng::seed_from_u64(seed);
        let (entries, agents) = match size {
            Size::Drawn => (rng.random_range(2..5), rng.random_range(4..9)),
            Size::Processes(n) => ((n / 6).max(2), (n - n / 6).max(2)),
        };
        let end = u64::try_from(FAULTS_FOR.as_millis()).unwrap_or(0);
        let count = rng.random_range(2..=FAULTS_MAX);
        let mut faults: Vec<Fault> = (0..count)
            .map(|_| fault(rng, entries, agents, end))
            .collect();
        faults.sort_by_key(|fault| fault.at);
        let lapses = (0..rng.random_range(0..2)).map(|_| time(rng, 0, end));
        let lapses = lapses.collect();
        let changes = (0..rng.random_range(0..3)).map(|_| time(rng, 0, end));
        let mut configurations: Vec<Duration> = changes.collect();
        configurations.sort_unstable();
        Self {
            entries,
            agents,
            faults,
            lapses,
            configurations,
        }
    }
}

fn fault(rng: &mut StdRng, entries: usize, agents: usize, end: u64) -> Fault {
    let of_entries = rng.random_bool(0.5);
    let kinds = if of_entries { ENTRY_KINDS } else { AGENT_KINDS };
    let kind = kinds[rng.random_range(0..kinds.len())];
    let all = if of_entries { entries } else { agents };
    // One, some, or now and then all of a kind at once.
    let several = rng.random_range(0..10);
    let count = match several {
        0 => all,
        1 | 2 => all.div_ceil(2),
        _ => 1,
    };
    let first = rng.random_range(0..all);
    let place = |i: usize| (first + i) % all;
    let targets = (0..count).map(|i| {
        if of_entries {
            Target::Entry(place(i))
        } else {
            Target::Agent(place(i))
        }
    });
    Fault {
        at: time(rng, 0, end),
        lasts: time(rng, 200, 4000),
        kind,
        targets: targets.collect(),
    }
}
