//! Questions about jobs that may not exist.

use std::{collections::BTreeSet, time::Duration};

use figrill_coordination::entry::{
    Action, CallId, Entry, Input, RecordRead, Reply,
};
use figrill_coordination::message::{JobReport, JobStatus};
use figrill_state::{error::Kind, job::JobId};

const JOB: JobId = JobId(0);
const TICK: Duration = Duration::from_millis(100);

/// An entry that was asked at time zero about a job, without waiting.
fn asked() -> Entry {
    let mut entry = Entry::new(Duration::ZERO, 1);
    entry.handle(Duration::ZERO, Input::Entries(BTreeSet::from([1])));
    entry.handle(Duration::ZERO, Input::Coordinator { known: true });
    let poll = Input::Poll {
        call: CallId(1),
        job: JOB,
        scope: None,
        wait: Duration::ZERO,
    };
    entry.handle(Duration::ZERO, poll);
    entry
}

fn replies(actions: &[Action]) -> Vec<Reply> {
    let reply = |a: &Action| match a {
        Action::Reply { reply, .. } => Some(reply.clone()),
        _ => None,
    };
    actions.iter().filter_map(reply).collect()
}

#[test]
fn a_job_that_is_still_looked_up_is_not_called_queued() {
    let mut entry = asked();
    // The tick comes before the store has said that there is no record.
    assert_eq!(replies(&entry.handle(TICK, Input::Tick)), []);
    let missing = || Input::Read {
        job: JOB,
        result: RecordRead::Missing,
    };
    entry.handle(TICK * 2, missing());
    let unknown = JobReport::Status {
        job: JOB,
        status: JobStatus::Unknown,
    };
    let answers = replies(&entry.handle(TICK * 2, Input::Report(unknown)));
    assert!(
        matches!(
            answers[..],
            [Reply::Refused {
                kind: Kind::NotFound,
                ..
            }]
        ),
        "{answers:?}"
    );
}

#[test]
fn a_lookup_without_any_word_is_refused_in_time() {
    let mut entry = asked();
    let answers = replies(&entry.handle(TICK * 30, Input::Tick));
    assert!(
        matches!(
            answers[..],
            [Reply::Refused {
                kind: Kind::StoreDown,
                ..
            }]
        ),
        "{answers:?}"
    );
}
