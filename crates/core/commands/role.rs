//! The `entry` and `agent` commands.

use std::{io::Error, sync::Arc, thread};

use figrill_node::{
    agent::{AgentProcess, UpstreamSource},
    config::Config,
    entry::EntryProcess,
};
use figrill_platform::store::PlatformStore;
use figrill_state::{
    boot::BootSettings,
    clock::SystemClock,
    deployment::{self, Deployment},
};
use figrill_transport::auth::Secret;
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};

use crate::{
    exit::{CommandError, Exit},
    logging,
};

use super::{platform, read_file};

/// Runs an entry until a signal stops it and it has drained.
///
/// # Errors
///
/// Returns [`CommandError::Usage`] if the settings are invalid or the entry
/// can't be started.
pub fn entry(
    settings: &str,
    set: &[(String, String)],
) -> Result<Exit, CommandError> {
    if let Some(settings) = read_deployment(settings)? {
        return platform::entry(settings);
    }
    let config = read_config(settings, set)?;
    let signals = signals()?;
    let entry = EntryProcess::start(config).map_err(usage_error)?;
    spawn_signal_handler(signals, entry.drain_fn())?;
    entry.join();
    Ok(Exit::Done)
}

/// Runs an agent until a signal stops it and it has drained.
///
/// # Errors
///
/// Returns [`CommandError::Usage`] if the settings are invalid or the agent
/// can't be started.
pub fn agent(
    settings: &str,
    set: &[(String, String)],
) -> Result<Exit, CommandError> {
    if let Some(settings) = read_deployment(settings)? {
        return platform::agent(settings);
    }
    let config = read_config(settings, set)?;
    let signals = signals()?;
    let agent = AgentProcess::start(&config, UpstreamSource::Announced)
        .map_err(usage_error)?;
    spawn_signal_handler(signals, agent.drain_fn())?;
    agent.join();
    Ok(Exit::Done)
}

/// Converts an error in the settings, or an error that prevents the start of a
/// process, to a usage error.
pub(super) fn usage_error(e: impl std::fmt::Display) -> CommandError {
    CommandError::Usage(e.to_string())
}

/// Reads the settings file and starts logging if the file has a `[platform]`
/// section. Returns `None` if it has none.
fn read_deployment(
    settings: &str,
) -> Result<Option<platform::Settings>, CommandError> {
    let text = read_file(settings)?;
    if !deployment::is_deployment(&text) {
        return Ok(None);
    }
    let deployment =
        Deployment::parse(&text, settings).map_err(usage_error)?;
    platform::start_logging(&deployment.log_level)?;
    for problem in &deployment.unfilled {
        log::warn!("{problem}");
    }
    Ok(Some(platform::Settings {
        deployment,
        file: settings.to_owned(),
    }))
}

fn signals() -> Result<Signals, CommandError> {
    Signals::new([SIGTERM, SIGINT]).map_err(|e: Error| usage_error(e))
}

/// Starts a thread that calls `drain` on each signal.
fn spawn_signal_handler(
    mut signals: Signals,
    drain: impl Fn() + Send + 'static,
) -> Result<(), CommandError> {
    thread::Builder::new()
        .name("signal".to_owned())
        .spawn(move || {
            for _ in signals.forever() {
                drain();
            }
        })
        .map(|_| ())
        .map_err(usage_error)
}

/// Reads a settings file without a `[platform]` section and the files it
/// names, and starts logging.
fn read_config(
    settings: &str,
    set: &[(String, String)],
) -> Result<Config, CommandError> {
    let text = read_file(settings)?;
    let boot =
        BootSettings::parse(&text, settings, set).map_err(usage_error)?;
    logging::start(&boot.log_level, logging::LogStream::Stderr)?;
    if boot.store.is_empty() {
        return Err(CommandError::Usage(format!(
            "{settings}: [process] needs a value for store, such as \
             http://10.0.0.1:2000"
        )));
    }
    let address = boot.store.trim_end_matches('/');
    let address = address.strip_prefix("http://").unwrap_or(address);
    let address = address.to_owned();
    let secret = read_file(&boot.peer_secret_file)?;
    let secret = Secret::parse(&secret).ok_or_else(|| {
        CommandError::Usage(format!(
            "{}: the secret must have at least 16 bytes",
            boot.peer_secret_file
        ))
    })?;
    Ok(Config {
        store: Arc::new(PlatformStore::new(&address)),
        boot,
        secret,
        clock: Arc::new(SystemClock::new()),
    })
}
