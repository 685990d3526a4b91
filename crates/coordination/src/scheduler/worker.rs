//! A worker as the coordinator knows it.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use figrill_state::{
    batch::{BatchId, Incarnation, Resources, TaskId},
    runner::Upstream,
};

/// How long a worker counts as reachable after its last snapshot.
pub(super) const HEARD_FOR: Duration = Duration::from_millis(1500);

/// How far back the endings reach that a worker is judged by.
const JUDGED_OVER: Duration = Duration::from_secs(12);

/// How long a suspected worker gets no work.
const SUSPENDED_FOR: Duration = Duration::from_secs(5);

/// Failures, of different jobs, that make a worker suspect.
const SUSPECT_FAILURES: usize = 2;

/// How a run on a worker ended, for judging the worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Verdict {
    /// It did its work.
    Good,
    /// It failed.
    Failed,
    /// It stood still or was never started.
    Stuck,
}

/// A worker.
#[derive(Debug, Default)]
pub(super) struct Worker {
    /// What it last said of itself; `None` until its agent reports it.
    pub(super) upstream: Option<Upstream>,
    /// Its clock in milliseconds, and when that was learnt.
    pub(super) clock: Option<(u64, Duration)>,
    /// When everything that was ever ordered there is surely over, if
    /// nothing is heard from it until then.
    pub(super) over_at: Duration,
    /// What occupies it, by task.
    pub(super) occupied: BTreeMap<TaskId, Resources>,
    /// Runs there that belong to no placement, with what they occupy.
    pub(super) orphans: Vec<(TaskId, u32, Option<Resources>)>,
    /// The highest end that was taken in.
    pub(super) seen: u64,
    /// Ends that were taken in and do not stand in the store yet.
    pub(super) uncommitted: BTreeMap<u64, BatchId>,
    /// When it was heard to leave, if it does.
    pub(super) leaves_from: Option<Duration>,
    /// Recent endings: when, of which job, how.
    endings: VecDeque<(Duration, BatchId, Verdict)>,
    /// No work is placed there until then.
    pub(super) suspended_until: Duration,
}

impl Worker {
    /// The life of the upstream, if one is known.
    pub(super) fn incarnation(&self) -> Option<&Incarnation> {
        self.upstream.as_ref().map(|u| &u.incarnation)
    }

    /// Whether a snapshot came lately.
    pub(super) fn is_heard(&self, now: Duration) -> bool {
        self.clock.is_some_and(|(_, at)| now < at + HEARD_FOR)
    }

    /// The time that is surely left to it, if it leaves and says so.
    pub(super) fn left(&self, now: Duration) -> Option<Duration> {
        let upstream = self.upstream.as_ref().filter(|u| u.draining)?;
        let from = self.leaves_from?;
        Some((from + upstream.remaining?).saturating_sub(now))
    }

    /// Its clock now, as far as known.
    pub(super) fn clock_now(&self, now: Duration) -> Option<u64> {
        let (clock, at) = self.clock?;
        let since = now.saturating_sub(at).as_millis();
        Some(clock + u64::try_from(since).unwrap_or(0))
    }

    /// What is free there.
    pub(super) fn free(&self) -> Resources {
        let Some(upstream) = &self.upstream else {
            return Resources::default();
        };
        let mut free = upstream.capacity;
        for needs in self.occupied.values() {
            free = free.minus(needs);
        }
        for (_, _, needs) in &self.orphans {
            // What is not known may be anything.
            let Some(needs) = needs else {
                return Resources::default();
            };
            free = free.minus(needs);
        }
        free
    }

    /// The number up to which all ends stand in the store.
    pub(super) fn acknowledged(&self) -> u64 {
        let first = self.uncommitted.first_key_value();
        first.map_or(self.seen, |(number, _)| number - 1)
    }

    /// Takes note of how a run ended and suspends the worker if too many
    /// went wrong there. Returns whether it did.
    pub(super) fn judge(
        &mut self,
        now: Duration,
        job: BatchId,
        verdict: Verdict,
    ) -> bool {
        self.endings.push_back((now, job, verdict));
        while let Some((at, ..)) = self.endings.front()
            && now > *at + JUDGED_OVER
        {
            self.endings.pop_front();
        }
        if verdict == Verdict::Good {
            return false;
        }
        let bad = self.endings.iter().filter(|e| e.2 != Verdict::Good);
        let mut jobs: Vec<BatchId> = bad.map(|e| e.1).collect();
        let bad = jobs.len();
        jobs.sort_unstable();
        jobs.dedup();
        let good = self.endings.len() - bad;
        let suspect = jobs.len() >= SUSPECT_FAILURES && bad > good;
        if suspect || verdict == Verdict::Stuck {
            self.suspended_until = now + SUSPENDED_FOR;
            return true;
        }
        false
    }
}
