//! The lead of a gang, which starts the gang and stops all of it when a part
//! is lost.
//!
//! The lead alone decides, exactly once, that the gang starts. It runs on a
//! worker of the gang, and the gang fails with that worker anyway, so no other
//! process ever waits for a decision that a lost process will not make.
//!
//! The start takes three rounds. In the prepare round, each member agrees to
//! start and stays prepared for [`PREPARED_TTL`]. In the commit round, each
//! member acknowledges and stays prepared for the same time again. The start
//! request is then repeated until it is acknowledged. The lead counts the time
//! from when it sent the request, not from when the answer arrived, so the
//! time always ends earlier at the lead than at the member.

use std::{collections::BTreeMap, time::Duration};

use figrill_state::{
    error::Kind,
    event::Code,
    job::{Answer, MAX_JOB_BYTES, PartAnswer},
};

use crate::message::{
    Hold, JobHeader, Member, MemberReport, MemberRequest, Run, RunOutcome,
};

use super::{
    Action, Cx, LocalMessage, PREPARED_TTL, RESEND_INTERVAL, RUN_LEASE_TTL,
};

/// How much of [`PREPARED_TTL`] must be left at every member when the lead
/// goes on to the next round or decides to start.
const DECISION_MARGIN: Duration = Duration::from_millis(500);

/// The time between two renewals of the members' run leases.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(1);

/// How long the lead waits, in addition to the checkpoint window, for members
/// to report that they have stopped. By then their run leases have lapsed,
/// even if no message of the lead reached them.
const STOP_TIMEOUT: Duration = Duration::from_secs(8);

/// The phase of a gang.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// The capacity is held, and the coordinator has not asked to start the
    /// gang.
    Waiting {
        until: Duration,
    },
    /// The prepare request was sent to all members.
    Preparing {
        sent_at: Duration,
    },
    /// The commit request was sent to all members.
    Committing {
        sent_at: Duration,
    },
    /// The gang starts; from now on it is stopped, not aborted.
    Starting {
        decided_at: Duration,
    },
    Running,
    Stopping {
        since: Duration,
    },
}

/// The reason for which a gang is stopped.
#[derive(Clone)]
struct Failure {
    kind: Kind,
    reason: String,
    failed_worker: Option<String>,
}

/// The progress of a member, as it reported it to the lead. It only advances,
/// in the order of the variants.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Stage {
    Held,
    Ready,
    Committed,
    Started,
    NoGrant,
}

struct MemberState {
    member: Member,
    stage: Stage,
    last_report_at: Duration,
}

impl MemberState {
    fn reach(&mut self, stage: Stage) {
        self.stage = self.stage.max(stage);
    }

    fn has_reached(&self, stage: Stage) -> bool {
        self.stage >= stage
    }
}

/// The state that the lead keeps of its gang.
pub struct Lead {
    run: Run,
    header: JobHeader,
    members: Vec<MemberState>,
    phase: Phase,
    last_sent: Duration,
    /// The answers of the parts, by rank.
    answers: BTreeMap<u32, Vec<u8>>,
    answer_bytes: usize,
    /// The parts that ended without an answer, by rank, and the checkpoint
    /// that each left, if any.
    checkpoints: BTreeMap<u32, Option<Vec<u8>>>,
    failure: Option<Failure>,
    /// How long the parts may take to write a checkpoint.
    stop_window: Duration,
    /// Whether the coordinator asked to stop the gang.
    stop_requested: bool,
    outcome: Option<RunOutcome>,
}

impl Lead {
    /// Creates the lead of a gang whose capacity is held. With `solo`, the
    /// whole gang is on this worker and has already started.
    #[must_use]
    pub fn new(
        now: Duration,
        run: Run,
        header: JobHeader,
        hold: &Hold,
        solo: bool,
    ) -> Self {
        let members = hold.members.iter().map(|member| MemberState {
            member: member.clone(),
            stage: if solo { Stage::Started } else { Stage::Held },
            last_report_at: now,
        });
        let waiting = Phase::Waiting {
            until: now + hold.ttl,
        };
        Self {
            run,
            header,
            members: members.collect(),
            phase: if solo { Phase::Running } else { waiting },
            last_sent: now,
            answers: BTreeMap::new(),
            answer_bytes: 0,
            checkpoints: BTreeMap::new(),
            failure: None,
            stop_window: Duration::ZERO,
            stop_requested: false,
            outcome: None,
        }
    }

    /// Returns the outcome of the gang, once it has ended.
    #[must_use]
    pub const fn outcome(&self) -> Option<&RunOutcome> {
        self.outcome.as_ref()
    }

    /// Returns the header and the outcome of a gang that has ended.
    #[must_use]
    pub fn into_outcome(self) -> (JobHeader, RunOutcome) {
        let lost = || RunOutcome::Failed {
            kind: Kind::OutcomeLost,
            reason: String::new(),
            failed_worker: None,
        };
        (self.header, self.outcome.unwrap_or_else(lost))
    }

    /// Begins the prepare round, after the coordinator has reported that all
    /// members hold their capacity.
    pub(crate) fn start_gang(&mut self, now: Duration, cx: &mut Cx) {
        if let Phase::Waiting { .. } = self.phase {
            self.phase = Phase::Preparing { sent_at: now };
            self.last_sent = now;
            self.send_to_all(&MemberRequest::Prepare, cx);
        }
    }

    /// Aborts the gang if the coordinator has not asked to start it.
    pub(crate) fn abort_unstarted(&mut self, reason: Kind, cx: &mut Cx) {
        if let Phase::Waiting { .. } = self.phase {
            self.abort(reason, cx);
        }
    }

    /// Ends the gang, whatever its phase. It is aborted if the start is not
    /// decided yet, and stopped otherwise.
    pub(crate) fn cancel(
        &mut self,
        now: Duration,
        reason: Kind,
        window: Duration,
        cx: &mut Cx,
    ) {
        match self.phase {
            Phase::Waiting { .. }
            | Phase::Preparing { .. }
            | Phase::Committing { .. } => self.abort(reason, cx),
            Phase::Starting { .. } | Phase::Running => {
                self.stop_requested = true;
                let failure = Failure {
                    kind: reason,
                    reason: "stopped on request".to_owned(),
                    failed_worker: None,
                };
                self.fail(now, failure, window, cx);
            }
            Phase::Stopping { .. } => {}
        }
    }

    /// Handles a report of a member. A report that comes from another
    /// incarnation of the member's agent is ignored.
    pub(crate) fn handle_report(
        &mut self,
        now: Duration,
        worker: &str,
        incarnation: u64,
        report: MemberReport,
        cx: &mut Cx,
    ) {
        if self.outcome.is_some() {
            return;
        }
        let Some(i) = self.members.iter().position(|m| {
            m.member.worker == worker && m.member.incarnation == incarnation
        }) else {
            return;
        };
        self.members[i].last_report_at = now;
        match report {
            MemberReport::Ready => self.members[i].reach(Stage::Ready),
            MemberReport::Committed => {
                self.members[i].reach(Stage::Committed);
            }
            MemberReport::Started => self.members[i].reach(Stage::Started),
            MemberReport::Alive => {}
            MemberReport::NoGrant => self.handle_no_grant(now, i, cx),
            MemberReport::Answered { rank, bytes } => {
                self.handle_answer(now, i, rank, bytes, cx);
            }
            MemberReport::Failed { rank, reason } => {
                self.acknowledge(i, rank, cx);
                self.checkpoints.entry(rank).or_insert(None);
                let reason = format!("rank {rank}: {reason}");
                self.fail_part(now, reason, i, cx);
            }
            MemberReport::Stopped { rank, checkpoint } => {
                self.acknowledge(i, rank, cx);
                self.checkpoints.insert(rank, checkpoint);
                let reason = format!("rank {rank} was stopped");
                self.fail_worker_lost(now, reason, cx);
            }
        }
        self.advance(now, cx);
    }

    /// Enforces the deadlines, sends unacknowledged requests again and renews
    /// run leases.
    pub(crate) fn tick(&mut self, now: Duration, cx: &mut Cx) {
        if self.outcome.is_some() {
            return;
        }
        self.check_deadlines(now, cx);
        if self.outcome.is_some() {
            return;
        }
        let interval = match self.phase {
            Phase::Running => RENEW_INTERVAL,
            _ => RESEND_INTERVAL,
        };
        if now < self.last_sent + interval {
            return;
        }
        self.last_sent = now;
        self.resend(cx);
    }

    fn check_deadlines(&mut self, now: Duration, cx: &mut Cx) {
        match self.phase {
            Phase::Waiting { until } if now >= until => {
                self.abort(Kind::GangAborted, cx);
            }
            Phase::Preparing { sent_at } | Phase::Committing { sent_at }
                if now + DECISION_MARGIN >= sent_at + PREPARED_TTL =>
            {
                self.abort(Kind::GangAborted, cx);
            }
            Phase::Starting { decided_at }
                if now >= decided_at + PREPARED_TTL =>
            {
                let reason = "a member never started".to_owned();
                self.fail_worker_lost(now, reason, cx);
            }
            Phase::Running if self.members.len() > 1 => {
                self.fail_on_silent_member(now, cx);
            }
            Phase::Stopping { since }
                if now >= since + STOP_TIMEOUT + self.stop_window =>
            {
                self.finish_stop();
            }
            _ => {}
        }
    }

    /// Fails the gang if a member has not reported for [`RUN_LEASE_TTL`].
    fn fail_on_silent_member(&mut self, now: Duration, cx: &mut Cx) {
        let timed_out = self
            .members
            .iter()
            .find(|m| {
                now >= m.last_report_at + RUN_LEASE_TTL
                    && !self.answered_all(m)
            })
            .map(|m| m.member.worker.clone());
        if let Some(worker) = timed_out {
            let reason = format!("worker {worker} is silent");
            self.fail_worker_lost(now, reason, cx);
        }
    }

    fn resend(&mut self, cx: &mut Cx) {
        let (request, pending): (_, fn(&MemberState) -> bool) =
            match self.phase {
                Phase::Waiting { .. } => return,
                Phase::Preparing { .. } => {
                    (MemberRequest::Prepare, |m| !m.has_reached(Stage::Ready))
                }
                Phase::Committing { .. } => (MemberRequest::Commit, |m| {
                    !m.has_reached(Stage::Committed)
                }),
                Phase::Starting { .. } => {
                    (MemberRequest::Start, |m| !m.has_reached(Stage::Started))
                }
                Phase::Running => (MemberRequest::Renew, |_| true),
                Phase::Stopping { .. } => {
                    let window = self.stop_window;
                    (MemberRequest::Stop { window }, |m| {
                        !m.has_reached(Stage::NoGrant)
                    })
                }
            };
        for state in &self.members {
            if pending(state) && !self.answered_all(state) {
                self.send(&state.member, request.clone(), cx);
            }
        }
    }

    /// Goes on to the next round when all members have completed the current
    /// one.
    fn advance(&mut self, now: Duration, cx: &mut Cx) {
        match self.phase {
            Phase::Preparing { sent_at }
                if self
                    .members
                    .iter()
                    .all(|m| m.has_reached(Stage::Ready))
                    && now + DECISION_MARGIN < sent_at + PREPARED_TTL =>
            {
                self.phase = Phase::Committing { sent_at: now };
                self.last_sent = now;
                self.send_to_all(&MemberRequest::Commit, cx);
            }
            Phase::Committing { sent_at }
                if self
                    .members
                    .iter()
                    .all(|m| m.has_reached(Stage::Committed))
                    && now + DECISION_MARGIN < sent_at + PREPARED_TTL =>
            {
                self.phase = Phase::Starting { decided_at: now };
                self.last_sent = now;
                let detail = format!("members={}", self.members.len());
                cx.record_event(Code::GangStarted, self.run, &detail);
                self.send_to_all(&MemberRequest::Start, cx);
            }
            Phase::Starting { .. }
                if self
                    .members
                    .iter()
                    .all(|m| m.has_reached(Stage::Started)) =>
            {
                self.phase = Phase::Running;
            }
            _ => {}
        }
        self.end_if_complete(cx);
    }

    /// Sets the outcome if all parts have answered, or if all members of a
    /// gang that is being stopped have stopped.
    fn end_if_complete(&mut self, cx: &mut Cx) {
        match self.phase {
            Phase::Running if self.answers.len() == self.part_count() => {
                cx.record_event(Code::GangDone, self.run, "");
                let answers = std::mem::take(&mut self.answers);
                let parts = answers.into_iter();
                let answer = Answer {
                    attempt: self.run.attempt,
                    parts: parts
                        .map(|(rank, bytes)| PartAnswer { rank, bytes })
                        .collect(),
                };
                self.outcome = Some(RunOutcome::Done(answer));
            }
            Phase::Stopping { .. } if self.all_stopped() => self.finish_stop(),
            _ => {}
        }
    }

    /// Returns whether a member has answered all its parts. Its grant ends
    /// with the acknowledgement of the last answer, so its run lease is not
    /// renewed and it need not report any more.
    fn answered_all(&self, state: &MemberState) -> bool {
        let mut ranks = state.member.ranks.iter();
        ranks.all(|rank| self.answers.contains_key(rank))
    }

    fn part_count(&self) -> usize {
        self.members.iter().map(|m| m.member.ranks.len()).sum()
    }

    fn all_stopped(&self) -> bool {
        self.members.iter().all(|state| {
            state.has_reached(Stage::NoGrant)
                || state.member.ranks.iter().all(|rank| {
                    self.answers.contains_key(rank)
                        || self.checkpoints.contains_key(rank)
                })
        })
    }

    /// Sets the outcome of a gang that was stopped.
    fn finish_stop(&mut self) {
        let failure = self.failure.take().unwrap_or(Failure {
            kind: Kind::WorkerLost,
            reason: String::new(),
            failed_worker: None,
        });
        let parts = u32::try_from(self.part_count()).unwrap_or(u32::MAX);
        let checkpoints = (0..parts)
            .map(|rank| self.checkpoints.remove(&rank).flatten())
            .collect();
        self.outcome = Some(if self.stop_requested {
            RunOutcome::Stopped(failure.kind, checkpoints)
        } else {
            RunOutcome::Failed {
                kind: failure.kind,
                reason: failure.reason,
                failed_worker: failure.failed_worker,
            }
        });
    }

    fn handle_answer(
        &mut self,
        now: Duration,
        member: usize,
        rank: u32,
        bytes: Vec<u8>,
        cx: &mut Cx,
    ) {
        if !self.members[member].member.ranks.contains(&rank) {
            return;
        }
        self.members[member].reach(Stage::Started);
        self.acknowledge(member, rank, cx);
        let length = bytes.len();
        if self.answers.insert(rank, bytes).is_none() {
            self.answer_bytes += length;
        }
        if self.answer_bytes > MAX_JOB_BYTES {
            let reason = format!(
                "the whole answer is over {MAX_JOB_BYTES} bytes; let each \
                 part answer less"
            );
            self.fail_part(now, reason, member, cx);
        }
    }

    fn fail_part(
        &mut self,
        now: Duration,
        reason: String,
        member: usize,
        cx: &mut Cx,
    ) {
        let failed_worker = self.members[member].member.worker.clone();
        let failure = Failure {
            kind: Kind::PartFailed,
            reason,
            failed_worker: Some(failed_worker),
        };
        self.fail(now, failure, Duration::ZERO, cx);
    }

    fn fail_worker_lost(
        &mut self,
        now: Duration,
        reason: String,
        cx: &mut Cx,
    ) {
        let failure = Failure {
            kind: Kind::WorkerLost,
            reason,
            failed_worker: None,
        };
        self.fail(now, failure, Duration::ZERO, cx);
    }

    fn acknowledge(&self, member: usize, rank: u32, cx: &mut Cx) {
        let to = &self.members[member].member;
        self.send(to, MemberRequest::Ack { rank }, cx);
    }

    /// Handles a report that a member has no grant. Before the start is
    /// decided, the gang is aborted; afterwards it fails, unless the member
    /// has answered all its parts.
    fn handle_no_grant(&mut self, now: Duration, member: usize, cx: &mut Cx) {
        if self.answered_all(&self.members[member]) {
            return;
        }
        self.members[member].reach(Stage::NoGrant);
        let worker = self.members[member].member.worker.clone();
        match self.phase {
            Phase::Waiting { .. }
            | Phase::Preparing { .. }
            | Phase::Committing { .. } => {
                self.abort(Kind::GangAborted, cx);
            }
            Phase::Starting { .. } | Phase::Running => {
                let reason = format!("worker {worker} lost its part");
                self.fail_worker_lost(now, reason, cx);
            }
            Phase::Stopping { .. } => {}
        }
    }

    /// Ends a gang of which no part was started.
    fn abort(&mut self, reason: Kind, cx: &mut Cx) {
        cx.record_event(Code::GangAborted, self.run, "");
        self.send_to_all(&MemberRequest::Abort, cx);
        self.outcome = Some(RunOutcome::NotStarted(reason));
    }

    /// Stops the gang because of `failure`. Only the first failure counts.
    fn fail(
        &mut self,
        now: Duration,
        failure: Failure,
        window: Duration,
        cx: &mut Cx,
    ) {
        if let Phase::Stopping { .. } = self.phase {
            return;
        }
        cx.record_event(Code::GangFailed, self.run, &failure.reason);
        self.phase = Phase::Stopping { since: now };
        self.last_sent = now;
        self.stop_window = window;
        self.failure = Some(failure);
        self.send_to_all(&MemberRequest::Stop { window }, cx);
        self.end_if_complete(cx);
    }

    fn send_to_all(&self, request: &MemberRequest, cx: &mut Cx) {
        for state in &self.members {
            self.send(&state.member, request.clone(), cx);
        }
    }

    fn send(&self, to: &Member, request: MemberRequest, cx: &mut Cx) {
        // The first member is the lead's own worker.
        let own = self.members.first().map(|m| &m.member);
        if own == Some(to) {
            cx.local_messages
                .push_back(LocalMessage::Lead(self.run, request));
            return;
        }
        let member = to.clone();
        cx.actions.push(Action::ToMember {
            member,
            run: self.run,
            request,
        });
    }
}
