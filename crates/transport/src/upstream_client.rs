//! The HTTP client that an agent uses for its upstream, where figrill serves
//! its own HTTP API. The upstream serves these calls:
//!
//! | call | request |
//! | --- | --- |
//! | fence | `POST /v1/fence?agent=N` |
//! | start | `PUT /v1/tasks/NAME?agent=N&lease_ms=N&wait_ms=N` |
//! | wait | `GET /v1/tasks/NAME?lease_ms=N&wait_ms=N` |
//! | checkpoint | `POST /v1/tasks/NAME/checkpoint?wait_ms=N` |
//! | throttle | `POST /v1/tasks/NAME/throttle` |
//! | stop | `POST /v1/tasks/NAME/stop` |
//! | usage | `GET /v1/usage` |
//!
//! The body of a start is the checkpoint followed by the input; the query
//! parameter `checkpoint_bytes` gives the length of the checkpoint and is
//! absent if there is none. The header `X-State` of a response is `running`,
//! `answered`, `failed`, `stopped` or `unheard`, which means that the upstream
//! does not know the task. The body of a response with the state `answered` is
//! the answer, and with `failed` the reason. The body of a response to a
//! checkpoint request is the checkpoint; without one, the status is 204.
//!
//! The upstream registers with its agent by `POST /v1/announce`.

use std::time::Duration;

use figrill_state::{
    job::MAX_JOB_BYTES,
    upstream::{StartTask, TaskState, Upstream, UpstreamError, Usage},
    worker::Capacity,
};
use serde::{Deserialize, Serialize};
use ureq::{Agent, Body, http::Response};

use crate::client::new_agent;

/// The time limit for a call, in addition to the time that the upstream is
/// asked to wait for a result.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The body of `POST /v1/announce`, by which an upstream registers.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The base URL of the upstream.
    pub url: String,
    /// The capacity that it offers.
    pub capacity: Capacity,
}

/// The response body of `GET /v1/usage`.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct UsageBody {
    /// The number of running tasks.
    pub tasks: u32,
    /// The memory in use, in MiB.
    pub memory_mib: u32,
}

/// A client of one upstream. It may be shared between threads.
pub struct UpstreamClient {
    base: String,
    agent: Agent,
}

fn upstream_error(e: impl std::fmt::Display) -> UpstreamError {
    UpstreamError(e.to_string())
}

/// Reads the body of a response, up to twice the maximum size of an answer.
fn read_body(response: &mut Response<Body>) -> Result<Vec<u8>, UpstreamError> {
    let limit = 2 * MAX_JOB_BYTES as u64;
    let body = response.body_mut().with_config().limit(limit);
    body.read_to_vec().map_err(upstream_error)
}

/// Converts the response to a start or a wait into the state of the task.
fn task_state(
    mut response: Response<Body>,
) -> Result<TaskState, UpstreamError> {
    let body = read_body(&mut response)?;
    let status = response.status().as_u16();
    if status != 200 {
        return Err(UpstreamError(format!("status {status}")));
    }
    let state = response.headers().get("x-state");
    match state.and_then(|v| v.to_str().ok()).unwrap_or_default() {
        "running" => Ok(TaskState::Running),
        "answered" => Ok(TaskState::Answered(body)),
        "failed" => {
            let why = String::from_utf8_lossy(&body).into_owned();
            Ok(TaskState::Failed(why))
        }
        "stopped" => Ok(TaskState::Stopped),
        "unheard" => Ok(TaskState::Unknown),
        other => Err(UpstreamError(format!("no state {other}"))),
    }
}

impl UpstreamClient {
    /// Returns a client of the upstream with the base URL `base`.
    #[must_use]
    pub fn new(base: &str) -> Self {
        let base = base.trim_end_matches('/').to_owned();
        Self {
            base,
            agent: new_agent(CALL_TIMEOUT),
        }
    }

    /// Sends a `POST` without a body; `wait` is the time that the upstream
    /// is asked to wait.
    fn post(
        &self,
        path: &str,
        wait: Duration,
    ) -> Result<Response<Body>, UpstreamError> {
        let url = format!("{}{path}", self.base);
        let timeout = Some(wait + CALL_TIMEOUT);
        let request = self.agent.post(&url).config();
        let request = request.timeout_global(timeout).build();
        request.send_empty().map_err(upstream_error)
    }

    /// Sends a `POST` without a body. Only the status of the response matters.
    fn post_command(&self, path: &str) -> Result<(), UpstreamError> {
        let response = self.post(path, Duration::ZERO)?;
        if response.status().as_u16() == 200 {
            return Ok(());
        }
        Err(UpstreamError(format!("status {}", response.status())))
    }
}

impl Upstream for UpstreamClient {
    fn fence(&self, agent: u64) -> Result<(), UpstreamError> {
        self.post_command(&format!("/v1/fence?agent={agent}"))
    }

    fn start(
        &self,
        task: &StartTask<'_>,
        wait: Duration,
    ) -> Result<TaskState, UpstreamError> {
        let url = format!(
            "{}/v1/tasks/{}?agent={}&lease_ms={}&wait_ms={}",
            self.base,
            task.name,
            task.agent,
            task.lease.as_millis(),
            wait.as_millis()
        );
        let checkpoint_query = task
            .checkpoint
            .map(|c| format!("&checkpoint_bytes={}", c.len()));
        let url = url + &checkpoint_query.unwrap_or_default();
        let checkpoint = task.checkpoint.unwrap_or_default();
        let body = [checkpoint, task.input].concat();
        let timeout = Some(wait + CALL_TIMEOUT);
        let request = self.agent.put(&url).config();
        let request = request.timeout_global(timeout).build();
        task_state(request.send(body.as_slice()).map_err(upstream_error)?)
    }

    fn wait(
        &self,
        name: &str,
        lease: Duration,
        wait: Duration,
    ) -> Result<TaskState, UpstreamError> {
        let url = format!(
            "{}/v1/tasks/{name}?lease_ms={}&wait_ms={}",
            self.base,
            lease.as_millis(),
            wait.as_millis()
        );
        let timeout = Some(wait + CALL_TIMEOUT);
        let request = self.agent.get(&url).config();
        let request = request.timeout_global(timeout).build();
        task_state(request.call().map_err(upstream_error)?)
    }

    fn checkpoint(
        &self,
        name: &str,
        wait: Duration,
    ) -> Result<Option<Vec<u8>>, UpstreamError> {
        let ms = wait.as_millis();
        let path = format!("/v1/tasks/{name}/checkpoint?wait_ms={ms}");
        let mut response = self.post(&path, wait)?;
        match response.status().as_u16() {
            200 => read_body(&mut response).map(Some),
            204 => Ok(None),
            status => Err(UpstreamError(format!("status {status}"))),
        }
    }

    fn throttle(&self, name: &str) -> Result<(), UpstreamError> {
        self.post_command(&format!("/v1/tasks/{name}/throttle"))
    }

    fn stop(&self, name: &str) -> Result<(), UpstreamError> {
        self.post_command(&format!("/v1/tasks/{name}/stop"))
    }

    fn usage(&self) -> Result<Usage, UpstreamError> {
        let url = format!("{}/v1/usage", self.base);
        let mut response =
            self.agent.get(&url).call().map_err(upstream_error)?;
        let body = read_body(&mut response)?;
        let usage: UsageBody =
            serde_json::from_slice(&body).map_err(upstream_error)?;
        Ok(Usage {
            tasks: usage.tasks,
            memory_mib: usage.memory_mib,
        })
    }
}
