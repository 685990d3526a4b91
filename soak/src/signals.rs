//! Series of signals and restarts that overlap each other and changes of the
//! configuration.

use std::{fmt, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::plan::{Target, random_time};

/// What the seed of the series differs in from that of other faults.
const SEED: u64 = 0x7369_676e_616c;

/// When the first series may begin, in milliseconds from the start of a round.
const START_MS: std::ops::Range<u64> = 500..3500;

/// The period in which the steps of all series lie, in milliseconds.
const PERIOD_MS: u64 = 3000;

/// The maximum number of series in a round.
const MAX_SERIES: usize = 5;

/// The maximum number of changes of the configuration among the series.
const MAX_CHANGES: usize = 4;

/// A step of a series.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// The process is killed (`SIGKILL`).
    Kill,
    /// The process is asked to stop (`SIGTERM`).
    Terminate,
    /// The process is paused (`SIGSTOP`).
    Freeze,
    /// The process runs again (`SIGCONT`).
    Thaw,
    /// The process is asked to reload its settings (`SIGHUP`).
    Reload,
    /// The process is killed if it still runs, and started again.
    Restart,
}

/// The steps that a series consists of, but for its end.
const STEPS: &[Step] = &[
    Step::Kill,
    Step::Terminate,
    Step::Terminate,
    Step::Freeze,
    Step::Freeze,
    Step::Thaw,
    Step::Reload,
    Step::Restart,
];

/// A series of steps of one process.
#[derive(Clone, Debug)]
pub struct SignalSeries {
    /// The process.
    pub target: Target,
    /// The steps, with their times from the start of the round. After the last
    /// ones the process runs.
    pub steps: Vec<(Duration, Step)>,
}

/// Series that overlap.
pub struct OverlappingSeries {
    /// The series.
    pub series: Vec<SignalSeries>,
    /// When the configuration changes meanwhile.
    pub configuration_changes: Vec<Duration>,
}

impl SignalSeries {
    /// Generates the series of a seed, for a site with so many entries and
    /// agents.
    #[must_use]
    pub fn random(
        seed: u64,
        entries: usize,
        agents: usize,
    ) -> OverlappingSeries {
        let rng = &mut StdRng::seed_from_u64(seed ^ SEED);
        let start = rng.random_range(START_MS);
        let count = rng.random_range(2..=MAX_SERIES);
        let series = (0..count).map(|_| {
            let target = if rng.random_bool(0.6) {
                Target::Entry(rng.random_range(0..entries))
            } else {
                Target::Agent(rng.random_range(0..agents))
            };
            Self::random_one(rng, target, start)
        });
        let series = series.collect();
        let changes = (0..rng.random_range(1..=MAX_CHANGES))
            .map(|_| random_time(rng, start, start + PERIOD_MS));
        OverlappingSeries {
            series,
            configuration_changes: changes.collect(),
        }
    }

    fn random_one(rng: &mut StdRng, target: Target, start: u64) -> Self {
        let end = start + PERIOD_MS;
        let count = rng.random_range(2..8);
        let mut steps: Vec<(Duration, Step)> = (0..count)
            .map(|_| {
                let step = STEPS[rng.random_range(0..STEPS.len())];
                (random_time(rng, start, end), step)
            })
            .collect();
        steps.sort_by_key(|(at, _)| *at);
        let ends = |(_, step): &(Duration, Step)| {
            matches!(step, Step::Kill | Step::Terminate)
        };
        let last = if steps.iter().any(ends) {
            Step::Restart
        } else {
            Step::Thaw
        };
        steps.push((random_time(rng, end, end + 1000), last));
        Self { target, steps }
    }
}

impl fmt::Display for SignalSeries {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}:", self.target)?;
        for (at, step) in &self.steps {
            write!(f, " {:.2} s {step:?}", at.as_secs_f64())?;
        }
        Ok(())
    }
}
