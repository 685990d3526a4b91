//! The configuration and start-up helpers that entries and agents share.

use std::{io, sync::Arc, thread, time::Duration};

use displaydoc::Display;
use figrill_state::{boot::BootSettings, clock::Clock, kv::Kv};
use figrill_transport::auth::Secret;

/// The configuration that a process is started with.
#[derive(Clone)]
pub struct Config {
    /// The settings file of the process.
    pub boot: BootSettings,
    /// The secret that all processes share, for authenticating peers.
    pub secret: Secret,
    /// The platform's store.
    pub store: Arc<dyn Kv>,
    /// The clock that all threads use.
    pub clock: Arc<dyn Clock>,
}

/// An error that prevents a process from starting.
#[derive(Debug, Display)]
pub enum StartError {
    /// cannot listen on {0}: {1}; is another process using it?
    Listen(String, io::Error),
    /// cannot start a thread: {0}
    Thread(io::Error),
    /// cannot write {0}: {1}
    Write(String, io::Error),
}

impl std::error::Error for StartError {}

/// The maximum number of queued events from the sockets to the event loop.
/// When the queue is full, reading from the sockets pauses, which slows down
/// the senders.
pub(crate) const NET_QUEUE_CAPACITY: usize = 4096;

/// The maximum number of queued HTTP requests, both to the threads that answer
/// them and, as commands, from the `api` thread to the event loop. When a
/// queue is full, reading from the sockets pauses.
pub(crate) const HTTP_QUEUE_CAPACITY: usize = 1024;

/// The maximum number of queued calls to the store. When the queue is full,
/// a call fails immediately as if the store were unavailable.
pub(crate) const STORE_QUEUE_CAPACITY: usize = 1024;

/// Returns a new random number that identifies one incarnation of a process.
/// It is never 0.
pub(crate) fn new_incarnation() -> u64 {
    rand::random::<u64>().max(1)
}

/// Writes the bound addresses to the `announce_file` of the settings, if
/// there is one. The file is replaced atomically, so that a script that waits
/// for it never reads an incomplete file.
pub(crate) fn write_announce_file(
    boot: &BootSettings,
    peer: &str,
    http: &str,
) -> Result<(), StartError> {
    let path = &boot.announce_file;
    if path.is_empty() {
        return Ok(());
    }
    let text = format!("peer = {peer}\nhttp = {http}\n");
    let temporary = format!("{path}.new");
    std::fs::write(&temporary, text)
        .and_then(|()| std::fs::rename(&temporary, path))
        .map_err(|e| StartError::Write(path.clone(), e))
}

/// Returns the address that a socket is bound to.
pub(crate) fn bound_address(
    socket: &std::net::TcpListener,
) -> Result<String, StartError> {
    let address = socket.local_addr().map_err(StartError::Thread)?;
    Ok(address.to_string())
}

/// Returns the address that other processes dial: the one from the settings,
/// or else the address that the socket is bound to.
pub(crate) fn advertised_address(boot: &BootSettings, bound: &str) -> String {
    if boot.peer_advertise.is_empty() {
        bound.to_owned()
    } else {
        boot.peer_advertise.clone()
    }
}

/// How long the sockets stay open after the event loop has ended, so that the
/// last answers and messages can still be sent.
pub(crate) const SHUTDOWN_LINGER: Duration = Duration::from_millis(50);

/// Starts a thread that is never joined. It must end by itself, which most
/// threads do when the channel they use is disconnected.
pub(crate) fn spawn_detached(
    name: &str,
    f: impl FnOnce() + Send + 'static,
) -> io::Result<()> {
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(f)
        .map(|_| ())
}
