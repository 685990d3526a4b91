//! The messages on a stream between two processes.

use std::time::Duration;

use figrill_coordination::message::{
    AgentReport, AgentRequest, JobReport, JobRequest, MemberReport,
    MemberRequest, Run,
};
use figrill_coordination::scheduler::message::{Report, ToAgent};
use figrill_state::{
    batch::BatchId,
    event::Stamp,
    job::JobId,
    kv::{KvError, call},
    record::{EntryAddress, TermRecord},
    worker::Worker,
};

/// The version of this protocol; a process refuses any other.
pub const VERSION: u32 = 2;

/// Bytes of a nonce.
pub const NONCE_BYTES: usize = 16;

/// A fresh random value.
pub type Nonce = [u8; NONCE_BYTES];

/// A message with the sender's logical time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Frame {
    /// The sender's logical time.
    pub stamp: Stamp,
    /// The message.
    pub message: Message,
}

/// What a process does in the system.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// It answers callers and may coordinate.
    Entry,
    /// It stands beside an upstream.
    Agent,
}

/// Who is at the other end of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// The process's name.
    pub name: String,
    /// What it does.
    pub role: Role,
    /// A fresh number at each start.
    pub incarnation: u64,
    /// Where other processes reach it.
    pub peer: String,
    /// Where its HTTP is reached.
    pub http: String,
    /// Its worker, if it is an agent.
    pub worker: Option<Worker>,
}

/// What each side tells the other every second.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Beat {
    /// The revision of the settings in force.
    pub revision: u64,
    /// The coordinator that the sender is or follows.
    pub coordinator: Option<TermRecord>,
    /// Whether the sender is that coordinator.
    pub leading: bool,
}

/// A message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Message {
    /// The accepting side's first message.
    Challenge {
        /// To be signed by the dialling side.
        nonce: Nonce,
    },
    /// The dialling side's answer.
    Hello {
        /// The protocol's version.
        version: u32,
        /// Who dials.
        peer: Peer,
        /// To be signed by the accepting side.
        nonce: Nonce,
        /// Signs the challenge.
        proof: Vec<u8>,
    },
    /// The accepting side's answer to that.
    Welcome {
        /// Who accepted.
        peer: Peer,
        /// Signs the dialling side's nonce.
        proof: Vec<u8>,
    },
    /// A heartbeat.
    Beat(Beat),
    /// A wish for the settings in force at the other side.
    Pull,
    /// A settings record as the store keeps it.
    Settings(Vec<u8>),
    /// The entries that the sender knows.
    Entries(Vec<EntryAddress>),
    /// Entry to entry: look after these jobs once the sender is gone.
    Wards(Vec<JobId>),
    /// Coordinator to agent.
    AgentRequest(AgentRequest),
    /// Agent to coordinator.
    AgentReport(AgentReport),
    /// Lead to member.
    MemberRequest {
        /// The attempt.
        run: Run,
        /// The message.
        request: MemberRequest,
    },
    /// Member to lead.
    MemberReport {
        /// The attempt.
        run: Run,
        /// The message.
        report: MemberReport,
    },
    /// Entry to coordinator.
    JobRequest(JobRequest),
    /// Coordinator to entry.
    JobReport(JobReport),
    /// Coordinator to agent, where the store holds every promise.
    ToAgent(ToAgent),
    /// Agent to coordinator, where the store holds every promise.
    Report(Box<Report>),
    /// Entry to entry, every half second.
    EntryBeat {
        /// Whether the sender reaches the store by itself.
        reaches_store: bool,
    },
    /// Entry to entry: make this call of the store for me.
    StoreCall {
        /// Names the call on this stream.
        number: u64,
        /// How long the store may take.
        timeout: Duration,
        /// The call.
        call: call::Call,
    },
    /// The answer to that.
    StoreAnswer {
        /// The call's number.
        number: u64,
        /// What came of it.
        result: Result<call::CallResult, KvError>,
    },
    /// Entry to entry: may a write of this job that you sent still land?
    AskWrite {
        /// Names the question on this stream.
        number: u64,
        /// The job.
        job: BatchId,
    },
    /// The answer to that.
    WriteMayLand {
        /// The question's number.
        number: u64,
        /// Whether it may.
        may_land: bool,
    },
}
