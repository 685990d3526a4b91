//! Jobs made of steps, as the store keeps them, and how far each has come.

use std::{collections::BTreeMap, fmt, time::Duration};

use serde::{Deserialize, Serialize};

/// What a task needs, what a worker offers, or a sum of either.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
pub struct Resources {
    /// Processor time in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory in MiB.
    pub memory_mib: u64,
    /// Accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// Whether `need` fits into this.
    #[must_use]
    pub const fn fits(&self, need: &Self) -> bool {
        self.cpu_milli >= need.cpu_milli
            && self.memory_mib >= need.memory_mib
            && self.accelerators >= need.accelerators
    }

    /// The sum.
    #[must_use]
    pub const fn plus(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli + other.cpu_milli,
            memory_mib: self.memory_mib + other.memory_mib,
            accelerators: self.accelerators + other.accelerators,
        }
    }

    /// What is left; never below nothing.
    #[must_use]
    pub const fn minus(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

/// Names a job for good: 16 hexadecimal digits.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
pub struct BatchId(pub u64);

impl fmt::Display for BatchId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl BatchId {
    /// Reads the form that [`Display`](fmt::Display) writes, and no other.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let id = Self(u64::from_str_radix(text, 16).ok()?);
        (id.to_string() == text).then_some(id)
    }
}

/// Names a task: one of the `count` of a step, in one occurrence of a job.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
pub struct TaskId {
    /// The job.
    pub job: BatchId,
    /// The occurrence, from 0; always 0 for a job without a schedule.
    pub occurrence: u32,
    /// The step, from 0.
    pub step: u32,
    /// The task within the step, from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(f, "{job}.{occurrence}.{step}.{index}")
    }
}

impl TaskId {
    /// Reads the form that [`Display`](fmt::Display) writes.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let mut fields = text.split('.');
        let job = BatchId::parse(fields.next()?)?;
        let mut number = || fields.next()?.parse().ok();
        let id = Self {
            job,
            occurrence: number()?,
            step: number()?,
            index: number()?,
        };
        (id.to_string() == text).then_some(id)
    }
}

/// Tasks that are alike. Its flags are independent of each other.
#[allow(clippy::struct_excessive_bools)]
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// How many tasks.
    pub count: u32,
    /// What each needs.
    pub needs: Resources,
    /// How long each is thought to run; rough.
    pub estimate_ms: u64,
    /// Steps that must be done first.
    pub after: Vec<u32>,
    /// Whether all tasks run together or not at all.
    pub gang: bool,
    /// Whether the tasks are faster on one rack.
    pub same_rack: bool,
    /// A label that the worker must have.
    pub requires: Option<String>,
    /// The rack where the data is.
    pub data_rack: Option<String>,
    /// The most tasks of this step on one worker; 0: any number.
    pub max_per_worker: u32,
    /// Whether a stopped task can go on from its checkpoint.
    pub checkpoints: bool,
    /// Whether copies of a task may run in parallel.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub persistent: bool,
}

/// When the steps run, if they run more than once.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
pub struct Schedule {
    /// When the first occurrence is due, in milliseconds since 1970.
    pub first_ms: u64,
    /// Time between two occurrences.
    pub every_ms: u64,
    /// How many occurrences.
    pub times: u32,
}

/// An accepted job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// Its id.
    pub id: BatchId,
    /// Who pays for it; empty if its queue is open to everybody.
    pub workspace: String,
    /// The queue that it came by.
    pub queue: String,
    /// The service whose workers run it.
    pub service: String,
    /// 0 goes first and may take capacity back from all others.
    pub priority: u32,
    /// How often a task may fail.
    pub attempts: u32,
    /// How many times its chain of work the caller allows.
    pub stretch: f64,
    /// Time that the caller allows besides.
    pub target: Duration,
    /// What the upstream is given.
    pub payload: String,
    /// Its steps.
    pub steps: Vec<Step>,
    /// If it runs more than once.
    pub schedule: Option<Schedule>,
    /// When it was accepted, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// Whether its caller has cancelled it.
    pub cancelled: bool,
}

impl Batch {
    /// How often the steps run.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |s| s.times)
    }

    /// When an occurrence is due, in milliseconds since 1970.
    #[must_use]
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        self.schedule
            .map_or(0, |s| s.first_ms + u64::from(occurrence) * s.every_ms)
    }

    /// The step that a task belongs to.
    #[must_use]
    pub fn step(&self, task: TaskId) -> Option<&Step> {
        self.steps.get(task.step as usize)
    }
}

/// What a job's caller is told about it.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum BatchState {
    /// No task has started.
    #[default]
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Done,
    /// A task has failed as often as it may.
    Failed,
    /// It was cancelled.
    Cancelled,
}

impl BatchState {
    /// Whether it never changes again.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::Failed | Self::Cancelled)
    }
}

/// One life of an upstream.
#[derive(
    Clone,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
pub struct Incarnation {
    /// The name that it registered under; it may be used again.
    pub id: String,
    /// When it started, in milliseconds since 1970.
    pub born_ms: u64,
}

/// Where a run was placed.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Placement {
    /// The agent beside the upstream.
    pub agent: String,
    /// The upstream's life that the run was ordered from.
    pub upstream: Incarnation,
}

/// How far a task has come.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct TaskProgress {
    /// The highest run that may have been ordered; 0: none.
    #[serde(rename = "r")]
    pub run: u32,
    /// Where that run may be; `None` once it is surely over.
    #[serde(rename = "p", skip_serializing_if = "Option::is_none")]
    pub placement: Option<Placement>,
    /// Whether it is done.
    #[serde(rename = "d")]
    pub done: bool,
    /// Runs that failed; of a gang, kept with its first task.
    #[serde(rename = "f")]
    pub failures: u32,
    /// The last run that was counted as failed.
    #[serde(rename = "g")]
    pub failed_run: u32,
    /// The latest checkpoint that is known; empty: none.
    #[serde(rename = "c", skip_serializing_if = "String::is_empty")]
    pub checkpoint: String,
}

/// How far a job has come, as its coordinator keeps it.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// What callers are told.
    pub state: BatchState,
    /// Tasks by occurrence, step and index.
    pub tasks: BTreeMap<u32, Vec<Vec<TaskProgress>>>,
    /// When it ended, in milliseconds since 1970; 0 before.
    pub ended_ms: u64,
}

/// What the coordinator keeps beside the jobs: the number of its last commit
/// and how much waits.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Ledger {
    /// The fencing token of the coordinator that wrote it.
    pub token: u64,
    /// The number of the commit.
    pub commit: u64,
    /// Jobs of which no task has started, by queue.
    pub waiting: BTreeMap<String, u64>,
}

/// a record in the store that has no meaning: {0}
#[derive(Clone, Debug, displaydoc::Display, Eq, PartialEq)]
pub struct BadRecord(pub String);

impl std::error::Error for BadRecord {}

/// The bytes of a record.
#[must_use]
pub fn encode(record: &impl Serialize) -> Vec<u8> {
    // Maps have keys that JSON can write, so this does not fail.
    serde_json::to_vec(record).unwrap_or_default()
}

/// Reads a record.
///
/// # Errors
///
/// What is wrong and where.
pub fn decode<T: for<'a> Deserialize<'a>>(
    bytes: &[u8],
) -> Result<T, BadRecord> {
    serde_json::from_slice(bytes).map_err(|e| BadRecord(e.to_string()))
}

/// Where each record stands in the store.
pub mod keys {
    use super::BatchId;

    /// The secret that all processes share.
    pub const SECRET: &str = "figrill/secret";
    /// The coordinator's name, under its lease.
    pub const COORDINATOR: &str = "figrill/coordinator";
    /// What the coordinator watches.
    pub const INPUTS: &str = "figrill/in/";
    /// Accepted jobs.
    pub const JOBS: &str = "figrill/in/job/";
    /// Addresses of agents.
    pub const AGENTS: &str = "figrill/in/agent/";
    /// Addresses of entries, each under its lease.
    pub const ENTRIES: &str = "figrill/entry/";
    /// Names of entries that have ever started.
    pub const STARTED: &str = "figrill/started/";
    /// Progress of jobs.
    pub const PROGRESS: &str = "figrill/out/job/";
    /// The coordinator's last commit.
    pub const LEDGER: &str = "figrill/out/ledger";

    /// An accepted job.
    #[must_use]
    pub fn job(id: BatchId) -> String {
        format!("{JOBS}{id}")
    }

    /// A job's progress.
    #[must_use]
    pub fn progress(id: BatchId) -> String {
        format!("{PROGRESS}{id}")
    }

    /// An entry's address.
    #[must_use]
    pub fn entry(name: &str) -> String {
        format!("{ENTRIES}{name}")
    }

    /// Stands once an entry of this name has started, for good.
    #[must_use]
    pub fn started(name: &str) -> String {
        format!("{STARTED}{name}")
    }

    /// An agent's address.
    #[must_use]
    pub fn agent(name: &str) -> String {
        format!("{AGENTS}{name}")
    }
}

/// The most tasks in one occurrence of a job.
const MAX_TASKS: u32 = 4096;

impl Batch {
    /// What makes this job impossible to run at all, if anything does.
    #[must_use]
    pub fn validation_error(&self) -> Option<String> {
        if self.steps.is_empty() {
            return Some("steps: at least one is needed".to_owned());
        }
        let mut tasks = 0_u32;
        for (index, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Some(format!("steps[{index}].count: 0"));
            }
            tasks = tasks.saturating_add(step.count);
            let invalid = step.after.iter().find(|s| **s as usize >= index);
            if let Some(invalid) = invalid {
                return Some(format!(
                    "steps[{index}].after: step {invalid} is not earlier"
                ));
            }
        }
        (tasks > MAX_TASKS)
            .then(|| format!("steps: {tasks} tasks, over {MAX_TASKS}"))
    }
}
