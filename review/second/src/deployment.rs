//! A small deployment: the project's programs as separate processes, with the
//! settings templates of the deploy file, and its stand-ins of the platform's
//! store and of the upstreams.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    env, fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use figrill_standin::{
    address::free_address,
    platform::{
        client::{Answer, Client},
        workers::{Successor, Workers},
    },
    process::Process,
};
use figrill_state::{
    clock::SystemClock,
    kv::{Kv, Txn, memory::MemoryKv},
    worker::Place,
};
use serde_json::{Value, json};

use crate::{
    record::Record,
    store::{self, Endpoint},
};

/// Why a case could not run.
pub type CaseError = Box<dyn std::error::Error>;

/// The program, relative to the root of the repository.
const PROGRAM: &str = "target/release/figrill";

/// The API key of the only workspace.
const API_KEY: &str = "key-of-a";

/// The time that the processes get until they serve a first job.
const START_LIMIT: Duration = Duration::from_secs(20);

/// The pause between two looks at a state.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The maximum number of starts and ends that a record has one by one.
const MAX_RECORDED_RUNS: usize = 200;

/// The limits of a small deployment, as the templates name them.
const LIMITS: &[(&str, &str)] = &[
    ("{{bounds.reclaim_ms}}", "2700"),
    ("{{bounds.stop_grace_ms}}", "200"),
    ("{{bounds.gang_wait_ms}}", "3000"),
    ("{{bounds.hold_max_ms}}", "10000"),
    ("{{bounds.restore_ms}}", "250"),
    ("{{bounds.grace_s}}", "6"),
    ("{{bounds.remote_penalty}}", "3"),
    ("{{bounds.evac_ms}}", ""),
    ("{{limits.cpu_share}}", "0.25"),
];

/// A process of the deployment.
pub struct Member {
    /// The child process, which is killed when this value is dropped.
    _process: Process,
    /// Where an entry serves callers, and where the upstream of an agent
    /// registers.
    pub address: SocketAddr,
    /// The address of the store that this process alone uses.
    pub store: Endpoint,
}

/// The upstream beside an agent.
#[derive(Clone, Copy, Debug)]
pub struct WorkerPlan {
    /// The service that it belongs to.
    pub service: &'static str,
    /// The rack of its worker.
    pub rack: &'static str,
}

/// A running deployment.
pub struct Deployment<'a> {
    /// The entries, `entry-0` and so on.
    pub entries: Vec<Member>,
    /// The agents, `agent-0` and so on.
    pub agents: Vec<Member>,
    /// The contents of the platform's store.
    pub kv: MemoryKv,
    /// The upstreams, by the names of their agents.
    pub workers: Workers,
    /// What happens here is written down.
    pub record: &'a Record,
    client: Client,
    /// The jobs that were submitted, by id.
    jobs: RefCell<BTreeMap<String, Value>>,
    dir: PathBuf,
}

/// The accelerators of the workers of one service that serve now.
pub struct Accelerators {
    /// How many are free, by worker.
    pub free: Vec<u64>,
    /// How many there are.
    pub total: u64,
}

impl Accelerators {
    /// Returns how many are in use.
    pub fn used(&self) -> u64 {
        self.total - self.free.iter().sum::<u64>()
    }

    /// Returns how many tasks fit that need `each` of them.
    pub fn fit(&self, each: u64) -> u64 {
        self.free.iter().map(|free| free / each.max(1)).sum()
    }
}

impl<'a> Deployment<'a> {
    /// Starts all processes, and waits until they serve a job.
    pub fn start(
        record: &'a Record,
        entries: usize,
        workers: &[WorkerPlan],
        configuration: &Value,
    ) -> Result<Self, CaseError> {
        let name = format!("figrill-review-2-{}", std::process::id());
        let dir = env::temp_dir().join(name);
        fs::create_dir_all(&dir)?;
        let mut deployment = Self {
            entries: Vec::new(),
            agents: Vec::new(),
            kv: MemoryKv::new(Arc::new(SystemClock::new())),
            workers: Workers::start()?,
            record,
            client: Client::new(API_KEY),
            jobs: RefCell::default(),
            dir,
        };
        deployment.configure(configuration);
        for i in 0..entries {
            let member = deployment.start_member("entry", i)?;
            deployment.entries.push(member);
        }
        for (i, plan) in workers.iter().enumerate() {
            let member = deployment.start_member("agent", i)?;
            deployment.add_worker(&agent_name(i), plan, member.address)?;
            deployment.agents.push(member);
        }
        Ok(deployment)
    }

    /// Writes the operators' configuration to the store.
    pub fn configure(&self, configuration: &Value) {
        let key = "op/config";
        let current = self.kv.get(key, Duration::ZERO).ok().flatten();
        let revision = current.map_or(0, |item| item.revision);
        let value = configuration.to_string().into_bytes();
        let txn = Txn::compare_and_swap(key, revision, value);
        let result = self.kv.commit(&txn, Duration::ZERO);
        let version = &configuration["version"];
        self.record.line(&format!(
            "operator: manifest version={version} acknowledged={}",
            result.is_ok()
        ));
    }

    fn add_worker(
        &self,
        agent: &str,
        plan: &WorkerPlan,
        address: SocketAddr,
    ) -> io::Result<()> {
        let place = Place {
            failure_domain: "domain-0".to_owned(),
            rack: plan.rack.to_owned(),
        };
        self.workers.add_at(agent, &place, address)?;
        if let Some(node) = self.workers.pool().nodes.get_mut(agent) {
            plan.service.clone_into(&mut node.upstream.service);
        }
        // Its first heartbeat may have had another service.
        self.workers.restart(agent, Successor::default())
    }

    fn start_member(
        &self,
        role: &'static str,
        i: usize,
    ) -> Result<Member, CaseError> {
        let store = store::open(&self.kv)?;
        let address = free_address()?;
        let template = fs::read_to_string(format!("deploy/{role}.ini"))?;
        let name = format!("{role}-kv-cyberjaya-{i}");
        let addresses = [
            ("{{node}}", name.clone()),
            ("{{ip}}:{{port_range.0}}", free_address()?.to_string()),
            ("{{ip}}:{{port_range.1}}", free_address()?.to_string()),
            ("{{platform.addr}}", store.address.to_string()),
            ("{{listen.front}}", address.to_string()),
            ("{{listen.control}}", address.to_string()),
            ("{{listen.ready}}", free_address()?.to_string()),
        ];
        let mut text = template;
        for (from, to) in &addresses {
            text = text.replace(from, to);
        }
        for (from, to) in LIMITS {
            text = text.replace(from, to);
        }
        let settings = self.dir.join(format!("{name}.ini"));
        fs::write(&settings, text)?;
        let process = self.launch(role, &name, &settings)?;
        Ok(Member {
            _process: process,
            address,
            store,
        })
    }

    fn launch(
        &self,
        role: &str,
        name: &str,
        settings: &Path,
    ) -> io::Result<Process> {
        self.record
            .line(&format!("start: {PROGRAM} {role} --settings {name}.ini"));
        let settings = settings.display().to_string();
        let args = [role, "--settings", settings.as_str()];
        Process::start_logged(name, Path::new(PROGRAM), &args, &self.dir)
    }

    /// Submits a job to a queue at an entry.
    pub fn submit(
        &self,
        entry: usize,
        queue: &str,
        id: u64,
        job: &Value,
    ) -> Answer {
        let path = format!("/{queue}/{id:016x}");
        self.jobs
            .borrow_mut()
            .insert(format!("{id:016x}"), job.clone());
        let answer = self.call("POST", entry, &path, Some(job));
        let steps = &job["steps"];
        self.record.line(&format!(
            "client: POST {path} spec={} steps={} -> {}",
            job["spec"],
            shorten(&steps.to_string()),
            answer.status
        ));
        answer
    }

    /// Submits a job to a queue at the first entry, which has to accept it.
    pub fn submit_accepted(
        &self,
        queue: &str,
        id: u64,
        job: &Value,
    ) -> Result<(), CaseError> {
        match self.submit(0, queue, id, job).status {
            200 => Ok(()),
            status => Err(format!("job {id:x} was answered {status}").into()),
        }
    }

    /// Returns the state of a job at an entry, or the status of the answer.
    pub fn state(&self, entry: usize, queue: &str, id: u64) -> String {
        let path = format!("/{queue}/{id:016x}");
        let answer = self.call("GET", entry, &path, None);
        let state = answer.body["state"].as_str();
        state.map_or_else(|| answer.status.to_string(), str::to_owned)
    }

    /// Returns the state of a job like [`state`](Self::state), and writes it
    /// to the record.
    pub fn recorded_state(
        &self,
        entry: usize,
        queue: &str,
        id: u64,
    ) -> String {
        let state = self.state(entry, queue, id);
        self.record.line(&format!(
            "client: GET /{queue}/{id:016x} at entry-{entry} -> {state}"
        ));
        state
    }

    fn call(
        &self,
        method: &str,
        entry: usize,
        path: &str,
        body: Option<&Value>,
    ) -> Answer {
        let address = self.entries[entry].address;
        self.client.call(method, address, path, body)
    }

    /// Waits until a job has a state at the first entry.
    pub fn wait_for_state(
        &self,
        queue: &str,
        id: u64,
        state: &str,
        limit: Duration,
    ) -> Result<(), CaseError> {
        let what = format!("job {id:x} to be {state}");
        wait_until(&what, limit, || self.state(0, queue, id) == state)?;
        self.record
            .line(&format!("client: job {id:016x} is {state}"));
        Ok(())
    }

    /// Waits until a gang that needs `workers` whole workers is done, which
    /// shows that so many serve the queue.
    pub fn wait_until_serving(
        &self,
        queue: &str,
        id: u64,
        workers: usize,
    ) -> Result<(), CaseError> {
        let spec = format!("ms=100 cpu=1000 mem=100 gpu=8 gang={workers}");
        let job = json!({
            "spec": spec,
            "steps": [{"count": workers, "cpu": 1000, "mem_mb": 100, "gpu": 8,
                       "estimate_ms": 100, "gang": true}],
        });
        wait_until("the first job to be accepted", START_LIMIT, || {
            self.submit(0, queue, id, &job).status == 200
        })?;
        self.wait_for_state(queue, id, "done", START_LIMIT)
    }

    /// Returns the tasks that run now, with the agents of their workers.
    fn running_tasks(&self) -> BTreeMap<String, String> {
        let mut agents = BTreeMap::new();
        for line in &self.workers.pool().trace {
            let words: Vec<&str> = line.split(' ').skip(1).collect();
            match words[..] {
                ["start", run, agent] => {
                    let task = run.split('/').next().unwrap_or_default();
                    agents.insert(task.to_owned(), agent.to_owned());
                }
                ["crashed", agent] => agents.retain(|_, a| a != agent),
                [_, task, _] => {
                    agents.remove(task);
                }
                _ => {}
            }
        }
        agents
    }

    /// Returns the number of tasks of a job that run now.
    pub fn running(&self, id: u64) -> usize {
        let job = format!("{id:016x}.");
        let tasks = self.running_tasks();
        tasks.keys().filter(|task| task.starts_with(&job)).count()
    }

    /// Returns the agents of the workers on which tasks of a job run now.
    pub fn agents_of(&self, id: u64) -> Vec<String> {
        let job = format!("{id:016x}.");
        let tasks = self.running_tasks().into_iter();
        tasks
            .filter(|(task, _)| task.starts_with(&job))
            .map(|(_, agent)| agent)
            .collect()
    }

    /// Returns the accelerators of a service that tasks can be placed on.
    pub fn accelerators(&self, service: &str) -> Accelerators {
        let tasks = self.running_tasks();
        let pool = self.workers.pool();
        let mut found = Accelerators {
            free: Vec::new(),
            total: 0,
        };
        for (agent, node) in &pool.nodes {
            let upstream = &node.upstream;
            if !node.reachable
                || upstream.draining
                || upstream.service != service
            {
                continue;
            }
            let here = tasks.iter().filter(|(_, a)| *a == agent);
            let used: u64 = here.map(|(task, _)| self.need(task)).sum();
            let capacity = upstream.capacity.accelerators;
            found.free.push(capacity.saturating_sub(used));
            found.total += capacity;
        }
        found
    }

    /// Returns the number of accelerators that a task needs.
    fn need(&self, task: &str) -> u64 {
        let mut fields = task.split('.');
        let job = fields.next().unwrap_or_default();
        let step = fields.nth(1).and_then(|s| s.parse::<usize>().ok());
        let jobs = self.jobs.borrow();
        let steps = jobs.get(job).map(|j| &j["steps"]);
        let spec = steps.zip(step).and_then(|(steps, i)| steps.get(i));
        spec.and_then(|s| s["gpu"].as_u64()).unwrap_or(0)
    }

    /// Returns the number of runs of a job that ended in a way.
    pub fn ends(&self, id: u64, end: &str) -> usize {
        let pattern = format!(" {end} {id:016x}.");
        let pool = self.workers.pool();
        pool.trace.iter().filter(|l| l.contains(&pattern)).count()
    }

    /// Sets whether the store answers no process.
    pub fn set_store_silent(&self, silent: bool) {
        self.record.line(if silent {
            "store: no call is answered or carried out"
        } else {
            "store: calls are answered"
        });
        for member in self.entries.iter().chain(&self.agents) {
            member.store.set_silent(silent);
        }
    }

    /// Copies what the upstreams have run to the record. If it is much, starts
    /// and ends of the same kind in the same second share a line.
    pub fn record_runs(&self) {
        let pool = self.workers.pool();
        if pool.trace.len() <= MAX_RECORDED_RUNS {
            for line in &pool.trace {
                self.record.line(&format!("upstreams: {line}"));
            }
            return;
        }
        let mut counts: BTreeMap<(String, String, String), u64> =
            BTreeMap::new();
        for line in &pool.trace {
            let mut words = line.split(' ');
            let mut word = || words.next().unwrap_or_default().to_owned();
            let (ms, kind, run) = (word(), word(), word());
            let second = ms.get(..10).unwrap_or(&ms).to_owned();
            let job: Vec<&str> = run.split('.').take(3).collect();
            *counts.entry((second, kind, job.join("."))).or_default() += 1;
        }
        for ((second, kind, job), count) in counts {
            self.record
                .line(&format!("upstreams: {second} s: {count} {kind} {job}"));
        }
    }
}

impl Drop for Deployment<'_> {
    fn drop(&mut self) {
        self.workers.end();
        if env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

/// Returns the name of the `i`th agent, in the form of the platform's names.
pub fn agent_name(i: usize) -> String {
    format!("agent-kv-cyberjaya-{i}")
}

/// Waits until `is_so` returns `true`.
pub fn wait_until(
    what: &str,
    limit: Duration,
    mut is_so: impl FnMut() -> bool,
) -> Result<(), CaseError> {
    let start = Instant::now();
    while !is_so() {
        if start.elapsed() > limit {
            return Err(format!("waited {limit:?} for {what}").into());
        }
        thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

/// Returns the beginning of a text.
fn shorten(text: &str) -> String {
    const MAX_CHARS: usize = 300;
    text.chars().take(MAX_CHARS).collect()
}
