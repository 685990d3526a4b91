//! Runs sites of real processes under random faults and checks what callers
//! and upstreams observe against the promises to users. A seed always gives
//! the same plan of faults. It also seeds the random choices of the callers,
//! whose requests in addition depend on the answers they get.

use std::{
    fmt,
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
mod http;
mod plan;
mod restarts;
mod round;
mod signals;
mod writer;

use plan::{Profile, Size};

/// The rounds that have failed before, one a line: the profile, the seed and
/// the cause.
const REGRESSIONS: &str = include_str!("../regressions.txt");

const HELP: &str = "\
figrill-soak: real processes under random faults

  --seeds N        number of seeds to run [default: 1]
  --first S        first seed [default: 1]
  --minutes M      run random seeds for M minutes instead
  --faults F       basic, writer (of status reports and records that are not
                   the site's), signals (in series that overlap), restarts
                   (of upstreams under their old ids, with calls that reach
                   the next incarnation), drains (of failure domains, beside
                   basic faults), or all [default: basic]
  --regressions    first run the seeds that have failed before, each with its
                   own faults
  --processes P    processes of a site [default: 6 to 12, by the seed]
  --parallel K     sites that run at the same time [default: 1]
  --program FILE   program to test [default: figrill beside this one]
";

/// An error in the arguments.
#[derive(Debug, Display)]
enum UsageError {
    /// {0}
    Flags(lexopt::Error),
    /// unknown faults: {0}
    Profile(String),
    /// no program at {0}: build it, or pass its path with --program
    NoProgram(String),
}

/// The faults and the seed of a round.
#[derive(Clone, Copy, Debug)]
struct Round {
    profile: Profile,
    seed: u64,
}

impl fmt::Display for Round {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.profile, self.seed)
    }
}

struct Args {
    rounds: Vec<Round>,
    profile: Profile,
    minutes: Option<u64>,
    size: Size,
    parallel: usize,
    program: PathBuf,
}

fn regressions() -> impl Iterator<Item = Round> {
    REGRESSIONS.lines().filter_map(|line| {
        let mut words = line.split(' ');
        let profile = Profile::parse(words.next()?)?;
        let seed = words.next()?.parse().ok()?;
        Some(Round { profile, seed })
    })
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
    let mut profile = Profile::Basic;
    let mut parallel = 1;
    let mut program = std::env::current_exe().unwrap_or_default();
    program.set_file_name("figrill");
    let flags = UsageError::Flags;
    while let Some(arg) = parser.next().map_err(flags)? {
        match arg {
            Arg::Long("seeds") => count = number(&mut parser)?,
            Arg::Long("first") => first = number(&mut parser)?,
            Arg::Long("minutes") => minutes = Some(number(&mut parser)?),
            Arg::Long("faults") => {
                let name = parser.value().map_err(flags)?;
                let name = name.string().map_err(flags)?;
                profile =
                    Profile::parse(&name).ok_or(UsageError::Profile(name))?;
            }
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
    let mut rounds: Vec<Round> = Vec::new();
    if replay {
        rounds.extend(regressions());
    }
    let seeds = first..first + count;
    rounds.extend(seeds.map(|seed| Round { profile, seed }));
    Ok(Some(Args {
        rounds,
        profile,
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
    let failed: Mutex<Vec<String>> = Mutex::default();
    let start = Instant::now();
    let end = args.minutes.map(|m| start + Duration::from_secs(m * 60));
    let next_round = || {
        let index = next.fetch_add(1, Ordering::Relaxed);
        match end {
            Some(end) => (Instant::now() < end).then(|| Round {
                profile: args.profile,
                seed: rand::random(),
            }),
            None => args.rounds.get(usize::try_from(index).ok()?).copied(),
        }
    };
    thread::scope(|scope| {
        for _ in 0..args.parallel {
            scope.spawn(|| {
                while let Some(round) = next_round() {
                    if !run_round(args, round) {
                        let failed = failed.lock();
                        failed
                            .unwrap_or_else(PoisonError::into_inner)
                            .push(round.to_string());
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
fn run_round(args: &Args, round: Round) -> bool {
    let start = Instant::now();
    let Round { profile, seed } = round;
    let result = round::run(&args.program, seed, args.size, profile);
    let elapsed_s = start.elapsed().as_secs_f64();
    match result {
        Ok(report) if report.violations.is_empty() => {
            println!("seed {round}: {} ({elapsed_s:.1} s)", report.summary);
            true
        }
        Ok(report) => {
            println!("seed {round}: BROKEN, logs in {}", report.logs);
            println!("  {}", report.summary);
            for line in report.plan.iter().chain(&report.violations) {
                println!("  {line}");
            }
            false
        }
        Err(e) => {
            println!("seed {round}: the site could not be run: {e}");
            false
        }
    }
}
