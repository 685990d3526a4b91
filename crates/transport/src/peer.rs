//! Streams to the other figrill processes.
//!
//! Both sides authenticate before they exchange any other message; see
//! [`auth`](crate::auth). A stream on which nothing is received for
//! [`RECEIVE_TIMEOUT`] is closed, even if its connection seems to be open: a
//! device between the two ends may have dropped the connection without either
//! side being notified. That holds also if the process or its machine was
//! paused meanwhile: frames that have waited are dropped with the stream, as
//! the other side may have given up and moved on.

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
use figrill_state::{
    clock::{BoottimeClock, Clock},
    event::Stamp,
};
use tokio::{net::TcpListener, runtime::Handle, sync::mpsc};

use crate::{
    auth::{Secret, Side, nonce},
    runtime::{push, with_timeout},
    stream::{self, Reader, Writer},
};

/// The time without a received frame after which a stream is closed. It is
/// longer than two heartbeat intervals of one second.
pub const RECEIVE_TIMEOUT: Duration = Duration::from_millis(2500);

/// The time limit for the handshake of a new stream.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);

/// The maximum number of frames that are queued for sending on a stream.
const MAX_QUEUED_FRAMES: usize = 4096;

/// The maximum number of bytes that are queued for sending on a stream.
const MAX_QUEUED_BYTES: usize = 16 * 1024 * 1024;

/// The maximum number of accepted streams that are open at a time.
const MAX_ACCEPTED_STREAMS: usize = 4096;

/// The delay after a failed accept. Some failures last, such as running out of
/// file descriptors, and retrying them at once would use a whole core.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Identifies one stream within this process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ConnId(pub u64);

/// An event on the streams of a process.
#[derive(Clone, Debug)]
pub enum Event {
    /// A stream was opened and both sides have authenticated.
    Up {
        /// The stream.
        conn: ConnId,
        /// The process at the other end.
        peer: Peer,
        /// The dialled address, if this side dialled.
        dialled: Option<String>,
    },
    /// A frame was received.
    Frame {
        /// The stream.
        conn: ConnId,
        /// The frame.
        frame: Frame,
    },
    /// A stream was closed by either side.
    Down {
        /// The stream.
        conn: ConnId,
        /// The reason, for the log.
        why: String,
    },
    /// A dial failed.
    DialFailed {
        /// The dialled address.
        address: String,
        /// The reason, for the log.
        why: String,
    },
    /// An incoming stream failed the handshake and was closed.
    Refused {
        /// The remote address and the reason, for the log.
        why: String,
    },
}

/// The frames that are queued for sending on one stream.
struct SendQueue {
    tx: mpsc::Sender<Vec<u8>>,
    /// The number of bytes in the queue, including a frame that is being sent.
    bytes: Arc<AtomicUsize>,
}

struct Shared {
    local_peer: Peer,
    secret: Secret,
    events: Sender<Event>,
    streams: Mutex<HashMap<ConnId, SendQueue>>,
    next_id: AtomicU64,
    /// The number of accepted streams that are open.
    accepted: AtomicUsize,
    /// The number of bytes in all frames that were queued so far.
    bytes_sent: AtomicU64,
    frames_received: AtomicU64,
}

/// The streams of this process. Clones share the same streams.
#[derive(Clone)]
pub struct Net {
    handle: Handle,
    shared: Arc<Shared>,
}

/// the send queue of a stream is full; the stream was closed
#[derive(Clone, Copy, Debug, displaydoc::Display, Eq, PartialEq)]
pub struct QueueFull;

impl std::error::Error for QueueFull {}

/// Binds a listener for streams from other processes.
///
/// # Errors
///
/// Returns an error if the address is in use or does not belong to this
/// machine.
pub fn bind(address: &str) -> io::Result<std::net::TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

impl Net {
    /// Starts to accept streams on `listener`, and reports what happens on all
    /// streams to `events`.
    #[must_use]
    pub fn start(
        handle: Handle,
        listener: std::net::TcpListener,
        local_peer: Peer,
        secret: Secret,
        events: Sender<Event>,
    ) -> Self {
        let shared = Arc::new(Shared {
            local_peer,
            secret,
            events,
            streams: Mutex::new(HashMap::new()),
            next_id: AtomicU64::new(1),
            accepted: AtomicUsize::new(0),
            bytes_sent: AtomicU64::new(0),
            frames_received: AtomicU64::new(0),
        });
        handle.spawn(accept_all(shared.clone(), listener));
        Self { handle, shared }
    }

    /// Returns the identity that this process presents to others.
    #[must_use]
    pub fn local_peer(&self) -> &Peer {
        &self.shared.local_peer
    }

    /// Returns the number of bytes in all frames that were queued so far.
    #[must_use]
    pub fn bytes_sent(&self) -> u64 {
        self.shared.bytes_sent.load(Ordering::Relaxed)
    }

    /// Returns the number of frames that were received so far.
    #[must_use]
    pub fn frames_received(&self) -> u64 {
        self.shared.frames_received.load(Ordering::Relaxed)
    }

    /// Opens a stream to `address`. The result is reported as [`Event::Up`] or
    /// [`Event::DialFailed`].
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

    /// Queues a message on a stream. A message to a closed stream is dropped
    /// without an error, as [`Event::Down`] reports the closing.
    ///
    /// # Errors
    ///
    /// Returns [`QueueFull`] if the other side reads too slowly, or if the
    /// message does not fit into a frame. The stream is then closed, because
    /// to drop one frame would leave a gap; both sides send their full state
    /// again on the next stream.
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
        let Some(queue) = streams.get(&conn) else {
            return Ok(());
        };
        let queued = queue.bytes.fetch_add(length, Ordering::Relaxed);
        let fits = queued + length <= MAX_QUEUED_BYTES;
        if fits && queue.tx.try_send(buf).is_ok() {
            self.shared
                .bytes_sent
                .fetch_add(length as u64, Ordering::Relaxed);
            return Ok(());
        }
        streams.remove(&conn);
        Err(QueueFull)
    }

    /// Closes a stream.
    pub fn close(&self, conn: ConnId) {
        self.shared.lock().remove(&conn);
    }

    /// Returns whether all queued frames have been handed to the HTTP/2
    /// connections.
    #[must_use]
    pub fn is_flushed(&self) -> bool {
        let streams = self.shared.lock();
        streams
            .values()
            .all(|queue| queue.bytes.load(Ordering::Relaxed) == 0)
    }
}

impl Shared {
    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<ConnId, SendQueue>> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Encodes a message of the handshake, which has no timestamp.
    fn encode(message: Message) -> io::Result<Vec<u8>> {
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
            tokio::time::sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        // Above the limit a connection is closed at once, and the side that
        // dialled gets `Event::DialFailed`.
        if shared.accepted.load(Ordering::Relaxed) >= MAX_ACCEPTED_STREAMS {
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
    let handshake = with_timeout(HANDSHAKE_TIMEOUT, async {
        let (mut writer, mut reader, drive) = stream::accept(tcp).await?;
        let drive = tokio::spawn(drive);
        let peer = accept_handshake(shared, &mut writer, &mut reader).await?;
        Ok::<_, io::Error>((writer, reader, peer, drive))
    });
    match handshake.await {
        Some(Ok((writer, reader, peer, drive))) => {
            run_stream(shared, writer, reader, peer, None).await;
            drive.abort();
        }
        Some(Err(e)) if e.kind() == io::ErrorKind::PermissionDenied => {
            let why = format!("from={from} {e}");
            push(&shared.events, Event::Refused { why }).await;
        }
        // Other failures, such as a client that connects and sends nothing,
        // are not reported.
        Some(Err(_)) | None => {}
    }
}

/// Returns the error of a handshake that failed for a reason to be reported.
fn denied(why: &str) -> io::Error {
    io::Error::new(io::ErrorKind::PermissionDenied, why)
}

/// Performs the accepting side's part of the handshake.
async fn accept_handshake(
    shared: &Shared,
    writer: &mut Writer,
    reader: &mut Reader,
) -> io::Result<Peer> {
    let challenge = nonce();
    let message = Message::Challenge { nonce: challenge };
    writer.send(Shared::encode(message)?).await?;
    let message = reader.next().await?.map(|f| f.message);
    let Some(Message::Hello {
        version,
        peer,
        nonce,
        proof,
    }) = message
    else {
        return Err(denied("expected a hello message"));
    };
    if version != VERSION {
        return Err(denied("unsupported protocol version"));
    }
    if !shared.secret.verify(Side::Dial, &challenge, &peer, &proof) {
        return Err(denied("invalid signature; the shared secrets differ"));
    }
    let local_peer = shared.local_peer.clone();
    let proof = shared.secret.sign(Side::Accept, &nonce, &local_peer);
    let message = Message::Welcome {
        peer: local_peer,
        proof,
    };
    writer.send(Shared::encode(message)?).await?;
    Ok(peer)
}

/// Opens a stream and runs it until it is closed. Returns an error only if the
/// stream could not be opened.
async fn dial(shared: &Arc<Shared>, address: &str) -> io::Result<()> {
    let (mut writer, mut reader) = stream::dial(address).await?;
    let handshake = with_timeout(
        HANDSHAKE_TIMEOUT,
        dial_handshake(shared, &mut writer, &mut reader),
    );
    let peer = handshake
        .await
        .unwrap_or_else(|| Err(io::Error::from(io::ErrorKind::TimedOut)))?;
    let dialled = Some(address.to_owned());
    run_stream(shared, writer, reader, peer, dialled).await;
    Ok(())
}

/// Performs the dialling side's part of the handshake.
async fn dial_handshake(
    shared: &Shared,
    writer: &mut Writer,
    reader: &mut Reader,
) -> io::Result<Peer> {
    let message = reader.next().await?.map(|f| f.message);
    let Some(Message::Challenge { nonce: challenge }) = message else {
        return Err(denied("expected a challenge message"));
    };
    let own_nonce = nonce();
    let peer = shared.local_peer.clone();
    let proof = shared.secret.sign(Side::Dial, &challenge, &peer);
    let hello = Message::Hello {
        version: VERSION,
        peer,
        nonce: own_nonce,
        proof,
    };
    writer.send(Shared::encode(hello)?).await?;
    let answer = reader.next().await?.map(|f| f.message);
    let Some(Message::Welcome { peer, proof }) = answer else {
        return Err(denied("handshake rejected by the peer"));
    };
    if !shared
        .secret
        .verify(Side::Accept, &own_nonce, &peer, &proof)
    {
        return Err(denied(
            "invalid signature of the peer; the shared secrets differ",
        ));
    }
    Ok(peer)
}

/// Transfers frames until the stream is closed by either side or nothing is
/// received for [`RECEIVE_TIMEOUT`].
async fn run_stream(
    shared: &Arc<Shared>,
    mut writer: Writer,
    mut reader: Reader,
    peer: Peer,
    dialled: Option<String>,
) {
    let conn = ConnId(shared.next_id.fetch_add(1, Ordering::Relaxed));
    let (tx, mut rx) = mpsc::channel::<Vec<u8>>(MAX_QUEUED_FRAMES);
    let bytes = Arc::new(AtomicUsize::new(0));
    let queue = SendQueue {
        tx,
        bytes: bytes.clone(),
    };
    shared.lock().insert(conn, queue);
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
        "closed by this process".to_owned()
    };
    let read = async {
        loop {
            // After a pause the time limit has passed, but a frame that is
            // there would still be returned. Timers do not count the time for
            // which the machine was suspended.
            let waiting_since = BoottimeClock.now();
            let received = with_timeout(RECEIVE_TIMEOUT, reader.next()).await;
            let waited = BoottimeClock.now().saturating_sub(waiting_since);
            match received.filter(|_| waited <= RECEIVE_TIMEOUT) {
                None => return "silent".to_owned(),
                Some(Err(e)) => return e.to_string(),
                Some(Ok(None)) => return "ended".to_owned(),
                Some(Ok(Some(frame))) => {
                    shared.frames_received.fetch_add(1, Ordering::Relaxed);
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
