//! The terms under which the jobs of a queue are scheduled.
//!
//! A job's record has the terms of its queue at its acceptance. A later version
//! of the catalogue may give the queue other ones, which then hold for all that
//! has not started. Runs that exist go on where they are. The number of
//! attempts is that of the acceptance for good: whether a job has failed must
//! not depend on when a coordinator learns of a change.

use std::{collections::BTreeMap, time::Duration};

use figrill_state::{
    batch::{Batch, BatchId},
    catalog::Queue,
    event::Code,
};

use super::{Scheduler, job::Job};

/// What a queue decides for its jobs.
#[derive(Clone, Debug, PartialEq)]
struct Terms {
    service: String,
    priority: u32,
    stretch: f64,
    target: Duration,
}

/// The terms of all queues in one version of the catalogue.
#[derive(Debug, Default)]
pub(super) struct Queues {
    version: u64,
    terms: BTreeMap<String, Terms>,
}

impl Queues {
    /// Gives a job the terms of its queue. A job of a queue that is no longer
    /// there keeps those that it has, and so does one that was accepted under
    /// a later version than this.
    fn apply(&self, batch: &mut Batch) {
        if batch.catalog_version > self.version {
            return;
        }
        if let Some(terms) = self.terms.get(&batch.queue) {
            batch.service.clone_from(&terms.service);
            batch.priority = terms.priority;
            batch.stretch = terms.stretch;
            batch.target = terms.target;
        }
    }
}

impl Scheduler {
    /// Sets the queues of the settings in force, and schedules the tasks of all
    /// jobs that have not started by them.
    pub fn set_queues(&mut self, version: u64, queues: &[Queue]) {
        let terms = queues.iter().map(|queue| {
            let terms = Terms {
                service: queue.service.clone(),
                priority: queue.priority,
                stretch: queue.stretch,
                target: queue.target,
            };
            (queue.name.clone(), terms)
        });
        self.queues = Queues {
            version,
            terms: terms.collect(),
        };
        let ids: Vec<BatchId> = self.jobs.keys().copied().collect();
        for id in ids {
            self.apply_queue(id);
        }
        self.pending_work.plan = true;
    }

    /// Gives a job the terms of its queue in the settings in force. If the
    /// service is another one, the job's progress records it for the next
    /// coordinator, whose settings may lack the queue.
    pub(super) fn apply_queue(&mut self, id: BatchId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let former = job.batch.service.clone();
        self.queues.apply(&mut job.batch);
        if job.batch.service == former {
            return;
        }
        job.progress.service.clone_from(&job.batch.service);
        let detail = format!(
            "queue={} former={former} service={} version={} runs={}",
            job.batch.queue,
            job.batch.service,
            self.queues.version,
            job.runs.len()
        );
        self.dirty.insert(id);
        self.record_event(Code::JobMoved, id, &detail);
    }
}

impl Job {
    /// Restores the service that an earlier coordinator gave the job.
    pub(super) fn restore_service(&mut self) {
        if !self.progress.service.is_empty() {
            self.batch.service.clone_from(&self.progress.service);
        }
    }
}
