//! Injects faults into a running site and removes them again.

use std::{
    io,
    time::{Duration, Instant},
};

use figrill_standin::{
    platform::{
        site::{Member, Site, failure_domain},
        store::Outage,
        workers::Successor,
    },
    proxy::{Direction, Proxy},
};

use crate::{
    plan::{Fault, FaultKind, Target},
    signals::Step,
    writer::{self, ReportSeries},
};

/// The maximum time that a process may take to stop before it is killed.
const STOP_TIMEOUT: Duration = Duration::from_secs(6);

/// The delay added to the traffic of peer connections or to calls of the
/// store.
const ADDED_DELAY: Duration = Duration::from_millis(150);

/// The delay after which the store commits a late write.
const LATE_WRITE_DELAY: Duration = Duration::from_millis(2500);

/// The number of consecutive writes whose answers are lost.
const LOST_ANSWERS: u64 = 3;

/// The speed of a slow upstream, in percent of the normal speed.
const SLOW_PERCENT: u64 = 20;

fn member(site: &mut Site, target: Target) -> &mut Member {
    match target {
        Target::Entry(i) => &mut site.entries[i],
        Target::Agent(i) => &mut site.agents[i],
        Target::Coordinator => {
            let coordinator = site.coordinator().unwrap_or(0);
            &mut site.entries[coordinator]
        }
    }
}

/// Replaces the coordinator among the targets of a fault by the entry that
/// coordinates now, so that the fault ends where it has begun.
pub fn resolve_targets(site: &Site, fault: &mut Fault) {
    for target in &mut fault.targets {
        if *target == Target::Coordinator {
            *target = Target::Entry(site.coordinator().unwrap_or(0));
        }
    }
}

/// Begins a fault.
///
/// # Errors
///
/// Returns an error if the reports of another writer cannot be sent.
pub fn begin(site: &mut Site, fault: &Fault) -> io::Result<()> {
    if let FaultKind::StrayRecords(seed) = fault.kind {
        writer::write_records(&site.kv, seed);
    }
    if let FaultKind::DomainDrain(i) = fault.kind {
        site.request_drain(&failure_domain(i));
    }
    for target in &fault.targets {
        if let FaultKind::StrayReports(seed) = fault.kind
            && let Target::Agent(i) = *target
        {
            let series = ReportSeries::new(site, i, seed, fault.duration)?;
            series.spawn()?;
        }
        begin_one(site, fault, *target)?;
    }
    Ok(())
}

/// Carries out one step of a series of signals.
///
/// # Errors
///
/// Returns an error if the process cannot be restarted.
pub fn signal(site: &mut Site, target: Target, step: Step) -> io::Result<()> {
    let process = &mut member(site, target).process;
    match step {
        Step::Kill => process.kill(),
        Step::Terminate => process.terminate(),
        Step::Freeze => process.freeze(),
        Step::Thaw => process.thaw(),
        Step::Reload => process.reload(),
        Step::Restart => {
            process.kill();
            return start_again(site, target);
        }
    }
    Ok(())
}

/// Returns how the next incarnation of an upstream differs, by the time of the
/// fault: in nothing but its start, in its id, in its address or in both.
fn successor(fault: &Fault) -> Successor {
    let variant = fault.at.as_millis() % 4;
    Successor {
        new_id: variant & 1 != 0,
        new_address: variant & 2 != 0,
    }
}

fn begin_one(
    site: &mut Site,
    fault: &Fault,
    target: Target,
) -> io::Result<()> {
    let kind = fault.kind;
    let workers = site.workers.clone();
    let member = member(site, target);
    match kind {
        FaultKind::Kill => member.process.kill(),
        FaultKind::Stop => member.process.terminate(),
        FaultKind::Freeze => member.process.freeze(),
        FaultKind::Reload => member.process.reload(),
        FaultKind::StoreRefusing => {
            member.store_endpoint.faults().outage = Outage::Refusing;
        }
        FaultKind::StoreUnresponsive => {
            member.store_endpoint.faults().outage = Outage::Unresponsive;
        }
        FaultKind::StoreSlow => {
            member.store_endpoint.faults().delay = ADDED_DELAY;
        }
        FaultKind::StoreLostAnswers => {
            member.store_endpoint.faults().lost_answers = LOST_ANSWERS;
        }
        FaultKind::StoreLateWrites => {
            member.store_endpoint.faults().write_delay =
                Some(LATE_WRITE_DELAY);
        }
        FaultKind::Blackhole => with_peer_proxy(member, |p| p.blackhole(None)),
        FaultKind::BlackholeOneWay => {
            with_peer_proxy(member, |p| {
                p.blackhole(Some(Direction::FromTarget));
            });
        }
        FaultKind::CloseConnections => {
            with_peer_proxy(member, Proxy::close_connections);
        }
        FaultKind::DelayConnections => {
            with_peer_proxy(member, |p| p.set_delay(ADDED_DELAY));
        }
        FaultKind::UpstreamRestart => {
            workers.restart(&member.name, successor(fault))?;
        }
        FaultKind::UpstreamUnreachable
        | FaultKind::UpstreamFailsTasks
        | FaultKind::UpstreamSlow
        | FaultKind::UpstreamDrain => {
            if let Some(node) = workers.pool().nodes.get_mut(&member.name) {
                match kind {
                    FaultKind::UpstreamUnreachable => node.reachable = false,
                    FaultKind::UpstreamFailsTasks => node.fails_all = true,
                    FaultKind::UpstreamSlow => {
                        node.speed_percent = SLOW_PERCENT;
                    }
                    _ => node.upstream.draining = true,
                }
            }
        }
        FaultKind::StrayReports(_)
        | FaultKind::StrayRecords(_)
        | FaultKind::DomainDrain(_) => {}
    }
    Ok(())
}

fn with_peer_proxy(member: &Member, change: impl Fn(&Proxy)) {
    if let Some(proxy) = &member.peer_proxy {
        change(proxy);
    }
}

/// Ends a fault.
///
/// # Errors
///
/// Returns an error if a process cannot be restarted.
pub fn end(site: &mut Site, fault: &Fault) -> io::Result<()> {
    if let FaultKind::StrayRecords(seed) = fault.kind
        && seed % 2 == 0
    {
        writer::remove_records(&site.kv, seed);
    }
    if let FaultKind::DomainDrain(i) = fault.kind {
        site.end_drain(&failure_domain(i));
    }
    for target in &fault.targets {
        end_one(site, fault, *target)?;
    }
    Ok(())
}

fn end_one(site: &mut Site, fault: &Fault, target: Target) -> io::Result<()> {
    let workers = site.workers.clone();
    let member = member(site, target);
    match fault.kind {
        FaultKind::Kill | FaultKind::Stop => return restart(site, target),
        FaultKind::Freeze => member.process.thaw(),
        FaultKind::StoreRefusing
        | FaultKind::StoreUnresponsive
        | FaultKind::StoreSlow
        | FaultKind::StoreLostAnswers
        | FaultKind::StoreLateWrites => {
            *member.store_endpoint.faults() =
                figrill_standin::platform::store::Faults {
                    ..Default::default()
                };
        }
        FaultKind::DelayConnections => {
            with_peer_proxy(member, |p| p.set_delay(Duration::ZERO));
        }
        FaultKind::UpstreamUnreachable
        | FaultKind::UpstreamFailsTasks
        | FaultKind::UpstreamSlow => {
            if let Some(node) = workers.pool().nodes.get_mut(&member.name) {
                node.reachable = true;
                node.fails_all = false;
                node.speed_percent = 100;
            }
        }
        FaultKind::UpstreamDrain => {
            // It leaves though the agent may not have acknowledged that.
            let _ = workers.leave(&member.name);
            workers.restart(&member.name, successor(fault))?;
        }
        FaultKind::Reload
        | FaultKind::Blackhole
        | FaultKind::BlackholeOneWay
        | FaultKind::CloseConnections
        | FaultKind::UpstreamRestart
        | FaultKind::StrayReports(_)
        | FaultKind::StrayRecords(_)
        | FaultKind::DomainDrain(_) => {}
    }
    Ok(())
}

/// Restarts a process that was killed or asked to stop.
fn restart(site: &mut Site, target: Target) -> io::Result<()> {
    let process = &mut member(site, target).process;
    let until = Instant::now() + STOP_TIMEOUT;
    while process.is_running() && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(20));
    }
    process.kill();
    start_again(site, target)
}

fn start_again(site: &mut Site, target: Target) -> io::Result<()> {
    match target {
        Target::Entry(i) => site.restart_entry(i),
        Target::Agent(i) => site.restart_agent(i),
        Target::Coordinator => Ok(()),
    }
}
