//! Series of restarts of upstreams under their old ids and addresses, each of
//! them silent, where the next incarnation executes calls that were meant for
//! the former one and is cut off soon after.
//!
//! What is left out: a call that is held up for more than about 1.2 s reaches
//! only an incarnation that had a chance to be in touch with its agent for
//! [`CONTACT_MS`], though the coordinator may be paused meanwhile, and no call
//! is held up for more than 2.5 s. A call names only the id of its upstream, so
//! an incarnation that nobody has called yet takes any call, however old. A
//! scheduler that had to rule that out could never place a task elsewhere whose
//! upstream is cut off after a restart. It waits for 1.5 s and the maximum
//! lease.

use std::{
    fmt,
    ops::Range,
    thread,
    time::{Duration, Instant},
};

use figrill_standin::platform::workers::{
    CallKind, CarriedOut, Delay, Share, Workers,
};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::index};

use crate::plan::{Fault, FaultKind, Target, random_time};

/// What the seed of the restarts differs in from that of other faults.
const SEED: u64 = 0x7265_7374_6172;

/// When a series may begin, in milliseconds from the start of a round.
const START_MS: Range<u64> = 500..3000;

/// The time in a round from which no series goes on to another restart, in
/// milliseconds.
const LAST_RESTART_MS: u64 = 12_000;

/// The number of restarts in a series.
const RESTARTS: Range<u32> = 2..5;

/// The time from which calls are held up until the upstream ends. An agent
/// repeats an unanswered start after 200 ms, so the former incarnation often
/// answers the repeat.
const WINDOW_MS: Range<u64> = 250..500;

/// The time for which an upstream is silent between two incarnations.
const SILENCE_MS: Range<u64> = 500..650;

/// The time that an incarnation can be reached before it executes calls that
/// are held up for longer.
const CONTACT_MS: Range<u64> = 550..850;

/// The time until the next incarnation is cut off, unless it has yet to execute
/// calls.
const CUT_OFF_MS: Range<u64> = 100..3000;

/// The time for which an incarnation is cut off: half of the times lie between
/// the first and the last value, the others between the last two. These are
/// about as long as the lease of a grant.
const CUT_OFF_DURATION_MS: [u64; 3] = [500, 8000, 9000];

/// The time after which a call that was due has been carried out for sure.
const STEP_TOLERANCE: Duration = Duration::from_millis(50);

/// The maximum number of kills, stops and pauses of the coordinating entry and
/// of agents in a round.
const MAX_DISTURBANCES: usize = 6;

/// A step of a series.
#[derive(Clone, Copy, Debug)]
pub enum RestartStep {
    /// From now on, some calls are held up.
    HoldUp(Delay),
    /// The upstream ends silently.
    End,
    /// No more calls are held up.
    LetThrough,
    /// The next incarnation starts.
    Start,
    /// The present incarnation cannot be reached.
    CutOff,
    /// The present incarnation can be reached again.
    Reconnect,
}

/// A series of restarts of one upstream.
#[derive(Clone, Debug)]
pub struct RestartSeries {
    /// The index of the agent beside the upstream.
    pub agent: usize,
    /// The steps, with their times from the start of the round. After the last
    /// one the upstream can be reached.
    pub steps: Vec<(Duration, RestartStep)>,
}

/// Series that overlap, and other faults meanwhile.
pub struct Restarts {
    /// The series, each of another upstream.
    pub series: Vec<RestartSeries>,
    /// Kills, stops and pauses of the coordinating entry and of agents.
    pub disturbances: Vec<Fault>,
}

impl Restarts {
    /// Generates the restarts of a seed, of up to half of the upstreams.
    #[must_use]
    pub fn random(seed: u64, agents: usize) -> Self {
        let rng = &mut StdRng::seed_from_u64(seed ^ SEED);
        let most = (agents / 2).max(1);
        let count = rng.random_range(most.min(2)..=most);
        let series: Vec<RestartSeries> = index::sample(rng, agents, count)
            .into_iter()
            .map(|agent| RestartSeries::random(rng, agent))
            .collect();
        let count = rng.random_range(1..=MAX_DISTURBANCES);
        let disturbances = (0..count).map(|_| disturbance(rng, &series));
        let disturbances = disturbances.collect();
        Self {
            series,
            disturbances,
        }
    }
}

/// Returns a fault that begins shortly before or after a step of a series.
fn disturbance(rng: &mut StdRng, series: &[RestartSeries]) -> Fault {
    let series = &series[rng.random_range(0..series.len())];
    let (at, _) = series.steps[rng.random_range(0..series.steps.len())];
    let at = (at + random_time(rng, 0, 1200))
        .saturating_sub(Duration::from_millis(400));
    let kinds = [FaultKind::Kill, FaultKind::Stop, FaultKind::Freeze];
    let target = if rng.random_bool(0.7) {
        Target::Coordinator
    } else {
        Target::Agent(series.agent)
    };
    Fault {
        at,
        duration: random_time(rng, 200, 2500),
        kind: kinds[rng.random_range(0..kinds.len())],
        targets: vec![target],
    }
}

/// Returns which calls are held up, for a given time or until the next start.
fn delay(rng: &mut StdRng, duration: Option<Duration>) -> Delay {
    let mut share = |probability| {
        if rng.random_bool(probability) {
            Share::First
        } else {
            Share::None
        }
    };
    Delay {
        starts: share(0.9),
        holds: share(0.6),
        acknowledgements: share(0.6),
        duration,
        ..Delay::default()
    }
}

impl RestartSeries {
    fn random(rng: &mut StdRng, agent: usize) -> Self {
        let mut series = Self {
            agent,
            steps: Vec::new(),
        };
        let mut at = Duration::from_millis(rng.random_range(START_MS));
        for _ in 0..rng.random_range(RESTARTS) {
            at = series.add_restart(rng, at);
            if at >= Duration::from_millis(LAST_RESTART_MS) {
                break;
            }
        }
        series
    }

    /// Adds a restart that begins at the time `from`. Returns a time after its
    /// end.
    fn add_restart(&mut self, rng: &mut StdRng, from: Duration) -> Duration {
        let mut random = |range: &Range<u64>| {
            Duration::from_millis(rng.random_range(range.clone()))
        };
        let (window, silence) = (random(&WINDOW_MS), random(&SILENCE_MS));
        let (end, start) = (from + window, from + window + silence);
        let contact = random(&CONTACT_MS);
        let mut cut_off = start + random(&CUT_OFF_MS);
        let [shortest, lease, longest] = CUT_OFF_DURATION_MS;
        let at_least = [shortest, lease][usize::from(rng.random_bool(0.5))];
        let duration = random_time(rng, at_least, longest);
        // A call that is held up at once waits for the contact, too.
        let duration_of_delay =
            rng.random_bool(0.4).then_some(window + silence + contact);
        if let Some(delay) = duration_of_delay {
            cut_off = cut_off.max(end + delay + STEP_TOLERANCE);
        }
        let delay = delay(rng, duration_of_delay);
        // Calls that are sent in the silence reach the next incarnation at
        // once.
        let let_through = if delay.duration.is_some() { end } else { start };
        self.steps.extend([
            (from, RestartStep::HoldUp(delay)),
            (end, RestartStep::End),
            (let_through, RestartStep::LetThrough),
            (start, RestartStep::Start),
            (cut_off, RestartStep::CutOff),
            (cut_off + duration, RestartStep::Reconnect),
        ]);
        cut_off + duration + random_time(rng, 300, 1500)
    }

    /// Carries out the steps at the upstream beside the agent `name`, in a
    /// round that has started at `start`.
    pub fn play(&self, workers: &Workers, name: &str, start: Instant) {
        for (at, step) in &self.steps {
            thread::sleep(at.saturating_sub(start.elapsed()));
            match step {
                RestartStep::HoldUp(delay) => {
                    workers.delay_calls(name, Some(*delay));
                }
                RestartStep::LetThrough => workers.delay_calls(name, None),
                RestartStep::End => workers.end_silently(name),
                RestartStep::Start => workers.start_after_silence(name, true),
                RestartStep::CutOff => set_reachable(workers, name, false),
                RestartStep::Reconnect => set_reachable(workers, name, true),
            }
        }
    }
}

fn set_reachable(workers: &Workers, name: &str, reachable: bool) {
    if let Some(node) = workers.pool().nodes.get_mut(name) {
        node.reachable = reachable;
    }
}

/// Returns how many calls a later incarnation than the addressed one has
/// carried out, by their kind, for display.
#[must_use]
pub fn carried_out_later(workers: &Workers) -> String {
    let calls = workers.carried_out();
    let later: Vec<&CarriedOut> =
        calls.iter().filter(|c| c.by_later).collect();
    let counts = [CallKind::Start, CallKind::Hold, CallKind::Acknowledgement];
    let counts = counts.map(|kind| {
        let calls = later.iter().filter(|c| c.kind == kind);
        let accepted = calls.clone().filter(|c| c.accepted).count();
        format!("{accepted} of {} {kind:?}", calls.count())
    });
    let longest = later.iter().map(|c| c.delay.as_millis()).max();
    format!(
        "{} calls held up until a later incarnation, accepted {}, by {} ms at \
         most",
        later.len(),
        counts.join(", "),
        longest.unwrap_or(0)
    )
}

impl fmt::Display for RestartSeries {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "upstream of agent {}:", self.agent)?;
        for (at, step) in &self.steps {
            write!(f, " {:.2} s {step:?}", at.as_secs_f64())?;
        }
        Ok(())
    }
}
