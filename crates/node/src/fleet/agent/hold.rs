//! The long poll that extends what runs and lists what is there.

use std::{thread, time::Duration};

use figrill_coordination::scheduler::message::{Grant, Report};
use figrill_state::{
    batch::Incarnation,
    event::Code,
    runner::{Hold, RunnerError, Snapshot, Upstream},
};
use figrill_transport::peer::Net;

use super::{AgentContext, BEAT, LOOK, State, report, send};

/// How long a hold waits for an end while something runs.
const HOLD_BUSY: Duration = Duration::from_millis(500);

/// How long a hold waits for an end while nothing runs.
const HOLD_IDLE: Duration = Duration::from_millis(800);

/// How long the next hold waits for the word that ends stand in the store;
/// without it the same ends would come back at once.
const ACK_WAIT: Duration = Duration::from_millis(400);

/// Time before the upstream is asked again after it did not answer.
const HOLD_AGAIN: Duration = Duration::from_millis(200);

/// How long an upstream whose address refuses connections counts as one
/// that may come back. Both stand on one VM, so a refusal comes from its
/// system and means that nothing listens.
const GONE_AFTER: Duration = Duration::from_millis(400);

/// Extends what runs as far as it was granted, and reports what is there.
pub(super) fn hold_for_good(cx: &AgentContext, net: &Net) {
    let mut busy = false;
    // The life that answered the last hold, and what it was told to forget.
    // A call names the upstream and not which life of it, and ends of a
    // later life must not be acknowledged by the count of this one: so a
    // count goes out at once after a list of that life, and never waits.
    let mut known: Option<Incarnation> = None;
    let mut forgotten = 0;
    let mut refused_since = None;
    loop {
        let (upstream, grant) = {
            let state = cx.lock();
            (state.upstream.clone(), state.grant.clone())
        };
        let Some(upstream) = upstream.filter(|_| grant.token > 0) else {
            report(cx, net, None, Vec::new());
            wait(cx, BEAT);
            continue;
        };
        let ours = grant.upstream == upstream.incarnation
            && known.as_ref() == Some(&upstream.incarnation);
        if known.as_ref() != Some(&upstream.incarnation) {
            forgotten = 0;
        }
        let forget = ours && grant.acknowledged > forgotten;
        // A coordinator that is new here wants to know at once.
        let at_once = forget || !ours || grant.deadline_ms.is_none();
        let hold = Hold {
            token: grant.token,
            acknowledged: if forget { grant.acknowledged } else { 0 },
            deadline_ms: grant.deadline_ms.filter(|_| ours),
            wait: if at_once {
                Duration::ZERO
            } else if busy {
                HOLD_BUSY
            } else {
                HOLD_IDLE
            },
        };
        match cx.parts.runner.hold(&upstream, hold) {
            Ok(snapshot) => {
                refused_since = None;
                let born_ms = upstream.incarnation.born_ms;
                known = (snapshot.born_ms == born_ms)
                    .then(|| upstream.incarnation.clone());
                forgotten = forgotten.max(hold.acknowledged);
                busy = !snapshot.running.is_empty();
                let last = snapshot.ended.last().map_or(0, |e| e.number);
                send_snapshot(cx, net, &upstream, grant.token, snapshot);
                await_ack(cx, last, &grant);
            }
            Err(e) => {
                known = None;
                let now = cx.parts.clock.now();
                let refused = matches!(e, RunnerError::NotListening(_));
                let since = refused_since.filter(|_| refused);
                if since.is_some_and(|at| now >= at + GONE_AFTER) {
                    mark_crashed(cx, &upstream.incarnation);
                }
                refused_since = refused.then(|| since.unwrap_or(now));
                failed(cx, net, &e);
                thread::sleep(HOLD_AGAIN);
            }
        }
    }
}

/// The upstream has ended without a word: what ran there is over.
fn mark_crashed(cx: &AgentContext, life: &Incarnation) {
    let mut state = cx.lock();
    if state
        .upstream
        .as_ref()
        .is_some_and(|u| u.incarnation == *life)
    {
        let detail = format!("upstream={} crashed", life.id);
        cx.journal.record_event(Code::UpstreamGone, detail);
        state.upstream = None;
        state.gone = Some(life.clone());
    }
}

fn failed(cx: &AgentContext, net: &Net, e: &RunnerError) {
    cx.journal.metrics.count_call("hold", "failed");
    log::debug!("the upstream's list was not read: {e}");
    report(cx, net, None, Vec::new());
}

/// Waits for a word from the coordinator on this report: a later grant or,
/// if ends were reported, that they stand in the store.
fn await_ack(cx: &AgentContext, last: u64, before: &Grant) {
    let state = cx.lock();
    let waits = |s: &mut State| {
        let unanswered = s.grant == *before;
        let unacknowledged =
            s.grant.token == before.token && s.grant.acknowledged < last;
        unanswered || unacknowledged
    };
    let limit = if last > 0 { ACK_WAIT } else { LOOK };
    drop(cx.changed.wait_timeout_while(state, limit, waits));
}

fn wait(cx: &AgentContext, limit: Duration) {
    let state = cx.lock();
    drop(cx.changed.wait_timeout(state, limit));
}

fn send_snapshot(
    cx: &AgentContext,
    net: &Net,
    upstream: &Upstream,
    token: u64,
    snapshot: Snapshot,
) {
    if snapshot.born_ms != upstream.incarnation.born_ms {
        // Another life answers where this one was; its heartbeat follows.
        return;
    }
    send(
        cx,
        net,
        Report {
            token,
            snapshot: Some(snapshot),
            ..Report::default()
        },
    );
}
