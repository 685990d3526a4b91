//! What comes of calls of the store.

use std::collections::BTreeSet;
use std::sync::Arc;

use figrill_coordination::{coordinator, entry, term};
use figrill_protocol::message::Message;
use figrill_state::event::Code;
use figrill_state::ledger::ApplyError;
use figrill_state::record::{EntriesRecord, SettingsRecord};
use figrill_state::settings::Tree;
use figrill_transport::http::Responder;

use crate::api::{SettingsView, json, refusal_answer};

use super::super::store_calls::StoreDone;
use super::super::work::{Steps, Work};
use super::Duty;

impl Duty {
    pub(super) fn stored(&mut self, done: StoreDone) {
        self.with_steps(|this, steps| this.take_stored(done, steps));
    }

    pub(super) fn take_stored(&mut self, done: StoreDone, steps: &mut Steps) {
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
                let input = coordinator::Input::OutcomeSaved { job, ok };
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

    pub(super) fn store_is(&mut self, ok: bool) {
        if ok == self.store_ok {
            return;
        }
        self.store_ok = ok;
        let code = if ok {
            Code::StoreBack
        } else {
            Code::StoreFailed
        };
        self.journal.record_event(code, "");
    }

    pub(super) fn applied(
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
                self.journal
                    .record_event(Code::SettingsRefused, format!("why={e}"));
                responder.send(refusal_answer(e.kind(), &e.to_string()));
            }
        }
    }

    /// Adopts settings if their revision is higher than the one in force.
    pub(super) fn offer(&mut self, record: SettingsRecord, steps: &mut Steps) {
        let parsed = Tree::parse(&record.text, "settings");
        let Ok(tree) = parsed else {
            let detail = format!("revision={}", record.revision);
            self.journal.record_event(Code::SettingsRefused, detail);
            return;
        };
        if !self.adoption.offer(record.revision) {
            return;
        }
        let detail =
            format!("revision={} change={}", record.revision, record.change);
        self.journal.record_event(Code::SettingsAdopted, detail);
        self.store.adopted(record.revision);
        self.tree = Arc::new(tree);
        self.record = record;
        self.publish();
        let input = coordinator::Input::Settings(self.tree.clone());
        steps.push(Work::Coordinator(input));
        self.beat();
    }

    pub(super) fn publish(&self) {
        self.view.set(SettingsView {
            tree: self.tree.clone(),
            record: self.record.clone(),
            draining: self.draining.is_some(),
        });
    }

    pub(super) fn entries_are(&mut self, entries: EntriesRecord) {
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
        self.peers.set_targets(&keep);
        let message = Message::Entries(self.entries.entries.clone());
        self.peers.broadcast(&message, |p| p.worker.is_some());
    }
}
