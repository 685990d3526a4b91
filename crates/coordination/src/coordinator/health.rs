//! Health records, which distinguish workers on which every job fails from
//! jobs that fail on every worker.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use figrill_state::job::JobId;

/// The number of different jobs that must fail on a worker, with no success in
/// between, before the worker is quarantined.
const QUARANTINE_THRESHOLD: usize = 3;

/// The time until a quarantined worker is first probed with a job.
const INITIAL_PROBE_BACKOFF: Duration = Duration::from_secs(30);

/// The maximum time between two probes of a quarantined worker.
const MAX_PROBE_BACKOFF: Duration = Duration::from_mins(10);

/// At most one in this many workers may be quarantined at once. When
/// everything fails, the workers are not the cause, and some must stay in use.
const QUARANTINE_DIVISOR: usize = 5;

#[derive(Debug, Default)]
struct WorkerRecord {
    /// The jobs that have failed since the last success.
    failed: BTreeSet<JobId>,
    quarantined: Option<Quarantine>,
}

#[derive(Clone, Copy, Debug)]
struct Quarantine {
    /// When the worker may be probed with a job.
    probe_at: Duration,
    /// The time between two probes; doubled after each that fails.
    backoff: Duration,
}

/// How a result changed the state of a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthChange {
    /// The state did not change.
    None,
    /// The worker is quarantined, or stays so because a probe has failed. It
    /// gets no work until its backoff has elapsed.
    Quarantined,
    /// The worker is back in use.
    Restored,
}

/// The health records of all workers.
#[derive(Debug, Default)]
pub struct Health {
    records: BTreeMap<String, WorkerRecord>,
}

impl Health {
    /// Records that a part of `job` failed on a worker, which may quarantine
    /// the worker. `workers` is the number of connected workers.
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
        let others_fail = self.others_fail(worker);
        let record = self.records.entry(worker.to_owned()).or_default();
        record.failed.insert(job);
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
        if record.failed.len() < QUARANTINE_THRESHOLD
            || others_fail
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

    /// Returns whether at least half of the other workers with a record have
    /// nearly as many failed jobs as it takes to quarantine one. If so, the
    /// fault is not this worker's.
    fn others_fail(&self, worker: &str) -> bool {
        let others = self.records.iter().filter(|(n, _)| *n != worker);
        let failing = others
            .clone()
            .filter(|(_, r)| r.failed.len() >= QUARANTINE_THRESHOLD - 1)
            .count();
        let other_count = others.count();
        other_count > 0 && failing * 2 >= other_count
    }

    /// Records that a part succeeded on a worker, which ends its quarantine.
    pub fn record_success(&mut self, worker: &str) -> HealthChange {
        let record = self.records.entry(worker.to_owned()).or_default();
        record.failed.clear();
        if record.quarantined.take().is_some() {
            return HealthChange::Restored;
        }
        HealthChange::None
    }

    /// Returns whether a worker may be given work now. A quarantined worker
    /// may be given one job once its backoff has elapsed.
    #[must_use]
    pub fn admits(&self, now: Duration, worker: &str) -> bool {
        let record = self.records.get(worker);
        let quarantine = record.and_then(|r| r.quarantined);
        quarantine.is_none_or(|q| now >= q.probe_at)
    }

    /// Returns whether a worker is quarantined.
    #[must_use]
    pub fn is_quarantined(&self, worker: &str) -> bool {
        let record = self.records.get(worker);
        record.is_some_and(|r| r.quarantined.is_some())
    }

    /// Records that a worker was given a job and, if it is quarantined,
    /// restarts its backoff. Returns whether it is quarantined.
    pub fn record_probe(&mut self, now: Duration, worker: &str) -> bool {
        if let Some(record) = self.records.get_mut(worker)
            && let Some(quarantine) = &mut record.quarantined
        {
            quarantine.probe_at = now + quarantine.backoff;
            return true;
        }
        false
    }

    /// Removes a worker's record, for example because its agent was restarted.
    pub fn remove(&mut self, worker: &str) {
        self.records.remove(worker);
    }
}
