//! Entry and agent where the platform's store holds every promise.
//!
//! | thread | duty |
//! | --- | --- |
//! | `net` | all sockets |
//! | `caller` (several) | each answers one caller at a time |
//! | `catalog` | keeps the operators' configuration |
//! | `lead` | takes the coordinator's lease and, with it, decides |
//! | `lease`, `commit`, `watch` | the coordinator's calls of the store |
//! | `hub` | what comes on an entry's streams |
//! | `helper` (several) | calls of the store for other entries |
//! | `record`, `entries` | who the entries are |
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
    runner::{Runner, Upstream},
};
use figrill_transport::http::{Answer, Call};

/// How long a call of the store may take where nobody waits for it.
pub(crate) const STORE_TIMEOUT: Duration = Duration::from_millis(1200);

/// Time before a call of the store that failed is made again.
pub(crate) const STORE_AGAIN: Duration = Duration::from_millis(150);

/// Reads the operators' configuration.
pub type DecodeCatalog = fn(&[u8]) -> Result<Catalog, String>;

/// What an upstream tells the agent beside it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FromUpstream {
    /// It lives.
    Heartbeat(Box<Upstream>),
    /// It ends now.
    Leaves {
        /// The name that it registered under.
        id: String,
    },
}

/// Reads what an upstream tells: method, path and body. `None` if the path
/// means nothing.
pub type DecodeUpstream =
    fn(&str, &str, &[u8]) -> Option<Result<FromUpstream, String>>;

/// What an entry is started with.
#[derive(Clone)]
pub struct EntryParts {
    /// Its settings.
    pub deployment: Deployment,
    /// The platform's store.
    pub kv: Arc<dyn Kv>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The key of the operators' configuration.
    pub catalog_key: &'static str,
    /// Reads the operators' configuration.
    pub decode_catalog: DecodeCatalog,
    /// How callers are read and answered.
    pub callers: Arc<dyn CallerCodec<Call = Call, Answer = Answer>>,
}

/// What an agent is started with.
#[derive(Clone)]
pub struct AgentParts {
    /// Its settings.
    pub deployment: Deployment,
    /// The platform's store.
    pub kv: Arc<dyn Kv>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The calls of the upstream.
    pub runner: Arc<dyn Runner>,
    /// Reads what the upstream tells.
    pub decode_upstream: DecodeUpstream,
}
