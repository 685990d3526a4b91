//! The checks of the rules that more than one case breaks.

use std::{thread, time::Duration};

use crate::{Verdict, deployment::Deployment};

/// `finish_s`: how long after the last request of a client the state of the
/// jobs counts.
pub const FINISH: Duration = Duration::from_secs(14);

/// For how long a job may have nothing running then.
const MAX_IDLE: Duration = Duration::from_secs(3);

/// For how long a case looks at a job.
const WATCH: Duration = Duration::from_secs(15);

/// The interval at which it looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// A job with a subtask whose turn has come.
pub struct WaitingJob<'a> {
    /// The queue that it was submitted to.
    pub queue: &'a str,
    /// Its id.
    pub id: u64,
    /// The service whose workers run it.
    pub service: &'a str,
    /// The number of subtasks whose turn has come.
    pub count: u64,
    /// The number of accelerators that each of them needs.
    pub accelerators: u64,
}

/// Checks the rule LOST at the end of the traffic: no job has nothing running
/// for 3 s while the turn of a subtask has come, there is capacity for it
/// twice over, and under half of the service's capacity is in use.
pub fn check_finish(site: &Deployment, job: &WaitingJob) -> Verdict {
    site.record.line("client: the traffic has ended");
    thread::sleep(FINISH);
    let until = site.record.elapsed() + WATCH;
    let mut idle_since = None;
    let mut longest = Duration::ZERO;
    while site.record.elapsed() < until {
        let state = site.state(1, job.queue, job.id);
        if matches!(state.as_str(), "done" | "failed" | "canceled") {
            break;
        }
        let free = site.accelerators(job.service);
        let is_idle = site.running(job.id) == 0
            && free.fit(job.accelerators) >= 2 * job.count
            && 2 * free.used() < free.total;
        let now = site.record.elapsed();
        idle_since = is_idle.then(|| idle_since.unwrap_or(now));
        longest = longest
            .max(idle_since.map_or(longest, |at| now.saturating_sub(at)));
        thread::sleep(LOOK_INTERVAL);
    }
    let state = site.recorded_state(1, job.queue, job.id);
    let free = site.accelerators(job.service);
    site.record.line(&format!(
        "upstreams: {} of {} accelerators of {} are in use",
        free.used(),
        free.total,
        job.service
    ));
    if longest > MAX_IDLE {
        Verdict::Broken(format!(
            "LOST: job {:016x} is {state} and had nothing running for \
             {longest:.1?} at the end, with {} of {} accelerators in use",
            job.id,
            free.used(),
            free.total
        ))
    } else {
        Verdict::Held
    }
}
