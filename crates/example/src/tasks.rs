//! The tasks of an example upstream, each on a thread of its own, under
//! leases that its agent renews.

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

use crate::work::{self, NoAnswer};

/// Ended tasks that are remembered, so that a repeated call finds them.
const ENDED_MAX: usize = 4096;

struct Task {
    agent: u64,
    state: TaskState,
    lease_until: Instant,
    stopping: bool,
    started: Instant,
    ran: Duration,
}

/// What a stopped task leaves for the one that goes on.
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

/// A table of tasks; clones share it.
#[derive(Clone, Default)]
pub struct Tasks {
    shared: Arc<Shared>,
}

impl Tasks {
    /// No tasks.
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

    /// Each task that was ever started, in order: one line a start.
    #[must_use]
    pub fn starts(&self) -> Vec<String> {
        self.lock().starts.clone()
    }

    /// The agent that fenced the upstream last.
    #[must_use]
    pub fn agent(&self) -> Option<u64> {
        self.lock().agent
    }

    /// Makes each task fail as soon as it starts, or no longer.
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
            let left = end.saturating_duration_since(Instant::now());
            if task.state != TaskState::Running || left.is_zero() {
                return task.state.clone();
            }
            inner = self
                .shared
                .changed
                .wait_timeout(inner, left)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }

    fn run(&self, name: &str, input: &[u8], ran: Duration) {
        let fail_all = self.lock().fail_all;
        let mut stop = || {
            let inner = self.lock();
            inner
                .tasks
                .get(name)
                .is_none_or(|t| t.stopping || Instant::now() >= t.lease_until)
        };
        let result = if fail_all {
            Err(NoAnswer::Failed("this worker fails everything".to_owned()))
        } else {
            work::run(input, ran, &mut stop)
        };
        let state = match result {
            Ok(answer) => TaskState::Answered(answer),
            Err(NoAnswer::Failed(why)) => TaskState::Failed(why),
            Err(NoAnswer::Stopped) => TaskState::Stopped,
        };
        let mut inner = self.lock();
        if let Some(task) = inner.tasks.get_mut(name) {
            task.state = state;
        }
        inner.ended.push_back(name.to_owned());
        if inner.ended.len() > ENDED_MAX
            && let Some(oldest) = inner.ended.pop_front()
        {
            inner.tasks.remove(&oldest);
        }
        drop(inner);
        self.shared.changed.notify_all();
    }

    fn ask_to_stop(&self, name: &str) {
        if let Some(task) = self.lock().tasks.get_mut(name) {
            task.stopping = true;
        }
    }
}

impl Upstream for Tasks {
    fn fence(&self, agent: u64) -> Result<(), UpstreamError> {
        let others: Vec<String> = {
            let mut inner = self.lock();
            inner.agent = Some(agent);
            let others = inner.tasks.iter_mut().filter(|(_, t)| {
                t.agent != agent && t.state == TaskState::Running
            });
            others
                .map(|(name, task)| {
                    task.stopping = true;
                    name.clone()
                })
                .collect()
        };
        for name in others {
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
            let ran = task
                .checkpoint
                .and_then(|c| serde_json::from_slice(c).ok())
                .map_or(Duration::ZERO, |c: Checkpoint| {
                    Duration::from_millis(c.ran_ms)
                });
            let entry = Task {
                agent: task.agent,
                state: TaskState::Running,
                lease_until: now + task.lease,
                stopping: false,
                started: now,
                ran,
            };
            inner.tasks.insert(task.name.to_owned(), entry);
            inner.starts.push(task.name.to_owned());
            let (this, name) = (self.clone(), task.name.to_owned());
            let input = task.input.to_vec();
            let spawned = thread::Builder::new()
                .name("task".to_owned())
                .spawn(move || this.run(&name, &input, ran));
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
            task.lease_until = Instant::now() + lease;
        }
        Ok(self.wait_for(name, wait))
    }

    fn checkpoint(
        &self,
        name: &str,
        _wait: Duration,
    ) -> Result<Option<Vec<u8>>, UpstreamError> {
        // How long it has run is all that there is to save of an echo; a
        // round is planned anew.
        let inner = self.lock();
        let task = inner.tasks.get(name);
        Ok(task.and_then(|t| {
            let ran = t.ran + t.started.elapsed();
            let ran_ms = u64::try_from(ran.as_millis()).ok()?;
            serde_json::to_vec(&Checkpoint { ran_ms }).ok()
        }))
    }

    fn throttle(&self, _name: &str) -> Result<(), UpstreamError> {
        Ok(())
    }

    fn stop(&self, name: &str) -> Result<(), UpstreamError> {
        self.ask_to_stop(name);
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
