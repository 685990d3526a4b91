//! The jobs of the cases in which accepted work stands still, and what the
//! workers run of them.

use std::{
    ops::RangeInclusive,
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::{
    installation::Installation,
    record::{Record, run_events},
};

/// The interval at which the workers are watched.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);

/// The number of GPUs of a worker.
const GPUS_PER_WORKER: u64 = 8;

/// A job of one step.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// The queue: `u` has priority 0, `q` has priority 1.
    pub queue: &'static str,
    /// The id.
    pub id: u64,
    /// The number of subtasks. Several are a gang.
    pub count: u64,
    /// The number of GPUs of each subtask.
    pub gpus: u64,
    /// How long each works, in milliseconds; also the estimate.
    pub ms: u64,
    /// Whether it runs until it is cancelled.
    pub persistent: bool,
    /// Whether it takes longer on more than one rack.
    pub same_rack: bool,
    /// The rack of its data.
    pub data_rack: Option<&'static str>,
}

impl Job {
    /// A job of priority 1 with one subtask that needs one GPU.
    pub const SMALL: Self = Self {
        queue: "q",
        id: 0,
        count: 1,
        gpus: 1,
        ms: 97_000,
        persistent: false,
        same_rack: false,
        data_rack: None,
    };

    /// Returns the body of the submission.
    fn body(&self) -> Value {
        let members = if self.count > 1 { self.count } else { 0 };
        let (ms, gpus) = (self.ms, self.gpus);
        json!({
            "spec": format!(
                "ms={ms} cpu=1000 mem=1000 gpu={gpus} gang={members}"
            ),
            "steps": [{
                "count": self.count,
                "cpu": 1000,
                "mem_mb": 1000,
                "gpu": gpus,
                "estimate_ms": ms,
                "gang": members > 0,
                "same_rack": self.same_rack,
                "data_rack": self.data_rack,
                "persistent": self.persistent,
            }],
        })
    }

    fn path(&self) -> String {
        format!("/{}/{:016x}", self.queue, self.id)
    }

    /// Submits the job.
    ///
    /// # Errors
    ///
    /// Returns an error if it is not accepted.
    pub fn submit(
        &self,
        site: &Installation,
        record: &mut Record,
    ) -> Result<(), String> {
        let (path, body) = (self.path(), self.body());
        let entry = site.entries[0].address;
        let answer = site.client.call("POST", entry, &path, Some(&body));
        record.note(&format!("POST {path}: {} {body}", answer.status));
        if answer.status == 200 {
            Ok(())
        } else {
            Err("a job was not accepted".to_owned())
        }
    }

    /// Returns the GPUs of all its subtasks.
    const fn all_gpus(&self) -> u64 {
        self.count * self.gpus
    }
}

/// Returns the ids of the jobs of the subtasks that are at work.
fn running(site: &Installation) -> Vec<u64> {
    let mut running = Vec::new();
    for event in run_events(&site.workers) {
        if event.what == "start" {
            running.push(event.task);
        } else {
            running.retain(|task| *task != event.task);
        }
    }
    let job = |task: String| {
        let id = task.split('.').next()?.to_owned();
        u64::from_str_radix(&id, 16).ok()
    };
    running.into_iter().filter_map(job).collect()
}

/// Returns the number of GPUs that `jobs` have in use.
pub fn gpus_in_use(site: &Installation, jobs: &[Job]) -> u64 {
    let gpus = |id: &u64| {
        let job = jobs.iter().find(|j| j.id == *id);
        job.map_or(0, |j| j.gpus)
    };
    running(site).iter().map(gpus).sum()
}

/// Watches the workers for `time`. Returns those of `jobs` with an id in
/// `watched` of which nothing runs all the while, though under half of the
/// GPUs are in use and there is room for the job twice over, with their states.
pub fn standing_still(
    site: &Installation,
    jobs: &[Job],
    watched: RangeInclusive<u64>,
    time: Duration,
    record: &mut Record,
) -> Vec<String> {
    let all_gpus = GPUS_PER_WORKER * site.agents.len() as u64;
    let mut still: Vec<&Job> =
        jobs.iter().filter(|j| watched.contains(&j.id)).collect();
    let until = Instant::now() + time;
    let mut last_noted = String::new();
    while Instant::now() < until && !still.is_empty() {
        let in_use = gpus_in_use(site, jobs);
        let running = running(site);
        still.retain(|job| {
            let has_room = all_gpus - in_use >= 2 * job.all_gpus();
            let is_half_idle = 2 * in_use < all_gpus;
            has_room && is_half_idle && !running.contains(&job.id)
        });
        let noted =
            format!("{in_use} of {all_gpus} GPUs in use by {running:x?}");
        if noted != last_noted {
            record.note(&noted);
            last_noted = noted;
        }
        thread::sleep(WATCH_INTERVAL);
    }
    let state = |job: &&Job| {
        let entry = site.entries[1].address;
        let path = job.path();
        let answer = site.client.call("GET", entry, &path, None);
        let text = format!("GET {path}: {} {}", answer.status, answer.body);
        record.note(&text);
        text
    };
    still.iter().map(state).collect()
}
