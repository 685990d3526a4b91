//! What is known of the speed of one worker.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use figrill_state::batch::TaskId;

use super::belief::Belief;

/// The age up to which slow windows of runs count as simultaneous.
const MAX_SLOW_AGE: Duration = Duration::from_millis(1500);

/// The same for windows that are not slow. It is shorter, because windows from
/// before a slowdown must soon stop counting.
const MAX_STEADY_AGE: Duration = Duration::from_millis(700);

/// The number of slow windows in a row, of all runs of a worker, after which
/// the worker counts as slowed.
const MIN_SLOW_WINDOWS: u32 = 2;

/// How long a worker counts as slowed after it was last seen slow.
const SLOWDOWN_MEMORY: Duration = Duration::from_secs(5);

/// The duration from which a slowdown is taken for a lasting change.
const LASTING_SLOWDOWN: Duration = Duration::from_secs(20);

/// The variance of the former speed of a worker after [`LASTING_SLOWDOWN`]. It
/// covers a change between the fastest and the slowest workers of a site.
const CHANGED_VARIANCE: f64 = 0.6 * 0.6;

/// The variance of a speed that was measured in a few windows.
const SLOWED_VARIANCE: f64 = 0.3 * 0.3;

/// What one run shows of its worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct Evidence {
    /// The speed that the run has shown while it was not slow.
    pub(super) observation: Option<Belief>,
    /// The number of its windows since it became slow.
    pub(super) slow_windows: u32,
    /// The speed in the latest window, as a natural logarithm.
    pub(super) latest_ln: f64,
    /// Whether it has been slow from its start.
    pub(super) initially_slow: bool,
    pub(super) at: Duration,
}

/// A sudden slowdown.
#[derive(Clone, Copy, Debug)]
struct Slowdown {
    ln: f64,
    since: Duration,
    seen_at: Duration,
}

/// What is known of one worker.
#[derive(Debug)]
pub(super) struct WorkerSpeed {
    /// What ended runs have shown, and until when.
    settled: (Belief, Duration),
    /// What the active runs show.
    runs: BTreeMap<TaskId, Evidence>,
    /// Active runs that are slow because of their tasks.
    long_runs: BTreeSet<TaskId>,
    /// Both combined, and when.
    current: (Belief, Duration),
    slowdown: Option<Slowdown>,
    /// The speed that was last logged.
    pub(super) logged_ln: Option<f64>,
}

impl WorkerSpeed {
    pub(super) fn new(now: Duration) -> Self {
        Self {
            settled: (Belief::PRIOR, now),
            runs: BTreeMap::new(),
            long_runs: BTreeSet::new(),
            current: (Belief::PRIOR, now),
            slowdown: None,
            logged_ln: None,
        }
    }

    /// Returns what ended runs have shown.
    pub(super) fn settled(&self, now: Duration) -> Belief {
        self.settled.0.aged(now.saturating_sub(self.settled.1))
    }

    /// Returns what all runs have shown, regardless of a slowdown.
    pub(super) fn steady(&self, now: Duration) -> Belief {
        self.current.0.aged(now.saturating_sub(self.current.1))
    }

    /// Returns the speed at present.
    pub(super) fn present(&self, now: Duration) -> Belief {
        match self.slowdown {
            Some(s) if now < s.seen_at + SLOWDOWN_MEMORY => Belief {
                ln: s.ln,
                variance: SLOWED_VARIANCE,
            },
            _ => self.steady(now),
        }
    }

    pub(super) fn is_slowed(&self, now: Duration) -> bool {
        self.slowdown
            .is_some_and(|s| now < s.seen_at + SLOWDOWN_MEMORY)
    }

    /// Replaces what a run shows.
    pub(super) fn record(&mut self, task: TaskId, evidence: Evidence) {
        self.runs.insert(task, evidence);
        self.update_slowdown(evidence.at);
        self.combine(evidence.at);
    }

    /// Adds what an ended run has shown to what is settled.
    pub(super) fn settle(&mut self, task: TaskId) {
        self.long_runs.remove(&task);
        let Some(evidence) = self.runs.remove(&task) else {
            return;
        };
        if let Some(observation) = evidence.observation {
            let at = evidence.at.max(self.settled.1);
            let before = self.settled(at);
            self.settled = (before.combine(&observation).bounded(), at);
        }
        self.combine(evidence.at.max(self.current.1));
    }

    fn combine(&mut self, now: Duration) {
        let observations = self.runs.values().filter_map(|e| e.observation);
        let settled = self.settled(now);
        let combined = observations.fold(settled, |b, o| b.combine(&o));
        self.current = (combined.bounded(), now);
    }

    /// Decides whether the worker is slowed. One slow run among others that
    /// progress is a task that takes longer, and says nothing of the worker.
    fn update_slowdown(&mut self, now: Duration) {
        let mut slow = 0_u32;
        let mut steady = 0_u32;
        let mut windows = 0;
        let mut ln = f64::MAX;
        for (task, evidence) in &self.runs {
            if self.long_runs.contains(task) {
                continue;
            }
            let age = now.saturating_sub(evidence.at);
            if evidence.slow_windows == 0 {
                steady += u32::from(age <= MAX_STEADY_AGE);
            } else if age <= MAX_SLOW_AGE {
                slow += 1;
                windows += evidence.slow_windows;
                ln = ln.min(evidence.latest_ln);
            }
        }
        let is_present = self.is_slowed(now);
        if slow > steady && (is_present || windows >= MIN_SLOW_WINDOWS) {
            let earlier = self.slowdown.filter(|_| is_present);
            let since = earlier.map_or(now, |s| s.since);
            self.slowdown = Some(Slowdown {
                ln,
                since,
                seen_at: now,
            });
            if now >= since + LASTING_SLOWDOWN {
                let (settled, _) = self.settled;
                let variance = settled.variance.max(CHANGED_VARIANCE);
                self.settled = (
                    Belief {
                        variance,
                        ..settled
                    },
                    now,
                );
            }
        } else if steady > 0 {
            self.slowdown = None;
            self.mark_long_runs();
        }
    }

    /// Marks runs that have been slow from their start while others on this
    /// worker progress. They are ignored also once the others have ended.
    fn mark_long_runs(&mut self) {
        let long = self.runs.iter().filter(|(_, evidence)| {
            evidence.initially_slow
                && evidence.slow_windows >= MIN_SLOW_WINDOWS
        });
        self.long_runs.extend(long.map(|(task, _)| *task));
    }
}
