//! Callers that submit, query and cancel jobs, and record the answers.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use figrill_standin::platform::client::{Client, job};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// The number of concurrent callers of a site.
pub const CALLERS: u64 = 6;

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
}

impl Records {
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
            let record = records.jobs.entry(id).or_default();
            record.observations.insert(match answer.status {
                200 => Observation::Accepted,
                429 | 503 => Observation::Refused,
                _ => Observation::Indeterminate,
            });
            if record.has(Observation::Accepted) {
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
