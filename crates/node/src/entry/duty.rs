//! The deciding thread of an entry: drives the entry's decisions, the
//! coordinator's while this entry holds the term, and who holds it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::{Receiver, never, tick};
use crossbeam::select;
use figrill_coordination::adoption::Adoption;
use figrill_coordination::coordinator::Coordinator;
use figrill_coordination::entry::{CallId, Entry};
use figrill_coordination::message::JobRequest;
use figrill_coordination::term::Term;
use figrill_coordination::{coordinator, entry, term};
use figrill_protocol::message::Message;
use figrill_state::boot::BootSettings;
use figrill_state::clock::Clock;
use figrill_state::error::Kind;
use figrill_state::event::Code;
use figrill_state::kv::LeaseId;
use figrill_state::record::{
    EntriesRecord, EntryAddress, SettingsRecord, TermRecord,
};
use figrill_state::settings::Tree;
use figrill_transport::http::{Responder, Server};
use figrill_transport::peer::{Event as NetEvent, Net};

use crate::api::{SharedSettingsView, not_run_answer, refusal_answer};
use crate::config::Config;
use crate::metrics::Journal;
use crate::peers::Peers;

use super::answers::render;
use super::store_calls::{StoreCall, StoreCalls, StoreDone};
use super::work::{Steps, Work};

mod operator;
mod stored;
mod streams;

/// Time between two looks at deadlines.
const TICK: Duration = Duration::from_millis(100);

/// Time between two heartbeats.
const BEAT_EVERY: Duration = Duration::from_secs(1);

/// Time between two looks at the list of entries in the store.
const REGISTER_EVERY: Duration = Duration::from_secs(5);

/// The longest that a draining entry waits for its last calls.
const DRAIN_MAX: Duration = Duration::from_secs(90);

/// New settings, checked.
pub(super) struct NewSettings {
    pub(super) tree: Arc<Tree>,
    pub(super) text: String,
    pub(super) base: u64,
    pub(super) change: String,
    pub(super) by: String,
}

/// What an operator asks.
pub(super) enum Question {
    Status,
    Processes,
    Drain,
    Apply(Box<NewSettings>),
}

/// What other threads ask of the deciding one.
pub(super) enum Command {
    Caller {
        call: CallId,
        input: entry::Input,
        responder: Responder,
    },
    Gone {
        call: CallId,
    },
    Ask {
        question: Question,
        responder: Responder,
    },
    Drain,
}

impl Command {
    /// Answers for a deciding thread that has ended.
    pub(super) fn refuse(self, kind: Kind) {
        match self {
            Self::Caller {
                input, responder, ..
            } => {
                // Of a job that is only asked about, nothing is known here.
                responder.send(match input {
                    entry::Input::Submit { .. } => {
                        not_run_answer(kind, "", None)
                    }
                    _ => refusal_answer(kind, ""),
                });
            }
            Self::Ask { responder, .. } => {
                responder.send(refusal_answer(kind, ""));
            }
            Self::Gone { .. } | Self::Drain => {}
        }
    }
}

/// The thread's state.
pub(super) struct Duty {
    boot: BootSettings,
    clock: Arc<dyn Clock>,
    me: EntryAddress,
    server: Server,
    store: StoreCalls,
    view: SharedSettingsView,
    journal: Journal,
    peers: Peers,
    entry: Entry,
    term: Term,
    coordinator: Option<Coordinator>,
    lease: Option<LeaseId>,
    adoption: Adoption,
    record: SettingsRecord,
    tree: Arc<Tree>,
    entries: EntriesRecord,
    followed: Option<u64>,
    told_term: Option<u64>,
    responders: HashMap<CallId, (Responder, Duration)>,
    next_beat: Duration,
    next_register: Duration,
    registering: bool,
    store_ok: bool,
    draining: Option<Duration>,
}

impl Duty {
    pub(super) fn new(
        cfg: Config,
        me: EntryAddress,
        net: Net,
        server: Server,
        store: StoreCalls,
        view: SharedSettingsView,
        journal: Journal,
    ) -> Self {
        let now = cfg.clock.now();
        let term = Term::new(
            TermRecord {
                term: 0,
                holder: me.name.clone(),
                incarnation: me.incarnation,
                peer: me.peer.clone(),
            },
            now,
        );
        let mut peers = Peers::new(net, journal.clone());
        for address in &cfg.boot.entries {
            peers.add_target(address);
        }
        Self {
            entry: Entry::new(now, me.incarnation),
            term,
            peers,
            boot: cfg.boot,
            clock: cfg.clock,
            me,
            server,
            store,
            view,
            journal,
            coordinator: None,
            lease: None,
            adoption: Adoption::new(),
            record: SettingsRecord::default(),
            tree: Arc::default(),
            entries: EntriesRecord::default(),
            followed: None,
            told_term: None,
            responders: HashMap::new(),
            next_beat: now,
            next_register: now,
            registering: false,
            store_ok: true,
            draining: None,
        }
    }

    /// Runs until the process has drained.
    pub(super) fn run(
        mut self,
        net: &Receiver<NetEvent>,
        commands: &Receiver<Command>,
    ) {
        let ticker = tick(TICK);
        let done = self.store.done.clone();
        let closed = never::<StoreDone>();
        let mut store = &done;
        loop {
            select! {
                recv(net) -> event => if let Ok(event) = event {
                    self.net(event);
                },
                recv(commands) -> command => match command {
                    Ok(command) => self.command(command),
                    Err(_) => return,
                },
                recv(store) -> done => match done {
                    Ok(done) => self.stored(done),
                    Err(_) => store = &closed,
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

    /// Takes a step and all steps that it leads to.
    fn step(&mut self, work: Work) {
        let mut steps = Steps::default();
        steps.push(work);
        while let Some(work) = steps.next() {
            let now = self.now();
            match work {
                Work::Entry(input) => {
                    for action in self.entry.handle(now, input) {
                        self.entry_action(action, &mut steps);
                    }
                }
                Work::Coordinator(input) => {
                    let Some(coordinator) = &mut self.coordinator else {
                        continue;
                    };
                    for action in coordinator.handle(now, input) {
                        self.coordinator_action(action, &mut steps);
                    }
                }
                Work::Term(input) => {
                    for action in self.term.handle(now, input) {
                        self.term_action(&action, &mut steps);
                    }
                    self.follow(&mut steps);
                }
            }
        }
    }

    /// Does something and takes all steps that it leads to.
    fn with_steps(&mut self, f: impl FnOnce(&mut Self, &mut Steps)) {
        let mut steps = Steps::default();
        f(self, &mut steps);
        while let Some(work) = steps.next() {
            self.step(work);
        }
    }

    fn entry_action(&mut self, action: entry::Action, steps: &mut Steps) {
        match action {
            entry::Action::Reply { call, reply } => {
                if let Some((responder, since)) = self.responders.remove(&call)
                {
                    let took = self.now().saturating_sub(since);
                    self.journal.metrics.observe_time("call", took);
                    responder.send(render(&reply));
                }
            }
            entry::Action::ToCoordinator(request) => {
                self.ask_coordinator(request, steps);
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
                self.store_call(call, steps);
            }
            entry::Action::Read { job } => {
                self.store_call(StoreCall::Read { job }, steps);
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
                self.store_call(call, steps);
            }
            entry::Action::Ward { job } => {
                let message = Message::StandbyJobs(vec![job]);
                self.peers.broadcast(&message, |p| p.worker.is_none());
            }
            entry::Action::Note(event) => self.journal.record(&event),
        }
    }

    fn ask_coordinator(&mut self, request: JobRequest, steps: &mut Steps) {
        if self.coordinator.is_some() {
            let from = self.me.incarnation;
            let input = coordinator::Input::Entry { from, request };
            steps.push(Work::Coordinator(input));
        } else if let Some(coordinator) = self.followed {
            // A stream that is gone loses this; the entry sends all open
            // jobs again once a coordinator is connected.
            self.peers
                .send_to(coordinator, Message::JobRequest(request));
        }
    }

    fn coordinator_action(
        &mut self,
        action: coordinator::Action,
        steps: &mut Steps,
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
                if to == self.me.incarnation {
                    steps.push(Work::Entry(entry::Input::Report(report)));
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
                let call = StoreCall::Mark {
                    run,
                    version,
                    lead,
                    incarnation,
                };
                self.store_call(call, steps);
            }
            coordinator::Action::SaveOutcome { job, outcome } => {
                self.store_call(StoreCall::Save { job, outcome }, steps);
            }
            coordinator::Action::Note(event) => self.journal.record(&event),
        }
    }

    fn term_action(&mut self, action: &term::Action, steps: &mut Steps) {
        match action {
            term::Action::Take => {
                self.store_call(StoreCall::TakeTerm, steps);
            }
            term::Action::Renew => {
                if let Some(lease) = self.lease {
                    self.store_call(StoreCall::Renew(lease), steps);
                }
            }
            term::Action::Release => {
                if let Some(lease) = self.lease.take() {
                    self.store_call(StoreCall::Release(lease), steps);
                }
            }
            term::Action::Lead { term, granted } => {
                self.lead(*term, *granted, steps);
            }
            term::Action::Follow => {
                self.journal.record_event(Code::TermLost, "");
                self.coordinator = None;
            }
        }
    }

    fn lead(&mut self, term: u64, granted: bool, steps: &mut Steps) {
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
            steps.push(Work::Coordinator(input));
        }
        self.beat();
    }

    /// Tells the entry's decisions when another process coordinates, when
    /// the stream to it comes or goes, and when this one leads anew.
    fn follow(&mut self, steps: &mut Steps) {
        let me = self.me.incarnation;
        let leading = self.coordinator.as_ref().map(Coordinator::term);
        let known = self.term.coordinator().map(|r| r.incarnation);
        let followed = known.filter(|incarnation| {
            if *incarnation == me {
                leading.is_some()
            } else {
                self.peers.is_connected(*incarnation)
            }
        });
        if followed == self.followed && leading == self.told_term {
            return;
        }
        self.followed = followed;
        self.told_term = leading;
        let known = followed.is_some();
        steps.push(Work::Entry(entry::Input::Coordinator { known }));
    }

    fn store_call(&mut self, call: StoreCall, steps: &mut Steps) {
        if let Some(done) = self.store.queue(call) {
            self.journal.record_event(Code::RingFull, "ring=store");
            self.take_stored(done, steps);
        }
    }

    fn command(&mut self, command: Command) {
        match command {
            Command::Caller {
                call,
                input,
                responder,
            } => {
                let now = self.now();
                self.responders.insert(call, (responder, now));
                self.step(Work::Entry(input));
            }
            Command::Gone { call } => {
                if self.responders.remove(&call).is_some() {
                    self.step(Work::Entry(entry::Input::Gone { call }));
                }
            }
            Command::Ask {
                question,
                responder,
            } => {
                self.ask(question, responder);
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
        self.publish();
        let call = StoreCall::Unregister;
        self.with_steps(|this, steps| this.store_call(call, steps));
        self.step(Work::Entry(entry::Input::Drain));
        self.step(Work::Term(term::Input::Drain));
    }

    /// Looks at all deadlines; `true` once the process has drained.
    fn tick(&mut self) -> bool {
        let now = self.now();
        self.step(Work::Term(term::Input::Tick));
        self.step(Work::Coordinator(coordinator::Input::Tick));
        self.step(Work::Entry(entry::Input::Tick));
        self.peers.dial_due_targets(now);
        if now >= self.next_beat {
            self.beat();
            self.measure();
        }
        if now >= self.next_register
            && !self.registering
            && self.draining.is_none()
        {
            self.registering = true;
            self.next_register = now + REGISTER_EVERY;
            let call = StoreCall::Register;
            self.with_steps(|this, steps| this.store_call(call, steps));
        }
        self.has_drained(now)
    }

    fn has_drained(&self, now: Duration) -> bool {
        let Some(since) = self.draining else {
            return false;
        };
        let idle = self.responders.is_empty() && self.entry.open_jobs() == 0;
        let late = now >= since + DRAIN_MAX;
        if !idle && !late {
            return false;
        }
        self.server.stop();
        if self.server.open_connections() > 0 && !late
            || !self.peers.net().is_flushed()
        {
            return false;
        }
        self.journal.record_event(Code::ProcessStopped, "");
        true
    }

    fn measure(&self) {
        let metrics = &self.journal.metrics;
        metrics.set_gauge("calls", self.responders.len());
        metrics.set_gauge("connections", self.server.open_connections());
        metrics.set_gauge("bytes", self.entry.bytes());
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
