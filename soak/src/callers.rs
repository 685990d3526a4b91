//! Callers that submit, ask and cancel, and remember what they were told.

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

/// Callers of a site.
pub const CALLERS: u64 = 6;

/// The most tries of one request.
const TRIES: usize = 5;

/// What may be told of a job, or was done to it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Word {
    /// It was accepted.
    Accepted,
    /// Some try had no answer, or one that leaves it open.
    Open,
    /// It was refused at least once.
    Refused,
    /// A cancel was sent.
    CancelSent,
}

/// What a caller knows of a job.
#[derive(Clone, Debug, Default)]
pub struct Told {
    /// What it was told.
    pub words: BTreeSet<Word>,
    /// Its state, once that is final.
    pub ended: Option<String>,
}

impl Told {
    /// Whether a word was told.
    #[must_use]
    pub fn has(&self, word: Word) -> bool {
        self.words.contains(&word)
    }
}

/// What all callers were told, and what of it breaks a promise.
#[derive(Debug, Default)]
pub struct Records {
    /// By the job's id.
    pub jobs: BTreeMap<u64, Told>,
    /// Promises that were broken, as callers saw it.
    pub broken: Vec<String>,
}

impl Records {
    /// Takes note of a state, or of a status where there is none.
    pub fn see(&mut self, id: u64, state: &str) {
        let Some(told) = self.jobs.get_mut(&id) else {
            return;
        };
        if state == "410" && told.has(Word::Accepted) {
            self.broken.push(format!("{id:x}: accepted, then 410"));
        }
        if state == "canceled" && !told.has(Word::CancelSent) {
            self.broken.push(format!("{id:x}: cancelled by nobody"));
        }
        let is_final = ["done", "failed", "canceled"].contains(&state);
        let is_state = is_final || ["queued", "running"].contains(&state);
        if let Some(ended) = &told.ended
            && is_state
            && ended != state
        {
            self.broken.push(format!("{id:x}: {ended}, then {state}"));
        }
        if is_final {
            told.ended = Some(state.to_owned());
        }
    }
}

/// What callers share.
pub struct Desk {
    /// Addresses of the entries.
    pub entries: Vec<SocketAddr>,
    /// Told to end.
    pub over: AtomicBool,
    records: Mutex<Records>,
}

impl Desk {
    /// Nobody has called yet.
    #[must_use]
    pub fn new(entries: Vec<SocketAddr>) -> Self {
        Self {
            entries,
            over: AtomicBool::new(false),
            records: Mutex::default(),
        }
    }

    /// What was told so far.
    pub fn records(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls until told to end. Connections stay open between calls.
    pub fn call(&self, client: &Client, seed: u64, number: u64) {
        let mut rng = StdRng::seed_from_u64(seed ^ (number << 32));
        let mut count = 0;
        while !self.over.load(Ordering::Relaxed) {
            let id = ((number + 1) << 32) | count;
            count += 1;
            self.one(client, &mut rng, id);
            thread::sleep(Duration::from_millis(rng.random_range(150..900)));
        }
    }

    fn entry(&self, rng: &mut StdRng) -> SocketAddr {
        self.entries[rng.random_range(0..self.entries.len())]
    }

    fn one(&self, client: &Client, rng: &mut StdRng, id: u64) {
        let work = job(
            rng.random_range(1..4),
            [1, 1, 2, 4, 8][rng.random_range(0..5)],
            rng.random_range(30..1200),
            rng.random_bool(0.4),
        );
        let queue = ["q", "q", "u"][rng.random_range(0..3)];
        let path = format!("/{queue}/{id:016x}");
        self.records().jobs.insert(id, Told::default());
        for _ in 0..TRIES {
            let entry = self.entry(rng);
            let answer = client.call("POST", entry, &path, Some(&work));
            let mut records = self.records();
            let told = records.jobs.entry(id).or_default();
            told.words.insert(match answer.status {
                200 => Word::Accepted,
                429 | 503 => Word::Refused,
                _ => Word::Open,
            });
            if told.has(Word::Accepted) {
                break;
            }
            drop(records);
            thread::sleep(Duration::from_millis(rng.random_range(50..500)));
        }
        if rng.random_bool(0.15) {
            let mut records = self.records();
            let told = records.jobs.entry(id).or_default();
            told.words.insert(Word::CancelSent);
            drop(records);
            let _ = client.cancel(self.entry(rng), id);
        }
        // What was told before the question was asked must hold.
        let accepted = self.records().jobs[&id].has(Word::Accepted);
        let state = client.state(self.entry(rng), id);
        if accepted {
            self.records().see(id, &state);
        }
    }
}
