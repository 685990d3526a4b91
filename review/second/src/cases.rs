//! The cases.

use serde_json::{Value, json};

use crate::{Verdict, deployment::CaseError, record::Record};

mod blocked;
mod moved;
mod reborn;
mod steps;
mod timed;

/// Runs the case with a name.
pub fn run(
    name: &str,
    trouble: bool,
    record: &Record,
) -> Result<Verdict, CaseError> {
    match name {
        "blocked" => blocked::run(trouble, record),
        "moved" => moved::run(trouble, record),
        "reborn" => reborn::run(trouble, record),
        "steps" => steps::run(trouble, record),
        "timed" => timed::run(trouble, record),
        other => Err(format!("there is no case {other:?}").into()),
    }
}

/// Returns a manifest with two queues of the service `svc`: `q`, and `low`
/// of a lower priority.
fn manifest() -> Value {
    json!({
        "version": 1,
        "routes": [
            route("q", "svc", 1),
            route("low", "svc", 2),
        ],
        "services": [{"name": "svc"}],
        "limits": limits(),
        "tenants": tenants(),
    })
}

/// Returns a queue that is reached by a prefix of its name.
fn route(name: &str, service: &str, priority: u32) -> Value {
    json!({
        "name": name,
        "host": "jobs.example",
        "prefix": format!("/{name}/"),
        "service": service,
        "priority": priority,
        "attempts": 2,
        "stretch": 3.0,
        "target_duration_ms": 1000,
    })
}

/// Returns the limits that the platform's manifests have.
fn limits() -> Value {
    json!({
        "max_header_bytes": 16384,
        "max_body_bytes": 262_144,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    })
}

fn tenants() -> Value {
    json!([{
        "name": "a",
        "api_keys": ["key-of-a"],
        "guaranteed": {"gpu": 8},
    }])
}

/// The subtasks of a step that all work for the same time.
#[derive(Clone, Copy, Debug, Default)]
struct Tasks {
    count: u64,
    accelerators: u64,
    /// The processor time that each needs, in thousandths of a core.
    cpu_milli: u64,
    duration_ms: u64,
    gang: bool,
}

/// Returns a job of one step, with further fields of that step.
fn job(tasks: Tasks, fields: &Value) -> Value {
    let Tasks {
        count,
        accelerators,
        cpu_milli,
        duration_ms,
        gang,
    } = tasks;
    let members = if gang { count } else { 0 };
    let mut step = json!({
        "count": count,
        "cpu": cpu_milli,
        "mem_mb": 100,
        "gpu": accelerators,
        "estimate_ms": duration_ms,
        "gang": gang,
    });
    for (name, value) in fields.as_object().into_iter().flatten() {
        step[name] = value.clone();
    }
    let spec = format!(
        "ms={duration_ms} cpu={cpu_milli} mem=100 gpu={accelerators} \
         gang={members}"
    );
    json!({"spec": spec, "steps": [step]})
}
