//! An entry, which accepts jobs from callers and returns their outcomes.
//!
//! An entry keeps the request of each accepted job until it has the outcome,
//! and submits the job again when the coordinator changes. A job that must
//! survive the entry has a record in the store, by which another entry can
//! take it over.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use figrill_state::error::Kind;
use figrill_state::event::{Code, NewEvent};
use figrill_state::job::{Job, JobId, Outcome};
use figrill_state::ledger::ClaimOutcome;
use figrill_state::record::JobRecord;
use track::{Durability, TrackedJob, Wait, WaitingCall};

use crate::message::{JobReport, JobRequest, JobStatus};

mod calls;
mod records;
mod track;

/// How long an outcome is kept for callers that poll for it.
pub const OUTCOME_RETENTION: Duration = Duration::from_mins(10);

/// The maximum number of jobs that an entry tracks.
pub const MAX_TRACKED_JOBS: usize = 20_000;

/// The maximum number of bytes of requests and answers that an entry keeps.
/// The memory in use is a multiple of this, because a request is kept as text
/// and as parsed parts, and once more by the coordinator.
pub const MAX_BUFFERED_BYTES: usize = 12 * 1024 * 1024;

/// How long an entry may be without a coordinator before it refuses new jobs.
pub const COORDINATOR_TIMEOUT: Duration = Duration::from_secs(6);

/// The maximum number of jobs that one other entry may delegate to this one.
/// The oldest are dropped first.
const MAX_DELEGATED_JOBS: usize = 10_000;

/// The delay before a job's record is read again, because another entry may be
/// about to change it.
const REREAD_DELAY: Duration = Duration::from_millis(500);

/// Identifies one request of a caller.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallId(pub u64);

/// A job as a caller submitted it.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The job with its inputs, parsed from the request.
    pub job: Job,
    /// The caller's idempotency key, if any.
    pub key: Option<String>,
    /// The text of the request, for the job's record.
    pub request: String,
    /// How long the caller's connection may wait for the outcome.
    pub wait: Duration,
}

/// An input of the entry.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A caller submits a job.
    Submit {
        /// The call that waits for the outcome.
        call: CallId,
        /// The job, and how long the caller may wait for it.
        submission: Box<Submission>,
    },
    /// A caller asks for a job's outcome.
    Poll {
        /// The call that waits for the outcome.
        call: CallId,
        /// The job whose outcome the caller asks for.
        job: JobId,
        /// The workspace whose jobs the caller may access; `None` allows any.
        scope: Option<String>,
        /// How long the caller's connection may wait for the outcome.
        wait: Duration,
    },
    /// A caller cancels a job.
    Cancel {
        /// The call that waits for the outcome, which may be that of a
        /// completed job if the cancellation came too late.
        call: CallId,
        /// The job to cancel.
        job: JobId,
        /// The workspace whose jobs the caller may access; `None` allows any.
        scope: Option<String>,
    },
    /// A caller has disconnected.
    CallerDisconnected {
        /// The call, which can no longer be answered.
        call: CallId,
    },
    /// The result of [`Action::Claim`].
    Claimed {
        /// The job that was to be claimed.
        job: JobId,
        /// The result, or `None` if the store did not answer.
        result: Option<ClaimOutcome>,
    },
    /// The result of [`Action::Read`].
    Read {
        /// The job whose record was read.
        job: JobId,
        /// What the read returned.
        result: RecordRead,
    },
    /// The result of [`Action::TakeOver`].
    TakenOver {
        /// The job that was to be taken over.
        job: JobId,
        /// The new version of the job's record, or `None` if the takeover
        /// failed.
        version: Option<u64>,
    },
    /// The coordinator sent a report.
    Report(JobReport),
    /// The coordinator has changed.
    Coordinator {
        /// Whether a coordinator is known and connected.
        known: bool,
    },
    /// The set of connected entries has changed; these are their incarnations.
    Entries(BTreeSet<u64>),
    /// Another entry asks this one to take over recorded jobs if that entry
    /// disconnects.
    JobsDelegated {
        /// The incarnation of the other entry.
        from: u64,
        /// The jobs, each of which has a record in the store.
        jobs: Vec<JobId>,
    },
    /// The process drains: it refuses new jobs.
    Drain,
}

/// The result of reading a job's record from the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RecordRead {
    /// The store did not answer.
    Unavailable,
    /// The job has no record.
    Missing,
    /// The version of the record, and the record.
    Found(u64, Box<JobRecord>),
}

/// The answer to a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The job has ended.
    Outcome {
        /// The job that has ended.
        job: JobId,
        /// The outcome, which may also be a failure or unknown.
        outcome: Outcome,
    },
    /// The job has not ended; the caller can poll for its outcome at the job's
    /// address.
    Accepted {
        /// The job, whose id is part of the address to poll.
        job: JobId,
        /// Whether the job may have started.
        running: bool,
        /// Whether the job survives the loss of this process.
        durable: bool,
    },
    /// The request was refused.
    Refused {
        /// The job, if the request concerns a known one.
        job: Option<JobId>,
        /// The reason for the refusal.
        kind: Kind,
    },
}

/// An action for the process that drives the entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Answer a caller.
    Reply {
        /// The call to answer. Each call gets one answer.
        call: CallId,
        /// The outcome, an acceptance or a refusal.
        reply: Reply,
    },
    /// Send a request to the coordinator.
    ToCoordinator(JobRequest),
    /// Write the job's record and key, then report [`Input::Claimed`].
    Claim {
        /// The job to write a record for.
        job: JobId,
        /// The workspace of the job.
        workspace: String,
        /// The caller's idempotency key, if any.
        key: Option<String>,
        /// The text of the caller's request.
        request: String,
    },
    /// Read the job's record, then report [`Input::Read`].
    Read {
        /// The job whose record to read.
        job: JobId,
    },
    /// Take over a job whose claiming entry is no longer connected, then
    /// report [`Input::TakenOver`].
    TakeOver {
        /// The job to take over.
        job: JobId,
        /// The expected version of the job's record.
        version: u64,
        /// The record as it was read.
        record: Box<JobRecord>,
    },
    /// Write the outcome of a job to its record, which was written too late for
    /// the coordinator to know of it.
    SaveOutcome {
        /// The job that has ended.
        job: JobId,
        /// The outcome to write.
        outcome: Outcome,
    },
    /// Ask all other entries to take over a job if this entry disconnects. Its
    /// callers were answered that they can poll for the outcome, and without
    /// this no other entry would look for the job until one of them does.
    DelegateJob {
        /// The job, which has a record in the store.
        job: JobId,
    },
    /// Record an event in the journal.
    RecordEvent(NewEvent),
}

/// The state machine of one entry.
pub struct Entry {
    incarnation: u64,
    jobs: BTreeMap<JobId, TrackedJob>,
    /// The callers that wait, and the job that each waits for.
    calls: BTreeMap<CallId, JobId>,
    /// The jobs with an outcome, in the order in which they ended.
    ended_jobs: VecDeque<JobId>,
    /// The number of bytes of requests and answers that are kept.
    buffered_bytes: usize,
    /// The incarnations of the connected entries.
    entries: BTreeSet<u64>,
    /// The jobs that other entries have delegated, by their incarnation.
    delegated: BTreeMap<u64, VecDeque<JobId>>,
    has_coordinator: bool,
    /// Since when there is no coordinator; meaningless while there is one.
    no_coordinator_since: Duration,
    draining: bool,
    /// The actions of the current step.
    actions: Vec<Action>,
}

impl Entry {
    /// Creates an entry with this incarnation that knows no coordinator yet.
    #[must_use]
    pub fn new(now: Duration, incarnation: u64) -> Self {
        Self {
            incarnation,
            jobs: BTreeMap::new(),
            calls: BTreeMap::new(),
            ended_jobs: VecDeque::new(),
            buffered_bytes: 0,
            entries: BTreeSet::new(),
            delegated: BTreeMap::new(),
            has_coordinator: false,
            no_coordinator_since: now,
            draining: false,
            actions: Vec::new(),
        }
    }

    /// Returns the number of callers that wait for an answer.
    #[must_use]
    pub fn waiting_calls(&self) -> usize {
        self.calls.len()
    }

    /// Returns the number of jobs without an outcome that no other process
    /// could submit again if this entry stopped now.
    #[must_use]
    pub fn open_jobs(&self) -> usize {
        let open = |t: &&TrackedJob| {
            t.outcome.is_none() && t.durability == Durability::Memory
        };
        self.jobs.values().filter(open).count()
    }

    /// Returns the number of bytes of requests and answers that are kept.
    #[must_use]
    pub const fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    /// Handles an input and returns the resulting actions.
    pub fn handle(&mut self, now: Duration, input: Input) -> Vec<Action> {
        match input {
            Input::Tick => self.tick(now),
            Input::Submit { call, submission } => {
                self.submit(now, call, *submission);
            }
            Input::Poll {
                call,
                job,
                scope,
                wait,
            } => {
                self.poll(now, call, job, scope, now + wait);
            }
            Input::Cancel { call, job, scope } => {
                self.cancel(now, call, job, scope);
            }
            Input::CallerDisconnected { call } => self.detach(call),
            Input::Claimed { job, result } => {
                self.claimed(now, job, result.as_ref());
            }
            Input::Read { job, result } => self.record_read(now, job, result),
            Input::TakenOver { job, version } => {
                self.taken_over(now, job, version);
            }
            Input::Report(report) => self.on_report(now, report),
            Input::Coordinator { known } => self.on_coordinator(now, known),
            Input::Entries(entries) => self.update_entries(now, entries),
            Input::JobsDelegated { from, jobs } => {
                self.add_delegated(from, jobs);
            }
            Input::Drain => self.drain(now),
        }
        std::mem::take(&mut self.actions)
    }

    /// Accepts a new job, or refuses it if a limit is reached. A job that has
    /// an idempotency key or must not be started twice is claimed in the store
    /// before it is sent to the coordinator.
    fn submit(&mut self, now: Duration, call: CallId, new: Submission) {
        let no_coordinator = !self.has_coordinator
            && now >= self.no_coordinator_since + COORDINATOR_TIMEOUT;
        let size = new.request.len();
        let refusal = if self.draining {
            Some(Kind::Draining)
        } else if no_coordinator {
            Some(Kind::NoCoordinator)
        } else if self.jobs.len() >= MAX_TRACKED_JOBS
            || self.buffered_bytes + size > MAX_BUFFERED_BYTES
        {
            Some(Kind::QueueFull)
        } else {
            None
        };
        if let Some(kind) = refusal {
            self.refuse(call, None, kind);
            return;
        }
        let id = new.job.id;
        self.record_event(Code::JobAccepted, id, &format!("bytes={size}"));
        let claim = new.key.is_some() || !new.job.repeatable;
        let deadline = now + new.wait;
        let workspace = new.job.workspace.clone();
        let mut tracked =
            TrackedJob::new(now, workspace.clone(), Some(new.job));
        tracked.request = new.request;
        tracked.key = new.key;
        tracked.calls.push(WaitingCall { call, deadline });
        tracked.bytes = size;
        self.buffered_bytes += size;
        self.calls.insert(call, id);
        if claim {
            tracked.wait = Wait::Claim;
            self.actions.push(Action::Claim {
                job: id,
                workspace,
                key: tracked.key.clone(),
                request: tracked.request.clone(),
            });
        }
        self.jobs.insert(id, tracked);
        if !claim {
            self.send_to_coordinator(now, id);
        }
    }

    /// Submits a job to the coordinator. If the job is already dispatched or
    /// this entry has no request for it, asks the coordinator to report its
    /// status and outcome instead.
    fn send_to_coordinator(&mut self, now: Duration, id: JobId) {
        let Some(tracked) = self.jobs.get_mut(&id) else {
            return;
        };
        tracked.wait = Wait::Coordinator;
        let request = match (&tracked.dispatched, &tracked.job) {
            (None, Some(job)) => JobRequest::Submit {
                job: Box::new(job.clone()),
                age: now.saturating_sub(tracked.accepted_at),
                maybe_started: std::mem::replace(&mut tracked.submitted, true),
            },
            (dispatched, _) => JobRequest::Follow {
                job: id,
                dispatched: dispatched.clone(),
                scope: tracked.scope.clone(),
            },
        };
        self.actions.push(Action::ToCoordinator(request));
    }

    fn on_report(&mut self, now: Duration, report: JobReport) {
        match report {
            JobReport::Ended { job, outcome } => {
                let ack = JobRequest::Ack { job };
                self.actions.push(Action::ToCoordinator(ack));
                self.ended(now, job, &outcome);
            }
            JobReport::Status {
                job,
                status: JobStatus::Unknown,
            } => {
                self.unknown_to_coordinator(now, job);
            }
            JobReport::Status { job, status } => {
                if let Some(tracked) = self.jobs.get_mut(&job) {
                    tracked.confirmed = true;
                    tracked.running = status == JobStatus::Running;
                }
            }
        }
    }

    /// Records whether there is a coordinator, and sends all open jobs to a
    /// new one.
    fn on_coordinator(&mut self, now: Duration, known: bool) {
        if self.has_coordinator && !known {
            self.no_coordinator_since = now;
        }
        self.has_coordinator = known;
        if !known {
            return;
        }
        let open: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, t)| t.outcome.is_none())
            .filter(|(_, t)| {
                matches!(t.wait, Wait::Coordinator | Wait::Durable)
            })
            .map(|(id, _)| *id)
            .collect();
        for id in open {
            self.send_to_coordinator(now, id);
        }
    }

    /// Records the outcome of a job and answers its callers. Later outcomes of
    /// the same job are ignored.
    fn finish(&mut self, now: Duration, id: JobId, outcome: &Outcome) {
        let Some(tracked) = self.jobs.get_mut(&id) else {
            return;
        };
        if tracked.outcome.is_some() {
            return;
        }
        self.buffered_bytes -= tracked.bytes;
        tracked.bytes = track::outcome_bytes(outcome);
        self.buffered_bytes += tracked.bytes;
        tracked.request = String::new();
        tracked.job = None;
        tracked.ended_at = now;
        tracked.outcome = Some(outcome.clone());
        let calls = std::mem::take(&mut tracked.calls);
        self.ended_jobs.push_back(id);
        for call in calls {
            self.calls.remove(&call.call);
            self.answer(call.call, id, outcome.clone());
        }
    }

    fn record_event(&mut self, code: Code, job: JobId, detail: &str) {
        self.actions
            .push(Action::RecordEvent(NewEvent::for_job(code, job, detail)));
    }

    fn tick(&mut self, now: Duration) {
        self.reread_due(now);
        self.answer_due_calls(now);
        self.evict_outcomes(now);
    }

    fn drain(&mut self, now: Duration) {
        self.draining = true;
        self.answer_due_calls(now);
    }
}
