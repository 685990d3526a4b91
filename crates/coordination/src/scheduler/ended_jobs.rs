//! The jobs that have ended, for as long as a reading of the store may still
//! show them. A job that is in neither this list nor the open ones is new.

use std::collections::{BTreeMap, VecDeque};

use figrill_state::batch::BatchId;

/// How long the records of a job are kept after its end.
const RETENTION_MS: u64 = 300_000;

/// What the store has of an ended job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Records {
    /// The records of a job that ended at this time, in milliseconds since
    /// 1970.
    Stored { ended_ms: u64 },
    /// Records whose removal is not confirmed yet.
    Removing,
    /// Nothing since this revision. A reading from before it may be handled
    /// later.
    Removed { revision: u64 },
}

/// The jobs that have ended.
#[derive(Debug, Default)]
pub(super) struct EndedJobs {
    jobs: BTreeMap<BatchId, Records>,
    /// The queue of removals: jobs whose records are to be removed, in this order.
    due: VecDeque<BatchId>,
}

impl EndedJobs {
    /// Adds a job that ended at `ended_ms`, in milliseconds since 1970.
    pub(super) fn insert(&mut self, id: BatchId, ended_ms: u64) {
        self.jobs.insert(id, Records::Stored { ended_ms });
    }

    /// Adds a job whose records are never removed.
    pub(super) fn insert_permanently(&mut self, id: BatchId) {
        self.insert(id, u64::MAX);
    }

    /// Returns whether a record of a job is one of a job that has ended. A
    /// record that was written after the removal of the earlier ones is that
    /// of a new job. `revision` is `None` if it is not known.
    pub(super) fn has_ended(
        &self,
        id: BatchId,
        revision: Option<u64>,
    ) -> bool {
        self.jobs.get(&id).is_some_and(|records| match records {
            Records::Removed {
                revision: removed_at,
            } => revision.is_none_or(|r| r < *removed_at),
            Records::Stored { .. } | Records::Removing => true,
        })
    }

    /// Schedules the removal of the records of jobs that ended more than
    /// [`RETENTION_MS`] ago.
    pub(super) fn schedule_removals(&mut self, wall_ms: u64) {
        for (id, records) in &mut self.jobs {
            if let Records::Stored { ended_ms } = records
                && wall_ms > ended_ms.saturating_add(RETENTION_MS)
            {
                *records = Records::Removing;
                self.due.push_back(*id);
            }
        }
    }

    /// Returns whether there are records to remove.
    pub(super) fn has_due(&self) -> bool {
        !self.due.is_empty()
    }

    /// Returns the next job whose records are to be removed.
    pub(super) fn next_due(&self) -> Option<BatchId> {
        self.due.front().copied()
    }

    /// Drops the next job whose records are to be removed from the queue,
    /// because a commit contains the removal.
    pub(super) fn drop_due(&mut self) {
        self.due.pop_front();
    }

    /// Schedules removals again that a failed commit contained.
    pub(super) fn reschedule(&mut self, ids: &[BatchId]) {
        for id in ids.iter().rev() {
            self.due.push_front(*id);
        }
    }

    /// Records that the records of jobs were removed at a revision.
    pub(super) fn record_removals(&mut self, ids: &[BatchId], revision: u64) {
        for id in ids {
            self.jobs.insert(*id, Records::Removed { revision });
        }
    }

    /// Forgets the jobs whose records were removed by `revision`, after all
    /// readings from before it have been handled.
    pub(super) fn forget_removed(&mut self, revision: u64) {
        self.jobs.retain(|_, records| match records {
            Records::Removed {
                revision: removed_at,
            } => *removed_at > revision,
            Records::Stored { .. } | Records::Removing => true,
        });
    }
}
