//! The `figrill` program: parses the command line, runs the command and turns
//! its result into an exit code.

use std::process::ExitCode;

/// Prints a line to the standard output. Unlike `println!` it ignores write
/// errors, so that a reader that closes the pipe early, such as `head`,
/// doesn't make the command fail.
macro_rules! outln {
    ($($arg:tt)*) => {{
        use std::io::Write as _;
        let _ = writeln!(std::io::stdout(), $($arg)*);
    }};
}

mod args;
mod client;
mod commands;
mod exit;
mod flags;
mod log_lines;
mod logging;

fn main() -> ExitCode {
    let raw = match flags::parse(lexopt::Parser::from_env()) {
        Ok(flags::Action::Run(raw)) => raw,
        Ok(flags::Action::Print(text)) => {
            outln!("{}", text.trim_end());
            return ExitCode::SUCCESS;
        }
        Err(message) => {
            eprintln!("figrill: {message}");
            return exit::Exit::Usage.into();
        }
    };
    match args::resolve(&raw).and_then(commands::run) {
        Ok(exit) => exit.into(),
        Err(e) => {
            eprintln!("figrill: {e}");
            e.exit().into()
        }
    }
}
