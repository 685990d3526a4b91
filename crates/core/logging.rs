//! Logs: of commands on the standard error stream, of processes on the
//! platform on the standard output.

use std::str::FromStr;

use log::LevelFilter;
use simplelog::{ConfigBuilder, WriteLogger};

use crate::{exit::CommandError, log_lines::Lines};

/// Where logs go.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Out {
    /// The standard output.
    Stdout,
    /// The standard error stream, where the output is for a script.
    Stderr,
}

/// Starts logging at a level such as `info`.
///
/// # Errors
///
/// [`CommandError::Usage`] if there is no such level.
pub fn start(level: &str, out: Out) -> Result<(), CommandError> {
    let filter = parse(level)?;
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        // Only the project's own events: libraries may log what they see
        // on the wire, and that could be a token.
        .add_filter_allow_str("figrill")
        .build();
    // A second start in one process keeps the first.
    let _ = match out {
        Out::Stdout => {
            let lines = Lines::start(std::io::stdout())
                .map_err(|e| CommandError::Usage(e.to_string()))?;
            WriteLogger::init(filter, config, lines)
        }
        Out::Stderr => WriteLogger::init(filter, config, std::io::stderr()),
    };
    Ok(())
}

/// Logs no more than `level` from now on.
///
/// # Errors
///
/// [`CommandError::Usage`] if there is no such level.
pub fn limit(level: &str) -> Result<(), CommandError> {
    log::set_max_level(parse(level)?);
    Ok(())
}

fn parse(level: &str) -> Result<LevelFilter, CommandError> {
    LevelFilter::from_str(level).map_err(|_| {
        CommandError::Usage(format!(
            "log level {level}: write off, error, warn, info or debug"
        ))
    })
}
