//! The `dev` command: runs an entry and agents in one process, with an
//! in-memory store and example upstreams, and one job on them.

use std::{
    fmt::Write,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use figrill_example::{
    rounds::{self, Place, Plan, Round},
    tasks::Tasks,
};
use figrill_node::{
    agent::{AgentProcess, UpstreamSource},
    config::Config,
    entry::EntryProcess,
};
use figrill_state::{
    boot::BootSettings,
    clock::{Clock, SystemClock},
    digest,
    kv::{Kv, memory::MemoryKv},
    ledger::{self, SettingsChange},
    request::Submit,
    worker::{Capacity, Place as WorkerPlace},
};
use figrill_transport::auth::Secret;
use serde_json::Value;

use crate::{
    args::Remote,
    client::{Answer, Client},
    exit::{CommandError, Exit},
    logging,
};

use super::{job::print_answer, read_file};

/// The capacity of each worker.
const WORKER_CAPACITY: Capacity = Capacity {
    accelerators: 8,
    slots: 8,
    memory_mib: 131_072,
};

/// The maximum time until the coordinator knows all workers.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// The time after which the job's outcome is no longer polled, and the maximum
/// wait of each call for it.
const JOB_TIMEOUT: Duration = Duration::from_mins(5);

/// The period at which the entry's status is polled until all workers are
/// ready.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(20);

fn failed(e: impl std::fmt::Display) -> CommandError {
    CommandError::Failed(e.to_string())
}

/// Starts the processes, runs the job in `file` on them and drains them.
///
/// # Errors
///
/// Returns any [`CommandError`].
pub fn run(
    file: &str,
    workers: u32,
    json: bool,
    log_level: &str,
) -> Result<Exit, CommandError> {
    logging::start(log_level, logging::LogStream::Stderr)?;
    let text = read_file(file)?;
    let submit = Submit::parse(&text)
        .map_err(|e| CommandError::Usage(format!("{file}: {e}")))?;
    let token = format!("{:032x}", rand::random::<u128>());
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::new());
    let store = Arc::new(MemoryKv::new(clock.clone()));
    put_settings(store.as_ref(), &submit, &token)?;
    let secret = format!("{:032x}", rand::random::<u128>());
    let Some(secret) = Secret::parse(&secret) else {
        return Err(failed(
            "cannot create the secret that the processes share",
        ));
    };
    let config = |name: &str, place: Option<WorkerPlace>| Config {
        boot: BootSettings {
            name: name.to_owned(),
            peer: "127.0.0.1:0".to_owned(),
            http: "127.0.0.1:0".to_owned(),
            cell: "main".to_owned(),
            place,
            ..BootSettings::default()
        },
        secret: secret.clone(),
        store: store.clone(),
        clock: clock.clone(),
    };
    let entry =
        EntryProcess::start(config("entry-1", None)).map_err(failed)?;
    let mut agents = Vec::new();
    for i in 0..workers {
        let place = WorkerPlace {
            failure_domain: format!("domain-{}", i % 3 + 1),
            rack: format!("rack-{}", i % 3 + 1),
        };
        let name = format!("worker-{}", i + 1);
        let source =
            UpstreamSource::InProcess(Arc::new(Tasks::new()), WORKER_CAPACITY);
        let agent = AgentProcess::start(&config(&name, Some(place)), source);
        agents.push(agent.map_err(failed)?);
    }
    let remote = Remote {
        entry: format!("http://{}", entry.http),
        token: Some(token),
    };
    let client = Client::new(&remote);
    wait_for_workers(&client, workers)?;
    let answer = run_job(&client, &text)?;
    let result = print_result(&submit, &answer, json);
    for agent in &agents {
        agent.drain();
    }
    entry.drain();
    for agent in agents {
        agent.join();
    }
    entry.join();
    result
}

/// Writes settings that define the job's workspace and an operator's token.
fn put_settings(
    kv: &dyn Kv,
    submit: &Submit,
    token: &str,
) -> Result<(), CommandError> {
    let mut text = String::new();
    let digest = digest::of_bytes(token.as_bytes());
    let _ = writeln!(text, "[workspace/{}]", submit.workspace);
    let _ = writeln!(text, "[token/dev]\ndigest = {digest}");
    let _ = writeln!(text, "role = operator");
    let change = SettingsChange {
        base: 0,
        text: &text,
        id: "dev",
        by: "dev",
        at_s: 0,
    };
    ledger::apply_settings(kv, &change)
        .map_err(failed)
        .map(|_| ())
}

/// Waits until the coordinator knows all workers.
fn wait_for_workers(
    client: &Client,
    workers: u32,
) -> Result<(), CommandError> {
    let start = Instant::now();
    while start.elapsed() < READY_TIMEOUT {
        if let Ok(status) = client.get::<Value>("/v1/status")
            && status["cell"]["workers"] == workers
        {
            return Ok(());
        }
        thread::sleep(STATUS_POLL_INTERVAL);
    }
    Err(failed(
        "timed out waiting for the coordinator to know all workers",
    ))
}

/// Submits the job and polls for its outcome.
fn run_job(client: &Client, text: &str) -> Result<Answer, CommandError> {
    let start = Instant::now();
    let mut answer =
        client.call("POST", "/v1/jobs", Some(text), JOB_TIMEOUT)?;
    while answer.status == 202 && start.elapsed() < JOB_TIMEOUT {
        let location = answer.location.clone().unwrap_or_default();
        let path = format!("{location}?wait_s=10");
        answer = client.call("GET", &path, None, JOB_TIMEOUT)?;
    }
    Ok(answer)
}

/// Prints the outcome of the job, after verifying the answer of a successful
/// one.
fn print_result(
    submit: &Submit,
    answer: &Answer,
    json: bool,
) -> Result<Exit, CommandError> {
    let body: Value = serde_json::from_str(&answer.body).unwrap_or_default();
    if body["outcome"] != "done" {
        outln!("{}", answer.error_message());
        return Ok(Exit::Failed);
    }
    let summary = verify_answer(submit, &answer.body)?;
    if json {
        outln!("{}", answer.body);
    } else {
        print_answer(&body);
        outln!("{summary}");
    }
    Ok(Exit::Done)
}

/// An answer whose parts are kept as the exact bytes received, which the
/// digest is computed from.
#[derive(serde::Deserialize)]
struct RawAnswer {
    digest: String,
    parts: Vec<Box<serde_json::value::RawValue>>,
}

/// Verifies the answer's digest and number of parts, and that each plan of a
/// round visits every place once and states its correct length. Parts whose
/// inputs are not rounds are not examined further. Returns a summary.
fn verify_answer(submit: &Submit, body: &str) -> Result<String, CommandError> {
    let answer: RawAnswer = serde_json::from_str(body).map_err(failed)?;
    let ranked = (0..).zip(answer.parts.iter());
    let digest = digest::of_parts(
        ranked.map(|(rank, part)| (rank, part.get().as_bytes())),
    );
    if answer.digest != format!("sha256:{digest}") {
        return Err(failed("the answer does not match its digest"));
    }
    if answer.parts.len() != submit.inputs.len() {
        return Err(failed("the answer does not have one part per input"));
    }
    let mut rounds = 0;
    for (input, part) in submit.inputs.iter().zip(&answer.parts) {
        let Ok(round) = serde_json::from_str::<Round>(input.get()) else {
            continue;
        };
        let plan: Plan = serde_json::from_str(part.get()).map_err(failed)?;
        verify_round(&round, &plan)?;
        rounds += 1;
    }
    Ok(format!("checked: whole answer, digest, {rounds} rounds"))
}

/// Verifies that the plan visits every place of the round once and that its
/// stated length is correct.
fn verify_round(round: &Round, plan: &Plan) -> Result<(), CommandError> {
    let invalid =
        |problem: &str| failed(format!("round {}: {problem}", round.crew));
    let mut visited: Vec<&Place> = Vec::new();
    for name in &plan.order {
        let place = round.stops.iter().find(|p| p.name == *name);
        let place =
            place.ok_or_else(|| invalid("an unknown place is visited"))?;
        if visited.iter().any(|p| p.name == place.name) {
            return Err(invalid("a place is visited twice"));
        }
        visited.push(place);
    }
    if visited.len() != round.stops.len() || plan.crew != round.crew {
        return Err(invalid("not all places are visited"));
    }
    let metres = rounds::length(&round.depot, &visited).round();
    // Distances on earth are positive and far below the limit of the type.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let length_m = metres as u64;
    if length_m != plan.length_m {
        return Err(invalid("the stated length is wrong"));
    }
    Ok(())
}
