//! The messages on a stream between two figrill processes.
//!
//! Both sides authenticate by a handshake and then send each other heartbeats.
//! Most other messages wrap a type of `figrill_coordination`.

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

/// The version of this protocol. The accepting side rejects a peer that
/// announces any other version.
pub const VERSION: u32 = 2;

/// The length of a [`Nonce`] in bytes.
pub const NONCE_BYTES: usize = 16;

/// A random value that is used for one handshake only.
pub type Nonce = [u8; NONCE_BYTES];

/// A message together with the sender's logical time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Frame {
    /// The sender's logical time when it sent the message.
    pub stamp: Stamp,
    /// The message itself.
    pub message: Message,
}

/// The role of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Answers callers, and may become the coordinator.
    Entry,
    /// Runs next to an upstream and relays work to it.
    Agent,
}

/// The identity of a process, as it is exchanged in the handshake.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// The name of the process.
    pub name: String,
    /// The role of the process.
    pub role: Role,
    /// A number that differs for each start of the process.
    pub incarnation: u64,
    /// The address at which it accepts streams from other processes.
    pub address: String,
    /// The address at which it serves HTTP.
    pub http: String,
    /// The worker of an agent; `None` for an entry.
    pub worker: Option<Worker>,
}

/// The state that each side of a stream sends to the other every second.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Heartbeat {
    /// The revision of the settings that the sender applies.
    pub revision: u64,
    /// The term record of the coordinator that the sender is or follows.
    pub coordinator: Option<TermRecord>,
    /// Whether the sender itself is that coordinator.
    pub leading: bool,
}

/// A message between two processes.
///
/// A stream starts with [`Message::Challenge`], [`Message::Hello`] and
/// [`Message::Welcome`], by which both sides authenticate. The other messages
/// follow in any order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Message {
    /// The first message of the accepting side.
    Challenge {
        /// The nonce that the dialling side has to sign.
        nonce: Nonce,
    },
    /// The dialling side's answer to the challenge.
    Hello {
        /// The protocol version of the dialling side; see [`VERSION`].
        version: u32,
        /// The identity of the dialling side.
        peer: Peer,
        /// The nonce that the accepting side has to sign.
        nonce: Nonce,
        /// The signature of the challenge.
        proof: Vec<u8>,
    },
    /// The accepting side's answer to the hello; it completes the handshake.
    Welcome {
        /// The identity of the accepting side.
        peer: Peer,
        /// The signature of the dialling side's nonce.
        proof: Vec<u8>,
    },
    /// The heartbeat that each side sends every second.
    Heartbeat(Heartbeat),
    /// A request for the settings that the receiver applies, sent by a process
    /// that has older ones.
    SettingsRequest,
    /// A settings record, encoded as it is in the store.
    Settings(Vec<u8>),
    /// The addresses of the entries that the sender knows.
    Entries(Vec<EntryAddress>),
    /// Entry to entry: the recorded jobs that the receiver takes over if the
    /// sender disconnects.
    StandbyJobs(Vec<JobId>),
    /// Coordinator to agent: an instruction about a gang.
    AgentRequest(AgentRequest),
    /// Agent to coordinator: the state of its grants and attempts.
    AgentReport(AgentReport),
    /// Lead to member: an instruction to one member of a gang.
    MemberRequest {
        /// The job and the attempt that the request belongs to.
        run: Run,
        /// The request itself.
        request: MemberRequest,
    },
    /// Member to lead: the progress of one member of a gang.
    MemberReport {
        /// The job and the attempt that the report belongs to.
        run: Run,
        /// The report itself.
        report: MemberReport,
    },
    /// Entry to coordinator: submits, follows or cancels a job, or
    /// acknowledges its outcome.
    JobRequest(JobRequest),
    /// Coordinator to entry: the status or the outcome of a job.
    JobReport(JobReport),
    /// Coordinator to agent: grants, starts and stops, in the mode in which
    /// all scheduling state is kept in the platform's store.
    ToAgent(ToAgent),
    /// Agent to coordinator: the state of its upstream and of the runs there,
    /// in the mode in which all scheduling state is kept in the platform's
    /// store.
    Report(Box<Report>),
    /// Entry to entry: a heartbeat, sent every 500 ms.
    EntryHeartbeat {
        /// Whether the sender reaches the store directly, so that it can relay
        /// calls of entries that don't.
        reaches_store: bool,
    },
    /// Entry to entry: a call of the store that the receiver makes on behalf
    /// of the sender.
    StoreCall {
        /// Identifies the call on this stream; the answer repeats it.
        number: u64,
        /// How long the receiver waits for the store's answer.
        timeout: Duration,
        /// The call to make.
        call: call::Call,
    },
    /// The answer to [`Message::StoreCall`].
    StoreAnswer {
        /// The number of the call that this answers.
        number: u64,
        /// The result of the call.
        result: Result<call::CallResult, KvError>,
    },
    /// Entry to entry: asks whether a write of this job that the receiver sent
    /// to the store may still be applied.
    PendingWriteQuery {
        /// Identifies the query on this stream; the answer repeats it.
        number: u64,
        /// The job whose writes are asked about.
        job: BatchId,
    },
    /// The answer to [`Message::PendingWriteQuery`].
    PendingWriteAnswer {
        /// The number of the query that this answers.
        number: u64,
        /// Whether such a write may still be applied. An entry that can't rule
        /// it out answers `true`.
        may_still_apply: bool,
    },
    /// Entry to entry: the record of a job that the sender has written to the
    /// store, encoded as it is there. It lets the coordinator place the job
    /// before its watch of the store reports it.
    JobRecord(Vec<u8>),
}
