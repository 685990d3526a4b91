//! The processes of a site on the users' platform.

use std::{sync::Arc, time::Duration};

use figrill_node::fleet::{
    AgentParts, EntryParts, FromUpstream, agent::FleetAgent, entry::FleetEntry,
};
use figrill_platform::{
    callers::PlatformCallers,
    configuration,
    store::PlatformStore,
    upstream::{PlatformRunner, Told, told},
};
use figrill_state::{clock::BootClock, deployment::Deployment};

use crate::exit::{CommandError, Exit};

use super::role::{failed, on_signal, signals};

/// How long an answer may be on its way after the process is done.
const LINGER: Duration = Duration::from_millis(20);

/// Runs an entry until it is told to stop and has drained.
///
/// # Errors
///
/// [`CommandError::Usage`] if it cannot listen.
pub fn entry(deployment: Deployment) -> Result<Exit, CommandError> {
    let signals = signals()?;
    let parts = EntryParts {
        kv: Arc::new(PlatformStore::new(&deployment.store)),
        deployment,
        clock: Arc::new(BootClock),
        catalog_key: configuration::KEY,
        decode_catalog: configuration::decode,
        callers: Arc::new(PlatformCallers),
    };
    let entry = FleetEntry::start(&parts).map_err(failed)?;
    on_signal(signals, entry.drainer())?;
    entry.join();
    std::thread::sleep(LINGER);
    Ok(Exit::Done)
}

/// Runs an agent until it is told to stop.
///
/// # Errors
///
/// [`CommandError::Usage`] if it cannot listen.
pub fn agent(deployment: Deployment) -> Result<Exit, CommandError> {
    let signals = signals()?;
    let parts = AgentParts {
        kv: Arc::new(PlatformStore::new(&deployment.store)),
        deployment,
        clock: Arc::new(BootClock),
        runner: Arc::new(PlatformRunner::default()),
        decode_upstream: |method, path, body| {
            told(method, path, body).map(|told| told.map(from_upstream))
        },
    };
    let agent = FleetAgent::start(&parts).map_err(failed)?;
    on_signal(signals, agent.drainer())?;
    agent.join();
    std::thread::sleep(LINGER);
    Ok(Exit::Done)
}

fn from_upstream(told: Told) -> FromUpstream {
    match told {
        Told::Heartbeat(upstream) => {
            FromUpstream::Heartbeat(Box::new(upstream))
        }
        Told::Leaves { id } => FromUpstream::Leaves { id },
    }
}
