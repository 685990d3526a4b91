//! The platform's upstreams: a model of each one, served at its own HTTP
//! address, which sends heartbeats to its agent.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use figrill_example::pool::{Node, Pool};
use figrill_state::{
    batch::{Incarnation, Resources, TaskId},
    runner::{Refusal, Snapshot, StartOrder, StartOutcome, UpstreamState},
};
use serde_json::{Value, json};

use crate::web::{Call, Reply, serve};

/// The interval at which the model's clock advances.
const STEP_INTERVAL: Duration = Duration::from_millis(10);

/// The interval between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// The interval at which a waiting hold call checks for ended runs.
const HOLD_POLL_INTERVAL: Duration = Duration::from_millis(5);

struct Shared {
    pool: Mutex<Pool>,
    start: Instant,
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
        let workers = Self {
            shared: Arc::new(Shared {
                pool: Mutex::default(),
                start: Instant::now(),
            }),
        };
        let advancing = workers.clone();
        thread::Builder::new().spawn(move || {
            let mut last = advancing.now_ms();
            loop {
                thread::sleep(STEP_INTERVAL);
                let now = advancing.now_ms();
                advancing.pool().advance(now, now - last);
                last = now;
            }
        })?;
        Ok(workers)
    }

    /// Locks the model. It does not advance while the guard is held.
    pub fn pool(&self) -> MutexGuard<'_, Pool> {
        let pool = self.shared.pool.lock();
        pool.unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the model and returns its time. The time is read under the lock:
    /// otherwise, an answer could carry an earlier time than one whose call
    /// had the lock before it.
    fn pool_and_time(&self) -> (MutexGuard<'_, Pool>, u64) {
        let pool = self.pool();
        let now = self.now_ms();
        (pool, now)
    }

    /// Returns the time of the model in milliseconds since its start.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        let ms = self.shared.start.elapsed().as_millis();
        u64::try_from(ms).unwrap_or(u64::MAX)
    }

    /// Adds an upstream beside the agent `name`, whose address for upstreams
    /// is `agent`.
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
        let (serving, agent_name) = (self.clone(), name.to_owned());
        let address = serve("127.0.0.1:0", move |call| {
            serving.answer(&agent_name, call)
        })?;
        let upstream = UpstreamState {
            incarnation: Incarnation {
                id: format!("i-{name}"),
                born_ms: self.now_ms() + 1,
            },
            address: address.to_string(),
            service: "svc".to_owned(),
            failure_domain: "domain".to_owned(),
            capacity: Resources {
                cpu_milli: 32_000,
                memory_mib: 128_000,
                accelerators: 8,
            },
            labels: vec!["a".to_owned(), rack.to_owned()],
            rack: rack.to_owned(),
            sequence: 0,
            ..UpstreamState::default()
        };
        self.pool()
            .nodes
            .insert(name.to_owned(), Node::new(upstream));
        let (sending, name) = (self.clone(), name.to_owned());
        thread::Builder::new()
            .spawn(move || sending.send_heartbeats(&name, agent))?;
        Ok(())
    }

    fn send_heartbeats(&self, name: &str, agent: SocketAddr) {
        let client = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(Duration::from_millis(800)))
            .build()
            .new_agent();
        loop {
            let message = {
                let mut pool = self.pool();
                let Some(node) = pool.nodes.get_mut(name) else {
                    return;
                };
                node.upstream.sequence += 1;
                node.reachable.then(|| node.upstream.clone())
            };
            if let Some(upstream) = message {
                let id = &upstream.incarnation.id;
                let url = format!("http://{agent}/-/workers/{id}");
                let body = heartbeat_json(&upstream, self.now_ms());
                // The agent may be down. The next heartbeat follows anyway.
                let _ = client.put(&url).send(body.to_string());
            }
            thread::sleep(HEARTBEAT_INTERVAL);
        }
    }

    fn answer(&self, name: &str, call: &Call) -> Reply {
        let body: Value =
            serde_json::from_slice(&call.body).unwrap_or_default();
        if !self.pool().nodes.get(name).is_some_and(|n| n.reachable) {
            // Longer than an agent waits, so that it gets no answer.
            thread::sleep(Duration::from_secs(3));
            return Reply::status(500);
        }
        match call.path.as_str() {
            "/-/run-start" => self.start_run(name, &body),
            "/-/run-stop" => self.stop_run(name, &body),
            "/-/hold" => self.hold(name, &body),
            _ => Reply::status(404),
        }
    }

    fn start_run(&self, name: &str, body: &Value) -> Reply {
        let Some(start) = parse_start_order(body) else {
            return Reply::status(400);
        };
        let (mut pool, now) = self.pool_and_time();
        let Some(incarnation) =
            pool.nodes.get(name).map(|n| n.upstream.incarnation.clone())
        else {
            return Reply::status(503);
        };
        let clock_ms = now.saturating_sub(incarnation.born_ms);
        let reason = match pool.start(now, name, &incarnation, &start) {
            StartOutcome::Running { clock_ms } => {
                return json_reply(200, &json!({"clock_ms": clock_ms}));
            }
            StartOutcome::Refused(Refusal::Fenced) => "fence",
            StartOutcome::Refused(Refusal::StaleRun) => "old",
            StartOutcome::Refused(Refusal::DeadlinePassed) => "late",
            _ => "room",
        };
        json_reply(409, &json!({"clock_ms": clock_ms, "reason": reason}))
    }

    fn stop_run(&self, name: &str, body: &Value) -> Reply {
        let task = body["task"].as_str().and_then(TaskId::parse);
        let run = body["run"].as_u64().and_then(|r| u32::try_from(r).ok());
        let (Some(task), Some(run)) = (task, run) else {
            return Reply::status(400);
        };
        let token = body["fencing_token"].as_u64().unwrap_or(0);
        let (mut pool, now) = self.pool_and_time();
        pool.stop(now, name, task, run, token);
        let born =
            pool.nodes.get(name).map(|n| n.upstream.incarnation.born_ms);
        let clock_ms = now.saturating_sub(born.unwrap_or(0));
        json_reply(200, &json!({"clock_ms": clock_ms}))
    }

    fn incarnation(&self, name: &str) -> Option<Incarnation> {
        let pool = self.pool();
        let node = pool.nodes.get(name);
        node.map(|n| n.upstream.incarnation.clone())
    }

    fn hold(&self, name: &str, body: &Value) -> Reply {
        let number = |key: &str| body[key].as_u64();
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
        let start = Instant::now();
        let incarnation = self.incarnation(name);
        loop {
            if self.incarnation(name) != incarnation {
                // The incarnation that this call was made to has ended.
                return Reply::status(500);
            }
            let (mut pool, now) = self.pool_and_time();
            let snapshot = pool.hold(
                now,
                name,
                number("fencing_token").unwrap_or(0),
                number("ack_cursor").unwrap_or(0),
                number("deadline_ms"),
            );
            drop(pool);
            let Some(snapshot) = snapshot else {
                return json_reply(409, &json!({"reason": "fence"}));
            };
            if !snapshot.ended.is_empty() || start.elapsed() >= wait {
                return json_reply(200, &snapshot_json(&snapshot));
            }
            thread::sleep(HOLD_POLL_INTERVAL);
        }
    }
}

fn json_reply(status: u16, body: &Value) -> Reply {
    let mut reply = Reply::body(body.to_string().into_bytes());
    reply.status = status;
    reply
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

fn parse_start_order(body: &Value) -> Option<StartOrder> {
    Some(StartOrder {
        task: TaskId::parse(body["task"].as_str()?)?,
        run: u32::try_from(body["run"].as_u64()?).ok()?,
        payload: body["spec"].as_str()?.to_owned(),
        deadline_ms: body["deadline_ms"].as_u64()?,
        token: body["fencing_token"].as_u64()?,
        checkpoint: body["last_checkpoint"]
            .as_str()
            .unwrap_or_default()
            .to_owned(),
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
