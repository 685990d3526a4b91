//! The clock interface. Code that takes the time from a [`Clock`] can run on a
//! virtual one in tests and benchmarks.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant, SystemTime},
};

/// A source of time.
pub trait Clock: Send + Sync {
    /// Returns the time since an arbitrary fixed point. It never decreases.
    fn now(&self) -> Duration;

    /// Returns the wall-clock time, for records that are read by people and
    /// by other processes.
    fn wall(&self) -> SystemTime;
}

/// The machine's monotonic and wall clocks. The monotonic clock does not
/// advance while the machine is suspended.
#[derive(Debug)]
pub struct SystemClock {
    start: Instant,
}

impl SystemClock {
    /// Returns a clock whose monotonic time starts at zero now.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// The machine's clocks, with a monotonic clock that also advances while the
/// machine is suspended (`CLOCK_BOOTTIME`). A lease in the store also expires
/// during a suspension of its holder, so a holder that measured the lease with
/// [`SystemClock`] could take an expired lease for a valid one.
#[derive(Debug, Default)]
pub struct BoottimeClock;

impl Clock for BoottimeClock {
    fn now(&self) -> Duration {
        let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        Duration::new(
            u64::try_from(now.tv_sec).unwrap_or(0),
            u32::try_from(now.tv_nsec).unwrap_or(0),
        )
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A virtual clock that only [`advance`](Self::advance) moves. Clones share
/// the same time.
#[derive(Debug, Default, Clone)]
pub struct ManualClock {
    now: Arc<Mutex<Duration>>,
}

impl ManualClock {
    /// Advances the clock by `step`.
    pub fn advance(&self, step: Duration) {
        *self.now.lock().unwrap_or_else(PoisonError::into_inner) += step;
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Duration {
        *self.now.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.now()
    }
}
