//! Whom an entry asks before it says that a job does not run.

use std::time::Duration;

use figrill_coordination::entries::{
    Entries, Sent, UnsettledWrites, WRITE_LANDS_WITHIN,
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
    assert_eq!(entries.to_ask(at(1)), None);
    entries.list(at(1), &named(&["a"]));
    assert_eq!(entries.to_ask(at(1)), Some(vec![]));
}

#[test]
fn an_entry_that_cannot_be_asked_rules_nothing_out() {
    let mut entries = Entries::new("a");
    entries.list(at(0), &named(&["a", "b", "c"]));
    entries.link(at(1), "b", "b:1", 1);
    assert_eq!(entries.to_ask(at(1)), None);
    entries.link(at(1), "c", "c:1", 2);
    assert_eq!(entries.to_ask(at(1)), Some(vec![1, 2]));
    entries.unlink(at(2), 1);
    assert_eq!(entries.to_ask(at(2)), None);
}

#[test]
fn the_writes_of_an_entry_that_is_gone_may_land_for_a_while() {
    let mut entries = Entries::new("a");
    entries.list(at(0), &named(&["a", "b"]));
    entries.list(at(5), &named(&["a"]));
    assert_eq!(entries.to_ask(at(6)), None);
    let over = at(5) + WRITE_LANDS_WITHIN;
    assert_eq!(entries.to_ask(over), Some(vec![]) as Option<Vec<u32>>);
    // An entry that the store does not name yet may dial first.
    entries.link(over, "z", "z:1", 9);
    assert_eq!(entries.to_ask(over), Some(vec![9]));
    // One that the store has forgotten is asked for as long as it is there.
    entries.list(over, &named(&["a"]));
    assert_eq!(entries.to_ask(over + at(60)), Some(vec![9]));
}

#[test]
fn a_call_goes_to_entries_that_reach_the_store_in_turn() {
    let mut entries = Entries::new("m");
    entries.list(at(0), &named(&["a", "m", "x", "y"]));
    assert_eq!(entries.helper(), None);
    for (name, id) in [("a", 1), ("x", 2), ("y", 3)] {
        entries.link(at(0), name, "", id);
    }
    assert_eq!(entries.helper(), None);
    entries.heard(2, true);
    entries.heard(3, true);
    let mut seen: Vec<u32> = (0..4).filter_map(|_| entries.helper()).collect();
    seen.sort_unstable();
    assert_eq!(seen, [2, 2, 3, 3]);
    entries.heard(2, false);
    assert_eq!(entries.helper(), Some(3));
}

#[test]
fn of_two_entries_one_dials_first() {
    let mut entries: Entries<u32> = Entries::new("m");
    entries.list(at(0), &named(&["a", "z"]));
    assert_eq!(entries.to_dial(at(0)), ["z:1"]);
    assert!(entries.to_dial(at(0)).is_empty());
    // The other did not: it may not know of this one.
    assert_eq!(entries.to_dial(at(3)), ["a:1", "z:1"]);
    entries.link(at(3), "a", "a:1", 1);
    assert_eq!(entries.to_dial(at(5)), ["z:1"]);
}

#[test]
fn a_write_may_land_until_the_store_has_spoken() {
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
fn a_restarted_entry_does_not_know_what_it_sent_before() {
    let writes = UnsettledWrites::new(at(10));
    assert!(writes.may_land(at(11), JOB));
    assert!(!writes.may_land(at(10) + WRITE_LANDS_WITHIN, JOB));
}

#[test]
fn what_is_forgotten_counts_as_sent() {
    let mut writes = UnsettledWrites::new(at(0));
    writes.is_first_life();
    for id in 100..5000 {
        writes.begin(BatchId(id));
        writes.end(at(1), BatchId(id), Sent::Unanswered);
    }
    assert!(writes.may_land(at(2), BatchId(100)));
}
