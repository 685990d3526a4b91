//! An HTTP client that submits jobs the way callers on the users' platform do.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

/// The deadline that a request announces in `x-deadline-ms`. The client itself
/// waits one second longer.
const REQUEST_DEADLINE: Duration = Duration::from_secs(3);

/// The answer to a request.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The HTTP status; 0 if the request failed without an answer.
    pub status: u16,
    /// The body as JSON; null if there is none or it is not JSON. If the
    /// request failed, the reason as a string.
    pub body: Value,
    /// The value of the `Retry-After` header in seconds, if there is one.
    pub retry_after_s: Option<u32>,
    /// The time from sending the request to reading the whole answer.
    pub latency: Duration,
}

/// A caller that authenticates with an API key.
#[derive(Clone)]
pub struct Client {
    agent: ureq::Agent,
    key: String,
}

impl Client {
    /// Creates a caller with the API key `key`.
    #[must_use]
    pub fn new(key: &str) -> Self {
        let agent = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(REQUEST_DEADLINE + Duration::from_secs(1)))
            .proxy(None)
            .build()
            .new_agent();
        Self {
            agent,
            key: key.to_owned(),
        }
    }

    /// Sends a request to an entry.
    #[must_use]
    pub fn call(
        &self,
        method: &str,
        entry: SocketAddr,
        path: &str,
        body: Option<&Value>,
    ) -> Answer {
        let start = Instant::now();
        let request = ureq::http::Request::builder()
            .method(method)
            .uri(format!("http://{entry}{path}"))
            .header("host", "jobs.example")
            .header("x-key", &self.key)
            .header("x-deadline-ms", REQUEST_DEADLINE.as_millis().to_string());
        let result = match body {
            Some(body) => request
                .body(body.to_string())
                .map_err(ureq::Error::from)
                .and_then(|r| self.agent.run(r)),
            None => request
                .body(())
                .map_err(ureq::Error::from)
                .and_then(|r| self.agent.run(r)),
        };
        let mut retry_after_s = None;
        let (status, body) = match result {
            Ok(mut response) => {
                let header = response.headers().get("retry-after");
                retry_after_s = header
                    .and_then(|v| v.to_str().ok())
                    .and_then(|v| v.parse().ok());
                let text = response.body_mut().read_to_string();
                let body = serde_json::from_str(&text.unwrap_or_default());
                (response.status().as_u16(), body.unwrap_or_default())
            }
            Err(e) => (0, Value::String(e.to_string())),
        };
        Answer {
            status,
            body,
            retry_after_s,
            latency: start.elapsed(),
        }
    }

    /// Submits a job.
    #[must_use]
    pub fn submit(&self, entry: SocketAddr, id: u64, job: &Value) -> Answer {
        let path = format!("/q/{id:016x}");
        self.call("POST", entry, &path, Some(job))
    }

    /// Returns a job's state, or the HTTP status as text if the answer
    /// contains no state.
    #[must_use]
    pub fn state(&self, entry: SocketAddr, id: u64) -> String {
        let path = format!("/q/{id:016x}");
        let answer = self.call("GET", entry, &path, None);
        let state = answer.body["state"].as_str();
        state.map_or_else(|| answer.status.to_string(), str::to_owned)
    }

    /// Cancels a job.
    #[must_use]
    pub fn cancel(&self, entry: SocketAddr, id: u64) -> Answer {
        self.call("DELETE", entry, &format!("/q/{id:016x}"), None)
    }
}

/// Returns a job of one step with `count` tasks, each of which takes `gpu`
/// accelerators and runs for `ms` milliseconds. With `gang`, the tasks form a
/// gang.
#[must_use]
pub fn job(count: u32, gpu: u64, ms: u64, gang: bool) -> Value {
    let members = if gang { count } else { 0 };
    json!({
        "spec": format!("ms={ms} cpu=1000 mem=1000 gpu={gpu} gang={members}"),
        "steps": [{
            "count": count,
            "cpu": 1000,
            "mem_mb": 1000,
            "gpu": gpu,
            "estimate_ms": ms,
            "gang": gang,
        }],
    })
}
