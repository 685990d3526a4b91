//! Entries among themselves. Each keeps a stream to every other; where the
//! store turns an entry away, another one makes its calls, and before an
//! entry says that a job does not run it asks the others whether a write of
//! theirs may still land.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use crossbeam::channel::{Receiver, Sender, bounded};
use figrill_coordination::entries::{Entries, Sent, UnsettledWrites};
use figrill_protocol::message::Message;
use figrill_state::{
    batch::BatchId,
    clock::Clock,
    event::{Code, NewEvent, Stamp},
    job::JobId,
    kv::{
        Kv, KvError,
        call::{Call, CallResult},
    },
};
use figrill_transport::peer::{ConnId, Net};

use crate::metrics::Journal;

mod directory;
mod hub;
pub(super) mod relay;

pub(super) use hub::start;

/// How long the other entries may take to say what they have sent.
const ASK_WAIT: Duration = Duration::from_millis(150);

/// An answer of another entry.
enum Word {
    Store(Result<CallResult, KvError>),
    WriteMayLand(bool),
}

struct Waiter {
    conn: ConnId,
    answer: Sender<(u64, Word)>,
}

struct State {
    entries: Entries<ConnId>,
    writes: UnsettledWrites,
    waiting: BTreeMap<u64, Waiter>,
}

struct Shared {
    net: OnceLock<Net>,
    clock: Arc<dyn Clock>,
    journal: Journal,
    numbers: AtomicU64,
    /// Whether the store answers this process itself.
    reaches_store: AtomicBool,
    /// Whether the store has this process's record.
    registered: AtomicBool,
    /// Whether the process ends and takes its record away.
    leaving: AtomicBool,
    state: Mutex<State>,
}

/// The other entries, as all threads of this one see them.
#[derive(Clone)]
pub(super) struct Mesh(Arc<Shared>);

impl Mesh {
    fn new(name: &str, clock: Arc<dyn Clock>, journal: Journal) -> Self {
        let writes = UnsettledWrites::new(clock.now());
        Self(Arc::new(Shared {
            net: OnceLock::new(),
            clock,
            journal,
            numbers: AtomicU64::new(1),
            reaches_store: AtomicBool::new(true),
            registered: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            state: Mutex::new(State {
                entries: Entries::new(name),
                writes,
                waiting: BTreeMap::new(),
            }),
        }))
    }

    /// The streams of this process; waits until they may be opened.
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

    /// Whether the store knows of this entry: before that, it sends no
    /// write of a job, since nobody would ask it for one.
    pub(super) fn is_registered(&self) -> bool {
        self.0.registered.load(Ordering::Relaxed)
    }

    fn set_registered(&self, first_life: bool) {
        let before = self.0.registered.swap(true, Ordering::Relaxed);
        if first_life && !before {
            self.lock().writes.is_first_life();
        }
    }

    fn is_leaving(&self) -> bool {
        self.0.leaving.load(Ordering::Relaxed)
    }

    /// Takes this entry's record away; from then on it sends no write.
    pub(super) fn leave(&self, kv: &dyn Kv, name: &str) {
        self.0.leaving.store(true, Ordering::Relaxed);
        let settled = self.lock().writes.is_settled(self.now());
        directory::leave(kv, name, settled);
    }

    /// A write of a job is about to be sent.
    pub(super) fn begin_write(&self, job: BatchId) {
        self.lock().writes.begin(job);
    }

    /// A write that was begun has ended.
    pub(super) fn end_write(&self, job: BatchId, how: Sent) {
        self.lock().writes.end(self.now(), job, how);
    }

    /// Whether a write of a job may still land, sent by this entry or any
    /// other. In doubt it may.
    pub(super) fn write_may_land(&self, job: BatchId) -> bool {
        let now = self.now();
        let asked = {
            let mut state = self.lock();
            if state.writes.may_land(now, job) {
                self.unsure(job, "this entry may have sent it");
                return true;
            }
            state.entries.to_ask(now)
        };
        let Some(asked) = asked else {
            self.unsure(job, "another entry cannot be asked");
            return true;
        };
        let question = |number| Message::PendingWriteQuery { number, job };
        let count = asked.len();
        let answers = self.ask(asked, question);
        let no = answers
            .wait(count, ASK_WAIT)
            .filter(|word| matches!(word, Word::WriteMayLand(false)))
            .count();
        if no < count {
            let why = format!("{no} of {count} entries rule it out");
            self.unsure(job, &why);
        }
        no < count
    }

    fn unsure(&self, job: BatchId, why: &str) {
        let job = JobId(u128::from(job.0));
        let detail = format!("why={why}");
        let note = NewEvent::for_job(Code::WriteUnsettled, job, detail);
        self.0.journal.record(&note);
    }

    /// Has another entry make a call of the store; `None` if there is none
    /// that could.
    fn call_by_another(
        &self,
        call: &Call,
        timeout: Duration,
    ) -> Option<Result<CallResult, KvError>> {
        let conn = self.lock().entries.helper()?;
        let answers = self.ask(vec![conn], |number| Message::StoreCall {
            number,
            timeout,
            call: call.clone(),
        });
        let word = answers.wait(1, timeout).next();
        let lost = || KvError::Unanswered("the other entry".to_owned());
        Some(match word {
            Some(Word::Store(result)) => result,
            _ => Err(lost()),
        })
    }

    /// Sends a question to some entries.
    fn ask(
        &self,
        conns: Vec<ConnId>,
        question: impl Fn(u64) -> Message,
    ) -> Answers<'_> {
        let (tx, rx) = bounded(conns.len().max(1));
        let mut numbers = Vec::new();
        for conn in conns {
            let number = self.0.numbers.fetch_add(1, Ordering::Relaxed);
            let waiter = Waiter {
                conn,
                answer: tx.clone(),
            };
            self.lock().waiting.insert(number, waiter);
            numbers.push(number);
            self.send(conn, question(number));
        }
        Answers {
            mesh: self,
            numbers,
            rx,
        }
    }

    fn send(&self, conn: ConnId, message: Message) {
        if self.net().send(conn, Stamp::default(), message).is_err() {
            self.0.journal.record_event(Code::RingFull, "to an entry");
        }
    }

    /// An answer came: whoever waits for it gets it.
    fn answered(&self, conn: ConnId, number: u64, word: Word) {
        let mut state = self.lock();
        let right = state.waiting.get(&number).is_some_and(|w| w.conn == conn);
        if right && let Some(waiter) = state.waiting.remove(&number) {
            // Whoever asked may have stopped waiting.
            let _ = waiter.answer.try_send((number, word));
        }
    }

    /// Takes note of whether the store answers this process itself, and
    /// tells the other entries when that changes.
    fn set_reaches_store(&self, reaches: bool, why: &str) {
        let before = self.0.reaches_store.swap(reaches, Ordering::Relaxed);
        if before == reaches {
            return;
        }
        let code = if reaches {
            Code::StoreDirect
        } else {
            Code::StoreByEntry
        };
        self.0.journal.record_event(code, format!("why={why}"));
        if self.0.net.get().is_some() {
            self.beat();
        }
    }

    fn reaches_store(&self) -> bool {
        self.0.reaches_store.load(Ordering::Relaxed)
    }

    fn beat(&self) {
        let conns: Vec<ConnId> = self.lock().entries.links().collect();
        let reaches_store = self.reaches_store();
        for conn in conns {
            self.send(conn, Message::EntryHeartbeat { reaches_store });
        }
    }
}

/// Questions that wait for their answers; forgotten when dropped.
struct Answers<'a> {
    mesh: &'a Mesh,
    numbers: Vec<u64>,
    rx: Receiver<(u64, Word)>,
}

impl Answers<'_> {
    /// The answers that come within `limit`, `count` at most.
    fn wait(
        &self,
        count: usize,
        limit: Duration,
    ) -> impl Iterator<Item = Word> {
        let until = Instant::now() + limit;
        (0..count).map_while(move |_| {
            self.rx.recv_deadline(until).ok().map(|(_, word)| word)
        })
    }
}

impl Drop for Answers<'_> {
    fn drop(&mut self) {
        let mut state = self.mesh.lock();
        for number in &self.numbers {
            state.waiting.remove(number);
        }
    }
}
