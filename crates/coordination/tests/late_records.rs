//! Tests of records that are written while their jobs end.

use std::time::Duration;

use figrill_coordination::{
    entry::{Action, CallId, Entry, Input, RecordRead, Submission},
    message::JobReport,
};
use figrill_state::{
    error::Kind,
    job::{Adjacency, Class, Job, JobId, Outcome, Shape},
    ledger::ClaimOutcome,
    record::{JobRecord, Progress, SavedOutcome},
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

/// Returns the record of the job, as far as it has come.
fn record(progress: Progress) -> RecordRead {
    let record = JobRecord {
        workspace: "a".to_owned(),
        request: String::new(),
        progress,
    };
    RecordRead::Found(2, Box::new(record))
}

/// Guards against an answer that the outcome is lost although the former
/// coordinator saved it after this entry had read the record.
#[test]
fn a_lost_outcome_is_looked_up_in_the_record() {
    let dispatched = || Progress::Dispatched {
        attempt: 1,
        lead: "w0".to_owned(),
        incarnation: 100,
    };
    let failed = Outcome::Failed(Kind::PartFailed, "any outcome".to_owned());
    let lost = Outcome::Unknown(Kind::OutcomeLost);
    let ended = Progress::Ended(SavedOutcome::from(&failed));
    let cases = [
        (record(ended), failed),
        (record(dispatched()), lost.clone()),
        (RecordRead::Unavailable, lost.clone()),
        (RecordRead::Missing, lost.clone()),
    ];
    for (read_again, expected) in cases {
        let mut entry = Entry::new(NOW, 1);
        entry.handle(NOW, Input::Coordinator { known: true });
        let poll = Input::Poll {
            call: CallId(1),
            job: JOB,
            scope: None,
            wait: Duration::from_secs(20),
        };
        entry.handle(NOW, poll);
        let result = record(dispatched());
        entry.handle(NOW, Input::Read { job: JOB, result });
        let report = JobReport::Ended {
            job: JOB,
            outcome: lost.clone(),
        };
        let actions = entry.handle(NOW, Input::Report(report));
        let read = Action::Read { job: JOB };
        assert!(actions.contains(&read), "{actions:?}");
        let result = read_again;
        let actions = entry.handle(NOW, Input::Read { job: JOB, result });
        let answer = format!("{actions:?}");
        assert!(answer.contains(&format!("{expected:?}")), "{answer}");
    }
}
