//! The share of one gang on one worker, from the hold until the last part has
//! ended.
//!
//! A multi-worker gang starts in the rounds that [`lead`](super::lead)
//! describes; this is the member's side of them.

use std::time::Duration;

use figrill_state::{event::Code, worker::Capacity};

use crate::message::{
    GrantPhase, Hold, JobHeader, Member, MemberReport, MemberRequest, Part,
    Run,
};

use super::{
    Action, Cx, LocalMessage, PREPARED_TTL, PartId, RESEND_INTERVAL,
    RUN_LEASE_TTL,
};

/// The result of an upstream call for a part.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PartEvent {
    /// The part ended with this answer.
    Answered(Vec<u8>),
    /// The part failed, or can no longer be reached, for this reason.
    Failed(String),
    /// The part was stopped and may have left a checkpoint.
    Stopped(Option<Vec<u8>>),
}

/// The phase of a grant. In [`Phase::Running`], `until` is the end of the run
/// lease; in the other phases, it is when the grant lapses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Held { until: Duration },
    Prepared { until: Duration },
    Committed { until: Duration },
    Running { until: Duration },
    Stopping,
    Ended,
}

/// The progress of one part.
enum Progress {
    Waiting,
    Running,
    /// The part has ended, and `report` is sent again until it is
    /// acknowledged.
    Ended {
        report: MemberReport,
        sent: Duration,
    },
    Acknowledged,
}

struct PartState {
    part: Part,
    progress: Progress,
}

/// Capacity that the worker granted to a gang, and the parts that use it.
pub struct Grant {
    run: Run,
    header: JobHeader,
    members: Vec<Member>,
    capacity: Capacity,
    since: Duration,
    phase: Phase,
    parts: Vec<PartState>,
    /// Whether the whole gang is on this worker, so that its parts need no run
    /// lease.
    solo: bool,
    /// Whether the gang is led on this worker.
    is_lead: bool,
}

impl Grant {
    /// Creates a grant in its first phase, in which it only holds capacity.
    #[must_use]
    pub fn new(now: Duration, hold: Hold, capacity: Capacity) -> Self {
        let first = hold.members.first().map(|m| m.ranks.clone());
        let own_rank = hold.parts.first().map(|p| p.rank);
        let is_lead = own_rank
            .zip(first)
            .is_some_and(|(rank, ranks)| ranks.contains(&rank));
        let parts = hold.parts.into_iter().map(|part| PartState {
            part,
            progress: Progress::Waiting,
        });
        Self {
            run: hold.run,
            header: hold.header,
            solo: hold.members.len() == 1,
            is_lead,
            members: hold.members,
            capacity,
            since: now,
            phase: Phase::Held {
                until: now + hold.ttl,
            },
            parts: parts.collect(),
        }
    }

    /// Returns the capacity that the grant takes from the worker.
    #[must_use]
    pub const fn capacity(&self) -> Capacity {
        self.capacity
    }

    /// Returns the number of the gang's parts on this worker.
    #[must_use]
    pub fn part_count(&self) -> usize {
        self.parts.len()
    }

    /// Returns the description of the job.
    #[must_use]
    pub const fn header(&self) -> &JobHeader {
        &self.header
    }

    /// Returns all members of the gang.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns when the capacity was granted.
    #[must_use]
    pub const fn since(&self) -> Duration {
        self.since
    }

    /// Returns the phase of the grant as coordinators see it.
    #[must_use]
    pub const fn phase(&self) -> GrantPhase {
        match self.phase {
            Phase::Held { .. } => GrantPhase::Held,
            Phase::Prepared { .. } | Phase::Committed { .. } => {
                GrantPhase::Prepared
            }
            Phase::Running { .. } => GrantPhase::Running,
            Phase::Stopping | Phase::Ended => GrantPhase::Stopping,
        }
    }

    /// Returns whether the grant has ended and its capacity is free again.
    #[must_use]
    pub const fn has_ended(&self) -> bool {
        matches!(self.phase, Phase::Ended)
    }

    /// Releases a grant of which no part was started.
    pub(crate) fn release(&mut self, cx: &mut Cx) {
        cx.record_event(Code::GrantReleased, self.run, "");
        self.phase = Phase::Ended;
    }

    /// Ends the grant or stops its parts if its deadline has passed, and sends
    /// unacknowledged reports again.
    pub(crate) fn expire(&mut self, now: Duration, cx: &mut Cx) {
        match self.phase {
            Phase::Held { until }
            | Phase::Prepared { until }
            | Phase::Committed { until }
                if now >= until =>
            {
                cx.record_event(Code::GrantLapsed, self.run, "");
                self.phase = Phase::Ended;
                self.report_to_lead(MemberReport::NoGrant, cx);
            }
            Phase::Running { until } if now >= until && !self.solo => {
                cx.record_event(Code::RunLeaseLapsed, self.run, "");
                self.stop(Duration::ZERO, cx);
            }
            _ => {}
        }
        self.resend(now, cx);
    }

    fn resend(&mut self, now: Duration, cx: &mut Cx) {
        let mut due = Vec::new();
        for state in &mut self.parts {
            if let Progress::Ended { report, sent } = &mut state.progress
                && now >= *sent + RESEND_INTERVAL
            {
                *sent = now;
                due.push(report.clone());
            }
        }
        for report in due {
            self.report_to_lead(report, cx);
        }
    }

    /// Handles a request of the lead.
    pub(crate) fn handle_request(
        &mut self,
        now: Duration,
        request: &MemberRequest,
        cx: &mut Cx,
    ) {
        match request {
            MemberRequest::Prepare => self.prepare(now, cx),
            MemberRequest::Commit => self.commit(now, cx),
            MemberRequest::Start => self.start_committed(now, cx),
            MemberRequest::Renew => self.renew(now, cx),
            MemberRequest::Ack { rank } => self.acknowledge(*rank),
            MemberRequest::Abort => self.abort(cx),
            MemberRequest::Stop { window } => self.stop(*window, cx),
        }
    }

    fn prepare(&mut self, now: Duration, cx: &mut Cx) {
        match self.phase {
            Phase::Held { .. } | Phase::Prepared { .. } => {
                self.phase = Phase::Prepared {
                    until: now + PREPARED_TTL,
                };
                cx.record_event(Code::GangReady, self.run, "");
                self.report_to_lead(MemberReport::Ready, cx);
            }
            Phase::Committed { .. } | Phase::Running { .. } => {
                self.report_to_lead(MemberReport::Ready, cx);
            }
            Phase::Stopping | Phase::Ended => {
                self.report_to_lead(MemberReport::NoGrant, cx);
            }
        }
    }

    fn commit(&mut self, now: Duration, cx: &mut Cx) {
        match self.phase {
            Phase::Prepared { .. } | Phase::Committed { .. } => {
                self.phase = Phase::Committed {
                    until: now + PREPARED_TTL,
                };
                cx.record_event(Code::GangCommitted, self.run, "");
                self.report_to_lead(MemberReport::Committed, cx);
            }
            Phase::Running { .. } => {
                self.report_to_lead(MemberReport::Committed, cx);
            }
            Phase::Held { .. } | Phase::Stopping | Phase::Ended => {
                self.report_to_lead(MemberReport::NoGrant, cx);
            }
        }
    }

    fn start_committed(&mut self, now: Duration, cx: &mut Cx) {
        match self.phase {
            Phase::Committed { .. } => {
                self.start(now, cx);
                self.report_to_lead(MemberReport::Started, cx);
            }
            Phase::Running { .. } | Phase::Stopping => {
                self.report_to_lead(MemberReport::Started, cx);
            }
            Phase::Held { .. } | Phase::Prepared { .. } | Phase::Ended => {
                self.report_to_lead(MemberReport::NoGrant, cx);
            }
        }
    }

    /// Starts all parts and the run lease.
    pub(crate) fn start(&mut self, now: Duration, cx: &mut Cx) {
        self.phase = Phase::Running {
            until: now + RUN_LEASE_TTL,
        };
        for state in &mut self.parts {
            state.progress = Progress::Running;
            let rank = state.part.rank;
            cx.record_event(
                Code::PartStarted,
                self.run,
                &format!("rank={rank}"),
            );
            cx.actions.push(Action::Start {
                part: PartId {
                    run: self.run,
                    rank,
                },
                // A part is started once per attempt, so the input need not be
                // kept.
                input: std::mem::take(&mut state.part.input),
                checkpoint: state.part.checkpoint.take(),
            });
        }
    }

    fn renew(&mut self, now: Duration, cx: &mut Cx) {
        if let Phase::Running { until } = &mut self.phase {
            *until = now + RUN_LEASE_TTL;
            self.report_to_lead(MemberReport::Alive, cx);
        }
    }

    /// Stops sending the report of a part that has ended. The grant ends when
    /// all parts are acknowledged.
    fn acknowledge(&mut self, rank: u32) {
        let state = self.parts.iter_mut().find(|s| s.part.rank == rank);
        if let Some(state) = state
            && matches!(state.progress, Progress::Ended { .. })
        {
            state.progress = Progress::Acknowledged;
        }
        let all = self
            .parts
            .iter()
            .all(|s| matches!(s.progress, Progress::Acknowledged));
        if all {
            self.phase = Phase::Ended;
        }
    }

    fn abort(&mut self, cx: &mut Cx) {
        match self.phase {
            Phase::Held { .. }
            | Phase::Prepared { .. }
            | Phase::Committed { .. } => {
                cx.record_event(Code::GrantReleased, self.run, "aborted");
                self.phase = Phase::Ended;
            }
            Phase::Running { .. } => self.stop(Duration::ZERO, cx),
            Phase::Stopping | Phase::Ended => {}
        }
    }

    /// Stops the parts. A grant of which no part was started is released
    /// instead.
    fn stop(&mut self, window: Duration, cx: &mut Cx) {
        match self.phase {
            Phase::Running { .. } => {}
            Phase::Stopping | Phase::Ended => return,
            _ => {
                self.release(cx);
                self.report_to_lead(MemberReport::NoGrant, cx);
                return;
            }
        }
        self.phase = Phase::Stopping;
        for state in &self.parts {
            if matches!(state.progress, Progress::Running) {
                let part = PartId {
                    run: self.run,
                    rank: state.part.rank,
                };
                cx.actions.push(Action::Stop { part, window });
            }
        }
        self.end_if_stopped();
    }

    /// Handles the result of a part and reports it to the lead. Results of
    /// parts that do not run are ignored.
    pub(crate) fn on_part(
        &mut self,
        now: Duration,
        rank: u32,
        event: PartEvent,
        cx: &mut Cx,
    ) {
        let state = self.parts.iter_mut().find(|s| s.part.rank == rank);
        let Some(state) = state else { return };
        if !matches!(state.progress, Progress::Running) {
            return;
        }
        let (code, how) = match &event {
            PartEvent::Answered(_) => (Code::PartEnded, "answered"),
            PartEvent::Failed(_) => (Code::PartEnded, "failed"),
            PartEvent::Stopped(_) => (Code::PartStopped, "stopped"),
        };
        cx.record_event(code, self.run, &format!("rank={rank} how={how}"));
        let report = match event {
            PartEvent::Answered(bytes) => {
                MemberReport::Answered { rank, bytes }
            }
            PartEvent::Failed(reason) => MemberReport::Failed { rank, reason },
            PartEvent::Stopped(checkpoint) => {
                MemberReport::Stopped { rank, checkpoint }
            }
        };
        state.progress = Progress::Ended {
            report: report.clone(),
            sent: now,
        };
        self.report_to_lead(report, cx);
        self.end_if_stopped();
    }

    /// Ends a grant that is being stopped once none of its parts runs. A
    /// stopped gang has no complete answer to deliver, so the grant does not
    /// wait for acknowledgements.
    fn end_if_stopped(&mut self) {
        let running = |s: &PartState| matches!(s.progress, Progress::Running);
        if self.phase == Phase::Stopping && !self.parts.iter().any(running) {
            self.phase = Phase::Ended;
        }
    }

    fn report_to_lead(&self, report: MemberReport, cx: &mut Cx) {
        if self.is_lead {
            cx.local_messages
                .push_back(LocalMessage::Member(self.run, report));
        } else if let Some(lead) = self.members.first() {
            let lead = lead.clone();
            cx.actions.push(Action::ToLead {
                lead,
                run: self.run,
                report,
            });
        }
    }
}
