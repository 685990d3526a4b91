//! Handles the streams to agents and other entries, and the messages that are
//! received on them.

use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};

use figrill_coordination::message::AgentReport;
use figrill_coordination::{coordinator, entry, term};
use figrill_protocol::message::{Heartbeat, Message, Peer};
use figrill_state::event::Code;
use figrill_state::record::EntryAddress;
use figrill_transport::peer::{ConnId, Event as NetEvent};

use super::super::work::QueuedInput;
use super::{EventLoop, HEARTBEAT_INTERVAL};

/// Returns the address of a connected entry as it is in the list of entries.
fn entry_address(peer: &Peer) -> EntryAddress {
    EntryAddress {
        name: peer.name.clone(),
        peer: peer.address.clone(),
        http: peer.http.clone(),
        incarnation: peer.incarnation,
    }
}

impl EventLoop {
    pub(super) fn handle_net_event(&mut self, event: NetEvent) {
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
                self.handle_stream_closed(conn, &why);
            }
            NetEvent::DialFailed { address, .. } => {
                let now = self.now();
                self.peers.dial_failed(now, &address);
            }
            NetEvent::Refused { why } => {
                self.journal.record_event(Code::PeerRefused, why);
            }
        }
    }

    pub(super) fn handle_stream_opened(
        &mut self,
        conn: ConnId,
        peer: Peer,
        dialled: Option<&str>,
    ) {
        let worker = peer.worker.clone();
        let heartbeat = self.heartbeat_message(&peer);
        let address = entry_address(&peer);
        self.peers.add_stream(conn, peer, dialled);
        self.peers.send(conn, heartbeat);
        if let Some(worker) = worker {
            let entries = Message::Entries(self.known_entries());
            self.peers.send(conn, entries);
            let input = coordinator::Input::AgentUp(worker);
            self.handle_input(QueuedInput::Coordinator(input));
        } else {
            // It may be the next coordinator, which places jobs as soon as
            // its rebuild window ends.
            let message = Message::Entries(vec![address]);
            self.peers.broadcast(&message, |p| p.worker.is_some());
            self.entry_peers_changed();
        }
    }

    /// Returns the entries in the list from the store and those that are
    /// connected, which may have started after the list was read.
    fn known_entries(&self) -> Vec<EntryAddress> {
        let mut entries = self.entries.entries.clone();
        let connected = self.peers.connected();
        for peer in connected.filter(|p| p.worker.is_none()) {
            let address = entry_address(peer);
            if !entries.contains(&address) {
                entries.push(address);
            }
        }
        entries
    }

    pub(super) fn handle_stream_closed(&mut self, conn: ConnId, why: &str) {
        let now = self.now();
        let Some(peer) = self.peers.remove_stream(now, conn, why) else {
            return;
        };
        if let Some(worker) = peer.worker {
            let input = coordinator::Input::AgentDown {
                worker: worker.name,
                incarnation: worker.incarnation,
            };
            self.handle_input(QueuedInput::Coordinator(input));
        } else {
            self.entry_peers_changed();
        }
    }

    /// Informs the entry and the election that the set of connected entries
    /// has changed. The entry with the highest hash is the preferred
    /// coordinator. The hash has no random key, so all entries of a cell
    /// compute the same one, and it contains the cell, so different cells
    /// prefer different entries.
    pub(super) fn entry_peers_changed(&mut self) {
        let entries: BTreeSet<u64> = self
            .peers
            .connected()
            .filter(|p| p.worker.is_none())
            .map(|p| p.incarnation)
            .collect();
        let cell = self.boot.cell.clone();
        let hash = |incarnation: u64| {
            let mut hasher = DefaultHasher::new();
            (&cell, incarnation).hash(&mut hasher);
            hasher.finish()
        };
        let own_hash = hash(self.local_entry.incarnation);
        self.election
            .set_preferred(entries.iter().all(|e| hash(*e) < own_hash));
        self.handle_input(QueuedInput::Entry(entry::Input::Entries(entries)));
        self.with_input_queue(Self::update_followed_coordinator);
    }

    pub(super) fn handle_message(&mut self, conn: ConnId, message: Message) {
        let Some(peer) = self.peers.peer(conn) else {
            return;
        };
        let incarnation = peer.incarnation;
        let worker = peer.worker.as_ref().map(|w| w.name.clone());
        match (message, worker) {
            (Message::Heartbeat(heartbeat), _) => {
                self.handle_heartbeat(conn, heartbeat);
            }
            (Message::SettingsRequest, _) => {
                let record = figrill_state::record::encode(&self.record);
                self.peers.send(conn, Message::Settings(record));
            }
            (Message::Settings(record), _) => {
                if let Some(record) = figrill_state::record::decode(&record) {
                    self.with_input_queue(|this, queue| {
                        this.adopt_settings(record, queue);
                    });
                }
            }
            (Message::AgentReport(report), Some(worker)) => {
                if let AgentReport::Fenced { term } = report {
                    self.handle_input(QueuedInput::Election(
                        term::Input::Fenced(term),
                    ));
                }
                let input = coordinator::Input::Agent {
                    worker,
                    incarnation,
                    report,
                };
                self.handle_input(QueuedInput::Coordinator(input));
            }
            (Message::JobRequest(request), None) => {
                let from = incarnation;
                let input = coordinator::Input::Entry { from, request };
                self.handle_input(QueuedInput::Coordinator(input));
            }
            // Only the coordinator that this entry follows may report the
            // state of a job.
            (Message::JobReport(report), None)
                if self.followed == Some(incarnation) =>
            {
                self.handle_input(QueuedInput::Entry(entry::Input::Report(
                    report,
                )));
            }
            (Message::StandbyJobs(jobs), None) => {
                let from = incarnation;
                self.handle_input(QueuedInput::Entry(
                    entry::Input::JobsDelegated { from, jobs },
                ));
            }
            _ => {}
        }
    }

    /// Requests the peer's settings if they are newer than those in force, and
    /// informs the election if the peer is the coordinator.
    pub(super) fn handle_heartbeat(
        &mut self,
        conn: ConnId,
        heartbeat: Heartbeat,
    ) {
        if self.adoption.is_behind(heartbeat.revision) {
            self.peers.send(conn, Message::SettingsRequest);
        }
        if heartbeat.leading
            && let Some(record) = heartbeat.coordinator
        {
            self.handle_input(QueuedInput::Election(term::Input::Observed(
                record,
            )));
        }
    }

    /// Returns the heartbeat for a peer. Entries inform one another of the
    /// coordinator. The heartbeat for an agent omits it: agents learn of the
    /// coordinator from the coordinator itself, and there are many of them, so
    /// their heartbeat is kept small.
    pub(super) fn heartbeat_message(&self, to: &Peer) -> Message {
        let revision = self.adoption.revision();
        if to.worker.is_some() {
            return Message::Heartbeat(Heartbeat {
                revision,
                ..Heartbeat::default()
            });
        }
        Message::Heartbeat(Heartbeat {
            revision,
            coordinator: self.election.coordinator(),
            leading: self.coordinator.is_some(),
        })
    }

    pub(super) fn send_heartbeats(&mut self) {
        self.next_heartbeat = self.now() + HEARTBEAT_INTERVAL;
        self.peers
            .send_heartbeats(|peer| self.heartbeat_message(peer));
    }
}
