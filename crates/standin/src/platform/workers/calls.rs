//! The answers of an upstream to the calls of its agent.

use std::{
    sync::MutexGuard,
    thread,
    time::{Duration, Instant},
};

use figrill_example::pool::Pool;
use figrill_state::{
    batch::{Incarnation, TaskId},
    runner::{Hold, Refusal, Snapshot, StartOrder, StartOutcome},
};
use serde_json::{Value, json};

use super::Workers;
use crate::web::{Call, Reply};

/// The interval at which a waiting hold call checks for ended runs.
const HOLD_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The time after which an upstream that can't be reached closes a call. It
/// is longer than an agent waits, so that the agent gets no answer.
const UNREACHABLE_DELAY: Duration = Duration::from_secs(3);

impl Workers {
    /// Answers a call to the upstream beside the agent `name`.
    pub(super) fn answer(&self, name: &str, call: &Call) -> Reply {
        let body: Value =
            serde_json::from_slice(&call.body).unwrap_or_default();
        if self.hold_up(name, call, &body) {
            return no_answer();
        }
        let Some(called) = self.reachable_incarnation(name) else {
            return no_answer();
        };
        let expected = call.expected_instance.as_ref();
        if expected.is_some_and(|id| *id != called.id) {
            let clock_ms = self.now_ms().saturating_sub(called.born_ms);
            return json_reply(421, &json!({"clock_ms": clock_ms}));
        }
        let reply = match call.path.as_str() {
            "/-/run-start" => self.start_run(name, &called, &body),
            "/-/run-stop" => self.stop_run(name, &called, &body),
            "/-/hold" => self.hold(name, &called, &body),
            _ => Reply::status(404),
        };
        if self.reachable_incarnation(name).is_none() {
            // It was cut off or has ended before it answered.
            return no_answer();
        }
        reply
    }

    fn reachable_incarnation(&self, name: &str) -> Option<Incarnation> {
        let pool = self.pool();
        let node = pool.nodes.get(name).filter(|n| n.reachable);
        node.map(|n| n.upstream.incarnation.clone())
    }

    /// Locks the model if the incarnation that was called is still the present
    /// one. A call ends without an effect if its incarnation ends before.
    fn pool_of(
        &self,
        name: &str,
        called: &Incarnation,
    ) -> Option<(MutexGuard<'_, Pool>, u64)> {
        let (pool, now) = self.pool_and_time();
        let present = pool.nodes.get(name).map(|n| &n.upstream.incarnation);
        (present == Some(called)).then_some((pool, now))
    }

    fn start_run(
        &self,
        name: &str,
        called: &Incarnation,
        body: &Value,
    ) -> Reply {
        let Some(start) = parse_start_order(body) else {
            return Reply::status(400);
        };
        let Some((mut pool, now)) = self.pool_of(name, called) else {
            return Reply::status(500);
        };
        let clock_ms = now.saturating_sub(called.born_ms);
        let reason = match pool.start(now, name, called, &start) {
            StartOutcome::Running { clock_ms } => {
                return json_reply(200, &json!({"clock_ms": clock_ms}));
            }
            StartOutcome::Refused(Refusal::Unhealthy) => {
                return json_reply(503, &json!({"clock_ms": clock_ms}));
            }
            StartOutcome::Refused(Refusal::Fenced) => "fence",
            StartOutcome::Refused(Refusal::StaleRun) => "old",
            StartOutcome::Refused(Refusal::DeadlinePassed) => "late",
            _ => "room",
        };
        json_reply(409, &json!({"clock_ms": clock_ms, "reason": reason}))
    }

    fn stop_run(
        &self,
        name: &str,
        called: &Incarnation,
        body: &Value,
    ) -> Reply {
        let Some((task, run, token)) = parse_stop_order(body) else {
            return Reply::status(400);
        };
        let Some((mut pool, now)) = self.pool_of(name, called) else {
            return Reply::status(500);
        };
        pool.stop(now, name, task, run, token);
        let clock_ms = now.saturating_sub(called.born_ms);
        json_reply(200, &json!({"clock_ms": clock_ms}))
    }

    fn hold(&self, name: &str, called: &Incarnation, body: &Value) -> Reply {
        let hold = parse_hold_order(body);
        let start = Instant::now();
        loop {
            let Some((mut pool, now)) = self.pool_of(name, called) else {
                return Reply::status(500);
            };
            let snapshot = pool.hold(
                now,
                name,
                hold.token,
                hold.acknowledged,
                hold.deadline_ms,
            );
            drop(pool);
            let Some(snapshot) = snapshot else {
                return json_reply(409, &json!({"reason": "fence"}));
            };
            if !snapshot.ended.is_empty() || start.elapsed() >= hold.wait {
                return json_reply(200, &snapshot_json(&snapshot));
            }
            thread::sleep(HOLD_POLL_INTERVAL);
        }
    }
}

/// Leaves a call unanswered until its caller has given up.
fn no_answer() -> Reply {
    thread::sleep(UNREACHABLE_DELAY);
    Reply::status(500)
}

fn json_reply(status: u16, body: &Value) -> Reply {
    let mut reply = Reply::body(body.to_string().into_bytes());
    reply.status = status;
    reply
}

pub(super) fn parse_start_order(body: &Value) -> Option<StartOrder> {
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

/// Returns the task, the run and the fencing token of a stop.
pub(super) fn parse_stop_order(body: &Value) -> Option<(TaskId, u32, u64)> {
    let task = TaskId::parse(body["task"].as_str()?)?;
    let run = u32::try_from(body["run"].as_u64()?).ok()?;
    Some((task, run, body["fencing_token"].as_u64().unwrap_or(0)))
}

pub(super) fn parse_hold_order(body: &Value) -> Hold {
    let number = |key: &str| body[key].as_u64();
    Hold {
        token: number("fencing_token").unwrap_or(0),
        acknowledged: number("ack_cursor").unwrap_or(0),
        deadline_ms: number("deadline_ms"),
        wait: Duration::from_millis(number("wait_ms").unwrap_or(0)),
    }
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
