//! Runs one round: starts a site, runs callers against it while faults are
//! injected, and checks the outcome.

use std::{
    fs, io,
    path::Path,
    sync::atomic::Ordering,
    thread,
    time::{Duration, Instant},
};

use figrill_standin::platform::site::{
    API_KEY, Site, SitePlan, configuration,
};

use crate::{
    callers::{CALLERS, CallerState, LONG_CALLERS, Observation},
    checks, faults,
    plan::{
        DOMAIN_DRAIN_LIMIT, FAULT_PHASE, FaultKind, Plan, Profile, Size,
        Target,
    },
    restarts::carried_out_later,
    signals::Step,
    writer,
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
enum Action {
    /// Begins the fault with this index in the plan.
    BeginFault(usize),
    /// Ends the fault with this index in the plan.
    EndFault(usize),
    Signal(Target, Step),
    ResetStore,
    Configure(u64),
}

/// Runs the round of a seed.
///
/// # Errors
///
/// Returns an error if a process cannot be started.
pub fn run(
    program: &Path,
    seed: u64,
    site_size: Size,
    profile: Profile,
) -> io::Result<Report> {
    let plan = Plan::from_seed(seed, site_size, profile);
    let mut site = Site::start_plan(
        program,
        SitePlan {
            entries: plan.entries,
            agents: plan.agents,
            with_proxies: true,
            domain_drain: Some(DOMAIN_DRAIN_LIMIT),
        },
    )?;
    let entries = site.entries.iter().map(|e| e.address).collect();
    let callers = CallerState::new(entries);
    let client = site.client.clone();
    let result = thread::scope(|scope| {
        for number in 0..CALLERS {
            let (callers, client) = (&callers, &client);
            scope.spawn(move || callers.run_caller(client, seed, number));
        }
        for (number, entry) in (CALLERS..).zip(&callers.entries) {
            let callers = &callers;
            scope.spawn(move || {
                callers.run_persistent_caller(*entry, seed, number);
            });
        }
        if !plan.restarts.is_empty() {
            for number in LONG_CALLERS {
                let (callers, client) = (&callers, &client);
                scope.spawn(move || {
                    callers.run_long_caller(client, seed, number);
                });
            }
        }
        let result = run_plan(&mut site, &plan);
        callers.stopped.store(true, Ordering::Relaxed);
        result
    });
    result?;
    let mut violations = Vec::new();
    checks::check_entries_serve(&site, &mut violations);
    checks::check_jobs_end(&site, &callers);
    checks::check_upstreams(&site, &callers);
    violations.extend(checks::late_starts_in_drained_domains(&site));
    let stray = plan.faults.iter().filter_map(|fault| match fault.kind {
        FaultKind::StrayRecords(seed) => Some(writer::record_jobs(seed)),
        _ => None,
    });
    checks::check_stray_jobs(&site, &callers, stray.flatten());
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
        let trace = site.workers.pool().trace.join("\n");
        fs::write(site.dir.join("upstreams.log"), trace)?;
        site.keep_logs();
    }
    Ok(Report {
        summary: format!(
            "{} entries, {} agents, {} faults, {} jobs, {accepted} accepted, \
             {refused} refused at least once, {} calls cut, {}",
            plan.entries,
            plan.agents,
            plan.faults.len() + plan.series.len() + plan.restarts.len(),
            records.jobs.len(),
            records.cut_calls,
            carried_out_later(&site.workers),
        ),
        plan: plan.lines(),
        violations,
        logs,
    })
}

/// Plays the restarts of upstreams beside the rest of the plan, so that
/// neither delays the other.
fn run_plan(site: &mut Site, plan: &Plan) -> io::Result<()> {
    let start = Instant::now();
    thread::scope(|scope| {
        for series in &plan.restarts {
            let name = site.agents[series.agent].name.clone();
            let workers = site.workers.clone();
            scope.spawn(move || series.play(&workers, &name, start));
        }
        run_actions(site, plan, start)
    })
}

fn run_actions(
    site: &mut Site,
    plan: &Plan,
    start: Instant,
) -> io::Result<()> {
    let mut planned = plan.faults.clone();
    let mut actions: Vec<(Duration, Action)> = Vec::new();
    for (i, fault) in planned.iter().enumerate() {
        actions.push((fault.at, Action::BeginFault(i)));
        actions.push((fault.at + fault.duration, Action::EndFault(i)));
    }
    for series in &plan.series {
        let steps = series.steps.iter();
        actions
            .extend(steps.map(|(at, step)| {
                (*at, Action::Signal(series.target, *step))
            }));
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
    for (at, action) in actions {
        thread::sleep(at.saturating_sub(start.elapsed()));
        match action {
            Action::BeginFault(i) => {
                faults::resolve_targets(site, &mut planned[i]);
                faults::begin(site, &planned[i])?;
            }
            Action::EndFault(i) => faults::end(site, &planned[i])?,
            Action::Signal(target, step) => {
                faults::signal(site, target, step)?;
            }
            Action::ResetStore => {
                site.kv.compact_history();
                site.kv.expire_leases();
            }
            Action::Configure(version) => {
                // The second key comes and goes, the first one stays.
                let keys = [API_KEY, "another-key"];
                let count = if version % 2 == 0 { 1 } else { 2 };
                site.configure(&configuration(version, &keys[..count]));
            }
        }
    }
    thread::sleep(FAULT_PHASE.saturating_sub(start.elapsed()));
    Ok(())
}
