//! Detects tasks that need more of a resource than any worker of their service
//! has offered.
//!
//! The load that this addresses: a job that no worker can run waits for ever,
//! and its log lines are those of a job that waits for capacity. As larger
//! workers may join, the job is kept and an event is recorded. Tasks for which
//! each resource suffices on some worker, but all on none, are not detected.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use figrill_state::{
    batch::{BatchId, Resources},
    event::Code,
};

use super::{Now, Scheduler, job::Job, worker::Worker};

/// The interval of the checks.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The time from the start of a coordinator until jobs are checked. It does not
/// know all workers at first.
const DISCOVERY_TIME: Duration = Duration::from_secs(5);

/// The largest offers so far, and the jobs that exceed them.
#[derive(Debug, Default)]
pub(super) struct Oversized {
    /// The largest amount of each resource that one worker has offered, by
    /// service.
    largest: BTreeMap<String, Resources>,
    /// The jobs for which an event is recorded.
    reported: BTreeSet<BatchId>,
    next_check: Duration,
}

impl Oversized {
    /// Records what the workers offer.
    fn record_offers<'a>(
        &mut self,
        workers: impl Iterator<Item = &'a Worker>,
    ) {
        for upstream in workers.filter_map(|w| w.upstream.as_ref()) {
            let offer = upstream.capacity;
            let largest =
                self.largest.entry(upstream.service.clone()).or_default();
            largest.cpu_milli = largest.cpu_milli.max(offer.cpu_milli);
            largest.memory_mib = largest.memory_mib.max(offer.memory_mib);
            largest.accelerators =
                largest.accelerators.max(offer.accelerators);
        }
    }

    /// Describes the first step of a job whose tasks no worker has been large
    /// enough for, if there is one. Nothing is known of a service without
    /// workers.
    fn describe(&self, job: &Job) -> Option<String> {
        let largest = self.largest.get(&job.batch.service)?;
        let mut steps = job.batch.steps.iter().enumerate();
        let (i, step) = steps.find(|(_, s)| !largest.fits(&s.needs))?;
        let Resources {
            cpu_milli,
            memory_mib,
            accelerators,
        } = step.needs;
        Some(format!(
            "step={i} service={} cpu_milli={cpu_milli}/{} \
             memory_mib={memory_mib}/{} accelerators={accelerators}/{}",
            job.batch.service,
            largest.cpu_milli,
            largest.memory_mib,
            largest.accelerators
        ))
    }
}

impl Scheduler {
    /// Records an event, once, for each job that has not ended and has a task
    /// that no worker has been large enough for.
    pub(super) fn report_oversized(&mut self, now: Now) {
        let oversized = &mut self.oversized;
        if !self.features.retry_outlook || now.monotonic < oversized.next_check
        {
            return;
        }
        oversized.next_check = now.monotonic + CHECK_INTERVAL;
        oversized.record_offers(self.workers.values());
        oversized.reported.retain(|id| self.jobs.contains_key(id));
        if now.monotonic < self.started_at + DISCOVERY_TIME {
            return;
        }
        let found: Vec<(BatchId, String)> = self
            .jobs
            .iter()
            .filter(|(id, job)| {
                !job.progress.state.is_final()
                    && !oversized.reported.contains(id)
            })
            .filter_map(|(id, job)| Some((*id, oversized.describe(job)?)))
            .collect();
        for (id, detail) in found {
            self.oversized.reported.insert(id);
            self.record_event(Code::JobOversized, id, &detail);
        }
    }
}
