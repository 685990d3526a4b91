//! Who coordinates: granted terms, bids without the store, ties.

use std::time::Duration;

use figrill_coordination::term::{
    Action, BID_AFTER, Input, TakeError, Term, granted,
};
use figrill_state::record::TermRecord;

fn record(term: u64, incarnation: u64) -> TermRecord {
    TermRecord {
        term,
        holder: format!("entry-{incarnation}"),
        incarnation,
        peer: String::new(),
    }
}

fn term() -> Term {
    Term::new(record(0, 5), Duration::ZERO)
}

/// Bids after the store has been silent long enough.
fn bid(term: &mut Term) -> Vec<Action> {
    let late = BID_AFTER + Duration::from_secs(1);
    term.handle(late, Input::Taken(Err(TakeError::Unavailable)))
}

#[test]
fn a_bid_is_larger_than_what_it_knows_and_smaller_than_any_grant() {
    let mut it = term();
    it.handle(Duration::ZERO, Input::Heard(record(granted(7), 9)));
    let actions = bid(&mut it);
    let led = Action::Lead {
        term: granted(7) + 1,
        granted: false,
    };
    assert_eq!(actions, [led]);
    assert!(granted(7) + 255 < granted(8));
}

#[test]
fn a_fenced_bidder_steps_down_then_follows_or_bids_higher() {
    let mut it = term();
    bid(&mut it);
    let actions = it.handle(BID_AFTER, Input::Fenced(granted(2)));
    assert_eq!(actions, [Action::Follow]);
    // Whoever fenced it says so later, with the same term.
    it.handle(BID_AFTER, Input::Heard(record(granted(2), 9)));
    let known = it.coordinator().expect("a coordinator");
    assert_eq!(known.incarnation, 9);
}

#[test]
fn of_two_equal_bids_the_larger_incarnation_outbids() {
    struct Case {
        rival: u64,
        leads: Option<u64>,
    }
    let cases = [
        Case {
            rival: 4,
            leads: Some(2),
        },
        Case {
            rival: 6,
            leads: None,
        },
    ];
    for case in cases {
        let mut it = term();
        bid(&mut it);
        it.handle(BID_AFTER, Input::Heard(record(1, case.rival)));
        assert_eq!(it.leading(), case.leads, "rival {}", case.rival);
    }
}

#[test]
fn a_higher_term_ends_leadership() {
    let mut it = term();
    it.handle(Duration::ZERO, Input::Taken(Ok(record(granted(3), 5))));
    assert_eq!(it.leading(), Some(granted(3)));
    let heard = Input::Heard(record(granted(4), 9));
    let actions = it.handle(Duration::ZERO, heard);
    assert_eq!(actions, [Action::Follow, Action::Release]);
    assert_eq!(it.leading(), None);
}
