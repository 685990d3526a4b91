//! The coordinator of a cell: orders waiting jobs, places them and sees
//! each to an outcome.
//!
//! Its state is soft. Agents hold the truth; a new coordinator collects
//! their reports for [`REBUILD_WINDOW`] before it places anything, and learns of
//! waiting jobs from the entries, which submit them again.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use figrill_state::{
    error::Kind,
    event::{Code, Note},
    job::{Attempt, JobId, Outcome},
    settings::Tree,
    worker::Worker,
};

use crate::message::{AgentReport, AgentRequest, JobReport, JobRequest, Run};

pub mod attempts;
mod bands;
pub mod cell;
mod choose;
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

use crate::learn::{Estimate, Learner};
use cell::{CapacityView, Cell};
use guarantee::{Guarantees, Shortfall};
use health::Health;
use job_state::{JobState, Phase};
use queue::Queue;
use schedule::Reservation;

/// How long a new coordinator listens to agents before it places jobs.
pub const REBUILD_WINDOW: Duration = Duration::from_secs(1);

/// How long agents may take to hold.
pub const HOLD_TIMEOUT: Duration = Duration::from_secs(2);

/// How long an agent keeps a hold of which it hears no more.
pub const HOLD_TTL: Duration = Duration::from_secs(4);

/// How long a worker may be away before its repeatable work goes elsewhere.
pub const LEAD_LOST_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a worker may be away before work that may not be repeated
/// counts as unknown.
pub const UNKNOWN_OUTCOME_TIMEOUT: Duration = Duration::from_mins(1);

/// How long an outcome is kept for callers that come back.
pub const OUTCOME_RETENTION: Duration = Duration::from_mins(10);

/// The most ended jobs that are kept.
pub const MAX_RETAINED_OUTCOMES: usize = 2048;

/// How long a worker may be away before it is forgotten.
pub const WORKER_RETENTION: Duration = Duration::from_mins(10);

/// Time between two passes over the queue when nothing else happens.
pub const PASS_INTERVAL: Duration = Duration::from_secs(1);

/// What happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time passed.
    Tick,
    /// An agent is connected.
    AgentUp(Worker),
    /// The stream to an agent ended.
    AgentDown {
        /// The worker.
        worker: String,
        /// The incarnation of its agent.
        incarnation: u64,
    },
    /// An agent's message.
    Agent {
        /// The worker.
        worker: String,
        /// The incarnation of its agent.
        incarnation: u64,
        /// The message.
        report: AgentReport,
    },
    /// An entry's message; `from` is its incarnation.
    Entry {
        /// The incarnation of the entry.
        from: u64,
        /// The message.
        request: JobRequest,
    },
    /// A job's record was marked as dispatched, or not.
    Marked {
        /// The attempt.
        run: Run,
        /// The record's new version.
        result: Result<u64, MarkError>,
    },
    /// A job's outcome was written to its record, or not.
    OutcomeSaved {
        /// The job.
        job: JobId,
        /// Whether it stands in the store.
        ok: bool,
    },
    /// Settings to follow from now on.
    Settings(Arc<Tree>),
}

/// Why a record was not marked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MarkError {
    /// Another entry has claimed the job meanwhile.
    Conflict,
    /// Another coordinator has dispatched it meanwhile; with the record's
    /// version.
    Dispatched(crate::message::Dispatched, u64),
    /// It has ended meanwhile.
    Ended(Outcome),
    /// The store did not answer.
    Unavailable,
}

/// What to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send to an agent.
    ToAgent {
        /// The worker.
        worker: String,
        /// The message.
        request: AgentRequest,
    },
    /// Send to an entry.
    ToEntry {
        /// The incarnation of the entry.
        to: u64,
        /// The message.
        report: JobReport,
    },
    /// Mark a job's record as dispatched, then say [`Input::Marked`].
    MarkDispatched {
        /// The attempt.
        run: Run,
        /// The version that the record must have.
        version: u64,
        /// The worker of the lead.
        lead: String,
        /// The incarnation of that worker's agent.
        incarnation: u64,
    },
    /// Write a job's outcome to its record, then say [`Input::OutcomeSaved`].
    SaveOutcome {
        /// The job.
        job: JobId,
        /// The outcome.
        outcome: Outcome,
    },
    /// Something for the time line.
    Note(Note),
}

/// Numbers for operators.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Summary {
    /// Workers that are connected.
    pub workers: usize,
    /// Accelerators that may get work.
    pub accelerators: u32,
    /// Accelerators that are free.
    pub free: u32,
    /// Jobs that wait.
    pub queued: usize,
    /// Jobs that may be running.
    pub running: usize,
}

/// The decisions of one coordinator.
pub struct Coordinator {
    term: u64,
    attempt_count: u32,
    now: Duration,
    tree: Arc<Tree>,
    long_share: u32,
    cell: Cell,
    connected: BTreeSet<String>,
    leads: BTreeMap<Run, String>,
    disconnected: BTreeMap<String, Duration>,
    jobs: BTreeMap<JobId, JobState>,
    active: BTreeSet<JobId>,
    ended: std::collections::VecDeque<JobId>,
    queue: Queue,
    guarantees: Guarantees,
    learner: Learner,
    health: Health,
    reservation: Option<Reservation>,
    rebuild_until: Duration,
    short_demand: u32,
    next_pass_at: Duration,
    wake_at: Option<Duration>,
    pass_needed: bool,
    actions: Vec<Action>,
}

impl Coordinator {
    /// A coordinator that starts under `term`.
    #[must_use]
    pub fn new(now: Duration, term: u64, tree: Arc<Tree>) -> Self {
        let mut this = Self {
            term,
            attempt_count: 0,
            now,
            long_share: 100,
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
            learner: Learner::default(),
            health: Health::default(),
            reservation: None,
            rebuild_until: now + REBUILD_WINDOW,
            short_demand: 0,
            next_pass_at: now,
            wake_at: Some(now + REBUILD_WINDOW),
            pass_needed: false,
            actions: Vec::new(),
        };
        this.apply_settings(tree);
        this
    }

    /// Its term.
    #[must_use]
    pub const fn term(&self) -> u64 {
        self.term
    }

    /// The books of its cell.
    #[must_use]
    pub const fn cell(&self) -> &Cell {
        &self.cell
    }

    /// The jobs that it knows.
    #[must_use]
    pub const fn jobs(&self) -> &BTreeMap<JobId, JobState> {
        &self.jobs
    }

    /// Guaranteed shapes that would not fit the workers that it knows.
    #[must_use]
    pub fn shortfalls(&self, tree: &Tree) -> Vec<Shortfall> {
        Guarantees::new(tree).shortfalls(&self.cell)
    }

    /// Accelerators of a workspace's guarantee that are idle.
    #[must_use]
    pub fn idle_guarantee(&self, workspace: &str) -> u32 {
        self.guarantees.idle(workspace)
    }

    /// Numbers for operators.
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

    /// Takes an input and says what to do.
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
                self.agent(now, &worker, incarnation, report);
            }
            Input::Entry { from, request } => self.entry(now, from, request),
            Input::Marked { run, result } => self.marked(now, run, result),
            Input::OutcomeSaved { job, ok } => self.saved(now, job, ok),
            Input::Settings(tree) => self.apply_settings(tree),
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
        self.tree = tree;
        // What runs on its workspace's guarantee claims it anew; where the
        // new tree promises less, it goes on as unpromised work.
        let own: Vec<Run> = self
            .jobs
            .values()
            .filter_map(|s| s.allocation().map(|a| a.run))
            .filter(|run| old.has_claim(*run))
            .collect();
        for run in own {
            self.renew_claim(run);
        }
        self.pass_needed = true;
    }

    fn renew_claim(&mut self, run: Run) {
        let Some(state) = self.jobs.get(&run.job) else {
            return;
        };
        if let Some(claim) = self.find_claim(state) {
            self.guarantees.claim(run, claim);
        }
    }

    fn estimate(&self, state: &JobState) -> Estimate {
        let declared = state.job.as_ref().and_then(|j| j.declared);
        self.learner.estimate(state.work_kind, declared)
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
            .push(Action::Note(Note::of_job(code, job, detail)));
    }

    fn record_worker_event(&mut self, code: Code, worker: &str) {
        let detail = format!("worker={worker}");
        self.actions.push(Action::Note(Note::new(code, detail)));
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

    /// Jobs that were told to wait for a moment may be placed again.
    fn wake_backed_off(&mut self, now: Duration) {
        if self.wake_at.is_some_and(|at| now >= at) {
            self.wake_at = None;
            self.pass_needed = true;
        }
    }

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

    /// Free accelerators, and those of the largest gang of one rack that
    /// would fit now: how fragmented the cell is.
    #[must_use]
    pub fn largest_block(&self) -> (u32, u32) {
        let nodes = self.cell.nodes();
        let racks =
            self.cell.groups(figrill_state::job::Adjacency::Rack).iter();
        let largest = racks
            .map(|rack| {
                let capacities = rack
                    .iter()
                    .map(|i| nodes[*i].remaining(CapacityView::Free));
                capacities.map(|capacity| capacity.accelerators).sum()
            })
            .max();
        (self.cell.free_accelerators(), largest.unwrap_or(0))
    }

    /// Ends a job that was refused or cancelled before it started here. If
    /// another coordinator may have started it, nobody knows.
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
