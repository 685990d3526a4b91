//! The agent of a worker, which alone grants the worker's capacity.
//!
//! The agent runs beside the upstream, and its grants are the authoritative
//! record of what the worker runs. It grants a gang's share of the worker as a
//! whole or not at all. Coordinators may change at any time: the agent follows
//! the highest term that it has seen and rejects lower ones.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use figrill_state::event::{Code, NewEvent};
use figrill_state::worker::{Capacity, Worker};
use grant::{Grant, PartEvent};
use lead::Lead;
use tombs::Tombstones;

use crate::message::{
    AgentReport, AgentRequest, JobHeader, Member, MemberReport, MemberRequest,
    Run, RunOutcome,
};

pub mod grant;
pub mod lead;
mod requests;
pub mod tombs;

/// How long after its last announcement an upstream is considered lost. The
/// worker then offers no capacity until the upstream announces itself again.
pub const UPSTREAM_TIMEOUT: Duration = Duration::from_secs(3);

/// How long a member stays prepared to start a gang, from the last request of
/// the lead to prepare or to commit.
pub const PREPARED_TTL: Duration = Duration::from_secs(3);

/// How long the parts of a member run without a renewal by the lead. A gang on
/// one worker needs no renewal.
pub const RUN_LEASE_TTL: Duration = Duration::from_secs(3);

/// The time after which an unacknowledged message is sent again.
pub const RESEND_INTERVAL: Duration = Duration::from_millis(250);

/// Identifies one part of one attempt.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PartId {
    /// The attempt that the part belongs to.
    pub run: Run,
    /// The rank of the part.
    pub rank: u32,
}

/// An input of the agent.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A coordinator sent a request.
    Coordinator {
        /// The incarnation of the coordinator.
        from: u64,
        /// The request, which is rejected if its term is outdated.
        request: AgentRequest,
    },
    /// The stream to a coordinator ended.
    CoordinatorDisconnected {
        /// The incarnation of the coordinator.
        from: u64,
    },
    /// The lead of a gang sent a request.
    Lead {
        /// The attempt whose gang the lead leads.
        run: Run,
        /// What the member on this worker is to do.
        request: MemberRequest,
    },
    /// A member sent a report to the lead on this worker.
    Member {
        /// The attempt whose gang is led on this worker.
        run: Run,
        /// The name of the member's worker.
        worker: String,
        /// The incarnation of the member's agent.
        incarnation: u64,
        /// The answer to a request of the lead, or how a part ended.
        report: MemberReport,
    },
    /// The upstream announced its capacity, for the first time or again.
    UpstreamAnnounced(Capacity),
    /// The upstream announced that it leaves. It finishes the parts that it
    /// runs, but gets no new ones.
    UpstreamLeft,
    /// An upstream call for a part has ended.
    Part {
        /// The part that the call was made for.
        part: PartId,
        /// How the call ended.
        event: PartEvent,
    },
    /// The process drains: it makes no new grants.
    Drain,
}

/// An action for the process that drives the agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send a report to a coordinator.
    Report {
        /// The incarnation of the coordinator.
        to: u64,
        /// The report on the worker or on one of its attempts.
        report: AgentReport,
    },
    /// Send a request to a member of a gang that this worker leads.
    ToMember {
        /// The member, which is on another worker.
        member: Member,
        /// The attempt whose gang it is a member of.
        run: Run,
        /// What the member is to do.
        request: MemberRequest,
    },
    /// Send a report to the lead of a gang.
    ToLead {
        /// The lead, which is on another worker.
        lead: Member,
        /// The attempt whose gang it leads.
        run: Run,
        /// The answer to a request of the lead, or how a part ended.
        report: MemberReport,
    },
    /// Start a part on the upstream.
    Start {
        /// The part to start. Each part is started only once.
        part: PartId,
        /// The input of the part.
        input: Vec<u8>,
        /// The checkpoint that an earlier attempt left, if any.
        checkpoint: Option<Vec<u8>>,
    },
    /// Stop a part, with a checkpoint if it is written within `window`.
    Stop {
        /// The part to stop.
        part: PartId,
        /// How long the checkpoint may take. Zero asks for no checkpoint.
        window: Duration,
    },
    /// Record an event in the journal.
    RecordEvent(NewEvent),
}

/// The coordinator that the agent follows: the one with the highest term seen.
struct Coordinator {
    term: u64,
    incarnation: u64,
    connected: bool,
}

struct Upstream {
    /// The capacity that the upstream announced last.
    capacity: Capacity,
    last_announced: Duration,
}

/// The state machine of one agent.
pub struct Agent {
    worker: Worker,
    /// The number of accelerators that are not offered.
    reserved_accelerators: u32,
    upstream: Option<Upstream>,
    coordinator: Coordinator,
    grants: BTreeMap<Run, Grant>,
    /// The leads of the gangs that are led on this worker.
    leads: BTreeMap<Run, Lead>,
    /// The outcomes that no coordinator has acknowledged.
    outcomes: BTreeMap<Run, (JobHeader, RunOutcome)>,
    /// The attempts that must not be granted, because they were refused or
    /// their grant has ended.
    tombstones: Tombstones,
    /// The attempts whose outcome was acknowledged and discarded.
    acknowledged: Tombstones,
    draining: bool,
    leave: Leave,
}

/// How far a draining agent has come with taking leave of the coordinator that
/// it follows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Leave {
    /// [`AgentReport::Leaving`] was not sent.
    Unsaid,
    /// It was last sent then.
    Said(Duration),
    /// The coordinator has acknowledged it.
    Acknowledged,
}

/// Collects the actions of one step. Messages from this worker to itself are
/// handled within the same step.
#[derive(Default)]
pub(crate) struct Cx {
    pub(crate) actions: Vec<Action>,
    pub(crate) local_messages: VecDeque<LocalMessage>,
}

/// A message between the lead of a gang and the member on the same worker.
pub(crate) enum LocalMessage {
    /// From the lead.
    Lead(Run, MemberRequest),
    /// From the member.
    Member(Run, MemberReport),
}

impl Cx {
    pub(crate) fn record_event(&mut self, code: Code, run: Run, detail: &str) {
        let detail = format!("attempt={} {detail}", run.attempt);
        self.actions.push(Action::RecordEvent(NewEvent::for_job(
            code, run.job, detail,
        )));
    }
}

impl Agent {
    /// Creates the agent of `worker`. The worker's capacity is what its
    /// upstream announces less `reserved_accelerators`, and none before the
    /// first announcement.
    #[must_use]
    pub fn new(worker: Worker, reserved_accelerators: u32) -> Self {
        Self {
            worker: Worker {
                capacity: Capacity::default(),
                ..worker
            },
            reserved_accelerators,
            upstream: None,
            coordinator: Coordinator {
                term: 0,
                incarnation: 0,
                connected: false,
            },
            grants: BTreeMap::new(),
            leads: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            tombstones: Tombstones::default(),
            acknowledged: Tombstones::default(),
            draining: false,
            leave: Leave::Unsaid,
        }
    }

    /// Returns the worker as it is currently reported to the coordinator.
    #[must_use]
    pub const fn worker(&self) -> &Worker {
        &self.worker
    }

    /// Returns the highest term that the agent has seen.
    #[must_use]
    pub const fn term(&self) -> u64 {
        self.coordinator.term
    }

    /// Returns whether there is no grant, no gang led here and no
    /// unacknowledged outcome.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.grants.is_empty()
            && self.leads.is_empty()
            && self.outcomes.is_empty()
    }

    /// Returns whether the agent has drained and can end. A connected
    /// coordinator knows by then that it places nothing here any more.
    #[must_use]
    pub fn has_left(&self) -> bool {
        self.draining
            && self.is_idle()
            && (self.leave == Leave::Acknowledged
                || !self.coordinator.connected)
    }

    /// Returns the number of an attempt's parts that are granted on this
    /// worker, or 0 if its grant has ended.
    #[must_use]
    pub fn granted_parts(&self, run: Run) -> usize {
        self.grants.get(&run).map_or(0, Grant::part_count)
    }

    /// Returns the total capacity of all grants.
    #[must_use]
    pub fn used(&self) -> Capacity {
        let capacities = self.grants.values().map(Grant::capacity);
        capacities.fold(Capacity::default(), |sum, c| sum.plus(c))
    }

    /// Handles an input and returns the resulting actions.
    pub fn handle(&mut self, now: Duration, input: Input) -> Vec<Action> {
        let mut cx = Cx::default();
        // Deadlines that passed while the process was paused take effect
        // before the input is handled. Otherwise a paused member could act on
        // a lease that has lapsed.
        self.expire(now, &mut cx);
        self.dispatch(now, input, &mut cx);
        self.process_local_messages(now, &mut cx);
        self.take_leave(now, &mut cx);
        cx.actions
    }

    /// Reports that the agent leaves once it has drained, and again until the
    /// coordinator acknowledges it.
    fn take_leave(&mut self, now: Duration, cx: &mut Cx) {
        let due = match self.leave {
            Leave::Unsaid => true,
            Leave::Said(at) => now >= at + RESEND_INTERVAL,
            Leave::Acknowledged => false,
        };
        let connected = self.coordinator.connected;
        if !due || !connected || !self.draining || !self.is_idle() {
            return;
        }
        self.leave = Leave::Said(now);
        let term = self.coordinator.term;
        let worker = self.worker.clone();
        self.report(AgentReport::Leaving { term, worker }, cx);
    }

    fn dispatch(&mut self, now: Duration, input: Input, cx: &mut Cx) {
        match input {
            Input::Tick => {}
            Input::Coordinator { from, request } => {
                self.on_request(now, from, request, cx);
            }
            Input::CoordinatorDisconnected { from } => {
                if self.coordinator.incarnation == from {
                    self.coordinator.connected = false;
                }
            }
            Input::Lead { run, request } => {
                self.on_lead_request(now, run, &request, cx);
            }
            Input::Member {
                run,
                worker,
                incarnation,
                report,
            } => {
                if let Some(lead) = self.leads.get_mut(&run) {
                    lead.handle_report(now, &worker, incarnation, report, cx);
                }
            }
            Input::UpstreamAnnounced(capacity) => {
                self.upstream_announced(now, capacity, cx);
            }
            Input::UpstreamLeft => self.upstream_gone("left", cx),
            Input::Part { part, event } => self.on_part(now, part, event, cx),
            Input::Drain => {
                self.draining = true;
                self.update_capacity(cx);
            }
        }
    }

    /// Handles messages from this worker to itself and removes finished leads
    /// and grants, until neither causes another message.
    fn process_local_messages(&mut self, now: Duration, cx: &mut Cx) {
        loop {
            while let Some(message) = cx.local_messages.pop_front() {
                match message {
                    LocalMessage::Lead(run, request) => {
                        self.on_lead_request(now, run, &request, cx);
                    }
                    LocalMessage::Member(run, report) => {
                        let worker = self.worker.name.clone();
                        let incarnation = self.worker.incarnation;
                        if let Some(lead) = self.leads.get_mut(&run) {
                            lead.handle_report(
                                now,
                                &worker,
                                incarnation,
                                report,
                                cx,
                            );
                        }
                    }
                }
            }
            self.remove_finished(cx);
            if cx.local_messages.is_empty() {
                return;
            }
        }
    }

    /// Turns the leads of ended gangs into outcomes, and removes grants that
    /// have ended.
    fn remove_finished(&mut self, cx: &mut Cx) {
        let runs: Vec<Run> = self
            .leads
            .iter()
            .filter(|(_, lead)| lead.outcome().is_some())
            .map(|(run, _)| *run)
            .collect();
        for run in runs {
            if let Some(lead) = self.leads.remove(&run) {
                let (header, outcome) = lead.into_outcome();
                self.record_outcome(run, header, outcome, cx);
            }
        }
        let ended: Vec<Run> = self
            .grants
            .iter()
            .filter(|(_, grant)| grant.has_ended())
            .map(|(run, _)| *run)
            .collect();
        for run in ended {
            self.grants.remove(&run);
            self.tombstones.insert(run);
            self.report(AgentReport::Freed { run }, cx);
        }
    }

    fn record_outcome(
        &mut self,
        run: Run,
        header: JobHeader,
        outcome: RunOutcome,
        cx: &mut Cx,
    ) {
        let report = AgentReport::Ended {
            run,
            outcome: outcome.clone(),
        };
        self.outcomes.insert(run, (header, outcome));
        self.report(report, cx);
    }

    fn report(&self, report: AgentReport, cx: &mut Cx) {
        if self.coordinator.connected {
            let to = self.coordinator.incarnation;
            cx.actions.push(Action::Report { to, report });
        }
    }

    /// Applies all deadlines that have passed, and lets grants and leads send
    /// unacknowledged messages again.
    fn expire(&mut self, now: Duration, cx: &mut Cx) {
        let timed_out = self
            .upstream
            .as_ref()
            .is_some_and(|u| now >= u.last_announced + UPSTREAM_TIMEOUT);
        if timed_out {
            self.upstream_gone("silent", cx);
        }
        for grant in self.grants.values_mut() {
            grant.expire(now, cx);
        }
        for lead in self.leads.values_mut() {
            lead.tick(now, cx);
        }
    }

    fn upstream_announced(
        &mut self,
        now: Duration,
        capacity: Capacity,
        cx: &mut Cx,
    ) {
        if self.upstream.is_none() {
            let detail = format!(
                "worker={} accelerators={} slots={}",
                self.worker.name, capacity.accelerators, capacity.slots
            );
            cx.actions.push(Action::RecordEvent(NewEvent::new(
                Code::UpstreamUp,
                detail,
            )));
        }
        self.upstream = Some(Upstream {
            capacity,
            last_announced: now,
        });
        self.update_capacity(cx);
    }

    fn upstream_gone(&mut self, how: &str, cx: &mut Cx) {
        if self.upstream.take().is_some() {
            let detail = format!("worker={} how={how}", self.worker.name);
            cx.actions.push(Action::RecordEvent(NewEvent::new(
                Code::UpstreamGone,
                detail,
            )));
        }
        self.update_capacity(cx);
    }

    /// Reports the worker's capacity to the coordinator if it has changed.
    fn update_capacity(&mut self, cx: &mut Cx) {
        let offered = match &self.upstream {
            Some(upstream) if !self.draining => Capacity {
                accelerators: upstream
                    .capacity
                    .accelerators
                    .saturating_sub(self.reserved_accelerators),
                ..upstream.capacity
            },
            _ => Capacity::default(),
        };
        if offered == self.worker.capacity {
            return;
        }
        self.worker.capacity = offered;
        let worker = self.worker.clone();
        self.report(AgentReport::CapacityChanged { worker }, cx);
    }

    fn on_lead_request(
        &mut self,
        now: Duration,
        run: Run,
        request: &MemberRequest,
        cx: &mut Cx,
    ) {
        if let Some(grant) = self.grants.get_mut(&run) {
            grant.handle_request(now, request, cx);
        }
        // Without a grant, the address of the lead is not known. The process
        // therefore calls `has_grant_or_refuse` first and answers `NoGrant` on
        // the stream by which the request arrived.
    }

    /// Returns whether there is a grant for this attempt. If there is none,
    /// the attempt is refused from now on: its lead is answered
    /// [`MemberReport::NoGrant`] and aborts the gang, so a hold that arrives
    /// later must not be granted.
    pub fn has_grant_or_refuse(&mut self, run: Run) -> bool {
        let granted = self.grants.contains_key(&run);
        if !granted {
            self.tombstones.insert(run);
        }
        granted
    }

    fn on_part(
        &mut self,
        now: Duration,
        part: PartId,
        event: PartEvent,
        cx: &mut Cx,
    ) {
        if let Some(grant) = self.grants.get_mut(&part.run) {
            grant.on_part(now, part.rank, event, cx);
        }
    }
}

/// Returns the term under which a request was sent. An acknowledgement has no
/// term, because it is valid from any coordinator.
const fn term_of(request: &AgentRequest) -> u64 {
    match request {
        AgentRequest::Coordinate { term }
        | AgentRequest::Release { term, .. }
        | AgentRequest::StartGang { term, .. }
        | AgentRequest::Cancel { term, .. }
        | AgentRequest::Dismiss { term } => *term,
        AgentRequest::Hold(hold) => hold.term,
        AgentRequest::Ack { .. } => 0,
    }
}
