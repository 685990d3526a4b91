//! What the path adds to a call of the upstream, how many jobs one entry
//! carries, and what an idle site costs.

use std::{
    thread,
    time::{Duration, Instant},
};

use figrill_standin::{
    caller::{Answer, Caller, echo_job},
    site::{OPERATOR_TOKEN, Plan, Site},
};
use serde_json::{Value, json};

use crate::{report::Table, scale, stats::quantile};

/// Calls of each kind.
const CALLS: usize = 2000;

/// Calls of one kind in a row, before it is the other's turn.
const BLOCK: usize = 100;

/// Callers at once when the rate is measured.
const CALLERS: usize = 16;

/// How long the rate is measured.
const RATE_FOR: Duration = Duration::from_secs(5);

/// How long an idle site is watched.
const IDLE_FOR: Duration = Duration::from_secs(10);

/// Runs the bench.
pub fn run() -> Result<Table, String> {
    let programs = scale::build()?;
    let mut plan = Plan::new(programs.figrill, programs.standin);
    "off".clone_into(&mut plan.log_level);
    let site = Site::start(&plan).map_err(|e| e.to_string())?;
    let mut table =
        Table::new("path", &["measure", "value", "unit", "target"]);
    latency(&site, &mut table)?;
    rate(&site, &mut table);
    idle(&site, &mut table);
    Ok(table)
}

fn row(table: &mut Table, name: &str, value: f64, unit: &str, target: &str) {
    table.row([json!(name), json!(value), json!(unit), json!(target)]);
}

/// Milliseconds that a call took whose answer must hold `wanted`.
fn timed(wanted: &str, call: impl FnOnce() -> Answer) -> Result<f64, String> {
    let start = Instant::now();
    let answer = call();
    let ms = start.elapsed().as_secs_f64() * 1000.0;
    if answer.text.contains(wanted) {
        return Ok(ms);
    }
    Err(format!(
        "a call went wrong: {} {}",
        answer.status, answer.text
    ))
}

fn direct(caller: &Caller, http: &str, agent: u64, i: usize) -> Answer {
    let url = format!(
        "http://{http}/v1/tasks/direct-{i}?agent={agent}&lease_ms=3000\
         &wait_ms=1000"
    );
    let body = "{\"sleep_ms\":0,\"echo\":{\"p\":\"x\",\"rank\":0}}";
    caller.call("PUT", &url, body)
}

fn latency(site: &Site, table: &mut Table) -> Result<(), String> {
    let caller = Caller::new(OPERATOR_TOKEN);
    let entry = &site.entries[0].http;
    let upstream = &site.upstreams[0].http;
    let job = echo_job("a", 1, 0, "x");
    // The direct calls name the agent that fenced the upstream.
    let agent = site
        .operator
        .get(upstream, "/agent")
        .body
        .as_u64()
        .unwrap_or(0);
    let (mut plain, mut whole) = (Vec::new(), Vec::new());
    for block in 0..CALLS / BLOCK {
        for i in 0..BLOCK {
            let name = block * BLOCK + i;
            let call = || direct(&caller, upstream, agent, name);
            plain.push(timed("rank", call)?);
        }
        for _ in 0..BLOCK {
            let call = || caller.submit(entry, &job);
            whole.push(timed("\"done\"", call)?);
        }
    }
    let (plain_50, plain_99) =
        (quantile(&mut plain, 50.0), quantile(&mut plain, 99.0));
    let (whole_50, whole_99) =
        (quantile(&mut whole, 50.0), quantile(&mut whole, 99.0));
    row(
        table,
        "upstream called directly, median",
        plain_50,
        "ms",
        "",
    );
    row(table, "upstream called directly, p99", plain_99, "ms", "");
    row(table, "through figrill, median", whole_50, "ms", "");
    row(table, "through figrill, p99", whole_99, "ms", "");
    let added = whole_50 - plain_50;
    row(table, "added at the median", added, "ms", "under 2");
    row(table, "added at p99", whole_99 - plain_99, "ms", "");
    row(table, "ratio of medians", whole_50 / plain_50, "", "");
    Ok(())
}

fn rate(site: &Site, table: &mut Table) {
    let entry = site.entries[0].http.clone();
    let job = echo_job("a", 1, 0, "x");
    let start = Instant::now();
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            let (entry, job) = (entry.clone(), job.clone());
            thread::spawn(move || count_jobs(&entry, &job, start))
        })
        .collect();
    let done: usize = callers.into_iter().filter_map(|c| c.join().ok()).sum();
    // The count is far below the limit of the type.
    #[allow(clippy::cast_precision_loss)]
    let a_second = done as f64 / start.elapsed().as_secs_f64();
    row(
        table,
        "jobs through one entry, 16 callers",
        a_second,
        "/s",
        "",
    );
}

fn count_jobs(entry: &str, job: &Value, start: Instant) -> usize {
    let caller = Caller::new(OPERATOR_TOKEN);
    let mut done = 0;
    while start.elapsed() < RATE_FOR {
        let answer = caller.submit(entry, job);
        done += usize::from(answer.outcome() == "done");
    }
    done
}

fn idle(site: &Site, table: &mut Table) {
    // What the load left behind is over by then.
    thread::sleep(Duration::from_secs(2));
    let nodes = [("entry", &site.entries[0]), ("agent", &site.agents[0])];
    let before: Vec<_> = nodes
        .iter()
        .map(|(_, node)| {
            let bytes = scale::peer_bytes(&site.operator, &node.http);
            (scale::used(node.process.id()), bytes)
        })
        .collect();
    thread::sleep(IDLE_FOR);
    for ((name, node), (used, bytes)) in nodes.iter().zip(before) {
        let now = scale::used(node.process.id());
        let sent = scale::peer_bytes(&site.operator, &node.http) - bytes;
        let seconds = IDLE_FOR.as_secs_f64();
        let cpu = now.cpu.saturating_sub(used.cpu).as_secs_f64();
        let percent = cpu / seconds * 100.0;
        let named = |what: &str| format!("idle {name}, {what}");
        let memory = now.resident_mib;
        row(table, &named("memory"), memory, "MiB", "64");
        row(table, &named("processor"), percent, "% of a core", "4");
        let sent = sent / seconds;
        row(table, &named("bytes sent to peers"), sent, "B/s", "3000");
    }
}
