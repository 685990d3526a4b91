//! A stand-in of an upstream, after the platform's pages: it runs tasks under
//! a lease, refuses lower fencing tokens, lists runs and their ends, and sends
//! status reports to the agent on its VM.
//!
//! The payload of a task says how long it runs, such as `ms=2000`.

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

use crossbeam::channel::bounded;
use figrill_transport::{
    http::{self, Answer, Call, Event, Server},
    runtime::Runtime,
};
use serde_json::{Value, json};

use crate::record::{Record, RunChange};

/// The interval between two status reports.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1500);

/// The interval at which runs end and waiting hold calls are checked.
const STEP_INTERVAL: Duration = Duration::from_millis(10);

/// The maximum time by which a lease extends beyond the present.
const MAX_LEASE_MS: u64 = 10_000;

/// The time that a run takes to stop.
const STOP_DELAY_MS: u64 = 100;

/// The maximum wait of a hold call for the end of a run.
const MAX_HOLD_WAIT_MS: u64 = 2000;

/// The maximum number of ends in one list.
const MAX_LISTED_ENDS: usize = 500;

/// The maximum number of calls that wait for a thread.
const CALL_QUEUE_CAPACITY: usize = 1024;

/// What an upstream says of itself.
#[derive(Clone, Debug)]
pub struct Description {
    /// The name of its VM.
    pub name: String,
    /// The service whose tasks it runs.
    pub service: String,
    /// Its rack.
    pub rack: String,
    /// The number of its accelerators.
    pub accelerators: u64,
    /// The IP address of its VM, with a port for calls.
    pub listen: SocketAddr,
    /// The address to which it sends its status reports.
    pub agent: SocketAddr,
}

struct Run {
    number: u32,
    ends_at_ms: u64,
    started_at_ms: u64,
    stop_at_ms: Option<u64>,
}

struct End {
    number: u64,
    task: String,
    run: u32,
    how: &'static str,
}

#[derive(Default)]
struct State {
    token: u64,
    lease_end_ms: u64,
    runs: BTreeMap<String, Run>,
    ends: Vec<End>,
    last_end: u64,
    /// The highest run of each task that has ended or was stopped here.
    stale_runs: BTreeMap<String, u32>,
}

struct Shared {
    description: Description,
    id: String,
    born_ms: u64,
    start: Instant,
    state: Mutex<State>,
    record: Record,
    /// Whether starts are answered with 503 and nothing is done.
    unhealthy: AtomicBool,
    stopped: AtomicBool,
}

/// A running upstream. It ends when the process ends; clones share it.
#[derive(Clone)]
pub struct Worker {
    shared: Arc<Shared>,
}

/// Returns the time in milliseconds since the Unix epoch.
#[must_use]
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let ms = since.unwrap_or_default().as_millis();
    u64::try_from(ms).unwrap_or(u64::MAX)
}

impl Worker {
    /// Starts an upstream.
    ///
    /// # Errors
    ///
    /// Returns an error if its address cannot be bound or a thread cannot be
    /// started.
    pub fn start(
        description: Description,
        record: &Record,
    ) -> io::Result<Self> {
        let listener = http::bind(&description.listen.to_string())?;
        let born_ms = wall_ms();
        let worker = Self {
            shared: Arc::new(Shared {
                id: format!("i-{}", description.name),
                description,
                born_ms,
                start: Instant::now(),
                state: Mutex::default(),
                record: record.clone(),
                unhealthy: AtomicBool::new(false),
                stopped: AtomicBool::new(false),
            }),
        };
        let runtime = Runtime::start("worker")?;
        let (tx, calls) = bounded(CALL_QUEUE_CAPACITY);
        let server = Server::start(&runtime.handle(), listener, tx);
        let serving = worker.clone();
        thread::Builder::new().spawn(move || {
            let _running = (runtime, server);
            for event in calls {
                if let Event::Call(call) = event {
                    let worker = serving.clone();
                    thread::spawn(move || worker.answer(*call));
                }
            }
        })?;
        let stepping = worker.clone();
        thread::Builder::new().spawn(move || stepping.advance())?;
        let reporting = worker.clone();
        thread::Builder::new().spawn(move || reporting.send_reports())?;
        Ok(worker)
    }

    /// Sets whether starts are answered with 503 and nothing is done.
    pub fn set_unhealthy(&self, unhealthy: bool) {
        self.shared.unhealthy.store(unhealthy, Ordering::Relaxed);
    }

    /// Returns the number of runs that are at work.
    #[must_use]
    pub fn active_runs(&self) -> usize {
        self.lock().runs.len()
    }

    /// Returns the upstream's name on the wire.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.shared.id
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let state = self.shared.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }

    fn clock_ms(&self) -> u64 {
        let elapsed = self.shared.start.elapsed().as_millis();
        u64::try_from(elapsed).unwrap_or(u64::MAX)
    }

    fn record(&self, task: &str, run: u32, change: RunChange) {
        let name = &self.shared.description.name;
        self.shared.record.run(name, task, run, change);
    }

    /// Ends the runs that are over, until the process ends.
    fn advance(&self) {
        while !self.shared.stopped.load(Ordering::Relaxed) {
            thread::sleep(STEP_INTERVAL);
            let mut state = self.lock();
            let now = self.clock_ms();
            let lapsed = now > state.lease_end_ms;
            let over: Vec<(String, &'static str)> = state
                .runs
                .iter()
                .filter_map(|(task, run)| {
                    let how = if lapsed {
                        "lapsed"
                    } else if run.stop_at_ms.is_some_and(|at| now >= at) {
                        "stopped"
                    } else if now >= run.ends_at_ms {
                        "done"
                    } else {
                        return None;
                    };
                    Some((task.clone(), how))
                })
                .collect();
            for (task, how) in over {
                self.end(&mut state, task, how);
            }
        }
    }

    fn end(&self, state: &mut State, task: String, how: &'static str) {
        let Some(run) = state.runs.remove(&task) else {
            return;
        };
        state.last_end += 1;
        let last = state.stale_runs.entry(task.clone()).or_insert(0);
        *last = (*last).max(run.number);
        self.record(&task, run.number, RunChange::Ended(how));
        state.ends.push(End {
            number: state.last_end,
            task,
            run: run.number,
            how,
        });
    }

    fn send_reports(&self) {
        let client = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(Duration::from_secs(1)))
            .proxy(None)
            .build()
            .new_agent();
        let description = &self.shared.description;
        let url = format!(
            "http://{}/-/workers/{}",
            description.agent, self.shared.id
        );
        for seq in 1.. {
            if self.shared.stopped.load(Ordering::Relaxed) {
                return;
            }
            let body = json!({
                "service": description.service,
                "addr": description.listen.to_string(),
                "zone": "riga",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_left_ms": 0,
                "capacity": {
                    "cpu": 64_000,
                    "mem_mb": 131_072,
                    "gpu": description.accelerators,
                },
                "labels": ["a", description.rack],
                "clock_ms": self.clock_ms(),
                "born": self.shared.born_ms,
                "seq": seq,
            });
            // The agent may be down; the next report follows anyway.
            let _ = client.put(&url).send(body.to_string());
            thread::sleep(HEARTBEAT_INTERVAL);
        }
    }

    fn answer(&self, call: Call) {
        let expected = call.headers.get("x-expect-instance");
        let expected = expected.and_then(|v| v.to_str().ok());
        let body: Value =
            serde_json::from_slice(&call.body).unwrap_or_default();
        let (status, reply) = if expected.is_some_and(|e| e != self.shared.id)
        {
            (421, json!({"clock_ms": self.clock_ms()}))
        } else {
            match call.path.as_str() {
                "/-/run-start" => self.start_run(&body),
                "/-/run-stop" => self.stop_run(&body),
                "/-/hold" => self.hold(&body),
                _ => (404, json!({})),
            }
        };
        let answer = Answer::json(status, reply.to_string().into_bytes());
        call.responder.send(answer);
    }

    fn start_run(&self, body: &Value) -> (u16, Value) {
        let (Some(task), Some(number), Some(deadline_ms)) = (
            body["task"].as_str(),
            body["run"].as_u64().and_then(|r| u32::try_from(r).ok()),
            body["deadline_ms"].as_u64(),
        ) else {
            return (400, json!({"clock_ms": self.clock_ms()}));
        };
        let mut state = self.lock();
        let now = self.clock_ms();
        let refuse =
            |reason: &str| (409, json!({"clock_ms": now, "reason": reason}));
        if self.shared.unhealthy.load(Ordering::Relaxed) {
            let name = &self.shared.description.name;
            let line = format!("{name}: start of {task} answered 503");
            self.shared.record.line(&line);
            return (503, json!({"clock_ms": now}));
        }
        let token = body["fencing_token"].as_u64().unwrap_or(0);
        if token < state.token {
            return refuse("fence");
        }
        state.token = token;
        if state.runs.get(task).is_some_and(|r| r.number == number) {
            return (200, json!({"clock_ms": now}));
        }
        if number <= state.stale_runs.get(task).copied().unwrap_or(0) {
            return refuse("old");
        }
        if now > deadline_ms {
            return refuse("late");
        }
        let lease = deadline_ms.min(now + MAX_LEASE_MS);
        state.lease_end_ms = state.lease_end_ms.max(lease);
        let spec = body["spec"].as_str().unwrap_or_default();
        let run = Run {
            number,
            started_at_ms: now,
            ends_at_ms: now + duration_ms(spec),
            stop_at_ms: None,
        };
        state.runs.insert(task.to_owned(), run);
        self.record(task, number, RunChange::Started);
        (200, json!({"clock_ms": now}))
    }

    fn stop_run(&self, body: &Value) -> (u16, Value) {
        let (Some(task), Some(number)) = (
            body["task"].as_str(),
            body["run"].as_u64().and_then(|r| u32::try_from(r).ok()),
        ) else {
            return (400, json!({"clock_ms": self.clock_ms()}));
        };
        let mut state = self.lock();
        let now = self.clock_ms();
        let token = body["fencing_token"].as_u64().unwrap_or(0);
        if token < state.token {
            return (409, json!({"clock_ms": now, "reason": "fence"}));
        }
        state.token = token;
        match state.runs.get_mut(task) {
            Some(run) if run.number == number => {
                run.stop_at_ms.get_or_insert(now + STOP_DELAY_MS);
            }
            _ => {
                let last = state.stale_runs.entry(task.to_owned());
                let last = last.or_insert(0);
                *last = (*last).max(number);
            }
        }
        (200, json!({"clock_ms": now}))
    }

    fn hold(&self, body: &Value) -> (u16, Value) {
        let number = |key: &str| body[key].as_u64();
        let token = number("fencing_token").unwrap_or(0);
        let acknowledged = number("ack_cursor").unwrap_or(0);
        let wait = number("wait_ms").unwrap_or(0).min(MAX_HOLD_WAIT_MS);
        let wait = Duration::from_millis(wait);
        let start = Instant::now();
        loop {
            let mut state = self.lock();
            let now = self.clock_ms();
            if token < state.token {
                return (409, json!({"clock_ms": now, "reason": "fence"}));
            }
            state.token = token;
            if let Some(deadline_ms) = number("deadline_ms") {
                let lease = deadline_ms.min(now + MAX_LEASE_MS);
                state.lease_end_ms = state.lease_end_ms.max(lease);
            }
            let (known, open): (Vec<End>, Vec<End>) =
                std::mem::take(&mut state.ends)
                    .into_iter()
                    .partition(|e| e.number <= acknowledged);
            state.ends = open;
            for end in known {
                self.record(&end.task, end.run, RunChange::EndAcknowledged);
            }
            if !state.ends.is_empty() || start.elapsed() >= wait {
                return (200, self.lists(&state, now));
            }
            drop(state);
            thread::sleep(STEP_INTERVAL);
        }
    }

    fn lists(&self, state: &State, now: u64) -> Value {
        let running = state.runs.iter().map(|(task, run)| {
            let total = (run.ends_at_ms - run.started_at_ms).max(1);
            let percent = now.saturating_sub(run.started_at_ms) * 100 / total;
            json!([task, run.number, "", percent.min(100), 1000])
        });
        let ends = state.ends.iter().take(MAX_LISTED_ENDS);
        let ended = ends.map(|e| json!([e.number, e.task, e.run, e.how, ""]));
        json!({
            "clock_ms": now,
            "born": self.shared.born_ms,
            "running": running.collect::<Vec<_>>(),
            "ended": ended.collect::<Vec<_>>(),
        })
    }
}

/// Returns the run time that a payload asks for, in milliseconds.
fn duration_ms(spec: &str) -> u64 {
    let mut words = spec.split_whitespace();
    let ms = words.find_map(|w| w.strip_prefix("ms=")?.parse().ok());
    ms.unwrap_or(100)
}
