//! A site of real figrill processes among the stand-ins.

use std::{
    fs, io,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
    time::Duration,
};

use figrill_state::kv::{Kv, Txn, memory::MemoryKv};
use serde_json::{Value, json};

use super::{
    client::Client,
    store::{self, Endpoint},
    workers::Workers,
};
use crate::{
    process::{Process, wait_for},
    proxy::Proxy,
};

/// How long a site may take to serve.
const SERVES_WITHIN: Duration = Duration::from_secs(15);

/// The key of workspace `a`.
pub const KEY: &str = "key-of-a";

static SITES: AtomicU64 = AtomicU64::new(0);

/// A process of figrill and where it stands.
pub struct Member {
    /// Its name.
    pub name: String,
    /// The process.
    pub process: Process,
    /// Its own address of the store.
    pub door: Endpoint,
    /// An entry's address for callers, an agent's for its upstream.
    pub address: SocketAddr,
    /// What other processes dial, if the site has proxies.
    pub streams: Option<Proxy>,
    settings: PathBuf,
}

/// A running site; its processes end with it.
pub struct Site {
    /// The entries.
    pub entries: Vec<Member>,
    /// The agents.
    pub agents: Vec<Member>,
    /// The store.
    pub kv: MemoryKv,
    /// The upstreams.
    pub workers: Workers,
    /// A caller of workspace `a`.
    pub client: Client,
    /// Where settings and logs are.
    pub dir: PathBuf,
    program: PathBuf,
    by_proxies: bool,
    keep_logs: AtomicBool,
}

/// Ports for the processes under test: below those that the system gives to
/// outgoing connections, any of which could take a port between the look
/// and the process that binds it.
const PORTS: std::ops::Range<u16> = 12_000..32_000;

/// A free address; the process that asked for it binds it soon after.
fn free_address() -> io::Result<SocketAddr> {
    static TAKEN: AtomicU64 = AtomicU64::new(0);
    // Test programs that run at the same time begin at different ports.
    let begin = u64::from(std::process::id()) * 977;
    let count = u64::from(PORTS.end - PORTS.start);
    for _ in PORTS {
        let place = begin + TAKEN.fetch_add(1, Ordering::Relaxed);
        let offset = u16::try_from(place % count).unwrap_or(0);
        let address = SocketAddr::from(([127, 0, 0, 1], PORTS.start + offset));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::Error::from(io::ErrorKind::AddrNotAvailable))
}

/// The operators' configuration in the platform's form.
#[must_use]
pub fn configuration(version: u64, keys: &[&str]) -> Value {
    json!({
        "version": version,
        "routes": [
            {"name": "q", "host": "jobs.example", "prefix": "/q/",
             "service": "svc", "priority": 1, "attempts": 2, "stretch": 3.0,
             "target_duration_ms": 1000, "public": false},
            {"name": "urgent", "host": "jobs.example", "prefix": "/u/",
             "service": "svc", "priority": 0, "attempts": 2, "stretch": 1.5,
             "target_duration_ms": 250, "public": false},
        ],
        "services": [{"name": "svc", "enforces_capacity": false}],
        "limits": {},
        "tenants": [{"name": "a", "api_keys": keys,
                     "guaranteed": {"gpu": 16}}],
        "unknown": "ignored",
    })
}

impl Site {
    /// Starts a site and waits until it serves.
    ///
    /// # Errors
    ///
    /// If something can't be started.
    ///
    /// # Panics
    ///
    /// If it does not serve in time.
    pub fn start(
        program: &Path,
        entries: usize,
        agents: usize,
    ) -> io::Result<Self> {
        Self::start_by(program, entries, agents, false)
    }

    /// The same, with a proxy in front of each process's address for other
    /// processes.
    ///
    /// # Errors
    ///
    /// If something can't be started.
    ///
    /// # Panics
    ///
    /// If it does not serve in time.
    pub fn start_with_proxies(
        program: &Path,
        entries: usize,
        agents: usize,
    ) -> io::Result<Self> {
        Self::start_by(program, entries, agents, true)
    }

    fn start_by(
        program: &Path,
        entries: usize,
        agents: usize,
        by_proxies: bool,
    ) -> io::Result<Self> {
        let number = SITES.fetch_add(1, Ordering::Relaxed);
        let name = format!("figrill-site-{}-{number}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        fs::create_dir_all(&dir)?;
        let mut site = Self {
            entries: Vec::new(),
            agents: Vec::new(),
            kv: store::memory(),
            workers: Workers::start()?,
            client: Client::new(KEY),
            dir,
            program: program.to_owned(),
            by_proxies,
            keep_logs: AtomicBool::new(false),
        };
        site.configure(&configuration(1, &[KEY]));
        for i in 0..entries {
            let member = site.member("entry", i)?;
            site.entries.push(member);
        }
        for i in 0..agents {
            let member = site.member("agent", i)?;
            let rack = format!("rack-{}", i / 3);
            site.workers.add(&member.name, &rack, member.address)?;
            site.agents.push(member);
        }
        site.wait_serving();
        Ok(site)
    }

    /// Writes the operators' configuration.
    pub fn configure(&self, configuration: &Value) {
        let key = "op/config";
        let now = self.kv.get(key, Duration::ZERO).ok().flatten();
        let revision = now.map_or(0, |item| item.revision);
        let value = configuration.to_string().into_bytes();
        let _ = self.kv.commit(
            &Txn::compare_and_swap(key, revision, value),
            Duration::ZERO,
        );
    }

    fn member(&self, role: &str, i: usize) -> io::Result<Member> {
        let name = format!("{role}-{i}");
        let door = store::open(&self.kv)?;
        let address = free_address()?;
        let peer = free_address()?;
        let own = if role == "entry" {
            let readiness = free_address()?;
            format!("callers = {address}\nreadiness = {readiness}\n")
        } else {
            format!("upstream = {address}\n")
        };
        let streams = if self.by_proxies {
            Some(Proxy::start(Some(peer))?)
        } else {
            None
        };
        let advertise = streams.as_ref().map_or(peer, |p| p.address);
        let text = format!(
            "[process]\nname = {name}\npeer = {peer}\n\
             advertise = {advertise}\nlog_level = debug\n\
             [platform]\nstore = {}\n{own}",
            door.address
        );
        let settings = self.dir.join(format!("{name}.ini"));
        fs::write(&settings, text)?;
        let process = self.launch(&name, &settings)?;
        Ok(Member {
            name,
            process,
            door,
            address,
            streams,
            settings,
        })
    }

    fn launch(&self, name: &str, settings: &Path) -> io::Result<Process> {
        let role = name.split('-').next().unwrap_or_default().to_owned();
        let settings = settings.display().to_string();
        let args = [role.as_str(), "--settings", settings.as_str()];
        Process::start_logged(name, &self.program, &args, &self.dir)
    }

    /// Starts an entry again that was stopped.
    ///
    /// # Errors
    ///
    /// If it can't be started.
    pub fn restart_entry(&mut self, i: usize) -> io::Result<()> {
        let member = &self.entries[i];
        let process = self.launch(&member.name, &member.settings)?;
        self.entries[i].process = process;
        Ok(())
    }

    /// Ends an entry and starts it again with a log that nobody reads.
    ///
    /// # Errors
    ///
    /// If it can't be started.
    pub fn restart_entry_unread(&mut self, i: usize) -> io::Result<()> {
        self.entries[i].process.kill();
        let member = &self.entries[i];
        let settings = member.settings.display().to_string();
        let args = ["entry", "--settings", settings.as_str()];
        let process =
            Process::start(&member.name, &self.program, &args, &self.dir)?;
        self.entries[i].process = process;
        Ok(())
    }

    /// Starts an agent again that was stopped.
    ///
    /// # Errors
    ///
    /// If it can't be started.
    pub fn restart_agent(&mut self, i: usize) -> io::Result<()> {
        let member = &self.agents[i];
        let process = self.launch(&member.name, &member.settings)?;
        self.agents[i].process = process;
        Ok(())
    }

    /// An entry's address for callers.
    #[must_use]
    pub fn entry(&self, i: usize) -> SocketAddr {
        self.entries[i].address
    }

    /// Waits until a first job is done.
    ///
    /// # Panics
    ///
    /// If none is in time.
    pub fn wait_serving(&self) {
        let job = super::client::job(1, 0, 10, false);
        let first = self.entry(0);
        wait_for("the first job", SERVES_WITHIN, || {
            let answer = self.client.submit(first, 0xFFFF, &job);
            (answer.status == 200).then_some(())
        });
        self.wait_state(0, 0xFFFF, "done", SERVES_WITHIN);
    }

    /// Waits until an entry shows a job in a state.
    ///
    /// # Panics
    ///
    /// If it does not in time.
    pub fn wait_state(
        &self,
        entry: usize,
        id: u64,
        state: &str,
        limit: Duration,
    ) {
        let what = format!("job {id:x} to be {state}");
        wait_for(&what, limit, || {
            (self.client.state(self.entry(entry), id) == state).then_some(())
        });
    }

    /// The entry that coordinates, by the store's word.
    #[must_use]
    pub fn coordinator(&self) -> Option<usize> {
        let key = "figrill/coordinator";
        let held = self.kv.get(key, Duration::ZERO).ok().flatten()?;
        let text = String::from_utf8_lossy(&held.value).into_owned();
        let name = text.split(' ').next()?;
        self.entries.iter().position(|e| e.name == name)
    }

    /// Starts of a job's tasks so far.
    #[must_use]
    pub fn starts(&self, id: u64) -> usize {
        let word = format!("start {id:016x}");
        let pool = self.workers.pool();
        pool.trace.iter().filter(|l| l.contains(&word)).count()
    }

    /// Leaves settings and logs where they are when the site ends.
    pub fn keep_logs(&self) {
        self.keep_logs.store(true, Ordering::Relaxed);
    }

    /// Fails if an upstream saw what no promise allows.
    ///
    /// # Panics
    ///
    /// Then.
    pub fn assert_sound(&self) {
        let pool = self.workers.pool();
        assert_eq!(pool.violations, [], "{}", pool.trace.join("\n"));
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let keep = self.keep_logs.load(Ordering::Relaxed);
        if !keep && !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}
