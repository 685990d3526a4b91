//! The handling of jobs with records in the store: claims, takeovers and
//! recovery.

use std::collections::BTreeSet;
use std::time::Duration;

use figrill_state::error::Kind;
use figrill_state::event::Code;
use figrill_state::job::{JobId, Outcome};
use figrill_state::ledger::ClaimOutcome;
use figrill_state::record::{JobRecord, Progress};
use figrill_state::request::Submit;

use crate::message::Dispatched;

use super::track::{Durability, TrackedJob, Wait};
use super::{
    Action, Entry, MAX_BUFFERED_BYTES, MAX_DELEGATED_JOBS, OUTCOME_RETENTION,
    REREAD_DELAY, RecordRead,
};

impl Entry {
    /// Handles the result of writing a job's record. If the store did not
    /// answer, only a repeatable job is submitted: without a claim, nothing
    /// prevents a second start of the same job.
    pub(super) fn claimed(
        &mut self,
        now: Duration,
        id: JobId,
        result: Option<&ClaimOutcome>,
    ) {
        let Some(tracked) = self.jobs.get_mut(&id) else {
            return;
        };
        if tracked.wait == Wait::Durable {
            self.on_durable_claim(now, id, result);
            return;
        }
        match result {
            Some(ClaimOutcome::New(version)) => {
                tracked.durability =
                    tracked.durability.max(Durability::Stored);
                if let Some(job) = &mut tracked.job {
                    job.record = Some(*version);
                }
                self.send_to_coordinator(now, id);
            }
            Some(ClaimOutcome::Existing(existing)) => {
                self.join_existing(now, id, *existing);
            }
            Some(ClaimOutcome::BodyMismatch(_)) => {
                self.record_event(Code::KeyConflict, id, "");
                self.drop_refused(id, Kind::KeyConflict);
            }
            None => {
                let repeatable =
                    tracked.job.as_ref().is_some_and(|j| j.repeatable);
                if repeatable {
                    self.send_to_coordinator(now, id);
                } else {
                    self.finish(now, id, &Outcome::NotRun(Kind::StoreDown));
                }
            }
        }
    }

    /// Moves the callers of a job to the existing job that was submitted with
    /// the same key.
    pub(super) fn join_existing(
        &mut self,
        now: Duration,
        id: JobId,
        existing: JobId,
    ) {
        let Some(tracked) = self.jobs.remove(&id) else {
            return;
        };
        self.buffered_bytes -= tracked.bytes;
        let workspace = tracked.workspace;
        for call in tracked.calls {
            self.calls.remove(&call.call);
            self.attach(now, call, existing, Some(workspace.clone()));
        }
    }

    /// Handles the result of reading a job's record.
    pub(super) fn record_read(
        &mut self,
        now: Duration,
        id: JobId,
        result: RecordRead,
    ) {
        let Some(tracked) = self.jobs.get_mut(&id) else {
            return;
        };
        if tracked.outcome.is_some() {
            return;
        }
        if tracked.outcome_lost {
            let outcome = saved_outcome(result)
                .unwrap_or(Outcome::Unknown(Kind::OutcomeLost));
            self.finish(now, id, &outcome);
            return;
        }
        let (version, record) = match result {
            RecordRead::Found(version, record) => (version, *record),
            RecordRead::Missing
                if tracked.job.is_none() && tracked.coordinator_asked =>
            {
                self.drop_refused(id, Kind::NotFound);
                return;
            }
            // The coordinator may know the job even so.
            RecordRead::Unavailable | RecordRead::Missing => {
                tracked.coordinator_asked |= result == RecordRead::Missing;
                self.send_to_coordinator(now, id);
                return;
            }
        };
        let scope = tracked.scope.take();
        if scope.is_some_and(|s| s != record.workspace) {
            self.drop_refused(id, Kind::NotFound);
            return;
        }
        tracked.workspace.clone_from(&record.workspace);
        tracked.durability = tracked.durability.max(Durability::Stored);
        self.follow_record(now, id, version, record);
    }

    /// Handles the outcome that the coordinator reports. If that is that the
    /// outcome is lost, the record, if there is one, is read again: the former
    /// coordinator may have saved the outcome after this entry read it.
    pub(super) fn ended(&mut self, now: Duration, id: JobId, end: &Outcome) {
        let Some(tracked) = self.jobs.get_mut(&id) else {
            return;
        };
        let is_lost = *end == Outcome::Unknown(Kind::OutcomeLost);
        if !is_lost || tracked.durability == Durability::Memory {
            self.finish(now, id, end);
            return;
        }
        if tracked.outcome.is_some() || tracked.outcome_lost {
            return;
        }
        tracked.outcome_lost = true;
        tracked.wait = Wait::Record {
            at: now + REREAD_DELAY * 4,
        };
        self.actions.push(Action::Read { job: id });
    }

    /// Goes on with a job according to its record: returns the saved outcome,
    /// follows the recorded dispatch, or submits the job if this entry claimed
    /// it. A job that another entry claimed is taken over once that entry is
    /// no longer connected; until then, the coordinator is asked and the
    /// record is read again in turn.
    pub(super) fn follow_record(
        &mut self,
        now: Duration,
        id: JobId,
        version: u64,
        record: JobRecord,
    ) {
        let own_incarnation = self.incarnation;
        let Some(tracked) = self.jobs.get_mut(&id) else {
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
                tracked.dispatched = Some(Dispatched {
                    attempt: figrill_state::job::Attempt(attempt),
                    lead,
                    incarnation,
                });
                self.send_to_coordinator(now, id);
            }
            Progress::Claimed { entry } if entry == own_incarnation => {
                self.resume(now, id, version, &record);
            }
            Progress::Claimed { entry }
                if self.entries.contains(&entry)
                    && !tracked.coordinator_asked =>
            {
                // The entry that claimed the job is connected, so the
                // coordinator has the job or will get it soon.
                tracked.coordinator_asked = true;
                self.send_to_coordinator(now, id);
            }
            Progress::Claimed { entry } if self.entries.contains(&entry) => {
                tracked.coordinator_asked = false;
                tracked.wait = Wait::Record {
                    at: now + REREAD_DELAY,
                };
            }
            Progress::Claimed { .. } => {
                let record = Box::new(record);
                tracked.request.clone_from(&record.request);
                self.actions.push(Action::TakeOver {
                    job: id,
                    version,
                    record,
                });
            }
        }
    }

    /// Submits a job that is restored from the request in its record.
    pub(super) fn resume(
        &mut self,
        now: Duration,
        id: JobId,
        version: u64,
        record: &JobRecord,
    ) {
        let Some(tracked) = self.jobs.get_mut(&id) else {
            return;
        };
        let parsed = Submit::parse(&record.request).ok();
        let Some(mut job) = parsed.map(|s| s.job(id)) else {
            self.finish(now, id, &Outcome::Unknown(Kind::OutcomeLost));
            return;
        };
        job.record = Some(version);
        tracked.job = Some(job);
        tracked.dispatched = None;
        self.send_to_coordinator(now, id);
    }

    /// Handles the result of a takeover. If it failed, another entry may have
    /// changed the record, so it is read again.
    pub(super) fn taken_over(
        &mut self,
        now: Duration,
        id: JobId,
        version: Option<u64>,
    ) {
        let Some(tracked) = self.jobs.get_mut(&id) else {
            return;
        };
        match version {
            Some(version) => {
                let record = JobRecord {
                    workspace: tracked.workspace.clone(),
                    request: tracked.request.clone(),
                    progress: Progress::Claimed {
                        entry: self.incarnation,
                    },
                };
                self.resume(now, id, version, &record);
            }
            None => {
                tracked.wait = Wait::Record {
                    at: now + REREAD_DELAY,
                }
            }
        }
    }

    /// Handles the result of writing the record of a job that is already
    /// submitted, and then answers its callers that the job was accepted,
    /// whether or not the record was written. A job that has ended meanwhile
    /// must not be taken over by its record.
    pub(super) fn on_durable_claim(
        &mut self,
        now: Duration,
        id: JobId,
        result: Option<&ClaimOutcome>,
    ) {
        let Some(tracked) = self.jobs.get_mut(&id) else {
            return;
        };
        tracked.wait = Wait::Coordinator;
        if let Some(outcome) = tracked.outcome.clone() {
            if let Some(ClaimOutcome::New(_)) = result {
                self.actions.push(Action::SaveOutcome { job: id, outcome });
            }
            return;
        }
        if let Some(ClaimOutcome::New(version)) = result {
            tracked.durability = tracked.durability.max(Durability::Stored);
            if let Some(job) = &mut tracked.job {
                job.record = Some(*version);
            }
            // Submitting the job again tells the coordinator that its outcome
            // must be saved in the record.
            self.send_to_coordinator(now, id);
        }
        self.accept_due(now, id);
    }

    /// Reads the records that are due. A read, or the takeover that follows
    /// it, that gets no answer within `4 * REREAD_DELAY` is repeated.
    pub(super) fn reread_due(&mut self, now: Duration) {
        for (id, tracked) in &mut self.jobs {
            if tracked.outcome.is_some() {
                continue;
            }
            if let Wait::Record { at } = tracked.wait
                && now >= at
            {
                tracked.wait = Wait::Record {
                    at: now + REREAD_DELAY * 4,
                };
                self.actions.push(Action::Read { job: *id });
            }
        }
    }

    /// Handles the coordinator's answer that it does not know a job. The job
    /// is submitted again if this entry has its request and it has no record;
    /// otherwise its record is read. If neither a request nor a record is
    /// found, there is no such job.
    pub(super) fn unknown_to_coordinator(&mut self, now: Duration, id: JobId) {
        let Some(tracked) = self.jobs.get_mut(&id) else {
            return;
        };
        if tracked.outcome.is_some() {
            return;
        }
        if tracked.durability > Durability::Memory || tracked.job.is_none() {
            tracked.wait = Wait::Record {
                at: now + REREAD_DELAY,
            };
            if tracked.coordinator_asked
                && tracked.durability == Durability::Memory
            {
                self.drop_refused(id, Kind::NotFound);
            }
            return;
        }
        self.send_to_coordinator(now, id);
    }

    /// Updates the set of connected entries, and takes over the jobs that were
    /// delegated by entries that are no longer connected. All other entries do
    /// the same; a compare-and-swap of the job's record decides which of them
    /// gets the job.
    pub(super) fn update_entries(
        &mut self,
        now: Duration,
        entries: BTreeSet<u64>,
    ) {
        self.entries = entries;
        let departed: Vec<u64> = self
            .delegated
            .keys()
            .filter(|from| !self.entries.contains(from))
            .copied()
            .collect();
        for from in departed {
            for job in self.delegated.remove(&from).unwrap_or_default() {
                self.take_over_delegated(now, job);
            }
        }
    }

    /// Records jobs that the entry with incarnation `from` has delegated.
    pub(super) fn add_delegated(&mut self, from: u64, jobs: Vec<JobId>) {
        let delegated = self.delegated.entry(from).or_default();
        delegated.extend(jobs);
        while delegated.len() > MAX_DELEGATED_JOBS {
            delegated.pop_front();
        }
    }

    /// Reads the record of a delegated job, which leads to its takeover. A
    /// draining entry leaves it to the others.
    pub(super) fn take_over_delegated(&mut self, now: Duration, id: JobId) {
        if self.jobs.contains_key(&id) || self.draining {
            return;
        }
        let mut tracked = TrackedJob::new(now, String::new(), None);
        tracked.wait = Wait::Record { at: now };
        self.jobs.insert(id, tracked);
        self.actions.push(Action::Read { job: id });
    }

    /// Evicts outcomes that are older than [`OUTCOME_RETENTION`], and the
    /// oldest ones also before that while more than half of
    /// [`MAX_BUFFERED_BYTES`] is in use, so that new requests can be buffered.
    pub(super) fn evict_outcomes(&mut self, now: Duration) {
        while let Some(id) = self.ended_jobs.front().copied() {
            let expired = self
                .jobs
                .get(&id)
                .is_none_or(|t| now >= t.ended_at + OUTCOME_RETENTION);
            if !expired && self.buffered_bytes <= MAX_BUFFERED_BYTES / 2 {
                return;
            }
            self.ended_jobs.pop_front();
            if let Some(tracked) = self.jobs.remove(&id) {
                self.buffered_bytes -= tracked.bytes;
            }
        }
    }
}

/// Returns the outcome that a record holds, if it was read and holds one.
fn saved_outcome(read: RecordRead) -> Option<Outcome> {
    let RecordRead::Found(_, record) = read else {
        return None;
    };
    match record.progress {
        Progress::Ended(saved) => Some(Outcome::from(saved)),
        Progress::Claimed { .. } | Progress::Dispatched { .. } => None,
    }
}
