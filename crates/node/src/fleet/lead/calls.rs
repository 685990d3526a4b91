//! The threads that call the store for the coordinator.

use std::{
    sync::{Arc, atomic::Ordering},
    thread,
    time::Duration,
};

use crossbeam::channel::{RecvTimeoutError, Sender, bounded};
use figrill_coordination::scheduler::Commit;
use figrill_state::{
    batch::{Ledger, decode, encode, keys},
    kv::{Change, KvError, Txn},
};

use super::{FromStore, LEASE, Term, records::input};
use crate::fleet::{STORE_RETRY_DELAY, STORE_TIMEOUT, serve};

/// How long the coordinator waits for jobs before it asks again.
const INPUTS_WATCH: Duration = Duration::from_secs(2);

/// Watches jobs and agents. Where the history is gone, all is read again.
pub(super) fn start_watch(
    term: &Arc<Term>,
    mut revision: u64,
    tx: Sender<FromStore>,
) -> Result<(), String> {
    let term = term.clone();
    serve::spawn("watch", move || {
        while !term.over.load(Ordering::Relaxed) {
            let seen = term.kv.watch(keys::INPUTS, revision, INPUTS_WATCH);
            let sent = match seen {
                Ok(changes) => {
                    revision = changes.revision.max(revision);
                    pass_changes(changes.changes, &tx)
                }
                Err(KvError::Compacted) => {
                    read_again(&term, &mut revision, &tx)
                }
                Err(e) => {
                    log::debug!("the watch of jobs ended: {e}");
                    thread::sleep(STORE_RETRY_DELAY);
                    read_again(&term, &mut revision, &tx)
                }
            };
            if !sent {
                return;
            }
        }
    })
    .map_err(|e| e.to_string())
}

/// `false` if nobody listens any more.
fn pass_changes(changes: Vec<Change>, tx: &Sender<FromStore>) -> bool {
    for change in changes {
        let input = match change {
            Change::Put(item) => input(&item.key, &item.value),
            Change::Removed(key) => key
                .strip_prefix(keys::AGENTS)
                .map(|name| FromStore::AgentGone(name.to_owned())),
        };
        if let Some(input) = input
            && tx.send(input).is_err()
        {
            return false;
        }
    }
    true
}

fn read_again(
    term: &Term,
    revision: &mut u64,
    tx: &Sender<FromStore>,
) -> bool {
    match term.kv.list(keys::INPUTS, STORE_TIMEOUT) {
        Ok(listing) => {
            *revision = listing.revision;
            let changes = listing.items.into_iter().map(Change::Put);
            pass_changes(changes.collect(), tx)
        }
        Err(e) => {
            log::debug!("the jobs were not read again: {e}");
            true
        }
    }
}

/// Writes commits, one after the other, each until it stands.
pub(super) fn start_commits(
    term: &Arc<Term>,
    ledger: u64,
    tx: Sender<FromStore>,
) -> Result<Sender<Commit>, String> {
    let (commits, rx) = bounded::<Commit>(1);
    let term = term.clone();
    serve::spawn("commit", move || {
        let mut ledger = ledger;
        while !term.over.load(Ordering::Relaxed) {
            let commit = match rx.recv_timeout(LEASE) {
                Ok(commit) => commit,
                Err(RecvTimeoutError::Timeout) => continue,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let number = commit.number;
            if !write(&term, &commit, &mut ledger)
                || tx.send(FromStore::Committed(number)).is_err()
            {
                return;
            }
        }
    })
    .map_err(|e| e.to_string())?;
    Ok(commits)
}

/// Writes one commit. `false` if this process coordinates no longer.
fn write(term: &Term, commit: &Commit, ledger: &mut u64) -> bool {
    let record = Ledger {
        token: term.token,
        commit: commit.number,
        waiting: commit.waiting.clone(),
    };
    let mut txn = Txn::swap(keys::LEDGER, *ledger, encode(&record));
    let coordinator = keys::COORDINATOR.to_owned();
    txn.conditions.push((coordinator, term.token));
    for (id, progress) in &commit.progress {
        txn.puts.push((keys::progress(*id), encode(progress), None));
    }
    for id in &commit.removals {
        txn.removes.push(keys::job(*id));
        txn.removes.push(keys::progress(*id));
    }
    while !term.over.load(Ordering::Relaxed) {
        match term.kv.commit(&txn, STORE_TIMEOUT) {
            Ok(revision) => {
                *ledger = revision;
                return true;
            }
            Err(KvError::Conflict(items)) => {
                let mine = items.iter().find(|i| {
                    i.key == keys::LEDGER
                        && decode::<Ledger>(&i.value).ok().as_ref()
                            == Some(&record)
                });
                if let Some(item) = mine {
                    // An earlier sending took effect; its answer was lost.
                    *ledger = item.revision;
                    return true;
                }
                log::warn!("a commit met another coordinator's");
                term.over.store(true, Ordering::Relaxed);
            }
            Err(e) => {
                log::debug!("a commit is tried again: {e}");
                thread::sleep(STORE_RETRY_DELAY);
            }
        }
    }
    false
}
