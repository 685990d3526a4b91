//! What a test lets happen to an upstream or its agent, and the reports that it
//! delivers in the agent's place.

use std::time::Duration;

use figrill_coordination::scheduler::message::{
    Report, StartResult, StopResult,
};
use figrill_state::batch::{BatchId, TaskId};
use figrill_state::runner::{StartOrder, StartOutcome, UpstreamState};

use super::Sim;

impl Sim {
    /// Delivers an agent's result of the start of a job's first task.
    pub fn report_start_result(
        &mut self,
        agent: &str,
        job: BatchId,
        run: u32,
        outcome: StartOutcome,
    ) {
        let task = TaskId {
            job,
            occurrence: 0,
            step: 0,
            index: 0,
        };
        let report = Report {
            start_results: vec![StartResult { task, run, outcome }],
            ..Report::default()
        };
        let now = self.now();
        self.scheduler.handle_report(now, agent, report);
        self.send_actions();
    }

    /// Sets whether an upstream and its agent can be reached.
    pub fn set_reachable(&mut self, agent: &str, reachable: bool) {
        let node = self.pool.nodes.get_mut(agent);
        node.expect("the agent has a node").reachable = reachable;
    }

    /// Sets whether the VM of an upstream is suspended. Its agent, which is on
    /// the same VM, can't be reached meanwhile.
    pub fn set_suspended(&mut self, agent: &str, suspended: bool) {
        let node = self.pool.nodes.get_mut(agent);
        node.expect("the agent has a node")
            .set_suspended(self.now_ms, suspended);
    }

    /// Starts the first run of a job's first task at whatever incarnation an
    /// agent's upstream has, and delivers the result.
    pub fn start_first_task(
        &mut self,
        agent: &str,
        job: BatchId,
        deadline_ms: u64,
    ) {
        let start = StartOrder {
            task: TaskId {
                job,
                occurrence: 0,
                step: 0,
                index: 0,
            },
            run: 1,
            payload: self.batches[&job].0.payload.clone(),
            deadline_ms,
            token: self.token,
            checkpoint: String::new(),
        };
        let incarnation = self.pool.nodes[agent].upstream.incarnation.clone();
        let outcome =
            self.pool.start(self.now_ms, agent, &incarnation, &start);
        self.report_start_result(agent, job, 1, outcome);
    }

    /// Delivers a report of an agent that names only its upstream.
    pub fn report_upstream(&mut self, agent: &str) {
        let upstream = self.pool.nodes[agent].upstream.clone();
        let report = Report {
            upstream: Some(upstream),
            ..Report::default()
        };
        let now = self.now();
        self.scheduler.handle_report(now, agent, report);
        self.send_actions();
    }

    /// Delivers an agent's result of the stop of the first run of a job's
    /// first task by an incarnation of its upstream.
    pub fn report_stop_result(
        &mut self,
        agent: &str,
        upstream: UpstreamState,
        job: BatchId,
        clock_ms: u64,
    ) {
        let task = TaskId {
            job,
            occurrence: 0,
            step: 0,
            index: 0,
        };
        let report = Report {
            upstream: Some(upstream),
            stop_results: vec![StopResult {
                task,
                run: 1,
                clock_ms,
            }],
            ..Report::default()
        };
        let now = self.now();
        self.scheduler.handle_report(now, agent, report);
        self.send_actions();
    }

    /// Crashes an upstream. Its agent reports at once that the incarnation has
    /// ended. Like all its reports, this one overtakes no earlier one.
    pub fn crash(&mut self, agent: &str) {
        let node =
            self.pool.nodes.remove(agent).expect("the agent has a node");
        let report = Report {
            ended_incarnation: Some(node.upstream.incarnation),
            ..Report::default()
        };
        self.send_report(agent, report);
    }

    /// Makes an upstream drain and report that it leaves in `remaining_ms`
    /// milliseconds at the earliest.
    pub fn drain(&mut self, agent: &str, remaining_ms: u64) {
        let node = self
            .pool
            .nodes
            .get_mut(agent)
            .expect("the agent has a node");
        node.upstream.draining = true;
        node.upstream.remaining = Some(Duration::from_millis(remaining_ms));
        node.upstream.sequence += 1;
    }
}
