//! The incarnations of upstreams that agents report: which one is current, and
//! what becomes of the runs that were placed on the ones before.

use std::time::Duration;

use figrill_state::{
    batch::{Incarnation, TaskId},
    event::{Code, NewEvent},
    runner::UpstreamState,
};

use super::{
    Action, Now, Scheduler,
    job::{Phase, Run},
    message::StopResult,
};
use crate::registration::is_consistent;

impl Scheduler {
    /// Records the upstream of an agent, which has seen the fencing token
    /// `seen`. Returns `false` if it is an earlier incarnation than the one that
    /// is known, and that may still have runs.
    pub(super) fn update_upstream(
        &mut self,
        now: Now,
        agent: &str,
        upstream: &UpstreamState,
        seen: u64,
    ) -> bool {
        let token = self.order_token(agent).max(seen.saturating_sub(1));
        let worker = self.workers.entry(agent.to_owned()).or_default();
        let known = worker.incarnation().cloned();
        // The start of a later incarnation is the earlier time if the wall
        // clock was set back.
        let expired = now.monotonic >= worker.expires_at;
        let newer = known.as_ref().is_none_or(|k| {
            k.born_ms < upstream.incarnation.born_ms
                || (expired && *k != upstream.incarnation)
        });
        if !newer && known.as_ref() != Some(&upstream.incarnation) {
            return false;
        }
        if newer {
            worker.replace_incarnation(&upstream.incarnation, token);
        }
        // The sequence numbers of another writer's claims, which the agent has
        // corrected, say nothing.
        let previous_sequence = worker
            .upstream
            .as_ref()
            .filter(|u| !newer && is_consistent(u, upstream))
            .map(|u| u.sequence);
        if previous_sequence.is_some_and(|s| s > upstream.sequence) {
            // A restarted agent passed on a heartbeat that was overtaken.
            return true;
        }
        if upstream.draining && previous_sequence != Some(upstream.sequence) {
            worker.drain_reported_at = Some(now.monotonic);
        }
        worker.upstream = Some(upstream.clone());
        if newer {
            self.pending_work.plan = true;
            // Stops on the new incarnation carry its own token.
            self.assign_fences();
            self.record_worker_up(agent, upstream);
            self.health.record_restart(now.monotonic, agent);
            self.release_earlier_incarnations(
                now,
                agent,
                &upstream.incarnation,
            );
        }
        true
    }

    fn record_worker_up(&mut self, agent: &str, upstream: &UpstreamState) {
        let fence = self.workers.get(agent).map(|w| w.fence);
        let detail = format!(
            "agent={agent} upstream={} born={} rack={} fence={:?}",
            upstream.incarnation.id,
            upstream.incarnation.born_ms,
            upstream.rack,
            fence.unwrap_or_default()
        );
        let event = NewEvent::new(Code::WorkerUp, detail);
        self.actions.push(Action::RecordEvent(event));
    }

    /// Releases the runs that were placed on earlier incarnations of an
    /// upstream.
    ///
    /// A call to start a run that was not answered may still reach the current
    /// incarnation if it has the same id, because calls name only the id. That
    /// the earlier incarnation has listed the run says nothing about such a
    /// call, which may be a repeat. The run is first stopped on the current
    /// incarnation, so that it cannot begin there while its task already runs
    /// elsewhere.
    fn release_earlier_incarnations(
        &mut self,
        now: Now,
        agent: &str,
        current: &Incarnation,
    ) {
        for task in self.tasks_placed_on(agent, |placed| placed != current) {
            if !self.stop_on_successor(now, task, current) {
                self.release(task, "its upstream was replaced");
            }
            self.request_gang_stop(task, "a gang member was lost");
        }
        self.send_stops(now);
    }

    /// Requests the stop of a run on a later incarnation of its upstream if
    /// its start may still arrive there. Returns `false` if it cannot.
    fn stop_on_successor(
        &mut self,
        now: Now,
        task: TaskId,
        incarnation: &Incarnation,
    ) -> bool {
        let is_settled = self.is_settled(now, task);
        let job = self.jobs.get_mut(&task.job);
        let Some(run) = job.and_then(|j| j.runs.get_mut(&task)) else {
            return false;
        };
        if is_settled || run.upstream.id != incarnation.id {
            return false;
        }
        let detail = format!(
            "task={task} run={} agent={} upstream={} born={} \
             why=the next incarnation of its upstream may begin it",
            run.number, run.agent, incarnation.id, incarnation.born_ms
        );
        run.upstream = incarnation.clone();
        run.phase = Phase::Superseded {
            stopped_at_ms: None,
        };
        run.stopping = Some(Duration::ZERO);
        self.record_event(Code::PartStopped, task.job, &detail);
        true
    }

    /// Handles the acknowledgement of a stop by an incarnation. A snapshot that
    /// it takes later shows whether the run had begun before the stop.
    pub(super) fn handle_stop_result(
        &mut self,
        agent: &str,
        incarnation: &Incarnation,
        result: &StopResult,
    ) {
        let job = self.jobs.get_mut(&result.task.job);
        let Some(run) = job.and_then(|j| j.runs.get_mut(&result.task)) else {
            return;
        };
        let is_current = run.agent == agent
            && run.upstream == *incarnation
            && run.number == result.run;
        if is_current
            && let Phase::Superseded { stopped_at_ms } = &mut run.phase
        {
            stopped_at_ms.get_or_insert(result.clock_ms);
        }
    }

    /// Releases the runs of an incarnation that has ended, and of those that
    /// were there before it: an agent has one upstream at a time. `present` is
    /// the one that the agent has now. A run whose start is not settled is
    /// kept: a later incarnation with the same id would still carry out the
    /// order, unless the run is stopped there first.
    pub(super) fn handle_ended_incarnation(
        &mut self,
        now: Now,
        agent: &str,
        ended: &Incarnation,
        present: Option<&Incarnation>,
    ) {
        // After a change of the wall clock, the present one may be born before
        // one that has ended.
        let has_ended = |known: &Incarnation| {
            known == ended
                || known.born_ms < ended.born_ms && Some(known) != present
        };
        let worker = self.workers.get_mut(agent);
        let is_news = worker.is_some_and(|w| w.end_incarnation(has_ended));
        for task in self.tasks_placed_on(agent, has_ended) {
            if self.is_settled(now, task) {
                self.release(task, "its upstream has ended");
            } else if is_news {
                self.record_unsettled(now, task);
            }
            self.request_gang_stop(task, "a gang member was lost");
        }
    }

    fn record_unsettled(&mut self, now: Now, id: TaskId) {
        let job = self.jobs.get(&id.job);
        let Some(run) = job.and_then(|j| j.runs.get(&id)) else {
            return;
        };
        let waits = self.settles_at(now, run).saturating_sub(now.monotonic);
        let detail = format!(
            "task={id} run={} agent={} upstream={} born={} phase={} \
             answered={} waits_ms={}",
            run.number,
            run.agent,
            run.upstream.id,
            run.upstream.born_ms,
            run.phase.name(),
            run.is_answered,
            waits.as_millis()
        );
        self.record_event(Code::PartUnsettled, id.job, &detail);
    }

    /// Returns whether no call to start a task's run can begin it any more.
    pub(super) fn is_settled(&self, now: Now, id: TaskId) -> bool {
        let run = self.jobs.get(&id.job).and_then(|j| j.runs.get(&id));
        run.is_none_or(|r| now.monotonic >= self.settles_at(now, r))
    }

    /// Returns from when on no call to start a run can begin it any more. A
    /// worker that is silent may be suspended. One that answers has the only
    /// incarnation on its VM.
    fn settles_at(&self, now: Now, run: &Run) -> Duration {
        let worker = self.workers.get(&run.agent);
        let answers = worker.is_some_and(|w| w.is_reachable(now.monotonic));
        if run.settled_at.is_zero() || answers {
            run.settled_at
        } else {
            run.settled_at + self.limits.max_suspension
        }
    }

    /// Returns the tasks on an agent whose placement is on an incarnation for
    /// which `matches_placement` holds.
    fn tasks_placed_on(
        &self,
        agent: &str,
        matches_placement: impl Fn(&Incarnation) -> bool,
    ) -> Vec<TaskId> {
        let Some(worker) = self.workers.get(agent) else {
            return Vec::new();
        };
        let placed = |task: &TaskId| {
            let job = self.jobs.get(&task.job);
            let run = job.and_then(|j| j.runs.get(task));
            run.is_some_and(|r| matches_placement(&r.upstream))
        };
        let tasks = worker.allocations.keys().copied();
        tasks.filter(placed).collect()
    }
}
