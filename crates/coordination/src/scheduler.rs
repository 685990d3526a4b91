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
    batch::{Batch, BatchId, Progress, TaskId},
    catalog::Workspace,
    event::{Code, NewEvent},
    job::JobId,
    runner::StartOutcome,
};

use crate::learn::Learner;
use job::{Job, Phase, Run};
use message::{Grant, Report, ToAgent};
use worker::{Verdict, Worker};

mod commit;
mod endings;
mod job;
pub mod message;
mod place;
mod plan;
mod reclaim;
mod reports;
mod speed;
mod watch;
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
    Note(NewEvent),
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
    speeds: speed::Speeds,
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
            speeds: speed::Speeds::default(),
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
        self.update_job_state(now, id);
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
                self.update_job_state(now, id);
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
            self.update_job_state(now, id);
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
        self.out
            .push(Action::Note(NewEvent::for_job(code, job, detail)));
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
            self.speeds.forget(id);
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
    fn started(
        &mut self,
        now: Now,
        agent: &str,
        id: TaskId,
        result: StartOutcome,
    ) {
        let worker = self.workers.get(agent);
        let known_ms = worker.and_then(|w| w.clock).map_or(0, |(ms, _)| ms);
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let Some(run) = job.runs.get_mut(&id) else {
            return;
        };
        match result {
            // An answer from before the latest list may be of a later life
            // under the same name, whose clock began anew. Lists tell.
            StartOutcome::Running { clock_ms } if clock_ms < known_ms => {}
            StartOutcome::Running { clock_ms } => {
                if matches!(run.phase, Phase::Ordered { .. }) {
                    run.phase = Phase::Running { seen_ms: clock_ms };
                    run.moved = now.steady;
                }
            }
            StartOutcome::Unknown => {}
            StartOutcome::Refused(refusal) => {
                if !matches!(run.phase, Phase::Ordered { .. }) {
                    return;
                }
                self.release(id, refusal.name());
                self.stop_gang_of(id, "a member was refused");
                if refusal == figrill_state::runner::Refusal::Unhealthy {
                    self.record_failure(now, id, agent, Verdict::Stuck);
                }
            }
        }
    }
}

fn holds_runs(progress: &Progress) -> bool {
    let tasks = progress.tasks.values().flatten().flatten();
    tasks.into_iter().any(|t| t.placement.is_some())
}

/// When everything that was granted at `granted` is surely over.
fn over_at(granted: Duration) -> Duration {
    granted + HOLD.mul_f64(CLOCK_DRIFT) + OVER_MARGIN
}
