//! The commands to the event loop of an entry from other threads.

use std::sync::Arc;

use figrill_coordination::entry::{self, CallId};
use figrill_state::{error::Kind, settings::Tree};
use figrill_transport::http::Responder;

use crate::api::{not_run_answer, refusal_answer};

/// New settings that have been parsed and validated.
pub(in crate::entry) struct NewSettings {
    pub(in crate::entry) tree: Arc<Tree>,
    pub(in crate::entry) text: String,
    /// The revision that the new settings are based on.
    pub(in crate::entry) base: u64,
    /// The name that the operator gave to the change.
    pub(in crate::entry) change: String,
    /// The name of the token that sent the change.
    pub(in crate::entry) by: String,
}

/// A request of an operator.
pub(in crate::entry) enum OperatorRequest {
    /// Return the status of this entry.
    Status,
    /// Return the processes that this entry is connected to, and itself.
    Processes,
    /// Drain this entry.
    Drain,
    /// Write new settings to the store.
    Apply(Box<NewSettings>),
}

/// A command to the event loop from another thread.
pub(in crate::entry) enum Command {
    /// A request of a caller, which is answered through the entry.
    CallerRequest {
        call: CallId,
        input: entry::Input,
        responder: Responder,
    },
    /// The caller has closed the connection before the answer.
    CallerDisconnected { call: CallId },
    /// A request of an operator.
    Operator {
        request: OperatorRequest,
        responder: Responder,
    },
    /// Drain the process.
    Drain,
}

impl Command {
    /// Answers a command with an error because the event loop has ended.
    pub(in crate::entry) fn refuse(self, kind: Kind) {
        match self {
            Self::CallerRequest {
                input, responder, ..
            } => {
                // Only a submission is known not to have run. Nothing is
                // known here about the jobs of other requests.
                responder.send(match input {
                    entry::Input::Submit { .. } => {
                        not_run_answer(kind, "", None)
                    }
                    _ => refusal_answer(kind, ""),
                });
            }
            Self::Operator { responder, .. } => {
                responder.send(refusal_answer(kind, ""));
            }
            Self::CallerDisconnected { .. } | Self::Drain => {}
        }
    }
}
