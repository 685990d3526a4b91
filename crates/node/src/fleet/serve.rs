//! HTTP listeners, the servers for readiness checks and metrics, and the
//! helper that starts threads.

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

/// Starts an HTTP server on `address`. The returned queue receives its
/// requests.
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

/// Serves the metrics in the text format of Prometheus. Does nothing if
/// `address` is empty.
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

/// Answers the load balancer's checks: 200 while `ready` returns `true` and
/// the process is not draining, 503 otherwise.
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

/// Starts a detached thread, which is never joined.
///
/// # Errors
///
/// Returns [`StartError::Thread`] if the thread can't be started.
pub(super) fn spawn(
    name: &str,
    f: impl FnOnce() + Send + 'static,
) -> Result<(), StartError> {
    let result: io::Result<()> = spawn_detached(name, f);
    result.map_err(StartError::Thread)
}
