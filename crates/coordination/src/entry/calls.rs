//! The callers that wait for a job, and the answers to them.

use std::time::Duration;

use figrill_state::error::Kind;
use figrill_state::event::{Code, NewEvent};
use figrill_state::job::{JobId, Outcome};

use crate::message::JobRequest;

use super::track::{Durability, TrackedJob, Wait, WaitingCall};
use super::{Action, CallId, Entry, Reply};

/// How much longer than its own limit a caller waits while it is unknown
/// whether the job exists.
const LOOKUP_GRACE: Duration = Duration::from_secs(2);

impl Entry {
    /// Handles a caller that asks for the outcome of a job.
    pub(super) fn poll(
        &mut self,
        now: Duration,
        call: CallId,
        job: JobId,
        scope: Option<String>,
        deadline: Duration,
    ) {
        self.attach(now, WaitingCall { call, deadline }, job, scope);
    }

    /// Adds a caller to a job, or answers it at once if the outcome is known.
    /// A job that is not tracked is looked up in the store.
    pub(super) fn attach(
        &mut self,
        now: Duration,
        call: WaitingCall,
        id: JobId,
        scope: Option<String>,
    ) {
        if let Some(tracked) = self.jobs.get_mut(&id) {
            let workspace_known = !tracked.workspace.is_empty();
            if workspace_known && scope.is_some_and(|s| s != tracked.workspace)
            {
                self.refuse(call.call, None, Kind::NotFound);
                return;
            }
            if let Some(outcome) = tracked.outcome.clone() {
                self.answer(call.call, id, outcome);
                return;
            }
            self.calls.insert(call.call, id);
            tracked.calls.push(call);
            return;
        }
        // The entry learns the job's workspace only from its record, so the
        // record is read before the coordinator is asked.
        let mut tracked = TrackedJob::new(now, String::new(), None);
        tracked.scope = scope;
        tracked.wait = Wait::Record { at: now };
        self.calls.insert(call.call, id);
        tracked.calls.push(call);
        self.jobs.insert(id, tracked);
        self.actions.push(Action::Read { job: id });
    }

    pub(super) fn cancel(
        &mut self,
        now: Duration,
        call: CallId,
        id: JobId,
        scope: Option<String>,
    ) {
        let tracked = self.jobs.get(&id);
        let hidden = tracked.is_some_and(|t| {
            !t.workspace.is_empty()
                && scope.as_ref().is_some_and(|s| *s != t.workspace)
        });
        if hidden {
            self.refuse(call, None, Kind::NotFound);
            return;
        }
        if tracked.is_none_or(|t| t.outcome.is_none()) {
            let request = JobRequest::Cancel {
                job: id,
                scope: scope.clone(),
            };
            self.actions.push(Action::ToCoordinator(request));
        }
        // The caller gets the actual outcome of the job, which may be `done`
        // if the cancellation came too late.
        let deadline = now + Duration::from_secs(10);
        self.attach(now, WaitingCall { call, deadline }, id, scope);
    }

    /// Removes a caller that has disconnected. Its job goes on.
    pub(super) fn detach(&mut self, call: CallId) {
        let Some(id) = self.calls.remove(&call) else {
            return;
        };
        if let Some(tracked) = self.jobs.get_mut(&id) {
            tracked.calls.retain(|c| c.call != call);
        }
    }

    pub(super) fn answer(
        &mut self,
        call: CallId,
        job: JobId,
        outcome: Outcome,
    ) {
        let detail = format!("outcome={}", outcome.name());
        self.record_event(Code::JobAnswered, job, &detail);
        let reply = Reply::Outcome { job, outcome };
        self.actions.push(Action::Reply { call, reply });
    }

    pub(super) fn refuse(
        &mut self,
        call: CallId,
        job: Option<JobId>,
        kind: Kind,
    ) {
        let event = NewEvent {
            code: Code::JobRefused,
            job,
            detail: format!("why={kind}"),
        };
        self.actions.push(Action::RecordEvent(event));
        let reply = Reply::Refused { job, kind };
        self.actions.push(Action::Reply { call, reply });
    }

    /// Stops tracking a job and refuses all its callers.
    pub(super) fn drop_refused(&mut self, id: JobId, kind: Kind) {
        let Some(tracked) = self.jobs.remove(&id) else {
            return;
        };
        self.buffered_bytes -= tracked.bytes;
        for call in tracked.calls {
            self.calls.remove(&call.call);
            self.refuse(call.call, None, kind);
        }
    }

    /// Answers callers whose deadline has passed with the job's address; while
    /// the entry drains, all callers. A job without a record is written to the
    /// store first, because the caller may poll after this entry has stopped.
    pub(super) fn answer_due_calls(&mut self, now: Duration) {
        let draining = self.draining;
        let due: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, t)| {
                draining
                    && t.outcome.is_none()
                    && t.durability < Durability::Delegated
                    || t.calls.iter().any(|c| now >= c.deadline)
            })
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            let Some(tracked) = self.jobs.get_mut(&id) else {
                continue;
            };
            if tracked.wait == Wait::Claim || tracked.wait == Wait::Durable {
                continue;
            }
            if tracked.durability > Durability::Memory || tracked.job.is_none()
            {
                self.accept_due(now, id);
                continue;
            }
            tracked.wait = Wait::Durable;
            self.actions.push(Action::Claim {
                job: id,
                workspace: tracked.workspace.clone(),
                key: None,
                request: tracked.request.clone(),
            });
        }
    }

    /// Sends [`Reply::Accepted`] to the due callers of a job, and delegates a
    /// recorded job to the other entries.
    pub(super) fn accept_due(&mut self, now: Duration, id: JobId) {
        let draining = self.draining;
        let Some(tracked) = self.jobs.get_mut(&id) else {
            return;
        };
        if !tracked.exists() {
            self.refuse_timed_out_lookups(now, id);
            return;
        }
        let is_due = |c: &WaitingCall| draining || now >= c.deadline;
        let due: Vec<WaitingCall> =
            tracked.calls.iter().copied().filter(is_due).collect();
        tracked.calls.retain(|c| !is_due(c));
        let reply = Reply::Accepted {
            job: id,
            running: tracked.running,
            durable: tracked.durability > Durability::Memory,
        };
        if tracked.durability == Durability::Stored {
            tracked.durability = Durability::Delegated;
            self.actions.push(Action::DelegateJob { job: id });
        }
        for call in due {
            self.calls.remove(&call.call);
            let reply = reply.clone();
            self.actions.push(Action::Reply {
                call: call.call,
                reply,
            });
        }
    }

    /// Refuses callers that asked for a job which neither its record nor the
    /// coordinator has confirmed within [`LOOKUP_GRACE`]. It is unknown
    /// whether such a job exists, so it must not be reported as queued.
    fn refuse_timed_out_lookups(&mut self, now: Duration, id: JobId) {
        let draining = self.draining;
        let Some(tracked) = self.jobs.get_mut(&id) else {
            return;
        };
        let is_late =
            |c: &WaitingCall| draining || now >= c.deadline + LOOKUP_GRACE;
        let timed_out: Vec<WaitingCall> =
            tracked.calls.iter().copied().filter(is_late).collect();
        tracked.calls.retain(|c| !is_late(c));
        let kind = if draining {
            Kind::Draining
        } else {
            Kind::StoreDown
        };
        for call in timed_out {
            self.calls.remove(&call.call);
            self.refuse(call.call, None, kind);
        }
    }
}
