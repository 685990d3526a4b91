//! Tests of how an entry decides whether it reaches the store itself.

use std::time::Duration;

use figrill_coordination::store_path::StorePath;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_path_works_until_a_call_fails_and_again_after_an_answer() {
    let mut path = StorePath::new();
    assert!(path.works());
    assert!(!path.record(at(0), true));
    assert!(path.record(at(10), false));
    assert!(!path.works());
    assert!(!path.record(at(20), false));
    assert!(path.record(at(30), true));
    assert!(path.works());
}

#[test]
fn an_answer_to_a_call_sent_before_a_failed_one_changes_nothing() {
    let mut path = StorePath::new();
    assert!(path.record(at(100), false));
    assert!(!path.record(at(90), true));
    assert!(!path.works());
}

#[test]
fn a_failure_of_a_call_sent_before_an_answered_one_changes_nothing() {
    let mut path = StorePath::new();
    assert!(path.record(at(100), false));
    assert!(path.record(at(2000), true));
    assert!(!path.record(at(900), false));
    assert!(path.works());
}
