//! Counters of refusals, retries and requests, for `/status` and for statsd.

use cadence::{BufferedUdpMetricSink, Counted, MetricSink, QueuingMetricSink, StatsdClient, Timed};
use hornbeamlead_core::counter::{RefusalReason, RetryReason};
use slog::{Logger, debug};
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Prefix of all metric names.
const METRIC_PREFIX: &str = "hornbeamlead";

/// Maximum number of metrics queued for the sending thread.
const METRIC_QUEUE_CAPACITY: usize = 4096;

/// Counters of a process, shared by its threads.
pub struct ProcessCounters {
    refusals: Vec<AtomicU64>,
    retries: Vec<AtomicU64>,
    requests: AtomicU64,
    statsd: Option<StatsdClient>,
    log: Logger,
}

impl ProcessCounters {
    /// Creates counters at zero. Refusals and retries also go to the log, at debug level, and all
    /// counts to the statsd server if there is one.
    ///
    /// # Errors
    /// Returns the error of opening the statsd socket.
    pub fn new(statsd: Option<SocketAddr>, log: Logger) -> std::io::Result<Self> {
        Ok(Self {
            refusals: zeros(RefusalReason::ALL.len()),
            retries: zeros(RetryReason::ALL.len()),
            requests: AtomicU64::new(0),
            statsd: statsd.map(open_statsd).transpose()?,
            log,
        })
    }

    /// Counts a refusal.
    pub fn refusal(&self, reason: RefusalReason) {
        self.refusals[usize::from(reason.number())].fetch_add(1, Ordering::Relaxed);
        debug!(self.log, ""; "event" => "refusal", "reason" => reason.as_str());
        self.send_count("refusal", reason.as_str());
    }

    /// Counts a retry.
    pub fn retry(&self, reason: RetryReason) {
        self.retries[usize::from(reason.number())].fetch_add(1, Ordering::Relaxed);
        debug!(self.log, ""; "event" => "retry", "reason" => reason.as_str());
        self.send_count("retry", reason.as_str());
    }

    /// Counts a request and records its latency.
    pub fn request(&self, latency: Duration) {
        self.requests.fetch_add(1, Ordering::Relaxed);
        if let Some(client) = &self.statsd {
            let _ = client.count("requests", 1u64);
            let _ = client.time("request_latency", latency);
        }
    }

    /// Returns the number of requests since the start of the process.
    pub fn requests(&self) -> u64 {
        self.requests.load(Ordering::Relaxed)
    }

    /// Returns the nonzero refusal counts by reason.
    pub fn refusals(&self) -> BTreeMap<&'static str, u64> {
        let names = RefusalReason::ALL.iter().map(|reason| reason.as_str());
        nonzero_counts(names, &self.refusals)
    }

    /// Returns the nonzero retry counts by reason.
    pub fn retries(&self) -> BTreeMap<&'static str, u64> {
        let names = RetryReason::ALL.iter().map(|reason| reason.as_str());
        nonzero_counts(names, &self.retries)
    }

    fn send_count(&self, kind: &str, reason: &str) {
        if let Some(client) = &self.statsd {
            let _ = client.count(&format!("{kind}.{reason}"), 1u64);
        }
    }
}

fn zeros(length: usize) -> Vec<AtomicU64> {
    (0..length).map(|_| AtomicU64::new(0)).collect()
}

fn nonzero_counts(
    names: impl Iterator<Item = &'static str>,
    counters: &[AtomicU64],
) -> BTreeMap<&'static str, u64> {
    names
        .zip(counters)
        .map(|(name, counter)| (name, counter.load(Ordering::Relaxed)))
        .filter(|(_, count)| *count > 0)
        .collect()
}

fn open_statsd(address: SocketAddr) -> std::io::Result<StatsdClient> {
    let socket = UdpSocket::bind(("127.0.0.1", 0))?;
    socket.set_nonblocking(true)?;
    let buffered = BufferedUdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
    let queued = QueuingMetricSink::with_capacity(buffered, METRIC_QUEUE_CAPACITY);
    Ok(new_statsd_client(queued))
}

fn new_statsd_client<S>(sink: S) -> StatsdClient
where
    S: MetricSink + Send + Sync + std::panic::RefUnwindSafe + std::panic::UnwindSafe + 'static,
{
    StatsdClient::from_sink(METRIC_PREFIX, sink)
}
