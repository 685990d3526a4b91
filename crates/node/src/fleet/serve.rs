//! Readiness and metrics over HTTP.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use crossbeam::channel::{Receiver, bounded};
use figrill_transport::{
    http::{Answer, Event, Server, bind},
    runtime::Runtime,
};

use crate::{
    config::{HTTP_QUEUE_CAPACITY, StartError, spawn_detached},
    metrics::Journal,
};

/// Listens on an address; requests come out of the ring.
pub(super) fn listen(
    runtime: &Runtime,
    address: &str,
) -> Result<(Server, Receiver<Event>), StartError> {
    let socket = bind(address)
        .map_err(|e| StartError::Listen(address.to_owned(), e))?;
    let (tx, rx) = bounded(HTTP_QUEUE_CAPACITY);
    let server = Server::start(&runtime.handle(), socket, tx);
    Ok((server, rx))
}

/// Serves the metrics, if the settings name an address.
pub(super) fn metrics(
    runtime: &Runtime,
    address: &str,
    journal: &Journal,
) -> Result<(), StartError> {
    if address.is_empty() {
        return Ok(());
    }
    let (server, calls) = listen(runtime, address)?;
    let journal = journal.clone();
    spawn_detached("metrics", move || {
        let _server = server;
        for call in calls {
            if let Event::Call(call) = call {
                let text = journal.metrics.encode().into_bytes();
                let mut answer = Answer::json(200, text);
                answer.content_type = "text/plain; version=0.0.4";
                call.responder.send(answer);
            }
        }
    })
    .map_err(StartError::Thread)
}

/// Answers the balancer's checks: 200 while `ready` says so.
pub(super) fn readiness(
    runtime: &Runtime,
    address: &str,
    ready: impl Fn() -> bool + Send + 'static,
    draining: Arc<AtomicBool>,
) -> Result<(), StartError> {
    let (server, calls) = listen(runtime, address)?;
    spawn_detached("ready", move || {
        let _server = server;
        for call in calls {
            if let Event::Call(call) = call {
                let ready = ready() && !draining.load(Ordering::Relaxed);
                let status = if ready { 200 } else { 503 };
                call.responder.send(Answer::json(status, b"{}".to_vec()));
            }
        }
    })
    .map_err(StartError::Thread)
}

/// Starts a thread that lives as long as the process.
pub(super) fn start(
    name: &str,
    work: impl FnOnce() + Send + 'static,
) -> Result<(), StartError> {
    let started: io::Result<()> = spawn_detached(name, work);
    started.map_err(StartError::Thread)
}
