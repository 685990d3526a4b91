//! Builders of jobs.

use std::time::Duration;

use figrill_state::batch::{Batch, BatchId, Resources, Step};

/// Returns a job of one step with `count` tasks, which take `gpu`
/// accelerators each and run for `ms` milliseconds. A job of
/// priority 0 may preempt jobs of all other priorities.
pub fn job(id: u64, priority: u32, count: u32, gpu: u64, ms: u64) -> Batch {
    let needs = Resources {
        cpu_milli: 1000,
        memory_mib: 1000,
        accelerators: gpu,
    };
    Batch {
        id: BatchId(id),
        workspace: "a".to_owned(),
        queue: "q".to_owned(),
        service: "svc".to_owned(),
        catalog_version: 0,
        priority,
        attempts: 2,
        stretch: 3.0,
        target: Duration::from_secs(1),
        payload: format!("ms={ms} cpu=1000 mem=1000 gpu={gpu}"),
        steps: vec![Step {
            count,
            needs,
            estimate_ms: ms,
            ..Step::default()
        }],
        schedule: None,
        accepted_ms: 0,
        cancelled: false,
    }
}

/// Makes the tasks of a job's only step a gang.
pub fn gang(mut batch: Batch) -> Batch {
    let count = batch.steps[0].count;
    batch.steps[0].gang = true;
    batch.payload = format!("{} gang={count}", batch.payload);
    batch
}
