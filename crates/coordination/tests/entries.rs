//! Tests of the entries' knowledge of each other and of pending writes.
//!
//! An entry may report that a job was not run only if no entry has a pending
//! write for it. A job that is reported too early may still start, and its
//! caller may have submitted it again by then.

use std::time::Duration;

use figrill_coordination::entries::{
    Entries, Sent, UnsettledWrites, WRITE_LANDS_WITHIN,
};
use figrill_state::batch::BatchId;

const JOB: BatchId = BatchId(7);

fn at(s: u64) -> Duration {
    Duration::from_secs(s)
}

fn entries_named(names: &[&str]) -> Vec<(String, String)> {
    let address = |n: &&str| ((*n).to_owned(), format!("{n}:1"));
    names.iter().map(address).collect()
}

#[test]
fn entries_to_ask_are_unknown_until_the_store_lists_them() {
    let mut entries: Entries<u32> = Entries::new("a");
    assert_eq!(entries.to_ask(at(1)), None);
    entries.list(at(1), &entries_named(&["a"]));
    assert_eq!(entries.to_ask(at(1)), Some(vec![]));
}

#[test]
fn entries_to_ask_are_unknown_while_one_is_not_connected() {
    let mut entries = Entries::new("a");
    entries.list(at(0), &entries_named(&["a", "b", "c"]));
    entries.link(at(1), "b", "b:1", 1);
    assert_eq!(entries.to_ask(at(1)), None);
    entries.link(at(1), "c", "c:1", 2);
    assert_eq!(entries.to_ask(at(1)), Some(vec![1, 2]));
    entries.unlink(at(2), 1);
    assert_eq!(entries.to_ask(at(2)), None);
}

#[test]
fn writes_of_a_removed_entry_stay_pending_for_a_time() {
    let mut entries = Entries::new("a");
    entries.list(at(0), &entries_named(&["a", "b"]));
    entries.list(at(5), &entries_named(&["a"]));
    assert_eq!(entries.to_ask(at(6)), None);
    let expiry = at(5) + WRITE_LANDS_WITHIN;
    assert_eq!(entries.to_ask(expiry), Some(vec![]) as Option<Vec<u32>>);
    // An entry may connect before the store lists it.
    entries.link(expiry, "z", "z:1", 9);
    assert_eq!(entries.to_ask(expiry), Some(vec![9]));
    // An entry that the store no longer lists is asked while it is connected.
    entries.list(expiry, &entries_named(&["a"]));
    assert_eq!(entries.to_ask(expiry + at(60)), Some(vec![9]));
}

#[test]
fn relayed_calls_rotate_over_entries_that_reach_the_store() {
    let mut entries = Entries::new("m");
    entries.list(at(0), &entries_named(&["a", "m", "x", "y"]));
    assert_eq!(entries.helper(), None);
    for (name, id) in [("a", 1), ("x", 2), ("y", 3)] {
        entries.link(at(0), name, "", id);
    }
    assert_eq!(entries.helper(), None);
    entries.heard(2, true);
    entries.heard(3, true);
    let mut helpers: Vec<u32> =
        (0..4).filter_map(|_| entries.helper()).collect();
    helpers.sort_unstable();
    assert_eq!(helpers, [2, 2, 3, 3]);
    entries.heard(2, false);
    assert_eq!(entries.helper(), Some(3));
}

#[test]
fn of_two_entries_the_smaller_name_dials_first() {
    let mut entries: Entries<u32> = Entries::new("m");
    entries.list(at(0), &entries_named(&["a", "z"]));
    assert_eq!(entries.to_dial(at(0)), ["z:1"]);
    assert!(entries.to_dial(at(0)).is_empty());
    // "a" has not dialled, perhaps because it does not know this entry.
    assert_eq!(entries.to_dial(at(3)), ["a:1", "z:1"]);
    entries.link(at(3), "a", "a:1", 1);
    assert_eq!(entries.to_dial(at(5)), ["z:1"]);
}

#[test]
fn a_write_is_pending_until_the_store_answers() {
    let mut writes = UnsettledWrites::new(at(0));
    assert!(writes.may_land(at(0), JOB));
    writes.is_first_life();
    assert!(!writes.may_land(at(0), JOB));
    writes.begin(JOB);
    assert!(writes.may_land(at(0), JOB));
    writes.end(at(1), JOB, Sent::NotDone);
    assert!(!writes.may_land(at(1), JOB));
    writes.begin(JOB);
    writes.end(at(2), JOB, Sent::Unanswered);
    writes.begin(JOB);
    writes.end(at(3), JOB, Sent::NotDone);
    assert!(writes.may_land(at(300), JOB));
    writes.begin(JOB);
    writes.end(at(301), JOB, Sent::Stands);
    assert!(!writes.may_land(at(301), JOB));
}

#[test]
fn a_restarted_entry_treats_every_write_as_pending_at_first() {
    let writes = UnsettledWrites::new(at(10));
    assert!(writes.may_land(at(11), JOB));
    assert!(!writes.may_land(at(10) + WRITE_LANDS_WITHIN, JOB));
}

#[test]
fn writes_dropped_from_the_full_record_count_as_pending() {
    let mut writes = UnsettledWrites::new(at(0));
    writes.is_first_life();
    for id in 100..5000 {
        writes.begin(BatchId(id));
        writes.end(at(1), BatchId(id), Sent::Unanswered);
    }
    assert!(writes.may_land(at(2), BatchId(100)));
}
