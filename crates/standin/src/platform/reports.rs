//! Calls to the address at which an agent's upstream registers. The agent
//! can't tell from a call alone whether the upstream beside it is the writer.

use std::{net::SocketAddr, time::Duration};

use serde_json::Value;

/// The maximum wait for the answer to a call. An upstream counts a heartbeat
/// as acknowledged only if the answer arrives within this time.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

fn url(agent: SocketAddr, id: &str) -> String {
    format!("http://{agent}/-/workers/{id}")
}

fn client() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(ANSWER_TIMEOUT))
        .proxy(None)
        .build()
        .new_agent()
}

/// Sends a status report for the upstream `id` to an agent. Returns the HTTP
/// status of the answer, or 0 if there is none.
#[must_use]
pub fn send_report(agent: SocketAddr, id: &str, body: &Value) -> u16 {
    let answer = client().put(url(agent, id)).send(body.to_string());
    answer.map_or(0, |a| a.status().as_u16())
}

/// Sends the message by which the upstream `id` deregisters. Returns the HTTP
/// status of the answer, or 0 if there is none.
#[must_use]
pub fn send_deregistration(agent: SocketAddr, id: &str) -> u16 {
    let answer = client().delete(url(agent, id)).call();
    answer.map_or(0, |a| a.status().as_u16())
}
