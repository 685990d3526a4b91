//! Brings faults about and takes them away again, from outside the
//! processes.

use std::{
    io,
    time::{Duration, Instant},
};

use figrill_standin::{
    platform::{
        site::{Member, Site},
        store::Outage,
    },
    proxy::{Direction, Proxy},
};

use crate::plan::{Fault, Kind, Target};

/// How long a process may take to stop before it is killed.
const GRACE: Duration = Duration::from_secs(6);

/// How much a stream or the store is slowed down.
const SLOWED: Duration = Duration::from_millis(150);

/// How much later a late write is carried out.
const LATE: Duration = Duration::from_millis(2500);

/// Writes whose answers are lost at once.
const LOST: u64 = 3;

/// Percent of the usual speed of an upstream that is slow.
const SLOW_PERCENT: u64 = 20;

/// An upstream that left: the name of the agent beside it, and from when to
/// when it was there and leaving, in milliseconds of the model's clock.
#[derive(Clone, Debug)]
pub struct Leaving {
    /// The agent.
    pub agent: String,
    /// When it said so.
    pub from_ms: u64,
    /// When the next one came.
    pub to_ms: u64,
}

fn member(site: &mut Site, target: Target) -> &mut Member {
    match target {
        Target::Entry(i) => &mut site.entries[i],
        Target::Agent(i) => &mut site.agents[i],
    }
}

/// Begins a fault.
pub fn begin(site: &mut Site, fault: &Fault) {
    for target in &fault.targets {
        begin_one(site, fault.kind, *target);
    }
}

fn begin_one(site: &mut Site, kind: Kind, target: Target) {
    let now_ms = site.workers.now_ms();
    let workers = site.workers.clone();
    let member = member(site, target);
    match kind {
        Kind::Kill => member.process.kill(),
        Kind::Stop => member.process.terminate(),
        Kind::Freeze => member.process.freeze(),
        Kind::Reload => member.process.reload(),
        Kind::StoreBusy => {
            member.store_endpoint.faults().outage = Outage::Refusing;
        }
        Kind::StoreSilent => {
            member.store_endpoint.faults().outage = Outage::Unresponsive;
        }
        Kind::StoreSlow => member.store_endpoint.faults().delay = SLOWED,
        Kind::StoreLost => member.store_endpoint.faults().lost_answers = LOST,
        Kind::StoreLate => {
            member.store_endpoint.faults().write_delay = Some(LATE);
        }
        Kind::Silence => with_streams(member, |p| p.blackhole(None)),
        Kind::SilenceOneWay => {
            with_streams(member, |p| p.blackhole(Some(Direction::FromTarget)));
        }
        Kind::Cut => with_streams(member, Proxy::close_connections),
        Kind::Delay => with_streams(member, |p| p.set_delay(SLOWED)),
        Kind::Reborn => workers.pool().restart_upstream(now_ms, &member.name),
        Kind::Unreachable | Kind::FailsAll | Kind::Slow | Kind::Drain => {
            if let Some(node) = workers.pool().nodes.get_mut(&member.name) {
                match kind {
                    Kind::Unreachable => node.reachable = false,
                    Kind::FailsAll => node.fails_all = true,
                    Kind::Slow => node.speed_percent = SLOW_PERCENT,
                    _ => node.upstream.draining = true,
                }
            }
        }
    }
}

fn with_streams(member: &Member, change: impl Fn(&Proxy)) {
    if let Some(proxy) = &member.peer_proxy {
        change(proxy);
    }
}

/// Ends a fault; an upstream that left is told.
///
/// # Errors
///
/// If a process can't be started again.
pub fn end(site: &mut Site, fault: &Fault) -> io::Result<Vec<Leaving>> {
    let mut leaving = Vec::new();
    for target in &fault.targets {
        end_one(site, fault, *target, &mut leaving)?;
    }
    Ok(leaving)
}

fn end_one(
    site: &mut Site,
    fault: &Fault,
    target: Target,
    leaving: &mut Vec<Leaving>,
) -> io::Result<()> {
    let now_ms = site.workers.now_ms();
    let workers = site.workers.clone();
    let member = member(site, target);
    match fault.kind {
        Kind::Kill | Kind::Stop => return start_again(site, target),
        Kind::Freeze => member.process.thaw(),
        Kind::StoreBusy
        | Kind::StoreSilent
        | Kind::StoreSlow
        | Kind::StoreLost
        | Kind::StoreLate => {
            *member.store_endpoint.faults() =
                figrill_standin::platform::store::Faults {
                    ..Default::default()
                };
        }
        Kind::Delay => with_streams(member, |p| p.set_delay(Duration::ZERO)),
        Kind::Unreachable | Kind::FailsAll | Kind::Slow => {
            if let Some(node) = workers.pool().nodes.get_mut(&member.name) {
                node.reachable = true;
                node.fails_all = false;
                node.speed_percent = 100;
            }
        }
        Kind::Drain => {
            let lasted = u64::try_from(fault.lasts.as_millis()).unwrap_or(0);
            let mut pool = workers.pool();
            pool.restart_upstream(now_ms, &member.name);
            if let Some(node) = pool.nodes.get_mut(&member.name) {
                node.upstream.draining = false;
            }
            leaving.push(Leaving {
                agent: member.name.clone(),
                from_ms: now_ms.saturating_sub(lasted),
                to_ms: now_ms,
            });
        }
        Kind::Reload
        | Kind::Silence
        | Kind::SilenceOneWay
        | Kind::Cut
        | Kind::Reborn => {}
    }
    Ok(())
}

/// Starts a process again that was killed or asked to stop.
fn start_again(site: &mut Site, target: Target) -> io::Result<()> {
    let process = &mut member(site, target).process;
    let until = Instant::now() + GRACE;
    while process.is_running() && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(20));
    }
    process.kill();
    match target {
        Target::Entry(i) => site.restart_entry(i),
        Target::Agent(i) => site.restart_agent(i),
    }
}
