//! Tests of polls for jobs that may not exist.
//!
//! Until the store and the coordinator have answered, an entry does not know
//! whether the job exists, so neither "queued" nor "not found" would be a
//! correct answer.

use std::{collections::BTreeSet, time::Duration};

use figrill_coordination::entry::{
    Action, CallId, Entry, Input, RecordRead, Reply,
};
use figrill_coordination::message::{JobReport, JobStatus};
use figrill_state::{error::Kind, job::JobId};

const JOB: JobId = JobId(0);
const TICK: Duration = Duration::from_millis(100);

/// Returns an entry that received a poll for an unknown job at time zero. The
/// poll allows no time to wait for the job's end.
fn entry_with_poll() -> Entry {
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
fn a_poll_is_not_answered_queued_during_the_lookup() {
    let mut entry = entry_with_poll();
    // The tick comes before the store has answered that there is no record.
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
    let refusals = replies(&entry.handle(TICK * 2, Input::Report(unknown)));
    assert!(
        matches!(
            refusals[..],
            [Reply::Refused {
                kind: Kind::NotFound,
                ..
            }]
        ),
        "{refusals:?}"
    );
}

#[test]
fn a_lookup_without_answers_is_refused_after_its_time_limit() {
    let mut entry = entry_with_poll();
    // The lookup times out two seconds after the poll's own deadline, and the
    // poll is refused at the next tick.
    let refusals = replies(&entry.handle(TICK * 30, Input::Tick));
    assert!(
        matches!(
            refusals[..],
            [Reply::Refused {
                kind: Kind::StoreDown,
                ..
            }]
        ),
        "{refusals:?}"
    );
}
