//! The records that figrill keeps in the platform's store, as JSON.

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    error::Kind,
    job::{Answer, Attempt, JobId, Outcome, PartAnswer},
};

/// Key of the settings record.
pub const SETTINGS: &str = "figrill/settings";

/// Key of the list of entries.
pub const ENTRIES: &str = "figrill/entries";

/// Key of a cell's coordinator term.
#[must_use]
pub fn term_key(cell: &str) -> String {
    format!("figrill/cell/{cell}/term")
}

/// Key of the record of a caller's key inside a workspace.
#[must_use]
pub fn caller_key(workspace: &str, key: &str) -> String {
    let digest = crate::digest::of_bytes(key.as_bytes());
    format!("figrill/key/{workspace}/{digest}")
}

/// Key of the record of a job that outlives its caller's connection.
#[must_use]
pub fn job_key(job: JobId) -> String {
    format!("figrill/job/{job}")
}

/// The accepted settings.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct SettingsRecord {
    /// Rises by one with each accepted change.
    pub revision: u64,
    /// Names the change, so that its maker finds it again.
    pub change: String,
    /// Who made the change.
    pub by: String,
    /// Seconds since the Unix epoch.
    pub at_s: u64,
    /// The INI text.
    pub text: String,
    /// The changes before this one, newest first, without their texts.
    #[serde(default)]
    pub history: Vec<PastChange>,
}

/// An earlier change of the settings.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PastChange {
    /// Its revision.
    pub revision: u64,
    /// Its name.
    pub change: String,
    /// Who made it.
    pub by: String,
    /// Seconds since the Unix epoch.
    pub at_s: u64,
}

/// The most earlier changes that a settings record keeps.
pub const HISTORY_MAX: usize = 100;

impl SettingsRecord {
    /// The record that follows this one.
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
            history.truncate(HISTORY_MAX);
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

/// One entry process.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct EntryAddress {
    /// The process's name.
    pub name: String,
    /// Where agents and other entries reach it.
    pub peer: String,
    /// Where callers and operators reach it.
    pub http: String,
    /// A fresh number at each start.
    pub incarnation: u64,
}

/// All entries.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct EntriesRecord {
    /// In the order in which they came.
    pub entries: Vec<EntryAddress>,
}

/// Who coordinates a cell.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TermRecord {
    /// Rises with each new holder.
    pub term: u64,
    /// The holder's name.
    pub holder: String,
    /// The holder's incarnation.
    pub incarnation: u64,
    /// Where the holder is reached.
    pub peer: String,
}

/// How far a job with a record has come.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Progress {
    /// An entry has taken it; nothing can have started.
    Claimed {
        /// The entry's incarnation.
        entry: u64,
    },
    /// A coordinator may have started it.
    Dispatched {
        /// The attempt.
        attempt: u64,
        /// The worker of its lead.
        lead: String,
        /// The incarnation of that worker's agent.
        incarnation: u64,
    },
    /// It has ended.
    Ended(SavedOutcome),
}

/// The record of a job that must outlive the processes which serve it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The workspace whose callers may ask for it.
    pub workspace: String,
    /// The caller's request.
    pub request: String,
    /// How far it has come.
    pub progress: Progress,
}

/// The record of a caller's key; it never changes.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct KeyRecord {
    /// The job that the key stands for.
    pub job: String,
    /// Digest of the request's body.
    pub body: String,
}

/// An outcome as the store keeps it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SavedOutcome {
    /// Name of the outcome.
    pub outcome: String,
    /// The reason, unless it is done.
    pub reason: Option<Kind>,
    /// More about the reason.
    #[serde(default)]
    pub detail: String,
    /// The attempt of the answer.
    #[serde(default)]
    pub attempt: u64,
    /// The answer of each part in rank order, if they are text.
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

/// A record as the bytes that the store keeps.
pub fn encode(record: &impl Serialize) -> Vec<u8> {
    // These types have string keys only, so encoding them cannot fail.
    serde_json::to_vec(record).unwrap_or_default()
}

/// A record from the bytes that the store kept; `None` if they are of
/// another kind.
#[must_use]
pub fn decode<T: DeserializeOwned>(buf: &[u8]) -> Option<T> {
    serde_json::from_slice(buf).ok()
}
