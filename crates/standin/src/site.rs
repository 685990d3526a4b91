//! A site of real figrill processes that run against test doubles of the store
//! and of the upstreams.

use std::{
    fmt::Write,
    fs, io,
    path::{Path, PathBuf},
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use figrill_state::digest;

use crate::{
    caller::{Answer, Caller},
    platform::store::{self, Endpoint, Outage},
    process::{Process, wait_for},
};

mod plan;

pub use plan::{AgentPlan, Plan};

/// The maximum time that a process or the whole site may take to come up.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(20);

/// The operator token of every site.
pub const OPERATOR_TOKEN: &str = "operator-token-of-the-test-site";

static NEXT_SITE: AtomicU32 = AtomicU32::new(0);

/// A figrill process with its addresses.
#[derive(Debug)]
pub struct Node {
    /// The child process.
    pub process: Process,
    /// The HTTP address of the process.
    pub http: String,
    /// The address that the process accepts peers at. Peers may connect to it
    /// through a proxy.
    pub peer: String,
    settings: PathBuf,
}

/// An upstream process with its address.
#[derive(Debug)]
pub struct UpstreamNode {
    /// The child process.
    pub process: Process,
    /// The HTTP address of the upstream.
    pub http: String,
}

/// A running site. Its processes are killed when it is dropped.
pub struct Site {
    /// The directory of the settings files and logs.
    pub dir: PathBuf,
    /// The store, whose faults can be changed.
    pub store: Endpoint,
    /// The address of the store itself, also if processes reach it through a
    /// proxy.
    pub store_http: String,
    /// The entries, in the order of their names.
    pub entries: Vec<Node>,
    /// The agents, in the order of their names.
    pub agents: Vec<Node>,
    /// The upstreams, in the order of the agents.
    pub upstreams: Vec<UpstreamNode>,
    /// A caller with the operator token.
    pub operator: Caller,
    plan: Plan,
    secret: PathBuf,
}

impl Site {
    /// Starts a site and waits until the coordinator knows all workers and the
    /// settings are in force at all processes.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be started.
    ///
    /// # Panics
    ///
    /// Panics if the site does not come up in time.
    pub fn start(plan: &Plan) -> io::Result<Self> {
        let mut site = Self::with_store_only(plan)?;
        for i in 0..plan.entries {
            site.start_entry(i)?;
        }
        for i in 0..plan.agents.len() {
            site.start_agent(i)?;
            site.start_upstream(i)?;
        }
        site.wait_for_workers(plan.agents.len());
        site.apply_settings(&plan.settings.clone());
        Ok(site)
    }

    /// Creates a site that runs a store but no processes yet.
    ///
    /// # Errors
    ///
    /// Returns an error if the store or the site's directory cannot be set up.
    pub fn with_store_only(plan: &Plan) -> io::Result<Self> {
        let number = NEXT_SITE.fetch_add(1, Ordering::Relaxed);
        let name = format!("figrill-{}-{number}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        fs::create_dir_all(&dir)?;
        let secret = dir.join("secret");
        fs::write(&secret, "a secret that all processes share\n")?;
        let store = store::open(&store::in_memory())?;
        let store_http = store.address.to_string();
        Ok(Self {
            dir,
            store,
            store_http,
            entries: Vec::new(),
            agents: Vec::new(),
            upstreams: Vec::new(),
            operator: Caller::new(OPERATOR_TOKEN),
            plan: plan.clone(),
            secret,
        })
    }

    fn write_settings(
        &self,
        name: &str,
        extra: &str,
    ) -> io::Result<(PathBuf, PathBuf)> {
        let path = self.dir.join(format!("{name}.ini"));
        let announce_file = self.dir.join(format!("{name}.addr"));
        let store = self.plan.store_proxy.as_ref().unwrap_or(&self.store_http);
        let digest = digest::of_bytes(OPERATOR_TOKEN.as_bytes());
        let text = format!(
            "[process]\nname = {name}\nstore = http://{store}\n\
             peer_secret_file = {}\nannounce_file = {}\n\
             log_level = {}\nbootstrap_digest = {digest}\n{extra}",
            self.secret.display(),
            announce_file.display(),
            self.plan.log_level,
        );
        fs::write(&path, text)?;
        Ok((path, announce_file))
    }

    fn start_node(
        &self,
        role: &str,
        name: &str,
        settings: PathBuf,
        announce_file: &Path,
    ) -> io::Result<Node> {
        let _ = fs::remove_file(announce_file);
        let file = settings.display().to_string();
        let args = [role, "--settings", file.as_str()];
        let process =
            Process::start(name, &self.plan.figrill, &args, &self.dir)?;
        let text = wait_for(name, STARTUP_TIMEOUT, || {
            fs::read_to_string(announce_file).ok()
        });
        let value_of = |key: &str| {
            let line = text.lines().find(|l| l.starts_with(key));
            let value = line.and_then(|l| l.split_once(" = "));
            value.map(|(_, v)| v.to_owned()).unwrap_or_default()
        };
        let (http, peer) = (value_of("http"), value_of("peer"));
        Ok(Node {
            process,
            http,
            peer,
            settings,
        })
    }

    /// Starts or restarts the `i`th entry.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn start_entry(&mut self, i: usize) -> io::Result<()> {
        self.start_entry_with(i, "")
    }

    /// Starts or restarts the `i`th entry with additional lines in its
    /// settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn start_entry_with(
        &mut self,
        i: usize,
        extra: &str,
    ) -> io::Result<()> {
        let name = format!("entry-{i}");
        let (path, announce_file) = self.write_settings(&name, extra)?;
        let node = self.start_node("entry", &name, path, &announce_file)?;
        replace_or_push(&mut self.entries, i, node);
        Ok(())
    }

    /// Starts the `i`th agent. A restarted agent keeps its addresses, so that
    /// its upstream finds it again.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn start_agent(&mut self, i: usize) -> io::Result<()> {
        let name = format!("agent-{i}");
        let plan = &self.plan.agents[i];
        let mut extra = format!(
            "failure_domain = {}\nrack = {}\n",
            plan.failure_domain, plan.rack
        );
        if let Some(advertise) = &plan.advertise {
            let _ = writeln!(extra, "peer_advertise = {advertise}");
        }
        if let Some(before) = self.agents.get(i) {
            let _ = writeln!(extra, "http = {}", before.http);
            let _ = writeln!(extra, "peer = {}", before.peer);
        }
        let (path, announce_file) = self.write_settings(&name, &extra)?;
        let node = self.start_node("agent", &name, path, &announce_file)?;
        replace_or_push(&mut self.agents, i, node);
        Ok(())
    }

    /// Starts or restarts the upstream beside the `i`th agent.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn start_upstream(&mut self, i: usize) -> io::Result<()> {
        let name = format!("upstream-{i}");
        let capacity = self.plan.agents[i].capacity;
        let numbers = [
            capacity.accelerators.to_string(),
            capacity.slots.to_string(),
            capacity.memory_mib.to_string(),
        ];
        let agent = &self.agents[i].http;
        let mut args = vec!["upstream", "127.0.0.1:0", agent];
        args.extend(numbers.iter().map(String::as_str));
        let mut process =
            Process::start(&name, &self.plan.standin, &args, &self.dir)?;
        let http = process.first_line()?;
        replace_or_push(
            &mut self.upstreams,
            i,
            UpstreamNode { process, http },
        );
        Ok(())
    }

    /// Returns the HTTP addresses of the entries.
    #[must_use]
    pub fn entry_addresses(&self) -> Vec<String> {
        self.entries.iter().map(|e| e.http.clone()).collect()
    }

    /// Returns the index of the entry that is the coordinator, if there is
    /// one.
    #[must_use]
    pub fn coordinator(&self) -> Option<usize> {
        self.entries.iter().position(|entry| {
            let status = self.operator.get(&entry.http, "/v1/status");
            status.body["leading"] == true
        })
    }

    /// Waits until the coordinator knows the accelerators of the first `count`
    /// workers, which means that their upstreams have announced themselves.
    ///
    /// # Panics
    ///
    /// Panics if it does not know them in time.
    pub fn wait_for_workers(&self, count: usize) {
        wait_for(
            "the coordinator to know all workers",
            STARTUP_TIMEOUT,
            || {
                let coordinator = self.coordinator()?;
                let http = &self.entries[coordinator].http;
                let status = self.operator.get(http, "/v1/status");
                let accelerators =
                    status.body["cell"]["accelerators"].as_u64()?;
                let expected: u32 = self.plan.agents[..count]
                    .iter()
                    .map(|a| a.capacity.accelerators)
                    .sum();
                (accelerators == u64::from(expected)).then_some(())
            },
        );
    }

    /// Returns the revision of the settings in force at the process at `http`,
    /// or 0 if it does not answer.
    #[must_use]
    pub fn revision(&self, http: &str) -> u64 {
        let health = self.operator.get(http, "/healthz");
        health.body["revision"].as_u64().unwrap_or(0)
    }

    /// Applies settings, to which the operator token is added, and waits until
    /// they are in force at all processes.
    ///
    /// # Panics
    ///
    /// Panics if the settings are refused or are not in force in time.
    pub fn apply_settings(&self, settings: &str) {
        let digest = digest::of_bytes(OPERATOR_TOKEN.as_bytes());
        let text = format!(
            "{settings}\n[token/operator]\ndigest = {digest}\n\
             role = operator\n"
        );
        let coordinator =
            wait_for("a coordinator", STARTUP_TIMEOUT, || self.coordinator());
        let http = &self.entries[coordinator].http;
        let base = self.revision(http);
        let answer = self.put_settings(http, &text, base, "test");
        assert_eq!(answer.status, 200, "{}", answer.text);
        let processes = self.entries.iter().chain(&self.agents);
        for node in processes {
            wait_for("the settings to be in force", STARTUP_TIMEOUT, || {
                (self.revision(&node.http) > base).then_some(())
            });
        }
    }

    /// Sends settings that are based on revision `base` to the entry at
    /// `http`.
    #[must_use]
    pub fn put_settings(
        &self,
        http: &str,
        text: &str,
        base: u64,
        change: &str,
    ) -> Answer {
        let url = format!(
            "http://{http}/v1/settings?base={base}&change={change}-{base}"
        );
        self.operator.call("PUT", &url, text)
    }

    /// Returns the name of every task start that the upstreams have recorded,
    /// in the form `JOB-ATTEMPT-RANK`.
    #[must_use]
    pub fn starts(&self) -> Vec<String> {
        let mut starts = Vec::new();
        for upstream in &self.upstreams {
            let answer = self.operator.get(&upstream.http, "/starts");
            let found: Vec<String> =
                serde_json::from_value(answer.body).unwrap_or_default();
            starts.extend(found);
        }
        starts
    }

    /// Returns the events of all processes that answer, in the order of their
    /// times.
    #[must_use]
    pub fn events(&self) -> Vec<figrill_state::event::Event> {
        let mut events = Vec::new();
        for node in self.entries.iter().chain(&self.agents) {
            let answer = self.operator.get(&node.http, "/v1/events");
            let found: Vec<figrill_state::event::Event> =
                serde_json::from_value(answer.body).unwrap_or_default();
            events.extend(found);
        }
        events.sort_by_key(|e| e.at);
        events
    }

    /// Injects a fault into the store, or ends it: `down=1` makes the store
    /// refuse all calls, `lose=N` loses the answers to the next `N`
    /// transactions, and `stale=1` makes reads stale. The value 0 ends the
    /// fault.
    ///
    /// # Panics
    ///
    /// Panics if there is no fault of that name.
    pub fn store_fault(&self, fault: &str) {
        let (name, value) = fault.split_once('=').unwrap_or((fault, "1"));
        let mut faults = self.store.faults();
        match name {
            "down" if value == "1" => faults.outage = Outage::Refusing,
            "down" => faults.outage = Outage::None,
            "lose" => faults.lost_answers = value.parse().unwrap_or(0),
            "stale" => faults.stale_reads = value == "1",
            _ => panic!("unknown store fault {fault}"),
        }
    }

    /// Returns the path of an entry's settings file.
    #[must_use]
    pub fn settings_path(&self, entry: usize) -> &Path {
        &self.entries[entry].settings
    }
}

fn replace_or_push<T>(list: &mut Vec<T>, i: usize, item: T) {
    if i < list.len() {
        list[i] = item;
    } else {
        list.push(item);
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        // The directory of a failed test is kept, since its logs help to find
        // the cause.
        if !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}
