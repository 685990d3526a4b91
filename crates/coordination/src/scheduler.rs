//! The decisions of the coordinator where the store holds every promise.
//!
//! Jobs, runs and ends stand in the store before anybody acts on them, so a
//! new coordinator reads them, asks the agents what runs, and goes on. Time
//! and inputs are passed in; what to send and what to commit comes out.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use figrill_state::{
    batch::{Batch, BatchId, BatchState, Progress, TaskId},
    catalog::Workspace,
    event::{Code, Note},
    job::JobId,
    runner::Started,
};

use crate::learn::Learner;
use job::{Job, Phase, Run};
use message::{Grant, Report, ToAgent};
use worker::{Verdict, Worker};

mod commit;
mod job;
pub mod message;
mod place;
mod plan;
mod reclaim;
mod reports;
mod worker;

pub use commit::Commit;

/// How far ahead of the upstream's clock a grant lets its runs go on. It
/// bridges a coordinator's loss, and delays the second try of what ran on a
/// lost worker.
const HOLD: Duration = Duration::from_secs(9);

/// How much slower than true time an upstream's clock may be.
const CLOCK_DRIFT: f64 = 1.02;

/// Added to the time after which a run that is not heard of is over: the
/// grace of a stop, and clocks of ours.
const OVER_MARGIN: Duration = Duration::from_millis(800);

/// How long after it was ordered an upstream may still begin a run.
const START_WINDOW: Duration = Duration::from_millis(1500);

/// Time between two sendings of a stop that was not seen to work.
const STOP_AGAIN: Duration = Duration::from_millis(500);

/// How long the members of a gang may take to be seen. The upstreams give
/// up on a gang after three seconds at the least.
const GANG_SEEN: Duration = Duration::from_millis(2200);

/// How much longer than it said a leaving worker may stay.
const HOPED_STAY: Duration = Duration::from_secs(2);

/// How long a run may show no progress, besides a share of its estimate.
const STANDSTILL: Duration = Duration::from_millis(1700);

/// How long a job's record is kept after its end.
const KEPT_MS: u64 = 300_000;

/// What to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send to an agent.
    Send {
        /// The agent's name.
        agent: String,
        /// The message.
        message: ToAgent,
    },
    /// Something for the log.
    Note(Note),
}

/// The two clocks that an input comes with.
#[derive(Clone, Copy, Debug, Default)]
pub struct Now {
    /// Time since an arbitrary fixed point; it never goes back.
    pub steady: Duration,
    /// Milliseconds since 1970.
    pub wall_ms: u64,
}

/// The decisions of one coordinator under one fencing token.
pub struct Scheduler {
    token: u64,
    began: Duration,
    jobs: BTreeMap<BatchId, Job>,
    /// Jobs that have ended, with when, in milliseconds since 1970.
    finished: BTreeMap<BatchId, u64>,
    workers: BTreeMap<String, Worker>,
    workspaces: BTreeMap<String, Workspace>,
    dirty: BTreeSet<BatchId>,
    removals: Vec<BatchId>,
    waiting_changed: bool,
    commits: commit::Commits,
    learner: Learner,
    out: Vec<Action>,
}

impl Scheduler {
    /// A coordinator whose key in the store has the revision `token`. What
    /// earlier ones ordered may run until [`HOLD`] has passed.
    #[must_use]
    pub fn new(token: u64, now: Now) -> Self {
        Self {
            token,
            began: now.steady,
            jobs: BTreeMap::new(),
            finished: BTreeMap::new(),
            workers: BTreeMap::new(),
            workspaces: BTreeMap::new(),
            dirty: BTreeSet::new(),
            removals: Vec::new(),
            waiting_changed: true,
            commits: commit::Commits::default(),
            learner: Learner::default(),
            out: Vec::new(),
        }
    }

    /// What has to be done since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.out)
    }

    /// Takes over a job's progress from the store; before [`Self::job`].
    pub fn load(&mut self, now: Now, batch: Batch, progress: Progress) {
        let id = batch.id;
        if progress.state.is_final() && !holds_runs(&progress) {
            self.finished.insert(id, progress.ended_ms);
            return;
        }
        let mut job = Job::new(batch, progress);
        let mut adopted = Vec::new();
        for (occurrence, steps) in &job.progress.tasks {
            for (step, tasks) in steps.iter().enumerate() {
                for (index, task) in tasks.iter().enumerate() {
                    let Some(placement) = &task.placement else {
                        continue;
                    };
                    let id = TaskId {
                        job: id,
                        occurrence: *occurrence,
                        step: u32::try_from(step).unwrap_or(u32::MAX),
                        index: u32::try_from(index).unwrap_or(u32::MAX),
                    };
                    adopted.push((id, task.clone(), placement.clone()));
                }
            }
        }
        for (task, progress, placement) in adopted {
            let run = Run {
                agent: placement.agent.clone(),
                upstream: placement.upstream,
                number: progress.run,
                // The first snapshot under the own token decides.
                phase: Phase::Ordered { settled_ms: 0 },
                since: now.steady,
                ordered: Some(now.steady),
                stopping: None,
                checkpoint: progress.checkpoint,
                percent: 0,
                moved: now.steady,
                began_at: 0,
            };
            let needs = job.batch.step(task).map(|s| s.needs);
            job.runs.insert(task, run);
            let over_at = over_at(self.began);
            let worker = self.workers.entry(placement.agent).or_default();
            worker.over_at = worker.over_at.max(over_at);
            worker.occupied.insert(task, needs.unwrap_or_default());
        }
        if job.batch.cancelled {
            self.dirty.insert(id);
        }
        self.jobs.insert(id, job);
        self.judge_job(now, id);
    }

    /// A job was accepted or cancelled.
    pub fn job(&mut self, now: Now, batch: Batch) {
        let id = batch.id;
        if self.finished.contains_key(&id) {
            return;
        }
        let cancelled = batch.cancelled;
        if let Some(job) = self.jobs.get_mut(&id) {
            let already = job.batch.cancelled;
            job.batch.cancelled |= cancelled;
            if cancelled && !already {
                self.note(Code::JobCancelled, id, "by its caller");
                self.judge_job(now, id);
            }
            return;
        }
        let detail = format!(
            "workspace={} queue={} priority={} steps={} age_ms={}",
            batch.workspace,
            batch.queue,
            batch.priority,
            batch.steps.len(),
            now.wall_ms.saturating_sub(batch.accepted_ms),
        );
        self.note(Code::JobQueued, id, &detail);
        let job = Job::new(batch, Progress::default());
        self.jobs.insert(id, job);
        self.waiting_changed = true;
        if cancelled {
            self.judge_job(now, id);
        }
    }

    /// The workspaces of the configuration in force.
    pub fn workspaces(&mut self, workspaces: BTreeMap<String, Workspace>) {
        self.workspaces = workspaces;
    }

    /// A stream to an agent is open; it is told the token at once.
    pub fn agent_up(&mut self, agent: &str) {
        let grant = Grant {
            token: self.token,
            ..Grant::default()
        };
        self.send(agent, ToAgent::Grant(grant));
    }

    /// An agent's report.
    pub fn report(&mut self, now: Now, agent: &str, report: Report) {
        reports::take(self, now, agent, report);
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Now) {
        self.settle_unheard(now);
        self.watch_runs(now);
        self.forget(now);
        self.plan(now);
        self.send_stops(now);
    }

    /// Jobs that have not ended.
    #[must_use]
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    fn send(&mut self, agent: &str, message: ToAgent) {
        let agent = agent.to_owned();
        self.out.push(Action::Send { agent, message });
    }

    fn note(&mut self, code: Code, job: BatchId, detail: &str) {
        let job = JobId(u128::from(job.0));
        self.out.push(Action::Note(Note::of_job(code, job, detail)));
    }

    /// A run is surely over, or was never there. Frees what it occupied and
    /// keeps its checkpoint.
    fn release(&mut self, id: TaskId, why: &str) -> Option<Run> {
        let job = self.jobs.get_mut(&id.job)?;
        let run = job.runs.remove(&id)?;
        if let Some(task) = job.task_mut(id) {
            task.placement = None;
            if !run.checkpoint.is_empty() {
                task.checkpoint.clone_from(&run.checkpoint);
            }
        }
        if let Some(worker) = self.workers.get_mut(&run.agent) {
            worker.occupied.remove(&id);
        }
        self.dirty.insert(id.job);
        let detail = format!(
            "task={id} run={} agent={} percent={} why={why}",
            run.number, run.agent, run.percent
        );
        self.note(Code::PartEnded, id.job, &detail);
        self.share_gang_checkpoint(id, &run.checkpoint);
        Some(run)
    }

    /// All members of a gang start from the same checkpoint: the one that
    /// was learnt last.
    fn share_gang_checkpoint(&mut self, id: TaskId, checkpoint: &str) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let gang = job.batch.step(id).is_some_and(|s| s.gang);
        if !gang || checkpoint.is_empty() {
            return;
        }
        for member in job.tasks_of(id.occurrence, id.step) {
            if let Some(task) = job.task_mut(member) {
                checkpoint.clone_into(&mut task.checkpoint);
            }
        }
    }

    /// Marks a task as done; of a gang, all its members.
    fn finish(&mut self, now: Now, id: TaskId) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let gang = job.batch.step(id).is_some_and(|s| s.gang);
        let persistent = job.batch.step(id).is_some_and(|s| s.persistent);
        if persistent {
            return;
        }
        let members: Vec<TaskId> = if gang {
            job.tasks_of(id.occurrence, id.step).collect()
        } else {
            vec![id]
        };
        for member in members {
            if let Some(task) = job.task_mut(member) {
                task.done = true;
                task.checkpoint.clear();
            }
        }
        self.dirty.insert(id.job);
        self.judge_job(now, id.job);
    }

    /// Finds out whether a job has ended, and stops what is left of it.
    fn judge_job(&mut self, now: Now, id: BatchId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if !job.progress.state.is_final() {
            let state = if job.is_done() {
                BatchState::Done
            } else if job.batch.cancelled {
                BatchState::Cancelled
            } else if job.has_failed() {
                BatchState::Failed
            } else {
                return;
            };
            job.progress.state = state;
            job.progress.ended_ms = now.wall_ms;
            let detail = format!(
                "state={state:?} age_ms={} due_in_ms={}",
                now.wall_ms.saturating_sub(job.batch.accepted_ms),
                i128::from(job.due_ms(0)) - i128::from(now.wall_ms),
            );
            self.dirty.insert(id);
            self.note(Code::JobEnded, id, &detail);
        }
        self.stop_job(id);
    }

    fn stop_job(&mut self, id: BatchId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let runs: Vec<TaskId> = job
            .runs
            .iter()
            .filter(|(task, _)| !job.task(**task).is_some_and(|t| t.done))
            .map(|(task, _)| *task)
            .collect();
        for task in runs {
            self.stop(task, "the job has ended");
        }
    }

    /// Wants a run to end. One that was not ordered yet is released at once.
    fn stop(&mut self, id: TaskId, why: &str) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let Some(run) = job.runs.get_mut(&id) else {
            return;
        };
        if matches!(run.phase, Phase::Committing { .. }) {
            self.release(id, why);
            return;
        }
        if run.stopping.is_none() {
            run.stopping = Some(Duration::ZERO);
            let detail = format!(
                "task={id} run={} agent={} percent={} why={why}",
                run.number, run.agent, run.percent
            );
            self.note(Code::PartStopped, id.job, &detail);
        }
    }

    fn stop_gang_of(&mut self, id: TaskId, why: &str) {
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        if !job.batch.step(id).is_some_and(|s| s.gang) {
            return;
        }
        let members: Vec<TaskId> = job
            .tasks_of(id.occurrence, id.step)
            .filter(|t| !job.task(*t).is_some_and(|p| p.done))
            .collect();
        for member in members {
            self.stop(member, why);
        }
    }

    fn send_stops(&mut self, now: Now) {
        let mut orders = Vec::new();
        for job in self.jobs.values_mut() {
            for (task, run) in &mut job.runs {
                let Some(sent) = run.stopping else {
                    continue;
                };
                let first = sent == Duration::ZERO;
                if !first && now.steady < sent + STOP_AGAIN {
                    continue;
                }
                run.stopping = Some(now.steady.max(Duration::from_nanos(1)));
                let message = ToAgent::Stop {
                    upstream: run.upstream.clone(),
                    token: self.token,
                    task: *task,
                    run: run.number,
                };
                orders.push((run.agent.clone(), message));
            }
        }
        for (agent, message) in orders {
            self.send(&agent, message);
        }
    }

    /// Releases what ran on workers that were not heard of for so long that
    /// it must be over.
    fn settle_unheard(&mut self, now: Now) {
        let lost: Vec<TaskId> = self
            .workers
            .values()
            .filter(|w| now.steady >= w.over_at)
            .flat_map(|w| w.occupied.keys().copied())
            .filter(|task| self.was_ordered(*task))
            .collect();
        for task in lost {
            self.release(task, "not heard of until it must be over");
            self.stop_gang_of(task, "a member was lost");
        }
    }

    fn was_ordered(&self, id: TaskId) -> bool {
        let run = self.jobs.get(&id.job).and_then(|j| j.runs.get(&id));
        run.is_some_and(|r| !matches!(r.phase, Phase::Committing { .. }))
    }

    /// Stops gangs that did not come together and runs that stand still.
    fn watch_runs(&mut self, now: Now) {
        let mut apart = Vec::new();
        let mut stuck = Vec::new();
        let mut leaving = Vec::new();
        for job in self.jobs.values() {
            for (id, run) in &job.runs {
                if run.stopping.is_some() {
                    continue;
                }
                let Some(step) = job.batch.step(*id) else {
                    continue;
                };
                let late = |limit: Duration| {
                    run.ordered.is_some_and(|at| now.steady > at + limit)
                };
                let seen = matches!(run.phase, Phase::Running { .. });
                if seen && self.ends_too_late(now, job, *id, run) {
                    leaving.push(*id);
                }
                if step.gang && !seen && late(GANG_SEEN) {
                    apart.push(*id);
                }
                let limit = standstill_limit(step.estimate_ms);
                // Members of a gang end together: one that has done its
                // share stands still until the others have.
                let moved = if step.gang {
                    job.gang_moved(*id)
                } else {
                    run.moved
                };
                let still = now.steady > moved + limit;
                let worker = self.workers.get(&run.agent);
                let heard = worker.is_some_and(|w| w.is_heard(now.steady));
                let done = job.task(*id).is_some_and(|t| t.done);
                if seen && still && heard && !step.persistent && !done {
                    stuck.push((*id, run.agent.clone()));
                }
            }
        }
        for id in leaving {
            self.stop(id, "its worker leaves before it can end");
            self.stop_gang_of(id, "a member's worker leaves");
        }
        for id in apart {
            self.stop_gang_of(id, "the gang did not come together");
        }
        for (id, agent) in stuck {
            self.blame(now, id, &agent, Verdict::Stuck);
            self.stop(id, "it stands still");
            self.stop_gang_of(id, "a member stands still");
        }
    }

    /// Whether a run's worker leaves before the run is expected to end: then
    /// the sooner it goes on elsewhere, the better.
    fn ends_too_late(
        &self,
        now: Now,
        job: &Job,
        id: TaskId,
        run: &Run,
    ) -> bool {
        let worker = self.workers.get(&run.agent);
        let Some(left) = worker.and_then(|w| w.left(now.steady)) else {
            return false;
        };
        let keeps = job.batch.step(id).is_some_and(|s| s.checkpoints);
        // A worker often stays longer than it said, and what cannot be
        // saved is lost for certain by a stop.
        let hope = if keeps { left } else { left * 3 + HOPED_STAY };
        reclaim::time_left(now, job, id, run) > hope.as_secs_f64()
    }

    /// Takes note that a run went wrong on a worker.
    fn blame(&mut self, now: Now, id: TaskId, agent: &str, how: Verdict) {
        if let Some(job) = self.jobs.get_mut(&id.job)
            && !job.avoid.iter().any(|a| a == agent)
        {
            job.avoid.push(agent.to_owned());
        }
        let Some(worker) = self.workers.get_mut(agent) else {
            return;
        };
        if worker.judge(now.steady, id.job, how) {
            let detail = format!("agent={agent} task={id} how={how:?}");
            self.note(Code::WorkerQuarantined, id.job, &detail);
        }
    }

    /// Drops jobs that have ended and been committed, and the records of
    /// those that ended long ago.
    fn forget(&mut self, now: Now) {
        let ended: Vec<(BatchId, u64)> = self
            .jobs
            .iter()
            .filter(|(id, j)| {
                j.progress.state.is_final()
                    && j.runs.is_empty()
                    && !self.dirty.contains(id)
                    && !self.commits.holds(**id)
            })
            .map(|(id, j)| (*id, j.progress.ended_ms))
            .collect();
        for (id, ended_ms) in ended {
            self.jobs.remove(&id);
            self.finished.insert(id, ended_ms);
        }
        let old = |at: u64| now.wall_ms > at.saturating_add(KEPT_MS);
        let old: Vec<BatchId> = self
            .finished
            .iter()
            .filter(|(_, at)| old(**at))
            .map(|(id, _)| *id)
            .collect();
        for id in old {
            self.finished.remove(&id);
            self.removals.push(id);
        }
    }

    /// What became of a start.
    fn started(&mut self, now: Now, agent: &str, id: TaskId, result: Started) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let Some(run) = job.runs.get_mut(&id) else {
            return;
        };
        match result {
            Started::Running { clock_ms } => {
                if matches!(run.phase, Phase::Ordered { .. }) {
                    run.phase = Phase::Running { seen_ms: clock_ms };
                    run.moved = now.steady;
                }
            }
            Started::Unknown => {}
            Started::Refused(refusal) => {
                if !matches!(run.phase, Phase::Ordered { .. }) {
                    return;
                }
                self.release(id, refusal.name());
                self.stop_gang_of(id, "a member was refused");
                if refusal == figrill_state::runner::Refusal::Unhealthy {
                    self.blame(now, id, agent, Verdict::Stuck);
                }
            }
        }
    }
}

/// How long a run may show no progress: a hundredth of its work takes
/// longer the longer it is, on a slow worker more so.
fn standstill_limit(estimate_ms: u64) -> Duration {
    STANDSTILL + Duration::from_millis(estimate_ms) / 5
}

fn holds_runs(progress: &Progress) -> bool {
    let tasks = progress.tasks.values().flatten().flatten();
    tasks.into_iter().any(|t| t.placement.is_some())
}

/// When everything that was granted at `granted` is surely over.
fn over_at(granted: Duration) -> Duration {
    granted + HOLD.mul_f64(CLOCK_DRIFT) + OVER_MARGIN
}
