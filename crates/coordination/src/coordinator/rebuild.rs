//! Agents that come, go and report: how the books follow the truth.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use figrill_state::{error::Kind, event::Code, worker::Worker};

use crate::message::{
    AgentRequest, Band, GrantPhase, GrantReport, Header, Run, RunOutcome,
};

use super::{
    Coordinator,
    cell::Booked,
    job_state::{Booking, JobState, Phase},
};

impl Coordinator {
    /// An agent is connected; its worker counts once it has reported.
    pub(super) fn agent_up(&mut self, worker: &Worker) {
        let term = self.term;
        self.tell_agent(&worker.name, AgentRequest::Coordinate { term });
    }

    pub(super) fn agent_down(
        &mut self,
        now: Duration,
        worker: &str,
        incarnation: u64,
    ) {
        let node = self.cell.node(worker);
        if node.is_none_or(|n| n.incarnation != incarnation) {
            return;
        }
        if !self.connected.remove(worker) {
            return;
        }
        self.away.insert(worker.to_owned(), now);
        self.note_worker(Code::WorkerDown, worker);
        if let Some(i) = self.cell.index(worker) {
            self.cell.node_mut(i).usable = false;
        }
        let affected: Vec<JobState> = self
            .jobs
            .values()
            .filter(|s| {
                s.booking().is_some_and(|b| {
                    b.members.iter().any(|m| m.worker == worker)
                })
            })
            .cloned()
            .collect();
        for state in affected {
            self.member_away(now, worker, &state.phase);
        }
        self.changed = true;
    }

    fn member_away(&mut self, now: Duration, worker: &str, phase: &Phase) {
        match phase {
            Phase::Holding { booking, .. } => {
                self.release(booking);
                self.requeue(now, booking.run.job, Duration::ZERO);
            }
            Phase::Reclaiming { booking, .. } => {
                self.unbook(booking);
                self.requeue(now, booking.run.job, Duration::ZERO);
            }
            Phase::Started {
                booking,
                lost: None,
            } if booking.lead().is_some_and(|l| l.worker == worker) => {
                if let Some(state) = self.jobs.get_mut(&booking.run.job) {
                    state.phase = Phase::Started {
                        booking: booking.clone(),
                        lost: Some(now),
                    };
                }
            }
            _ => {}
        }
    }

    /// Takes an agent's full report: it replaces all that the books say of
    /// its worker.
    pub(super) fn full(
        &mut self,
        now: Duration,
        worker: &Worker,
        grants: Vec<GrantReport>,
        outcomes: Vec<(Run, Header, RunOutcome)>,
    ) {
        let before = self.cell.node(&worker.name).map(|n| n.incarnation);
        if before.is_some_and(|i| i != worker.incarnation) {
            self.health.forget(&worker.name);
            self.renewed(now, worker);
        }
        let i = self.cell.update(worker);
        self.cell.node_mut(i).usable = true;
        self.away.remove(&worker.name);
        if self.connected.insert(worker.name.clone()) {
            self.note_worker(Code::WorkerUp, &worker.name);
        }
        let reported: BTreeSet<Run> = grants
            .iter()
            .map(|g| g.run)
            .chain(outcomes.iter().map(|(run, ..)| *run))
            .collect();
        self.drop_unreported(now, i, &reported);
        for grant in grants {
            self.adopt_grant(now, i, grant);
        }
        for (run, header, outcome) in outcomes {
            self.adopt_ending(now, &worker.name, run, header, outcome);
        }
        self.changed = true;
    }

    /// An agent came back as another incarnation: what its former self led
    /// is lost.
    fn renewed(&mut self, now: Duration, worker: &Worker) {
        let lost: Vec<Booking> = self
            .jobs
            .values()
            .filter_map(|state| match &state.phase {
                Phase::Started { booking, .. } => Some(booking.clone()),
                _ => None,
            })
            .filter(|booking| {
                booking.lead().is_some_and(|lead| {
                    lead.worker == worker.name
                        && lead.incarnation != worker.incarnation
                })
            })
            .collect();
        for booking in lost {
            self.lose(now, &booking);
        }
    }

    /// Books that the agent does not confirm are wrong. Work that it should
    /// lead but has never heard of did not start there, and a cancel makes
    /// sure that it never will.
    fn drop_unreported(
        &mut self,
        now: Duration,
        i: usize,
        reported: &BTreeSet<Run>,
    ) {
        let node = &self.cell.nodes()[i];
        let name = node.name.clone();
        let missing: Vec<Run> = node
            .runs()
            .keys()
            .filter(|run| !reported.contains(run))
            .copied()
            .collect();
        for run in missing {
            let phase = self
                .jobs
                .get(&run.job)
                .filter(|s| s.booking().is_some_and(|b| b.run == run))
                .map(|s| s.phase.clone());
            match phase {
                Some(Phase::Reclaiming { .. } | Phase::Marking(..)) => {}
                Some(Phase::Holding { booking, .. }) => {
                    self.release(&booking);
                    self.requeue(now, run.job, Duration::ZERO);
                }
                Some(Phase::Started { booking, .. })
                    if booking.lead().is_some_and(|l| l.worker == name) =>
                {
                    let request = AgentRequest::Cancel {
                        term: self.term,
                        run,
                        why: Kind::GangAborted,
                        window: Duration::ZERO,
                    };
                    self.tell_agent(&name, request);
                }
                _ => self.cell.unbook(i, run),
            }
        }
    }

    fn adopt_grant(&mut self, now: Duration, i: usize, grant: GrantReport) {
        let run = grant.run;
        let band = grant.header.band;
        self.cell.book(
            i,
            run,
            Booked {
                need: grant.need,
                band,
            },
        );
        let name = self.cell.nodes()[i].name.clone();
        let leads = grant.members.first().is_some_and(|m| m.worker == name);
        if grant.phase == GrantPhase::Held || !leads {
            return;
        }
        self.leads.insert(run, name);
        let placed = now.saturating_sub(grant.age);
        let booking = Booking {
            run,
            members: grant.members,
            band,
            placed,
            under: None,
        };
        self.adopt_run(run, grant.header, &booking);
    }

    /// A running attempt becomes its job's current one unless the books
    /// have a newer one.
    fn adopt_run(&mut self, run: Run, header: Header, booking: &Booking) {
        let phase = Phase::Started {
            booking: booking.clone(),
            lost: None,
        };
        let workspace = header.workspace.clone();
        if let Some(state) = self.jobs.get_mut(&run.job) {
            let same = state.booking().is_some_and(|b| b.run == run);
            let free = state.is_queued()
                || matches!(state.phase, Phase::Sought { .. });
            if !same && !free {
                return;
            }
            state.header = header;
            state.phase = phase;
            self.queue.remove(run.job);
        } else {
            let kind = self.learner.kind(
                &header.workspace,
                &header.service,
                &header.shape,
                None,
            );
            let state = JobState {
                job: None,
                header,
                kind,
                submitted: booking.placed,
                watchers: BTreeSet::new(),
                tried: true,
                failures: 0,
                reclaims: 0,
                excluded: BTreeSet::new(),
                checkpoints: BTreeMap::new(),
                cancelled: None,
                not_before: Duration::ZERO,
                phase,
            };
            self.jobs.insert(run.job, state);
        }
        self.active.insert(run.job);
        self.note(Code::JobAdopted, run.job, &format!("of={workspace}"));
        if booking.band == Band::Own && !self.guarantees.holds(run) {
            self.claim_again(run);
        }
        self.tell_watchers(run.job);
    }

    fn adopt_ending(
        &mut self,
        now: Duration,
        worker: &str,
        run: Run,
        header: Header,
        outcome: RunOutcome,
    ) {
        self.leads.insert(run, worker.to_owned());
        let known = self.jobs.get(&run.job);
        let open = known.is_none_or(|s| {
            s.is_queued() || matches!(s.phase, Phase::Sought { .. })
        });
        if open {
            let booking = Booking {
                run,
                members: Vec::new(),
                band: header.band,
                placed: now,
                under: None,
            };
            self.adopt_run(run, header, &booking);
        }
        self.ended_at_lead(now, run, outcome);
    }
}
