//! What operators ask of an entry.

use std::collections::BTreeMap;

use figrill_protocol::message::Peer;
use figrill_state::error::Kind;
use figrill_state::event::Code;
use figrill_transport::http::Responder;

use crate::api::{json, refusal_answer};

use super::super::answers::{CellBody, ProcessRow, StatusBody};
use super::super::store_calls::StoreCall;
use super::{Duty, NewSettings, Question};

impl Duty {
    pub(super) fn ask(&mut self, question: Question, responder: Responder) {
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
    pub(super) fn apply(
        &mut self,
        new: Box<NewSettings>,
        responder: Responder,
    ) {
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
        self.journal
            .record_event(Code::SettingsRefused, "why=shortfall");
        responder.send(refusal_answer(Kind::BadSettings, &detail));
    }

    pub(super) fn redirect(&self) -> figrill_transport::http::Answer {
        let known = self.term.coordinator().map(|r| r.incarnation);
        let http = self
            .peers
            .connected()
            .find(|p| Some(p.incarnation) == known)
            .map(|p| p.http.clone());
        let mut answer = refusal_answer(Kind::NoCoordinator, "");
        if let Some(http) = http {
            answer.status = 307;
            answer.location = Some(format!("http://{http}/v1/settings"));
        }
        answer
    }

    pub(super) fn status(&self) -> StatusBody {
        let known = self.term.coordinator();
        let agents = self
            .peers
            .connected()
            .filter(|p| p.worker.is_some())
            .count();
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
            entries: self.peers.connected().count() - agents + 1,
            cell,
        }
    }

    pub(super) fn processes(&self) -> Vec<ProcessRow> {
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
        let mut rows: Vec<ProcessRow> =
            self.peers.connected().map(row).collect();
        rows.push(row(self.peers.local_peer()));
        rows.sort_by(|a, b| a.name.cmp(&b.name));
        rows
    }
}
