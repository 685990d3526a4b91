//! Callers that submit, query and cancel jobs, and record the answers.

use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    net::SocketAddr,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use figrill_standin::platform::client::{Client, job};
use figrill_standin::platform::site::API_KEY;
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::Value;

use crate::http::{Connection, Request};

/// The number of concurrent callers of a site.
pub const CALLERS: u64 = 6;

/// The numbers of the callers that submit long tasks.
pub const LONG_CALLERS: std::ops::Range<u64> = 1000..1002;

/// The time that a caller that keeps its connection waits for an answer. It
/// announces less.
const PERSISTENT_TIMEOUT: Duration = Duration::from_secs(4);

/// The wait before a caller connects again.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// The maximum number of attempts to submit a job.
const MAX_ATTEMPTS: usize = 5;

/// An answer about a job, or a request that was sent for it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Observation {
    /// The job was accepted.
    Accepted,
    /// An attempt got no answer, or one that does not show whether the job was
    /// accepted.
    Indeterminate,
    /// An attempt was refused.
    Refused,
    /// A cancel request was sent.
    CancelSent,
}

/// What a caller knows about a job.
#[derive(Clone, Debug, Default)]
pub struct JobRecord {
    /// The answers received and requests sent so far.
    pub observations: BTreeSet<Observation>,
    /// The state of the job, once it is final.
    pub final_state: Option<String>,
}

impl JobRecord {
    /// Returns whether `observation` was made.
    #[must_use]
    pub fn has(&self, observation: Observation) -> bool {
        self.observations.contains(&observation)
    }
}

/// What all callers have observed.
#[derive(Debug, Default)]
pub struct Records {
    /// The records by job ID.
    pub jobs: BTreeMap<u64, JobRecord>,
    /// The broken promises that callers have observed.
    pub violations: Vec<String>,
    /// The number of calls on kept connections that were not answered.
    pub cut_calls: usize,
}

impl Records {
    /// Records the HTTP status of the answer to a submission; 0 if there was
    /// no answer.
    pub fn observe_answer(&mut self, id: u64, status: u16) {
        let record = self.jobs.entry(id).or_default();
        record.observations.insert(match status {
            200 => Observation::Accepted,
            429 | 503 => Observation::Refused,
            _ => Observation::Indeterminate,
        });
    }

    /// Records the state of a job, or the HTTP status of an answer without a
    /// state, and checks it against earlier observations.
    pub fn observe_state(&mut self, id: u64, state: &str) {
        let Some(record) = self.jobs.get_mut(&id) else {
            return;
        };
        if state == "410" && record.has(Observation::Accepted) {
            self.violations.push(format!(
                "job {id:x} was accepted, then answered by 410"
            ));
        }
        if state == "canceled" && !record.has(Observation::CancelSent) {
            self.violations.push(format!(
                "job {id:x} is canceled, but no cancel was sent"
            ));
        }
        let is_final = ["done", "failed", "canceled"].contains(&state);
        let is_state = is_final || ["queued", "running"].contains(&state);
        if let Some(final_state) = &record.final_state
            && is_state
            && final_state != state
        {
            self.violations
                .push(format!("job {id:x} was {final_state}, then {state}"));
        }
        if is_final {
            record.final_state = Some(state.to_owned());
        }
    }
}

/// The state that the callers share.
pub struct CallerState {
    /// The addresses of the entries.
    pub entries: Vec<SocketAddr>,
    /// Set when the callers have to stop.
    pub stopped: AtomicBool,
    records: Mutex<Records>,
}

impl CallerState {
    /// Creates the state, without any observations.
    #[must_use]
    pub fn new(entries: Vec<SocketAddr>) -> Self {
        Self {
            entries,
            stopped: AtomicBool::new(false),
            records: Mutex::default(),
        }
    }

    /// Locks the observations so far.
    pub fn records(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs the caller with the given number until it has to stop. Connections
    /// stay open between calls.
    pub fn run_caller(&self, client: &Client, seed: u64, number: u64) {
        let mut rng = StdRng::seed_from_u64(seed ^ (number << 32));
        let mut count = 0;
        while !self.stopped.load(Ordering::Relaxed) {
            let id = ((number + 1) << 32) | count;
            count += 1;
            self.run_job(client, &mut rng, id);
            thread::sleep(Duration::from_millis(rng.random_range(150..900)));
        }
    }

    /// Runs the caller with the given number, which submits many jobs, two of
    /// five of them with long tasks, until it has to stop. They take no
    /// accelerators, so that they leave enough capacity to other jobs.
    pub fn run_long_caller(&self, client: &Client, seed: u64, number: u64) {
        let mut rng = StdRng::seed_from_u64(seed ^ (number << 32));
        for id in (number + 1) << 32.. {
            if self.stopped.load(Ordering::Relaxed) {
                return;
            }
            let count = rng.random_range(1..3);
            let ms = if rng.random_bool(0.4) {
                rng.random_range(3000..9000)
            } else {
                rng.random_range(200..1500)
            };
            let body = job(count, 0, ms, false);
            self.records().jobs.insert(id, JobRecord::default());
            let answer = client.submit(self.random_entry(&mut rng), id, &body);
            self.records().observe_answer(id, answer.status);
            thread::sleep(Duration::from_millis(rng.random_range(100..300)));
        }
    }

    /// Runs a caller that calls one entry only, on one connection for as long
    /// as the entry's process keeps it open, also while the entry drains.
    pub fn run_persistent_caller(
        &self,
        entry: SocketAddr,
        seed: u64,
        number: u64,
    ) {
        let mut rng = StdRng::seed_from_u64(seed ^ (number << 32));
        let mut open = None;
        let mut ids = (number + 1) << 32..;
        while !self.stopped.load(Ordering::Relaxed) {
            let Some(conn) = &mut open else {
                thread::sleep(RECONNECT_DELAY);
                open = Connection::open(entry, PERSISTENT_TIMEOUT).ok();
                continue;
            };
            let id = ids.next().unwrap_or_default();
            let body = job(1, 1, rng.random_range(30..300), false);
            if self.submit_and_query(conn, id, &body).is_err() {
                self.records().cut_calls += 1;
                open = None;
            }
            thread::sleep(Duration::from_millis(rng.random_range(50..400)));
        }
    }

    /// Submits a job and queries it on the same connection.
    fn submit_and_query(
        &self,
        conn: &mut Connection,
        id: u64,
        body: &Value,
    ) -> io::Result<()> {
        let path = format!("/q/{id:016x}");
        let headers = format!("x-key: {API_KEY}\r\nx-deadline-ms: 3000\r\n");
        let text = body.to_string();
        let mut request = Request {
            method: "POST",
            path: &path,
            headers: &headers,
            body: text.as_bytes(),
        };
        self.records().jobs.insert(id, JobRecord::default());
        let answer = conn.call(request);
        let status = answer.as_ref().map_or(0, |(status, _)| *status);
        self.records().observe_answer(id, status);
        answer?;
        request.method = "GET";
        request.body = &[];
        let (query_status, text) = conn.call(request)?;
        let answer: Value = serde_json::from_slice(&text).unwrap_or_default();
        let state = answer["state"].as_str().map(str::to_owned);
        if status == 200 {
            let state = state.unwrap_or_else(|| query_status.to_string());
            self.records().observe_state(id, &state);
        }
        Ok(())
    }

    fn random_entry(&self, rng: &mut StdRng) -> SocketAddr {
        self.entries[rng.random_range(0..self.entries.len())]
    }

    fn run_job(&self, client: &Client, rng: &mut StdRng, id: u64) {
        let body = job(
            rng.random_range(1..4),
            [1, 1, 2, 4, 8][rng.random_range(0..5)],
            rng.random_range(30..1200),
            rng.random_bool(0.4),
        );
        let queue = ["q", "q", "u"][rng.random_range(0..3)];
        let path = format!("/{queue}/{id:016x}");
        self.records().jobs.insert(id, JobRecord::default());
        for _ in 0..MAX_ATTEMPTS {
            let entry = self.random_entry(rng);
            let answer = client.call("POST", entry, &path, Some(&body));
            let mut records = self.records();
            records.observe_answer(id, answer.status);
            if records.jobs[&id].has(Observation::Accepted) {
                break;
            }
            drop(records);
            thread::sleep(Duration::from_millis(rng.random_range(50..500)));
        }
        if rng.random_bool(0.15) {
            let mut records = self.records();
            let record = records.jobs.entry(id).or_default();
            record.observations.insert(Observation::CancelSent);
            drop(records);
            let _ = client.cancel(self.random_entry(rng), id);
        }
        // Read before the query: only a job that was accepted before the query
        // has to be known to the entry that answers it.
        let accepted = self.records().jobs[&id].has(Observation::Accepted);
        let state = client.state(self.random_entry(rng), id);
        if accepted {
            self.records().observe_state(id, &state);
        }
    }
}
