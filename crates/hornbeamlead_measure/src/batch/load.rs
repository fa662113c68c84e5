//! Open-loop load on the live service.

use hornbeamlead_standin::client::{TestRequest, send_blocking};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Number of threads that send requests.
const SENDER_THREADS: u32 = 12;

/// Interval of the requests of one thread.
const REQUEST_INTERVAL: Duration = Duration::from_millis(60);

/// Latency of one request.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestSample {
    /// Time at which it was due.
    pub(super) due: Instant,
    /// Time from `due` to the complete answer; `None` if the request failed.
    pub(super) latency: Option<Duration>,
}

/// Load on one entry.
#[derive(Debug)]
pub(super) struct ServiceLoad {
    entry: SocketAddr,
    stopped: AtomicBool,
    samples: Mutex<Vec<RequestSample>>,
}

impl ServiceLoad {
    /// Creates a load on an entry, without starting it.
    pub(super) fn new(entry: SocketAddr) -> Self {
        Self {
            entry,
            stopped: AtomicBool::new(false),
            samples: Mutex::new(Vec::new()),
        }
    }

    /// Starts the senders within a scope.
    pub(super) fn start<'scope>(&'scope self, scope: &'scope std::thread::Scope<'scope, '_>) {
        for sender in 0..SENDER_THREADS {
            scope.spawn(move || self.send_all(REQUEST_INTERVAL * sender / SENDER_THREADS));
        }
    }

    /// Stops all senders after their current request.
    pub(super) fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// Returns the samples of the requests due from `from` until before `until`.
    pub(super) fn due_within(&self, from: Instant, until: Instant) -> Vec<RequestSample> {
        let samples = self.samples.lock().expect("no sender panics");
        let due = samples.iter().filter(|it| it.due >= from && it.due < until);
        due.copied().collect()
    }

    fn send_all(&self, offset: Duration) {
        let mut due = Instant::now() + offset;
        while !self.stopped.load(Ordering::Relaxed) {
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            let answer = send_blocking(&TestRequest::get(self.entry, "/ledger/casks"));
            let succeeded = answer.is_ok_and(|answer| answer.status == 200);
            let sample = RequestSample {
                due,
                latency: succeeded.then(|| due.elapsed()),
            };
            self.samples.lock().expect("no sender panics").push(sample);
            due += REQUEST_INTERVAL;
        }
    }
}

/// Returns the p99 latency of the successful requests, in microseconds.
pub(super) fn p99_us(samples: &[RequestSample]) -> u64 {
    let latencies = samples.iter().filter_map(|it| it.latency);
    let mut sorted: Vec<u64> = latencies.map(micros).collect();
    sorted.sort_unstable();
    percentile(&sorted, 99)
}

/// Returns a percentile of sorted values; 0 if there are none.
pub(super) fn percentile(sorted: &[u64], percent: usize) -> u64 {
    let rank = (sorted.len() * percent).div_ceil(100);
    let value = rank.checked_sub(1).and_then(|index| sorted.get(index));
    value.copied().unwrap_or(0)
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
