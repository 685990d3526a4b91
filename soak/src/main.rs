//! Runs a site of real processes under random faults and checks what callers
//! and upstreams see against the promises. A seed gives the same plan of
//! faults and requests each time.

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

/// Seeds that failed once, each with a line on the cause.
const REGRESSIONS: &str = include_str!("../regressions.txt");

const HELP: &str = "\
figrill-soak: real processes under random faults

  --seeds N        how many seeds to play [default: 1]
  --first S        the first of them [default: 1]
  --minutes M      play fresh seeds for so long instead
  --regressions    play the seeds that failed once before, first
  --processes P    processes of a site [default: drawn, 6 to 12]
  --parallel K     sites at the same time [default: 1]
  --program FILE   the program [default: figrill beside this one]
";

/// Why the soak could not begin.
#[derive(Debug, Display)]
enum UsageError {
    /// {0}
    Flags(lexopt::Error),
    /// there is no program at {0}: build it, or name it with --program
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
    let words = REGRESSIONS.lines().map(|l| l.split(' ').next());
    words.filter_map(|w| w?.parse().ok())
}

fn number(parser: &mut Parser) -> Result<u64, UsageError> {
    let value = parser.value().map_err(UsageError::Flags)?;
    value.parse().map_err(UsageError::Flags)
}

fn args() -> Result<Option<Args>, UsageError> {
    let mut parser = Parser::from_env();
    let (mut count, mut first) = (1, 1);
    let (mut minutes, mut replay) = (None, false);
    let mut size = Size::Drawn;
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
        Ok(Some(args)) => play(&args),
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

/// Plays all seeds, some at the same time.
fn play(args: &Args) -> ExitCode {
    let next = AtomicU64::new(0);
    let failed: Mutex<Vec<u64>> = Mutex::default();
    let begun = Instant::now();
    let end = args.minutes.map(|m| begun + Duration::from_secs(m * 60));
    let take = || {
        let place = next.fetch_add(1, Ordering::Relaxed);
        match end {
            Some(end) => (Instant::now() < end).then(rand::random),
            None => args.seeds.get(usize::try_from(place).ok()?).copied(),
        }
    };
    thread::scope(|scope| {
        for _ in 0..args.parallel {
            scope.spawn(|| {
                while let Some(seed) = take() {
                    if !play_seed(args, seed) {
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

/// Plays one seed; `false` if a promise was broken.
fn play_seed(args: &Args, seed: u64) -> bool {
    let begun = Instant::now();
    let result = round::play(&args.program, seed, args.size);
    let took = begun.elapsed().as_secs_f64();
    match result {
        Ok(report) if report.broken.is_empty() => {
            println!("seed {seed}: {} ({took:.1} s)", report.summary);
            true
        }
        Ok(report) => {
            println!("seed {seed}: BROKEN, logs in {}", report.logs);
            for line in report.plan.iter().chain(&report.broken) {
                println!("  {line}");
            }
            false
        }
        Err(e) => {
            println!("seed {seed}: the site did not start: {e}");
            false
        }
    }
}
