//! Another writer: status reports that none of the site's upstreams sent, and
//! records in the store that no process of the site wrote.

use std::{
    fs::File,
    io::{self, Write},
    net::{SocketAddr, TcpListener},
    path::Path,
    sync::OnceLock,
    thread,
    time::{Duration, Instant},
};

use figrill_standin::platform::{site::Site, workers::Workers};
use figrill_state::{
    batch::keys,
    kv::{Kv, Txn, memory::MemoryKv},
    runner::UpstreamState,
};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::SliceRandom};
use serde_json::{Value, json};

use crate::http::{Connection, Request};

/// The maximum time that an agent may take to answer a report.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// The depth of a report that is nested too deep.
const NESTING_DEPTH: usize = 20_000;

/// The maximum number of records that one fault writes under each prefix.
const MAX_RECORDS: u64 = 4;

/// The job IDs of records that no caller submitted begin here.
const FIRST_JOB_ID: u64 = 0xDEAD_0000_0000_0000;

/// What is wrong with a report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ReportKind {
    /// The id and the service are unknown.
    UnknownService,
    /// The id is unknown, the service is known.
    UnknownId,
    /// The incarnation is later than the true one.
    LaterBorn,
    /// The incarnation is earlier than the true one.
    EarlierBorn,
    /// The incarnation starts in the far future.
    FutureBorn,
    /// The sequence number is huge.
    HugeSequence,
    /// The address refuses connections.
    RefusingAddress,
    /// The address accepts connections at most and never answers.
    SilentAddress,
    /// The port of the address is out of range.
    PortOutOfRange,
    /// The address is that of another agent's upstream.
    AddressOfAnother,
    /// The id is the true one, the service is another.
    OtherService,
    /// The id is the true one, the incarnation is later.
    TrueIdLaterBorn,
    /// The state is none that an upstream can have.
    UnknownState,
    /// A field is missing.
    MissingField,
    /// A field has another type.
    WrongType,
    /// A number is too large.
    TooLargeNumber,
    /// A field is nested too deep.
    DeepNesting,
    /// The end of the body is random bytes.
    RandomBytes,
    /// The id deregisters, as a late message of an earlier incarnation could.
    Deregistration,
}

const REPORT_KINDS: &[ReportKind] = &[
    ReportKind::UnknownService,
    ReportKind::UnknownId,
    ReportKind::LaterBorn,
    ReportKind::EarlierBorn,
    ReportKind::FutureBorn,
    ReportKind::HugeSequence,
    ReportKind::RefusingAddress,
    ReportKind::SilentAddress,
    ReportKind::PortOutOfRange,
    ReportKind::AddressOfAnother,
    ReportKind::OtherService,
    ReportKind::TrueIdLaterBorn,
    ReportKind::UnknownState,
    ReportKind::MissingField,
    ReportKind::WrongType,
    ReportKind::TooLargeNumber,
    ReportKind::DeepNesting,
    ReportKind::RandomBytes,
    ReportKind::Deregistration,
];

/// A series of reports to one agent.
pub struct ReportSeries {
    workers: Workers,
    agent: String,
    address: SocketAddr,
    duration: Duration,
    rng: StdRng,
    log: File,
}

impl ReportSeries {
    /// Prepares the series of a seed to the agent with the given index. The
    /// reports are spread over `duration`.
    ///
    /// # Errors
    ///
    /// Returns an error if the log of the reports cannot be opened.
    pub fn new(
        site: &Site,
        agent: usize,
        seed: u64,
        duration: Duration,
    ) -> io::Result<Self> {
        let member = &site.agents[agent];
        Ok(Self {
            workers: site.workers.clone(),
            agent: member.name.clone(),
            address: member.address,
            duration,
            rng: StdRng::seed_from_u64(seed ^ agent as u64),
            log: open_log(&site.dir)?,
        })
    }

    /// Sends the reports, on a thread of its own.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub fn spawn(self) -> io::Result<()> {
        thread::Builder::new().spawn(move || self.send_all())?;
        Ok(())
    }

    fn send_all(mut self) {
        let mut kinds = REPORT_KINDS.to_vec();
        kinds.shuffle(&mut self.rng);
        kinds.truncate(self.rng.random_range(1..=kinds.len()));
        let count = u32::try_from(kinds.len()).unwrap_or(1);
        let start = Instant::now();
        for (kind, i) in kinds.into_iter().zip(1..) {
            self.send(kind);
            let until = self.duration * i / count;
            thread::sleep(until.saturating_sub(start.elapsed()));
        }
    }

    fn send(&mut self, kind: ReportKind) {
        let (current, other) = {
            let pool = self.workers.pool();
            let Some(node) = pool.nodes.get(&self.agent) else {
                return;
            };
            let mut others = pool.nodes.iter();
            let other = others.find(|(name, _)| **name != self.agent);
            let other = other.map(|(_, node)| node.upstream.address.clone());
            (node.upstream.clone(), other.unwrap_or_default())
        };
        let (id, body) = report(&mut self.rng, kind, &current, &other);
        let path = format!("/-/workers/{id}");
        let time_ms = self.workers.now_ms();
        let method = match kind {
            ReportKind::Deregistration => "DELETE",
            _ => "PUT",
        };
        let status = send(self.address, method, &path, &body);
        // In one call: several series write to the log at the same time.
        let line = format!(
            "{time_ms} {} {kind:?} {id} status={status:?} {}\n",
            self.agent,
            excerpt(&body)
        );
        if let Err(e) = self.log.write_all(line.as_bytes()) {
            eprintln!("cannot log a report of another writer: {e}");
        }
    }
}

fn open_log(dir: &Path) -> io::Result<File> {
    let path = dir.join("another-writer.log");
    File::options().create(true).append(true).open(path)
}

fn send(
    agent: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
) -> io::Result<u16> {
    let mut conn = Connection::open(agent, ANSWER_TIMEOUT)?;
    let (status, _) = conn.call(Request {
        method,
        path,
        headers: "",
        body,
    })?;
    Ok(status)
}

/// Returns the beginning of a body, for the log.
fn excerpt(body: &[u8]) -> String {
    let text = String::from_utf8_lossy(body);
    text.chars()
        .take(400)
        .flat_map(char::escape_debug)
        .collect()
}

/// Returns an address that accepts a few connections, if any, and answers
/// none.
fn silent_address() -> String {
    static LISTENER: OnceLock<Option<TcpListener>> = OnceLock::new();
    let listener =
        LISTENER.get_or_init(|| TcpListener::bind("127.0.0.1:0").ok());
    let address = listener.as_ref().and_then(|l| l.local_addr().ok());
    address.map_or_else(refusing_address, |a| a.to_string())
}

fn refusing_address() -> String {
    "127.0.0.1:1".to_owned()
}

/// Returns the id and the body of a report.
fn report(
    rng: &mut StdRng,
    kind: ReportKind,
    current: &UpstreamState,
    other: &str,
) -> (String, Vec<u8>) {
    let born_ms = current.incarnation.born_ms;
    let (mut id, mut born) = (unknown_name(rng, "i"), born_ms + 1);
    let mut service = current.service.clone();
    let mut address = match rng.random_range(0..3) {
        0 => current.address.clone(),
        1 => silent_address(),
        _ => refusing_address(),
    };
    let mut sequence = current.sequence + rng.random_range(1..50);
    match kind {
        ReportKind::UnknownService => service = unknown_name(rng, "svc"),
        ReportKind::UnknownId => {}
        ReportKind::LaterBorn => born += rng.random_range(1..100_000),
        ReportKind::EarlierBorn => {
            born = rng.random_range(0..born_ms.max(1));
        }
        ReportKind::FutureBorn => {
            born = [4_000_000_000_000, u64::MAX][rng.random_range(0..2)];
        }
        ReportKind::HugeSequence => {
            born = born_ms;
            sequence = [1 << 53, u64::MAX][rng.random_range(0..2)];
        }
        ReportKind::RefusingAddress => address = refusing_address(),
        ReportKind::SilentAddress => address = silent_address(),
        ReportKind::PortOutOfRange => {
            "127.0.0.1:99999".clone_into(&mut address);
        }
        ReportKind::AddressOfAnother => other.clone_into(&mut address),
        ReportKind::TrueIdLaterBorn => id.clone_from(&current.incarnation.id),
        // The rest could be a report of the upstream, but for one fault.
        _ => {
            id.clone_from(&current.incarnation.id);
            address.clone_from(&current.address);
            born = born_ms;
            if kind == ReportKind::OtherService {
                service = unknown_name(rng, "svc");
            }
        }
    }
    let state = if kind == ReportKind::UnknownState {
        "paused"
    } else {
        ["ready", "ready", "draining"][rng.random_range(0..3)]
    };
    let body = json!({
        "service": service,
        "addr": address,
        "zone": current.failure_domain,
        "version": "v1",
        "slots": 8,
        "state": state,
        "cold_left_ms": 0,
        "capacity": {"cpu": 64_000, "mem_mb": 256_000, "gpu": 16},
        "labels": current.labels,
        "clock_ms": 0,
        "seq": sequence,
        "born": born,
    });
    (id, damage(rng, kind, body))
}

/// Returns a name that nothing of the site has.
fn unknown_name(rng: &mut StdRng, prefix: &str) -> String {
    format!("{prefix}-{:08x}", rng.random::<u32>())
}

/// Encodes a report, with the damage that its kind asks for.
fn damage(rng: &mut StdRng, kind: ReportKind, mut body: Value) -> Vec<u8> {
    let fields = ["service", "addr", "zone", "state", "seq", "born"];
    let field = fields[rng.random_range(0..fields.len())];
    let number = ["seq", "born"][rng.random_range(0..2)];
    match kind {
        ReportKind::MissingField => {
            body.as_object_mut().and_then(|o| o.remove(field));
        }
        ReportKind::WrongType => body[field] = json!([{"a": null}]),
        _ => {}
    }
    match kind {
        ReportKind::TooLargeNumber => {
            let large = ["1e400", "-1", "1.5", "99999999999999999999999"];
            let large = large[rng.random_range(0..large.len())];
            body[number] = json!("NUMBER");
            body.to_string().replace("\"NUMBER\"", large).into_bytes()
        }
        ReportKind::DeepNesting => {
            let deep = ["[", "]"].map(|b| b.repeat(NESTING_DEPTH)).concat();
            body["labels"] = json!("LABELS");
            body.to_string().replace("\"LABELS\"", &deep).into_bytes()
        }
        ReportKind::RandomBytes => {
            let mut bytes = body.to_string().into_bytes();
            let from = rng.random_range(0..bytes.len());
            rng.fill(&mut bytes[from..]);
            bytes
        }
        _ => body.to_string().into_bytes(),
    }
}

/// Returns the keys and values of the records of a seed.
fn records(seed: u64) -> Vec<(String, Vec<u8>)> {
    let rng = &mut StdRng::seed_from_u64(seed);
    let mut records = Vec::new();
    for prefix in [keys::AGENTS, keys::ENTRIES, keys::JOBS] {
        for _ in 0..rng.random_range(1..=MAX_RECORDS) {
            let key = format!("{prefix}{}", record_name(rng, prefix));
            records.push((key, record_value(rng)));
        }
    }
    records
}

/// Writes invalid records of agents, entries and jobs to the store. None of
/// them replaces a record of the site.
pub fn write_records(kv: &MemoryKv, seed: u64) {
    for (key, value) in records(seed) {
        let txn = Txn::compare_and_swap(&key, 0, value);
        let _ = kv.commit(&txn, Duration::ZERO);
    }
}

/// Removes the records of a seed.
pub fn remove_records(kv: &MemoryKv, seed: u64) {
    let txn = Txn {
        removes: records(seed).into_iter().map(|(key, _)| key).collect(),
        ..Txn::default()
    };
    let _ = kv.commit(&txn, Duration::ZERO);
}

/// Returns the IDs of the jobs among the records of a seed.
#[must_use]
pub fn record_jobs(seed: u64) -> Vec<u64> {
    let keys = records(seed).into_iter().map(|(key, _)| key);
    let ids = keys.filter_map(|key| {
        let id = key.strip_prefix(keys::JOBS)?;
        u64::from_str_radix(id, 16).ok()
    });
    ids.collect()
}

fn record_name(rng: &mut StdRng, prefix: &str) -> String {
    if prefix == keys::JOBS && rng.random_bool(0.5) {
        let id = FIRST_JOB_ID + u64::from(rng.random::<u32>());
        return format!("{id:016x}");
    }
    match rng.random_range(0..4) {
        0 => format!("a/{}", unknown_name(rng, "b")),
        1 => format!("{} ü\n", unknown_name(rng, "c")),
        _ => unknown_name(rng, "d"),
    }
}

fn record_value(rng: &mut StdRng) -> Vec<u8> {
    match rng.random_range(0..7) {
        0 => Vec::new(),
        1 => {
            let mut bytes = vec![0; rng.random_range(1..300)];
            rng.fill(bytes.as_mut_slice());
            bytes
        }
        2 => refusing_address().into_bytes(),
        3 => silent_address().into_bytes(),
        4 => b"127.0.0.1:99999".to_vec(),
        5 => "[".repeat(NESTING_DEPTH).into_bytes(),
        _ => b"{\"steps\":1e400}".to_vec(),
    }
}
