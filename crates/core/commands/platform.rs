//! The processes of a site on the users' platform.

use std::{sync::Arc, thread, time::Duration};

use figrill_node::fleet::{
    AgentParts, EntryParts, FromUpstream, agent::FleetAgent, entry::FleetEntry,
};
use figrill_node::metrics::Journal;
use figrill_platform::{
    callers::PlatformCallers,
    configuration,
    store::PlatformStore,
    upstream::{PlatformRunner, Told, told},
};
use figrill_state::{
    clock::BoottimeClock, deployment::Deployment, event::Code,
};
use log::LevelFilter;
use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    iterator::Signals,
};

use crate::{
    exit::{CommandError, Exit},
    logging,
};

use super::{read_file, role::failed};

/// The most that a process logs; the settings may ask for less.
const MOST: LevelFilter = LevelFilter::Debug;

/// How long an answer may be on its way after the process is done.
const LINGER: Duration = Duration::from_millis(20);

/// The settings of a process, and the file that they came from.
pub struct Settings {
    /// What was read.
    pub deployment: Deployment,
    /// Where.
    pub file: String,
}

/// Starts logging as the settings ask for.
///
/// # Errors
///
/// [`CommandError::Usage`] if there is no such level.
pub fn start_logging(level: &str) -> Result<(), CommandError> {
    logging::start(MOST.as_str(), logging::Out::Stdout)?;
    logging::limit(level)
}

/// Runs an entry until it is told to stop and has drained.
///
/// # Errors
///
/// [`CommandError::Usage`] if it cannot listen.
pub fn entry(settings: Settings) -> Result<Exit, CommandError> {
    let signals = signals()?;
    let deployment = settings.deployment.clone();
    let parts = EntryParts {
        kv: Arc::new(PlatformStore::new(&deployment.store)),
        deployment,
        clock: Arc::new(BoottimeClock),
        catalog_key: configuration::KEY,
        decode_catalog: configuration::decode,
        callers: Arc::new(PlatformCallers),
    };
    let entry = FleetEntry::start(&parts).map_err(failed)?;
    follow_signals(signals, settings, entry.journal(), entry.drainer())?;
    entry.join();
    std::thread::sleep(LINGER);
    Ok(Exit::Done)
}

/// Runs an agent until it is told to stop.
///
/// # Errors
///
/// [`CommandError::Usage`] if it cannot listen.
pub fn agent(settings: Settings) -> Result<Exit, CommandError> {
    let signals = signals()?;
    let deployment = settings.deployment.clone();
    let parts = AgentParts {
        kv: Arc::new(PlatformStore::new(&deployment.store)),
        deployment,
        clock: Arc::new(BoottimeClock),
        runner: Arc::new(PlatformRunner::default()),
        decode_upstream: |method, path, body| {
            told(method, path, body).map(|told| told.map(from_upstream))
        },
    };
    let agent = FleetAgent::start(&parts).map_err(failed)?;
    follow_signals(signals, settings, agent.journal(), agent.drainer())?;
    agent.join();
    std::thread::sleep(LINGER);
    Ok(Exit::Done)
}

fn signals() -> Result<Signals, CommandError> {
    Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(failed)
}

/// Stops the process on a signal that asks for it, and reads the settings
/// again on the one that says that they have changed.
fn follow_signals(
    mut signals: Signals,
    mut settings: Settings,
    journal: Journal,
    drain: impl Fn() + Send + 'static,
) -> Result<(), CommandError> {
    thread::Builder::new()
        .name("signal".to_owned())
        .spawn(move || {
            for signal in signals.forever() {
                if signal == SIGHUP {
                    reload(&mut settings, &journal);
                } else {
                    drain();
                }
            }
        })
        .map(|_| ())
        .map_err(failed)
}

/// Adopts the level of the log. Addresses hold for a process's whole life:
/// another one takes a restart, and the log says so.
fn reload(settings: &mut Settings, journal: &Journal) {
    let read = read_file(&settings.file).and_then(|text| {
        Deployment::parse(&text, &settings.file).map_err(failed)
    });
    let new = match read {
        Ok(new) => new,
        Err(e) => {
            journal.record_event(Code::SettingsRefused, format!("why={e}"));
            return;
        }
    };
    if let Err(e) = logging::limit(&new.log_level) {
        journal.record_event(Code::SettingsRefused, format!("why={e}"));
    }
    let same = Deployment {
        log_level: new.log_level.clone(),
        ..settings.deployment.clone()
    } == new;
    let detail = format!("log_level={} restart={}", new.log_level, !same);
    journal.record_event(Code::ProcessReloaded, detail);
    settings.deployment.log_level = new.log_level;
}

fn from_upstream(told: Told) -> FromUpstream {
    match told {
        Told::Heartbeat(upstream) => {
            FromUpstream::Heartbeat(Box::new(upstream))
        }
        Told::Leaves { id } => FromUpstream::Leaves { id },
    }
}
