//! HTTP/1.1 towards callers, operators and the upstream beside an agent.
//!
//! Every resource that a stranger could hold is bounded: connections, the
//! time and size of a head, the time and size of a body, and the bytes of
//! all bodies together.

use std::{
    convert::Infallible,
    io,
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use crossbeam::channel::Sender;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    runtime::Handle,
    sync::{OwnedSemaphorePermit, Semaphore, oneshot, watch},
};

use crate::runtime::{push, within};

/// The most bytes in a body: a whole job with what surrounds it.
pub const MAX_BODY_BYTES: usize = 1024 * 1024;

/// The most connections at once.
pub const CONNECTIONS_MAX: usize = 2048;

/// The most bytes of all bodies together, in KiB.
const BODIES_KIB: usize = 16 * 1024;

/// The most bytes in a request's head.
const HEAD_BYTES: usize = 16 * 1024;

/// How long a head may take, also on a connection that idles.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a body may take.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// How long an answer may take to be made; longer than any wait that the
/// settings allow.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(90);

/// Time before the next accept after one failed, as when the process is
/// out of file descriptors.
const ACCEPT_AGAIN: Duration = Duration::from_millis(50);

/// A request that was read whole.
#[derive(Debug)]
pub struct Call {
    /// Names it among the calls of this process.
    pub id: u64,
    /// Its method.
    pub method: Method,
    /// Its path.
    pub path: String,
    /// Its query without the question mark.
    pub query: String,
    /// The bearer token, if it has one.
    pub token: Option<String>,
    /// Its headers.
    pub headers: http::HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// Whether it comes from this machine.
    pub local: bool,
    /// Takes the answer.
    pub responder: Responder,
}

/// What comes of HTTP.
#[derive(Debug)]
pub enum Event {
    /// A request.
    Call(Box<Call>),
    /// The caller of a request has hung up before its answer.
    Gone {
        /// The request.
        id: u64,
    },
}

/// An answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// Its type.
    pub content_type: &'static str,
    /// Seconds after which another try may help.
    pub retry_after_s: Option<u32>,
    /// Where the thing that it is about is found.
    pub location: Option<String>,
    /// One more header.
    pub header: Option<(&'static str, String)>,
    /// Its body.
    pub body: Vec<u8>,
}

impl Answer {
    /// A JSON answer.
    #[must_use]
    pub const fn json(status: u16, body: Vec<u8>) -> Self {
        Self {
            status,
            content_type: "application/json",
            retry_after_s: None,
            location: None,
            header: None,
            body,
        }
    }
}

/// Takes the answer of one request; it may be moved between threads.
#[derive(Debug)]
pub struct Responder(oneshot::Sender<Answer>);

impl Responder {
    /// Answers. If the caller has hung up, nobody hears it.
    pub fn send(self, answer: Answer) {
        let _ = self.0.send(answer);
    }
}

/// A listening HTTP server.
pub struct Server {
    stop: watch::Sender<bool>,
    connections: Arc<Semaphore>,
}

struct Shared {
    events: Sender<Event>,
    next: AtomicU64,
    bodies: Arc<Semaphore>,
}

impl Server {
    /// Serves on `listener`; each request goes to `events`.
    #[must_use]
    pub fn start(
        handle: &Handle,
        listener: std::net::TcpListener,
        events: Sender<Event>,
    ) -> Self {
        let (stop, stopped) = watch::channel(false);
        let connections = Arc::new(Semaphore::new(CONNECTIONS_MAX));
        let shared = Arc::new(Shared {
            events,
            next: AtomicU64::new(1),
            bodies: Arc::new(Semaphore::new(BODIES_KIB)),
        });
        let limit = connections.clone();
        handle.spawn(accept_all(shared, listener, limit, stopped));
        Self { stop, connections }
    }

    /// Takes no more connections; those that are open are closed after the
    /// answer that they wait for.
    pub fn stop(&self) {
        let _ = self.stop.send(true);
    }

    /// Connections that are open.
    #[must_use]
    pub fn open(&self) -> usize {
        CONNECTIONS_MAX - self.connections.available_permits()
    }
}

async fn accept_all(
    shared: Arc<Shared>,
    listener: std::net::TcpListener,
    limit: Arc<Semaphore>,
    mut stopped: watch::Receiver<bool>,
) {
    let Ok(listener) = TcpListener::from_std(listener) else {
        return;
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.changed() => return,
        };
        let Ok((tcp, _)) = accepted else {
            tokio::time::sleep(ACCEPT_AGAIN).await;
            continue;
        };
        // Over the limit the connection is closed unread: that costs the
        // least, and a balancer tries another entry.
        let Ok(permit) = limit.clone().try_acquire_owned() else {
            continue;
        };
        let serve = serve(shared.clone(), tcp, permit, stopped.clone());
        tokio::spawn(serve);
    }
}

async fn serve(
    shared: Arc<Shared>,
    tcp: TcpStream,
    _permit: OwnedSemaphorePermit,
    mut stopped: watch::Receiver<bool>,
) {
    let _ = tcp.set_nodelay(true);
    let from = tcp.peer_addr();
    let local = from.is_ok_and(|a| a.ip().is_loopback());
    let service = service_fn(move |request| {
        let shared = shared.clone();
        async move { Ok::<_, Infallible>(respond(&shared, local, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(HEAD_BYTES)
        .serve_connection(TokioIo::new(tcp), service);
    let mut connection = pin!(connection);
    if *stopped.borrow() {
        connection.as_mut().graceful_shutdown();
    }
    let ended = tokio::select! {
        _ = connection.as_mut() => true,
        _ = stopped.changed() => false,
    };
    if !ended {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}

/// Says that the caller has hung up unless the answer was given.
struct Guard<'a> {
    shared: &'a Shared,
    id: u64,
    answered: bool,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        if !self.answered {
            // A full ring loses this; the call then ends at its deadline.
            let gone = Event::Gone { id: self.id };
            let _ = self.shared.events.try_send(gone);
        }
    }
}

async fn respond(
    shared: &Shared,
    local: bool,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let (head, body) = request.into_parts();
    let body = match read_body(shared, &head.headers, body).await {
        Ok(body) => body,
        Err(status) => return plain(status, &head.method),
    };
    let id = shared.next.fetch_add(1, Ordering::Relaxed);
    let (tx, rx) = oneshot::channel();
    let token = head
        .headers
        .get(header::AUTHORIZATION)
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.strip_prefix("Bearer "))
        .map(str::to_owned);
    let method = head.method.clone();
    let call = Call {
        id,
        method: head.method,
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or_default().to_owned(),
        token,
        headers: head.headers,
        body: body.bytes,
        local,
        responder: Responder(tx),
    };
    let mut guard = Guard {
        shared,
        id,
        answered: false,
    };
    if !push(&shared.events, Event::Call(Box::new(call))).await {
        return plain(StatusCode::SERVICE_UNAVAILABLE, &method);
    }
    // From here on the bytes count where the request is kept.
    drop(body.budget);
    let answer = within(ANSWER_TIMEOUT, rx).await;
    guard.answered = true;
    match answer {
        Some(Ok(answer)) => render(answer),
        _ => unanswered(),
    }
}

struct Body {
    bytes: Bytes,
    budget: OwnedSemaphorePermit,
}

async fn read_body(
    shared: &Shared,
    headers: &http::HeaderMap,
    body: Incoming,
) -> Result<Body, StatusCode> {
    let announced = headers
        .get(header::CONTENT_LENGTH)
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.parse::<usize>().ok());
    let chunked = headers.contains_key(header::TRANSFER_ENCODING);
    let expected = match announced {
        Some(length) => length,
        None if chunked => MAX_BODY_BYTES,
        None => 0,
    };
    if expected > MAX_BODY_BYTES {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let kib = u32::try_from(expected.div_ceil(1024)).unwrap_or(u32::MAX);
    let budget = shared.bodies.clone().try_acquire_many_owned(kib);
    let budget = budget.map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?;
    let read = Limited::new(body, MAX_BODY_BYTES).collect();
    match within(BODY_TIMEOUT, read).await {
        None => Err(StatusCode::REQUEST_TIMEOUT),
        Some(Err(e)) if e.is::<LengthLimitError>() => {
            Err(StatusCode::PAYLOAD_TOO_LARGE)
        }
        Some(Err(_)) => Err(StatusCode::BAD_REQUEST),
        Some(Ok(all)) => Ok(Body {
            bytes: all.to_bytes(),
            budget,
        }),
    }
}

/// The request was taken in and nothing came back: nobody here can say
/// what became of it.
fn unanswered() -> Response<Full<Bytes>> {
    let text = "{\"error\":\"no answer in time\",\"outcome\":\"unknown\"}";
    let status = StatusCode::GATEWAY_TIMEOUT.as_u16();
    render(Answer::json(status, text.as_bytes().to_vec()))
}

/// A request that was refused before anybody else saw it. Only one that
/// submits something can be said not to have run; a question about a job
/// tells nothing of that job when it is refused.
fn plain(status: StatusCode, method: &Method) -> Response<Full<Bytes>> {
    let outcome = if *method == Method::POST {
        ",\"outcome\":\"not_run\""
    } else {
        ""
    };
    let error = status.canonical_reason().unwrap_or("refused");
    let text = format!("{{\"error\":\"{error}\"{outcome}}}");
    let mut answer = Answer::json(status.as_u16(), text.into_bytes());
    if status == StatusCode::SERVICE_UNAVAILABLE {
        answer.retry_after_s = Some(1);
    }
    render(answer)
}

fn render(answer: Answer) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(answer.body)));
    let status = StatusCode::from_u16(answer.status);
    *response.status_mut() =
        status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    let kind = HeaderValue::from_static(answer.content_type);
    headers.insert(header::CONTENT_TYPE, kind);
    if let Some(seconds) = answer.retry_after_s {
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    if let Some((name, value)) = answer.header
        && let Ok(value) = HeaderValue::from_str(&value)
    {
        headers.insert(name, value);
    }
    if let Some(location) = answer.location
        && let Ok(value) = HeaderValue::from_str(&location)
    {
        headers.insert(header::LOCATION, value);
    }
    response
}

/// Binds the address for HTTP.
///
/// # Errors
///
/// If the address is in use or not of this machine.
pub fn bind(address: &str) -> io::Result<std::net::TcpListener> {
    crate::peer::bind(address)
}
