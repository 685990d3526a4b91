//! A small installation: entries and agents as separate processes with the
//! commands of the deploy file, and stand-ins of the platform's store and of
//! the workers.

use std::{
    env, fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    thread,
    time::{Duration, Instant},
};

use figrill_standin::{
    address::free_address,
    platform::{
        client::Client,
        site::{API_KEY, configuration},
        store::{self, Endpoint, Outage},
        workers::Workers,
    },
    process::Process,
    proxy::Proxy,
};
use figrill_state::{
    kv::{Kv, Txn, memory::MemoryKv},
    worker::Place,
};
use serde_json::{Value, json};

use crate::worker::Worker;

/// The time limit for the installation to serve its first jobs.
const SERVING_TIMEOUT: Duration = Duration::from_secs(20);

/// The interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The id of the job by which the first entry shows that it serves; those of
/// the other entries follow.
const FIRST_JOB_ID: u64 = 0xF000;

/// The number of workers in a rack.
const RACK_SIZE: usize = 3;

/// The limits and features of the deploy file's templates, with the figures of
/// a small installation.
const LIMITS: &str = "[limits]
claim_start_ms = 2900
stop_grace_ms = 400
gang_assembly_ms = 3000
checkpoint_restore_ms = 100
shutdown_grace_s = 6
processor_share = 0.25
spread_slowdown = 3
";
const ENTRY_FEATURES: &str = "[features]
delay_cost = off
worker_speeds = on
worker_health = on
retry_outlook = on
";

/// The size of an installation and the kind of its workers.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// The number of entries.
    pub entries: usize,
    /// The number of agents.
    pub agents: usize,
    /// The longest lease, `hold_max_ms`.
    pub max_lease_ms: u64,
    /// Whether the machines of the workers can be suspended and cut off.
    pub can_suspend: bool,
}

/// A process of the installation.
pub struct Member {
    /// The name of the process.
    pub name: String,
    /// The address for clients, or for the worker.
    pub address: SocketAddr,
    /// The address of the store for this process.
    store: Endpoint,
    /// The link from the other processes, if it can be cut.
    link: Option<Proxy>,
    process: Process,
}

impl Member {
    /// Cuts the links between the machine and all others, or heals them.
    pub fn set_cut_off(&self, cut: bool) {
        let outage = if cut {
            Outage::Unresponsive
        } else {
            Outage::None
        };
        self.store.faults().outage = outage;
        if let Some(link) = &self.link {
            link.refuse_connections(cut);
            if cut {
                link.blackhole(None);
            }
        }
    }

    /// Stops the process or lets it go on.
    pub fn set_stopped(&self, stopped: bool) {
        if stopped {
            self.process.freeze();
        } else {
            self.process.thaw();
        }
    }
}

/// A running installation. Its processes end when it is dropped.
pub struct Installation {
    /// The processes that serve clients.
    pub entries: Vec<Member>,
    /// The processes beside the workers.
    pub agents: Vec<Member>,
    /// The workers, unless they can be suspended.
    pub workers: Workers,
    /// The workers that can be suspended, one beside each agent.
    pub suspendable: Vec<Worker>,
    /// A client with a key of the only tenant.
    pub client: Client,
    kv: MemoryKv,
    dir: PathBuf,
}

impl Installation {
    /// Starts an installation and waits until each entry serves.
    ///
    /// # Errors
    ///
    /// Returns why it does not serve.
    pub fn start(program: &Path, plan: Plan) -> Result<Self, String> {
        let name = format!("figrill-review-{}", std::process::id());
        let dir = env::temp_dir().join(name);
        fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
        let mut site = Self {
            entries: Vec::new(),
            agents: Vec::new(),
            workers: Workers::start().map_err(|e| e.to_string())?,
            suspendable: Vec::new(),
            client: Client::new(API_KEY),
            kv: store::in_memory(),
            dir,
        };
        site.configure(&configuration(1, &[API_KEY]))?;
        for i in 0..plan.entries {
            let member = site.start_member(program, plan, "entry", i)?;
            site.entries.push(member);
        }
        for i in 0..plan.agents {
            let member = site.start_member(program, plan, "agent", i)?;
            let added = site.add_worker(plan, &member, i);
            added.map_err(|e| e.to_string())?;
            site.agents.push(member);
        }
        site.wait_until_serving()?;
        Ok(site)
    }

    /// Adds the worker beside an agent.
    fn add_worker(
        &mut self,
        plan: Plan,
        agent: &Member,
        i: usize,
    ) -> io::Result<()> {
        let rack = format!("r{}", i / RACK_SIZE);
        if plan.can_suspend {
            let worker = Worker::start(&agent.name, &rack, agent.address)?;
            self.suspendable.push(worker);
            return Ok(());
        }
        let place = Place {
            failure_domain: format!("zone-{}", i % 2),
            rack,
        };
        self.workers.add_at(&agent.name, &place, agent.address)
    }

    /// Writes a manifest to the store, as the operator does.
    fn configure(&self, manifest: &Value) -> Result<(), String> {
        let value = manifest.to_string().into_bytes();
        let txn = Txn::compare_and_swap("op/config", 0, value);
        let result = self.kv.commit(&txn, Duration::ZERO);
        result.map(drop).map_err(|e| e.to_string())
    }

    fn start_member(
        &self,
        program: &Path,
        plan: Plan,
        role: &str,
        i: usize,
    ) -> Result<Member, String> {
        let name = format!("{role}-{i}");
        let address = free_address().map_err(|e| e.to_string())?;
        let peer = free_address().map_err(|e| e.to_string())?;
        let store = store::open(&self.kv).map_err(|e| e.to_string())?;
        let (platform, features) = if role == "entry" {
            let readiness = free_address().map_err(|e| e.to_string())?;
            let platform =
                format!("callers = {address}\nreadiness = {readiness}\n");
            (platform, ENTRY_FEATURES)
        } else {
            (format!("upstream = {address}\n"), "")
        };
        let is_linked = plan.can_suspend && role == "agent";
        let link = is_linked.then(|| Proxy::start(Some(peer))).transpose();
        let link = link.map_err(|e| e.to_string())?;
        let advertise = link.as_ref().map_or(peer, |l| l.address);
        let settings = format!(
            "[process]\nname = {name}\npeer = {peer}\n\
             advertise = {advertise}\nlog_level = debug\n\
             [platform]\nstore = {}\n{platform}{LIMITS}\
             max_lease_ms = {}\n{features}",
            store.address, plan.max_lease_ms
        );
        let file = self.dir.join(format!("{name}.ini"));
        fs::write(&file, settings).map_err(|e| e.to_string())?;
        let file = file.display().to_string();
        let args = [role, "--settings", file.as_str()];
        let process = Process::start_logged(&name, program, &args, &self.dir)
            .map_err(|e| e.to_string())?;
        Ok(Member {
            name,
            address,
            store,
            link,
            process,
        })
    }

    fn wait_until_serving(&self) -> Result<(), String> {
        let job = plain_job(1, 20);
        for (entry, id) in self.entries.iter().zip(FIRST_JOB_ID..) {
            let is_served = || {
                let answer = self.client.submit(entry.address, id, &job);
                answer.status == 200
            };
            wait_until(SERVING_TIMEOUT, is_served)
                .map_err(|e| format!("{} accepts no job: {e}", entry.name))?;
            let is_done = || self.client.state(entry.address, id) == "done";
            wait_until(SERVING_TIMEOUT, is_done)
                .map_err(|e| format!("the first job is not done: {e}"))?;
        }
        Ok(())
    }
}

impl Drop for Installation {
    fn drop(&mut self) {
        self.workers.end();
        for worker in &self.suspendable {
            worker.end();
        }
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// Waits until a condition holds.
///
/// # Errors
///
/// Returns an error if it does not hold within `limit`.
pub fn wait_until(
    limit: Duration,
    mut holds: impl FnMut() -> bool,
) -> Result<(), String> {
    let started_at = Instant::now();
    while !holds() {
        if started_at.elapsed() >= limit {
            return Err(format!("not within {limit:?}"));
        }
        thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

/// Returns a job of one step with `count` subtasks that run for `ms`
/// milliseconds each.
pub fn plain_job(count: u32, ms: u64) -> Value {
    json!({
        "spec": format!("ms={ms} cpu=1000 mem=1000 gpu=1"),
        "steps": [{
            "count": count,
            "cpu": 1000,
            "mem_mb": 1000,
            "gpu": 1,
            "estimate_ms": ms,
        }],
    })
}
