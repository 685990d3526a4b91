//! The fencing tokens that an agent chooses by itself, when no coordinator has
//! sent one that its upstream accepts.

use figrill_coordination::scheduler::message::Report;
use figrill_state::{
    batch::keys,
    event::Code,
    kv::KvError,
    runner::{RunnerError, UpstreamState},
};
use figrill_transport::peer::Net;

use super::{
    super::STORE_TIMEOUT, AgentContext, hold::probe, send_report,
    upstream::describe,
};

/// Handles that the registered upstream has refused a call with `token`: a call
/// of an earlier process of this agent with a higher one has arrived since, or
/// the next incarnation answered.
///
/// # Errors
///
/// Returns an error if the upstream does not answer as itself.
pub(super) fn handle_refused_token(
    cx: &AgentContext,
    upstream: &UpstreamState,
    token: u64,
) -> Result<(), RunnerError> {
    let token = probe_above(cx, upstream, token)?;
    let mut state = cx.lock();
    let registered = state.registration.current();
    if registered.is_some_and(|u| u.incarnation == upstream.incarnation) {
        state.fence.raise(token);
    }
    Ok(())
}

/// Calls an upstream that has refused a call with `token`, with the next higher
/// one and then with one above the revision of the store, which an earlier
/// process of this agent hardly exceeded. Returns the one that was accepted.
///
/// # Errors
///
/// Returns an error if the upstream does not answer as itself.
pub(super) fn probe_above(
    cx: &AgentContext,
    upstream: &UpstreamState,
    token: u64,
) -> Result<u64, RunnerError> {
    let next = token + 1;
    match probe(cx, upstream, next) {
        Ok(()) => return Ok(next),
        Err(RunnerError::Fenced) => {}
        Err(e) => return Err(e),
    }
    let revision = store_revision(cx).unwrap_or_else(|e| {
        log::debug!("failed to read the store's revision: {e}");
        0
    });
    let token = next.max(revision) + 1;
    probe(cx, upstream, token).map(|()| token)
}

/// Makes all further calls to the registered upstream with at least `token`,
/// and tells the coordinator, whose orders need it as well.
pub(super) fn raise_token(cx: &AgentContext, net: &Net, token: u64) {
    {
        let mut state = cx.lock();
        if token <= state.fence.token() {
            return;
        }
        state.fence.raise(token);
        let upstream = state.registration.current().map(describe);
        let upstream = upstream.unwrap_or_default();
        let detail = format!("upstream={upstream} token={token}");
        cx.journal.record_event(Code::UpstreamFenced, detail);
    }
    let report = Report {
        token,
        ..Report::default()
    };
    send_report(cx, net, report);
}

/// Returns the present revision of the store.
pub(super) fn store_revision(cx: &AgentContext) -> Result<u64, KvError> {
    let key = keys::agent(&cx.config.deployment.name);
    let listing = cx.config.kv.list(&key, STORE_TIMEOUT)?;
    Ok(listing.revision)
}
