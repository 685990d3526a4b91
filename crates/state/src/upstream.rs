//! The back end on a worker that runs tasks, as figrill sees it.

use std::time::Duration;

use displaydoc::Display;

/// How a task stands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TaskState {
    /// It runs.
    Running,
    /// It has answered.
    Answered(Vec<u8>),
    /// It has failed.
    Failed(String),
    /// It was stopped.
    Stopped,
    /// The upstream does not know it.
    Unknown,
}

/// What an upstream reports of its use, with a lag.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Tasks that run.
    pub tasks: u32,
    /// Memory in use in MiB.
    pub memory_mib: u32,
}

/// the upstream did not answer: {0}
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub struct UpstreamError(pub String);

impl std::error::Error for UpstreamError {}

/// Runs tasks under leases. All calls may be repeated: a task is named by
/// its caller, and the same name means the same task.
pub trait Upstream: Send + Sync {
    /// Stops all tasks that another incarnation of the agent started.
    ///
    /// # Errors
    ///
    /// [`UpstreamError`] if it cannot be reached.
    fn fence(&self, agent: u64) -> Result<(), UpstreamError>;

    /// Starts a task under a lease and waits for at most `wait` for its end.
    ///
    /// # Errors
    ///
    /// [`UpstreamError`]; the task may have started.
    fn start(
        &self,
        task: &StartTask<'_>,
        wait: Duration,
    ) -> Result<TaskState, UpstreamError>;

    /// Renews a task's lease and waits for at most `wait` for its end.
    ///
    /// # Errors
    ///
    /// [`UpstreamError`].
    fn wait(
        &self,
        name: &str,
        lease: Duration,
        wait: Duration,
    ) -> Result<TaskState, UpstreamError>;

    /// Asks for what a new task with the same input needs to go on where
    /// this one is; `None` if it can't tell.
    ///
    /// # Errors
    ///
    /// [`UpstreamError`].
    fn checkpoint(
        &self,
        name: &str,
        wait: Duration,
    ) -> Result<Option<Vec<u8>>, UpstreamError>;

    /// Slows a task down to make room.
    ///
    /// # Errors
    ///
    /// [`UpstreamError`].
    fn throttle(&self, name: &str) -> Result<(), UpstreamError>;

    /// Stops a task; when this returns, its capacity is free.
    ///
    /// # Errors
    ///
    /// [`UpstreamError`]; the task stops when its lease lapses.
    fn stop(&self, name: &str) -> Result<(), UpstreamError>;

    /// What it uses.
    ///
    /// # Errors
    ///
    /// [`UpstreamError`].
    fn usage(&self) -> Result<Usage, UpstreamError>;
}

/// A task to start.
#[derive(Clone, Copy, Debug)]
pub struct StartTask<'a> {
    /// Its name, given by the agent.
    pub name: &'a str,
    /// The incarnation of the agent.
    pub agent: u64,
    /// How long it runs without renewal.
    pub lease: Duration,
    /// Its input.
    pub input: &'a [u8],
    /// Where an earlier task with this input was stopped.
    pub checkpoint: Option<&'a [u8]>,
}
