//! Tests of `figrill check` with the real program.

use std::{
    fs,
    process::{Command, Output},
};

use figrill_standin::platform::site::configuration;
use serde_json::{Value, json};

use crate::util::figrill;

/// An API key, which must not be printed.
const KEY: &str = "key-one-secret";

/// Writes two configurations and runs the check of the first against the
/// second, if there is one.
fn check(name: &str, new: &str, old: Option<&Value>, args: &[&str]) -> Output {
    let dir = std::env::temp_dir();
    let file = |kind: &str| {
        let pid = std::process::id();
        dir.join(format!("figrill-check-{pid}-{name}-{kind}.json"))
    };
    let (new_file, old_file) = (file("new"), file("old"));
    fs::write(&new_file, new).expect("the file can be written");
    let mut command = Command::new(figrill());
    command.arg("check").arg(&new_file).args(args);
    if let Some(old) = old {
        let text = old.to_string();
        fs::write(&old_file, text).expect("the file can be written");
        command.arg("--against").arg(&old_file);
    }
    let output = command.output().expect("figrill runs");
    for file in [new_file, old_file] {
        let _ = fs::remove_file(file);
    }
    output
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn push(value: &mut Value, item: Value) {
    value.as_array_mut().expect("it is a list").push(item);
}

/// A configuration with one change.
struct Case {
    name: &'static str,
    change: fn(&mut Value),
    code: i32,
    expected: &'static str,
}

const CASES: &[Case] = &[
    Case {
        name: "valid",
        change: |_| {},
        code: 0,
        expected: "version 7: 0 errors, 0 warnings\n",
    },
    Case {
        name: "hidden",
        change: |c| c["routes"][1]["prefix"] = json!("/q/"),
        code: 2,
        expected: "error: routes[0] \"q\": hidden by routes[1] \"urgent\"",
    },
    Case {
        name: "host",
        change: |c| c["routes"][1]["host"] = json!(""),
        code: 2,
        expected: "error: routes[1] \"urgent\": the host is empty",
    },
    Case {
        name: "prefix",
        change: |c| c["routes"][1]["prefix"] = json!("u/"),
        code: 2,
        expected: "prefix \"u/\" does not begin with /",
    },
    Case {
        name: "no-service",
        change: |c| c["routes"][1]["service"] = json!("svk"),
        code: 2,
        expected: "routes[1] \"urgent\": there is no service \"svk\"",
    },
    Case {
        name: "idle-service",
        change: |c| push(&mut c["services"], json!({"name": "idle"})),
        code: 0,
        expected: "warning: services[1] \"idle\": no route uses it",
    },
    Case {
        name: "names",
        change: |c| c["routes"][1]["name"] = json!("q"),
        code: 2,
        expected: "routes[1] \"q\": routes[0] has the same name",
    },
    Case {
        name: "keys",
        change: |c| {
            let tenant = json!({"name": "b", "api_keys": ["x", KEY]});
            push(&mut c["tenants"], tenant);
        },
        code: 2,
        expected: "error: tenants[1] \"b\": api_keys[1] is also \
                   tenants[0] \"a\" api_keys[0]",
    },
    Case {
        name: "empty-key",
        change: |c| push(&mut c["tenants"][0]["api_keys"], json!("")),
        code: 2,
        expected: "tenants[0] \"a\": api_keys[1] is empty",
    },
    Case {
        name: "key-twice",
        change: |c| push(&mut c["tenants"][0]["api_keys"], json!(KEY)),
        code: 0,
        expected: "warning: tenants[0] \"a\": api_keys[1] is also",
    },
    Case {
        name: "attempts",
        change: |c| c["routes"][0]["attempts"] = json!(0),
        code: 2,
        expected: "routes[0] \"q\": attempts is 0",
    },
    Case {
        name: "stretch",
        change: |c| c["routes"][0]["stretch"] = json!(0.5),
        code: 2,
        expected: "routes[0] \"q\": stretch is 0.5",
    },
    Case {
        name: "target",
        change: |c| c["routes"][0]["target_duration_ms"] = json!(-1),
        code: 2,
        expected: "routes[0] \"q\": target_duration_ms is -1",
    },
    Case {
        name: "guarantees",
        change: |c| c["tenants"][0]["guaranteed"]["gpu"] = json!(17),
        code: 2,
        expected: "guarantees of 17 accelerators together, of 16",
    },
];

/// Guards against each mistake that an entry would adopt.
#[test]
fn a_mistake_in_a_configuration_is_found() {
    for case in CASES {
        let mut new = configuration(7, &[KEY]);
        (case.change)(&mut new);
        let args = ["--accelerators", "16"];
        let output = check(case.name, &new.to_string(), None, &args);
        let out = text(&output.stdout);
        assert_eq!(output.status.code(), Some(case.code), "{out}");
        assert!(out.contains(case.expected), "{}: {out}", case.name);
        assert!(!out.contains(KEY), "{out}");
    }
}

#[test]
fn a_configuration_that_entries_refuse_is_reported_with_its_line() {
    let output = check("broken", "{\n\"version\": \"7\"}", None, &[]);
    assert_eq!(output.status.code(), Some(2));
    let err = text(&output.stderr);
    assert!(err.contains("line 2 column"), "{err}");
    let args = ["--accelerators", "many"];
    let output = check("usage", "{}", None, &args);
    assert_eq!(output.status.code(), Some(2));
    assert!(text(&output.stderr).contains("write a number"));
}

#[test]
fn differences_from_the_version_in_force_are_listed() {
    let old = configuration(7, &[KEY, "key-two-secret"]);
    let mut new = configuration(8, &[KEY, "key-three-secret", "key-four"]);
    new["routes"][0]["attempts"] = json!(3);
    new["routes"][1]["name"] = json!("fast");
    new["services"][0]["enforces_capacity"] = json!(true);
    new["tenants"][0]["guaranteed"]["gpu"] = json!(8);
    let output = check("differences", &new.to_string(), Some(&old), &[]);
    let out = text(&output.stdout);
    assert_eq!(output.status.code(), Some(0), "{out}");
    let changes: Vec<&str> = out
        .lines()
        .filter_map(|line| Some(line.split_once(": change: ")?.1))
        .collect();
    let expected = [
        "routes \"fast\": added",
        "routes \"q\": attempts: 2 -> 3",
        "routes \"urgent\": removed",
        "services \"svc\": enforces_capacity: false -> true",
        "tenants \"a\": guaranteed.gpu: 16 -> 8",
        "tenants \"a\": api_keys: 2 added, 1 removed",
    ];
    assert_eq!(changes, expected);
    assert!(out.ends_with("0 errors, 0 warnings, 6 changes\n"), "{out}");
    assert!(!out.contains("secret"), "{out}");
}

/// Guards against a configuration that the entries ignore for its version.
#[test]
fn a_version_that_is_not_higher_is_an_error_also_in_json() {
    let configuration = configuration(7, &[KEY]);
    let text = configuration.to_string();
    let output = check("version", &text, Some(&configuration), &["--json"]);
    assert_eq!(output.status.code(), Some(2));
    let found: Value =
        serde_json::from_slice(&output.stdout).expect("the output is JSON");
    let expected = json!({
        "version": 7,
        "findings": [{
            "severity": "error",
            "place": "version",
            "text": "7 is not higher than 7, so it is ignored",
        }],
        "differences": [],
    });
    assert_eq!(found, expected);
}
