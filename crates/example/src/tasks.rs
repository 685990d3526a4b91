//! The tasks of the example upstream. Each runs on its own thread, under a
//! lease that its agent renews.

use std::{
    collections::BTreeMap,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use figrill_state::upstream::{
    StartTask, TaskState, Upstream, UpstreamError, Usage,
};

use serde::{Deserialize, Serialize};

use crate::work::{self, TaskError};

/// The maximum number of ended tasks that are kept, so that a repeated call
/// still finds its task.
const MAX_ENDED_TASKS: usize = 4096;

struct Task {
    agent: u64,
    state: TaskState,
    lease_expires: Instant,
    stopping: bool,
    started: Instant,
    /// The run time of the earlier runs that the task resumes.
    prior_run_time: Duration,
}

/// The state that a stopped task saves for the task that resumes it.
#[derive(Serialize, Deserialize)]
struct Checkpoint {
    ran_ms: u64,
}

#[derive(Default)]
struct Inner {
    tasks: BTreeMap<String, Task>,
    ended: std::collections::VecDeque<String>,
    starts: Vec<String>,
    agent: Option<u64>,
    fail_all: bool,
}

#[derive(Default)]
struct Shared {
    inner: Mutex<Inner>,
    changed: Condvar,
}

/// A table of tasks. Clones share it.
#[derive(Clone, Default)]
pub struct Tasks {
    shared: Arc<Shared>,
}

impl Tasks {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.shared
            .inner
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the name of every task that was started, in the order of the
    /// starts.
    #[must_use]
    pub fn starts(&self) -> Vec<String> {
        self.lock().starts.clone()
    }

    /// Returns the agent that fenced the upstream last.
    #[must_use]
    pub fn fencing_agent(&self) -> Option<u64> {
        self.lock().agent
    }

    /// Sets whether each task fails as soon as it starts.
    pub fn fail_all(&self, fail: bool) {
        self.lock().fail_all = fail;
    }

    fn wait_for(&self, name: &str, wait: Duration) -> TaskState {
        let end = Instant::now() + wait;
        let mut inner = self.lock();
        loop {
            let Some(task) = inner.tasks.get(name) else {
                return TaskState::Unknown;
            };
            let remaining = end.saturating_duration_since(Instant::now());
            if task.state != TaskState::Running || remaining.is_zero() {
                return task.state.clone();
            }
            inner = self
                .shared
                .changed
                .wait_timeout(inner, remaining)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }

    fn run(&self, name: &str, input: &[u8], prior_run_time: Duration) {
        let fail_all = self.lock().fail_all;
        let mut should_stop = || {
            let inner = self.lock();
            inner.tasks.get(name).is_none_or(|t| {
                t.stopping || Instant::now() >= t.lease_expires
            })
        };
        let result = if fail_all {
            Err(TaskError::Failed("this worker fails everything".to_owned()))
        } else {
            work::run(input, prior_run_time, &mut should_stop)
        };
        let state = match result {
            Ok(answer) => TaskState::Answered(answer),
            Err(TaskError::Failed(reason)) => TaskState::Failed(reason),
            Err(TaskError::Stopped) => TaskState::Stopped,
        };
        let mut inner = self.lock();
        if let Some(task) = inner.tasks.get_mut(name) {
            task.state = state;
        }
        inner.ended.push_back(name.to_owned());
        if inner.ended.len() > MAX_ENDED_TASKS
            && let Some(oldest) = inner.ended.pop_front()
        {
            inner.tasks.remove(&oldest);
        }
        drop(inner);
        self.shared.changed.notify_all();
    }

    fn request_stop(&self, name: &str) {
        if let Some(task) = self.lock().tasks.get_mut(name) {
            task.stopping = true;
        }
    }
}

impl Upstream for Tasks {
    fn fence(&self, agent: u64) -> Result<(), UpstreamError> {
        let superseded: Vec<String> = {
            let mut inner = self.lock();
            inner.agent = Some(agent);
            let superseded = inner.tasks.iter_mut().filter(|(_, t)| {
                t.agent != agent && t.state == TaskState::Running
            });
            superseded
                .map(|(name, task)| {
                    task.stopping = true;
                    name.clone()
                })
                .collect()
        };
        for name in superseded {
            self.wait_for(&name, Duration::from_secs(1));
        }
        Ok(())
    }

    fn start(
        &self,
        task: &StartTask<'_>,
        wait: Duration,
    ) -> Result<TaskState, UpstreamError> {
        let mut inner = self.lock();
        if inner.agent.is_some_and(|agent| agent != task.agent) {
            return Err(UpstreamError("another agent is here".to_owned()));
        }
        if !inner.tasks.contains_key(task.name) {
            let now = Instant::now();
            let prior_run_time = task
                .checkpoint
                .and_then(|c| serde_json::from_slice(c).ok())
                .map_or(Duration::ZERO, |c: Checkpoint| {
                    Duration::from_millis(c.ran_ms)
                });
            let entry = Task {
                agent: task.agent,
                state: TaskState::Running,
                lease_expires: now + task.lease,
                stopping: false,
                started: now,
                prior_run_time,
            };
            inner.tasks.insert(task.name.to_owned(), entry);
            inner.starts.push(task.name.to_owned());
            let (this, name) = (self.clone(), task.name.to_owned());
            let input = task.input.to_vec();
            let spawned = thread::Builder::new()
                .name("task".to_owned())
                .spawn(move || this.run(&name, &input, prior_run_time));
            if let Err(e) = spawned {
                inner.tasks.remove(task.name);
                return Err(UpstreamError(e.to_string()));
            }
        }
        drop(inner);
        Ok(self.wait_for(task.name, wait))
    }

    fn wait(
        &self,
        name: &str,
        lease: Duration,
        wait: Duration,
    ) -> Result<TaskState, UpstreamError> {
        if let Some(task) = self.lock().tasks.get_mut(name) {
            task.lease_expires = Instant::now() + lease;
        }
        Ok(self.wait_for(name, wait))
    }

    fn checkpoint(
        &self,
        name: &str,
        _wait: Duration,
    ) -> Result<Option<Vec<u8>>, UpstreamError> {
        // The run time is the only state of an echo task worth saving. A round
        // is planned anew instead.
        let inner = self.lock();
        let task = inner.tasks.get(name);
        Ok(task.and_then(|t| {
            let run_time = t.prior_run_time + t.started.elapsed();
            let ran_ms = u64::try_from(run_time.as_millis()).ok()?;
            serde_json::to_vec(&Checkpoint { ran_ms }).ok()
        }))
    }

    fn throttle(&self, _name: &str) -> Result<(), UpstreamError> {
        Ok(())
    }

    fn stop(&self, name: &str) -> Result<(), UpstreamError> {
        self.request_stop(name);
        match self.wait_for(name, Duration::from_secs(2)) {
            TaskState::Running => {
                Err(UpstreamError("it goes on running".to_owned()))
            }
            _ => Ok(()),
        }
    }

    fn usage(&self) -> Result<Usage, UpstreamError> {
        let inner = self.lock();
        let running = inner
            .tasks
            .values()
            .filter(|t| t.state == TaskState::Running)
            .count();
        let tasks = u32::try_from(running).unwrap_or(u32::MAX);
        Ok(Usage {
            tasks,
            memory_mib: 0,
        })
    }
}
