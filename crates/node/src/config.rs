//! What a process is started with.

use std::{io, sync::Arc, thread, time::Duration};

use displaydoc::Display;
use figrill_state::{boot::BootSettings, clock::Clock, kv::Kv};
use figrill_transport::auth::Secret;

/// What a process is started with.
#[derive(Clone)]
pub struct Config {
    /// Its settings.
    pub boot: BootSettings,
    /// The secret that all processes share.
    pub secret: Secret,
    /// The platform's store.
    pub store: Arc<dyn Kv>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
}

/// Why a process did not start.
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

/// Ring capacity between the sockets and the deciding thread. When it is
/// full the sockets wait, and with them whoever sends.
pub(crate) const NET_RING: usize = 4096;

/// Ring capacity for requests of callers. When it is full the sockets wait.
pub(crate) const HTTP_RING: usize = 1024;

/// Ring capacity for calls of the store. When it is full a call counts as
/// unanswered at once.
pub(crate) const STORE_RING: usize = 1024;

/// A fresh number that names one life of a process; never 0.
pub(crate) fn incarnation() -> u64 {
    rand::random::<u64>().max(1)
}

/// Writes the bound addresses where the settings ask for it, whole or not
/// at all, so that a script that waits for the file never reads half of it.
pub(crate) fn announce(
    boot: &BootSettings,
    peer: &str,
    http: &str,
) -> Result<(), StartError> {
    let path = &boot.announce_file;
    if path.is_empty() {
        return Ok(());
    }
    let text = format!("peer = {peer}\nhttp = {http}\n");
    let draft = format!("{path}.new");
    std::fs::write(&draft, text)
        .and_then(|()| std::fs::rename(&draft, path))
        .map_err(|e| StartError::Write(path.clone(), e))
}

/// The address that a socket is bound to.
pub(crate) fn local(
    socket: &std::net::TcpListener,
) -> Result<String, StartError> {
    let address = socket.local_addr().map_err(StartError::Thread)?;
    Ok(address.to_string())
}

/// The address that other processes dial.
pub(crate) fn advertised(boot: &BootSettings, bound: &str) -> String {
    if boot.peer_advertise.is_empty() {
        bound.to_owned()
    } else {
        boot.peer_advertise.clone()
    }
}

/// How long sockets live on after the last message was handed to them.
pub(crate) const LINGER: Duration = Duration::from_millis(50);

/// Starts a thread that ends with its ring.
pub(crate) fn spawn_detached(
    name: &str,
    work: impl FnOnce() + Send + 'static,
) -> io::Result<()> {
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(work)
        .map(|_| ())
}
