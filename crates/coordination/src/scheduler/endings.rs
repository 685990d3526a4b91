//! The end of runs, tasks and jobs, and the stopping of runs.

use std::time::Duration;

use figrill_state::{
    batch::{BatchId, BatchState, TaskId},
    event::Code,
};

use super::{
    Now, Scheduler,
    job::{Phase, Run},
    message::ToAgent,
};

/// The time after which a stop is sent again while its run still exists.
const STOP_RETRY_INTERVAL: Duration = Duration::from_millis(500);

impl Scheduler {
    /// Removes a run that has certainly ended or will never begin, frees its
    /// resources and keeps its checkpoint. Returns the run; `None` if there is
    /// no such run.
    pub(super) fn release(&mut self, id: TaskId, reason: &str) -> Option<Run> {
        let job = self.jobs.get_mut(&id.job)?;
        let run = job.remove_run(id)?;
        if let Some(task) = job.task_mut(id) {
            task.placement = None;
            if !run.checkpoint.is_empty() {
                task.checkpoint.clone_from(&run.checkpoint);
            }
        }
        if let Some(worker) = self.workers.get_mut(&run.agent) {
            worker.allocations.remove(&id);
            worker.record_open_start(run.open_until());
        }
        self.learnt_speeds.end(id);
        self.dirty.insert(id.job);
        self.pending_work.plan = true;
        let detail = format!(
            "task={id} run={} agent={} upstream={} born={} phase={} \
             percent={} why={reason}",
            run.number,
            run.agent,
            run.upstream.id,
            run.upstream.born_ms,
            run.phase.name(),
            run.percent
        );
        self.record_event(Code::PartEnded, id.job, &detail);
        self.share_gang_checkpoint(id, &run.checkpoint);
        Some(run)
    }

    /// Gives all members of a gang the checkpoint of one member. They all
    /// have to start from the same checkpoint, and the latest one wins.
    pub(super) fn share_gang_checkpoint(
        &mut self,
        id: TaskId,
        checkpoint: &str,
    ) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let gang = job.batch.step(id).is_some_and(|s| s.gang);
        if !gang || checkpoint.is_empty() {
            return;
        }
        for member in job.tasks_of(id.occurrence, id.step) {
            if let Some(task) = job.task_mut(member) {
                checkpoint.clone_into(&mut task.checkpoint);
            }
        }
    }

    /// Marks a task as done; for a member of a gang, all members. Tasks of
    /// persistent steps are never done.
    pub(super) fn mark_done(&mut self, now: Now, id: TaskId) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let gang = job.batch.step(id).is_some_and(|s| s.gang);
        let persistent = job.batch.step(id).is_some_and(|s| s.persistent);
        if persistent || job.is_task_done(id) {
            return;
        }
        let members: Vec<TaskId> = if gang {
            job.tasks_of(id.occurrence, id.step).collect()
        } else {
            vec![id]
        };
        for member in members {
            job.set_done(member);
        }
        self.dirty.insert(id.job);
        self.pending_work.plan = true;
        self.update_job_state(now, id.job);
    }

    /// Checks whether a job has ended, and requests the stop of its remaining
    /// runs if so.
    pub(super) fn update_job_state(&mut self, now: Now, id: BatchId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if !job.progress.state.is_final() {
            let state = if job.is_done() {
                BatchState::Done
            } else if job.batch.cancelled {
                BatchState::Cancelled
            } else if job.has_failed() {
                BatchState::Failed
            } else {
                return;
            };
            job.progress.state = state;
            job.progress.ended_ms = now.wall_ms;
            let detail = format!(
                "state={state:?} age_ms={} due_in_ms={}",
                now.wall_ms.saturating_sub(job.batch.accepted_ms),
                i128::from(job.due_ms(0)) - i128::from(now.wall_ms),
            );
            self.dirty.insert(id);
            self.record_event(Code::JobEnded, id, &detail);
        }
        self.request_job_stop(id);
    }

    /// Requests the stop of all runs of a job whose tasks are not done.
    pub(super) fn request_job_stop(&mut self, id: BatchId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let runs: Vec<TaskId> = job
            .runs
            .iter()
            .filter(|(task, _)| !job.is_task_done(**task))
            .map(|(task, _)| *task)
            .collect();
        for task in runs {
            self.request_stop(task, "the job has ended");
        }
    }

    /// Requests the stop of a run. A run whose start was not ordered yet is
    /// released at once.
    pub(super) fn request_stop(&mut self, id: TaskId, reason: &str) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let Some(run) = job.runs.get_mut(&id) else {
            return;
        };
        if matches!(run.phase, Phase::Committing { .. }) {
            self.release(id, reason);
            return;
        }
        if run.stopping.is_none() {
            run.stopping = Some(Duration::ZERO);
            self.pending_work.send_stops = true;
            let detail = format!(
                "task={id} run={} agent={} percent={} why={reason}",
                run.number, run.agent, run.percent
            );
            self.record_event(Code::PartStopped, id.job, &detail);
        }
    }

    /// Requests the stop of all members of a gang that are not done. Does
    /// nothing if the task is not a member of a gang.
    pub(super) fn request_gang_stop(&mut self, id: TaskId, reason: &str) {
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        if !job.batch.step(id).is_some_and(|s| s.gang) {
            return;
        }
        let members: Vec<TaskId> = job
            .tasks_of(id.occurrence, id.step)
            .filter(|t| !job.is_task_done(*t))
            .collect();
        for member in members {
            self.request_stop(member, reason);
        }
    }

    /// Sends the stops that were requested, and repeats those whose runs still
    /// exist after [`STOP_RETRY_INTERVAL`].
    pub(super) fn send_stops(&mut self, now: Now) {
        let mut stops = Vec::new();
        for job in self.jobs.values_mut() {
            for (task, run) in &mut job.runs {
                let Some(sent) = run.stopping else {
                    continue;
                };
                let is_first = sent == Duration::ZERO;
                if !is_first && now.monotonic < sent + STOP_RETRY_INTERVAL {
                    continue;
                }
                // Zero would mean that no stop was sent yet.
                run.stopping =
                    Some(now.monotonic.max(Duration::from_nanos(1)));
                let upstream = run.upstream.clone();
                let stop = (run.agent.clone(), upstream, *task, run.number);
                stops.push(stop);
            }
        }
        for (agent, upstream, task, run) in stops {
            let message = ToAgent::Stop {
                upstream,
                token: self.order_token(&agent),
                task,
                run,
            };
            self.send(&agent, message);
        }
    }
}
