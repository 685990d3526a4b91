//! Jobs with records in the store: claims, takeovers and recovery.

use std::collections::BTreeSet;
use std::time::Duration;

use figrill_state::error::Kind;
use figrill_state::event::Code;
use figrill_state::job::{JobId, Outcome};
use figrill_state::ledger::ClaimOutcome;
use figrill_state::record::{JobRecord, Progress};
use figrill_state::request::Submit;

use crate::message::Dispatched;

use super::track::{Kept, Track, Wait};
use super::{Action, Entry, READ_AGAIN, RecordRead, WARDS_MAX};

impl Entry {
    pub(super) fn claimed(
        &mut self,
        now: Duration,
        id: JobId,
        result: Option<&ClaimOutcome>,
    ) {
        let Some(track) = self.tracks.get_mut(&id) else {
            return;
        };
        if track.wait == Wait::Durable {
            self.made_durable(now, id, result);
            return;
        }
        match result {
            Some(ClaimOutcome::New(version)) => {
                track.kept = track.kept.max(Kept::Stored);
                if let Some(job) = &mut track.job {
                    job.record = Some(*version);
                }
                self.send(now, id);
            }
            Some(ClaimOutcome::Existing(known)) => self.join(now, id, *known),
            Some(ClaimOutcome::BodyMismatch(_)) => {
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
    pub(super) fn join(&mut self, now: Duration, id: JobId, known: JobId) {
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

    pub(super) fn read(
        &mut self,
        now: Duration,
        id: JobId,
        result: RecordRead,
    ) {
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

    pub(super) fn follow_record(
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
    pub(super) fn resume(
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

    pub(super) fn taken_over(
        &mut self,
        now: Duration,
        id: JobId,
        version: Option<u64>,
    ) {
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

    pub(super) fn made_durable(
        &mut self,
        now: Duration,
        id: JobId,
        result: Option<&ClaimOutcome>,
    ) {
        let Some(track) = self.tracks.get_mut(&id) else {
            return;
        };
        track.wait = Wait::Coordinator;
        if let Some(ClaimOutcome::New(version)) = result {
            track.kept = track.kept.max(Kept::Stored);
            if let Some(job) = &mut track.job {
                job.record = Some(*version);
            }
            // The coordinator learns that the outcome must be saved.
            self.send(now, id);
        }
        self.accept_due(now, id);
    }

    pub(super) fn read_again(&mut self, now: Duration) {
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

    /// The coordinator does not know a job. If this entry has it, or its
    /// record has, it goes on; if nobody has, there is no such job.
    pub(super) fn unheard(&mut self, now: Duration, id: JobId) {
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

    /// Jobs that an entry asked to be looked after become this entry's once
    /// that entry is gone. All others do the same; the swap of the job's
    /// record decides between them.
    pub(super) fn entries_are(
        &mut self,
        now: Duration,
        entries: BTreeSet<u64>,
    ) {
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

    pub(super) fn take_wards(&mut self, of: u64, jobs: Vec<JobId>) {
        let wards = self.wards.entry(of).or_default();
        wards.extend(jobs);
        while wards.len() > WARDS_MAX {
            wards.pop_front();
        }
    }

    pub(super) fn look_after(&mut self, now: Duration, id: JobId) {
        if self.tracks.contains_key(&id) || self.draining {
            return;
        }
        let mut track = Track::new(now, String::new(), None);
        track.wait = Wait::Record { at: now };
        self.tracks.insert(id, track);
        self.out.push(Action::Read { job: id });
    }
}
