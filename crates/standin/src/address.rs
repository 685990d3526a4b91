//! Addresses on the loopback interface: free ones, and ones at which no call
//! is ever answered.

use std::{
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use rustix::net::{
    AddressFamily, SocketFlags, SocketType, socket_with,
    sockopt::set_socket_reuseaddr,
};

/// Ports for the processes under test. They lie below the ephemeral port
/// range: the system could give a port from that range to an outgoing
/// connection between the check that it is free and the moment the process
/// binds it.
const PORT_RANGE: std::ops::Range<u16> = 12_000..32_000;

/// The time after which a connection to a full listener counts as not
/// established. On the loopback interface, one that is accepted is established
/// at once.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// The number of connections after which a listener must be full.
const MAX_BACKLOG: usize = 16;

/// Returns an address that is free now; the process that gets it binds it
/// shortly afterwards.
///
/// # Errors
///
/// Returns an error if no address is free.
pub fn free_address() -> io::Result<SocketAddr> {
    static NEXT_OFFSET: AtomicU64 = AtomicU64::new(0);
    // Test programs that run at the same time start at different ports.
    let base = u64::from(std::process::id()) * 977;
    let count = u64::from(PORT_RANGE.end - PORT_RANGE.start);
    for _ in PORT_RANGE {
        let candidate = base + NEXT_OFFSET.fetch_add(1, Ordering::Relaxed);
        let offset = u16::try_from(candidate % count).unwrap_or(0);
        let address =
            SocketAddr::from(([127, 0, 0, 1], PORT_RANGE.start + offset));
        if is_free(address) {
            return Ok(address);
        }
    }
    Err(io::Error::from(io::ErrorKind::AddrNotAvailable))
}

/// Returns whether an address can be bound. The socket does not listen: a
/// process that is being started at the same time holds it for a moment after
/// it is closed, and connections must be refused all the while.
fn is_free(address: SocketAddr) -> bool {
    let bind = || {
        let socket = socket_with(
            AddressFamily::INET,
            SocketType::STREAM,
            SocketFlags::CLOEXEC,
            None,
        )?;
        set_socket_reuseaddr(&socket, true)?;
        rustix::net::bind(&socket, &address)
    };
    bind().is_ok()
}

/// A listener that never answers. Its address stays in use until it is
/// dropped.
#[derive(Debug)]
pub struct SilentListener {
    /// The address that it listens on.
    pub address: SocketAddr,
    listener: TcpListener,
    connections: Vec<TcpStream>,
}

impl SilentListener {
    /// Returns a listener to which connections are established.
    ///
    /// # Errors
    ///
    /// Returns an error if no address can be bound.
    pub fn connecting() -> io::Result<Self> {
        // The system establishes connections until the backlog is full.
        let listener = TcpListener::bind("127.0.0.1:0")?;
        Ok(Self {
            address: listener.local_addr()?,
            listener,
            connections: Vec::new(),
        })
    }

    /// Returns a listener to which connecting times out, as its backlog is
    /// full.
    ///
    /// # Errors
    ///
    /// Returns an error if no address can be bound or the backlog does not
    /// fill up.
    pub fn unconnectable() -> io::Result<Self> {
        let mut silent = Self::connecting()?;
        rustix::net::listen(&silent.listener, 0)?;
        for _ in 0..MAX_BACKLOG {
            let address = silent.address;
            match TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) {
                Ok(connection) => silent.connections.push(connection),
                Err(e) if e.kind() == io::ErrorKind::TimedOut => {
                    return Ok(silent);
                }
                Err(e) => return Err(e),
            }
        }
        Err(io::Error::other("the backlog does not fill up"))
    }
}
