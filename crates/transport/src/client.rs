//! The HTTP client that every call to another system goes through.

use std::{
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use displaydoc::Display;
use ureq::{
    Agent, Error,
    config::Config,
    http::{Request, Uri},
    unversioned::{
        resolver::{ResolvedSocketAddrs, Resolver},
        transport::{DefaultConnector, NextTimeout},
    },
};

/// Connections that are kept open.
const IDLE_CONNECTIONS: usize = 8;

/// How long an idle connection is kept: less than any server does, so that
/// a call never meets one that is being closed.
const IDLE_AGE: Duration = Duration::from_secs(3);

/// The most bytes in an answer: a page of the store's listing.
const ANSWER_BYTES: u64 = 8 * 1024 * 1024;

/// Reads addresses that are numbers. All addresses are, and the library's
/// own resolver would start a thread for each connection.
#[derive(Debug)]
struct Numbers;

impl Resolver for Numbers {
    fn resolve(
        &self,
        uri: &Uri,
        _config: &Config,
        _timeout: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, Error> {
        let authority =
            uri.authority().map(ureq::http::uri::Authority::as_str);
        let address: Option<SocketAddr> =
            authority.and_then(|a| a.parse().ok());
        let mut found = self.empty();
        found.push(address.ok_or(Error::HostNotFound)?);
        Ok(found)
    }
}

/// An agent that reports a status instead of failing on it.
pub(crate) fn agent(timeout: Duration) -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(timeout))
        .max_idle_age(IDLE_AGE)
        .max_idle_connections(IDLE_CONNECTIONS)
        .max_idle_connections_per_host(IDLE_CONNECTIONS)
        .no_delay(true)
        .proxy(None)
        .build();
    Agent::with_parts(config, DefaultConnector::default(), Numbers)
}

/// An answer that was read whole.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reply {
    /// Its status.
    pub status: u16,
    /// Its body.
    pub body: Vec<u8>,
}

/// Why a call brought no whole answer.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum CallError {
    /// nothing listens there: {0}
    Refused(String),
    /// no connection: {0}
    NotSent(String),
    /// no whole answer: {0}
    NoAnswer(String),
}

impl std::error::Error for CallError {}

/// A client of one server; it may be shared between threads.
pub struct Client {
    base: String,
    agent: Mutex<Agent>,
}

impl Client {
    /// A client of the server at `address`, an IP and a port.
    #[must_use]
    pub fn new(address: &str) -> Self {
        Self {
            base: format!("http://{address}"),
            agent: Mutex::new(agent(Duration::from_secs(1))),
        }
    }

    /// Sends a request and reads the whole answer within `timeout`. An empty
    /// body is sent as none.
    ///
    /// # Errors
    ///
    /// [`CallError::NotSent`] or [`CallError::Refused`] if nothing can have
    /// reached the server.
    pub fn call(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
        timeout: Duration,
    ) -> Result<Reply, CallError> {
        let url = format!("{}{path}", self.base);
        let mut request = Request::builder().method(method).uri(url);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        if !body.is_empty() {
            request = request.header("content-type", "application/json");
        }
        let agent = self.lock().clone();
        let sent = if body.is_empty() {
            request
                .body(())
                .map_err(Error::from)
                .and_then(|r| run(&agent, r, timeout))
        } else {
            request
                .body(body)
                .map_err(Error::from)
                .and_then(|r| run(&agent, r, timeout))
        };
        sent.map_err(|e| {
            self.forget_connections();
            let text = e.to_string();
            let refused = matches!(&e, Error::Io(e)
                if e.kind() == std::io::ErrorKind::ConnectionRefused);
            match e {
                Error::ConnectionFailed | Error::HostNotFound => {
                    CallError::NotSent(text)
                }
                _ if refused => CallError::Refused(text),
                _ => CallError::NoAnswer(text),
            }
        })
    }

    /// After a failed call all kept connections are suspect: one of them
    /// may be silent for good while new ones work.
    fn forget_connections(&self) {
        *self.lock() = agent(Duration::from_secs(1));
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Agent> {
        self.agent.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn run(
    agent: &Agent,
    request: Request<impl ureq::AsSendBody>,
    timeout: Duration,
) -> Result<Reply, Error> {
    let request = agent
        .configure_request(request)
        .timeout_global(Some(timeout))
        .allow_non_standard_methods(true)
        .build();
    let mut response = agent.run(request)?;
    let status = response.status().as_u16();
    let body = response
        .body_mut()
        .with_config()
        .limit(ANSWER_BYTES)
        .read_to_vec()?;
    Ok(Reply { status, body })
}
