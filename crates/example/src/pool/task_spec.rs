//! The payloads of tasks.

use figrill_state::batch::Resources;

/// What the payload of a task asks for.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TaskSpec {
    /// The duration of the work in milliseconds.
    pub duration_ms: u64,
    /// The resources that the task occupies.
    pub resources: Resources,
    /// The number of members of the task's gang; 0 if it is not in a gang.
    pub gang_size: u32,
    /// Whether the task fails once its work is complete.
    pub fails: bool,
    /// Whether the task makes no progress.
    pub hangs: bool,
}

impl TaskSpec {
    /// Parses a payload. Unknown words are ignored. The duration is 100 ms
    /// unless the payload sets it.
    #[must_use]
    pub fn parse(payload: &str) -> Self {
        let mut spec = Self {
            duration_ms: 100,
            ..Self::default()
        };
        for word in payload.split_whitespace() {
            let (name, value) = word.split_once('=').unwrap_or((word, "0"));
            let value: u64 = value.parse().unwrap_or(0);
            match name {
                "ms" => spec.duration_ms = value,
                "cpu" => spec.resources.cpu_milli = value,
                "mem" => spec.resources.memory_mib = value,
                "gpu" => spec.resources.accelerators = value,
                "gang" => spec.gang_size = u32::try_from(value).unwrap_or(0),
                "fail" => spec.fails = true,
                "hang" => spec.hangs = true,
                _ => {}
            }
        }
        spec
    }
}
