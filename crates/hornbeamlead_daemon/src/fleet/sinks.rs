//! Sinks of the effects that both roles have: store calls, log lines and counters.

use super::metrics::FleetMetrics;
use super::store::{StoreCommand, StoreResult};
use hornbeamlead_jobs::effect::LogLine;
use hornbeamlead_jobs::store::{StoreCall, StoreOutcome};
use slog::{Logger, info};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Window of the rate limit on log lines.
const LOG_RATE_WINDOW: Duration = Duration::from_secs(1);

/// Log lines per event and window; further ones are only counted.
const MAX_LINES_PER_WINDOW: u32 = 300;

/// Log lines of one event in the current window.
struct LineCount {
    window_start: Instant,
    written: u32,
    suppressed: u32,
}

/// Executes the effects that both roles have.
pub(super) struct EffectSinks {
    pub(super) store: mpsc::Sender<StoreCommand>,
    pub(super) metrics: FleetMetrics,
    pub(super) log: Logger,
    line_counts: HashMap<&'static str, LineCount>,
}

impl EffectSinks {
    pub(super) fn new(
        store: mpsc::Sender<StoreCommand>,
        metrics: FleetMetrics,
        log: Logger,
    ) -> Self {
        Self {
            store,
            metrics,
            log,
            line_counts: HashMap::new(),
        }
    }

    /// Queues a call for the store thread; returns a refusal if the queue is full.
    pub(super) fn call_store(&self, call: StoreCall) -> Option<StoreResult> {
        let caller = call.caller;
        self.store
            .try_send(StoreCommand::Call(call))
            .err()
            .map(|_| {
                self.metrics.count("store_ring_full");
                let cause = "store ring is full".into();
                StoreResult {
                    caller,
                    outcome: StoreOutcome::Refused { cause },
                }
            })
    }

    /// Registers a host that can relay store calls.
    pub(super) fn add_relay(&self, address: SocketAddr) {
        if self
            .store
            .try_send(StoreCommand::AddRelay(address))
            .is_err()
        {
            self.metrics.count("store_ring_full");
        }
    }

    /// Counts the event of a line and, within the rate limit, writes the line.
    pub(super) fn write_line(&mut self, line: &LogLine) {
        self.metrics.count(line.event);
        let now = Instant::now();
        let count = self.line_counts.entry(line.event).or_insert(LineCount {
            window_start: now,
            written: 0,
            suppressed: 0,
        });
        if now.duration_since(count.window_start) >= LOG_RATE_WINDOW {
            if count.suppressed > 0 {
                info!(self.log, ""; "event" => "lines_left_out", "kind" => line.event,
                    "count" => count.suppressed);
            }
            *count = LineCount {
                window_start: now,
                written: 0,
                suppressed: 0,
            };
        }
        if count.written >= MAX_LINES_PER_WINDOW {
            count.suppressed += 1;
            return;
        }
        count.written += 1;
        info!(self.log, ""; "event" => line.event, "id" => &*line.id, "detail" => &*line.detail);
    }
}
