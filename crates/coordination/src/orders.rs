//! How an agent repeats an order that its upstream leaves unanswered.
//!
//! An upstream may leave an order unanswered and carry it out seconds later.
//! Starts and stops name their run, so an upstream carries out each of them
//! at most once, and repeating one is safe. For a large gang this decides
//! whether it runs at all: a single member whose start is lost makes the
//! whole gang start again.

use std::time::Duration;

use figrill_state::runner::StartOutcome;

/// The timeouts of the attempts of one order. The first is short, because an
/// upstream answers its own VM within milliseconds. Together they stay below
/// the time for which the upstream accepts a start.
const ATTEMPT_TIMEOUTS: [Duration; 3] = [
    Duration::from_millis(200),
    Duration::from_millis(400),
    Duration::from_millis(600),
];

/// Calls `start`, with the timeout of the attempt, until it is answered or
/// all attempts are used.
///
/// After an attempt without an answer, that of a later one says nothing about
/// it: it may have begun the run though a repeat was refused, and it may begin
/// the run again at a later incarnation of the upstream though a repeat showed
/// that it is active. The outcome is unknown then.
pub fn start_until_answered(
    mut start: impl FnMut(Duration) -> StartOutcome,
) -> StartOutcome {
    let mut any_unanswered = false;
    for timeout in ATTEMPT_TIMEOUTS {
        match start(timeout) {
            StartOutcome::Unknown => any_unanswered = true,
            _ if any_unanswered => return StartOutcome::Unknown,
            answered => return answered,
        }
    }
    StartOutcome::Unknown
}

/// Calls `stop`, with the timeout of the attempt, until it succeeds or all
/// attempts are used.
///
/// # Errors
///
/// Returns the error of the last attempt.
pub fn stop_until_answered<E>(
    mut stop: impl FnMut(Duration) -> Result<u64, E>,
) -> Result<u64, E> {
    let [first, second, last] = ATTEMPT_TIMEOUTS;
    stop(first)
        .or_else(|_| stop(second))
        .or_else(|_| stop(last))
}
