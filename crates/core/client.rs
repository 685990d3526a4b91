//! HTTP towards an entry.

use std::time::Duration;

use serde::de::DeserializeOwned;
use ureq::{Agent, Body, http::Response};

use crate::{args::Remote, exit::CommandError};

/// How long a call may take besides the time that it is asked to wait.
const TIMEOUT: Duration = Duration::from_secs(15);

/// The most bytes in an answer.
const ANSWER_MAX: u64 = 64 * 1024 * 1024;

/// An answer.
#[derive(Debug)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// Where its subject is found.
    pub location: Option<String>,
    /// Seconds after which another try may help.
    pub retry_after: Option<u64>,
    /// Its body.
    pub body: String,
}

/// A client of one entry.
pub struct Client {
    remote: Remote,
    agent: Agent,
}

impl Client {
    /// A client.
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

    /// Makes a request to a path of the entry, or to a whole URL.
    ///
    /// # Errors
    ///
    /// [`CommandError::Unreachable`].
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
        let limit = Some(wait + TIMEOUT);
        let response = if let Some(body) = body {
            let request = request.body(body.to_owned());
            let request = request.map_err(|e| bad_url(&url, &e))?;
            let request = self.agent.configure_request(request);
            let request = request.timeout_global(limit).build();
            self.agent.run(request).map_err(unreachable)?
        } else {
            let request = request.body(());
            let request = request.map_err(|e| bad_url(&url, &e))?;
            let request = self.agent.configure_request(request);
            let request = request.timeout_global(limit).build();
            self.agent.run(request).map_err(unreachable)?
        };
        read(response).map_err(unreachable)
    }

    /// Gets a JSON value.
    ///
    /// # Errors
    ///
    /// Any [`CommandError`].
    pub fn get<T: DeserializeOwned>(
        &self,
        path: &str,
    ) -> Result<T, CommandError> {
        let answer = self.call("GET", path, None, Duration::ZERO)?;
        answer.json()
    }
}

fn bad_url(url: &str, e: &ureq::http::Error) -> CommandError {
    CommandError::Usage(format!("{url}: {e}"))
}

fn read(mut response: Response<Body>) -> Result<Answer, ureq::Error> {
    let header = |name: &str| {
        let value = response.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let location = header("location");
    let retry_after = header("retry-after").and_then(|v| v.parse().ok());
    let status = response.status().as_u16();
    let body = response.body_mut().with_config().limit(ANSWER_MAX);
    let body = body.read_to_string()?;
    Ok(Answer {
        status,
        location,
        retry_after,
        body,
    })
}

impl Answer {
    /// The body as JSON, if the request was served.
    ///
    /// # Errors
    ///
    /// [`CommandError::Refused`] with what the entry says.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, CommandError> {
        if self.status >= 300 {
            return Err(CommandError::Refused(self.explain()));
        }
        serde_json::from_str(&self.body).map_err(|e| {
            CommandError::Refused(format!("unreadable answer: {e}"))
        })
    }

    /// What a refusal says, for people.
    #[must_use]
    pub fn explain(&self) -> String {
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
