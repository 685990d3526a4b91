//! One round: a site, its faults, its callers, and what came of them.

use std::{
    io,
    path::Path,
    sync::atomic::Ordering,
    thread,
    time::{Duration, Instant},
};

use figrill_standin::platform::site::{API_KEY, Site, configuration};

use crate::{
    callers::{CALLERS, Desk, Word},
    checks,
    faults::{self, Leaving},
    plan::{FAULTS_FOR, Fault, Plan, Size},
};

/// What came of a round.
pub struct Report {
    /// What was played, for people.
    pub summary: String,
    /// The plan, a line each fault.
    pub plan: Vec<String>,
    /// Promises that were broken.
    pub broken: Vec<String>,
    /// Where the logs are.
    pub logs: String,
}

/// Something that happens at a time of the round.
enum Step<'a> {
    Begin(&'a Fault),
    End(&'a Fault),
    Lapse,
    Configure(u64),
}

/// Plays the round of a seed.
///
/// # Errors
///
/// If a process can't be started.
pub fn play(program: &Path, seed: u64, large: Size) -> io::Result<Report> {
    let plan = Plan::draw(seed, large);
    let mut site =
        Site::start_with_proxies(program, plan.entries, plan.agents)?;
    let entries = site.entries.iter().map(|e| e.address).collect();
    let desk = Desk::new(entries);
    let client = site.client.clone();
    let mut leaving = Vec::new();
    let played = thread::scope(|scope| {
        for number in 0..CALLERS {
            let (desk, client) = (&desk, &client);
            scope.spawn(move || desk.call(client, seed, number));
        }
        let played = play_faults(&mut site, &plan, &mut leaving);
        desk.over.store(true, Ordering::Relaxed);
        played
    });
    played?;
    let mut broken = Vec::new();
    checks::serves_again(&site, &mut broken);
    checks::all_end(&site, &desk);
    checks::upstreams_saw(&site, &desk, &leaving);
    let records = desk.records();
    broken.extend(records.broken.iter().cloned());
    let accepted = records
        .jobs
        .values()
        .filter(|t| t.has(Word::Accepted))
        .count();
    let refused = records
        .jobs
        .values()
        .filter(|t| t.has(Word::Refused))
        .count();
    let logs = site.dir.display().to_string();
    if !broken.is_empty() {
        site.keep_logs();
    }
    Ok(Report {
        summary: format!(
            "{} entries, {} agents, {} faults, {} jobs, {accepted} accepted, \
             {refused} refused at some time",
            plan.entries,
            plan.agents,
            plan.faults.len(),
            records.jobs.len()
        ),
        plan: plan.faults.iter().map(Fault::to_string).collect(),
        broken,
        logs,
    })
}

fn play_faults(
    site: &mut Site,
    plan: &Plan,
    leaving: &mut Vec<Leaving>,
) -> io::Result<()> {
    let mut steps: Vec<(Duration, Step<'_>)> = Vec::new();
    for fault in &plan.faults {
        steps.push((fault.at, Step::Begin(fault)));
        steps.push((fault.at + fault.lasts, Step::End(fault)));
    }
    steps.extend(plan.lapses.iter().map(|at| (*at, Step::Lapse)));
    let versions = (10..).step_by(3);
    let changes = plan.configurations.iter().zip(versions);
    steps.extend(changes.map(|(at, version)| (*at, Step::Configure(version))));
    steps.sort_by_key(|(at, _)| *at);
    let begun = Instant::now();
    for (at, step) in steps {
        thread::sleep(at.saturating_sub(begun.elapsed()));
        match step {
            Step::Begin(fault) => faults::begin(site, fault),
            Step::End(fault) => leaving.extend(faults::end(site, fault)?),
            Step::Lapse => {
                site.kv.compact_history();
                site.kv.expire_leases();
            }
            Step::Configure(version) => {
                site.configure(&configuration(version, &[API_KEY]));
            }
        }
    }
    thread::sleep(FAULTS_FOR.saturating_sub(begun.elapsed()));
    Ok(())
}
