//! A caller of entries, for tests and benches.

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use ureq::{Agent, Body, http::Response};

/// How long a call may take.
const TIMEOUT: Duration = Duration::from_secs(100);

/// How long a job is followed.
const FOLLOW: Duration = Duration::from_secs(90);

/// An answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Its status; 0 if there was no answer.
    pub status: u16,
    /// Its body.
    pub text: String,
    /// Its body as JSON; null if it is none.
    pub body: Value,
}

impl Answer {
    /// The outcome that it tells, or nothing.
    #[must_use]
    pub fn outcome(&self) -> &str {
        self.body["outcome"].as_str().unwrap_or_default()
    }

    /// The job that it is about, or nothing.
    #[must_use]
    pub fn job(&self) -> &str {
        self.body["job"].as_str().unwrap_or_default()
    }
}

/// A caller with a token; clones share its connections.
#[derive(Clone)]
pub struct Caller {
    agent: Agent,
    token: String,
}

impl Caller {
    /// A caller.
    #[must_use]
    pub fn new(token: &str) -> Self {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(TIMEOUT))
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

    /// Makes a request.
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

    /// Gets a path of the process at `http`.
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

    /// Submits a job and follows it to its outcome by polls of any of the
    /// entries in turn.
    #[must_use]
    pub fn run(&self, entries: &[String], job: &Value) -> Answer {
        let answer = self.submit(&entries[0], job);
        self.follow(entries, answer)
    }

    /// Polls for as long as the job goes on.
    #[must_use]
    pub fn follow(&self, entries: &[String], mut answer: Answer) -> Answer {
        let job = answer.job().to_owned();
        let mut turn = 0;
        let start = Instant::now();
        while answer.status == 202 && start.elapsed() < FOLLOW {
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

/// A job of `parts` parts that each take `ms` and give `payload` back.
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
