//! Runs a test double of the platform's store or of an upstream, for tests and
//! manual trials of figrill.

use std::{env, process::ExitCode};

fn main() -> ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    match figrill_standin::program::run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("standin: {e}");
            ExitCode::from(2)
        }
    }
}
