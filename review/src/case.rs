//! The frame of a case's program: where things are, whether the disruption
//! takes place, and the exit code.

use std::{
    env,
    panic::{AssertUnwindSafe, catch_unwind},
    path::{Path, PathBuf},
    process::ExitCode,
};

use crate::record::Record;

/// What a case's program runs with.
pub struct Case {
    /// The `figrill` program.
    pub program: PathBuf,
    /// The folder of the case.
    pub dir: PathBuf,
    /// The record of the case.
    pub record: Record,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

/// What a case has shown.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken, in these ways.
    Broken(Vec<String>),
}

/// Runs a case. The first argument is its folder, and the working directory is
/// the root of the repository. Exits with 1 if the rule was broken, 0 if it
/// held, and 2 if the case could not run.
pub fn main(run: impl FnOnce(&Case) -> Result<Verdict, String>) -> ExitCode {
    let Some(dir) = env::args().nth(1) else {
        eprintln!("usage: CASE FOLDER");
        return ExitCode::from(2);
    };
    let record = match Record::create(&Path::new(&dir).join("record.txt")) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("record.txt: {e}");
            return ExitCode::from(2);
        }
    };
    let case = Case {
        program: PathBuf::from("target/release/figrill"),
        dir: PathBuf::from(dir),
        record: record.clone(),
        trouble: env::var("TROUBLE").as_deref() != Ok("0"),
    };
    record.line(&format!("disruption: {}", case.trouble));
    let verdict = catch_unwind(AssertUnwindSafe(|| run(&case)))
        .unwrap_or_else(|_| Err("the case panicked".to_owned()));
    let (code, text) = match verdict {
        Ok(Verdict::Held) => (0, "the rule held".to_owned()),
        Ok(Verdict::Broken(breaches)) => {
            (1, format!("the rule was broken\n{}", breaches.join("\n")))
        }
        Err(e) => (2, format!("the case could not run: {e}")),
    };
    for line in text.lines() {
        record.line(line);
        println!("{line}");
    }
    ExitCode::from(code)
}
