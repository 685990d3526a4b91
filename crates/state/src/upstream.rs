//! The interface between an agent and its upstream, the back end on a worker
//! that runs tasks. Each task has a lease of its own. Deployments on the
//! users' platform use [`runner`](crate::runner) instead.

use std::time::Duration;

use displaydoc::Display;

/// The state of a task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TaskState {
    /// The task is running.
    Running,
    /// The task has completed with this answer.
    Answered(Vec<u8>),
    /// The task has failed, for this reason.
    Failed(String),
    /// The task was stopped.
    Stopped,
    /// The upstream does not know the task.
    Unknown,
}

/// The resource usage that an upstream reports. The figures may lag behind.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// The number of running tasks.
    pub tasks: u32,
    /// The memory in use, in MiB.
    pub memory_mib: u32,
}

/// the upstream did not answer: {0}
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub struct UpstreamError(pub String);

impl std::error::Error for UpstreamError {}

/// A client of an upstream. All calls are idempotent: the caller names a task,
/// and the same name always denotes the same task.
pub trait Upstream: Send + Sync {
    /// Stops all tasks that were started by another incarnation of the agent
    /// than `agent`.
    ///
    /// # Errors
    ///
    /// Returns an [`UpstreamError`] if the upstream does not answer or reports
    /// an error.
    fn fence(&self, agent: u64) -> Result<(), UpstreamError>;

    /// Starts a task under a lease and waits for at most `wait` until it ends.
    ///
    /// # Errors
    ///
    /// Returns an [`UpstreamError`] if the upstream does not answer or reports
    /// an error. The task may have started nevertheless.
    fn start(
        &self,
        task: &StartTask<'_>,
        wait: Duration,
    ) -> Result<TaskState, UpstreamError>;

    /// Renews a task's lease and waits for at most `wait` until it ends.
    ///
    /// # Errors
    ///
    /// Returns an [`UpstreamError`] if the upstream does not answer or reports
    /// an error.
    fn wait(
        &self,
        name: &str,
        lease: Duration,
        wait: Duration,
    ) -> Result<TaskState, UpstreamError>;

    /// Requests a checkpoint, from which a new task with the same input can
    /// resume; `None` if the task cannot provide one.
    ///
    /// # Errors
    ///
    /// Returns an [`UpstreamError`] if the upstream does not answer or reports
    /// an error.
    fn checkpoint(
        &self,
        name: &str,
        wait: Duration,
    ) -> Result<Option<Vec<u8>>, UpstreamError>;

    /// Slows a task down to free resources for others.
    ///
    /// # Errors
    ///
    /// Returns an [`UpstreamError`] if the upstream does not answer or reports
    /// an error.
    fn throttle(&self, name: &str) -> Result<(), UpstreamError>;

    /// Stops a task. Once this returns successfully, the task no longer uses
    /// any capacity.
    ///
    /// # Errors
    ///
    /// Returns an [`UpstreamError`] if the upstream does not answer or reports
    /// an error. In that case, the task stops at the latest when its lease
    /// lapses.
    fn stop(&self, name: &str) -> Result<(), UpstreamError>;

    /// Returns the upstream's resource usage.
    ///
    /// # Errors
    ///
    /// Returns an [`UpstreamError`] if the upstream does not answer or reports
    /// an error.
    fn usage(&self) -> Result<Usage, UpstreamError>;
}

/// A task to start.
#[derive(Clone, Copy, Debug)]
pub struct StartTask<'a> {
    /// The task's name, assigned by the agent.
    pub name: &'a str,
    /// The incarnation of the agent that starts the task.
    pub agent: u64,
    /// The duration of the lease: how long the task runs without renewal.
    pub lease: Duration,
    /// The task's input.
    pub input: &'a [u8],
    /// The checkpoint of an earlier task with the same input, to resume
    /// from.
    pub checkpoint: Option<&'a [u8]>,
}
