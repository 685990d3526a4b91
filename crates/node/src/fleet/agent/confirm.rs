//! The loop that finds out, by calling them, which reported upstreams exist
//! and which have ended.

use std::{sync::PoisonError, thread};

use figrill_coordination::registration::{Change, Check, Confirmation};
use figrill_state::{
    batch::Incarnation,
    event::Code,
    runner::{Hold, RunnerError, UpstreamState},
};
use figrill_transport::peer::Net;

use super::{
    AgentContext, HEARTBEAT_INTERVAL, POLL_INTERVAL,
    hold::{hold_incarnation, store_revision},
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
            let is_fenced = fence(cx, candidate, revision + 1);
            settle_candidate(cx, candidate, is_fenced, None);
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
    let is_alive = probe(cx, candidate, token).is_ok();
    let registered = cx.lock().registration.current().cloned();
    let is_free = registered.is_none();
    let ended = registered
        .filter(|u| is_alive && has_ended(cx, u, token))
        .map(|u| u.incarnation);
    let is_free = is_free || ended.is_some();
    let is_fenced = is_alive && is_free && {
        let token = cx.lock().fence.token_for(&candidate.incarnation);
        fence(cx, candidate, token)
    };
    let answers = is_fenced || is_alive && !is_free;
    settle_candidate(cx, candidate, answers, ended.as_ref());
}

/// Makes sure that a candidate refuses calls with a lower fencing token than
/// `token`. Returns whether it has answered.
fn fence(cx: &AgentContext, candidate: &UpstreamState, token: u64) -> bool {
    {
        let mut state = cx.lock();
        if token <= state.fence.token() {
            return true;
        }
        state.fence.raise(token);
    }
    let detail = format!("upstream={} token={token}", describe(candidate));
    cx.journal.record_event(Code::UpstreamFenced, detail);
    probe(cx, candidate, token).is_ok()
}

/// Registers a candidate that answers as itself, or drops it. `ended` is the
/// upstream in whose place it comes.
fn settle_candidate(
    cx: &AgentContext,
    candidate: &UpstreamState,
    answers: bool,
    ended: Option<&Incarnation>,
) {
    let mut state = cx.lock();
    let confirmation = state
        .registration
        .settle_candidate(candidate, answers, ended);
    match confirmation {
        Confirmation::Registered(change) => {
            record_registration(cx, &change);
            let incarnation = &change.upstream.incarnation;
            state.fence.record_registration(incarnation);
            state.grant.deadline_ms = None;
            state.grant.acknowledged = 0;
            cx.changed.notify_all();
        }
        Confirmation::Refused(e) => record_refusal(cx, candidate, e),
        Confirmation::Changed => {}
    }
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

/// Makes a call that succeeds if an upstream answers as the incarnation that
/// it reported. The call changes nothing there but the fencing token.
fn probe(
    cx: &AgentContext,
    upstream: &UpstreamState,
    token: u64,
) -> Result<(), RunnerError> {
    let hold = Hold {
        token,
        ..Hold::default()
    };
    let result = hold_incarnation(cx, upstream, hold);
    if let Err(e) = &result {
        log::debug!("no confirmation of {}: {e}", describe(upstream));
    }
    result.map(drop)
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
