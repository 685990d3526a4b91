//! The HTTP/1.1 server for callers, operators and the upstream of an agent.
//!
//! All resources that an unauthenticated client can use are bounded: the
//! number of connections, the time and the size of the headers, the time and
//! the size of a body, and the total size of all bodies that are being read.

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

use crate::runtime::{push, with_timeout};

/// The maximum length of a request body in bytes. The largest job fits into
/// it, including its encoding.
pub const MAX_BODY_BYTES: usize = 1024 * 1024;

/// The maximum number of open connections.
pub const MAX_CONNECTIONS: usize = 2048;

/// The maximum total size in KiB of all bodies that are being read.
const MAX_BUFFERED_BODIES_KIB: usize = 16 * 1024;

/// The maximum size in bytes of a request line with its headers.
const MAX_HEADER_BYTES: usize = 16 * 1024;

/// The time limit for receiving the headers of a request. It also limits how
/// long a connection may be idle.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// The time limit for receiving the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// The time limit for producing an answer. It is longer than any wait that the
/// settings allow.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(90);

/// The delay after a failed accept. Some failures last, such as running out of
/// file descriptors, and retrying them at once would use a whole core.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// A complete request.
#[derive(Debug)]
pub struct Call {
    /// Identifies the request within this process.
    pub id: u64,
    /// The method.
    pub method: Method,
    /// The path of the URL.
    pub path: String,
    /// The query of the URL without the question mark; empty if there is none.
    pub query: String,
    /// The bearer token of the `Authorization` header, if there is one.
    pub token: Option<String>,
    /// The headers.
    pub headers: http::HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Whether the client is connected through a loopback address.
    pub from_loopback: bool,
    /// Sends the answer.
    pub responder: Responder,
}

/// An event of the HTTP server.
#[derive(Debug)]
pub enum Event {
    /// A request was received.
    Call(Box<Call>),
    /// The client closed its connection before the request was answered.
    CallerDisconnected {
        /// The ID of the request; see [`Call::id`].
        id: u64,
    },
}

/// The answer to a request.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status code.
    pub status: u16,
    /// The value of the `Content-Type` header.
    pub content_type: &'static str,
    /// The value of the `Retry-After` header: the number of seconds after
    /// which a retry may succeed.
    pub retry_after_s: Option<u32>,
    /// The value of the `Location` header: the URL of the resource that the
    /// answer is about.
    pub location: Option<String>,
    /// The name and the value of an additional header.
    pub header: Option<(&'static str, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Answer {
    /// Returns an answer with a JSON body and no optional headers.
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

/// Sends the answer to one request. It may be moved between threads.
#[derive(Debug)]
pub struct Responder(oneshot::Sender<Answer>);

impl Responder {
    /// Sends the answer. It is dropped if the client has disconnected.
    pub fn send(self, answer: Answer) {
        let _ = self.0.send(answer);
    }
}

/// A listening HTTP server.
pub struct Server {
    stop: watch::Sender<bool>,
    /// One permit for each connection that may still be opened.
    connections: Arc<Semaphore>,
}

struct Shared {
    events: Sender<Event>,
    next_id: AtomicU64,
    /// One permit for each KiB of the bodies that may be read at the same
    /// time.
    body_budget: Arc<Semaphore>,
}

impl Server {
    /// Starts to serve on `listener`. Each request is sent to `events`.
    #[must_use]
    pub fn start(
        handle: &Handle,
        listener: std::net::TcpListener,
        events: Sender<Event>,
    ) -> Self {
        let (stop, stopped) = watch::channel(false);
        let connections = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        let shared = Arc::new(Shared {
            events,
            next_id: AtomicU64::new(1),
            body_budget: Arc::new(Semaphore::new(MAX_BUFFERED_BODIES_KIB)),
        });
        let limit = connections.clone();
        handle.spawn(accept_all(shared, listener, limit, stopped));
        Self { stop, connections }
    }

    /// Stops accepting connections. Each open one is closed after the request
    /// that is in flight on it has been answered.
    pub fn stop(&self) {
        let _ = self.stop.send(true);
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        MAX_CONNECTIONS - self.connections.available_permits()
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
            tokio::time::sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        // Above the limit a connection is closed without reading from it. This
        // is the cheapest way to reject it, and a load balancer retries on
        // another entry.
        let Ok(permit) = limit.clone().try_acquire_owned() else {
            continue;
        };
        let serve = serve(shared.clone(), tcp, permit, stopped.clone());
        tokio::spawn(serve);
    }
}

/// Serves one connection until it is closed. The permit is released then.
async fn serve(
    shared: Arc<Shared>,
    tcp: TcpStream,
    _permit: OwnedSemaphorePermit,
    mut stopped: watch::Receiver<bool>,
) {
    let _ = tcp.set_nodelay(true);
    let from = tcp.peer_addr();
    let from_loopback = from.is_ok_and(|a| a.ip().is_loopback());
    let service = service_fn(move |request| {
        let shared = shared.clone();
        async move {
            Ok::<_, Infallible>(respond(&shared, from_loopback, request).await)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(MAX_HEADER_BYTES)
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

/// Reports [`Event::CallerDisconnected`] if it is dropped before the request
/// was answered. `hyper` drops the future of a request, and this with it, when
/// the client disconnects.
struct DisconnectGuard<'a> {
    shared: &'a Shared,
    id: u64,
    answered: bool,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if !self.answered {
            // The event is lost if the channel is full. The call then ends at
            // its deadline.
            let event = Event::CallerDisconnected { id: self.id };
            let _ = self.shared.events.try_send(event);
        }
    }
}

/// Reads a request, passes it on and waits for the answer.
async fn respond(
    shared: &Shared,
    from_loopback: bool,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let (parts, body) = request.into_parts();
    let body = match read_body(shared, &parts.headers, body).await {
        Ok(body) => body,
        Err(status) => return rejection(status, &parts.method),
    };
    let id = shared.next_id.fetch_add(1, Ordering::Relaxed);
    let (tx, rx) = oneshot::channel();
    let token = parts
        .headers
        .get(header::AUTHORIZATION)
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.strip_prefix("Bearer "))
        .map(str::to_owned);
    let method = parts.method.clone();
    let call = Call {
        id,
        method: parts.method,
        path: parts.uri.path().to_owned(),
        query: parts.uri.query().unwrap_or_default().to_owned(),
        token,
        headers: parts.headers,
        body: body.bytes,
        from_loopback,
        responder: Responder(tx),
    };
    let mut guard = DisconnectGuard {
        shared,
        id,
        answered: false,
    };
    if !push(&shared.events, Event::Call(Box::new(call))).await {
        return rejection(StatusCode::SERVICE_UNAVAILABLE, &method);
    }
    // From here on, the receiver of the event accounts for the bytes.
    drop(body.budget);
    let answer = with_timeout(RESPONSE_TIMEOUT, rx).await;
    guard.answered = true;
    match answer {
        Some(Ok(answer)) => into_response(answer),
        _ => gateway_timeout(),
    }
}

/// A complete body and its share of the budget for all bodies.
struct Body {
    bytes: Bytes,
    budget: OwnedSemaphorePermit,
}

/// Reads a body within the limits of size and time. A chunked body without a
/// `Content-Length` takes the maximum size from the budget.
///
/// # Errors
///
/// Returns the status with which to reject the request.
async fn read_body(
    shared: &Shared,
    headers: &http::HeaderMap,
    body: Incoming,
) -> Result<Body, StatusCode> {
    let content_length = headers
        .get(header::CONTENT_LENGTH)
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.parse::<usize>().ok());
    let chunked = headers.contains_key(header::TRANSFER_ENCODING);
    let expected = match content_length {
        Some(length) => length,
        None if chunked => MAX_BODY_BYTES,
        None => 0,
    };
    if expected > MAX_BODY_BYTES {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let kib = u32::try_from(expected.div_ceil(1024)).unwrap_or(u32::MAX);
    let budget = shared.body_budget.clone().try_acquire_many_owned(kib);
    let budget = budget.map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?;
    let read = Limited::new(body, MAX_BODY_BYTES).collect();
    match with_timeout(BODY_TIMEOUT, read).await {
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

/// Returns the response to a request that was passed on but got no answer in
/// time. Its outcome is unknown, as it may have been processed.
fn gateway_timeout() -> Response<Full<Bytes>> {
    let text = "{\"error\":\"no answer in time\",\"outcome\":\"unknown\"}";
    let status = StatusCode::GATEWAY_TIMEOUT.as_u16();
    into_response(Answer::json(status, text.as_bytes().to_vec()))
}

/// Returns the response to a request that was rejected before it was passed
/// on. Only the response to a `POST`, which submits a job, says that the job
/// was not run: a rejected query says nothing about the job that it asks for.
fn rejection(status: StatusCode, method: &Method) -> Response<Full<Bytes>> {
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
    into_response(answer)
}

/// Converts an answer. Headers with invalid values are left out.
fn into_response(answer: Answer) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(answer.body)));
    let status = StatusCode::from_u16(answer.status);
    *response.status_mut() =
        status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    let content_type = HeaderValue::from_static(answer.content_type);
    headers.insert(header::CONTENT_TYPE, content_type);
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

/// Binds a listener for HTTP.
///
/// # Errors
///
/// Returns an error if the address is in use or does not belong to this
/// machine.
pub fn bind(address: &str) -> io::Result<std::net::TcpListener> {
    crate::peer::bind(address)
}
