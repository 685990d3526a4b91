//! What a task of the example upstream does with its input.

use std::{
    thread,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::rounds::{self, Round};

/// Longest sleep between two looks at whether the task is to stop.
const SLICE: Duration = Duration::from_millis(20);

/// Take some time, then give back what was given.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Echo {
    /// How long to take.
    #[serde(default)]
    pub sleep_ms: u64,
    /// What to give back.
    pub echo: Box<RawValue>,
}

/// Fail with a reason.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fail {
    /// The reason.
    pub fail: String,
}

/// Why a task gave no answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum NoAnswer {
    /// It failed.
    Failed(String),
    /// It was asked to stop.
    Stopped,
}

/// Does the work of one task of which earlier ones have done `ran`; `stop`
/// says whether it is to stop.
///
/// # Errors
///
/// [`NoAnswer`].
pub fn run(
    input: &[u8],
    ran: Duration,
    stop: &mut dyn FnMut() -> bool,
) -> Result<Vec<u8>, NoAnswer> {
    let failed = |e: serde_json::Error| NoAnswer::Failed(e.to_string());
    if let Ok(Echo { sleep_ms, echo }) = serde_json::from_slice(input) {
        let left = Duration::from_millis(sleep_ms).saturating_sub(ran);
        sleep(left, stop)?;
        return Ok(echo.get().as_bytes().to_vec());
    }
    if let Ok(Fail { fail }) = serde_json::from_slice(input) {
        return Err(NoAnswer::Failed(fail));
    }
    let round: Round = serde_json::from_slice(input).map_err(failed)?;
    serde_json::to_vec(&rounds::plan(&round)).map_err(failed)
}

fn sleep(
    time: Duration,
    stop: &mut dyn FnMut() -> bool,
) -> Result<(), NoAnswer> {
    let end = Instant::now() + time;
    loop {
        if stop() {
            return Err(NoAnswer::Stopped);
        }
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Ok(());
        }
        thread::sleep(left.min(SLICE));
    }
}
