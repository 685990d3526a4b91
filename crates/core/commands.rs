//! The implementations of the commands, one module for each group.

use std::fs;

use crate::{
    args::Args,
    exit::{CommandError, Exit},
};

mod check;
mod dev;
mod job;
mod platform;
mod role;
mod settings;
mod site;
mod timeline;

/// Runs a command.
///
/// # Errors
///
/// Returns any [`CommandError`].
pub fn run(args: Args) -> Result<Exit, CommandError> {
    match args {
        Args::Dev {
            job,
            workers,
            json,
            log_level,
        } => dev::run(&job, workers, json, &log_level),
        Args::Entry { settings, set } => role::entry(&settings, &set),
        Args::Agent { settings, set } => role::agent(&settings, &set),
        Args::Check {
            file,
            against,
            accelerators,
            json,
        } => check::run(&file, against.as_deref(), accelerators, json),
        Args::SettingsCheck { file, json } => settings::check(&file, json),
        Args::SettingsShow {
            effective,
            file,
            remote,
            json,
        } => settings::show(
            effective.as_deref(),
            file.as_deref(),
            &remote,
            json,
        ),
        Args::SettingsApply {
            file,
            base,
            remote,
            json,
        } => settings::apply(&file, base, &remote, json),
        Args::SettingsHistory { remote, json } => {
            settings::history(&remote, json)
        }
        Args::SettingsDigest { file } => settings::digest(&file),
        Args::SettingsReference => {
            outln!(
                "{}",
                figrill_state::settings::schema::reference().trim_end()
            );
            Ok(Exit::Done)
        }
        Args::JobSubmit {
            file,
            wait,
            remote,
            json,
        } => job::submit(&file, wait, &remote, json),
        Args::JobWait {
            job,
            wait,
            remote,
            json,
        } => job::wait(&job, wait, &remote, json),
        Args::JobCancel { job, remote, json } => {
            job::cancel(&job, &remote, json)
        }
        Args::Status { remote, json } => site::status(&remote, json),
        Args::Drain { remote, json } => site::drain(&remote, json),
        Args::Timeline {
            job,
            format,
            out,
            remote,
        } => timeline::run(job.as_deref(), format, out.as_deref(), &remote),
    }
}

/// Reads a text file.
///
/// # Errors
///
/// Returns [`CommandError::Usage`] with the file's name and the cause.
pub fn read_file(path: &str) -> Result<String, CommandError> {
    fs::read_to_string(path)
        .map_err(|e| CommandError::Usage(format!("{path}: {e}")))
}
