//! An HTTP client of entries for tests and benchmarks.

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use ureq::{Agent, Body, http::Response};

/// The maximum time that a call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(100);

/// The maximum time that [`Caller::follow`] polls for a job's outcome.
const FOLLOW_TIMEOUT: Duration = Duration::from_secs(90);

/// The answer to a call.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The HTTP status; 0 if the call failed without an answer.
    pub status: u16,
    /// The body as text, or the error if there was no answer.
    pub text: String,
    /// The body as JSON; null if it is not JSON.
    pub body: Value,
}

impl Answer {
    /// Returns the `outcome` of the answer, or an empty string.
    #[must_use]
    pub fn outcome(&self) -> &str {
        self.body["outcome"].as_str().unwrap_or_default()
    }

    /// Returns the ID of the job, or an empty string.
    #[must_use]
    pub fn job(&self) -> &str {
        self.body["job"].as_str().unwrap_or_default()
    }
}

/// A caller that authenticates with a token. Clones share its connections.
#[derive(Clone)]
pub struct Caller {
    agent: Agent,
    token: String,
}

impl Caller {
    /// Creates a caller with the token `token`.
    #[must_use]
    pub fn new(token: &str) -> Self {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(CALL_TIMEOUT))
            .max_redirects(0)
            .max_redirects_will_error(false)
            .max_idle_connections_per_host(64)
            .max_idle_age(Duration::from_secs(3))
            .no_delay(true)
            .proxy(None)
            .build()
            .new_agent();
        Self {
            agent,
            token: token.to_owned(),
        }
    }

    /// Sends a request. `body` is sent only with `POST` and `PUT`.
    #[must_use]
    pub fn call(&self, method: &str, url: &str, body: &str) -> Answer {
        let request = ureq::http::Request::builder()
            .method(method)
            .uri(url)
            .header("authorization", format!("Bearer {}", self.token));
        let result = if matches!(method, "POST" | "PUT") {
            request
                .body(body.to_owned())
                .map_err(ureq::Error::from)
                .and_then(|request| self.agent.run(request))
        } else {
            request
                .body(())
                .map_err(ureq::Error::from)
                .and_then(|request| self.agent.run(request))
        };
        result.and_then(read).unwrap_or_else(|e| Answer {
            status: 0,
            text: e.to_string(),
            body: Value::Null,
        })
    }

    /// Sends a `GET` request for `path` to the process at `http`.
    #[must_use]
    pub fn get(&self, http: &str, path: &str) -> Answer {
        self.call("GET", &format!("http://{http}{path}"), "")
    }

    /// Submits a job to the entry at `http`.
    #[must_use]
    pub fn submit(&self, http: &str, job: &Value) -> Answer {
        let url = format!("http://{http}/v1/jobs");
        self.call("POST", &url, &job.to_string())
    }

    /// Submits a job to the first of `entries` and polls all of them in turn
    /// until the job has ended.
    #[must_use]
    pub fn run(&self, entries: &[String], job: &Value) -> Answer {
        let answer = self.submit(&entries[0], job);
        self.follow(entries, answer)
    }

    /// Polls `entries` in turn until the job of `answer` has ended or the time
    /// limit is reached. Returns the last answer.
    #[must_use]
    pub fn follow(&self, entries: &[String], mut answer: Answer) -> Answer {
        let job = answer.job().to_owned();
        let mut turn = 0;
        let start = Instant::now();
        while answer.status == 202 && start.elapsed() < FOLLOW_TIMEOUT {
            let http = &entries[turn % entries.len()];
            turn += 1;
            let path = format!("/v1/jobs/{job}?wait_s=5");
            let next = self.get(http, &path);
            if next.status != 0 && next.status != 503 {
                answer = next;
            } else {
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        answer
    }
}

fn read(mut response: Response<Body>) -> Result<Answer, ureq::Error> {
    let status = response.status().as_u16();
    let body = response.body_mut().with_config().limit(64 * 1024 * 1024);
    let text = body.read_to_string()?;
    let body = serde_json::from_str(&text).unwrap_or(Value::Null);
    Ok(Answer { status, text, body })
}

/// Returns a job with `parts` parts, each of which runs for `ms` milliseconds
/// and returns `payload` and its rank.
#[must_use]
pub fn echo_job(workspace: &str, parts: u32, ms: u64, payload: &str) -> Value {
    let inputs: Vec<Value> = (0..parts)
        .map(|rank| {
            json!({ "sleep_ms": ms, "echo": { "p": payload, "rank": rank } })
        })
        .collect();
    json!({
        "workspace": workspace,
        "service": "echo",
        "shape": { "parts": parts, "accelerators": 1 },
        "inputs": inputs,
    })
}
