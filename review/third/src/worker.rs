//! A worker on a machine that can be suspended. It is the project's model of
//! an upstream with a steady clock of its own, which does not count the time
//! for which the machine was suspended.

use std::{
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
use figrill_example::pool::{Node, Pool};
use figrill_standin::platform::reports::send_report;
use figrill_state::{
    batch::{Incarnation, Resources, TaskId},
    runner::{Refusal, Snapshot, StartOrder, StartOutcome, UpstreamState},
};
use figrill_transport::{
    http::{self, Answer, Call, Event, Server},
    runtime::Runtime,
};
use serde_json::{Value, json};

/// The interval at which the model's clock advances.
const STEP_INTERVAL: Duration = Duration::from_millis(10);

/// The interval between two status reports, `heartbeat_ms`.
const REPORT_INTERVAL: Duration = Duration::from_millis(1500);

/// The maximum number of calls that wait.
const CALL_QUEUE_CAPACITY: usize = 256;

/// The clock of a worker.
struct SteadyClock {
    started_at: Instant,
    /// The time at `started_at`, in milliseconds since 1970.
    start_ms: u64,
    suspended_since: Option<Instant>,
    suspended_for: Duration,
}

impl SteadyClock {
    fn now_ms(&self) -> u64 {
        let until = self.suspended_since.unwrap_or_else(Instant::now);
        let elapsed = until
            .saturating_duration_since(self.started_at)
            .saturating_sub(self.suspended_for);
        self.start_ms + u64::try_from(elapsed.as_millis()).unwrap_or(0)
    }
}

struct Shared {
    name: String,
    incarnation: Incarnation,
    pool: Mutex<Pool>,
    clock: Mutex<SteadyClock>,
    ended: AtomicBool,
}

/// A running worker. Clones share it.
#[derive(Clone)]
pub struct Worker(Arc<Shared>);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Worker {
    /// Starts a worker beside the agent `name`, which listens for status
    /// reports on `agent`.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound or a thread can't be
    /// started.
    pub fn start(
        name: &str,
        rack: &str,
        agent: SocketAddr,
    ) -> io::Result<Self> {
        let listener = http::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let start_ms = since_epoch.unwrap_or_default().as_millis();
        let start_ms = u64::try_from(start_ms).unwrap_or(u64::MAX);
        let incarnation = Incarnation {
            id: format!("i-{name}"),
            born_ms: start_ms,
        };
        let upstream = UpstreamState {
            incarnation: incarnation.clone(),
            address: address.to_string(),
            service: "svc".to_owned(),
            failure_domain: "zone-0".to_owned(),
            capacity: Resources {
                cpu_milli: 32_000,
                memory_mib: 128_000,
                accelerators: 8,
            },
            labels: vec!["a".to_owned(), rack.to_owned()],
            rack: rack.to_owned(),
            ..UpstreamState::default()
        };
        let mut pool = Pool::default();
        pool.nodes.insert(name.to_owned(), Node::new(upstream));
        let worker = Self(Arc::new(Shared {
            name: name.to_owned(),
            incarnation,
            pool: Mutex::new(pool),
            clock: Mutex::new(SteadyClock {
                started_at: Instant::now(),
                start_ms,
                suspended_since: None,
                suspended_for: Duration::ZERO,
            }),
            ended: AtomicBool::new(false),
        }));
        worker.serve(listener)?;
        let advancing = worker.clone();
        thread::Builder::new().spawn(move || advancing.advance())?;
        let reporting = worker.clone();
        thread::Builder::new().spawn(move || reporting.report(agent))?;
        Ok(worker)
    }

    /// Suspends the machine or lets it go on.
    pub fn set_suspended(&self, suspended: bool) {
        let mut clock = lock(&self.0.clock);
        if suspended {
            clock.suspended_since = Some(Instant::now());
        } else if let Some(since) = clock.suspended_since.take() {
            clock.suspended_for += since.elapsed();
        }
    }

    /// Returns the worker's id and its next status report, without sending it.
    pub fn next_report(&self) -> (String, Value) {
        let now = self.now_ms();
        let pool = lock(&self.0.pool);
        let node = pool.nodes.get(&self.0.name);
        let report = node.map(|n| report_json(&n.upstream, now));
        (self.0.incarnation.id.clone(), report.unwrap_or_default())
    }

    /// Ends the threads of the worker.
    pub fn end(&self) {
        self.0.ended.store(true, Ordering::Relaxed);
    }

    /// Returns whether a run of the subtask is at work. Nothing is while the
    /// machine is suspended.
    pub fn is_at_work(&self, task: &str) -> bool {
        if lock(&self.0.clock).suspended_since.is_some() {
            return false;
        }
        let Some(snapshot) = self.snapshot() else {
            return false;
        };
        snapshot.running.iter().any(|r| r.task.to_string() == task)
    }

    /// Returns the starts and ends that the worker has listed, by its clock.
    pub fn trace(&self) -> Vec<String> {
        lock(&self.0.pool).trace.clone()
    }

    fn has_ended(&self) -> bool {
        self.0.ended.load(Ordering::Relaxed)
    }

    /// Waits while the machine is suspended. Returns the time.
    fn now_ms(&self) -> u64 {
        loop {
            let clock = lock(&self.0.clock);
            if clock.suspended_since.is_none() {
                return clock.now_ms();
            }
            drop(clock);
            thread::sleep(STEP_INTERVAL);
        }
    }

    fn snapshot(&self) -> Option<Snapshot> {
        let now = self.now_ms();
        // The highest token, so that the call is not refused, would fence the
        // agent. The model shows its runs to a copy just as well.
        let mut copy = lock(&self.0.pool).clone();
        copy.hold(now, &self.0.name, u64::MAX, 0, None)
    }

    fn advance(&self) {
        let mut last = self.now_ms();
        while !self.has_ended() {
            thread::sleep(STEP_INTERVAL);
            let now = self.now_ms();
            lock(&self.0.pool).advance(now, now - last);
            last = now;
        }
    }

    fn report(&self, agent: SocketAddr) {
        while !self.has_ended() {
            let now = self.now_ms();
            let body = {
                let mut pool = lock(&self.0.pool);
                let Some(node) = pool.nodes.get_mut(&self.0.name) else {
                    return;
                };
                node.upstream.sequence += 1;
                report_json(&node.upstream, now)
            };
            // The next report follows in any case.
            let id = &self.0.incarnation.id;
            let _ = send_report(agent, id, &body);
            thread::sleep(REPORT_INTERVAL);
        }
    }

    fn serve(&self, listener: std::net::TcpListener) -> io::Result<()> {
        let runtime = Runtime::start("net")?;
        let (tx, rx) = bounded::<Event>(CALL_QUEUE_CAPACITY);
        let server = Server::start(&runtime.handle(), listener, tx);
        let serving = self.clone();
        thread::Builder::new().spawn(move || {
            // Both have to be kept for as long as calls are served.
            let _kept = (runtime, server);
            for event in rx {
                if let Event::Call(call) = event {
                    let worker = serving.clone();
                    let run = move || worker.respond(*call);
                    let _ = thread::Builder::new().spawn(run);
                }
            }
        })?;
        Ok(())
    }

    fn respond(&self, call: Call) {
        let body: Value =
            serde_json::from_slice(&call.body).unwrap_or_default();
        let expected = call.headers.get("x-expect-instance");
        let expected = expected.and_then(|v| v.to_str().ok());
        let is_other = expected.is_some_and(|id| id != self.0.incarnation.id);
        let (status, mut answer) = match call.path.as_str() {
            _ if is_other => (421, json!({})),
            "/-/run-start" => self.start_run(&body),
            "/-/run-stop" => self.stop_run(&body),
            "/-/hold" => self.hold(&body),
            _ => (404, json!({})),
        };
        let clock_ms = self.now_ms() - self.0.incarnation.born_ms;
        if answer.get("clock_ms").is_none() {
            answer["clock_ms"] = json!(clock_ms);
        }
        let answer = answer.to_string().into_bytes();
        call.responder.send(Answer::json(status, answer));
    }

    fn start_run(&self, body: &Value) -> (u16, Value) {
        let Some(order) = start_order(body) else {
            return (400, json!({}));
        };
        let now = self.now_ms();
        let Shared {
            name, incarnation, ..
        } = &*self.0;
        let outcome = lock(&self.0.pool).start(now, name, incarnation, &order);
        let reason = match outcome {
            StartOutcome::Running { .. } => return (200, json!({})),
            StartOutcome::Refused(Refusal::Fenced) => "fence",
            StartOutcome::Refused(Refusal::StaleRun) => "old",
            StartOutcome::Refused(Refusal::DeadlinePassed) => "late",
            _ => "room",
        };
        (409, json!({"reason": reason}))
    }

    fn stop_run(&self, body: &Value) -> (u16, Value) {
        let task = body["task"].as_str().and_then(TaskId::parse);
        let run = body["run"].as_u64().and_then(|r| u32::try_from(r).ok());
        let (Some(task), Some(run)) = (task, run) else {
            return (400, json!({}));
        };
        let token = body["fencing_token"].as_u64().unwrap_or(0);
        let now = self.now_ms();
        let name = &self.0.name;
        lock(&self.0.pool).stop(now, name, task, run, token);
        (200, json!({}))
    }

    fn hold(&self, body: &Value) -> (u16, Value) {
        let number = |key: &str| body[key].as_u64();
        let token = number("fencing_token").unwrap_or(0);
        let cursor = number("ack_cursor").unwrap_or(0);
        let wait_ms = number("wait_ms").unwrap_or(0);
        let until = self.now_ms() + wait_ms;
        loop {
            let now = self.now_ms();
            let deadline = number("deadline_ms");
            let name = &self.0.name;
            let snapshot =
                lock(&self.0.pool).hold(now, name, token, cursor, deadline);
            let Some(snapshot) = snapshot else {
                return (409, json!({"reason": "fence"}));
            };
            if !snapshot.ended.is_empty() || now >= until {
                return (200, snapshot_json(&snapshot));
            }
            thread::sleep(STEP_INTERVAL);
        }
    }
}

fn start_order(body: &Value) -> Option<StartOrder> {
    let checkpoint = body["last_checkpoint"].as_str().unwrap_or_default();
    Some(StartOrder {
        task: TaskId::parse(body["task"].as_str()?)?,
        run: u32::try_from(body["run"].as_u64()?).ok()?,
        payload: body["spec"].as_str()?.to_owned(),
        deadline_ms: body["deadline_ms"].as_u64()?,
        token: body["fencing_token"].as_u64().unwrap_or(0),
        checkpoint: checkpoint.to_owned(),
    })
}

fn snapshot_json(snapshot: &Snapshot) -> Value {
    let running = snapshot.running.iter().map(|r| {
        json!([r.task.to_string(), r.run, r.checkpoint, r.percent, 0])
    });
    let ended = snapshot.ended.iter().map(|e| {
        let task = e.task.to_string();
        json!([e.number, task, e.run, e.end.name(), e.checkpoint])
    });
    json!({
        "clock_ms": snapshot.clock_ms,
        "born": snapshot.born_ms,
        "running": running.collect::<Vec<_>>(),
        "ended": ended.collect::<Vec<_>>(),
    })
}

fn report_json(upstream: &UpstreamState, now_ms: u64) -> Value {
    let born_ms = upstream.incarnation.born_ms;
    json!({
        "service": upstream.service,
        "addr": upstream.address,
        "zone": upstream.failure_domain,
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_left_ms": 0,
        "capacity": {
            "cpu": upstream.capacity.cpu_milli,
            "mem_mb": upstream.capacity.memory_mib,
            "gpu": upstream.capacity.accelerators,
        },
        "labels": upstream.labels,
        "clock_ms": now_ms - born_ms,
        "seq": upstream.sequence,
        "born": born_ms,
    })
}
