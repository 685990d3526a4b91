//! The platform's store for deployments with large records. Other than the
//! project's stand-in, it takes transactions of any number of bytes, with 32
//! entries and values of 1 MiB, and its pages have up to 500 items.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use base64::{Engine, engine::general_purpose::STANDARD};
use figrill_state::kv::{
    Attachment, Change, Item, Kv, KvError, LeaseId, Txn, memory::MemoryKv,
};
use serde_json::{Value, json};

/// The maximum number of items on a page.
const PAGE_ITEMS: usize = 500;

/// The maximum length of the values on a page, in bytes.
const PAGE_BYTES: usize = 1_000_000;

/// How long a call is held open that gets no answer. It is longer than any
/// caller waits.
const UNANSWERED_DELAY: Duration = Duration::from_secs(5);

/// The limits of a transaction.
const MAX_ENTRIES: usize = 32;
const MAX_VALUE_BYTES: usize = 1 << 20;

/// One address of the store.
#[derive(Clone)]
pub struct Endpoint {
    /// Where it is served.
    pub address: SocketAddr,
    silent: Arc<AtomicBool>,
}

impl Endpoint {
    /// Sets whether no call is carried out or answered.
    pub fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::Relaxed);
    }
}

/// Serves a store at an address of its own.
pub fn open(kv: &MemoryKv) -> io::Result<Endpoint> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let endpoint = Endpoint {
        address: listener.local_addr()?,
        silent: Arc::default(),
    };
    let (kv, silent) = (kv.clone(), endpoint.silent.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (kv, silent) = (kv.clone(), silent.clone());
            thread::spawn(move || serve(&stream, &kv, &silent));
        }
    });
    Ok(endpoint)
}

/// A request.
struct Call {
    method: String,
    path: String,
    query: String,
    body: Vec<u8>,
}

impl Call {
    fn query_value(&self, name: &str) -> String {
        let pairs = self.query.split('&').filter_map(|p| p.split_once('='));
        let mut values = pairs.filter(|(key, _)| *key == name);
        values.next().map_or(String::new(), |(_, v)| decoded(v))
    }

    fn query_number(&self, name: &str) -> u64 {
        self.query_value(name).parse().unwrap_or(0)
    }
}

/// Decodes percent-encoded text.
fn decoded(text: &str) -> String {
    let mut parts = text.split('%');
    let mut bytes = parts.next().unwrap_or_default().as_bytes().to_vec();
    for part in parts {
        let (digits, rest) = part.split_at_checked(2).unwrap_or((part, ""));
        bytes.extend(u8::from_str_radix(digits, 16).ok());
        bytes.extend(rest.as_bytes());
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Serves the calls on one connection.
fn serve(stream: &TcpStream, kv: &MemoryKv, silent: &AtomicBool) {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream);
    while let Ok(Some(call)) = read_call(&mut reader) {
        if silent.load(Ordering::Relaxed) {
            // The connection answers nothing more.
            thread::sleep(UNANSWERED_DELAY);
            return;
        }
        let (status, body) = answer(kv, &call);
        if silent.load(Ordering::Relaxed) {
            thread::sleep(UNANSWERED_DELAY);
            return;
        }
        let body = body.to_string();
        let head = format!(
            "HTTP/1.1 {status} -\r\ncontent-type: application/json\r\n\
             content-length: {}\r\n\r\n",
            body.len()
        );
        let mut writer = stream;
        let written = writer.write_all((head + &body).as_bytes());
        if written.is_err() {
            return;
        }
    }
}

/// Reads a request; `None` at the end of the connection.
fn read_call(reader: &mut impl BufRead) -> io::Result<Option<Call>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default().to_owned();
    let mut length = 0;
    loop {
        let mut header = String::new();
        reader.read_line(&mut header)?;
        let Some((name, value)) = header.split_once(':') else {
            break;
        };
        if name.eq_ignore_ascii_case("content-length") {
            length = value.trim().parse().unwrap_or(0);
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    Ok(Some(Call {
        method,
        path: path.to_owned(),
        query: query.to_owned(),
        body,
    }))
}

fn answer(kv: &MemoryKv, call: &Call) -> (u16, Value) {
    match (call.method.as_str(), call.path.as_str()) {
        ("GET", "/-/kv-key") => {
            match kv.get(&call.query_value("key"), Duration::ZERO) {
                Ok(Some(item)) => (200, item_json(&item)),
                _ => (404, json!({})),
            }
        }
        ("GET", "/-/kv-range") => range(kv, call),
        ("GET", "/-/kv-watch") => watch(kv, call),
        ("POST", "/-/kv-txn") => commit(kv, call),
        ("POST", "/-/kv-lease") => grant(kv, call),
        _ => renew_or_revoke(kv, call),
    }
}

fn item_json(item: &Item) -> Value {
    let lease = match item.attachment {
        Attachment::Lease(id) => id.0,
        Attachment::None | Attachment::Unknown => 0,
    };
    json!({
        "key": item.key,
        "value": STANDARD.encode(&item.value),
        "rev": item.revision,
        "created": item.revision,
        "lease": lease,
    })
}

fn range(kv: &MemoryKv, call: &Call) -> (u16, Value) {
    let after = call.query_value("after");
    let prefix = call.query_value("prefix");
    let Ok(listing) = kv.list(&prefix, Duration::ZERO) else {
        return (503, json!({}));
    };
    let mut later = listing.items.iter().filter(|i| i.key > after).peekable();
    let (mut items, mut bytes) = (Vec::new(), 0);
    while let Some(item) = later.peek()
        && items.len() < PAGE_ITEMS
        && (items.is_empty() || bytes + item.value.len() <= PAGE_BYTES)
    {
        bytes += item.value.len();
        items.push(item_json(item));
        later.next();
    }
    let truncated = later.peek().is_some();
    let body = json!({
        "items": items,
        "truncated": truncated,
        "current_rev": listing.revision,
    });
    (200, body)
}

fn watch(kv: &MemoryKv, call: &Call) -> (u16, Value) {
    let wait = Duration::from_millis(call.query_number("wait_ms"));
    let after = call.query_number("after");
    let Ok(found) = kv.watch(&call.query_value("prefix"), after, wait) else {
        return (410, json!({}));
    };
    let event = |change: &Change| match change {
        Change::Put(item) => item_json(item),
        Change::Removed(key) => {
            json!({"key": key, "rev": found.revision, "deleted": true})
        }
    };
    let events: Vec<Value> = found.changes.iter().map(event).collect();
    (
        200,
        json!({"events": events, "current_rev": found.revision}),
    )
}

fn commit(kv: &MemoryKv, call: &Call) -> (u16, Value) {
    let Some(txn) = parse_txn(&call.body) else {
        return (400, json!({}));
    };
    if txn.puts.iter().any(|(key, ..)| key.starts_with("op/")) {
        return (403, json!({}));
    }
    match kv.commit(&txn, Duration::ZERO) {
        Ok(revision) => (200, json!({"rev": revision})),
        Err(KvError::Conflict(items)) => {
            let items: Vec<Value> = items.iter().map(item_json).collect();
            (412, json!({"items": items}))
        }
        Err(_) => (404, json!({})),
    }
}

fn parse_txn(body: &[u8]) -> Option<Txn> {
    let value: Value = serde_json::from_slice(body).ok()?;
    let text = |v: &Value| v.as_str().map(str::to_owned);
    let mut txn = Txn::default();
    for row in value["precondition"].as_array()? {
        txn.conditions
            .push((text(&row["key"])?, row["rev"].as_u64()?));
    }
    for row in value["set_keys"].as_array()? {
        let bytes = STANDARD.decode(row["value"].as_str()?).ok()?;
        let lease = row["lease"].as_u64().filter(|id| *id != 0);
        txn.puts
            .push((text(&row["key"])?, bytes, lease.map(LeaseId)));
    }
    for key in value["remove"].as_array()? {
        txn.removes.push(text(key)?);
    }
    let entries = txn.conditions.len() + txn.puts.len() + txn.removes.len();
    let fits = txn.puts.iter().all(|(_, v, _)| v.len() <= MAX_VALUE_BYTES);
    (entries <= MAX_ENTRIES && fits).then_some(txn)
}

fn grant(kv: &MemoryKv, call: &Call) -> (u16, Value) {
    let value: Value = serde_json::from_slice(&call.body).unwrap_or_default();
    let ttl_ms = value["ttl_ms"].as_u64().unwrap_or(1000);
    match kv.grant(Duration::from_millis(ttl_ms), Duration::ZERO) {
        Ok(lease) => (200, json!({"lease": lease.0, "ttl_ms": ttl_ms})),
        Err(_) => (503, json!({})),
    }
}

fn renew_or_revoke(kv: &MemoryKv, call: &Call) -> (u16, Value) {
    let id = call.path.rsplit('/').next().and_then(|id| id.parse().ok());
    let Some(id) = id.map(LeaseId) else {
        return (404, json!({}));
    };
    let result = match call.method.as_str() {
        "POST" => kv.renew(id, Duration::ZERO),
        _ => kv.revoke(id, Duration::ZERO),
    };
    match result {
        Ok(()) => (200, json!({})),
        Err(_) => (404, json!({})),
    }
}
