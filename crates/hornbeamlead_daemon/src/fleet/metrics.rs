//! Counters and histograms of a process, served as text.

use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry,
    TextEncoder,
};
use std::time::Duration;

/// Bounds of the latency buckets, in seconds: from a call on the same host to a caller's deadline.
const LATENCY_BUCKETS: [f64; 11] = [
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0,
];

/// Metrics of a process.
#[derive(Clone)]
pub(super) struct FleetMetrics {
    registry: Registry,
    events: IntCounterVec,
    calls: HistogramVec,
    states: IntGaugeVec,
}

// A panic between two updates leaves each counter whole.
impl std::panic::UnwindSafe for FleetMetrics {}
impl std::panic::RefUnwindSafe for FleetMetrics {}

impl FleetMetrics {
    /// Makes metrics at zero.
    ///
    /// # Panics
    /// Never: the names are constant and distinct.
    pub(super) fn new() -> Self {
        let events = Opts::new("hornbeamlead_events_total", "Events by kind");
        let events = IntCounterVec::new(events, &["event"]);
        let calls = HistogramOpts::new("hornbeamlead_call_seconds", "Time of calls by kind");
        let calls = HistogramVec::new(calls.buckets(LATENCY_BUCKETS.to_vec()), &["call"]);
        let states = Opts::new("hornbeamlead_state", "Present values by name");
        let states = IntGaugeVec::new(states, &["name"]);
        let metrics = Self {
            registry: Registry::new(),
            events: events.expect("constant name"),
            calls: calls.expect("constant name"),
            states: states.expect("constant name"),
        };
        let boxed: [Box<dyn prometheus::core::Collector>; 3] = [
            Box::new(metrics.events.clone()),
            Box::new(metrics.calls.clone()),
            Box::new(metrics.states.clone()),
        ];
        for collector in boxed {
            metrics
                .registry
                .register(collector)
                .expect("distinct names");
        }
        metrics
    }

    /// Counts an event.
    pub(super) fn count(&self, event: &str) {
        self.events.with_label_values(&[event]).inc();
    }

    /// Notes how long a call took.
    pub(super) fn time(&self, call: &str, span: Duration) {
        let histogram: Histogram = self.calls.with_label_values(&[call]);
        histogram.observe(span.as_secs_f64());
    }

    /// Sets a present value.
    pub(super) fn set(&self, name: &str, value: u64) {
        let value = i64::try_from(value).unwrap_or(i64::MAX);
        self.states.with_label_values(&[name]).set(value);
    }

    /// Returns all metrics as text.
    pub(super) fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Writing to a vector cannot fail, and all families have a valid name.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}
