//! Handles the results of store calls, and adopts new settings.

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

use super::super::store_calls::StoreResult;
use super::super::work::{InputQueue, QueuedInput};
use super::EventLoop;

impl EventLoop {
    pub(super) fn handle_store_result(&mut self, result: StoreResult) {
        self.with_input_queue(|this, queue| {
            this.apply_store_result(result, queue);
        });
    }

    pub(super) fn apply_store_result(
        &mut self,
        result: StoreResult,
        queue: &mut InputQueue,
    ) {
        match result {
            StoreResult::TermAcquired(result) => {
                self.set_store_available(!matches!(
                    result,
                    Err(term::AcquireError::Unavailable)
                ));
                let result = result.map(|(record, lease)| {
                    self.term_lease = Some(lease);
                    record
                });
                queue.push(QueuedInput::Election(term::Input::Leased(result)));
            }
            StoreResult::TermRenewed(result) => {
                self.set_store_available(
                    result != Err(term::RenewError::Unavailable),
                );
                queue
                    .push(QueuedInput::Election(term::Input::Renewed(result)));
            }
            StoreResult::Claimed { job, result } => {
                let input = entry::Input::Claimed { job, result };
                queue.push(QueuedInput::Entry(input));
            }
            StoreResult::Read { job, result } => {
                queue.push(QueuedInput::Entry(entry::Input::Read {
                    job,
                    result,
                }));
            }
            StoreResult::TakenOver { job, version } => {
                let input = entry::Input::TakenOver { job, version };
                queue.push(QueuedInput::Entry(input));
            }
            StoreResult::DispatchMarked { run, result } => {
                let input = coordinator::Input::DispatchMarked { run, result };
                queue.push(QueuedInput::Coordinator(input));
            }
            StoreResult::OutcomeSaved { job, ok } => {
                let input = coordinator::Input::OutcomeSaved { job, ok };
                queue.push(QueuedInput::Coordinator(input));
            }
            StoreResult::Registered(entries) => {
                self.registering = false;
                if let Some(entries) = entries {
                    self.set_entries(entries);
                }
            }
            StoreResult::SettingsApplied { result, responder } => {
                self.handle_settings_applied(result, responder, queue);
            }
            StoreResult::SettingsRead(Some(record))
            | StoreResult::SettingsChanged(record) => {
                self.adopt_settings(record, queue);
            }
            StoreResult::SettingsRead(None) => {
                self.settings_known = true;
                self.publish_settings_view();
            }
        }
    }

    /// Records whether the store is available, and an event if this has
    /// changed.
    pub(super) fn set_store_available(&mut self, available: bool) {
        if available == self.store_available {
            return;
        }
        self.store_available = available;
        let code = if available {
            Code::StoreBack
        } else {
            Code::StoreFailed
        };
        self.journal.record_event(code, "");
    }

    /// Answers the operator who sent new settings, and adopts them if they
    /// were written to the store.
    pub(super) fn handle_settings_applied(
        &mut self,
        result: Result<SettingsRecord, ApplyError>,
        responder: Responder,
        queue: &mut InputQueue,
    ) {
        match result {
            Ok(record) => {
                responder.send(json(200, &record));
                self.adopt_settings(record, queue);
            }
            Err(e) => {
                self.journal
                    .record_event(Code::SettingsRefused, format!("why={e}"));
                responder.send(refusal_answer(e.kind(), &e.to_string()));
            }
        }
    }

    /// Adopts settings if their revision is higher than the one in force, and
    /// informs the coordinator and all peers of them.
    pub(super) fn adopt_settings(
        &mut self,
        record: SettingsRecord,
        queue: &mut InputQueue,
    ) {
        let parsed = Tree::parse(&record.text, "settings");
        let Ok(tree) = parsed else {
            let detail = format!("revision={}", record.revision);
            self.journal.record_event(Code::SettingsRefused, detail);
            return;
        };
        if !self.adoption.advance(record.revision) {
            return;
        }
        let detail =
            format!("revision={} change={}", record.revision, record.change);
        self.journal.record_event(Code::SettingsAdopted, detail);
        self.store.set_adopted_revision(record.revision);
        self.tree = Arc::new(tree);
        self.record = record;
        self.settings_known = true;
        self.publish_settings_view();
        let input = coordinator::Input::Settings(self.tree.clone());
        queue.push(QueuedInput::Coordinator(input));
        self.send_heartbeats();
    }

    /// Makes the current settings visible to the `api` thread.
    pub(super) fn publish_settings_view(&self) {
        self.view.set(SettingsView {
            tree: self.tree.clone(),
            record: self.record.clone(),
            known: self.settings_known,
            draining: self.draining.is_some(),
        });
    }

    /// Replaces the list of entries. If it has changed, dials the entries in
    /// it and passes it on to all agents.
    pub(super) fn set_entries(&mut self, entries: EntriesRecord) {
        if entries == self.entries {
            return;
        }
        self.entries = entries;
        let mut targets: BTreeSet<String> = self
            .entries
            .entries
            .iter()
            .map(|e| e.peer.clone())
            .collect();
        targets.extend(self.boot.entries.iter().cloned());
        targets.remove(&self.local_entry.peer);
        self.peers.set_targets(&targets);
        let message = Message::Entries(self.entries.entries.clone());
        self.peers.broadcast(&message, |p| p.worker.is_some());
    }
}
