//! One job as its entry keeps track of it.

use std::time::Duration;

use figrill_state::job::{Job, Outcome};

use crate::message::Dispatched;

use super::CallId;

/// What a job waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Wait {
    /// Its record is being written before anything else.
    Claim,
    /// Its record is being written before its callers leave.
    Durable,
    /// The coordinator has it.
    Coordinator,
    /// Its record is to be read.
    Record {
        /// When.
        at: Duration,
    },
}

/// Who would bring a job back if this entry were gone.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Durability {
    /// Nobody.
    Memory,
    /// Whoever asks for it: it has a record.
    Stored,
    /// The other entries: they were asked to look after it.
    Delegated,
}

/// A caller that waits.
#[derive(Clone, Copy, Debug)]
pub(super) struct Call {
    pub(super) call: CallId,
    pub(super) deadline: Duration,
}

/// A job. Its flags are independent of each other.
#[allow(clippy::struct_excessive_bools)]
pub(super) struct TrackedJob {
    pub(super) workspace: String,
    /// Until the workspace is known: the one that the caller may see.
    pub(super) scope: Option<String>,
    pub(super) job: Option<Job>,
    pub(super) request: String,
    pub(super) key: Option<String>,
    pub(super) accepted_at: Duration,
    pub(super) calls: Vec<Call>,
    pub(super) wait: Wait,
    pub(super) dispatched: Option<Dispatched>,
    pub(super) running: bool,
    /// Whether it was submitted to a coordinator.
    pub(super) submitted: bool,
    pub(super) durability: Durability,
    /// Whether the coordinator has said that it knows the job.
    pub(super) confirmed: bool,
    /// Whether the coordinator was asked about it without a record.
    pub(super) coordinator_asked: bool,
    pub(super) bytes: usize,
    pub(super) outcome: Option<Outcome>,
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
            bytes: 0,
            outcome: None,
            ended_at: Duration::ZERO,
        }
    }

    /// Whether a request, a record or the coordinator has shown that there
    /// is such a job.
    pub(super) fn exists(&self) -> bool {
        self.job.is_some() || !self.workspace.is_empty() || self.confirmed
    }
}

/// Bytes that an outcome takes.
pub(super) fn outcome_bytes(outcome: &Outcome) -> usize {
    match outcome {
        Outcome::Done(answer) => {
            answer.parts.iter().map(|p| p.bytes.len()).sum()
        }
        Outcome::Failed(_, why) => why.len(),
        _ => 0,
    }
}
