//! Jobs made of steps, their progress, and the store records of both, as used
//! on the users' platform (see [`deployment`](crate::deployment)). Other
//! deployments use [`job`](crate::job) and [`record`](crate::record) instead.
//!
//! Field and variant names are part of the stored format.

use std::{collections::BTreeMap, fmt, time::Duration};

use serde::{Deserialize, Serialize};

mod check;
mod progress;

pub use check::{decode_job, decode_progress};
pub use progress::{Progress, TaskProgress};

/// An amount of resources: the needs of a task, the capacity of a worker, or a
/// sum of either.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
pub struct Resources {
    /// Processor time in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory in MiB.
    pub memory_mib: u64,
    /// The number of accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// Returns whether `need` does not exceed this amount in any resource.
    #[must_use]
    pub const fn fits(&self, need: &Self) -> bool {
        self.cpu_milli >= need.cpu_milli
            && self.memory_mib >= need.memory_mib
            && self.accelerators >= need.accelerators
    }

    /// Returns the sum of both. Each resource saturates.
    #[must_use]
    pub const fn plus(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns what remains after subtracting `other`. Each resource saturates
    /// at zero.
    #[must_use]
    pub const fn minus(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

/// The permanent identifier of a job, written as 16 hexadecimal digits.
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
    /// Parses the exact form that [`Display`](fmt::Display) writes, and no
    /// other.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let id = Self(u64::from_str_radix(text, 16).ok()?);
        (id.to_string() == text).then_some(id)
    }
}

/// The identifier of a task: one of the [`count`](Step::count) tasks of a step
/// in one occurrence of a job.
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
    /// The index of the occurrence; always 0 for a job without a schedule.
    pub occurrence: u32,
    /// The index of the step.
    pub step: u32,
    /// The index of the task within the step.
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
    /// Parses the exact form that [`Display`](fmt::Display) writes, and no
    /// other.
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

/// A group of identical tasks. Its flags are independent of each other.
#[allow(clippy::struct_excessive_bools)]
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// The number of tasks.
    pub count: u32,
    /// The resources that each task needs.
    pub needs: Resources,
    /// A rough estimate of the run time of each task, in milliseconds.
    pub estimate_ms: u64,
    /// The indices of earlier steps that must be done first.
    pub after: Vec<u32>,
    /// Whether the tasks form a gang: all run at the same time or none does.
    pub gang: bool,
    /// Whether the tasks run faster if they share a rack.
    pub same_rack: bool,
    /// A label that the worker must have.
    pub requires: Option<String>,
    /// The rack that holds the tasks' data.
    pub data_rack: Option<String>,
    /// The maximum number of tasks of this step on one worker; 0 means no
    /// limit.
    pub max_per_worker: u32,
    /// Whether a stopped task can resume from its checkpoint.
    pub checkpoints: bool,
    /// Whether several copies of a task may run in parallel.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub persistent: bool,
}

/// The schedule of a job whose steps run more than once.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
pub struct Schedule {
    /// When the first occurrence is due, in milliseconds since the Unix
    /// epoch.
    pub first_ms: u64,
    /// The time between two occurrences, in milliseconds.
    pub every_ms: u64,
    /// The number of occurrences.
    pub times: u32,
}

/// An accepted job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// The job's id.
    pub id: BatchId,
    /// The workspace that the job is charged to; empty if its queue is
    /// public.
    pub workspace: String,
    /// The queue that the job was submitted to.
    pub queue: String,
    /// The service whose workers ran the queue's jobs when the job was
    /// accepted.
    pub service: String,
    /// The version of the catalogue under which the job was accepted; 0 in
    /// records of earlier builds.
    #[serde(default)]
    pub catalog_version: u64,
    /// The job's priority. Jobs of priority 0 go first and may reclaim
    /// capacity from jobs of all other priorities.
    pub priority: u32,
    /// The number of failures of one task after which the job fails. 0 counts
    /// as 1, and persistent tasks have no limit.
    pub attempts: u32,
    /// The time allowed for the job from its acceptance, or from the due time
    /// of a scheduled occurrence, to its completion, as a multiple of the
    /// estimated run time of its longest chain of steps.
    pub stretch: f64,
    /// A fixed time that is allowed in addition to `stretch`.
    pub target: Duration,
    /// The payload that is passed to the upstream.
    pub payload: String,
    /// The job's steps.
    pub steps: Vec<Step>,
    /// The schedule, if the job runs more than once.
    pub schedule: Option<Schedule>,
    /// When the job was accepted, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
    /// Whether the caller has cancelled the job.
    pub cancelled: bool,
}

impl Batch {
    /// Returns the number of times that the steps run.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |s| s.times)
    }

    /// Returns when an occurrence is due, in milliseconds since the Unix
    /// epoch; 0 for a job without a schedule.
    #[must_use]
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        self.schedule.map_or(0, |s| {
            let later_ms = u64::from(occurrence).saturating_mul(s.every_ms);
            s.first_ms.saturating_add(later_ms)
        })
    }

    /// Returns the step that a task belongs to.
    #[must_use]
    pub fn step(&self, task: TaskId) -> Option<&Step> {
        self.steps.get(task.step as usize)
    }
}

/// The state of a job as reported to its caller.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum BatchState {
    /// No task has started.
    #[default]
    Queued,
    /// At least one task has started.
    Running,
    /// All tasks are done.
    Done,
    /// A task has failed as often as [`Batch::attempts`] allows.
    Failed,
    /// The job was cancelled.
    Cancelled,
}

impl BatchState {
    /// Returns whether the state is terminal.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::Failed | Self::Cancelled)
    }
}

/// One incarnation of an upstream: the period from one start of its process to
/// its end.
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
    /// The name that the upstream registered under. Later incarnations may
    /// use it again.
    pub id: String,
    /// When the upstream started, in milliseconds since the Unix epoch.
    pub born_ms: u64,
}

/// The placement of a run.
#[derive(
    Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct Placement {
    /// The agent of the worker.
    pub agent: String,
    /// The incarnation of the upstream that was ordered to start the run.
    pub upstream: Incarnation,
}

/// The record that the coordinator writes with every commit of job progress.
/// It identifies the commit, and entries read the lengths of the queues from
/// it.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Ledger {
    /// The fencing token of the coordinator that wrote the record.
    pub token: u64,
    /// The number of the commit.
    pub commit: u64,
    /// The number of jobs of which no task has started, by queue.
    pub waiting: BTreeMap<String, u64>,
}

/// a record in the store cannot be decoded: {0}
#[derive(Clone, Debug, displaydoc::Display, Eq, PartialEq)]
pub struct BadRecord(pub String);

impl std::error::Error for BadRecord {}

/// Encodes a record as JSON.
#[must_use]
pub fn encode(record: &impl Serialize) -> Vec<u8> {
    // Encoding cannot fail: JSON rejects only maps whose keys are neither
    // strings nor numbers, and the records have none.
    serde_json::to_vec(record).unwrap_or_default()
}

/// Decodes a record.
///
/// # Errors
///
/// Returns a [`BadRecord`] that says what is wrong and where.
pub fn decode<T: for<'a> Deserialize<'a>>(
    bytes: &[u8],
) -> Result<T, BadRecord> {
    serde_json::from_slice(bytes).map_err(|e| BadRecord(e.to_string()))
}

/// The keys of all records in the store.
pub mod keys {
    use super::BatchId;

    /// The key of the shared secret with which processes authenticate to each
    /// other.
    pub const SECRET: &str = "figrill/secret";
    /// The key that holds the coordinator's name, attached to its lease.
    pub const COORDINATOR: &str = "figrill/coordinator";
    /// The prefix of all keys that the coordinator watches: the jobs and the
    /// agents.
    pub const INPUTS: &str = "figrill/in/";
    /// The prefix of the records of accepted jobs.
    pub const JOBS: &str = "figrill/in/job/";
    /// The prefix of the addresses of agents.
    pub const AGENTS: &str = "figrill/in/agent/";
    /// The prefix of the addresses of entries, each attached to the entry's
    /// lease.
    pub const ENTRIES: &str = "figrill/entry/";
    /// The prefix of the keys that mark the names of entries that have
    /// started before.
    pub const STARTED: &str = "figrill/started/";
    /// The prefix of the progress records of jobs.
    pub const PROGRESS: &str = "figrill/out/job/";
    /// The key of the record of the coordinator's last commit, a
    /// [`Ledger`](super::Ledger).
    pub const LEDGER: &str = "figrill/out/ledger";

    /// Returns the key of an accepted job.
    #[must_use]
    pub fn job(id: BatchId) -> String {
        format!("{JOBS}{id}")
    }

    /// Returns the key of a job's progress.
    #[must_use]
    pub fn progress(id: BatchId) -> String {
        format!("{PROGRESS}{id}")
    }

    /// Returns the key of an entry's address.
    #[must_use]
    pub fn entry(name: &str) -> String {
        format!("{ENTRIES}{name}")
    }

    /// Returns the key that marks that an entry of this name has started
    /// before. It is not attached to a lease, so it outlives an entry that is
    /// lost.
    #[must_use]
    pub fn started(name: &str) -> String {
        format!("{STARTED}{name}")
    }

    /// Returns the key of an agent's address.
    #[must_use]
    pub fn agent(name: &str) -> String {
        format!("{AGENTS}{name}")
    }
}
