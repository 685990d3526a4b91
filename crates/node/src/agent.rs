//! The agent process: starts the threads of an agent and connects them.

use std::{
    sync::Arc,
    thread::{self, JoinHandle},
};

use crossbeam::channel::{Sender, bounded};
use figrill_protocol::message::{Peer, Role};
use figrill_state::{
    event::{Code, Timeline},
    upstream::Upstream,
    worker::{Capacity, Place, Worker},
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
        StartError, advertised_address, bound_address, new_incarnation,
        write_announce_file,
    },
    metrics::{Journal, Metrics},
};

mod api;
mod discover;
mod duty;
mod links;
mod parts;

use duty::{Command, EventLoop};

/// How an agent learns of its upstream.
pub enum UpstreamSource {
    /// The upstream announces itself over HTTP.
    Announced,
    /// The upstream runs in this process and has this capacity.
    InProcess(Arc<dyn Upstream>, Capacity),
}

/// A running agent.
pub struct AgentProcess {
    /// The HTTP address for the upstream and operators.
    pub http: String,
    /// The address for other processes.
    pub peer: String,
    commands: Sender<Command>,
    event_loop: JoinHandle<()>,
    runtime: Runtime,
}

impl AgentProcess {
    /// Starts an agent.
    ///
    /// # Errors
    ///
    /// Returns a [`StartError`] if a socket cannot be bound, a thread cannot
    /// be started or the file with the addresses cannot be written.
    pub fn start(
        cfg: &Config,
        source: UpstreamSource,
    ) -> Result<Self, StartError> {
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
        let place = boot.place.clone().unwrap_or(Place {
            failure_domain: "none".to_owned(),
            rack: "none".to_owned(),
        });
        let worker = Worker {
            name: boot.name.clone(),
            incarnation: new_incarnation(),
            address: peer_address.clone(),
            place,
            capacity: Capacity::default(),
        };
        let (net_tx, net_rx) = bounded(NET_QUEUE_CAPACITY);
        let net = Net::start(
            runtime.handle(),
            peer_socket,
            Peer {
                role: Role::Agent,
                name: worker.name.clone(),
                incarnation: worker.incarnation,
                address: peer_address.clone(),
                http: http_address.clone(),
                worker: Some(worker.clone()),
            },
            cfg.secret.clone(),
            net_tx,
        );
        let (http_tx, http_rx) = bounded::<http::Event>(HTTP_QUEUE_CAPACITY);
        let server = Server::start(&runtime.handle(), http_socket, http_tx);
        let (commands, commands_rx) = bounded(HTTP_QUEUE_CAPACITY);
        let view = SharedSettingsView::default();
        api::start(api::Api {
            calls: http_rx,
            commands: commands.clone(),
            view: view.clone(),
            journal: journal.clone(),
            bootstrap: boot.bootstrap_digest.clone(),
        })
        .map_err(StartError::Thread)?;
        discover::start(cfg.store.clone(), commands.clone())
            .map_err(StartError::Thread)?;
        let event_loop = EventLoop::new(
            cfg,
            worker,
            net,
            server,
            view,
            journal.clone(),
            commands.clone(),
        );
        if let UpstreamSource::InProcess(upstream, capacity) = source {
            let command = Command::UpstreamInProcess { upstream, capacity };
            let _ = commands.send(command);
        }
        let event_loop = thread::Builder::new()
            .name("duty".to_owned())
            .spawn(move || event_loop.run(&net_rx, &commands_rx))
            .map_err(StartError::Thread)?;
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
        // The last messages may not have been sent yet.
        thread::sleep(SHUTDOWN_LINGER);
        self.runtime.stop();
    }
}
