//! The thread that handles the events on the streams of an entry, and the
//! threads that make relayed calls.

use std::{sync::Arc, thread, time::Duration};

use crossbeam::channel::{Receiver, Sender, TrySendError, bounded};
use figrill_protocol::message::{Message, Peer, Role};
use figrill_state::{
    batch::{Batch, decode, keys},
    event::Code,
    kv::{Kv, KvError, call::Call},
};
use figrill_transport::peer::{ConnId, Event, Net};
use tokio::runtime::Handle;

use super::{Mesh, PeerAnswer, directory};
use crate::{
    config::{NET_QUEUE_CAPACITY, StartError, new_incarnation},
    fleet::{EntryConfig, secret, serve},
    metrics::Journal,
};

/// The interval of heartbeats to the other entries.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// The maximum time between two checks for entries that must be dialled.
const DIAL_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The interval at which a store that does not answer is called.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// The time limit for such a call.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// The number of threads that make relayed calls.
const RELAY_THREADS: usize = 3;

/// The maximum number of relayed calls that wait for a thread.
const RELAY_QUEUE_CAPACITY: usize = 64;

/// The maximum number of records of jobs that wait for the local coordinator.
const JOB_RECORD_QUEUE_CAPACITY: usize = 256;

/// The queues from which the coordinator of this process gets its inputs,
/// besides the store.
pub(in crate::fleet) struct CoordinatorInputs {
    /// The events on the streams to agents.
    pub(in crate::fleet) events: Receiver<Event>,
    /// The records of jobs that entries have just written to the store.
    pub(in crate::fleet) job_records: Receiver<Batch>,
}

/// A store call that is made on behalf of another entry.
struct RelayedCall {
    /// The stream on which the call was received.
    conn: ConnId,
    number: u64,
    timeout: Duration,
    /// When the other entry stops waiting for the result.
    expires_at: Duration,
    call: Call,
}

/// Starts the threads. Returns the mesh, and the inputs of the coordinator.
pub(in crate::fleet) fn start(
    config: &EntryConfig,
    handle: Handle,
    peers: std::net::TcpListener,
    journal: &Journal,
) -> Result<(Mesh, CoordinatorInputs), StartError> {
    let settings = &config.deployment;
    let (job_records_tx, job_records) = bounded(JOB_RECORD_QUEUE_CAPACITY);
    let mesh = Mesh::new(
        &settings.name,
        config.clock.clone(),
        journal.clone(),
        job_records_tx,
    );
    let (to_coordinator, agent_events) = bounded(NET_QUEUE_CAPACITY);
    let (relayed_tx, relayed_rx) = bounded(RELAY_QUEUE_CAPACITY);
    for _ in 0..RELAY_THREADS {
        let (mesh, kv, rx) =
            (mesh.clone(), config.kv.clone(), relayed_rx.clone());
        serve::spawn("helper", move || run_relayed_calls(&mesh, &kv, &rx))?;
    }
    let (probe_mesh, kv) = (mesh.clone(), config.kv.clone());
    serve::spawn("probe", move || probe_store(&probe_mesh, &kv))?;
    let (config, hub_mesh) = (config.clone(), mesh.clone());
    serve::spawn("hub", move || {
        let secret = secret::load_or_create(&*config.kv);
        let (tx, events) = bounded(NET_QUEUE_CAPACITY);
        let settings = &config.deployment;
        let local_peer = Peer {
            role: Role::Entry,
            name: settings.name.clone(),
            incarnation: new_incarnation(),
            address: settings.advertise.clone(),
            http: settings.callers.clone(),
            worker: None,
        };
        let net = Net::start(handle, peers, local_peer, secret, tx);
        // This is the only place that sets it.
        let _ = hub_mesh.0.net.set(net);
        directory::start(&config, &hub_mesh);
        let hub = Hub {
            mesh: hub_mesh,
            to_coordinator,
            relayed_tx,
        };
        hub.run(&events);
    })?;
    let inputs = CoordinatorInputs {
        events: agent_events,
        job_records,
    };
    Ok((mesh, inputs))
}

/// The state of the `hub` thread.
struct Hub {
    mesh: Mesh,
    /// The queue of the coordinator's thread for events on the streams to
    /// agents.
    to_coordinator: Sender<Event>,
    relayed_tx: Sender<RelayedCall>,
}

impl Hub {
    fn run(&self, events: &Receiver<Event>) {
        let mut last_heartbeat = Duration::ZERO;
        loop {
            if let Ok(event) = events.recv_timeout(DIAL_CHECK_INTERVAL) {
                self.handle_event(event);
                while let Ok(event) = events.try_recv() {
                    self.handle_event(event);
                }
            }
            let now = self.mesh.now();
            let addresses = self.mesh.lock().entries.addresses_to_dial(now);
            let local = &self.mesh.net().local_peer().address;
            for address in addresses.iter().filter(|a| *a != local) {
                self.mesh.net().dial(address);
            }
            if now >= last_heartbeat + HEARTBEAT_INTERVAL {
                last_heartbeat = now;
                self.mesh.send_heartbeats();
            }
        }
    }

    fn handle_event(&self, event: Event) {
        match event {
            Event::Up { conn, peer, .. } if peer.role == Role::Entry => {
                self.handle_stream_opened(conn, &peer);
            }
            Event::Frame { conn, frame } => match frame.message {
                Message::EntryHeartbeat { reaches_store } => {
                    self.mesh
                        .lock()
                        .entries
                        .set_reaches_store(conn, reaches_store);
                }
                Message::PendingWriteQuery { number, job } => {
                    let now = self.mesh.now();
                    let may_still_apply =
                        self.mesh.lock().writes.may_still_apply(now, job);
                    let answer = Message::PendingWriteAnswer {
                        number,
                        may_still_apply,
                    };
                    self.mesh.send(conn, answer);
                }
                Message::PendingWriteAnswer {
                    number,
                    may_still_apply,
                } => {
                    let answer = PeerAnswer::PendingWrite(may_still_apply);
                    self.mesh.deliver_answer(conn, number, answer);
                }
                Message::StoreCall {
                    number,
                    timeout,
                    call,
                } => self.queue_relayed(RelayedCall {
                    conn,
                    number,
                    timeout,
                    expires_at: self.mesh.now() + timeout,
                    call,
                }),
                Message::StoreAnswer { number, result } => {
                    self.mesh.deliver_answer(
                        conn,
                        number,
                        PeerAnswer::Store(result),
                    );
                }
                Message::JobRecord(record) => self.queue_job_record(&record),
                message => {
                    let frame =
                        figrill_protocol::message::Frame { message, ..frame };
                    self.forward(Event::Frame { conn, frame });
                }
            },
            Event::Down { conn, why } => {
                self.handle_stream_closed(conn, &why);
                self.forward(Event::Down { conn, why });
            }
            other => self.forward(other),
        }
    }

    fn queue_job_record(&self, record: &[u8]) {
        let batch = decode::<Batch>(record).map_err(|e| e.to_string());
        let valid = batch.and_then(|batch| match batch.validation_error() {
            Some(why) => Err(why),
            None => Ok(batch),
        });
        match valid {
            Ok(batch) => self.mesh.queue_job_record(batch),
            Err(e) => log::warn!("malformed record of a job: {e}"),
        }
    }

    fn handle_stream_opened(&self, conn: ConnId, peer: &Peer) {
        let detail = format!("peer={}", peer.name);
        self.mesh.0.journal.record_event(Code::PeerUp, detail);
        let now = self.mesh.now();
        let mut state = self.mesh.lock();
        state
            .entries
            .add_stream(now, &peer.name, &peer.address, conn);
        drop(state);
        let reaches_store = self.mesh.reaches_store();
        self.mesh
            .send(conn, Message::EntryHeartbeat { reaches_store });
    }

    fn handle_stream_closed(&self, conn: ConnId, why: &str) {
        let now = self.mesh.now();
        let mut state = self.mesh.lock();
        if let Some(name) = state.entries.remove_stream(now, conn) {
            let detail = format!("peer={name} why={why}");
            self.mesh.0.journal.record_event(Code::PeerDown, detail);
        }
        // Drops the waiters for answers on this stream, so that a thread that
        // waits for nothing else fails at once instead of after its timeout.
        state.waiters.retain(|_, waiter| waiter.conn != conn);
    }

    /// Queues a relayed call, or answers at once that it was refused if the
    /// queue is full.
    fn queue_relayed(&self, relayed: RelayedCall) {
        let (conn, number) = (relayed.conn, relayed.number);
        match self.relayed_tx.try_send(relayed) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                let result =
                    Err(KvError::Refused("too much to do".to_owned()));
                let answer = Message::StoreAnswer { number, result };
                self.mesh.send(conn, answer);
            }
        }
    }

    /// Passes an event that may concern an agent to the coordinator's thread.
    /// That thread also empties its queue while this process is only a
    /// candidate, so a full queue blocks this thread only for a short time.
    fn forward(&self, event: Event) {
        let _ = self.to_coordinator.send(event);
    }
}

/// Makes relayed calls until the queue is closed. They show whether the store
/// answers this process, as its own calls do. A call that its sender has given
/// up is not made: a write that is applied long after it was sent may
/// contradict what callers were told meanwhile.
fn run_relayed_calls(
    mesh: &Mesh,
    kv: &Arc<dyn Kv>,
    rx: &Receiver<RelayedCall>,
) {
    for relayed in rx {
        let result = if mesh.now() < relayed.expires_at {
            mesh.call_directly(&**kv, &relayed.call, relayed.timeout)
        } else {
            Err(KvError::Refused("its sender has given up".to_owned()))
        };
        mesh.send(
            relayed.conn,
            Message::StoreAnswer {
                number: relayed.number,
                result,
            },
        );
    }
}

/// Calls the store while it does not answer this process. All other calls are
/// relayed then, and may not end for a second after the store answers again.
/// Never returns.
fn probe_store(mesh: &Mesh, kv: &Arc<dyn Kv>) {
    let call = Call::Get {
        key: keys::COORDINATOR.to_owned(),
    };
    loop {
        thread::sleep(PROBE_INTERVAL);
        if !mesh.reaches_store() {
            // The result counts for the path to the store.
            let _ = mesh.call_directly(&**kv, &call, PROBE_TIMEOUT);
        }
    }
}
