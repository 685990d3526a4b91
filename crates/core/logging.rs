//! The setup of logging.
//!
//! Processes on the platform log to the standard output. All other commands
//! log to the standard error stream, as scripts may read their output.

use std::str::FromStr;

use log::LevelFilter;
use simplelog::{ConfigBuilder, WriteLogger};

use crate::{exit::CommandError, log_lines::LogWriter};

/// The stream that logs are written to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogStream {
    /// The standard output.
    Stdout,
    /// The standard error stream, if scripts may read the standard output.
    Stderr,
}

/// Starts logging at a level such as `info`.
///
/// # Errors
///
/// Returns [`CommandError::Usage`] if there is no such level, or if the thread
/// that writes the log can't be started.
pub fn start(level: &str, stream: LogStream) -> Result<(), CommandError> {
    let filter = parse_level(level)?;
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        // Log only figrill's own targets. Libraries may log data from the
        // wire, which can include a token.
        .add_filter_allow_str("figrill")
        .build();
    // If logging was already started, the existing logger stays in place.
    let _ = match stream {
        LogStream::Stdout => {
            let writer = LogWriter::start(std::io::stdout())
                .map_err(|e| CommandError::Usage(e.to_string()))?;
            WriteLogger::init(filter, config, writer)
        }
        LogStream::Stderr => {
            WriteLogger::init(filter, config, std::io::stderr())
        }
    };
    Ok(())
}

/// Changes the level of the running logger. It can't exceed the level that
/// logging was started with.
///
/// # Errors
///
/// Returns [`CommandError::Usage`] if there is no such level.
pub fn set_max_level(level: &str) -> Result<(), CommandError> {
    log::set_max_level(parse_level(level)?);
    Ok(())
}

fn parse_level(level: &str) -> Result<LevelFilter, CommandError> {
    LevelFilter::from_str(level).map_err(|_| {
        CommandError::Usage(format!(
            "log level {level}: write off, error, warn, info or debug"
        ))
    })
}
