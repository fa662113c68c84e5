//! HTTP interface of the log.

use super::store::{LogStore, OffsetGone, ReadLimit};
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

/// Most connections at a time.
const MAX_CONNECTIONS: usize = 4096;

/// Records in an answer to a read that names no limit.
const DEFAULT_LIMIT: u64 = 1_000;

/// Time between looks whether a silent outage is over.
const SILENCE_STEP: Duration = Duration::from_millis(20);

/// State behind the lock.
#[derive(Debug)]
struct LogState {
    control: LogControl,
    store: LogStore,
    random: SmallRng,
    second_began: Instant,
    appended_in_second: u32,
}

impl LogState {
    /// Returns whether the rate allows one more append now.
    fn take_rate(&mut self) -> bool {
        if self.second_began.elapsed() >= Duration::from_secs(1) {
            self.second_began = Instant::now();
            self.appended_in_second = 0;
        }
        self.appended_in_second += 1;
        self.appended_in_second <= self.control.appends_per_second
    }

    fn append(&mut self, stream: &str, payload: Bytes) -> (u64, bool) {
        let retention = self.control.retention_records;
        let offset = self.store.append(stream, payload, retention);
        let lost = self.random.random_range(0..100) < self.control.lost_answer_percent;
        (offset, lost)
    }
}

/// Log with its behaviour.
#[derive(Debug)]
pub(crate) struct LogServer {
    state: Mutex<LogState>,
}

impl LogServer {
    /// Makes an empty log.
    pub(crate) fn new(control: LogControl) -> Self {
        let random = SmallRng::seed_from_u64(control.seed);
        Self {
            state: Mutex::new(LogState {
                control,
                store: LogStore::default(),
                random,
                second_began: Instant::now(),
                appended_in_second: 0,
            }),
        }
    }

    /// Changes the behaviour.
    pub(crate) fn change(&self, change: impl FnOnce(&mut LogControl)) {
        change(&mut self.lock().control);
    }

    /// Appends a record, whatever the behaviour.
    pub(crate) fn append(&self, stream: &str, payload: Bytes) -> u64 {
        self.lock().append(stream, payload).0
    }

    /// Returns the payloads that a stream keeps.
    pub(crate) fn records(&self, stream: &str) -> Vec<Bytes> {
        self.lock().store.records(stream)
    }

    fn lock(&self) -> MutexGuard<'_, LogState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn settings(&self) -> LogControl {
        self.lock().control.clone()
    }

    async fn answer(&self, ask: HttpRequest) -> Option<HttpReply> {
        if &*ask.path == "/_standin/control" {
            return Some(self.answer_control(&ask));
        }
        match self.settings().outage {
            OutageMode::None => self.answer_stream(ask).await,
            OutageMode::Refusing => Some(empty_reply(StatusCode::SERVICE_UNAVAILABLE)),
            OutageMode::Silent => self.stay_silent().await,
        }
    }

    fn answer_control(&self, ask: &HttpRequest) -> HttpReply {
        let mut state = self.lock();
        match patch_settings(&state.control, &ask.body) {
            Ok(control) => {
                state.control = control;
                json_reply(StatusCode::OK, &state.control)
            }
            Err(error) => error_reply(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }

    /// Waits for the end of the outage, then breaks the connection off.
    async fn stay_silent(&self) -> Option<HttpReply> {
        while self.settings().outage == OutageMode::Silent {
            tokio::time::sleep(SILENCE_STEP).await;
        }
        None
    }

    async fn answer_stream(&self, ask: HttpRequest) -> Option<HttpReply> {
        let Some(stream) = stream_name(&ask.path) else {
            return Some(empty_reply(StatusCode::NOT_FOUND));
        };
        match ask.method {
            Method::POST => self.answer_append(stream, ask.body.clone()).await,
            Method::GET => Some(self.answer_read(stream, &ask).await),
            _ => Some(empty_reply(StatusCode::METHOD_NOT_ALLOWED)),
        }
    }

    async fn answer_append(&self, stream: &str, payload: Bytes) -> Option<HttpReply> {
        if payload.len() > MAX_PAYLOAD_BYTES {
            return Some(empty_reply(StatusCode::PAYLOAD_TOO_LARGE));
        }
        if !self.lock().take_rate() {
            return Some(empty_reply(StatusCode::TOO_MANY_REQUESTS));
        }
        let half = Duration::from_millis(self.settings().append_latency_ms) / 2;
        wait(half).await;
        let (offset, lost) = self.lock().append(stream, payload);
        wait(half).await;
        (!lost).then(|| json_reply(StatusCode::CREATED, &AppendAnswer { offset }))
    }

    async fn answer_read(&self, stream: &str, ask: &HttpRequest) -> HttpReply {
        let control = self.settings();
        wait(Duration::from_millis(control.read_latency_ms)).await;
        let from = ask.query_number("from").unwrap_or(0);
        let records = ask.query_number("limit").unwrap_or(DEFAULT_LIMIT);
        let limit = ReadLimit {
            records: usize::try_from(records).unwrap_or(usize::MAX),
            bytes: control.max_read_bytes,
        };
        let read = self.lock().store.read(stream, from, limit);
        match read {
            Ok(batch) => json_reply(StatusCode::OK, &ReadAnswer::from(batch)),
            Err(OffsetGone(oldest)) => json_reply(StatusCode::GONE, &GoneAnswer { oldest }),
        }
    }
}

/// Serves the log without an end.
pub(crate) async fn run(listener: TcpListener, server: Arc<LogServer>) -> io::Result<()> {
    let cap = ConnectionLimit::new(MAX_CONNECTIONS);
    serve(listener, cap, move |ask| {
        let server = Arc::clone(&server);
        async move { server.answer(ask).await }
    })
    .await
}

/// Sleeps, unless the span is nothing.
async fn wait(span: Duration) {
    if !span.is_zero() {
        tokio::time::sleep(span).await;
    }
}

fn stream_name(path: &str) -> Option<&str> {
    let name = path.strip_prefix("/streams/")?.strip_suffix("/records")?;
    (!name.is_empty() && !name.contains('/')).then_some(name)
}
