//! A caller on the users' platform.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

/// How long a caller waits for an answer.
const PATIENCE: Duration = Duration::from_secs(3);

/// An answer; status 0 is none.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// Its body.
    pub body: Value,
    /// How long it took.
    pub took: Duration,
}

/// A caller with a key.
#[derive(Clone)]
pub struct Client {
    agent: ureq::Agent,
    key: String,
}

impl Client {
    /// A caller.
    #[must_use]
    pub fn new(key: &str) -> Self {
        let agent = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(PATIENCE + Duration::from_secs(1)))
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
        let begun = Instant::now();
        let request = ureq::http::Request::builder()
            .method(method)
            .uri(format!("http://{entry}{path}"))
            .header("host", "jobs.example")
            .header("x-key", &self.key)
            .header("x-deadline-ms", PATIENCE.as_millis().to_string());
        let sent = match body {
            Some(body) => request
                .body(body.to_string())
                .map_err(ureq::Error::from)
                .and_then(|r| self.agent.run(r)),
            None => request
                .body(())
                .map_err(ureq::Error::from)
                .and_then(|r| self.agent.run(r)),
        };
        let (status, body) = match sent {
            Ok(mut response) => {
                let text = response.body_mut().read_to_string();
                let body = serde_json::from_str(&text.unwrap_or_default());
                (response.status().as_u16(), body.unwrap_or_default())
            }
            Err(_) => (0, Value::Null),
        };
        Answer {
            status,
            body,
            took: begun.elapsed(),
        }
    }

    /// Submits a job.
    #[must_use]
    pub fn submit(&self, entry: SocketAddr, id: u64, job: &Value) -> Answer {
        let path = format!("/q/{id:016x}");
        self.call("POST", entry, &path, Some(job))
    }

    /// Asks for a job's state; the status if there is none.
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

/// A job of one step: `count` tasks with `gpu` accelerators that work `ms`.
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
