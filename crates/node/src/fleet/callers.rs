//! What a caller is told, from the configuration and the store alone.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use crossbeam::channel::Receiver;
use figrill_coordination::entries::Sent;
use figrill_state::{
    batch::{Batch, BatchId},
    callers::{CallerCodec, Reply, Request, RequestKind},
    catalog::Queue,
    clock::Clock,
    event::{Code, NewEvent},
    job::JobId,
    kv::Kv,
};
use figrill_transport::http::{Answer, Call, Event};

use super::{
    catalog::Shared,
    mesh::Mesh,
    stored::{self, Known, Patience, Written},
};
use crate::metrics::Journal;

/// How long a caller waits if it does not say so.
const PATIENCE: Duration = Duration::from_secs(3);

/// Kept of a caller's patience for the way back.
const WAY_BACK: Duration = Duration::from_millis(250);

/// The longest that one try of the store may take.
const TRY: Duration = Duration::from_millis(700);

/// The longest that a caller is kept while the store does not do what it
/// is asked: another entry may reach the store where this one does not.
const TRIES: Duration = Duration::from_millis(1600);

/// Time between two tries.
const AGAIN: Duration = Duration::from_millis(60);

/// When a caller may come again after a refusal, in seconds.
const RETRY_AFTER_S: u32 = 1;

/// The same while the store is away, in seconds. Callers come back a few
/// times, and outages last up to ten seconds.
const OUTAGE_RETRY_AFTER_S: u32 = 3;

type CallersOf = dyn CallerCodec<Call = Call, Answer = Answer>;

/// Answers callers; clones share everything.
#[derive(Clone)]
pub(super) struct CallerService {
    pub(super) kv: Arc<dyn Kv>,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) catalog: Arc<Shared>,
    pub(super) callers: Arc<CallersOf>,
    pub(super) journal: Journal,
    /// Callers that are being answered.
    pub(super) open: Arc<AtomicUsize>,
    /// The other entries, and what this one has sent.
    pub(super) mesh: Mesh,
}

/// One caller's patience.
struct Clocked<'a> {
    clock: &'a dyn Clock,
    until: Duration,
}

impl Patience for Clocked<'_> {
    fn left(&self) -> Duration {
        self.until.saturating_sub(self.clock.now()).min(TRY)
    }

    fn pause(&self) {
        thread::sleep(AGAIN);
    }
}

impl CallerService {
    /// Answers callers until the ring ends.
    pub(super) fn run(&self, calls: &Receiver<Event>) {
        for event in calls {
            let Event::Call(call) = event else {
                continue;
            };
            self.open.fetch_add(1, Ordering::Relaxed);
            let begun = self.clock.now();
            let request = self.callers.request(&call);
            let (reply, id) = self.reply(&request, &call.body, begun);
            let took = self.clock.now().saturating_sub(begun);
            self.note(&request, &reply, id, took);
            call.responder.send(self.callers.answer(&reply));
            self.open.fetch_sub(1, Ordering::Relaxed);
        }
    }

    fn note(
        &self,
        request: &Request,
        reply: &Reply,
        id: Option<BatchId>,
        took: Duration,
    ) {
        self.journal.metrics.count_call("caller", reply.name());
        self.journal.metrics.observe_time("caller", took);
        let code = match reply {
            Reply::Accepted => Code::JobAccepted,
            Reply::CancelAccepted => Code::JobCancelled,
            Reply::State(_) | Reply::Pending(_) => Code::JobAnswered,
            _ => Code::JobRefused,
        };
        let version = self.catalog.get().map_or(0, |c| c.version);
        let detail = format!(
            "kind={:?} reply={reply:?} path={} version={version} took_ms={}",
            request.kind,
            request.path,
            took.as_millis()
        );
        let job = id.map(|id| JobId(u128::from(id.0)));
        self.journal.record(&NewEvent { code, job, detail });
    }

    fn reply(
        &self,
        request: &Request,
        body: &[u8],
        begun: Duration,
    ) -> (Reply, Option<BatchId>) {
        let retry_after_s = RETRY_AFTER_S;
        let Some(catalog) = self.catalog.get() else {
            return (Reply::NotRun { retry_after_s }, None);
        };
        let Some(queue) = catalog.queue(&request.host, &request.path) else {
            return (Reply::NoSuchQueue, None);
        };
        let key = request.key.as_deref();
        let workspace = key.and_then(|k| catalog.keys.get(k));
        if workspace.is_none() && !queue.public {
            return (Reply::UnknownKey, None);
        }
        let workspace = workspace.map(String::as_str).unwrap_or_default();
        let patience = self.patience(request, begun);
        let id = self.callers.id(&request.path, &queue.prefix);
        let reply = match (request.kind, id) {
            (Some(RequestKind::Submit), Some(id)) => {
                self.submit(queue, workspace, id, body, &patience)
            }
            (Some(RequestKind::Read), Some(id)) => self.show(id, &patience),
            (Some(RequestKind::Read), None)
                if request.path == queue.prefix =>
            {
                self.pending(&queue.name, &patience)
            }
            (Some(RequestKind::Cancel), Some(id)) => {
                self.cancel(id, &patience)
            }
            _ => Reply::Malformed("no such call".to_owned()),
        };
        (reply, id)
    }

    fn patience(&self, request: &Request, begun: Duration) -> Clocked<'_> {
        let whole = request.timeout.unwrap_or(PATIENCE);
        let usable = whole.saturating_sub(WAY_BACK).min(TRIES);
        Clocked {
            clock: &*self.clock,
            until: begun + usable,
        }
    }

    fn submit(
        &self,
        queue: &Queue,
        workspace: &str,
        id: BatchId,
        body: &[u8],
        patience: &dyn Patience,
    ) -> Reply {
        let posted = match self.callers.submission(body) {
            Ok(posted) => posted,
            Err(why) => return Reply::Malformed(why),
        };
        let batch = Batch {
            id,
            workspace: workspace.to_owned(),
            queue: queue.name.clone(),
            service: queue.service.clone(),
            priority: queue.priority,
            attempts: queue.attempts,
            stretch: queue.stretch,
            target: queue.target,
            payload: posted.payload,
            steps: posted.steps,
            schedule: posted.schedule,
            accepted_ms: wall_ms(&*self.clock),
            cancelled: false,
        };
        if let Some(why) = batch.validation_error() {
            return Reply::Malformed(why);
        }
        match self.write(&batch, patience) {
            Written::Stands => Reply::Accepted,
            Written::NotDone | Written::Missing
                if !self.mesh.write_may_land(id) =>
            {
                Reply::NotRun {
                    retry_after_s: self.store_retry_after_s(),
                }
            }
            _ => Reply::Unsettled,
        }
    }

    /// Writes a job, unless the store is known to be away: then nothing is
    /// sent, and the caller hears of it at once.
    fn write(&self, batch: &Batch, patience: &dyn Patience) -> Written {
        let store_up = self.catalog.store_up.load(Ordering::Relaxed);
        if !store_up || !self.mesh.is_registered() {
            return Written::NotDone;
        }
        self.mesh.begin_write(batch.id);
        let written = stored::create(&*self.kv, batch, patience);
        self.mesh.end_write(batch.id, sent(written));
        written
    }

    /// When the store may answer again, in seconds.
    fn store_retry_after_s(&self) -> u32 {
        if self.catalog.store_up.load(Ordering::Relaxed) {
            RETRY_AFTER_S
        } else {
            OUTAGE_RETRY_AFTER_S
        }
    }

    fn cancel(&self, id: BatchId, patience: &dyn Patience) -> Reply {
        match stored::cancel(&*self.kv, id, patience) {
            Written::Stands => Reply::CancelAccepted,
            Written::Missing => Reply::NoSuchJob,
            Written::Unsettled => Reply::Unsettled,
            Written::NotDone => Reply::TryLater {
                retry_after_s: RETRY_AFTER_S,
            },
        }
    }

    fn show(&self, id: BatchId, patience: &dyn Patience) -> Reply {
        ask_store(patience, |left| {
            Ok(match stored::state(&*self.kv, id, left)? {
                Known::State(state) => Reply::State(state),
                Known::Missing => Reply::NoSuchJob,
            })
        })
    }

    fn pending(&self, queue: &str, patience: &dyn Patience) -> Reply {
        ask_store(patience, |left| {
            stored::waiting(&*self.kv, queue, left).map(Reply::Pending)
        })
    }
}

/// What the sender of a job's write knows of it.
const fn sent(written: Written) -> Sent {
    match written {
        Written::Stands => Sent::Stands,
        Written::NotDone | Written::Missing => Sent::NotDone,
        Written::Unsettled => Sent::Unanswered,
    }
}

/// Asks the store until it answers or the caller's patience ends.
fn ask_store(
    patience: &dyn Patience,
    read: impl Fn(Duration) -> Result<Reply, figrill_state::kv::KvError>,
) -> Reply {
    loop {
        let left = patience.left();
        if left.is_zero() {
            return Reply::TryLater {
                retry_after_s: RETRY_AFTER_S,
            };
        }
        match read(left) {
            Ok(reply) => return reply,
            Err(e) => log::debug!("the store did not answer a question: {e}"),
        }
        patience.pause();
    }
}

/// Milliseconds since 1970.
pub(super) fn wall_ms(clock: &dyn Clock) -> u64 {
    let since = clock.wall().duration_since(std::time::UNIX_EPOCH);
    let ms = since.unwrap_or_default().as_millis();
    u64::try_from(ms).unwrap_or(u64::MAX)
}
