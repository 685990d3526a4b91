//! The heartbeats and deregistrations that reach the agent of a VM.

use figrill_coordination::registration::{HeartbeatEffect, HeartbeatError};
use figrill_state::{event::Code, runner::UpstreamState};
use figrill_transport::http::{Answer, Event};

use super::{AgentContext, UpstreamMessage};

/// Handles a request of the upstream and answers it.
pub(super) fn handle_call(cx: &AgentContext, event: Event) {
    let Event::Call(call) = event else {
        return;
    };
    let decode = cx.config.decode_upstream_message;
    let status = match decode(call.method.as_str(), &call.path, &call.body) {
        None => 404,
        Some(Err(e)) => {
            let detail = format!("path={} why={e}", call.path);
            cx.journal.record_event(Code::HeartbeatRefused, detail);
            400
        }
        Some(Ok(UpstreamMessage::Heartbeat(upstream))) => {
            handle_heartbeat(cx, &upstream)
        }
        Some(Ok(UpstreamMessage::Deregister { id })) => {
            handle_deregistration(cx, &id);
            200
        }
    };
    call.responder.send(Answer::json(status, b"{}".to_vec()));
}

/// Handles a heartbeat. Returns the status of the answer.
fn handle_heartbeat(cx: &AgentContext, upstream: &UpstreamState) -> u16 {
    let mut state = cx.lock();
    let effect = state.registration.handle_heartbeat(upstream.clone());
    match effect {
        HeartbeatEffect::Updated { starts_draining } => {
            if starts_draining {
                record_draining(cx, upstream);
            }
        }
        HeartbeatEffect::Corrected => {
            let detail = format!("upstream={} corrected", describe(upstream));
            cx.journal.record_event(Code::UpstreamUp, detail);
            if upstream.draining {
                record_draining(cx, upstream);
            }
        }
        HeartbeatEffect::Outdated => return 200,
        HeartbeatEffect::Candidate => {}
        HeartbeatEffect::Refused(e) => {
            record_refusal(cx, upstream, e);
            return 400;
        }
    }
    cx.changed.notify_all();
    200
}

/// Handles a deregistration. One that is not for the registered upstream
/// changes nothing.
fn handle_deregistration(cx: &AgentContext, id: &str) {
    let mut state = cx.lock();
    if state.registration.handle_deregistration(id) {
        cx.changed.notify_all();
    } else {
        let detail = format!("upstream={id} why=deregistered when unknown");
        cx.journal.record_event(Code::HeartbeatRefused, detail);
    }
}

/// Records that an upstream accepts no more runs and is about to leave.
pub(super) fn record_draining(cx: &AgentContext, upstream: &UpstreamState) {
    let detail = format!(
        "upstream={} draining remaining={:?}",
        upstream.incarnation.id, upstream.remaining
    );
    cx.journal.record_event(Code::UpstreamGone, detail);
}

/// Records that a heartbeat was refused.
pub(super) fn record_refusal(
    cx: &AgentContext,
    upstream: &UpstreamState,
    e: HeartbeatError,
) {
    let detail = format!("upstream={} why={e}", describe(upstream));
    cx.journal.record_event(Code::HeartbeatRefused, detail);
}

/// Describes an upstream in a log line: who it says it is, and where.
pub(super) fn describe(upstream: &UpstreamState) -> String {
    format!(
        "{} born={} address={} service={} sequence={}",
        upstream.incarnation.id,
        upstream.incarnation.born_ms,
        upstream.address,
        upstream.service,
        upstream.sequence
    )
}
