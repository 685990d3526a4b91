//! Tests of the event for jobs that no worker has been large enough for.

use std::time::Duration;

use figrill_coordination::scheduler::{
    Action, Now, Scheduler, message::Report,
};
use figrill_state::{
    batch::{Batch, BatchId, Incarnation, Resources, Step},
    event::Code,
    features::Features,
    limits::Limits,
    runner::UpstreamState,
};

const fn needs(accelerators: u64, memory_mib: u64) -> Resources {
    Resources {
        cpu_milli: 1000,
        memory_mib,
        accelerators,
    }
}

fn job(id: u64, needs: &[Resources]) -> Batch {
    let step = |needs: &Resources| Step {
        count: 1,
        needs: *needs,
        ..Step::default()
    };
    Batch {
        id: BatchId(id),
        workspace: "a".to_owned(),
        queue: "q".to_owned(),
        service: "svc".to_owned(),
        catalog_version: 0,
        priority: 1,
        attempts: 1,
        stretch: 3.0,
        target: Duration::ZERO,
        payload: String::new(),
        steps: needs.iter().map(step).collect(),
        schedule: None,
        accepted_ms: 0,
        cancelled: false,
    }
}

fn report(id: u64, service: &str, capacity: Resources) -> Report {
    let upstream = UpstreamState {
        incarnation: Incarnation {
            id: id.to_string(),
            born_ms: 0,
        },
        address: String::new(),
        service: service.to_owned(),
        failure_domain: "domain".to_owned(),
        capacity,
        labels: Vec::new(),
        rack: "rack".to_owned(),
        draining: false,
        remaining: None,
        sequence: 1,
    };
    Report {
        upstream: Some(upstream),
        ..Report::default()
    }
}

/// Lets the scheduler run for a second that begins at `at_s`, and returns the
/// details of the events that it records.
fn run(scheduler: &mut Scheduler, at_s: u64) -> Vec<String> {
    for i in 0..20 {
        let ms = at_s * 1000 + i * 50;
        let monotonic = Duration::from_millis(ms);
        scheduler.tick(Now {
            monotonic,
            wall_ms: ms,
        });
    }
    let actions = scheduler.take_actions().into_iter();
    let details = actions.filter_map(|action| match action {
        Action::RecordEvent(e) if e.code == Code::JobOversized => {
            Some(e.detail)
        }
        _ => None,
    });
    details.collect()
}

fn scheduler(retry_outlook: bool) -> Scheduler {
    let features = Features {
        retry_outlook,
        ..Features::default()
    };
    Scheduler::new(1, Now::default(), Limits::default())
        .with_features(features)
}

/// Guards against a job that waits for ever without a line in the log, against
/// a line for a job that waits for capacity, and against repeated lines.
#[test]
fn a_job_that_no_worker_was_large_enough_for_is_reported_once() {
    struct Case {
        name: &'static str,
        steps: Vec<Resources>,
        is_reported: bool,
    }
    let case = |name, steps, is_reported| Case {
        name,
        steps,
        is_reported,
    };
    let cases = [
        case("as large as a worker", vec![needs(8, 1000)], false),
        case("too many accelerators", vec![needs(9, 1000)], true),
        case("too much memory", vec![needs(1, 4001)], true),
        case("a later step", vec![needs(1, 1), needs(1, 5000)], true),
    ];
    for case in cases {
        let mut scheduler = scheduler(true);
        let now = Now::default();
        scheduler.handle_report(now, "w0", report(0, "svc", needs(8, 1000)));
        scheduler.handle_report(now, "w1", report(1, "svc", needs(2, 4000)));
        let larger = report(2, "another", needs(64, 64_000));
        scheduler.handle_report(now, "w2", larger);
        scheduler.update_job(now, job(1, &case.steps), None);
        // Workers may be unknown yet when the job is young.
        assert!(run(&mut scheduler, 1).is_empty(), "{}", case.name);
        let found = run(&mut scheduler, 6);
        assert_eq!(found.len(), usize::from(case.is_reported), "{found:?}");
        assert!(run(&mut scheduler, 8).is_empty(), "{}", case.name);
    }
}

#[test]
fn jobs_of_a_service_without_workers_are_not_reported() {
    let mut scheduler = scheduler(true);
    scheduler.update_job(Now::default(), job(1, &[needs(9, 1)]), None);
    assert!(run(&mut scheduler, 6).is_empty());
    let now = Now::default();
    scheduler.handle_report(now, "w0", report(0, "svc", needs(8, 1)));
    let found = run(&mut scheduler, 8);
    let expected = "step=0 service=svc cpu_milli=1000/1000 memory_mib=1/1 \
                    accelerators=9/8";
    assert_eq!(found, [expected]);
}

/// Guards against lines in the logs of deployments that did not ask for them.
#[test]
fn nothing_is_reported_without_the_feature() {
    let mut scheduler = scheduler(false);
    let now = Now::default();
    scheduler.handle_report(now, "w0", report(0, "svc", needs(8, 1)));
    scheduler.update_job(now, job(1, &[needs(9, 1)]), None);
    assert!(run(&mut scheduler, 6).is_empty());
}
