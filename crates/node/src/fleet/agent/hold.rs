//! The loop that polls the upstream by hold calls. A hold call is a long poll:
//! it extends the deadline of the upstream's runs, waits for a run to end, and
//! returns a snapshot of the active and ended runs.

use std::{thread, time::Duration};

use figrill_coordination::{
    open_calls::Permission,
    scheduler::message::{Grant, Report},
};
use figrill_state::{
    batch::Incarnation,
    event::Code,
    runner::{Hold, RunnerError, Snapshot, UpstreamState},
};
use figrill_transport::peer::Net;

use super::{
    AgentContext, HEARTBEAT_INTERVAL, POLL_INTERVAL, State,
    fence::{handle_refused_token, raise_token},
    report, send_report,
    upstream::describe,
};

/// The maximum wait of a hold call for a run to end while runs are active.
const BUSY_HOLD_WAIT: Duration = Duration::from_millis(500);

/// The maximum wait of a hold call for a run to end while no run is active.
const IDLE_HOLD_WAIT: Duration = Duration::from_millis(800);

/// The maximum wait for the coordinator to acknowledge that it has stored the
/// reported ends of runs. Without this wait the next hold call would return
/// the same ends again at once.
const ACK_TIMEOUT: Duration = Duration::from_millis(400);

/// The maximum interval of hold calls while an acknowledgement is held back.
const HELD_BACK_INTERVAL: Duration = Duration::from_millis(100);

/// The delay before a failed hold call is retried.
const HOLD_RETRY_DELAY: Duration = Duration::from_millis(200);

/// What the last hold call has shown, on which the next one depends.
///
/// A call addresses an upstream but not its incarnation, and an
/// acknowledgement for one incarnation must not make a later one forget its own
/// ends. So an acknowledgement is only sent directly after a snapshot of the
/// same incarnation, in a call that does not wait.
#[derive(Default)]
struct Poll {
    /// The incarnation that answered the last call; `None` if it failed.
    incarnation: Option<Incarnation>,
    /// The highest number of an end that was acknowledged to the incarnation.
    acknowledged: u64,
    /// Whether runs were active.
    busy: bool,
}

impl Poll {
    /// Returns the next hold call to an incarnation.
    fn next_hold(
        &mut self,
        incarnation: &Incarnation,
        grant: &Grant,
        token: u64,
    ) -> Hold {
        let is_polled = self.incarnation.as_ref() == Some(incarnation);
        if !is_polled {
            self.acknowledged = 0;
        }
        let is_current = is_polled && grant.upstream == *incarnation;
        let acknowledge = is_current && grant.acknowledged > self.acknowledged;
        // A coordinator that has not granted a deadline yet is new and needs a
        // snapshot at once.
        let return_at_once =
            acknowledge || !is_current || grant.deadline_ms.is_none();
        Hold {
            token,
            acknowledged: if acknowledge { grant.acknowledged } else { 0 },
            deadline_ms: grant.deadline_ms.filter(|_| is_current),
            wait: if return_at_once {
                Duration::ZERO
            } else if self.busy {
                BUSY_HOLD_WAIT
            } else {
                IDLE_HOLD_WAIT
            },
        }
    }

    /// Records that `incarnation` answered a call with a snapshot.
    fn record_answer(
        &mut self,
        incarnation: Incarnation,
        hold: Hold,
        snapshot: &Snapshot,
    ) {
        self.incarnation = Some(incarnation);
        self.acknowledged = self.acknowledged.max(hold.acknowledged);
        self.busy = !snapshot.running.is_empty();
    }
}

/// Extends the deadline of the runs on the upstream as far as the coordinator
/// has granted, and reports the active and ended runs. Never returns.
pub(super) fn poll_upstream(cx: &AgentContext, net: &Net) {
    let mut poll = Poll::default();
    loop {
        let (upstream, grant, token) = {
            let state = cx.lock();
            let upstream = state.registration.current().cloned();
            (upstream, state.grant.clone(), state.fence.token())
        };
        let Some(upstream) = upstream.filter(|_| grant.token > 0) else {
            report(cx, net, None, Vec::new());
            wait_for_change(cx, HEARTBEAT_INTERVAL);
            continue;
        };
        let due = poll.next_hold(&upstream.incarnation, &grant, token);
        let hold = begin_acknowledgement(cx, due);
        let result = hold_incarnation(cx, &upstream, hold);
        end_acknowledgement(cx, net, hold, &result);
        match result {
            Ok(snapshot) => {
                cx.lock().registration.record_answer();
                poll.record_answer(upstream.incarnation, hold, &snapshot);
                let last_end = snapshot.ended.last().map_or(0, |e| e.number);
                send_snapshot(cx, net, token, snapshot);
                wait_for_coordinator(cx, last_end, &grant);
                if hold.acknowledged < due.acknowledged {
                    wait_for_starts(cx);
                }
            }
            Err(e) => {
                poll.incarnation = None;
                let e = match e {
                    RunnerError::Fenced => {
                        handle_refused_token(cx, &upstream, token).err()
                    }
                    e => Some(e),
                };
                let Some(e) = e else {
                    continue;
                };
                record_failed_call(cx, &upstream.incarnation, &e);
                report_failure(cx, net, &upstream, &e);
                thread::sleep(HOLD_RETRY_DELAY);
            }
        }
    }
}

/// Leaves the acknowledgement out of a hold call if it may not be made now,
/// and begins it otherwise.
fn begin_acknowledgement(cx: &AgentContext, hold: Hold) -> Hold {
    let mut state = cx.lock();
    if hold.acknowledged == 0 {
        state.open_calls.withdraw_acknowledgement();
        return hold;
    }
    let now = cx.config.clock.now();
    let permission = state.open_calls.begin_acknowledgement(now, hold.token);
    if permission == Permission::Granted {
        return hold;
    }
    Hold {
        acknowledged: 0,
        ..hold
    }
}

/// Records how a hold call has ended, if it acknowledged ends. Calls that
/// follow one without an answer need a higher fencing token.
fn end_acknowledgement(
    cx: &AgentContext,
    net: &Net,
    hold: Hold,
    result: &Result<Snapshot, RunnerError>,
) {
    if hold.acknowledged == 0 {
        return;
    }
    let answered = !matches!(
        result,
        Err(RunnerError::Unanswered(_) | RunnerError::Malformed(_))
    );
    let required = {
        let mut state = cx.lock();
        state.open_calls.end_acknowledgement(answered);
        state.open_calls.required_token(cx.config.clock.now())
    };
    cx.changed.notify_all();
    raise_token(cx, net, required);
}

/// Waits a moment after a call whose acknowledgement was held back. The
/// upstream answers the next call at once, because it still lists these ends.
fn wait_for_starts(cx: &AgentContext) {
    let state = cx.lock();
    let now = || cx.config.clock.now();
    drop(
        cx.changed
            .wait_timeout_while(state, HELD_BACK_INTERVAL, |s| {
                !s.open_calls.may_acknowledge(now())
            }),
    );
}

/// Makes a hold call. An answer of another incarnation with the same id counts
/// as a failure.
fn hold_incarnation(
    cx: &AgentContext,
    upstream: &UpstreamState,
    hold: Hold,
) -> Result<Snapshot, RunnerError> {
    let snapshot = cx.config.runner.hold(upstream, hold)?;
    if snapshot.born_ms == upstream.incarnation.born_ms {
        Ok(snapshot)
    } else {
        Err(RunnerError::OtherIncarnation)
    }
}

/// Makes a call that succeeds if an upstream answers as the incarnation that
/// it reported. The call changes nothing there but the fencing token.
pub(super) fn probe(
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

/// Ends the registration of an upstream if a failed call shows that it has
/// ended.
fn record_failed_call(
    cx: &AgentContext,
    incarnation: &Incarnation,
    e: &RunnerError,
) {
    let now = cx.config.clock.now();
    let mut state = cx.lock();
    if state.registration.handle_failed_call(now, incarnation, e) {
        let detail = format!("upstream={} crashed why={e}", incarnation.id);
        cx.journal.record_event(Code::UpstreamGone, detail);
    }
}

/// Counts and logs a failed hold call, and reports without a snapshot.
fn report_failure(
    cx: &AgentContext,
    net: &Net,
    upstream: &UpstreamState,
    e: &RunnerError,
) {
    cx.journal.metrics.count_call("hold", "failed");
    log::debug!(
        "hold call to the upstream {} at {} failed: {e}",
        upstream.incarnation.id,
        upstream.address
    );
    report(cx, net, None, Vec::new());
}

/// Waits for the coordinator to answer a report: for a new grant and, if ends
/// of runs were reported, for the acknowledgement that they are in the store.
/// `last_end` is the highest number of a reported end, or 0 if there is none.
fn wait_for_coordinator(cx: &AgentContext, last_end: u64, previous: &Grant) {
    let state = cx.lock();
    let is_pending = |s: &mut State| {
        let no_new_grant = s.grant == *previous;
        let unacknowledged =
            s.grant.token == previous.token && s.grant.acknowledged < last_end;
        no_new_grant || unacknowledged
    };
    let timeout = if last_end > 0 {
        ACK_TIMEOUT
    } else {
        POLL_INTERVAL
    };
    drop(cx.changed.wait_timeout_while(state, timeout, is_pending));
}

/// Waits until a grant is received or the upstream reports.
fn wait_for_change(cx: &AgentContext, timeout: Duration) {
    let state = cx.lock();
    drop(cx.changed.wait_timeout(state, timeout));
}

fn send_snapshot(
    cx: &AgentContext,
    net: &Net,
    token: u64,
    snapshot: Snapshot,
) {
    send_report(
        cx,
        net,
        Report {
            token,
            snapshot: Some(snapshot),
            ..Report::default()
        },
    );
}
