//! Runs the parts of jobs on the upstream. Each part has a thread that starts
//! it, renews its lease and waits for its answer, because calls to the
//! upstream block.

use std::{
    collections::BTreeMap,
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crossbeam::channel::Sender;
use figrill_coordination::agent::{PartId, RUN_LEASE_TTL, grant::PartEvent};
use figrill_state::{
    clock::Clock,
    upstream::{StartTask, TaskState, Upstream, UpstreamError},
};
use serde_json::value::RawValue;

use super::duty::Command;

/// How long one call to the upstream waits for the end of a part. Each call
/// renews the lease of the part, so this must be shorter than
/// [`RUN_LEASE_TTL`].
const POLL_WAIT: Duration = Duration::from_secs(1);

/// The delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The parts that are running.
pub(super) struct Parts {
    /// The incarnation of this agent.
    agent: u64,
    clock: Arc<dyn Clock>,
    commands: Sender<Command>,
    running: BTreeMap<PartId, RunningPart>,
}

struct RunningPart {
    upstream: Arc<dyn Upstream>,
    /// Set when the part is to stop, so that its thread no longer renews the
    /// lease.
    stopping: Arc<AtomicBool>,
}

/// The state of a thread that runs or stops one part.
struct PartRunner {
    part: PartId,
    /// The name of the part at the upstream.
    name: String,
    /// The incarnation of this agent.
    agent: u64,
    clock: Arc<dyn Clock>,
    upstream: Arc<dyn Upstream>,
    stopping: Arc<AtomicBool>,
    commands: Sender<Command>,
}

/// Returns the name of a part at the upstream. It contains the attempt, so
/// that the upstream treats each attempt as a new task.
fn task_name(part: PartId) -> String {
    let attempt = part.run.attempt.0;
    format!("{}-{attempt:x}-{}", part.run.job, part.rank)
}

impl Parts {
    pub(super) fn new(
        agent: u64,
        clock: Arc<dyn Clock>,
        commands: Sender<Command>,
    ) -> Self {
        Self {
            agent,
            clock,
            commands,
            running: BTreeMap::new(),
        }
    }

    /// Starts a part.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started. The upstream was not
    /// called then.
    pub(super) fn start(
        &mut self,
        part: PartId,
        upstream: Arc<dyn Upstream>,
        input: Vec<u8>,
        checkpoint: Option<Vec<u8>>,
    ) -> io::Result<()> {
        let stopping = Arc::new(AtomicBool::new(false));
        let runner = PartRunner {
            part,
            name: task_name(part),
            agent: self.agent,
            clock: self.clock.clone(),
            upstream: upstream.clone(),
            stopping: stopping.clone(),
            commands: self.commands.clone(),
        };
        crate::config::spawn_detached("part", move || {
            runner.run(&input, checkpoint.as_deref());
        })?;
        self.running
            .insert(part, RunningPart { upstream, stopping });
        Ok(())
    }

    /// Stops a part. Requests a checkpoint first unless `window`, the time for
    /// writing one, is zero.
    pub(super) fn stop(&mut self, part: PartId, window: Duration) {
        let Some(running) = self.running.get(&part) else {
            return;
        };
        running.stopping.store(true, Ordering::Relaxed);
        let runner = PartRunner {
            part,
            name: task_name(part),
            agent: self.agent,
            clock: self.clock.clone(),
            upstream: running.upstream.clone(),
            stopping: running.stopping.clone(),
            commands: self.commands.clone(),
        };
        let spawned = crate::config::spawn_detached("stop", move || {
            runner.stop(window);
        });
        if spawned.is_err() {
            // The lease of the part is no longer renewed, so the upstream
            // stops the part when the lease expires.
            let event = PartEvent::Stopped(None);
            let _ = self.commands.send(Command::Part { part, event });
        }
    }

    /// Removes a part that has ended.
    pub(super) fn remove(&mut self, part: PartId) {
        self.running.remove(&part);
    }
}

impl PartRunner {
    fn send_event(&self, event: PartEvent) {
        let part = self.part;
        let _ = self.commands.send(Command::Part { part, event });
    }

    /// Starts the part and renews its lease until it has ended, and reports
    /// how it ended.
    fn run(&self, input: &[u8], checkpoint: Option<&[u8]>) {
        let start = StartTask {
            name: &self.name,
            agent: self.agent,
            lease: RUN_LEASE_TTL,
            input,
            checkpoint,
        };
        let mut state =
            self.retry_for_lease(|| self.upstream.start(&start, POLL_WAIT));
        while let Ok(TaskState::Running) = state {
            if self.stopping.load(Ordering::Relaxed) {
                return;
            }
            state = self.retry_for_lease(|| {
                self.upstream.wait(&self.name, RUN_LEASE_TTL, POLL_WAIT)
            });
        }
        if self.stopping.load(Ordering::Relaxed)
            && !matches!(state, Ok(TaskState::Answered(_)))
        {
            // The thread that stops the part reports how it ended.
            return;
        }
        self.send_event(match state {
            Ok(TaskState::Answered(bytes)) => check_answer(bytes),
            Ok(TaskState::Failed(reason)) => PartEvent::Failed(reason),
            Ok(TaskState::Stopped) => PartEvent::Stopped(None),
            Ok(TaskState::Unknown | TaskState::Running) => {
                PartEvent::Failed("the upstream lost the task".to_owned())
            }
            Err(e) => PartEvent::Failed(e.to_string()),
        });
    }

    /// Retries a call until it has failed for [`RUN_LEASE_TTL`]. If the
    /// upstream is unreachable, the lease of the part has expired by then and
    /// the part has stopped.
    fn retry_for_lease(
        &self,
        call: impl Fn() -> Result<TaskState, UpstreamError>,
    ) -> Result<TaskState, UpstreamError> {
        let start = self.clock.now();
        loop {
            let result = call();
            let lease_expired = self.clock.now() >= start + RUN_LEASE_TTL;
            if result.is_ok() || lease_expired {
                return result;
            }
            if self.stopping.load(Ordering::Relaxed) {
                return result;
            }
            thread::sleep(RETRY_DELAY);
        }
    }

    /// Stops the part. Unless `window` is zero, first requests a checkpoint,
    /// which may take half of `window`, and throttles the part.
    fn stop(&self, window: Duration) {
        let start = self.clock.now();
        let mut checkpoint = None;
        if !window.is_zero() {
            let result = self.upstream.checkpoint(&self.name, window / 2);
            checkpoint = result.ok().flatten();
            let _ = self.upstream.throttle(&self.name);
        }
        while self.upstream.stop(&self.name).is_err() {
            // The lease is no longer renewed, so the part has ended once the
            // lease has expired.
            if self.clock.now() >= start + window + RUN_LEASE_TTL {
                break;
            }
            thread::sleep(RETRY_DELAY);
        }
        self.send_event(PartEvent::Stopped(checkpoint));
    }
}

/// Turns the answer of a part into an event. The answer must be JSON because
/// it is embedded in the JSON answer of the job.
fn check_answer(bytes: Vec<u8>) -> PartEvent {
    let valid = serde_json::from_slice::<&RawValue>(&bytes).is_ok();
    if valid {
        PartEvent::Answered(bytes)
    } else {
        PartEvent::Failed("the answer is not JSON".to_owned())
    }
}
