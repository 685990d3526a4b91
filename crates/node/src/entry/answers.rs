//! The JSON bodies of the answers to callers and operators.

use std::collections::BTreeMap;

use figrill_coordination::{coordinator::Summary, entry::Reply};
use figrill_state::{
    digest,
    error::Kind,
    job::{Answer as JobAnswer, JobId, Outcome},
};
use figrill_transport::http::Answer;
use serde::Serialize;
use serde_json::value::RawValue;

use crate::api::{json, not_run_answer};

/// The answer to a caller whose job is done.
#[derive(Serialize)]
struct DoneBody<'a> {
    job: String,
    outcome: &'a str,
    attempt: String,
    digest: String,
    parts: Vec<&'a RawValue>,
}

/// The answer to a caller whose job has failed, or has ended with an unknown
/// outcome.
#[derive(Serialize)]
struct EndedBody<'a> {
    job: String,
    outcome: &'a str,
    reason: Kind,
    error: String,
    #[serde(skip_serializing_if = "str::is_empty")]
    detail: &'a str,
}

/// The answer to a caller whose job has not ended yet.
#[derive(Serialize)]
struct AcceptedBody {
    job: String,
    state: &'static str,
    durable: bool,
    location: String,
}

/// A process of the system.
#[derive(Debug, Serialize)]
pub(super) struct ProcessBody {
    pub(super) name: String,
    pub(super) role: &'static str,
    pub(super) http: String,
    pub(super) peer: String,
}

/// The status of an entry and, if the entry is the coordinator, of its cell.
#[derive(Debug, Serialize)]
pub(super) struct StatusBody {
    pub(super) name: String,
    pub(super) revision: u64,
    pub(super) draining: bool,
    pub(super) coordinator: Option<String>,
    pub(super) term: u64,
    pub(super) leading: bool,
    pub(super) waiting_calls: usize,
    pub(super) agents: usize,
    pub(super) entries: usize,
    /// The failure domains that the settings drain.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(super) drained_domains: Vec<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) cell: Option<CellBody>,
}

/// A cell as its coordinator sees it.
#[derive(Debug, Serialize)]
pub(super) struct CellBody {
    pub(super) workers: usize,
    pub(super) accelerators: u32,
    pub(super) free: u32,
    pub(super) largest_rack_block: u32,
    pub(super) queued: usize,
    pub(super) running: usize,
    pub(super) idle_guarantee: BTreeMap<String, u32>,
}

impl CellBody {
    pub(super) fn new(
        summary: Summary,
        largest_rack_block: u32,
        idle_guarantee: BTreeMap<String, u32>,
    ) -> Self {
        Self {
            workers: summary.workers,
            accelerators: summary.accelerators,
            free: summary.free,
            largest_rack_block,
            queued: summary.queued,
            running: summary.running,
            idle_guarantee,
        }
    }
}

/// Encodes the reply to a caller as an HTTP answer.
pub(super) fn render(reply: &Reply) -> Answer {
    match reply {
        Reply::Outcome { job, outcome } => outcome_answer(*job, outcome),
        Reply::Accepted {
            job,
            running,
            durable,
        } => {
            let location = format!("/v1/jobs/{job}");
            let body = AcceptedBody {
                job: job.to_string(),
                state: if *running { "running" } else { "queued" },
                durable: *durable,
                location: location.clone(),
            };
            Answer {
                location: Some(location),
                ..json(202, &body)
            }
        }
        Reply::Refused { job, kind } => match kind {
            // No job was found, so the answer has no outcome and no job ID.
            Kind::NotFound => crate::api::refusal_answer(*kind, ""),
            _ => not_run_answer(*kind, "", job.map(|j| j.to_string())),
        },
    }
}

fn outcome_answer(job: JobId, outcome: &Outcome) -> Answer {
    match outcome {
        Outcome::Done(answer) => done_answer(job, answer),
        Outcome::NotRun(kind) => {
            not_run_answer(*kind, "", Some(job.to_string()))
        }
        Outcome::Failed(kind, detail) => {
            ended_answer(job, outcome, *kind, detail)
        }
        Outcome::Unknown(kind) => ended_answer(job, outcome, *kind, ""),
    }
}

fn ended_answer(
    job: JobId,
    outcome: &Outcome,
    kind: Kind,
    detail: &str,
) -> Answer {
    let body = EndedBody {
        job: job.to_string(),
        outcome: outcome.name(),
        reason: kind,
        error: kind.to_string(),
        detail,
    };
    json(200, &body)
}

fn done_answer(job: JobId, answer: &JobAnswer) -> Answer {
    let parts: Option<Vec<&RawValue>> = answer
        .parts
        .iter()
        .map(|part| serde_json::from_slice(&part.bytes).ok())
        .collect();
    // Agents reject answers that are not JSON. If one gets through anyway,
    // the job fails, because an incomplete answer must not be returned.
    let Some(parts) = parts else {
        let why = "a part's answer is not JSON";
        let outcome = Outcome::Failed(Kind::PartFailed, why.to_owned());
        return ended_answer(job, &outcome, Kind::PartFailed, why);
    };
    let answers = answer.parts.iter();
    let digest =
        digest::of_parts(answers.map(|p| (p.rank, p.bytes.as_slice())));
    let body = DoneBody {
        job: job.to_string(),
        outcome: "done",
        attempt: answer.attempt.to_string(),
        digest: format!("sha256:{digest}"),
        parts,
    };
    json(200, &body)
}
