//! Tests of the callers' interface: access control, validation of requests,
//! polls and cancellation.
//!
//! Clients that send requests slowly, in part, too large or in great number
//! must not keep an entry from serving others.

use std::{
    io::{Read, Write},
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use figrill_standin::{
    caller::{Caller, echo_job},
    process::wait_for,
    site::OPERATOR_TOKEN,
};
use serde_json::json;

use crate::util::plan;

/// Returns settings with the workspaces `a` and `b` and the token
/// `token-of-a`, which gives access to workspace `a` only.
fn settings() -> String {
    let digest = figrill_state::digest::of_bytes(b"token-of-a");
    format!(
        "[workspace/a]\n[workspace/b]\n[token/a]\ndigest = {digest}\n\
         workspace = a\n"
    )
}

site_test!(
    a_token_gives_access_only_to_its_workspace,
    plan().settings(&settings()),
    |site| {
        struct Case {
            token: &'static str,
            method: &'static str,
            path: &'static str,
            body: String,
            status: u16,
        }
        let case = |token, method, path, body: &str, status| Case {
            token,
            method,
            path,
            body: body.to_owned(),
            status,
        };
        let job_a = echo_job("a", 1, 0, "x").to_string();
        let job_b = echo_job("b", 1, 0, "x").to_string();
        let cases = [
            case("token-of-a", "POST", "/v1/jobs", &job_a, 200),
            case("token-of-a", "POST", "/v1/jobs", &job_b, 403),
            case("wrong", "POST", "/v1/jobs", &job_a, 401),
            case("wrong", "GET", "/v1/status", "", 401),
            case("wrong", "GET", "/metrics", "", 401),
            case("wrong", "PUT", "/v1/settings?base=1&change=x", "", 401),
            case("token-of-a", "GET", "/v1/status", "", 403),
            case("token-of-a", "GET", "/v1/events", "", 403),
            case("token-of-a", "GET", "/v1/settings", "", 403),
            case("token-of-a", "POST", "/v1/drain", "", 403),
            case(OPERATOR_TOKEN, "GET", "/v1/status", "", 200),
            case(OPERATOR_TOKEN, "GET", "/metrics", "", 200),
            case(OPERATOR_TOKEN, "POST", "/v1/jobs", &job_b, 200),
            case(OPERATOR_TOKEN, "GET", "/v1/nothing", "", 404),
            case(OPERATOR_TOKEN, "GET", "/v1/jobs/no-id", "", 400),
        ];
        for case in cases {
            let url = format!("http://{}{}", site.entries[0].http, case.path);
            let answer =
                Caller::new(case.token).call(case.method, &url, &case.body);
            let what = format!("{} {}", case.method, case.path);
            assert_eq!(answer.status, case.status, "{what}: {}", answer.text);
        }
        // Tokens must not appear in any log.
        for entry in
            std::fs::read_dir(&site.dir).expect("the log directory exists")
        {
            let path = entry.expect("the log directory can be read").path();
            if path.extension().is_some_and(|e| e == "log") {
                let text =
                    std::fs::read_to_string(&path).expect("the log is text");
                assert!(!text.contains("token-of-a"), "{path:?}");
                assert!(!text.contains(OPERATOR_TOKEN), "{path:?}");
            }
        }
    }
);

site_test!(
    a_job_of_another_workspace_is_not_found,
    { plan().settings(&settings()) },
    |site| {
        let operator = Caller::new(OPERATOR_TOKEN);
        let caller = Caller::new("token-of-a");
        let answer = operator
            .run(&site.entry_addresses(), &echo_job("b", 1, 0, "secret"));
        let path = format!("/v1/jobs/{}", answer.job());
        let answer = caller.get(&site.entries[0].http, &path);
        assert_eq!(answer.status, 404, "{}", answer.text);
        assert!(!answer.text.contains("secret"));
    }
);

site_test!(invalid_requests_name_the_mistake, plan(), |site| {
    struct Case {
        body: String,
        expected: &'static str,
    }
    let case = |body: String, expected| Case { body, expected };
    let with = |key: &str, value: serde_json::Value| {
        let mut job = echo_job("a", 1, 0, "x");
        job[key] = value;
        job.to_string()
    };
    let cases = [
        case("{".to_owned(), "line 1 column 1"),
        case(with("inputs", json!([])), "inputs: give one for each"),
        case(with("shape", json!({"parts": 0})), "shape.parts"),
        case(with("shape", json!({"parts": 129})), "shape.parts"),
        case(with("deadline_s", json!(-1)), "deadline_s"),
        case(with("key", json!("")), "key: give 1 to"),
        case(with("clas", json!("urgent")), "unknown field `clas`"),
        case(with("workspace", json!("nobody")), "workspace nobody"),
    ];
    let url = format!("http://{}/v1/jobs", site.entries[0].http);
    for case in cases {
        let answer = site.operator.call("POST", &url, &case.body);
        assert!((400..500).contains(&answer.status), "{}", answer.text);
        assert_eq!(answer.outcome(), "not_run", "{}", answer.text);
        assert!(answer.text.contains(case.expected), "{}", answer.text);
    }
    assert!(site.starts().is_empty());
});

site_test!(
    a_job_that_never_fits_is_refused_on_submission,
    plan(),
    |site| {
        let mut job = echo_job("a", 1, 0, "x");
        job["shape"]["accelerators"] = json!(9);
        // Until all workers have reported, the job might fit a missing one.
        let answer = wait_for("a refusal", Duration::from_secs(10), || {
            let answer = site.operator.submit(&site.entries[0].http, &job);
            (answer.status == 422).then_some(answer)
        });
        assert_eq!(answer.outcome(), "not_run");
        assert_eq!(answer.body["reason"], "never_fits");
        assert!(site.starts().is_empty());
    }
);

site_test!(
    any_entry_answers_polls_for_a_long_job,
    { plan().entries(2) },
    |site| {
        let mut job = echo_job("a", 2, 1500, "long");
        job["wait_s"] = json!(0.1);
        let answer = site.operator.submit(&site.entries[0].http, &job);
        assert_eq!(answer.status, 202, "{}", answer.text);
        assert_eq!(answer.body["durable"], true);
        let other = [site.entries[1].http.clone()];
        let answer = site.operator.follow(&other, answer);
        assert_eq!(answer.outcome(), "done", "{}", answer.text);
        assert_eq!(answer.body["parts"][1]["p"], "long");
    }
);

site_test!(a_running_job_can_be_cancelled, plan(), |site| {
    let http = &site.entries[0].http;
    let mut job = echo_job("a", 2, 60_000, "x");
    job["wait_s"] = json!(0);
    let answer = site.operator.submit(http, &job);
    let id = answer.job().to_owned();
    wait_for("both parts to start", Duration::from_secs(10), || {
        (site.starts().len() == 2).then_some(())
    });
    let url = format!("http://{http}/v1/jobs/{id}");
    let answer = site.operator.call("DELETE", &url, "");
    assert_eq!(answer.outcome(), "failed", "{}", answer.text);
    assert_eq!(answer.body["reason"], "cancelled");
    let answer = site
        .operator
        .run(&site.entry_addresses(), &echo_job("a", 16, 0, "y"));
    assert_eq!(answer.outcome(), "done", "{}", answer.text);
});

site_test!(incomplete_requests_do_not_block_the_entry, plan(), |site| {
    let http = &site.entries[0].http;
    let idle: Vec<TcpStream> = (0..500)
        .map(|_| {
            let mut stream = TcpStream::connect(http)
                .expect("the entry accepts the connection");
            stream
                .write_all(b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\n")
                .expect("part of the request is sent");
            stream
        })
        .collect();
    for _ in 0..20 {
        let answer = site
            .operator
            .run(&site.entry_addresses(), &echo_job("a", 1, 0, "x"));
        assert_eq!(answer.outcome(), "done", "{}", answer.text);
    }
    // Each connection is closed by the time limit for request headers.
    let start = Instant::now();
    let mut stream = idle.into_iter().next().expect("at least one connection");
    stream
        .set_read_timeout(Some(Duration::from_secs(30)))
        .expect("the read timeout is set");
    let mut buf = Vec::new();
    let _ = stream.read_to_end(&mut buf);
    assert!(start.elapsed() < Duration::from_secs(20));
});

site_test!(oversized_and_slow_bodies_are_refused, plan(), |site| {
    let http = &site.entries[0].http;
    let mut stream =
        TcpStream::connect(http).expect("the entry accepts the connection");
    let headers = format!(
        "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {OPERATOR_TOKEN}\
         \r\nContent-Length: 99999999\r\n\r\n"
    );
    stream
        .write_all(headers.as_bytes())
        .expect("the headers are sent");
    let mut buf = [0; 64];
    let read = stream.read(&mut buf).expect("the entry answers");
    let line = String::from_utf8_lossy(&buf[..read]).into_owned();
    assert!(line.starts_with("HTTP/1.1 413"), "{line}");
    let mut slow =
        TcpStream::connect(http).expect("the entry accepts the connection");
    let headers = headers.replace("99999999", "1000");
    slow.write_all(headers.as_bytes())
        .expect("the headers are sent");
    let mut buf = [0; 64];
    let read = slow.read(&mut buf).expect("the entry answers");
    let line = String::from_utf8_lossy(&buf[..read]).into_owned();
    assert!(line.starts_with("HTTP/1.1 408"), "{line}");
});

site_test!(
    jobs_refused_over_the_queue_limit_never_run,
    { plan().settings("[workspace/a]\nqueue_limit = 50\n") },
    |site| {
        let http = site.entries[0].http.clone();
        let mut job = echo_job("a", 1, 30, &"x".repeat(20_000));
        job["shape"]["accelerators"] = json!(8);
        let callers: Vec<_> = (0..120)
            .map(|_| {
                let (http, job) = (http.clone(), job.clone());
                thread::spawn(move || {
                    Caller::new(OPERATOR_TOKEN).submit(&http, &job)
                })
            })
            .collect();
        let answers: Vec<_> = callers
            .into_iter()
            .map(|c| c.join().expect("the caller thread succeeds"))
            .collect();
        let starts = site.starts();
        let mut refused = 0;
        for answer in &answers {
            match answer.outcome() {
                "done" => {}
                "not_run" => {
                    refused += 1;
                    let job = answer.job();
                    assert!(!starts.iter().any(|s| s.starts_with(job)));
                }
                _ => panic!("{} {}", answer.status, answer.text),
            }
        }
        assert!(refused > 0);
    }
);

site_test!(an_address_in_use_is_reported_on_startup, plan(), |site| {
    let settings = site.settings_path(0).display().to_string();
    let output = std::process::Command::new(crate::util::figrill())
        .args(["entry", "--settings", &settings, "--set"])
        .arg(format!("http={}", site.entries[0].http))
        .output()
        .expect("figrill runs");
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains("cannot listen on"), "{text}");
});
