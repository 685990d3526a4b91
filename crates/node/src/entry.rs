//! The entry process: starts the threads of an entry and connects them.

use std::{
    sync::Arc,
    thread::{self, JoinHandle},
};

use crossbeam::channel::{Sender, bounded};
use figrill_protocol::message::{Peer, Role};
use figrill_state::{
    event::{Code, Timeline},
    record::EntryAddress,
};
use figrill_transport::{
    http::{self, Server},
    peer::{self, Net},
    runtime::Runtime,
};

use crate::{
    api::SharedSettingsView,
    config::{
        Config, HTTP_QUEUE_CAPACITY, NET_QUEUE_CAPACITY, SHUTDOWN_LINGER,
        STORE_QUEUE_CAPACITY, StartError, advertised_address, bound_address,
        new_incarnation, write_announce_file,
    },
    metrics::{Journal, Metrics},
};

mod answers;
mod api;
mod duty;
mod store_calls;
mod work;

use duty::{Command, EventLoop};
use store_calls::StoreCalls;

/// The number of threads that make store calls, without the one for the calls
/// that concern the term.
const STORE_THREADS: usize = 3;

/// A running entry.
pub struct EntryProcess {
    /// The HTTP address for callers and operators.
    pub http: String,
    /// The address for other processes.
    pub peer: String,
    commands: Sender<Command>,
    event_loop: JoinHandle<()>,
    runtime: Runtime,
}

impl EntryProcess {
    /// Starts an entry.
    ///
    /// # Errors
    ///
    /// Returns a [`StartError`] if a socket cannot be bound, a thread cannot
    /// be started or the file with the addresses cannot be written.
    pub fn start(cfg: Config) -> Result<Self, StartError> {
        let boot = cfg.boot.clone();
        let listen = |address: &str| {
            peer::bind(address)
                .map_err(|e| StartError::Listen(address.to_owned(), e))
        };
        let peer_socket = listen(&boot.peer)?;
        let http_socket = listen(&boot.http)?;
        let bound = bound_address(&peer_socket)?;
        let peer_address = advertised_address(&boot, &bound);
        let http_address = bound_address(&http_socket)?;
        let runtime = Runtime::start("net").map_err(StartError::Thread)?;
        let journal = Journal {
            timeline: Timeline::new(&boot.name, cfg.clock.clone()),
            metrics: Metrics::new(),
        };
        let local_entry = EntryAddress {
            name: boot.name.clone(),
            peer: peer_address.clone(),
            http: http_address.clone(),
            incarnation: new_incarnation(),
        };
        let (net_tx, net_rx) = bounded(NET_QUEUE_CAPACITY);
        let net = Net::start(
            runtime.handle(),
            peer_socket,
            Peer {
                role: Role::Entry,
                name: local_entry.name.clone(),
                incarnation: local_entry.incarnation,
                address: local_entry.peer.clone(),
                http: local_entry.http.clone(),
                worker: None,
            },
            cfg.secret.clone(),
            net_tx,
        );
        let (http_tx, http_rx) = bounded::<http::Event>(HTTP_QUEUE_CAPACITY);
        let server = Server::start(&runtime.handle(), http_socket, http_tx);
        let (commands, commands_rx) = bounded(HTTP_QUEUE_CAPACITY);
        let view = SharedSettingsView::default();
        let store = StoreCalls::start(
            &cfg,
            &local_entry,
            STORE_QUEUE_CAPACITY,
            STORE_THREADS,
            &journal.metrics,
        )
        .map_err(StartError::Thread)?;
        api::start(api::Api {
            calls: http_rx,
            commands: commands.clone(),
            view: view.clone(),
            journal: journal.clone(),
            bootstrap: boot.bootstrap_digest.clone(),
        })
        .map_err(StartError::Thread)?;
        let event_loop = EventLoop::new(
            cfg,
            local_entry,
            net,
            server,
            store,
            view,
            journal.clone(),
        );
        let event_loop =
            spawn("duty", move || event_loop.run(&net_rx, &commands_rx))?;
        write_announce_file(&boot, &bound, &http_address)?;
        let detail = format!("peer={peer_address} http={http_address}");
        journal.record_event(Code::ProcessStarted, detail);
        Ok(Self {
            http: http_address,
            peer: peer_address,
            commands,
            event_loop,
            runtime,
        })
    }

    /// Starts draining: the process accepts no new work, and ends when its
    /// present work is done.
    pub fn drain(&self) {
        let _ = self.commands.send(Command::Drain);
    }

    /// Returns a function that does the same as [`drain`](Self::drain) and may
    /// be called from any thread.
    pub fn drain_fn(&self) -> impl Fn() + Send + use<> {
        let commands = self.commands.clone();
        move || {
            let _ = commands.send(Command::Drain);
        }
    }

    /// Waits until the process has drained.
    pub fn join(self) {
        let _ = self.event_loop.join();
        // The last answers may not have been sent yet.
        thread::sleep(SHUTDOWN_LINGER);
        self.runtime.stop();
    }
}

fn spawn(
    name: &str,
    f: impl FnOnce() + Send + 'static,
) -> Result<JoinHandle<()>, StartError> {
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(f)
        .map_err(StartError::Thread)
}

type SharedStore = Arc<dyn figrill_state::kv::Kv>;
