//! The HTTP server that the test doubles share. Each call has a thread to
//! itself, so that a long poll does not block other calls. A thread that is
//! done takes the next call: on a busy machine, a new one may wait for the
//! processor for seconds, and callers take the server for unresponsive.

use std::{
    io::{self, ErrorKind},
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use crossbeam::channel::{Receiver, bounded};
use figrill_transport::{
    http::{self, Answer, Event, Server},
    runtime::Runtime,
};

use crate::process::wait_for;

/// The maximum number of calls that wait for a thread.
const CALL_QUEUE_CAPACITY: usize = 1024;

/// The time after which a thread that gets no call ends.
const IDLE_TIME: Duration = Duration::from_secs(5);

/// The time limit for a closed listener to be released by the processes that
/// were being started when it was closed.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// The request header that names the incarnation that a call is meant for.
const INSTANCE_HEADER: &str = "x-expect-instance";

/// A request whose body has been read completely.
pub(crate) struct Call {
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) query: String,
    /// The incarnation of the server that the call is meant for, if it names
    /// one.
    pub(crate) expected_instance: Option<String>,
    pub(crate) body: Vec<u8>,
}

/// The answer to a call.
#[derive(Default)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) header: Option<(&'static str, String)>,
    pub(crate) body: Vec<u8>,
}

impl Reply {
    pub(crate) fn status(status: u16) -> Self {
        Self {
            status,
            ..Self::default()
        }
    }

    pub(crate) fn body(body: Vec<u8>) -> Self {
        Self {
            status: 200,
            body,
            ..Self::default()
        }
    }

    pub(crate) fn header(mut self, name: &'static str, value: &str) -> Self {
        self.header = Some((name, value.to_owned()));
        self
    }
}

impl Call {
    /// Returns the value of a name in the query, with percent-encoded bytes
    /// decoded.
    pub(crate) fn query_value(&self, name: &str) -> Option<String> {
        let pairs = self.query.split('&').filter_map(|p| p.split_once('='));
        let mut found = pairs.filter(|(key, _)| *key == name);
        found.next().map(|(_, value)| percent_decoded(value))
    }

    pub(crate) fn query_number(&self, name: &str) -> Option<u64> {
        self.query_value(name)?.parse().ok()
    }
}

fn percent_decoded(text: &str) -> String {
    let mut parts = text.split('%');
    let mut bytes = parts.next().unwrap_or_default().as_bytes().to_vec();
    for part in parts {
        let (digits, rest) = part.split_at_checked(2).unwrap_or((part, ""));
        bytes.extend(u8::from_str_radix(digits, 16).ok());
        bytes.extend(rest.as_bytes());
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// A running HTTP server. It goes on when this value is dropped.
pub(crate) struct HttpServer {
    pub(crate) address: SocketAddr,
    runtime: Runtime,
}

impl HttpServer {
    /// Starts to serve on an address that was in use until now. It may remain
    /// in use for a moment; see [`HttpServer::stop`].
    pub(crate) fn start_soon(
        listen: SocketAddr,
        answer: impl Fn(&Call) -> Reply + Clone + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listen = listen.to_string();
        wait_for("the address to be released", RELEASE_TIMEOUT, || {
            let started = Self::start(&listen, answer.clone());
            let in_use = |e: &io::Error| e.kind() == ErrorKind::AddrInUse;
            (!started.as_ref().is_err_and(in_use)).then_some(started)
        })
    }

    /// Starts to serve on `listen`.
    pub(crate) fn start(
        listen: &str,
        answer: impl Fn(&Call) -> Reply + Clone + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = http::bind(listen)?;
        let address = listener.local_addr()?;
        let runtime = Runtime::start("net")?;
        let (tx, rx) = bounded::<Event>(CALL_QUEUE_CAPACITY);
        let server = Server::start(&runtime.handle(), listener, tx);
        thread::Builder::new()
            .name("http".to_owned())
            .spawn(move || {
                // It must be kept for as long as calls are served.
                let _kept_alive = server;
                respond_to_all(&rx, &answer);
            })?;
        Ok(Self { address, runtime })
    }

    /// Closes the listener and all connections.
    pub(crate) fn close(self) {
        self.runtime.stop();
    }

    /// Closes the listener and all connections at once, as when the serving
    /// process is killed. Returns once connections are refused: a process that
    /// is being started holds the listener until it runs its own program.
    pub(crate) fn stop(self) {
        let address = self.address;
        self.close();
        wait_for("connections to be refused", RELEASE_TIMEOUT, || {
            TcpStream::connect(address).is_err().then_some(())
        });
    }
}

/// Serves on `listen` until the process ends. Returns the address that was
/// bound.
pub(crate) fn serve(
    listen: &str,
    answer: impl Fn(&Call) -> Reply + Clone + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    Ok(HttpServer::start(listen, answer)?.address)
}

/// Passes each call to a thread that waits for one, or else to a new one.
fn respond_to_all(
    events: &Receiver<Event>,
    answer: &(impl Fn(&Call) -> Reply + Clone + Send + 'static),
) {
    // Without a buffer, only a thread that waits takes a call.
    let (idle_tx, idle_rx) = bounded::<Box<http::Call>>(0);
    for event in events {
        let Event::Call(call) = event else { continue };
        let Err(unsent) = idle_tx.try_send(call) else {
            continue;
        };
        let (calls, answer) = (idle_rx.clone(), answer.clone());
        let run =
            move || respond_in_turn(unsent.into_inner(), &calls, &answer);
        let builder = thread::Builder::new().name("call".to_owned());
        let spawned = builder.spawn(run);
        if let Err(e) = spawned {
            eprintln!("cannot start a thread for a call: {e}");
        }
    }
}

/// Answers a call, and then those that follow until there is none for
/// [`IDLE_TIME`].
fn respond_in_turn(
    first: Box<http::Call>,
    calls: &Receiver<Box<http::Call>>,
    answer: &impl Fn(&Call) -> Reply,
) {
    respond(*first, answer);
    while let Ok(call) = calls.recv_timeout(IDLE_TIME) {
        respond(*call, answer);
    }
}

fn respond(call: http::Call, answer: &impl Fn(&Call) -> Reply) {
    let expected_instance = call.headers.get(INSTANCE_HEADER);
    let expected_instance = expected_instance.and_then(|v| v.to_str().ok());
    let reply = answer(&Call {
        method: call.method.to_string(),
        path: call.path,
        query: call.query,
        expected_instance: expected_instance.map(str::to_owned),
        body: call.body.to_vec(),
    });
    call.responder.send(Answer {
        status: reply.status,
        content_type: "application/octet-stream",
        retry_after_s: None,
        location: None,
        header: reply.header,
        body: reply.body,
    });
}
