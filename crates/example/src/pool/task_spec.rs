//! The payloads of tasks.

use figrill_state::batch::Resources;

/// The factor by which a straggler takes longer.
const STRAGGLER_FACTOR: u64 = 7;

/// The number of steps between the usual duration of a task and the longest
/// one.
const VARIATION_LEVELS: u64 = 5;

/// The steps between the durations of two consecutive tasks.
const VARIATION_STRIDE: u64 = 4;

/// What the payload of a task asks for.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TaskSpec {
    /// The duration of the work in milliseconds.
    pub duration_ms: u64,
    /// The resources that the task occupies.
    pub resources: Resources,
    /// The number of members of the task's gang; 0 if it is not in a gang.
    pub gang_size: u32,
    /// The variation of the durations of the tasks of one step, in percent.
    pub variation_percent: u64,
    /// The index of the task that takes seven times as long, counted from 1;
    /// 0 if there is none.
    pub straggler: u64,
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
                "vary" => spec.variation_percent = value.min(100),
                "straggler" => spec.straggler = value,
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

    /// Parses the payload of a step and returns what its task with this index
    /// asks for. The index determines the variation of its duration.
    #[must_use]
    pub fn of_task(payload: &str, index: u32) -> Self {
        let mut spec = Self::parse(payload);
        let index = u64::from(index);
        let position = index * VARIATION_STRIDE % (2 * VARIATION_LEVELS + 1);
        let shift = spec.variation_percent * position / VARIATION_LEVELS;
        let percent = 100 + shift - spec.variation_percent;
        spec.duration_ms = spec.duration_ms * percent / 100;
        if spec.straggler == index + 1 {
            spec.duration_ms *= STRAGGLER_FACTOR;
        }
        spec
    }
}
