//! Tests of which incarnation of its upstream an agent works with.

use std::time::Duration;

use figrill_coordination::registration::{
    Check, Confirmation, HeartbeatEffect, HeartbeatError, Registration,
};
use figrill_state::{
    batch::{Incarnation, Resources},
    limits::Limits,
    runner::{RunnerError, UpstreamState},
};

fn upstream(id: &str, born_ms: u64, sequence: u64) -> UpstreamState {
    UpstreamState {
        incarnation: Incarnation {
            id: id.to_owned(),
            born_ms,
        },
        address: "10.0.0.1:8000".to_owned(),
        service: "svc".to_owned(),
        failure_domain: "domain".to_owned(),
        capacity: Resources {
            cpu_milli: 8000,
            memory_mib: 8000,
            accelerators: 8,
        },
        labels: vec!["a".to_owned(), "r1".to_owned()],
        rack: "r1".to_owned(),
        sequence,
        ..UpstreamState::default()
    }
}

/// Reports `upstream` and confirms it.
fn register(registration: &mut Registration, upstream: &UpstreamState) {
    let effect = registration.handle_heartbeat(upstream.clone());
    assert_eq!(effect, HeartbeatEffect::Candidate);
    let silent = registration.current().map(|u| u.incarnation.clone());
    registration.settle_candidate(upstream, true, silent.as_ref());
    assert_eq!(registration.current(), Some(upstream));
}

/// A report of an upstream beside another one that may be registered.
struct ReportCase {
    name: &'static str,
    registered: Option<UpstreamState>,
    reported: UpstreamState,
    answers: bool,
    registered_answers: bool,
    is_registered: bool,
}

fn report_cases() -> Vec<ReportCase> {
    let sound = || Some(upstream("i-1", 1000, 5));
    vec![
        ReportCase {
            name: "the first upstream",
            registered: None,
            reported: upstream("i-1", 1000, 1),
            answers: true,
            registered_answers: false,
            is_registered: true,
        },
        ReportCase {
            name: "nobody at the address",
            registered: None,
            reported: upstream("i-9", 2000, 1),
            answers: false,
            registered_answers: false,
            is_registered: false,
        },
        ReportCase {
            name: "nobody at the address, beside a sound upstream",
            registered: sound(),
            reported: upstream("i-9", 2000, 1),
            answers: false,
            registered_answers: true,
            is_registered: false,
        },
        ReportCase {
            name: "nobody at the address, beside a silent upstream",
            registered: sound(),
            reported: upstream("i-9", 2000, 1),
            answers: false,
            registered_answers: false,
            is_registered: false,
        },
        ReportCase {
            name: "another live upstream beside a sound one",
            registered: sound(),
            reported: upstream("i-9", 2000, 1),
            answers: true,
            registered_answers: true,
            is_registered: false,
        },
        ReportCase {
            name: "a successor",
            registered: sound(),
            reported: upstream("i-2", 2000, 1),
            answers: true,
            registered_answers: false,
            is_registered: true,
        },
        ReportCase {
            name: "a successor under the same id",
            registered: sound(),
            reported: upstream("i-1", 2000, 1),
            answers: true,
            registered_answers: false,
            is_registered: true,
        },
        ReportCase {
            name: "a successor whose wall clock was set back",
            registered: sound(),
            reported: upstream("i-2", 400, 1),
            answers: true,
            registered_answers: false,
            is_registered: true,
        },
    ]
}

#[test]
fn a_reported_upstream_is_registered_only_if_it_answers_alone() {
    for case in report_cases() {
        let mut registration = Registration::new(&Limits::default());
        if let Some(registered) = &case.registered {
            register(&mut registration, registered);
        }
        registration.handle_heartbeat(case.reported.clone());
        assert_eq!(
            registration.current(),
            case.registered.as_ref(),
            "{}: before the check",
            case.name
        );
        let checks: Vec<Check> = registration.due_checks().collect();
        assert_eq!(checks, [Check::Candidate(case.reported.clone())]);
        let silent = case
            .registered
            .as_ref()
            .filter(|_| case.answers && !case.registered_answers)
            .map(|u| u.incarnation.clone());
        registration.settle_candidate(
            &case.reported,
            case.answers,
            silent.as_ref(),
        );
        let expected = if case.is_registered {
            Some(&case.reported)
        } else {
            case.registered.as_ref()
        };
        assert_eq!(registration.current(), expected, "{}", case.name);
        let ended = case
            .registered
            .as_ref()
            .filter(|_| case.is_registered)
            .map(|u| &u.incarnation);
        assert_eq!(registration.ended(), ended, "{}", case.name);
        assert_eq!(registration.due_checks().count(), 0, "{}", case.name);
    }
}

#[test]
fn heartbeats_that_contradict_the_registered_upstream_are_refused() {
    struct Case {
        name: &'static str,
        change: fn(&mut UpstreamState),
    }
    let cases = [
        Case {
            name: "address",
            change: |u| u.address = "10.0.0.1:9".to_owned(),
        },
        Case {
            name: "service",
            change: |u| u.service = "unknown".to_owned(),
        },
        Case {
            name: "failure domain",
            change: |u| u.failure_domain = "elsewhere".to_owned(),
        },
        Case {
            name: "capacity",
            change: |u| u.capacity.accelerators = 1 << 40,
        },
        Case {
            name: "labels",
            change: |u| u.labels.clear(),
        },
    ];
    for case in cases {
        let mut registration = Registration::new(&Limits::default());
        register(&mut registration, &upstream("i-1", 1000, 5));
        let mut contradiction = upstream("i-1", 1000, u64::MAX);
        contradiction.draining = true;
        (case.change)(&mut contradiction);
        assert_eq!(
            registration.handle_heartbeat(contradiction),
            HeartbeatEffect::Refused(HeartbeatError::Contradiction),
            "{}",
            case.name
        );
        let mut next = upstream("i-1", 1000, 6);
        next.draining = true;
        assert_eq!(
            registration.handle_heartbeat(next),
            HeartbeatEffect::Updated {
                starts_draining: true
            },
            "{}",
            case.name
        );
        assert!(!registration.accepts_runs());
    }
}

#[test]
fn a_late_heartbeat_does_not_undo_a_later_one() {
    let mut registration = Registration::new(&Limits::default());
    register(&mut registration, &upstream("i-1", 1000, 5));
    let mut draining = upstream("i-1", 1000, 7);
    draining.draining = true;
    registration.handle_heartbeat(draining);
    assert_eq!(
        registration.handle_heartbeat(upstream("i-1", 1000, 6)),
        HeartbeatEffect::Outdated
    );
    assert!(!registration.accepts_runs());
}

#[test]
fn a_deregistered_upstream_ends_only_once_it_does_not_answer() {
    let first = upstream("i-1", 1000, 5);
    let mut registration = Registration::new(&Limits::default());
    register(&mut registration, &first);
    assert!(!registration.handle_deregistration("i-9"));
    assert!(registration.accepts_runs());
    assert!(registration.handle_deregistration("i-1"));
    assert!(!registration.accepts_runs());
    let checks: Vec<Check> = registration.due_checks().collect();
    assert_eq!(checks, [Check::Leaving(first.clone())]);
    assert!(!registration.settle_leaving(&first.incarnation, true));
    assert_eq!(registration.current(), Some(&first));
    assert!(registration.settle_leaving(&first.incarnation, false));
    assert_eq!(registration.current(), None);
    assert_eq!(registration.ended(), Some(&first.incarnation));
}

#[test]
fn a_heartbeat_cancels_the_deregistration_of_an_earlier_incarnation() {
    let mut registration = Registration::new(&Limits::default());
    register(&mut registration, &upstream("i-1", 2000, 1));
    assert!(registration.handle_deregistration("i-1"));
    registration.handle_heartbeat(upstream("i-1", 2000, 2));
    assert!(registration.accepts_runs());
    assert_eq!(registration.due_checks().count(), 0);
}

#[test]
fn failed_calls_end_an_upstream_only_if_it_cannot_be_alive() {
    struct Case {
        name: &'static str,
        failures: Vec<(u64, RunnerError)>,
        has_ended: bool,
    }
    const REFUSED: RunnerError = RunnerError::NotListening(String::new());
    const UNANSWERED: RunnerError = RunnerError::Unanswered(String::new());
    let cases = [
        Case {
            name: "one refusal",
            failures: vec![(0, REFUSED)],
            has_ended: false,
        },
        Case {
            name: "refusals for too short a time",
            failures: vec![(0, REFUSED), (399, REFUSED)],
            has_ended: false,
        },
        Case {
            name: "refusals for long enough",
            failures: vec![(0, REFUSED), (200, REFUSED), (400, REFUSED)],
            has_ended: true,
        },
        Case {
            name: "refusals with something else in between",
            failures: vec![(0, REFUSED), (300, UNANSWERED), (500, REFUSED)],
            has_ended: false,
        },
        Case {
            name: "no answers for long",
            failures: vec![(0, UNANSWERED), (60_000, UNANSWERED)],
            has_ended: false,
        },
        Case {
            name: "another incarnation answers",
            failures: vec![(0, RunnerError::OtherIncarnation)],
            has_ended: true,
        },
    ];
    for case in cases {
        let first = upstream("i-1", 1000, 1);
        let mut registration = Registration::new(&Limits::default());
        register(&mut registration, &first);
        for (at_ms, e) in &case.failures {
            registration.handle_failed_call(
                Duration::from_millis(*at_ms),
                &first.incarnation,
                e,
            );
        }
        let has_ended = registration.current().is_none();
        assert_eq!(has_ended, case.has_ended, "{}", case.name);
    }
}

#[test]
fn an_upstream_that_was_taken_for_crashed_is_registered_again() {
    let first = upstream("i-1", 1000, 1);
    let mut registration = Registration::new(&Limits::default());
    register(&mut registration, &first);
    let e = RunnerError::OtherIncarnation;
    registration.handle_failed_call(Duration::ZERO, &first.incarnation, &e);
    assert_eq!(registration.ended(), Some(&first.incarnation));
    register(&mut registration, &upstream("i-1", 1000, 2));
    assert_eq!(registration.ended(), None);
}

#[test]
fn a_flood_of_unknown_upstreams_is_bounded() {
    let mut registration = Registration::new(&Limits::default());
    let effects: Vec<HeartbeatEffect> = (0..100)
        .map(|i| registration.handle_heartbeat(upstream("i-9", i, 1)))
        .collect();
    let unconfirmed = effects
        .iter()
        .filter(|e| **e == HeartbeatEffect::Candidate)
        .count();
    assert!((1..=8).contains(&unconfirmed), "{unconfirmed}");
    // Each of them gets its turn, so the queue drains.
    for _ in 0..unconfirmed {
        let Some(Check::Candidate(candidate)) =
            registration.due_checks().next()
        else {
            panic!("a candidate is due");
        };
        assert_eq!(
            registration.settle_candidate(&candidate, false, None),
            Confirmation::Refused(HeartbeatError::Unconfirmed)
        );
    }
    register(&mut registration, &upstream("i-1", 1000, 1));
}

#[test]
fn silence_ends_an_upstream_only_after_its_leases_have_expired() {
    struct Case {
        name: &'static str,
        checks: Vec<(u64, Result<(), RunnerError>)>,
        has_ended: bool,
    }
    const REFUSED: RunnerError = RunnerError::NotListening(String::new());
    const SILENT: RunnerError = RunnerError::Unanswered(String::new());
    const MALFORMED: RunnerError = RunnerError::Malformed(String::new());
    let cases = [
        Case {
            name: "one lost answer",
            checks: vec![(0, Err(SILENT))],
            has_ended: false,
        },
        Case {
            name: "one malformed answer",
            checks: vec![(0, Err(MALFORMED))],
            has_ended: false,
        },
        Case {
            name: "silence within a lease",
            checks: vec![(0, Err(SILENT)), (9_900, Err(SILENT))],
            has_ended: false,
        },
        Case {
            name: "an answer in between",
            checks: vec![
                (0, Err(SILENT)),
                (9_000, Ok(())),
                (15_000, Err(SILENT)),
            ],
            has_ended: false,
        },
        Case {
            name: "silence for longer than a lease and a suspension",
            // Ten seconds by a slow clock, the grace period and a margin.
            checks: vec![(0, Err(SILENT)), (15_900, Err(SILENT))],
            has_ended: true,
        },
        Case {
            name: "silence during which the VM may have been suspended",
            checks: vec![(0, Err(SILENT)), (15_500, Err(SILENT))],
            has_ended: false,
        },
        Case {
            name: "nothing listens",
            checks: vec![(0, Err(REFUSED))],
            has_ended: true,
        },
        Case {
            name: "another incarnation answers",
            checks: vec![(0, Err(RunnerError::OtherIncarnation))],
            has_ended: true,
        },
    ];
    for case in cases {
        let first = upstream("i-1", 1000, 1);
        let mut registration = Registration::new(&Limits::default());
        register(&mut registration, &first);
        let mut has_ended = false;
        for (at_ms, result) in &case.checks {
            has_ended = registration.handle_check(
                Duration::from_millis(*at_ms),
                &first.incarnation,
                result.as_ref().copied(),
            );
        }
        assert_eq!(has_ended, case.has_ended, "{}", case.name);
    }
}

#[test]
fn an_upstream_registered_with_the_claims_of_another_writer_is_corrected() {
    let mut stray = upstream("i-1", 1000, u64::MAX);
    stray.service = "unknown".to_owned();
    let mut registration = Registration::new(&Limits::default());
    register(&mut registration, &stray);
    let effects: Vec<HeartbeatEffect> = (5..8)
        .map(|seq| registration.handle_heartbeat(upstream("i-1", 1000, seq)))
        .collect();
    let refused = HeartbeatEffect::Refused(HeartbeatError::Contradiction);
    let corrected = HeartbeatEffect::Corrected;
    assert_eq!(effects, [refused, refused, corrected]);
    assert_eq!(registration.current(), Some(&upstream("i-1", 1000, 7)));
    assert_eq!(registration.ended(), None);
}

#[test]
fn contradictions_correct_nothing_while_the_upstream_repeats_its_heartbeats() {
    let mut registration = Registration::new(&Limits::default());
    register(&mut registration, &upstream("i-1", 1000, 5));
    for sequence in 6..20 {
        let mut stray = upstream("i-1", 1000, sequence);
        stray.service = "unknown".to_owned();
        for _ in 0..4 {
            registration.handle_heartbeat(stray.clone());
        }
        registration.handle_heartbeat(upstream("i-1", 1000, sequence));
        let current = registration.current();
        assert_eq!(current, Some(&upstream("i-1", 1000, sequence)));
    }
}
