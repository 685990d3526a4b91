//! Tests of the test double of the platform's upstreams: calls that are held
//! up and carried out later, and upstreams that end silently.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use figrill_standin::platform::workers::{
    CallKind, Delay, Share, Successor, Workers,
};
use serde_json::{Value, json};

/// The time limit of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(200);

/// The name of the agent beside the upstream.
const AGENT: &str = "agent-0";

const TASK: &str = "0000000000000001.0.0.0";

fn one_upstream() -> Workers {
    let workers = Workers::start().expect("threads");
    // No agent listens there, and the upstream does not need one.
    let agent = SocketAddr::from(([127, 0, 0, 1], 9));
    workers.add(AGENT, "rack-0", agent).expect("an address");
    workers
}

/// Makes a call to the present incarnation. Returns the HTTP status, or why
/// there is no answer.
fn call(
    workers: &Workers,
    path: &str,
    body: &Value,
) -> Result<u16, ureq::Error> {
    let (id, heartbeat) = workers.last_heartbeat(AGENT);
    let address = heartbeat["addr"].as_str().expect("an address");
    let answer = ureq::post(format!("http://{address}{path}"))
        .config()
        .http_status_as_error(false)
        .proxy(None)
        .timeout_global(Some(CALL_TIMEOUT))
        .build()
        .header("x-expect-instance", id)
        .send(body.to_string());
    answer.map(|a| a.status().as_u16())
}

fn start(workers: &Workers) -> Result<u16, ureq::Error> {
    let order = json!({
        "task": TASK, "run": 1, "spec": "ms=60000",
        "deadline_ms": 1500, "fencing_token": 1,
    });
    call(workers, "/-/run-start", &order)
}

fn stop(workers: &Workers) -> Result<u16, ureq::Error> {
    let order = json!({"task": TASK, "run": 1, "fencing_token": 1});
    call(workers, "/-/run-stop", &order)
}

fn hold(workers: &Workers, acknowledged: u64) -> Result<u16, ureq::Error> {
    let order = json!({"fencing_token": 1, "ack_cursor": acknowledged});
    call(workers, "/-/hold", &order)
}

fn starts(workers: &Workers) -> usize {
    let pool = workers.pool();
    let started = |l: &&String| l.contains(&format!(" start {TASK}"));
    pool.trace.iter().filter(started).count()
}

fn assert_timeout(answer: Result<u16, ureq::Error>) {
    let error = answer.expect_err("no answer");
    assert!(matches!(error, ureq::Error::Timeout(_)), "{error}");
}

fn delay_starts(workers: &Workers, share: Share, duration: Option<Duration>) {
    let delay = Delay {
        starts: share,
        duration,
        ..Delay::default()
    };
    workers.delay_calls(AGENT, Some(delay));
}

#[test]
fn a_delayed_start_is_carried_out_by_the_next_life_of_the_same_id_only() {
    for (new_id, count) in [(false, 1), (true, 0)] {
        let workers = one_upstream();
        delay_starts(&workers, Share::All, None);
        assert_timeout(start(&workers));
        assert_eq!(workers.delayed_calls(AGENT), 1);
        assert_eq!(starts(&workers), 0);
        let successor = Successor {
            new_id,
            ..Successor::default()
        };
        workers.restart(AGENT, successor).expect("an address");
        workers.carry_out_delayed(AGENT);
        assert_eq!(starts(&workers), count, "{successor:?}");
        assert_eq!(workers.delayed_calls(AGENT), 0);
    }
}

#[test]
fn the_share_decides_which_calls_are_held_up() {
    let workers = one_upstream();
    delay_starts(&workers, Share::First, None);
    assert_timeout(start(&workers));
    assert_eq!(start(&workers).expect("an answer"), 200);
    assert_eq!(stop(&workers).expect("an answer"), 200);
    let delay = Delay {
        stops: Share::Every(2),
        acknowledgements: Share::All,
        ..Delay::default()
    };
    workers.delay_calls(AGENT, Some(delay));
    assert_eq!(stop(&workers).expect("an answer"), 200);
    assert_timeout(stop(&workers));
    assert_eq!(hold(&workers, 0).expect("an answer"), 200);
    assert_timeout(hold(&workers, 1));
    workers.delay_calls(AGENT, None);
    assert_eq!(hold(&workers, 1).expect("an answer"), 200);
    assert_eq!(workers.delayed_calls(AGENT), 3);
}

#[test]
fn a_delayed_call_is_carried_out_after_its_duration() {
    let duration = Duration::from_millis(600);
    let workers = one_upstream();
    delay_starts(&workers, Share::All, Some(duration));
    let sent = Instant::now();
    assert_timeout(start(&workers));
    assert_eq!(starts(&workers), 0);
    while starts(&workers) == 0 && sent.elapsed() < 2 * duration {
        thread::sleep(Duration::from_millis(5));
    }
    assert!(sent.elapsed() >= duration);
    assert_eq!(starts(&workers), 1);
}

#[test]
fn a_delayed_call_waits_for_the_next_life() {
    let workers = one_upstream();
    delay_starts(&workers, Share::All, Some(Duration::ZERO));
    workers.crash(AGENT);
    workers
        .restart(AGENT, Successor::default())
        .expect("an address");
    workers.end_silently(AGENT);
    assert_timeout(start(&workers));
    workers.carry_out_delayed(AGENT);
    assert_eq!(starts(&workers), 0);
    workers.start_after_silence(AGENT, false);
    assert_eq!(starts(&workers), 1);
    // The new incarnation is cut off.
    assert_timeout(hold(&workers, 0));
}

#[test]
fn a_call_whose_delay_is_not_over_is_not_carried_out_at_the_start() {
    let duration = Duration::from_millis(600);
    let workers = one_upstream();
    delay_starts(&workers, Share::All, Some(duration));
    assert_timeout(start(&workers));
    workers.restart_silently(AGENT, Duration::ZERO);
    assert_eq!(starts(&workers), 0);
    assert_eq!(workers.carried_out(), []);
    thread::sleep(2 * duration);
    assert_eq!(starts(&workers), 1);
    let [call] = workers.carried_out()[..] else {
        panic!("not one call: {:?}", workers.carried_out());
    };
    assert_eq!(call.kind, CallKind::Start);
    assert!(call.by_later && call.accepted && call.delay >= duration);
}

#[test]
fn a_call_of_the_same_life_or_with_a_low_token_does_not_count() {
    let workers = one_upstream();
    delay_starts(&workers, Share::All, None);
    assert_timeout(start(&workers));
    workers.delay_calls(AGENT, None);
    let order = json!({"fencing_token": 2, "ack_cursor": 0});
    assert_eq!(call(&workers, "/-/hold", &order).expect("an answer"), 200);
    workers.carry_out_delayed(AGENT);
    let [carried_out] = workers.carried_out()[..] else {
        panic!("not one call: {:?}", workers.carried_out());
    };
    assert!(!carried_out.by_later && !carried_out.accepted);
}

#[test]
fn a_silent_restart_refuses_no_connections() {
    let workers = one_upstream();
    workers.end_silently(AGENT);
    assert_timeout(hold(&workers, 0));
    workers.restart_silently(AGENT, CALL_TIMEOUT);
    assert_eq!(hold(&workers, 0).expect("an answer"), 200);
}
