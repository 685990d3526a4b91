//! The deciding thread of an agent.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use crossbeam::{
    channel::{Receiver, Sender, tick},
    select,
};
use figrill_coordination::{
    adoption::Adoption,
    agent::{Action, Agent, Input, Task, grant::PartEvent},
    message::{MemberReport, MemberRequest, Run},
};
use figrill_protocol::message::{Heartbeat, Message, Peer};
use figrill_state::{
    boot::BootSettings,
    clock::Clock,
    event::Code,
    record::{self, EntriesRecord, EntryAddress, SettingsRecord},
    settings::Tree,
    upstream::Upstream,
    worker::{Capacity, Worker},
};
use figrill_transport::{
    http::Server,
    peer::{ConnId, Event as NetEvent, Net},
    upstream_client::{Announcement, UpstreamClient},
};

use crate::{
    api::{SettingsView, SharedSettingsView},
    config::Config,
    metrics::Journal,
    peers::Peers,
};

use super::{links::Links, parts::Parts};

/// Time between two looks at deadlines.
const TICK: Duration = Duration::from_millis(100);

/// Time between two heartbeats.
const BEAT_EVERY: Duration = Duration::from_secs(1);

/// Time between two tries to fence an upstream.
const FENCE_AGAIN: Duration = Duration::from_millis(500);

/// What other threads ask of the deciding one.
pub(super) enum Command {
    /// The upstream announced itself.
    Announced(Announcement),
    /// The upstream leaves.
    Left,
    /// An upstream was fenced, or not.
    Fenced { url: String, ok: bool },
    /// The upstream is a part of this process.
    Fixed {
        upstream: Arc<dyn Upstream>,
        capacity: Capacity,
    },
    /// A part's thread brought something.
    Part { task: Task, event: PartEvent },
    /// The store's list of entries.
    Entries(EntriesRecord),
    /// Take no new work and end.
    Drain,
}

struct Beside {
    url: String,
    client: Arc<dyn Upstream>,
    capacity: Capacity,
    fenced: bool,
    fixed: bool,
}

/// The thread's state.
pub(super) struct Duty {
    boot: BootSettings,
    clock: Arc<dyn Clock>,
    agent: Agent,
    peers: Peers,
    links: Links,
    parts: Parts,
    server: Server,
    view: SharedSettingsView,
    journal: Journal,
    commands: Sender<Command>,
    beside: Option<Beside>,
    adoption: Adoption,
    record: SettingsRecord,
    next_beat: Duration,
    draining: bool,
}

impl Duty {
    pub(super) fn new(
        cfg: &Config,
        worker: Worker,
        net: Net,
        server: Server,
        view: SharedSettingsView,
        journal: Journal,
        commands: Sender<Command>,
    ) -> Self {
        let mut peers = Peers::new(net, journal.clone());
        for address in &cfg.boot.entries {
            peers.add_target(address);
        }
        let clock = cfg.clock.clone();
        let incarnation = worker.incarnation;
        Self {
            agent: Agent::new(worker, cfg.boot.worker_reserve),
            peers,
            links: Links::default(),
            parts: Parts::new(incarnation, clock.clone(), commands.clone()),
            next_beat: clock.now(),
            clock,
            boot: cfg.boot.clone(),
            server,
            view,
            journal,
            commands,
            beside: None,
            adoption: Adoption::new(),
            record: SettingsRecord::default(),
            draining: false,
        }
    }

    /// Runs until the process has drained.
    pub(super) fn run(
        mut self,
        net: &Receiver<NetEvent>,
        commands: &Receiver<Command>,
    ) {
        let ticker = tick(TICK);
        loop {
            select! {
                recv(net) -> event => if let Ok(event) = event {
                    self.net(event);
                },
                recv(commands) -> command => match command {
                    Ok(command) => self.command(command),
                    Err(_) => return,
                },
                recv(ticker) -> _ => {
                    if self.tick() {
                        return;
                    }
                }
            }
        }
    }

    fn step(&mut self, input: Input) {
        let now = self.clock.now();
        for action in self.agent.handle(now, input) {
            self.act(now, action);
        }
    }

    fn act(&mut self, now: Duration, action: Action) {
        match action {
            Action::Report { to, report } => {
                self.peers.send_to(to, Message::AgentReport(report));
            }
            Action::ToMember {
                member,
                run,
                request,
            } => {
                let message = Message::MemberRequest { run, request };
                self.links.send(now, &self.peers, &member, message);
            }
            Action::ToLead { lead, run, report } => {
                let message = Message::MemberReport { run, report };
                self.links.send(now, &self.peers, &lead, message);
            }
            Action::Start {
                task,
                input,
                checkpoint,
            } => {
                self.start(task, input, checkpoint);
            }
            Action::Stop { task, window } => self.parts.stop(task, window),
            Action::Note(event) => self.journal.record(&event),
        }
    }

    fn start(
        &mut self,
        task: Task,
        input: Vec<u8>,
        checkpoint: Option<Vec<u8>>,
    ) {
        let client = self.beside.as_ref().map(|b| b.client.clone());
        let started = match client {
            Some(client) => {
                let started =
                    self.parts.start(task, client, input, checkpoint);
                started.map_err(|e| e.to_string())
            }
            None => Err("the upstream has left".to_owned()),
        };
        if let Err(why) = started {
            let event = PartEvent::Failed(why);
            let _ = self.commands.try_send(Command::Part { task, event });
        }
    }

    fn command(&mut self, command: Command) {
        match command {
            Command::Announced(announcement) => self.announced(announcement),
            Command::Left => {
                self.beside = None;
                self.step(Input::Left);
            }
            Command::Fenced { url, ok } => self.fenced(&url, ok),
            Command::Fixed { upstream, capacity } => {
                self.beside = Some(Beside {
                    url: String::new(),
                    client: upstream,
                    capacity,
                    fenced: true,
                    fixed: true,
                });
                self.step(Input::Announced(capacity));
            }
            Command::Part { task, event } => {
                self.parts.ended(task);
                self.step(Input::Part { task, event });
            }
            Command::Entries(entries) => self.entries(entries.entries),
            Command::Drain => self.drain(),
        }
    }

    /// An upstream gets work only after it was fenced: what an earlier
    /// life of this agent started there has stopped by then.
    fn announced(&mut self, announcement: Announcement) {
        let known = self.beside.as_mut().filter(|b| b.url == announcement.url);
        if let Some(beside) = known {
            beside.capacity = announcement.capacity;
            if beside.fenced {
                self.step(Input::Announced(announcement.capacity));
            }
            return;
        }
        let client: Arc<dyn Upstream> =
            Arc::new(UpstreamClient::new(&announcement.url));
        self.beside = Some(Beside {
            url: announcement.url.clone(),
            client: client.clone(),
            capacity: announcement.capacity,
            fenced: false,
            fixed: false,
        });
        self.fence(announcement.url, client);
    }

    fn fence(&self, url: String, client: Arc<dyn Upstream>) {
        let commands = self.commands.clone();
        let agent = self.agent.worker().incarnation;
        let failed = Command::Fenced {
            url: url.clone(),
            ok: false,
        };
        let spawned = crate::config::spawn_detached("fence", move || {
            let ok = client.fence(agent).is_ok();
            if !ok {
                std::thread::sleep(FENCE_AGAIN);
            }
            let _ = commands.send(Command::Fenced { url, ok });
        });
        if spawned.is_err() {
            let _ = self.commands.try_send(failed);
        }
    }

    fn fenced(&mut self, url: &str, ok: bool) {
        let Some(beside) = self.beside.as_mut().filter(|b| b.url == url)
        else {
            return;
        };
        if ok {
            beside.fenced = true;
            let capacity = beside.capacity;
            self.step(Input::Announced(capacity));
        } else {
            // Its next announcement fences it again.
            self.beside = None;
        }
    }

    fn entries(&mut self, entries: Vec<EntryAddress>) {
        if entries.is_empty() {
            return;
        }
        let mut keep: BTreeSet<String> =
            entries.into_iter().map(|e| e.peer).collect();
        keep.extend(self.boot.entries.iter().cloned());
        self.peers.set_targets(&keep);
    }

    fn net(&mut self, event: NetEvent) {
        let now = self.clock.now();
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
            NetEvent::Down { conn, why } => {
                let gone = self.peers.remove_stream(now, conn, &why);
                if let Some(peer) = gone.filter(|p| p.worker.is_none()) {
                    let from = peer.incarnation;
                    self.step(Input::CoordinatorGone { from });
                }
            }
            NetEvent::DialFailed { address, .. } => {
                self.peers.dial_failed(now, &address);
            }
            NetEvent::Refused { why } => {
                self.journal.record_event(Code::PeerRefused, why);
            }
        }
    }

    fn up(&mut self, conn: ConnId, peer: Peer, dialled: Option<&str>) {
        let incarnation = peer.incarnation;
        let is_agent = peer.worker.is_some();
        self.peers.add_stream(conn, peer, dialled);
        self.peers.send(conn, self.beat_message());
        if is_agent {
            self.links.up(&self.peers, incarnation);
        }
    }

    fn beat_message(&self) -> Message {
        Message::Heartbeat(Heartbeat {
            revision: self.adoption.revision(),
            ..Heartbeat::default()
        })
    }

    fn message(&mut self, conn: ConnId, message: Message) {
        let Some(peer) = self.peers.peer(conn) else {
            return;
        };
        let from = peer.incarnation;
        let worker = peer.worker.as_ref().map(|w| w.name.clone());
        match (message, worker) {
            (Message::Heartbeat(beat), _)
                if self.adoption.is_behind(beat.revision) =>
            {
                self.peers.send(conn, Message::SettingsRequest);
            }
            (Message::SettingsRequest, _) => {
                let record = record::encode(&self.record);
                self.peers.send(conn, Message::Settings(record));
            }
            (Message::Settings(buf), _) => self.offer(&buf),
            (Message::Entries(entries), None) => {
                // An entry's list may be older than the store's: it adds
                // entries, and only the store's takes any away.
                for entry in entries {
                    self.peers.add_target(&entry.peer);
                }
            }
            (Message::AgentRequest(request), None) => {
                self.step(Input::Coordinator { from, request });
            }
            (Message::MemberRequest { run, request }, Some(_)) => {
                self.member_request(conn, run, request);
            }
            (Message::MemberReport { run, report }, Some(worker)) => {
                let incarnation = from;
                self.step(Input::Member {
                    run,
                    worker,
                    incarnation,
                    report,
                });
            }
            _ => {}
        }
    }

    fn member_request(
        &mut self,
        conn: ConnId,
        run: Run,
        request: MemberRequest,
    ) {
        // Whatever has lapsed lapses before the question is looked at.
        self.step(Input::Tick);
        if self.agent.knows(run) {
            self.step(Input::Lead { run, request });
            return;
        }
        if request != MemberRequest::Abort {
            let report = MemberReport::Gone;
            self.peers.send(conn, Message::MemberReport { run, report });
        }
    }

    fn offer(&mut self, buf: &[u8]) {
        let Some(record) = record::decode::<SettingsRecord>(buf) else {
            return;
        };
        let Ok(tree) = Tree::parse(&record.text, "settings") else {
            return;
        };
        if !self.adoption.offer(record.revision) {
            return;
        }
        let detail =
            format!("revision={} change={}", record.revision, record.change);
        self.journal.record_event(Code::SettingsAdopted, detail);
        self.record = record.clone();
        self.view.set(SettingsView {
            tree: Arc::new(tree),
            record,
            draining: self.draining,
        });
        self.next_beat = Duration::ZERO;
    }

    fn drain(&mut self) {
        if self.draining {
            return;
        }
        self.draining = true;
        self.journal.record_event(Code::ProcessDraining, "");
        let view = self.view.get();
        self.view.set(SettingsView {
            tree: view.tree.clone(),
            record: view.record.clone(),
            draining: true,
        });
        self.step(Input::Drain);
    }

    /// Looks at all deadlines; `true` once the process has drained.
    fn tick(&mut self) -> bool {
        let now = self.clock.now();
        if let Some(beside) = self.beside.as_ref().filter(|b| b.fixed) {
            let capacity = beside.capacity;
            self.step(Input::Announced(capacity));
        } else {
            self.step(Input::Tick);
        }
        self.peers.dial_due_targets(now);
        self.links.tick(now, &self.peers);
        if now >= self.next_beat {
            self.next_beat = now + BEAT_EVERY;
            self.peers.send_heartbeats(|_| self.beat_message());
            self.measure();
        }
        let over = self.draining
            && self.agent.is_idle()
            && self.peers.net().is_flushed();
        if over {
            self.server.stop();
            self.journal.record_event(Code::ProcessStopped, "");
        }
        over
    }

    fn measure(&self) {
        let metrics = &self.journal.metrics;
        let used = self.agent.used();
        metrics.set_gauge("used_accelerators", used.accelerators as usize);
        metrics.set_gauge("used_slots", used.slots as usize);
        let offered = self.agent.worker().capacity;
        metrics.set_gauge("accelerators", offered.accelerators as usize);
        let sent = self.peers.net().bytes_sent();
        metrics
            .set_gauge("peer_bytes_sent", usize::try_from(sent).unwrap_or(0));
    }
}
