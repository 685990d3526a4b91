//! The handling of the requests that coordinators send to an agent.

use std::time::Duration;

use figrill_state::error::Kind;
use figrill_state::event::{Code, NewEvent};

use crate::message::{
    AgentReport, AgentRequest, GrantPhase, GrantReport, Hold, Run, RunOutcome,
};

use super::grant::Grant;
use super::lead::Lead;
use super::{Action, Agent, Coordinator, Cx, Leave, term_of};

impl Agent {
    /// Handles a request of a coordinator. A request under a lower term than
    /// the highest one seen, or under the same term from another coordinator,
    /// is answered [`AgentReport::Fenced`].
    pub(super) fn on_request(
        &mut self,
        now: Duration,
        from: u64,
        request: AgentRequest,
        cx: &mut Cx,
    ) {
        if let AgentRequest::Ack { run } = request {
            if self.outcomes.remove(&run).is_some() {
                self.acknowledged.insert(run);
            }
            return;
        }
        let term = term_of(&request);
        let current = &mut self.coordinator;
        let conflicting = current.term == term && current.incarnation != from;
        if term < current.term || conflicting {
            let report = AgentReport::Fenced { term: current.term };
            cx.actions.push(Action::Report { to: from, report });
            let detail = format!("term={term} seen={}", current.term);
            cx.actions.push(Action::RecordEvent(NewEvent::new(
                Code::TermFenced,
                detail,
            )));
            return;
        }
        let is_new_term = term > current.term;
        *current = Coordinator {
            term,
            incarnation: from,
            connected: true,
        };
        if is_new_term {
            self.leave = Leave::Unsaid;
            self.release_stale_holds(term, cx);
        }
        match request {
            AgentRequest::Coordinate { .. } => {
                let report = self.full_report(now);
                self.report(report, cx);
            }
            AgentRequest::Hold(hold) => self.hold(now, hold, cx),
            AgentRequest::Release { run, .. } => self.release(run, cx),
            AgentRequest::StartGang { run, .. } => {
                if let Some(lead) = self.leads.get_mut(&run) {
                    lead.start_gang(now, cx);
                }
            }
            AgentRequest::Cancel {
                run,
                reason,
                window,
                ..
            } => {
                self.cancel(now, run, reason, window, cx);
            }
            AgentRequest::Dismiss { .. } => {
                if let Leave::Said(_) = self.leave {
                    self.leave = Leave::Acknowledged;
                }
            }
            AgentRequest::Ack { .. } => {}
        }
    }

    /// Releases the holds of older coordinators and aborts gangs that wait to
    /// be started. Such a gang never starts, because only the coordinator that
    /// requested the holds would ask for it, and until the holds lapse their
    /// capacity would stay idle. A gang whose lead has already begun the start
    /// goes on.
    pub(super) fn release_stale_holds(&mut self, term: u64, cx: &mut Cx) {
        let stale = |run: &Run, phase| {
            run.attempt.term() < term && phase == GrantPhase::Held
        };
        for (run, grant) in &mut self.grants {
            if stale(run, grant.phase()) {
                grant.release(cx);
            }
        }
        for (run, lead) in &mut self.leads {
            if run.attempt.term() < term {
                lead.abort_unstarted(Kind::GangAborted, cx);
            }
        }
    }

    pub(super) fn full_report(&self, now: Duration) -> AgentReport {
        let grants = self.grants.iter().map(|(run, grant)| GrantReport {
            run: *run,
            header: grant.header().clone(),
            capacity: grant.capacity(),
            phase: grant.phase(),
            members: grant.members().to_vec(),
            age: now.saturating_sub(grant.since()),
        });
        let outcomes = self.outcomes.iter();
        AgentReport::Full {
            term: self.coordinator.term,
            worker: self.worker.clone(),
            grants: grants.collect(),
            outcomes: outcomes
                .map(|(run, (h, o))| (*run, h.clone(), o.clone()))
                .collect(),
        }
    }

    /// Grants the requested capacity, or refuses the attempt for good. A gang
    /// with a single member starts at once.
    pub(super) fn hold(&mut self, now: Duration, hold: Hold, cx: &mut Cx) {
        let run = hold.run;
        if self.grants.contains_key(&run) {
            self.report(AgentReport::Held { run }, cx);
            return;
        }
        let parts = u32::try_from(hold.parts.len()).unwrap_or(u32::MAX);
        let capacity = hold.header.shape.required_capacity(parts);
        let remaining = self.worker.capacity.minus(self.used());
        let is_member = hold.members.iter().any(|m| {
            m.worker == self.worker.name
                && m.incarnation == self.worker.incarnation
        });
        if self.tombstones.contains(run)
            || !is_member
            || !remaining.fits(capacity)
            || self.draining
        {
            cx.record_event(Code::GrantRefused, run, "");
            self.tombstones.insert(run);
            self.report(AgentReport::Refused { run }, cx);
            return;
        }
        let is_lead = hold
            .members
            .first()
            .is_some_and(|m| m.worker == self.worker.name);
        let solo = hold.members.len() == 1;
        if is_lead {
            let lead = Lead::new(now, run, hold.header.clone(), &hold, solo);
            self.leads.insert(run, lead);
        }
        cx.record_event(Code::GrantHeld, run, &format!("parts={parts}"));
        let mut grant = Grant::new(now, hold, capacity);
        if solo {
            cx.record_event(Code::GangStarted, run, "members=1");
            self.report(AgentReport::Started { run }, cx);
            grant.start(now, cx);
        } else {
            self.report(AgentReport::Held { run }, cx);
        }
        self.grants.insert(run, grant);
    }

    /// Releases a hold and aborts the gang if it is led here and waits to be
    /// started. An attempt without a grant is refused for good.
    pub(super) fn release(&mut self, run: Run, cx: &mut Cx) {
        if let Some(grant) = self.grants.get_mut(&run)
            && grant.phase() == GrantPhase::Held
        {
            grant.release(cx);
        }
        if let Some(lead) = self.leads.get_mut(&run) {
            lead.abort_unstarted(Kind::GangAborted, cx);
        } else if !self.grants.contains_key(&run) {
            self.tombstones.insert(run);
            self.report(AgentReport::Refused { run }, cx);
        }
    }

    /// Ends a gang that is led here. If no such gang is left, reports its
    /// outcome again, or that nothing was started. A worker that is only a
    /// member reports nothing.
    pub(super) fn cancel(
        &mut self,
        now: Duration,
        run: Run,
        reason: Kind,
        window: Duration,
        cx: &mut Cx,
    ) {
        if let Some(lead) = self.leads.get_mut(&run) {
            lead.cancel(now, reason, window, cx);
        } else if let Some((_, outcome)) = self.outcomes.get(&run) {
            let outcome = outcome.clone();
            self.report(AgentReport::Ended { run, outcome }, cx);
        } else if self.acknowledged.contains(run) {
            let outcome = RunOutcome::Failed {
                kind: Kind::OutcomeLost,
                reason: "the ending was acknowledged before".to_owned(),
                failed_worker: None,
            };
            self.report(AgentReport::Ended { run, outcome }, cx);
        } else if !self.grants.contains_key(&run) {
            // The attempt was never led here, and the tombstone makes sure
            // that it never will be, so the answer that nothing was started
            // stays true.
            self.tombstones.insert(run);
            let outcome = RunOutcome::NotStarted(reason);
            self.report(AgentReport::Ended { run, outcome }, cx);
        }
    }
}
