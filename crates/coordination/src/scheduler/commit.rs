//! Commits of the scheduler's state to the store, one at a time.
//!
//! A start is ordered, and an end acknowledged, only after the commit that
//! contains it has succeeded. Changes that are made while a commit is in
//! flight are collected for the next one. The caller retries a commit until
//! it succeeds, the store rejects it or the coordinator's term ends.
//!
//! A rejected commit would be rejected again. Its contents are then committed
//! in parts, half as many at a time, so that all but the cause get through. A
//! job that alone makes up a rejected commit ends.

use std::collections::{BTreeMap, BTreeSet};

use figrill_state::{
    batch::{BatchId, BatchState, Ledger, TaskId, encode, keys},
    event::{Code, NewEvent},
    kv::{Txn, TxnBuilder, TxnError},
    runner::StartOrder,
};

use super::{
    Action, Now, START_WINDOW, Scheduler,
    job::Phase,
    message::{Grant, ToAgent},
};

/// The maximum number of jobs whose records one commit removes. They must not
/// delay the progress of other jobs.
const MAX_REMOVALS: usize = 3;

/// The entries of a transaction that are added to a commit: the condition on
/// the ledger and, if it is relayed, that on the record of the relaying entry.
const RESERVED_ENTRIES: usize = 2;

/// The contents of one transaction.
#[derive(Clone, Debug, PartialEq)]
pub struct Commit {
    /// The number of the commit; increases by one with each commit.
    pub number: u64,
    /// The transaction, without the condition on the ledger's revision.
    txn: Txn,
}

impl Commit {
    /// Returns the transaction. It is conditional on the revision of the
    /// ledger, which it changes, and on that of the coordinator's key, so it
    /// is applied at most once and only under this term.
    #[must_use]
    pub fn transaction(&self, ledger_revision: u64) -> Txn {
        let mut txn = self.txn.clone();
        let ledger = keys::LEDGER.to_owned();
        txn.conditions.push((ledger, ledger_revision));
        txn
    }

    /// Returns whether `value` is the ledger that this commit writes.
    #[must_use]
    pub fn wrote_ledger(&self, value: &[u8]) -> bool {
        let mut puts = self.txn.puts.iter();
        puts.any(|(key, written, _)| key == keys::LEDGER && written == value)
    }
}

/// The number of the latest commit, and the commit that is in flight, if any.
#[derive(Debug, Default)]
pub(super) struct CommitState {
    number: u64,
    /// The revision of the store at the last successful commit of this term.
    revision: u64,
    in_flight: Option<InFlight>,
    /// The maximum number of jobs in the next commit; `None` unless an earlier
    /// one was rejected.
    max_jobs: Option<usize>,
}

#[derive(Debug)]
struct InFlight {
    number: u64,
    jobs: Vec<BatchId>,
    /// Jobs whose records it removes.
    removals: Vec<BatchId>,
    /// Ends of runs that it contains: agent, `born_ms` of the upstream's
    /// incarnation, and number of the end.
    ends: Vec<(String, u64, u64)>,
}

impl InFlight {
    /// Returns the number of jobs that the commit is about.
    fn len(&self) -> usize {
        self.jobs.len() + self.removals.len()
    }
}

impl CommitState {
    /// Returns whether the commit in flight contains a job.
    pub(super) fn includes(&self, id: BatchId) -> bool {
        let jobs = self.in_flight.as_ref().map(|c| &c.jobs);
        jobs.is_some_and(|jobs| jobs.contains(&id))
    }

    /// Returns the revision of the store at the last successful commit of
    /// this term; 0 if there was none.
    pub(super) const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the number of jobs that the next commit may contain.
    fn max_jobs(&self) -> usize {
        self.max_jobs.unwrap_or(Txn::MAX_ENTRIES)
    }
}

impl Scheduler {
    /// Returns the next commit. Returns `None` while one is in flight or if
    /// nothing has changed.
    pub fn take_commit(&mut self, now: Now) -> Option<Commit> {
        let is_clean = self.dirty.is_empty()
            && !self.ended_jobs.has_due()
            && !self.queued_changed
            && !self.awaits_fence();
        if self.commit_state.in_flight.is_some() || is_clean {
            return None;
        }
        self.queued_changed = false;
        self.commit_state.number += 1;
        let number = self.commit_state.number;
        let mut txn = TxnBuilder::with_reserved(RESERVED_ENTRIES);
        if let Err(e) = self.add_ledger(&mut txn, number) {
            self.record_rejection(number, 0, &e.to_string());
        }
        let removals = self.add_removals(&mut txn);
        let jobs = self.add_progress(now, &mut txn, number, removals.len());
        let ends = self.uncommitted_ends_of(&jobs);
        self.commit_state.in_flight = Some(InFlight {
            number,
            jobs,
            removals,
            ends,
        });
        let txn = txn.build();
        Some(Commit { number, txn })
    }

    /// Adds the record that identifies the commit, and the condition that the
    /// term has not ended.
    fn add_ledger(
        &self,
        txn: &mut TxnBuilder,
        number: u64,
    ) -> Result<(), TxnError> {
        let ledger = Ledger {
            token: self.token,
            commit: number,
            waiting: self.queued_jobs(),
        };
        txn.condition(keys::COORDINATOR, self.token)?;
        txn.put(keys::LEDGER, encode(&ledger))
    }

    /// Adds removals of the records of jobs, and returns these jobs.
    fn add_removals(&mut self, txn: &mut TxnBuilder) -> Vec<BatchId> {
        let max_removals = MAX_REMOVALS.min(self.commit_state.max_jobs());
        let mut removals = Vec::new();
        while removals.len() < max_removals
            && let Some(id) = self.ended_jobs.next_due()
            && txn.remove([keys::job(id), keys::progress(id)]).is_ok()
        {
            self.ended_jobs.drop_due();
            removals.push(id);
        }
        removals
    }

    /// Adds the progress of jobs that have changed, and returns these jobs. The
    /// commit already contains `others` jobs. A job whose record is too large
    /// ends.
    fn add_progress(
        &mut self,
        now: Now,
        txn: &mut TxnBuilder,
        number: u64,
        others: usize,
    ) -> Vec<BatchId> {
        let mut jobs = Vec::new();
        while jobs.len() + others < self.commit_state.max_jobs()
            && let Some(id) = self.dirty.first().copied()
        {
            let Some(job) = self.jobs.get_mut(&id) else {
                self.dirty.remove(&id);
                continue;
            };
            let record = encode(&job.stored_progress());
            match txn.put(keys::progress(id), record) {
                Ok(()) => {}
                Err(TxnError::Full) => break,
                Err(e) => {
                    self.end_unstorable_job(now, id, &e.to_string());
                    continue;
                }
            }
            for run in job.runs.values_mut() {
                if let Phase::Committing { commit } = &mut run.phase {
                    *commit = Some(number);
                }
            }
            self.dirty.remove(&id);
            jobs.push(id);
        }
        jobs
    }

    /// Handles the success of a commit at a revision of the store: acknowledges
    /// the ends that it contains, and orders the starts.
    pub fn commit_done(&mut self, now: Now, number: u64, revision: u64) {
        let in_flight = self.commit_state.in_flight.take();
        let Some(commit) = in_flight.filter(|c| c.number == number) else {
            return;
        };
        let max_jobs = self.commit_state.max_jobs.map(|n| 2 * n);
        self.commit_state.max_jobs =
            max_jobs.filter(|n| *n < Txn::MAX_ENTRIES);
        self.commit_state.revision = self.commit_state.revision.max(revision);
        self.assign_fences();
        self.ended_jobs.record_removals(&commit.removals, revision);
        let mut agents = BTreeSet::new();
        for (agent, born_ms, end) in commit.ends {
            let Some(worker) = self.workers.get_mut(&agent) else {
                continue;
            };
            if worker.incarnation().is_some_and(|i| i.born_ms == born_ms) {
                worker.uncommitted_ends.remove(&end);
                agents.insert(agent);
            }
        }
        for agent in agents {
            self.send_acknowledgement(now, &agent);
        }
        for id in commit.jobs {
            self.order_starts(now, id, number);
        }
    }

    /// Handles a commit that the store will never accept. Its contents are
    /// committed again in smaller parts. If it was about one job, that job
    /// ends, or its records are left in the store.
    pub fn commit_rejected(&mut self, now: Now, number: u64, why: &str) {
        let in_flight = self.commit_state.in_flight.take();
        let Some(commit) = in_flight.filter(|c| c.number == number) else {
            return;
        };
        self.record_rejection(number, commit.len(), why);
        self.queued_changed = true;
        match (&commit.jobs[..], &commit.removals[..]) {
            ([id], []) => self.end_unstorable_job(now, *id, why),
            ([], [id]) => {
                self.ended_jobs.insert_permanently(*id);
                let detail = format!("what=removal why={why}");
                self.record_event(Code::RecordRejected, *id, &detail);
            }
            _ => {
                let half = (commit.len() / 2).max(1);
                self.commit_state.max_jobs = Some(half);
                self.dirty.extend(commit.jobs);
                self.ended_jobs.reschedule(&commit.removals);
            }
        }
    }

    fn record_rejection(&mut self, number: u64, jobs: usize, why: &str) {
        let detail = format!("commit={number} jobs={jobs} why={why}");
        let event = NewEvent::new(Code::CommitRejected, detail);
        self.actions.push(Action::RecordEvent(event));
    }

    /// Handles that the store does not accept the progress of a job. It is
    /// written without the checkpoints from then on, which only save work. If
    /// that is not accepted either, the job ends, so that all other jobs go on;
    /// its record has only its state then.
    fn end_unstorable_job(&mut self, now: Now, id: BatchId, why: &str) {
        let Some(job) = self.jobs.get_mut(&id) else {
            self.dirty.remove(&id);
            return;
        };
        if !job.leaves_out_checkpoints {
            job.leaves_out_checkpoints = true;
            let detail = format!("what=checkpoints why={why}");
            self.record_event(Code::RecordRejected, id, &detail);
            self.dirty.insert(id);
            return;
        }
        if job.is_unstorable {
            // There is no smaller record, so this one is given up.
            self.dirty.remove(&id);
            let detail = format!("what=state why={why}");
            self.record_event(Code::RecordRejected, id, &detail);
            return;
        }
        job.is_unstorable = true;
        if !job.progress.state.is_final() {
            job.progress.state = BatchState::Failed;
            job.progress.ended_ms = now.wall_ms;
        }
        let state = job.progress.state;
        let detail = format!("what=progress state={state:?} why={why}");
        self.record_event(Code::RecordRejected, id, &detail);
        self.dirty.insert(id);
        self.request_job_stop(id);
    }

    /// Sends an agent the number up to which its ends of runs are committed.
    fn send_acknowledgement(&mut self, now: Now, agent: &str) {
        let token = self.order_token(agent);
        let Some(worker) = self.workers.get(agent) else {
            return;
        };
        let Some(upstream) = worker.incarnation().cloned() else {
            return;
        };
        let grant = Grant {
            token,
            upstream,
            deadline_ms: None,
            acknowledged: worker.acknowledgement(now.monotonic),
        };
        self.send(agent, ToAgent::Grant(grant));
    }

    /// Returns the ends of runs that a commit of these jobs covers: those of
    /// runs of these jobs, and of jobs that are not known any more.
    fn uncommitted_ends_of(
        &self,
        jobs: &[BatchId],
    ) -> Vec<(String, u64, u64)> {
        let mut ends = Vec::new();
        for (agent, worker) in &self.workers {
            let Some(incarnation) = worker.incarnation() else {
                continue;
            };
            for (number, job) in &worker.uncommitted_ends {
                if jobs.contains(job) || !self.jobs.contains_key(job) {
                    ends.push((agent.clone(), incarnation.born_ms, *number));
                }
            }
        }
        ends
    }

    /// Returns the number of jobs of which no task has started, by queue.
    fn queued_jobs(&self) -> BTreeMap<String, u64> {
        let mut queued_jobs = BTreeMap::new();
        for job in self.jobs.values() {
            if job.progress.state == BatchState::Queued {
                *queued_jobs.entry(job.batch.queue.clone()).or_insert(0) += 1;
            }
        }
        queued_jobs
    }

    /// Orders the starts of a job's runs whose placements were in the commit
    /// with this number. The members of a gang are started all together or not
    /// at all.
    fn order_starts(&mut self, now: Now, id: BatchId, number: u64) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let due: Vec<TaskId> = job
            .runs
            .iter()
            .filter(|(_, run)| {
                run.phase
                    == Phase::Committing {
                        commit: Some(number),
                    }
            })
            .map(|(task, _)| *task)
            .collect();
        let withheld: Vec<(TaskId, &str)> = due
            .iter()
            .filter_map(|task| Some((*task, self.obstacle(now, *task)?)))
            .collect();
        for (task, why) in withheld {
            self.release(task, why);
            self.request_gang_stop(task, "a gang member cannot be started");
        }
        for task in due {
            self.order_start(now, task);
        }
    }

    /// Returns why the start of a task cannot be ordered; `None` if it can.
    fn obstacle(&self, now: Now, id: TaskId) -> Option<&'static str> {
        if !self.can_start(now, id) {
            return Some("its worker is unreachable, draining or replaced");
        }
        if !self.may_start(now) {
            return Some("the requests to drain were not read recently");
        }
        if self.is_placed_in_drained_domain(id) {
            return Some("its failure domain is drained");
        }
        let has_orphan = self.has_orphan(now, id);
        has_orphan.then_some("an upstream still lists an earlier run")
    }

    /// Returns whether a start can be ordered: the worker is reachable, is not
    /// draining, and still has the incarnation that the run was placed on.
    fn can_start(&self, now: Now, id: TaskId) -> bool {
        let run = self.jobs.get(&id.job).and_then(|j| j.runs.get(&id));
        let Some(run) = run else {
            return false;
        };
        self.workers.get(&run.agent).is_some_and(|worker| {
            worker.incarnation() == Some(&run.upstream)
                && worker.is_reachable(now.monotonic)
                && worker.upstream.as_ref().is_some_and(|u| !u.draining)
        })
    }

    /// Orders the start of a run, unless it was released in the meantime.
    fn order_start(&mut self, now: Now, id: TaskId) {
        let settled_at = self.settling_time(now.monotonic);
        let job = self.jobs.get(&id.job);
        let Some(run) = job.and_then(|j| j.runs.get(&id)) else {
            return;
        };
        let token = self.order_token(&run.agent);
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let payload = job.batch.payload.clone();
        let Some(run) = job.runs.get_mut(&id) else {
            return;
        };
        let worker = self.workers.get(&run.agent);
        let Some(clock_ms) = worker.and_then(|w| w.clock_now(now.monotonic))
        else {
            return;
        };
        let window_ms = u64::try_from(START_WINDOW.as_millis()).unwrap_or(0);
        let deadline_ms = clock_ms + window_ms;
        run.phase = Phase::Ordered {
            conclusive_after_ms: deadline_ms,
        };
        run.ordered_at = Some(now.monotonic);
        run.settled_at = settled_at;
        run.progressed_at = now.monotonic;
        let start = StartOrder {
            task: id,
            run: run.number,
            payload,
            deadline_ms,
            token,
            checkpoint: run.checkpoint.clone(),
        };
        let agent = run.agent.clone();
        let upstream = run.upstream.clone();
        let detail = format!(
            "task={id} run={} agent={agent} upstream={} born={} \
             token={token} deadline={deadline_ms}",
            run.number, upstream.id, upstream.born_ms
        );
        self.record_event(Code::PartStarted, id.job, &detail);
        self.send(&agent, ToAgent::Start { upstream, start });
    }
}
