//! A test double of an upstream, which serves the tasks of the example over
//! HTTP and announces itself to the agent beside it.
//!
//! Tests control and inspect it through these paths:
//!
//! - `GET /starts` returns the name of every task that it started.
//! - `GET /agent` returns the agent that fenced it last.
//! - `POST /fault?fail_all=1` makes all tasks fail; `fail_all=0` ends this.
//! - `POST /announce?on=0` stops the announcements to its agent; `on=1`
//!   resumes them.
//! - `POST /leave` deregisters it from its agent and stops the announcements.

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

/// The interval between two announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// The options of an upstream.
#[derive(Clone, Debug)]
pub struct Options {
    /// The address to listen on.
    pub listen: String,
    /// The HTTP address of the agent.
    pub agent: String,
    /// The capacity that the upstream announces.
    pub capacity: Capacity,
}

#[derive(Clone)]
struct Server {
    tasks: Tasks,
    announcing: Arc<AtomicBool>,
    options: Arc<Options>,
}

/// Starts an upstream and returns the address that it listens on.
///
/// # Errors
///
/// Returns an error if the address cannot be bound or the announcing thread
/// cannot be started.
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
                self.post_to_agent("announce", &body);
            }
            thread::sleep(ANNOUNCE_INTERVAL);
        }
    }

    fn post_to_agent(&self, endpoint: &str, body: &str) {
        let url = format!("http://{}/v1/{endpoint}", self.options.agent);
        let request = ureq::post(&url).config();
        let limit = Some(Duration::from_secs(2));
        let request = request.timeout_global(limit).build();
        // A lost announcement is repeated after the next interval. If a
        // deregistration is lost, the agent still notices that the
        // announcements have stopped.
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
                self.tasks
                    .fail_all(call.query_number("fail_all") == Some(1));
                Reply::status(200)
            }
            ("POST", ["announce"]) => {
                let on = call.query_number("on") == Some(1);
                self.announcing.store(on, Ordering::Relaxed);
                Reply::status(200)
            }
            ("POST", ["leave"]) => {
                self.announcing.store(false, Ordering::Relaxed);
                self.post_to_agent("leave", "");
                Reply::status(200)
            }
            ("POST", ["v1", "fence"]) => {
                let agent = call.query_number("agent").unwrap_or(0);
                result_reply(&self.tasks.fence(agent))
            }
            ("PUT", ["v1", "tasks", name]) => self.start(call, name),
            ("GET", ["v1", "tasks", name]) => {
                let lease = duration_param(call, "lease_ms");
                state_reply(self.tasks.wait(
                    name,
                    lease,
                    duration_param(call, "wait_ms"),
                ))
            }
            ("POST", ["v1", "tasks", name, "checkpoint"]) => {
                match self
                    .tasks
                    .checkpoint(name, duration_param(call, "wait_ms"))
                {
                    Ok(Some(bytes)) => Reply::body(bytes),
                    Ok(None) => Reply::status(204),
                    Err(_) => Reply::status(500),
                }
            }
            ("POST", ["v1", "tasks", name, "throttle"]) => {
                result_reply(&self.tasks.throttle(name))
            }
            ("POST", ["v1", "tasks", name, "stop"]) => {
                result_reply(&self.tasks.stop(name))
            }
            ("GET", ["v1", "usage"]) => self.usage(),
            _ => Reply::status(404),
        }
    }

    fn start(&self, call: &Call, name: &str) -> Reply {
        let checkpoint_bytes = call.query_number("checkpoint_bytes");
        let checkpoint_bytes =
            checkpoint_bytes.and_then(|n| usize::try_from(n).ok());
        let split = checkpoint_bytes.unwrap_or(0);
        let Some((checkpoint, input)) = call.body.split_at_checked(split)
        else {
            return Reply::status(400);
        };
        let task = StartTask {
            name,
            agent: call.query_number("agent").unwrap_or(0),
            lease: duration_param(call, "lease_ms"),
            input,
            checkpoint: checkpoint_bytes.map(|_| checkpoint),
        };
        state_reply(self.tasks.start(&task, duration_param(call, "wait_ms")))
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

fn duration_param(call: &Call, name: &str) -> Duration {
    Duration::from_millis(call.query_number(name).unwrap_or(0))
}

fn result_reply(result: &Result<(), UpstreamError>) -> Reply {
    Reply::status(if result.is_ok() { 200 } else { 500 })
}

fn state_reply(result: Result<TaskState, UpstreamError>) -> Reply {
    let Ok(state) = result else {
        return Reply::status(500);
    };
    let (name, body) = match state {
        TaskState::Running => ("running", Vec::new()),
        TaskState::Answered(bytes) => ("answered", bytes),
        TaskState::Failed(reason) => ("failed", reason.into_bytes()),
        TaskState::Stopped => ("stopped", Vec::new()),
        TaskState::Unknown => ("unheard", Vec::new()),
    };
    Reply::body(body).header("x-state", name)
}
