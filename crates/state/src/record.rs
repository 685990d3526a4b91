//! The records that entries and coordinators keep in the platform's store,
//! encoded as JSON. Field and variant names are part of the stored format.

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    error::Kind,
    job::{Answer, Attempt, JobId, Outcome, PartAnswer},
};

/// The key of the settings record.
pub const SETTINGS: &str = "figrill/settings";

/// The key of the list of entries.
pub const ENTRIES: &str = "figrill/entries";

/// Returns the key of a cell's coordinator term.
#[must_use]
pub fn term_key(cell: &str) -> String {
    format!("figrill/cell/{cell}/term")
}

/// Returns the store key of the record of an idempotency key within a
/// workspace. It contains only a digest of the caller's key, which may have
/// any characters.
#[must_use]
pub fn idempotency_key(workspace: &str, key: &str) -> String {
    let digest = crate::digest::of_bytes(key.as_bytes());
    format!("figrill/key/{workspace}/{digest}")
}

/// Returns the key of a job's record.
#[must_use]
pub fn job_key(job: JobId) -> String {
    format!("figrill/job/{job}")
}

/// The operators' settings as last accepted.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct SettingsRecord {
    /// Increases by one with each accepted change.
    pub revision: u64,
    /// A unique identifier of the change, so that a repeated request is
    /// recognised as already accepted.
    pub change: String,
    /// Who made the change.
    pub by: String,
    /// When the change was made, in seconds since the Unix epoch.
    pub at_s: u64,
    /// The settings as INI text.
    pub text: String,
    /// Earlier changes without their texts, newest first, at most
    /// [`MAX_PAST_CHANGES`].
    #[serde(default)]
    pub history: Vec<PastChange>,
}

/// An earlier change of the settings.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PastChange {
    /// The revision that the change created.
    pub revision: u64,
    /// The identifier of the change.
    pub change: String,
    /// Who made the change.
    pub by: String,
    /// When the change was made, in seconds since the Unix epoch.
    pub at_s: u64,
}

/// The maximum number of earlier changes that a settings record keeps.
pub const MAX_PAST_CHANGES: usize = 100;

impl SettingsRecord {
    /// Returns the record that replaces this one after a change.
    #[must_use]
    pub fn next(&self, text: &str, change: &str, by: &str, at_s: u64) -> Self {
        let mut history = self.history.clone();
        if self.revision > 0 {
            let past = PastChange {
                revision: self.revision,
                change: self.change.clone(),
                by: self.by.clone(),
                at_s: self.at_s,
            };
            history.insert(0, past);
            history.truncate(MAX_PAST_CHANGES);
        }
        Self {
            revision: self.revision + 1,
            change: change.to_owned(),
            by: by.to_owned(),
            at_s,
            text: text.to_owned(),
            history,
        }
    }
}

/// The addresses of one entry.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct EntryAddress {
    /// The entry's process name.
    pub name: String,
    /// The address for agents and other entries.
    pub peer: String,
    /// The HTTP address for callers and operators.
    pub http: String,
    /// The entry's incarnation: a new number at each start.
    pub incarnation: u64,
}

/// The list of all entries.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct EntriesRecord {
    /// The entries in the order in which they registered.
    pub entries: Vec<EntryAddress>,
}

/// A cell's current term and the coordinator that holds it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TermRecord {
    /// The number of the term, which increases with each new coordinator.
    pub term: u64,
    /// The coordinator's process name.
    pub holder: String,
    /// The coordinator's incarnation.
    pub incarnation: u64,
    /// The coordinator's peer address.
    pub peer: String,
}

/// The progress of a job that has a record in the store.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Progress {
    /// An entry has claimed the job; no part of it can have started.
    Claimed {
        /// The entry's incarnation.
        entry: u64,
    },
    /// A coordinator has dispatched the job; parts of it may have started.
    Dispatched {
        /// The number of the attempt.
        attempt: u64,
        /// The worker whose agent leads the gang.
        lead: String,
        /// The incarnation of that worker's agent.
        incarnation: u64,
    },
    /// The job has ended with this outcome.
    Ended(SavedOutcome),
}

/// The record of a job. It outlives the processes that serve the job and the
/// connection of its caller.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The workspace whose callers may access the job.
    pub workspace: String,
    /// The caller's request; empty once the job has ended.
    pub request: String,
    /// The job's progress.
    pub progress: Progress,
}

/// The record of an idempotency key. It is never changed once written.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct IdempotencyRecord {
    /// The id of the job that was submitted with the key.
    pub job: String,
    /// The digest of that job's request.
    pub body: String,
}

/// An [`Outcome`] in its stored form.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SavedOutcome {
    /// The outcome's name, as in [`Outcome::name`].
    pub outcome: String,
    /// The reason, unless the outcome is `done`.
    pub reason: Option<Kind>,
    /// Details about the reason; empty if there are none.
    #[serde(default)]
    pub detail: String,
    /// The attempt that gave the answer; 0 unless the outcome is `done`.
    #[serde(default)]
    pub attempt: u64,
    /// The answer of each part in rank order. Bytes that are not valid UTF-8
    /// are replaced.
    #[serde(default)]
    pub parts: Vec<String>,
}

impl From<&Outcome> for SavedOutcome {
    fn from(outcome: &Outcome) -> Self {
        let mut saved = Self {
            outcome: outcome.name().to_owned(),
            reason: None,
            detail: String::new(),
            attempt: 0,
            parts: Vec::new(),
        };
        match outcome {
            Outcome::Done(answer) => {
                saved.attempt = answer.attempt.0;
                let text = |p: &PartAnswer| {
                    String::from_utf8_lossy(&p.bytes).into_owned()
                };
                saved.parts = answer.parts.iter().map(text).collect();
            }
            Outcome::NotRun(kind) | Outcome::Unknown(kind) => {
                saved.reason = Some(*kind);
            }
            Outcome::Failed(kind, detail) => {
                saved.reason = Some(*kind);
                saved.detail.clone_from(detail);
            }
        }
        saved
    }
}

impl From<SavedOutcome> for Outcome {
    fn from(saved: SavedOutcome) -> Self {
        let reason = saved.reason.unwrap_or(Kind::OutcomeLost);
        match saved.outcome.as_str() {
            "done" => {
                let parts = (0..)
                    .zip(saved.parts)
                    .map(|(rank, text)| PartAnswer {
                        rank,
                        bytes: text.into_bytes(),
                    })
                    .collect();
                Self::Done(Answer {
                    attempt: Attempt(saved.attempt),
                    parts,
                })
            }
            "not_run" => Self::NotRun(reason),
            "failed" => Self::Failed(reason, saved.detail),
            _ => Self::Unknown(reason),
        }
    }
}

/// Encodes a record as JSON.
pub fn encode(record: &impl Serialize) -> Vec<u8> {
    // Encoding cannot fail: JSON rejects only maps whose keys are neither
    // strings nor numbers, and the records have none.
    serde_json::to_vec(record).unwrap_or_default()
}

/// Decodes a record; `None` if the bytes are not a valid record of this type.
#[must_use]
pub fn decode<T: DeserializeOwned>(buf: &[u8]) -> Option<T> {
    serde_json::from_slice(buf).ok()
}
