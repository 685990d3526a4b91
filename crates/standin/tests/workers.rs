//! Tests of the test double of the platform's upstreams.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

use figrill_standin::platform::workers::Workers;
use serde_json::{Value, json};

/// The number of threads that start runs, and of those that take snapshots.
const THREADS: u64 = 4;

/// The number of starts and of snapshots of each thread.
const CALLS_PER_THREAD: u64 = 150;

/// Makes a call to an upstream and returns the body of its answer.
fn call(url: &str, body: &Value) -> Value {
    let answer = ureq::post(url).send(body.to_string());
    let text = answer.and_then(|mut a| a.body_mut().read_to_string());
    serde_json::from_str(&text.expect("an answer")).expect("JSON")
}

/// Starts runs one after the other. Returns the upstream's clock in each
/// answer by task.
fn start_runs(url: &str, job: u64) -> Vec<(String, u64)> {
    let start = |index| {
        let task = format!("{job:016x}.0.0.{index}");
        let order = json!({
            "task": task, "run": 1, "spec": "ms=60000",
            "deadline_ms": 10_000, "fencing_token": 1,
        });
        let answer = call(&format!("{url}/-/run-start"), &order);
        (task, answer["clock_ms"].as_u64().expect("a clock"))
    };
    (0..CALLS_PER_THREAD).map(start).collect()
}

/// Takes snapshots one after the other. Returns the upstream's clock and the
/// active tasks of each.
fn take_snapshots(url: &str) -> Vec<(u64, BTreeSet<String>)> {
    let take = |_| {
        let order = json!({"fencing_token": 1, "wait_ms": 0});
        let answer = call(&format!("{url}/-/hold"), &order);
        let running = answer["running"].as_array().expect("the active runs");
        let task = |r: &Value| r[0].as_str().expect("a task").to_owned();
        let clock_ms = answer["clock_ms"].as_u64().expect("a clock");
        (clock_ms, running.iter().map(task).collect())
    };
    (0..CALLS_PER_THREAD).map(take).collect()
}

/// The scheduler takes a run as lost if a snapshot with a later clock than
/// the answer to its start does not list it. An upstream that reads its clock
/// before it waits for the lock of its state breaks this: a snapshot gets the
/// lock first with the later time, and the start follows with the earlier one.
#[test]
fn a_snapshot_lists_the_runs_that_started_before_its_clock() {
    let workers = Workers::start().expect("threads");
    // No agent listens there, and the upstream does not need one.
    let agent = SocketAddr::from(([127, 0, 0, 1], 9));
    workers.add("agent-0", "rack-0", agent).expect("an address");
    let address = workers.pool().nodes["agent-0"].upstream.address.clone();
    let url = format!("http://{address}");
    let mut started_at_ms: BTreeMap<String, u64> = BTreeMap::new();
    let mut snapshots = Vec::new();
    thread::scope(|scope| {
        let url = &url;
        let starting: Vec<_> = (0..THREADS)
            .map(|job| scope.spawn(move || start_runs(url, job + 1)))
            .collect();
        let polling: Vec<_> = (0..THREADS)
            .map(|_| scope.spawn(move || take_snapshots(url)))
            .collect();
        for thread in starting {
            started_at_ms.extend(thread.join().expect("starts"));
        }
        for thread in polling {
            snapshots.extend(thread.join().expect("snapshots"));
        }
    });
    for (clock_ms, tasks) in snapshots {
        let missing = started_at_ms
            .iter()
            .find(|(task, at)| **at < clock_ms && !tasks.contains(*task));
        assert_eq!(missing, None, "not listed at {clock_ms} ms");
    }
}

// Guards against an upstream that outlives its site, and reports to an agent of
// a later one at the same address.
#[test]
fn an_ended_upstream_reports_to_nobody_and_refuses_calls() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
    let agent = listener.local_addr().expect("an address");
    let workers = Workers::start().expect("threads");
    workers.add("agent-0", "rack-0", agent).expect("an address");
    let address = workers.pool().nodes["agent-0"].upstream.address.clone();
    listener.accept().expect("a heartbeat");
    workers.end();
    // Reports that were on their way are over, and another one would be due.
    thread::sleep(Duration::from_secs(2));
    listener.set_nonblocking(true).expect("a listener");
    while listener.accept().is_ok() {}
    thread::sleep(Duration::from_secs(2));
    assert!(listener.accept().is_err(), "an ended upstream reports");
    assert!(TcpStream::connect(address).is_err(), "it takes calls");
}
