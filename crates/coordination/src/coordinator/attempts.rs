//! Attempts: from a chosen place to the lead's word on how it ended.

use std::collections::BTreeSet;
use std::time::Duration;

use figrill_state::error::Kind;
use figrill_state::event::Code;
use figrill_state::job::{Job, JobId, Outcome};

use crate::message::{
    AgentReport, AgentRequest, Hold, JobReport, JobStatus, Member, Part, Run,
};

use super::cell::Booked;
use super::job_state::{Booking, Choice, JobState, Phase};
use super::{
    Action, Coordinator, HOLD_TTL, HOLD_WAIT, MarkError, UNKNOWN_AFTER,
};

/// Time before a job is placed again after its holds were refused.
pub(super) const PLACE_AGAIN: Duration = Duration::from_millis(100);

/// Time before a job is placed again after the store did not answer.
const MARK_AGAIN: Duration = Duration::from_secs(1);

impl Coordinator {
    /// Books a chosen place and goes on to the first step that it needs.
    pub(super) fn dispatch(
        &mut self,
        now: Duration,
        job: JobId,
        choice: Choice,
    ) {
        let attempt = self.next_attempt();
        let run = Run { job, attempt };
        self.queue.remove(job);
        self.active.insert(job);
        if self.reservation.as_ref().is_some_and(|r| r.job == job) {
            self.reservation = None;
        }
        let Some(state) = self.jobs.get_mut(&job) else {
            return;
        };
        state.header.band = choice.band;
        let shape = state.header.shape;
        let mut members = Vec::new();
        let mut rank = 0;
        for (i, parts) in &choice.placement.shares {
            let node = &self.cell.nodes()[*i];
            members.push(Member {
                worker: node.name.clone(),
                incarnation: node.incarnation,
                address: node.address.clone(),
                ranks: (rank..rank + parts).collect(),
            });
            rank += parts;
        }
        for (i, need) in choice.placement.needs(&shape) {
            let booked = Booked {
                need,
                band: choice.band,
            };
            self.cell.book(i, run, booked);
        }
        if let Some(claim) = choice.claim {
            self.guarantees.claim(run, claim);
        }
        let booking = Booking {
            run,
            members,
            band: choice.band,
            placed: now,
            under: choice.under,
        };
        let detail = format!(
            "attempt={attempt} band={:?} workers={}",
            booking.band,
            booking.members.len()
        );
        self.note(Code::JobPlaced, job, &detail);
        if choice.victims.is_empty() {
            self.proceed(now, booking);
        } else {
            self.reclaim(now, booking, choice.victims);
        }
    }

    /// Moves borrowers out of a booked place.
    fn reclaim(
        &mut self,
        now: Duration,
        booking: Booking,
        victims: BTreeSet<Run>,
    ) {
        let job = booking.run.job;
        let detail = format!("victims={}", victims.len());
        self.note(Code::ReclaimStarted, job, &detail);
        let Some(state) = self.jobs.get(&job) else {
            return;
        };
        let header = &state.header;
        let policy = self.tree.effective(&header.workspace, &header.service);
        let window = policy.map_or(HOLD_WAIT, |p| p.reclaim_window);
        for victim in &victims {
            self.move_borrower(now, victim.job, window / 2);
        }
        // A borrower that has not left by then is out of reach; another
        // place has the other half of the window.
        let until = now + window / 2 + Duration::from_millis(500);
        self.set_phase(
            job,
            Phase::Reclaiming {
                booking,
                victims,
                until,
            },
        );
        self.check_reclaim(now, job);
    }

    /// Asks a borrower to leave; one that has not started waits again.
    fn move_borrower(&mut self, now: Duration, job: JobId, window: Duration) {
        let Some(state) = self.jobs.get(&job) else {
            return;
        };
        match state.phase.clone() {
            Phase::Holding { booking, .. } => {
                self.release(&booking);
                self.requeue(now, job, PLACE_AGAIN);
            }
            Phase::Reclaiming { booking, .. } => {
                self.unbook(&booking);
                self.requeue(now, job, PLACE_AGAIN);
            }
            _ => self.end_attempt(now, job, Kind::Reclaimed, window),
        }
    }

    /// Marks the record, if there is one, then asks for the holds.
    fn proceed(&mut self, now: Duration, booking: Booking) {
        let run = booking.run;
        let state = self.jobs.get(&run.job);
        let version = state.and_then(|s| s.job.as_ref()?.record);
        let lead = booking.lead().cloned();
        if let (Some(version), Some(lead)) = (version, lead) {
            self.set_phase(run.job, Phase::Marking(booking, version));
            self.out.push(Action::Mark {
                run,
                version,
                lead: lead.worker,
                incarnation: lead.incarnation,
            });
            return;
        }
        self.ask(now, booking);
    }

    pub(super) fn marked(
        &mut self,
        now: Duration,
        run: Run,
        result: Result<u64, MarkError>,
    ) {
        let Some(state) = self.jobs.get_mut(&run.job) else {
            return;
        };
        let Phase::Marking(booking, asked) = &state.phase else {
            return;
        };
        let asked = Some(*asked);
        if booking.run != run {
            return;
        }
        let booking = booking.clone();
        let cancelled = state.cancelled;
        match result {
            Ok(version) => {
                if let Some(job) = &mut state.job {
                    job.record = Some(version);
                }
                if let Some(kind) = cancelled {
                    self.unbook(&booking);
                    self.end_waiting(now, run.job, kind);
                } else {
                    self.ask(now, booking);
                }
            }
            // Work that may be repeated does not wait for the store.
            Err(MarkError::Unavailable)
                if state.header.repeatable && cancelled.is_none() =>
            {
                self.ask(now, booking);
            }
            Err(MarkError::Unavailable) => {
                self.unbook(&booking);
                self.requeue(now, run.job, MARK_AGAIN);
            }
            Err(MarkError::Conflict) => {
                self.unbook(&booking);
                self.superseded(now, run.job, asked);
            }
            Err(MarkError::Ended(outcome)) => {
                self.unbook(&booking);
                self.end(now, run.job, outcome, None);
            }
            Err(MarkError::Dispatched(dispatched, version)) => {
                self.unbook(&booking);
                if let Some(job) = &mut self.job_mut(run.job) {
                    job.record = Some(version);
                }
                let until = now + UNKNOWN_AFTER;
                let phase = Phase::Sought { dispatched, until };
                self.set_phase(run.job, phase);
                self.tick_attempt(now, run.job);
            }
        }
    }

    fn job_mut(&mut self, job: JobId) -> Option<&mut Job> {
        self.jobs.get_mut(&job)?.job.as_mut()
    }

    /// Another entry has taken the job over. If it was submitted here too,
    /// the new version is known by now; if not, this copy must not run, and
    /// the entries that asked follow the record.
    fn superseded(&mut self, now: Duration, job: JobId, asked: Option<u64>) {
        let known = self.job_mut(job).and_then(|j| j.record);
        if known > asked {
            self.requeue(now, job, Duration::ZERO);
            return;
        }
        self.active.remove(&job);
        let Some(state) = self.jobs.remove(&job) else {
            return;
        };
        for to in state.watchers {
            let status = JobStatus::Unknown;
            let report = JobReport::Status { job, status };
            self.out.push(Action::ToEntry { to, report });
        }
    }

    /// Asks all members to hold; a gang on one worker starts with it.
    fn ask(&mut self, now: Duration, booking: Booking) {
        let run = booking.run;
        let Some(state) = self.jobs.get(&run.job) else {
            return;
        };
        let Some(job) = &state.job else { return };
        let mut holds: Vec<(String, Hold)> = Vec::new();
        for member in &booking.members {
            let parts = member.ranks.iter().map(|rank| {
                let at = usize::try_from(*rank).unwrap_or(usize::MAX);
                Part {
                    rank: *rank,
                    input: job.inputs.get(at).cloned().unwrap_or_default(),
                    checkpoint: state.checkpoints.get(rank).cloned(),
                }
            });
            let hold = Hold {
                term: self.term,
                run,
                header: state.header.clone(),
                members: booking.members.clone(),
                parts: parts.collect(),
                ttl: HOLD_TTL,
            };
            holds.push((member.worker.clone(), hold));
        }
        // One order for all gangs: two of them never hold what the other
        // waits for.
        holds.sort_by(|a, b| a.0.cmp(&b.0));
        let waiting = holds.iter().map(|(w, _)| w.clone()).collect();
        if let Some(lead) = booking.lead() {
            self.leads.insert(run, lead.worker.clone());
        }
        for member in &booking.members {
            let name = member.worker.clone();
            if self.health.probe(now, &name) {
                self.note_worker(Code::WorkerProbed, &name);
            }
        }
        for (worker, hold) in holds {
            self.tell_agent(&worker, AgentRequest::Hold(hold));
        }
        let phase = if booking.is_solo() {
            Phase::Started {
                booking,
                lost: None,
            }
        } else {
            let until = now + HOLD_WAIT;
            Phase::Holding {
                booking,
                waiting,
                until,
            }
        };
        self.set_phase(run.job, phase);
    }

    pub(super) fn agent(
        &mut self,
        now: Duration,
        worker: &str,
        incarnation: u64,
        report: AgentReport,
    ) {
        match report {
            AgentReport::Full {
                term,
                worker,
                grants,
                outcomes,
            } => {
                if term == self.term {
                    self.full(now, &worker, grants, outcomes);
                }
            }
            AgentReport::CapacityChanged { worker } => {
                self.cell.update(&worker);
                self.changed = true;
            }
            AgentReport::Held { run } => self.held(worker, run),
            AgentReport::Refused { run } => self.refused(now, worker, run),
            AgentReport::Fenced { .. } => {}
            AgentReport::Started { run } => {
                if self.current(run) {
                    self.tell_watchers(run.job);
                }
            }
            AgentReport::Ended { run, outcome } => {
                self.leads.insert(run, worker.to_owned());
                self.ended_at_lead(now, run, outcome);
            }
            AgentReport::Freed { run } => {
                let node = self.cell.node(worker);
                if node.is_some_and(|n| n.incarnation == incarnation) {
                    self.freed(now, worker, run);
                }
            }
        }
    }

    /// Whether `run` is the attempt that its job's books are about.
    pub(super) fn current(&self, run: Run) -> bool {
        let state = self.jobs.get(&run.job);
        let booking = state.and_then(JobState::booking);
        booking.is_some_and(|b| b.run == run)
    }

    fn held(&mut self, worker: &str, run: Run) {
        let Some(state) = self.jobs.get_mut(&run.job) else {
            return;
        };
        let Phase::Holding {
            booking, waiting, ..
        } = &mut state.phase
        else {
            return;
        };
        if booking.run != run {
            return;
        }
        waiting.remove(worker);
        if !waiting.is_empty() {
            return;
        }
        let booking = booking.clone();
        let term = self.term;
        if let Some(lead) = booking.lead() {
            let request = AgentRequest::StartGang { term, run };
            let worker = lead.worker.clone();
            self.tell_agent(&worker, request);
        }
        self.set_phase(
            run.job,
            Phase::Started {
                booking,
                lost: None,
            },
        );
    }

    fn refused(&mut self, now: Duration, worker: &str, run: Run) {
        if !self.current(run) {
            return;
        }
        let Some(state) = self.jobs.get(&run.job) else {
            return;
        };
        match state.phase.clone() {
            Phase::Holding { booking, .. } => {
                self.release(&booking);
                self.requeue(now, run.job, PLACE_AGAIN);
            }
            // A gang on one worker that was refused there never started.
            Phase::Started { booking, .. }
                if booking.is_solo()
                    && booking.lead().is_some_and(|l| l.worker == worker) =>
            {
                self.unbook(&booking);
                self.nothing_ran(now, run.job, Kind::GangAborted);
            }
            _ => {}
        }
    }

    fn freed(&mut self, now: Duration, worker: &str, run: Run) {
        if let Some(i) = self.cell.index(worker) {
            self.cell.unbook(i, run);
        }
        self.changed = true;
        let waiting: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, s)| matches!(s.phase, Phase::Reclaiming { .. }))
            .map(|(id, _)| *id)
            .collect();
        for job in waiting {
            self.check_reclaim(now, job);
        }
    }

    fn check_reclaim(&mut self, now: Duration, job: JobId) {
        let Some(state) = self.jobs.get(&job) else {
            return;
        };
        if !self.reclaimed(&state.phase) {
            return;
        }
        if let Some(booking) = state.booking().cloned() {
            self.proceed(now, booking);
        }
    }

    /// Gives holds up, with their books.
    pub(super) fn release(&mut self, booking: &Booking) {
        let (term, run) = (self.term, booking.run);
        for member in &booking.members {
            let request = AgentRequest::Release { term, run };
            let worker = member.worker.clone();
            self.tell_agent(&worker, request);
        }
        self.unbook(booking);
    }

    /// Takes a booking out of the books.
    pub(super) fn unbook(&mut self, booking: &Booking) {
        for member in &booking.members {
            if let Some(i) = self.cell.index(&member.worker) {
                self.cell.unbook(i, booking.run);
            }
        }
        self.guarantees.release(booking.run);
        self.leads.remove(&booking.run);
        self.changed = true;
    }

    fn set_phase(&mut self, job: JobId, phase: Phase) {
        if let Some(state) = self.jobs.get_mut(&job) {
            state.phase = phase;
        }
    }

    pub(super) fn tick_attempt(&mut self, now: Duration, job: JobId) {
        let Some(state) = self.jobs.get(&job) else {
            return;
        };
        match state.phase.clone() {
            Phase::Reclaiming { booking, until, .. } if now >= until => {
                self.unbook(&booking);
                self.requeue(now, job, Duration::ZERO);
            }
            Phase::Holding { booking, until, .. } if now >= until => {
                self.release(&booking);
                self.requeue(now, job, PLACE_AGAIN);
            }
            Phase::Started {
                booking,
                lost: Some(since),
            } => {
                self.tick_lost(now, &booking, since);
            }
            Phase::Sought { dispatched, until } => {
                let node = self.cell.node(&dispatched.lead);
                let other = node
                    .is_some_and(|n| n.incarnation != dispatched.incarnation);
                let same = node
                    .is_some_and(|n| n.incarnation == dispatched.incarnation)
                    && self.connected.contains(&dispatched.lead);
                if same {
                    self.ask_lead(job, &dispatched);
                } else if other || now >= until {
                    let outcome = Outcome::Unknown(Kind::OutcomeLost);
                    self.end(now, job, outcome, None);
                }
            }
            _ => {}
        }
    }

    /// The lead that a record names is here but reported nothing of the
    /// attempt when the books were rebuilt. Asked to end it, it either has
    /// its ending or refuses it for good: both are the truth.
    fn ask_lead(
        &mut self,
        job: JobId,
        dispatched: &crate::message::Dispatched,
    ) {
        let request = AgentRequest::Cancel {
            term: self.term,
            run: Run {
                job,
                attempt: dispatched.attempt,
            },
            why: Kind::OutcomeLost,
            window: Duration::ZERO,
        };
        let lead = dispatched.lead.clone();
        self.tell_agent(&lead, request);
    }
}
