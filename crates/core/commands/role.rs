//! The processes of a site.

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

/// Runs an entry until it is told to stop and has drained.
///
/// # Errors
///
/// [`CommandError::Usage`] if the settings are wrong.
pub fn entry(
    settings: &str,
    set: &[(String, String)],
) -> Result<Exit, CommandError> {
    if let Some(settings) = deployment(settings)? {
        return platform::entry(settings);
    }
    let config = config(settings, set)?;
    let signals = signals()?;
    let entry = EntryProcess::start(config).map_err(failed)?;
    on_signal(signals, entry.drainer())?;
    entry.join();
    Ok(Exit::Done)
}

/// Runs an agent until it is told to stop and has drained.
///
/// # Errors
///
/// [`CommandError::Usage`] if the settings are wrong.
pub fn agent(
    settings: &str,
    set: &[(String, String)],
) -> Result<Exit, CommandError> {
    if let Some(settings) = deployment(settings)? {
        return platform::agent(settings);
    }
    let config = config(settings, set)?;
    let signals = signals()?;
    let agent = AgentProcess::start(&config, UpstreamSource::Announced)
        .map_err(failed)?;
    on_signal(signals, agent.drainer())?;
    agent.join();
    Ok(Exit::Done)
}

pub(super) fn failed(e: impl std::fmt::Display) -> CommandError {
    CommandError::Usage(e.to_string())
}

/// The settings, if they are for a platform whose store holds everything.
fn deployment(
    settings: &str,
) -> Result<Option<platform::Settings>, CommandError> {
    let text = read_file(settings)?;
    if !deployment::is_deployment(&text) {
        return Ok(None);
    }
    let deployment = Deployment::parse(&text, settings).map_err(failed)?;
    platform::start_logging(&deployment.log_level)?;
    Ok(Some(platform::Settings {
        deployment,
        file: settings.to_owned(),
    }))
}

fn signals() -> Result<Signals, CommandError> {
    Signals::new([SIGTERM, SIGINT]).map_err(|e: Error| failed(e))
}

fn on_signal(
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
        .map_err(failed)
}

fn config(
    settings: &str,
    set: &[(String, String)],
) -> Result<Config, CommandError> {
    let text = read_file(settings)?;
    let boot = BootSettings::parse(&text, settings, set).map_err(failed)?;
    logging::start(&boot.log_level, logging::Out::Stderr)?;
    if boot.store.is_empty() {
        return Err(CommandError::Usage(format!(
            "{settings}: [process] needs store, such as \
             http://10.0.0.1:2000"
        )));
    }
    let address = boot.store.trim_end_matches('/');
    let address = address.strip_prefix("http://").unwrap_or(address);
    let address = address.to_owned();
    let secret = read_file(&boot.peer_secret_file)?;
    let secret = Secret::parse(&secret).ok_or_else(|| {
        CommandError::Usage(format!(
            "{}: the secret needs at least 16 bytes",
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
