//! Answers callers from the catalogue and the store. No coordinator is
//! involved, so every entry can answer every caller.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use crossbeam::channel::Receiver;
use figrill_coordination::{entries::WriteResult, retry_after::Refusal};
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

use self::refused::{RefusalPolicy, Refused};
use super::{
    catalog::SharedCatalog,
    mesh::Mesh,
    stored::{self, Deadline, JobLookup, WriteOutcome},
};
use crate::metrics::Journal;

pub(super) mod refused;

/// The time limit of a request that does not specify one.
const DEFAULT_REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// The part of a request's time limit that is reserved for the answer to reach
/// the caller.
const ANSWER_MARGIN: Duration = Duration::from_millis(250);

/// The time limit for one attempt of a store call.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(700);

/// The time limit for all attempts of a store call. After it the caller is
/// answered even if it would wait longer, because a retry may be sent to an
/// entry that reaches the store when this one does not.
const RETRY_TIMEOUT: Duration = Duration::from_millis(1600);

/// The delay before a store call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// The delay, in seconds, after which a caller is told to retry a request that
/// was not carried out.
const RETRY_AFTER_S: u32 = 1;

type HttpCallerCodec = dyn CallerCodec<Call = Call, Answer = Answer>;

/// Answers callers. Clones share all state.
#[derive(Clone)]
pub(super) struct CallerService {
    pub(super) kv: Arc<dyn Kv>,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) catalog: Arc<SharedCatalog>,
    pub(super) caller_codec: Arc<HttpCallerCodec>,
    pub(super) journal: Journal,
    /// The number of requests that are being answered, on all threads.
    pub(super) in_flight: Arc<AtomicUsize>,
    /// The streams to the other entries, and the writes that this one has
    /// sent.
    pub(super) mesh: Mesh,
    /// Decides when refused callers are told to return.
    pub(super) refusal_policy: RefusalPolicy,
}

/// The reply to a request.
struct Replied {
    reply: Reply,
    /// The job that the request names, if any.
    job: Option<BatchId>,
    /// Why a submission was refused, if it was and may be repeated.
    refused: Option<Refused>,
}

impl From<Reply> for Replied {
    fn from(reply: Reply) -> Self {
        Self {
            reply,
            job: None,
            refused: None,
        }
    }
}

/// A [`Deadline`] by the clock of the process.
struct ClockDeadline<'a> {
    clock: &'a dyn Clock,
    expires_at: Duration,
}

impl Deadline for ClockDeadline<'_> {
    fn attempt_timeout(&self) -> Duration {
        self.expires_at
            .saturating_sub(self.clock.now())
            .min(ATTEMPT_TIMEOUT)
    }

    fn wait_before_retry(&self) {
        thread::sleep(RETRY_DELAY);
    }
}

impl CallerService {
    /// Answers requests until the queue is closed.
    pub(super) fn run(&self, calls: &Receiver<Event>) {
        for event in calls {
            let Event::Call(call) = event else {
                continue;
            };
            self.in_flight.fetch_add(1, Ordering::Relaxed);
            let received_at = self.clock.now();
            let request = self.caller_codec.decode_request(&call);
            let replied = self.reply(&request, &call.body, received_at);
            let elapsed = self.clock.now().saturating_sub(received_at);
            self.record_reply(&request, &replied, elapsed);
            let answer = self.caller_codec.encode_reply(&replied.reply);
            call.responder.send(answer);
            self.in_flight.fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// Counts a reply in the metrics and records it as an event.
    fn record_reply(
        &self,
        request: &Request,
        replied: &Replied,
        elapsed: Duration,
    ) {
        let reply = &replied.reply;
        self.journal.metrics.count_call("caller", reply.name());
        self.journal.metrics.observe_time("caller", elapsed);
        let code = match reply {
            Reply::Accepted => Code::JobAccepted,
            Reply::CancelAccepted => Code::JobCancelled,
            Reply::State(_) | Reply::Pending(_) => Code::JobAnswered,
            _ => Code::JobRefused,
        };
        let version = self.catalog.get().map_or(0, |c| c.version);
        let mut detail = format!(
            "kind={:?} reply={reply:?} path={} version={version} took_ms={}",
            request.kind,
            request.path,
            elapsed.as_millis()
        );
        if let Some(refused) = &replied.refused {
            detail = format!("{detail} {refused}");
        }
        let job = replied.job.map(|id| JobId(u128::from(id.0)));
        self.journal.record(&NewEvent { code, job, detail });
    }

    /// Carries out a request.
    fn reply(
        &self,
        request: &Request,
        body: &[u8],
        received_at: Duration,
    ) -> Replied {
        let Some(catalog) = self.catalog.get() else {
            return self.refuse(Refusal::NoConfiguration, request, None);
        };
        let Some(queue) = catalog.queue(&request.host, &request.path) else {
            return Reply::NoSuchQueue.into();
        };
        let key = request.key.as_deref();
        let workspace = key.and_then(|k| catalog.keys.get(k));
        if workspace.is_none() && !queue.public {
            return Reply::UnknownKey.into();
        }
        let workspace = workspace.map(String::as_str).unwrap_or_default();
        let deadline = self.deadline(request, received_at);
        let id = self.caller_codec.parse_job_id(&request.path, &queue.prefix);
        let reply = match (request.kind, id) {
            (Some(RequestKind::Submit), Some(id)) => {
                let accepted_by = (queue, catalog.version);
                match self.submit(accepted_by, workspace, id, body, &deadline)
                {
                    Ok(reply) => reply,
                    Err(why) => return self.refuse(why, request, Some(id)),
                }
            }
            (Some(RequestKind::Read), Some(id)) => {
                self.read_job(id, &deadline)
            }
            (Some(RequestKind::Read), None)
                if request.path == queue.prefix =>
            {
                self.count_pending_jobs(&queue.name, &deadline)
            }
            (Some(RequestKind::Cancel), Some(id)) => {
                self.cancel(id, &deadline)
            }
            _ => Reply::Malformed("no such call".to_owned()),
        };
        Replied {
            reply,
            job: id,
            refused: None,
        }
    }

    /// Refuses a request that the caller may repeat later.
    fn refuse(
        &self,
        refusal: Refusal,
        request: &Request,
        job: Option<BatchId>,
    ) -> Replied {
        let refused = self.refusal_policy.refuse(
            refusal,
            &self.catalog.outages(),
            self.clock.now(),
            request,
            job,
        );
        Replied {
            reply: Reply::NotRun {
                retry_after_s: refused.retry_after_s,
            },
            job,
            refused: Some(refused),
        }
    }

    /// Returns when to answer a request at the latest.
    fn deadline(
        &self,
        request: &Request,
        received_at: Duration,
    ) -> ClockDeadline<'_> {
        let timeout = request.timeout.unwrap_or(DEFAULT_REQUEST_TIMEOUT);
        let usable = timeout.saturating_sub(ANSWER_MARGIN).min(RETRY_TIMEOUT);
        ClockDeadline {
            clock: &*self.clock,
            expires_at: received_at + usable,
        }
    }

    /// Stores a job. If that fails, refuses the job only if no entry has a
    /// write of it that may still be applied. The queue is that of a version
    /// of the catalogue.
    fn submit(
        &self,
        (queue, catalog_version): (&Queue, u64),
        workspace: &str,
        id: BatchId,
        body: &[u8],
        deadline: &dyn Deadline,
    ) -> Result<Reply, Refusal> {
        let submission = match self.caller_codec.decode_submission(body) {
            Ok(submission) => submission,
            Err(why) => return Ok(Reply::Malformed(why)),
        };
        let batch = Batch {
            id,
            workspace: workspace.to_owned(),
            queue: queue.name.clone(),
            service: queue.service.clone(),
            catalog_version,
            priority: queue.priority,
            attempts: queue.attempts,
            stretch: queue.stretch,
            target: queue.target,
            payload: submission.payload,
            steps: submission.steps,
            schedule: submission.schedule,
            accepted_ms: wall_ms(&*self.clock),
            cancelled: false,
        };
        if let Some(why) = batch.validation_error() {
            return Ok(Reply::Malformed(why));
        }
        match self.write_job(&batch, deadline) {
            WriteOutcome::Applied => {
                self.mesh.announce_job(&batch);
                Ok(Reply::Accepted)
            }
            WriteOutcome::Existing => Ok(Reply::Accepted),
            WriteOutcome::Rejected => Ok(Reply::Malformed(
                "the job is too large for the store; submit less at a time"
                    .to_owned(),
            )),
            WriteOutcome::NotApplied | WriteOutcome::NotFound
                if !self.mesh.may_have_pending_write(id) =>
            {
                Err(self.refusal())
            }
            _ => Ok(Reply::Unsettled),
        }
    }

    /// Writes a job to the store. Nothing is sent while the store is known to
    /// be unavailable, so that the caller is answered at once, nor before this
    /// entry is registered (see [`Mesh::is_registered`]).
    fn write_job(
        &self,
        batch: &Batch,
        deadline: &dyn Deadline,
    ) -> WriteOutcome {
        if !self.store_available() || !self.mesh.is_registered() {
            return WriteOutcome::NotApplied;
        }
        self.mesh.begin_write(batch.id);
        let outcome = stored::create(&*self.kv, batch, deadline);
        self.mesh.end_write(batch.id, write_result(outcome));
        outcome
    }

    /// Returns whether the store is not known to be unavailable. A lost read
    /// alone does not show it: the call may have been lost on its way through
    /// another entry, and takes a second to fail.
    fn store_available(&self) -> bool {
        self.catalog.last_read_succeeded.load(Ordering::Relaxed)
            || self.mesh.can_write()
    }

    /// Returns why a job that could not be stored is refused.
    fn refusal(&self) -> Refusal {
        if !self.store_available() {
            Refusal::StoreUnavailable
        } else if self.mesh.is_registered() {
            Refusal::WriteFailed
        } else {
            Refusal::NotRegistered
        }
    }

    /// Cancels a job. Replies that there is none only if no entry has a write
    /// of it that may still be applied.
    fn cancel(&self, id: BatchId, deadline: &dyn Deadline) -> Reply {
        let mut outcome = stored::cancel(&*self.kv, id, deadline);
        if outcome == WriteOutcome::NotFound {
            if self.mesh.may_have_pending_write(id) {
                return Reply::Unsettled;
            }
            // A write that was pending before may have been applied since.
            outcome = stored::cancel(&*self.kv, id, deadline);
        }
        match outcome {
            WriteOutcome::Applied | WriteOutcome::Existing => {
                Reply::CancelAccepted
            }
            WriteOutcome::NotFound => Reply::NoSuchJob,
            WriteOutcome::Unknown => Reply::Unsettled,
            WriteOutcome::NotApplied | WriteOutcome::Rejected => {
                Reply::TryLater {
                    retry_after_s: RETRY_AFTER_S,
                }
            }
        }
    }

    fn read_job(&self, id: BatchId, deadline: &dyn Deadline) -> Reply {
        read_with_retries(deadline, |timeout| {
            Ok(match stored::read_state(&*self.kv, id, timeout)? {
                JobLookup::Found(state) => Reply::State(state),
                JobLookup::NotFound => Reply::NoSuchJob,
            })
        })
    }

    fn count_pending_jobs(
        &self,
        queue: &str,
        deadline: &dyn Deadline,
    ) -> Reply {
        read_with_retries(deadline, |timeout| {
            stored::pending_jobs(&*self.kv, queue, timeout).map(Reply::Pending)
        })
    }
}

/// Returns the outcome of a write in the form in which the mesh records it.
const fn write_result(outcome: WriteOutcome) -> WriteResult {
    match outcome {
        WriteOutcome::Applied | WriteOutcome::Existing => WriteResult::Stored,
        WriteOutcome::NotApplied
        | WriteOutcome::Rejected
        | WriteOutcome::NotFound => WriteResult::NotApplied,
        WriteOutcome::Unknown => WriteResult::Unanswered,
    }
}

/// Reads from the store. Retries until it answers or the deadline passes.
fn read_with_retries(
    deadline: &dyn Deadline,
    read: impl Fn(Duration) -> Result<Reply, figrill_state::kv::KvError>,
) -> Reply {
    loop {
        let timeout = deadline.attempt_timeout();
        if timeout.is_zero() {
            return Reply::TryLater {
                retry_after_s: RETRY_AFTER_S,
            };
        }
        match read(timeout) {
            Ok(reply) => return reply,
            Err(e) => log::debug!("failed to read from the store: {e}"),
        }
        deadline.wait_before_retry();
    }
}

/// Returns the wall clock time in milliseconds since the Unix epoch.
pub(super) fn wall_ms(clock: &dyn Clock) -> u64 {
    let since = clock.wall().duration_since(std::time::UNIX_EPOCH);
    let ms = since.unwrap_or_default().as_millis();
    u64::try_from(ms).unwrap_or(u64::MAX)
}
