//! The mesh: the streams between the entries. Every entry keeps a stream to
//! every other one, for two purposes.
//!
//! If the store is not available to an entry, another entry makes store calls
//! on its behalf (relayed calls). And before an entry replies to a caller that
//! a job does not run, it queries the others for a pending write of this job,
//! which is one that may still be applied.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use crossbeam::channel::{Receiver, Sender, bounded};
use figrill_coordination::{
    entries::{Entries, UnconfirmedWrites, WriteResult},
    store_path::StorePath,
};
use figrill_protocol::message::Message;
use figrill_state::{
    batch::{Batch, BatchId, encode, keys},
    clock::Clock,
    event::{Code, NewEvent, Stamp},
    job::JobId,
    kv::{
        Kv, KvError, Txn,
        call::{Call, CallResult},
    },
};
use figrill_transport::peer::{ConnId, Net};

use crate::metrics::Journal;

mod directory;
mod hub;
pub(super) mod relay;

pub(super) use hub::{CoordinatorInputs, start};

/// The time limit for the other entries to answer whether they may have a
/// pending write.
const QUERY_TIMEOUT: Duration = Duration::from_millis(150);

/// An answer from another entry.
enum PeerAnswer {
    /// The result of a relayed call.
    Store(Result<CallResult, KvError>),
    /// Whether the other entry may have a pending write.
    PendingWrite(bool),
}

/// A thread that waits for the answer to a query.
struct Waiter {
    /// The stream on which the query was sent.
    conn: ConnId,
    answer_tx: Sender<(u64, PeerAnswer)>,
}

struct State {
    entries: Entries<ConnId>,
    /// The writes of this entry that may still be applied.
    writes: UnconfirmedWrites,
    /// The waiting threads, by the number of the query.
    waiters: BTreeMap<u64, Waiter>,
    /// The name of the entry that is the coordinator, as last read from the
    /// store.
    coordinator: Option<String>,
}

struct Inner {
    /// The streams of this process. They are started once the shared secret is
    /// known.
    net: OnceLock<Net>,
    clock: Arc<dyn Clock>,
    journal: Journal,
    /// The queue of the local coordinator for the records of accepted jobs.
    job_records: Sender<Batch>,
    /// The number of the next query to another entry.
    next_number: AtomicU64,
    /// Whether the store answers the direct calls of this process.
    store_path: Mutex<StorePath>,
    /// The revision of the record of this entry in the store, or 0 before it
    /// is written.
    record_revision: AtomicU64,
    /// Whether another writer has changed or removed the record of this entry.
    record_lost: AtomicBool,
    /// Whether the process is stopping. Its record is no longer renewed then.
    leaving: AtomicBool,
    state: Mutex<State>,
}

/// The streams to the other entries, and the writes that this one has sent.
/// Clones share all state.
#[derive(Clone)]
pub(super) struct Mesh(Arc<Inner>);

impl Mesh {
    fn new(
        name: &str,
        clock: Arc<dyn Clock>,
        journal: Journal,
        job_records: Sender<Batch>,
    ) -> Self {
        let writes = UnconfirmedWrites::new(clock.now());
        Self(Arc::new(Inner {
            net: OnceLock::new(),
            clock,
            journal,
            job_records,
            next_number: AtomicU64::new(1),
            store_path: Mutex::default(),
            record_revision: AtomicU64::new(0),
            record_lost: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            state: Mutex::new(State {
                entries: Entries::new(name),
                writes,
                waiters: BTreeMap::new(),
                coordinator: None,
            }),
        }))
    }

    /// Returns the streams of this process. Blocks until they are started.
    pub(super) fn net(&self) -> &Net {
        self.0.net.wait()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let state = self.0.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Duration {
        self.0.clock.now()
    }

    /// Returns whether the record of this entry is in the store. Until then it
    /// must not write jobs: the other entries do not know of it yet, so none
    /// would ask it for a pending write.
    pub(super) fn is_registered(&self) -> bool {
        self.0.record_revision.load(Ordering::Relaxed) > 0
    }

    /// Records that the record of this entry is in the store, with this
    /// revision. If this is the first incarnation of the entry, no write of an
    /// earlier one can be pending.
    fn set_registered(&self, revision: u64, is_first_incarnation: bool) {
        let previous =
            self.0.record_revision.swap(revision, Ordering::Relaxed);
        if is_first_incarnation && previous == 0 {
            self.lock().writes.set_first_incarnation();
        }
    }

    fn is_leaving(&self) -> bool {
        self.0.leaving.load(Ordering::Relaxed)
    }

    /// Removes the record of this entry and stops its renewal. Must be called
    /// when no caller is being answered any more, so that this entry sends no
    /// write afterwards.
    pub(super) fn leave(&self, kv: &dyn Kv, name: &str) {
        self.0.leaving.store(true, Ordering::Relaxed);
        let revision = self.0.record_revision.load(Ordering::Relaxed);
        if revision == 0 {
            return;
        }
        let all_confirmed = self.lock().writes.all_confirmed(self.now());
        directory::remove_record(kv, name, revision, all_confirmed);
    }

    /// Records which entry is the coordinator.
    pub(super) fn set_coordinator(&self, name: Option<&str>) {
        self.lock().coordinator = name.map(str::to_owned);
    }

    /// Tells the coordinator of a job whose record was written to the store.
    /// The watch of the store reports the job as well, so nothing is lost if
    /// the coordinator is unknown or can't be reached.
    pub(super) fn announce_job(&self, batch: &Batch) {
        let conn = {
            let state = self.lock();
            let coordinator = state.coordinator.as_deref();
            coordinator.and_then(|name| state.entries.stream_to(name))
        };
        match conn {
            Some(conn) => {
                self.send(conn, Message::JobRecord(encode(batch)));
            }
            None => self.queue_job_record(batch.clone()),
        }
    }

    /// Queues the record of a job for the local coordinator. Does nothing if
    /// the queue is full, as it is while this process does not coordinate.
    fn queue_job_record(&self, batch: Batch) {
        let _ = self.0.job_records.try_send(batch);
    }

    /// Records that a write of a job is about to be sent.
    pub(super) fn begin_write(&self, job: BatchId) {
        self.lock().writes.begin(job);
    }

    /// Records the result of a write that [`begin_write`](Self::begin_write)
    /// recorded.
    pub(super) fn end_write(&self, job: BatchId, result: WriteResult) {
        self.lock().writes.end(self.now(), job, result);
    }

    /// Returns whether this entry or any other may have a pending write of a
    /// job. Returns `true` if that can't be ruled out.
    pub(super) fn may_have_pending_write(&self, job: BatchId) -> bool {
        let now = self.now();
        let conns = {
            let mut state = self.lock();
            if state.writes.may_still_apply(now, job) {
                self.record_unsettled(
                    job,
                    "this entry may have a pending write",
                );
                return true;
            }
            state.entries.peers_to_query(now)
        };
        let Some(conns) = conns else {
            self.record_unsettled(job, "not all other entries can be queried");
            return true;
        };
        let query = |number| Message::PendingWriteQuery { number, job };
        let count = conns.len();
        let answers = self.send_queries(conns, query);
        let ruled_out = answers
            .wait(count, QUERY_TIMEOUT)
            .filter(|answer| matches!(answer, PeerAnswer::PendingWrite(false)))
            .count();
        if ruled_out < count {
            let why = format!(
                "{ruled_out} of {count} entries rule out a pending write"
            );
            self.record_unsettled(job, &why);
        }
        ruled_out < count
    }

    /// Records as an event why a pending write of a job can't be ruled out.
    fn record_unsettled(&self, job: BatchId, why: &str) {
        let job = JobId(u128::from(job.0));
        let detail = format!("why={why}");
        let event = NewEvent::for_job(Code::WriteUnsettled, job, detail);
        self.0.journal.record(&event);
    }

    /// Relays a store call through another entry. Returns `None` if no entry
    /// with a stream to this one reaches the store.
    fn relay_call(
        &self,
        call: &Call,
        timeout: Duration,
    ) -> Option<Result<CallResult, KvError>> {
        if let Call::Commit(txn) = call {
            return self.relay_commit(txn, timeout);
        }
        let conn = self.lock().entries.next_relay()?;
        Some(self.call_through(conn, call, timeout))
    }

    /// Relays a transaction on the condition that the relaying entry still has
    /// the record that this entry knows. An entry that is paused for longer
    /// than its lease loses its record, so a write that it makes long after it
    /// was sent is not applied, however it was held up on its way.
    fn relay_commit(
        &self,
        txn: &Txn,
        timeout: Duration,
    ) -> Option<Result<CallResult, KvError>> {
        let relay = self.lock().entries.next_write_relay()?;
        let key = keys::entry(&relay.name);
        let mut txn = txn.clone();
        txn.conditions.push((key.clone(), relay.record_revision));
        if let Err(e) = txn.check() {
            return Some(Err(e.into()));
        }
        let call = Call::Commit(txn);
        let result = self.call_through(relay.stream, &call, timeout);
        Some(match result {
            Err(KvError::Conflict(mut items)) => {
                let is_registered = items.iter().any(|i| {
                    i.key == key && i.revision == relay.record_revision
                });
                items.retain(|i| i.key != key);
                if is_registered {
                    Err(KvError::Conflict(items))
                } else {
                    let why = "the relaying entry has lost its record";
                    Err(KvError::Refused(why.to_owned()))
                }
            }
            result => result,
        })
    }

    /// Makes a store call through the entry at the other end of a stream.
    fn call_through(
        &self,
        conn: ConnId,
        call: &Call,
        timeout: Duration,
    ) -> Result<CallResult, KvError> {
        let answers =
            self.send_queries(vec![conn], |number| Message::StoreCall {
                number,
                timeout,
                call: call.clone(),
            });
        match answers.wait(1, timeout).next() {
            Some(PeerAnswer::Store(result)) => result,
            _ => Err(KvError::Unanswered(
                "no answer from the relaying entry".to_owned(),
            )),
        }
    }

    /// Sends a query to each of `conns`.
    fn send_queries(
        &self,
        conns: Vec<ConnId>,
        query: impl Fn(u64) -> Message,
    ) -> PendingAnswers<'_> {
        let (tx, rx) = bounded(conns.len().max(1));
        let mut numbers = Vec::new();
        for conn in conns {
            let number = self.0.next_number.fetch_add(1, Ordering::Relaxed);
            let waiter = Waiter {
                conn,
                answer_tx: tx.clone(),
            };
            self.lock().waiters.insert(number, waiter);
            numbers.push(number);
            self.send(conn, query(number));
        }
        PendingAnswers {
            mesh: self,
            numbers,
            rx,
        }
    }

    fn send(&self, conn: ConnId, message: Message) {
        if self.net().send(conn, Stamp::default(), message).is_err() {
            self.0.journal.record_event(
                Code::RingFull,
                "the queue of a stream to an entry is full",
            );
        }
    }

    /// Passes an answer to the thread that waits for it. An answer that no
    /// thread waits for on this stream is dropped.
    fn deliver_answer(&self, conn: ConnId, number: u64, answer: PeerAnswer) {
        let mut state = self.lock();
        let is_expected =
            state.waiters.get(&number).is_some_and(|w| w.conn == conn);
        if is_expected && let Some(waiter) = state.waiters.remove(&number) {
            // The thread may have stopped waiting.
            let _ = waiter.answer_tx.try_send((number, answer));
        }
    }

    /// Makes a call to the store directly, and records whether the store was
    /// available. On a change, records an event with the reason and notifies
    /// the other entries.
    fn call_directly(
        &self,
        store: &dyn Kv,
        call: &Call,
        timeout: Duration,
    ) -> Result<CallResult, KvError> {
        let sent_at = self.now();
        let result = call.execute(store, timeout);
        let outage = result.as_ref().err().filter(|e| e.is_outage());
        let changed = self.store_path().record(sent_at, outage.is_none());
        if changed {
            let (code, why) = match outage {
                Some(e) => (Code::StoreByEntry, e.to_string()),
                None => (
                    Code::StoreDirect,
                    "the store answers direct calls".to_owned(),
                ),
            };
            self.0.journal.record_event(code, format!("why={why}"));
            if self.0.net.get().is_some() {
                self.send_heartbeats();
            }
        }
        result
    }

    fn store_path(&self) -> MutexGuard<'_, StorePath> {
        let path = self.0.store_path.lock();
        path.unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether a write can reach the store, directly or through
    /// another entry.
    pub(super) fn can_write(&self) -> bool {
        self.reaches_store() || self.lock().entries.has_write_relay()
    }

    fn reaches_store(&self) -> bool {
        self.store_path().works()
    }

    fn send_heartbeats(&self) {
        let conns: Vec<ConnId> = self.lock().entries.streams().collect();
        let reaches_store = self.reaches_store();
        for conn in conns {
            self.send(conn, Message::EntryHeartbeat { reaches_store });
        }
    }
}

/// The answers to queries that were sent. Once this is dropped, answers that
/// are still received are ignored.
struct PendingAnswers<'a> {
    mesh: &'a Mesh,
    numbers: Vec<u64>,
    rx: Receiver<(u64, PeerAnswer)>,
}

impl PendingAnswers<'_> {
    /// Returns the answers that are received within `timeout`, at most
    /// `count`.
    fn wait(
        &self,
        count: usize,
        timeout: Duration,
    ) -> impl Iterator<Item = PeerAnswer> {
        let deadline = Instant::now() + timeout;
        (0..count).map_while(move |_| {
            self.rx
                .recv_deadline(deadline)
                .ok()
                .map(|(_, answer)| answer)
        })
    }
}

impl Drop for PendingAnswers<'_> {
    fn drop(&mut self) {
        let mut state = self.mesh.lock();
        for number in &self.numbers {
            state.waiters.remove(number);
        }
    }
}
