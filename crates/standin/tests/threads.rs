//! A test of the threads on which the test doubles answer calls.

use std::{collections::BTreeSet, fs, io};

use figrill_standin::platform::{client::Client, store};

/// The number of calls, one after the other.
const CALLS: usize = 100;

/// The maximum number of threads that answer them. A call may be received
/// before the thread that has answered the last one waits again.
const MAX_THREADS: usize = 10;

/// Returns the ids of the threads of this process that answer calls.
fn call_threads() -> io::Result<BTreeSet<String>> {
    let mut ids = BTreeSet::new();
    for thread in fs::read_dir("/proc/self/task")? {
        let thread = thread?;
        let name = fs::read_to_string(thread.path().join("comm"));
        // A thread that has ended meanwhile has no name.
        if name.is_ok_and(|n| n.trim() == "call") {
            ids.insert(thread.file_name().to_string_lossy().into_owned());
        }
    }
    Ok(ids)
}

// Guards against doubles that seem unresponsive on a busy machine, because
// each call waits until a new thread gets the processor.
#[test]
fn calls_one_after_the_other_start_no_thread_each() {
    let endpoint = store::open(&store::in_memory()).expect("an address");
    let client = Client::new("");
    let mut seen = BTreeSet::new();
    for _ in 0..CALLS {
        let path = "/-/kv-key?key=none";
        let answer = client.call("GET", endpoint.address, path, None);
        assert_eq!(answer.status, 404);
        seen.extend(call_threads().expect("the threads of this process"));
    }
    let left = call_threads().expect("the threads of this process");
    assert!(!left.is_empty(), "no thread waits for calls");
    assert!(seen.len() <= MAX_THREADS, "{} threads", seen.len());
}
