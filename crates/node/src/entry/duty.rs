//! The event loop of an entry process. It feeds messages, commands, results of
//! store calls and timer ticks to three state machines, and performs the
//! actions that result: the entry, the election of the coordinator, and the
//! coordinator while this process holds the term.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::{Receiver, never, tick};
use crossbeam::select;
use figrill_coordination::adoption::AdoptedRevision;
use figrill_coordination::coordinator::Coordinator;
use figrill_coordination::entry::{CallId, Entry};
use figrill_coordination::message::JobRequest;
use figrill_coordination::term::Election;
use figrill_coordination::{coordinator, entry, term};
use figrill_protocol::message::Message;
use figrill_state::boot::BootSettings;
use figrill_state::clock::Clock;
use figrill_state::event::Code;
use figrill_state::kv::LeaseId;
use figrill_state::record::{
    EntriesRecord, EntryAddress, SettingsRecord, TermRecord,
};
use figrill_state::settings::Tree;
use figrill_transport::http::{Responder, Server};
use figrill_transport::peer::{Event as NetEvent, Net};

use crate::api::SharedSettingsView;
use crate::config::Config;
use crate::metrics::Journal;
use crate::peers::Peers;

use super::answers::render;
use super::store_calls::{StoreCall, StoreCalls, StoreResult};
use super::work::{InputQueue, QueuedInput};

mod command;
mod operator;
mod stored;
mod streams;

pub(super) use command::{Command, NewSettings, OperatorRequest};

/// The interval at which deadlines are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The interval between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// The interval at which the list of entries in the store is read and, if this
/// entry is missing from it, this entry is added.
const REGISTER_INTERVAL: Duration = Duration::from_secs(5);

/// The maximum time for which a draining entry waits for its open calls and
/// jobs.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(90);

/// The maximum time for which a draining entry keeps the term only to save
/// outcomes. It allows for two attempts to save each of them.
const SAVE_TIMEOUT: Duration = Duration::from_secs(3);

/// The state of the event loop.
pub(super) struct EventLoop {
    boot: BootSettings,
    clock: Arc<dyn Clock>,
    local_entry: EntryAddress,
    server: Server,
    store: StoreCalls,
    view: SharedSettingsView,
    journal: Journal,
    peers: Peers,
    entry: Entry,
    election: Election,
    coordinator: Option<Coordinator>,
    /// The lease under which this process holds the term in the store.
    term_lease: Option<LeaseId>,
    /// The revision of the settings in force.
    adoption: AdoptedRevision,
    /// The record of the settings in force.
    record: SettingsRecord,
    /// The settings in force, parsed from `record`.
    tree: Arc<Tree>,
    /// Whether the store or another process has said which settings are in
    /// force, which may also be none.
    settings_known: bool,
    /// The list of entries that was last read from the store.
    entries: EntriesRecord,
    /// The incarnation of the coordinator that the entry sends its jobs to.
    followed: Option<u64>,
    /// The term of the local coordinator that was last reported to the entry.
    reported_term: Option<u64>,
    /// The unanswered calls, with the time at which each was received.
    responders: HashMap<CallId, (Responder, Duration)>,
    next_heartbeat: Duration,
    next_register: Duration,
    /// Whether a call that registers this entry is in flight.
    registering: bool,
    /// Whether the store answered the last call that took or renewed the term.
    store_available: bool,
    /// The time at which draining started, if it has.
    draining: Option<Duration>,
}

impl EventLoop {
    pub(super) fn new(
        cfg: Config,
        local_entry: EntryAddress,
        net: Net,
        server: Server,
        store: StoreCalls,
        view: SharedSettingsView,
        journal: Journal,
    ) -> Self {
        let now = cfg.clock.now();
        let election = Election::new(
            TermRecord {
                term: 0,
                holder: local_entry.name.clone(),
                incarnation: local_entry.incarnation,
                peer: local_entry.peer.clone(),
            },
            now,
        );
        let mut peers = Peers::new(net, journal.clone());
        for address in &cfg.boot.entries {
            peers.add_target(address);
        }
        Self {
            entry: Entry::new(now, local_entry.incarnation),
            election,
            peers,
            boot: cfg.boot,
            clock: cfg.clock,
            local_entry,
            server,
            store,
            view,
            journal,
            coordinator: None,
            term_lease: None,
            adoption: AdoptedRevision::new(),
            record: SettingsRecord::default(),
            tree: Arc::default(),
            settings_known: false,
            entries: EntriesRecord::default(),
            followed: None,
            reported_term: None,
            responders: HashMap::new(),
            next_heartbeat: now,
            next_register: now,
            registering: false,
            store_available: true,
            draining: None,
        }
    }

    /// Runs until the process has drained.
    pub(super) fn run(
        mut self,
        net: &Receiver<NetEvent>,
        commands: &Receiver<Command>,
    ) {
        let ticker = tick(TICK_INTERVAL);
        let results = self.store.results.clone();
        let disconnected = never::<StoreResult>();
        let mut store = &results;
        loop {
            select! {
                recv(net) -> event => if let Ok(event) = event {
                    self.handle_net_event(event);
                },
                recv(commands) -> command => match command {
                    Ok(command) => self.handle_command(command),
                    Err(_) => return,
                },
                recv(store) -> result => match result {
                    Ok(result) => self.handle_store_result(result),
                    // A disconnected channel would be ready all the time.
                    Err(_) => store = &disconnected,
                },
                recv(ticker) -> _ => {
                    if self.tick() {
                        return;
                    }
                }
            }
        }
    }

    fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Handles an input and all inputs that result from it.
    fn handle_input(&mut self, first: QueuedInput) {
        let mut queue = InputQueue::default();
        queue.push(first);
        while let Some(input) = queue.pop() {
            let now = self.now();
            match input {
                QueuedInput::Entry(input) => {
                    for action in self.entry.handle(now, input) {
                        self.perform_entry_action(action, &mut queue);
                    }
                }
                QueuedInput::Coordinator(input) => {
                    let Some(coordinator) = &mut self.coordinator else {
                        continue;
                    };
                    for action in coordinator.handle(now, input) {
                        self.perform_coordinator_action(action, &mut queue);
                    }
                }
                QueuedInput::Election(input) => {
                    for action in self.election.handle(now, input) {
                        self.perform_election_action(&action, &mut queue);
                    }
                    self.update_followed_coordinator(&mut queue);
                }
            }
        }
    }

    /// Runs `f` and handles all inputs that it queues.
    fn with_input_queue(
        &mut self,
        f: impl FnOnce(&mut Self, &mut InputQueue),
    ) {
        let mut queue = InputQueue::default();
        f(self, &mut queue);
        while let Some(input) = queue.pop() {
            self.handle_input(input);
        }
    }

    fn perform_entry_action(
        &mut self,
        action: entry::Action,
        queue: &mut InputQueue,
    ) {
        match action {
            entry::Action::Reply { call, reply } => {
                if let Some((responder, received)) =
                    self.responders.remove(&call)
                {
                    let elapsed = self.now().saturating_sub(received);
                    self.journal.metrics.observe_time("call", elapsed);
                    responder.send(render(&reply));
                }
            }
            entry::Action::ToCoordinator(request) => {
                self.send_to_coordinator(request, queue);
            }
            entry::Action::Claim {
                job,
                workspace,
                key,
                request,
            } => {
                let call = StoreCall::Claim {
                    job,
                    workspace,
                    key,
                    request,
                };
                self.queue_store_call(call, queue);
            }
            entry::Action::Read { job } => {
                self.queue_store_call(StoreCall::Read { job }, queue);
            }
            entry::Action::TakeOver {
                job,
                version,
                record,
            } => {
                let call = StoreCall::TakeOver {
                    job,
                    version,
                    record,
                };
                self.queue_store_call(call, queue);
            }
            entry::Action::SaveOutcome { job, outcome } => {
                let call = StoreCall::SaveOutcome { job, outcome };
                self.queue_store_call(call, queue);
            }
            entry::Action::DelegateJob { job } => {
                let message = Message::StandbyJobs(vec![job]);
                self.peers.broadcast(&message, |p| p.worker.is_none());
            }
            entry::Action::RecordEvent(event) => self.journal.record(&event),
        }
    }

    fn send_to_coordinator(
        &mut self,
        request: JobRequest,
        queue: &mut InputQueue,
    ) {
        if self.coordinator.is_some() {
            let from = self.local_entry.incarnation;
            let input = coordinator::Input::Entry { from, request };
            queue.push(QueuedInput::Coordinator(input));
        } else if let Some(coordinator) = self.followed {
            // The request is lost if the stream has been closed. The entry
            // sends all open jobs again once a coordinator is connected.
            self.peers
                .send_to(coordinator, Message::JobRequest(request));
        }
    }

    fn perform_coordinator_action(
        &mut self,
        action: coordinator::Action,
        queue: &mut InputQueue,
    ) {
        match action {
            coordinator::Action::ToAgent { worker, request } => {
                let incarnation = self
                    .peers
                    .connected()
                    .filter_map(|p| p.worker.as_ref())
                    .find(|w| w.name == worker)
                    .map(|w| w.incarnation);
                if let Some(incarnation) = incarnation {
                    let message = Message::AgentRequest(request);
                    self.peers.send_to(incarnation, message);
                }
            }
            coordinator::Action::ToEntry { to, report } => {
                if to == self.local_entry.incarnation {
                    queue.push(QueuedInput::Entry(entry::Input::Report(
                        report,
                    )));
                } else {
                    self.peers.send_to(to, Message::JobReport(report));
                }
            }
            coordinator::Action::MarkDispatched {
                run,
                version,
                lead,
                incarnation,
            } => {
                let call = StoreCall::MarkDispatched {
                    run,
                    version,
                    lead,
                    incarnation,
                };
                self.queue_store_call(call, queue);
            }
            coordinator::Action::SaveOutcome { job, outcome } => {
                self.queue_store_call(
                    StoreCall::SaveOutcome { job, outcome },
                    queue,
                );
            }
            coordinator::Action::RecordEvent(e) => self.journal.record(&e),
        }
    }

    fn perform_election_action(
        &mut self,
        action: &term::Action,
        queue: &mut InputQueue,
    ) {
        match action {
            term::Action::Acquire => {
                self.queue_store_call(StoreCall::AcquireTerm, queue);
            }
            term::Action::Renew => {
                if let Some(lease) = self.term_lease {
                    self.queue_store_call(StoreCall::RenewTerm(lease), queue);
                }
            }
            term::Action::Release => {
                if let Some(lease) = self.term_lease.take() {
                    self.queue_store_call(
                        StoreCall::ReleaseTerm(lease),
                        queue,
                    );
                }
            }
            term::Action::Lead { term, granted } => {
                self.start_coordinator(*term, *granted, queue);
            }
            term::Action::Follow => {
                self.journal.record_event(Code::TermLost, "");
                self.coordinator = None;
            }
        }
    }

    /// Starts to coordinate under `term`, which is provisional unless the
    /// store has `granted` it.
    fn start_coordinator(
        &mut self,
        term: u64,
        granted: bool,
        queue: &mut InputQueue,
    ) {
        let code = if granted {
            Code::TermGranted
        } else {
            Code::TermProvisional
        };
        self.journal.record_event(code, format!("term={term}"));
        let now = self.now();
        let tree = self.tree.clone();
        self.coordinator = Some(Coordinator::new(now, term, tree));
        for worker in self.peers.connected().filter_map(|p| p.worker.clone()) {
            let input = coordinator::Input::AgentUp(worker);
            queue.push(QueuedInput::Coordinator(input));
        }
        self.send_heartbeats();
    }

    /// Informs the entry when another process becomes the coordinator, when
    /// the stream to the coordinator is opened or closed, and when this
    /// process becomes the coordinator under a new term.
    fn update_followed_coordinator(&mut self, queue: &mut InputQueue) {
        let own = self.local_entry.incarnation;
        let leading = self.coordinator.as_ref().map(Coordinator::term);
        let coordinator = self.election.coordinator().map(|r| r.incarnation);
        let followed = coordinator.filter(|incarnation| {
            if *incarnation == own {
                leading.is_some()
            } else {
                self.peers.is_connected(*incarnation)
            }
        });
        if followed == self.followed && leading == self.reported_term {
            return;
        }
        self.followed = followed;
        self.reported_term = leading;
        let known = followed.is_some();
        queue.push(QueuedInput::Entry(entry::Input::Coordinator { known }));
    }

    /// Queues a store call. If the queue is full, handles the call at once as
    /// one that failed because the store is unavailable.
    fn queue_store_call(&mut self, call: StoreCall, queue: &mut InputQueue) {
        if let Some(result) = self.store.try_queue(call) {
            self.journal.record_event(Code::RingFull, "ring=store");
            self.apply_store_result(result, queue);
        }
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::CallerRequest {
                call,
                input,
                responder,
            } => {
                let now = self.now();
                self.responders.insert(call, (responder, now));
                self.handle_input(QueuedInput::Entry(input));
            }
            Command::CallerDisconnected { call } => {
                if self.responders.remove(&call).is_some() {
                    self.handle_input(QueuedInput::Entry(
                        entry::Input::CallerDisconnected { call },
                    ));
                }
            }
            Command::Operator { request, responder } => {
                self.handle_operator_request(request, responder);
            }
            Command::Drain => self.drain(),
        }
    }

    fn drain(&mut self) {
        if self.draining.is_some() {
            return;
        }
        self.draining = Some(self.now());
        self.journal.record_event(Code::ProcessDraining, "");
        self.publish_settings_view();
        let call = StoreCall::Unregister;
        self.with_input_queue(|this, queue| {
            this.queue_store_call(call, queue);
        });
        self.handle_input(QueuedInput::Entry(entry::Input::Drain));
        let input = coordinator::Input::Drain;
        self.handle_input(QueuedInput::Coordinator(input));
        self.hand_over();
    }

    /// Gives up the term for good, once the local coordinator has sent all
    /// that it began, and has saved the outcomes that it knows or failed to do
    /// so in [`SAVE_TIMEOUT`].
    fn hand_over(&mut self) {
        let now = self.now();
        let save_expired = self
            .draining
            .is_some_and(|since| now >= since + SAVE_TIMEOUT);
        let done = self.coordinator.as_ref().is_none_or(|coordinator| {
            coordinator.is_settled()
                && (save_expired || !coordinator.has_unsaved_outcomes())
                && self.peers.net().is_flushed()
        });
        if done {
            self.handle_input(QueuedInput::Election(term::Input::Drain));
        }
    }

    /// Checks all deadlines. Returns `true` once the process has drained.
    fn tick(&mut self) -> bool {
        let now = self.now();
        // A coordinator without the settings would refuse all jobs.
        if self.settings_known {
            self.handle_input(QueuedInput::Election(term::Input::Tick));
        }
        self.handle_input(QueuedInput::Coordinator(coordinator::Input::Tick));
        self.handle_input(QueuedInput::Entry(entry::Input::Tick));
        self.peers.dial_due_targets(now);
        if self.draining.is_some() {
            self.hand_over();
        }
        if now >= self.next_heartbeat {
            self.send_heartbeats();
            self.update_gauges();
        }
        if now >= self.next_register
            && !self.registering
            && self.draining.is_none()
        {
            self.registering = true;
            self.next_register = now + REGISTER_INTERVAL;
            let call = StoreCall::Register;
            self.with_input_queue(|this, queue| {
                this.queue_store_call(call, queue);
            });
        }
        self.has_drained(now)
    }

    /// Returns whether the process is draining and can end: it does not
    /// coordinate and no call or job is open, or [`DRAIN_TIMEOUT`] has passed,
    /// and all messages were sent.
    fn has_drained(&self, now: Duration) -> bool {
        let Some(since) = self.draining else {
            return false;
        };
        let idle = self.responders.is_empty()
            && self.entry.open_jobs() == 0
            && self.coordinator.is_none();
        let timed_out = now >= since + DRAIN_TIMEOUT;
        if !idle && !timed_out {
            return false;
        }
        self.server.stop();
        if self.server.open_connections() > 0 && !timed_out
            || !self.peers.net().is_flushed()
        {
            return false;
        }
        self.journal.record_event(Code::ProcessStopped, "");
        true
    }

    fn update_gauges(&self) {
        let metrics = &self.journal.metrics;
        metrics.set_gauge("calls", self.responders.len());
        metrics.set_gauge("connections", self.server.open_connections());
        metrics.set_gauge("bytes", self.entry.buffered_bytes());
        let sent = self.peers.net().bytes_sent();
        metrics
            .set_gauge("peer_bytes_sent", usize::try_from(sent).unwrap_or(0));
        if let Some(coordinator) = &self.coordinator {
            let summary = coordinator.summary();
            metrics.set_gauge("queued", summary.queued);
            metrics.set_gauge("running", summary.running);
            metrics.set_gauge("workers", summary.workers);
            metrics.set_gauge("free_accelerators", summary.free as usize);
        }
    }
}
