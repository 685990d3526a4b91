//! The long poll that extends what runs and lists what is there.

use std::{thread, time::Duration};

use figrill_coordination::scheduler::message::{Grant, Report};
use figrill_state::{
    batch::Incarnation,
    event::Code,
    runner::{Hold, RunnerError, Snapshot, Upstream},
};
use figrill_transport::peer::Net;

use super::{BEAT, Beside, LOOK, State, report, send};

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
pub(super) fn hold_for_good(beside: &Beside, net: &Net) {
    let mut busy = false;
    let mut refused_since = None;
    loop {
        let (upstream, grant) = {
            let state = beside.lock();
            (state.upstream.clone(), state.grant.clone())
        };
        let Some(upstream) = upstream.filter(|_| grant.token > 0) else {
            report(beside, net, None, Vec::new());
            wait(beside, BEAT);
            continue;
        };
        let ours = grant.upstream == upstream.incarnation;
        let hold = Hold {
            token: grant.token,
            acknowledged: if ours { grant.acknowledged } else { 0 },
            deadline_ms: grant.deadline_ms.filter(|_| ours),
            // A coordinator that is new here wants to know at once.
            wait: match (ours && grant.deadline_ms.is_some(), busy) {
                (false, _) => Duration::ZERO,
                (true, true) => HOLD_BUSY,
                (true, false) => HOLD_IDLE,
            },
        };
        match beside.parts.runner.hold(&upstream, hold) {
            Ok(snapshot) => {
                refused_since = None;
                busy = !snapshot.running.is_empty();
                let last = snapshot.ended.last().map_or(0, |e| e.number);
                send_snapshot(beside, net, &upstream, grant.token, snapshot);
                await_ack(beside, last, &grant);
            }
            Err(e) => {
                let now = beside.parts.clock.now();
                let refused = matches!(e, RunnerError::NotThere(_));
                let since = refused_since.filter(|_| refused);
                if since.is_some_and(|at| now >= at + GONE_AFTER) {
                    crashed(beside, &upstream.incarnation);
                }
                refused_since = refused.then(|| since.unwrap_or(now));
                failed(beside, net, &e);
                thread::sleep(HOLD_AGAIN);
            }
        }
    }
}

/// The upstream has ended without a word: what ran there is over.
fn crashed(beside: &Beside, life: &Incarnation) {
    let mut state = beside.lock();
    if state
        .upstream
        .as_ref()
        .is_some_and(|u| u.incarnation == *life)
    {
        let detail = format!("upstream={} crashed", life.id);
        beside.journal.say(Code::UpstreamGone, detail);
        state.upstream = None;
        state.gone = Some(life.clone());
    }
}

fn failed(beside: &Beside, net: &Net, e: &RunnerError) {
    beside.journal.metrics.call("hold", "failed");
    log::debug!("the upstream's list was not read: {e}");
    report(beside, net, None, Vec::new());
}

/// Waits for a word from the coordinator on this report: a later grant or,
/// if ends were reported, that they stand in the store.
fn await_ack(beside: &Beside, last: u64, before: &Grant) {
    let state = beside.lock();
    let waits = |s: &mut State| {
        let unanswered = s.grant == *before;
        let unacknowledged =
            s.grant.token == before.token && s.grant.acknowledged < last;
        unanswered || unacknowledged
    };
    let limit = if last > 0 { ACK_WAIT } else { LOOK };
    drop(beside.changed.wait_timeout_while(state, limit, waits));
}

fn wait(beside: &Beside, limit: Duration) {
    let state = beside.lock();
    drop(beside.changed.wait_timeout(state, limit));
}

fn send_snapshot(
    beside: &Beside,
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
        beside,
        net,
        Report {
            token,
            snapshot: Some(snapshot),
            ..Report::default()
        },
    );
}
