//! The thread that takes in what comes on this entry's streams, and those
//! that make calls of the store for other entries.

use std::{sync::Arc, time::Duration};

use crossbeam::channel::{Receiver, Sender, TrySendError, bounded};
use figrill_protocol::message::{Message, Peer, Role};
use figrill_state::{
    event::Code,
    kv::{Kv, KvError, call::Call},
};
use figrill_transport::peer::{ConnId, Event, Net};
use tokio::runtime::Handle;

use super::{Mesh, Word, directory};
use crate::{
    config::{NET_QUEUE_CAPACITY, StartError, new_incarnation},
    fleet::{EntryParts, secret, serve},
    metrics::Journal,
};

/// Time between two heartbeats to the other entries.
const BEAT: Duration = Duration::from_millis(500);

/// Time between two looks for entries to dial.
const LOOK: Duration = Duration::from_millis(100);

/// Threads that make calls of the store for other entries.
const HELPERS: usize = 3;

/// Calls for other entries that may wait.
const HELP_RING: usize = 64;

/// A call of the store for another entry.
struct Help {
    conn: ConnId,
    number: u64,
    timeout: Duration,
    call: Call,
}

/// Starts the threads. What comes from agents goes to the ring returned.
pub(in crate::fleet) fn start(
    parts: &EntryParts,
    handle: Handle,
    peers: std::net::TcpListener,
    journal: &Journal,
) -> Result<(Mesh, Receiver<Event>), StartError> {
    let settings = &parts.deployment;
    let mesh = Mesh::new(&settings.name, parts.clock.clone(), journal.clone());
    let (to_lead, of_agents) = bounded(NET_QUEUE_CAPACITY);
    let (help, helped) = bounded(HELP_RING);
    for _ in 0..HELPERS {
        let (mesh, kv, rx) = (mesh.clone(), parts.kv.clone(), helped.clone());
        serve::start("helper", move || make_calls(&mesh, &kv, &rx))?;
    }
    let (parts, of_hub) = (parts.clone(), mesh.clone());
    serve::start("hub", move || {
        let secret = secret::obtain(&*parts.kv);
        let (tx, events) = bounded(NET_QUEUE_CAPACITY);
        let settings = &parts.deployment;
        let me = Peer {
            role: Role::Entry,
            name: settings.name.clone(),
            incarnation: new_incarnation(),
            peer: settings.advertise.clone(),
            http: settings.callers.clone(),
            worker: None,
        };
        let net = Net::start(handle, peers, me, secret, tx);
        // Nobody else sets it.
        let _ = of_hub.0.net.set(net);
        directory::start(&parts, &of_hub);
        let hub = Hub {
            mesh: of_hub,
            to_lead,
            help,
        };
        hub.run(&events);
    })?;
    Ok((mesh, of_agents))
}

struct Hub {
    mesh: Mesh,
    to_lead: Sender<Event>,
    help: Sender<Help>,
}

impl Hub {
    fn run(&self, events: &Receiver<Event>) {
        let mut beat = Duration::ZERO;
        loop {
            if let Ok(event) = events.recv_timeout(LOOK) {
                self.take(event);
                while let Ok(event) = events.try_recv() {
                    self.take(event);
                }
            }
            let now = self.mesh.now();
            for address in self.mesh.lock().entries.to_dial(now) {
                self.mesh.net().dial(&address);
            }
            if now >= beat + BEAT {
                beat = now;
                self.mesh.beat();
            }
        }
    }

    fn take(&self, event: Event) {
        match event {
            Event::Up { conn, peer, .. } if peer.role == Role::Entry => {
                self.up(conn, &peer);
            }
            Event::Frame { conn, frame } => match frame.message {
                Message::EntryHeartbeat { reaches_store } => {
                    self.mesh.lock().entries.heard(conn, reaches_store);
                }
                Message::PendingWriteQuery { number, job } => {
                    let now = self.mesh.now();
                    let may_land = self.mesh.lock().writes.may_land(now, job);
                    let word =
                        Message::PendingWriteAnswer { number, may_land };
                    self.mesh.send(conn, word);
                }
                Message::PendingWriteAnswer { number, may_land } => {
                    let word = Word::WriteMayLand(may_land);
                    self.mesh.answered(conn, number, word);
                }
                Message::StoreCall {
                    number,
                    timeout,
                    call,
                } => self.help(Help {
                    conn,
                    number,
                    timeout,
                    call,
                }),
                Message::StoreAnswer { number, result } => {
                    self.mesh.answered(conn, number, Word::Store(result));
                }
                message => {
                    let frame =
                        figrill_protocol::message::Frame { message, ..frame };
                    self.pass_on(Event::Frame { conn, frame });
                }
            },
            Event::Down { conn, why } => {
                self.down(conn, &why);
                self.pass_on(Event::Down { conn, why });
            }
            other => self.pass_on(other),
        }
    }

    fn up(&self, conn: ConnId, peer: &Peer) {
        let detail = format!("peer={}", peer.name);
        self.mesh.0.journal.record_event(Code::PeerUp, detail);
        let now = self.mesh.now();
        let mut state = self.mesh.lock();
        state.entries.link(now, &peer.name, &peer.peer, conn);
        drop(state);
        let reaches_store = self.mesh.reaches_store();
        self.mesh
            .send(conn, Message::EntryHeartbeat { reaches_store });
    }

    fn down(&self, conn: ConnId, why: &str) {
        let now = self.mesh.now();
        let mut state = self.mesh.lock();
        if let Some(name) = state.entries.unlink(now, conn) {
            let detail = format!("peer={name} why={why}");
            self.mesh.0.journal.record_event(Code::PeerDown, detail);
        }
        // Whoever waits for this entry learns at once that it waits in vain.
        state.waiting.retain(|_, waiter| waiter.conn != conn);
    }

    fn help(&self, help: Help) {
        let (conn, number) = (help.conn, help.number);
        match self.help.try_send(help) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                let result =
                    Err(KvError::Refused("too much to do".to_owned()));
                let answer = Message::StoreAnswer { number, result };
                self.mesh.send(conn, answer);
            }
        }
    }

    /// Hands what is no matter of entries to the coordinator's thread. It
    /// reads all the time, also as a mere candidate.
    fn pass_on(&self, event: Event) {
        let _ = self.to_lead.send(event);
    }
}

/// Makes calls for other entries until the process ends.
fn make_calls(mesh: &Mesh, kv: &Arc<dyn Kv>, rx: &Receiver<Help>) {
    for help in rx {
        let result = help.call.execute(&**kv, help.timeout);
        mesh.send(
            help.conn,
            Message::StoreAnswer {
                number: help.number,
                result,
            },
        );
    }
}
