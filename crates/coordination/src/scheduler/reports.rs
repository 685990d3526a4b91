//! Handling of the reports of agents: which runs of their upstreams are active
//! or have ended.

use std::{collections::BTreeSet, time::Duration};

use figrill_state::{
    batch::{Incarnation, TaskId},
    event::{Code, NewEvent},
    runner::{ActiveRun, EndedRun, Refusal, RunEnd, Snapshot, StartOutcome},
};

use super::{
    Action, Now, Scheduler,
    job::{Phase, Run},
    message::{Grant, Report, StartResult, ToAgent},
    speed::Observation,
    worker::RunResult,
};

/// Handles a report and answers it with a grant. The answer is left out if the
/// report has no snapshot of the upstream's current incarnation.
pub(super) fn handle(
    scheduler: &mut Scheduler,
    now: Now,
    agent: &str,
    report: Report,
) {
    scheduler.workers.entry(agent.to_owned()).or_default();
    for result in &report.start_results {
        scheduler.handle_start_result(now, agent, result);
    }
    if let Some(upstream) = &report.upstream {
        for result in &report.stop_results {
            scheduler.handle_stop_result(agent, &upstream.incarnation, result);
        }
    }
    if let Some(ended_incarnation) = &report.ended_incarnation {
        let present = report.upstream.as_ref().map(|u| &u.incarnation);
        scheduler.handle_ended_incarnation(
            now,
            agent,
            ended_incarnation,
            present,
        );
    }
    let Some(upstream) = report.upstream else {
        return;
    };
    if !scheduler.update_upstream(now, agent, &upstream, report.token) {
        return;
    }
    scheduler.record_agent_token(agent, report.token);
    let Some(snapshot) = report.snapshot else {
        return;
    };
    if !scheduler.is_fenced(agent) {
        // A call for an earlier incarnation could still change what the
        // snapshot shows.
        return;
    }
    if report.token != scheduler.order_token(agent) {
        // The agent does not know the token: the message with it was lost.
        scheduler.send_token(agent);
        return;
    }
    if snapshot.born_ms != upstream.incarnation.born_ms {
        return;
    }
    scheduler.apply_snapshot(now, agent, &upstream.incarnation, &snapshot);
    scheduler.send_grant(now, agent, snapshot.clock_ms);
}

impl Scheduler {
    /// Handles the result of an order to start a run. A refused run is
    /// released; an unknown outcome is resolved by a later snapshot.
    fn handle_start_result(
        &mut self,
        now: Now,
        agent: &str,
        result: &StartResult,
    ) {
        let (id, outcome) = (result.task, result.outcome);
        let worker = self.workers.get(agent);
        let earliest_clock_ms =
            worker.and_then(|w| w.earliest_clock(now.monotonic));
        if matches!(outcome, StartOutcome::Running { .. }) {
            self.record_start(now, id, agent, "answer");
        }
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        // A result that arrives late may be that of an earlier run.
        let is_current =
            |r: &&mut Run| r.agent == agent && r.number == result.run;
        let Some(run) = job.runs.get_mut(&id).filter(is_current) else {
            return;
        };
        match outcome {
            StartOutcome::Running { clock_ms } => {
                // An answer with a lower clock may come from a later
                // incarnation of the same id, whose clock was reset. The next
                // snapshot shows whether the run exists.
                let is_of_known_incarnation =
                    earliest_clock_ms.is_some_and(|ms| clock_ms >= ms);
                run.is_answered = true;
                match run.phase {
                    Phase::Ordered { .. } if is_of_known_incarnation => {
                        run.settled_at = Duration::ZERO;
                        run.progressed_at = now.monotonic;
                        run.phase = Phase::Running {
                            first_seen_ms: clock_ms,
                        };
                    }
                    Phase::Running { .. } => run.settled_at = Duration::ZERO,
                    _ => {}
                }
            }
            StartOutcome::Unknown => {}
            StartOutcome::Refused(refusal) => {
                run.is_answered = true;
                if !run.phase.awaits_start() {
                    return;
                }
                self.release(id, refusal.name());
                self.request_gang_stop(
                    id,
                    "the start of a gang member was refused",
                );
                if refusal == Refusal::Unhealthy {
                    self.record_failure(now, id, agent, RunResult::Stuck);
                    if let Some(worker) = self.workers.get_mut(agent) {
                        worker.record_refusal(now.monotonic);
                    }
                }
            }
        }
    }

    /// Updates the runs of a worker from a snapshot of its upstream.
    fn apply_snapshot(
        &mut self,
        now: Now,
        agent: &str,
        incarnation: &Incarnation,
        snapshot: &Snapshot,
    ) {
        // Until its first snapshot, the upstream may have taken a lease from a
        // call that was meant for an earlier incarnation.
        let earlier_lease_expiry = self.lease_expiry(now.monotonic);
        let Some(worker) = self.workers.get_mut(agent) else {
            return;
        };
        if worker.clock.is_none() {
            worker.expires_at = worker.expires_at.max(earlier_lease_expiry);
        }
        let known_clock_ms = worker.clock.map_or(0, |(clock, _)| clock);
        if snapshot.clock_ms < known_clock_ms {
            // A later snapshot has overtaken this one.
            return;
        }
        worker.clock = Some((snapshot.clock_ms, now.monotonic));
        let last_end_number = worker.last_end_number;
        let mut is_final = true;
        for ended in
            snapshot.ended.iter().filter(|e| e.number > last_end_number)
        {
            self.record_start(now, ended.task, agent, "end");
            // Ends are acknowledged in their order, so those after one that
            // is not final wait as well.
            is_final &= !self.may_begin_again(now, agent, ended);
            if is_final {
                self.apply_end(now, agent, ended);
            }
        }
        for running in &snapshot.running {
            self.apply_running(
                now,
                agent,
                incarnation,
                snapshot.clock_ms,
                running,
            );
        }
        self.record_completeness(agent, snapshot);
        self.release_absent(now, agent, snapshot);
        self.stop_orphans(agent, snapshot);
    }

    /// Records whether a worker's snapshot has all its ended runs.
    fn record_completeness(&mut self, agent: &str, snapshot: &Snapshot) {
        let Some(worker) = self.workers.get_mut(agent) else {
            return;
        };
        let incomplete = !snapshot.lists_all_ends();
        if worker.ends_incomplete == incomplete {
            return;
        }
        worker.ends_incomplete = incomplete;
        let code = if incomplete {
            Code::EndsIncomplete
        } else {
            Code::EndsComplete
        };
        let detail = format!(
            "agent={agent} listed={} last={} committed={} placed={}",
            snapshot.ended.len(),
            worker.last_end_number,
            worker.acknowledged(),
            worker.allocations.len(),
        );
        let event = NewEvent::new(code, detail);
        self.actions.push(Action::RecordEvent(event));
    }

    /// Records that a task has started, as `evidence` shows. Its job is no
    /// longer queued from then on, whatever becomes of the run.
    fn record_start(
        &mut self,
        now: Now,
        id: TaskId,
        agent: &str,
        evidence: &str,
    ) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        if job.task(id).is_none() || !job.record_start() {
            return;
        }
        let age_ms = now.wall_ms.saturating_sub(job.batch.accepted_ms);
        let detail = format!(
            "task={id} agent={agent} shown_by={evidence} age_ms={age_ms}"
        );
        self.dirty.insert(id.job);
        self.queued_changed = true;
        self.record_event(Code::JobStarted, id.job, &detail);
    }

    /// Returns whether a call to start a run that has ended is still on its
    /// way. The end is not taken for final until then: should the upstream
    /// start again meanwhile, its next incarnation may begin the run.
    fn may_begin_again(
        &self,
        now: Now,
        agent: &str,
        ended: &EndedRun,
    ) -> bool {
        let job = self.jobs.get(&ended.task.job);
        let run = job.and_then(|j| j.runs.get(&ended.task));
        run.is_some_and(|r| {
            r.agent == agent
                && r.number == ended.run
                && r.awaits_answers(now.monotonic)
        })
    }

    /// Handles the end of a run that a snapshot lists.
    fn apply_end(&mut self, now: Now, agent: &str, ended: &EndedRun) {
        let id = ended.task;
        if let Some(worker) = self.workers.get_mut(agent) {
            worker.last_end_number = ended.number;
        }
        if !self.jobs.contains_key(&id.job) {
            // The job is unknown or its end was committed, so nothing depends
            // on this end.
            return;
        }
        if let Some(worker) = self.workers.get_mut(agent) {
            worker.uncommitted_ends.insert(ended.number, id.job);
        }
        self.dirty.insert(id.job);
        let current = self.jobs.get_mut(&id.job).and_then(|job| {
            let run = job.runs.get_mut(&id)?;
            (run.agent == agent && run.number == ended.run).then_some(run)
        });
        let is_current = current.is_some();
        if let Some(run) = current
            && !ended.checkpoint.is_empty()
        {
            run.checkpoint.clone_from(&ended.checkpoint);
        }
        let mut failure = RunResult::Failed;
        if is_current && let Some(run) = self.release(id, ended.end.name()) {
            self.record_run_time(now, id, &run, ended.end);
            if ended.end == RunEnd::Failed {
                failure = self.failure_of(now, id, &run);
            }
        }
        match ended.end {
            RunEnd::Done => {
                self.handle_success(now, agent, id);
            }
            RunEnd::Failed if is_current => {
                if let Some(job) = self.jobs.get_mut(&id.job) {
                    job.count_failure(id, ended.run);
                }
                self.record_failure(now, id, agent, failure);
                self.request_gang_stop(id, "a gang member failed");
                self.update_job_state(now, id.job);
            }
            _ if is_current => {
                self.request_gang_stop(id, "a gang member ended");
            }
            _ => {}
        }
    }

    /// Records the duration of a run to estimate the run times of its queue,
    /// unless it did only part of the work of its task.
    fn record_run_time(
        &mut self,
        now: Now,
        id: TaskId,
        run: &Run,
        end: RunEnd,
    ) {
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let is_full_run = end == RunEnd::Done && run.initial_percent == 0;
        if let (true, Some(at)) = (is_full_run, run.ordered_at) {
            let kind = self.run_times.kind_of_queue(&job.batch.queue);
            self.run_times
                .record(kind, now.monotonic.saturating_sub(at));
        }
    }

    /// Marks the task of a successful run as done.
    fn handle_success(&mut self, now: Now, agent: &str, id: TaskId) {
        self.record_success(now, id, agent);
        self.mark_done(now, id);
        // A later run of the same task has nothing left to do.
        let gang = self
            .jobs
            .get(&id.job)
            .and_then(|j| j.batch.step(id))
            .is_some_and(|s| s.gang);
        if !gang {
            self.request_stop(id, "an earlier run of the task succeeded");
        }
    }

    /// Updates a run that a snapshot lists as running.
    fn apply_running(
        &mut self,
        now: Now,
        agent: &str,
        incarnation: &Incarnation,
        clock_ms: u64,
        running: &ActiveRun,
    ) {
        self.record_start(now, running.task, agent, "list");
        let Some(job) = self.jobs.get_mut(&running.task.job) else {
            return;
        };
        let Some(run) = job.runs.get_mut(&running.task) else {
            return;
        };
        if run.agent != agent
            || run.number != running.run
            || run.upstream != *incarnation
        {
            return;
        }
        if run.calls_have_ended(now.monotonic) {
            run.settled_at = Duration::ZERO;
        }
        if run.record_progress(running.percent) {
            let started_at = run.ordered_at.unwrap_or(run.placed_at);
            self.health.record_progress(agent, started_at);
            job.has_progressed = true;
        }
        if let Phase::Ordered { .. } = run.phase {
            run.phase = Phase::Running {
                first_seen_ms: clock_ms,
            };
            run.percent = running.percent;
            run.initial_percent = running.percent;
            run.progressed_at = now.monotonic;
        }
        if running.percent > run.percent {
            run.percent = running.percent;
            run.progressed_at = now.monotonic;
        }
        let observation = Observation {
            task: running.task,
            run: running.run,
            agent,
            clock_ms,
            percent: running.percent,
        };
        if !running.checkpoint.is_empty() {
            run.checkpoint.clone_from(&running.checkpoint);
        }
        self.observe_speed(now, &observation);
    }

    /// Releases runs that a snapshot should list but does not. A snapshot that
    /// may lack ended runs shows nothing about a run that it lacks: its end
    /// may follow once the listed ones are acknowledged.
    fn release_absent(&mut self, now: Now, agent: &str, snapshot: &Snapshot) {
        if !snapshot.lists_all_ends() {
            return;
        }
        let running = snapshot.running.iter().map(|r| (r.task, r.run));
        let ended = snapshot.ended.iter().map(|e| (e.task, e.run));
        let listed: BTreeSet<(TaskId, u32)> = running.chain(ended).collect();
        let Some(worker) = self.workers.get(agent) else {
            return;
        };
        let absent: Vec<TaskId> = worker
            .allocations
            .keys()
            .copied()
            .filter(|task| {
                let job = self.jobs.get(&task.job);
                let Some(run) = job.and_then(|j| j.runs.get(task)) else {
                    return false;
                };
                run.conclusive_after_ms(now.monotonic).is_some_and(|ms| {
                    snapshot.clock_ms > ms
                        && !listed.contains(&(*task, run.number))
                })
            })
            .collect();
        for task in absent {
            let run = self.release(task, "the upstream does not list the run");
            let never_started = run.is_some_and(|r| {
                matches!(r.phase, Phase::Ordered { .. })
                    && r.stopping.is_none()
            });
            if never_started {
                self.record_failure(now, task, agent, RunResult::Failed);
            }
            self.request_gang_stop(
                task,
                "the upstream does not list a gang member",
            );
        }
    }

    /// Extends the deadline of the runs on a worker to the duration of a grant
    /// after `clock_ms`, the upstream's clock in the snapshot.
    fn send_grant(&mut self, now: Now, agent: &str, clock_ms: u64) {
        let expires_at = self.grant_expiry(now.monotonic);
        let duration_ms =
            u64::try_from(self.grant_duration().as_millis()).unwrap_or(0);
        let token = self.order_token(agent);
        let Some(worker) = self.workers.get_mut(agent) else {
            return;
        };
        let Some(upstream) = worker.incarnation().cloned() else {
            return;
        };
        worker.expires_at = worker.expires_at.max(expires_at);
        let grant = Grant {
            token,
            upstream,
            deadline_ms: Some(clock_ms + duration_ms),
            acknowledged: worker.acknowledgement(now.monotonic),
        };
        self.send(agent, ToAgent::Grant(grant));
    }
}
