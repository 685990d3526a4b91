//! Which revision of the settings a process has in force: it only rises.

/// The revision in force.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AdoptedRevision {
    revision: u64,
}

impl AdoptedRevision {
    /// Nothing adopted yet.
    #[must_use]
    pub const fn new() -> Self {
        Self { revision: 0 }
    }

    /// The revision in force; 0 before the first.
    #[must_use]
    pub const fn revision(self) -> u64 {
        self.revision
    }

    /// Adopts `revision` if it is higher than the one in force; a store or
    /// a peer that answers with an older one changes nothing.
    pub const fn advance(&mut self, revision: u64) -> bool {
        let higher = revision > self.revision;
        if higher {
            self.revision = revision;
        }
        higher
    }

    /// Whether a peer that has `theirs` in force should be asked for it.
    #[must_use]
    pub const fn is_behind(self, theirs: u64) -> bool {
        theirs > self.revision
    }
}
