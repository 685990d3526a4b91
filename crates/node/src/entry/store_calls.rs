//! The calls to the platform's store. They block, so separate threads make
//! them and send the results to the event loop.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, SystemTime},
};

use crossbeam::channel::{Receiver, Sender, TrySendError, bounded};
use figrill_coordination::{
    coordinator::MarkError,
    entry::RecordRead,
    message::{Dispatched, Run},
    term::{self, AcquireError, RenewError},
};
use figrill_state::{
    clock::Clock,
    job::{Attempt, JobId, Outcome},
    kv::{KvError, LeaseId},
    ledger::{
        self, ApplyError, Claim, ClaimOutcome, SettingsChange, TermOutcome,
    },
    record::{
        self, EntriesRecord, EntryAddress, JobRecord, Progress,
        SettingsRecord, TermRecord,
    },
};
use figrill_transport::http::Responder;

use crate::{config::Config, metrics::Metrics};

use super::SharedStore;
use crate::config::spawn_detached;

/// The time limit for renewing or releasing the lease of the term.
const TERM_CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// The maximum time for which one watch for new settings waits for a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(2);

/// The minimum delay after a failed watch. Jitter adds up to the same time
/// again.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(400);

/// A call to the store.
pub(super) enum StoreCall {
    /// Take the term if no process holds it.
    AcquireTerm,
    /// Renew the lease of the term.
    RenewTerm(LeaseId),
    /// Revoke the lease of the term, so that another entry can take it.
    ReleaseTerm(LeaseId),
    /// Write the record of a new job.
    Claim {
        job: JobId,
        workspace: String,
        key: Option<String>,
        request: String,
    },
    /// Read the record of a job.
    Read { job: JobId },
    /// Make this entry the owner of a job of another entry.
    TakeOver {
        job: JobId,
        version: u64,
        record: Box<JobRecord>,
    },
    /// Mark a job as dispatched to the lead of a gang.
    MarkDispatched {
        run: Run,
        version: u64,
        lead: String,
        incarnation: u64,
    },
    /// Write the outcome of a job to its record.
    SaveOutcome { job: JobId, outcome: Outcome },
    /// Add this entry to the list of entries, and read the list.
    Register,
    /// Remove this entry from the list of entries.
    Unregister,
    /// Write new settings.
    ApplySettings {
        new: Box<super::duty::NewSettings>,
        responder: Responder,
    },
}

/// The result of a call to the store, or new settings from the `watch` thread.
pub(super) enum StoreResult {
    TermAcquired(Result<(TermRecord, LeaseId), AcquireError>),
    TermRenewed(Result<(), RenewError>),
    /// `result` is `None` if the store did not answer.
    Claimed {
        job: JobId,
        result: Option<ClaimOutcome>,
    },
    Read {
        job: JobId,
        result: RecordRead,
    },
    /// `version` is that of the changed record; `None` if the call failed.
    TakenOver {
        job: JobId,
        version: Option<u64>,
    },
    DispatchMarked {
        run: Run,
        result: Result<u64, MarkError>,
    },
    OutcomeSaved {
        job: JobId,
        ok: bool,
    },
    /// The list of entries; `None` if the call failed.
    Registered(Option<EntriesRecord>),
    SettingsApplied {
        result: Result<SettingsRecord, ApplyError>,
        responder: Responder,
    },
    /// The settings in the store at the start of this process, if there are
    /// any.
    SettingsRead(Option<SettingsRecord>),
    SettingsChanged(SettingsRecord),
}

/// The state of a thread that calls the store.
struct StoreThread {
    store: SharedStore,
    clock: Arc<dyn Clock>,
    cell: String,
    local_entry: EntryAddress,
    metrics: Metrics,
    results: Sender<StoreResult>,
}

/// The threads that call the store.
pub(super) struct StoreCalls {
    calls: Sender<StoreCall>,
    /// The queue of the calls that concern the term.
    term_calls: Sender<StoreCall>,
    pub(super) results: Receiver<StoreResult>,
    /// The revision of the settings in force.
    adopted_revision: Arc<AtomicU64>,
}

impl StoreCalls {
    /// Starts the threads. They end when the event loop has ended. `capacity`
    /// is the maximum number of queued calls and of queued results.
    pub(super) fn start(
        cfg: &Config,
        local_entry: &EntryAddress,
        capacity: usize,
        threads: usize,
        metrics: &Metrics,
    ) -> io::Result<Self> {
        let (calls, calls_rx) = bounded::<StoreCall>(capacity);
        let (term_calls, term_rx) = bounded::<StoreCall>(8);
        let (results_tx, results) = bounded(capacity);
        let new_thread = || StoreThread {
            store: cfg.store.clone(),
            clock: cfg.clock.clone(),
            cell: cfg.boot.cell.clone(),
            local_entry: local_entry.clone(),
            metrics: metrics.clone(),
            results: results_tx.clone(),
        };
        for _ in 0..threads {
            let (thread, rx) = (new_thread(), calls_rx.clone());
            spawn_detached("store", move || thread.run(&rx))?;
        }
        // The lease of the term is renewed on a separate thread, so that it
        // cannot expire because of slow calls for jobs.
        let term_thread = new_thread();
        spawn_detached("term", move || term_thread.run(&term_rx))?;
        let adopted_revision = Arc::new(AtomicU64::new(0));
        let (watcher, adopted) = (new_thread(), adopted_revision.clone());
        spawn_detached("watch", move || watcher.watch(&adopted))?;
        Ok(Self {
            calls,
            term_calls,
            results,
            adopted_revision,
        })
    }

    /// Queues a call. If the queue is full, returns the result that the call
    /// has while the store is unavailable.
    pub(super) fn try_queue(&self, call: StoreCall) -> Option<StoreResult> {
        let queue = match call {
            StoreCall::AcquireTerm
            | StoreCall::RenewTerm(_)
            | StoreCall::ReleaseTerm(_) => &self.term_calls,
            _ => &self.calls,
        };
        match queue.try_send(call) {
            Ok(()) => None,
            Err(
                TrySendError::Full(call) | TrySendError::Disconnected(call),
            ) => call.into_unavailable(),
        }
    }

    /// Informs the `watch` thread of the revision in force, so that it reports
    /// only higher ones.
    pub(super) fn set_adopted_revision(&self, revision: u64) {
        self.adopted_revision.store(revision, Ordering::Relaxed);
    }
}

impl StoreCall {
    /// Returns the `kind` label of the call in the metrics.
    const fn kind(&self) -> &'static str {
        match self {
            Self::AcquireTerm => "take_term",
            Self::RenewTerm(_) => "renew",
            Self::ReleaseTerm(_) => "release",
            Self::Claim { .. } => "claim",
            Self::Read { .. } => "read",
            Self::TakeOver { .. } => "take_over",
            Self::MarkDispatched { .. } => "mark",
            Self::SaveOutcome { .. } => "save",
            Self::Register => "register",
            Self::Unregister => "unregister",
            Self::ApplySettings { .. } => "apply",
        }
    }

    /// Returns the result that the call has while the store is unavailable;
    /// `None` if the event loop does not need a result.
    fn into_unavailable(self) -> Option<StoreResult> {
        let queue_full = || KvError::Refused("the ring is full".to_owned());
        Some(match self {
            Self::AcquireTerm => {
                StoreResult::TermAcquired(Err(AcquireError::Unavailable))
            }
            Self::RenewTerm(_) => {
                StoreResult::TermRenewed(Err(RenewError::Unavailable))
            }
            Self::ReleaseTerm(_) | Self::Unregister => return None,
            Self::Claim { job, .. } => {
                StoreResult::Claimed { job, result: None }
            }
            Self::Read { job } => {
                let result = RecordRead::Unavailable;
                StoreResult::Read { job, result }
            }
            Self::TakeOver { job, .. } => {
                StoreResult::TakenOver { job, version: None }
            }
            Self::MarkDispatched { run, .. } => {
                let result = Err(MarkError::Unavailable);
                StoreResult::DispatchMarked { run, result }
            }
            Self::SaveOutcome { job, .. } => {
                StoreResult::OutcomeSaved { job, ok: false }
            }
            Self::Register => StoreResult::Registered(None),
            Self::ApplySettings { responder, .. } => {
                let result = Err(ApplyError::Store(queue_full()));
                StoreResult::SettingsApplied { result, responder }
            }
        })
    }
}

impl StoreThread {
    /// Makes calls until the queue is closed or the event loop has ended.
    fn run(&self, calls: &Receiver<StoreCall>) {
        while let Ok(call) = calls.recv() {
            let kind = call.kind();
            let start = self.clock.now();
            let (result, ok) = self.execute(call);
            let label = if ok { "ok" } else { "failed" };
            self.metrics.count_call(kind, label);
            let elapsed = self.clock.now().saturating_sub(start);
            self.metrics.observe_time("store", elapsed);
            if let Some(result) = result
                && self.results.send(result).is_err()
            {
                return;
            }
        }
    }

    /// Makes a call. Returns its result, if the event loop needs one, and
    /// whether the metrics count it as successful.
    fn execute(&self, call: StoreCall) -> (Option<StoreResult>, bool) {
        let store = self.store.as_ref();
        match call {
            StoreCall::AcquireTerm => {
                let result = self.acquire_term();
                let ok = result != Err(AcquireError::Unavailable);
                (Some(StoreResult::TermAcquired(result)), ok)
            }
            StoreCall::RenewTerm(lease) => {
                let result = store.renew(lease, TERM_CALL_TIMEOUT).map_err(
                    |e| match e {
                        KvError::LeaseNotFound => RenewError::Lost,
                        _ => RenewError::Unavailable,
                    },
                );
                let ok = result != Err(RenewError::Unavailable);
                (Some(StoreResult::TermRenewed(result)), ok)
            }
            StoreCall::ReleaseTerm(lease) => {
                let ok = store.revoke(lease, TERM_CALL_TIMEOUT).is_ok();
                (None, ok)
            }
            StoreCall::Claim {
                job,
                workspace,
                key,
                request,
            } => {
                let claim = Claim {
                    job,
                    workspace: &workspace,
                    key: key.as_deref(),
                    request: &request,
                    entry: self.local_entry.incarnation,
                };
                let result = ledger::claim(store, &claim).ok();
                let ok = result.is_some();
                (Some(StoreResult::Claimed { job, result }), ok)
            }
            StoreCall::Read { job } => {
                let key = record::job_key(job);
                let result = match ledger::read::<JobRecord>(store, &key) {
                    Ok(ledger::Versioned {
                        version,
                        record: Some(record),
                    }) => RecordRead::Found(version, Box::new(record)),
                    Ok(_) => RecordRead::Missing,
                    Err(_) => RecordRead::Unavailable,
                };
                let ok = result != RecordRead::Unavailable;
                (Some(StoreResult::Read { job, result }), ok)
            }
            StoreCall::TakeOver {
                job,
                version,
                record,
            } => {
                let entry = self.local_entry.incarnation;
                let result =
                    ledger::take_over(store, job, version, &record, entry);
                let version = result.ok();
                let ok = version.is_some();
                (Some(StoreResult::TakenOver { job, version }), ok)
            }
            StoreCall::MarkDispatched {
                run,
                version,
                lead,
                incarnation,
            } => {
                let result =
                    self.mark_dispatched(run, version, lead, incarnation);
                let ok = result != Err(MarkError::Unavailable);
                (Some(StoreResult::DispatchMarked { run, result }), ok)
            }
            StoreCall::SaveOutcome { job, outcome } => {
                let ok = ledger::save_outcome(store, job, &outcome).is_ok();
                (Some(StoreResult::OutcomeSaved { job, ok }), ok)
            }
            StoreCall::Register => {
                let entries = self.register().ok();
                let ok = entries.is_some();
                (Some(StoreResult::Registered(entries)), ok)
            }
            StoreCall::Unregister => {
                let own = self.local_entry.incarnation;
                let result = ledger::change_entries(store, |entries| {
                    entries.retain(|e| e.incarnation != own);
                });
                (None, result.is_ok())
            }
            StoreCall::ApplySettings { new, responder } => {
                let result = self.apply_settings(&new);
                let ok = !matches!(result, Err(ApplyError::Store(_)));
                (Some(StoreResult::SettingsApplied { result, responder }), ok)
            }
        }
    }

    fn apply_settings(
        &self,
        new: &super::duty::NewSettings,
    ) -> Result<SettingsRecord, ApplyError> {
        let wall = self.clock.wall();
        let at = wall.duration_since(SystemTime::UNIX_EPOCH);
        let change = SettingsChange {
            base: new.base,
            text: &new.text,
            id: &new.change,
            by: &new.by,
            at_s: at.unwrap_or_default().as_secs(),
        };
        ledger::apply_settings(self.store.as_ref(), &change)
    }

    fn acquire_term(&self) -> Result<(TermRecord, LeaseId), AcquireError> {
        let candidate = TermRecord {
            term: 0,
            holder: self.local_entry.name.clone(),
            incarnation: self.local_entry.incarnation,
            peer: self.local_entry.peer.clone(),
        };
        let result = ledger::acquire_term(
            self.store.as_ref(),
            &self.cell,
            &candidate,
            term::LEASE_TTL,
            term::PROVISIONAL_BITS,
        );
        match result {
            Ok(TermOutcome::Acquired(record, lease)) => Ok((record, lease)),
            Ok(TermOutcome::Held(record)) => Err(AcquireError::Held(record)),
            Ok(TermOutcome::Busy) => Err(AcquireError::HolderUnknown),
            Err(_) => Err(AcquireError::Unavailable),
        }
    }

    fn mark_dispatched(
        &self,
        run: Run,
        version: u64,
        lead: String,
        incarnation: u64,
    ) -> Result<u64, MarkError> {
        let progress = Progress::Dispatched {
            attempt: run.attempt.0,
            lead,
            incarnation,
        };
        let result = ledger::mark_dispatched(
            self.store.as_ref(),
            run.job,
            version,
            progress,
        );
        match result {
            Ok(version) => Ok(version),
            Err(KvError::Conflict(items)) => {
                let found = items.first().ok_or(MarkError::Conflict)?;
                let record: Option<JobRecord> = record::decode(&found.value);
                Err(mark_conflict(record, found.revision))
            }
            Err(_) => Err(MarkError::Unavailable),
        }
    }

    /// Adds this entry to the list of entries in the store if it is missing,
    /// and removes its earlier incarnations, which have the same name or
    /// address. Returns the list.
    fn register(&self) -> Result<EntriesRecord, KvError> {
        ledger::change_entries(self.store.as_ref(), |entries| {
            if entries.contains(&self.local_entry) {
                return;
            }
            entries.retain(|e| {
                e.name != self.local_entry.name
                    && e.peer != self.local_entry.peer
            });
            entries.push(self.local_entry.clone());
        })
    }

    /// Reads the settings until the store answers, and sends them to the event
    /// loop. Returns whether the event loop still runs.
    fn read_settings(&self) -> bool {
        loop {
            let store = self.store.as_ref();
            let found = ledger::read(store, record::SETTINGS);
            let label = if found.is_ok() { "ok" } else { "failed" };
            self.metrics.count_call("settings", label);
            match found {
                // A record that can't be read does not say that there are no
                // settings.
                Ok(found) if found.record.is_none() && found.version > 0 => {
                    return true;
                }
                Ok(found) => {
                    let result = StoreResult::SettingsRead(found.record);
                    return self.results.send(result).is_ok();
                }
                Err(_) => wait_before_retry(),
            }
        }
    }

    /// Reads the settings, then watches the store for new ones and sends them
    /// to the event loop. The store may return an older record, so only a
    /// record whose revision is higher than the one in force is sent.
    fn watch(&self, adopted_revision: &AtomicU64) {
        if !self.read_settings() {
            return;
        }
        let mut version = 0;
        let mut last_sent = 0;
        loop {
            let store = self.store.as_ref();
            let found = ledger::wait_for_change(
                store,
                record::SETTINGS,
                version,
                WATCH_TIMEOUT,
            );
            let label = if found.is_ok() { "ok" } else { "failed" };
            self.metrics.count_call("watch", label);
            match found {
                Ok(Some(found)) => {
                    version = found.revision;
                    let record: Option<SettingsRecord> =
                        record::decode(&found.value);
                    let newer = record.filter(|r| {
                        r.revision
                            > adopted_revision
                                .load(Ordering::Relaxed)
                                .max(last_sent)
                    });
                    if let Some(record) = newer {
                        last_sent = record.revision;
                        if self
                            .results
                            .send(StoreResult::SettingsChanged(record))
                            .is_err()
                        {
                            return;
                        }
                    }
                }
                Ok(None) => {}
                Err(_) => wait_before_retry(),
            }
        }
    }
}

/// Waits before a failed watch or read of the settings is repeated.
fn wait_before_retry() {
    let jitter = 1.0 + rand::random::<f64>();
    thread::sleep(WATCH_RETRY_DELAY.mul_f64(jitter));
}

/// Returns why a job could not be marked as dispatched, given the record that
/// the store holds instead of the expected version.
fn mark_conflict(record: Option<JobRecord>, version: u64) -> MarkError {
    match record.map(|r| r.progress) {
        Some(Progress::Dispatched {
            attempt,
            lead,
            incarnation,
        }) => {
            let dispatched = Dispatched {
                attempt: Attempt(attempt),
                lead,
                incarnation,
            };
            MarkError::Dispatched(dispatched, version)
        }
        Some(Progress::Ended(saved)) => MarkError::Ended(saved.into()),
        Some(Progress::Claimed { .. }) | None => MarkError::Conflict,
    }
}
