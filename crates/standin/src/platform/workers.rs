//! The platform's upstreams: a model of each behind its own HTTP address,
//! and heartbeats to the agent beside it.

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
    runner::{Refusal, Snapshot, StartOrder, StartOutcome, Upstream},
};
use serde_json::{Value, json};

use crate::web::{Call, Reply, serve};

/// Time between two steps of the model.
const STEP: Duration = Duration::from_millis(10);

/// Time between two heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(300);

/// How often a waiting hold looks for an end.
const LOOK: Duration = Duration::from_millis(5);

struct Shared {
    pool: Mutex<Pool>,
    start: Instant,
}

/// All upstreams of a site.
#[derive(Clone)]
pub struct Workers {
    shared: Arc<Shared>,
}

impl Workers {
    /// Starts the model's clock.
    ///
    /// # Errors
    ///
    /// If there is no thread for it.
    pub fn start() -> io::Result<Self> {
        let workers = Self {
            shared: Arc::new(Shared {
                pool: Mutex::default(),
                start: Instant::now(),
            }),
        };
        let moved = workers.clone();
        thread::Builder::new().spawn(move || {
            let mut last = moved.now_ms();
            loop {
                thread::sleep(STEP);
                let now = moved.now_ms();
                moved.pool().advance(now, now - last);
                last = now;
            }
        })?;
        Ok(workers)
    }

    /// The model; it stands still while this is held.
    pub fn pool(&self) -> MutexGuard<'_, Pool> {
        let pool = self.shared.pool.lock();
        pool.unwrap_or_else(PoisonError::into_inner)
    }

    /// The model's time.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        let ms = self.shared.start.elapsed().as_millis();
        u64::try_from(ms).unwrap_or(u64::MAX)
    }

    /// Adds an upstream beside the agent `name`, which listens at `agent`.
    ///
    /// # Errors
    ///
    /// If it can't listen.
    pub fn add(
        &self,
        name: &str,
        rack: &str,
        agent: SocketAddr,
    ) -> io::Result<()> {
        let (served, of) = (self.clone(), name.to_owned());
        let address =
            serve("127.0.0.1:0", move |call| served.answer(&of, call))?;
        let upstream = Upstream {
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
            ..Upstream::default()
        };
        self.pool()
            .nodes
            .insert(name.to_owned(), Node::new(upstream));
        let (beating, name) = (self.clone(), name.to_owned());
        thread::Builder::new().spawn(move || beating.beat(&name, agent))?;
        Ok(())
    }

    fn beat(&self, name: &str, agent: SocketAddr) {
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
                let body = heartbeat(&upstream, self.now_ms());
                // The agent may be down; the next heartbeat follows.
                let _ = client.put(&url).send(body.to_string());
            }
            thread::sleep(HEARTBEAT);
        }
    }

    fn answer(&self, name: &str, call: &Call) -> Reply {
        let body: Value =
            serde_json::from_slice(&call.body).unwrap_or_default();
        if !self.pool().nodes.get(name).is_some_and(|n| n.reachable) {
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
        let Some(start) = order(body) else {
            return Reply::status(400);
        };
        let now = self.now_ms();
        let mut pool = self.pool();
        let Some(life) =
            pool.nodes.get(name).map(|n| n.upstream.incarnation.clone())
        else {
            return Reply::status(503);
        };
        let clock_ms = now.saturating_sub(life.born_ms);
        let reason = match pool.start(now, name, &life, &start) {
            StartOutcome::Running { clock_ms } => {
                return reply(200, &json!({"clock_ms": clock_ms}));
            }
            StartOutcome::Refused(Refusal::Fenced) => "fence",
            StartOutcome::Refused(Refusal::StaleRun) => "old",
            StartOutcome::Refused(Refusal::DeadlinePassed) => "late",
            _ => "room",
        };
        reply(409, &json!({"clock_ms": clock_ms, "reason": reason}))
    }

    fn stop_run(&self, name: &str, body: &Value) -> Reply {
        let task = body["task"].as_str().and_then(TaskId::parse);
        let run = body["run"].as_u64().and_then(|r| u32::try_from(r).ok());
        let (Some(task), Some(run)) = (task, run) else {
            return Reply::status(400);
        };
        let token = body["fencing_token"].as_u64().unwrap_or(0);
        let now = self.now_ms();
        let mut pool = self.pool();
        pool.stop(now, name, task, run, token);
        let born =
            pool.nodes.get(name).map(|n| n.upstream.incarnation.born_ms);
        let clock_ms = now.saturating_sub(born.unwrap_or(0));
        reply(200, &json!({"clock_ms": clock_ms}))
    }

    fn life(&self, name: &str) -> Option<Incarnation> {
        let pool = self.pool();
        let node = pool.nodes.get(name);
        node.map(|n| n.upstream.incarnation.clone())
    }

    fn hold(&self, name: &str, body: &Value) -> Reply {
        let number = |key: &str| body[key].as_u64();
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
        let begun = Instant::now();
        let life = self.life(name);
        loop {
            if self.life(name) != life {
                // The life that this call waited at has ended.
                return Reply::status(500);
            }
            let now = self.now_ms();
            let snapshot = self.pool().hold(
                now,
                name,
                number("fencing_token").unwrap_or(0),
                number("ack_cursor").unwrap_or(0),
                number("deadline_ms"),
            );
            let Some(snapshot) = snapshot else {
                return reply(409, &json!({"reason": "fence"}));
            };
            if !snapshot.ended.is_empty() || begun.elapsed() >= wait {
                return reply(200, &listing(&snapshot));
            }
            thread::sleep(LOOK);
        }
    }
}

fn reply(status: u16, body: &Value) -> Reply {
    let mut reply = Reply::body(body.to_string().into_bytes());
    reply.status = status;
    reply
}

fn heartbeat(upstream: &Upstream, now_ms: u64) -> Value {
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

fn order(body: &Value) -> Option<StartOrder> {
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

fn listing(snapshot: &Snapshot) -> Value {
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
