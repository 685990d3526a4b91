//! The checks of a round: what must hold once the faults are over, and what
//! must not have happened during them.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use figrill_standin::platform::{
    client::{Client, job},
    site::Site,
    workers::AcknowledgedDrain,
};

use crate::{
    callers::{CallerState, Observation},
    plan::DOMAIN_DRAIN_LIMIT,
};

/// The maximum time until each entry serves jobs again.
const SERVING_TIMEOUT: Duration = Duration::from_secs(15);

/// The maximum time until all accepted jobs have ended.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(45);

/// The time after the acknowledgement of a drain from which the upstream is
/// given no new tasks, in milliseconds.
const DRAIN_GRACE_MS: u64 = 2000;

/// The interval at which a condition is checked again. A job may have no state
/// for as long as this while entries restart.
const POLL_INTERVAL: Duration = Duration::from_millis(150);

/// Checks that each entry serves a new job in time.
pub fn check_entries_serve(site: &Site, violations: &mut Vec<String>) {
    for (i, member) in site.entries.iter().enumerate() {
        let id = 0xAAAA_0000 + i as u64;
        let start = Instant::now();
        let body = job(1, 1, 50, false);
        let served = wait_until(SERVING_TIMEOUT, || {
            let client = &site.client;
            client.submit(member.address, id, &body).status == 200
                && client.state(member.address, id) == "done"
        });
        if !served {
            let elapsed = start.elapsed();
            violations.push(format!(
                "{} serves no jobs after {elapsed:?}",
                member.name
            ));
        }
    }
}

/// Checks that all accepted jobs end, and that every entry reports the same
/// state of each.
pub fn check_jobs_end(site: &Site, callers: &CallerState) {
    let accepted: Vec<u64> = {
        let records = callers.records();
        let accepted = records
            .jobs
            .iter()
            .filter(|(_, record)| record.has(Observation::Accepted));
        accepted.map(|(id, _)| *id).collect()
    };
    let start = Instant::now();
    for id in accepted {
        let remaining = COMPLETION_TIMEOUT.saturating_sub(start.elapsed());
        let ended = wait_until(remaining.max(POLL_INTERVAL * 4), || {
            has_ended_everywhere(&site.client, &callers.entries, callers, id)
        });
        if !ended {
            let text =
                format!("job {id:x} was accepted, but did not end in time");
            callers.records().violations.push(text);
        }
    }
}

/// Queries each entry for a job's state, and returns whether all of them
/// report that it has ended.
fn has_ended_everywhere(
    client: &Client,
    entries: &[SocketAddr],
    callers: &CallerState,
    id: u64,
) -> bool {
    let mut ended = true;
    for entry in entries {
        let state = client.state(*entry, id);
        ended &= ["done", "failed", "canceled"].contains(&state.as_str());
        callers.records().observe_state(id, &state);
    }
    ended
}

fn wait_until(limit: Duration, condition: impl Fn() -> bool) -> bool {
    let start = Instant::now();
    loop {
        if condition() {
            return true;
        }
        if start.elapsed() >= limit {
            return false;
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// Checks that no entry shows the jobs of invalid records, and that none of
/// them has run.
pub fn check_stray_jobs(
    site: &Site,
    callers: &CallerState,
    ids: impl Iterator<Item = u64>,
) {
    for id in ids {
        for entry in &callers.entries {
            let state = site.client.state(*entry, id);
            if state.parse::<u16>().is_err() {
                let text =
                    format!("job {id:x}, which nobody submitted, is {state}");
                callers.records().violations.push(text);
            }
        }
        if site.starts(id) > 0 {
            let text = format!("job {id:x}, which nobody submitted, ran");
            callers.records().violations.push(text);
        }
    }
}

/// Checks what the upstreams observed: no violations, no start of a job that
/// its caller was told would not run, and no start at an upstream some time
/// after its agent has acknowledged that it drains.
pub fn check_upstreams(site: &Site, callers: &CallerState) {
    let drains = site.workers.drains();
    let pool = site.workers.pool();
    let mut records = callers.records();
    for violation in &pool.violations {
        records
            .violations
            .push(format!("upstreams: {}", violation.0));
    }
    // The jobs that no attempt can have submitted. They must not run.
    let refused: Vec<String> = records
        .jobs
        .iter()
        .filter(|(_, r)| {
            let may_run = r.has(Observation::Indeterminate)
                || r.has(Observation::Accepted);
            r.has(Observation::Refused) && !may_run
        })
        .map(|(id, _)| format!("{id:016x}."))
        .collect();
    for line in pool.trace.iter().filter(|l| l.contains(" start ")) {
        if refused.iter().any(|id| line.contains(id)) {
            records.violations.push(format!(
                "a job was refused as not run, but it ran: {line}"
            ));
        }
        let time_ms = time_of(line);
        let in_drain = |d: &&AcknowledgedDrain| {
            line.ends_with(&d.agent)
                && time_ms > d.at_ms + DRAIN_GRACE_MS
                && time_ms < end_of(d, &pool.trace)
        };
        if let Some(drain) = drains.iter().find(in_drain) {
            let text = format!(
                "a task was started at a draining upstream: {line} {drain:?}"
            );
            records.violations.push(text);
        }
    }
}

/// Returns the starts in failure domains that were drained for longer than the
/// limit until nothing starts there.
pub fn late_starts_in_drained_domains(site: &Site) -> Vec<String> {
    let limit_ms = DOMAIN_DRAIN_LIMIT.as_millis();
    let limit_ms = u64::try_from(limit_ms).unwrap_or(u64::MAX);
    let periods = site.drain_periods();
    let pool = site.workers.pool();
    let domain_of = |line: &str| {
        let agent = line.rsplit(' ').next()?;
        Some(&pool.nodes.get(agent)?.upstream.failure_domain)
    };
    let starts = pool.trace.iter().filter(|l| l.contains(" start "));
    starts
        .filter_map(|line| {
            let time_ms = time_of(line);
            let period = periods.iter().find(|p| {
                domain_of(line) == Some(&p.domain)
                    && time_ms > p.requested_ms + limit_ms
                    && p.ended_ms.is_none_or(|end| time_ms < end)
            })?;
            Some(format!("a task was started in a drain: {line} {period:?}"))
        })
        .collect()
}

/// Returns the time of a line of the trace, in milliseconds.
fn time_of(line: &str) -> u64 {
    let time = line.split(' ').next().and_then(|w| w.parse().ok());
    time.unwrap_or(0)
}

/// Returns when the incarnation that drains has ended, in milliseconds. It was
/// born at the end of the one before.
fn end_of(drain: &AcknowledgedDrain, trace: &[String]) -> u64 {
    let ends = trace
        .iter()
        .filter(|l| l.contains(" crashed ") && l.ends_with(&drain.agent));
    let mut ends = ends.map(|line| time_of(line));
    let born_ms = drain.incarnation.born_ms;
    ends.find(|at| *at > born_ms).unwrap_or(u64::MAX)
}
