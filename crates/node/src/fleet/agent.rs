//! The agent process: carries out the coordinator's orders on the upstream on
//! its VM. It keeps no state that can't be read again from the upstream or the
//! store, so a restarted agent continues where the previous one stopped.

use std::{
    sync::{
        Arc, Condvar, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crossbeam::channel::{Receiver, Sender, TrySendError, bounded};
use figrill_coordination::{
    fencing::AgentFence,
    open_calls::OpenCalls,
    registration::Registration,
    scheduler::message::{Grant, Report, StartResult, ToAgent},
};
use figrill_protocol::message::{Heartbeat, Message, Peer, Role};
use figrill_state::{
    batch::Incarnation,
    event::{Code, Stamp, Timeline},
    limits::Limits,
    runner::Snapshot,
};
use figrill_transport::{
    peer::{self, ConnId, Event, Net},
    runtime::Runtime,
};

use super::{AgentConfig, UpstreamMessage, register, secret, serve};
use crate::{
    config::{NET_QUEUE_CAPACITY, StartError, new_incarnation},
    metrics::{Journal, Metrics},
};

mod confirm;
mod fence;
mod hold;
mod orders;
mod upstream;

use confirm::{confirm_upstreams, register_unseen_upstream};
use hold::poll_upstream;
use orders::execute_order;
use upstream::handle_call;

/// The maximum number of starts and stops that are carried out at the same
/// time. An order that the upstream does not answer occupies a thread for
/// more than a second, and must not hold up the orders of other runs.
const ORDER_THREADS: usize = 6;

/// The maximum number of orders that wait to be carried out.
const ORDER_QUEUE_CAPACITY: usize = 512;

/// The interval at which the agent checks whether it has to stop. Its other
/// short waits are multiples of this.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The interval of heartbeats on the streams of coordinators. It is also the
/// wait between two reports while there is no upstream to poll.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// A running agent.
pub struct FleetAgent {
    runtime: Runtime,
    draining: Arc<AtomicBool>,
    journal: Journal,
}

/// The state that the agent's threads share.
struct AgentContext {
    config: AgentConfig,
    journal: Journal,
    state: Mutex<State>,
    /// Notified when a grant was stored, the registration has changed, or a
    /// start or an acknowledgement has ended.
    changed: Condvar,
    draining: Arc<AtomicBool>,
}

struct State {
    /// Which incarnation of the upstream this agent works with.
    registration: Registration,
    /// The fencing token of calls to the upstream.
    fence: AgentFence,
    /// The calls to the upstream that may still be executed.
    open_calls: OpenCalls,
    /// The last grant, with the highest fencing token that was seen.
    grant: Grant,
    /// The stream to the coordinator with the highest fencing token.
    coordinator: Option<ConnId>,
}

impl State {
    fn new(limits: &Limits) -> Self {
        Self {
            registration: Registration::new(limits),
            fence: AgentFence::default(),
            open_calls: OpenCalls::default(),
            grant: Grant::default(),
            coordinator: None,
        }
    }
}

impl AgentContext {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl FleetAgent {
    /// Starts an agent, which then runs on its own threads.
    ///
    /// # Errors
    ///
    /// Returns a [`StartError`] if an address can't be listened on or a thread
    /// can't be started.
    pub fn start(config: &AgentConfig) -> Result<Self, StartError> {
        let settings = &config.deployment;
        let runtime = Runtime::start("net").map_err(StartError::Thread)?;
        let journal = Journal {
            timeline: Timeline::new(&settings.name, config.clock.clone()),
            metrics: Metrics::new(),
        };
        let peers = peer::bind(&settings.peer)
            .map_err(|e| StartError::Listen(settings.peer.clone(), e))?;
        let (server, calls) = serve::listen(&runtime, &settings.upstream)?;
        serve::metrics(&runtime, &settings.metrics, &journal)?;
        let draining = Arc::new(AtomicBool::new(false));
        let cx = Arc::new(AgentContext {
            config: config.clone(),
            journal: journal.clone(),
            state: Mutex::new(State::new(&config.deployment.limits)),
            changed: Condvar::new(),
            draining: draining.clone(),
        });
        let upstream_cx = cx.clone();
        serve::spawn("upstream", move || {
            let _server = server;
            for call in calls {
                handle_call(&upstream_cx, call);
            }
        })?;
        let handle = runtime.handle();
        let agent_cx = cx.clone();
        serve::spawn("agent", move || {
            let secret = secret::load_or_create(&*agent_cx.config.kv);
            let (tx, events) = bounded(NET_QUEUE_CAPACITY);
            let settings = &agent_cx.config.deployment;
            let local_peer = Peer {
                role: Role::Agent,
                name: settings.name.clone(),
                incarnation: new_incarnation(),
                address: settings.advertise.clone(),
                http: String::new(),
                worker: None,
            };
            let net = Net::start(handle, peers, local_peer, secret, tx);
            if let Err(e) = run(&agent_cx, &net, &events) {
                log::error!("failed to start the threads of the agent: {e}");
            }
        })?;
        let (kv, name, address) = (
            config.kv.clone(),
            settings.name.clone(),
            settings.advertise.clone(),
        );
        serve::spawn("register", move || {
            register::keep_registered(&*kv, &name, &address);
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

    /// Returns the journal of this process.
    #[must_use]
    pub fn journal(&self) -> Journal {
        self.journal.clone()
    }

    /// Returns a function that starts draining the process and may be called
    /// from any thread.
    pub fn drain_fn(&self) -> impl Fn() + Send + use<> {
        let draining = self.draining.clone();
        move || draining.store(true, Ordering::Relaxed)
    }

    /// Waits until the process starts draining, and then a short time for the
    /// orders that are being carried out. Runs on the upstream continue, and
    /// the next agent finds them there.
    pub fn join(self) {
        while !self.draining.load(Ordering::Relaxed) {
            thread::sleep(POLL_INTERVAL);
        }
        // Orders that are being carried out get time to finish.
        thread::sleep(POLL_INTERVAL * 4);
        self.journal.record_event(Code::ProcessStopped, "");
        self.runtime.stop();
    }
}

/// Passes orders from the streams of coordinators to the threads that call the
/// upstream, and sends heartbeats.
fn run(
    cx: &Arc<AgentContext>,
    net: &Net,
    events: &Receiver<Event>,
) -> Result<(), StartError> {
    let (orders, rx) = bounded(ORDER_QUEUE_CAPACITY);
    for _ in 0..ORDER_THREADS {
        let (cx, rx, net) = (cx.clone(), rx.clone(), net.clone());
        serve::spawn("order", move || {
            for order in rx {
                execute_order(&cx, &net, order);
            }
        })?;
    }
    let (hold_cx, hold_net) = (cx.clone(), net.clone());
    serve::spawn("hold", move || poll_upstream(&hold_cx, &hold_net))?;
    let (confirm_cx, confirm_net) = (cx.clone(), net.clone());
    serve::spawn("confirm", move || {
        confirm_upstreams(&confirm_cx, &confirm_net);
    })?;
    let unseen_cx = cx.clone();
    serve::spawn("unseen", move || register_unseen_upstream(&unseen_cx))?;
    let mut conns: Vec<ConnId> = Vec::new();
    let mut last_heartbeat = Duration::ZERO;
    loop {
        if let Ok(event) = events.recv_timeout(POLL_INTERVAL * 4) {
            match event {
                Event::Up { conn, peer, .. } => {
                    let detail = format!("peer={}", peer.name);
                    cx.journal.record_event(Code::PeerUp, detail);
                    conns.push(conn);
                }
                Event::Frame { conn, frame } => {
                    if let Message::ToAgent(message) = frame.message {
                        handle_message(cx, conn, message, &orders);
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
        let now = cx.config.clock.now();
        if now >= last_heartbeat + HEARTBEAT_INTERVAL {
            last_heartbeat = now;
            for conn in &conns {
                let message = Message::Heartbeat(Heartbeat::default());
                let _ = net.send(*conn, Stamp::default(), message);
            }
        }
    }
}

/// Handles a message of a coordinator: stores a grant, and queues an order to
/// start or stop a run. A message with a lower fencing token than the highest
/// one seen comes from an earlier coordinator or was meant for an earlier
/// incarnation of the upstream, and is ignored.
fn handle_message(
    cx: &AgentContext,
    conn: ConnId,
    message: ToAgent,
    orders: &Sender<ToAgent>,
) {
    let (token, named) = match &message {
        ToAgent::Grant(grant) => (grant.token, &grant.upstream),
        ToAgent::Start { start, upstream } => (start.token, upstream),
        ToAgent::Stop {
            token, upstream, ..
        } => (*token, upstream),
    };
    // A coordinator that knows no incarnation yet names none.
    let named = Some(named).filter(|i| **i != Incarnation::default());
    {
        let mut state = cx.lock();
        if token < state.grant.token {
            return;
        }
        if token > state.grant.token {
            // The grants of a new coordinator, or to a new incarnation, do not
            // build on earlier ones.
            state.grant = Grant {
                token,
                ..Grant::default()
            };
        }
        if let Some(named) = named
            && state.fence.token() == 0
        {
            // An earlier process of this agent has called that incarnation.
            let detail = format!("upstream={} token={token}", named.id);
            log::debug!("acknowledgements may be open: {detail}");
            state.open_calls.record_unanswered(token);
        }
        let registered = state.registration.current().cloned();
        let registered = registered.as_ref().map(|u| &u.incarnation);
        state.fence.record_grant(token, registered, named);
        state.coordinator = Some(conn);
        if let ToAgent::Grant(grant) = message {
            // While the upstream is the same, neither the deadline nor the
            // acknowledgement decreases, and a grant without a deadline keeps
            // the previous one.
            let deadline_ms = grant.deadline_ms.max(state.grant.deadline_ms);
            let same_upstream = state.grant.upstream == grant.upstream;
            let acknowledged = if same_upstream {
                grant.acknowledged.max(state.grant.acknowledged)
            } else {
                grant.acknowledged
            };
            state.grant = Grant {
                deadline_ms: if same_upstream {
                    deadline_ms
                } else {
                    grant.deadline_ms
                },
                acknowledged,
                ..grant
            };
            cx.changed.notify_all();
            return;
        }
    }
    match orders.try_send(message) {
        Ok(()) => {}
        Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
            cx.journal
                .record_event(Code::RingFull, "the queue of orders is full");
        }
    }
}

/// Sends a report with a snapshot and the results of starts, if any.
fn report(
    cx: &AgentContext,
    net: &Net,
    snapshot: Option<Snapshot>,
    start_results: Vec<StartResult>,
) {
    send_report(
        cx,
        net,
        Report {
            snapshot,
            start_results,
            ..Report::default()
        },
    );
}

/// Adds the present state of the upstream to a report and sends it. If there
/// is no stream to a coordinator, the report is dropped. If the report names an
/// upstream already, the stops in it are those of that incarnation, and are
/// dropped if it is not registered any more.
fn send_report(cx: &AgentContext, net: &Net, mut report: Report) {
    let result = {
        // The lock is held until the report is queued, so that no report
        // overtakes one with a later registration.
        let state = cx.lock();
        let Some(conn) = state.coordinator else {
            return;
        };
        let stopped_on = report.upstream.take().map(|u| u.incarnation);
        report.upstream = state.registration.current().cloned();
        let present = report.upstream.as_ref().map(|u| &u.incarnation);
        if stopped_on.as_ref() != present {
            report.stop_results.clear();
        }
        report.ended_incarnation = state.registration.ended().cloned();
        let message = Message::Report(Box::new(report));
        net.send(conn, Stamp::default(), message)
    };
    if result.is_err() {
        cx.journal.record_event(
            Code::RingFull,
            "the queue of the stream to the coordinator is full",
        );
    }
}
