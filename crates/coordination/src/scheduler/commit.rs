//! What goes to the store, one commit at a time.
//!
//! A start is ordered and an end is acknowledged only after the commit that
//! holds it. While a commit is under way, changes gather for the next one.

use std::collections::{BTreeMap, BTreeSet};

use figrill_state::{
    batch::{BatchId, Progress, TaskId},
    event::Code,
    runner::StartOrder,
};

use super::{
    Now, START_WINDOW, Scheduler,
    job::Phase,
    message::{Grant, ToAgent},
};

/// The most jobs in one commit; the store takes 32 entries a transaction.
const JOBS_MAX: usize = 24;

/// The most records that one commit removes: two keys each.
const REMOVALS_MAX: usize = 3;

/// What one transaction writes.
#[derive(Clone, Debug, PartialEq)]
pub struct Commit {
    /// Its number; rises by one.
    pub number: u64,
    /// Progress of jobs.
    pub progress: Vec<(BatchId, Progress)>,
    /// Jobs whose records go.
    pub removals: Vec<BatchId>,
    /// Jobs of which no task has started, by queue.
    pub waiting: BTreeMap<String, u64>,
}

/// The commit that is under way.
#[derive(Debug, Default)]
pub(super) struct Commits {
    number: u64,
    under_way: Option<UnderWay>,
}

#[derive(Debug)]
struct UnderWay {
    number: u64,
    jobs: Vec<BatchId>,
    /// Ends that it holds: agent, birth of the upstream, number.
    ends: Vec<(String, u64, u64)>,
}

impl Commits {
    pub(super) fn holds(&self, id: BatchId) -> bool {
        let jobs = self.under_way.as_ref().map(|u| &u.jobs);
        jobs.is_some_and(|jobs| jobs.contains(&id))
    }
}

impl Scheduler {
    /// What to write next, if nothing is being written.
    pub fn take_commit(&mut self) -> Option<Commit> {
        let nothing = self.dirty.is_empty()
            && self.removals.is_empty()
            && !self.waiting_changed;
        if self.commits.under_way.is_some() || nothing {
            return None;
        }
        self.waiting_changed = false;
        self.commits.number += 1;
        let number = self.commits.number;
        let jobs: Vec<BatchId> =
            self.dirty.iter().copied().take(JOBS_MAX).collect();
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
        let removable = self.removals.len().min(REMOVALS_MAX);
        let removals = self.removals.drain(..removable).collect();
        let ends = self.ends_of(&jobs);
        self.commits.under_way = Some(UnderWay { number, jobs, ends });
        Some(Commit {
            number,
            progress,
            removals,
            waiting: self.waiting(),
        })
    }

    /// A commit stands in the store.
    pub fn committed(&mut self, now: Now, number: u64) {
        let under_way = self.commits.under_way.take();
        let Some(done) = under_way.filter(|u| u.number == number) else {
            return;
        };
        let mut acknowledged = BTreeSet::new();
        for (agent, born_ms, end) in done.ends {
            let Some(worker) = self.workers.get_mut(&agent) else {
                continue;
            };
            if worker.incarnation().is_some_and(|i| i.born_ms == born_ms) {
                worker.uncommitted.remove(&end);
                acknowledged.insert(agent);
            }
        }
        for agent in acknowledged {
            self.acknowledge(&agent);
        }
        for id in done.jobs {
            self.order_starts(now, id, number);
        }
    }

    /// Tells an agent which ends stand in the store.
    fn acknowledge(&mut self, agent: &str) {
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

    fn ends_of(&self, jobs: &[BatchId]) -> Vec<(String, u64, u64)> {
        let mut ends = Vec::new();
        for (agent, worker) in &self.workers {
            let Some(life) = worker.incarnation() else {
                continue;
            };
            for (number, job) in &worker.uncommitted {
                if jobs.contains(job) || !self.jobs.contains_key(job) {
                    ends.push((agent.clone(), life.born_ms, *number));
                }
            }
        }
        ends
    }

    fn waiting(&self) -> BTreeMap<String, u64> {
        let mut waiting = BTreeMap::new();
        for job in self.jobs.values() {
            let queued =
                job.progress.state == figrill_state::batch::BatchState::Queued;
            if queued {
                *waiting.entry(job.batch.queue.clone()).or_insert(0) += 1;
            }
        }
        waiting
    }

    /// Orders the starts whose placements a commit holds. A gang is ordered
    /// whole or not at all.
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
            .filter(|task| !self.can_order(now, *task))
            .collect();
        for task in unreachable {
            self.release(task, "its worker was not heard of");
            self.stop_gang_of(task, "a member cannot be ordered");
        }
        for task in due {
            self.order_start(now, task);
        }
    }

    fn can_order(&self, now: Now, id: TaskId) -> bool {
        let run = self.jobs.get(&id.job).and_then(|j| j.runs.get(&id));
        let Some(run) = run else {
            return false;
        };
        self.workers.get(&run.agent).is_some_and(|worker| {
            worker.incarnation() == Some(&run.upstream)
                && worker.is_heard(now.steady)
                && worker.upstream.as_ref().is_some_and(|u| !u.draining)
        })
    }

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
        let Some(clock) = worker.and_then(|w| w.clock_now(now.steady)) else {
            return;
        };
        let window = u64::try_from(START_WINDOW.as_millis()).unwrap_or(0);
        let deadline_ms = clock + window;
        run.phase = Phase::Ordered {
            settled_ms: deadline_ms,
        };
        run.ordered = Some(now.steady);
        run.moved = now.steady;
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
        self.note(Code::PartStarted, id.job, &detail);
        self.send(&agent, ToAgent::Start { upstream, start });
    }
}
