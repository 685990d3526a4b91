//! What a caller sends to submit a job, as JSON.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::job::{Class, Job, JobId, MAX_JOB_BYTES, MAX_PARTS, Shape};

/// The longest caller's key, in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// The longest time that a caller may name, in seconds: 30 days.
const MAX_SECONDS: f64 = 2_592_000.0;

/// A request to run a job.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Submit {
    /// The workspace that pays.
    pub workspace: String,
    /// The service inside it.
    pub service: String,
    /// What the gang needs.
    pub shape: Shape,
    /// Seconds that it is thought to run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub declared_s: Option<f64>,
    /// Seconds from now until it must have ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// How it should be treated.
    #[serde(default)]
    pub class: Class,
    /// Whether it may run again after it may have run.
    #[serde(default = "yes")]
    pub repeatable: bool,
    /// The same key with the same request means the same job.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// The input of each part in rank order.
    pub inputs: Vec<Box<RawValue>>,
    /// Seconds to wait for the outcome before the job's address is given.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub wait_s: Option<f64>,
}

const fn yes() -> bool {
    true
}

impl Submit {
    /// Reads and checks a request.
    ///
    /// # Errors
    ///
    /// What is wrong, naming the field.
    pub fn parse(text: &str) -> Result<Self, String> {
        let request: Self = serde_json::from_str(text).map_err(|e| {
            format!("line {} column {}: {e}", e.line(), e.column())
        })?;
        request.check()?;
        Ok(request)
    }

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

    /// The job that the request asks for.
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
