//! The coordinator of a cell: it orders the queued jobs, places them on
//! workers and tracks each one until it has an outcome.
//!
//! The coordinator keeps only soft state; the agents' state is authoritative.
//! A new coordinator collects the agents' reports for [`REBUILD_WINDOW`]
//! before it places anything. It learns of queued jobs from the entries, which
//! submit them again.
//!
//! The coordinator whose durable state is in the store is in
//! [`crate::scheduler`].

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use figrill_state::{
    drain::Drains,
    error::Kind,
    event::{Code, NewEvent},
    job::{Attempt, JobId, Outcome},
    settings::Tree,
    worker::Worker,
};

use crate::message::{AgentReport, AgentRequest, JobReport, JobRequest, Run};

pub mod attempts;
mod bands;
pub mod cell;
mod choose;
mod drains;
mod endings;
pub mod guarantee;
pub mod health;
pub mod job_state;
pub mod jobs;
pub mod placement;
pub mod queue;
pub mod rebuild;
mod reserve;
pub mod schedule;

use crate::learn::{Estimate, RunTimeEstimator};
use cell::Cell;
use guarantee::{Guarantees, Shortfall};
use health::Health;
use job_state::{JobState, Phase};
use queue::Queue;
use schedule::Reservation;

/// How long a new coordinator collects reports from agents before it places
/// jobs.
pub const REBUILD_WINDOW: Duration = Duration::from_secs(1);

/// How long the agents of a gang may take to accept their holds before all of
/// them are released.
pub const HOLD_TIMEOUT: Duration = Duration::from_secs(2);

/// How long an agent keeps a hold if no further message about it arrives.
pub const HOLD_TTL: Duration = Duration::from_secs(4);

/// How long the lead's worker may be disconnected before its repeatable work
/// is placed elsewhere.
pub const LEAD_LOST_TIMEOUT: Duration = Duration::from_secs(10);

/// How long an attempt may be out of reach before the outcome of its job
/// counts as unknown: the lead's worker is disconnected and the work must not
/// be repeated, or no agent has reported the attempt that a record names.
pub const UNKNOWN_OUTCOME_TIMEOUT: Duration = Duration::from_mins(1);

/// How long an outcome is kept for callers that ask again.
pub const OUTCOME_RETENTION: Duration = Duration::from_mins(10);

/// The maximum number of ended jobs that are kept.
pub const MAX_RETAINED_OUTCOMES: usize = 2048;

/// How long a disconnected worker is kept before it is removed.
pub const WORKER_RETENTION: Duration = Duration::from_mins(10);

/// The interval between two scheduling passes when no other input triggers
/// one.
pub const PASS_INTERVAL: Duration = Duration::from_secs(1);

/// An input to the coordinator's state machine.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// An agent has connected.
    AgentUp(Worker),
    /// The stream to an agent has ended.
    AgentDown {
        /// The name of the worker.
        worker: String,
        /// The incarnation of its agent.
        incarnation: u64,
    },
    /// An agent has sent a message.
    Agent {
        /// The name of the worker.
        worker: String,
        /// The incarnation of its agent.
        incarnation: u64,
        /// The report on the worker or on one of its attempts.
        report: AgentReport,
    },
    /// An entry has sent a message.
    Entry {
        /// The incarnation of the entry.
        from: u64,
        /// The request, which concerns one job.
        request: JobRequest,
    },
    /// The result of an [`Action::MarkDispatched`].
    DispatchMarked {
        /// The attempt that the record was to name.
        run: Run,
        /// The record's new version, or why the record was not marked.
        result: Result<u64, MarkError>,
    },
    /// The result of an [`Action::SaveOutcome`].
    OutcomeSaved {
        /// The job whose outcome was to be written.
        job: JobId,
        /// Whether the outcome is in the store.
        ok: bool,
    },
    /// New settings apply from now on.
    Settings(Arc<Tree>),
    /// The process drains: no further job is placed.
    Drain,
}

/// Why a job's record was not marked as dispatched.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MarkError {
    /// Another entry has claimed the job in the meantime.
    Conflict,
    /// Another coordinator has dispatched the job in the meantime. Carries
    /// where it was dispatched and the record's version.
    Dispatched(crate::message::Dispatched, u64),
    /// The record already has an outcome.
    Ended(Outcome),
    /// The store did not answer.
    Unavailable,
}

/// A side effect that the caller of [`Coordinator::handle`] must carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send a message to an agent.
    ToAgent {
        /// The name of the worker.
        worker: String,
        /// What the agent is to do.
        request: AgentRequest,
    },
    /// Send a message to an entry.
    ToEntry {
        /// The incarnation of the entry.
        to: u64,
        /// The status or the outcome of a job.
        report: JobReport,
    },
    /// Mark a job's record as dispatched, then report the result with
    /// [`Input::DispatchMarked`].
    MarkDispatched {
        /// The attempt that the record is to name.
        run: Run,
        /// The version that the record must have.
        version: u64,
        /// The name of the lead's worker.
        lead: String,
        /// The incarnation of that worker's agent.
        incarnation: u64,
    },
    /// Write a job's outcome to its record, then report the result with
    /// [`Input::OutcomeSaved`].
    SaveOutcome {
        /// The job that has ended.
        job: JobId,
        /// The outcome to write.
        outcome: Outcome,
    },
    /// Record an event in the journal.
    RecordEvent(NewEvent),
}

/// The numbers of workers, accelerators and jobs that operators are shown.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Summary {
    /// The number of connected workers.
    pub workers: usize,
    /// The number of accelerators on workers that may be given work.
    pub accelerators: u32,
    /// The number of free accelerators on these workers.
    pub free: u32,
    /// The number of queued jobs.
    pub queued: usize,
    /// The number of jobs that may be running.
    pub running: usize,
}

/// The state of one coordinator, which makes the decisions for one cell.
pub struct Coordinator {
    term: u64,
    /// The number of attempts under this term. The next one is numbered after
    /// it.
    attempt_count: u32,
    now: Duration,
    tree: Arc<Tree>,
    /// The percentage of all accelerators that long work may use in any case.
    long_share: u32,
    /// The failure domains on whose workers nothing more is started.
    drains: Drains,
    cell: Cell,
    /// The workers whose agents are connected and have sent a full report.
    connected: BTreeSet<String>,
    /// The worker of the lead of each run.
    leads: BTreeMap<Run, String>,
    /// Since when each of these workers has been disconnected.
    disconnected: BTreeMap<String, Duration>,
    jobs: BTreeMap<JobId, JobState>,
    /// The jobs that have a current attempt.
    active: BTreeSet<JobId>,
    /// The ended jobs, oldest first.
    ended: std::collections::VecDeque<JobId>,
    queue: Queue,
    guarantees: Guarantees,
    run_times: RunTimeEstimator,
    health: Health,
    reservation: Option<Reservation>,
    /// When the rebuild window ends. Nothing is placed before.
    rebuild_until: Duration,
    /// The recent demand of short work, in hundredths of an accelerator; see
    /// [`Self::update_short_demand`].
    short_demand: u32,
    next_pass_at: Duration,
    /// When to run a pass for a job whose backoff has elapsed, or at the end
    /// of the rebuild window.
    wake_at: Option<Duration>,
    /// Whether [`Self::handle`] must run a scheduling pass.
    pass_needed: bool,
    draining: bool,
    actions: Vec<Action>,
}

impl Coordinator {
    /// Creates a coordinator that starts under `term`.
    #[must_use]
    pub fn new(now: Duration, term: u64, tree: Arc<Tree>) -> Self {
        let mut this = Self {
            term,
            attempt_count: 0,
            now,
            long_share: 100,
            drains: Drains::default(),
            guarantees: Guarantees::default(),
            tree: Arc::default(),
            cell: Cell::default(),
            connected: BTreeSet::new(),
            leads: BTreeMap::new(),
            disconnected: BTreeMap::new(),
            jobs: BTreeMap::new(),
            active: BTreeSet::new(),
            ended: std::collections::VecDeque::new(),
            queue: Queue::default(),
            run_times: RunTimeEstimator::default(),
            health: Health::default(),
            reservation: None,
            rebuild_until: now + REBUILD_WINDOW,
            short_demand: 0,
            next_pass_at: now,
            wake_at: Some(now + REBUILD_WINDOW),
            pass_needed: false,
            draining: false,
            actions: Vec::new(),
        };
        this.apply_settings(tree);
        this
    }

    /// Returns the coordinator's term.
    #[must_use]
    pub const fn term(&self) -> u64 {
        self.term
    }

    /// Returns the workers of the cell and what is allocated on them.
    #[must_use]
    pub const fn cell(&self) -> &Cell {
        &self.cell
    }

    /// Returns the known jobs.
    #[must_use]
    pub const fn jobs(&self) -> &BTreeMap<JobId, JobState> {
        &self.jobs
    }

    /// Returns the shapes guaranteed by the settings `tree` that do not fit
    /// the known workers.
    #[must_use]
    pub fn shortfalls(&self, tree: &Tree) -> Vec<Shortfall> {
        Guarantees::new(tree).shortfalls(&self.cell)
    }

    /// Returns the number of idle accelerators in a workspace's guarantee.
    #[must_use]
    pub fn idle_guarantee(&self, workspace: &str) -> u32 {
        self.guarantees.idle(workspace)
    }

    /// Returns whether every attempt that was begun has been handed to its
    /// agents. The next coordinator can't tell whether one of the others has
    /// started.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        !self.active.iter().any(|job| {
            let phase = self.jobs.get(job).map(|state| &state.phase);
            matches!(phase, Some(Phase::Marking(..) | Phase::Holding { .. }))
        })
    }

    /// Returns whether an outcome is not in its job's record yet. The next
    /// coordinator would take such a job to be running still.
    #[must_use]
    pub fn has_unsaved_outcomes(&self) -> bool {
        self.jobs
            .values()
            .any(|state| matches!(state.phase, Phase::Saving { .. }))
    }

    /// Returns the counts for operators.
    #[must_use]
    pub fn summary(&self) -> Summary {
        let running = self.jobs.values().filter(|j| j.is_started());
        Summary {
            workers: self.connected.len(),
            accelerators: self.cell.accelerators(),
            free: self.cell.free_accelerators(),
            queued: self.queue.len(),
            running: running.count(),
        }
    }

    /// Processes one input and returns the actions to carry out.
    pub fn handle(&mut self, now: Duration, input: Input) -> Vec<Action> {
        self.now = now;
        match input {
            Input::Tick => self.tick(now),
            Input::AgentUp(worker) => self.agent_up(&worker),
            Input::AgentDown {
                worker,
                incarnation,
            } => {
                self.agent_down(now, &worker, incarnation);
            }
            Input::Agent {
                worker,
                incarnation,
                report,
            } => {
                self.handle_agent_report(now, &worker, incarnation, report);
            }
            Input::Entry { from, request } => {
                self.handle_entry_request(now, from, request);
            }
            Input::DispatchMarked { run, result } => {
                self.handle_mark_result(now, run, result);
            }
            Input::OutcomeSaved { job, ok } => {
                self.handle_save_result(now, job, ok);
            }
            Input::Settings(tree) => self.apply_settings(tree),
            Input::Drain => self.draining = true,
        }
        if std::mem::take(&mut self.pass_needed) {
            self.schedule(now);
        }
        std::mem::take(&mut self.actions)
    }

    fn apply_settings(&mut self, tree: Arc<Tree>) {
        let old = std::mem::replace(&mut self.guarantees, {
            Guarantees::new(&tree)
        });
        self.long_share = tree.long_share();
        self.set_drains(tree.drained_domains());
        self.tree = tree;
        // Runs that have a claim on their workspace's guarantee claim it again
        // under the new settings. If these guarantee less, the runs for which
        // nothing is left continue without a claim, like unpromised work.
        let claimed_runs: Vec<Run> = self
            .jobs
            .values()
            .filter_map(|s| s.allocation().map(|a| a.run))
            .filter(|run| old.has_claim(*run))
            .collect();
        for run in claimed_runs {
            self.renew_claim(run);
        }
        self.pass_needed = true;
    }

    fn estimate(&self, state: &JobState) -> Estimate {
        let declared = state.job.as_ref().and_then(|j| j.declared);
        self.run_times.estimate(state.work_kind, declared)
    }

    fn next_attempt(&mut self) -> Attempt {
        self.attempt_count += 1;
        Attempt::new(self.term, self.attempt_count)
    }

    fn send_to_agent(&mut self, worker: &str, request: AgentRequest) {
        let worker = worker.to_owned();
        self.actions.push(Action::ToAgent { worker, request });
    }

    fn record_event(&mut self, code: Code, job: JobId, detail: &str) {
        self.actions
            .push(Action::RecordEvent(NewEvent::for_job(code, job, detail)));
    }

    fn record_worker_event(&mut self, code: Code, worker: &str) {
        let detail = format!("worker={worker}");
        self.actions
            .push(Action::RecordEvent(NewEvent::new(code, detail)));
    }

    fn tick(&mut self, now: Duration) {
        let jobs: Vec<JobId> = self.jobs.keys().copied().collect();
        for job in jobs {
            self.tick_job(now, job);
        }
        if now >= self.next_pass_at {
            self.next_pass_at = now + PASS_INTERVAL;
            self.update_short_demand(now);
            self.promote_borrowed();
            self.pass_needed = true;
        }
        self.wake_backed_off(now);
        self.evict_workers(now);
        self.evict_outcomes(now);
    }

    /// Triggers a pass once a requeued job's backoff has elapsed or the
    /// rebuild window has ended.
    fn wake_backed_off(&mut self, now: Duration) {
        if self.wake_at.is_some_and(|at| now >= at) {
            self.wake_at = None;
            self.pass_needed = true;
        }
    }

    /// Removes workers that have been disconnected for [`WORKER_RETENTION`].
    fn evict_workers(&mut self, now: Duration) {
        let expired: Vec<String> = self
            .disconnected
            .iter()
            .filter(|(_, since)| now >= **since + WORKER_RETENTION)
            .map(|(name, _)| name.clone())
            .collect();
        for name in expired {
            self.disconnected.remove(&name);
            self.health.remove(&name);
            if let Some(i) = self.cell.index(&name) {
                self.cell.retire(i);
            }
        }
    }

    /// Removes ended jobs after [`OUTCOME_RETENTION`], or earlier while there
    /// are more than [`MAX_RETAINED_OUTCOMES`].
    fn evict_outcomes(&mut self, now: Duration) {
        while let Some(job) = self.ended.front().copied() {
            let expired = match self.jobs.get(&job).map(|s| &s.phase) {
                Some(Phase::Ended { at, .. }) => {
                    now >= *at + OUTCOME_RETENTION
                }
                _ => true,
            };
            if !expired && self.ended.len() <= MAX_RETAINED_OUTCOMES {
                return;
            }
            self.ended.pop_front();
            self.acknowledge(job);
            self.jobs.remove(&job);
        }
    }

    /// Returns the number of free accelerators and, of these, the most that
    /// are in one rack. Together they show how fragmented the cell is.
    #[must_use]
    pub fn largest_block(&self) -> (u32, u32) {
        let largest = self.cell.largest_free_rack();
        (self.cell.free_accelerators(), largest)
    }

    /// Ends a job of which no attempt has run under this coordinator, with the
    /// reason `kind`. The outcome is unknown if another coordinator may have
    /// started it.
    fn end_not_run(&mut self, now: Duration, job: JobId, kind: Kind) {
        let maybe_started =
            self.jobs.get(&job).is_some_and(|s| s.maybe_started);
        let outcome = if maybe_started {
            Outcome::Unknown(kind)
        } else {
            Outcome::NotRun(kind)
        };
        self.end(now, job, outcome, None);
    }
}
