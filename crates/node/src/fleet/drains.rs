//! Follows the requests of operators to drain failure domains in the store.
//!
//! One thread reads all requests at regular intervals, and another watches
//! for changes and makes the first read at once. A watch of the platform's
//! store may deliver nothing for a second or more without reporting an error,
//! so only a read counts as a recent view.

use std::{
    sync::{
        Arc, PoisonError, RwLock,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crossbeam::channel::{Receiver, Sender, bounded};
use figrill_coordination::scheduler::{Now, Scheduler};
use figrill_state::{
    drain::Drains,
    event::Code,
    kv::{Item, Kv, KvError},
};

use super::{EntryConfig, STORE_RETRY_DELAY, STORE_TIMEOUT, serve};
use crate::{config::StartError, metrics::Journal};

/// The time from the sending of one read to that of the next. It is longer only
/// if the answer to a read takes longer.
const READ_INTERVAL: Duration = Duration::from_millis(700);

/// The maximum wait of a watch.
const WATCH_WAIT: Duration = Duration::from_millis(800);

/// The requests as read from the store.
struct View {
    drains: Drains,
    /// When the read was sent.
    read_at: Duration,
}

/// The latest view of the requests. Clones share it.
#[derive(Clone)]
pub(super) struct SharedDrains {
    view: Arc<RwLock<Option<Arc<View>>>>,
    /// Wakes the thread that reads the requests.
    wake: Sender<()>,
    /// The revision from which to watch for changes.
    revision: Arc<AtomicU64>,
}

impl SharedDrains {
    /// Starts the threads that follow the requests, unless the deployment does
    /// not follow them. Reads go through the store of `config`. Watches go
    /// through `direct`, which makes no relayed calls: a relayed watch would
    /// block one of the few threads of another entry that relay calls, and
    /// only saves part of [`READ_INTERVAL`].
    ///
    /// # Errors
    ///
    /// Returns a [`StartError`] if a thread can't be started.
    pub(super) fn start(
        config: &EntryConfig,
        direct: Arc<dyn Kv>,
        journal: &Journal,
    ) -> Result<Self, StartError> {
        let (wake, woken) = bounded(1);
        let shared = Self {
            view: Arc::default(),
            wake,
            revision: Arc::default(),
        };
        if config.deployment.limits.domain_drain.is_none() {
            return Ok(shared);
        }
        let reader = Reader {
            config: config.clone(),
            shared: shared.clone(),
            journal: journal.clone(),
            refused_keys: Vec::new(),
        };
        serve::spawn("drains", move || reader.run(&woken))?;
        let (prefix, watched) = (config.drain_prefix, shared.clone());
        serve::spawn("drain-watch", move || {
            watch(&*direct, prefix, &watched);
        })?;
        Ok(shared)
    }

    /// Makes the next read begin without waiting for its time.
    pub(super) fn read_soon(&self) {
        let _ = self.wake.try_send(());
    }

    /// Passes the latest view to the scheduler, if there is one.
    pub(super) fn pass_to(&self, scheduler: &mut Scheduler, now: Now) {
        let view = self.view.read().unwrap_or_else(PoisonError::into_inner);
        let view = view.clone();
        if let Some(view) = view {
            scheduler.set_drains(now, &view.drains, view.read_at);
        }
    }

    fn set(&self, view: View) {
        let mut current =
            self.view.write().unwrap_or_else(PoisonError::into_inner);
        *current = Some(Arc::new(view));
    }
}

/// The thread that reads the requests.
struct Reader {
    config: EntryConfig,
    shared: SharedDrains,
    journal: Journal,
    /// The keys with invalid names in the last read.
    refused_keys: Vec<String>,
}

impl Reader {
    /// Reads the requests every [`READ_INTERVAL`], or earlier when it is woken.
    /// Never returns.
    fn run(mut self, woken: &Receiver<()>) {
        loop {
            let sent_at = self.config.clock.now();
            let next_at = match self.read(sent_at) {
                Ok(()) => sent_at + READ_INTERVAL,
                Err(e) => {
                    let prefix = self.config.drain_prefix;
                    log::debug!("failed to read {prefix}: {e}");
                    self.config.clock.now() + STORE_RETRY_DELAY
                }
            };
            let pause = next_at.saturating_sub(self.config.clock.now());
            let _ = woken.recv_timeout(pause);
        }
    }

    /// Reads the requests, in a read that is sent at `read_at`.
    fn read(&mut self, read_at: Duration) -> Result<(), KvError> {
        let prefix = self.config.drain_prefix;
        let listing = self.config.kv.list(prefix, STORE_TIMEOUT)?;
        let drains = self.decode(&listing.items);
        let metrics = &self.journal.metrics;
        metrics.set_gauge("drained_domains", drains.len());
        self.shared.set(View { drains, read_at });
        let revision = &self.shared.revision;
        revision.fetch_max(listing.revision, Ordering::Relaxed);
        Ok(())
    }

    /// Returns the failure domains that the keys of `items` name. Records
    /// each key without a valid name once.
    fn decode(&mut self, items: &[Item]) -> Drains {
        let mut names = Vec::new();
        let mut refused_keys = Vec::new();
        for item in items {
            match (self.config.decode_drain)(&item.key) {
                Ok(name) => names.push(name),
                Err(why) => {
                    if !self.refused_keys.contains(&item.key) {
                        let detail = format!("key={:?} why={why}", item.key);
                        self.journal.record_event(Code::DrainRefused, detail);
                    }
                    refused_keys.push(item.key.clone());
                }
            }
        }
        self.refused_keys = refused_keys;
        names.into_iter().collect()
    }
}

/// Watches for changes and makes the reader read them. Never returns.
fn watch(kv: &dyn Kv, prefix: &str, shared: &SharedDrains) {
    let mut seen = 0;
    loop {
        let read = shared.revision.load(Ordering::Relaxed);
        if read == 0 {
            // There is no revision to watch from before the first read.
            thread::sleep(STORE_RETRY_DELAY);
            continue;
        }
        let after = read.max(seen);
        match kv.watch(prefix, after, WATCH_WAIT) {
            Ok(changes) => {
                seen = changes.revision;
                if !changes.changes.is_empty() {
                    shared.read_soon();
                }
            }
            Err(e) => {
                log::debug!("the watch of {prefix} failed: {e}");
                thread::sleep(READ_INTERVAL);
            }
        }
    }
}
