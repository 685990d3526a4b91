//! The coordinator of a cell: orders waiting jobs, places them and sees
//! each to an outcome.
//!
//! Its state is soft. Agents hold the truth; a new coordinator collects
//! their reports for [`REBUILD`] before it places anything, and learns of
//! waiting jobs from the entries, which submit them again.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use figrill_state::{
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
use cell::{Cell, View};
use guarantee::{Guarantees, Shortfall};
use health::Health;
use job_state::{JobState, Phase};
use queue::Queue;
use schedule::Reservation;

/// How long a new coordinator listens to agents before it places jobs.
pub const REBUILD: Duration = Duration::from_secs(1);

/// How long agents may take to hold.
pub const HOLD_WAIT: Duration = Duration::from_secs(2);

/// How long an agent keeps a hold of which it hears no more.
pub const HOLD_TTL: Duration = Duration::from_secs(4);

/// How long a worker may be away before its repeatable work goes elsewhere.
pub const LEAD_LOST_AFTER: Duration = Duration::from_secs(10);

/// How long a worker may be away before work that may not be repeated
/// counts as unknown.
pub const UNKNOWN_AFTER: Duration = Duration::from_mins(1);

/// How long an outcome is kept for callers that come back.
pub const OUTCOME_KEPT: Duration = Duration::from_mins(10);

/// The most ended jobs that are kept.
pub const OUTCOMES_MAX: usize = 2048;

/// How long a worker may be away before it is forgotten.
pub const FORGET_AFTER: Duration = Duration::from_mins(10);

/// Time between two passes over the queue when nothing else happens.
pub const PASS_EVERY: Duration = Duration::from_secs(1);

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
    Saved {
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
    Mark {
        /// The attempt.
        run: Run,
        /// The version that the record must have.
        version: u64,
        /// The worker of the lead.
        lead: String,
        /// The incarnation of that worker's agent.
        incarnation: u64,
    },
    /// Write a job's outcome to its record, then say [`Input::Saved`].
    Save {
        /// The job.
        job: JobId,
        /// The outcome.
        outcome: Outcome,
    },
    /// Something for the time line.
    Note(NewEvent),
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
    count: u32,
    now: Duration,
    tree: Arc<Tree>,
    long_share: u32,
    cell: Cell,
    connected: BTreeSet<String>,
    leads: BTreeMap<Run, String>,
    away: BTreeMap<String, Duration>,
    jobs: BTreeMap<JobId, JobState>,
    active: BTreeSet<JobId>,
    ended: std::collections::VecDeque<JobId>,
    queue: Queue,
    guarantees: Guarantees,
    learner: RunTimeEstimator,
    health: Health,
    reservation: Option<Reservation>,
    rebuild_until: Duration,
    short_demand: u32,
    next_pass: Duration,
    wake: Option<Duration>,
    changed: bool,
    out: Vec<Action>,
}

impl Coordinator {
    /// A coordinator that starts under `term`.
    #[must_use]
    pub fn new(now: Duration, term: u64, tree: Arc<Tree>) -> Self {
        let mut this = Self {
            term,
            count: 0,
            now,
            long_share: 100,
            guarantees: Guarantees::default(),
            tree: Arc::default(),
            cell: Cell::default(),
            connected: BTreeSet::new(),
            leads: BTreeMap::new(),
            away: BTreeMap::new(),
            jobs: BTreeMap::new(),
            active: BTreeSet::new(),
            ended: std::collections::VecDeque::new(),
            queue: Queue::default(),
            learner: RunTimeEstimator::default(),
            health: Health::default(),
            reservation: None,
            rebuild_until: now + REBUILD,
            short_demand: 0,
            next_pass: now,
            wake: Some(now + REBUILD),
            changed: false,
            out: Vec::new(),
        };
        this.adopt(tree);
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
            Input::Saved { job, ok } => self.saved(now, job, ok),
            Input::Settings(tree) => self.adopt(tree),
        }
        if std::mem::take(&mut self.changed) {
            self.schedule(now);
        }
        std::mem::take(&mut self.out)
    }

    fn adopt(&mut self, tree: Arc<Tree>) {
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
            .filter_map(|s| s.booking().map(|b| b.run))
            .filter(|run| old.holds(*run))
            .collect();
        for run in own {
            self.claim_again(run);
        }
        self.changed = true;
    }

    fn claim_again(&mut self, run: Run) {
        let Some(state) = self.jobs.get(&run.job) else {
            return;
        };
        if let Some(claim) = self.claim_of(state) {
            self.guarantees.claim(run, claim);
        }
    }

    fn estimate(&self, state: &JobState) -> Estimate {
        let declared = state.job.as_ref().and_then(|j| j.declared);
        self.learner.estimate(state.kind, declared)
    }

    fn next_attempt(&mut self) -> Attempt {
        self.count += 1;
        Attempt::new(self.term, self.count)
    }

    fn tell_agent(&mut self, worker: &str, request: AgentRequest) {
        let worker = worker.to_owned();
        self.out.push(Action::ToAgent { worker, request });
    }

    fn note(&mut self, code: Code, job: JobId, detail: &str) {
        self.out
            .push(Action::Note(NewEvent::for_job(code, job, detail)));
    }

    fn note_worker(&mut self, code: Code, worker: &str) {
        let detail = format!("worker={worker}");
        self.out.push(Action::Note(NewEvent::new(code, detail)));
    }

    fn tick(&mut self, now: Duration) {
        let jobs: Vec<JobId> = self.jobs.keys().copied().collect();
        for job in jobs {
            self.tick_job(now, job);
        }
        if now >= self.next_pass {
            self.next_pass = now + PASS_EVERY;
            self.watch_short_demand(now);
            self.promote();
            self.changed = true;
        }
        self.wake_waiting(now);
        self.forget_workers(now);
        self.forget_jobs(now);
    }

    /// Jobs that were told to wait for a moment may be placed again.
    fn wake_waiting(&mut self, now: Duration) {
        if self.wake.is_some_and(|at| now >= at) {
            self.wake = None;
            self.changed = true;
        }
    }

    fn forget_workers(&mut self, now: Duration) {
        let gone: Vec<String> = self
            .away
            .iter()
            .filter(|(_, since)| now >= **since + FORGET_AFTER)
            .map(|(name, _)| name.clone())
            .collect();
        for name in gone {
            self.away.remove(&name);
            self.health.forget(&name);
            if let Some(i) = self.cell.index(&name) {
                self.cell.forget(i);
            }
        }
    }

    fn forget_jobs(&mut self, now: Duration) {
        while let Some(job) = self.ended.front().copied() {
            let old = match self.jobs.get(&job).map(|s| &s.phase) {
                Some(Phase::Ended { at, .. }) => now >= *at + OUTCOME_KEPT,
                _ => true,
            };
            if !old && self.ended.len() <= OUTCOMES_MAX {
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
                let rooms = rack.iter().map(|i| nodes[*i].room(View::Free));
                rooms.map(|room| room.accelerators).sum()
            })
            .max();
        (self.cell.free_accelerators(), largest.unwrap_or(0))
    }

    /// Ends a job that was refused or cancelled before it started here. If
    /// another coordinator may have started it, nobody knows.
    fn end_not_run(&mut self, now: Duration, job: JobId, kind: Kind) {
        let tried = self.jobs.get(&job).is_some_and(|s| s.tried);
        let outcome = if tried {
            Outcome::Unknown(kind)
        } else {
            Outcome::NotRun(kind)
        };
        self.end(now, job, outcome, None);
    }
}
