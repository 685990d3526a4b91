//! Time limits and factors of a deployment, from the `[limits]` section of
//! the settings file. Decisions of the scheduler and of the processes are
//! derived from them, so that the same program fits deployments with other
//! limits.

use std::time::Duration;

/// The maximum factor by which an upstream's clock runs slower than true time.
pub const CLOCK_DRIFT_FACTOR: f64 = 1.02;

/// Added to the expiry of a lease, besides [`Limits::stop_grace`], before its
/// runs count as over: covers the inaccuracy of this process's clock.
const EXPIRY_MARGIN: Duration = Duration::from_millis(400);

/// The limits that a deployment sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// The maximum time from the acceptance of a claim on a workspace's
    /// guarantee until all tasks of its first step run.
    pub claim_start: Duration,
    /// How long a run may continue after its upstream was ordered to stop it.
    pub stop_grace: Duration,
    /// How long an upstream keeps the members of a gang that wait for others.
    pub gang_assembly: Duration,
    /// The maximum time by which one grant extends the lease of a run.
    pub max_lease: Duration,
    /// The maximum time for which a VM is suspended. The clock by which its
    /// upstream measures leases stands still meanwhile.
    pub max_suspension: Duration,
    /// The time that a run needs to resume from a checkpoint.
    pub checkpoint_restore: Duration,
    /// The time between the signal that asks a process to stop and the one
    /// that ends it.
    pub shutdown_grace: Duration,
    /// The number of processors that the process may use.
    pub processor_share: f64,
    /// The factor by which tasks take longer when they run on another rack
    /// than their data or than the rest of their gang.
    pub spread_slowdown: f64,
    /// The maximum time from the request to drain a failure domain until
    /// nothing more starts on its workers. `None` if such requests are not
    /// followed.
    pub domain_drain: Option<Duration>,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            claim_start: Duration::from_millis(2700),
            stop_grace: Duration::from_millis(200),
            gang_assembly: Duration::from_secs(3),
            max_lease: Duration::from_secs(10),
            max_suspension: Duration::from_secs(5),
            checkpoint_restore: Duration::from_millis(250),
            shutdown_grace: Duration::from_secs(6),
            processor_share: 1.0,
            spread_slowdown: 3.0,
            domain_drain: None,
        }
    }
}

/// A key of the `[limits]` section.
struct Key {
    name: &'static str,
    help: &'static str,
    /// The smallest and the largest valid value.
    range: (f64, f64),
    set: fn(&mut Limits, f64),
}

const fn millis(value: f64) -> Duration {
    // The ranges below keep the value within what the cast can represent.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    Duration::from_millis(value as u64)
}

const KEYS: &[Key] = &[
    Key {
        name: "claim_start_ms",
        help: "time limit for a claim on a guarantee to start",
        range: (500.0, 600_000.0),
        set: |l, v| l.claim_start = millis(v),
    },
    Key {
        name: "stop_grace_ms",
        help: "how long a run may continue after it was told to stop",
        range: (0.0, 60_000.0),
        set: |l, v| l.stop_grace = millis(v),
    },
    Key {
        name: "gang_assembly_ms",
        help: "how long an upstream keeps an incomplete gang",
        range: (500.0, 600_000.0),
        set: |l, v| l.gang_assembly = millis(v),
    },
    Key {
        name: "max_lease_ms",
        help: "maximum lease that an upstream grants to a run",
        range: (2000.0, 600_000.0),
        set: |l, v| l.max_lease = millis(v),
    },
    Key {
        name: "max_suspension_ms",
        help: "how long a VM may be suspended, which extends its leases",
        range: (0.0, 600_000.0),
        set: |l, v| l.max_suspension = millis(v),
    },
    Key {
        name: "checkpoint_restore_ms",
        help: "time that a run needs to resume from a checkpoint",
        range: (0.0, 600_000.0),
        set: |l, v| l.checkpoint_restore = millis(v),
    },
    Key {
        name: "shutdown_grace_s",
        help: "time from SIGTERM until the process is killed",
        range: (2.0, 3600.0),
        set: |l, v| l.shutdown_grace = Duration::from_secs_f64(v),
    },
    Key {
        name: "processor_share",
        help: "number of processors that the process may use",
        range: (0.001, 4096.0),
        set: |l, v| l.processor_share = v,
    },
    Key {
        name: "spread_slowdown",
        help: "how much longer tasks take away from their rack",
        range: (1.0, 100.0),
        set: |l, v| l.spread_slowdown = v,
    },
    Key {
        name: "domain_drain_ms",
        help: "time limit from the request to drain a failure domain until nothing starts there; requests are not read if empty",
        // Below it, the view of the requests would be too old for a start
        // before it is read again.
        range: (2500.0, 600_000.0),
        set: |l, v| l.domain_drain = Some(millis(v)),
    },
];

/// The section of the settings file that holds the limits.
pub const SECTION: &str = "limits";

/// Returns the names of all keys of the section.
pub fn names() -> impl Iterator<Item = &'static str> {
    KEYS.iter().map(|k| k.name)
}

/// Returns the names and short descriptions of all keys of the section.
pub fn help() -> impl Iterator<Item = (&'static str, &'static str)> {
    KEYS.iter().map(|k| (k.name, k.help))
}

impl Limits {
    /// Sets the limit with this name from its text. An empty text keeps the
    /// default, because a platform may not state all limits.
    ///
    /// # Errors
    ///
    /// Returns a message that says what is wrong with the name or the text.
    pub fn set(&mut self, name: &str, text: &str) -> Result<(), String> {
        let Some(key) = KEYS.iter().find(|k| k.name == name) else {
            return Err(format!("no key {name} in [{SECTION}]"));
        };
        if text.is_empty() {
            return Ok(());
        }
        let (min, max) = key.range;
        let value = text.parse::<f64>().ok();
        match value.filter(|v| (min..=max).contains(v)) {
            Some(value) => (key.set)(self, value),
            None => {
                return Err(format!(
                    "{name}: write a number from {min} to {max}"
                ));
            }
        }
        Ok(())
    }

    /// Returns the time after which all runs under a lease of `duration` have
    /// certainly ended if nothing was heard of the upstream meanwhile.
    ///
    /// The upstream measures the lease by a clock that may be slow, and that
    /// stands still while its VM is suspended. Silence does not tell a
    /// suspended VM from one that is cut off.
    #[must_use]
    pub fn expiry_after_silence(&self, duration: Duration) -> Duration {
        duration.mul_f64(CLOCK_DRIFT_FACTOR)
            + self.max_suspension
            + self.stop_grace
            + EXPIRY_MARGIN
    }

    /// Checks the limits against each other.
    ///
    /// # Errors
    ///
    /// Returns a message that names the limits that contradict each other.
    pub fn check(&self) -> Result<(), String> {
        if self.stop_grace >= self.claim_start {
            return Err(
                "stop_grace_ms must be less than claim_start_ms: a claim \
                 starts after the runs in its way have stopped"
                    .to_owned(),
            );
        }
        Ok(())
    }
}
