//! What the upstream tells the agent beside it.

use figrill_state::{event::Code, runner::Upstream};
use figrill_transport::http::{Answer, Event};

use super::{AgentContext, FromUpstream};

/// Takes in what the upstream tells, and acknowledges it.
pub(super) fn handle_call(cx: &AgentContext, event: Event) {
    let Event::Call(call) = event else {
        return;
    };
    let decode = cx.parts.decode_upstream;
    let status = match decode(call.method.as_str(), &call.path, &call.body) {
        None => 404,
        Some(Err(e)) => {
            let detail = format!("path={} why={e}", call.path);
            cx.journal.record_event(Code::SettingsRefused, detail);
            400
        }
        Some(Ok(FromUpstream::Heartbeat(upstream))) => {
            register(cx, *upstream);
            200
        }
        Some(Ok(FromUpstream::Leaves { id })) => {
            deregister(cx, &id);
            200
        }
    };
    call.responder.send(Answer::json(status, b"{}".to_vec()));
}

/// Adopts what a heartbeat says, unless a later one was there before.
fn register(cx: &AgentContext, upstream: Upstream) {
    let mut state = cx.lock();
    let order = |u: &Upstream| (u.incarnation.born_ms, u.sequence);
    let known = state.upstream.as_ref();
    if known.is_some_and(|k| order(k) > order(&upstream)) {
        return;
    }
    let same = known.is_some_and(|k| k.incarnation == upstream.incarnation);
    let ended = state.gone.as_ref() == Some(&upstream.incarnation);
    if ended {
        return;
    }
    let drains =
        upstream.draining && known.is_none_or(|k| !k.draining || !same);
    if !same {
        state.reported = 0;
        state.grant.deadline_ms = None;
        state.grant.acknowledged = 0;
        let detail = format!(
            "upstream={} born={} service={}",
            upstream.incarnation.id,
            upstream.incarnation.born_ms,
            upstream.service
        );
        cx.journal.record_event(Code::UpstreamUp, detail);
    }
    if drains {
        let detail = format!(
            "upstream={} draining remaining={:?}",
            upstream.incarnation.id, upstream.remaining
        );
        cx.journal.record_event(Code::UpstreamGone, detail);
    }
    state.upstream = Some(upstream);
    cx.changed.notify_all();
}

fn deregister(cx: &AgentContext, id: &str) {
    let mut state = cx.lock();
    let life = state.upstream.as_ref().map(|u| u.incarnation.clone());
    let Some(life) = life.filter(|l| l.id == id) else {
        return;
    };
    cx.journal
        .record_event(Code::UpstreamGone, format!("upstream={id} left"));
    state.upstream = None;
    state.gone = Some(life);
    cx.changed.notify_all();
}
