//! The deciding thread of an entry: drives the entry's decisions, the
//! coordinator's while this entry holds the term, and who holds it.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
    time::Duration,
};

use crossbeam::{
    channel::{Receiver, never, tick},
    select,
};
use figrill_coordination::{
    adoption::Adoption,
    coordinator::{self, Coordinator},
    entry::{self, CallId, Entry},
    message::{AgentReport, JobRequest},
    term::{self, Term},
};
use figrill_protocol::message::{Beat, Message, Peer};
use figrill_state::{
    boot::Boot,
    clock::Clock,
    error::Kind,
    event::Code,
    ledger::ApplyError,
    record::{EntriesRecord, EntryAddress, SettingsRecord, TermRecord},
    settings::Tree,
    store::LeaseId,
};
use figrill_transport::{
    http::{Responder, Server},
    peer::{ConnId, Event as NetEvent, Net},
};

use crate::{
    api::{SharedView, View, json, not_run, refusal},
    config::Config,
    metrics::Journal,
    peers::Peers,
};

use super::{
    answers::{CellBody, ProcessRow, StatusBody, render},
    store_calls::{StoreCall, StoreCalls, StoreDone},
    work::{Steps, Work},
};

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
            Self::Caller { responder, .. } => {
                responder.send(not_run(kind, "", None));
            }
            Self::Ask { responder, .. } => responder.send(refusal(kind, "")),
            Self::Gone { .. } | Self::Drain => {}
        }
    }
}

/// The thread's state.
pub(super) struct Duty {
    boot: Boot,
    clock: Arc<dyn Clock>,
    me: EntryAddress,
    server: Server,
    store: StoreCalls,
    view: SharedView,
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
        view: SharedView,
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
            peers.keep(address);
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
                    self.journal.metrics.time("call", took);
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
                let message = Message::Wards(vec![job]);
                self.peers.broadcast(&message, |p| p.worker.is_none());
            }
            entry::Action::Note(note) => self.journal.note(&note),
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
                    .all()
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
            coordinator::Action::Mark {
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
            coordinator::Action::Save { job, outcome } => {
                self.store_call(StoreCall::Save { job, outcome }, steps);
            }
            coordinator::Action::Note(note) => self.journal.note(&note),
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
                self.journal.say(Code::TermLost, "");
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
        self.journal.say(code, format!("term={term}"));
        let now = self.now();
        let tree = self.tree.clone();
        self.coordinator = Some(Coordinator::new(now, term, tree));
        for worker in self.peers.all().filter_map(|p| p.worker.clone()) {
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
            self.journal.say(Code::RingFull, "ring=store");
            self.take_stored(done, steps);
        }
    }

    fn stored(&mut self, done: StoreDone) {
        self.with_steps(|this, steps| this.take_stored(done, steps));
    }

    fn take_stored(&mut self, done: StoreDone, steps: &mut Steps) {
        match done {
            StoreDone::Taken(result) => {
                self.store_is(!matches!(
                    result,
                    Err(term::TakeError::Unavailable)
                ));
                let result = result.map(|(record, lease)| {
                    self.lease = Some(lease);
                    record
                });
                steps.push(Work::Term(term::Input::Taken(result)));
            }
            StoreDone::Renewed(result) => {
                self.store_is(result != Err(term::RenewError::Unavailable));
                steps.push(Work::Term(term::Input::Renewed(result)));
            }
            StoreDone::Claimed { job, result } => {
                let input = entry::Input::Claimed { job, result };
                steps.push(Work::Entry(input));
            }
            StoreDone::Read { job, result } => {
                steps.push(Work::Entry(entry::Input::Read { job, result }));
            }
            StoreDone::TakenOver { job, version } => {
                let input = entry::Input::TakenOver { job, version };
                steps.push(Work::Entry(input));
            }
            StoreDone::Marked { run, result } => {
                let input = coordinator::Input::Marked { run, result };
                steps.push(Work::Coordinator(input));
            }
            StoreDone::Saved { job, ok } => {
                let input = coordinator::Input::Saved { job, ok };
                steps.push(Work::Coordinator(input));
            }
            StoreDone::Entries(found) => {
                self.registering = false;
                if let Some(found) = found {
                    self.entries_are(found);
                }
            }
            StoreDone::Applied { result, responder } => {
                self.applied(result, responder, steps);
            }
            StoreDone::Settings(record) => self.offer(record, steps),
        }
    }

    fn store_is(&mut self, ok: bool) {
        if ok == self.store_ok {
            return;
        }
        self.store_ok = ok;
        let code = if ok {
            Code::StoreBack
        } else {
            Code::StoreFailed
        };
        self.journal.say(code, "");
    }

    fn applied(
        &mut self,
        result: Result<SettingsRecord, ApplyError>,
        responder: Responder,
        steps: &mut Steps,
    ) {
        match result {
            Ok(record) => {
                responder.send(json(200, &record));
                self.offer(record, steps);
            }
            Err(e) => {
                self.journal.say(Code::SettingsRefused, format!("why={e}"));
                responder.send(refusal(e.kind(), &e.to_string()));
            }
        }
    }

    /// Adopts settings if their revision is higher than the one in force.
    fn offer(&mut self, record: SettingsRecord, steps: &mut Steps) {
        let parsed = Tree::parse(&record.text, "settings");
        let Ok(tree) = parsed else {
            let detail = format!("revision={}", record.revision);
            self.journal.say(Code::SettingsRefused, detail);
            return;
        };
        if !self.adoption.offer(record.revision) {
            return;
        }
        let detail =
            format!("revision={} change={}", record.revision, record.change);
        self.journal.say(Code::SettingsAdopted, detail);
        self.store.adopted(record.revision);
        self.tree = Arc::new(tree);
        self.record = record;
        self.publish();
        let input = coordinator::Input::Settings(self.tree.clone());
        steps.push(Work::Coordinator(input));
        self.beat();
    }

    fn publish(&self) {
        self.view.set(View {
            tree: self.tree.clone(),
            record: self.record.clone(),
            draining: self.draining.is_some(),
        });
    }

    fn entries_are(&mut self, entries: EntriesRecord) {
        if entries == self.entries {
            return;
        }
        self.entries = entries;
        let mut keep: BTreeSet<String> = self
            .entries
            .entries
            .iter()
            .map(|e| e.peer.clone())
            .collect();
        keep.extend(self.boot.entries.iter().cloned());
        keep.remove(&self.me.peer);
        self.peers.keep_only(&keep);
        let message = Message::Entries(self.entries.entries.clone());
        self.peers.broadcast(&message, |p| p.worker.is_some());
    }

    fn net(&mut self, event: NetEvent) {
        match event {
            NetEvent::Up {
                conn,
                peer,
                dialled,
            } => {
                self.up(conn, peer, dialled.as_deref());
            }
            NetEvent::Frame { conn, frame } => {
                self.journal.timeline.observe(frame.stamp);
                self.message(conn, frame.message);
            }
            NetEvent::Down { conn, why } => self.down(conn, &why),
            NetEvent::DialFailed { address, .. } => {
                let now = self.now();
                self.peers.dial_failed(now, &address);
            }
            NetEvent::Refused { why } => {
                self.journal.say(Code::PeerRefused, why);
            }
        }
    }

    fn up(&mut self, conn: ConnId, peer: Peer, dialled: Option<&str>) {
        let worker = peer.worker.clone();
        let beat = self.beat_message(&peer);
        self.peers.up(conn, peer, dialled);
        self.peers.send(conn, beat);
        if let Some(worker) = worker {
            let entries = self.entries.entries.clone();
            self.peers.send(conn, Message::Entries(entries));
            let input = coordinator::Input::AgentUp(worker);
            self.step(Work::Coordinator(input));
        } else {
            self.entry_peers_changed();
        }
    }

    fn down(&mut self, conn: ConnId, why: &str) {
        let now = self.now();
        let Some(peer) = self.peers.down(now, conn, why) else {
            return;
        };
        if let Some(worker) = peer.worker {
            let input = coordinator::Input::AgentDown {
                worker: worker.name,
                incarnation: worker.incarnation,
            };
            self.step(Work::Coordinator(input));
        } else {
            self.entry_peers_changed();
        }
    }

    fn entry_peers_changed(&mut self) {
        let entries: BTreeSet<u64> = self
            .peers
            .all()
            .filter(|p| p.worker.is_none())
            .map(|p| p.incarnation)
            .collect();
        let cell = self.boot.cell.clone();
        let order = |incarnation: u64| {
            let mut hasher = DefaultHasher::new();
            (&cell, incarnation).hash(&mut hasher);
            hasher.finish()
        };
        let mine = order(self.me.incarnation);
        self.term.prefer(entries.iter().all(|e| order(*e) < mine));
        self.step(Work::Entry(entry::Input::Entries(entries)));
        self.with_steps(Self::follow);
    }

    fn message(&mut self, conn: ConnId, message: Message) {
        let Some(peer) = self.peers.peer(conn) else {
            return;
        };
        let incarnation = peer.incarnation;
        let worker = peer.worker.as_ref().map(|w| w.name.clone());
        match (message, worker) {
            (Message::Beat(beat), _) => self.beat_from(conn, beat),
            (Message::Pull, _) => {
                let record = figrill_state::record::encode(&self.record);
                self.peers.send(conn, Message::Settings(record));
            }
            (Message::Settings(record), _) => {
                if let Some(record) = figrill_state::record::decode(&record) {
                    self.with_steps(|this, steps| this.offer(record, steps));
                }
            }
            (Message::AgentReport(report), Some(worker)) => {
                if let AgentReport::Fenced { term } = report {
                    self.step(Work::Term(term::Input::Fenced(term)));
                }
                let input = coordinator::Input::Agent {
                    worker,
                    incarnation,
                    report,
                };
                self.step(Work::Coordinator(input));
            }
            (Message::JobRequest(request), None) => {
                let from = incarnation;
                let input = coordinator::Input::Entry { from, request };
                self.step(Work::Coordinator(input));
            }
            (Message::JobReport(report), None)
                // Only the coordinator that this entry follows may say how
                // a job stands.
                if self.followed == Some(incarnation) => {
                    self.step(Work::Entry(entry::Input::Report(report)));
                }
            (Message::Wards(jobs), None) => {
                let of = incarnation;
                self.step(Work::Entry(entry::Input::Wards { of, jobs }));
            }
            _ => {}
        }
    }

    fn beat_from(&mut self, conn: ConnId, beat: Beat) {
        if self.adoption.is_behind(beat.revision) {
            self.peers.send(conn, Message::Pull);
        }
        if beat.leading
            && let Some(record) = beat.coordinator
        {
            self.step(Work::Term(term::Input::Heard(record)));
        }
    }

    /// Entries tell one another who coordinates. Agents learn that from the
    /// coordinator itself, and there are many of them, so their heartbeat
    /// is the smallest that there is.
    fn beat_message(&self, to: &Peer) -> Message {
        let revision = self.adoption.revision();
        if to.worker.is_some() {
            return Message::Beat(Beat {
                revision,
                ..Beat::default()
            });
        }
        Message::Beat(Beat {
            revision,
            coordinator: self.term.coordinator(),
            leading: self.coordinator.is_some(),
        })
    }

    fn beat(&mut self) {
        self.next_beat = self.now() + BEAT_EVERY;
        self.peers.beat(|peer| self.beat_message(peer));
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

    fn ask(&mut self, question: Question, responder: Responder) {
        match question {
            Question::Status => responder.send(json(200, &self.status())),
            Question::Processes => {
                responder.send(json(200, &self.processes()));
            }
            Question::Drain => {
                self.drain();
                responder.send(json(202, &self.status()));
            }
            Question::Apply(new) => self.apply(new, responder),
        }
    }

    /// Checks new settings against the workers, then writes them. Only the
    /// coordinator knows the workers; others point to it.
    fn apply(&mut self, new: Box<NewSettings>, responder: Responder) {
        let Some(coordinator) = &self.coordinator else {
            responder.send(self.redirect());
            return;
        };
        let shortfalls = coordinator.shortfalls(&new.tree);
        if shortfalls.is_empty() {
            let call = StoreCall::Apply { new, responder };
            self.with_steps(|this, steps| this.store_call(call, steps));
            return;
        }
        let lines: Vec<String> = shortfalls
            .iter()
            .map(|s| {
                format!(
                    "[workspace/{}] guarantee {}x{}: {} accelerators short",
                    s.workspace, s.shape.0, s.shape.1, s.accelerators
                )
            })
            .collect();
        let workers = coordinator.summary().workers;
        let detail =
            format!("{}; {workers} workers are announced", lines.join("; "));
        self.journal.say(Code::SettingsRefused, "why=shortfall");
        responder.send(refusal(Kind::BadSettings, &detail));
    }

    fn redirect(&self) -> figrill_transport::http::Answer {
        let known = self.term.coordinator().map(|r| r.incarnation);
        let http = self
            .peers
            .all()
            .find(|p| Some(p.incarnation) == known)
            .map(|p| p.http.clone());
        let mut answer = refusal(Kind::NoCoordinator, "");
        if let Some(http) = http {
            answer.status = 307;
            answer.location = Some(format!("http://{http}/v1/settings"));
        }
        answer
    }

    fn status(&self) -> StatusBody {
        let known = self.term.coordinator();
        let agents = self.peers.all().filter(|p| p.worker.is_some()).count();
        let cell = self.coordinator.as_ref().map(|c| {
            let idle: BTreeMap<String, u32> = self
                .tree
                .workspaces()
                .map(|(name, _)| (name.to_owned(), c.idle_guarantee(name)))
                .collect();
            CellBody::new(c.summary(), c.largest_block().1, idle)
        });
        StatusBody {
            name: self.me.name.clone(),
            revision: self.adoption.revision(),
            draining: self.draining.is_some(),
            coordinator: known.as_ref().map(|r| r.holder.clone()),
            term: known.map_or(0, |r| r.term),
            leading: self.coordinator.is_some(),
            waiting_calls: self.entry.waiting_calls(),
            agents,
            entries: self.peers.all().count() - agents + 1,
            cell,
        }
    }

    fn processes(&self) -> Vec<ProcessRow> {
        let row = |peer: &Peer| ProcessRow {
            name: peer.name.clone(),
            role: if peer.worker.is_some() {
                "agent"
            } else {
                "entry"
            },
            http: peer.http.clone(),
            peer: peer.peer.clone(),
        };
        let mut rows: Vec<ProcessRow> = self.peers.all().map(row).collect();
        rows.push(row(self.peers.me()));
        rows.sort_by(|a, b| a.name.cmp(&b.name));
        rows
    }

    fn drain(&mut self) {
        if self.draining.is_some() {
            return;
        }
        self.draining = Some(self.now());
        self.journal.say(Code::ProcessDraining, "");
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
        self.peers.tick(now);
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
        if self.server.open() > 0 && !late || !self.peers.net().is_flushed() {
            return false;
        }
        self.journal.say(Code::ProcessStopped, "");
        true
    }

    fn measure(&self) {
        let metrics = &self.journal.metrics;
        metrics.hold("calls", self.responders.len());
        metrics.hold("connections", self.server.open());
        metrics.hold("bytes", self.entry.bytes());
        let sent = self.peers.net().bytes_sent();
        metrics.hold("peer_bytes_sent", usize::try_from(sent).unwrap_or(0));
        if let Some(coordinator) = &self.coordinator {
            let summary = coordinator.summary();
            metrics.hold("queued", summary.queued);
            metrics.hold("running", summary.running);
            metrics.hold("workers", summary.workers);
            metrics.hold("free_accelerators", summary.free as usize);
        }
    }
}
