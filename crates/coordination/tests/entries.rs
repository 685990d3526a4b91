//! Whom an entry asks before it says that a job does not run.

use std::time::Duration;

use figrill_coordination::entries::{
    Entries, LATE_WRITE_WINDOW, UnconfirmedWrites, WriteResult,
};
use figrill_state::batch::BatchId;

const JOB: BatchId = BatchId(7);

fn at(s: u64) -> Duration {
    Duration::from_secs(s)
}

fn named(names: &[&str]) -> Vec<(String, String)> {
    let address = |n: &&str| ((*n).to_owned(), format!("{n}:1"));
    names.iter().map(address).collect()
}

#[test]
fn nobody_is_ruled_out_before_the_store_has_named_all() {
    let mut entries: Entries<u32> = Entries::new("a");
    assert_eq!(entries.peers_to_query(at(1)), None);
    entries.set_all(at(1), &named(&["a"]));
    assert_eq!(entries.peers_to_query(at(1)), Some(vec![]));
}

#[test]
fn an_entry_that_cannot_be_asked_rules_nothing_out() {
    let mut entries = Entries::new("a");
    entries.set_all(at(0), &named(&["a", "b", "c"]));
    entries.add_stream(at(1), "b", "b:1", 1);
    assert_eq!(entries.peers_to_query(at(1)), None);
    entries.add_stream(at(1), "c", "c:1", 2);
    assert_eq!(entries.peers_to_query(at(1)), Some(vec![1, 2]));
    entries.remove_stream(at(2), 1);
    assert_eq!(entries.peers_to_query(at(2)), None);
}

#[test]
fn the_writes_of_an_entry_that_is_gone_may_land_for_a_while() {
    let mut entries = Entries::new("a");
    entries.set_all(at(0), &named(&["a", "b"]));
    entries.set_all(at(5), &named(&["a"]));
    assert_eq!(entries.peers_to_query(at(6)), None);
    let over = at(5) + LATE_WRITE_WINDOW;
    assert_eq!(
        entries.peers_to_query(over),
        Some(vec![]) as Option<Vec<u32>>
    );
    // An entry that the store does not name yet may dial first.
    entries.add_stream(over, "z", "z:1", 9);
    assert_eq!(entries.peers_to_query(over), Some(vec![9]));
    // One that the store has forgotten is asked for as long as it is there.
    entries.set_all(over, &named(&["a"]));
    assert_eq!(entries.peers_to_query(over + at(60)), Some(vec![9]));
}

#[test]
fn a_call_goes_to_entries_that_reach_the_store_in_turn() {
    let mut entries = Entries::new("m");
    entries.set_all(at(0), &named(&["a", "m", "x", "y"]));
    assert_eq!(entries.next_relay(), None);
    for (name, id) in [("a", 1), ("x", 2), ("y", 3)] {
        entries.add_stream(at(0), name, "", id);
    }
    assert_eq!(entries.next_relay(), None);
    entries.set_reaches_store(2, true);
    entries.set_reaches_store(3, true);
    let mut seen: Vec<u32> =
        (0..4).filter_map(|_| entries.next_relay()).collect();
    seen.sort_unstable();
    assert_eq!(seen, [2, 2, 3, 3]);
    entries.set_reaches_store(2, false);
    assert_eq!(entries.next_relay(), Some(3));
}

#[test]
fn of_two_entries_one_dials_first() {
    let mut entries: Entries<u32> = Entries::new("m");
    entries.set_all(at(0), &named(&["a", "z"]));
    assert_eq!(entries.addresses_to_dial(at(0)), ["z:1"]);
    assert!(entries.addresses_to_dial(at(0)).is_empty());
    // The other did not: it may not know of this one.
    assert_eq!(entries.addresses_to_dial(at(3)), ["a:1", "z:1"]);
    entries.add_stream(at(3), "a", "a:1", 1);
    assert_eq!(entries.addresses_to_dial(at(5)), ["z:1"]);
}

#[test]
fn a_write_may_land_until_the_store_has_spoken() {
    let mut writes = UnconfirmedWrites::new(at(0));
    assert!(writes.may_still_apply(at(0), JOB));
    writes.set_first_incarnation();
    assert!(!writes.may_still_apply(at(0), JOB));
    writes.begin(JOB);
    assert!(writes.may_still_apply(at(0), JOB));
    writes.end(at(1), JOB, WriteResult::NotApplied);
    assert!(!writes.may_still_apply(at(1), JOB));
    writes.begin(JOB);
    writes.end(at(2), JOB, WriteResult::Unanswered);
    writes.begin(JOB);
    writes.end(at(3), JOB, WriteResult::NotApplied);
    assert!(writes.may_still_apply(at(300), JOB));
    writes.begin(JOB);
    writes.end(at(301), JOB, WriteResult::Stored);
    assert!(!writes.may_still_apply(at(301), JOB));
}

#[test]
fn a_restarted_entry_does_not_know_what_it_sent_before() {
    let writes = UnconfirmedWrites::new(at(10));
    assert!(writes.may_still_apply(at(11), JOB));
    assert!(!writes.may_still_apply(at(10) + LATE_WRITE_WINDOW, JOB));
}

#[test]
fn what_is_forgotten_counts_as_sent() {
    let mut writes = UnconfirmedWrites::new(at(0));
    writes.set_first_incarnation();
    for id in 100..5000 {
        writes.begin(BatchId(id));
        writes.end(at(1), BatchId(id), WriteResult::Unanswered);
    }
    assert!(writes.may_still_apply(at(2), BatchId(100)));
}
