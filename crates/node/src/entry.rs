//! The entry process.

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

use duty::{Command, Duty};
use store_calls::StoreCalls;

/// Threads that call the store.
const STORE_THREADS: usize = 3;

/// A running entry.
pub struct EntryProcess {
    /// Where callers reach it.
    pub http: String,
    /// Where other processes reach it.
    pub peer: String,
    commands: Sender<Command>,
    duty: JoinHandle<()>,
    runtime: Runtime,
}

impl EntryProcess {
    /// Starts an entry.
    ///
    /// # Errors
    ///
    /// [`StartError`].
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
        let me = EntryAddress {
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
                name: me.name.clone(),
                incarnation: me.incarnation,
                peer: me.peer.clone(),
                http: me.http.clone(),
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
            &me,
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
        let duty =
            Duty::new(cfg, me, net, server, store, view, journal.clone());
        let duty = spawn("duty", move || duty.run(&net_rx, &commands_rx))?;
        write_announce_file(&boot, &bound, &http_address)?;
        let detail = format!("peer={peer_address} http={http_address}");
        journal.record_event(Code::ProcessStarted, detail);
        Ok(Self {
            http: http_address,
            peer: peer_address,
            commands,
            duty,
            runtime,
        })
    }

    /// Takes no new work from now on and ends once nothing is left to do.
    pub fn drain(&self) {
        let _ = self.commands.send(Command::Drain);
    }

    /// What drains the process from another thread.
    pub fn drainer(&self) -> impl Fn() + Send + use<> {
        let commands = self.commands.clone();
        move || {
            let _ = commands.send(Command::Drain);
        }
    }

    /// Waits until the process has ended.
    pub fn join(self) {
        let _ = self.duty.join();
        // Answers that were given last are still on their way out.
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
