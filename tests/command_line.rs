//! Tests of the command line as operators and scripts use it.

use std::process::{Command, Output};

use figrill_standin::site::OPERATOR_TOKEN;

use crate::util::{figrill, plan};

fn run(args: &[&str]) -> Output {
    Command::new(figrill())
        .args(args)
        .env_remove("FIGRILL_ENTRY")
        .env_remove("FIGRILL_TOKEN")
        .output()
        .expect("figrill runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn usage_errors_name_the_mistake_and_the_closest_match() {
    struct Case {
        args: &'static [&'static str],
        expected: &'static str,
    }
    let cases = [
        Case {
            args: &["stats"],
            expected: "did you mean status?",
        },
        Case {
            args: &["settings", "aply"],
            expected: "settings apply",
        },
        Case {
            args: &["status", "--jsn"],
            expected: "did you mean --json?",
        },
        Case {
            args: &["status", "--base", "1"],
            expected: "no flag --base",
        },
        Case {
            args: &["dev"],
            expected: "dev needs --job",
        },
        Case {
            args: &["settings", "check"],
            expected: "takes 1 operands",
        },
        Case {
            args: &["timeline", "--format", "pdf"],
            expected: "write text, json or html",
        },
    ];
    for case in cases {
        let output = run(case.args);
        let err = text(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{err}");
        assert!(err.contains(case.expected), "{:?}: {err}", case.args);
    }
}

#[test]
fn every_command_has_help_with_an_example() {
    let overview = text(&run(&["--help"]).stdout);
    let listed = overview.split("COMMANDS").nth(1).unwrap_or_default();
    let listed = listed.split("\n\n").next().unwrap_or_default();
    let mut commands = 0;
    for line in listed.lines().filter(|l| l.starts_with("  ")) {
        let path: Vec<&str> = line[..22].split_whitespace().collect();
        let mut args = path.clone();
        args.push("--help");
        let help = text(&run(&args).stdout);
        assert!(help.contains("EXAMPLE"), "{path:?}: {help}");
        commands += 1;
    }
    assert!(commands >= 15, "{overview}");
}

#[test]
fn dev_runs_the_rounds_and_checks_the_answer() {
    let output = run(&["dev", "--job", "examples/rounds.json"]);
    let out = text(&output.stdout);
    assert!(output.status.success(), "{out} {}", text(&output.stderr));
    assert!(out.contains("4 parts"), "{out}");
    assert!(
        out.contains("checked: whole answer, digest, 4 rounds"),
        "{out}"
    );
}

site_test!(
    an_operator_follows_a_job_with_the_command_line,
    plan(),
    |site| {
        let entry = format!("http://{}", site.entries[0].http);
        let token = site.dir.join("token");
        std::fs::write(&token, OPERATOR_TOKEN).expect("the token is written");
        let token = token.display().to_string();
        let run_on_site = |args: &[&str]| {
            let mut args = args.to_vec();
            args.extend(["--entry", &entry, "--token-file", &token]);
            run(&args)
        };
        let job = site.dir.join("job.json");
        let body = figrill_standin::caller::echo_job("a", 2, 5, "x");
        std::fs::write(&job, body.to_string()).expect("the job is written");
        let job = job.display().to_string();
        let output = run_on_site(&["job", "submit", &job, "--json"]);
        assert!(output.status.success(), "{}", text(&output.stderr));
        let body: serde_json::Value = serde_json::from_slice(&output.stdout)
            .expect("the output is JSON");
        let id = body["job"]
            .as_str()
            .expect("the answer contains the job's id")
            .to_owned();
        assert!(run_on_site(&["job", "show", &id]).status.success());
        let status = text(&run_on_site(&["status"]).stdout);
        assert!(status.contains("workers       2"), "{status}");
        let timeline = text(&run_on_site(&["timeline", "--job", &id]).stdout);
        for event in ["JobAccepted", "JobPlaced", "PartStarted", "GangDone"] {
            assert!(timeline.contains(event), "{event}: {timeline}");
        }
        let html =
            text(&run_on_site(&["timeline", "--format", "html"]).stdout);
        assert!(
            html.starts_with("<!doctype html>") && html.contains("agent-0")
        );
        let effective =
            run_on_site(&["settings", "show", "--effective", "workspace/a"]);
        assert!(text(&effective.stdout).contains("built in"));
        let history = text(&run_on_site(&["settings", "history"]).stdout);
        assert!(history.contains("bootstrap"), "{history}");
        let unknown = "0".repeat(32);
        let output = run_on_site(&["job", "show", &unknown]);
        assert_eq!(output.status.code(), Some(3), "{}", text(&output.stdout));
    }
);
