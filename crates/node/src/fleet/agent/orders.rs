//! Carries out the starts and stops that the coordinator orders.

use std::sync::{PoisonError, atomic::Ordering};

use figrill_coordination::{
    open_calls::{ANSWER_TIMEOUT, LATE_CALL_WINDOW, Permission},
    orders::{start_until_answered, stop_until_answered},
    scheduler::message::{Report, StartResult, StopResult, ToAgent},
};
use figrill_state::{
    batch::{Incarnation, TaskId},
    event::{Code, NewEvent},
    job::JobId,
    runner::{Refusal, StartOrder, StartOutcome},
};
use figrill_transport::peer::Net;

use super::{AgentContext, fence::raise_token, report, send_report};

/// Carries out an order and reports the result to the coordinator.
pub(super) fn execute_order(cx: &AgentContext, net: &Net, order: ToAgent) {
    match order {
        ToAgent::Start { upstream, start } => {
            execute_start(cx, net, &upstream, &start);
        }
        ToAgent::Stop {
            upstream,
            task,
            run,
            token,
        } => execute_stop(cx, net, &upstream, (task, run), token),
        ToAgent::Grant(_) => {}
    }
}

fn execute_start(
    cx: &AgentContext,
    net: &Net,
    target: &Incarnation,
    start: &StartOrder,
) {
    let started_at = cx.config.clock.now();
    let mut attempts = 0;
    let outcome = start_or_refuse(cx, net, target, start, &mut attempts);
    let elapsed = cx.config.clock.now().saturating_sub(started_at);
    cx.journal.metrics.observe_time("start", elapsed);
    let detail = format!(
        "task={} run={} upstream={} born={} token={} result={outcome:?} \
         attempts={attempts} took_ms={}",
        start.task,
        start.run,
        target.id,
        target.born_ms,
        start.token,
        elapsed.as_millis()
    );
    record_event(cx, Code::PartStarted, start.task.job.0, detail);
    let result = StartResult {
        task: start.task,
        run: start.run,
        outcome,
    };
    report(cx, net, None, vec![result]);
}

/// Starts a run on the registered upstream if that is `target` and accepts
/// runs. Counts the calls to the upstream in `attempts`.
fn start_or_refuse(
    cx: &AgentContext,
    net: &Net,
    target: &Incarnation,
    start: &StartOrder,
    attempts: &mut u32,
) -> StartOutcome {
    let (upstream, accepts_runs, token) = {
        let state = cx.lock();
        let registration = &state.registration;
        (
            registration.current().cloned(),
            registration.accepts_runs(),
            state.fence.token(),
        )
    };
    let refused = StartOutcome::Refused;
    match &upstream {
        _ if start.token < token => refused(Refusal::Fenced),
        Some(u) if u.incarnation != *target => {
            refused(Refusal::OtherIncarnation)
        }
        // A draining upstream accepts no new runs.
        Some(_) if !accepts_runs => refused(Refusal::Unhealthy),
        Some(_) if cx.draining.load(Ordering::Relaxed) => {
            refused(Refusal::DeadlinePassed)
        }
        Some(_) if !begin_start(cx, net, start.token) => {
            refused(Refusal::Fenced)
        }
        Some(u) => {
            let outcome = start_until_answered(|timeout| {
                *attempts += 1;
                cx.config.runner.start(u, start, timeout)
            });
            end_start(cx, target, outcome);
            outcome
        }
        None => refused(Refusal::OtherIncarnation),
    }
}

/// Waits until a start may be made, and begins it. Returns `false` if its
/// fencing token is too low, because an acknowledgement was not answered or
/// takes too long; the coordinator's next orders have a higher one.
fn begin_start(cx: &AgentContext, net: &Net, token: u64) -> bool {
    let mut state = cx.lock();
    let mut now = cx.config.clock.now();
    let wait_until = now + ANSWER_TIMEOUT;
    while state.open_calls.begin_start(now, token) != Permission::Granted {
        let required = state.open_calls.required_token(now);
        if token < required {
            drop(state);
            raise_token(cx, net, required);
            return false;
        }
        let left = wait_until.saturating_sub(now);
        if left.is_zero() {
            // An acknowledgement waits for a start that is not answered.
            state.open_calls.withdraw_acknowledgement();
        } else {
            let result = cx.changed.wait_timeout(state, left);
            state = result.unwrap_or_else(PoisonError::into_inner).0;
        }
        now = cx.config.clock.now();
    }
    true
}

/// Records the end of a start.
fn end_start(cx: &AgentContext, target: &Incarnation, outcome: StartOutcome) {
    let answered = outcome != StartOutcome::Unknown;
    let now = cx.config.clock.now();
    cx.lock().open_calls.end_start(now, answered);
    cx.changed.notify_all();
    if !answered {
        let detail = format!(
            "upstream={} born={} for_ms={}",
            target.id,
            target.born_ms,
            LATE_CALL_WINDOW.as_millis()
        );
        cx.journal.record_event(Code::AcknowledgementsHeld, detail);
    }
}

fn execute_stop(
    cx: &AgentContext,
    net: &Net,
    target: &Incarnation,
    (task, run): (TaskId, u32),
    token: u64,
) {
    let current = cx.lock().registration.current().cloned();
    let Some(upstream) = current.filter(|u| u.incarnation == *target) else {
        return;
    };
    let stopped = stop_until_answered(|timeout| {
        let runner = &cx.config.runner;
        runner.stop(&upstream, (task, run), token, timeout)
    });
    let detail = format!(
        "task={task} run={run} upstream={} born={} result={stopped:?}",
        target.id, target.born_ms
    );
    record_event(cx, Code::PartStopped, task.job.0, detail);
    if let Ok(clock_ms) = stopped {
        let result = StopResult {
            task,
            run,
            clock_ms,
        };
        let report = Report {
            upstream: Some(upstream),
            stop_results: vec![result],
            ..Report::default()
        };
        send_report(cx, net, report);
    }
}

/// Records an event about a job.
fn record_event(cx: &AgentContext, code: Code, job: u64, detail: String) {
    let job = Some(JobId(u128::from(job)));
    cx.journal.record(&NewEvent { code, job, detail });
}
