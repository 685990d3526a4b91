//! A site of real figrill processes that run against the platform's test
//! doubles.

use std::{
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use figrill_state::{
    kv::{Kv, Txn, TxnBuilder, memory::MemoryKv},
    worker::Place,
};
use serde_json::{Value, json};

use super::{
    client::Client,
    store::{self, Endpoint},
    workers::Workers,
};
use crate::{
    address::free_address,
    process::{Process, wait_for},
    proxy::Proxy,
};

/// The maximum time from the start of a site until its first job is done.
const SERVING_TIMEOUT: Duration = Duration::from_secs(15);

/// The id of the job by which the first entry shows that it serves; the jobs
/// of the other entries have the next ids.
const FIRST_JOB_ID: u64 = 0xFFFF;

/// The prefix of the keys by which operators drain failure domains.
const DRAIN_PREFIX: &str = "op/evacuate/";

/// The API key of workspace `a`.
pub const API_KEY: &str = "key-of-a";

static NEXT_SITE: AtomicU64 = AtomicU64::new(0);

/// A figrill process of the site with its addresses.
pub struct Member {
    /// The name of the process, such as `entry-0`.
    pub name: String,
    /// The child process.
    pub process: Process,
    /// The store address of this process alone, so that a test can inject
    /// store faults for one process.
    pub store_endpoint: Endpoint,
    /// For an entry, the address that callers connect to; for an agent, the
    /// address that its upstream registers at.
    pub address: SocketAddr,
    /// The proxy in front of the peer address, if the site was started with
    /// proxies.
    pub peer_proxy: Option<Proxy>,
    settings: PathBuf,
}

/// The size and the settings of a site.
#[derive(Clone, Copy, Debug, Default)]
pub struct SitePlan {
    /// The number of entries.
    pub entries: usize,
    /// The number of agents, each with an upstream.
    pub agents: usize,
    /// Whether there is a proxy in front of the peer address of each process.
    pub with_proxies: bool,
    /// The limit `domain_drain_ms` of the entries, if they have one.
    pub domain_drain: Option<Duration>,
}

/// The time for which the drain of a failure domain was requested, in
/// milliseconds of the model.
#[derive(Clone, Debug)]
pub struct DrainPeriod {
    /// The failure domain.
    pub domain: String,
    /// When the store had the request.
    pub requested_ms: u64,
    /// When the request was about to be deleted, if it was.
    pub ended_ms: Option<u64>,
}

/// A running site. Its processes are killed when it is dropped.
pub struct Site {
    /// The entries, in the order of their names.
    pub entries: Vec<Member>,
    /// The agents, in the order of their names.
    pub agents: Vec<Member>,
    /// The contents of the store, shared by all its addresses.
    pub kv: MemoryKv,
    /// The upstreams, one beside each agent.
    pub workers: Workers,
    /// A caller of workspace `a`.
    pub client: Client,
    /// The directory of the settings files and logs.
    pub dir: PathBuf,
    program: PathBuf,
    plan: SitePlan,
    drain_periods: Mutex<Vec<DrainPeriod>>,
    keep_logs: AtomicBool,
}

/// Returns the failure domain of the `i`th worker.
#[must_use]
pub fn failure_domain(i: usize) -> String {
    format!("domain-{}", i % 2)
}

/// Returns the operators' configuration in the platform's format, with `keys`
/// as the API keys of workspace `a`.
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
    /// Starts a site and waits until it serves jobs.
    ///
    /// # Errors
    ///
    /// Returns an error if a process or a server cannot be started.
    ///
    /// # Panics
    ///
    /// Panics if the site does not serve a job in time.
    pub fn start(
        program: &Path,
        entries: usize,
        agents: usize,
    ) -> io::Result<Self> {
        let plan = SitePlan {
            entries,
            agents,
            ..SitePlan::default()
        };
        Self::start_plan(program, plan)
    }

    /// Starts a site and waits until it serves jobs. Its workers belong to the
    /// failure domains `domain-0` and `domain-1` in turn.
    ///
    /// # Errors
    ///
    /// Returns an error if a process or a server cannot be started.
    ///
    /// # Panics
    ///
    /// Panics if the site does not serve a job in time.
    pub fn start_plan(program: &Path, plan: SitePlan) -> io::Result<Self> {
        let number = NEXT_SITE.fetch_add(1, Ordering::Relaxed);
        let name = format!("figrill-site-{}-{number}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        fs::create_dir_all(&dir)?;
        let mut site = Self {
            entries: Vec::new(),
            agents: Vec::new(),
            kv: store::in_memory(),
            workers: Workers::start()?,
            client: Client::new(API_KEY),
            dir,
            program: program.to_owned(),
            plan,
            drain_periods: Mutex::default(),
            keep_logs: AtomicBool::new(false),
        };
        site.configure(&configuration(1, &[API_KEY]));
        for i in 0..plan.entries {
            let member = site.start_member("entry", i)?;
            site.entries.push(member);
        }
        for i in 0..plan.agents {
            let member = site.start_member("agent", i)?;
            let place = Place {
                failure_domain: failure_domain(i),
                rack: format!("rack-{}", i / 3),
            };
            site.workers.add_at(&member.name, &place, member.address)?;
            site.agents.push(member);
        }
        site.wait_until_serving();
        Ok(site)
    }

    /// Writes the operators' configuration to the store.
    pub fn configure(&self, configuration: &Value) {
        let key = "op/config";
        let current = self.kv.get(key, Duration::ZERO).ok().flatten();
        let revision = current.map_or(0, |item| item.revision);
        let value = configuration.to_string().into_bytes();
        let _ = self.kv.commit(
            &Txn::compare_and_swap(key, revision, value),
            Duration::ZERO,
        );
    }

    /// Requests the drain of a failure domain, as an operator does.
    pub fn request_drain(&self, domain: &str) {
        let key = format!("{DRAIN_PREFIX}{domain}");
        let mut txn = TxnBuilder::with_reserved(0);
        let _ = txn.put(&key, b"requested".to_vec());
        let _ = self.kv.commit(&txn.build(), Duration::ZERO);
        let mut periods = self.lock_drain_periods();
        let is_open =
            |p: &DrainPeriod| p.domain == domain && p.ended_ms.is_none();
        if !periods.iter().any(is_open) {
            periods.push(DrainPeriod {
                domain: domain.to_owned(),
                requested_ms: self.workers.now_ms(),
                ended_ms: None,
            });
        }
    }

    /// Ends the drain of a failure domain.
    pub fn end_drain(&self, domain: &str) {
        for period in self.lock_drain_periods().iter_mut() {
            if period.domain == domain {
                let now_ms = self.workers.now_ms();
                period.ended_ms = period.ended_ms.or(Some(now_ms));
            }
        }
        let mut txn = TxnBuilder::with_reserved(0);
        let _ = txn.remove([format!("{DRAIN_PREFIX}{domain}")]);
        let _ = self.kv.commit(&txn.build(), Duration::ZERO);
    }

    /// Returns the drains so far, in the order of their requests.
    #[must_use]
    pub fn drain_periods(&self) -> Vec<DrainPeriod> {
        self.lock_drain_periods().clone()
    }

    fn lock_drain_periods(&self) -> MutexGuard<'_, Vec<DrainPeriod>> {
        let periods = self.drain_periods.lock();
        periods.unwrap_or_else(PoisonError::into_inner)
    }

    fn start_member(&self, role: &str, i: usize) -> io::Result<Member> {
        let name = format!("{role}-{i}");
        let store_endpoint = store::open(&self.kv)?;
        let address = free_address()?;
        let peer = free_address()?;
        let role_settings = if role == "entry" {
            let readiness = free_address()?;
            let limits =
                self.plan.domain_drain.map_or(String::new(), |limit| {
                    format!(
                        "[limits]\ndomain_drain_ms = {}\n",
                        limit.as_millis()
                    )
                });
            format!("callers = {address}\nreadiness = {readiness}\n{limits}")
        } else {
            format!("upstream = {address}\n")
        };
        let peer_proxy = if self.plan.with_proxies {
            Some(Proxy::start(Some(peer))?)
        } else {
            None
        };
        let advertise = peer_proxy.as_ref().map_or(peer, |p| p.address);
        let text = format!(
            "[process]\nname = {name}\npeer = {peer}\n\
             advertise = {advertise}\nlog_level = debug\n\
             [platform]\nstore = {}\n{role_settings}",
            store_endpoint.address
        );
        let settings = self.dir.join(format!("{name}.ini"));
        fs::write(&settings, text)?;
        let process = self.launch(&name, &settings)?;
        Ok(Member {
            name,
            process,
            store_endpoint,
            address,
            peer_proxy,
            settings,
        })
    }

    fn launch(&self, name: &str, settings: &Path) -> io::Result<Process> {
        let role = name.split('-').next().unwrap_or_default().to_owned();
        let settings = settings.display().to_string();
        let args = [role.as_str(), "--settings", settings.as_str()];
        Process::start_logged(name, &self.program, &args, &self.dir)
    }

    /// Restarts an entry that was stopped.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn restart_entry(&mut self, i: usize) -> io::Result<()> {
        let member = &self.entries[i];
        let process = self.launch(&member.name, &member.settings)?;
        self.entries[i].process = process;
        Ok(())
    }

    /// Kills an entry and restarts it with its standard output connected to a
    /// pipe that nobody reads.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn restart_entry_with_unread_log(
        &mut self,
        i: usize,
    ) -> io::Result<()> {
        self.entries[i].process.kill();
        let member = &self.entries[i];
        let settings = member.settings.display().to_string();
        let args = ["entry", "--settings", settings.as_str()];
        let process =
            Process::start(&member.name, &self.program, &args, &self.dir)?;
        self.entries[i].process = process;
        Ok(())
    }

    /// Restarts an agent that was stopped.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn restart_agent(&mut self, i: usize) -> io::Result<()> {
        let member = &self.agents[i];
        let process = self.launch(&member.name, &member.settings)?;
        self.agents[i].process = process;
        Ok(())
    }

    /// Returns the address that callers of entry `i` connect to.
    #[must_use]
    pub fn entry(&self, i: usize) -> SocketAddr {
        self.entries[i].address
    }

    /// Waits until a first job of each entry is done. An entry accepts jobs
    /// only once its record is in the store.
    ///
    /// # Panics
    ///
    /// Panics if the jobs are not done in time.
    pub fn wait_until_serving(&self) {
        let job = super::client::job(1, 0, 10, false);
        for (i, id) in (0..self.entries.len()).zip(FIRST_JOB_ID..) {
            wait_for("the first job", SERVING_TIMEOUT, || {
                let answer = self.client.submit(self.entry(i), id, &job);
                (answer.status == 200).then_some(())
            });
            self.wait_for_state(i, id, "done", SERVING_TIMEOUT);
        }
    }

    /// Waits until [`Client::state`] of a job at an entry is `state`, which may
    /// also be an HTTP status such as `410`.
    ///
    /// # Panics
    ///
    /// Panics if it does not do so within `limit`.
    pub fn wait_for_state(
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

    /// Returns the index of the entry that the store records as the
    /// coordinator.
    #[must_use]
    pub fn coordinator(&self) -> Option<usize> {
        let key = "figrill/coordinator";
        let holder = self.kv.get(key, Duration::ZERO).ok().flatten()?;
        let text = String::from_utf8_lossy(&holder.value).into_owned();
        let name = text.split(' ').next()?;
        self.entries.iter().position(|e| e.name == name)
    }

    /// Returns how many task starts the upstreams have recorded for a job.
    #[must_use]
    pub fn starts(&self, id: u64) -> usize {
        let pattern = format!("start {id:016x}");
        let pool = self.workers.pool();
        pool.trace.iter().filter(|l| l.contains(&pattern)).count()
    }

    /// Keeps the settings files and logs when the site is dropped.
    pub fn keep_logs(&self) {
        self.keep_logs.store(true, Ordering::Relaxed);
    }

    /// Checks that no upstream observed a violation, such as a task that ran
    /// twice.
    ///
    /// # Panics
    ///
    /// Panics if an upstream observed one.
    pub fn assert_no_violations(&self) {
        let pool = self.workers.pool();
        assert_eq!(pool.violations, [], "{}", pool.trace.join("\n"));
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.workers.end();
        let keep = self.keep_logs.load(Ordering::Relaxed);
        if !keep && !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}
