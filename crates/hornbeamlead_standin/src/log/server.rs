//! HTTP interface of the log.

use super::store::{LogStore, OffsetTruncated, ReadLimit};
use super::{LogControl, OutageMode};
use crate::control::patch_settings;
use crate::http::{
    ConnectionLimit, HttpReply, HttpRequest, empty_reply, error_reply, json_reply, serve,
};
use bytes::Bytes;
use hornbeamlead_platform::log::MAX_PAYLOAD_BYTES;
use hornbeamlead_platform::log_wire::{AppendAnswer, GoneAnswer, ReadAnswer};
use hyper::{Method, StatusCode};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::io;
use std::net::TcpListener;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Maximum number of open connections.
const MAX_CONNECTIONS: usize = 4096;

/// Maximum number of records in the response to a read without a limit.
const DEFAULT_LIMIT: u64 = 1_000;

/// Interval between checks for the end of a silent outage.
const SILENCE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Mutable state of the log.
#[derive(Debug)]
struct LogState {
    control: LogControl,
    store: LogStore,
    random: SmallRng,
    window_start: Instant,
    appended_in_window: u32,
}

impl LogState {
    /// Counts an append and returns whether the rate limit allows it.
    fn consume_rate(&mut self) -> bool {
        if self.window_start.elapsed() >= Duration::from_secs(1) {
            self.window_start = Instant::now();
            self.appended_in_window = 0;
        }
        self.appended_in_window += 1;
        self.appended_in_window <= self.control.appends_per_second
    }

    fn append(&mut self, stream: &str, payload: Bytes) -> (u64, bool) {
        let retention = self.control.retention_records;
        let offset = self.store.append(stream, payload, retention);
        let lost = self.random.random_range(0..100) < self.control.lost_answer_percent;
        (offset, lost)
    }
}

/// Log and its behaviour, shared by all connections.
#[derive(Debug)]
pub(crate) struct LogServer {
    state: Mutex<LogState>,
}

impl LogServer {
    /// Creates an empty log.
    pub(crate) fn new(control: LogControl) -> Self {
        let random = SmallRng::seed_from_u64(control.seed);
        Self {
            state: Mutex::new(LogState {
                control,
                store: LogStore::default(),
                random,
                window_start: Instant::now(),
                appended_in_window: 0,
            }),
        }
    }

    /// Changes the behaviour of the log.
    pub(crate) fn change(&self, change: impl FnOnce(&mut LogControl)) {
        change(&mut self.lock().control);
    }

    /// Appends a record regardless of outage, rate and latency, and returns its offset.
    pub(crate) fn append(&self, stream: &str, payload: Bytes) -> u64 {
        self.lock().append(stream, payload).0
    }

    /// Returns the payloads that a stream retains, oldest first.
    pub(crate) fn records(&self, stream: &str) -> Vec<Bytes> {
        self.lock().store.records(stream)
    }

    fn lock(&self) -> MutexGuard<'_, LogState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn settings(&self) -> LogControl {
        self.lock().control.clone()
    }

    async fn answer(&self, request: HttpRequest) -> Option<HttpReply> {
        if &*request.path == "/_standin/control" {
            return Some(self.answer_control(&request));
        }
        match self.settings().outage {
            OutageMode::None => self.answer_stream(request).await,
            OutageMode::Refusing => Some(empty_reply(StatusCode::SERVICE_UNAVAILABLE)),
            OutageMode::Silent => self.hold_silent().await,
        }
    }

    fn answer_control(&self, request: &HttpRequest) -> HttpReply {
        let mut state = self.lock();
        match patch_settings(&state.control, &request.body) {
            Ok(control) => {
                state.control = control;
                json_reply(StatusCode::OK, &state.control)
            }
            Err(error) => error_reply(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }

    /// Waits for the end of the outage, then has the connection closed.
    async fn hold_silent(&self) -> Option<HttpReply> {
        while self.settings().outage == OutageMode::Silent {
            tokio::time::sleep(SILENCE_POLL_INTERVAL).await;
        }
        None
    }

    async fn answer_stream(&self, request: HttpRequest) -> Option<HttpReply> {
        let Some(stream) = stream_name(&request.path) else {
            return Some(empty_reply(StatusCode::NOT_FOUND));
        };
        match request.method {
            Method::POST => self.answer_append(stream, request.body.clone()).await,
            Method::GET => Some(self.answer_read(stream, &request).await),
            _ => Some(empty_reply(StatusCode::METHOD_NOT_ALLOWED)),
        }
    }

    async fn answer_append(&self, stream: &str, payload: Bytes) -> Option<HttpReply> {
        if payload.len() > MAX_PAYLOAD_BYTES {
            return Some(empty_reply(StatusCode::PAYLOAD_TOO_LARGE));
        }
        if !self.lock().consume_rate() {
            return Some(empty_reply(StatusCode::TOO_MANY_REQUESTS));
        }
        let half = Duration::from_millis(self.settings().append_latency_ms) / 2;
        sleep_nonzero(half).await;
        let (offset, lost) = self.lock().append(stream, payload);
        sleep_nonzero(half).await;
        (!lost).then(|| json_reply(StatusCode::CREATED, &AppendAnswer { offset }))
    }

    async fn answer_read(&self, stream: &str, request: &HttpRequest) -> HttpReply {
        let control = self.settings();
        sleep_nonzero(Duration::from_millis(control.read_latency_ms)).await;
        let from = request.query_number("from").unwrap_or(0);
        let records = request.query_number("limit").unwrap_or(DEFAULT_LIMIT);
        let limit = ReadLimit {
            records: usize::try_from(records).unwrap_or(usize::MAX),
            bytes: control.max_read_bytes,
        };
        let read = self.lock().store.read(stream, from, limit);
        match read {
            Ok(batch) => json_reply(StatusCode::OK, &ReadAnswer::from(batch)),
            Err(OffsetTruncated(oldest)) => json_reply(StatusCode::GONE, &GoneAnswer { oldest }),
        }
    }
}

/// Serves the log forever.
pub(crate) async fn run(listener: TcpListener, server: Arc<LogServer>) -> io::Result<()> {
    let limit = ConnectionLimit::new(MAX_CONNECTIONS);
    serve(listener, limit, move |request| {
        let server = Arc::clone(&server);
        async move { server.answer(request).await }
    })
    .await
}

/// Sleeps unless the delay is zero.
async fn sleep_nonzero(delay: Duration) {
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
}

fn stream_name(path: &str) -> Option<&str> {
    let name = path.strip_prefix("/streams/")?.strip_suffix("/records")?;
    (!name.is_empty() && !name.contains('/')).then_some(name)
}
