//! The scheduler's view of one worker: its upstream, its resources, and the
//! results of runs that decide whether it is quarantined.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use figrill_state::{
    batch::{BatchId, Incarnation, Resources, TaskId},
    runner::UpstreamState,
};

/// How long a worker counts as reachable after its last snapshot.
pub(super) const REACHABLE_TIMEOUT: Duration = Duration::from_millis(1500);

/// How long a snapshot may take from an upstream to the scheduler.
const MAX_REPORT_DELAY: Duration = Duration::from_millis(500);

/// The age up to which results of runs count for a quarantine.
const RESULT_WINDOW: Duration = Duration::from_secs(12);

/// How long a quarantined worker gets no new work.
const QUARANTINE_DURATION: Duration = Duration::from_secs(5);

/// How long a worker whose upstream refused a start as unhealthy gets no new
/// work, also if its quarantine is ignored.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(250);

/// The number of different jobs that must have failed on a worker before it
/// is quarantined.
const QUARANTINE_FAILED_JOBS: usize = 2;

/// The result of a run, as far as it says something about the worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RunResult {
    /// The run completed its work.
    Succeeded,
    /// The run failed.
    Failed,
    /// The run failed without progress, soon after its start.
    FailedEarly,
    /// The run made no progress, or was refused by an unhealthy upstream.
    Stuck,
}

/// The fencing token of the orders to a worker's upstream.
///
/// An upstream that is back under its old id executes calls that were meant
/// for its former incarnation, and has seen no token. So each incarnation
/// gets orders with a token of its own, higher than those of all calls to the
/// earlier ones: once it has answered with that token, it refuses them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum Fence {
    /// The token of the coordinator: no other incarnation was given any order
    /// in this term.
    #[default]
    Term,
    /// A revision of the store in this term, which is higher than the token of
    /// the coordinator and lower than that of the next one.
    Revision(u64),
    /// None yet: it has to be higher than this one.
    Above(u64),
}

/// A worker and what is placed on it.
#[derive(Debug, Default)]
pub(super) struct Worker {
    /// The upstream as last reported; `None` until its agent reports one, and
    /// after it has ended.
    pub(super) upstream: Option<UpstreamState>,
    /// The last upstream that was reported in this term, also if it has ended.
    last_incarnation: Option<Incarnation>,
    /// The fencing token of orders to the upstream.
    pub(super) fence: Fence,
    /// The upstream's clock in the latest snapshot, in milliseconds, and the
    /// time at which that snapshot arrived.
    pub(super) clock: Option<(u64, Duration)>,
    /// When every run that was ever ordered there has certainly ended, unless
    /// a further grant is sent before.
    pub(super) expires_at: Duration,
    /// The resources of each task that is placed there.
    pub(super) allocations: BTreeMap<TaskId, Resources>,
    /// Runs that its upstream lists but that have no placement there (task,
    /// run, resources). The resources are `None` if the task is unknown.
    pub(super) orphans: Vec<(TaskId, u32, Option<Resources>)>,
    /// The sequence number of the latest end of a run that was processed.
    pub(super) last_end_number: u64,
    /// Whether the latest snapshot may lack ended runs.
    pub(super) ends_incomplete: bool,
    /// Ends that were processed but are not committed yet, by number.
    pub(super) uncommitted_ends: BTreeMap<u64, BatchId>,
    /// Until when a start whose answer is not known may be executed. It was
    /// ordered in this term, and its run has been released.
    starts_open_until: Duration,
    /// Until when [`Self::held_acknowledgement`] is not exceeded.
    acknowledgements_held_until: Duration,
    /// The acknowledgement when the agent last connected.
    held_acknowledgement: u64,
    /// When the remaining time of a draining upstream was last reported.
    pub(super) drain_reported_at: Option<Duration>,
    /// The results within [`RESULT_WINDOW`]: time, job and result.
    recent_results: VecDeque<(Duration, BatchId, RunResult)>,
    /// Until when no new work is placed there, unless too many workers are
    /// quarantined.
    pub(super) quarantined_until: Duration,
    /// Until when no new work is placed there in any case.
    backoff_until: Duration,
}

impl Worker {
    /// Returns the incarnation of the upstream, if one is known.
    pub(super) fn incarnation(&self) -> Option<&Incarnation> {
        self.upstream.as_ref().map(|u| &u.incarnation)
    }

    /// Returns the last incarnation that was reported in this term, also if it
    /// has ended.
    pub(super) fn last_incarnation(&self) -> Option<&Incarnation> {
        self.last_incarnation.as_ref()
    }

    /// Records another incarnation of the upstream, and that its orders need a
    /// fencing token above `token`, that of the last one, if there was any.
    pub(super) fn replace_incarnation(
        &mut self,
        incarnation: &Incarnation,
        token: u64,
    ) {
        self.forget_incarnation();
        let last = self.last_incarnation.replace(incarnation.clone());
        if last.is_some_and(|last| last != *incarnation) {
            self.fence = Fence::Above(token);
        }
    }

    /// Returns whether a snapshot arrived within [`REACHABLE_TIMEOUT`].
    pub(super) fn is_reachable(&self, now: Duration) -> bool {
        self.clock
            .is_some_and(|(_, at)| now < at + REACHABLE_TIMEOUT)
    }

    /// Records that the upstream refused a start as unhealthy.
    pub(super) fn record_refusal(&mut self, now: Duration) {
        self.backoff_until = now + REFUSAL_BACKOFF;
    }

    /// Returns whether a start may be placed there, as far as refusals of
    /// earlier ones are concerned.
    pub(super) fn accepts_starts(&self, now: Duration) -> bool {
        now >= self.backoff_until
    }

    /// Returns the time for which a draining worker is certain to stay, if it
    /// reported one.
    pub(super) fn remaining_time(&self, now: Duration) -> Option<Duration> {
        let upstream = self.upstream.as_ref().filter(|u| u.draining)?;
        let reported_at = self.drain_reported_at?;
        Some((reported_at + upstream.remaining?).saturating_sub(now))
    }

    /// Returns the upstream's clock now, in milliseconds, extrapolated from
    /// the latest snapshot.
    pub(super) fn clock_now(&self, now: Duration) -> Option<u64> {
        let (clock, at) = self.clock?;
        let elapsed = now.saturating_sub(at).as_millis();
        Some(clock + u64::try_from(elapsed).unwrap_or(0))
    }

    /// Forgets the known incarnation if it has ended. Returns whether it has.
    pub(super) fn end_incarnation(
        &mut self,
        has_ended: impl Fn(&Incarnation) -> bool,
    ) -> bool {
        let was_known = self.incarnation().is_some_and(has_ended);
        if was_known {
            self.upstream = None;
            self.clock = None;
            self.orphans.clear();
        }
        was_known
    }

    /// Forgets what belongs to an incarnation that another one replaces:
    /// everything that was ordered on it ended with it, and its clock and its
    /// sequence numbers no longer apply.
    fn forget_incarnation(&mut self) {
        self.clock = None;
        self.last_end_number = 0;
        self.ends_incomplete = false;
        self.uncommitted_ends.clear();
        self.held_acknowledgement = 0;
        self.orphans.clear();
        self.drain_reported_at = None;
    }

    /// Returns the lowest clock, in milliseconds, with which an answer is
    /// known to come from the incarnation of the latest snapshot: an answer
    /// of that incarnation is not older than the snapshot, and a later
    /// incarnation has not been running for longer than since the snapshot.
    /// Returns `None` if there is no snapshot of the incarnation.
    pub(super) fn earliest_clock(&self, now: Duration) -> Option<u64> {
        let (clock, at) = self.clock?;
        let elapsed = now.saturating_sub(at) + MAX_REPORT_DELAY;
        let elapsed_ms = u64::try_from(elapsed.as_millis());
        Some(clock.max(elapsed_ms.unwrap_or(u64::MAX)))
    }

    /// Returns the resources that neither placements nor orphaned runs hold.
    pub(super) fn free(&self) -> Resources {
        let Some(upstream) = &self.upstream else {
            return Resources::default();
        };
        let mut free = upstream.capacity;
        for needs in self.allocations.values() {
            free = free.minus(needs);
        }
        for (_, _, needs) in &self.orphans {
            // A run with unknown needs may hold everything.
            let Some(needs) = needs else {
                return Resources::default();
            };
            free = free.minus(needs);
        }
        free
    }

    /// Returns the sequence number up to which all ends of runs are committed
    /// to the store.
    pub(super) fn acknowledged(&self) -> u64 {
        let first = self.uncommitted_ends.first_key_value();
        first.map_or(self.last_end_number, |(number, _)| number - 1)
    }

    /// Records that a start whose answer is not known may be executed until
    /// `until`.
    pub(super) fn record_open_start(&mut self, until: Duration) {
        self.starts_open_until = self.starts_open_until.max(until);
    }

    /// Handles a connection of its agent, which may have restarted and does not
    /// know then which starts are open: those of released runs, and others
    /// until `open_until`. No further ends are acknowledged meanwhile.
    pub(super) fn hold_acknowledgements(&mut self, open_until: Duration) {
        self.record_open_start(open_until);
        self.acknowledgements_held_until = self.starts_open_until;
        self.held_acknowledgement = self.acknowledged();
    }

    /// Returns the number up to which the agent may acknowledge ends now.
    pub(super) fn acknowledgement(&self, now: Duration) -> u64 {
        if now < self.acknowledgements_held_until {
            self.held_acknowledgement
        } else {
            self.acknowledged()
        }
    }

    /// Records the result of a run. Quarantines the worker after a stuck run,
    /// or when runs of at least [`QUARANTINE_FAILED_JOBS`] jobs failed or got
    /// stuck and these runs outnumber the successful ones. Returns whether it
    /// did.
    pub(super) fn record_result(
        &mut self,
        now: Duration,
        job: BatchId,
        result: RunResult,
    ) -> bool {
        self.recent_results.push_back((now, job, result));
        while let Some((at, ..)) = self.recent_results.front()
            && now > *at + RESULT_WINDOW
        {
            self.recent_results.pop_front();
        }
        if result == RunResult::Succeeded {
            return false;
        }
        let failures = self
            .recent_results
            .iter()
            .filter(|e| e.2 != RunResult::Succeeded);
        let mut failed_jobs: Vec<BatchId> = failures.map(|e| e.1).collect();
        let failures = failed_jobs.len();
        failed_jobs.sort_unstable();
        failed_jobs.dedup();
        let successes = self.recent_results.len() - failures;
        let suspect = failed_jobs.len() >= QUARANTINE_FAILED_JOBS
            && failures > successes;
        if suspect || result == RunResult::Stuck {
            self.quarantined_until = now + QUARANTINE_DURATION;
            return true;
        }
        false
    }
}
