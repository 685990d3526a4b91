//! What the upstreams observe of the rules that a scheduler has to keep.

use figrill_state::{
    batch::TaskId,
    runner::{EndedRun, RunEnd},
};

use super::Pool;

/// A breach of a rule that the scheduler has to keep, such as a task that runs
/// more than once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Violation(pub String);

/// The success of a run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Success {
    at_ms: u64,
    /// The length of the trace at that time.
    position: usize,
}

impl Pool {
    /// Checks a start that has just taken place.
    pub(super) fn check_start(&mut self, task: TaskId, run: u32) {
        let running =
            self.nodes.values().filter(|n| n.runs.contains_key(&task));
        if running.count() > 1 {
            self.record_violation(format!("{task} runs more than once"));
        }
        if self.acknowledged_runs.get(&task).is_some_and(|_| true) {
            self.record_violation(format!(
                "{task}/{run} starts after it was done"
            ));
        }
    }

    /// Records the success of a run.
    pub(super) fn record_success(
        &mut self,
        now_ms: u64,
        task: TaskId,
        run: u32,
    ) {
        let success = Success {
            at_ms: now_ms,
            position: self.trace.len(),
        };
        self.successes.insert((task, run), success);
    }

    /// Checks the acknowledgement of an end. A task whose success is
    /// acknowledged must not have been started again, unless the lease of its
    /// upstream expired between the two. `last_expiry_ms` is the last time at
    /// which it had expired.
    pub(super) fn record_acknowledgement(
        &mut self,
        ended: &EndedRun,
        last_expiry_ms: Option<u64>,
    ) {
        // The same run may have ended otherwise on another incarnation.
        if ended.end != RunEnd::Done {
            return;
        }
        let run = (ended.task, ended.run);
        let Some(success) = self.successes.get(&run) else {
            return;
        };
        self.acknowledged_runs.insert(ended.task, ended.run);
        let lapsed = last_expiry_ms.is_some_and(|at| at >= success.at_ms);
        let last_start = self.last_starts.get(&ended.task);
        let started_again = last_start.is_some_and(|p| *p > success.position);
        if started_again && !lapsed {
            self.record_violation(format!(
                "{} started again after the success of its run {}",
                ended.task, ended.run
            ));
        }
    }

    /// Records a breach of a rule.
    pub(super) fn record_violation(&mut self, text: String) {
        self.violations.push(Violation(text));
    }
}
