//! Measures the latency that figrill adds to a call of the upstream, the
//! number of jobs per second through one entry, and the resources that an
//! idle site uses.

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

/// The number of timed calls each way: directly to the upstream and through
/// figrill.
const CALLS_PER_WAY: usize = 2000;

/// The number of calls made in a row one way before the other way is timed.
/// Both ways alternate, so that a drift of the machine's speed affects both.
const CALLS_PER_BLOCK: usize = 100;

/// The number of concurrent callers in the throughput measurement.
const CONCURRENT_CALLERS: usize = 16;

/// How long throughput is measured.
const THROUGHPUT_DURATION: Duration = Duration::from_secs(5);

/// How long the resource usage of an idle site is measured.
const IDLE_DURATION: Duration = Duration::from_secs(10);

/// Runs the benchmark.
///
/// # Errors
///
/// Returns an error if the programs can't be built or started, or if a timed
/// call fails.
pub fn run() -> Result<Table, String> {
    let programs = scale::build_programs()?;
    let mut plan = Plan::new(programs.figrill, programs.standin);
    "off".clone_into(&mut plan.log_level);
    let site = Site::start(&plan).map_err(|e| e.to_string())?;
    let mut table =
        Table::new("path", &["measure", "value", "unit", "target"]);
    measure_latency(&site, &mut table)?;
    measure_throughput(&site, &mut table);
    measure_idle(&site, &mut table);
    Ok(table)
}

fn push_row(
    table: &mut Table,
    name: &str,
    value: f64,
    unit: &str,
    target: &str,
) {
    table.push_row([json!(name), json!(value), json!(unit), json!(target)]);
}

/// Returns the duration of a call in milliseconds, or an error if its answer
/// does not contain `expected`.
fn time_call(
    expected: &str,
    call: impl FnOnce() -> Answer,
) -> Result<f64, String> {
    let start = Instant::now();
    let answer = call();
    let ms = start.elapsed().as_secs_f64() * 1000.0;
    if answer.text.contains(expected) {
        return Ok(ms);
    }
    Err(format!(
        "timed call failed with status {}: {}",
        answer.status, answer.text
    ))
}

fn call_upstream(caller: &Caller, http: &str, agent: u64, i: usize) -> Answer {
    let url = format!(
        "http://{http}/v1/tasks/direct-{i}?agent={agent}&lease_ms=3000\
         &wait_ms=1000"
    );
    let body = "{\"sleep_ms\":0,\"echo\":{\"p\":\"x\",\"rank\":0}}";
    caller.call("PUT", &url, body)
}

fn measure_latency(site: &Site, table: &mut Table) -> Result<(), String> {
    let caller = Caller::new(OPERATOR_TOKEN);
    let entry = &site.entries[0].http;
    let upstream = &site.upstreams[0].http;
    let job = echo_job("a", 1, 0, "x");
    // Direct calls carry the id of the agent that fenced the upstream.
    let agent = site
        .operator
        .get(upstream, "/agent")
        .body
        .as_u64()
        .unwrap_or(0);
    let (mut direct, mut routed) = (Vec::new(), Vec::new());
    for block in 0..CALLS_PER_WAY / CALLS_PER_BLOCK {
        for i in 0..CALLS_PER_BLOCK {
            let number = block * CALLS_PER_BLOCK + i;
            let call = || call_upstream(&caller, upstream, agent, number);
            direct.push(time_call("rank", call)?);
        }
        for _ in 0..CALLS_PER_BLOCK {
            let call = || caller.submit(entry, &job);
            routed.push(time_call("\"done\"", call)?);
        }
    }
    let (direct_p50, direct_p99) =
        (quantile(&mut direct, 50.0), quantile(&mut direct, 99.0));
    let (routed_p50, routed_p99) =
        (quantile(&mut routed, 50.0), quantile(&mut routed, 99.0));
    push_row(
        table,
        "upstream called directly, median",
        direct_p50,
        "ms",
        "",
    );
    push_row(table, "upstream called directly, p99", direct_p99, "ms", "");
    push_row(table, "through figrill, median", routed_p50, "ms", "");
    push_row(table, "through figrill, p99", routed_p99, "ms", "");
    let added = routed_p50 - direct_p50;
    push_row(table, "added at the median", added, "ms", "under 2");
    push_row(table, "added at p99", routed_p99 - direct_p99, "ms", "");
    push_row(table, "ratio of medians", routed_p50 / direct_p50, "", "");
    Ok(())
}

fn measure_throughput(site: &Site, table: &mut Table) {
    let entry = site.entries[0].http.clone();
    let job = echo_job("a", 1, 0, "x");
    let start = Instant::now();
    let callers: Vec<_> = (0..CONCURRENT_CALLERS)
        .map(|_| {
            let (entry, job) = (entry.clone(), job.clone());
            thread::spawn(move || count_jobs(&entry, &job, start))
        })
        .collect();
    let done: usize = callers.into_iter().filter_map(|c| c.join().ok()).sum();
    // The count is far below 2^53, where `f64` loses precision.
    #[allow(clippy::cast_precision_loss)]
    let jobs_per_second = done as f64 / start.elapsed().as_secs_f64();
    push_row(
        table,
        "jobs through one entry, 16 callers",
        jobs_per_second,
        "/s",
        "",
    );
}

fn count_jobs(entry: &str, job: &Value, start: Instant) -> usize {
    let caller = Caller::new(OPERATOR_TOKEN);
    let mut done = 0;
    while start.elapsed() < THROUGHPUT_DURATION {
        let answer = caller.submit(entry, job);
        done += usize::from(answer.outcome() == "done");
    }
    done
}

fn measure_idle(site: &Site, table: &mut Table) {
    // Lets the work left by the throughput measurement finish.
    thread::sleep(Duration::from_secs(2));
    let nodes = [("entry", &site.entries[0]), ("agent", &site.agents[0])];
    let before: Vec<_> = nodes
        .iter()
        .map(|(_, node)| {
            let bytes = scale::peer_bytes_sent(&site.operator, &node.http);
            (scale::process_usage(node.process.id()), bytes)
        })
        .collect();
    thread::sleep(IDLE_DURATION);
    for ((name, node), (usage, bytes)) in nodes.iter().zip(before) {
        let after = scale::process_usage(node.process.id());
        let sent = scale::peer_bytes_sent(&site.operator, &node.http) - bytes;
        let seconds = IDLE_DURATION.as_secs_f64();
        let cpu = after.cpu.saturating_sub(usage.cpu).as_secs_f64();
        let percent = cpu / seconds * 100.0;
        let label = |measure: &str| format!("idle {name}, {measure}");
        let memory = after.resident_mib;
        push_row(table, &label("memory"), memory, "MiB", "64");
        push_row(table, &label("processor"), percent, "% of a core", "4");
        let sent = sent / seconds;
        push_row(table, &label("bytes sent to peers"), sent, "B/s", "3000");
    }
}
