//! Carries out the starts and stops that the coordinator orders.

use std::sync::atomic::Ordering;

use figrill_coordination::{
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

use super::{AgentContext, report, send_report};

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
    let outcome = start_or_refuse(cx, target, start, &mut attempts);
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
        Some(u) => start_until_answered(|timeout| {
            *attempts += 1;
            cx.config.runner.start(u, start, timeout)
        }),
        None => refused(Refusal::OtherIncarnation),
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
