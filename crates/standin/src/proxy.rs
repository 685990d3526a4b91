//! A TCP proxy that injects network faults: it delays traffic, closes
//! connections, drops traffic without a reset, and closes connections after a
//! number of bytes.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

/// The maximum number of bytes forwarded at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// The direction of traffic through the proxy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// From the client that connected to the proxy to the target.
    ToTarget,
    /// From the target to the client that connected to the proxy.
    FromTarget,
}

#[derive(Default)]
struct Faults {
    delay_ms: AtomicU64,
    refuse: AtomicBool,
    close_after: AtomicU64,
}

struct Connection {
    drop_to_target: AtomicBool,
    drop_from_target: AtomicBool,
    client: TcpStream,
    server: TcpStream,
}

struct Shared {
    target: Mutex<Option<SocketAddr>>,
    faults: Faults,
    connections: Mutex<Vec<Arc<Connection>>>,
}

/// A running proxy. It runs until the process ends; clones share it.
#[derive(Clone)]
pub struct Proxy {
    /// The address that clients connect to.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Proxy {
    /// Starts a proxy. Without a target it closes every connection at once.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(target: Option<SocketAddr>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            target: Mutex::new(target),
            faults: Faults::default(),
            connections: Mutex::default(),
        });
        let accepting = shared.clone();
        thread::Builder::new()
            .name("proxy".to_owned())
            .spawn(move || {
                for client in listener.incoming().flatten() {
                    // A connection that cannot be forwarded is closed.
                    let _ = accepting.clone().forward(client);
                }
            })?;
        Ok(Self { address, shared })
    }

    /// Forwards new connections to `target` from now on.
    pub fn set_target(&self, target: SocketAddr) {
        *lock(&self.shared.target) = Some(target);
    }

    /// Delays every chunk of bytes by `delay`.
    pub fn set_delay(&self, delay: Duration) {
        let ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.shared.faults.delay_ms.store(ms, Ordering::Relaxed);
    }

    /// Sets whether new connections are closed at once.
    pub fn refuse_connections(&self, refuse: bool) {
        self.shared.faults.refuse.store(refuse, Ordering::Relaxed);
    }

    /// Closes each new connection once it has received more than `bytes` bytes
    /// in one direction. The chunk that exceeds the limit is not forwarded. 0
    /// means no limit.
    pub fn close_after(&self, bytes: u64) {
        self.shared
            .faults
            .close_after
            .store(bytes, Ordering::Relaxed);
    }

    /// Closes all open connections.
    pub fn close_connections(&self) {
        for connection in lock(&self.shared.connections).drain(..) {
            let _ = connection.client.shutdown(Shutdown::Both);
            let _ = connection.server.shutdown(Shutdown::Both);
        }
    }

    /// Drops all further traffic of the open connections, in one direction or
    /// in both. They stay open but never carry data again, as when a network
    /// loses track of them. New connections work.
    pub fn blackhole(&self, direction: Option<Direction>) {
        for connection in lock(&self.shared.connections).iter() {
            if direction != Some(Direction::FromTarget) {
                connection.drop_to_target.store(true, Ordering::Relaxed);
            }
            if direction != Some(Direction::ToTarget) {
                connection.drop_from_target.store(true, Ordering::Relaxed);
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    fn forward(self: Arc<Self>, client: TcpStream) -> io::Result<()> {
        let target = *lock(&self.target);
        let refuse = self.faults.refuse.load(Ordering::Relaxed);
        let Some(target) = target.filter(|_| !refuse) else {
            return client.shutdown(Shutdown::Both);
        };
        let server = TcpStream::connect(target)?;
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        let limit = self.faults.close_after.load(Ordering::Relaxed);
        let connection = Arc::new(Connection {
            drop_to_target: AtomicBool::new(false),
            drop_from_target: AtomicBool::new(false),
            client,
            server,
        });
        lock(&self.connections).push(connection.clone());
        for direction in [Direction::ToTarget, Direction::FromTarget] {
            let (shared, connection) = (self.clone(), connection.clone());
            thread::Builder::new()
                .name("carry".to_owned())
                .spawn(move || shared.copy(&connection, direction, limit))?;
        }
        Ok(())
    }

    fn copy(&self, connection: &Connection, direction: Direction, limit: u64) {
        let (mut from, mut to, dropping) = match direction {
            Direction::ToTarget => (
                &connection.client,
                &connection.server,
                &connection.drop_to_target,
            ),
            Direction::FromTarget => (
                &connection.server,
                &connection.client,
                &connection.drop_from_target,
            ),
        };
        let mut buf = vec![0; CHUNK_BYTES];
        let mut forwarded = 0;
        while let Ok(read) = from.read(&mut buf) {
            let delay = self.faults.delay_ms.load(Ordering::Relaxed);
            thread::sleep(Duration::from_millis(delay));
            if dropping.load(Ordering::Relaxed) {
                if read == 0 {
                    // The other side is not informed that the connection was
                    // closed.
                    return;
                }
                continue;
            }
            forwarded += read as u64;
            let over_limit = limit > 0 && forwarded > limit;
            if read == 0 || over_limit || to.write_all(&buf[..read]).is_err() {
                break;
            }
        }
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    }
}
