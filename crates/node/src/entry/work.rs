//! The queue of inputs that the event loop has yet to handle. Handling one
//! input can produce more inputs for any of the state machines.

use std::collections::VecDeque;

use figrill_coordination::{coordinator, entry, term};

/// An input for one of the state machines of an entry process.
pub(super) enum QueuedInput {
    /// An input for the entry.
    Entry(entry::Input),
    /// An input for the coordinator; ignored if this process is not the
    /// coordinator.
    Coordinator(coordinator::Input),
    /// An input for the election of the coordinator.
    Election(term::Input),
}

/// A first-in, first-out queue of inputs.
#[derive(Default)]
pub(super) struct InputQueue(VecDeque<QueuedInput>);

impl InputQueue {
    pub(super) fn push(&mut self, input: QueuedInput) {
        self.0.push_back(input);
    }

    pub(super) fn pop(&mut self) -> Option<QueuedInput> {
        self.0.pop_front()
    }
}
