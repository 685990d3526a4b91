//! Handles agents that connect, disconnect and report, and brings the
//! coordinator's state in line with what they report.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use figrill_state::{error::Kind, event::Code, worker::Worker};

use crate::message::{
    AgentRequest, Band, GrantPhase, GrantReport, JobHeader, Run, RunOutcome,
};

use super::{
    Coordinator,
    cell::WorkerAllocation,
    job_state::{Allocation, JobState, Phase},
};

impl Coordinator {
    /// Requests a full report from an agent that has connected. Its worker is
    /// not used before.
    pub(super) fn agent_up(&mut self, worker: &Worker) {
        let term = self.term;
        self.send_to_agent(&worker.name, AgentRequest::Coordinate { term });
    }

    /// Handles the end of the stream to an agent. Ignores the stream of an
    /// earlier incarnation.
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
        self.disconnected.insert(worker.to_owned(), now);
        self.record_worker_event(Code::WorkerDown, worker);
        if let Some(i) = self.cell.index(worker) {
            self.cell.node_mut(i).usable = false;
        }
        let affected: Vec<JobState> = self
            .jobs
            .values()
            .filter(|s| {
                s.allocation().is_some_and(|a| {
                    a.members.iter().any(|m| m.worker == worker)
                })
            })
            .cloned()
            .collect();
        for state in affected {
            self.member_disconnected(now, worker, &state.phase);
        }
        self.pass_needed = true;
    }

    /// Handles the loss of the connection to a member of a job's gang. An
    /// attempt that waits for holds or for reclaimed capacity is dropped, and
    /// its job is requeued. One that may have started goes on, but a time
    /// limit begins if its lead is disconnected.
    fn member_disconnected(
        &mut self,
        now: Duration,
        worker: &str,
        phase: &Phase,
    ) {
        match phase {
            Phase::Holding { allocation, .. } => {
                self.release_holds(allocation);
                self.requeue(now, allocation.run.job, Duration::ZERO);
            }
            Phase::Reclaiming { allocation, .. } => {
                self.deallocate(allocation);
                self.requeue(now, allocation.run.job, Duration::ZERO);
            }
            Phase::Started {
                allocation,
                lost_since: None,
            } if allocation.lead().is_some_and(|l| l.worker == worker) => {
                if let Some(state) = self.jobs.get_mut(&allocation.run.job) {
                    state.phase = Phase::Started {
                        allocation: allocation.clone(),
                        lost_since: Some(now),
                    };
                }
            }
            _ => {}
        }
    }

    /// Handles the report of an agent that is idle and grants nothing more. It
    /// refuses every hold that is on its way to it, and may end before it can
    /// say so.
    pub(super) fn handle_leaving(&mut self, now: Duration, worker: &Worker) {
        let (name, incarnation) = (&worker.name, worker.incarnation);
        let node = self.cell.node(name);
        if node.is_some_and(|n| n.incarnation == incarnation) {
            self.cell.update(worker);
            self.pass_needed = true;
        }
        let refused: Vec<Run> =
            self.jobs
                .values()
                .filter_map(JobState::allocation)
                .filter(|allocation| {
                    allocation.members.iter().any(|m| {
                        m.worker == *name && m.incarnation == incarnation
                    })
                })
                .map(|allocation| allocation.run)
                .collect();
        for run in refused {
            self.handle_hold_refused(now, name, run);
        }
        // The agent sends the report again, and stays until it has told what
        // became of the attempts that it is asked about.
        let queried = self.jobs.values().any(|state| {
            matches!(&state.phase, Phase::Unreported { dispatched, .. }
                if dispatched.lead == *name
                    && dispatched.incarnation == incarnation)
        });
        if !queried {
            let term = self.term;
            self.send_to_agent(name, AgentRequest::Dismiss { term });
        }
    }

    /// Handles an agent's full report, which replaces everything that was
    /// known of its worker.
    pub(super) fn handle_full_report(
        &mut self,
        now: Duration,
        worker: &Worker,
        grants: Vec<GrantReport>,
        outcomes: Vec<(Run, JobHeader, RunOutcome)>,
    ) {
        let previous = self.cell.node(&worker.name).map(|n| n.incarnation);
        if previous.is_some_and(|i| i != worker.incarnation) {
            self.health.remove(&worker.name);
            self.agent_restarted(now, worker);
        }
        let i = self.cell.update(worker);
        self.cell.node_mut(i).usable = true;
        self.disconnected.remove(&worker.name);
        if self.connected.insert(worker.name.clone()) {
            self.record_worker_event(Code::WorkerUp, &worker.name);
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
            self.adopt_outcome(now, &worker.name, run, header, outcome);
        }
        self.pass_needed = true;
    }

    /// Handles an agent that has come back with a new incarnation. The
    /// attempts that its previous incarnation led are lost.
    fn agent_restarted(&mut self, now: Duration, worker: &Worker) {
        let orphaned: Vec<Allocation> = self
            .jobs
            .values()
            .filter_map(|state| match &state.phase {
                Phase::Started { allocation, .. } => Some(allocation.clone()),
                _ => None,
            })
            .filter(|allocation| {
                allocation.lead().is_some_and(|lead| {
                    lead.worker == worker.name
                        && lead.incarnation != worker.incarnation
                })
            })
            .collect();
        for allocation in orphaned {
            self.attempt_lost(now, &allocation);
        }
    }

    /// Drops allocations that the agent does not confirm. If the worker should
    /// lead an attempt that its agent does not know, the attempt has not
    /// started there; a cancel message makes sure that it never will.
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
                .filter(|s| s.allocation().is_some_and(|a| a.run == run))
                .map(|s| s.phase.clone());
            match phase {
                Some(Phase::Reclaiming { .. } | Phase::Marking(..)) => {}
                Some(Phase::Holding { allocation, .. }) => {
                    self.release_holds(&allocation);
                    self.requeue(now, run.job, Duration::ZERO);
                }
                Some(Phase::Started { allocation, .. })
                    if allocation.lead().is_some_and(|l| l.worker == name) =>
                {
                    let request = AgentRequest::Cancel {
                        term: self.term,
                        run,
                        reason: Kind::GangAborted,
                        window: Duration::ZERO,
                    };
                    self.send_to_agent(&name, request);
                }
                _ => self.cell.deallocate(i, run),
            }
        }
    }

    /// Allocates what an agent reports as granted. If the worker leads the
    /// gang and the attempt may have started, the attempt is adopted as well.
    fn adopt_grant(&mut self, now: Duration, i: usize, grant: GrantReport) {
        let run = grant.run;
        let band = grant.header.band;
        self.cell.allocate(
            i,
            run,
            WorkerAllocation {
                capacity: grant.capacity,
                band,
            },
        );
        let name = self.cell.nodes()[i].name.clone();
        let is_lead = grant.members.first().is_some_and(|m| m.worker == name);
        if grant.phase == GrantPhase::Held || !is_lead {
            return;
        }
        self.leads.insert(run, name);
        let placed_at = now.saturating_sub(grant.age);
        let allocation = Allocation {
            run,
            members: grant.members,
            band,
            placed_at,
            backfill_for: None,
        };
        self.withdraw_unsent(run);
        self.adopt_run(run, grant.header, &allocation);
    }

    /// Gives up the current attempt of a job for the earlier attempt `run`,
    /// which may have run, if no agent was asked to hold capacity for it yet.
    fn withdraw_unsent(&mut self, run: Run) {
        let state = self.jobs.get(&run.job);
        let unsent = state.and_then(JobState::unsent_allocation);
        let Some(allocation) = unsent.filter(|a| a.run != run).cloned() else {
            return;
        };
        self.deallocate(&allocation);
        if let Some(state) = self.jobs.get_mut(&run.job) {
            state.phase = Phase::Queued;
        }
    }

    /// Makes a running attempt its job's current one, unless a newer attempt
    /// is known.
    fn adopt_run(
        &mut self,
        run: Run,
        header: JobHeader,
        allocation: &Allocation,
    ) {
        let phase = Phase::Started {
            allocation: allocation.clone(),
            lost_since: None,
        };
        let workspace = header.workspace.clone();
        if let Some(state) = self.jobs.get_mut(&run.job) {
            let same = state.allocation().is_some_and(|a| a.run == run);
            let unassigned = state.is_queued()
                || matches!(state.phase, Phase::Unreported { .. });
            if !same && !unassigned {
                return;
            }
            state.header = header;
            state.phase = phase;
            self.queue.remove(run.job);
        } else {
            let work_kind = self.run_times.kind(
                &header.workspace,
                &header.service,
                &header.shape,
                None,
            );
            let state = JobState {
                job: None,
                header,
                work_kind,
                submitted_at: allocation.placed_at,
                watchers: BTreeSet::new(),
                maybe_started: true,
                failures: 0,
                reclaims: 0,
                excluded_workers: BTreeSet::new(),
                checkpoints: BTreeMap::new(),
                cancelled: None,
                not_before: Duration::ZERO,
                phase,
            };
            self.jobs.insert(run.job, state);
        }
        self.active.insert(run.job);
        self.record_event(
            Code::JobAdopted,
            run.job,
            &format!("of={workspace}"),
        );
        if allocation.band == Band::Own && !self.guarantees.has_claim(run) {
            self.renew_claim(run);
        }
        self.notify_watchers(run.job);
    }

    /// Handles an outcome in a full report. Adopts its attempt first if the
    /// job is unknown or has no current attempt.
    fn adopt_outcome(
        &mut self,
        now: Duration,
        worker: &str,
        run: Run,
        header: JobHeader,
        outcome: RunOutcome,
    ) {
        self.withdraw_unsent(run);
        self.leads.insert(run, worker.to_owned());
        let known = self.jobs.get(&run.job);
        let unassigned = known.is_none_or(|s| {
            s.is_queued() || matches!(s.phase, Phase::Unreported { .. })
        });
        if unassigned {
            let allocation = Allocation {
                run,
                members: Vec::new(),
                band: header.band,
                placed_at: now,
                backfill_for: None,
            };
            self.adopt_run(run, header, &allocation);
        }
        self.attempt_ended(now, run, outcome);
    }
}
