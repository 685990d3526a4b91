//! The JSON request with which a caller submits a job to figrill's own HTTP
//! API.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::job::{Class, Job, JobId, MAX_JOB_BYTES, MAX_PARTS, Shape};

/// The maximum length of a caller's key, in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// The maximum duration that a caller may specify: 30 days, in seconds.
const MAX_SECONDS: f64 = 2_592_000.0;

/// A request to run a job.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Submit {
    /// The workspace that the job is charged to.
    pub workspace: String,
    /// The service within the workspace.
    pub service: String,
    /// The resources that the gang needs.
    pub shape: Shape,
    /// The expected run time in seconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub declared_s: Option<f64>,
    /// The time from submission by which the job must have finished, in
    /// seconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// The scheduling class.
    #[serde(default)]
    pub class: Class,
    /// Whether the job may be run again if an earlier attempt may have run.
    #[serde(default = "yes")]
    pub repeatable: bool,
    /// An idempotency key: the same key with the same request denotes the same
    /// job.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// The input of each part, in rank order.
    pub inputs: Vec<Box<RawValue>>,
    /// The time to wait for the outcome, in seconds. If the job has not ended
    /// by then, the answer gives its URL instead.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub wait_s: Option<f64>,
}

const fn yes() -> bool {
    true
}

impl Submit {
    /// Parses and validates a request.
    ///
    /// # Errors
    ///
    /// Returns a message that names the field or position and says what is
    /// wrong.
    pub fn parse(text: &str) -> Result<Self, String> {
        let request: Self = serde_json::from_str(text).map_err(|e| {
            format!("line {} column {}: {e}", e.line(), e.column())
        })?;
        request.check()?;
        Ok(request)
    }

    /// Checks the limits that the types do not express.
    fn check(&self) -> Result<(), String> {
        let parts = self.shape.parts;
        if parts == 0 || parts > MAX_PARTS {
            return Err(format!("shape.parts: give 1 to {MAX_PARTS}"));
        }
        if self.inputs.len() != parts as usize {
            return Err(format!(
                "inputs: give one for each of the {parts} parts, not {}",
                self.inputs.len()
            ));
        }
        if self.shape.accelerators > 1024 {
            return Err("shape.accelerators: give 0 to 1024".to_owned());
        }
        if self.shape.memory_mib > 16_000_000 {
            return Err("shape.memory_mib: give 0 to 16000000".to_owned());
        }
        let times = [
            ("declared_s", self.declared_s),
            ("deadline_s", self.deadline_s),
            ("wait_s", self.wait_s),
        ];
        for (name, value) in times {
            let in_range = |s: f64| (0.0..=MAX_SECONDS).contains(&s);
            if value.is_some_and(|s| !in_range(s)) {
                return Err(format!(
                    "{name}: give 0 to {MAX_SECONDS} seconds"
                ));
            }
        }
        let key = self.key.as_deref().unwrap_or("-");
        if key.is_empty() || key.len() > MAX_KEY_BYTES {
            return Err(format!("key: give 1 to {MAX_KEY_BYTES} bytes"));
        }
        let bytes: usize = self.inputs.iter().map(|i| i.get().len()).sum();
        if bytes > MAX_JOB_BYTES {
            return Err(format!(
                "inputs: at most {MAX_JOB_BYTES} bytes together"
            ));
        }
        Ok(())
    }

    /// Returns the job that the request describes, with the given id.
    #[must_use]
    pub fn job(&self, id: JobId) -> Job {
        let seconds = |s: Option<f64>| s.map(Duration::from_secs_f64);
        let inputs = self.inputs.iter();
        Job {
            id,
            workspace: self.workspace.clone(),
            service: self.service.clone(),
            shape: self.shape,
            declared: seconds(self.declared_s),
            deadline: seconds(self.deadline_s),
            class: self.class,
            repeatable: self.repeatable,
            record: None,
            inputs: inputs.map(|i| i.get().as_bytes().to_vec()).collect(),
        }
    }
}
