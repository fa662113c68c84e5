//! Counters, gauges and latency histograms of a process, in the Prometheus text format.

use crate::counters::ProcessCounters;
use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry,
    TextEncoder,
};
use std::time::Duration;

/// Upper bounds of the latency buckets, in seconds: from a call on the same host to a caller's
/// deadline.
const LATENCY_BUCKETS: [f64; 11] = [
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0,
];

/// Prometheus metrics of a process; clones share the values.
#[derive(Clone)]
pub(super) struct FleetMetrics {
    registry: Registry,
    events: IntCounterVec,
    call_seconds: HistogramVec,
    gauges: IntGaugeVec,
}

// Every update is atomic, so a panic leaves the metrics consistent.
impl std::panic::UnwindSafe for FleetMetrics {}
impl std::panic::RefUnwindSafe for FleetMetrics {}

impl FleetMetrics {
    /// Registers all metrics at zero.
    ///
    /// # Panics
    /// Never: the names are constant and distinct.
    pub(super) fn new() -> Self {
        let events = Opts::new("hornbeamlead_events_total", "Events by kind");
        let events = IntCounterVec::new(events, &["event"]);
        let call_seconds = HistogramOpts::new("hornbeamlead_call_seconds", "Time of calls by kind");
        let call_seconds =
            HistogramVec::new(call_seconds.buckets(LATENCY_BUCKETS.to_vec()), &["call"]);
        let gauges = Opts::new("hornbeamlead_state", "Present values by name");
        let gauges = IntGaugeVec::new(gauges, &["name"]);
        let metrics = Self {
            registry: Registry::new(),
            events: events.expect("constant name"),
            call_seconds: call_seconds.expect("constant name"),
            gauges: gauges.expect("constant name"),
        };
        let boxed: [Box<dyn prometheus::core::Collector>; 3] = [
            Box::new(metrics.events.clone()),
            Box::new(metrics.call_seconds.clone()),
            Box::new(metrics.gauges.clone()),
        ];
        for collector in boxed {
            metrics
                .registry
                .register(collector)
                .expect("distinct names");
        }
        metrics
    }

    /// Increments the counter of an event.
    pub(super) fn count(&self, event: &str) {
        self.events.with_label_values(&[event]).inc();
    }

    /// Records the duration of a call.
    pub(super) fn observe_call(&self, call: &str, duration: Duration) {
        let histogram: Histogram = self.call_seconds.with_label_values(&[call]);
        histogram.observe(duration.as_secs_f64());
    }

    /// Sets a gauge; values above `i64::MAX` are clamped.
    pub(super) fn set_gauge(&self, name: &str, value: u64) {
        let value = i64::try_from(value).unwrap_or(i64::MAX);
        self.gauges.with_label_values(&[name]).set(value);
    }

    /// Encodes all metrics in the Prometheus text format, with what the listeners have refused.
    pub(super) fn encode_text(&self, counters: &ProcessCounters) -> Vec<u8> {
        for (reason, count) in counters.refusals() {
            self.set_gauge(&format!("refused_{reason}"), count);
        }
        let mut text = Vec::new();
        // Writing to a vector cannot fail, and all families have a valid name.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}
