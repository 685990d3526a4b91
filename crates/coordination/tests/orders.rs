//! Tests of how an agent repeats an order that its upstream does not answer.

use std::time::Duration;

use figrill_coordination::orders::{
    start_until_answered, stop_until_answered,
};
use figrill_state::runner::{Refusal, StartOutcome};

const RUNNING: StartOutcome = StartOutcome::Running { clock_ms: 7 };
const REFUSED: StartOutcome = StartOutcome::Refused(Refusal::DeadlinePassed);

/// The time for which an upstream accepts a start after it was ordered.
const START_WINDOW: Duration = Duration::from_millis(1500);

#[test]
fn a_start_is_repeated_until_it_is_answered() {
    struct Case {
        name: &'static str,
        answers: &'static [StartOutcome],
        outcome: StartOutcome,
        calls: usize,
    }
    let cases = [
        Case {
            name: "answered at once",
            answers: &[RUNNING],
            outcome: RUNNING,
            calls: 1,
        },
        Case {
            name: "refused at once",
            answers: &[REFUSED],
            outcome: REFUSED,
            calls: 1,
        },
        Case {
            name: "an answer after an attempt that may still be carried out",
            answers: &[StartOutcome::Unknown, RUNNING],
            outcome: StartOutcome::Unknown,
            calls: 2,
        },
        Case {
            name: "a refusal after an attempt that may have begun the run",
            answers: &[StartOutcome::Unknown, REFUSED],
            outcome: StartOutcome::Unknown,
            calls: 2,
        },
        Case {
            name: "never answered",
            answers: &[StartOutcome::Unknown; 9],
            outcome: StartOutcome::Unknown,
            calls: 3,
        },
    ];
    for case in cases {
        let mut calls = 0;
        let outcome = start_until_answered(|_| {
            calls += 1;
            case.answers[calls - 1]
        });
        assert_eq!(
            (outcome, calls),
            (case.outcome, case.calls),
            "{}",
            case.name
        );
    }
}

#[test]
fn all_attempts_fit_into_the_time_for_which_a_start_is_accepted() {
    let mut total = Duration::ZERO;
    start_until_answered(|timeout| {
        total += timeout;
        StartOutcome::Unknown
    });
    assert!(total < START_WINDOW, "{total:?}");
}

#[test]
fn a_stop_is_repeated_until_it_is_answered() {
    let mut calls = 0;
    let stopped = stop_until_answered(|_| {
        calls += 1;
        if calls < 3 { Err("no answer") } else { Ok(5) }
    });
    assert_eq!((stopped, calls), (Ok(5), 3));
    assert_eq!(stop_until_answered(|_| Err("no answer")), Err("no answer"));
}
