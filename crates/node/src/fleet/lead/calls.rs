//! The threads that make store calls for the coordinator: one watches its
//! inputs, the records of jobs and agents, and one writes its commits.

use std::{
    sync::{Arc, atomic::Ordering},
    thread,
    time::Duration,
};

use crossbeam::channel::{RecvTimeoutError, Sender, bounded};
use figrill_coordination::scheduler::{Commit, Scheduler, WaitReason};
use figrill_state::{
    batch::keys,
    kv::{Change, KvError},
};

use super::{
    Coordinator, StoreInput,
    records::decode_input,
    term::{LEASE_TTL, Term},
};
use crate::fleet::{
    STORE_RETRY_DELAY, STORE_TIMEOUT, refusals::Refusals, serve,
};

/// The maximum wait of one watch for changes of jobs and agents.
const INPUT_WATCH_TIMEOUT: Duration = Duration::from_secs(2);

impl Coordinator {
    /// Sets the gauges of what the scheduler withholds: workers that get no
    /// work because they fail it, and work that waits although it would fit.
    pub(super) fn set_gauges(&self, scheduler: &Scheduler) {
        let metrics = &self.journal.metrics;
        metrics.set_gauge("suspect_workers", scheduler.suspect_workers());
        let now = self.now();
        for reason in WaitReason::ALL {
            let waited_ms = scheduler.longest_wait(now, reason).as_millis();
            let value = usize::try_from(waited_ms).unwrap_or(usize::MAX);
            metrics.set_gauge(wait_gauge(reason), value);
        }
    }

    /// Resets the gauges at the end of a term.
    pub(super) fn clear_gauges(&self) {
        let metrics = &self.journal.metrics;
        metrics.set_gauge("suspect_workers", 0);
        for reason in WaitReason::ALL {
            metrics.set_gauge(wait_gauge(reason), 0);
        }
    }
}

/// Returns the name of the gauge of the longest wait for a reason.
const fn wait_gauge(reason: WaitReason) -> &'static str {
    match reason {
        WaitReason::Rack => "rack_wait_ms",
        WaitReason::Reservation => "reservation_wait_ms",
        WaitReason::Worker => "worker_wait_ms",
    }
}

/// Starts the thread that watches the records of jobs and agents after
/// `revision`. If the watch fails or its history is compacted, all of them are
/// read again.
pub(super) fn start_watch(
    term: &Arc<Term>,
    mut revision: u64,
    tx: Sender<StoreInput>,
    mut refusals: Refusals,
) -> Result<(), String> {
    let term = term.clone();
    serve::spawn("watch", move || {
        while !term.ended.load(Ordering::Relaxed) {
            let result =
                term.kv.watch(keys::INPUTS, revision, INPUT_WATCH_TIMEOUT);
            let receiver_alive = match result {
                Ok(changes) => {
                    revision = changes.revision.max(revision);
                    forward_changes(changes.changes, &tx, &mut refusals)
                        && tx.send(StoreInput::Read(revision)).is_ok()
                }
                Err(KvError::Compacted) => {
                    read_all(&term, &mut revision, &tx, &mut refusals)
                }
                Err(e) => {
                    log::debug!("the watch of jobs and agents failed: {e}");
                    thread::sleep(STORE_RETRY_DELAY);
                    read_all(&term, &mut revision, &tx, &mut refusals)
                }
            };
            if !receiver_alive {
                return;
            }
        }
    })
    .map_err(|e| e.to_string())
}

/// Queues changes for the scheduler. Returns `false` if the receiver is gone
/// because the term has ended. The removal of a job is not queued: only the
/// coordinator itself removes jobs.
fn forward_changes(
    changes: Vec<Change>,
    tx: &Sender<StoreInput>,
    refusals: &mut Refusals,
) -> bool {
    for change in changes {
        let input = match change {
            Change::Put(item) => decode_input(&item)
                .inspect_err(|why| refusals.refuse(&item, why))
                .ok(),
            Change::Removed(key) => key
                .strip_prefix(keys::AGENTS)
                .map(|name| StoreInput::AgentRemoved(name.to_owned())),
        };
        if let Some(input) = input
            && tx.send(input).is_err()
        {
            return false;
        }
    }
    true
}

/// Reads the records of all jobs and agents again, queues them, and sets
/// `revision` to the one to watch from. Returns `false` like
/// [`forward_changes`].
fn read_all(
    term: &Term,
    revision: &mut u64,
    tx: &Sender<StoreInput>,
    refusals: &mut Refusals,
) -> bool {
    match term.kv.list(keys::INPUTS, STORE_TIMEOUT) {
        Ok(listing) => {
            *revision = listing.revision;
            let changes = listing.items.into_iter().map(Change::Put);
            forward_changes(changes.collect(), tx, refusals)
                && tx.send(StoreInput::Read(listing.revision)).is_ok()
        }
        Err(e) => {
            log::debug!("failed to read the jobs and agents again: {e}");
            true
        }
    }
}

/// Starts the thread that writes commits, one at a time, and returns its
/// queue. Each commit is retried until it is in the store, the store rejects
/// it or the term has ended.
pub(super) fn start_commits(
    term: &Arc<Term>,
    ledger_revision: u64,
    tx: Sender<StoreInput>,
) -> Result<Sender<Commit>, String> {
    let (commits, rx) = bounded::<Commit>(1);
    let term = term.clone();
    serve::spawn("commit", move || {
        let mut ledger_revision = ledger_revision;
        while !term.ended.load(Ordering::Relaxed) {
            let commit = match rx.recv_timeout(LEASE_TTL) {
                Ok(commit) => commit,
                Err(RecvTimeoutError::Timeout) => continue,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let Some(written) =
                write_commit(&term, &commit, &mut ledger_revision)
            else {
                return;
            };
            if tx.send(written).is_err() {
                return;
            }
        }
    })
    .map_err(|e| e.to_string())?;
    Ok(commits)
}

/// Writes one commit, and returns what became of it; `None` if the term has
/// ended.
fn write_commit(
    term: &Term,
    commit: &Commit,
    ledger_revision: &mut u64,
) -> Option<StoreInput> {
    let txn = commit.transaction(*ledger_revision);
    while !term.ended.load(Ordering::Relaxed) {
        match term.kv.commit(&txn, STORE_TIMEOUT) {
            Ok(revision) => {
                *ledger_revision = revision;
                return Some(StoreInput::Committed(commit.number, revision));
            }
            Err(KvError::Conflict(items)) => {
                let own_ledger = items.iter().find(|i| {
                    i.key == keys::LEDGER && commit.wrote_ledger(&i.value)
                });
                if let Some(item) = own_ledger {
                    // An earlier attempt was applied, but its answer was lost.
                    let revision = item.revision;
                    *ledger_revision = revision;
                    return Some(StoreInput::Committed(
                        commit.number,
                        revision,
                    ));
                }
                log::warn!(
                    "the conditions of a commit failed; ending this term"
                );
                term.ended.store(true, Ordering::Relaxed);
            }
            Err(KvError::Rejected(why)) => {
                // Not at once: an empty commit may be the one that is rejected.
                thread::sleep(STORE_RETRY_DELAY);
                return Some(StoreInput::CommitRejected(commit.number, why));
            }
            Err(e) => {
                log::debug!("failed to write a commit; retrying: {e}");
                thread::sleep(STORE_RETRY_DELAY);
            }
        }
    }
    None
}
