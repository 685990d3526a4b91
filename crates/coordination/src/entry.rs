//! An entry: takes jobs from callers and brings them their outcomes.
//!
//! An entry keeps the request of each job that it took until it has the
//! outcome, and submits it again to whoever coordinates next. What must
//! outlive the entry has a record in the store.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use figrill_state::{
    error::Kind,
    event::{Code, Note},
    job::{Job, JobId, Outcome},
    ledger::Claimed,
    record::{JobRecord, Progress},
    request::Submit,
};

use crate::message::{Dispatched, JobReport, JobRequest, Standing};

mod track;

use track::{Call, Kept, Track, Wait};

/// How long an outcome is kept for callers that come back.
pub const OUTCOME_KEPT: Duration = Duration::from_mins(10);

/// The most jobs that an entry keeps track of.
pub const TRACKS_MAX: usize = 20_000;

/// The most bytes of requests and answers that an entry keeps. A request
/// is kept as text and as parts, and once more by the coordinator.
pub const BYTES_MAX: usize = 12 * 1024 * 1024;

/// How long an entry waits for a coordinator before it refuses new jobs.
pub const COORDINATOR_WAIT: Duration = Duration::from_secs(6);

/// The most jobs that are looked after for one other entry.
const WARDS_MAX: usize = 10_000;

/// Time before a record is read again.
const READ_AGAIN: Duration = Duration::from_millis(500);

/// Names one request of a caller.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallId(pub u64);

/// A job as a caller sent it.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The job.
    pub job: Job,
    /// The caller's key.
    pub key: Option<String>,
    /// The request, for the job's record.
    pub request: String,
    /// How long the caller's connection may wait.
    pub wait: Duration,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time passed.
    Tick,
    /// A caller submits a job.
    Submit {
        /// The call.
        call: CallId,
        /// The job.
        submission: Box<Submission>,
    },
    /// A caller asks for a job's outcome.
    Poll {
        /// The call.
        call: CallId,
        /// The job.
        job: JobId,
        /// The workspace that the caller may see; any if `None`.
        scope: Option<String>,
        /// How long the caller's connection may wait.
        wait: Duration,
    },
    /// A caller cancels a job.
    Cancel {
        /// The call.
        call: CallId,
        /// The job.
        job: JobId,
        /// The workspace that the caller may see; any if `None`.
        scope: Option<String>,
    },
    /// A caller has hung up.
    Gone {
        /// The call.
        call: CallId,
    },
    /// A claim ended; `None` if the store did not answer.
    Claimed {
        /// The job that was to be claimed.
        job: JobId,
        /// How.
        result: Option<Claimed>,
    },
    /// A record was read.
    Read {
        /// The job.
        job: JobId,
        /// What was found.
        result: RecordRead,
    },
    /// A claimed job was taken over, with its record's new version, or not.
    TakenOver {
        /// The job.
        job: JobId,
        /// The version.
        version: Option<u64>,
    },
    /// The coordinator's message.
    Report(JobReport),
    /// Who coordinates has changed.
    Coordinator {
        /// Whether one is known and connected.
        known: bool,
    },
    /// The incarnations of the entries that are connected.
    Entries(BTreeSet<u64>),
    /// Another entry asks to look after jobs with records if it is gone.
    Wards {
        /// The other entry's incarnation.
        of: u64,
        /// The jobs.
        jobs: Vec<JobId>,
    },
    /// The process drains.
    Drain,
}

/// What the store said of a job's record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RecordRead {
    /// It did not answer.
    Unavailable,
    /// There is none.
    Missing,
    /// The record and its version.
    Found(u64, Box<JobRecord>),
}

/// What a caller is told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The job has ended.
    Outcome {
        /// The job.
        job: JobId,
        /// How.
        outcome: Outcome,
    },
    /// The job goes on; ask again at its address.
    Accepted {
        /// The job.
        job: JobId,
        /// Whether it may have started.
        running: bool,
        /// Whether it outlives this process.
        durable: bool,
    },
    /// The request is not served.
    Refused {
        /// The job, if it is about one that is known.
        job: Option<JobId>,
        /// Why.
        kind: Kind,
    },
}

/// What to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Answer a caller.
    Reply {
        /// The call.
        call: CallId,
        /// The answer.
        reply: Reply,
    },
    /// Send to the coordinator.
    ToCoordinator(JobRequest),
    /// Write the job's record and key, then say [`Input::Claimed`].
    Claim {
        /// The job.
        job: JobId,
        /// Its workspace.
        workspace: String,
        /// The caller's key.
        key: Option<String>,
        /// The caller's request.
        request: String,
    },
    /// Read the job's record, then say [`Input::Read`].
    Read {
        /// The job.
        job: JobId,
    },
    /// Take a claimed job over, then say [`Input::TakenOver`].
    TakeOver {
        /// The job.
        job: JobId,
        /// Its record's version.
        version: u64,
        /// Its record.
        record: Box<JobRecord>,
    },
    /// Ask all other entries to look after a job whose caller has left.
    Ward {
        /// The job.
        job: JobId,
    },
    /// Something for the time line.
    Note(Note),
}

/// The decisions of one entry.
pub struct Entry {
    incarnation: u64,
    tracks: BTreeMap<JobId, Track>,
    calls: BTreeMap<CallId, JobId>,
    ended: VecDeque<JobId>,
    bytes: usize,
    entries: BTreeSet<u64>,
    wards: BTreeMap<u64, VecDeque<JobId>>,
    coordinator: bool,
    alone_since: Duration,
    draining: bool,
    out: Vec<Action>,
}

impl Entry {
    /// An entry with this incarnation that knows of no coordinator.
    #[must_use]
    pub fn new(now: Duration, incarnation: u64) -> Self {
        Self {
            incarnation,
            tracks: BTreeMap::new(),
            calls: BTreeMap::new(),
            ended: VecDeque::new(),
            bytes: 0,
            entries: BTreeSet::new(),
            wards: BTreeMap::new(),
            coordinator: false,
            alone_since: now,
            draining: false,
            out: Vec::new(),
        }
    }

    /// Callers that wait for an answer.
    #[must_use]
    pub fn waiting_calls(&self) -> usize {
        self.calls.len()
    }

    /// Jobs that this entry alone would bring back, were it to stop now.
    #[must_use]
    pub fn open_jobs(&self) -> usize {
        let open = |t: &&Track| t.outcome.is_none() && t.kept == Kept::Here;
        self.tracks.values().filter(open).count()
    }

    /// Bytes of requests and answers that are kept.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Takes an input and says what to do.
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
            Input::Gone { call } => self.hang_up(call),
            Input::Claimed { job, result } => {
                self.claimed(now, job, result.as_ref());
            }
            Input::Read { job, result } => self.read(now, job, result),
            Input::TakenOver { job, version } => {
                self.taken_over(now, job, version);
            }
            Input::Report(report) => self.report(now, report),
            Input::Coordinator { known } => self.coordinator(now, known),
            Input::Entries(entries) => self.entries_are(now, entries),
            Input::Wards { of, jobs } => self.take_wards(of, jobs),
            Input::Drain => self.drain(now),
        }
        std::mem::take(&mut self.out)
    }

    fn submit(&mut self, now: Duration, call: CallId, new: Submission) {
        let alone =
            !self.coordinator && now >= self.alone_since + COORDINATOR_WAIT;
        let size = new.request.len();
        let refusal = if self.draining {
            Some(Kind::Draining)
        } else if alone {
            Some(Kind::NoCoordinator)
        } else if self.tracks.len() >= TRACKS_MAX
            || self.bytes + size > BYTES_MAX
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
        self.note(Code::JobAccepted, id, &format!("bytes={size}"));
        let claim = new.key.is_some() || !new.job.repeatable;
        let until = now + new.wait;
        let workspace = new.job.workspace.clone();
        let mut track = Track::new(now, workspace.clone(), Some(new.job));
        track.request = new.request;
        track.key = new.key;
        track.calls.push(Call { call, until });
        track.bytes = size;
        self.bytes += size;
        self.calls.insert(call, id);
        if claim {
            track.wait = Wait::Claim;
            self.out.push(Action::Claim {
                job: id,
                workspace,
                key: track.key.clone(),
                request: track.request.clone(),
            });
        }
        self.tracks.insert(id, track);
        if !claim {
            self.send(now, id);
        }
    }

    /// Submits a job to the coordinator, or follows it if this entry has
    /// no request for it.
    fn send(&mut self, now: Duration, id: JobId) {
        let Some(track) = self.tracks.get_mut(&id) else {
            return;
        };
        track.wait = Wait::Coordinator;
        let request = match (&track.dispatched, &track.job) {
            (None, Some(job)) => JobRequest::Submit {
                job: Box::new(job.clone()),
                age: now.saturating_sub(track.since),
                tried: std::mem::replace(&mut track.sent, true),
            },
            (dispatched, _) => JobRequest::Follow {
                job: id,
                dispatched: dispatched.clone(),
                scope: track.scope.clone(),
            },
        };
        self.out.push(Action::ToCoordinator(request));
    }

    fn claimed(&mut self, now: Duration, id: JobId, result: Option<&Claimed>) {
        let Some(track) = self.tracks.get_mut(&id) else {
            return;
        };
        if track.wait == Wait::Durable {
            self.made_durable(now, id, result);
            return;
        }
        match result {
            Some(Claimed::New(version)) => {
                track.kept = track.kept.max(Kept::Stored);
                if let Some(job) = &mut track.job {
                    job.record = Some(*version);
                }
                self.send(now, id);
            }
            Some(Claimed::Known(known)) => self.join(now, id, *known),
            Some(Claimed::OtherBody(_)) => {
                self.note(Code::KeyConflict, id, "");
                self.drop_refused(id, Kind::KeyConflict);
            }
            None => {
                let repeatable =
                    track.job.as_ref().is_some_and(|j| j.repeatable);
                if repeatable {
                    self.send(now, id);
                } else {
                    self.finish(now, id, &Outcome::NotRun(Kind::StoreDown));
                }
            }
        }
    }

    /// Moves the callers of a job to the one that their key stands for.
    fn join(&mut self, now: Duration, id: JobId, known: JobId) {
        let Some(track) = self.tracks.remove(&id) else {
            return;
        };
        self.bytes -= track.bytes;
        let workspace = track.workspace;
        for call in track.calls {
            self.calls.remove(&call.call);
            self.attach(now, call, known, Some(workspace.clone()));
        }
    }

    fn poll(
        &mut self,
        now: Duration,
        call: CallId,
        job: JobId,
        scope: Option<String>,
        until: Duration,
    ) {
        self.attach(now, Call { call, until }, job, scope);
    }

    fn attach(
        &mut self,
        now: Duration,
        call: Call,
        id: JobId,
        scope: Option<String>,
    ) {
        if let Some(track) = self.tracks.get_mut(&id) {
            let known = !track.workspace.is_empty();
            if known && scope.is_some_and(|s| s != track.workspace) {
                self.refuse(call.call, None, Kind::NotFound);
                return;
            }
            if let Some(outcome) = track.outcome.clone() {
                self.answer(call.call, id, outcome);
                return;
            }
            self.calls.insert(call.call, id);
            track.calls.push(call);
            return;
        }
        // Only the record tells whose job it is, so it is read first.
        let mut track = Track::new(now, String::new(), None);
        track.scope = scope;
        track.wait = Wait::Record { at: now };
        self.calls.insert(call.call, id);
        track.calls.push(call);
        self.tracks.insert(id, track);
        self.out.push(Action::Read { job: id });
    }

    fn read(&mut self, now: Duration, id: JobId, result: RecordRead) {
        let Some(track) = self.tracks.get_mut(&id) else {
            return;
        };
        if track.outcome.is_some() {
            return;
        }
        let (version, record) = match result {
            RecordRead::Found(version, record) => (version, *record),
            RecordRead::Missing if track.job.is_none() && track.asked => {
                self.drop_refused(id, Kind::NotFound);
                return;
            }
            // The coordinator may still know the job.
            RecordRead::Unavailable | RecordRead::Missing => {
                track.asked |= result == RecordRead::Missing;
                self.send(now, id);
                return;
            }
        };
        let scope = track.scope.take();
        if scope.is_some_and(|s| s != record.workspace) {
            self.drop_refused(id, Kind::NotFound);
            return;
        }
        track.workspace.clone_from(&record.workspace);
        track.kept = track.kept.max(Kept::Stored);
        self.follow_record(now, id, version, record);
    }

    fn follow_record(
        &mut self,
        now: Duration,
        id: JobId,
        version: u64,
        record: JobRecord,
    ) {
        let mine = self.incarnation;
        let Some(track) = self.tracks.get_mut(&id) else {
            return;
        };
        match record.progress.clone() {
            Progress::Ended(saved) => {
                self.finish(now, id, &Outcome::from(saved));
            }
            Progress::Dispatched {
                attempt,
                lead,
                incarnation,
            } => {
                track.dispatched = Some(Dispatched {
                    attempt: figrill_state::job::Attempt(attempt),
                    lead,
                    incarnation,
                });
                self.send(now, id);
            }
            Progress::Claimed { entry } if entry == mine => {
                self.resume(now, id, version, &record);
            }
            Progress::Claimed { entry }
                if self.entries.contains(&entry) && !track.asked =>
            {
                // Its entry lives: the coordinator has it or soon will.
                track.asked = true;
                self.send(now, id);
            }
            Progress::Claimed { entry } if self.entries.contains(&entry) => {
                track.asked = false;
                track.wait = Wait::Record {
                    at: now + READ_AGAIN,
                };
            }
            Progress::Claimed { .. } => {
                let record = Box::new(record);
                track.request.clone_from(&record.request);
                self.out.push(Action::TakeOver {
                    job: id,
                    version,
                    record,
                });
            }
        }
    }

    /// Submits a job from its record.
    fn resume(
        &mut self,
        now: Duration,
        id: JobId,
        version: u64,
        record: &JobRecord,
    ) {
        let Some(track) = self.tracks.get_mut(&id) else {
            return;
        };
        let parsed = Submit::parse(&record.request).ok();
        let Some(mut job) = parsed.map(|s| s.job(id)) else {
            self.finish(now, id, &Outcome::Unknown(Kind::OutcomeLost));
            return;
        };
        job.record = Some(version);
        track.job = Some(job);
        track.dispatched = None;
        self.send(now, id);
    }

    fn taken_over(&mut self, now: Duration, id: JobId, version: Option<u64>) {
        let Some(track) = self.tracks.get_mut(&id) else {
            return;
        };
        match version {
            Some(version) => {
                let record = JobRecord {
                    workspace: track.workspace.clone(),
                    request: track.request.clone(),
                    progress: Progress::Claimed {
                        entry: self.incarnation,
                    },
                };
                self.resume(now, id, version, &record);
            }
            None => {
                track.wait = Wait::Record {
                    at: now + READ_AGAIN,
                }
            }
        }
    }

    fn cancel(
        &mut self,
        now: Duration,
        call: CallId,
        id: JobId,
        scope: Option<String>,
    ) {
        let known = self.tracks.get(&id);
        let hidden = known.is_some_and(|t| {
            !t.workspace.is_empty()
                && scope.as_ref().is_some_and(|s| *s != t.workspace)
        });
        if hidden {
            self.refuse(call, None, Kind::NotFound);
            return;
        }
        if known.is_none_or(|t| t.outcome.is_none()) {
            let request = JobRequest::Cancel {
                job: id,
                scope: scope.clone(),
            };
            self.out.push(Action::ToCoordinator(request));
        }
        // The caller is told how the job ended, which may be `done` if the
        // cancel came too late.
        let until = now + Duration::from_secs(10);
        self.attach(now, Call { call, until }, id, scope);
    }

    fn report(&mut self, now: Duration, report: JobReport) {
        match report {
            JobReport::Ended { job, outcome } => {
                let ack = JobRequest::Ack { job };
                self.out.push(Action::ToCoordinator(ack));
                self.finish(now, job, &outcome);
            }
            JobReport::Stands {
                job,
                standing: Standing::Unheard,
            } => {
                self.unheard(now, job);
            }
            JobReport::Stands { job, standing } => {
                if let Some(track) = self.tracks.get_mut(&job) {
                    track.running = standing == Standing::Running;
                }
            }
        }
    }

    /// The coordinator does not know a job. If this entry has it, or its
    /// record has, it goes on; if nobody has, there is no such job.
    fn unheard(&mut self, now: Duration, id: JobId) {
        let Some(track) = self.tracks.get_mut(&id) else {
            return;
        };
        if track.outcome.is_some() {
            return;
        }
        if track.kept > Kept::Here || track.job.is_none() {
            track.wait = Wait::Record {
                at: now + READ_AGAIN,
            };
            if track.asked && track.kept == Kept::Here {
                self.drop_refused(id, Kind::NotFound);
            }
            return;
        }
        self.send(now, id);
    }

    fn coordinator(&mut self, now: Duration, known: bool) {
        if self.coordinator && !known {
            self.alone_since = now;
        }
        self.coordinator = known;
        if !known {
            return;
        }
        let open: Vec<JobId> = self
            .tracks
            .iter()
            .filter(|(_, t)| t.outcome.is_none())
            .filter(|(_, t)| {
                matches!(t.wait, Wait::Coordinator | Wait::Durable)
            })
            .map(|(id, _)| *id)
            .collect();
        for id in open {
            self.send(now, id);
        }
    }

    /// Jobs that an entry asked to be looked after become this entry's once
    /// that entry is gone. All others do the same; the swap of the job's
    /// record decides between them.
    fn entries_are(&mut self, now: Duration, entries: BTreeSet<u64>) {
        self.entries = entries;
        let gone: Vec<u64> = self
            .wards
            .keys()
            .filter(|of| !self.entries.contains(of))
            .copied()
            .collect();
        for of in gone {
            for job in self.wards.remove(&of).unwrap_or_default() {
                self.look_after(now, job);
            }
        }
    }

    fn take_wards(&mut self, of: u64, jobs: Vec<JobId>) {
        let wards = self.wards.entry(of).or_default();
        wards.extend(jobs);
        while wards.len() > WARDS_MAX {
            wards.pop_front();
        }
    }

    fn look_after(&mut self, now: Duration, id: JobId) {
        if self.tracks.contains_key(&id) || self.draining {
            return;
        }
        let mut track = Track::new(now, String::new(), None);
        track.wait = Wait::Record { at: now };
        self.tracks.insert(id, track);
        self.out.push(Action::Read { job: id });
    }

    fn hang_up(&mut self, call: CallId) {
        let Some(id) = self.calls.remove(&call) else {
            return;
        };
        if let Some(track) = self.tracks.get_mut(&id) {
            track.calls.retain(|c| c.call != call);
        }
    }

    fn finish(&mut self, now: Duration, id: JobId, outcome: &Outcome) {
        let Some(track) = self.tracks.get_mut(&id) else {
            return;
        };
        if track.outcome.is_some() {
            return;
        }
        self.bytes -= track.bytes;
        track.bytes = track::size(outcome);
        self.bytes += track.bytes;
        track.request = String::new();
        track.job = None;
        track.ended = now;
        track.outcome = Some(outcome.clone());
        let calls = std::mem::take(&mut track.calls);
        self.ended.push_back(id);
        for call in calls {
            self.calls.remove(&call.call);
            self.answer(call.call, id, outcome.clone());
        }
    }

    fn answer(&mut self, call: CallId, job: JobId, outcome: Outcome) {
        let detail = format!("outcome={}", outcome.name());
        self.note(Code::JobAnswered, job, &detail);
        let reply = Reply::Outcome { job, outcome };
        self.out.push(Action::Reply { call, reply });
    }

    fn refuse(&mut self, call: CallId, job: Option<JobId>, kind: Kind) {
        let note = Note {
            code: Code::JobRefused,
            job,
            detail: format!("why={kind}"),
        };
        self.out.push(Action::Note(note));
        let reply = Reply::Refused { job, kind };
        self.out.push(Action::Reply { call, reply });
    }

    /// Forgets a job that is not to be served, and tells its callers.
    fn drop_refused(&mut self, id: JobId, kind: Kind) {
        let Some(track) = self.tracks.remove(&id) else {
            return;
        };
        self.bytes -= track.bytes;
        for call in track.calls {
            self.calls.remove(&call.call);
            self.refuse(call.call, None, kind);
        }
    }

    fn note(&mut self, code: Code, job: JobId, detail: &str) {
        self.out.push(Action::Note(Note::of_job(code, job, detail)));
    }

    fn tick(&mut self, now: Duration) {
        self.read_again(now);
        self.release_calls(now);
        self.forget(now);
    }

    fn read_again(&mut self, now: Duration) {
        for (id, track) in &mut self.tracks {
            if track.outcome.is_some() {
                continue;
            }
            if let Wait::Record { at } = track.wait
                && now >= at
            {
                track.wait = Wait::Record {
                    at: now + READ_AGAIN * 4,
                };
                self.out.push(Action::Read { job: *id });
            }
        }
    }

    /// Gives callers that have waited long enough the job's address. What
    /// is not in the store yet is written there first.
    fn release_calls(&mut self, now: Duration) {
        let draining = self.draining;
        let due: Vec<JobId> = self
            .tracks
            .iter()
            .filter(|(_, t)| {
                draining && t.outcome.is_none() && t.kept < Kept::Warded
                    || t.calls.iter().any(|c| now >= c.until)
            })
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            let Some(track) = self.tracks.get_mut(&id) else {
                continue;
            };
            if track.wait == Wait::Claim || track.wait == Wait::Durable {
                continue;
            }
            if track.kept > Kept::Here || track.job.is_none() {
                self.accept_due(now, id);
                continue;
            }
            track.wait = Wait::Durable;
            self.out.push(Action::Claim {
                job: id,
                workspace: track.workspace.clone(),
                key: None,
                request: track.request.clone(),
            });
        }
    }

    fn made_durable(
        &mut self,
        now: Duration,
        id: JobId,
        result: Option<&Claimed>,
    ) {
        let Some(track) = self.tracks.get_mut(&id) else {
            return;
        };
        track.wait = Wait::Coordinator;
        if let Some(Claimed::New(version)) = result {
            track.kept = track.kept.max(Kept::Stored);
            if let Some(job) = &mut track.job {
                job.record = Some(*version);
            }
            // The coordinator learns that the outcome must be saved.
            self.send(now, id);
        }
        self.accept_due(now, id);
    }

    fn accept_due(&mut self, now: Duration, id: JobId) {
        let draining = self.draining;
        let Some(track) = self.tracks.get_mut(&id) else {
            return;
        };
        let due = |c: &Call| draining || now >= c.until;
        let released: Vec<Call> =
            track.calls.iter().copied().filter(due).collect();
        track.calls.retain(|c| !due(c));
        let reply = Reply::Accepted {
            job: id,
            running: track.running,
            durable: track.kept > Kept::Here,
        };
        if track.kept == Kept::Stored {
            track.kept = Kept::Warded;
            self.out.push(Action::Ward { job: id });
        }
        for call in released {
            self.calls.remove(&call.call);
            let reply = reply.clone();
            self.out.push(Action::Reply {
                call: call.call,
                reply,
            });
        }
    }

    fn forget(&mut self, now: Duration) {
        while let Some(id) = self.ended.front().copied() {
            let old = self
                .tracks
                .get(&id)
                .is_none_or(|t| now >= t.ended + OUTCOME_KEPT);
            if !old && self.bytes <= BYTES_MAX / 2 {
                return;
            }
            self.ended.pop_front();
            if let Some(track) = self.tracks.remove(&id) {
                self.bytes -= track.bytes;
            }
        }
    }

    fn drain(&mut self, now: Duration) {
        self.draining = true;
        self.release_calls(now);
    }
}
