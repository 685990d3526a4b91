//! Numbers for `prometheus`.

use figrill_state::event::{Code, NewEvent, Timeline};
use prometheus::{
    HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

/// Upper ends of the buckets for times, in seconds.
const SECONDS: [f64; 13] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 1.0, 5.0, 30.0, 300.0,
    3600.0,
];

/// The numbers of one process; clones share them.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    events: IntCounterVec,
    calls: IntCounterVec,
    gauges: IntGaugeVec,
    times: HistogramVec,
}

impl Metrics {
    /// All numbers at zero.
    ///
    /// # Panics
    ///
    /// Never: the names below are valid and differ.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        let valid = "the names of metrics are valid";
        let events = IntCounterVec::new(
            Opts::new("figrill_events_total", "events by name"),
            &["event"],
        )
        .expect(valid);
        let calls = IntCounterVec::new(
            Opts::new("figrill_calls_total", "calls by kind and result"),
            &["kind", "result"],
        )
        .expect(valid);
        let gauges = IntGaugeVec::new(
            Opts::new("figrill_state", "what the process holds now"),
            &["of"],
        )
        .expect(valid);
        let times = HistogramVec::new(
            HistogramOpts::new("figrill_seconds", "times by kind")
                .buckets(SECONDS.to_vec()),
            &["kind"],
        )
        .expect(valid);
        registry.register(Box::new(events.clone())).expect(valid);
        registry.register(Box::new(calls.clone())).expect(valid);
        registry.register(Box::new(gauges.clone())).expect(valid);
        registry.register(Box::new(times.clone())).expect(valid);
        Self {
            registry,
            events,
            calls,
            gauges,
            times,
        }
    }

    /// Counts an event.
    pub fn event(&self, code: Code) {
        self.events.with_label_values(&[code.name()]).inc();
    }

    /// Counts a call of a kind by its result.
    pub fn call(&self, kind: &str, result: &str) {
        self.calls.with_label_values(&[kind, result]).inc();
    }

    /// Sets what the process holds of something.
    pub fn hold(&self, of: &str, value: usize) {
        let value = i64::try_from(value).unwrap_or(i64::MAX);
        self.gauges.with_label_values(&[of]).set(value);
    }

    /// Counts a time of a kind.
    pub fn time(&self, kind: &str, time: std::time::Duration) {
        let seconds = time.as_secs_f64();
        self.times.with_label_values(&[kind]).observe(seconds);
    }

    /// All numbers as text.
    #[must_use]
    pub fn text(&self) -> String {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_default()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

/// Where a thread notes what happens: the time line, the log and a count.
#[derive(Clone)]
pub struct Journal {
    /// The time line.
    pub timeline: Timeline,
    /// The counts.
    pub metrics: Metrics,
}

impl Journal {
    /// Notes an event.
    pub fn note(&self, note: &NewEvent) {
        self.metrics.event(note.code);
        self.timeline.record(note);
    }

    /// Notes an event without a job.
    pub fn say(&self, code: Code, detail: impl Into<String>) {
        self.note(&NewEvent::new(code, detail));
    }
}
