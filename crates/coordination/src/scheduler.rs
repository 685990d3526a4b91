//! The scheduler of a coordinator that keeps all durable state in the store.
//! The coordinator in [`crate::coordinator`] keeps only soft state instead.
//!
//! Jobs, placements and ends of runs are committed to the store before
//! anything acts on them. A new coordinator therefore reads them back, asks
//! the agents what is running, and continues from there.
//!
//! The scheduler does no I/O. Callers pass in the time and the inputs, and
//! collect the messages to send ([`Scheduler::take_actions`]) and the
//! records to write ([`Scheduler::take_commit`]).

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use figrill_state::{
    batch::{Batch, BatchId, Progress, TaskId},
    catalog::Workspace,
    event::{Code, NewEvent},
    features::Features,
    job::JobId,
    limits::Limits,
};

use crate::learn::RunTimeEstimator;
use ended_jobs::EndedJobs;
use job::{Job, Phase, Run};
use message::{Grant, Report, ToAgent};
use worker::Worker;

mod avoidance;
mod commit;
mod cost;
mod delay_order;
mod drains;
mod ended_jobs;
mod endings;
mod evidence;
mod fences;
mod health;
mod incarnations;
mod job;
pub mod message;
mod orphans;
mod oversized;
mod pace;
mod place;
mod plan;
mod queues;
mod reclaim;
mod reports;
mod speed;
mod task_group;
mod victims;
mod waits;
mod watch;
mod worker;

pub use commit::Commit;
pub use waits::WaitReason;

/// How far beyond the upstream's clock a grant extends the deadline of the
/// upstream's runs, unless the deployment's [`Limits::max_lease`] is less. It
/// has to cover the loss of a coordinator, but it also delays the next run of
/// each task that was running on a lost worker.
const MAX_GRANT_DURATION: Duration = Duration::from_secs(9);

/// How long an upstream may still begin a run after its start was ordered.
/// Agents make calls to start it for less than this.
const START_WINDOW: Duration = Duration::from_millis(1500);

/// The maximum time between two checks of all runs, and between two planning
/// passes. Most inputs change nothing that concerns either, and there are
/// hundreds of them a second.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// An output of the scheduler.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send a message to an agent.
    Send {
        /// The name of the agent that the message is for.
        agent: String,
        /// The grant, or the order to start or stop a run.
        message: ToAgent,
    },
    /// Record an event in the journal.
    RecordEvent(NewEvent),
}

/// The time of an input, on two clocks.
#[derive(Clone, Copy, Debug, Default)]
pub struct Now {
    /// Time since an arbitrary fixed point; never goes backwards.
    pub monotonic: Duration,
    /// Milliseconds since 1970.
    pub wall_ms: u64,
}

/// The scheduler of one coordinator under one fencing token.
pub struct Scheduler {
    token: u64,
    limits: Limits,
    features: Features,
    started_at: Duration,
    jobs: BTreeMap<BatchId, Job>,
    ended_jobs: EndedJobs,
    workers: BTreeMap<String, Worker>,
    workspaces: BTreeMap<String, Workspace>,
    queues: queues::Queues,
    drain_view: drains::DrainView,
    /// Jobs whose progress has still to be put into a commit.
    dirty: BTreeSet<BatchId>,
    /// Whether the number of queued jobs may have changed since the last
    /// commit.
    queued_changed: bool,
    commit_state: commit::CommitState,
    run_times: RunTimeEstimator,
    speeds: speed::Speeds,
    learnt_speeds: speed::LearntSpeeds,
    health: health::Health,
    delay_costs: cost::DelayCosts,
    oversized: oversized::Oversized,
    pending_work: PendingWork,
    waits: waits::Waits,
    actions: Vec<Action>,
}

/// What [`Scheduler::tick`] has to do before the next regular check.
#[derive(Debug, Default)]
struct PendingWork {
    /// Whether waiting tasks or free capacity may have changed since the last
    /// planning pass.
    plan: bool,
    /// Whether a stop was requested and not sent yet.
    send_stops: bool,
    /// The first group beyond the first ones that the next planning pass looks
    /// at, if there are too many for one pass.
    next_group: usize,
    /// When the next regular check is due.
    next_check: Duration,
}

impl Scheduler {
    /// Creates the scheduler of a coordinator whose key in the store has the
    /// revision `token`, which is its fencing token. Runs that earlier
    /// coordinators ordered may continue until their grants have expired.
    #[must_use]
    pub fn new(token: u64, now: Now, limits: Limits) -> Self {
        Self {
            token,
            limits,
            features: Features::default(),
            started_at: now.monotonic,
            jobs: BTreeMap::new(),
            ended_jobs: EndedJobs::default(),
            workers: BTreeMap::new(),
            workspaces: BTreeMap::new(),
            queues: queues::Queues::default(),
            drain_view: drains::DrainView::default(),
            dirty: BTreeSet::new(),
            queued_changed: true,
            commit_state: commit::CommitState::default(),
            run_times: RunTimeEstimator::default(),
            speeds: speed::Speeds::default(),
            learnt_speeds: speed::LearntSpeeds::default(),
            health: health::Health::default(),
            delay_costs: cost::DelayCosts::default(),
            oversized: oversized::Oversized::default(),
            pending_work: PendingWork::default(),
            waits: waits::Waits::default(),
            actions: Vec::new(),
        }
    }

    /// Switches features on. Without them, none is in effect.
    #[must_use]
    pub const fn with_features(mut self, features: Features) -> Self {
        self.features = features;
        self
    }

    /// Returns the actions that were added since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Loads a job and its progress from the store. Must be called before
    /// [`Self::update_job`] is called for the same job, which would otherwise
    /// count as new.
    pub fn load_job(&mut self, now: Now, batch: Batch, progress: Progress) {
        let id = batch.id;
        if progress.state.is_final() && !has_placements(&progress) {
            self.ended_jobs.insert(id, progress.ended_ms);
            return;
        }
        let mut job = Job::new(batch, progress);
        job.restore_service();
        job.value_rate = self.delay_costs.job_values.record(&job.batch);
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
                // The first snapshot that is taken under this
                // coordinator's token shows whether the run exists.
                phase: Phase::Ordered {
                    conclusive_after_ms: 0,
                },
                placed_at: now.monotonic,
                ordered_at: Some(now.monotonic),
                is_backfill: false,
                is_adopted: true,
                is_answered: false,
                settled_at: self.settling_time(now.monotonic),
                stopping: None,
                checkpoint: progress.checkpoint,
                percent: 0,
                progressed_at: now.monotonic,
                initial_percent: 0,
                first_percent: None,
            };
            let needs = job.batch.step(task).map(|s| s.needs);
            job.insert_run(task, run);
            // The upstream may have taken a lease as far ahead as it accepts,
            // from a call that was meant for an earlier incarnation.
            let expires_at = self.lease_expiry(self.started_at);
            let worker = self.workers.entry(placement.agent).or_default();
            worker.expires_at = worker.expires_at.max(expires_at);
            worker.allocations.insert(task, needs.unwrap_or_default());
        }
        if job.batch.cancelled {
            self.dirty.insert(id);
        }
        self.jobs.insert(id, job);
        self.apply_queue(id);
        self.update_job_state(now, id);
    }

    /// Leaves out a job whose progress can't be read. To start it afresh could
    /// run its tasks twice.
    pub fn skip_job(&mut self, id: BatchId) {
        self.ended_jobs.insert_permanently(id);
    }

    /// Handles the record of a job that was accepted or cancelled, which was
    /// written at `revision`, if that is known. Ignores jobs whose end is
    /// committed; a repeated record changes nothing.
    pub fn update_job(
        &mut self,
        now: Now,
        batch: Batch,
        revision: Option<u64>,
    ) {
        let id = batch.id;
        if self.ended_jobs.has_ended(id, revision) {
            return;
        }
        let cancelled = batch.cancelled;
        if let Some(job) = self.jobs.get_mut(&id) {
            let already_cancelled = job.batch.cancelled;
            job.batch.cancelled |= cancelled;
            if cancelled && !already_cancelled {
                self.record_event(
                    Code::JobCancelled,
                    id,
                    "requested by the caller",
                );
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
        self.record_event(Code::JobQueued, id, &detail);
        let mut job = Job::new(batch, Progress::default());
        job.value_rate = self.delay_costs.job_values.record(&job.batch);
        self.jobs.insert(id, job);
        self.apply_queue(id);
        self.queued_changed = true;
        self.pending_work.plan = true;
        if cancelled {
            self.update_job_state(now, id);
        }
    }

    /// Sets the workspaces of the settings in force.
    pub fn set_workspaces(&mut self, workspaces: BTreeMap<String, Workspace>) {
        self.workspaces = workspaces;
    }

    /// Handles a new connection to an agent, which may have restarted. Sends
    /// it the fencing token at once.
    pub fn agent_connected(&mut self, agent: &str) {
        let runs = self.jobs.values().flat_map(|j| j.runs.values());
        let of_agent = runs.filter(|r| r.agent == agent);
        let open_until = of_agent.map(job::Run::open_until).max();
        if let Some(worker) = self.workers.get_mut(agent) {
            worker.hold_acknowledgements(open_until.unwrap_or_default());
        }
        self.send_token(agent);
    }

    /// Sends an agent the fencing token of the orders to its upstream, and the
    /// last incarnation that was given any.
    fn send_token(&mut self, agent: &str) {
        let worker = self.workers.get(agent);
        let upstream = worker.and_then(Worker::last_incarnation).cloned();
        let grant = Grant {
            token: self.order_token(agent),
            upstream: upstream.unwrap_or_default(),
            ..Grant::default()
        };
        self.send(agent, ToAgent::Grant(grant));
    }

    /// Handles a report of an agent.
    pub fn handle_report(&mut self, now: Now, agent: &str, report: Report) {
        reports::handle(self, now, agent, report);
    }

    /// Acts on the inputs since the last call: places waiting tasks and sends
    /// stops. Every [`CHECK_INTERVAL`] also does what depends on time alone:
    /// releases runs whose grants have expired, checks for runs that are
    /// stuck, removes ended jobs, and sends stops again.
    pub fn tick(&mut self, now: Now) {
        let check = now.monotonic >= self.pending_work.next_check;
        if check {
            self.pending_work.next_check = now.monotonic + CHECK_INTERVAL;
            self.release_expired(now);
            self.check_runs(now);
            self.update_health(now);
            self.remove_ended_jobs(now);
            self.check_drains(now);
            self.report_oversized(now);
        }
        if check || self.pending_work.plan {
            self.pending_work.plan = false;
            self.plan(now);
        }
        if check || self.pending_work.send_stops {
            self.pending_work.send_stops = false;
            self.send_stops(now);
        }
    }

    /// Returns the number of jobs that have not ended, or whose end is not
    /// committed yet.
    #[must_use]
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Returns how far beyond the upstream's clock a grant extends the
    /// deadline of the upstream's runs.
    fn grant_duration(&self) -> Duration {
        MAX_GRANT_DURATION.min(self.limits.max_lease)
    }

    /// Returns the time at which every run under a grant given at
    /// `granted_at` has certainly ended.
    fn grant_expiry(&self, granted_at: Duration) -> Duration {
        granted_at + self.limits.expiry_after_silence(self.grant_duration())
    }

    /// Returns the time at which every run under a lease that was taken at
    /// `taken_at` has certainly ended, however far ahead its deadline was. An
    /// upstream shortens a lease to [`Limits::max_lease`].
    fn lease_expiry(&self, taken_at: Duration) -> Duration {
        taken_at + self.limits.expiry_after_silence(self.limits.max_lease)
    }

    /// Returns the [`Run::settled_at`] of a run whose start was ordered at
    /// `ordered_at`.
    fn settling_time(&self, ordered_at: Duration) -> Duration {
        let expiry = self.lease_expiry(ordered_at + START_WINDOW);
        expiry.saturating_sub(self.limits.max_suspension)
    }

    fn send(&mut self, agent: &str, message: ToAgent) {
        let agent = agent.to_owned();
        self.actions.push(Action::Send { agent, message });
    }

    fn record_event(&mut self, code: Code, job: BatchId, detail: &str) {
        let job = JobId(u128::from(job.0));
        self.actions
            .push(Action::RecordEvent(NewEvent::for_job(code, job, detail)));
    }

    /// Drops jobs whose end is committed, and schedules the removal of the
    /// records of jobs that ended long ago.
    fn remove_ended_jobs(&mut self, now: Now) {
        let ended: Vec<(BatchId, u64)> = self
            .jobs
            .iter()
            .filter(|(id, j)| {
                j.progress.state.is_final()
                    && j.runs.is_empty()
                    && !self.dirty.contains(id)
                    && !self.commit_state.includes(**id)
            })
            .map(|(id, j)| (*id, j.progress.ended_ms))
            .collect();
        for (id, ended_ms) in ended {
            self.jobs.remove(&id);
            self.speeds.remove_job(id);
            self.learnt_speeds.remove_job(id);
            self.ended_jobs.insert(id, ended_ms);
        }
        self.ended_jobs.schedule_removals(now.wall_ms);
    }

    /// Records that all records of jobs that were read at `revision` or before
    /// have been handed over.
    pub fn records_read(&mut self, revision: u64) {
        self.ended_jobs.forget_removed(revision);
    }
}

/// Returns whether any task of a job still has a placement.
fn has_placements(progress: &Progress) -> bool {
    let tasks = progress.tasks.values().flatten().flatten();
    tasks.into_iter().any(|t| t.placement.is_some())
}
