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
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crossbeam::channel::{Receiver, Sender, bounded};
use figrill_coordination::scheduler::{Action, Commit, Now, Scheduler};
use figrill_protocol::message::{Heartbeat, Message};
use figrill_state::{
    batch::{Batch, keys},
    event::{Code, Stamp},
    kv::{Kv, KvError, LeaseId, Txn},
};
use figrill_transport::peer::{ConnId, Event, Net};

use super::{
    EntryConfig, STORE_RETRY_DELAY, STORE_TIMEOUT, callers::wall_ms,
    catalog::SharedCatalog, mesh::Mesh, serve,
};
use crate::{config::StartError, metrics::Journal};

mod calls;
mod records;

use calls::{start_commits, start_watch};
use records::StoredState;

/// The time to live of the coordinator's lease.
const LEASE_TTL: Duration = Duration::from_millis(1800);

/// The interval of lease renewals, and the time limit for each of them.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(450);

/// How much earlier than the store the holder treats its lease as expired, so
/// that it sends no orders when another process may already hold the lease.
const LEASE_SAFETY_MARGIN: Duration = Duration::from_millis(200);

/// The maximum wait of a candidate for the lease to be released or to expire
/// before it reads the key again.
const CANDIDATE_WATCH_TIMEOUT: Duration = Duration::from_millis(1500);

/// The interval of scheduler ticks while there is no input.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// The interval of heartbeats on the streams to agents.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// The delay before an agent that is not connected is dialled again.
const DIAL_RETRY_DELAY: Duration = Duration::from_millis(700);

/// The maximum number of inputs from the store that wait for the scheduler.
const INPUT_QUEUE_CAPACITY: usize = 1024;

/// A handle to the `lead` thread, which campaigns and coordinates.
pub(super) struct CoordinatorHandle {
    stop: Arc<AtomicBool>,
    /// Receives a message when the thread has released the lease.
    done: Receiver<()>,
}

/// The state of the `lead` thread, which is kept between terms.
struct Coordinator {
    config: EntryConfig,
    catalog: Arc<SharedCatalog>,
    journal: Journal,
    net: Net,
    /// The events on the streams to agents.
    events: Receiver<Event>,
    stop: Arc<AtomicBool>,
    /// The open streams to agents, by the name of the agent.
    agents: BTreeMap<String, ConnId>,
}

/// The state that the threads of one term share.
struct Term {
    kv: Arc<dyn Kv>,
    lease: LeaseId,
    /// The fencing token.
    token: u64,
    /// Set when the lease is lost or the process stops coordinating.
    ended: AtomicBool,
    /// The time at which the holder treats its lease as expired, in
    /// milliseconds of the clock of this process.
    valid_until_ms: AtomicU64,
}

/// An input for the scheduler from the threads that call the store.
enum StoreInput {
    /// The record of a job was written.
    Job(Box<Batch>),
    /// The record of an agent was written, with this name and address.
    Agent(String, String),
    /// The record of the agent with this name was removed.
    AgentRemoved(String),
    /// The commit with this number is in the store.
    Committed(u64),
}

impl CoordinatorHandle {
    pub(super) fn start(
        config: &EntryConfig,
        catalog: Arc<SharedCatalog>,
        mesh: Mesh,
        events: Receiver<Event>,
        journal: Journal,
    ) -> Result<Self, StartError> {
        let stop = Arc::new(AtomicBool::new(false));
        let (done_tx, done) = bounded(1);
        let (config, stopping) = (config.clone(), stop.clone());
        serve::spawn("lead", move || {
            let net = mesh.net().clone();
            let mut coordinator = Coordinator {
                config,
                catalog,
                journal,
                net,
                events,
                stop: stopping,
                agents: BTreeMap::new(),
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
            match self.try_acquire() {
                Ok(Some(term)) => self.coordinate(&Arc::new(term)),
                Ok(None) => {}
                Err(e) => {
                    log::debug!(
                        "failed to campaign for the coordinator's lease: {e}"
                    );
                    thread::sleep(STORE_RETRY_DELAY);
                }
            }
            // Only a coordinator acts on the events of agents, so those that
            // were queued before the next term are dropped.
            while self.events.try_recv().is_ok() {}
        }
    }

    /// Acquires the lease if no process holds it. Otherwise waits for a change
    /// of its key, at most for [`CANDIDATE_WATCH_TIMEOUT`], and returns
    /// `None`.
    fn try_acquire(&self) -> Result<Option<Term>, KvError> {
        let kv = &self.config.kv;
        let existing = kv.list(keys::COORDINATOR, STORE_TIMEOUT)?;
        if !existing.items.is_empty() {
            let after = existing.revision;
            let changes =
                kv.watch(keys::COORDINATOR, after, CANDIDATE_WATCH_TIMEOUT);
            return match changes {
                Ok(_) | Err(KvError::Compacted) => Ok(None),
                Err(e) => Err(e),
            };
        }
        let sent_at = self.config.clock.now();
        let lease = kv.grant(LEASE_TTL, STORE_TIMEOUT)?;
        let holder = format!(
            "{} {}",
            self.config.deployment.name,
            self.net.local_peer().incarnation
        );
        let txn = Txn {
            conditions: vec![(keys::COORDINATOR.to_owned(), 0)],
            puts: vec![(
                keys::COORDINATOR.to_owned(),
                holder.clone().into_bytes(),
                Some(lease),
            )],
            removes: Vec::new(),
        };
        let token = match kv.commit(&txn, STORE_TIMEOUT) {
            Ok(revision) => revision,
            // The write may have been applied although its answer was lost.
            // The record then holds the name and incarnation of this process.
            Err(KvError::Unanswered(_) | KvError::Conflict(_)) => {
                let existing = kv.get(keys::COORDINATOR, STORE_TIMEOUT)?;
                match existing {
                    Some(i) if i.value == holder.as_bytes() => i.revision,
                    _ => return Ok(None),
                }
            }
            Err(e) => return Err(e),
        };
        Ok(Some(Term {
            kv: kv.clone(),
            lease,
            token,
            ended: AtomicBool::new(false),
            valid_until_ms: AtomicU64::new(lease_expiry_ms(sent_at)),
        }))
    }

    /// Coordinates until the lease is lost or the process stops.
    fn coordinate(&mut self, term: &Arc<Term>) {
        let detail = format!("token={}", term.token);
        self.journal.record_event(Code::TermGranted, detail);
        let renewal = self.start_renewal(term.clone());
        if let Err(e) = renewal.and_then(|()| self.run_scheduler(term)) {
            log::warn!("failed to start as the coordinator: {e}");
        }
        term.ended.store(true, Ordering::Relaxed);
        for (_, conn) in std::mem::take(&mut self.agents) {
            self.net.close(conn);
        }
        let _ = self.config.kv.revoke(term.lease, STORE_TIMEOUT);
        let detail = format!("token={}", term.token);
        self.journal.record_event(Code::TermLost, detail);
    }

    /// Starts the thread that renews the lease until the term has ended.
    fn start_renewal(&self, term: Arc<Term>) -> Result<(), String> {
        let clock = self.config.clock.clone();
        serve::spawn("lease", move || {
            while !term.ended.load(Ordering::Relaxed) {
                let sent_at = clock.now();
                match term.kv.renew(term.lease, RENEWAL_INTERVAL) {
                    Ok(()) => {
                        term.valid_until_ms.store(
                            lease_expiry_ms(sent_at),
                            Ordering::Relaxed,
                        );
                        thread::sleep(RENEWAL_INTERVAL);
                    }
                    Err(KvError::LeaseNotFound) => {
                        term.ended.store(true, Ordering::Relaxed);
                    }
                    Err(e) => {
                        log::debug!(
                            "failed to renew the coordinator's lease: {e}"
                        );
                        thread::sleep(STORE_RETRY_DELAY);
                    }
                }
            }
        })
        .map_err(|e| e.to_string())
    }

    /// Returns whether this process may still send orders.
    fn holds_lease(&self, term: &Term) -> bool {
        let now = self.config.clock.now().as_millis();
        let valid_until = term.valid_until_ms.load(Ordering::Relaxed);
        !term.ended.load(Ordering::Relaxed) && now < u128::from(valid_until)
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
        let stored = loop {
            match StoredState::read(&*term.kv) {
                Ok(stored) => break stored,
                Err(e) if self.holds_lease(term) => {
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
        );
        let mut directory = AgentDirectory {
            addresses: stored.agents,
            last_dials: BTreeMap::new(),
            last_heartbeat: Duration::ZERO,
        };
        for (batch, progress) in stored.jobs {
            match progress {
                Some(p) => scheduler.load_job(self.now(), batch, p),
                None => scheduler.update_job(self.now(), batch),
            }
        }
        let detail = format!(
            "token={} jobs={} agents={}",
            term.token,
            scheduler.open_jobs(),
            directory.addresses.len()
        );
        self.journal.record_event(Code::JobAdopted, detail);
        let commits = start_commits(term, stored.ledger_revision, tx.clone())?;
        start_watch(term, stored.revision, tx)?;
        while !self.is_stopping() && self.holds_lease(term) {
            self.run_iteration(
                &mut scheduler,
                &mut directory,
                &inputs,
                &commits,
                term,
            );
        }
        Ok(())
    }

    /// Handles the queued inputs and events, runs the scheduler, and carries
    /// out its actions.
    fn run_iteration(
        &mut self,
        scheduler: &mut Scheduler,
        directory: &mut AgentDirectory,
        inputs: &Receiver<StoreInput>,
        commits: &Sender<Commit>,
        term: &Term,
    ) {
        crossbeam::select! {
            recv(inputs) -> input => if let Ok(input) = input {
                self.handle_input(scheduler, directory, input);
            },
            recv(self.events) -> event => if let Ok(event) = event {
                self.handle_event(scheduler, event);
            },
            default(TICK_INTERVAL) => {},
        }
        while let Ok(input) = inputs.try_recv() {
            self.handle_input(scheduler, directory, input);
        }
        while let Ok(event) = self.events.try_recv() {
            self.handle_event(scheduler, event);
        }
        if let Some(catalog) = self.catalog.get() {
            scheduler.set_workspaces(catalog.workspaces.clone());
        }
        scheduler.tick(self.now());
        let actions = scheduler.take_actions();
        // Actions that were decided under a lease that has expired since are
        // not carried out.
        if !self.holds_lease(term) {
            return;
        }
        for action in actions {
            self.perform(action);
        }
        if let Some(commit) = scheduler.take_commit() {
            // The scheduler has at most one commit in flight, so the queue has
            // space.
            let _ = commits.send(commit);
        }
        self.dial_and_heartbeat(directory);
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
            StoreInput::Job(batch) => scheduler.update_job(now, *batch),
            StoreInput::Agent(name, address) => {
                directory.last_dials.remove(&name);
                directory.addresses.insert(name, address);
            }
            StoreInput::AgentRemoved(name) => {
                directory.addresses.remove(&name);
            }
            StoreInput::Committed(number) => {
                scheduler.commit_done(now, number);
            }
        }
    }

    fn handle_event(&mut self, scheduler: &mut Scheduler, event: Event) {
        match event {
            Event::Up { conn, peer, .. } => {
                self.journal
                    .record_event(Code::PeerUp, format!("peer={}", peer.name));
                if let Some(replaced) =
                    self.agents.insert(peer.name.clone(), conn)
                {
                    self.net.close(replaced);
                }
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

    /// Dials agents that are not connected, and sends a heartbeat on all
    /// streams once per [`HEARTBEAT_INTERVAL`].
    fn dial_and_heartbeat(&mut self, directory: &mut AgentDirectory) {
        let now = self.config.clock.now();
        for (name, address) in &directory.addresses {
            let last_dial = directory.last_dials.get(name);
            let is_due =
                last_dial.is_none_or(|at| now >= *at + DIAL_RETRY_DELAY);
            if is_due && !self.agents.contains_key(name) {
                directory.last_dials.insert(name.clone(), now);
                self.net.dial(address);
            }
        }
        if now >= directory.last_heartbeat + HEARTBEAT_INTERVAL {
            directory.last_heartbeat = now;
            for conn in self.agents.values() {
                self.send(*conn, Message::Heartbeat(Heartbeat::default()));
            }
        }
    }
}

/// Returns the time at which the holder of a lease that was granted or renewed
/// by a call sent at `sent_at` treats it as expired, in milliseconds.
fn lease_expiry_ms(sent_at: Duration) -> u64 {
    let valid_until = sent_at + LEASE_TTL.saturating_sub(LEASE_SAFETY_MARGIN);
    u64::try_from(valid_until.as_millis()).unwrap_or(u64::MAX)
}

/// The addresses of agents, and the times of the last dials and heartbeats.
struct AgentDirectory {
    /// The addresses by the name of the agent.
    addresses: BTreeMap<String, String>,
    /// The time of the last dial, by the name of the agent.
    last_dials: BTreeMap<String, Duration>,
    last_heartbeat: Duration,
}
