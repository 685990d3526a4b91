//! Calls of the platform's store, off the deciding thread.

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
    term::{self, RenewError, TakeError},
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

/// How long a call for the lease may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// How long a watch for new settings waits at the store.
const WATCH_WAIT: Duration = Duration::from_secs(2);

/// Time before the next watch after one failed; doubled by jitter.
const WATCH_AGAIN: Duration = Duration::from_millis(400);

/// A call to make.
pub(super) enum StoreCall {
    TakeTerm,
    Renew(LeaseId),
    Release(LeaseId),
    Claim {
        job: JobId,
        workspace: String,
        key: Option<String>,
        request: String,
    },
    Read {
        job: JobId,
    },
    TakeOver {
        job: JobId,
        version: u64,
        record: Box<JobRecord>,
    },
    Mark {
        run: Run,
        version: u64,
        lead: String,
        incarnation: u64,
    },
    Save {
        job: JobId,
        outcome: Outcome,
    },
    Register,
    Unregister,
    Apply {
        new: Box<super::duty::NewSettings>,
        responder: Responder,
    },
}

/// What came of a call.
pub(super) enum StoreDone {
    Taken(Result<(TermRecord, LeaseId), TakeError>),
    Renewed(Result<(), RenewError>),
    Claimed {
        job: JobId,
        result: Option<ClaimOutcome>,
    },
    Read {
        job: JobId,
        result: RecordRead,
    },
    TakenOver {
        job: JobId,
        version: Option<u64>,
    },
    Marked {
        run: Run,
        result: Result<u64, MarkError>,
    },
    Saved {
        job: JobId,
        ok: bool,
    },
    Entries(Option<EntriesRecord>),
    Applied {
        result: Result<SettingsRecord, ApplyError>,
        responder: Responder,
    },
    Settings(SettingsRecord),
}

struct Caller {
    store: SharedStore,
    clock: Arc<dyn Clock>,
    cell: String,
    me: EntryAddress,
    metrics: Metrics,
    done: Sender<StoreDone>,
}

/// The threads that call the store.
pub(super) struct StoreCalls {
    calls: Sender<StoreCall>,
    term: Sender<StoreCall>,
    pub(super) done: Receiver<StoreDone>,
    revision: Arc<AtomicU64>,
}

impl StoreCalls {
    /// Starts the threads; they end with their rings.
    pub(super) fn start(
        cfg: &Config,
        me: &EntryAddress,
        ring: usize,
        threads: usize,
        metrics: &Metrics,
    ) -> io::Result<Self> {
        let (calls, calls_rx) = bounded::<StoreCall>(ring);
        let (term, term_rx) = bounded::<StoreCall>(8);
        let (done_tx, done) = bounded(ring);
        let caller = || Caller {
            store: cfg.store.clone(),
            clock: cfg.clock.clone(),
            cell: cfg.boot.cell.clone(),
            me: me.clone(),
            metrics: metrics.clone(),
            done: done_tx.clone(),
        };
        for _ in 0..threads {
            let (caller, rx) = (caller(), calls_rx.clone());
            spawn_detached("store", move || caller.serve(&rx))?;
        }
        // The lease is renewed on a thread of its own, so that slow calls
        // for jobs never make it lapse.
        let for_term = caller();
        spawn_detached("term", move || for_term.serve(&term_rx))?;
        let revision = Arc::new(AtomicU64::new(0));
        let (watcher, seen) = (caller(), revision.clone());
        spawn_detached("watch", move || watcher.watch(&seen))?;
        Ok(Self {
            calls,
            term,
            done,
            revision,
        })
    }

    /// Queues a call. With a full ring it counts as unanswered at once.
    pub(super) fn queue(&self, call: StoreCall) -> Option<StoreDone> {
        let ring = match call {
            StoreCall::TakeTerm
            | StoreCall::Renew(_)
            | StoreCall::Release(_) => &self.term,
            _ => &self.calls,
        };
        match ring.try_send(call) {
            Ok(()) => None,
            Err(
                TrySendError::Full(call) | TrySendError::Disconnected(call),
            ) => call.unanswered(),
        }
    }

    /// Tells the watching thread which revision is in force.
    pub(super) fn adopted(&self, revision: u64) {
        self.revision.store(revision, Ordering::Relaxed);
    }
}

impl StoreCall {
    const fn kind(&self) -> &'static str {
        match self {
            Self::TakeTerm => "take_term",
            Self::Renew(_) => "renew",
            Self::Release(_) => "release",
            Self::Claim { .. } => "claim",
            Self::Read { .. } => "read",
            Self::TakeOver { .. } => "take_over",
            Self::Mark { .. } => "mark",
            Self::Save { .. } => "save",
            Self::Register => "register",
            Self::Unregister => "unregister",
            Self::Apply { .. } => "apply",
        }
    }

    /// What the caller is told if the store does not answer.
    fn unanswered(self) -> Option<StoreDone> {
        let down = || KvError::Refused("the ring is full".to_owned());
        Some(match self {
            Self::TakeTerm => StoreDone::Taken(Err(TakeError::Unavailable)),
            Self::Renew(_) => StoreDone::Renewed(Err(RenewError::Unavailable)),
            Self::Release(_) | Self::Unregister => return None,
            Self::Claim { job, .. } => {
                StoreDone::Claimed { job, result: None }
            }
            Self::Read { job } => {
                let result = RecordRead::Unavailable;
                StoreDone::Read { job, result }
            }
            Self::TakeOver { job, .. } => {
                StoreDone::TakenOver { job, version: None }
            }
            Self::Mark { run, .. } => {
                let result = Err(MarkError::Unavailable);
                StoreDone::Marked { run, result }
            }
            Self::Save { job, .. } => StoreDone::Saved { job, ok: false },
            Self::Register => StoreDone::Entries(None),
            Self::Apply { responder, .. } => {
                let result = Err(ApplyError::Store(down()));
                StoreDone::Applied { result, responder }
            }
        })
    }
}

impl Caller {
    fn serve(&self, calls: &Receiver<StoreCall>) {
        while let Ok(call) = calls.recv() {
            let kind = call.kind();
            let start = self.clock.now();
            let (done, ok) = self.make(call);
            let result = if ok { "ok" } else { "failed" };
            self.metrics.count_call(kind, result);
            let took = self.clock.now().saturating_sub(start);
            self.metrics.observe_time("store", took);
            if let Some(done) = done
                && self.done.send(done).is_err()
            {
                return;
            }
        }
    }

    fn make(&self, call: StoreCall) -> (Option<StoreDone>, bool) {
        let store = self.store.as_ref();
        match call {
            StoreCall::TakeTerm => {
                let result = self.take_term();
                let ok = result != Err(TakeError::Unavailable);
                (Some(StoreDone::Taken(result)), ok)
            }
            StoreCall::Renew(lease) => {
                let result =
                    store.renew(lease, CALL_TIMEOUT).map_err(|e| match e {
                        KvError::LeaseNotFound => RenewError::Gone,
                        _ => RenewError::Unavailable,
                    });
                let ok = result != Err(RenewError::Unavailable);
                (Some(StoreDone::Renewed(result)), ok)
            }
            StoreCall::Release(lease) => {
                let ok = store.revoke(lease, CALL_TIMEOUT).is_ok();
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
                    entry: self.me.incarnation,
                };
                let result = ledger::claim(store, &claim).ok();
                let ok = result.is_some();
                (Some(StoreDone::Claimed { job, result }), ok)
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
                (Some(StoreDone::Read { job, result }), ok)
            }
            StoreCall::TakeOver {
                job,
                version,
                record,
            } => {
                let entry = self.me.incarnation;
                let result =
                    ledger::take_over(store, job, version, &record, entry);
                let version = result.ok();
                let ok = version.is_some();
                (Some(StoreDone::TakenOver { job, version }), ok)
            }
            StoreCall::Mark {
                run,
                version,
                lead,
                incarnation,
            } => {
                let result = self.mark(run, version, lead, incarnation);
                let ok = result != Err(MarkError::Unavailable);
                (Some(StoreDone::Marked { run, result }), ok)
            }
            StoreCall::Save { job, outcome } => {
                let ok = ledger::save_outcome(store, job, &outcome).is_ok();
                (Some(StoreDone::Saved { job, ok }), ok)
            }
            StoreCall::Register => {
                let entries = self.register().ok();
                let ok = entries.is_some();
                (Some(StoreDone::Entries(entries)), ok)
            }
            StoreCall::Unregister => {
                let mine = self.me.incarnation;
                let gone = ledger::change_entries(store, |entries| {
                    entries.retain(|e| e.incarnation != mine);
                });
                (None, gone.is_ok())
            }
            StoreCall::Apply { new, responder } => {
                let result = self.apply(&new);
                let ok = !matches!(result, Err(ApplyError::Store(_)));
                (Some(StoreDone::Applied { result, responder }), ok)
            }
        }
    }

    fn apply(
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

    fn take_term(&self) -> Result<(TermRecord, LeaseId), TakeError> {
        let me = TermRecord {
            term: 0,
            holder: self.me.name.clone(),
            incarnation: self.me.incarnation,
            peer: self.me.peer.clone(),
        };
        let taken = ledger::take_term(
            self.store.as_ref(),
            &self.cell,
            &me,
            term::LEASE_TTL,
            term::BID_BITS,
        );
        match taken {
            Ok(TermOutcome::Acquired(record, lease)) => Ok((record, lease)),
            Ok(TermOutcome::Held(record)) => Err(TakeError::Held(record)),
            Ok(TermOutcome::Busy) => Err(TakeError::Busy),
            Err(_) => Err(TakeError::Unavailable),
        }
    }

    fn mark(
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
        let marked = ledger::mark_dispatched(
            self.store.as_ref(),
            run.job,
            version,
            progress,
        );
        match marked {
            Ok(version) => Ok(version),
            Err(KvError::Conflict(items)) => {
                let found = items.first().ok_or(MarkError::Conflict)?;
                let record: Option<JobRecord> = record::decode(&found.value);
                Err(conflict(record, found.revision))
            }
            Err(_) => Err(MarkError::Unavailable),
        }
    }

    /// Puts this entry into the list of entries, in place of any former
    /// life of it.
    fn register(&self) -> Result<EntriesRecord, KvError> {
        ledger::change_entries(self.store.as_ref(), |entries| {
            if entries.contains(&self.me) {
                return;
            }
            entries
                .retain(|e| e.name != self.me.name && e.peer != self.me.peer);
            entries.push(self.me.clone());
        })
    }

    /// Waits for new settings. What the store answers is only offered: an
    /// older record changes nothing.
    fn watch(&self, revision: &AtomicU64) {
        let mut version = 0;
        let mut known = 0;
        loop {
            let store = self.store.as_ref();
            let found = ledger::wait_for_change(
                store,
                record::SETTINGS,
                version,
                WATCH_WAIT,
            );
            let result = if found.is_ok() { "ok" } else { "failed" };
            self.metrics.count_call("watch", result);
            match found {
                Ok(Some(found)) => {
                    version = found.revision;
                    let record: Option<SettingsRecord> =
                        record::decode(&found.value);
                    let newer = record.filter(|r| {
                        r.revision
                            > revision.load(Ordering::Relaxed).max(known)
                    });
                    if let Some(record) = newer {
                        known = record.revision;
                        if self.done.send(StoreDone::Settings(record)).is_err()
                        {
                            return;
                        }
                    }
                }
                Ok(None) => {}
                Err(_) => {
                    let jitter = 1.0 + rand::random::<f64>();
                    thread::sleep(WATCH_AGAIN.mul_f64(jitter));
                }
            }
        }
    }
}

fn conflict(record: Option<JobRecord>, version: u64) -> MarkError {
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
