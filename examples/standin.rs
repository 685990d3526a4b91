//! Stand-ins for the platform's store and for upstreams, for tests and for
//! trying figrill by hand.

use std::{env, process::ExitCode};

fn main() -> ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    match figrill_standin::program::run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("standin: {why}");
            ExitCode::from(2)
        }
    }
}
