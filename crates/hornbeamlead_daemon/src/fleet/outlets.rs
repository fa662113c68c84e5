//! Where effects go that both roles have: store, log, counters.

use super::metrics::FleetMetrics;
use super::store::{StoreCommand, StoreResult};
use hornbeamlead_jobs::effect::LogLine;
use hornbeamlead_jobs::store::{StoreCall, StoreOutcome};
use slog::{Logger, info};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Span over which the lines of one kind are counted.
const LINE_SPAN: Duration = Duration::from_secs(1);

/// Lines of one kind in a span; further ones are counted and left out.
const MAX_LINES: u32 = 300;

/// Lines of one kind in the present span.
struct LineCount {
    since: Instant,
    written: u32,
    left_out: u32,
}

/// Outlets of a process.
pub(super) struct FleetOutlets {
    pub(super) store: mpsc::Sender<StoreCommand>,
    pub(super) metrics: FleetMetrics,
    pub(super) log: Logger,
    lines: HashMap<&'static str, LineCount>,
}

impl FleetOutlets {
    /// Makes outlets.
    pub(super) fn new(
        store: mpsc::Sender<StoreCommand>,
        metrics: FleetMetrics,
        log: Logger,
    ) -> Self {
        Self {
            store,
            metrics,
            log,
            lines: HashMap::new(),
        }
    }

    /// Hands a call to the store thread; one that finds no room has an outcome at once.
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

    /// Has the store thread remember a host through which calls can go.
    pub(super) fn add_relay(&self, address: SocketAddr) {
        if self
            .store
            .try_send(StoreCommand::AddRelay(address))
            .is_err()
        {
            self.metrics.count("store_ring_full");
        }
    }

    /// Writes a line, unless too many of its kind were written a moment ago.
    pub(super) fn write_line(&mut self, line: &LogLine) {
        self.metrics.count(line.event);
        let now = Instant::now();
        let count = self.lines.entry(line.event).or_insert(LineCount {
            since: now,
            written: 0,
            left_out: 0,
        });
        if now.duration_since(count.since) >= LINE_SPAN {
            if count.left_out > 0 {
                info!(self.log, ""; "event" => "lines_left_out", "kind" => line.event,
                    "count" => count.left_out);
            }
            *count = LineCount {
                since: now,
                written: 0,
                left_out: 0,
            };
        }
        if count.written >= MAX_LINES {
            count.left_out += 1;
            return;
        }
        count.written += 1;
        info!(self.log, ""; "event" => line.event, "id" => &*line.id, "detail" => &*line.detail);
    }
}
