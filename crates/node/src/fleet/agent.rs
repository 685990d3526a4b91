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
use figrill_protocol::message::{Heartbeat, Message, Peer, Role};
use figrill_state::{
    batch::Incarnation,
    event::{Code, Stamp, Timeline},
    runner::{Snapshot, Upstream},
};
use figrill_transport::{
    peer::{self, ConnId, Event, Net},
    runtime::Runtime,
};

use super::{AgentParts, FromUpstream, register, secret, serve};
use crate::{
    config::{NET_QUEUE_CAPACITY, StartError, new_incarnation},
    metrics::{Journal, Metrics},
};

mod hold;
mod orders;
mod upstream;

use hold::hold_for_good;
use orders::carry_out;
use upstream::handle_call;

/// Starts and stops that are carried out at the same time.
const ORDER_THREADS: usize = 3;

/// Orders that may wait to be carried out.
const ORDER_RING: usize = 512;

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
struct AgentContext {
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

impl AgentContext {
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
        let cx = Arc::new(AgentContext {
            parts: parts.clone(),
            journal: journal.clone(),
            state: Mutex::default(),
            changed: Condvar::new(),
            draining: draining.clone(),
        });
        let heard = cx.clone();
        serve::start("upstream", move || {
            let _server = server;
            for call in calls {
                handle_call(&heard, call);
            }
        })?;
        let handle = runtime.handle();
        let worked = cx.clone();
        serve::start("agent", move || {
            let secret = secret::obtain(&*worked.parts.kv);
            let (tx, events) = bounded(NET_QUEUE_CAPACITY);
            let settings = &worked.parts.deployment;
            let me = Peer {
                role: Role::Agent,
                name: settings.name.clone(),
                incarnation: new_incarnation(),
                peer: settings.advertise.clone(),
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
            settings.advertise.clone(),
        );
        serve::start("register", move || {
            register::keep(&*kv, &name, &address);
        })?;
        let detail =
            format!("upstream={} peer={}", settings.upstream, settings.peer);
        journal.record_event(Code::ProcessStarted, detail);
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
        self.journal.record_event(Code::ProcessStopped, "");
        self.runtime.stop();
    }
}

/// Joins the streams of coordinators to the threads that call the upstream.
fn work(
    cx: &Arc<AgentContext>,
    net: &Net,
    events: &Receiver<Event>,
) -> Result<(), StartError> {
    let (orders, rx) = bounded(ORDER_RING);
    for _ in 0..ORDER_THREADS {
        let (cx, rx, net) = (cx.clone(), rx.clone(), net.clone());
        serve::start("order", move || {
            for order in rx {
                carry_out(&cx, &net, order);
            }
        })?;
    }
    let (holding, held) = (cx.clone(), net.clone());
    serve::start("hold", move || hold_for_good(&holding, &held))?;
    let mut conns: Vec<ConnId> = Vec::new();
    let mut beat = Duration::ZERO;
    loop {
        if let Ok(event) = events.recv_timeout(LOOK * 4) {
            match event {
                Event::Up { conn, peer, .. } => {
                    let detail = format!("peer={}", peer.name);
                    cx.journal.record_event(Code::PeerUp, detail);
                    conns.push(conn);
                }
                Event::Frame { conn, frame } => {
                    if let Message::ToAgent(order) = frame.message {
                        take_order(cx, conn, order, &orders);
                    }
                }
                Event::Down { conn, why } => {
                    let detail = format!("why={why}");
                    cx.journal.record_event(Code::PeerDown, detail);
                    conns.retain(|c| *c != conn);
                    let mut state = cx.lock();
                    if state.coordinator == Some(conn) {
                        state.coordinator = None;
                    }
                }
                Event::DialFailed { .. } | Event::Refused { .. } => {}
            }
        }
        let now = cx.parts.clock.now();
        if now >= beat + BEAT {
            beat = now;
            for conn in &conns {
                let message = Message::Heartbeat(Heartbeat::default());
                let _ = net.send(*conn, Stamp::default(), message);
            }
        }
    }
}

/// Takes a coordinator's message. One with an older token is left unheard.
fn take_order(
    cx: &AgentContext,
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
        let mut state = cx.lock();
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
            cx.changed.notify_all();
            return;
        }
    }
    match orders.try_send(order) {
        Ok(()) => {}
        Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
            cx.journal.record_event(Code::RingFull, "orders");
        }
    }
}

fn report(
    cx: &AgentContext,
    net: &Net,
    snapshot: Option<Snapshot>,
    start_results: Vec<StartResult>,
) {
    send(
        cx,
        net,
        Report {
            snapshot,
            start_results,
            ..Report::default()
        },
    );
}

/// Sends a report with what is known of the upstream now.
fn send(cx: &AgentContext, net: &Net, mut report: Report) {
    let conn = {
        let state = cx.lock();
        report.upstream.clone_from(&state.upstream);
        report.ended_incarnation.clone_from(&state.gone);
        state.coordinator
    };
    let Some(conn) = conn else {
        return;
    };
    let message = Message::Report(Box::new(report));
    if net.send(conn, Stamp::default(), message).is_err() {
        cx.journal
            .record_event(Code::RingFull, "to the coordinator");
    }
}
