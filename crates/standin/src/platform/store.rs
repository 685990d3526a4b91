//! A test double of the platform's metadata store, served over HTTP.
//!
//! It can be made unavailable, slow or stale, and can lose the answer to a
//! write or apply the write late.

use std::{
    collections::{BTreeMap, HashMap},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};

use base64::{Engine, engine::general_purpose::STANDARD};
use figrill_state::{
    clock::SystemClock,
    kv::{
        Attachment, Change, Changes, Item, Kv, KvError, LeaseId, Txn,
        memory::MemoryKv,
    },
};
use serde_json::{Value, json};

use crate::web::{Call, Reply, serve};

/// How long a call is held open so that it appears to get no answer. It is
/// longer than any caller waits.
const UNANSWERED_DELAY: Duration = Duration::from_secs(4);

/// How the store behaves during an outage.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Outage {
    /// There is no outage.
    #[default]
    None,
    /// The store refuses every call with 503 and does nothing.
    Refusing,
    /// The store does not answer and does nothing.
    Unresponsive,
}

/// The faults injected at one address of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// The current outage.
    pub outage: Outage,
    /// The delay before each call is handled.
    pub delay: Duration,
    /// The number of upcoming transactions that are committed but not
    /// answered.
    pub lost_answers: u64,
    /// If set, each transaction is committed after this delay and is never
    /// answered.
    pub write_delay: Option<Duration>,
    /// If set, the next transaction that puts this key gets no usable answer,
    /// and is committed just before the following one that puts it.
    pub postponed_key: Option<&'static str>,
    /// The delay before a watch reports the changes that it has seen.
    pub watch_delay: Duration,
    /// Whether watches are refused.
    pub refuses_watches: bool,
    /// Whether reads return the value that a key had before its last write.
    pub stale_reads: bool,
    /// Whether all keys are shown as attached to no lease.
    pub hides_leases: bool,
}

/// What one address of the store has recorded.
#[derive(Default)]
struct Observed {
    /// The item of each key before the last transaction that put the key.
    previous: HashMap<String, Item>,
    /// The transaction that [`Faults::postponed_key`] has postponed.
    postponed: Option<Txn>,
    /// The number of calls so far by kind.
    calls: BTreeMap<String, u64>,
}

/// One address of the store, with its own faults.
#[derive(Clone)]
pub struct Endpoint {
    /// The address that the store is served at.
    pub address: SocketAddr,
    faults: Arc<Mutex<Faults>>,
    observed: Arc<Mutex<Observed>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Endpoint {
    /// Locks the faults of this address, so that they can be changed.
    pub fn faults(&self) -> MutexGuard<'_, Faults> {
        lock(&self.faults)
    }

    /// Returns the number of calls received so far, by kind.
    #[must_use]
    pub fn calls(&self) -> BTreeMap<String, u64> {
        lock(&self.observed).calls.clone()
    }
}

/// Creates an empty store in memory.
#[must_use]
pub fn in_memory() -> MemoryKv {
    MemoryKv::new(Arc::new(SystemClock::new()))
}

/// Serves a store at a new local address that has its own faults.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn open(kv: &MemoryKv) -> io::Result<Endpoint> {
    open_at(kv, "127.0.0.1:0")
}

/// Serves a store like [`open`], at the address `listen`.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn open_at(kv: &MemoryKv, listen: &str) -> io::Result<Endpoint> {
    let faults: Arc<Mutex<Faults>> = Arc::default();
    let observed: Arc<Mutex<Observed>> = Arc::default();
    let (kv, active, recorded) =
        (kv.clone(), faults.clone(), observed.clone());
    let address = serve(listen, move |call| {
        *lock(&recorded)
            .calls
            .entry(call_kind(call).to_owned())
            .or_default() += 1;
        let reply = answer(&kv, &active, &recorded, call);
        if lock(&active).hides_leases {
            without_leases(reply)
        } else {
            reply
        }
    })?;
    Ok(Endpoint {
        address,
        faults,
        observed,
    })
}

/// Changes a reply so that it shows all items as attached to no lease.
fn without_leases(mut reply: Reply) -> Reply {
    let mut body: Value =
        serde_json::from_slice(&reply.body).unwrap_or_default();
    for list in ["items", "events"] {
        for item in body[list].as_array_mut().into_iter().flatten() {
            item["lease"] = json!(0);
        }
    }
    if body["key"].is_string() {
        body["lease"] = json!(0);
    }
    if body.is_object() {
        reply.body = body.to_string().into_bytes();
    }
    reply
}

/// Returns the kind of a call, under which it is counted.
fn call_kind(call: &Call) -> &'static str {
    match (call.method.as_str(), call.path.as_str()) {
        (_, "/-/kv-key" | "/-/kv-range") => "get",
        (_, "/-/kv-watch") => "watch",
        (_, "/-/kv-txn") => "swap",
        (_, "/-/kv-lease") => "grant",
        ("POST", _) => "renew",
        _ => "revoke",
    }
}

fn answer(
    kv: &MemoryKv,
    faults: &Mutex<Faults>,
    observed: &Mutex<Observed>,
    call: &Call,
) -> Reply {
    let active = *lock(faults);
    thread::sleep(active.delay);
    match active.outage {
        Outage::None => {}
        Outage::Refusing => return Reply::status(503),
        Outage::Unresponsive => {
            thread::sleep(UNANSWERED_DELAY);
            return Reply::status(500);
        }
    }
    let path = call.path.as_str();
    match (call.method.as_str(), path) {
        ("GET", "/-/kv-key" | "/-/kv-range") if active.stale_reads => {
            read_stale(&lock(observed).previous, kv, call)
        }
        ("GET", "/-/kv-key") => get(kv, call),
        ("GET", "/-/kv-range") => range(kv, call),
        ("GET", "/-/kv-watch") if active.refuses_watches => Reply::status(429),
        ("GET", "/-/kv-watch") => {
            let changes = watch(kv, call);
            thread::sleep(active.watch_delay);
            changes
        }
        ("POST", "/-/kv-txn") => commit(kv, faults, observed, call),
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

fn json_reply(value: &Value) -> Reply {
    Reply::body(value.to_string().into_bytes())
}

fn get(kv: &MemoryKv, call: &Call) -> Reply {
    let key = call.query_value("key").unwrap_or_default();
    match kv.get(&key, Duration::ZERO) {
        Ok(Some(found)) => json_reply(&item_json(&found)),
        _ => Reply::status(404),
    }
}

fn range(kv: &MemoryKv, call: &Call) -> Reply {
    let prefix = call.query_value("prefix").unwrap_or_default();
    let after = call.query_value("after").unwrap_or_default();
    let Ok(listing) = kv.list(&prefix, Duration::ZERO) else {
        return Reply::status(503);
    };
    // A page has at most 5 items, so that every reader has to follow the
    // pagination. A sixth item shows that there is another page.
    let later = listing.items.iter().filter(|i| i.key > after);
    let mut items: Vec<Value> = later.take(6).map(item_json).collect();
    let truncated = items.len() == 6;
    items.truncate(5);
    json_reply(&json!({
        "items": items,
        "truncated": truncated,
        "current_rev": listing.revision,
    }))
}

fn watch(kv: &MemoryKv, call: &Call) -> Reply {
    let prefix = call.query_value("prefix").unwrap_or_default();
    let after = call.query_number("after").unwrap_or(0);
    let wait =
        Duration::from_millis(call.query_number("wait_ms").unwrap_or(0));
    match kv.watch(&prefix, after, wait) {
        Ok(Changes { changes, revision }) => {
            let event = |change: &Change| match change {
                Change::Put(put) => item_json(put),
                Change::Removed(key) => {
                    json!({"key": key, "rev": revision, "deleted": true})
                }
            };
            let events: Vec<Value> = changes.iter().map(event).collect();
            json_reply(&json!({"events": events, "current_rev": revision}))
        }
        Err(_) => Reply::status(410),
    }
}

/// Answers a read with the item from before the last write of the key. A range
/// is only stale if its prefix is itself a key.
fn read_stale(
    previous: &HashMap<String, Item>,
    kv: &MemoryKv,
    call: &Call,
) -> Reply {
    let key = call
        .query_value("key")
        .or_else(|| call.query_value("prefix"));
    let Some(found) = key.and_then(|key| previous.get(&key)) else {
        return if call.path == "/-/kv-key" {
            get(kv, call)
        } else {
            range(kv, call)
        };
    };
    if call.path == "/-/kv-key" {
        return json_reply(&item_json(found));
    }
    json_reply(&json!({
        "items": [item_json(found)],
        "truncated": false,
        "current_rev": found.revision,
    }))
}

fn commit(
    kv: &MemoryKv,
    faults: &Mutex<Faults>,
    observed: &Mutex<Observed>,
    call: &Call,
) -> Reply {
    let Some(txn) = parse_txn(&call.body) else {
        return Reply::status(400);
    };
    // Processes must not write operators' keys. Tests write them to the
    // `MemoryKv` directly.
    let operator_key = |key: &String| key.starts_with("op/");
    if txn.puts.iter().any(|(key, ..)| operator_key(key)) {
        return Reply::status(403);
    }
    if postpone(kv, faults, observed, &txn) {
        return Reply::status(500);
    }
    let (lost, write_delay) = {
        let mut faults = lock(faults);
        let lost = faults.lost_answers > 0;
        faults.lost_answers = faults.lost_answers.saturating_sub(1);
        (lost, faults.write_delay)
    };
    if let Some(write_delay) = write_delay {
        let kv = kv.clone();
        thread::spawn(move || {
            thread::sleep(write_delay);
            let _ = kv.commit(&txn, Duration::ZERO);
        });
        thread::sleep(UNANSWERED_DELAY);
        return Reply::status(500);
    }
    for (key, ..) in &txn.puts {
        if let Ok(Some(before)) = kv.get(key, Duration::ZERO) {
            lock(observed).previous.insert(key.clone(), before);
        }
    }
    let result = kv.commit(&txn, Duration::ZERO);
    if lost {
        thread::sleep(UNANSWERED_DELAY);
        return Reply::status(500);
    }
    match result {
        Ok(revision) => json_reply(&json!({"rev": revision})),
        Err(KvError::Conflict(items)) => {
            let items: Vec<Value> = items.iter().map(item_json).collect();
            let mut reply = json_reply(&json!({"items": items}));
            reply.status = 412;
            reply
        }
        Err(_) => Reply::status(404),
    }
}

/// Postpones a transaction if [`Faults::postponed_key`] says so, and returns
/// whether it did. Otherwise commits the postponed one if both put its key.
fn postpone(
    kv: &MemoryKv,
    faults: &Mutex<Faults>,
    observed: &Mutex<Observed>,
    txn: &Txn,
) -> bool {
    let puts = |txn: &Txn, key: &str| txn.puts.iter().any(|(k, ..)| k == key);
    let key = lock(faults).postponed_key.filter(|key| puts(txn, key));
    let mut observed = lock(observed);
    if key.is_some() {
        lock(faults).postponed_key = None;
        observed.postponed = Some(txn.clone());
        return true;
    }
    let has_common_key =
        |earlier: &mut Txn| earlier.puts.iter().any(|(k, ..)| puts(txn, k));
    if let Some(earlier) = observed.postponed.take_if(has_common_key) {
        let _ = kv.commit(&earlier, Duration::ZERO);
    }
    false
}

fn parse_txn(bytes: &[u8]) -> Option<Txn> {
    let value: Value = serde_json::from_slice(bytes).ok()?;
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
    // The store accepts at most 32 operations in a transaction, and values of
    // at most 1 MiB.
    let operations = txn.conditions.len() + txn.puts.len() + txn.removes.len();
    let values_fit = txn.puts.iter().all(|(_, v, _)| v.len() <= 1 << 20);
    (operations <= 32 && values_fit).then_some(txn)
}

fn grant(kv: &MemoryKv, call: &Call) -> Reply {
    let value: Value = serde_json::from_slice(&call.body).unwrap_or_default();
    let ttl_ms = value["ttl_ms"].as_u64().unwrap_or(1000);
    let ttl = Duration::from_millis(ttl_ms);
    match kv.grant(ttl, Duration::ZERO) {
        Ok(lease) => json_reply(&json!({"lease": lease.0, "ttl_ms": ttl_ms})),
        Err(_) => Reply::status(503),
    }
}

fn renew_or_revoke(kv: &MemoryKv, call: &Call) -> Reply {
    let id = call.path.rsplit('/').next().and_then(|id| id.parse().ok());
    let Some(id) = id.map(LeaseId) else {
        return Reply::status(404);
    };
    let result = match call.method.as_str() {
        "POST" => kv.renew(id, Duration::ZERO),
        _ => kv.revoke(id, Duration::ZERO),
    };
    match result {
        Ok(()) => json_reply(&json!({})),
        Err(_) => Reply::status(404),
    }
}
