//! An agent: carries out the coordinator's orders on the upstream beside it.
//! It keeps nothing that the upstream or the store does not have.

use std::{
    sync::{
        Arc, Condvar, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crossbeam::channel::{Receiver, Sender, TrySendError, bounded};
use figrill_coordination::scheduler::message::{
    Grant, Report, StartResult, ToAgent,
};
use figrill_protocol::message::{Beat, Message, Peer};
use figrill_state::{
    batch::Incarnation,
    event::{Code, Note, Stamp, Timeline},
    job::JobId,
    runner::{Hold, Refusal, RunnerError, Snapshot, Started, Upstream},
};
use figrill_transport::{
    http::{Answer, Event as HttpEvent},
    peer::{self, ConnId, Event, Net},
    runtime::Runtime,
};

use super::{AgentParts, FromUpstream, register, secret, serve};
use crate::{
    config::{NET_RING, StartError, incarnation},
    metrics::{Journal, Metrics},
};

/// Starts and stops that are carried out at the same time.
const ORDER_THREADS: usize = 3;

/// Orders that may wait to be carried out.
const ORDER_RING: usize = 512;

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

/// Time between two looks for something to do.
const LOOK: Duration = Duration::from_millis(50);

/// Time between two heartbeats to the coordinator.
const BEAT: Duration = Duration::from_secs(1);

/// A running agent.
pub struct FleetAgent {
    runtime: Runtime,
    draining: Arc<AtomicBool>,
    journal: Journal,
}

/// What the agent's threads share.
struct Beside {
    parts: AgentParts,
    journal: Journal,
    state: Mutex<State>,
    /// Told when a grant or an upstream comes.
    changed: Condvar,
    draining: Arc<AtomicBool>,
}

#[derive(Default)]
struct State {
    upstream: Option<Upstream>,
    /// A life of the upstream that has said that it ends.
    gone: Option<Incarnation>,
    grant: Grant,
    /// The stream of the coordinator with the highest token.
    coordinator: Option<ConnId>,
    /// Ends of this upstream that were reported.
    reported: u64,
}

impl Beside {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl FleetAgent {
    /// Starts an agent.
    ///
    /// # Errors
    ///
    /// Any [`StartError`].
    pub fn start(parts: &AgentParts) -> Result<Self, StartError> {
        let settings = &parts.deployment;
        let runtime = Runtime::start("net").map_err(StartError::Thread)?;
        let journal = Journal {
            timeline: Timeline::new(&settings.name, parts.clock.clone()),
            metrics: Metrics::new(),
        };
        let peers = peer::bind(&settings.peer)
            .map_err(|e| StartError::Listen(settings.peer.clone(), e))?;
        let (server, calls) = serve::listen(&runtime, &settings.upstream)?;
        serve::metrics(&runtime, &settings.metrics, &journal)?;
        let draining = Arc::new(AtomicBool::new(false));
        let beside = Arc::new(Beside {
            parts: parts.clone(),
            journal: journal.clone(),
            state: Mutex::default(),
            changed: Condvar::new(),
            draining: draining.clone(),
        });
        let heard = beside.clone();
        serve::start("upstream", move || {
            let _server = server;
            for call in calls {
                hear(&heard, call);
            }
        })?;
        let handle = runtime.handle();
        let worked = beside.clone();
        serve::start("agent", move || {
            let secret = secret::obtain(&*worked.parts.kv);
            let (tx, events) = bounded(NET_RING);
            let settings = &worked.parts.deployment;
            let me = Peer {
                name: settings.name.clone(),
                incarnation: incarnation(),
                peer: settings.peer.clone(),
                http: String::new(),
                worker: None,
            };
            let net = Net::start(handle, peers, me, secret, tx);
            if let Err(e) = work(&worked, &net, &events) {
                log::error!("the agent cannot work: {e}");
            }
        })?;
        let (kv, name, address) = (
            parts.kv.clone(),
            settings.name.clone(),
            settings.peer.clone(),
        );
        serve::start("register", move || {
            register::keep(&*kv, &name, &address);
        })?;
        let detail =
            format!("upstream={} peer={}", settings.upstream, settings.peer);
        journal.say(Code::ProcessStarted, detail);
        Ok(Self {
            runtime,
            draining,
            journal,
        })
    }

    /// Where this process notes what happens.
    #[must_use]
    pub fn journal(&self) -> Journal {
        self.journal.clone()
    }

    /// What stops the agent from another thread.
    pub fn drainer(&self) -> impl Fn() + Send + use<> {
        let draining = self.draining.clone();
        move || draining.store(true, Ordering::Relaxed)
    }

    /// Waits until the process is told to stop. What runs goes on: the
    /// agent that follows finds it there.
    pub fn join(self) {
        while !self.draining.load(Ordering::Relaxed) {
            thread::sleep(LOOK);
        }
        // An order that is under way is finished.
        thread::sleep(LOOK * 4);
        self.journal.say(Code::ProcessStopped, "");
        self.runtime.stop();
    }
}

/// Takes in what the upstream tells, and acknowledges it.
fn hear(beside: &Beside, event: HttpEvent) {
    let HttpEvent::Call(call) = event else {
        return;
    };
    let decode = beside.parts.decode_upstream;
    let status = match decode(call.method.as_str(), &call.path, &call.body) {
        None => 404,
        Some(Err(e)) => {
            let detail = format!("path={} why={e}", call.path);
            beside.journal.say(Code::SettingsRefused, detail);
            400
        }
        Some(Ok(FromUpstream::Heartbeat(upstream))) => {
            meet(beside, *upstream);
            200
        }
        Some(Ok(FromUpstream::Leaves { id })) => {
            leave(beside, &id);
            200
        }
    };
    call.responder.send(Answer::json(status, b"{}".to_vec()));
}

/// Adopts what a heartbeat says, unless a later one was there before.
fn meet(beside: &Beside, upstream: Upstream) {
    let mut state = beside.lock();
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
        beside.journal.say(Code::UpstreamUp, detail);
    }
    if drains {
        let detail = format!(
            "upstream={} draining remaining={:?}",
            upstream.incarnation.id, upstream.remaining
        );
        beside.journal.say(Code::UpstreamGone, detail);
    }
    state.upstream = Some(upstream);
    beside.changed.notify_all();
}

fn leave(beside: &Beside, id: &str) {
    let mut state = beside.lock();
    let life = state.upstream.as_ref().map(|u| u.incarnation.clone());
    let Some(life) = life.filter(|l| l.id == id) else {
        return;
    };
    beside
        .journal
        .say(Code::UpstreamGone, format!("upstream={id} left"));
    state.upstream = None;
    state.gone = Some(life);
    beside.changed.notify_all();
}

/// Joins the streams of coordinators to the threads that call the upstream.
fn work(
    beside: &Arc<Beside>,
    net: &Net,
    events: &Receiver<Event>,
) -> Result<(), StartError> {
    let (orders, rx) = bounded(ORDER_RING);
    for _ in 0..ORDER_THREADS {
        let (beside, rx, net) = (beside.clone(), rx.clone(), net.clone());
        serve::start("order", move || {
            for order in rx {
                carry_out(&beside, &net, order);
            }
        })?;
    }
    let (holding, held) = (beside.clone(), net.clone());
    serve::start("hold", move || hold_for_good(&holding, &held))?;
    let mut conns: Vec<ConnId> = Vec::new();
    let mut beat = Duration::ZERO;
    loop {
        if let Ok(event) = events.recv_timeout(LOOK * 4) {
            match event {
                Event::Up { conn, peer, .. } => {
                    let detail = format!("peer={}", peer.name);
                    beside.journal.say(Code::PeerUp, detail);
                    conns.push(conn);
                }
                Event::Frame { conn, frame } => {
                    if let Message::ToAgent(order) = frame.message {
                        take_order(beside, conn, order, &orders);
                    }
                }
                Event::Down { conn, why } => {
                    let detail = format!("why={why}");
                    beside.journal.say(Code::PeerDown, detail);
                    conns.retain(|c| *c != conn);
                    let mut state = beside.lock();
                    if state.coordinator == Some(conn) {
                        state.coordinator = None;
                    }
                }
                Event::DialFailed { .. } | Event::Refused { .. } => {}
            }
        }
        let now = beside.parts.clock.now();
        if now >= beat + BEAT {
            beat = now;
            for conn in &conns {
                let message = Message::Beat(Beat::default());
                let _ = net.send(*conn, Stamp::default(), message);
            }
        }
    }
}

/// Takes a coordinator's message. One with an older token is left unheard.
fn take_order(
    beside: &Beside,
    conn: ConnId,
    order: ToAgent,
    orders: &Sender<ToAgent>,
) {
    let token = match &order {
        ToAgent::Grant(grant) => grant.token,
        ToAgent::Start { start, .. } => start.token,
        ToAgent::Stop { token, .. } => *token,
    };
    {
        let mut state = beside.lock();
        if token < state.grant.token {
            return;
        }
        if token > state.grant.token {
            // What an earlier coordinator granted is not extended.
            state.grant = Grant {
                token,
                ..Grant::default()
            };
            state.reported = 0;
        }
        state.coordinator = Some(conn);
        if let ToAgent::Grant(grant) = order {
            let deadline = grant.deadline_ms.max(state.grant.deadline_ms);
            let same = state.grant.upstream == grant.upstream;
            let acknowledged = if same {
                grant.acknowledged.max(state.grant.acknowledged)
            } else {
                grant.acknowledged
            };
            state.grant = Grant {
                deadline_ms: if same { deadline } else { grant.deadline_ms },
                acknowledged,
                ..grant
            };
            beside.changed.notify_all();
            return;
        }
    }
    match orders.try_send(order) {
        Ok(()) => {}
        Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
            beside.journal.say(Code::RingFull, "orders");
        }
    }
}

fn carry_out(beside: &Beside, net: &Net, order: ToAgent) {
    let (upstream, token) = {
        let state = beside.lock();
        (state.upstream.clone(), state.grant.token)
    };
    match order {
        ToAgent::Start {
            upstream: meant,
            start,
        } => {
            let begun = beside.parts.clock.now();
            let refused = Started::Refused;
            let started = match &upstream {
                _ if start.token < token => refused(Refusal::Fenced),
                Some(u) if u.incarnation != meant => {
                    refused(Refusal::OtherLife)
                }
                // The upstream was told that it gets no more work.
                Some(u) if u.draining => refused(Refusal::Unhealthy),
                Some(_) if beside.draining.load(Ordering::Relaxed) => {
                    refused(Refusal::Late)
                }
                Some(u) => beside.parts.runner.start(u, &start),
                None => refused(Refusal::OtherLife),
            };
            let took = beside.parts.clock.now().saturating_sub(begun);
            beside.journal.metrics.time("start", took);
            let detail = format!(
                "task={} run={} result={started:?} took_ms={}",
                start.task,
                start.run,
                took.as_millis()
            );
            note(beside, Code::PartStarted, start.task.job.0, detail);
            let result = StartResult {
                task: start.task,
                run: start.run,
                started,
            };
            report(beside, net, None, vec![result]);
        }
        ToAgent::Stop {
            upstream: meant,
            task,
            run,
            token,
        } => {
            let Some(upstream) = upstream.filter(|u| u.incarnation == meant)
            else {
                return;
            };
            let runner = &beside.parts.runner;
            let stopped = runner.stop(&upstream, task, run, token);
            let detail = format!("task={task} run={run} result={stopped:?}");
            note(beside, Code::PartStopped, task.job.0, detail);
        }
        ToAgent::Grant(_) => {}
    }
}

fn note(beside: &Beside, code: Code, job: u64, detail: String) {
    let job = Some(JobId(u128::from(job)));
    beside.journal.note(&Note { code, job, detail });
}

/// Extends what runs as far as it was granted, and reports what is there.
fn hold_for_good(beside: &Beside, net: &Net) {
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

fn report(
    beside: &Beside,
    net: &Net,
    snapshot: Option<Snapshot>,
    results: Vec<StartResult>,
) {
    send(
        beside,
        net,
        Report {
            snapshot,
            results,
            ..Report::default()
        },
    );
}

/// Sends a report with what is known of the upstream now.
fn send(beside: &Beside, net: &Net, mut report: Report) {
    let conn = {
        let state = beside.lock();
        report.upstream.clone_from(&state.upstream);
        report.gone.clone_from(&state.gone);
        state.coordinator
    };
    let Some(conn) = conn else {
        return;
    };
    let message = Message::Report(Box::new(report));
    if net.send(conn, Stamp::default(), message).is_err() {
        beside.journal.say(Code::RingFull, "to the coordinator");
    }
}
