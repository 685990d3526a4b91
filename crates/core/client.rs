//! The HTTP client for the API of an entry.

use std::time::Duration;

use serde::de::DeserializeOwned;
use ureq::{Agent, Body, http::Response};

use crate::{args::Remote, exit::CommandError};

/// The timeout of a call, in addition to the time that the entry is asked to
/// wait.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// The maximum length of an answer's body, in bytes.
const MAX_ANSWER_BYTES: u64 = 64 * 1024 * 1024;

/// An answer of the entry.
#[derive(Debug)]
pub struct Answer {
    /// The status code.
    pub status: u16,
    /// The value of the `location` header.
    pub location: Option<String>,
    /// The number of seconds after which a retry may succeed.
    pub retry_after: Option<u64>,
    /// The body.
    pub body: String,
}

/// A client of one entry.
pub struct Client {
    remote: Remote,
    agent: Agent,
}

impl Client {
    /// Returns a client of the given entry.
    #[must_use]
    pub fn new(remote: &Remote) -> Self {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .max_redirects_will_error(false)
            .proxy(None)
            .build()
            .new_agent();
        Self {
            remote: remote.clone(),
            agent,
        }
    }

    /// Sends a request to a path of the entry or to a full URL, which must
    /// start with `http://`. `wait` is the time that the entry is asked to
    /// wait before it answers; it extends the timeout.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError::Unreachable`] if there is no complete answer,
    /// and [`CommandError::Usage`] if the URL or the token can't be sent in a
    /// request.
    pub fn call(
        &self,
        method: &str,
        path: &str,
        body: Option<&str>,
        wait: Duration,
    ) -> Result<Answer, CommandError> {
        let url = if path.starts_with("http://") {
            path.to_owned()
        } else {
            format!("{}{path}", self.remote.entry)
        };
        let unreachable =
            |e: ureq::Error| CommandError::Unreachable(format!("{url}: {e}"));
        let mut request =
            ureq::http::Request::builder().method(method).uri(&url);
        if let Some(token) = &self.remote.token {
            request =
                request.header("authorization", format!("Bearer {token}"));
        }
        let timeout = Some(wait + CALL_TIMEOUT);
        let response = if let Some(body) = body {
            let request = request.body(body.to_owned());
            let request = request.map_err(|e| invalid_request(&url, &e))?;
            let request = self.agent.configure_request(request);
            let request = request.timeout_global(timeout).build();
            self.agent.run(request).map_err(unreachable)?
        } else {
            let request = request.body(());
            let request = request.map_err(|e| invalid_request(&url, &e))?;
            let request = self.agent.configure_request(request);
            let request = request.timeout_global(timeout).build();
            self.agent.run(request).map_err(unreachable)?
        };
        read(response).map_err(unreachable)
    }

    /// Sends a GET request and decodes the JSON body of the answer.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Client::call`] and [`Answer::json`].
    pub fn get<T: DeserializeOwned>(
        &self,
        path: &str,
    ) -> Result<T, CommandError> {
        let answer = self.call("GET", path, None, Duration::ZERO)?;
        answer.json()
    }
}

fn invalid_request(url: &str, e: &ureq::http::Error) -> CommandError {
    CommandError::Usage(format!("{url}: {e}"))
}

/// Reads the complete response.
fn read(mut response: Response<Body>) -> Result<Answer, ureq::Error> {
    let header = |name: &str| {
        let value = response.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let location = header("location");
    let retry_after = header("retry-after").and_then(|v| v.parse().ok());
    let status = response.status().as_u16();
    let body = response.body_mut().with_config().limit(MAX_ANSWER_BYTES);
    let body = body.read_to_string()?;
    Ok(Answer {
        status,
        location,
        retry_after,
        body,
    })
}

impl Answer {
    /// Decodes the body of a successful answer as JSON.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError::Refused`] with the entry's message if the
    /// status is 300 or above, or if the body can't be decoded.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, CommandError> {
        if self.status >= 300 {
            return Err(CommandError::Refused(self.error_message()));
        }
        serde_json::from_str(&self.body).map_err(|e| {
            CommandError::Refused(format!(
                "cannot decode the entry's answer: {e}"
            ))
        })
    }

    /// Returns the error message of an unsuccessful answer: its `error` and
    /// `detail` fields if it has them, or else the status code.
    #[must_use]
    pub fn error_message(&self) -> String {
        let body: Option<serde_json::Value> =
            serde_json::from_str(&self.body).ok();
        let field = |name: &str| {
            let value = body.as_ref()?.get(name)?.as_str()?;
            Some(value.to_owned())
        };
        let error = field("error");
        let error = error.unwrap_or_else(|| format!("status {}", self.status));
        match field("detail") {
            Some(detail) => format!("{error}: {detail}"),
            None => error,
        }
    }
}
