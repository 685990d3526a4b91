//! Tests of coordinator terms: granted terms, provisional bids while the
//! store is unreachable, and ties between bids.

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

/// Makes `term` bid: the store is unavailable for longer than `BID_AFTER`.
fn bid(term: &mut Election) -> Vec<Action> {
    let after_silence = ELECTION_TIMEOUT + Duration::from_secs(1);
    term.handle(after_silence, Input::Leased(Err(AcquireError::Unavailable)))
}

#[test]
fn a_bid_lies_between_the_known_term_and_the_next_grant() {
    let mut term = term();
    term.handle(Duration::ZERO, Input::Observed(record(granted(7), 9)));
    let actions = bid(&mut term);
    let lead = Action::Lead {
        term: granted(7) + 1,
        granted: false,
    };
    assert_eq!(actions, [lead]);
    assert!(granted(7) + 255 < granted(8));
}

#[test]
fn a_fenced_bidder_steps_down_and_follows_the_higher_term() {
    let mut term = term();
    bid(&mut term);
    let actions = term.handle(ELECTION_TIMEOUT, Input::Fenced(granted(2)));
    assert_eq!(actions, [Action::Follow]);
    // The coordinator with the fencing term announces itself only later.
    term.handle(ELECTION_TIMEOUT, Input::Observed(record(granted(2), 9)));
    let known = term.coordinator().expect("a known coordinator");
    assert_eq!(known.incarnation, 9);
}

#[test]
fn of_two_equal_bids_the_larger_incarnation_leads() {
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
        let mut term = term();
        bid(&mut term);
        term.handle(ELECTION_TIMEOUT, Input::Observed(record(1, case.rival)));
        assert_eq!(term.leading(), case.leads, "rival {}", case.rival);
    }
}

#[test]
fn a_higher_term_ends_leadership() {
    let mut term = term();
    term.handle(Duration::ZERO, Input::Leased(Ok(record(granted(3), 5))));
    assert_eq!(term.leading(), Some(granted(3)));
    let announcement = Input::Observed(record(granted(4), 9));
    let actions = term.handle(Duration::ZERO, announcement);
    assert_eq!(actions, [Action::Follow, Action::Release]);
    assert_eq!(term.leading(), None);
}
