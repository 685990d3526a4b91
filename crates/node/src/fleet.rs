//! The entry and the agent of a cell that keeps all scheduling state in the
//! platform's store.
//!
//! Each process is made of threads that are connected by bounded queues:
//!
//! | thread | task |
//! | --- | --- |
//! | `net` | all sockets |
//! | `caller` (several) | answers the requests of callers, one at a time |
//! | `catalog` | follows the operators' configuration |
//! | `lead` | campaigns for the coordinator's lease and drives the scheduler |
//! | `lease`, `commit`, `watch` | the coordinator's calls of the store |
//! | `hub` | handles the events on an entry's streams |
//! | `helper` (several) | calls of the store on behalf of other entries |
//! | `record`, `entries` | the records of this and all other entries |
//! | `hold` | an agent's long poll of its upstream |
//! | `order` (several) | an agent's starts and stops |

pub mod agent;
pub mod callers;
mod catalog;
pub mod entry;
mod lead;
mod mesh;
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

/// The time limit for a call of the store that no caller waits for.
pub(crate) const STORE_TIMEOUT: Duration = Duration::from_millis(1200);

/// The delay before a failed call of the store is retried.
pub(crate) const STORE_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Decodes the operators' configuration.
pub type DecodeCatalog = fn(&[u8]) -> Result<Catalog, String>;

/// A message from an upstream to the agent on its VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum UpstreamMessage {
    /// The regular report of its state, which also registers it.
    Heartbeat(Box<UpstreamState>),
    /// The upstream shuts down.
    Deregister {
        /// The name under which it registered.
        id: String,
    },
}

/// Decodes a message of an upstream from the method, the path and the body of
/// its request. Returns `None` if method and path denote no message.
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
    /// The key in the store that holds the operators' configuration.
    pub catalog_key: &'static str,
    /// Decodes the value of `catalog_key`.
    pub decode_catalog: DecodeCatalog,
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
    /// Makes the calls of the upstream.
    pub runner: Arc<dyn Runner>,
    /// Decodes the messages of the upstream.
    pub decode_upstream_message: DecodeUpstreamMessage,
}
