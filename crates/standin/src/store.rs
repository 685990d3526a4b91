//! A stand-in for the platform's store, which can be slow, be down, answer
//! with old values, and lose an answer after a write took effect.
//!
//! `POST /fault?down=0|1&delay_ms=N&lose=N&stale=0|1` sets its faults;
//! `GET /calls` counts the calls so far by kind.

use std::{
    collections::{BTreeMap, HashMap},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};

use figrill_state::{
    clock::SystemClock,
    store::{LeaseId, Store, StoreError, Versioned, memory::MemoryStore},
};

use crate::web::{Call, Reply, serve};

#[derive(Default)]
struct Faults {
    down: bool,
    delay: Duration,
    lose: u64,
    stale: bool,
    old: HashMap<String, Versioned>,
    calls: BTreeMap<String, u64>,
}

#[derive(Clone)]
struct Server {
    store: Arc<MemoryStore>,
    faults: Arc<Mutex<Faults>>,
}

/// Serves a store on `listen`.
///
/// # Errors
///
/// If the address can't be bound.
pub fn start(listen: &str) -> io::Result<SocketAddr> {
    let clock = Arc::new(SystemClock::new());
    let server = Server {
        store: Arc::new(MemoryStore::new(clock)),
        faults: Arc::default(),
    };
    serve(listen, move |call| server.answer(call))
}

impl Server {
    fn faults(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn answer(&self, call: &Call) -> Reply {
        match call.path.as_str() {
            "/fault" => return self.set_faults(call),
            "/calls" => {
                let calls = &self.faults().calls;
                let body = serde_json::to_vec(calls).unwrap_or_default();
                return Reply::body(body);
            }
            _ => {}
        }
        let (down, delay) = self.count(call);
        thread::sleep(delay);
        if down {
            return Reply::status(503);
        }
        let reply = self.serve(call);
        let writes = matches!(call.method.as_str(), "PUT" | "POST");
        let mut faults = self.faults();
        if writes && faults.lose > 0 {
            faults.lose -= 1;
            return Reply::status(503);
        }
        reply
    }

    fn count(&self, call: &Call) -> (bool, Duration) {
        let kind = match (call.method.as_str(), call.path.get(..6)) {
            ("GET", _) if call.number("not").is_some() => "watch",
            ("GET", _) => "get",
            ("PUT", Some("/v1/kv")) => "swap",
            ("PUT", _) => "renew",
            ("POST", _) => "grant",
            _ => "revoke",
        };
        let mut faults = self.faults();
        *faults.calls.entry(kind.to_owned()).or_default() += 1;
        (faults.down, faults.delay)
    }

    fn set_faults(&self, call: &Call) -> Reply {
        let mut faults = self.faults();
        if let Some(down) = call.number("down") {
            faults.down = down == 1;
        }
        if let Some(ms) = call.number("delay_ms") {
            faults.delay = Duration::from_millis(ms);
        }
        if let Some(lose) = call.number("lose") {
            faults.lose = lose;
        }
        if let Some(stale) = call.number("stale") {
            faults.stale = stale == 1;
        }
        Reply::status(200)
    }

    fn serve(&self, call: &Call) -> Reply {
        let path = call.path.as_str();
        if let Some(key) = path.strip_prefix("/v1/kv/") {
            return match call.method.as_str() {
                "GET" => self.get(call, key),
                "PUT" => self.swap(call, key),
                _ => Reply::status(405),
            };
        }
        let lease = path
            .strip_prefix("/v1/leases/")
            .and_then(|id| id.parse().ok())
            .map(LeaseId);
        let result = match (call.method.as_str(), lease) {
            ("POST", None) if path == "/v1/leases" => {
                let ttl = call.number("ttl_ms").unwrap_or(1000);
                let ttl = Duration::from_millis(ttl);
                return match self.store.grant(ttl) {
                    Ok(id) => Reply::body(id.0.to_string().into_bytes()),
                    Err(e) => failed(&e),
                };
            }
            ("PUT", Some(lease)) => self.store.renew(lease),
            ("DELETE", Some(lease)) => self.store.revoke(lease),
            _ => return Reply::status(404),
        };
        match result {
            Ok(()) => Reply::status(200),
            Err(e) => failed(&e),
        }
    }

    fn get(&self, call: &Call, key: &str) -> Reply {
        {
            let faults = self.faults();
            if faults.stale
                && let Some(old) = faults.old.get(key)
            {
                return found(old.clone());
            }
        }
        let wait = call.number("wait_ms").unwrap_or(0);
        let result = match call.number("not") {
            Some(version) => {
                let wait = Duration::from_millis(wait);
                self.store.watch(key, version, wait)
            }
            None => self.store.get(key),
        };
        match result {
            Ok(Some(value)) => found(value),
            Ok(None) => Reply::status(404).header("x-version", "0"),
            Err(e) => failed(&e),
        }
    }

    fn swap(&self, call: &Call, key: &str) -> Reply {
        let version = call.number("version").unwrap_or(0);
        let lease = call.number("lease").map(LeaseId);
        let before = self.store.get(key).ok().flatten();
        match self.store.swap(key, version, &call.body, lease) {
            Ok(version) => {
                if let Some(before) = before {
                    self.faults().old.insert(key.to_owned(), before);
                }
                Reply::status(200).header("x-version", &version.to_string())
            }
            Err(StoreError::Conflict(Some(value))) => Reply {
                status: 409,
                ..found(value)
            },
            Err(e) => failed(&e),
        }
    }
}

fn found(value: Versioned) -> Reply {
    let version = value.version.to_string();
    Reply::body(value.value).header("x-version", &version)
}

fn failed(e: &StoreError) -> Reply {
    let status = match e {
        StoreError::Conflict(_) => 409,
        StoreError::LeaseGone => 410,
        StoreError::TooLarge => 413,
        StoreError::Unavailable(_) => 503,
    };
    Reply::status(status).header("x-version", "0")
}
