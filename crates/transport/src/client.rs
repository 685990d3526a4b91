//! The blocking HTTP client for all calls to other systems: the APIs of the
//! platform and, with the same configuration, the upstream of an agent.

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

/// The maximum number of idle connections that are kept open.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// The time for which an idle connection is kept. It is shorter than the idle
/// timeout of any server, so that no call is sent on a connection that the
/// server is closing.
const MAX_IDLE_AGE: Duration = Duration::from_secs(3);

/// The maximum length of a response body in bytes. A page of the store's
/// listing fits into it.
const MAX_RESPONSE_BYTES: u64 = 8 * 1024 * 1024;

/// A resolver that accepts only IP addresses with a port. All addresses in use
/// have this form, and the default resolver of `ureq` would start a thread for
/// each connection.
#[derive(Debug)]
struct LiteralResolver;

impl Resolver for LiteralResolver {
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
        let mut resolved = self.empty();
        resolved.push(address.ok_or(Error::HostNotFound)?);
        Ok(resolved)
    }
}

/// Returns a `ureq` agent that passes on all status codes instead of turning
/// some into errors. `timeout` limits calls that set no timeout of their own.
pub(crate) fn new_agent(timeout: Duration) -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(timeout))
        .max_idle_age(MAX_IDLE_AGE)
        .max_idle_connections(MAX_IDLE_CONNECTIONS)
        .max_idle_connections_per_host(MAX_IDLE_CONNECTIONS)
        .no_delay(true)
        .proxy(None)
        .build();
    Agent::with_parts(config, DefaultConnector::default(), LiteralResolver)
}

/// A complete response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

/// The reason why a call got no complete response. Only
/// [`NoAnswer`](Self::NoAnswer) leaves open whether the server processed it.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum CallError {
    /// connection refused: {0}
    ConnectionRefused(String),
    /// request not sent: {0}
    NotSent(String),
    /// no complete response: {0}
    NoAnswer(String),
}

impl std::error::Error for CallError {}

/// A blocking client of one server. It may be shared between threads.
pub struct Client {
    base: String,
    agent: Mutex<Agent>,
}

impl Client {
    /// Returns a client of the server at `address`, an IP address and a port.
    #[must_use]
    pub fn new(address: &str) -> Self {
        Self {
            base: format!("http://{address}"),
            agent: Mutex::new(new_agent(Duration::from_secs(1))),
        }
    }

    /// Sends a request and reads the complete response within `timeout`. If
    /// `body` is empty, the request has no body.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NotSent`] or [`CallError::ConnectionRefused`] if
    /// the request can't have reached the server, and [`CallError::NoAnswer`]
    /// if the server may have processed it.
    pub fn call(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
        timeout: Duration,
    ) -> Result<Response, CallError> {
        let url = format!("{}{path}", self.base);
        let mut request = Request::builder().method(method).uri(url);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        if !body.is_empty() {
            request = request.header("content-type", "application/json");
        }
        let agent = self.lock().clone();
        let result = if body.is_empty() {
            request
                .body(())
                .map_err(Error::from)
                .and_then(|r| execute(&agent, r, timeout))
        } else {
            request
                .body(body)
                .map_err(Error::from)
                .and_then(|r| execute(&agent, r, timeout))
        };
        result.map_err(|e| {
            self.reset_connections();
            let text = e.to_string();
            let connection_refused = matches!(&e, Error::Io(e)
                if e.kind() == std::io::ErrorKind::ConnectionRefused);
            match e {
                Error::ConnectionFailed | Error::HostNotFound => {
                    CallError::NotSent(text)
                }
                _ if connection_refused => CallError::ConnectionRefused(text),
                _ => CallError::NoAnswer(text),
            }
        })
    }

    /// Drops all idle connections. Called after a failed call, as one of them
    /// may never respond again while new connections work.
    fn reset_connections(&self) {
        *self.lock() = new_agent(Duration::from_secs(1));
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Agent> {
        self.agent.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn execute(
    agent: &Agent,
    request: Request<impl ureq::AsSendBody>,
    timeout: Duration,
) -> Result<Response, Error> {
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
        .limit(MAX_RESPONSE_BYTES)
        .read_to_vec()?;
    Ok(Response { status, body })
}
