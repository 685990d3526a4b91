//! Runs one round: starts a site, runs callers against it while faults are
//! injected, and checks the outcome.

use std::{
    io,
    path::Path,
    sync::atomic::Ordering,
    thread,
    time::{Duration, Instant},
};

use figrill_standin::platform::site::{API_KEY, Site, configuration};

use crate::{
    callers::{CALLERS, CallerState, Observation},
    checks,
    faults::{self, DrainPeriod},
    plan::{FAULT_PHASE, Fault, Plan, Size},
};

/// The outcome of a round.
pub struct Report {
    /// The size and the number of jobs of the round, for display.
    pub summary: String,
    /// The faults of the plan, one a line.
    pub plan: Vec<String>,
    /// The promises that were broken.
    pub violations: Vec<String>,
    /// The directory of the logs.
    pub logs: String,
}

/// An action at a planned time of the round.
enum Action<'a> {
    BeginFault(&'a Fault),
    EndFault(&'a Fault),
    ResetStore,
    Configure(u64),
}

/// Runs the round of a seed.
///
/// # Errors
///
/// Returns an error if a process cannot be started.
pub fn run(program: &Path, seed: u64, site_size: Size) -> io::Result<Report> {
    let plan = Plan::from_seed(seed, site_size);
    let mut site =
        Site::start_with_proxies(program, plan.entries, plan.agents)?;
    let entries = site.entries.iter().map(|e| e.address).collect();
    let callers = CallerState::new(entries);
    let client = site.client.clone();
    let mut drains = Vec::new();
    let result = thread::scope(|scope| {
        for number in 0..CALLERS {
            let (callers, client) = (&callers, &client);
            scope.spawn(move || callers.run_caller(client, seed, number));
        }
        let result = run_plan(&mut site, &plan, &mut drains);
        callers.stopped.store(true, Ordering::Relaxed);
        result
    });
    result?;
    let mut violations = Vec::new();
    checks::check_entries_serve(&site, &mut violations);
    checks::check_jobs_end(&site, &callers);
    checks::check_upstreams(&site, &callers, &drains);
    let records = callers.records();
    violations.extend(records.violations.iter().cloned());
    let accepted = records
        .jobs
        .values()
        .filter(|r| r.has(Observation::Accepted))
        .count();
    let refused = records
        .jobs
        .values()
        .filter(|r| r.has(Observation::Refused))
        .count();
    let logs = site.dir.display().to_string();
    if !violations.is_empty() {
        site.keep_logs();
    }
    Ok(Report {
        summary: format!(
            "{} entries, {} agents, {} faults, {} jobs, {accepted} accepted, \
             {refused} refused at least once",
            plan.entries,
            plan.agents,
            plan.faults.len(),
            records.jobs.len()
        ),
        plan: plan.faults.iter().map(Fault::to_string).collect(),
        violations,
        logs,
    })
}

fn run_plan(
    site: &mut Site,
    plan: &Plan,
    drains: &mut Vec<DrainPeriod>,
) -> io::Result<()> {
    let mut actions: Vec<(Duration, Action<'_>)> = Vec::new();
    for fault in &plan.faults {
        actions.push((fault.at, Action::BeginFault(fault)));
        actions.push((fault.at + fault.duration, Action::EndFault(fault)));
    }
    actions
        .extend(plan.store_resets.iter().map(|at| (*at, Action::ResetStore)));
    // Versions must increase, as older ones are ignored, but may have gaps.
    let versions = (10..).step_by(3);
    let changes = plan.configuration_changes.iter().zip(versions);
    actions.extend(
        changes.map(|(at, version)| (*at, Action::Configure(version))),
    );
    actions.sort_by_key(|(at, _)| *at);
    let start = Instant::now();
    for (at, action) in actions {
        thread::sleep(at.saturating_sub(start.elapsed()));
        match action {
            Action::BeginFault(fault) => faults::begin(site, fault),
            Action::EndFault(fault) => {
                drains.extend(faults::end(site, fault)?);
            }
            Action::ResetStore => {
                site.kv.compact_history();
                site.kv.expire_leases();
            }
            Action::Configure(version) => {
                site.configure(&configuration(version, &[API_KEY]));
            }
        }
    }
    thread::sleep(FAULT_PHASE.saturating_sub(start.elapsed()));
    Ok(())
}
