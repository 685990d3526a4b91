//! Which workers fail all that they start, and which jobs fail everywhere.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use figrill_state::job::JobId;

/// Jobs that must fail on a worker in a row before it is suspected.
const QUARANTINE_THRESHOLD: usize = 3;

/// First time between two tries of a quarantined worker.
const INITIAL_PROBE_BACKOFF: Duration = Duration::from_secs(30);

/// Longest time between two tries.
const MAX_PROBE_BACKOFF: Duration = Duration::from_mins(10);

/// One of this many workers may be quarantined at once: a failure of
/// everything is not the workers' fault, and must not leave none.
const QUARANTINE_DIVISOR: usize = 5;

#[derive(Debug, Default)]
struct WorkerRecord {
    failed_jobs: BTreeSet<JobId>,
    quarantined: Option<Quarantine>,
}

#[derive(Clone, Copy, Debug)]
struct Quarantine {
    probe_at: Duration,
    backoff: Duration,
}

/// What a result changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthChange {
    /// Nothing.
    None,
    /// The worker gets no more work for now.
    Quarantined,
    /// The worker is in use again.
    Restored,
}

/// The results of each worker.
#[derive(Debug, Default)]
pub struct Health {
    records: BTreeMap<String, WorkerRecord>,
}

impl Health {
    /// Takes note that a part of `job` failed on a worker, one of `workers`.
    pub fn record_failure(
        &mut self,
        now: Duration,
        worker: &str,
        job: JobId,
        workers: usize,
    ) -> HealthChange {
        let quarantined = self
            .records
            .values()
            .filter(|r| r.quarantined.is_some())
            .count();
        let peers_fail = self.peers_fail(worker);
        let record = self.records.entry(worker.to_owned()).or_default();
        record.failed_jobs.insert(job);
        if let Some(quarantine) = &mut record.quarantined {
            let backoff = (quarantine.backoff * 2).min(MAX_PROBE_BACKOFF);
            *quarantine = Quarantine {
                probe_at: now + backoff,
                backoff,
            };
            return HealthChange::Quarantined;
        }
        let below_limit =
            quarantined < (workers / QUARANTINE_DIVISOR).max(1) && workers > 1;
        if record.failed_jobs.len() < QUARANTINE_THRESHOLD
            || peers_fail
            || !below_limit
        {
            return HealthChange::None;
        }
        record.quarantined = Some(Quarantine {
            probe_at: now + INITIAL_PROBE_BACKOFF,
            backoff: INITIAL_PROBE_BACKOFF,
        });
        HealthChange::Quarantined
    }

    /// Whether at least half of the other workers fail as much.
    fn peers_fail(&self, worker: &str) -> bool {
        let others = self.records.iter().filter(|(n, _)| *n != worker);
        let failing = others
            .clone()
            .filter(|(_, r)| r.failed_jobs.len() >= QUARANTINE_THRESHOLD - 1)
            .count();
        let other_count = others.count();
        other_count > 0 && failing * 2 >= other_count
    }

    /// Takes note that a part ended well on a worker.
    pub fn record_success(&mut self, worker: &str) -> HealthChange {
        let record = self.records.entry(worker.to_owned()).or_default();
        record.failed_jobs.clear();
        if record.quarantined.take().is_some() {
            return HealthChange::Restored;
        }
        HealthChange::None
    }

    /// Whether a worker may be given work now; a quarantined one may be
    /// given one job once its time has come.
    #[must_use]
    pub fn admits(&self, now: Duration, worker: &str) -> bool {
        let record = self.records.get(worker);
        let quarantine = record.and_then(|r| r.quarantined);
        quarantine.is_none_or(|q| now >= q.probe_at)
    }

    /// Whether a worker is quarantined.
    #[must_use]
    pub fn is_quarantined(&self, worker: &str) -> bool {
        let record = self.records.get(worker);
        record.is_some_and(|r| r.quarantined.is_some())
    }

    /// Takes note that a quarantined worker was given a job to try; returns
    /// whether it was quarantined.
    pub fn record_probe(&mut self, now: Duration, worker: &str) -> bool {
        if let Some(record) = self.records.get_mut(worker)
            && let Some(quarantine) = &mut record.quarantined
        {
            quarantine.probe_at = now + quarantine.backoff;
            return true;
        }
        false
    }

    /// Forgets a worker, as when its agent was started anew.
    pub fn remove(&mut self, worker: &str) {
        self.records.remove(worker);
    }
}
