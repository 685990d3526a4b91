//! Calls to an upstream that are held up on their way. They get no answer and
//! are carried out later, by whichever incarnation of the same id is there
//! then.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use figrill_example::pool::Pool;
use figrill_state::{batch::Incarnation, runner::StartOutcome};
use serde_json::Value;

use super::{
    Workers,
    calls::{parse_hold_order, parse_start_order, parse_stop_order},
};
use crate::web::Call;

/// Which calls of one kind are held up.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Share {
    /// No calls.
    #[default]
    None,
    /// The first attempt of each order. Of the hold calls, the first one.
    First,
    /// Every n-th call, beginning with the n-th.
    Every(u32),
    /// All calls.
    All,
}

/// Which calls to an upstream are held up, and for how long.
#[derive(Clone, Copy, Debug, Default)]
pub struct Delay {
    /// The orders to start a run.
    pub starts: Share,
    /// The orders to stop a run.
    pub stops: Share,
    /// The hold calls that acknowledge no ends of runs.
    pub holds: Share,
    /// The hold calls that acknowledge ends of runs.
    pub acknowledgements: Share,
    /// The time from the receipt of a call until it is carried out. `None`
    /// leaves that to [`Workers::carry_out_delayed`].
    pub duration: Option<Duration>,
}

/// A kind of calls that can be held up.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum CallKind {
    /// An order to start a run.
    Start,
    /// An order to stop a run.
    Stop,
    /// A hold call that acknowledges no ends of runs.
    Hold,
    /// A hold call that acknowledges ends of runs.
    Acknowledgement,
}

/// A call that was held up and carried out in the end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CarriedOut {
    /// The kind of the call.
    pub kind: CallKind,
    /// The time from its receipt until it was carried out.
    pub delay: Duration,
    /// Whether a later incarnation than the one that received the call has
    /// carried it out.
    pub by_later: bool,
    /// Whether it was not refused, for its fencing token or otherwise. Stops
    /// have no answer that tells.
    pub accepted: bool,
}

/// The delay of one upstream and what it needs to know of earlier calls.
#[derive(Default)]
struct ActiveDelay {
    delay: Delay,
    /// The orders of which an attempt was received, by kind and name.
    attempted: BTreeSet<(CallKind, String)>,
    /// The number of calls of each kind that were received.
    counts: BTreeMap<CallKind, u32>,
}

struct DelayedCall {
    /// The name of the agent beside the upstream.
    agent: String,
    expected_instance: Option<String>,
    kind: CallKind,
    body: Value,
    /// When the call was received, and the start of the incarnation then.
    received: (Instant, u64),
    due: Option<Instant>,
}

/// The delays of all upstreams and the calls that are held up.
#[derive(Default)]
pub(super) struct Delays {
    active: BTreeMap<String, ActiveDelay>,
    /// In the order of their receipt.
    calls: Vec<DelayedCall>,
    carried_out: Vec<CarriedOut>,
}

impl Workers {
    /// Holds up calls to the upstream beside the agent `name` from now on;
    /// `None` ends this. Calls that are held up already remain so.
    pub fn delay_calls(&self, name: &str, delay: Option<Delay>) {
        let mut delays = self.lock_delays();
        delays.active.remove(name);
        if let Some(delay) = delay {
            let active = ActiveDelay {
                delay,
                ..ActiveDelay::default()
            };
            delays.active.insert(name.to_owned(), active);
        }
    }

    /// Returns how many calls to an upstream are held up at present.
    #[must_use]
    pub fn delayed_calls(&self, name: &str) -> usize {
        let delays = self.lock_delays();
        delays.calls.iter().filter(|c| c.agent == name).count()
    }

    /// Returns the calls that were held up and carried out in the end, in this
    /// order.
    #[must_use]
    pub fn carried_out(&self) -> Vec<CarriedOut> {
        self.lock_delays().carried_out.clone()
    }

    /// Has the present incarnation of an upstream carry out the calls that are
    /// held up, in the order of their receipt. It drops those that expect
    /// another id. While the upstream has ended, they remain held up.
    pub fn carry_out_delayed(&self, name: &str) {
        self.carry_out(|call| call.agent == name);
    }

    /// Has an incarnation that starts carry out the calls that are held up, as
    /// [`Self::carry_out_delayed`] does, but for those whose delay is not over.
    pub(super) fn carry_out_at_start(&self, name: &str) {
        let now = Instant::now();
        self.carry_out(|call| {
            call.agent == name && call.due.is_none_or(|at| at <= now)
        });
    }

    /// Has the calls carried out whose delay is over.
    pub(super) fn carry_out_due(&self) {
        if self.lock_delays().calls.is_empty() {
            return;
        }
        let now = Instant::now();
        self.carry_out(|call| call.due.is_some_and(|at| at <= now));
    }

    fn carry_out(&self, is_due: impl Fn(&DelayedCall) -> bool) {
        let (mut pool, now_ms) = self.pool_and_time();
        let processes = self.processes();
        let runs = |agent: &str| processes.get(agent).is_some_and(|p| p.runs);
        let mut delays = self.lock_delays();
        let calls = std::mem::take(&mut delays.calls);
        let (due, later): (Vec<_>, Vec<_>) =
            calls.into_iter().partition(|c| is_due(c) && runs(&c.agent));
        delays.calls = later;
        for call in due {
            let carried_out = call.carry_out(&mut pool, now_ms);
            delays.carried_out.extend(carried_out);
        }
    }

    /// Holds up a call if the delay of its upstream includes it. Returns
    /// whether it did.
    pub(super) fn hold_up(
        &self,
        name: &str,
        call: &Call,
        body: &Value,
    ) -> bool {
        let Some(kind) = CallKind::of(&call.path, body) else {
            return false;
        };
        if !self.lock_delays().active.contains_key(name) {
            return false;
        }
        let pool = self.pool();
        let born_ms =
            pool.nodes.get(name).map(|n| n.upstream.incarnation.born_ms);
        let mut delays = self.lock_delays();
        let Some(active) = delays.active.get_mut(name) else {
            return false;
        };
        if !active.includes(kind, body) {
            return false;
        }
        let duration = active.delay.duration;
        let now = Instant::now();
        delays.calls.push(DelayedCall {
            agent: name.to_owned(),
            expected_instance: call.expected_instance.clone(),
            kind,
            body: body.clone(),
            received: (now, born_ms.unwrap_or(0)),
            due: duration.map(|d| now + d),
        });
        true
    }

    fn lock_delays(&self) -> MutexGuard<'_, Delays> {
        let delays = self.shared.delays.lock();
        delays.unwrap_or_else(PoisonError::into_inner)
    }
}

impl CallKind {
    fn of(path: &str, body: &Value) -> Option<Self> {
        match path {
            "/-/run-start" => Some(Self::Start),
            "/-/run-stop" => Some(Self::Stop),
            "/-/hold" if body["ack_cursor"].as_u64().unwrap_or(0) > 0 => {
                Some(Self::Acknowledgement)
            }
            "/-/hold" => Some(Self::Hold),
            _ => None,
        }
    }
}

impl ActiveDelay {
    /// Returns whether a call is held up, and counts it.
    fn includes(&mut self, kind: CallKind, body: &Value) -> bool {
        let share = match kind {
            CallKind::Start => self.delay.starts,
            CallKind::Stop => self.delay.stops,
            CallKind::Hold => self.delay.holds,
            CallKind::Acknowledgement => self.delay.acknowledgements,
        };
        let order = match kind {
            CallKind::Start | CallKind::Stop => {
                format!("{}/{}", body["task"], body["run"])
            }
            CallKind::Hold | CallKind::Acknowledgement => String::new(),
        };
        let is_first = self.attempted.insert((kind, order));
        let count = self.counts.entry(kind).or_insert(0);
        *count += 1;
        match share {
            Share::None => false,
            Share::First => is_first,
            Share::Every(n) => count.is_multiple_of(n.max(1)),
            Share::All => true,
        }
    }
}

impl DelayedCall {
    /// Has the present incarnation carry out the call, unless the call expects
    /// another id.
    fn carry_out(&self, pool: &mut Pool, now_ms: u64) -> Option<CarriedOut> {
        let (agent, kind) = (self.agent.as_str(), self.kind);
        let present = pool.nodes.get(agent)?.upstream.incarnation.clone();
        let expected = self.expected_instance.as_ref();
        if expected.is_some_and(|id| *id != present.id) {
            return None;
        }
        let (at, born_ms) = self.received;
        let delay = at.elapsed();
        pool.trace.push(format!(
            "{now_ms} delayed {kind:?} by {} ms {agent}",
            delay.as_millis()
        ));
        Some(CarriedOut {
            kind,
            delay,
            by_later: present.born_ms != born_ms,
            accepted: self.execute(pool, now_ms, &present),
        })
    }

    /// Executes the call. Returns whether it was accepted.
    fn execute(
        &self,
        pool: &mut Pool,
        now_ms: u64,
        present: &Incarnation,
    ) -> bool {
        let (agent, body) = (self.agent.as_str(), &self.body);
        match self.kind {
            CallKind::Start => {
                let outcome = parse_start_order(body)
                    .map(|start| pool.start(now_ms, agent, present, &start));
                matches!(outcome, Some(StartOutcome::Running { .. }))
            }
            CallKind::Stop => {
                let stop = parse_stop_order(body);
                if let Some((task, run, token)) = stop {
                    pool.stop(now_ms, agent, task, run, token);
                }
                stop.is_some()
            }
            CallKind::Hold | CallKind::Acknowledgement => {
                let hold = parse_hold_order(body);
                let (token, acknowledged) = (hold.token, hold.acknowledged);
                let deadline_ms = hold.deadline_ms;
                pool.hold(now_ms, agent, token, acknowledged, deadline_ms)
                    .is_some()
            }
        }
    }
}
