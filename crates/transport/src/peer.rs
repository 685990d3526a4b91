//! Streams to the system's other processes.
//!
//! Both sides authenticate before anything else. A stream that brings
//! nothing for [`SILENCE`] is ended on this side, even if its connection
//! looks alive: something between the two ends may have lost track of it.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use crossbeam::channel::Sender;
use figrill_protocol::{
    codec,
    message::{Frame, Message, Peer, VERSION},
};
use figrill_state::event::Stamp;
use tokio::{net::TcpListener, runtime::Handle, sync::mpsc};

use crate::{
    auth::{Secret, Side, nonce},
    runtime::{push, within},
    stream::{self, Reader, Writer},
};

/// How long a stream may bring nothing.
pub const SILENCE: Duration = Duration::from_millis(2500);

/// How long both sides may take to authenticate.
const HELLO_TIMEOUT: Duration = Duration::from_secs(3);

/// The most frames that wait to be sent on a stream.
const QUEUE_FRAMES: usize = 4096;

/// The most bytes that wait to be sent on a stream.
const QUEUE_BYTES: usize = 16 * 1024 * 1024;

/// The most streams that are accepted.
const STREAMS_MAX: usize = 4096;

/// Time before the next accept after one failed, as when the process is
/// out of file descriptors.
const ACCEPT_AGAIN: Duration = Duration::from_millis(50);

/// Names one stream.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ConnId(pub u64);

/// What happens on streams.
#[derive(Clone, Debug)]
pub enum Event {
    /// A stream is open and both sides have authenticated.
    Up {
        /// The stream.
        conn: ConnId,
        /// Who is at the other end.
        peer: Peer,
        /// The address, if this side dialled.
        dialled: Option<String>,
    },
    /// A frame came.
    Frame {
        /// The stream.
        conn: ConnId,
        /// The frame.
        frame: Frame,
    },
    /// A stream has ended.
    Down {
        /// The stream.
        conn: ConnId,
        /// Why.
        why: String,
    },
    /// A dial failed.
    DialFailed {
        /// The address.
        address: String,
        /// Why.
        why: String,
    },
    /// Somebody could not prove to be of this system.
    Refused {
        /// Why.
        why: String,
    },
}

struct Outgoing {
    tx: mpsc::Sender<Vec<u8>>,
    bytes: Arc<AtomicUsize>,
}

struct Shared {
    me: Peer,
    secret: Secret,
    events: Sender<Event>,
    streams: Mutex<HashMap<ConnId, Outgoing>>,
    next: AtomicU64,
    accepted: AtomicUsize,
    sent: AtomicU64,
    received: AtomicU64,
}

/// The streams of this process; clones share them.
#[derive(Clone)]
pub struct Net {
    handle: Handle,
    shared: Arc<Shared>,
}

/// a stream's queue is full, so it was ended
#[derive(Clone, Copy, Debug, displaydoc::Display, Eq, PartialEq)]
pub struct QueueFull;

impl std::error::Error for QueueFull {}

/// Binds the address for peers.
///
/// # Errors
///
/// If the address is in use or not of this machine.
pub fn bind(address: &str) -> io::Result<std::net::TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

impl Net {
    /// Accepts streams on `listener` and tells `events` what happens.
    #[must_use]
    pub fn start(
        handle: Handle,
        listener: std::net::TcpListener,
        me: Peer,
        secret: Secret,
        events: Sender<Event>,
    ) -> Self {
        let shared = Arc::new(Shared {
            me,
            secret,
            events,
            streams: Mutex::new(HashMap::new()),
            next: AtomicU64::new(1),
            accepted: AtomicUsize::new(0),
            sent: AtomicU64::new(0),
            received: AtomicU64::new(0),
        });
        handle.spawn(accept_all(shared.clone(), listener));
        Self { handle, shared }
    }

    /// Who this process says that it is.
    #[must_use]
    pub fn me(&self) -> &Peer {
        &self.shared.me
    }

    /// Bytes of frames sent so far.
    #[must_use]
    pub fn bytes_sent(&self) -> u64 {
        self.shared.sent.load(Ordering::Relaxed)
    }

    /// Frames received so far.
    #[must_use]
    pub fn frames_received(&self) -> u64 {
        self.shared.received.load(Ordering::Relaxed)
    }

    /// Opens a stream to `address`; an [`Event`] tells how it went.
    pub fn dial(&self, address: &str) {
        let shared = self.shared.clone();
        let address = address.to_owned();
        self.handle.spawn(async move {
            if let Err(why) = dial(&shared, &address).await {
                let why = why.to_string();
                let event = Event::DialFailed { address, why };
                push(&shared.events, event).await;
            }
        });
    }

    /// Queues a message on a stream. A stream that is gone takes it
    /// silently: an [`Event::Down`] tells of that.
    ///
    /// # Errors
    ///
    /// [`QueueFull`] if the other side reads too slowly. The stream is then
    /// ended, because leaving one frame out would leave a gap; both sides
    /// report anew on the next stream.
    pub fn send(
        &self,
        conn: ConnId,
        stamp: Stamp,
        message: Message,
    ) -> Result<(), QueueFull> {
        let Ok(buf) = codec::encode(Frame { stamp, message }) else {
            self.close(conn);
            return Err(QueueFull);
        };
        let length = buf.len();
        let mut streams = self.shared.lock();
        let Some(outgoing) = streams.get(&conn) else {
            return Ok(());
        };
        let waiting = outgoing.bytes.fetch_add(length, Ordering::Relaxed);
        let room = waiting + length <= QUEUE_BYTES;
        if room && outgoing.tx.try_send(buf).is_ok() {
            self.shared.sent.fetch_add(length as u64, Ordering::Relaxed);
            return Ok(());
        }
        streams.remove(&conn);
        Err(QueueFull)
    }

    /// Ends a stream.
    pub fn close(&self, conn: ConnId) {
        self.shared.lock().remove(&conn);
    }

    /// Whether all queued frames have been handed to the sockets.
    #[must_use]
    pub fn is_flushed(&self) -> bool {
        let streams = self.shared.lock();
        streams
            .values()
            .all(|o| o.bytes.load(Ordering::Relaxed) == 0)
    }
}

impl Shared {
    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<ConnId, Outgoing>> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn frame(message: Message) -> io::Result<Vec<u8>> {
        let frame = Frame {
            stamp: Stamp::default(),
            message,
        };
        codec::encode(frame).map_err(|e| io::Error::other(e.to_string()))
    }
}

async fn accept_all(shared: Arc<Shared>, listener: std::net::TcpListener) {
    let Ok(listener) = TcpListener::from_std(listener) else {
        return;
    };
    loop {
        let Ok((tcp, from)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_AGAIN).await;
            continue;
        };
        if shared.accepted.load(Ordering::Relaxed) >= STREAMS_MAX {
            continue;
        }
        shared.accepted.fetch_add(1, Ordering::Relaxed);
        let shared = shared.clone();
        tokio::spawn(async move {
            accept_one(&shared, tcp, from).await;
            shared.accepted.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn accept_one(
    shared: &Arc<Shared>,
    tcp: tokio::net::TcpStream,
    from: SocketAddr,
) {
    let hello = within(HELLO_TIMEOUT, async {
        let (mut writer, mut reader, drive) = stream::accept(tcp).await?;
        let drive = tokio::spawn(drive);
        let peer = welcome(shared, &mut writer, &mut reader).await?;
        Ok::<_, io::Error>((writer, reader, peer, drive))
    });
    match hello.await {
        Some(Ok((writer, reader, peer, drive))) => {
            run(shared, writer, reader, peer, None).await;
            drive.abort();
        }
        Some(Err(e)) if e.kind() == io::ErrorKind::PermissionDenied => {
            let why = format!("from={from} {e}");
            push(&shared.events, Event::Refused { why }).await;
        }
        // A stranger that connects and says nothing is not worth an event.
        Some(Err(_)) | None => {}
    }
}

fn denied(why: &str) -> io::Error {
    io::Error::new(io::ErrorKind::PermissionDenied, why)
}

/// The accepting side's half of the greeting.
async fn welcome(
    shared: &Shared,
    writer: &mut Writer,
    reader: &mut Reader,
) -> io::Result<Peer> {
    let challenge = nonce();
    let message = Message::Challenge { nonce: challenge };
    writer.send(Shared::frame(message)?).await?;
    let first = reader.next().await?.map(|f| f.message);
    let Some(Message::Hello {
        version,
        peer,
        nonce,
        proof,
    }) = first
    else {
        return Err(denied("no hello"));
    };
    if version != VERSION {
        return Err(denied("another version of the protocol"));
    }
    if !shared.secret.verify(Side::Dial, &challenge, &peer, &proof) {
        return Err(denied("wrong secret"));
    }
    let me = shared.me.clone();
    let proof = shared.secret.sign(Side::Accept, &nonce, &me);
    let message = Message::Welcome { peer: me, proof };
    writer.send(Shared::frame(message)?).await?;
    Ok(peer)
}

async fn dial(shared: &Arc<Shared>, address: &str) -> io::Result<()> {
    let (mut writer, mut reader) = stream::dial(address).await?;
    let greeted =
        within(HELLO_TIMEOUT, greet(shared, &mut writer, &mut reader));
    let peer = greeted
        .await
        .unwrap_or_else(|| Err(io::Error::from(io::ErrorKind::TimedOut)))?;
    let dialled = Some(address.to_owned());
    run(shared, writer, reader, peer, dialled).await;
    Ok(())
}

/// The dialling side's half of the greeting.
async fn greet(
    shared: &Shared,
    writer: &mut Writer,
    reader: &mut Reader,
) -> io::Result<Peer> {
    let first = reader.next().await?.map(|f| f.message);
    let Some(Message::Challenge { nonce: challenge }) = first else {
        return Err(denied("no challenge"));
    };
    let mine = nonce();
    let peer = shared.me.clone();
    let proof = shared.secret.sign(Side::Dial, &challenge, &peer);
    let hello = Message::Hello {
        version: VERSION,
        peer,
        nonce: mine,
        proof,
    };
    writer.send(Shared::frame(hello)?).await?;
    let answer = reader.next().await?.map(|f| f.message);
    let Some(Message::Welcome { peer, proof }) = answer else {
        return Err(denied("refused by the other side"));
    };
    if !shared.secret.verify(Side::Accept, &mine, &peer, &proof) {
        return Err(denied("the other side has another secret"));
    }
    Ok(peer)
}

/// Carries frames until the stream ends, falls silent or is closed here.
async fn run(
    shared: &Arc<Shared>,
    mut writer: Writer,
    mut reader: Reader,
    peer: Peer,
    dialled: Option<String>,
) {
    let conn = ConnId(shared.next.fetch_add(1, Ordering::Relaxed));
    let (tx, mut rx) = mpsc::channel::<Vec<u8>>(QUEUE_FRAMES);
    let bytes = Arc::new(AtomicUsize::new(0));
    let outgoing = Outgoing {
        tx,
        bytes: bytes.clone(),
    };
    shared.lock().insert(conn, outgoing);
    push(
        &shared.events,
        Event::Up {
            conn,
            peer,
            dialled,
        },
    )
    .await;
    let write = async {
        while let Some(buf) = rx.recv().await {
            let length = buf.len();
            let sent = writer.send(buf).await;
            bytes.fetch_sub(length, Ordering::Relaxed);
            if let Err(e) = sent {
                return e.to_string();
            }
        }
        "closed here".to_owned()
    };
    let read = async {
        loop {
            match within(SILENCE, reader.next()).await {
                None => return "silent".to_owned(),
                Some(Err(e)) => return e.to_string(),
                Some(Ok(None)) => return "ended".to_owned(),
                Some(Ok(Some(frame))) => {
                    shared.received.fetch_add(1, Ordering::Relaxed);
                    let event = Event::Frame { conn, frame };
                    if !push(&shared.events, event).await {
                        return "stopped".to_owned();
                    }
                }
            }
        }
    };
    let why = tokio::select! {
        why = write => why,
        why = read => why,
    };
    shared.lock().remove(&conn);
    push(&shared.events, Event::Down { conn, why }).await;
}
