//! Benchmarks of figrill. `path` measures real processes, `policy` runs on a
//! virtual clock, and `capacity` does both.
//!
//! ```text
//! cargo run --release -p figrill-bench -- path
//! ```

use std::process::ExitCode;

mod baselines;
mod capacity;
mod mixes;
mod path;
mod policy;
mod pool;
mod report;
mod scale;
mod stats;

/// The command-line options.
#[derive(Clone, Debug)]
struct Options {
    bench: String,
    json: bool,
    seeds: Vec<u64>,
}

fn parse_options() -> Result<Options, String> {
    use lexopt::{Arg, ValueExt};
    let mut parser = lexopt::Parser::from_env();
    let mut options = Options {
        bench: String::new(),
        json: false,
        seeds: Vec::new(),
    };
    while let Some(arg) = parser.next().map_err(|e| e.to_string())? {
        match arg {
            Arg::Long("json") => options.json = true,
            Arg::Long("seed") => {
                let value = parser.value().map_err(|e| e.to_string())?;
                let seed = value.parse().map_err(|e| e.to_string())?;
                options.seeds.push(seed);
            }
            Arg::Value(name) if options.bench.is_empty() => {
                options.bench = name.string().map_err(|e| e.to_string())?;
            }
            other => return Err(other.unexpected().to_string()),
        }
    }
    if options.seeds.is_empty() {
        options.seeds = vec![1, 2, 3, 4, 5];
    }
    Ok(options)
}

fn main() -> ExitCode {
    let usage =
        "usage: figrill-bench path|policy|capacity [--json] [--seed N]";
    let result = parse_options().and_then(|options| {
        let table = match options.bench.as_str() {
            "path" => path::run(),
            "policy" => Ok(policy::run(&options.seeds)),
            "capacity" => capacity::run(),
            _ => Err(usage.to_owned()),
        };
        table.map(|table| table.print(options.json))
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("figrill-bench: {error}");
            ExitCode::from(2)
        }
    }
}
