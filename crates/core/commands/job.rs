//! The `job` commands.

use std::{
    thread,
    time::{Duration, Instant},
};

use figrill_state::request::Submit;
use serde_json::Value;

use crate::{
    args::Remote,
    client::{Answer, Client},
    exit::{CommandError, Exit},
};

use super::read_file;

/// The maximum time that the entry is asked to wait in one poll.
const MAX_POLL_WAIT: Duration = Duration::from_secs(20);

/// The delay before a poll is retried that was answered with status 503.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Submits a job and waits for its outcome.
///
/// # Errors
///
/// Returns any [`CommandError`].
pub fn submit(
    file: &str,
    wait: Duration,
    remote: &Remote,
    json: bool,
) -> Result<Exit, CommandError> {
    let text = read_file(file)?;
    Submit::parse(&text)
        .map_err(|e| CommandError::Usage(format!("{file}: {e}")))?;
    let client = Client::new(remote);
    let start = Instant::now();
    // The job itself may ask the entry to wait for its outcome (`wait_s`), so
    // that the timeout is longer than that of a poll.
    let answer =
        client.call("POST", "/v1/jobs", Some(&text), MAX_POLL_WAIT * 4)?;
    poll_until_ended(&client, answer, start, wait, json)
}

/// Waits for the outcome of a job.
///
/// # Errors
///
/// Returns any [`CommandError`].
pub fn wait(
    job: &str,
    wait: Duration,
    remote: &Remote,
    json: bool,
) -> Result<Exit, CommandError> {
    let client = Client::new(remote);
    let start = Instant::now();
    let answer = poll(&client, job, wait.min(MAX_POLL_WAIT))?;
    poll_until_ended(&client, answer, start, wait, json)
}

/// Cancels a job.
///
/// # Errors
///
/// Returns any [`CommandError`].
pub fn cancel(
    job: &str,
    remote: &Remote,
    json: bool,
) -> Result<Exit, CommandError> {
    let client = Client::new(remote);
    let path = format!("/v1/jobs/{job}");
    let answer = client.call("DELETE", &path, None, MAX_POLL_WAIT)?;
    let exit = print_result(&answer, json);
    // The command succeeds if the job was cancelled as requested.
    let body: Value = serde_json::from_str(&answer.body).unwrap_or_default();
    if body["reason"] == "cancelled" {
        return Ok(Exit::Done);
    }
    Ok(exit)
}

/// Reads the state of a job. The entry waits up to `wait` for its outcome.
fn poll(
    client: &Client,
    job: &str,
    wait: Duration,
) -> Result<Answer, CommandError> {
    let path = format!("/v1/jobs/{job}?wait_s={}", wait.as_secs_f64());
    client.call("GET", &path, None, wait)
}

/// Polls until the job has ended or `wait` has passed since `start`, and
/// prints the last answer.
fn poll_until_ended(
    client: &Client,
    mut answer: Answer,
    start: Instant,
    wait: Duration,
    json: bool,
) -> Result<Exit, CommandError> {
    while answer.status == 202 {
        let remaining = wait.saturating_sub(start.elapsed());
        if remaining.is_zero() {
            break;
        }
        let body: Value =
            serde_json::from_str(&answer.body).unwrap_or_default();
        let job = body["job"].as_str().unwrap_or_default().to_owned();
        answer = poll(client, &job, remaining.min(MAX_POLL_WAIT))?;
        if answer.status == 503 {
            // The entry can't read the job at the moment. The last known state
            // is kept, and the job is polled again.
            thread::sleep(RETRY_DELAY);
            answer.status = 202;
            answer.body = body.to_string();
        }
    }
    Ok(print_result(&answer, json))
}

/// Prints the answer for a job and returns the exit code for it.
fn print_result(answer: &Answer, json: bool) -> Exit {
    let body: Value = serde_json::from_str(&answer.body).unwrap_or_default();
    let outcome = body["outcome"].as_str().unwrap_or_default();
    let exit = match (answer.status, outcome) {
        (202, _) => Exit::Waiting,
        (_, "done") => Exit::Done,
        (_, "failed") => Exit::Failed,
        (_, "unknown") => Exit::Unknown,
        _ => Exit::Refused,
    };
    if json {
        outln!("{}", answer.body);
        return exit;
    }
    match exit {
        Exit::Done => print_answer(&body),
        Exit::Waiting => {
            let text = |name: &str| {
                body[name].as_str().unwrap_or_default().to_owned()
            };
            outln!("job {} is {}", text("job"), text("state"));
        }
        _ => {
            let job = body["job"].as_str().unwrap_or_default();
            let outcome_text = outcome.replace('_', " ");
            outln!("job {job} {outcome_text}: {}", answer.error_message());
            if let Some(seconds) = answer.retry_after {
                outln!("retry after {seconds} s");
            }
        }
    }
    exit
}

/// Prints the complete answer of a job that is done.
pub(super) fn print_answer(body: &Value) {
    let text = |name: &str| body[name].as_str().unwrap_or_default();
    let parts = body["parts"].as_array();
    let parts = parts.map(Vec::as_slice).unwrap_or_default();
    outln!(
        "job {} done: {} parts of attempt {}, {}",
        text("job"),
        parts.len(),
        text("attempt"),
        text("digest")
    );
    for (rank, part) in parts.iter().enumerate() {
        outln!("  {rank}: {part}");
    }
}
