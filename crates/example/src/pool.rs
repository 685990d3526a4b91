//! A model of upstreams that run tasks under leases: their room, gangs,
//! checkpoints, stops and ends, moved by a clock that is passed in.
//!
//! A task's payload says what it does: words such as `ms=2000`, `cpu=1000`,
//! `gpu=2`, `gang=3`, `fail` or `hang`.

use std::collections::BTreeMap;

use figrill_state::{
    batch::{Incarnation, Resources, TaskId},
    runner::{
        ActiveRun, EndedRun, Refusal, RunEnd, Snapshot, StartOrder,
        StartOutcome, Upstream,
    },
};

/// How long members of a gang wait for the rest, in milliseconds.
const GANG_WAIT_MS: u64 = 3000;

/// How long a stop takes, in milliseconds.
const STOP_MS: u64 = 200;

/// The longest lease, in milliseconds.
const HOLD_MAX_MS: u64 = 10_000;

/// Work after which a new checkpoint is there, in milliseconds.
const CHECKPOINT_MS: u64 = 500;

/// What a payload asks for.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Work {
    /// How long it works.
    pub ms: u64,
    /// What it occupies.
    pub needs: Resources,
    /// Members of its gang; 0: it runs alone.
    pub gang: u32,
    /// Whether it fails once it has worked.
    pub fails: bool,
    /// Whether it never gets on.
    pub hangs: bool,
}

impl Work {
    /// Reads a payload; unknown words do nothing.
    #[must_use]
    pub fn parse(payload: &str) -> Self {
        let mut work = Self {
            ms: 100,
            ..Self::default()
        };
        for word in payload.split_whitespace() {
            let (name, value) = word.split_once('=').unwrap_or((word, "0"));
            let value: u64 = value.parse().unwrap_or(0);
            match name {
                "ms" => work.ms = value,
                "cpu" => work.needs.cpu_milli = value,
                "mem" => work.needs.memory_mib = value,
                "gpu" => work.needs.accelerators = value,
                "gang" => work.gang = u32::try_from(value).unwrap_or(0),
                "fail" => work.fails = true,
                "hang" => work.hangs = true,
                _ => {}
            }
        }
        work
    }
}

#[derive(Clone, Debug)]
struct Run {
    number: u32,
    work: Work,
    since_ms: u64,
    /// Work that is done, in milliseconds.
    done_ms: u64,
    stops_at_ms: Option<u64>,
}

/// Something that a caller of the pool should never see.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Violation(pub String);

/// One upstream.
#[derive(Clone, Debug)]
pub struct Node {
    /// What it says of itself.
    pub upstream: Upstream,
    /// Whether it can be reached.
    pub reachable: bool,
    /// Whether all that starts here fails.
    pub fails_all: bool,
    /// How fast it works, in percent of the usual.
    pub speed_percent: u64,
    token: u64,
    lease_ms: u64,
    runs: BTreeMap<TaskId, Run>,
    ended: Vec<EndedRun>,
    number: u64,
    barred: BTreeMap<TaskId, u32>,
}

impl Node {
    /// An empty upstream.
    #[must_use]
    pub fn new(upstream: Upstream) -> Self {
        Self {
            upstream,
            reachable: true,
            fails_all: false,
            speed_percent: 100,
            token: 0,
            lease_ms: 0,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            number: 0,
            barred: BTreeMap::new(),
        }
    }

    fn clock(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.upstream.incarnation.born_ms)
    }

    fn used(&self) -> Resources {
        let mut used = Resources::default();
        for run in self.runs.values() {
            used = used.plus(&run.work.needs);
        }
        used
    }

    fn end(&mut self, task: TaskId, end: RunEnd) {
        let Some(run) = self.runs.remove(&task) else {
            return;
        };
        self.number += 1;
        let barred = self.barred.entry(task).or_insert(0);
        *barred = (*barred).max(run.number);
        self.ended.push(EndedRun {
            number: self.number,
            task,
            run: run.number,
            end,
            checkpoint: checkpoint(&run),
        });
    }
}

fn checkpoint(run: &Run) -> String {
    let saved = run.done_ms / CHECKPOINT_MS * CHECKPOINT_MS;
    if saved == 0 {
        return String::new();
    }
    format!("{saved}")
}

/// Upstreams that see each other's members of gangs.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// The upstreams, by the agent beside each.
    pub nodes: BTreeMap<String, Node>,
    /// What went wrong, as seen from the upstreams.
    pub violations: Vec<Violation>,
    /// Starts and ends of all tasks, in order.
    pub trace: Vec<String>,
    done: BTreeMap<TaskId, u32>,
}

impl Pool {
    /// Starts a run at a node.
    pub fn start(
        &mut self,
        now_ms: u64,
        agent: &str,
        life: &Incarnation,
        start: &StartOrder,
    ) -> StartOutcome {
        let Some(node) = self.nodes.get_mut(agent) else {
            return StartOutcome::Unknown;
        };
        let clock_ms = node.clock(now_ms);
        if node.upstream.incarnation != *life {
            return StartOutcome::Refused(Refusal::OtherIncarnation);
        }
        if start.token < node.token {
            return StartOutcome::Refused(Refusal::Fenced);
        }
        node.token = start.token;
        if node
            .runs
            .get(&start.task)
            .is_some_and(|r| r.number == start.run)
        {
            return StartOutcome::Running { clock_ms };
        }
        let barred = node.barred.get(&start.task).copied().unwrap_or(0);
        if start.run <= barred {
            return StartOutcome::Refused(Refusal::StaleRun);
        }
        if clock_ms > start.deadline_ms {
            return StartOutcome::Refused(Refusal::DeadlinePassed);
        }
        let work = Work::parse(&start.payload);
        let capacity = node.upstream.capacity;
        if !capacity.fits(&node.used().plus(&work.needs)) {
            self.violation(format!("{} does not fit at {agent}", start.task));
            return StartOutcome::Refused(Refusal::NoCapacity);
        }
        let lease = start.deadline_ms.min(clock_ms + HOLD_MAX_MS);
        node.lease_ms = node.lease_ms.max(lease);
        let run = Run {
            number: start.run,
            work,
            since_ms: now_ms,
            done_ms: start.checkpoint.parse().unwrap_or(0),
            stops_at_ms: None,
        };
        node.runs.insert(start.task, run);
        self.trace.push(format!(
            "{now_ms} start {}/{} {agent}",
            start.task, start.run
        ));
        self.check_twice(start.task, start.run);
        StartOutcome::Running { clock_ms }
    }

    fn check_twice(&mut self, task: TaskId, run: u32) {
        let there = self.nodes.values().filter(|n| n.runs.contains_key(&task));
        if there.count() > 1 {
            self.violation(format!("{task} runs twice"));
        }
        if self.done.get(&task).is_some_and(|_| true) {
            self.violation(format!("{task}/{run} starts though it is done"));
        }
    }

    fn violation(&mut self, text: String) {
        self.violations.push(Violation(text));
    }

    /// Stops a run at a node.
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
        if token < node.token {
            return;
        }
        node.token = token;
        match node.runs.get_mut(&task) {
            Some(there) if there.number == run => {
                there.stops_at_ms.get_or_insert(now_ms + STOP_MS);
            }
            _ => {
                let barred = node.barred.entry(task).or_insert(0);
                *barred = (*barred).max(run);
            }
        }
    }

    /// Extends what runs at a node and lists everything there.
    pub fn hold(
        &mut self,
        now_ms: u64,
        agent: &str,
        token: u64,
        acknowledged: u64,
        deadline_ms: Option<u64>,
    ) -> Option<Snapshot> {
        let node = self.nodes.get_mut(agent)?;
        if token < node.token {
            return None;
        }
        node.token = token;
        let clock_ms = node.clock(now_ms);
        if let Some(deadline) = deadline_ms {
            let lease = deadline.min(clock_ms + HOLD_MAX_MS);
            node.lease_ms = node.lease_ms.max(lease);
        }
        for ended in &node.ended {
            if ended.number <= acknowledged && ended.end == RunEnd::Done {
                self.done.insert(ended.task, ended.run);
            }
        }
        node.ended.retain(|e| e.number > acknowledged);
        let running = node.runs.iter().map(|(task, run)| ActiveRun {
            task: *task,
            run: run.number,
            checkpoint: checkpoint(run),
            percent: percent(run),
        });
        Some(Snapshot {
            born_ms: node.upstream.incarnation.born_ms,
            clock_ms,
            running: running.collect(),
            ended: node.ended.clone(),
        })
    }

    /// Lets `step_ms` pass until `now_ms`.
    pub fn advance(&mut self, now_ms: u64, step_ms: u64) {
        self.work(step_ms);
        self.end_what_is_over(now_ms);
        self.end_gangs(now_ms);
    }

    fn members(&self, task: TaskId, run: u32) -> u32 {
        let same = |(id, r): (&TaskId, &Run)| {
            id.job == task.job
                && id.occurrence == task.occurrence
                && id.step == task.step
                && r.number == run
        };
        let all = self.nodes.values().flat_map(|n| n.runs.iter());
        let there = all.filter(|(id, r)| same((id, r))).count();
        u32::try_from(there).unwrap_or(u32::MAX)
    }

    fn work(&mut self, step_ms: u64) {
        let mut works = Vec::new();
        for (agent, node) in &self.nodes {
            for (task, run) in &node.runs {
                let whole = run.work.gang == 0
                    || self.members(*task, run.number) >= run.work.gang;
                if whole && !run.work.hangs {
                    works.push((agent.clone(), *task));
                }
            }
        }
        for (agent, task) in works {
            let Some(node) = self.nodes.get_mut(&agent) else {
                continue;
            };
            let step_ms = step_ms * node.speed_percent / 100;
            if let Some(run) = node.runs.get_mut(&task) {
                run.done_ms = (run.done_ms + step_ms).min(run.work.ms);
            }
        }
    }

    fn end_what_is_over(&mut self, now_ms: u64) {
        let mut ends = Vec::new();
        for (agent, node) in &self.nodes {
            let clock = node.clock(now_ms);
            for (task, run) in &node.runs {
                let worked = run.done_ms >= run.work.ms;
                let whole = run.work.gang == 0
                    || self.members(*task, run.number) >= run.work.gang;
                let waited = now_ms.saturating_sub(run.since_ms);
                let end = if clock > node.lease_ms {
                    Some(RunEnd::Lapsed)
                } else if run.stops_at_ms.is_some_and(|at| now_ms >= at) {
                    Some(RunEnd::Stopped)
                } else if worked && (run.work.fails || node.fails_all) {
                    Some(RunEnd::Failed)
                } else if worked && run.work.gang == 0 {
                    Some(RunEnd::Done)
                } else if !whole && waited > GANG_WAIT_MS {
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
            self.end(now_ms, &agent, task, end);
        }
    }

    fn end(&mut self, now_ms: u64, agent: &str, task: TaskId, end: RunEnd) {
        if let Some(node) = self.nodes.get_mut(agent) {
            node.end(task, end);
            let word = end.name();
            self.trace.push(format!("{now_ms} {word} {task} {agent}"));
        }
    }

    /// A gang that has worked is done; one that lost a member is broken.
    fn end_gangs(&mut self, now_ms: u64) {
        let mut ends = Vec::new();
        for (agent, node) in &self.nodes {
            for (task, run) in
                node.runs.iter().filter(|(_, r)| r.work.gang > 0)
            {
                let members = self.members(*task, run.number);
                let begun = run.done_ms > 0;
                if members < run.work.gang && begun {
                    ends.push((agent.clone(), *task, RunEnd::GangBroken));
                } else if run.done_ms >= run.work.ms && members > 0 {
                    ends.push((agent.clone(), *task, RunEnd::Done));
                }
            }
        }
        for (agent, task, end) in ends {
            self.end(now_ms, &agent, task, end);
        }
    }

    /// A node crashes, and a new life of it is there at once.
    pub fn reborn(&mut self, now_ms: u64, agent: &str) {
        if let Some(node) = self.nodes.get_mut(agent) {
            let mut upstream = node.upstream.clone();
            upstream.incarnation.born_ms = now_ms;
            upstream.sequence = 0;
            *node = Node::new(upstream);
            self.trace.push(format!("{now_ms} reborn {agent}"));
        }
    }
}

fn percent(run: &Run) -> u32 {
    let percent = run.done_ms * 100 / run.work.ms.max(1);
    u32::try_from(percent.min(100)).unwrap_or(100)
}
