//! The platform's upstreams: a model of each one, served at its own HTTP
//! address, which sends heartbeats to its agent. An upstream can be restarted,
//! crash or leave like a process of its own.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use figrill_example::pool::{Node, Pool};
use figrill_state::{
    batch::{Incarnation, Resources},
    runner::UpstreamState,
    worker::Place,
};
use serde_json::{Value, json};

use super::reports::{send_deregistration, send_report};
use crate::{address::free_address, web::HttpServer};

mod calls;
mod delays;
mod silence;

use delays::Delays;
pub use delays::{CallKind, CarriedOut, Delay, Share};

/// The interval at which the model's clock advances.
const STEP_INTERVAL: Duration = Duration::from_millis(10);

/// The interval between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// The acknowledgement of a status report by which an upstream said for the
/// first time that it drains.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AcknowledgedDrain {
    /// The name of the agent beside the upstream.
    pub agent: String,
    /// The incarnation of the upstream.
    pub incarnation: Incarnation,
    /// The time of the acknowledgement in the model.
    pub at_ms: u64,
}

struct Shared {
    pool: Mutex<Pool>,
    drains: Mutex<Vec<AcknowledgedDrain>>,
    processes: Mutex<BTreeMap<String, Process>>,
    delays: Mutex<Delays>,
    /// Set when the site has ended, and all upstreams with it.
    ended: AtomicBool,
    start: Instant,
    /// The Unix time at `start`, in milliseconds.
    start_unix_ms: u64,
}

/// The sockets of an upstream.
struct Process {
    /// The address at which it registers.
    agent: SocketAddr,
    /// Serves its calls, unless it has ended.
    server: Option<HttpServer>,
    heartbeats_paused: bool,
    /// Whether it runs, and has not ended.
    runs: bool,
}

/// How an upstream that starts again differs from its previous incarnation,
/// apart from its start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Successor {
    /// Whether it has another id.
    pub new_id: bool,
    /// Whether it listens on another address.
    pub new_address: bool,
}

/// All upstreams of a site. Clones share them.
#[derive(Clone)]
pub struct Workers {
    shared: Arc<Shared>,
}

impl Workers {
    /// Starts the thread that advances the model.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub fn start() -> io::Result<Self> {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let unix_ms = since_epoch.unwrap_or_default().as_millis();
        let workers = Self {
            shared: Arc::new(Shared {
                pool: Mutex::default(),
                drains: Mutex::default(),
                processes: Mutex::default(),
                delays: Mutex::default(),
                ended: AtomicBool::new(false),
                start: Instant::now(),
                start_unix_ms: u64::try_from(unix_ms).unwrap_or(u64::MAX),
            }),
        };
        let advancing = workers.clone();
        thread::Builder::new().spawn(move || {
            let mut last = advancing.now_ms();
            while !advancing.have_ended() {
                thread::sleep(STEP_INTERVAL);
                let now = advancing.now_ms();
                advancing.pool().advance(now, now - last);
                advancing.carry_out_due();
                last = now;
            }
        })?;
        Ok(workers)
    }

    /// Ends all upstreams for good. An upstream that outlived its site would
    /// report to whichever agent gets the address of its own one next.
    pub fn end(&self) {
        self.shared.ended.store(true, Ordering::Relaxed);
        let mut processes = std::mem::take(&mut *self.processes());
        let servers = processes.values_mut().filter_map(|p| p.server.take());
        for server in servers {
            server.close();
        }
    }

    fn have_ended(&self) -> bool {
        self.shared.ended.load(Ordering::Relaxed)
    }

    /// Locks the model. It does not advance while the guard is held.
    pub fn pool(&self) -> MutexGuard<'_, Pool> {
        let pool = self.shared.pool.lock();
        pool.unwrap_or_else(PoisonError::into_inner)
    }

    fn processes(&self) -> MutexGuard<'_, BTreeMap<String, Process>> {
        let processes = self.shared.processes.lock();
        processes.unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the model and returns its time. The time is read under the lock:
    /// otherwise, an answer could carry an earlier time than one whose call
    /// had the lock before it.
    fn pool_and_time(&self) -> (MutexGuard<'_, Pool>, u64) {
        let pool = self.pool();
        let now = self.now_ms();
        (pool, now)
    }

    /// Returns the time of the model: the Unix time in milliseconds, without
    /// the changes of the system's clock since its start.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        let ms = self.shared.start.elapsed().as_millis();
        let ms = u64::try_from(ms).unwrap_or(u64::MAX);
        self.shared.start_unix_ms.saturating_add(ms)
    }

    /// Adds an upstream like [`Workers::add_at`] on a rack of the failure
    /// domain `domain`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address of the upstream cannot be bound or its
    /// heartbeat thread cannot be started.
    pub fn add(
        &self,
        name: &str,
        rack: &str,
        agent: SocketAddr,
    ) -> io::Result<()> {
        let place = Place {
            failure_domain: "domain".to_owned(),
            rack: rack.to_owned(),
        };
        self.add_at(name, &place, agent)
    }

    /// Adds an upstream beside the agent `name`, whose address for upstreams
    /// is `agent`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address of the upstream cannot be bound or its
    /// heartbeat thread cannot be started.
    pub fn add_at(
        &self,
        name: &str,
        place: &Place,
        agent: SocketAddr,
    ) -> io::Result<()> {
        let server = self.serve(name, free_address()?)?;
        let upstream = UpstreamState {
            incarnation: Incarnation {
                id: format!("i-{name}"),
                born_ms: self.now_ms() + 1,
            },
            address: server.address.to_string(),
            service: "svc".to_owned(),
            failure_domain: place.failure_domain.clone(),
            capacity: Resources {
                cpu_milli: 32_000,
                memory_mib: 128_000,
                accelerators: 8,
            },
            labels: vec!["a".to_owned(), place.rack.clone()],
            rack: place.rack.clone(),
            sequence: 0,
            ..UpstreamState::default()
        };
        self.pool()
            .nodes
            .insert(name.to_owned(), Node::new(upstream));
        let process = Process {
            agent,
            server: Some(server),
            heartbeats_paused: false,
            runs: true,
        };
        self.processes().insert(name.to_owned(), process);
        let (sending, name) = (self.clone(), name.to_owned());
        thread::Builder::new()
            .spawn(move || sending.send_heartbeats(&name, agent))?;
        Ok(())
    }

    fn serve(&self, name: &str, listen: SocketAddr) -> io::Result<HttpServer> {
        let (serving, name) = (self.clone(), name.to_owned());
        HttpServer::start_soon(listen, move |call| serving.answer(&name, call))
    }

    fn send_heartbeats(&self, name: &str, agent: SocketAddr) {
        while !self.have_ended() {
            if let Some(upstream) = self.next_heartbeat(name) {
                let id = &upstream.incarnation.id;
                let body = heartbeat_json(&upstream, self.now_ms());
                // The agent may be down. The next heartbeat follows anyway.
                let status = send_report(agent, id, &body);
                if upstream.draining && status == 200 {
                    self.record_drain(name, &upstream.incarnation);
                }
            }
            thread::sleep(HEARTBEAT_INTERVAL);
        }
    }

    /// Returns the upstream as its next heartbeat describes it, if one is due.
    fn next_heartbeat(&self, name: &str) -> Option<UpstreamState> {
        let paused = self.processes().get(name)?.heartbeats_paused;
        let mut pool = self.pool();
        let node = pool.nodes.get_mut(name)?;
        node.upstream.sequence += 1;
        if paused || !node.reachable {
            return None;
        }
        Some(node.upstream.clone())
    }

    fn lock_drains(&self) -> MutexGuard<'_, Vec<AcknowledgedDrain>> {
        let drains = self.shared.drains.lock();
        drains.unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that an agent has acknowledged that an incarnation drains.
    fn record_drain(&self, name: &str, incarnation: &Incarnation) {
        let at_ms = self.now_ms();
        let mut drains = self.lock_drains();
        let known = |d: &AcknowledgedDrain| {
            d.agent == name && d.incarnation == *incarnation
        };
        if !drains.iter().any(known) {
            drains.push(AcknowledgedDrain {
                agent: name.to_owned(),
                incarnation: incarnation.clone(),
                at_ms,
            });
        }
    }

    /// Returns the acknowledged drains so far, one for each incarnation.
    #[must_use]
    pub fn drains(&self) -> Vec<AcknowledgedDrain> {
        self.lock_drains().clone()
    }

    /// Returns the id of the upstream beside an agent and the body of its last
    /// heartbeat, as it would read now.
    ///
    /// # Panics
    ///
    /// Panics if there is no such agent.
    #[must_use]
    pub fn last_heartbeat(&self, name: &str) -> (String, Value) {
        let (pool, now) = self.pool_and_time();
        let upstream = &pool.nodes[name].upstream;
        let id = upstream.incarnation.id.clone();
        (id, heartbeat_json(upstream, now))
    }

    /// Sets whether an upstream sends no heartbeats though it runs.
    pub fn pause_heartbeats(&self, name: &str, paused: bool) {
        if let Some(process) = self.processes().get_mut(name) {
            process.heartbeats_paused = paused;
        }
    }

    /// Ends an upstream as if it was killed: it loses all runs, its connections
    /// are closed, later ones are refused, and it sends nothing more.
    pub fn crash(&self, name: &str) {
        let (mut pool, now) = self.pool_and_time();
        pool.restart_upstream(now, name);
        if let Some(node) = pool.nodes.get_mut(name) {
            node.reachable = false;
        }
        let server = self.processes().get_mut(name).and_then(|p| {
            p.runs = false;
            p.server.take()
        });
        drop(pool);
        if let Some(server) = server {
            server.stop();
        }
    }

    /// Ends an upstream after it has deregistered. Returns the HTTP status by
    /// which the agent has answered, or 0 if it has not.
    #[must_use]
    pub fn leave(&self, name: &str) -> u16 {
        let agent = self.processes().get(name).map(|p| p.agent);
        let (id, _) = self.last_heartbeat(name);
        let status = agent.map_or(0, |a| send_deregistration(a, &id));
        self.crash(name);
        status
    }

    /// Crashes an upstream unless it has ended already, and starts it again as
    /// a new incarnation.
    ///
    /// # Errors
    ///
    /// Returns an error if its address cannot be bound.
    pub fn restart(&self, name: &str, successor: Successor) -> io::Result<()> {
        self.crash(name);
        let other = free_address()?;
        // Calls are answered once the model is unlocked, as the new
        // incarnation.
        let (mut pool, now) = self.pool_and_time();
        pool.restart_upstream(now, name);
        let Some(node) = pool.nodes.get_mut(name) else {
            return Ok(());
        };
        let upstream = &mut node.upstream;
        upstream.draining = false;
        if successor.new_id {
            let born_ms = upstream.incarnation.born_ms;
            upstream.incarnation.id = format!("i-{name}-{born_ms}");
        }
        let same = upstream.address.parse().ok();
        let listen = same.filter(|_| !successor.new_address);
        let server = self.serve(name, listen.unwrap_or(other))?;
        upstream.address = server.address.to_string();
        if let Some(process) = self.processes().get_mut(name) {
            process.server = Some(server);
            process.runs = true;
        }
        Ok(())
    }
}

fn heartbeat_json(upstream: &UpstreamState, now_ms: u64) -> Value {
    let born_ms = upstream.incarnation.born_ms;
    json!({
        "service": upstream.service,
        "addr": upstream.address,
        "zone": upstream.failure_domain,
        "version": "v1",
        "slots": 8,
        "state": if upstream.draining { "draining" } else { "ready" },
        "cold_left_ms": 0,
        "capacity": {
            "cpu": upstream.capacity.cpu_milli,
            "mem_mb": upstream.capacity.memory_mib,
            "gpu": upstream.capacity.accelerators,
        },
        "labels": upstream.labels,
        "clock_ms": now_ms.saturating_sub(born_ms),
        "seq": upstream.sequence,
        "born": born_ms,
    })
}
