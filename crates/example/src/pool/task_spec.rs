//! The payloads of tasks.

use figrill_state::batch::{Resources, TaskId};

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
    /// The percentage of runs that fail by the fault of the task, at any point
    /// after the first twentieth of their work.
    pub fault_percent: u64,
    /// The index of the task of the step whose runs all fail by its own fault,
    /// after 40 % of their work.
    pub faulty_index: Option<u32>,
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
                "fault" => spec.fault_percent = value,
                "faulty" => spec.faulty_index = u32::try_from(value).ok(),
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

    /// Returns whether a run fails by the fault of the task once it has done
    /// `progress_ms` of its work. The same run always does.
    #[must_use]
    pub fn has_fault(&self, task: TaskId, run: u32, progress_ms: u64) -> bool {
        let seed = task.job.0 << 32
            ^ u64::from(task.step) << 24
            ^ u64::from(task.index) << 8
            ^ u64::from(run);
        let draw = mix(seed);
        let fault_at_percent = 5 + draw / 100 % 95;
        let is_past =
            |percent| progress_ms * 100 >= self.duration_ms * percent;
        draw % 100 < self.fault_percent && is_past(fault_at_percent)
            || self.faulty_index == Some(task.index) && is_past(40)
    }
}

/// Returns a number that looks random, from a seed (`SplitMix64`).
const fn mix(seed: u64) -> u64 {
    let z = seed.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}
