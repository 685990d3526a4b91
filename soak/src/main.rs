//! Runs sites of real processes under random faults and checks what callers
//! and upstreams observe against the promises to users. A seed always gives
//! the same plan of faults. It also seeds the random choices of the callers,
//! whose requests in addition depend on the answers they get.

use std::{
    path::PathBuf,
    process::ExitCode,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use displaydoc::Display;
use lexopt::{Arg, Parser, ValueExt};

mod callers;
mod checks;
mod faults;
mod plan;
mod round;

use plan::Size;

/// The seeds that have failed before, one a line, each followed by the cause.
const REGRESSIONS: &str = include_str!("../regressions.txt");

const HELP: &str = "\
figrill-soak: real processes under random faults

  --seeds N        number of seeds to run [default: 1]
  --first S        first seed [default: 1]
  --minutes M      run random seeds for M minutes instead
  --regressions    first run the seeds that have failed before
  --processes P    processes of a site [default: 6 to 12, by the seed]
  --parallel K     sites that run at the same time [default: 1]
  --program FILE   program to test [default: figrill beside this one]
";

/// An error in the arguments.
#[derive(Debug, Display)]
enum UsageError {
    /// {0}
    Flags(lexopt::Error),
    /// no program at {0}: build it, or pass its path with --program
    NoProgram(String),
}

struct Args {
    seeds: Vec<u64>,
    minutes: Option<u64>,
    size: Size,
    parallel: usize,
    program: PathBuf,
}

fn regressions() -> impl Iterator<Item = u64> {
    let seeds = REGRESSIONS.lines().map(|l| l.split(' ').next());
    seeds.filter_map(|w| w?.parse().ok())
}

fn number(parser: &mut Parser) -> Result<u64, UsageError> {
    let value = parser.value().map_err(UsageError::Flags)?;
    value.parse().map_err(UsageError::Flags)
}

fn args() -> Result<Option<Args>, UsageError> {
    let mut parser = Parser::from_env();
    let (mut count, mut first) = (1, 1);
    let (mut minutes, mut replay) = (None, false);
    let mut size = Size::FromSeed;
    let mut parallel = 1;
    let mut program = std::env::current_exe().unwrap_or_default();
    program.set_file_name("figrill");
    let flags = UsageError::Flags;
    while let Some(arg) = parser.next().map_err(flags)? {
        match arg {
            Arg::Long("seeds") => count = number(&mut parser)?,
            Arg::Long("first") => first = number(&mut parser)?,
            Arg::Long("minutes") => minutes = Some(number(&mut parser)?),
            Arg::Long("regressions") => replay = true,
            Arg::Long("processes") => {
                size = Size::Processes(
                    usize::try_from(number(&mut parser)?).unwrap_or(6),
                );
            }
            Arg::Long("parallel") => {
                parallel =
                    usize::try_from(number(&mut parser)?).unwrap_or(1).max(1);
            }
            Arg::Long("program") => {
                program = parser.value().map_err(flags)?.into();
            }
            Arg::Long("help") => return Ok(None),
            other => return Err(flags(other.unexpected())),
        }
    }
    if !program.is_file() {
        return Err(UsageError::NoProgram(program.display().to_string()));
    }
    let mut seeds: Vec<u64> = Vec::new();
    if replay {
        seeds.extend(regressions());
    }
    seeds.extend(first..first + count);
    Ok(Some(Args {
        seeds,
        minutes,
        size,
        parallel,
        program,
    }))
}

fn main() -> ExitCode {
    match args() {
        Ok(Some(args)) => run_seeds(&args),
        Ok(None) => {
            print!("{HELP}");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("figrill-soak: {e}");
            ExitCode::from(2)
        }
    }
}

/// Runs all seeds, up to `parallel` of them at the same time.
fn run_seeds(args: &Args) -> ExitCode {
    let next = AtomicU64::new(0);
    let failed: Mutex<Vec<u64>> = Mutex::default();
    let start = Instant::now();
    let end = args.minutes.map(|m| start + Duration::from_secs(m * 60));
    let next_seed = || {
        let index = next.fetch_add(1, Ordering::Relaxed);
        match end {
            Some(end) => (Instant::now() < end).then(rand::random),
            None => args.seeds.get(usize::try_from(index).ok()?).copied(),
        }
    };
    thread::scope(|scope| {
        for _ in 0..args.parallel {
            scope.spawn(|| {
                while let Some(seed) = next_seed() {
                    if !run_seed(args, seed) {
                        let failed = failed.lock();
                        failed
                            .unwrap_or_else(PoisonError::into_inner)
                            .push(seed);
                    }
                }
            });
        }
    });
    let failed = failed.into_inner().unwrap_or_else(PoisonError::into_inner);
    if failed.is_empty() {
        println!("soak: no promise broken");
        ExitCode::SUCCESS
    } else {
        println!("soak: failed seeds: {failed:?}");
        ExitCode::FAILURE
    }
}

/// Runs one seed. Returns `false` if a promise was broken or the site could
/// not be run.
fn run_seed(args: &Args, seed: u64) -> bool {
    let start = Instant::now();
    let result = round::run(&args.program, seed, args.size);
    let elapsed_s = start.elapsed().as_secs_f64();
    match result {
        Ok(report) if report.violations.is_empty() => {
            println!("seed {seed}: {} ({elapsed_s:.1} s)", report.summary);
            true
        }
        Ok(report) => {
            println!("seed {seed}: BROKEN, logs in {}", report.logs);
            for line in report.plan.iter().chain(&report.violations) {
                println!("  {line}");
            }
            false
        }
        Err(e) => {
            println!("seed {seed}: the site could not be run: {e}");
            false
        }
    }
}
