//! Jobs: submit, wait and cancel.

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

/// The longest that one poll waits at the entry.
const POLL: Duration = Duration::from_secs(20);

/// Time before a poll that was refused is made again.
const AGAIN: Duration = Duration::from_millis(500);

/// Submits a job and waits for its outcome.
///
/// # Errors
///
/// Any [`CommandError`].
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
    let answer = client.call("POST", "/v1/jobs", Some(&text), POLL * 4)?;
    follow(&client, answer, start, wait, json)
}

/// Waits for the outcome of a job.
///
/// # Errors
///
/// Any [`CommandError`].
pub fn wait(
    job: &str,
    wait: Duration,
    remote: &Remote,
    json: bool,
) -> Result<Exit, CommandError> {
    let client = Client::new(remote);
    let start = Instant::now();
    let answer = poll(&client, job, wait.min(POLL))?;
    follow(&client, answer, start, wait, json)
}

/// Ends a job.
///
/// # Errors
///
/// Any [`CommandError`].
pub fn cancel(
    job: &str,
    remote: &Remote,
    json: bool,
) -> Result<Exit, CommandError> {
    let client = Client::new(remote);
    let path = format!("/v1/jobs/{job}");
    let answer = client.call("DELETE", &path, None, POLL)?;
    let exit = report(&answer, json);
    // A job that was cancelled as asked is no failure of the command.
    let body: Value = serde_json::from_str(&answer.body).unwrap_or_default();
    if body["reason"] == "cancelled" {
        return Ok(Exit::Done);
    }
    Ok(exit)
}

fn poll(
    client: &Client,
    job: &str,
    wait: Duration,
) -> Result<Answer, CommandError> {
    let path = format!("/v1/jobs/{job}?wait_s={}", wait.as_secs_f64());
    client.call("GET", &path, None, wait)
}

/// Polls until the job has ended or the time is up.
fn follow(
    client: &Client,
    mut answer: Answer,
    start: Instant,
    wait: Duration,
    json: bool,
) -> Result<Exit, CommandError> {
    while answer.status == 202 {
        let left = wait.saturating_sub(start.elapsed());
        if left.is_zero() {
            break;
        }
        let body: Value =
            serde_json::from_str(&answer.body).unwrap_or_default();
        let job = body["job"].as_str().unwrap_or_default().to_owned();
        answer = poll(client, &job, left.min(POLL))?;
        if answer.status == 503 {
            thread::sleep(AGAIN);
            answer.status = 202;
            answer.body = body.to_string();
        }
    }
    Ok(report(&answer, json))
}

fn report(answer: &Answer, json: bool) -> Exit {
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
        say!("{}", answer.body);
        return exit;
    }
    match exit {
        Exit::Done => print_done(&body),
        Exit::Waiting => {
            let text = |name: &str| {
                body[name].as_str().unwrap_or_default().to_owned()
            };
            say!("job {} is {}", text("job"), text("state"));
        }
        _ => {
            let job = body["job"].as_str().unwrap_or_default();
            let named = outcome.replace('_', " ");
            say!("job {job} {named}: {}", answer.explain());
            if let Some(seconds) = answer.retry_after {
                say!("another try may help in {seconds} s");
            }
        }
    }
    exit
}

/// Prints a whole answer.
pub(super) fn print_done(body: &Value) {
    let text = |name: &str| body[name].as_str().unwrap_or_default();
    let parts = body["parts"].as_array();
    let parts = parts.map(Vec::as_slice).unwrap_or_default();
    say!(
        "job {} done: {} parts of attempt {}, {}",
        text("job"),
        parts.len(),
        text("attempt"),
        text("digest")
    );
    for (rank, part) in parts.iter().enumerate() {
        say!("  {rank}: {part}");
    }
}
