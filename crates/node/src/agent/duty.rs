//! The event loop of an agent. It feeds messages, commands and timer ticks to
//! the agent's state machine and performs the actions that result.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use crossbeam::{
    channel::{Receiver, Sender, tick},
    select,
};
use figrill_coordination::{
    adoption::AdoptedRevision,
    agent::{Action, Agent, Input, PartId, grant::PartEvent},
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

/// The interval at which deadlines are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The interval between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// The delay after a failed attempt to fence an upstream.
const FENCE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// A command to the event loop from another thread.
pub(super) enum Command {
    /// The upstream has announced itself.
    UpstreamAnnounced(Announcement),
    /// The upstream is leaving.
    UpstreamLeft,
    /// An attempt to fence the upstream at `url` has ended. `ok` is `true`
    /// if it has succeeded.
    UpstreamFenced { url: String, ok: bool },
    /// The upstream runs in this process.
    UpstreamInProcess {
        upstream: Arc<dyn Upstream>,
        capacity: Capacity,
    },
    /// A part has ended. Sent by the thread that ran or stopped the part.
    Part { part: PartId, event: PartEvent },
    /// The list of entries was read from the store.
    EntriesRead(EntriesRecord),
    /// Drain the process.
    Drain,
}

/// The upstream that this agent runs parts on.
struct LocalUpstream {
    /// The address that the upstream announced; empty if it runs in this
    /// process.
    url: String,
    client: Arc<dyn Upstream>,
    capacity: Capacity,
    /// Whether the upstream was fenced and may be given work.
    fenced: bool,
    in_process: bool,
}

/// The state of the event loop.
pub(super) struct EventLoop {
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
    upstream: Option<LocalUpstream>,
    /// The revision of the settings in force.
    adoption: AdoptedRevision,
    record: SettingsRecord,
    next_heartbeat: Duration,
    draining: bool,
}

impl EventLoop {
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
            next_heartbeat: clock.now(),
            clock,
            boot: cfg.boot.clone(),
            server,
            view,
            journal,
            commands,
            upstream: None,
            adoption: AdoptedRevision::new(),
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
        let ticker = tick(TICK_INTERVAL);
        loop {
            select! {
                recv(net) -> event => if let Ok(event) = event {
                    self.handle_net_event(event);
                },
                recv(commands) -> command => match command {
                    Ok(command) => self.handle_command(command),
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

    fn handle_input(&mut self, input: Input) {
        let now = self.clock.now();
        for action in self.agent.handle(now, input) {
            self.perform(now, action);
        }
    }

    fn perform(&mut self, now: Duration, action: Action) {
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
                part,
                input,
                checkpoint,
            } => {
                self.start_part(part, input, checkpoint);
            }
            Action::Stop { part, window } => self.parts.stop(part, window),
            Action::RecordEvent(event) => self.journal.record(&event),
        }
    }

    fn start_part(
        &mut self,
        part: PartId,
        input: Vec<u8>,
        checkpoint: Option<Vec<u8>>,
    ) {
        let client = self.upstream.as_ref().map(|u| u.client.clone());
        let result = match client {
            Some(client) => {
                let started =
                    self.parts.start(part, client, input, checkpoint);
                started.map_err(|e| e.to_string())
            }
            None => Err("the upstream has left".to_owned()),
        };
        if let Err(reason) = result {
            let event = PartEvent::Failed(reason);
            let _ = self.commands.try_send(Command::Part { part, event });
        }
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::UpstreamAnnounced(announcement) => {
                self.handle_announcement(announcement);
            }
            Command::UpstreamLeft => {
                self.upstream = None;
                self.handle_input(Input::UpstreamLeft);
            }
            Command::UpstreamFenced { url, ok } => {
                self.handle_fencing_result(&url, ok);
            }
            Command::UpstreamInProcess { upstream, capacity } => {
                self.upstream = Some(LocalUpstream {
                    url: String::new(),
                    client: upstream,
                    capacity,
                    fenced: true,
                    in_process: true,
                });
                self.handle_input(Input::UpstreamAnnounced(capacity));
            }
            Command::Part { part, event } => {
                self.parts.remove(part);
                self.handle_input(Input::Part { part, event });
            }
            Command::EntriesRead(entries) => self.set_entries(entries.entries),
            Command::Drain => self.drain(),
        }
    }

    /// Handles an announcement of the upstream. An upstream at a new address
    /// is given work only after it was fenced, which stops all tasks that an
    /// earlier incarnation of this agent started there.
    fn handle_announcement(&mut self, announcement: Announcement) {
        let same_upstream =
            self.upstream.as_mut().filter(|u| u.url == announcement.url);
        if let Some(upstream) = same_upstream {
            upstream.capacity = announcement.capacity;
            if upstream.fenced {
                self.handle_input(Input::UpstreamAnnounced(
                    announcement.capacity,
                ));
            }
            return;
        }
        let client: Arc<dyn Upstream> =
            Arc::new(UpstreamClient::new(&announcement.url));
        self.upstream = Some(LocalUpstream {
            url: announcement.url.clone(),
            client: client.clone(),
            capacity: announcement.capacity,
            fenced: false,
            in_process: false,
        });
        self.start_fencing(announcement.url, client);
    }

    fn start_fencing(&self, url: String, client: Arc<dyn Upstream>) {
        let commands = self.commands.clone();
        let agent = self.agent.worker().incarnation;
        let not_fenced = Command::UpstreamFenced {
            url: url.clone(),
            ok: false,
        };
        let spawned = crate::config::spawn_detached("fence", move || {
            let ok = client.fence(agent).is_ok();
            if !ok {
                std::thread::sleep(FENCE_RETRY_DELAY);
            }
            let _ = commands.send(Command::UpstreamFenced { url, ok });
        });
        if spawned.is_err() {
            let _ = self.commands.try_send(not_fenced);
        }
    }

    fn handle_fencing_result(&mut self, url: &str, ok: bool) {
        let Some(upstream) = self.upstream.as_mut().filter(|u| u.url == url)
        else {
            return;
        };
        if ok {
            upstream.fenced = true;
            let capacity = upstream.capacity;
            self.handle_input(Input::UpstreamAnnounced(capacity));
        } else {
            // The next announcement of the upstream retries the fencing.
            self.upstream = None;
        }
    }

    /// Replaces the entries that this agent maintains streams to. An empty
    /// list is ignored, and the entries from the settings file always stay.
    fn set_entries(&mut self, entries: Vec<EntryAddress>) {
        if entries.is_empty() {
            return;
        }
        let mut targets: BTreeSet<String> =
            entries.into_iter().map(|e| e.peer).collect();
        targets.extend(self.boot.entries.iter().cloned());
        self.peers.set_targets(&targets);
    }

    fn handle_net_event(&mut self, event: NetEvent) {
        let now = self.clock.now();
        match event {
            NetEvent::Up {
                conn,
                peer,
                dialled,
            } => {
                self.handle_stream_opened(conn, peer, dialled.as_deref());
            }
            NetEvent::Frame { conn, frame } => {
                self.journal.timeline.observe(frame.stamp);
                self.handle_message(conn, frame.message);
            }
            NetEvent::Down { conn, why } => {
                let disconnected = self.peers.remove_stream(now, conn, &why);
                if let Some(peer) = disconnected.filter(|p| p.worker.is_none())
                {
                    let from = peer.incarnation;
                    self.handle_input(Input::CoordinatorDisconnected { from });
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

    fn handle_stream_opened(
        &mut self,
        conn: ConnId,
        peer: Peer,
        dialled: Option<&str>,
    ) {
        let incarnation = peer.incarnation;
        let is_agent = peer.worker.is_some();
        self.peers.add_stream(conn, peer, dialled);
        self.peers.send(conn, self.heartbeat_message());
        if is_agent {
            self.links.flush(&self.peers, incarnation);
        }
    }

    fn heartbeat_message(&self) -> Message {
        Message::Heartbeat(Heartbeat {
            revision: self.adoption.revision(),
            ..Heartbeat::default()
        })
    }

    fn handle_message(&mut self, conn: ConnId, message: Message) {
        let Some(peer) = self.peers.peer(conn) else {
            return;
        };
        let from = peer.incarnation;
        let worker = peer.worker.as_ref().map(|w| w.name.clone());
        match (message, worker) {
            (Message::Heartbeat(heartbeat), _)
                if self.adoption.is_behind(heartbeat.revision) =>
            {
                self.peers.send(conn, Message::SettingsRequest);
            }
            (Message::SettingsRequest, _) => {
                let record = record::encode(&self.record);
                self.peers.send(conn, Message::Settings(record));
            }
            (Message::Settings(buf), _) => self.adopt_settings(&buf),
            (Message::Entries(entries), None) => {
                // The list of an entry may be older than the list in the
                // store. It therefore only adds entries; only the list from
                // the store removes any.
                for entry in entries {
                    self.peers.add_target(&entry.peer);
                }
            }
            (Message::AgentRequest(request), None) => {
                self.handle_input(Input::Coordinator { from, request });
            }
            (Message::MemberRequest { run, request }, Some(_)) => {
                self.handle_member_request(conn, run, request);
            }
            (Message::MemberReport { run, report }, Some(worker)) => {
                let incarnation = from;
                self.handle_input(Input::Member {
                    run,
                    worker,
                    incarnation,
                    report,
                });
            }
            _ => {}
        }
    }

    fn handle_member_request(
        &mut self,
        conn: ConnId,
        run: Run,
        request: MemberRequest,
    ) {
        // Expire leases first, so that the request is checked against the
        // current state.
        self.handle_input(Input::Tick);
        if self.agent.has_grant_or_refuse(run) {
            self.handle_input(Input::Lead { run, request });
            return;
        }
        if request != MemberRequest::Abort {
            let report = MemberReport::NoGrant;
            self.peers.send(conn, Message::MemberReport { run, report });
        }
    }

    fn adopt_settings(&mut self, buf: &[u8]) {
        let Some(record) = record::decode::<SettingsRecord>(buf) else {
            return;
        };
        let Ok(tree) = Tree::parse(&record.text, "settings") else {
            return;
        };
        if !self.adoption.advance(record.revision) {
            return;
        }
        let detail =
            format!("revision={} change={}", record.revision, record.change);
        self.journal.record_event(Code::SettingsAdopted, detail);
        self.record = record.clone();
        self.view.set(SettingsView {
            tree: Arc::new(tree),
            record,
            known: true,
            draining: self.draining,
        });
        // The next tick informs the peers of the new revision.
        self.next_heartbeat = Duration::ZERO;
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
            known: view.known,
            draining: true,
        });
        self.handle_input(Input::Drain);
    }

    /// Checks all deadlines. Returns `true` once the process has drained.
    fn tick(&mut self) -> bool {
        let now = self.clock.now();
        if let Some(upstream) = self.upstream.as_ref().filter(|u| u.in_process)
        {
            // An upstream in this process sends no announcements of its own.
            let capacity = upstream.capacity;
            self.handle_input(Input::UpstreamAnnounced(capacity));
        } else {
            self.handle_input(Input::Tick);
        }
        self.peers.dial_due_targets(now);
        self.links.close_idle(now, &self.peers);
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + HEARTBEAT_INTERVAL;
            self.peers.send_heartbeats(|_| self.heartbeat_message());
            self.update_gauges();
        }
        let drained = self.agent.has_left() && self.peers.net().is_flushed();
        if drained {
            self.server.stop();
            self.journal.record_event(Code::ProcessStopped, "");
        }
        drained
    }

    fn update_gauges(&self) {
        let metrics = &self.journal.metrics;
        let used = self.agent.used();
        metrics.set_gauge("used_accelerators", used.accelerators as usize);
        metrics.set_gauge("used_slots", used.slots as usize);
        let capacity = self.agent.worker().capacity;
        metrics.set_gauge("accelerators", capacity.accelerators as usize);
        let sent = self.peers.net().bytes_sent();
        metrics
            .set_gauge("peer_bytes_sent", usize::try_from(sent).unwrap_or(0));
    }
}
