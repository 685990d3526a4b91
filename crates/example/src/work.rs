//! The work of the example upstream's tasks. The form of a task's input
//! determines what it does: plan a round, sleep and return a value, or fail.

use std::{
    thread,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::rounds::{self, Round};

/// The maximum interval at which a sleeping task checks whether it should
/// stop.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The input of a task that sleeps and returns a value.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Echo {
    /// How long to sleep, in milliseconds.
    #[serde(default)]
    pub sleep_ms: u64,
    /// The value to return.
    pub echo: Box<RawValue>,
}

/// The input of a task that fails.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fail {
    /// The reason of the failure.
    pub fail: String,
}

/// Why a task gave no answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TaskError {
    /// The task failed for this reason.
    Failed(String),
    /// The task was asked to stop.
    Stopped,
}

/// Runs a task and returns its answer.
///
/// `prior_run_time` is the run time of the earlier runs that this run resumes:
/// a sleeping task sleeps only for the rest. `should_stop` is polled while the
/// task sleeps.
///
/// # Errors
///
/// Returns a [`TaskError`] if the task fails or is stopped.
pub fn run(
    input: &[u8],
    prior_run_time: Duration,
    should_stop: &mut dyn FnMut() -> bool,
) -> Result<Vec<u8>, TaskError> {
    let failed = |e: serde_json::Error| TaskError::Failed(e.to_string());
    if let Ok(Echo { sleep_ms, echo }) = serde_json::from_slice(input) {
        let remaining =
            Duration::from_millis(sleep_ms).saturating_sub(prior_run_time);
        sleep(remaining, should_stop)?;
        return Ok(echo.get().as_bytes().to_vec());
    }
    if let Ok(Fail { fail }) = serde_json::from_slice(input) {
        return Err(TaskError::Failed(fail));
    }
    let round: Round = serde_json::from_slice(input).map_err(failed)?;
    serde_json::to_vec(&rounds::plan(&round)).map_err(failed)
}

fn sleep(
    time: Duration,
    should_stop: &mut dyn FnMut() -> bool,
) -> Result<(), TaskError> {
    let end = Instant::now() + time;
    loop {
        if should_stop() {
            return Err(TaskError::Stopped);
        }
        let remaining = end.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Ok(());
        }
        thread::sleep(remaining.min(STOP_POLL_INTERVAL));
    }
}
