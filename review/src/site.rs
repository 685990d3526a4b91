//! A small site: entries, agents and upstreams, each VM at a loopback address
//! of its own, with settings filled into the templates of the deploy file.

use std::{
    fs, io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant, SystemTime},
};

use figrill_standin::{
    platform::{
        client::{Answer, Client},
        store::{self, Endpoint, Outage},
    },
    process::Process,
    proxy::Proxy,
};
use figrill_state::{
    clock::Clock,
    kv::{Kv, Txn, memory::MemoryKv},
};
use serde_json::{Value, json};

use crate::{
    record::Record,
    worker::{Description, Worker},
};

/// The API key of the only workspace.
pub const API_KEY: &str = "key-of-a";

/// The service of the upstreams.
pub const SERVICE: &str = "round-planner";

/// The ports of each VM.
const PEER_PORT: u16 = 7000;
const METRICS_PORT: u16 = 7001;
const CALLERS_PORT: u16 = 8521;
const READY_PORT: u16 = 8523;
const UPSTREAM_PORT: u16 = 8526;
const WORKER_PORT: u16 = 8080;

/// The time that the store takes for an answer.
const STORE_DELAY: Duration = Duration::from_millis(4);

/// How long after its end the records of a job are removed.
const RETENTION_MS: u64 = 300_000;

/// How long a site may take until its first job is done.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// The interval at which conditions are checked.
pub const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The steady clock of the store. It can be paused, so that leases pause while
/// the store is down.
#[derive(Clone)]
pub struct StoreClock {
    state: Arc<Mutex<(Instant, Duration, bool)>>,
}

impl StoreClock {
    fn new() -> Self {
        let state = (Instant::now(), Duration::ZERO, true);
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Stops the clock, or lets it go on.
    pub fn set_running(&self, running: bool) {
        let now = self.now();
        let mut state =
            self.state.lock().unwrap_or_else(PoisonError::into_inner);
        *state = (Instant::now(), now, running);
    }
}

impl Clock for StoreClock {
    fn now(&self) -> Duration {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let (since, base, running) = *state;
        if running {
            base + since.elapsed()
        } else {
            base
        }
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A figrill process and its VM.
pub struct Member {
    /// The name of the process.
    pub name: String,
    /// The address for callers of an entry, or for the upstream of an agent.
    pub address: SocketAddr,
    /// The address at which only this VM reaches the store.
    pub store: Endpoint,
    /// The process, unless it was killed.
    pub process: Option<Process>,
    /// The proxies in front of the store and of the peer address, if the site
    /// has them.
    pub proxies: Vec<Proxy>,
    role: &'static str,
    settings: PathBuf,
}

/// A running site.
pub struct Site {
    /// The entries.
    pub entries: Vec<Member>,
    /// The agents.
    pub agents: Vec<Member>,
    /// The upstreams, in the order of the agents.
    pub workers: Vec<Worker>,
    /// The contents of the store.
    pub kv: MemoryKv,
    /// The clock of the store's leases.
    pub store_clock: StoreClock,
    /// The record of the case.
    pub record: Record,
    client: Client,
    dir: PathBuf,
    program: PathBuf,
    with_proxies: bool,
}

/// Returns the loopback address of the VM with this number. Runs that take
/// place at the same time use different networks.
fn vm_ip(number: u8) -> IpAddr {
    let [high, low, ..] = std::process::id().to_le_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 64 | (high & 63), low, number))
}

/// Returns the operators' configuration.
#[must_use]
pub fn configuration() -> Value {
    let route = |name: &str, prefix: &str, priority: u32| {
        json!({
            "name": name, "host": "jobs.example", "prefix": prefix,
            "kind": "non_idempotent", "timeout_ms": 3000,
            "target_duration_ms": 1000, "priority": priority,
            "service": SERVICE, "attempts": 2, "stretch": 3.0,
            "public": false,
        })
    };
    json!({
        "version": 1,
        "routes": [route("q", "/q/", 1)],
        "services": [{"name": SERVICE, "health_path": "/healthz",
                      "max_conns": 64, "protocol": "h1", "tls": false,
                      "enforces_capacity": false, "standby": false}],
        "limits": {},
        "tenants": [{"name": "a", "api_keys": [API_KEY],
                     "guaranteed": {"gpu": 8}}],
    })
}

impl Site {
    /// Starts a site with upstreams of 8 accelerators each, and waits until
    /// each entry serves.
    ///
    /// # Errors
    ///
    /// Returns an error if something cannot be started or the site does not
    /// serve in time.
    pub fn start(
        program: &Path,
        record: &Record,
        entries: u8,
        agents: u8,
    ) -> io::Result<Self> {
        Self::start_site(program, record, (entries, agents), false)
    }

    /// Starts a site like [`Site::start`], with proxies between the processes
    /// and in front of the store.
    ///
    /// # Errors
    ///
    /// Returns an error like [`Site::start`].
    pub fn start_with_proxies(
        program: &Path,
        record: &Record,
        entries: u8,
        agents: u8,
    ) -> io::Result<Self> {
        Self::start_site(program, record, (entries, agents), true)
    }

    fn start_site(
        program: &Path,
        record: &Record,
        (entries, agents): (u8, u8),
        with_proxies: bool,
    ) -> io::Result<Self> {
        let dir = std::env::temp_dir()
            .join(format!("figrill-review-{}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let store_clock = StoreClock::new();
        let kv = MemoryKv::new(Arc::new(store_clock.clone()));
        let config = configuration().to_string().into_bytes();
        kv.commit(
            &Txn::compare_and_swap("op/config", 0, config),
            Duration::ZERO,
        )
        .map_err(|e| io::Error::other(e.to_string()))?;
        let mut site = Self {
            entries: Vec::new(),
            agents: Vec::new(),
            workers: Vec::new(),
            kv,
            store_clock,
            record: record.clone(),
            client: Client::new(API_KEY),
            dir,
            program: program.to_owned(),
            with_proxies,
        };
        for i in 0..entries {
            let member = site.add_member("entry", i, 1 + i)?;
            site.entries.push(member);
        }
        for i in 0..agents {
            let number = 101 + i;
            let member = site.add_member("agent", i, number)?;
            let description = Description {
                name: format!("vm-{i}"),
                service: SERVICE.to_owned(),
                rack: format!("r-{}", i / 3),
                accelerators: 8,
                listen: SocketAddr::new(vm_ip(number), WORKER_PORT),
                agent: member.address,
            };
            site.workers.push(Worker::start(description, record)?);
            site.agents.push(member);
        }
        site.wait_until_serving()?;
        Ok(site)
    }

    fn add_member(
        &self,
        role: &'static str,
        index: u8,
        number: u8,
    ) -> io::Result<Member> {
        let ip = vm_ip(number);
        let name = format!("{role}-{index}");
        let store = store::open_at(&self.kv, &format!("{ip}:0"))?;
        store.faults().delay = STORE_DELAY;
        let port = if role == "entry" {
            CALLERS_PORT
        } else {
            UPSTREAM_PORT
        };
        let peer = SocketAddr::new(ip, PEER_PORT);
        let mut proxies = Vec::new();
        let mut store_address = store.address;
        let mut advertised = String::new();
        if self.with_proxies {
            let of_store = Proxy::start(Some(store.address))?;
            store_address = of_store.address;
            let of_peer = Proxy::start(Some(peer))?;
            advertised = format!("\nadvertise = {}", of_peer.address);
            proxies = vec![of_store, of_peer];
        }
        let template = fs::read_to_string(format!("deploy/{role}.ini"))?;
        let text = [
            ("{{node}}", name.clone()),
            (
                "peer = {{ip}}:{{port_range.0}}",
                format!("peer = {peer}{advertised}"),
            ),
            ("{{ip}}", ip.to_string()),
            ("{{port_range.1}}", METRICS_PORT.to_string()),
            ("{{platform.addr}}", store_address.to_string()),
            ("{{listen.front}}", format!("{ip}:{CALLERS_PORT}")),
            ("{{listen.ready}}", format!("{ip}:{READY_PORT}")),
            ("{{listen.control}}", format!("{ip}:{UPSTREAM_PORT}")),
            ("{{bounds.reclaim_ms}}", "2900".to_owned()),
            ("{{bounds.stop_grace_ms}}", "400".to_owned()),
            ("{{bounds.gang_wait_ms}}", "3000".to_owned()),
            ("{{bounds.hold_max_ms}}", MAX_HOLD_MS.to_string()),
            ("{{bounds.restore_ms}}", "100".to_owned()),
            ("{{bounds.grace_s}}", "6".to_owned()),
            ("{{limits.cpu_share}}", "0.25".to_owned()),
            ("{{bounds.remote_penalty}}", "3".to_owned()),
        ]
        .iter()
        .fold(template, |text, (name, value)| text.replace(name, value));
        let settings = self.dir.join(format!("{name}.ini"));
        fs::write(&settings, text)?;
        let mut member = Member {
            name,
            address: SocketAddr::new(ip, port),
            store,
            proxies,
            process: None,
            role,
            settings,
        };
        self.launch(&mut member)?;
        Ok(member)
    }

    fn launch(&self, member: &mut Member) -> io::Result<()> {
        let settings = member.settings.display().to_string();
        let args = [member.role, "--settings", settings.as_str()];
        let process = Process::start_logged(
            &member.name,
            &self.program,
            &args,
            &self.dir,
        )?;
        let line =
            format!("{} started, process {}", member.name, process.id());
        self.record.line(&line);
        member.process = Some(process);
        Ok(())
    }

    /// Kills all entries and agents. Their upstreams go on.
    pub fn kill_all(&mut self) {
        for member in self.entries.iter_mut().chain(&mut self.agents) {
            // Dropping a process kills it and waits for its end.
            member.process = None;
        }
        self.record.line("all entries and agents killed");
    }

    /// Starts all entries and agents again and waits until they serve.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be started or does not serve in
    /// time.
    pub fn restart_all(&mut self) -> io::Result<()> {
        let mut entries = std::mem::take(&mut self.entries);
        let mut agents = std::mem::take(&mut self.agents);
        for member in entries.iter_mut().chain(&mut agents) {
            self.launch(member)?;
        }
        self.entries = entries;
        self.agents = agents;
        self.wait_until_serving()
    }

    /// Waits until a job of each entry is done.
    fn wait_until_serving(&self) -> io::Result<()> {
        for i in 0..self.entries.len() {
            let deadline = Instant::now() + START_TIMEOUT;
            let id = job_id(0xffff, self.record.now_ms() * 8 + i as u64);
            loop {
                let accepted = self.submit(i, &id, &job(1, 1, 50)).status;
                if accepted == 200 && self.wait_for_state(i, &id, "done", 5) {
                    break;
                }
                if Instant::now() > deadline {
                    return Err(io::Error::other("the site does not serve"));
                }
                std::thread::sleep(POLL_INTERVAL);
            }
        }
        self.record.line("the site serves");
        Ok(())
    }

    /// Sends a caller's request to an entry and records both directions.
    #[must_use]
    pub fn call(
        &self,
        entry: usize,
        method: &str,
        path: &str,
        body: Option<&Value>,
    ) -> Answer {
        let member = &self.entries[entry];
        let answer = self.client.call(method, member.address, path, body);
        self.record.line(&format!(
            "caller: {method} {path} at {}: {} {} after {} ms",
            member.name,
            answer.status,
            answer.body,
            answer.latency.as_millis()
        ));
        answer
    }

    /// Submits a job.
    #[must_use]
    pub fn submit(&self, entry: usize, id: &str, job: &Value) -> Answer {
        self.call(entry, "POST", &format!("/q/{id}"), Some(job))
    }

    /// Returns a job's state, or the status as text if the answer has none.
    pub fn state(&self, entry: usize, id: &str) -> String {
        let answer = self.call(entry, "GET", &format!("/q/{id}"), None);
        let state = answer.body["state"].as_str();
        state.map_or_else(|| answer.status.to_string(), str::to_owned)
    }

    /// Waits until a job has a state. Returns whether it did within `limit_s`
    /// seconds.
    #[must_use]
    pub fn wait_for_state(
        &self,
        entry: usize,
        id: &str,
        state: &str,
        limit_s: u64,
    ) -> bool {
        let deadline = Instant::now() + Duration::from_secs(limit_s);
        while self.state(entry, id) != state {
            if Instant::now() > deadline {
                return false;
            }
            std::thread::sleep(POLL_INTERVAL * 4);
        }
        true
    }

    /// Returns the index of the entry that coordinates, by its record in the
    /// store.
    #[must_use]
    pub fn coordinator(&self) -> Option<usize> {
        let key = "figrill/coordinator";
        let holder = self.kv.get(key, Duration::ZERO).ok().flatten()?;
        let text = String::from_utf8_lossy(&holder.value).into_owned();
        let name = text.split(' ').next()?;
        self.entries.iter().position(|e| e.name == name)
    }

    /// Makes the store refuse all calls, or serve again. Leases pause while it
    /// refuses.
    pub fn set_outage(&self, outage: Outage) {
        self.store_clock.set_running(outage == Outage::None);
        self.record.line(&format!("the store: {outage:?}"));
        for member in self.entries.iter().chain(&self.agents) {
            member.store.faults().outage = outage;
        }
    }

    /// Moves the times in all records of jobs back, so that the latest of them
    /// is due to be removed at `due_ms`, in milliseconds since the Unix epoch.
    /// No process may run meanwhile. Returns by how much.
    #[must_use]
    pub fn age_records(&self, due_ms: u64) -> u64 {
        let items = self.kv.list("figrill/", Duration::ZERO);
        let items = items.map(|l| l.items).unwrap_or_default();
        let records: Vec<(String, u64, Value)> = items
            .into_iter()
            .filter_map(|item| {
                let value = serde_json::from_slice(&item.value).ok()?;
                Some((item.key, item.revision, value))
            })
            .collect();
        let ended_ms = |value: &Value| value["ended_ms"].as_u64();
        let latest = records.iter().filter_map(|(_, _, v)| ended_ms(v)).max();
        let shift = latest.unwrap_or(0) + RETENTION_MS - due_ms;
        for (key, revision, mut value) in records {
            for field in ["ended_ms", "accepted_ms"] {
                if let Some(ms) = value[field].as_u64().filter(|ms| *ms > 0) {
                    value[field] = (ms - shift).into();
                }
            }
            let value = value.to_string().into_bytes();
            let txn = Txn::compare_and_swap(&key, revision, value);
            let _ = self.kv.commit(&txn, Duration::ZERO);
        }
        self.record
            .line(&format!("the site was off for {shift} ms"));
        shift
    }

    /// Copies the processes' logs to the folder `to`, for a look at a failure.
    fn copy_logs(&self, to: &Path) {
        for member in self.entries.iter().chain(&self.agents) {
            let name = format!("{}.log", member.name);
            let _ = fs::copy(self.dir.join(&name), to.join(&name));
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.kill_all();
        if let Some(to) = std::env::var_os("KEEP_LOGS") {
            self.copy_logs(Path::new(&to));
        }
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// The longest lease of an upstream, in milliseconds.
const MAX_HOLD_MS: u64 = 10_000;

/// Returns a job's id: `kind` in the upper digits, then a number.
#[must_use]
pub fn job_id(kind: u64, number: u64) -> String {
    format!("{:016x}", (kind << 32) | number)
}

/// Returns a job of one step with `count` tasks of one accelerator each (or
/// `gpu`), which run for `ms` milliseconds.
#[must_use]
pub fn job(count: u32, gpu: u64, ms: u64) -> Value {
    json!({
        "spec": format!("ms={ms}"),
        "steps": [{
            "count": count, "cpu": 1000, "mem_mb": 1000, "gpu": gpu,
            "estimate_ms": ms,
        }],
    })
}
