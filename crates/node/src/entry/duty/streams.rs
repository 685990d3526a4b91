//! Streams to agents and other entries, and what they bring.

use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};

use figrill_coordination::message::AgentReport;
use figrill_coordination::{coordinator, entry, term};
use figrill_protocol::message::{Heartbeat, Message, Peer};
use figrill_state::event::Code;
use figrill_transport::peer::{ConnId, Event as NetEvent};

use super::super::work::Work;
use super::{BEAT_EVERY, Duty};

impl Duty {
    pub(super) fn net(&mut self, event: NetEvent) {
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
                self.journal.record_event(Code::PeerRefused, why);
            }
        }
    }

    pub(super) fn up(
        &mut self,
        conn: ConnId,
        peer: Peer,
        dialled: Option<&str>,
    ) {
        let worker = peer.worker.clone();
        let beat = self.beat_message(&peer);
        self.peers.add_stream(conn, peer, dialled);
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

    pub(super) fn down(&mut self, conn: ConnId, why: &str) {
        let now = self.now();
        let Some(peer) = self.peers.remove_stream(now, conn, why) else {
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

    pub(super) fn entry_peers_changed(&mut self) {
        let entries: BTreeSet<u64> = self
            .peers
            .connected()
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

    pub(super) fn message(&mut self, conn: ConnId, message: Message) {
        let Some(peer) = self.peers.peer(conn) else {
            return;
        };
        let incarnation = peer.incarnation;
        let worker = peer.worker.as_ref().map(|w| w.name.clone());
        match (message, worker) {
            (Message::Heartbeat(beat), _) => self.beat_from(conn, beat),
            (Message::SettingsRequest, _) => {
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
            (Message::StandbyJobs(jobs), None) => {
                let of = incarnation;
                self.step(Work::Entry(entry::Input::Wards { of, jobs }));
            }
            _ => {}
        }
    }

    pub(super) fn beat_from(&mut self, conn: ConnId, beat: Heartbeat) {
        if self.adoption.is_behind(beat.revision) {
            self.peers.send(conn, Message::SettingsRequest);
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
    pub(super) fn beat_message(&self, to: &Peer) -> Message {
        let revision = self.adoption.revision();
        if to.worker.is_some() {
            return Message::Heartbeat(Heartbeat {
                revision,
                ..Heartbeat::default()
            });
        }
        Message::Heartbeat(Heartbeat {
            revision,
            coordinator: self.term.coordinator(),
            leading: self.coordinator.is_some(),
        })
    }

    pub(super) fn beat(&mut self) {
        self.next_beat = self.now() + BEAT_EVERY;
        self.peers.send_heartbeats(|peer| self.beat_message(peer));
    }
}
