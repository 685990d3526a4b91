//! The messages that coordinators, agents, gang leads and entries exchange.
//!
//! These are plain values without a wire format; the protocol crate encodes
//! them.

use std::time::Duration;

use figrill_state::{
    error::Kind,
    job::{Answer, Attempt, Class, Job, JobId, Outcome, Shape},
    worker::{Capacity, Worker},
};

/// One attempt of one job.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Run {
    /// The job that the attempt belongs to.
    pub job: JobId,
    /// The number of the attempt, which contains the term of the coordinator
    /// that placed it.
    pub attempt: Attempt,
}

/// The kind of capacity that a gang runs on, which decides whether it can be
/// reclaimed. The names of the variants are printed in the `band=` word of
/// events.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Band {
    /// The guarantee of the gang's own workspace; never reclaimed.
    Own,
    /// Capacity beyond all guarantees; never reclaimed.
    Unpromised,
    /// The idle guarantee of another workspace; reclaimable.
    Borrowed,
}

/// The description of a job without its inputs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JobHeader {
    /// The workspace that the job is charged to.
    pub workspace: String,
    /// The service within the workspace.
    pub service: String,
    /// The resources that the job needs.
    pub shape: Shape,
    /// The priority class that the caller chose.
    pub class: Class,
    /// Whether the job may be started again if an earlier attempt may have
    /// run.
    pub repeatable: bool,
    /// Whether the outcome must be written to the store before it is
    /// discarded.
    pub recorded: bool,
    /// The kind of capacity that the gang runs on.
    pub band: Band,
}

/// One worker's share of a gang, and the address of its agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// The name of the worker.
    pub worker: String,
    /// The incarnation of the worker's agent.
    pub incarnation: u64,
    /// The address at which the worker's agent accepts streams from other
    /// processes.
    pub address: String,
    /// The ranks of the parts that the worker runs.
    pub ranks: Vec<u32>,
}

/// One part to run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Part {
    /// The rank of the part in the gang.
    pub rank: u32,
    /// The input that is passed to the upstream.
    pub input: Vec<u8>,
    /// The checkpoint that an earlier attempt left, if any.
    pub checkpoint: Option<Vec<u8>>,
}

/// A request to hold capacity for a gang's parts on one worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Hold {
    /// The term of the coordinator that requests the hold.
    pub term: u64,
    /// The attempt that the capacity is held for.
    pub run: Run,
    /// The description of the job.
    pub header: JobHeader,
    /// All members of the gang. The first one is the lead.
    pub members: Vec<Member>,
    /// The parts that this worker is to run.
    pub parts: Vec<Part>,
    /// How long the capacity is held if no further message follows.
    pub ttl: Duration,
}

/// A message from a coordinator to an agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AgentRequest {
    /// Announces the sender as coordinator and requests a full report.
    Coordinate {
        /// The sender's term.
        term: u64,
    },
    /// Holds capacity. A gang with a single member starts at once, without
    /// [`AgentRequest::StartGang`].
    Hold(Hold),
    /// Releases a hold that was not started. The lead reports the outcome of
    /// the whole gang. An agent without a grant, which may never have received
    /// the hold, answers [`AgentReport::Refused`].
    Release {
        /// The term of the coordinator that releases the hold.
        term: u64,
        /// The attempt whose hold is released.
        run: Run,
    },
    /// Tells the lead to start the gang, because all members hold their
    /// capacity.
    StartGang {
        /// The term of the coordinator that starts the gang.
        term: u64,
        /// The attempt whose gang is to start.
        run: Run,
    },
    /// Tells the lead to end the gang, whatever its phase.
    Cancel {
        /// The term of the coordinator that ends the gang.
        term: u64,
        /// The attempt whose gang is to end.
        run: Run,
        /// The reason that is reported in the outcome.
        reason: Kind,
        /// How long the parts may take to write a checkpoint.
        window: Duration,
    },
    /// Acknowledges the outcome, so that the agent can discard it.
    Ack {
        /// The attempt whose outcome is acknowledged.
        run: Run,
    },
    /// Acknowledges [`AgentReport::Leaving`], so that the agent can end.
    Dismiss {
        /// The term of the coordinator that received the report.
        term: u64,
    },
}

/// The outcome of an attempt, as its lead reports it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RunOutcome {
    /// All parts ran and returned an answer.
    Done(Answer),
    /// At least one part may have run, and the gang failed.
    Failed {
        /// The kind of error, such as [`Kind::PartFailed`].
        kind: Kind,
        /// A description of the failure.
        reason: String,
        /// The worker whose part failed, if the failure was that of a part.
        failed_worker: Option<String>,
    },
    /// No part was started, and none will be, for this reason.
    NotStarted(Kind),
    /// The gang was stopped on request. The first field is the reason from
    /// [`AgentRequest::Cancel`]; the second has the checkpoint of each rank,
    /// if it left one.
    Stopped(Kind, Vec<Option<Vec<u8>>>),
}

/// The phase of a grant.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GrantPhase {
    /// The capacity is held.
    Held,
    /// The agent has prepared or committed the start.
    Prepared,
    /// The parts run.
    Running,
    /// The parts are being stopped.
    Stopping,
}

/// A grant as an agent reports it to a new coordinator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GrantReport {
    /// The attempt that the capacity was granted to.
    pub run: Run,
    /// The description of the job, which a new coordinator may not know.
    pub header: JobHeader,
    /// The capacity that the grant takes from the worker.
    pub capacity: Capacity,
    /// The phase of the grant.
    pub phase: GrantPhase,
    /// All members of the gang. The first one is the lead.
    pub members: Vec<Member>,
    /// The time since the capacity was granted.
    pub age: Duration,
}

/// A message from an agent to a coordinator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AgentReport {
    /// The complete state of the agent, in response to
    /// [`AgentRequest::Coordinate`].
    Full {
        /// The term of the request that this responds to.
        term: u64,
        /// The current description of the worker.
        worker: Worker,
        /// All grants of the agent.
        grants: Vec<GrantReport>,
        /// The outcomes that no coordinator has acknowledged.
        outcomes: Vec<(Run, JobHeader, RunOutcome)>,
    },
    /// The capacity that the worker offers has changed.
    CapacityChanged {
        /// The current description of the worker.
        worker: Worker,
    },
    /// The capacity is held.
    Held {
        /// The attempt that the capacity is held for.
        run: Run,
    },
    /// The agent does not hold capacity for this attempt and never will.
    Refused {
        /// The attempt of the hold or the release that this responds to.
        run: Run,
    },
    /// The request was rejected because the agent has seen a higher term or
    /// the same term from another coordinator.
    Fenced {
        /// The highest term that the agent has seen.
        term: u64,
    },
    /// Sent by the lead when it has decided to start the gang.
    Started {
        /// The attempt whose gang is starting.
        run: Run,
    },
    /// Sent by the lead when the gang has ended. The lead keeps the outcome
    /// until it is acknowledged.
    Ended {
        /// The attempt that has ended.
        run: Run,
        /// How the attempt ended.
        outcome: RunOutcome,
    },
    /// A grant has ended and its capacity is free again.
    Freed {
        /// The attempt that the capacity was granted to.
        run: Run,
    },
    /// The agent drains and is idle: it has no grant and no unacknowledged
    /// outcome, and grants nothing more. It ends once this is acknowledged by
    /// [`AgentRequest::Dismiss`].
    Leaving {
        /// The term of the coordinator that this is sent to.
        term: u64,
        /// The current description of the worker.
        worker: Worker,
    },
}

/// A message from the lead of a gang to a member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberRequest {
    /// The first round of the start: stay prepared to start the parts.
    Prepare,
    /// The second round of the start: all members are prepared.
    Commit,
    /// Start the parts.
    Start,
    /// Renews the member's run lease.
    Renew,
    /// Acknowledges the final report of a rank.
    Ack {
        /// The rank whose part has ended.
        rank: u32,
    },
    /// The gang does not start; release the grant.
    Abort,
    /// Stop the parts, with a checkpoint if it is written within `window`.
    Stop {
        /// How long the parts may take to write a checkpoint.
        window: Duration,
    },
}

/// A message from a member of a gang to the lead.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberReport {
    /// The member is prepared to start, in response to
    /// [`MemberRequest::Prepare`].
    Ready,
    /// The member is still prepared, in response to
    /// [`MemberRequest::Commit`].
    Committed,
    /// The member has started its parts.
    Started,
    /// The member runs its parts, in response to [`MemberRequest::Renew`].
    Alive,
    /// The member has no grant for this attempt, or none that it can start.
    /// The lead then aborts or stops the gang.
    NoGrant,
    /// A part ended with an answer.
    Answered {
        /// The rank of the part that ended.
        rank: u32,
        /// The answer, as the upstream returned it.
        bytes: Vec<u8>,
    },
    /// A part failed.
    Failed {
        /// The rank of the part that failed.
        rank: u32,
        /// The reason of the failure.
        reason: String,
    },
    /// A part was stopped.
    Stopped {
        /// The rank of the part that was stopped.
        rank: u32,
        /// The checkpoint that the part left, if any.
        checkpoint: Option<Vec<u8>>,
    },
}

/// A message from an entry to the coordinator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JobRequest {
    /// Submits a job. The request is idempotent: a repeated id refers to the
    /// same job.
    Submit {
        /// The job with its inputs.
        job: Box<Job>,
        /// The time since the caller sent the job.
        age: Duration,
        /// Whether the job was submitted before, so that an earlier
        /// coordinator may have started it.
        maybe_started: bool,
    },
    /// Requests the current status of a job and, when it has ended, its
    /// outcome.
    Follow {
        /// The job whose status the entry asks for.
        job: JobId,
        /// The dispatch that the job's record in the store names, if any.
        dispatched: Option<Dispatched>,
        /// The workspace whose jobs the caller may access; `None` allows any.
        scope: Option<String>,
    },
    /// Cancels a job.
    Cancel {
        /// The job to cancel.
        job: JobId,
        /// The workspace whose jobs the caller may access; `None` allows any.
        scope: Option<String>,
    },
    /// Acknowledges the outcome of a job.
    Ack {
        /// The job whose outcome the entry has received.
        job: JobId,
    },
}

/// The dispatch of a job, as its record in the store has it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Dispatched {
    /// The attempt that was dispatched.
    pub attempt: Attempt,
    /// The worker whose agent leads the gang.
    pub lead: String,
    /// The incarnation of that worker's agent.
    pub incarnation: u64,
}

/// The status of a job that has not ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobStatus {
    /// The job waits to be dispatched.
    Queued,
    /// The job has been dispatched and may have started.
    Running,
    /// The coordinator does not know the job.
    Unknown,
}

/// A message from the coordinator to an entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JobReport {
    /// The current status of a job.
    Status {
        /// A job that the entry has submitted or asked about.
        job: JobId,
        /// The job's status when the report was sent.
        status: JobStatus,
    },
    /// A job has ended.
    Ended {
        /// The job that has ended.
        job: JobId,
        /// The final outcome, which the entry acknowledges with
        /// [`JobRequest::Ack`].
        outcome: Outcome,
    },
}
