//! Tests of the election of the coordinator: terms that the store grants,
//! provisional terms that are taken while the store is unavailable, and ties
//! between two equal provisional terms.

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

/// Returns the election of a process of incarnation 5.
fn election() -> Election {
    Election::new(record(0, 5), Duration::ZERO)
}

/// Makes the process take a provisional term: the store is unavailable, and no
/// coordinator has been seen for longer than [`ELECTION_TIMEOUT`].
fn take_provisional_term(election: &mut Election) -> Vec<Action> {
    let after_timeout = ELECTION_TIMEOUT + Duration::from_secs(1);
    election
        .handle(after_timeout, Input::Leased(Err(AcquireError::Unavailable)))
}

#[test]
fn a_provisional_term_lies_between_the_known_term_and_the_next_grant() {
    let mut election = election();
    election.handle(Duration::ZERO, Input::Observed(record(granted(7), 9)));
    let actions = take_provisional_term(&mut election);
    let expected = Action::Lead {
        term: granted(7) + 1,
        granted: false,
    };
    assert_eq!(actions, [expected]);
    // The eight low bits of a term count provisional terms.
    assert!(granted(7) + 255 < granted(8));
}

#[test]
fn a_fenced_provisional_coordinator_steps_down_and_follows_the_higher_term() {
    let mut election = election();
    take_provisional_term(&mut election);
    let actions = election.handle(ELECTION_TIMEOUT, Input::Fenced(granted(2)));
    assert_eq!(actions, [Action::Follow]);
    // The process knows the higher term, but the coordinator that holds it
    // announces itself only later.
    election.handle(ELECTION_TIMEOUT, Input::Observed(record(granted(2), 9)));
    let known = election.coordinator().expect("the coordinator is known");
    assert_eq!(known.incarnation, 9);
}

#[test]
fn of_two_equal_provisional_terms_the_larger_incarnation_leads() {
    struct Case {
        /// The rival's incarnation.
        rival: u64,
        leads: Option<u64>,
    }
    // The process that stays coordinator moves to the next term, because
    // some agents may follow its rival under the tied one.
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
        let mut election = election();
        take_provisional_term(&mut election);
        election
            .handle(ELECTION_TIMEOUT, Input::Observed(record(1, case.rival)));
        assert_eq!(
            election.leading(),
            case.leads,
            "rival of incarnation {}",
            case.rival
        );
    }
}

#[test]
fn a_higher_term_ends_leadership() {
    let mut election = election();
    election.handle(Duration::ZERO, Input::Leased(Ok(record(granted(3), 5))));
    assert_eq!(election.leading(), Some(granted(3)));
    let announcement = Input::Observed(record(granted(4), 9));
    let actions = election.handle(Duration::ZERO, announcement);
    assert_eq!(actions, [Action::Follow, Action::Release]);
    assert_eq!(election.leading(), None);
}
