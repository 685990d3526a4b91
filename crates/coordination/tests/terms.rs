//! Who coordinates: granted terms, bids without the store, ties.

use std::time::Duration;

use figrill_coordination::term::{
    AcquireError, Action, ELECTION_TIMEOUT, Election, Input, granted,
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

fn term() -> Election {
    Election::new(record(0, 5), Duration::ZERO)
}

/// Bids after the store has been silent long enough.
fn bid(term: &mut Election) -> Vec<Action> {
    let late = ELECTION_TIMEOUT + Duration::from_secs(1);
    term.handle(late, Input::Leased(Err(AcquireError::Unavailable)))
}

#[test]
fn a_bid_is_larger_than_what_it_knows_and_smaller_than_any_grant() {
    let mut it = term();
    it.handle(Duration::ZERO, Input::Observed(record(granted(7), 9)));
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
    let actions = it.handle(ELECTION_TIMEOUT, Input::Fenced(granted(2)));
    assert_eq!(actions, [Action::Follow]);
    // Whoever fenced it says so later, with the same term.
    it.handle(ELECTION_TIMEOUT, Input::Observed(record(granted(2), 9)));
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
        it.handle(ELECTION_TIMEOUT, Input::Observed(record(1, case.rival)));
        assert_eq!(it.leading(), case.leads, "rival {}", case.rival);
    }
}

#[test]
fn a_higher_term_ends_leadership() {
    let mut it = term();
    it.handle(Duration::ZERO, Input::Leased(Ok(record(granted(3), 5))));
    assert_eq!(it.leading(), Some(granted(3)));
    let observed = Input::Observed(record(granted(4), 9));
    let actions = it.handle(Duration::ZERO, observed);
    assert_eq!(actions, [Action::Follow, Action::Release]);
    assert_eq!(it.leading(), None);
}
