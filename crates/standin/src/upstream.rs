//! A stand-in for an upstream: the example's tasks over HTTP. It announces
//! itself to the agent beside it.
//!
//! `GET /starts` is its own record of each start, `GET /agent` the agent
//! that fenced it last; `POST /fault?fail_all=1`
//! makes all tasks fail; `POST /announce?on=0` makes it fall silent towards
//! its agent, and `POST /leave` makes it leave properly.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use figrill_example::tasks::Tasks;
use figrill_state::{
    upstream::{StartTask, TaskState, Upstream, UpstreamError},
    worker::Capacity,
};
use serde_json::json;

use crate::web::{Call, Reply, serve};

/// Time between two announcements.
const ANNOUNCE_EVERY: Duration = Duration::from_millis(500);

/// What to serve, and for whom.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where to listen.
    pub listen: String,
    /// The agent's HTTP address.
    pub agent: String,
    /// What it offers.
    pub capacity: Capacity,
}

#[derive(Clone)]
struct Server {
    tasks: Tasks,
    announcing: Arc<AtomicBool>,
    options: Arc<Options>,
}

/// Serves an upstream.
///
/// # Errors
///
/// If the address can't be bound.
pub fn start(options: Options) -> io::Result<SocketAddr> {
    let listen = options.listen.clone();
    let server = Server {
        tasks: Tasks::new(),
        announcing: Arc::new(AtomicBool::new(true)),
        options: Arc::new(options),
    };
    let serving = server.clone();
    let address = serve(&listen, move |call| serving.answer(call))?;
    thread::Builder::new()
        .name("announce".to_owned())
        .spawn(move || server.announce(address))?;
    Ok(address)
}

impl Server {
    fn announce(&self, address: SocketAddr) {
        let body = json!({
            "url": format!("http://{address}"),
            "capacity": self.options.capacity,
        });
        let body = body.to_string();
        loop {
            if self.announcing.load(Ordering::Relaxed) {
                self.tell_agent("announce", &body);
            }
            thread::sleep(ANNOUNCE_EVERY);
        }
    }

    fn tell_agent(&self, what: &str, body: &str) {
        let url = format!("http://{}/v1/{what}", self.options.agent);
        let request = ureq::post(&url).config();
        let limit = Some(Duration::from_secs(2));
        let request = request.timeout_global(limit).build();
        // An agent that does not answer is told again soon.
        let _ = request.send(body);
    }

    fn answer(&self, call: &Call) -> Reply {
        let path: Vec<&str> = call.path.trim_matches('/').split('/').collect();
        match (call.method.as_str(), path.as_slice()) {
            ("GET", ["starts"]) => {
                let starts = self.tasks.starts();
                Reply::body(serde_json::to_vec(&starts).unwrap_or_default())
            }
            ("GET", ["agent"]) => {
                let agent = self.tasks.fencing_agent().unwrap_or(0);
                Reply::body(agent.to_string().into_bytes())
            }
            ("POST", ["fault"]) => {
                self.tasks.fail_all(call.number("fail_all") == Some(1));
                Reply::status(200)
            }
            ("POST", ["announce"]) => {
                let on = call.number("on") == Some(1);
                self.announcing.store(on, Ordering::Relaxed);
                Reply::status(200)
            }
            ("POST", ["leave"]) => {
                self.announcing.store(false, Ordering::Relaxed);
                self.tell_agent("leave", "");
                Reply::status(200)
            }
            ("POST", ["v1", "fence"]) => {
                let agent = call.number("agent").unwrap_or(0);
                done(&self.tasks.fence(agent))
            }
            ("PUT", ["v1", "tasks", name]) => self.start(call, name),
            ("GET", ["v1", "tasks", name]) => {
                let lease = ms(call, "lease_ms");
                state(self.tasks.wait(name, lease, ms(call, "wait_ms")))
            }
            ("POST", ["v1", "tasks", name, "checkpoint"]) => {
                match self.tasks.checkpoint(name, ms(call, "wait_ms")) {
                    Ok(Some(bytes)) => Reply::body(bytes),
                    Ok(None) => Reply::status(204),
                    Err(_) => Reply::status(500),
                }
            }
            ("POST", ["v1", "tasks", name, "throttle"]) => {
                done(&self.tasks.throttle(name))
            }
            ("POST", ["v1", "tasks", name, "stop"]) => {
                done(&self.tasks.stop(name))
            }
            ("GET", ["v1", "usage"]) => self.usage(),
            _ => Reply::status(404),
        }
    }

    fn start(&self, call: &Call, name: &str) -> Reply {
        let given = call.number("checkpoint_bytes");
        let given = given.and_then(|n| usize::try_from(n).ok());
        let split = given.unwrap_or(0);
        let Some((checkpoint, input)) = call.body.split_at_checked(split)
        else {
            return Reply::status(400);
        };
        let task = StartTask {
            name,
            agent: call.number("agent").unwrap_or(0),
            lease: ms(call, "lease_ms"),
            input,
            checkpoint: given.map(|_| checkpoint),
        };
        state(self.tasks.start(&task, ms(call, "wait_ms")))
    }

    fn usage(&self) -> Reply {
        let Ok(usage) = self.tasks.usage() else {
            return Reply::status(500);
        };
        let body = json!({
            "tasks": usage.tasks,
            "memory_mib": usage.memory_mib,
        });
        Reply::body(body.to_string().into_bytes())
    }
}

fn ms(call: &Call, name: &str) -> Duration {
    Duration::from_millis(call.number(name).unwrap_or(0))
}

fn done(result: &Result<(), UpstreamError>) -> Reply {
    Reply::status(if result.is_ok() { 200 } else { 500 })
}

fn state(result: Result<TaskState, UpstreamError>) -> Reply {
    let Ok(state) = result else {
        return Reply::status(500);
    };
    let (name, body) = match state {
        TaskState::Running => ("running", Vec::new()),
        TaskState::Answered(bytes) => ("answered", bytes),
        TaskState::Failed(why) => ("failed", why.into_bytes()),
        TaskState::Stopped => ("stopped", Vec::new()),
        TaskState::Unknown => ("unheard", Vec::new()),
    };
    Reply::body(body).header("x-state", name)
}
