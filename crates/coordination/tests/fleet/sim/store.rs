//! The store: the jobs and the progress that it keeps, and the coordinators
//! that load them.

use std::collections::BTreeMap;
use std::time::Duration;

use figrill_coordination::scheduler::Scheduler;
use figrill_state::batch::{Batch, BatchId, BatchState, Ledger, decode, keys};
use figrill_state::catalog::{Queue, Workspace};
use figrill_state::kv::Txn;

use super::messages::{Message, is_for_coordinator};
use super::{STEP_MS, Sim, WALL_START_MS};

/// The records of all jobs at a revision of the store, each with the one at
/// which it was written.
pub struct JobListing {
    jobs: Vec<(Batch, u64)>,
    revision: u64,
}

impl Sim {
    /// Replaces the coordinator by one that loads its state from the store.
    /// Messages that the earlier one sent to agents stay in flight; messages
    /// to it are lost.
    pub fn take_over(&mut self) {
        self.revision += 1;
        self.token = self.revision;
        self.commit = None;
        self.in_flight
            .retain(|(_, _, message)| !is_for_coordinator(message));
        self.scheduler = Scheduler::new(self.token, self.now(), self.limits)
            .with_features(self.features);
        self.drains.next_read_ms = self.now_ms;
        self.scheduler.set_workspaces(workspaces());
        if self.queues.0 > 0 {
            self.scheduler.set_queues(self.queues.0, &self.queues.1);
        }
        for (batch, revision) in self.batches.values() {
            match self.progress.get(&batch.id) {
                Some(p) => {
                    self.scheduler.load_job(
                        self.now(),
                        batch.clone(),
                        p.clone(),
                    );
                }
                None => self.scheduler.update_job(
                    self.now(),
                    batch.clone(),
                    Some(*revision),
                ),
            }
        }
        let names: Vec<String> = self.agents.keys().cloned().collect();
        for name in names {
            self.scheduler.agent_connected(&name);
        }
    }

    /// Adopts another version of the queues, the only one of which is named `q`
    /// and belongs to `service`; `None` if there is none.
    pub fn set_queue(&mut self, version: u64, service: Option<&str>) {
        let queue = |service: &str| Queue {
            name: "q".to_owned(),
            host: String::new(),
            prefix: String::new(),
            service: service.to_owned(),
            priority: 1,
            attempts: 2,
            stretch: 3.0,
            target: Duration::from_secs(1),
            public: false,
            has_placement_advice: false,
        };
        self.queues = (version, service.map(queue).into_iter().collect());
        self.scheduler.set_queues(version, &self.queues.1);
    }

    pub fn submit(&mut self, batch: Batch) {
        let batch = Batch {
            accepted_ms: WALL_START_MS + self.now_ms,
            ..batch
        };
        self.write_job(batch);
    }

    pub fn cancel(&mut self, id: BatchId) {
        if let Some((batch, _)) = self.batches.get(&id) {
            let batch = batch.clone();
            self.write_job(Batch {
                cancelled: true,
                ..batch
            });
        }
    }

    /// Writes the record of a job, and reports it to the scheduler.
    fn write_job(&mut self, batch: Batch) {
        self.revision += 1;
        let record = (batch.clone(), self.revision);
        self.batches.insert(batch.id, record);
        self.scheduler
            .update_job(self.now(), batch, Some(self.revision));
    }

    /// Reads all records of jobs, as the coordinator does after a failed watch.
    pub fn read_jobs(&self) -> JobListing {
        JobListing {
            jobs: self.batches.values().cloned().collect(),
            revision: self.revision,
        }
    }

    /// Hands over a reading of all jobs to the scheduler.
    pub fn deliver_jobs(&mut self, listing: JobListing) {
        let now = self.now();
        for (batch, revision) in listing.jobs {
            self.scheduler.update_job(now, batch, Some(revision));
        }
        self.scheduler.records_read(listing.revision);
        self.send_actions();
    }

    /// Returns the committed state of a job, which is what callers see.
    pub fn state(&self, id: BatchId) -> BatchState {
        self.progress
            .get(&id)
            .map_or(BatchState::Queued, |p| p.state)
    }

    /// Returns when a job ended by its committed progress, in milliseconds;
    /// `None` if it has not succeeded.
    pub fn done_ms(&self, id: BatchId) -> Option<u64> {
        let progress = self.progress.get(&id)?;
        let is_done = progress.state == BatchState::Done;
        is_done.then(|| progress.ended_ms - WALL_START_MS)
    }

    /// Returns whether the store has a record of a job's progress.
    pub fn has_record(&self, id: BatchId) -> bool {
        self.progress.contains_key(&id)
    }

    /// Returns the committed number of waiting jobs of the only queue, which is
    /// what callers see.
    pub fn queued_jobs(&self) -> u64 {
        self.queued_jobs.values().sum()
    }

    /// Returns whether all jobs have ended.
    pub fn all_ended(&self) -> bool {
        self.batches.keys().all(|id| self.state(*id).is_final())
    }

    /// Writes the scheduler's next commit if the store is up. Otherwise the
    /// commit is kept until it is.
    pub(super) fn write_commit(&mut self) {
        if self.commit.is_none() {
            self.commit = self.scheduler.take_commit(self.now());
        }
        if !self.store_up {
            return;
        }
        if let Some(commit) = self.commit.take() {
            let number = commit.number;
            let message = match self.apply(&commit.transaction(0)) {
                Ok(()) => Message::Committed(number, self.revision),
                Err(why) => Message::CommitRejected(number, why),
            };
            self.send(STEP_MS, message);
        }
    }

    /// Applies a transaction, or rejects it like the platform's store: beyond
    /// 32 entries or 1 MiB of a value. A test may set lower limits.
    fn apply(&mut self, txn: &Txn) -> Result<(), String> {
        let entries =
            txn.conditions.len() + txn.puts.len() + txn.removes.len();
        let longest = txn.puts.iter().map(|(_, value, _)| value.len()).max();
        if entries > self.max_entries {
            return Err(format!("{entries} entries"));
        }
        if longest.is_some_and(|bytes| bytes > self.max_value_bytes) {
            return Err(format!("a value of {longest:?} bytes"));
        }
        self.revision += 1;
        for (key, value, _) in &txn.puts {
            if let Some(id) = key.strip_prefix(keys::PROGRESS) {
                let id = BatchId::parse(id).expect("a job id");
                let progress = decode(value).expect("a record");
                self.progress.insert(id, progress);
            } else if key == keys::LEDGER {
                let ledger: Ledger = decode(value).expect("a ledger");
                self.queued_jobs = ledger.waiting;
            }
        }
        for key in &txn.removes {
            if let Some(id) = key.strip_prefix(keys::PROGRESS) {
                let id = BatchId::parse(id).expect("a job id");
                self.progress.remove(&id);
                self.batches.remove(&id);
            }
        }
        Ok(())
    }
}

/// Returns the workspaces `a` and `b` with a guarantee of 16 accelerators
/// each.
fn workspaces() -> BTreeMap<String, Workspace> {
    let workspace = || Workspace { guaranteed: 16 };
    BTreeMap::from([
        ("a".to_owned(), workspace()),
        ("b".to_owned(), workspace()),
    ])
}
