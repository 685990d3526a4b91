//! A small TCP proxy that does to connections what networks do: delay
//! them, cut them, lose track of them, and reset them half-way.

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

/// Bytes moved at once.
const CHUNK: usize = 16 * 1024;

/// Which way bytes go.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Way {
    /// From the side that dialled.
    Forth,
    /// To the side that dialled.
    Back,
}

#[derive(Default)]
struct Faults {
    delay_ms: AtomicU64,
    refuse: AtomicBool,
    reset_after: AtomicU64,
}

struct Link {
    silent_forth: AtomicBool,
    silent_back: AtomicBool,
    left: TcpStream,
    right: TcpStream,
}

struct Shared {
    target: Mutex<Option<SocketAddr>>,
    faults: Faults,
    links: Mutex<Vec<Arc<Link>>>,
}

/// A running proxy; it lives as long as the process.
#[derive(Clone)]
pub struct Proxy {
    /// Where to dial it.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Proxy {
    /// Starts a proxy; without a target it refuses connections.
    ///
    /// # Errors
    ///
    /// If it can't listen.
    pub fn start(target: Option<SocketAddr>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            target: Mutex::new(target),
            faults: Faults::default(),
            links: Mutex::default(),
        });
        let accepting = shared.clone();
        thread::Builder::new()
            .name("proxy".to_owned())
            .spawn(move || {
                for left in listener.incoming().flatten() {
                    // A connection that can't be carried is dropped.
                    let _ = accepting.clone().carry(left);
                }
            })?;
        Ok(Self { address, shared })
    }

    /// Sends new connections to `target` from now on.
    pub fn aim(&self, target: SocketAddr) {
        *lock(&self.shared.target) = Some(target);
    }

    /// Holds every chunk back for a time.
    pub fn delay(&self, time: Duration) {
        let ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        self.shared.faults.delay_ms.store(ms, Ordering::Relaxed);
    }

    /// Refuses new connections, or no longer.
    pub fn refuse(&self, refuse: bool) {
        self.shared.faults.refuse.store(refuse, Ordering::Relaxed);
    }

    /// Resets each new connection after so many bytes; 0 for never.
    pub fn reset_after(&self, bytes: u64) {
        self.shared
            .faults
            .reset_after
            .store(bytes, Ordering::Relaxed);
    }

    /// Closes all open connections.
    pub fn cut(&self) {
        for link in lock(&self.shared.links).drain(..) {
            let _ = link.left.shutdown(Shutdown::Both);
            let _ = link.right.shutdown(Shutdown::Both);
        }
    }

    /// Loses track of all open connections, one way or both: they stay
    /// open and carry nothing more, for good. New ones work.
    pub fn silence(&self, way: Option<Way>) {
        for link in lock(&self.shared.links).iter() {
            if way != Some(Way::Back) {
                link.silent_forth.store(true, Ordering::Relaxed);
            }
            if way != Some(Way::Forth) {
                link.silent_back.store(true, Ordering::Relaxed);
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    fn carry(self: Arc<Self>, left: TcpStream) -> io::Result<()> {
        let target = *lock(&self.target);
        let refuse = self.faults.refuse.load(Ordering::Relaxed);
        let Some(target) = target.filter(|_| !refuse) else {
            return left.shutdown(Shutdown::Both);
        };
        let right = TcpStream::connect(target)?;
        left.set_nodelay(true)?;
        right.set_nodelay(true)?;
        let limit = self.faults.reset_after.load(Ordering::Relaxed);
        let link = Arc::new(Link {
            silent_forth: AtomicBool::new(false),
            silent_back: AtomicBool::new(false),
            left,
            right,
        });
        lock(&self.links).push(link.clone());
        for way in [Way::Forth, Way::Back] {
            let (shared, link) = (self.clone(), link.clone());
            thread::Builder::new()
                .name("carry".to_owned())
                .spawn(move || shared.pump(&link, way, limit))?;
        }
        Ok(())
    }

    fn pump(&self, link: &Link, way: Way, limit: u64) {
        let (mut from, mut to, silent) = match way {
            Way::Forth => (&link.left, &link.right, &link.silent_forth),
            Way::Back => (&link.right, &link.left, &link.silent_back),
        };
        let mut buf = vec![0; CHUNK];
        let mut carried = 0;
        while let Ok(read) = from.read(&mut buf) {
            let delay = self.faults.delay_ms.load(Ordering::Relaxed);
            thread::sleep(Duration::from_millis(delay));
            if silent.load(Ordering::Relaxed) {
                if read == 0 {
                    // The other side never learns of the end.
                    return;
                }
                continue;
            }
            carried += read as u64;
            let over = limit > 0 && carried > limit;
            if read == 0 || over || to.write_all(&buf[..read]).is_err() {
                break;
            }
        }
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    }
}
