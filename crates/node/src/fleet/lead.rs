//! The coordinator's duty: whoever holds the lease drives the scheduler.

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
    EntryParts, STORE_AGAIN, STORE_TIMEOUT, callers::wall_ms, catalog::Shared,
    mesh::Mesh, serve,
};
use crate::{config::StartError, metrics::Journal};

mod calls;
mod records;

use calls::{start_commits, start_watch};
use records::Loaded;

/// How long the lease runs.
const LEASE: Duration = Duration::from_millis(1800);

/// Time between two renewals.
const RENEW: Duration = Duration::from_millis(450);

/// How much sooner than the store the holder counts its lease as over.
const LEASE_MARGIN: Duration = Duration::from_millis(200);

/// How long a candidate waits for the lease to fall free before it looks.
const CANDIDATE_WATCH: Duration = Duration::from_millis(1500);

/// Time between two ticks without any input.
const TICK: Duration = Duration::from_millis(50);

/// Time between two heartbeats on a stream.
const BEAT: Duration = Duration::from_secs(1);

/// Time between two dials of an agent that was not reached.
const DIAL_AGAIN: Duration = Duration::from_millis(700);

/// Inputs that may wait for the scheduler.
const INPUTS_RING: usize = 1024;

/// The thread that campaigns and leads.
pub(super) struct Lead {
    stop: Arc<AtomicBool>,
    done: Receiver<()>,
}

struct Duty {
    parts: EntryParts,
    shared: Arc<Shared>,
    journal: Journal,
    net: Net,
    /// What comes from agents.
    events: Receiver<Event>,
    stop: Arc<AtomicBool>,
    /// Streams to agents, by the agent's name.
    agents: BTreeMap<String, ConnId>,
}

/// What the threads of one leadership share.
struct Term {
    kv: Arc<dyn Kv>,
    lease: LeaseId,
    token: u64,
    over: AtomicBool,
    /// When the lease ends as its holder counts, in milliseconds of the
    /// process's clock.
    valid_until_ms: AtomicU64,
}

/// What the threads of one leadership tell the deciding one.
enum FromStore {
    Job(Box<Batch>),
    Agent(String, String),
    AgentGone(String),
    Committed(u64),
}

impl Lead {
    pub(super) fn start(
        parts: &EntryParts,
        shared: Arc<Shared>,
        mesh: Mesh,
        events: Receiver<Event>,
        journal: Journal,
    ) -> Result<Self, StartError> {
        let stop = Arc::new(AtomicBool::new(false));
        let (done_tx, done) = bounded(1);
        let (parts, stopping) = (parts.clone(), stop.clone());
        serve::start("lead", move || {
            let net = mesh.net().clone();
            let mut duty = Duty {
                parts,
                shared,
                journal,
                net,
                events,
                stop: stopping,
                agents: BTreeMap::new(),
            };
            duty.campaign();
            let _ = done_tx.send(());
        })?;
        Ok(Self { stop, done })
    }

    /// Gives the lease back, if this process holds it, and waits for that.
    pub(super) fn resign(&self) {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.done.recv_timeout(LEASE);
    }
}

impl Duty {
    fn stopping(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    fn now(&self) -> Now {
        Now {
            monotonic: self.parts.clock.now(),
            wall_ms: wall_ms(&*self.parts.clock),
        }
    }

    /// Tries for the lease until the process stops.
    fn campaign(&mut self) {
        while !self.stopping() {
            match self.candidate() {
                Ok(Some(term)) => self.lead(&Arc::new(term)),
                Ok(None) => {}
                Err(e) => {
                    log::debug!("no word on the coordinator's lease: {e}");
                    thread::sleep(STORE_AGAIN);
                }
            }
            // Nothing that came meanwhile is for a mere candidate.
            while self.events.try_recv().is_ok() {}
        }
    }

    /// Takes the lease if it is free; otherwise waits for it for a while.
    fn candidate(&self) -> Result<Option<Term>, KvError> {
        let kv = &self.parts.kv;
        let held = kv.list(keys::COORDINATOR, STORE_TIMEOUT)?;
        if !held.items.is_empty() {
            let after = held.revision;
            let seen = kv.watch(keys::COORDINATOR, after, CANDIDATE_WATCH);
            return match seen {
                Ok(_) | Err(KvError::Compacted) => Ok(None),
                Err(e) => Err(e),
            };
        }
        let sent = self.parts.clock.now();
        let lease = kv.grant(LEASE, STORE_TIMEOUT)?;
        let me = format!(
            "{} {}",
            self.parts.deployment.name,
            self.net.local_peer().incarnation
        );
        let txn = Txn {
            conditions: vec![(keys::COORDINATOR.to_owned(), 0)],
            puts: vec![(
                keys::COORDINATOR.to_owned(),
                me.clone().into_bytes(),
                Some(lease),
            )],
            removes: Vec::new(),
        };
        let token = match kv.commit(&txn, STORE_TIMEOUT) {
            Ok(revision) => revision,
            // The write may have taken effect though its answer was lost.
            Err(KvError::Unanswered(_) | KvError::Conflict(_)) => {
                let held = kv.get(keys::COORDINATOR, STORE_TIMEOUT)?;
                match held {
                    Some(i) if i.value == me.as_bytes() => i.revision,
                    _ => return Ok(None),
                }
            }
            Err(e) => return Err(e),
        };
        Ok(Some(Term {
            kv: kv.clone(),
            lease,
            token,
            over: AtomicBool::new(false),
            valid_until_ms: AtomicU64::new(until(sent)),
        }))
    }

    /// Coordinates until the lease is lost or the process stops.
    fn lead(&mut self, term: &Arc<Term>) {
        let detail = format!("token={}", term.token);
        self.journal.record_event(Code::TermGranted, detail);
        let keeper = self.keep_lease(term.clone());
        if let Err(e) = keeper.and_then(|()| self.decide(term)) {
            log::warn!("this coordinator did not start: {e}");
        }
        term.over.store(true, Ordering::Relaxed);
        for (_, conn) in std::mem::take(&mut self.agents) {
            self.net.close(conn);
        }
        let _ = self.parts.kv.revoke(term.lease, STORE_TIMEOUT);
        let detail = format!("token={}", term.token);
        self.journal.record_event(Code::TermLost, detail);
    }

    fn keep_lease(&self, term: Arc<Term>) -> Result<(), String> {
        let clock = self.parts.clock.clone();
        serve::start("lease", move || {
            while !term.over.load(Ordering::Relaxed) {
                let sent = clock.now();
                match term.kv.renew(term.lease, RENEW) {
                    Ok(()) => {
                        term.valid_until_ms
                            .store(until(sent), Ordering::Relaxed);
                        thread::sleep(RENEW);
                    }
                    Err(KvError::LeaseNotFound) => {
                        term.over.store(true, Ordering::Relaxed);
                    }
                    Err(e) => {
                        log::debug!("the lease was not renewed: {e}");
                        thread::sleep(STORE_AGAIN);
                    }
                }
            }
        })
        .map_err(|e| e.to_string())
    }

    /// Whether this process may still give orders.
    fn is_valid(&self, term: &Term) -> bool {
        let now = self.parts.clock.now().as_millis();
        let until = term.valid_until_ms.load(Ordering::Relaxed);
        !term.over.load(Ordering::Relaxed) && now < u128::from(until)
    }

    fn decide(&mut self, term: &Arc<Term>) -> Result<(), String> {
        let (tx, inputs) = bounded(INPUTS_RING);
        let loaded = loop {
            match Loaded::read(&*term.kv) {
                Ok(loaded) => break loaded,
                Err(e) if self.is_valid(term) => {
                    log::debug!("the records were not read: {e}");
                    thread::sleep(STORE_AGAIN);
                }
                Err(e) => return Err(e.to_string()),
            }
        };
        let mut scheduler = Scheduler::new(term.token, self.now());
        let mut book = AgentDirectory {
            addresses: loaded.agents,
            dialled: BTreeMap::new(),
            beat: Duration::ZERO,
        };
        for (batch, progress) in loaded.jobs {
            match progress {
                Some(p) => scheduler.load_job(self.now(), batch, p),
                None => scheduler.update_job(self.now(), batch),
            }
        }
        let detail = format!(
            "token={} jobs={} agents={}",
            term.token,
            scheduler.open_jobs(),
            book.addresses.len()
        );
        self.journal.record_event(Code::JobAdopted, detail);
        let commits = start_commits(term, loaded.ledger, tx.clone())?;
        start_watch(term, loaded.revision, tx)?;
        while !self.stopping() && self.is_valid(term) {
            self.one_round(&mut scheduler, &mut book, &inputs, &commits, term);
        }
        Ok(())
    }

    /// Takes in what has come, decides, and sends what follows.
    fn one_round(
        &mut self,
        scheduler: &mut Scheduler,
        book: &mut AgentDirectory,
        inputs: &Receiver<FromStore>,
        commits: &Sender<Commit>,
        term: &Term,
    ) {
        crossbeam::select! {
            recv(inputs) -> input => if let Ok(input) = input {
                self.take_input(scheduler, book, input);
            },
            recv(self.events) -> event => if let Ok(event) = event {
                self.take_event(scheduler, event);
            },
            default(TICK) => {},
        }
        while let Ok(input) = inputs.try_recv() {
            self.take_input(scheduler, book, input);
        }
        while let Ok(event) = self.events.try_recv() {
            self.take_event(scheduler, event);
        }
        if let Some(catalog) = self.shared.get() {
            scheduler.set_workspaces(catalog.workspaces.clone());
        }
        scheduler.tick(self.now());
        let actions = scheduler.take_actions();
        // What was decided under a lease that has ended since is not said.
        if !self.is_valid(term) {
            return;
        }
        for action in actions {
            self.act(action);
        }
        if let Some(commit) = scheduler.take_commit() {
            // One commit is under way at a time, so there is room.
            let _ = commits.send(commit);
        }
        self.reach_agents(book);
    }

    fn act(&self, action: Action) {
        match action {
            Action::Send { agent, message } => {
                if let Some(conn) = self.agents.get(&agent) {
                    self.send(*conn, Message::ToAgent(message));
                }
            }
            Action::Note(note) => self.journal.record(&note),
        }
    }

    fn send(&self, conn: ConnId, message: Message) {
        if self.net.send(conn, Stamp::default(), message).is_err() {
            self.journal.record_event(Code::RingFull, "to an agent");
        }
    }

    fn take_input(
        &mut self,
        scheduler: &mut Scheduler,
        book: &mut AgentDirectory,
        input: FromStore,
    ) {
        let now = self.now();
        match input {
            FromStore::Job(batch) => scheduler.update_job(now, *batch),
            FromStore::Agent(name, address) => {
                book.dialled.remove(&name);
                book.addresses.insert(name, address);
            }
            FromStore::AgentGone(name) => {
                book.addresses.remove(&name);
            }
            FromStore::Committed(number) => scheduler.commit_done(now, number),
        }
    }

    fn take_event(&mut self, scheduler: &mut Scheduler, event: Event) {
        match event {
            Event::Up { conn, peer, .. } => {
                self.journal
                    .record_event(Code::PeerUp, format!("peer={}", peer.name));
                if let Some(old) = self.agents.insert(peer.name.clone(), conn)
                {
                    self.net.close(old);
                }
                scheduler.agent_connected(&peer.name);
            }
            Event::Frame { conn, frame } => {
                let of = self.agents.iter().find(|(_, c)| **c == conn);
                let name = of.map(|(name, _)| name.clone());
                if let (Some(name), Message::Report(report)) =
                    (name, frame.message)
                {
                    scheduler.handle_report(self.now(), &name, *report);
                }
            }
            Event::Down { conn, why } => {
                let of = self.agents.iter().find(|(_, c)| **c == conn);
                if let Some(name) = of.map(|(name, _)| name.clone()) {
                    self.agents.remove(&name);
                    let detail = format!("peer={name} why={why}");
                    self.journal.record_event(Code::PeerDown, detail);
                }
            }
            Event::DialFailed { .. } | Event::Refused { .. } => {}
        }
    }

    /// Dials agents that are not connected, and says on all streams that
    /// this end lives.
    fn reach_agents(&mut self, book: &mut AgentDirectory) {
        let now = self.parts.clock.now();
        for (name, address) in &book.addresses {
            let last = book.dialled.get(name);
            let due = last.is_none_or(|at| now >= *at + DIAL_AGAIN);
            if due && !self.agents.contains_key(name) {
                book.dialled.insert(name.clone(), now);
                self.net.dial(address);
            }
        }
        if now >= book.beat + BEAT {
            book.beat = now;
            for conn in self.agents.values() {
                self.send(*conn, Message::Heartbeat(Heartbeat::default()));
            }
        }
    }
}

/// When a lease renewed at `sent` is over, in milliseconds.
fn until(sent: Duration) -> u64 {
    let until = sent + LEASE.saturating_sub(LEASE_MARGIN);
    u64::try_from(until.as_millis()).unwrap_or(u64::MAX)
}

/// Agents and when they were last dialled.
struct AgentDirectory {
    addresses: BTreeMap<String, String>,
    dialled: BTreeMap<String, Duration>,
    beat: Duration,
}
