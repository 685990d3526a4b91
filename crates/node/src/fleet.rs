//! The entry and the agent of a cell that keeps all scheduling state in the
//! platform's store.
//!
//! Each process consists of threads that are connected by bounded queues. Both
//! have these:
//!
//! | thread | purpose |
//! | --- | --- |
//! | `net` | serves all sockets |
//! | `metrics` | serves the metrics |
//!
//! An entry also has these:
//!
//! | thread | purpose |
//! | --- | --- |
//! | `ready` | answers the load balancer's readiness checks |
//! | `caller` (several) | answers the requests of callers, one at a time |
//! | `catalog` | follows the operators' configuration (the catalogue) |
//! | `drains`, `drain-watch` | follow the requests to drain failure domains |
//! | `lead` | campaigns for the coordinator's lease and drives the scheduler |
//! | `lease`, `commit`, `watch` | make the coordinator's store calls |
//! | `hub` | handles the events on the entry's streams |
//! | `helper` (several) | makes store calls on behalf of other entries |
//! | `record` | keeps the record of this entry in the store |
//! | `entries` | follows the records of all entries in the store |
//!
//! And an agent has these:
//!
//! | thread | purpose |
//! | --- | --- |
//! | `agent` | handles the events on the streams of coordinators |
//! | `upstream` | answers the requests of the upstream |
//! | `hold` | polls the upstream |
//! | `order` (several) | starts and stops runs on the upstream |
//! | `register` | keeps the agent's address in the store |

pub mod agent;
pub mod callers;
mod catalog;
mod drains;
pub mod entry;
mod lead;
mod mesh;
mod refusals;
mod register;
mod secret;
mod serve;
mod stored;

use std::{sync::Arc, time::Duration};

use figrill_state::{
    callers::CallerCodec,
    catalog::Catalog,
    clock::Clock,
    deployment::Deployment,
    kv::Kv,
    runner::{Runner, UpstreamState},
};
use figrill_transport::http::{Answer, Call};

/// The time limit for a store call that no caller waits for.
pub(crate) const STORE_TIMEOUT: Duration = Duration::from_millis(1200);

/// The delay before a failed store call is retried.
pub(crate) const STORE_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Decodes the operators' configuration (the catalogue). The error says what
/// is wrong with it.
pub type DecodeCatalog = fn(&[u8]) -> Result<Catalog, String>;

/// Decodes the name of a failure domain from the key of a request to drain it.
/// The error says what is wrong with the key.
pub type DecodeDrain = fn(&str) -> Result<String, &'static str>;

/// A message from an upstream to the agent on its VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum UpstreamMessage {
    /// A periodic report of its state. The first one registers it.
    Heartbeat(Box<UpstreamState>),
    /// The upstream is shutting down.
    Deregister {
        /// The name under which it registered.
        id: String,
    },
}

/// Decodes a message of an upstream from the method, the path and the body of
/// its request. Returns `None` if method and path do not belong to a message,
/// and an error that says what is wrong if the body is malformed.
pub type DecodeUpstreamMessage =
    fn(&str, &str, &[u8]) -> Option<Result<UpstreamMessage, String>>;

/// The settings and dependencies of an entry.
#[derive(Clone)]
pub struct EntryConfig {
    /// The settings of the process.
    pub deployment: Deployment,
    /// The platform's store.
    pub kv: Arc<dyn Kv>,
    /// The clock of the process.
    pub clock: Arc<dyn Clock>,
    /// The key in the store that holds the catalogue.
    pub catalog_key: &'static str,
    /// Decodes the value of `catalog_key`.
    pub decode_catalog: DecodeCatalog,
    /// The prefix of the keys in the store that request the drain of a failure
    /// domain.
    pub drain_prefix: &'static str,
    /// Decodes the name of the failure domain from such a key.
    pub decode_drain: DecodeDrain,
    /// Decodes the requests of callers and encodes the answers.
    pub caller_codec: Arc<dyn CallerCodec<Call = Call, Answer = Answer>>,
}

/// The settings and dependencies of an agent.
#[derive(Clone)]
pub struct AgentConfig {
    /// The settings of the process.
    pub deployment: Deployment,
    /// The platform's store.
    pub kv: Arc<dyn Kv>,
    /// The clock of the process.
    pub clock: Arc<dyn Clock>,
    /// Makes the calls to the upstream.
    pub runner: Arc<dyn Runner>,
    /// Decodes the messages of the upstream.
    pub decode_upstream_message: DecodeUpstreamMessage,
}
