//! Tests of which calls an agent may make to its upstream while others are
//! open. A start and an acknowledgement that are open at the same time make
//! the next incarnation forget the end of a run that nobody has read.

use std::time::Duration;

use figrill_coordination::open_calls::{
    ANSWER_TIMEOUT, LATE_CALL_WINDOW, OpenCalls, Permission,
};

use Permission::{Granted, Refused, Wait};

/// One step of a case. Times are in milliseconds since its beginning, and the
/// numbers after them are fencing tokens.
#[derive(Clone, Copy)]
enum Step {
    Start(u64, u64, Permission),
    Answered(u64),
    Unanswered(u64),
    Acknowledge(u64, u64, Permission),
    Acknowledged,
    NotAcknowledged,
    Withdraw,
    Require(u64, u64),
}

struct Case {
    name: &'static str,
    steps: Vec<Step>,
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).expect("a short duration")
}

fn cases() -> Vec<Case> {
    use Step::{
        Acknowledge, Acknowledged, Answered, NotAcknowledged, Require, Start,
        Unanswered, Withdraw,
    };
    let window_ms = millis(LATE_CALL_WINDOW);
    let answer_ms = millis(ANSWER_TIMEOUT);
    vec![
        Case {
            name: "answered calls hold back nothing",
            steps: vec![
                Start(0, 7, Granted),
                Start(0, 7, Granted),
                Answered(5),
                Answered(5),
                Acknowledge(5, 7, Granted),
                Acknowledged,
                Start(10, 7, Granted),
            ],
        },
        Case {
            name: "an acknowledgement waits for the starts in flight, and \
                   later starts wait for it",
            steps: vec![
                Start(0, 7, Granted),
                Acknowledge(1, 7, Wait),
                Start(2, 7, Wait),
                Answered(3),
                Start(4, 7, Wait),
                Acknowledge(5, 7, Granted),
                Start(6, 7, Wait),
                Acknowledged,
                Start(8, 7, Granted),
            ],
        },
        Case {
            name: "a start without an answer holds back acknowledgements \
                   with any token, and no starts",
            steps: vec![
                Start(0, 7, Granted),
                Unanswered(1200),
                Acknowledge(1200, 8, Refused),
                Start(1300, 7, Granted),
                Answered(1310),
                Acknowledge(1200 + window_ms - 1, 7, Refused),
                Acknowledge(1200 + window_ms, 7, Granted),
            ],
        },
        Case {
            name: "after an acknowledgement without an answer, starts need a \
                   higher token",
            steps: vec![
                Acknowledge(0, 7, Granted),
                NotAcknowledged,
                Require(1000, 8),
                Start(1000, 7, Refused),
                Start(1000, 8, Granted),
                Answered(1010),
                Acknowledge(1200, 8, Granted),
                NotAcknowledged,
                Start(2 * window_ms, 8, Refused),
                Start(2 * window_ms, 9, Granted),
            ],
        },
        Case {
            name: "a slow acknowledgement bars starts before it has timed \
                   out, and no longer once it is answered",
            steps: vec![
                Acknowledge(0, 7, Granted),
                Start(answer_ms - 1, 7, Wait),
                Start(answer_ms - 1, 8, Granted),
                Start(answer_ms, 7, Refused),
                Acknowledged,
                Start(answer_ms + 2, 7, Granted),
            ],
        },
        Case {
            name: "an acknowledgement that is no longer due holds back \
                   nothing",
            steps: vec![
                Start(0, 7, Granted),
                Acknowledge(1, 7, Wait),
                Withdraw,
                Start(2, 7, Granted),
            ],
        },
    ]
}

#[test]
fn no_acknowledgement_that_could_follow_an_open_start_is_open() {
    for case in cases() {
        let mut calls = OpenCalls::default();
        for (index, step) in case.steps.into_iter().enumerate() {
            let at = Duration::from_millis;
            let context = format!("{}, step {index}", case.name);
            match step {
                Step::Start(ms, token, expected) => {
                    let permission = calls.begin_start(at(ms), token);
                    assert_eq!(permission, expected, "{context}");
                }
                Step::Acknowledge(ms, token, expected) => {
                    let permission =
                        calls.begin_acknowledgement(at(ms), token);
                    assert_eq!(permission, expected, "{context}");
                }
                Step::Answered(ms) => calls.end_start(at(ms), true),
                Step::Unanswered(ms) => calls.end_start(at(ms), false),
                Step::Acknowledged => calls.end_acknowledgement(true),
                Step::NotAcknowledged => calls.end_acknowledgement(false),
                Step::Withdraw => calls.withdraw_acknowledgement(),
                Step::Require(ms, token) => {
                    assert_eq!(
                        calls.required_token(at(ms)),
                        token,
                        "{context}"
                    );
                }
            }
        }
    }
}
