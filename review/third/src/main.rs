//! Runs one case of the third review: `figrill-review-third CASE PROGRAM
//! RECORD`, with the number of the case, the path of `figrill` and the file to
//! record in. The environment variable `TROUBLE=0` leaves the disruption out.
//!
//! The exit code is 0 if the rule held, 1 if it was broken, and 2 if the case
//! could not run.

use std::{env, path::PathBuf, process::ExitCode};

mod case_11;
mod case_12;
mod case_13;
mod case_14;
mod case_15;
mod installation;
mod jobs;
mod record;
mod worker;

use record::{Outcome, Record};

/// The exit code of a case that could not run.
const NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    let [case, program, file] = &args[..] else {
        eprintln!("usage: figrill-review-third CASE PROGRAM RECORD");
        return ExitCode::from(NOT_RUN);
    };
    let program = PathBuf::from(program);
    let trouble = env::var("TROUBLE").is_ok_and(|v| v == "0");
    let trouble = !trouble;
    let mut record = Record::new(PathBuf::from(file));
    record.note(&format!("case {case}, disruption: {trouble}"));
    let outcome = match case.as_str() {
        "11" => case_11::run(&program, trouble, &mut record),
        "12" => case_12::run(&program, trouble, &mut record),
        "13" => case_13::run(&program, trouble, &mut record),
        "14" => case_14::run(&program, trouble, &mut record),
        "15" => case_15::run(&program, trouble, &mut record),
        _ => Err("no such case".to_owned()),
    };
    let (text, code) = match outcome {
        Ok(Outcome::Held) => ("the rule held".to_owned(), 0),
        Ok(Outcome::Broken(why)) => (format!("the rule was broken: {why}"), 1),
        Err(why) => (format!("the case could not run: {why}"), NOT_RUN),
    };
    record.note(&text);
    println!("{text}");
    match record.write() {
        Ok(()) => ExitCode::from(code),
        Err(e) => {
            eprintln!("failed to write the record: {e}");
            ExitCode::from(NOT_RUN)
        }
    }
}
