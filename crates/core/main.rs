//! The `figrill` command.

use std::process::ExitCode;

/// Prints a line. A reader that has gone away, as `head` does, is no error
/// of the command.
macro_rules! say {
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
        Ok(flags::Parsed::Run(raw)) => raw,
        Ok(flags::Parsed::Print(text)) => {
            say!("{}", text.trim_end());
            return ExitCode::SUCCESS;
        }
        Err(why) => {
            eprintln!("figrill: {why}");
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
