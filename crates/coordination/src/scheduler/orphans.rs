//! Runs that an upstream lists and that have no placement there: their starts
//! were given up, and an upstream began them all the same.

use std::collections::BTreeSet;

use figrill_state::{batch::TaskId, event::Code, runner::Snapshot};

use super::{Now, Scheduler, message::ToAgent, task_group::TaskGroup};

impl Scheduler {
    /// Stops runs without a placement. They count against the resources of
    /// the worker, and their tasks are not started, until a snapshot no longer
    /// lists them.
    pub(super) fn stop_orphans(&mut self, agent: &str, snapshot: &Snapshot) {
        let mut orphans = Vec::new();
        for running in &snapshot.running {
            let job = self.jobs.get(&running.task.job);
            let run = job.and_then(|j| j.runs.get(&running.task));
            let has_placement = run
                .is_some_and(|r| r.agent == agent && r.number == running.run);
            if has_placement {
                continue;
            }
            let step = job.and_then(|j| j.batch.step(running.task));
            let needs = step.map(|s| s.needs);
            orphans.push((running.task, running.run, needs));
        }
        let Some(worker) = self.workers.get_mut(agent) else {
            return;
        };
        worker.orphans.clone_from(&orphans);
        let Some(upstream) = worker.incarnation().cloned() else {
            return;
        };
        for (task, run, _) in orphans {
            let detail = format!(
                "task={task} run={run} agent={agent} upstream={} born={} \
                 clock_ms={} why=no placement",
                upstream.id, upstream.born_ms, snapshot.clock_ms
            );
            self.record_event(Code::PartStopped, task.job, &detail);
            let message = ToAgent::Stop {
                upstream: upstream.clone(),
                token: self.order_token(agent),
                task,
                run,
            };
            self.send(agent, message);
        }
    }

    /// Returns whether an upstream may still have a run of a task that is not
    /// placed there.
    pub(super) fn has_orphan(&self, now: Now, id: TaskId) -> bool {
        self.orphaned_tasks(now).contains(&id)
    }

    /// Removes the tasks that must not be started yet because an upstream may
    /// still have an earlier run of them. The members of a gang wait together.
    pub(super) fn withhold_orphaned(
        &self,
        now: Now,
        groups: &mut Vec<TaskGroup>,
    ) {
        let orphaned = self.orphaned_tasks(now);
        if orphaned.is_empty() {
            return;
        }
        for group in &mut *groups {
            let is_orphaned = |task: &TaskId| orphaned.contains(task);
            if group.gang && group.tasks.iter().any(is_orphaned) {
                group.tasks.clear();
            } else {
                group.tasks.retain(|task| !is_orphaned(task));
            }
        }
        groups.retain(|group| !group.tasks.is_empty());
    }

    fn orphaned_tasks(&self, now: Now) -> BTreeSet<TaskId> {
        let workers = self.workers.values();
        let holding = workers.filter(|w| now.monotonic < w.expires_at);
        let orphans = holding.flat_map(|w| &w.orphans);
        orphans.map(|(task, ..)| *task).collect()
    }
}
