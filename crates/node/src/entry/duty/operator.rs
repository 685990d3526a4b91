//! Handles the requests of operators.

use std::collections::BTreeMap;

use figrill_protocol::message::Peer;
use figrill_state::error::Kind;
use figrill_state::event::Code;
use figrill_transport::http::Responder;

use crate::api::{json, refusal_answer};

use super::super::answers::{CellBody, ProcessBody, StatusBody};
use super::super::store_calls::StoreCall;
use super::{EventLoop, NewSettings, OperatorRequest};

impl EventLoop {
    pub(super) fn handle_operator_request(
        &mut self,
        request: OperatorRequest,
        responder: Responder,
    ) {
        match request {
            OperatorRequest::Status => {
                responder.send(json(200, &self.status()));
            }
            OperatorRequest::Processes => {
                responder.send(json(200, &self.processes()));
            }
            OperatorRequest::Drain => {
                self.drain();
                responder.send(json(202, &self.status()));
            }
            OperatorRequest::Apply(new) => self.apply_settings(new, responder),
        }
    }

    /// Checks that the workers can satisfy the guarantees of the new settings,
    /// then writes the settings to the store. Only the coordinator knows the
    /// workers, so other entries redirect the operator to it.
    pub(super) fn apply_settings(
        &mut self,
        new: Box<NewSettings>,
        responder: Responder,
    ) {
        let Some(coordinator) = &self.coordinator else {
            responder.send(self.redirect_to_coordinator());
            return;
        };
        let shortfalls = coordinator.shortfalls(&new.tree);
        if shortfalls.is_empty() {
            let call = StoreCall::ApplySettings { new, responder };
            self.with_input_queue(|this, queue| {
                this.queue_store_call(call, queue);
            });
            return;
        }
        let descriptions: Vec<String> = shortfalls
            .iter()
            .map(|s| {
                format!(
                    "[workspace/{}] guarantee {}x{}: {} accelerators short",
                    s.workspace, s.shape.0, s.shape.1, s.accelerators
                )
            })
            .collect();
        let workers = coordinator.summary().workers;
        let detail = format!(
            "{}; {workers} workers are announced",
            descriptions.join("; ")
        );
        self.journal
            .record_event(Code::SettingsRefused, "why=shortfall");
        responder.send(refusal_answer(Kind::BadSettings, &detail));
    }

    /// Returns a redirect to the coordinator, or an error if the coordinator
    /// is unknown or not connected.
    pub(super) fn redirect_to_coordinator(
        &self,
    ) -> figrill_transport::http::Answer {
        let coordinator = self.election.coordinator().map(|r| r.incarnation);
        let http = self
            .peers
            .connected()
            .find(|p| Some(p.incarnation) == coordinator)
            .map(|p| p.http.clone());
        let mut answer = refusal_answer(Kind::NoCoordinator, "");
        if let Some(http) = http {
            answer.status = 307;
            answer.location = Some(format!("http://{http}/v1/settings"));
        }
        answer
    }

    pub(super) fn status(&self) -> StatusBody {
        let coordinator = self.election.coordinator();
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
            name: self.local_entry.name.clone(),
            revision: self.adoption.revision(),
            draining: self.draining.is_some(),
            coordinator: coordinator.as_ref().map(|r| r.holder.clone()),
            term: coordinator.map_or(0, |r| r.term),
            leading: self.coordinator.is_some(),
            waiting_calls: self.entry.waiting_calls(),
            agents,
            entries: self.peers.connected().count() - agents + 1,
            drained_domains: self
                .tree
                .drained_domains()
                .iter()
                .map(str::to_owned)
                .collect(),
            cell,
        }
    }

    /// Returns the connected processes and this one, in order of name.
    pub(super) fn processes(&self) -> Vec<ProcessBody> {
        let body = |peer: &Peer| ProcessBody {
            name: peer.name.clone(),
            role: if peer.worker.is_some() {
                "agent"
            } else {
                "entry"
            },
            http: peer.http.clone(),
            peer: peer.address.clone(),
        };
        let mut processes: Vec<ProcessBody> =
            self.peers.connected().map(body).collect();
        processes.push(body(self.peers.local_peer()));
        processes.sort_by(|a, b| a.name.cmp(&b.name));
        processes
    }
}
