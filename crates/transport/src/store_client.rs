//! The platform's store over HTTP.
//!
//! | call | request | answer |
//! | --- | --- | --- |
//! | get | `GET /v1/kv/KEY` | 200 with the value, or 404 |
//! | watch | `GET /v1/kv/KEY?not=VERSION&wait_ms=N` | as get |
//! | swap | `PUT /v1/kv/KEY?version=V[&lease=L]` | 200, 409, 410 or 413 |
//! | grant | `POST /v1/leases?ttl_ms=N` | 200 with the lease |
//! | renew | `PUT /v1/leases/LEASE` | 200 or 410 |
//! | revoke | `DELETE /v1/leases/LEASE` | 200 |
//!
//! The header `X-Version` carries a value's version, 0 if there is none.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use figrill_state::store::{
    LeaseId, MAX_VALUE_BYTES, Store, StoreError, Versioned,
};
use ureq::{Agent, Body, http::Response};

use crate::client::agent;

/// How long a call may take besides the time that it is asked to wait.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// A client; it may be shared between threads.
pub struct StoreClient {
    base: String,
    agent: Mutex<Agent>,
}

impl StoreClient {
    /// A client for the store at `base`, such as `http://10.0.0.1:2000`.
    #[must_use]
    pub fn new(base: &str) -> Self {
        let agent = Mutex::new(agent(CALL_TIMEOUT));
        Self {
            base: base.trim_end_matches('/').to_owned(),
            agent,
        }
    }

    fn agent(&self) -> Agent {
        let agent = self.agent.lock();
        agent.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// After a failed call, all kept connections are suspect: one of them
    /// may be silent for good while new ones work.
    fn unavailable(&self, why: &str) -> StoreError {
        let mut agent =
            self.agent.lock().unwrap_or_else(PoisonError::into_inner);
        *agent = crate::client::agent(CALL_TIMEOUT);
        StoreError::Unavailable(why.to_owned())
    }

    /// Makes a call, and once more on a fresh connection if the first broke
    /// off at once. Every call may be repeated: a swap that took effect
    /// meets its own value, which the ledger counts as done.
    fn call(
        &self,
        call: impl Fn(&Agent) -> Sent,
    ) -> Result<Answer, StoreError> {
        let first = call(&self.agent());
        let sent = match first {
            Err(ureq::Error::Io(_) | ureq::Error::ConnectionFailed) => {
                let _ = self.unavailable("");
                call(&self.agent())
            }
            other => other,
        };
        self.read(sent)
    }

    fn read(&self, sent: Sent) -> Result<Answer, StoreError> {
        let mut response =
            sent.map_err(|e| self.unavailable(&e.to_string()))?;
        let version = response
            .headers()
            .get("x-version")
            .and_then(|v| v.to_str().ok())
            .and_then(|v| v.parse().ok())
            .unwrap_or(0);
        let limit = MAX_VALUE_BYTES as u64 + 1;
        let body = response
            .body_mut()
            .with_config()
            .limit(limit)
            .read_to_vec()
            .map_err(|e| self.unavailable(&e.to_string()))?;
        let status = response.status().as_u16();
        if status >= 500 {
            return Err(StoreError::Unavailable(format!("status {status}")));
        }
        Ok(Answer {
            status,
            version,
            body,
        })
    }

    fn value(&self, url: &str, wait: Duration) -> Got {
        let timeout = Some(wait + CALL_TIMEOUT);
        let answer = self.call(|agent| {
            let request = agent.get(url).config();
            request.timeout_global(timeout).build().call()
        })?;
        match answer.status {
            200 => Ok(Some(answer.versioned())),
            404 => Ok(None),
            status => Err(StoreError::Unavailable(format!("status {status}"))),
        }
    }
}

type Sent = Result<Response<Body>, ureq::Error>;

type Got = Result<Option<Versioned>, StoreError>;

struct Answer {
    status: u16,
    version: u64,
    body: Vec<u8>,
}

impl Answer {
    fn versioned(self) -> Versioned {
        Versioned {
            version: self.version,
            value: self.body,
        }
    }

    fn unexpected(&self) -> StoreError {
        StoreError::Unavailable(format!("status {}", self.status))
    }
}

impl Store for StoreClient {
    fn get(&self, key: &str) -> Got {
        let url = format!("{}/v1/kv/{key}", self.base);
        self.value(&url, Duration::ZERO)
    }

    fn swap(
        &self,
        key: &str,
        version: u64,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> Result<u64, StoreError> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(StoreError::TooLarge);
        }
        let lease = lease.map_or(String::new(), |l| format!("&lease={}", l.0));
        let base = &self.base;
        let url = format!("{base}/v1/kv/{key}?version={version}{lease}");
        let answer = self.call(|agent| agent.put(&url).send(value))?;
        match answer.status {
            200 => Ok(answer.version),
            409 if answer.version == 0 => Err(StoreError::Conflict(None)),
            409 => Err(StoreError::Conflict(Some(answer.versioned()))),
            410 => Err(StoreError::LeaseGone),
            413 => Err(StoreError::TooLarge),
            _ => Err(answer.unexpected()),
        }
    }

    fn grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let ms = ttl.as_millis();
        let url = format!("{}/v1/leases?ttl_ms={ms}", self.base);
        let answer = self.call(|agent| agent.post(&url).send_empty())?;
        let text = String::from_utf8_lossy(&answer.body);
        let id = text.trim().parse().ok();
        id.map(LeaseId).ok_or_else(|| answer.unexpected())
    }

    fn renew(&self, lease: LeaseId) -> Result<(), StoreError> {
        let url = format!("{}/v1/leases/{}", self.base, lease.0);
        let answer = self.call(|agent| agent.put(&url).send_empty())?;
        match answer.status {
            200 => Ok(()),
            410 => Err(StoreError::LeaseGone),
            _ => Err(answer.unexpected()),
        }
    }

    fn revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        let url = format!("{}/v1/leases/{}", self.base, lease.0);
        self.call(|agent| agent.delete(&url).call()).map(|_| ())
    }

    fn watch(&self, key: &str, version: u64, wait: Duration) -> Got {
        let ms = wait.as_millis();
        let base = &self.base;
        let url = format!("{base}/v1/kv/{key}?not={version}&wait_ms={ms}");
        self.value(&url, wait)
    }
}
