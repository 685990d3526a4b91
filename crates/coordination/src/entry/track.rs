//! The state that an entry keeps of one job, [`TrackedJob`].

use std::time::Duration;

use figrill_state::job::{Job, Outcome};

use crate::message::Dispatched;

use super::CallId;

/// What a job waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Wait {
    /// Its record is being written, before the job is submitted.
    Claim,
    /// Its record is being written, before its callers are answered that they
    /// can poll for the outcome.
    Durable,
    /// The coordinator: the job is submitted or followed there.
    Coordinator,
    /// Its record, which is to be read.
    Record {
        /// When to read the record.
        at: Duration,
    },
}

/// What would recover a job if this entry stopped. Each level includes the
/// ones before it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Durability {
    /// Nothing: the job is only in this entry's memory.
    Memory,
    /// The job has a record in the store, so any entry that is asked for the
    /// job recovers it.
    Stored,
    /// The other entries were also asked to take the job over, so it is
    /// recovered even if no caller asks for it.
    Delegated,
}

/// A caller that waits for a job until a deadline.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingCall {
    pub(super) call: CallId,
    pub(super) deadline: Duration,
}

/// A job that the entry tracks. Its flags are independent of each other.
#[allow(clippy::struct_excessive_bools)]
pub(super) struct TrackedJob {
    pub(super) workspace: String,
    /// The workspace whose jobs the caller may access, while the workspace of
    /// the job is not known. `None` allows any.
    pub(super) scope: Option<String>,
    pub(super) job: Option<Job>,
    /// The text of the caller's request, for the job's record.
    pub(super) request: String,
    /// The caller's idempotency key, if any.
    pub(super) key: Option<String>,
    pub(super) accepted_at: Duration,
    pub(super) calls: Vec<WaitingCall>,
    pub(super) wait: Wait,
    /// The dispatch that the job's record names, if any.
    pub(super) dispatched: Option<Dispatched>,
    /// Whether the coordinator reported that the job may have started.
    pub(super) running: bool,
    /// Whether the job was submitted to a coordinator.
    pub(super) submitted: bool,
    pub(super) durability: Durability,
    /// Whether the coordinator has confirmed that it knows the job.
    pub(super) confirmed: bool,
    /// Whether the coordinator was asked about the job without a record that
    /// names its dispatch.
    pub(super) coordinator_asked: bool,
    /// Whether the coordinator has reported the outcome as lost, and the record
    /// is being read in case it has the outcome.
    pub(super) outcome_lost: bool,
    /// The number of bytes of the request or, once the job has ended, of the
    /// outcome.
    pub(super) bytes: usize,
    pub(super) outcome: Option<Outcome>,
    /// When the job ended; zero before that.
    pub(super) ended_at: Duration,
}

impl TrackedJob {
    pub(super) fn new(
        now: Duration,
        workspace: String,
        job: Option<Job>,
    ) -> Self {
        Self {
            workspace,
            scope: None,
            job,
            request: String::new(),
            key: None,
            accepted_at: now,
            calls: Vec::new(),
            wait: Wait::Coordinator,
            dispatched: None,
            running: false,
            submitted: false,
            durability: Durability::Memory,
            confirmed: false,
            coordinator_asked: false,
            outcome_lost: false,
            bytes: 0,
            outcome: None,
            ended_at: Duration::ZERO,
        }
    }

    /// Returns whether the job is known to exist, because of its request, its
    /// record or the coordinator's confirmation.
    pub(super) fn exists(&self) -> bool {
        self.job.is_some() || !self.workspace.is_empty() || self.confirmed
    }
}

/// Returns the number of bytes of an outcome that count towards the limit of
/// buffered bytes.
pub(super) fn outcome_bytes(outcome: &Outcome) -> usize {
    match outcome {
        Outcome::Done(answer) => {
            answer.parts.iter().map(|p| p.bytes.len()).sum()
        }
        Outcome::Failed(_, reason) => reason.len(),
        _ => 0,
    }
}
