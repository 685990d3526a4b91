//! The loop that finds out, by calling them, which reported upstreams exist
//! and which have ended.

use std::{sync::PoisonError, thread};

use figrill_coordination::registration::{Change, Check, Confirmation};
use figrill_state::{
    batch::Incarnation,
    event::Code,
    runner::{RunnerError, UpstreamState},
};
use figrill_transport::peer::Net;

use super::{
    AgentContext, HEARTBEAT_INTERVAL, POLL_INTERVAL, State,
    fence::{probe_above, store_revision},
    hold::probe,
    report,
    upstream::{describe, record_draining, record_refusal},
};

/// Carries out the checks that the registration asks for. Those that are due
/// at the same time are carried out side by side, because a silent candidate
/// must not hold up the others. Never returns.
pub(super) fn confirm_upstreams(cx: &AgentContext, net: &Net) {
    loop {
        let (token, checks) = wait_for_checks(cx);
        thread::scope(|scope| {
            for check in checks {
                let thread = thread::Builder::new().name("check".to_owned());
                let run = move || run_check(cx, net, &check, token);
                if let Err(e) = thread.spawn_scoped(scope, run) {
                    log::error!("failed to start a check: {e}");
                    thread::sleep(POLL_INTERVAL);
                }
            }
        });
    }
}

fn run_check(cx: &AgentContext, net: &Net, check: &Check, token: u64) {
    match check {
        Check::Candidate(candidate) => confirm_candidate(cx, candidate, token),
        Check::Leaving(upstream) => check_leaving(cx, net, upstream, token),
    }
}

/// Waits until checks are due and a coordinator's fencing token is known:
/// upstreams answer no calls with a lower token than they have seen.
fn wait_for_checks(cx: &AgentContext) -> (u64, Vec<Check>) {
    let mut state = cx.lock();
    loop {
        let checks: Vec<Check> = state.registration.due_checks().collect();
        let token = state.fence.token();
        if token > 0 && !checks.is_empty() {
            return (token, checks);
        }
        let result = cx.changed.wait_timeout(state, HEARTBEAT_INTERVAL);
        state = result.unwrap_or_else(PoisonError::into_inner).0;
    }
}

/// Until a coordinator's fencing token is known, registers an upstream that has
/// seen none, so that it executes no calls for a former incarnation either.
pub(super) fn register_unseen_upstream(cx: &AgentContext) {
    let mut state = cx.lock();
    while state.fence.token() == 0 {
        let checks: Vec<Check> = state.registration.due_checks().collect();
        drop(state);
        for check in &checks {
            if let Check::Candidate(candidate) = check {
                register_unseen(cx, candidate);
            }
        }
        let result = cx.changed.wait_timeout(cx.lock(), HEARTBEAT_INTERVAL);
        state = result.unwrap_or_else(PoisonError::into_inner).0;
    }
}

/// Registers a candidate that answers a call without a fencing token. It has
/// started since the last call to any upstream here. Its token becomes one that
/// is higher than the revision of the store, and so than those of all calls.
fn register_unseen(cx: &AgentContext, candidate: &UpstreamState) {
    if probe(cx, candidate, 0).is_err() {
        return;
    }
    match store_revision(cx) {
        Ok(revision) => {
            let token = revision + 1;
            if probe(cx, candidate, token).is_ok() {
                settle_candidate(cx, candidate, Some(token), None);
            }
        }
        Err(e) => log::debug!("failed to read the store's revision: {e}"),
    }
}

/// Registers a candidate if it answers as itself and the registered upstream
/// has ended.
fn confirm_candidate(
    cx: &AgentContext,
    candidate: &UpstreamState,
    token: u64,
) {
    let seen = call_candidate(cx, candidate, token);
    let registered = cx.lock().registration.current().cloned();
    let ended = registered
        .filter(|u| seen.is_some() && has_ended(cx, u, token))
        .map(|u| u.incarnation);
    let seen =
        seen.and_then(|t| fence_candidate(cx, candidate, t, ended.as_ref()));
    settle_candidate(cx, candidate, seen, ended.as_ref());
}

/// Calls a candidate. Returns the fencing token that it has seen, or `None` if
/// it does not answer as itself. If it refuses `token` and no upstream is
/// registered, an earlier process of this agent has called it with a higher
/// one.
fn call_candidate(
    cx: &AgentContext,
    candidate: &UpstreamState,
    token: u64,
) -> Option<u64> {
    match probe(cx, candidate, token) {
        Ok(()) => Some(token),
        Err(RunnerError::Fenced)
            if cx.lock().registration.current().is_none() =>
        {
            probe_above(cx, candidate, token).ok()
        }
        Err(_) => None,
    }
}

/// Makes sure that a candidate that can be registered refuses calls that were
/// meant for other incarnations. `seen` is the fencing token that it has seen.
/// Returns the one that it has seen then, or `None` if it did not answer.
fn fence_candidate(
    cx: &AgentContext,
    candidate: &UpstreamState,
    seen: u64,
    ended: Option<&Incarnation>,
) -> Option<u64> {
    let token = {
        let state = cx.lock();
        if !state.registration.is_free(ended) {
            return Some(seen);
        }
        required_token(cx, &state, candidate)
    };
    if token <= seen {
        return Some(seen);
    }
    probe(cx, candidate, token).ok().map(|()| token)
}

/// Returns the lowest fencing token that a candidate must have seen before it
/// is registered: it then refuses calls for other incarnations, and
/// acknowledgements that may be open.
fn required_token(
    cx: &AgentContext,
    state: &State,
    candidate: &UpstreamState,
) -> u64 {
    let open = state.open_calls.required_token(cx.config.clock.now());
    state.fence.required_for(&candidate.incarnation).max(open)
}

/// Registers a candidate that answers as itself, or drops it. `seen` is the
/// fencing token that it has seen if it answers, and `ended` the upstream in
/// whose place it comes. If it has to be fenced first, it remains a candidate.
fn settle_candidate(
    cx: &AgentContext,
    candidate: &UpstreamState,
    seen: Option<u64>,
    ended: Option<&Incarnation>,
) {
    let mut state = cx.lock();
    let required = required_token(cx, &state, candidate);
    let is_fenced = seen.is_none_or(|token| token >= required);
    if state.registration.is_free(ended) && !is_fenced {
        return;
    }
    let confirmation =
        state
            .registration
            .settle_candidate(candidate, seen.is_some(), ended);
    match confirmation {
        Confirmation::Registered(change) => {
            record_registration(cx, &change);
            let token = seen.unwrap_or(required);
            record_fence(cx, &mut state, &change.upstream, token);
            state.grant.deadline_ms = None;
            state.grant.acknowledged = 0;
            cx.changed.notify_all();
        }
        Confirmation::Refused(e) => record_refusal(cx, candidate, e),
        Confirmation::Changed => {}
    }
}

/// Records the fencing token that a registered upstream has seen.
fn record_fence(
    cx: &AgentContext,
    state: &mut State,
    upstream: &UpstreamState,
    token: u64,
) {
    if token > state.fence.token() {
        let detail = format!("upstream={} token={token}", describe(upstream));
        cx.journal.record_event(Code::UpstreamFenced, detail);
    }
    state
        .fence
        .record_registration(&upstream.incarnation, token);
}

/// Ends the registration of an upstream that has deregistered, once it has
/// ended.
fn check_leaving(
    cx: &AgentContext,
    net: &Net,
    upstream: &UpstreamState,
    token: u64,
) {
    let exists = !has_ended(cx, upstream, token);
    let incarnation = &upstream.incarnation;
    let has_left = cx.lock().registration.settle_leaving(incarnation, exists);
    if has_left {
        let detail = format!("upstream={} left", incarnation.id);
        cx.journal.record_event(Code::UpstreamGone, detail);
        cx.changed.notify_all();
        report(cx, net, None, Vec::new());
    } else {
        thread::sleep(POLL_INTERVAL);
    }
}

/// Returns whether a registered upstream has ended, as far as a call shows.
fn has_ended(cx: &AgentContext, upstream: &UpstreamState, token: u64) -> bool {
    let result = probe(cx, upstream, token);
    let now = cx.config.clock.now();
    cx.lock().registration.handle_check(
        now,
        &upstream.incarnation,
        result.as_ref().copied(),
    )
}

/// Records that an upstream is registered now.
fn record_registration(cx: &AgentContext, change: &Change) {
    let upstream = describe(&change.upstream);
    if let Some(replaced) = &change.replaced {
        let detail = format!("upstream={} by={upstream}", describe(replaced));
        cx.journal.record_event(Code::UpstreamReplaced, detail);
    }
    let detail = format!("upstream={upstream}");
    cx.journal.record_event(Code::UpstreamUp, detail);
    if change.upstream.draining {
        record_draining(cx, &change.upstream);
    }
}
