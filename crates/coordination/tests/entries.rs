//! Tests of what an entry knows of the other entries, and of pending writes:
//! those that the store may still apply.
//!
//! An entry may report that a job was not run only if no entry has a pending
//! write for it. If it reports so too early, the job may still start after its
//! caller has submitted it again, and may run twice.

use std::time::Duration;

use figrill_coordination::entries::{
    Entries, LATE_WRITE_WINDOW, UnconfirmedWrites, WriteRelay, WriteResult,
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
fn peers_to_query_are_unknown_until_the_store_lists_them() {
    let mut entries: Entries<u32> = Entries::new("a");
    assert_eq!(entries.peers_to_query(at(1)), None);
    entries.set_all(at(1), &entries_named(&["a"]));
    assert_eq!(entries.peers_to_query(at(1)), Some(vec![]));
}

#[test]
fn peers_to_query_are_unknown_while_one_is_not_connected() {
    let mut entries = Entries::new("a");
    entries.set_all(at(0), &entries_named(&["a", "b", "c"]));
    entries.add_stream(at(1), "b", "b:1", 1);
    assert_eq!(entries.peers_to_query(at(1)), None);
    entries.add_stream(at(1), "c", "c:1", 2);
    assert_eq!(entries.peers_to_query(at(1)), Some(vec![1, 2]));
    entries.remove_stream(at(2), 1);
    assert_eq!(entries.peers_to_query(at(2)), None);
}

#[test]
fn writes_of_a_removed_entry_stay_pending_for_a_time() {
    let mut entries = Entries::new("a");
    entries.set_all(at(0), &entries_named(&["a", "b"]));
    entries.set_all(at(5), &entries_named(&["a"]));
    assert_eq!(entries.peers_to_query(at(6)), None);
    let expiry = at(5) + LATE_WRITE_WINDOW;
    assert_eq!(
        entries.peers_to_query(expiry),
        Some(vec![]) as Option<Vec<u32>>
    );
    // An entry may connect before the store lists it.
    entries.add_stream(expiry, "z", "z:1", 9);
    assert_eq!(entries.peers_to_query(expiry), Some(vec![9]));
    // An entry that the store no longer lists is queried as long as it is
    // connected.
    entries.set_all(expiry, &entries_named(&["a"]));
    assert_eq!(entries.peers_to_query(expiry + at(60)), Some(vec![9]));
}

#[test]
fn writes_of_a_removed_entry_stay_pending_after_its_stream_ends() {
    let mut entries = Entries::new("a");
    entries.set_all(at(0), &entries_named(&["a", "b"]));
    entries.add_stream(at(0), "b", "b:1", 1);
    // An entry that the store refuses loses its record, but it goes on writing
    // jobs by relayed calls until it is killed.
    entries.set_all(at(5), &entries_named(&["a"]));
    entries.remove_stream(at(60), 1);
    assert_eq!(entries.peers_to_query(at(61)), None);
    let expiry = at(60) + LATE_WRITE_WINDOW;
    assert_eq!(entries.peers_to_query(expiry), Some(vec![]));
}

#[test]
fn relayed_calls_rotate_over_entries_that_reach_the_store() {
    let mut entries = Entries::new("m");
    entries.set_all(at(0), &entries_named(&["a", "m", "x", "y"]));
    assert_eq!(entries.next_relay(), None);
    for (name, id) in [("a", 1), ("x", 2), ("y", 3)] {
        entries.add_stream(at(0), name, "", id);
    }
    assert_eq!(entries.next_relay(), None);
    entries.set_reaches_store(2, true);
    entries.set_reaches_store(3, true);
    let mut relays: Vec<u32> =
        (0..4).filter_map(|_| entries.next_relay()).collect();
    relays.sort_unstable();
    assert_eq!(relays, [2, 2, 3, 3]);
    entries.set_reaches_store(2, false);
    assert_eq!(entries.next_relay(), Some(3));
}

// Guards against a relayed write that is not conditional on the record of the
// entry that relays it.
#[test]
fn a_write_is_relayed_only_by_an_entry_whose_record_is_known() {
    let mut entries = Entries::new("m");
    entries.set_all(at(0), &entries_named(&["a", "x"]));
    for (name, id) in [("a", 1), ("x", 2)] {
        entries.add_stream(at(0), name, "", id);
        entries.set_reaches_store(id, true);
    }
    assert_eq!(entries.next_write_relay(), None);
    assert!(!entries.has_write_relay());
    entries.set_record_revision("x", 7);
    assert!(entries.has_write_relay());
    let relay = WriteRelay {
        stream: 2,
        name: "x".to_owned(),
        record_revision: 7,
    };
    assert_eq!(entries.next_write_relay(), Some(relay.clone()));
    assert_eq!(entries.next_write_relay(), Some(relay));
    entries.remove(at(1), "x");
    assert_eq!(entries.next_write_relay(), None);
    assert!(!entries.has_write_relay());
    entries.add(at(2), "x", "");
    assert_eq!(entries.next_write_relay(), None);
}

#[test]
fn of_two_entries_the_smaller_name_dials_first() {
    let mut entries: Entries<u32> = Entries::new("m");
    entries.set_all(at(0), &entries_named(&["a", "z"]));
    assert_eq!(entries.addresses_to_dial(at(0)), ["z:1"]);
    assert!(entries.addresses_to_dial(at(0)).is_empty());
    // "m" dials "a" only after two seconds without a connection. "a" may not
    // dial because it does not know of "m".
    assert_eq!(entries.addresses_to_dial(at(3)), ["a:1", "z:1"]);
    entries.add_stream(at(3), "a", "a:1", 1);
    assert_eq!(entries.addresses_to_dial(at(5)), ["z:1"]);
}

#[test]
fn a_write_is_pending_until_the_store_answers() {
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
    // A second write that was not applied says nothing about the first one.
    writes.begin(JOB);
    writes.end(at(3), JOB, WriteResult::NotApplied);
    assert!(writes.may_still_apply(at(300), JOB));
    // Once the job is stored, a late write of it fails its precondition.
    writes.begin(JOB);
    writes.end(at(301), JOB, WriteResult::Stored);
    assert!(!writes.may_still_apply(at(301), JOB));
}

#[test]
fn a_restarted_entry_treats_every_write_as_pending_at_first() {
    let writes = UnconfirmedWrites::new(at(10));
    assert!(writes.may_still_apply(at(11), JOB));
    assert!(!writes.may_still_apply(at(10) + LATE_WRITE_WINDOW, JOB));
}

#[test]
fn writes_dropped_from_the_full_record_count_as_pending() {
    let mut writes = UnconfirmedWrites::new(at(0));
    writes.set_first_incarnation();
    // More jobs than are remembered.
    for id in 100..5000 {
        writes.begin(BatchId(id));
        writes.end(at(1), BatchId(id), WriteResult::Unanswered);
    }
    assert!(writes.may_still_apply(at(2), BatchId(100)));
}

/// The stream to the second name would replace the one to the first.
#[test]
fn an_address_with_an_open_stream_is_not_dialled_under_another_name() {
    let mut entries = Entries::new("a");
    let address = |name: &str| (name.to_owned(), "10.0.0.2:1".to_owned());
    entries.set_all(at(0), &[address("b"), address("c")]);
    entries.add_stream(at(1), "b", "10.0.0.2:1", 1);
    assert!(entries.addresses_to_dial(at(9)).is_empty());
    entries.remove_stream(at(9), 1);
    assert_eq!(entries.addresses_to_dial(at(20)).len(), 2);
}
