//! The rate of progress of one run, measured in windows of time.

use std::time::Duration;

use super::belief::Belief;

/// The minimum duration of a window.
const MIN_WINDOW: Duration = Duration::from_millis(390);

/// The maximum duration of a window.
const MAX_WINDOW: Duration = Duration::from_millis(2500);

/// The progress, in percent, that is expected or made in a window that is
/// precise enough. Progress is reported in whole percent.
const MIN_WINDOW_PERCENT: f64 = 4.0;

/// The error of a difference of two reported percentages.
const PERCENT_ERROR: f64 = 0.7;

/// The least progress that a window counts as. Reported progress is rounded
/// down, so a difference of zero may hide some.
const MIN_PROGRESS_PERCENT: f64 = 0.5;

/// The most that a window may have progressed beyond what is reported.
const MAX_HIDDEN_PERCENT: f64 = 0.9;

/// The progress, in percent, from which nothing is measured: a member of a
/// gang that has done its share waits for the others.
const NEARLY_DONE_PERCENT: u32 = 99;

/// Progress, in percent, over a time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Gain {
    pub(super) percent: f64,
    elapsed_s: f64,
}

impl Gain {
    /// Returns the natural logarithm of the rate in percent per second.
    pub(super) fn ln_rate(&self) -> f64 {
        (self.percent.max(MIN_PROGRESS_PERCENT) / self.elapsed_s).ln()
    }

    /// Returns the highest rate that the reported progress admits.
    pub(super) fn max_ln_rate(&self) -> f64 {
        ((self.percent + MAX_HIDDEN_PERCENT) / self.elapsed_s).ln()
    }

    /// Returns the variance of [`Self::ln_rate`].
    pub(super) fn variance(&self) -> f64 {
        (PERCENT_ERROR / self.percent.max(MIN_PROGRESS_PERCENT)).powi(2)
    }

    fn add(&mut self, other: Self) {
        self.percent += other.percent;
        self.elapsed_s += other.elapsed_s;
    }
}

/// The rate of a run.
#[derive(Debug)]
pub(super) struct RunRate {
    pub(super) agent: String,
    pub(super) run: u32,
    /// What was known of the worker before the run.
    pub(super) base: Belief,
    /// The progress when the run was first listed, in percent.
    initial: u32,
    /// The start of the current window: the upstream's clock in milliseconds,
    /// and the progress in percent.
    start: Option<(u64, u32)>,
    /// The sum of the windows in which the run was not slow.
    pub(super) steady: Gain,
    /// The latest window, and when it ended.
    pub(super) latest: Option<(Gain, Duration)>,
    /// The number of windows since the run became slow.
    pub(super) slow_windows: u32,
}

impl RunRate {
    pub(super) fn new(
        agent: &str,
        run: u32,
        base: Belief,
        percent: u32,
    ) -> Self {
        Self {
            agent: agent.to_owned(),
            run,
            base,
            initial: percent,
            start: None,
            steady: Gain::default(),
            latest: None,
            slow_windows: 0,
        }
    }

    /// Adds a reported progress. Returns the window that it completes. The
    /// first window begins once the run has progressed: until then it may
    /// load its checkpoint or wait for the other members of its gang.
    ///
    /// `nominal` is the logarithm of the rate that the estimate implies.
    pub(super) fn advance(
        &mut self,
        clock_ms: u64,
        percent: u32,
        nominal: f64,
    ) -> Option<Gain> {
        if percent >= NEARLY_DONE_PERCENT {
            return None;
        }
        let Some((start_ms, start_percent)) = self.start else {
            if percent > self.initial {
                self.start = Some((clock_ms, percent));
            }
            return None;
        };
        let elapsed = Duration::from_millis(clock_ms.saturating_sub(start_ms));
        let elapsed_s = elapsed.as_secs_f64();
        let gained = f64::from(percent.saturating_sub(start_percent));
        let expected = self.steady_rate().unwrap_or(nominal).exp() * elapsed_s;
        let is_precise = gained.max(expected) >= MIN_WINDOW_PERCENT;
        if elapsed < MIN_WINDOW || !is_precise && elapsed < MAX_WINDOW {
            return None;
        }
        self.start = Some((clock_ms, percent));
        Some(Gain {
            percent: gained,
            elapsed_s,
        })
    }

    /// Records a window and whether the run was slow in it.
    pub(super) fn record(&mut self, now: Duration, window: Gain, slow: bool) {
        self.latest = Some((window, now));
        if slow {
            self.slow_windows += 1;
        } else {
            self.slow_windows = 0;
            self.steady.add(window);
        }
    }

    /// Returns the logarithm of the rate while the run was not slow.
    pub(super) fn steady_rate(&self) -> Option<f64> {
        let is_precise = self.steady.percent >= MIN_WINDOW_PERCENT;
        is_precise.then(|| self.steady.ln_rate())
    }

    /// Returns the rate by which other runs of the step are judged: the steady
    /// one, or the latest one if there is none.
    pub(super) fn compared(&self) -> Option<Gain> {
        let is_steady = self.steady.percent >= MIN_WINDOW_PERCENT;
        let latest = self.latest.map(|(window, _)| window);
        if is_steady { Some(self.steady) } else { latest }
    }
}
