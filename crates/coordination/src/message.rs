//! What coordinators, agents, leads and entries say to one another.

use std::time::Duration;

use figrill_state::{
    error::Kind,
    job::{Answer, Attempt, Class, Job, JobId, Outcome, Shape},
    worker::{Capacity, Worker},
};

/// One attempt of one job.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Run {
    /// The job.
    pub job: JobId,
    /// Its attempt.
    pub attempt: Attempt,
}

/// Whose capacity a gang runs on.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Band {
    /// The workspace's own guarantee: never reclaimed.
    Own,
    /// Capacity that nobody was promised: never reclaimed.
    Unpromised,
    /// The idle guarantee of others: reclaimable.
    Borrowed,
}

/// What is known of a job without its inputs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Header {
    /// The workspace that pays for it.
    pub workspace: String,
    /// The service inside the workspace.
    pub service: String,
    /// What it needs.
    pub shape: Shape,
    /// The caller's class.
    pub class: Class,
    /// Whether it may run again after it may have run.
    pub repeatable: bool,
    /// Whether its outcome must be in the store before it is forgotten.
    pub recorded: bool,
    /// Whose capacity it runs on.
    pub band: Band,
}

/// A worker's share of a gang, as others reach it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// The worker's name.
    pub worker: String,
    /// The incarnation of its agent.
    pub incarnation: u64,
    /// Where its agent is reached.
    pub address: String,
    /// The ranks that it runs.
    pub ranks: Vec<u32>,
}

/// One part to run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Part {
    /// Its place in the gang.
    pub rank: u32,
    /// What the upstream is given.
    pub input: Vec<u8>,
    /// Where an earlier attempt was stopped, if it left a checkpoint.
    pub checkpoint: Option<Vec<u8>>,
}

/// A wish to hold capacity for a gang's parts on one worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Hold {
    /// The coordinator's term.
    pub term: u64,
    /// The attempt.
    pub run: Run,
    /// What is known of the job.
    pub header: Header,
    /// The whole gang; the first member is the lead.
    pub members: Vec<Member>,
    /// The parts for this worker.
    pub parts: Vec<Part>,
    /// How long the hold lasts if nothing follows.
    pub ttl: Duration,
}

/// Coordinator to agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AgentRequest {
    /// This process coordinates; send a report.
    Coordinate {
        /// Its term.
        term: u64,
    },
    /// Hold capacity; a gang with one member starts at once.
    Hold(Hold),
    /// Give a hold up; the lead answers for the whole gang, also if it
    /// never heard of it.
    Release {
        /// The coordinator's term.
        term: u64,
        /// The attempt.
        run: Run,
    },
    /// To the lead: all hold; start the gang together.
    StartGang {
        /// The coordinator's term.
        term: u64,
        /// The attempt.
        run: Run,
    },
    /// To the lead: end the gang, whatever it has come to.
    Cancel {
        /// The coordinator's term.
        term: u64,
        /// The attempt.
        run: Run,
        /// The reason that the outcome carries.
        why: Kind,
        /// How long parts may take to checkpoint.
        window: Duration,
    },
    /// The coordinator has the outcome; forget the attempt.
    Ack {
        /// The attempt.
        run: Run,
    },
}

/// How an attempt ended at its lead.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RunOutcome {
    /// All parts ran and answered.
    Done(Answer),
    /// Some part ran, and the gang failed.
    Failed {
        /// The reason.
        kind: Kind,
        /// More about it.
        why: String,
        /// The worker whose part failed, if one did.
        culprit: Option<String>,
    },
    /// No part ever started, nor will.
    NotStarted(Kind),
    /// The gang was stopped on request; what it left of its work.
    Stopped(Kind, Vec<Option<Vec<u8>>>),
}

/// How far a grant has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GrantPhase {
    /// Capacity is held.
    Held,
    /// The agent promised to start or committed.
    Prepared,
    /// Parts run.
    Running,
    /// Parts are being stopped.
    Stopping,
}

/// A grant as a new coordinator hears of it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GrantReport {
    /// The attempt.
    pub run: Run,
    /// What is known of the job.
    pub header: Header,
    /// What it takes from the worker.
    pub need: Capacity,
    /// How far it has come.
    pub phase: GrantPhase,
    /// The whole gang.
    pub members: Vec<Member>,
    /// How long ago it was granted.
    pub age: Duration,
}

/// Agent to coordinator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AgentReport {
    /// All that the agent knows; answers [`AgentRequest::Coordinate`].
    Full {
        /// The term that it answers.
        term: u64,
        /// The worker as it is now.
        worker: Worker,
        /// All grants.
        grants: Vec<GrantReport>,
        /// Endings that no coordinator has acknowledged.
        outcomes: Vec<(Run, Header, RunOutcome)>,
    },
    /// The worker's capacity changed.
    CapacityChanged {
        /// The worker as it is now.
        worker: Worker,
    },
    /// The hold stands.
    Held {
        /// The attempt.
        run: Run,
    },
    /// There is no hold, nor will there be one for this attempt.
    Refused {
        /// The attempt.
        run: Run,
    },
    /// The message's term is too low.
    Fenced {
        /// The highest term seen.
        term: u64,
    },
    /// From the lead: the gang's start is decided.
    Started {
        /// The attempt.
        run: Run,
    },
    /// From the lead, until acknowledged.
    Ended {
        /// The attempt.
        run: Run,
        /// How it ended.
        outcome: RunOutcome,
    },
    /// A grant is gone and its capacity free.
    Freed {
        /// The attempt.
        run: Run,
    },
}

/// Lead to member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberRequest {
    /// Promise to start at the lead's word.
    Prepare,
    /// All are ready.
    Commit,
    /// Run the parts.
    Start,
    /// The gang is alive; go on.
    Renew,
    /// The lead has this rank's answer.
    Ack {
        /// The rank.
        rank: u32,
    },
    /// Nothing was started; forget the gang.
    Abort,
    /// Stop the parts, with a checkpoint if there is time for one.
    Stop {
        /// How long checkpoints may take.
        window: Duration,
    },
}

/// Member to lead.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberReport {
    /// The member promises to start.
    Ready,
    /// The member has the commit.
    Committed,
    /// The parts were started.
    Started,
    /// The member lives and its parts run.
    Alive,
    /// There is no such grant here, nor will there be.
    NoGrant,
    /// A part answered.
    Answered {
        /// The rank.
        rank: u32,
        /// The answer.
        bytes: Vec<u8>,
    },
    /// A part failed.
    Failed {
        /// The rank.
        rank: u32,
        /// Why.
        why: String,
    },
    /// A part was stopped.
    Stopped {
        /// The rank.
        rank: u32,
        /// What it left of its work.
        checkpoint: Option<Vec<u8>>,
    },
}

/// Entry to coordinator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JobRequest {
    /// Run this job; the same id again means the same job.
    Submit {
        /// The job.
        job: Box<Job>,
        /// How long ago the caller sent it.
        age: Duration,
        /// Whether it was submitted before, to a coordinator that may have
        /// started it.
        tried: bool,
    },
    /// Say how a job stands, now and at its end.
    Follow {
        /// The job.
        job: JobId,
        /// Where its record says that it was dispatched, if it has one.
        dispatched: Option<Dispatched>,
        /// The workspace that the caller may see; any if `None`.
        scope: Option<String>,
    },
    /// End a job.
    Cancel {
        /// The job.
        job: JobId,
        /// The workspace that the caller may see; any if `None`.
        scope: Option<String>,
    },
    /// The entry has the outcome.
    Ack {
        /// The job.
        job: JobId,
    },
}

/// Where a job with a record was dispatched.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Dispatched {
    /// The attempt.
    pub attempt: Attempt,
    /// The worker of its lead.
    pub lead: String,
    /// The incarnation of that worker's agent.
    pub incarnation: u64,
}

/// How a job stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobStatus {
    /// It waits.
    Queued,
    /// It may have started.
    Running,
    /// The coordinator does not know it.
    Unknown,
}

/// Coordinator to entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JobReport {
    /// How a job stands now.
    Status {
        /// The job.
        job: JobId,
        /// How.
        status: JobStatus,
    },
    /// A job has ended.
    Ended {
        /// The job.
        job: JobId,
        /// How.
        outcome: Outcome,
    },
}
