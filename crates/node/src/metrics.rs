//! The metrics of a process in the format of Prometheus, and the journal,
//! which records an event in the timeline and counts it.

use figrill_state::event::{Code, NewEvent, Timeline};
use prometheus::{
    HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

/// The upper bounds of the histogram buckets for times, in seconds.
const SECONDS: [f64; 13] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 1.0, 5.0, 30.0, 300.0,
    3600.0,
];

/// The metrics of one process. Clones share them.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    events: IntCounterVec,
    calls: IntCounterVec,
    gauges: IntGaugeVec,
    times: HistogramVec,
}

impl Metrics {
    /// Returns metrics that are all zero.
    ///
    /// # Panics
    ///
    /// Never panics, because the metric names below are valid and unique.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        let reason = "metric names are valid and unique";
        let events = IntCounterVec::new(
            Opts::new("figrill_events_total", "events by name"),
            &["event"],
        )
        .expect(reason);
        let calls = IntCounterVec::new(
            Opts::new("figrill_calls_total", "calls by kind and result"),
            &["kind", "result"],
        )
        .expect(reason);
        let gauges = IntGaugeVec::new(
            Opts::new("figrill_state", "what the process holds now"),
            &["of"],
        )
        .expect(reason);
        let times = HistogramVec::new(
            HistogramOpts::new("figrill_seconds", "times by kind")
                .buckets(SECONDS.to_vec()),
            &["kind"],
        )
        .expect(reason);
        registry.register(Box::new(events.clone())).expect(reason);
        registry.register(Box::new(calls.clone())).expect(reason);
        registry.register(Box::new(gauges.clone())).expect(reason);
        registry.register(Box::new(times.clone())).expect(reason);
        Self {
            registry,
            events,
            calls,
            gauges,
            times,
        }
    }

    /// Counts an event by its name.
    pub fn count_event(&self, code: Code) {
        self.events.with_label_values(&[code.name()]).inc();
    }

    /// Counts a call by its kind and result.
    pub fn count_call(&self, kind: &str, result: &str) {
        self.calls.with_label_values(&[kind, result]).inc();
    }

    /// Sets the gauge with the given name; a value that does not fit is
    /// clamped.
    pub fn set_gauge(&self, name: &str, value: usize) {
        let value = i64::try_from(value).unwrap_or(i64::MAX);
        self.gauges.with_label_values(&[name]).set(value);
    }

    /// Adds a time to the histogram for its kind.
    pub fn observe_time(&self, kind: &str, time: std::time::Duration) {
        let seconds = time.as_secs_f64();
        self.times.with_label_values(&[kind]).observe(seconds);
    }

    /// Returns all metrics in the Prometheus text format; empty if they cannot
    /// be encoded.
    #[must_use]
    pub fn encode(&self) -> String {
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

/// Records events: in the timeline, which also logs them, and in the metrics.
#[derive(Clone)]
pub struct Journal {
    /// The timeline of the latest events.
    pub timeline: Timeline,
    /// The metrics.
    pub metrics: Metrics,
}

impl Journal {
    /// Records an event.
    pub fn record(&self, event: &NewEvent) {
        self.metrics.count_event(event.code);
        self.timeline.record(event);
    }

    /// Records an event that is not about a job.
    pub fn record_event(&self, code: Code, detail: impl Into<String>) {
        self.record(&NewEvent::new(code, detail));
    }
}
