//! The upstream beside an agent over HTTP.
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
//! A start's body is the checkpoint, whose length `checkpoint_bytes` in the
//! query gives, and then the input. The header `X-State` of an answer is `running`, `answered`, `failed`, `stopped` or `unheard`.
//! The upstream announces itself with `POST /v1/announce` to its agent.

use std::time::Duration;

use figrill_state::{
    job::MAX_JOB_BYTES,
    upstream::{StartTask, TaskState, Upstream, UpstreamError, Usage},
    worker::Capacity,
};
use serde::{Deserialize, Serialize};
use ureq::{Agent, Body, http::Response};

use crate::client::agent;

/// How long a call may take besides the time that it is asked to wait.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// How an upstream announces itself.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Where it is reached.
    pub url: String,
    /// What it offers.
    pub capacity: Capacity,
}

/// What the upstream says of its use.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct UsageBody {
    /// Tasks that run.
    pub tasks: u32,
    /// Memory in use in MiB.
    pub memory_mib: u32,
}

/// A client; it may be shared between threads.
pub struct UpstreamClient {
    base: String,
    agent: Agent,
}

fn failed(e: impl std::fmt::Display) -> UpstreamError {
    UpstreamError(e.to_string())
}

fn read_body(response: &mut Response<Body>) -> Result<Vec<u8>, UpstreamError> {
    let limit = 2 * MAX_JOB_BYTES as u64;
    let body = response.body_mut().with_config().limit(limit);
    body.read_to_vec().map_err(failed)
}

fn state(mut response: Response<Body>) -> Result<TaskState, UpstreamError> {
    let body = read_body(&mut response)?;
    let status = response.status().as_u16();
    if status != 200 {
        return Err(UpstreamError(format!("status {status}")));
    }
    let name = response.headers().get("x-state");
    match name.and_then(|v| v.to_str().ok()).unwrap_or_default() {
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
    /// A client for the upstream at `base`.
    #[must_use]
    pub fn new(base: &str) -> Self {
        let base = base.trim_end_matches('/').to_owned();
        Self {
            base,
            agent: agent(CALL_TIMEOUT),
        }
    }

    fn post(
        &self,
        path: &str,
        wait: Duration,
    ) -> Result<Response<Body>, UpstreamError> {
        let url = format!("{}{path}", self.base);
        let timeout = Some(wait + CALL_TIMEOUT);
        let request = self.agent.post(&url).config();
        let request = request.timeout_global(timeout).build();
        request.send_empty().map_err(failed)
    }

    fn order(&self, path: &str) -> Result<(), UpstreamError> {
        let response = self.post(path, Duration::ZERO)?;
        if response.status().as_u16() == 200 {
            return Ok(());
        }
        Err(UpstreamError(format!("status {}", response.status())))
    }
}

impl Upstream for UpstreamClient {
    fn fence(&self, agent: u64) -> Result<(), UpstreamError> {
        self.order(&format!("/v1/fence?agent={agent}"))
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
        let given = task
            .checkpoint
            .map(|c| format!("&checkpoint_bytes={}", c.len()));
        let url = url + &given.unwrap_or_default();
        let checkpoint = task.checkpoint.unwrap_or_default();
        let body = [checkpoint, task.input].concat();
        let timeout = Some(wait + CALL_TIMEOUT);
        let request = self.agent.put(&url).config();
        let request = request.timeout_global(timeout).build();
        state(request.send(body.as_slice()).map_err(failed)?)
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
        state(request.call().map_err(failed)?)
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
        self.order(&format!("/v1/tasks/{name}/throttle"))
    }

    fn stop(&self, name: &str) -> Result<(), UpstreamError> {
        self.order(&format!("/v1/tasks/{name}/stop"))
    }

    fn usage(&self) -> Result<Usage, UpstreamError> {
        let url = format!("{}/v1/usage", self.base);
        let mut response = self.agent.get(&url).call().map_err(failed)?;
        let body = read_body(&mut response)?;
        let usage: UsageBody =
            serde_json::from_slice(&body).map_err(failed)?;
        Ok(Usage {
            tasks: usage.tasks,
            memory_mib: usage.memory_mib,
        })
    }
}
