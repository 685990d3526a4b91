//! When a caller whose submission was refused is told to submit it again.
//!
//! The load that this addresses: during an outage of the store every entry
//! refuses all submissions. Callers repeat a refused one up to four times, and
//! most outages end within a few seconds, but some last ten. A constant delay
//! that covers a long outage is too long for a short one, and callers that
//! were refused at the same moment return at the same moment.
//!
//! Retries of one caller reach different entries, so an entry can't count
//! them. The time since the outage began stands for their number: a schedule
//! gives the earliest times of the retries with which four cover the longest
//! outage. An entry may notice an outage late, so the schedule is read with a
//! margin of [`MAX_DETECTION_DELAY`]. The job's id chooses one of two
//! schedules, and rounds to whole seconds.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

/// The longest outage that the retries of one caller must cover.
pub const COVERED_OUTAGE: Duration = Duration::from_secs(10);

/// The earliest times of a caller's submission and its four retries, in seconds
/// since the outage began. The last is not before [`COVERED_OUTAGE`] ends.
type Schedule = [f64; 5];

/// The schedules between which the job's id chooses. Their retries lie apart,
/// because with one schedule all callers would return around the same times.
const SCHEDULES_S: [Schedule; 2] =
    [[0.0, 1.0, 3.0, 6.0, 10.0], [0.0, 2.0, 5.0, 8.0, 11.0]];

/// How much later than another an entry may notice the same outage. The entries
/// read the configuration at different times, with a watch of that length
/// between two reads.
pub const MAX_DETECTION_DELAY: Duration = Duration::from_millis(800);

/// The mean delay at the beginning of an outage, in seconds.
const FIRST_DELAY_S: f64 = 1.5;

/// The growth of the mean delay for each second that an outage has lasted.
const DELAY_GROWTH: f64 = 0.2;

/// The time, in seconds, in which the entries notice the end of an outage.
const END_MARGIN_S: f64 = 0.5;

/// How much longer than its schedule demands, in seconds, a caller may be told
/// to wait in an outage that its retries cover.
const MAX_EXTENSION_S: f64 = 1.0;

/// The range of the longest delay in an outage that lasts longer than the
/// covered one, in seconds. Within it, the delay is the caller's own time
/// limit: a caller that waits longer for an answer is assumed to accept longer
/// delays between its attempts.
const MAX_DELAY_S: (f64, f64) = (4.0, 8.0);

/// The mean delay of a refusal that no outage explains, in seconds. Another
/// entry may accept the job at once.
const PLAIN_DELAY_S: f64 = 1.5;

/// The smallest share of callers that gets each of the two delays between
/// which the job's id chooses. Without it, all callers would return at once
/// whenever the mean delay is a whole number.
const MIN_SHARE: f64 = 0.25;

/// Why a submission is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The entry has no configuration yet.
    NoConfiguration,
    /// The entry's record is not in the store yet.
    NotRegistered,
    /// The store is known to be unavailable, so nothing was sent.
    StoreUnavailable,
    /// The store did not accept the write, and is not known to be unavailable.
    WriteFailed,
}

/// What is known when a submission is refused.
#[derive(Clone, Copy, Debug)]
pub struct RefusedSubmission<'a> {
    /// Why the submission is refused.
    pub refusal: Refusal,
    /// How long the outage of the store has lasted; `None` if no outage is
    /// known.
    pub outage: Option<Duration>,
    /// The lengths of past outages.
    pub past_outages: &'a [Duration],
    /// How long the caller waits for an answer.
    pub time_limit: Duration,
    /// The job's id, which decides between two delays.
    pub job: u64,
}

impl RefusedSubmission<'_> {
    /// Returns the delay, in whole seconds, after which the caller is told to
    /// submit the job again.
    #[must_use]
    pub fn retry_after_s(&self) -> u32 {
        let elapsed = match (self.refusal, self.outage) {
            (Refusal::StoreUnavailable, outage) => outage.unwrap_or_default(),
            (Refusal::WriteFailed, Some(outage)) => outage,
            _ => return self.round(PLAIN_DELAY_S, Duration::ZERO),
        };
        let schedule = if fraction(hash(self.job)) < 0.5 {
            &SCHEDULES_S[0]
        } else {
            &SCHEDULES_S[1]
        };
        let shortest = shortest_delay_s(schedule, elapsed);
        let mean = self.mean_delay_s(elapsed, shortest);
        self.round(mean.max(shortest), elapsed)
    }

    /// Returns the mean delay that is wanted `elapsed` after an outage began.
    fn mean_delay_s(&self, elapsed: Duration, shortest: f64) -> f64 {
        let wanted = match self.expected_end(elapsed) {
            Some(end) => {
                let left = end.saturating_sub(elapsed).as_secs_f64();
                left + END_MARGIN_S
            }
            None => FIRST_DELAY_S + DELAY_GROWTH * elapsed.as_secs_f64(),
        };
        wanted.min(self.longest_delay_s(elapsed, shortest))
    }

    /// Returns the longest mean delay. Until [`COVERED_OUTAGE`] is over, it
    /// leaves time for the later retries and ends soon after that time.
    fn longest_delay_s(&self, elapsed: Duration, shortest: f64) -> f64 {
        let Some(left) = COVERED_OUTAGE.checked_sub(elapsed) else {
            let (low, high) = MAX_DELAY_S;
            return self.time_limit.as_secs_f64().clamp(low, high);
        };
        (left.as_secs_f64() + END_MARGIN_S).min(shortest + MAX_EXTENSION_S)
    }

    /// Returns the median length of the past outages that lasted longer than
    /// the present one has.
    fn expected_end(&self, elapsed: Duration) -> Option<Duration> {
        let past = self.past_outages.iter().copied();
        let mut longer: Vec<_> = past.filter(|l| *l > elapsed).collect();
        longer.sort_unstable();
        longer.get(longer.len() / 2).copied()
    }

    /// Rounds a delay up or down to whole seconds so that the mean over all
    /// jobs is kept, except for [`MIN_SHARE`]. The choice of a job changes
    /// with each second, so that it is not always the same.
    fn round(&self, delay_s: f64, elapsed: Duration) -> u32 {
        let lower = delay_s.floor();
        let share = (delay_s - lower).clamp(MIN_SHARE, 1.0 - MIN_SHARE);
        let is_longer = fraction(hash((self.job, elapsed.as_secs()))) < share;
        whole_seconds(lower) + u32::from(is_longer)
    }
}

/// Returns the shortest delay, `elapsed` after an outage began, with which the
/// caller keeps to the schedule.
fn shortest_delay_s(schedule: &Schedule, elapsed: Duration) -> f64 {
    let seen = elapsed.as_secs_f64();
    let margin = MAX_DETECTION_DELAY.as_secs_f64();
    let next = schedule
        .windows(2)
        .find(|pair| seen < pair[1] - margin)
        .map_or(0.0, |pair| pair[1] - pair[0].max(seen));
    next.ceil().max(1.0)
}

fn hash(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// Maps a hash to a number from 0 to below 1.
fn fraction(hash: u64) -> f64 {
    let high = u32::try_from(hash >> 32).unwrap_or(u32::MAX);
    f64::from(high) / (f64::from(u32::MAX) + 1.0)
}

/// Converts a number of seconds that is a whole number and small.
fn whole_seconds(seconds: f64) -> u32 {
    u32::try_from(Duration::from_secs_f64(seconds).as_secs())
        .unwrap_or(u32::MAX)
}
