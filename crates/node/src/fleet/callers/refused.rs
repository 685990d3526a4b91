//! Submissions that are refused and may be repeated: when the caller is told
//! to do so, and what the log says of it.

use std::{fmt, time::Duration};

use figrill_coordination::{
    outages::Outages,
    retry_after::{Refusal, RefusedSubmission},
};
use figrill_state::{batch::BatchId, callers::Request, features::Features};

use super::{DEFAULT_REQUEST_TIMEOUT, RETRY_AFTER_S};

/// The delay, in seconds, after which a caller is told to retry a submission
/// while the store is unavailable. It is longer because callers retry only a
/// few times, and outages last up to ten seconds.
const OUTAGE_RETRY_AFTER_S: u32 = 3;

/// Decides when refused callers are told to return.
#[derive(Clone, Copy, Debug)]
pub(in crate::fleet) struct RefusalPolicy {
    /// Whether the length of the outage is taken into account.
    by_outage: bool,
}

/// A refused submission, with the inputs of the decision.
#[derive(Clone, Copy, Debug)]
pub(super) struct Refused {
    /// The delay, in seconds, after which the caller is told to return.
    pub(super) retry_after_s: u32,
    refusal: Refusal,
    outage: Option<Duration>,
    past_outages: usize,
    time_limit: Duration,
}

impl RefusalPolicy {
    pub(in crate::fleet) const fn new(features: Features) -> Self {
        Self {
            by_outage: features.retry_outlook,
        }
    }

    /// Decides when the caller of a refused request is told to return.
    pub(super) fn refuse(
        self,
        refusal: Refusal,
        outages: &Outages,
        now: Duration,
        request: &Request,
        job: Option<BatchId>,
    ) -> Refused {
        let outage = outages.elapsed(now);
        let past_outages: Vec<_> = outages.lengths().collect();
        let time_limit = request.timeout.unwrap_or(DEFAULT_REQUEST_TIMEOUT);
        let submission = RefusedSubmission {
            refusal,
            outage,
            past_outages: &past_outages,
            time_limit,
            job: job.or_else(|| job_in(&request.path)).map_or(0, |id| id.0),
        };
        let retry_after_s = match refusal {
            _ if self.by_outage => submission.retry_after_s(),
            Refusal::StoreUnavailable => OUTAGE_RETRY_AFTER_S,
            _ => RETRY_AFTER_S,
        };
        Refused {
            retry_after_s,
            refusal,
            outage,
            past_outages: past_outages.len(),
            time_limit,
        }
    }
}

/// Returns the id of the job that a path ends with, if there is one. It serves
/// while the prefix of the queue is not known.
fn job_in(path: &str) -> Option<BatchId> {
    path.rsplit('/').next().and_then(BatchId::parse)
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "retry_after={} refusal={:?} limit_ms={}",
            self.retry_after_s,
            self.refusal,
            self.time_limit.as_millis()
        )?;
        if let Some(outage) = self.outage {
            write!(f, " outage_ms={}", outage.as_millis())?;
        }
        write!(f, " past_outages={}", self.past_outages)
    }
}
