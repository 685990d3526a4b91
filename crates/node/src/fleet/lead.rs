//! The coordinator: campaigns for the lease in the store and, while it holds
//! the lease, drives the scheduler.
//!
//! A term is the time for which one process holds the lease. The revision of
//! the key under the lease is the fencing token of the term: commits are
//! conditional on it, and agents ignore orders with a lower token than the
//! highest one that they have seen.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crossbeam::channel::{Receiver, bounded};
use figrill_coordination::{
    campaign,
    scheduler::{Action, Now, Scheduler},
};
use figrill_protocol::message::Message;
use figrill_state::{
    batch::{Batch, keys},
    event::{Code, Stamp},
    kv::KvError,
};
use figrill_transport::peer::{ConnId, Event, Net};

use super::{
    EntryConfig, STORE_RETRY_DELAY,
    callers::wall_ms,
    catalog::SharedCatalog,
    drains::SharedDrains,
    mesh::{CoordinatorInputs, Mesh},
    refusals::Refusals,
    serve,
};
use crate::{config::StartError, metrics::Journal};

mod calls;
mod directory;
mod records;
mod term;

use calls::{start_commits, start_watch};
use directory::AgentDirectory;
use records::StoredState;
use term::{Attempt, CANDIDATE_WATCH_TIMEOUT, LEASE_TTL, Term};

/// The interval of scheduler ticks while there is no input.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// The maximum number of inputs from the store that wait for the scheduler.
const INPUT_QUEUE_CAPACITY: usize = 1024;

/// The maximum difference between the time in a record of a job that an entry
/// sends and the time of its arrival. It is far below the time for which the
/// scheduler remembers jobs that have ended.
const MAX_JOB_RECORD_AGE: Duration = Duration::from_secs(10);

/// What operators have written to the store, as other threads read it.
pub(super) struct Operators {
    pub(super) catalog: Arc<SharedCatalog>,
    pub(super) drains: SharedDrains,
}

/// A handle to the `lead` thread, which campaigns and coordinates.
pub(super) struct CoordinatorHandle {
    stop: Arc<AtomicBool>,
    /// Receives a message when the thread has released the lease.
    done: Receiver<()>,
}

/// The state of the `lead` thread, which is kept between terms.
struct Coordinator {
    config: EntryConfig,
    operators: Operators,
    journal: Journal,
    net: Net,
    mesh: Mesh,
    /// The events on the streams to agents, and the records of jobs that
    /// entries have just written.
    inputs: CoordinatorInputs,
    stop: Arc<AtomicBool>,
    /// The open streams to agents, by the name of the agent.
    agents: BTreeMap<String, ConnId>,
    /// The addresses at which these streams were dialled. An agent whose
    /// address is in the store under a second name is not dialled again: the
    /// new stream would replace the open one.
    dialled: BTreeMap<ConnId, String>,
}

/// An input for the scheduler from the threads that call the store.
enum StoreInput {
    /// The record of a job was written at this revision.
    Job(Box<Batch>, u64),
    /// The record of an agent was written, with this name and address.
    Agent(String, String),
    /// The record of the agent with this name was removed.
    AgentRemoved(String),
    /// All records up to this revision were read and queued before.
    Read(u64),
    /// The commit with this number is in the store, at this revision.
    Committed(u64, u64),
    /// The store will not accept the commit with this number, for this reason.
    CommitRejected(u64, String),
}

impl CoordinatorHandle {
    pub(super) fn start(
        config: &EntryConfig,
        operators: Operators,
        mesh: Mesh,
        inputs: CoordinatorInputs,
        journal: Journal,
    ) -> Result<Self, StartError> {
        let stop = Arc::new(AtomicBool::new(false));
        let (done_tx, done) = bounded(1);
        let (config, stopping) = (config.clone(), stop.clone());
        serve::spawn("lead", move || {
            let net = mesh.net().clone();
            let mut coordinator = Coordinator {
                config,
                operators,
                journal,
                net,
                mesh,
                inputs,
                stop: stopping,
                agents: BTreeMap::new(),
                dialled: BTreeMap::new(),
            };
            coordinator.campaign();
            let _ = done_tx.send(());
        })?;
        Ok(Self { stop, done })
    }

    /// Releases the lease if this process holds it, and waits until that is
    /// done, at most for the time to live of the lease.
    pub(super) fn resign(&self) {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.done.recv_timeout(LEASE_TTL);
    }
}

impl Coordinator {
    fn is_stopping(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    fn now(&self) -> Now {
        Now {
            monotonic: self.config.clock.now(),
            wall_ms: wall_ms(&*self.config.clock),
        }
    }

    /// Campaigns for the lease until the process stops.
    fn campaign(&mut self) {
        while !self.is_stopping() {
            if let Err(e) = self.try_coordinate() {
                log::debug!(
                    "failed to campaign for the coordinator's lease: {e}"
                );
                thread::sleep(STORE_RETRY_DELAY);
            }
            // Only a coordinator acts on these inputs, so those that were
            // queued before the next term are dropped.
            while self.inputs.events.try_recv().is_ok() {}
            while self.inputs.job_records.try_recv().is_ok() {}
        }
    }

    /// Coordinates for one term if no process holds the lease. Otherwise waits
    /// for a change of its record, at most for [`CANDIDATE_WATCH_TIMEOUT`].
    fn try_coordinate(&mut self) -> Result<(), KvError> {
        let (kv, clock) = (self.config.kv.clone(), self.config.clock.clone());
        let name = self.config.deployment.name.clone();
        let incarnation = self.net.local_peer().incarnation;
        let share = self.config.deployment.limits.processor_share;
        let deferral = campaign::deferral(share);
        match Term::acquire(&kv, &clock, &name, incarnation, deferral)? {
            Attempt::Acquired(term) => {
                self.mesh.set_coordinator(Some(&name));
                self.coordinate(&Arc::new(term));
                self.mesh.set_coordinator(None);
            }
            Attempt::Held { holder, revision } => {
                self.mesh.set_coordinator(holder.as_deref());
                let changes = kv.watch(
                    keys::COORDINATOR,
                    revision,
                    CANDIDATE_WATCH_TIMEOUT,
                );
                match changes {
                    Ok(_) | Err(KvError::Compacted) => {}
                    Err(e) => return Err(e),
                }
            }
        }
        Ok(())
    }

    /// Coordinates until the lease is lost or the process stops.
    fn coordinate(&mut self, term: &Arc<Term>) {
        let detail = format!("token={}", term.token);
        self.journal.record_event(Code::TermGranted, detail);
        let renewal = Term::start_renewal(term);
        if let Err(e) = renewal.and_then(|()| self.run_scheduler(term)) {
            log::warn!("failed to start as the coordinator: {e}");
        }
        term.ended.store(true, Ordering::Relaxed);
        for (_, conn) in std::mem::take(&mut self.agents) {
            self.net.close(conn);
        }
        self.dialled.clear();
        term.release();
        let detail = format!("token={}", term.token);
        self.journal.record_event(Code::TermLost, detail);
    }

    /// Reads the records of jobs and agents, and runs the scheduler on them
    /// until the lease is lost or the process stops.
    ///
    /// # Errors
    ///
    /// Returns an error if the lease expires before the records can be read,
    /// or if a thread can't be started.
    fn run_scheduler(&mut self, term: &Arc<Term>) -> Result<(), String> {
        let (tx, inputs) = bounded(INPUT_QUEUE_CAPACITY);
        let mut refusals = Refusals::new(self.journal.clone());
        let stored = loop {
            match StoredState::read(&*term.kv, &mut refusals) {
                Ok(stored) => break stored,
                Err(e) if term.is_valid() => {
                    log::debug!(
                        "failed to read the records of jobs and agents: {e}"
                    );
                    thread::sleep(STORE_RETRY_DELAY);
                }
                Err(e) => return Err(e.to_string()),
            }
        };
        let mut scheduler = Scheduler::new(
            term.token,
            self.now(),
            self.config.deployment.limits,
        )
        .with_features(self.config.deployment.features);
        // The scheduler places nothing before they have been read in its term.
        self.operators.drains.read_soon();
        let mut directory = AgentDirectory::new(stored.agents);
        for (batch, progress) in stored.jobs {
            match progress {
                Some(p) => scheduler.load_job(self.now(), batch, p),
                None => scheduler.update_job(self.now(), batch, None),
            }
        }
        for id in stored.unreadable_jobs {
            scheduler.skip_job(id);
        }
        let detail = format!(
            "token={} jobs={} agents={}",
            term.token,
            scheduler.open_jobs(),
            directory.addresses.len()
        );
        self.journal.record_event(Code::JobAdopted, detail);
        let commits = start_commits(term, stored.ledger_revision, tx.clone())?;
        start_watch(term, stored.revision, tx, refusals)?;
        let mut last_valid = true;
        let mut version = 0;
        while !self.is_stopping() && !term.has_ended() {
            let catalog = self.operators.catalog.get();
            if let Some(catalog) = catalog.filter(|c| c.version != version) {
                version = catalog.version;
                scheduler.set_workspaces(catalog.workspaces.clone());
                scheduler.set_queues(version, &catalog.queues);
            }
            self.handle_inputs(&mut scheduler, &mut directory, &inputs);
            // Leases and acknowledgements don't wait for the planning pass.
            self.perform_valid(&mut scheduler, term);
            self.operators.drains.pass_to(&mut scheduler, self.now());
            scheduler.tick(self.now());
            self.set_gauges(&scheduler);
            let valid = term.is_valid();
            if valid != last_valid {
                last_valid = valid;
                self.record_validity(&mut scheduler, term, valid);
            }
            if self.perform_valid(&mut scheduler, term)
                && let Some(commit) = scheduler.take_commit(self.now())
            {
                // The scheduler has at most one commit in flight, so the
                // queue has space.
                let _ = commits.send(commit);
            }
            self.dial_and_heartbeat(&mut directory);
        }
        self.clear_gauges();
        Ok(())
    }

    /// Carries out the actions that the scheduler has decided, and returns
    /// whether it did. Those that were decided under a lease that has expired
    /// since are dropped; the scheduler repeats what is lost.
    fn perform_valid(&self, scheduler: &mut Scheduler, term: &Term) -> bool {
        let actions = scheduler.take_actions();
        let valid = term.is_valid();
        if valid {
            self.perform_all(actions);
        }
        valid
    }

    /// Records that the coordinator pauses because its lease may have expired,
    /// or that it continues because the lease turned out to be renewed. Agents
    /// that connected meanwhile have not been sent the fencing token.
    fn record_validity(
        &self,
        scheduler: &mut Scheduler,
        term: &Term,
        valid: bool,
    ) {
        let code = if valid {
            Code::TermResumed
        } else {
            Code::TermPaused
        };
        let detail = format!("token={}", term.token);
        self.journal.record_event(code, detail);
        if valid {
            for agent in self.agents.keys() {
                scheduler.agent_connected(agent);
            }
        }
    }

    /// Waits for an input, at most for [`TICK_INTERVAL`], and handles all that
    /// are queued.
    fn handle_inputs(
        &mut self,
        scheduler: &mut Scheduler,
        directory: &mut AgentDirectory,
        inputs: &Receiver<StoreInput>,
    ) {
        crossbeam::select! {
            recv(inputs) -> input => if let Ok(input) = input {
                self.handle_input(scheduler, directory, input);
            },
            recv(self.inputs.events) -> event => if let Ok(event) = event {
                self.handle_event(scheduler, event);
            },
            recv(self.inputs.job_records) -> batch => if let Ok(batch) = batch {
                self.handle_job_record(scheduler, batch);
            },
            default(TICK_INTERVAL) => {},
        }
        while let Ok(input) = inputs.try_recv() {
            self.handle_input(scheduler, directory, input);
        }
        while let Ok(batch) = self.inputs.job_records.try_recv() {
            self.handle_job_record(scheduler, batch);
        }
        while let Ok(event) = self.inputs.events.try_recv() {
            self.handle_event(scheduler, event);
        }
    }

    fn perform_all(&self, actions: Vec<Action>) {
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(&self, action: Action) {
        match action {
            Action::Send { agent, message } => {
                if let Some(conn) = self.agents.get(&agent) {
                    self.send(*conn, Message::ToAgent(message));
                }
            }
            Action::RecordEvent(event) => self.journal.record(&event),
        }
    }

    fn send(&self, conn: ConnId, message: Message) {
        if self.net.send(conn, Stamp::default(), message).is_err() {
            self.journal.record_event(
                Code::RingFull,
                "the queue of the stream to an agent is full",
            );
        }
    }

    fn handle_input(
        &mut self,
        scheduler: &mut Scheduler,
        directory: &mut AgentDirectory,
        input: StoreInput,
    ) {
        let now = self.now();
        match input {
            StoreInput::Job(batch, revision) => {
                scheduler.update_job(now, *batch, Some(revision));
            }
            StoreInput::Read(revision) => scheduler.records_read(revision),
            StoreInput::Agent(name, address) => {
                directory.last_dials.remove(&name);
                directory.addresses.insert(name, address);
            }
            StoreInput::AgentRemoved(name) => {
                directory.addresses.remove(&name);
            }
            StoreInput::Committed(number, revision) => {
                scheduler.commit_done(now, number, revision);
            }
            StoreInput::CommitRejected(number, why) => {
                scheduler.commit_rejected(now, number, &why);
            }
        }
    }

    /// Handles the record of a job that an entry has just written. Ignores an
    /// old one, which an entry may send after a pause: if the job has ended
    /// meanwhile and its records were removed, it would look like a new one.
    fn handle_job_record(&self, scheduler: &mut Scheduler, batch: Batch) {
        let now = self.now();
        let age_ms = now.wall_ms.abs_diff(batch.accepted_ms);
        if u128::from(age_ms) <= MAX_JOB_RECORD_AGE.as_millis() {
            scheduler.update_job(now, batch, None);
        }
    }

    fn handle_event(&mut self, scheduler: &mut Scheduler, event: Event) {
        match event {
            Event::Up {
                conn,
                peer,
                dialled,
            } => {
                self.journal
                    .record_event(Code::PeerUp, format!("peer={}", peer.name));
                if let Some(replaced) =
                    self.agents.insert(peer.name.clone(), conn)
                {
                    self.net.close(replaced);
                    self.dialled.remove(&replaced);
                }
                self.dialled.extend(dialled.map(|d| (conn, d)));
                scheduler.agent_connected(&peer.name);
            }
            Event::Frame { conn, frame } => {
                let agent = self.agents.iter().find(|(_, c)| **c == conn);
                let name = agent.map(|(name, _)| name.clone());
                if let (Some(name), Message::Report(report)) =
                    (name, frame.message)
                {
                    scheduler.handle_report(self.now(), &name, *report);
                }
            }
            Event::Down { conn, why } => {
                self.dialled.remove(&conn);
                let agent = self.agents.iter().find(|(_, c)| **c == conn);
                if let Some(name) = agent.map(|(name, _)| name.clone()) {
                    self.agents.remove(&name);
                    let detail = format!("peer={name} why={why}");
                    self.journal.record_event(Code::PeerDown, detail);
                }
            }
            Event::DialFailed { .. } | Event::Refused { .. } => {}
        }
    }
}
