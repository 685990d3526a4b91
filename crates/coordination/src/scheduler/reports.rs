//! What an agent's report changes.

use std::{collections::BTreeSet, time::Duration};

use figrill_state::{
    batch::{Incarnation, TaskId},
    event::Code,
    runner::{ActiveRun, EndedRun, RunEnd, Snapshot, Upstream},
};

use super::{
    HOLD, Now, Scheduler,
    job::{Phase, Run},
    message::{Grant, Report, StopResult, ToAgent},
    over_at,
    speed::Seen,
    worker::Verdict,
};

/// Takes a report in and answers it.
pub(super) fn take(
    scheduler: &mut Scheduler,
    now: Now,
    agent: &str,
    report: Report,
) {
    scheduler.workers.entry(agent.to_owned()).or_default();
    for result in report.results {
        scheduler.started(now, agent, result.task, result.started);
    }
    for stopped in &report.stopped {
        scheduler.stop_answered(agent, stopped);
    }
    if let Some(gone) = &report.gone {
        scheduler.incarnation_ended(agent, gone);
    }
    let Some(upstream) = report.upstream else {
        return;
    };
    if !scheduler.register(now, agent, &upstream) {
        return;
    }
    let Some(snapshot) = report.snapshot else {
        return;
    };
    if report.token != scheduler.token {
        // It has not heard of this coordinator: the word was lost.
        scheduler.agent_up(agent);
        return;
    }
    if snapshot.born_ms != upstream.incarnation.born_ms {
        return;
    }
    scheduler.take_snapshot(now, agent, &upstream.incarnation, &snapshot);
    scheduler.grant(now, agent, snapshot.clock_ms);
}

impl Scheduler {
    /// Takes note of an upstream. `false` if it is an earlier life than the
    /// one that is known.
    fn register(
        &mut self,
        now: Now,
        agent: &str,
        upstream: &Upstream,
    ) -> bool {
        let worker = self.workers.entry(agent.to_owned()).or_default();
        let known = worker.incarnation().cloned();
        let newer = known
            .as_ref()
            .is_none_or(|k| k.born_ms < upstream.incarnation.born_ms);
        if !newer && known.as_ref() != Some(&upstream.incarnation) {
            return false;
        }
        if newer {
            // All that this agent's upstream was ordered before its present
            // life is gone with the life it had then.
            worker.clock = None;
            worker.seen = 0;
            worker.uncommitted.clear();
            worker.orphans.clear();
            worker.leaves_from = None;
        }
        let before = worker.upstream.as_ref().map(|u| u.sequence);
        if upstream.draining && before != Some(upstream.sequence) {
            worker.leaves_from = Some(now.steady);
        }
        worker.upstream = Some(upstream.clone());
        if newer {
            let detail = format!(
                "agent={agent} upstream={} born={} rack={}",
                upstream.incarnation.id,
                upstream.incarnation.born_ms,
                upstream.rack
            );
            let note =
                figrill_state::event::NewEvent::new(Code::WorkerUp, detail);
            self.out.push(super::Action::Note(note));
            self.release_earlier_incarnations(
                now,
                agent,
                &upstream.incarnation,
            );
        }
        true
    }

    /// Releases what was placed on lives of an upstream before this one.
    ///
    /// An order that no earlier life answered may yet reach this one, if it
    /// has the same name: calls name an upstream by that alone. Such a run
    /// is stopped here, so that it cannot begin, before its task goes on.
    fn release_earlier_incarnations(
        &mut self,
        now: Now,
        agent: &str,
        now_is: &Incarnation,
    ) {
        let earlier = |placed: &Incarnation| {
            placed != now_is && placed.born_ms <= now_is.born_ms
        };
        for task in self.placed_where(agent, earlier) {
            if !self.bar_from(task, now_is) {
                self.release(task, "its upstream has ended");
            }
            self.stop_gang_of(task, "a member was lost");
        }
        self.send_stops(now);
    }

    /// Has a run stopped on a later life of its upstream if its order may
    /// still be on its way there. `false` if it cannot be.
    fn bar_from(&mut self, task: TaskId, life: &Incarnation) -> bool {
        let job = self.jobs.get_mut(&task.job);
        let Some(run) = job.and_then(|j| j.runs.get_mut(&task)) else {
            return false;
        };
        let ordered = matches!(run.phase, Phase::Ordered { .. });
        if !ordered || run.upstream.id != life.id {
            return false;
        }
        run.upstream = life.clone();
        run.phase = Phase::Ordered {
            settled_ms: u64::MAX,
        };
        run.stopping = Some(Duration::ZERO);
        true
    }

    /// A stop was answered: a list taken later tells whether the run had
    /// begun before.
    fn stop_answered(&mut self, agent: &str, stopped: &StopResult) {
        let job = self.jobs.get_mut(&stopped.task.job);
        let Some(run) = job.and_then(|j| j.runs.get_mut(&stopped.task)) else {
            return;
        };
        let barred = run.agent == agent
            && run.number == stopped.run
            && run.phase
                == Phase::Ordered {
                    settled_ms: u64::MAX,
                };
        if barred {
            run.phase = Phase::Ordered {
                settled_ms: stopped.clock_ms,
            };
        }
    }

    fn incarnation_ended(&mut self, agent: &str, gone: &Incarnation) {
        if let Some(worker) = self.workers.get_mut(agent)
            && worker.incarnation() == Some(gone)
        {
            worker.upstream = None;
            worker.clock = None;
        }
        for task in self.placed_where(agent, |placed| placed == gone) {
            self.release(task, "its upstream has ended");
            self.stop_gang_of(task, "a member was lost");
        }
    }

    /// Tasks that were placed on some lives of an agent's upstream.
    fn placed_where(
        &self,
        agent: &str,
        there: impl Fn(&Incarnation) -> bool,
    ) -> Vec<TaskId> {
        let Some(worker) = self.workers.get(agent) else {
            return Vec::new();
        };
        let placed = |task: &TaskId| {
            let job = self.jobs.get(&task.job);
            let run = job.and_then(|j| j.runs.get(task));
            run.is_some_and(|r| there(&r.upstream))
        };
        let tasks = worker.occupied.keys().copied();
        tasks.filter(placed).collect()
    }

    fn take_snapshot(
        &mut self,
        now: Now,
        agent: &str,
        life: &Incarnation,
        snapshot: &Snapshot,
    ) {
        let Some(worker) = self.workers.get_mut(agent) else {
            return;
        };
        let known = worker.clock.map_or(0, |(clock, _)| clock);
        if snapshot.clock_ms < known {
            // Overtaken by a later one.
            return;
        }
        worker.clock = Some((snapshot.clock_ms, now.steady));
        let seen = worker.seen;
        for ended in snapshot.ended.iter().filter(|e| e.number > seen) {
            self.take_end(now, agent, ended);
        }
        for running in &snapshot.running {
            self.see_running(now, agent, life, snapshot.clock_ms, running);
        }
        self.miss_absent(agent, snapshot);
        self.count_orphans(agent, snapshot);
    }

    fn take_end(&mut self, now: Now, agent: &str, ended: &EndedRun) {
        let id = ended.task;
        if let Some(worker) = self.workers.get_mut(agent) {
            worker.seen = ended.number;
        }
        if !self.jobs.contains_key(&id.job) {
            // Of a job that has ended or that nobody knows: nothing
            // depends on it.
            return;
        }
        if let Some(worker) = self.workers.get_mut(agent) {
            worker.uncommitted.insert(ended.number, id.job);
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
        if is_current && let Some(run) = self.release(id, ended.end.name()) {
            self.learn(now, id, &run, ended.end);
        }
        match ended.end {
            RunEnd::Done => {
                self.end_well(now, agent, id);
            }
            RunEnd::Failed if is_current => {
                if let Some(job) = self.jobs.get_mut(&id.job) {
                    job.count_failure(id, ended.run);
                }
                self.record_failure(now, id, agent, Verdict::Failed);
                self.stop_gang_of(id, "a member failed");
                self.update_job_state(now, id.job);
            }
            _ if is_current => {
                self.stop_gang_of(id, "a member ended");
            }
            _ => {}
        }
    }

    /// Learns how long tasks of a queue run from one that ran whole.
    fn learn(&mut self, now: Now, id: TaskId, run: &Run, end: RunEnd) {
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let whole = end == RunEnd::Done && run.began_at == 0;
        if let (true, Some(at)) = (whole, run.ordered) {
            let kind = self.learner.kind_of_queue(&job.batch.queue);
            self.learner.add(kind, now.steady.saturating_sub(at));
        }
    }

    fn end_well(&mut self, now: Now, agent: &str, id: TaskId) {
        if let Some(worker) = self.workers.get_mut(agent) {
            worker.judge(now.steady, id.job, Verdict::Good);
        }
        self.finish(now, id);
        // A later run of the same task has nothing left to do.
        let gang = self
            .jobs
            .get(&id.job)
            .and_then(|j| j.batch.step(id))
            .is_some_and(|s| s.gang);
        if !gang {
            self.stop(id, "an earlier run is done");
        }
    }

    fn see_running(
        &mut self,
        now: Now,
        agent: &str,
        life: &Incarnation,
        clock_ms: u64,
        running: &ActiveRun,
    ) {
        let Some(job) = self.jobs.get_mut(&running.task.job) else {
            return;
        };
        let Some(run) = job.runs.get_mut(&running.task) else {
            return;
        };
        if run.agent != agent
            || run.number != running.run
            || run.upstream != *life
        {
            return;
        }
        if let Phase::Ordered { .. } = run.phase {
            run.phase = Phase::Running { seen_ms: clock_ms };
            run.percent = running.percent;
            run.began_at = running.percent;
            run.moved = now.steady;
        }
        if running.percent > run.percent {
            run.percent = running.percent;
            run.moved = now.steady;
        }
        let seen = Seen {
            task: running.task,
            run: running.run,
            agent,
            clock_ms,
            percent: running.percent,
        };
        self.speeds.see(now.steady, &seen);
        if !running.checkpoint.is_empty() {
            run.checkpoint.clone_from(&running.checkpoint);
        }
    }

    /// Releases runs that a snapshot should list and does not.
    fn miss_absent(&mut self, agent: &str, snapshot: &Snapshot) {
        let listed: BTreeSet<(TaskId, u32)> =
            snapshot.running.iter().map(|r| (r.task, r.run)).collect();
        let Some(worker) = self.workers.get(agent) else {
            return;
        };
        let absent: Vec<TaskId> = worker
            .occupied
            .keys()
            .copied()
            .filter(|task| {
                let job = self.jobs.get(&task.job);
                let Some(run) = job.and_then(|j| j.runs.get(task)) else {
                    return false;
                };
                let decided = match run.phase {
                    Phase::Committing { .. } => return false,
                    Phase::Ordered { settled_ms } => settled_ms,
                    Phase::Running { seen_ms } => seen_ms,
                };
                snapshot.clock_ms > decided
                    && !listed.contains(&(*task, run.number))
            })
            .collect();
        for task in absent {
            self.release(task, "the upstream does not list it");
            self.stop_gang_of(task, "a member is not there");
        }
    }

    /// Runs that no placement stands for are stopped, and occupy the worker
    /// until they are gone.
    fn count_orphans(&mut self, agent: &str, snapshot: &Snapshot) {
        let mut orphans = Vec::new();
        for running in &snapshot.running {
            let job = self.jobs.get(&running.task.job);
            let run = job.and_then(|j| j.runs.get(&running.task));
            let ours = run
                .is_some_and(|r| r.agent == agent && r.number == running.run);
            if ours {
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
                "task={task} run={run} agent={agent} why=no placement"
            );
            self.note(Code::PartStopped, task.job, &detail);
            let message = ToAgent::Stop {
                upstream: upstream.clone(),
                token: self.token,
                task,
                run,
            };
            self.send(agent, message);
        }
    }

    /// Lets what runs on a worker go on.
    fn grant(&mut self, now: Now, agent: &str, clock_ms: u64) {
        let over_at = over_at(now.steady);
        let token = self.token;
        let Some(worker) = self.workers.get_mut(agent) else {
            return;
        };
        let Some(upstream) = worker.incarnation().cloned() else {
            return;
        };
        worker.over_at = over_at;
        let hold = u64::try_from(HOLD.as_millis()).unwrap_or(0);
        let grant = Grant {
            token,
            upstream,
            deadline_ms: Some(clock_ms + hold),
            acknowledged: worker.acknowledged(),
        };
        self.send(agent, ToAgent::Grant(grant));
    }
}
