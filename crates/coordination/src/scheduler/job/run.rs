//! A run of a task, and what is known of it.

use std::time::Duration;

use figrill_state::batch::Incarnation;

use super::super::START_WINDOW;
use crate::open_calls::LATE_CALL_WINDOW;

/// The phase of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(in super::super) enum Phase {
    /// The placement is not committed yet, and nothing was ordered.
    Committing {
        /// The number of the commit that contains it, once there is one.
        commit: Option<u64>,
    },
    /// The start was ordered. A snapshot that is taken later than
    /// `conclusive_after_ms` shows whether the run exists.
    Ordered {
        /// A time on the upstream's clock, in milliseconds.
        conclusive_after_ms: u64,
    },
    /// The upstream has ended, and the run is being stopped on the next
    /// incarnation, which a call to start it may still reach.
    Superseded {
        /// When the next incarnation acknowledged the stop, in milliseconds on
        /// its clock. A snapshot that is taken later shows whether the run
        /// exists there.
        stopped_at_ms: Option<u64>,
    },
    /// The upstream has listed or confirmed the run.
    Running {
        /// The upstream's clock when it first did so, in milliseconds.
        first_seen_ms: u64,
    },
}

impl Phase {
    /// Returns whether the start was ordered and nothing has shown the run.
    pub(in super::super) const fn awaits_start(self) -> bool {
        matches!(self, Self::Ordered { .. } | Self::Superseded { .. })
    }

    /// Returns the name used in logs.
    pub(in super::super) const fn name(self) -> &'static str {
        match self {
            Self::Committing { .. } => "committing",
            Self::Ordered { .. } => "ordered",
            Self::Superseded { .. } => "superseded",
            Self::Running { .. } => "running",
        }
    }
}

/// A run that may hold resources of a worker.
#[derive(Clone, Debug)]
pub(in super::super) struct Run {
    pub(in super::super) agent: String,
    pub(in super::super) upstream: Incarnation,
    /// The number of the run: later runs of the same task have higher ones.
    pub(in super::super) number: u32,
    pub(in super::super) phase: Phase,
    /// When the run was placed.
    pub(in super::super) placed_at: Duration,
    /// When its start was ordered; `None` before that.
    pub(in super::super) ordered_at: Option<Duration>,
    /// Whether it uses capacity that was reserved for another group, which may
    /// stop it.
    pub(in super::super) is_backfill: bool,
    /// Whether an earlier coordinator has ordered its start.
    pub(in super::super) is_adopted: bool,
    /// Whether its agent has made all calls to start it, and every one of them
    /// was answered.
    pub(in super::super) is_answered: bool,
    /// From when on no call to start the run can begin it any more, nor have
    /// begun it at an incarnation that nobody has heard of and whose lease
    /// lasts, provided that its VM is not suspended. Zero once its upstream is
    /// known to have executed the only call.
    pub(in super::super) settled_at: Duration,
    /// When a stop was last sent, if the run is to be stopped; zero if none
    /// was sent yet.
    pub(in super::super) stopping: Option<Duration>,
    /// Its latest checkpoint, or the one it starts from; empty if there is
    /// none.
    pub(in super::super) checkpoint: String,
    /// The latest reported progress, in percent.
    pub(in super::super) percent: u32,
    /// When the progress last increased.
    pub(in super::super) progressed_at: Duration,
    /// The progress, in percent, when this run was first listed.
    pub(in super::super) initial_percent: u32,
    /// The progress, in percent, from which it began; `None` until it is
    /// listed.
    pub(in super::super) first_percent: Option<u32>,
}

impl Run {
    /// Returns after which time on the upstream's clock, in milliseconds, a
    /// snapshot shows whether the run exists; `None` if none does yet.
    pub(in super::super) fn conclusive_after_ms(
        &self,
        now: Duration,
    ) -> Option<u64> {
        match self.phase {
            Phase::Committing { .. } => None,
            // A call for an adopted run may still reach the next incarnation.
            Phase::Ordered { .. }
                if self.is_adopted && !self.calls_have_ended(now) =>
            {
                None
            }
            Phase::Ordered {
                conclusive_after_ms,
            } => Some(conclusive_after_ms),
            Phase::Superseded { stopped_at_ms } => {
                // No call is on its way any more, so an answer to the stop is
                // not needed.
                stopped_at_ms.or((now >= self.settled_at).then_some(0))
            }
            Phase::Running { first_seen_ms } => Some(first_seen_ms),
        }
    }

    /// Records a listed progress, in percent. Returns whether it is the first
    /// progress of this run. One that resumed from a checkpoint began with the
    /// first listed progress.
    pub(in super::super) fn record_progress(&mut self, percent: u32) -> bool {
        let is_resumed = self.is_adopted || !self.checkpoint.is_empty();
        let first = if is_resumed { percent } else { 0 };
        let first = *self.first_percent.get_or_insert(first);
        self.percent <= first && percent > first
    }

    /// Returns whether a snapshot has shown progress of this run.
    pub(in super::super) fn has_progressed(&self) -> bool {
        self.first_percent.is_some_and(|first| self.percent > first)
    }

    /// Returns whether a call to start the run that this coordinator has
    /// ordered may be on its way.
    pub(in super::super) fn awaits_answers(&self, now: Duration) -> bool {
        let is_recent = |at: Duration| now < at + START_WINDOW;
        !self.is_answered
            && !self.is_adopted
            && self.ordered_at.is_some_and(is_recent)
    }

    /// Returns until when a call to start the run that this coordinator has
    /// ordered may be executed although nobody knows its answer; zero if there
    /// is none.
    pub(in super::super) fn open_until(&self) -> Duration {
        if self.is_answered || self.is_adopted {
            return Duration::ZERO;
        }
        let ordered_at = self.ordered_at;
        ordered_at
            .map_or(Duration::ZERO, |at| at + START_WINDOW + LATE_CALL_WINDOW)
    }

    /// Returns whether no call to start the run is on its way any more. The
    /// answers to calls that an earlier coordinator has ordered are not known.
    pub(in super::super) fn calls_have_ended(&self, now: Duration) -> bool {
        let is_past = |at: Duration| now >= at + START_WINDOW;
        self.is_answered
            || self.is_adopted && self.ordered_at.is_some_and(is_past)
    }
}
