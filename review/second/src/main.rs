//! Runs one case of the second review. Its number is the first argument, and
//! the folder for `record.txt` the second one.
//!
//! The exit code is 1 if a rule was broken, 0 if it held, and 2 if the case
//! could not run. With `TROUBLE=0` in the environment, the case leaves out its
//! disruption.

use std::{env, panic, path::PathBuf, process::ExitCode, time::Duration};

mod cases;
mod deployment;
mod record;
mod rules;
mod store;

use deployment::CaseError;
use record::Record;

/// What a case has found.
enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken, in the way that the text says.
    Broken(String),
}

/// The time after which a case that still runs counts as one that could not.
const TIME_LIMIT: Duration = Duration::from_secs(115);

fn main() -> ExitCode {
    match panic::catch_unwind(run).unwrap_or_else(|_| Err("panic".into())) {
        Ok(Verdict::Held) => {
            println!("held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken(how)) => {
            println!("broken: {how}");
            ExitCode::from(1)
        }
        Err(e) => {
            eprintln!("the case could not run: {e}");
            ExitCode::from(2)
        }
    }
}

fn run() -> Result<Verdict, CaseError> {
    let mut args = env::args().skip(1);
    let name = args.next().unwrap_or_default();
    let folder = PathBuf::from(args.next().unwrap_or_else(|| ".".to_owned()));
    let trouble = env::var("TROUBLE").map_or(true, |v| v != "0");
    let record = Record::create(&folder.join("record.txt"))?;
    record.line(&format!("case {name} trouble={trouble}"));
    let verdict = cases::run(&name, trouble, &record)?;
    if record.elapsed() > TIME_LIMIT {
        return Err(format!("it took over {TIME_LIMIT:?}").into());
    }
    record.line(&match &verdict {
        Verdict::Held => "verdict: held".to_owned(),
        Verdict::Broken(how) => format!("verdict: broken: {how}"),
    });
    Ok(verdict)
}
