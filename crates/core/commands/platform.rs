//! The `entry` and `agent` commands on the users' platform, where the settings
//! file has a `[platform]` section.

use std::{sync::Arc, thread, time::Duration};

use figrill_node::fleet::{
    AgentConfig, EntryConfig, UpstreamMessage, agent::FleetAgent,
    entry::FleetEntry,
};
use figrill_node::metrics::Journal;
use figrill_platform::{
    callers::PlatformCallerCodec,
    configuration, drain,
    store::PlatformStore,
    upstream::{PlatformRunner, RegistrationRequest, decode_registration},
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

use super::{read_file, role::usage_error};

/// The most detailed log level that the settings can select. The logger starts
/// with it, and the level from the settings is applied on top, as that one may
/// change while the process runs.
const MAX_LOG_LEVEL: LevelFilter = LevelFilter::Debug;

/// The pause before a drained process exits, so that answers still in transit
/// reach their callers.
const EXIT_DELAY: Duration = Duration::from_millis(20);

/// The settings of a process and the file that they were read from.
pub struct Settings {
    /// The settings.
    pub deployment: Deployment,
    /// The path of the file, for reloading.
    pub file: String,
}

/// Starts logging at the level from the settings.
///
/// # Errors
///
/// Returns [`CommandError::Usage`] if there is no such level.
pub fn start_logging(level: &str) -> Result<(), CommandError> {
    logging::start(MAX_LOG_LEVEL.as_str(), logging::LogStream::Stdout)?;
    logging::set_max_level(level)
}

/// Runs an entry until a signal stops it and it has drained.
///
/// # Errors
///
/// Returns [`CommandError::Usage`] if the process can't be started, for
/// example because it can't listen on an address.
pub fn entry(settings: Settings) -> Result<Exit, CommandError> {
    let signals = signals()?;
    let deployment = settings.deployment.clone();
    let config = EntryConfig {
        kv: Arc::new(PlatformStore::new(&deployment.store)),
        deployment,
        clock: Arc::new(BoottimeClock),
        catalog_key: configuration::KEY,
        decode_catalog: configuration::decode,
        drain_prefix: drain::PREFIX,
        decode_drain: drain::decode,
        caller_codec: Arc::new(PlatformCallerCodec),
    };
    let entry = FleetEntry::start(&config).map_err(usage_error)?;
    spawn_signal_handler(
        signals,
        settings,
        entry.journal(),
        entry.drain_fn(),
    )?;
    entry.join();
    std::thread::sleep(EXIT_DELAY);
    Ok(Exit::Done)
}

/// Runs an agent until a signal stops it. The runs at its upstream continue.
///
/// # Errors
///
/// Returns [`CommandError::Usage`] if the process can't be started, for
/// example because it can't listen on an address.
pub fn agent(settings: Settings) -> Result<Exit, CommandError> {
    let signals = signals()?;
    let deployment = settings.deployment.clone();
    let config = AgentConfig {
        kv: Arc::new(PlatformStore::new(&deployment.store)),
        deployment,
        clock: Arc::new(BoottimeClock),
        runner: Arc::new(PlatformRunner::default()),
        decode_upstream_message: |method, path, body| {
            decode_registration(method, path, body)
                .map(|request| request.map(to_upstream_message))
        },
    };
    let agent = FleetAgent::start(&config).map_err(usage_error)?;
    spawn_signal_handler(
        signals,
        settings,
        agent.journal(),
        agent.drain_fn(),
    )?;
    agent.join();
    std::thread::sleep(EXIT_DELAY);
    Ok(Exit::Done)
}

fn signals() -> Result<Signals, CommandError> {
    Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(usage_error)
}

/// Starts a thread that reloads the settings on SIGHUP and calls `drain` on
/// SIGTERM and SIGINT.
fn spawn_signal_handler(
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
        .map_err(usage_error)
}

/// Reloads the settings file and applies its log level. All other settings are
/// fixed while the process runs; if one of them has changed, the event reports
/// that a restart is required.
fn reload(settings: &mut Settings, journal: &Journal) {
    let result = read_file(&settings.file).and_then(|text| {
        Deployment::parse(&text, &settings.file).map_err(usage_error)
    });
    let new = match result {
        Ok(new) => new,
        Err(e) => {
            journal.record_event(Code::SettingsRefused, format!("why={e}"));
            return;
        }
    };
    if let Err(e) = logging::set_max_level(&new.log_level) {
        journal.record_event(Code::SettingsRefused, format!("why={e}"));
    }
    let unchanged = Deployment {
        log_level: new.log_level.clone(),
        ..settings.deployment.clone()
    } == new;
    let detail = format!("log_level={} restart={}", new.log_level, !unchanged);
    journal.record_event(Code::ProcessReloaded, detail);
    settings.deployment.log_level = new.log_level;
}

/// Converts a request to the type that the agent expects.
fn to_upstream_message(request: RegistrationRequest) -> UpstreamMessage {
    match request {
        RegistrationRequest::Heartbeat(upstream) => {
            UpstreamMessage::Heartbeat(Box::new(upstream))
        }
        RegistrationRequest::Deregister { id } => {
            UpstreamMessage::Deregister { id }
        }
    }
}
