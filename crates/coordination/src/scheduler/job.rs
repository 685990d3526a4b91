//! A job as the coordinator knows it: its record, its progress, its runs.

use std::{collections::BTreeMap, time::Duration};

use figrill_state::batch::{
    Batch, BatchState, Incarnation, Placement, Progress, Step, TaskId,
    TaskProgress,
};

/// Where a run stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// Its placement waits to be committed; nothing was ordered.
    Committing {
        /// The commit that holds it, once one does.
        commit: Option<u64>,
    },
    /// It was ordered. A snapshot taken after `settled_ms` of the upstream's
    /// clock tells whether it is there.
    Ordered {
        /// The upstream's clock, in milliseconds.
        settled_ms: u64,
    },
    /// It was seen there.
    Running {
        /// The upstream's clock when it was seen first, in milliseconds.
        seen_ms: u64,
    },
}

/// A run that may occupy a worker.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) agent: String,
    pub(super) upstream: Incarnation,
    pub(super) number: u32,
    pub(super) phase: Phase,
    /// When it was placed.
    pub(super) since: Duration,
    /// When its start was ordered.
    pub(super) ordered: Option<Duration>,
    /// When a stop was last sent, if it is to stop.
    pub(super) stopping: Option<Duration>,
    /// Its latest checkpoint.
    pub(super) checkpoint: String,
    /// How much is done, and when that last rose.
    pub(super) percent: u32,
    pub(super) moved: Duration,
    /// How much was done when this run was first seen.
    pub(super) began_at: u32,
}

/// A job.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) batch: Batch,
    pub(super) progress: Progress,
    /// Runs that may occupy a worker.
    pub(super) runs: BTreeMap<TaskId, Run>,
    /// When each unit of work became ready: by occurrence and step.
    pub(super) ready: BTreeMap<(u32, u32), Duration>,
    /// Agents where a task of this job failed or stood still.
    pub(super) avoid: Vec<String>,
}

impl Job {
    pub(super) fn new(batch: Batch, progress: Progress) -> Self {
        Self {
            batch,
            progress,
            runs: BTreeMap::new(),
            ready: BTreeMap::new(),
            avoid: Vec::new(),
        }
    }

    /// The progress of a task; made if it has none yet.
    pub(super) fn task_mut(
        &mut self,
        task: TaskId,
    ) -> Option<&mut TaskProgress> {
        let steps = &self.batch.steps;
        if task.occurrence >= self.batch.occurrences() {
            return None;
        }
        let rows = self.progress.tasks.entry(task.occurrence);
        let rows = rows.or_insert_with(|| {
            let row =
                |s: &Step| vec![TaskProgress::default(); s.count as usize];
            steps.iter().map(row).collect()
        });
        rows.get_mut(task.step as usize)?
            .get_mut(task.index as usize)
    }

    /// The progress of a task, if it has any.
    pub(super) fn task(&self, task: TaskId) -> Option<&TaskProgress> {
        self.progress
            .tasks
            .get(&task.occurrence)?
            .get(task.step as usize)?
            .get(task.index as usize)
    }

    /// All tasks of a step in an occurrence.
    pub(super) fn tasks_of(
        &self,
        occurrence: u32,
        step: u32,
    ) -> impl Iterator<Item = TaskId> + use<> {
        let job = self.batch.id;
        let count = self.batch.steps.get(step as usize);
        let count = count.map_or(0, |s| s.count);
        (0..count).map(move |index| TaskId {
            job,
            occurrence,
            step,
            index,
        })
    }

    /// Whether all tasks of a step are done.
    pub(super) fn is_step_done(&self, occurrence: u32, step: u32) -> bool {
        self.tasks_of(occurrence, step)
            .all(|t| self.task(t).is_some_and(|p| p.done))
    }

    /// Whether a step's tasks may start as far as earlier steps go.
    pub(super) fn is_step_open(&self, occurrence: u32, step: u32) -> bool {
        let Some(spec) = self.batch.steps.get(step as usize) else {
            return false;
        };
        spec.after.iter().all(|s| self.is_step_done(occurrence, *s))
    }

    /// Whether everything is done.
    pub(super) fn is_done(&self) -> bool {
        let steps = u32::try_from(self.batch.steps.len()).unwrap_or(0);
        (0..self.batch.occurrences())
            .all(|k| (0..steps).all(|s| self.is_step_done(k, s)))
    }

    /// Whether a task, or its gang, has failed as often as it may.
    pub(super) fn has_failed(&self) -> bool {
        let attempts = self.batch.attempts.max(1);
        let failed = |step: &Step, tasks: &[TaskProgress]| {
            !step.persistent
                && tasks.iter().any(|t| !t.done && t.failures >= attempts)
        };
        self.progress.tasks.values().any(|steps| {
            let both = self.batch.steps.iter().zip(steps);
            both.into_iter().any(|(step, tasks)| failed(step, tasks))
        })
    }

    /// Counts a failed run of a task; of a gang, once a run.
    pub(super) fn count_failure(&mut self, task: TaskId, run: u32) {
        let gang = self.batch.step(task).is_some_and(|s| s.gang);
        let counted = if gang {
            TaskId { index: 0, ..task }
        } else {
            task
        };
        if let Some(progress) = self.task_mut(counted)
            && progress.failed_run < run
        {
            progress.failed_run = run;
            progress.failures += 1;
        }
    }

    /// Places a run in memory; it must be committed before it is ordered.
    pub(super) fn place(
        &mut self,
        now: Duration,
        task: TaskId,
        run: u32,
        to: Placement,
        checkpoint: &str,
    ) {
        if let Some(progress) = self.task_mut(task) {
            progress.run = run;
            progress.placement = Some(to.clone());
            checkpoint.clone_into(&mut progress.checkpoint);
        }
        if self.progress.state == BatchState::Queued {
            self.progress.state = BatchState::Running;
        }
        let run = Run {
            agent: to.agent,
            upstream: to.upstream,
            number: run,
            phase: Phase::Committing { commit: None },
            since: now,
            ordered: None,
            stopping: None,
            checkpoint: checkpoint.to_owned(),
            percent: 0,
            moved: now,
            began_at: 0,
        };
        self.runs.insert(task, run);
    }

    /// When any member of a gang last showed progress.
    pub(super) fn gang_moved(&self, id: TaskId) -> Duration {
        self.tasks_of(id.occurrence, id.step)
            .filter_map(|member| self.runs.get(&member))
            .map(|run| run.moved)
            .max()
            .unwrap_or_default()
    }

    /// The most accelerators that one of its steps holds at once.
    pub(super) fn most_accelerators(&self) -> u64 {
        let of = |s: &Step| s.needs.accelerators * u64::from(s.count);
        self.batch.steps.iter().map(of).max().unwrap_or(0)
    }

    /// The latest end that the caller still counts as in time, in
    /// milliseconds since 1970.
    pub(super) fn due_ms(&self, occurrence: u32) -> u64 {
        let begin = if self.batch.schedule.is_some() {
            self.batch.due_ms(occurrence)
        } else {
            self.batch.accepted_ms
        };
        let chain = Duration::from_millis(self.chain_ms());
        let allowed = chain.mul_f64(self.batch.stretch.clamp(0.0, 1e6));
        let allowed = allowed + self.batch.target;
        begin + u64::try_from(allowed.as_millis()).unwrap_or(0)
    }

    /// How long the job may wait in all and still end when it is due, if
    /// its work takes what is `typical` at least.
    pub(super) fn slack(&self, typical: Duration) -> Duration {
        let chain = Duration::from_millis(self.chain_ms()).max(typical);
        let more = (self.batch.stretch - 1.0).clamp(0.0, 1e6);
        chain.mul_f64(more) + self.batch.target
    }

    /// The longest chain of estimates through the steps.
    fn chain_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::new();
        for step in &self.batch.steps {
            let before = step.after.iter();
            let begin = before
                .filter_map(|s| ends.get(*s as usize))
                .max()
                .copied()
                .unwrap_or(0);
            ends.push(begin + step.estimate_ms);
        }
        ends.into_iter().max().unwrap_or(0)
    }
}
