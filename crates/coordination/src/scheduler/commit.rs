//! Commits of the scheduler's state to the store, one at a time.
//!
//! A start is ordered, and an end acknowledged, only after the commit that
//! contains it has succeeded. Changes that are made while a commit is in
//! flight are collected for the next one. The caller retries a commit until
//! it succeeds or the coordinator's term ends, so a commit has no failure to
//! handle here.

use std::collections::{BTreeMap, BTreeSet};

use figrill_state::{
    batch::{BatchId, BatchState, Progress, TaskId},
    event::Code,
    runner::StartOrder,
};

use super::{
    Now, START_WINDOW, Scheduler,
    job::Phase,
    message::{Grant, ToAgent},
};

/// The maximum number of jobs in one commit. The store accepts 32 conditions,
/// writes and removals per transaction, and a commit has one write per job,
/// one more write, two conditions and the removals.
const MAX_JOBS: usize = 24;

/// The maximum number of jobs whose records one commit removes. Each has two
/// keys to remove.
const MAX_REMOVALS: usize = 3;

/// The contents of one transaction.
#[derive(Clone, Debug, PartialEq)]
pub struct Commit {
    /// The number of the commit; increases by one with each commit.
    pub number: u64,
    /// The current progress of each job that has changed.
    pub progress: Vec<(BatchId, Progress)>,
    /// Jobs whose records are to be removed.
    pub removals: Vec<BatchId>,
    /// The number of jobs of which no task has started, by queue.
    pub queued_jobs: BTreeMap<String, u64>,
}

/// The number of the latest commit, and the commit that is in flight, if any.
#[derive(Debug, Default)]
pub(super) struct CommitState {
    number: u64,
    in_flight: Option<InFlight>,
}

#[derive(Debug)]
struct InFlight {
    number: u64,
    jobs: Vec<BatchId>,
    /// Ends of runs that it contains: agent, `born_ms` of the upstream's
    /// incarnation, and number of the end.
    ends: Vec<(String, u64, u64)>,
}

impl CommitState {
    /// Returns whether the commit in flight contains a job.
    pub(super) fn includes(&self, id: BatchId) -> bool {
        let jobs = self.in_flight.as_ref().map(|c| &c.jobs);
        jobs.is_some_and(|jobs| jobs.contains(&id))
    }
}

impl Scheduler {
    /// Returns the next commit. Returns `None` while one is in flight or if
    /// nothing has changed.
    pub fn take_commit(&mut self) -> Option<Commit> {
        let is_clean = self.dirty.is_empty()
            && self.removals.is_empty()
            && !self.queued_changed;
        if self.commit_state.in_flight.is_some() || is_clean {
            return None;
        }
        self.queued_changed = false;
        self.commit_state.number += 1;
        let number = self.commit_state.number;
        let jobs: Vec<BatchId> =
            self.dirty.iter().copied().take(MAX_JOBS).collect();
        let mut progress = Vec::new();
        for id in &jobs {
            self.dirty.remove(id);
            let Some(job) = self.jobs.get_mut(id) else {
                continue;
            };
            for run in job.runs.values_mut() {
                if let Phase::Committing { commit } = &mut run.phase {
                    *commit = Some(number);
                }
            }
            progress.push((*id, job.progress.clone()));
        }
        let removable = self.removals.len().min(MAX_REMOVALS);
        let removals = self.removals.drain(..removable).collect();
        let ends = self.uncommitted_ends_of(&jobs);
        self.commit_state.in_flight = Some(InFlight { number, jobs, ends });
        Some(Commit {
            number,
            progress,
            removals,
            queued_jobs: self.queued_jobs(),
        })
    }

    /// Handles the success of a commit: acknowledges the ends that it
    /// contains, and orders the starts.
    pub fn commit_done(&mut self, now: Now, number: u64) {
        let in_flight = self.commit_state.in_flight.take();
        let Some(commit) = in_flight.filter(|c| c.number == number) else {
            return;
        };
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
            self.send_acknowledgement(&agent);
        }
        for id in commit.jobs {
            self.order_starts(now, id, number);
        }
    }

    /// Sends an agent the number up to which its ends of runs are committed.
    fn send_acknowledgement(&mut self, agent: &str) {
        let Some(worker) = self.workers.get(agent) else {
            return;
        };
        let Some(upstream) = worker.incarnation().cloned() else {
            return;
        };
        let grant = Grant {
            token: self.token,
            upstream,
            deadline_ms: None,
            acknowledged: worker.acknowledged(),
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
        let unreachable: Vec<TaskId> = due
            .iter()
            .copied()
            .filter(|task| !self.can_start(now, *task))
            .collect();
        for task in unreachable {
            self.release(
                task,
                "its worker is unreachable, draining or replaced",
            );
            self.request_gang_stop(task, "a gang member cannot be started");
        }
        for task in due {
            self.order_start(now, task);
        }
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
        let token = self.token;
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
            "task={id} run={} agent={agent} upstream={} deadline={deadline_ms}",
            run.number, upstream.id
        );
        self.record_event(Code::PartStarted, id.job, &detail);
        self.send(&agent, ToAgent::Start { upstream, start });
    }
}
