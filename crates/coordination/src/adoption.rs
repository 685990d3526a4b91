//! The revision of the settings that a process has in force.
//!
//! The revision is monotonic: a stale copy from the store or from a peer never
//! replaces a newer one.

/// The revision of the settings in force.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AdoptedRevision {
    revision: u64,
}

impl AdoptedRevision {
    /// Creates the state of a process that has not adopted any settings.
    #[must_use]
    pub const fn new() -> Self {
        Self { revision: 0 }
    }

    /// Returns the revision in force, or 0 if none has been adopted.
    #[must_use]
    pub const fn revision(self) -> u64 {
        self.revision
    }

    /// Adopts `revision` if it is higher than the one in force, and returns
    /// whether it was. An equal or lower revision is ignored.
    pub const fn advance(&mut self, revision: u64) -> bool {
        let higher = revision > self.revision;
        if higher {
            self.revision = revision;
        }
        higher
    }

    /// Returns whether `peer_revision`, the revision that a peer has in force,
    /// is newer than the one of this process.
    #[must_use]
    pub const fn is_behind(self, peer_revision: u64) -> bool {
        peer_revision > self.revision
    }
}
