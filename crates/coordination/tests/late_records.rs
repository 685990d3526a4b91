//! Tests of records that are written while their jobs end.

use std::time::Duration;

use figrill_coordination::{
    entry::{Action, CallId, Entry, Input, Submission},
    message::JobReport,
};
use figrill_state::{
    error::Kind,
    job::{Adjacency, Class, Job, JobId, Outcome, Shape},
    ledger::ClaimOutcome,
};

const JOB: JobId = JobId(1);
const NOW: Duration = Duration::ZERO;

fn submission() -> Submission {
    let job = Job {
        id: JOB,
        workspace: "a".to_owned(),
        service: "s".to_owned(),
        shape: Shape {
            parts: 1,
            accelerators: 1,
            memory_mib: 0,
            adjacency: Adjacency::None,
        },
        declared: None,
        deadline: None,
        class: Class::Normal,
        repeatable: true,
        record: None,
        inputs: vec![Vec::new()],
    };
    Submission {
        job,
        key: None,
        request: "{}".to_owned(),
        wait: Duration::from_secs(20),
    }
}

#[test]
fn a_job_that_ends_while_its_record_is_written_is_not_started_again() {
    let mut entry = Entry::new(NOW, 1);
    entry.handle(NOW, Input::Coordinator { known: true });
    let call = CallId(1);
    let submission = Box::new(submission());
    entry.handle(NOW, Input::Submit { call, submission });
    let actions = entry.handle(NOW, Input::Drain);
    assert!(matches!(actions[..], [Action::Claim { job: JOB, .. }]));
    let outcome = Outcome::Failed(Kind::PartFailed, "any outcome".to_owned());
    let report = JobReport::Ended {
        job: JOB,
        outcome: outcome.clone(),
    };
    entry.handle(NOW, Input::Report(report));
    let result = Some(ClaimOutcome::New(1));
    let claimed = Input::Claimed { job: JOB, result };
    let actions = entry.handle(NOW, claimed);
    assert_eq!(actions, [Action::SaveOutcome { job: JOB, outcome }]);
}
