//! Parts on the upstream: each has a thread that starts it, renews its
//! lease and waits for its answer.

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
use figrill_coordination::agent::{RUN_LEASE_TTL, Task, grant::PartEvent};
use figrill_state::{
    clock::Clock,
    upstream::{StartTask, TaskState, Upstream, UpstreamError},
};
use serde_json::value::RawValue;

use super::duty::Command;

/// How long one call waits for a part's end; each call renews its lease.
const WAIT: Duration = Duration::from_secs(1);

/// Time before a failed call is made again.
const AGAIN: Duration = Duration::from_millis(100);

/// The parts that run.
pub(super) struct Parts {
    agent: u64,
    clock: Arc<dyn Clock>,
    commands: Sender<Command>,
    running: BTreeMap<Task, Running>,
}

struct Running {
    upstream: Arc<dyn Upstream>,
    stopping: Arc<AtomicBool>,
}

struct Runner {
    task: Task,
    name: String,
    agent: u64,
    clock: Arc<dyn Clock>,
    upstream: Arc<dyn Upstream>,
    stopping: Arc<AtomicBool>,
    commands: Sender<Command>,
}

/// A part's name at the upstream.
fn name(task: Task) -> String {
    let attempt = task.run.attempt.0;
    format!("{}-{attempt:x}-{}", task.run.job, task.rank)
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
    /// If there is no thread to be had; nothing was started.
    pub(super) fn start(
        &mut self,
        task: Task,
        upstream: Arc<dyn Upstream>,
        input: Vec<u8>,
        checkpoint: Option<Vec<u8>>,
    ) -> io::Result<()> {
        let stopping = Arc::new(AtomicBool::new(false));
        let runner = Runner {
            task,
            name: name(task),
            agent: self.agent,
            clock: self.clock.clone(),
            upstream: upstream.clone(),
            stopping: stopping.clone(),
            commands: self.commands.clone(),
        };
        crate::config::spawn_detached("part", move || {
            runner.run(&input, checkpoint.as_deref());
        })?;
        self.running.insert(task, Running { upstream, stopping });
        Ok(())
    }

    /// Stops a part, with a checkpoint if it comes within `window`.
    pub(super) fn stop(&mut self, task: Task, window: Duration) {
        let Some(running) = self.running.get(&task) else {
            return;
        };
        running.stopping.store(true, Ordering::Relaxed);
        let stopper = Runner {
            task,
            name: name(task),
            agent: self.agent,
            clock: self.clock.clone(),
            upstream: running.upstream.clone(),
            stopping: running.stopping.clone(),
            commands: self.commands.clone(),
        };
        let spawned = crate::config::spawn_detached("stop", move || {
            stopper.stop(window);
        });
        if spawned.is_err() {
            // Nobody renews its lease any more, so it stops by itself.
            let event = PartEvent::Stopped(None);
            let _ = self.commands.send(Command::Part { task, event });
        }
    }

    /// Forgets a part that has ended.
    pub(super) fn ended(&mut self, task: Task) {
        self.running.remove(&task);
    }
}

impl Runner {
    fn tell(&self, event: PartEvent) {
        let task = self.task;
        let _ = self.commands.send(Command::Part { task, event });
    }

    fn run(&self, input: &[u8], checkpoint: Option<&[u8]>) {
        let start = StartTask {
            name: &self.name,
            agent: self.agent,
            lease: RUN_LEASE_TTL,
            input,
            checkpoint,
        };
        let mut state = self.persist(|| self.upstream.start(&start, WAIT));
        while let Ok(TaskState::Running) = state {
            if self.stopping.load(Ordering::Relaxed) {
                return;
            }
            state = self.persist(|| {
                self.upstream.wait(&self.name, RUN_LEASE_TTL, WAIT)
            });
        }
        if self.stopping.load(Ordering::Relaxed)
            && !matches!(state, Ok(TaskState::Answered(_)))
        {
            // The stopping thread tells how it ended.
            return;
        }
        self.tell(match state {
            Ok(TaskState::Answered(bytes)) => checked(bytes),
            Ok(TaskState::Failed(why)) => PartEvent::Failed(why),
            Ok(TaskState::Stopped) => PartEvent::Stopped(None),
            Ok(TaskState::Unknown | TaskState::Running) => {
                PartEvent::Failed("the upstream lost the task".to_owned())
            }
            Err(e) => PartEvent::Failed(e.to_string()),
        });
    }

    /// Makes a call again until it has failed for a whole lease: by then
    /// the part has stopped by itself if the upstream is cut off.
    fn persist(
        &self,
        call: impl Fn() -> Result<TaskState, UpstreamError>,
    ) -> Result<TaskState, UpstreamError> {
        let start = self.clock.now();
        loop {
            let result = call();
            let late = self.clock.now() >= start + RUN_LEASE_TTL;
            if result.is_ok() || late {
                return result;
            }
            if self.stopping.load(Ordering::Relaxed) {
                return result;
            }
            thread::sleep(AGAIN);
        }
    }

    /// Checkpoints and throttles if there is time for it, then stops.
    fn stop(&self, window: Duration) {
        let start = self.clock.now();
        let mut checkpoint = None;
        if !window.is_zero() {
            let saved = self.upstream.checkpoint(&self.name, window / 2);
            checkpoint = saved.ok().flatten();
            let _ = self.upstream.throttle(&self.name);
        }
        while self.upstream.stop(&self.name).is_err() {
            // Its lease is renewed no more: after a whole one it is over.
            if self.clock.now() >= start + window + RUN_LEASE_TTL {
                break;
            }
            thread::sleep(AGAIN);
        }
        self.tell(PartEvent::Stopped(checkpoint));
    }
}

/// A part's answer must be JSON, because the whole answer is.
fn checked(bytes: Vec<u8>) -> PartEvent {
    let valid = serde_json::from_slice::<&RawValue>(&bytes).is_ok();
    if valid {
        PartEvent::Answered(bytes)
    } else {
        PartEvent::Failed("the answer is not JSON".to_owned())
    }
}
