//! What one input of the deciding thread leads to, step by step.

use std::collections::VecDeque;

use figrill_coordination::{coordinator, entry, term};

/// One step that is still to be taken.
pub(super) enum Work {
    /// An input for the entry's decisions.
    Entry(entry::Input),
    /// An input for the coordinator's decisions, if there is one.
    Coordinator(coordinator::Input),
    /// An input for the decision who coordinates.
    Term(term::Input),
}

/// Steps in the order in which they are taken.
#[derive(Default)]
pub(super) struct Steps(VecDeque<Work>);

impl Steps {
    pub(super) fn push(&mut self, work: Work) {
        self.0.push_back(work);
    }

    pub(super) fn next(&mut self) -> Option<Work> {
        self.0.pop_front()
    }
}
