//! Failure domains that are drained at the request of operators.
//!
//! The load that this addresses: a failure domain is taken out of service
//! while bursts of work arrive and capacity is short, so work would be placed
//! on its workers as soon as their runs end. A start that is decided from an
//! old view of the requests would break the time limit of
//! [`Limits::domain_drain`](figrill_state::limits::Limits::domain_drain). So
//! nothing is placed and no start is ordered unless the requests were read
//! recently enough that the start's own deadline is within the limit.

use std::time::Duration;

use figrill_state::{
    batch::TaskId,
    drain::Drains,
    event::{Code, NewEvent},
    limits::CLOCK_DRIFT_FACTOR,
};

use super::{Action, Now, START_WINDOW, Scheduler, worker::Worker};

/// Subtracted from the maximum age of the view: covers the inaccuracy of an
/// upstream's clock as extrapolated from its latest snapshot.
const VIEW_MARGIN: Duration = Duration::from_millis(100);

/// The requests to drain failure domains, as last read from the store.
#[derive(Debug, Default)]
pub(super) struct DrainView {
    drains: Drains,
    /// When the read was sent whose result this is. `None` if the requests
    /// have not been read in this term.
    read_at: Option<Duration>,
    /// Whether [`Code::StartsWithheld`] was recorded after the last
    /// [`Code::StartsResumed`].
    withholding: bool,
    /// Whether all workers are in drained failure domains.
    covers_all: bool,
}

impl Scheduler {
    /// Sets the failure domains that are to be drained, as returned by a read
    /// of the store that was sent at `read_at`. Ignores a read that was sent
    /// before this term or before the last one that was passed in.
    pub fn set_drains(
        &mut self,
        now: Now,
        drains: &Drains,
        read_at: Duration,
    ) {
        let oldest = self.drain_view.read_at.unwrap_or(self.started_at);
        if self.limits.domain_drain.is_none() || read_at < oldest {
            return;
        }
        if !self.may_start(now) {
            self.pending_work.plan = true;
        }
        self.drain_view.read_at = Some(read_at);
        if self.drain_view.drains != *drains {
            let old =
                std::mem::replace(&mut self.drain_view.drains, drains.clone());
            for domain in drains.difference(&old) {
                self.record_drain(Code::DrainStarted, domain);
            }
            for domain in old.difference(drains) {
                self.record_drain(Code::DrainEnded, domain);
            }
            self.pending_work.plan = true;
            self.check_drains(now);
        }
        if self.drain_view.withholding && self.may_start(now) {
            self.drain_view.withholding = false;
            self.record_drain_event(Code::StartsResumed, String::new());
        }
    }

    /// Returns whether the view of the requests is recent enough to place
    /// tasks and to order starts.
    pub(super) fn may_start(&self, now: Now) -> bool {
        let Some(max_age) = self.max_view_age() else {
            return true;
        };
        let read_at = self.drain_view.read_at;
        read_at.is_some_and(|at| now.monotonic <= at + max_age)
    }

    /// Returns the maximum age of the view when a start is ordered; `None` if
    /// requests are not followed. The upstream may begin the run until
    /// [`START_WINDOW`] later, by a clock that may be slow.
    fn max_view_age(&self) -> Option<Duration> {
        let limit = self.limits.domain_drain?;
        let limit = limit.div_f64(CLOCK_DRIFT_FACTOR);
        let window = START_WINDOW.mul_f64(CLOCK_DRIFT_FACTOR);
        Some(limit.saturating_sub(window + VIEW_MARGIN))
    }

    /// Returns whether nothing is to be started on a worker because its
    /// failure domain is drained.
    pub(super) fn is_in_drained_domain(&self, worker: &Worker) -> bool {
        let domain = worker.upstream.as_ref().map(|u| &u.failure_domain);
        domain.is_some_and(|d| self.drain_view.drains.contains(d))
    }

    /// Returns whether a task is placed on a worker of a drained failure
    /// domain.
    pub(super) fn is_placed_in_drained_domain(&self, id: TaskId) -> bool {
        let run = self.jobs.get(&id.job).and_then(|j| j.runs.get(&id));
        let worker = run.and_then(|run| self.workers.get(&run.agent));
        worker.is_some_and(|w| self.is_in_drained_domain(w))
    }

    /// Records once that starts are withheld because the view is too old. A
    /// view that is still missing counts from the start of the term.
    pub(super) fn record_withheld_starts(&mut self, now: Now) {
        let read_at = self.drain_view.read_at.unwrap_or(self.started_at);
        let age = now.monotonic.saturating_sub(read_at);
        let is_old = self.max_view_age().is_some_and(|max| age > max);
        if is_old && !self.drain_view.withholding {
            self.drain_view.withholding = true;
            let detail = format!("age_ms={}", age.as_millis());
            self.record_drain_event(Code::StartsWithheld, detail);
        }
    }

    /// Records a warning once all reachable workers are in drained failure
    /// domains, so that nothing can be placed.
    pub(super) fn check_drains(&mut self, now: Now) {
        if self.drain_view.drains.is_empty() {
            self.drain_view.covers_all = false;
            return;
        }
        let mut workers = self
            .workers
            .values()
            .filter(|w| w.upstream.is_some() && w.is_reachable(now.monotonic))
            .peekable();
        let covers_all = workers.peek().is_some()
            && workers.all(|w| self.is_in_drained_domain(w));
        if covers_all && !self.drain_view.covers_all {
            let domains = self.drain_view.drains.iter();
            let domains: Vec<String> =
                domains.map(|d| format!("{d:?}")).collect();
            let detail = format!("domains={}", domains.join(","));
            self.record_drain_event(Code::AllDomainsDrained, detail);
        }
        self.drain_view.covers_all = covers_all;
    }

    fn record_drain(&mut self, code: Code, domain: &str) {
        self.record_drain_event(code, format!("domain={domain:?}"));
    }

    fn record_drain_event(&mut self, code: Code, detail: String) {
        let event = NewEvent::new(code, detail);
        self.actions.push(Action::RecordEvent(event));
    }
}
