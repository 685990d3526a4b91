//! A model of upstreams that run tasks under leases, with their capacity,
//! gangs, checkpoints, stops and ended runs. It advances by a clock that the
//! caller passes in.
//!
//! The payload of a task controls its behaviour. It consists of words such as
//! `ms=2000`, `cpu=1000`, `mem=1000`, `gpu=2`, `gang=3`, `fail` and `hang`.

use std::collections::BTreeMap;

use figrill_state::{
    batch::{Incarnation, Resources, TaskId},
    runner::{
        ActiveRun, EndedRun, Refusal, RunEnd, Snapshot, StartOrder,
        StartOutcome, UpstreamState,
    },
};

mod checks;
mod task_spec;

use checks::Success;
pub use checks::Violation;
pub use task_spec::TaskSpec;

/// How long the started members of a gang wait for the others before they end,
/// in milliseconds.
const GANG_TIMEOUT_MS: u64 = 3000;

/// How long a run takes to stop, in milliseconds.
const STOP_DELAY_MS: u64 = 200;

/// The maximum duration of a lease, in milliseconds.
const MAX_LEASE_MS: u64 = 10_000;

/// The maximum number of ended runs in one snapshot.
const MAX_LISTED_ENDS: usize = 500;

/// The amount of work between two checkpoints, in milliseconds.
const CHECKPOINT_INTERVAL_MS: u64 = 500;

#[derive(Clone, Debug)]
struct Run {
    number: u32,
    spec: TaskSpec,
    started_ms: u64,
    /// The work done so far, in milliseconds.
    progress_ms: u64,
    stop_at_ms: Option<u64>,
    /// The time since its start, in milliseconds, after which it fails without
    /// progress.
    fails_after_ms: Option<u64>,
}

impl Run {
    /// Returns whether a run has failed after `waited` milliseconds, by its
    /// own fault or that of its node.
    fn has_failed(&self, task: TaskId, waited: u64) -> bool {
        let completed = self.progress_ms >= self.spec.duration_ms;
        completed && self.spec.fails
            || self.fails_after_ms.is_some_and(|ms| waited >= ms)
            || self.spec.has_fault(task, self.number, self.progress_ms)
    }
}

/// One upstream.
#[derive(Clone, Debug)]
pub struct Node {
    /// The description that the upstream reports of itself.
    pub upstream: UpstreamState,
    /// Whether the upstream can be reached.
    pub reachable: bool,
    /// Whether every task fails once its work is complete.
    pub fails_all: bool,
    /// The time, in milliseconds, after which every run that starts now fails
    /// without progress.
    pub fails_after_ms: Option<u64>,
    /// Whether every start is refused, as by an unhealthy upstream.
    pub refuses_starts: bool,
    /// The speed in percent of the normal speed.
    pub speed_percent: u64,
    /// Since when its VM has been suspended, in milliseconds; `None` if it is
    /// not.
    suspended_since_ms: Option<u64>,
    /// For how long its VM had been suspended before, in milliseconds.
    suspended_ms: u64,
    /// The highest fencing token seen; calls with a lower one are refused.
    fencing_token: u64,
    /// When the lease of all runs expires, on the clock of the incarnation.
    lease_end_ms: u64,
    /// When the lease of all runs had last expired, on the pool's clock.
    last_expiry_ms: Option<u64>,
    runs: BTreeMap<TaskId, Run>,
    ended: Vec<EndedRun>,
    /// The number of the last element of `ended`, counted from 1 in each
    /// incarnation.
    last_end_number: u64,
    /// The highest run of each task that has ended or was stopped. It and
    /// earlier runs are not started.
    stale_runs: BTreeMap<TaskId, u32>,
}

impl Node {
    /// Creates an upstream that runs nothing.
    #[must_use]
    pub fn new(upstream: UpstreamState) -> Self {
        Self {
            upstream,
            reachable: true,
            fails_all: false,
            fails_after_ms: None,
            refuses_starts: false,
            speed_percent: 100,
            suspended_since_ms: None,
            suspended_ms: 0,
            fencing_token: 0,
            lease_end_ms: 0,
            last_expiry_ms: None,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            last_end_number: 0,
            stale_runs: BTreeMap::new(),
        }
    }

    /// Suspends its VM, so that its clock and its runs stand still, or resumes
    /// it.
    pub fn set_suspended(&mut self, now_ms: u64, suspended: bool) {
        if suspended {
            self.suspended_since_ms.get_or_insert(now_ms);
        } else if let Some(since_ms) = self.suspended_since_ms.take() {
            self.suspended_ms += now_ms.saturating_sub(since_ms);
        }
    }

    const fn is_suspended(&self) -> bool {
        self.suspended_since_ms.is_some()
    }

    /// Returns the time on its steady clock, in milliseconds since the start
    /// of the incarnation.
    fn clock(&self, now_ms: u64) -> u64 {
        self.suspended_since_ms
            .unwrap_or(now_ms)
            .saturating_sub(self.upstream.incarnation.born_ms)
            .saturating_sub(self.suspended_ms)
    }

    fn used(&self) -> Resources {
        let mut used = Resources::default();
        for run in self.runs.values() {
            used = used.plus(&run.spec.resources);
        }
        used
    }

    /// Ends the run of a task and returns its number.
    fn end(&mut self, task: TaskId, end: RunEnd) -> Option<u32> {
        let run = self.runs.remove(&task)?;
        self.last_end_number += 1;
        let last_stale = self.stale_runs.entry(task).or_insert(0);
        *last_stale = (*last_stale).max(run.number);
        self.ended.push(EndedRun {
            number: self.last_end_number,
            task,
            run: run.number,
            end,
            checkpoint: checkpoint(&run),
        });
        Some(run.number)
    }
}

/// Returns the progress that the last checkpoint of a run has saved, in
/// milliseconds as text, or an empty string if there is no checkpoint yet.
fn checkpoint(run: &Run) -> String {
    let saved =
        run.progress_ms / CHECKPOINT_INTERVAL_MS * CHECKPOINT_INTERVAL_MS;
    if saved == 0 {
        return String::new();
    }
    format!("{saved}")
}

/// A set of upstreams. Each knows which members of a gang run at the others.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// The upstreams by the name of their agent.
    pub nodes: BTreeMap<String, Node>,
    /// The violations that the upstreams have observed.
    pub violations: Vec<Violation>,
    /// The starts and ends of all runs and the restarts of upstreams, in
    /// order. Each line begins with the time in milliseconds and ends with the
    /// agent.
    pub trace: Vec<String>,
    /// The run of each task whose success the caller has acknowledged.
    acknowledged_runs: BTreeMap<TaskId, u32>,
    /// The successful runs.
    successes: BTreeMap<(TaskId, u32), Success>,
    /// The length of the trace at the last start of each task.
    last_starts: BTreeMap<TaskId, usize>,
}

impl Pool {
    /// Starts a run at an upstream.
    pub fn start(
        &mut self,
        now_ms: u64,
        agent: &str,
        incarnation: &Incarnation,
        start: &StartOrder,
    ) -> StartOutcome {
        let Some(node) = self.nodes.get_mut(agent) else {
            return StartOutcome::Unknown;
        };
        let clock_ms = node.clock(now_ms);
        if node.upstream.incarnation != *incarnation {
            return StartOutcome::Refused(Refusal::OtherIncarnation);
        }
        if node.refuses_starts {
            return StartOutcome::Refused(Refusal::Unhealthy);
        }
        if start.token < node.fencing_token {
            return StartOutcome::Refused(Refusal::Fenced);
        }
        node.fencing_token = start.token;
        // Also a start that is refused below extends the lease.
        let lease = start.deadline_ms.min(clock_ms + MAX_LEASE_MS);
        node.lease_end_ms = node.lease_end_ms.max(lease);
        if node
            .runs
            .get(&start.task)
            .is_some_and(|r| r.number == start.run)
        {
            return StartOutcome::Running { clock_ms };
        }
        let last_stale =
            node.stale_runs.get(&start.task).copied().unwrap_or(0);
        if start.run <= last_stale {
            return StartOutcome::Refused(Refusal::StaleRun);
        }
        if clock_ms > start.deadline_ms {
            return StartOutcome::Refused(Refusal::DeadlinePassed);
        }
        let spec = TaskSpec::of_task(&start.payload, start.task.index);
        let capacity = node.upstream.capacity;
        if !capacity.fits(&node.used().plus(&spec.resources)) {
            self.record_violation(format!(
                "{} exceeds the remaining capacity of {agent}",
                start.task
            ));
            return StartOutcome::Refused(Refusal::NoCapacity);
        }
        let run = Run {
            number: start.run,
            spec,
            started_ms: now_ms,
            progress_ms: start.checkpoint.parse().unwrap_or(0),
            stop_at_ms: None,
            fails_after_ms: node.fails_after_ms,
        };
        let earlier_run = node.runs.insert(start.task, run);
        self.last_starts.insert(start.task, self.trace.len());
        self.trace.push(format!(
            "{now_ms} start {}/{} {agent}",
            start.task, start.run
        ));
        if earlier_run.is_some() {
            self.record_violation(format!(
                "{} runs more than once",
                start.task
            ));
        }
        self.check_start(start.task, start.run);
        StartOutcome::Running { clock_ms }
    }

    /// Stops a run at an upstream. If the run is not there, it can no longer
    /// be started there either.
    pub fn stop(
        &mut self,
        now_ms: u64,
        agent: &str,
        task: TaskId,
        run: u32,
        token: u64,
    ) {
        let Some(node) = self.nodes.get_mut(agent) else {
            return;
        };
        if token < node.fencing_token {
            return;
        }
        node.fencing_token = token;
        match node.runs.get_mut(&task) {
            Some(running) if running.number == run => {
                running.stop_at_ms.get_or_insert(now_ms + STOP_DELAY_MS);
            }
            _ => {
                let last_stale = node.stale_runs.entry(task).or_insert(0);
                *last_stale = (*last_stale).max(run);
            }
        }
    }

    /// Extends the lease of an upstream's runs to `deadline_ms`, drops the
    /// ended runs up to the number `acknowledged`, and returns the active runs
    /// and the first [`MAX_LISTED_ENDS`] of the remaining ended ones.
    ///
    /// Returns `None` if the agent is unknown or `token` is fenced.
    pub fn hold(
        &mut self,
        now_ms: u64,
        agent: &str,
        token: u64,
        acknowledged: u64,
        deadline_ms: Option<u64>,
    ) -> Option<Snapshot> {
        let node = self.nodes.get_mut(agent)?;
        if token < node.fencing_token {
            return None;
        }
        node.fencing_token = token;
        let clock_ms = node.clock(now_ms);
        if let Some(deadline) = deadline_ms {
            let lease = deadline.min(clock_ms + MAX_LEASE_MS);
            node.lease_end_ms = node.lease_end_ms.max(lease);
        }
        let last_expiry_ms = node.last_expiry_ms;
        let is_acknowledged = |e: &EndedRun| e.number <= acknowledged;
        let (forgotten, open): (Vec<_>, Vec<_>) =
            std::mem::take(&mut node.ended)
                .into_iter()
                .partition(is_acknowledged);
        node.ended = open;
        let running = node.runs.iter().map(|(task, run)| ActiveRun {
            task: *task,
            run: run.number,
            checkpoint: checkpoint(run),
            percent: percent(run),
        });
        let snapshot = Snapshot {
            born_ms: node.upstream.incarnation.born_ms,
            clock_ms,
            running: running.collect(),
            ended: node.ended.iter().take(MAX_LISTED_ENDS).cloned().collect(),
        };
        for ended in forgotten {
            self.record_acknowledgement(&ended, last_expiry_ms);
        }
        Some(snapshot)
    }

    /// Advances all runs by `step_ms` and ends those that are over at
    /// `now_ms`.
    pub fn advance(&mut self, now_ms: u64, step_ms: u64) {
        self.advance_runs(step_ms);
        self.end_finished_runs(now_ms);
        self.end_gangs(now_ms);
    }

    /// Returns the current runs of the members of a gang.
    fn members(&self, task: TaskId, run: u32) -> impl Iterator<Item = &Run> {
        let same = move |id: &TaskId, r: &Run| {
            id.job == task.job
                && id.occurrence == task.occurrence
                && id.step == task.step
                && r.number == run
        };
        let all = self.nodes.values().flat_map(|n| n.runs.iter());
        all.filter(move |(id, r)| same(id, r)).map(|(_, r)| r)
    }

    fn count_members(&self, task: TaskId, run: u32) -> u32 {
        u32::try_from(self.members(task, run).count()).unwrap_or(u32::MAX)
    }

    fn advance_runs(&mut self, step_ms: u64) {
        let mut advancing = Vec::new();
        let awake = self.nodes.iter().filter(|(_, n)| !n.is_suspended());
        for (agent, node) in awake {
            for (task, run) in &node.runs {
                let gang_complete = run.spec.gang_size == 0
                    || self.count_members(*task, run.number)
                        >= run.spec.gang_size;
                if gang_complete
                    && !run.spec.hangs
                    && run.fails_after_ms.is_none()
                {
                    advancing.push((agent.clone(), *task));
                }
            }
        }
        for (agent, task) in advancing {
            let Some(node) = self.nodes.get_mut(&agent) else {
                continue;
            };
            let step_ms = step_ms * node.speed_percent / 100;
            if let Some(run) = node.runs.get_mut(&task) {
                run.progress_ms =
                    (run.progress_ms + step_ms).min(run.spec.duration_ms);
            }
        }
    }

    fn end_finished_runs(&mut self, now_ms: u64) {
        let mut ends = Vec::new();
        for node in self.nodes.values_mut() {
            if node.clock(now_ms) > node.lease_end_ms {
                node.last_expiry_ms = Some(now_ms);
            }
        }
        let awake = self.nodes.iter().filter(|(_, n)| !n.is_suspended());
        for (agent, node) in awake {
            let clock = node.clock(now_ms);
            for (task, run) in &node.runs {
                let completed = run.progress_ms >= run.spec.duration_ms;
                let gang_complete = run.spec.gang_size == 0
                    || self.count_members(*task, run.number)
                        >= run.spec.gang_size;
                let waited = now_ms.saturating_sub(run.started_ms);
                let end = if clock > node.lease_end_ms {
                    Some(RunEnd::Lapsed)
                } else if run.stop_at_ms.is_some_and(|at| now_ms >= at) {
                    Some(RunEnd::Stopped)
                } else if run.has_failed(*task, waited)
                    || completed && node.fails_all
                {
                    Some(RunEnd::Failed)
                } else if completed && run.spec.gang_size == 0 {
                    Some(RunEnd::Done)
                } else if !gang_complete && waited > GANG_TIMEOUT_MS {
                    Some(RunEnd::GangIncomplete)
                } else {
                    None
                };
                if let Some(end) = end {
                    ends.push((agent.clone(), *task, end));
                }
            }
        }
        for (agent, task, end) in ends {
            self.end_run(now_ms, &agent, task, end);
        }
    }

    fn end_run(
        &mut self,
        now_ms: u64,
        agent: &str,
        task: TaskId,
        end: RunEnd,
    ) {
        let Some(node) = self.nodes.get_mut(agent) else {
            return;
        };
        let run = node.end(task, end);
        if let (Some(run), RunEnd::Done) = (run, end) {
            self.record_success(now_ms, task, run);
        }
        let outcome = end.name();
        self.trace
            .push(format!("{now_ms} {outcome} {task} {agent}"));
    }

    /// Ends gangs: a gang whose members have all completed their work is done,
    /// and a gang that has started and lost a member is broken.
    fn end_gangs(&mut self, now_ms: u64) {
        let mut ends = Vec::new();
        for (agent, node) in &self.nodes {
            for (task, run) in
                node.runs.iter().filter(|(_, r)| r.spec.gang_size > 0)
            {
                let members = self.count_members(*task, run.number);
                let mut all = self.members(*task, run.number);
                let all_completed =
                    all.all(|r| r.progress_ms >= r.spec.duration_ms);
                let started = run.progress_ms > 0;
                if members < run.spec.gang_size && started {
                    ends.push((agent.clone(), *task, RunEnd::GangBroken));
                } else if started && all_completed {
                    ends.push((agent.clone(), *task, RunEnd::Done));
                }
            }
        }
        for (agent, task, end) in ends {
            self.end_run(now_ms, &agent, task, end);
        }
    }

    /// Crashes an upstream and restarts it at once, as a new incarnation
    /// without runs.
    pub fn restart_upstream(&mut self, now_ms: u64, agent: &str) {
        if let Some(node) = self.nodes.get_mut(agent) {
            let mut upstream = node.upstream.clone();
            // Two incarnations of one name differ in their start.
            let earliest = upstream.incarnation.born_ms + 1;
            upstream.incarnation.born_ms = now_ms.max(earliest);
            upstream.sequence = 0;
            *node = Node::new(upstream);
            self.trace.push(format!("{now_ms} crashed {agent}"));
        }
    }
}

fn percent(run: &Run) -> u32 {
    let percent = run.progress_ms * 100 / run.spec.duration_ms.max(1);
    u32::try_from(percent.min(100)).unwrap_or(100)
}
