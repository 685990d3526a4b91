//! Optional decisions of the scheduler and the entries, from the `[features]`
//! section of the settings file. They are off unless the file switches them on.

/// The features that a deployment switches on, independently of each other.
#[allow(clippy::struct_excessive_bools)]
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Features {
    /// Orders waiting work, and chooses the runs to preempt, by what a delay
    /// costs callers.
    pub delay_cost: bool,
    /// Places work by the speeds of the workers, as learnt from the progress
    /// of runs.
    pub worker_speeds: bool,
    /// Withholds work from workers that fail what they start, and gives it
    /// back step by step.
    pub worker_health: bool,
    /// Chooses when refused callers are told to return by how long the outage
    /// of the store has lasted and by past outages, and records jobs that may
    /// never run.
    pub retry_outlook: bool,
}

/// A key of the `[features]` section.
struct Key {
    name: &'static str,
    help: &'static str,
    set: fn(&mut Features, bool),
}

const KEYS: &[Key] = &[
    Key {
        name: "delay_cost",
        help: "order and preempt work by what a delay costs callers",
        set: |f, on| f.delay_cost = on,
    },
    Key {
        name: "worker_speeds",
        help: "place work by the learnt speeds of the workers",
        set: |f, on| f.worker_speeds = on,
    },
    Key {
        name: "worker_health",
        help: "withhold work from workers that fail what they start",
        set: |f, on| f.worker_health = on,
    },
    Key {
        name: "retry_outlook",
        help: "choose Retry-After by the length of the store's outages",
        set: |f, on| f.retry_outlook = on,
    },
];

/// The section of the settings file that holds the features.
pub const SECTION: &str = "features";

/// Returns the names of all keys of the section.
pub fn names() -> impl Iterator<Item = &'static str> {
    KEYS.iter().map(|k| k.name)
}

/// Returns the names and short descriptions of all keys of the section.
pub fn help() -> impl Iterator<Item = (&'static str, &'static str)> {
    KEYS.iter().map(|k| (k.name, k.help))
}

impl Features {
    /// Switches the feature with this name on or off. An empty text keeps the
    /// default.
    ///
    /// # Errors
    ///
    /// Returns a message that says what is wrong with the name or the text.
    pub fn set(&mut self, name: &str, text: &str) -> Result<(), String> {
        let Some(key) = KEYS.iter().find(|k| k.name == name) else {
            return Err(format!("no key {name} in [{SECTION}]"));
        };
        match text {
            "" => {}
            "on" => (key.set)(self, true),
            "off" => (key.set)(self, false),
            _ => return Err(format!("{name}: write on or off")),
        }
        Ok(())
    }
}
