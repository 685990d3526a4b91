//! What a delay of waiting work costs callers.
//!
//! The model is meant for bursts in which more work with deadlines arrives
//! than the site can finish in time. A job that ends by its deadline has its
//! full value, one that ends later within three times the allowed time a
//! fraction of it, and one that ends after that none. The order of waiting
//! work, the choice of victims, and the decision whether a preemption is
//! worth its cost all follow from these values, so that the work that is late
//! is the work whose lateness costs least.

use std::{collections::BTreeMap, time::Duration};

use figrill_state::batch::{BatchId, TaskId};

use budget::Budget;
use job_value::JobValues;
use turns::Turns;

pub(super) mod budget;
pub(super) mod job_value;
pub(super) mod turns;

/// The values of a job with the mean work of its queue at the highest
/// priorities, relative to each other.
const PRIORITY_WEIGHTS: [f64; 3] = [4.0, 3.0, 1.0];

/// The factor by which the value falls with each priority below those of
/// [`PRIORITY_WEIGHTS`].
const LOWER_PRIORITY_FACTOR: f64 = 1.0 / 3.0;

/// The fraction of its value that a job retains if it ends late.
const LATE_VALUE: f64 = 0.2;

/// The multiple of its allowed time after which a job has no value.
const MAX_ALLOWED_FACTOR: u64 = 3;

/// The time from the placement of a task until it works: a commit, and the
/// messages to its agent.
const START_LATENCY: Duration = Duration::from_millis(50);

/// The fraction of its expected run time by which work may take longer and
/// still end in time, however long it waits for capacity.
const ESTIMATE_MARGIN: f64 = 0.2;

/// The factor by which the gain of a preemption has to exceed its loss. Both
/// follow from estimates of run times.
const MIN_GAIN_FACTOR: f64 = 1.5;

/// The number of preemptions of a task, for any work, after which only claims
/// may preempt it.
const MAX_PREEMPTIONS: u32 = 2;

/// Returns the value of a job with the mean work of its queue.
fn weight(priority: u32) -> f64 {
    let last = PRIORITY_WEIGHTS.len() - 1;
    let index = usize::try_from(priority).unwrap_or(usize::MAX);
    if let Some(weight) = PRIORITY_WEIGHTS.get(index) {
        return *weight;
    }
    let levels = i32::try_from(index - last).unwrap_or(i32::MAX);
    PRIORITY_WEIGHTS[last] * LOWER_PRIORITY_FACTOR.powi(levels)
}

/// How late the job of waiting work is expected to end.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Lateness {
    /// It can still end by its deadline.
    InTime,
    /// It can still end within [`MAX_ALLOWED_FACTOR`] times its allowed time.
    Late,
    /// It will have no value for its caller.
    Hopeless,
}

/// What is known about a group of waiting tasks.
#[derive(Clone, Copy, Debug)]
pub(super) struct Demand {
    pub(super) priority: u32,
    /// Whether its job is a claim on a guarantee.
    pub(super) claim: bool,
    /// The work of the tasks, in core-seconds.
    pub(super) work: f64,
    /// The value of a core-second of it.
    pub(super) value_rate: f64,
    /// The expected time from the start of the tasks to the end of their job.
    pub(super) expected: Duration,
    /// The beginning of the allowed time, in milliseconds since 1970.
    pub(super) accepted_ms: u64,
    /// The end of the allowed time, in milliseconds since 1970.
    pub(super) due_ms: u64,
}

impl Demand {
    /// Returns how late the work is if it ends at `end_ms`.
    fn lateness_at(&self, end_ms: u64) -> Lateness {
        let allowed_ms = self.due_ms.saturating_sub(self.accepted_ms);
        let limit_ms = self
            .accepted_ms
            .saturating_add(allowed_ms.saturating_mul(MAX_ALLOWED_FACTOR));
        if end_ms <= self.due_ms {
            Lateness::InTime
        } else if end_ms <= limit_ms {
            Lateness::Late
        } else {
            Lateness::Hopeless
        }
    }

    /// Returns the expected end of the job if the tasks are placed after a
    /// delay, in milliseconds since 1970.
    fn end_ms(&self, now_ms: u64, delay: Duration) -> u64 {
        let time = delay
            .saturating_add(START_LATENCY)
            .saturating_add(self.expected);
        now_ms.saturating_add(millis(time))
    }

    /// Returns how late the work is if its tasks are placed now.
    pub(super) fn lateness(&self, now_ms: u64) -> Lateness {
        self.lateness_at(self.end_ms(now_ms, Duration::ZERO))
    }

    /// Returns the value of the work if its tasks are placed after a delay.
    pub(super) fn value(&self, now_ms: u64, delay: Duration) -> f64 {
        self.value_if(self.lateness_at(self.end_ms(now_ms, delay)))
    }

    fn value_if(&self, lateness: Lateness) -> f64 {
        let share = match lateness {
            Lateness::InTime => 1.0,
            Lateness::Late => LATE_VALUE,
            Lateness::Hopeless => 0.0,
        };
        self.value_rate * self.work * share
    }

    /// Returns the time for which the tasks can wait and still meet the
    /// deadline, if the estimate is not too low by more than
    /// [`ESTIMATE_MARGIN`].
    pub(super) fn spare_time(&self, now_ms: u64) -> Duration {
        let needed =
            START_LATENCY + self.expected.mul_f64(1.0 + ESTIMATE_MARGIN);
        let left_ms = self.due_ms.saturating_sub(now_ms);
        Duration::from_millis(left_ms).saturating_sub(needed)
    }

    /// Returns the value that is gained by a start after `delay` instead of
    /// one after `wait`. Work that is equally late after either gains nothing,
    /// and neither does work that has the time to wait.
    pub(super) fn gain(
        &self,
        now_ms: u64,
        delay: Duration,
        wait: Duration,
    ) -> f64 {
        if wait <= self.spare_time(now_ms) {
            return 0.0;
        }
        let soon = self.lateness_at(self.end_ms(now_ms, delay));
        let mut later = self.lateness_at(self.end_ms(now_ms, wait));
        if soon == Lateness::InTime {
            later = later.max(Lateness::Late);
        }
        self.value_if(soon) - self.value_if(later.max(soon))
    }

    /// Returns the position of a group among those that wait.
    pub(super) fn order(
        &self,
        now_ms: u64,
        first: TaskId,
        has_turn: bool,
    ) -> OrderKey {
        let rank = if self.claim {
            Rank::Claim
        } else if has_turn {
            Rank::Turn
        } else {
            Rank::Priority(self.priority)
        };
        // Nothing but the deadline counts among claims.
        if self.claim {
            return OrderKey {
                rank,
                lateness: Lateness::InTime,
                key_ms: self.due_ms,
                first,
            };
        }
        let lateness = self.lateness(now_ms);
        let key_ms = match lateness {
            Lateness::InTime => {
                self.due_ms.saturating_sub(millis(self.expected))
            }
            Lateness::Late | Lateness::Hopeless => self.accepted_ms,
        };
        OrderKey {
            rank,
            lateness,
            key_ms,
            first,
        }
    }
}

/// The first criterion of the order of waiting groups.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Rank {
    /// A claim on a guarantee.
    Claim,
    /// A late group that would starve otherwise; see [`turns`].
    Turn,
    /// Any other group, by priority.
    Priority(u32),
}

/// The position of a group among those that wait; the lowest goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct OrderKey {
    rank: Rank,
    lateness: Lateness,
    /// The latest start that meets the deadline, or when the job was accepted
    /// if it is late, in milliseconds since 1970.
    key_ms: u64,
    first: TaskId,
}

/// What a run, together with its gang, costs if it is stopped, besides the
/// work that is lost.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct VictimValue {
    /// The value of a core-second of its work.
    pub(super) value_rate: f64,
    /// How often it has been preempted already.
    pub(super) preemptions: u32,
    /// The value of the tasks of its step that are not done, if it is expected
    /// to end in time for its deadline; zero otherwise.
    pub(super) deadline_value: f64,
    /// How long its next run may be delayed without missing the deadline, in
    /// seconds.
    pub(super) margin_s: f64,
}

impl VictimValue {
    /// Returns whether work other than claims may stop it.
    pub(super) const fn may_be_preempted(&self) -> bool {
        self.preemptions < MAX_PREEMPTIONS
    }

    /// Returns the value of the lost work, which is given in core-seconds.
    pub(super) fn work_loss(&self, lost: f64) -> f64 {
        lost * self.value_rate * self.repetition_factor()
    }

    /// Returns the value that is lost by a missed deadline if its next run is
    /// delayed.
    pub(super) fn deadline_loss(&self, delay_s: f64) -> f64 {
        if delay_s <= self.margin_s {
            return 0.0;
        }
        self.deadline_value * (1.0 - LATE_VALUE) * self.repetition_factor()
    }

    fn repetition_factor(&self) -> f64 {
        f64::from(self.preemptions) + 1.0
    }
}

/// The reason why a preemption is declined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Decline {
    /// The gain does not clearly exceed the loss.
    Loss,
    /// The budget of lost work is used up.
    Budget,
}

impl Decline {
    /// Returns the name used in logs.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Loss => "loss",
            Self::Budget => "budget",
        }
    }
}

/// The effects of a preemption.
#[derive(Clone, Copy, Debug)]
pub(super) struct Balance {
    /// The value that the waiting work gains.
    pub(super) gain: f64,
    /// The value that the stopped work loses.
    pub(super) loss: f64,
    /// The lost work in core-seconds.
    pub(super) lost_work: f64,
}

impl Balance {
    /// Returns the fields of a log line, with the tokens left in the budget.
    pub(super) fn detail(&self, tokens: f64) -> String {
        let Self {
            gain,
            loss,
            lost_work,
        } = self;
        format!(
            " gain={gain:.2} loss={loss:.2} lost_core_s={lost_work:.1} \
             tokens={tokens:.0}"
        )
    }

    /// Returns why work other than a claim must not preempt; `None` if it may.
    pub(super) fn decline(&self, tokens: f64) -> Option<Decline> {
        if self.gain <= 0.0 || self.gain < self.loss * MIN_GAIN_FACTOR {
            Some(Decline::Loss)
        } else if self.lost_work > tokens {
            Some(Decline::Budget)
        } else {
            None
        }
    }
}

/// The state that decisions by the cost of delay keep from one planning pass to
/// the next.
#[derive(Debug, Default)]
pub(super) struct DelayCosts {
    pub(super) job_values: JobValues,
    pub(super) budget: Budget,
    pub(super) turns: Turns,
    pub(super) declines: Declines,
}

/// The minimum time between two log lines about declined preemptions for one
/// group.
const DECLINE_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The groups for which a declined preemption was logged recently, by job,
/// occurrence and step.
#[derive(Debug, Default)]
pub(super) struct Declines(BTreeMap<(BatchId, u32, u32), Duration>);

impl Declines {
    /// Returns whether a declined preemption for a group is to be logged now.
    pub(super) fn is_due(&mut self, now: Duration, first: TaskId) -> bool {
        self.0.retain(|_, at| now < *at + DECLINE_LOG_INTERVAL);
        let key = (first.job, first.occurrence, first.step);
        if self.0.contains_key(&key) {
            return false;
        }
        self.0.insert(key, now);
        true
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
