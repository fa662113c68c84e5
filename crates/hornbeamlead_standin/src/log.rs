//! Stand-in for the platform's append-only log.

mod server;
mod store;

use crate::http::bind;
use crate::runner::RunnerThread;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use server::LogServer;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

/// How an outage of the log looks from outside.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutageMode {
    /// The log is up.
    #[default]
    None,
    /// Each call is answered 503.
    Refusing,
    /// No call is answered.
    Silent,
}

/// Behaviour of the log, changeable at run time by `POST /_standin/control`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogControl {
    /// Outage.
    pub outage: OutageMode,
    /// Time that an append takes, half of it before its effect.
    pub append_latency_ms: u64,
    /// Time that a read takes.
    pub read_latency_ms: u64,
    /// Appends taken a second; more are answered 429.
    pub appends_per_second: u32,
    /// Share of appends whose answer is lost after they took effect.
    pub lost_answer_percent: u8,
    /// Most bytes of payload in one answer to a read; one record is always given.
    pub max_read_bytes: usize,
    /// Records that each stream keeps.
    pub retention_records: usize,
    /// Seed of the choice of lost answers.
    pub seed: u64,
}

impl Default for LogControl {
    fn default() -> Self {
        Self {
            outage: OutageMode::None,
            append_latency_ms: 0,
            read_latency_ms: 0,
            appends_per_second: 500,
            lost_answer_percent: 0,
            max_read_bytes: 4 * 1024 * 1024,
            retention_records: 100_000,
            seed: 1,
        }
    }
}

/// Running log.
#[derive(Debug)]
pub struct LogStandin {
    address: SocketAddr,
    server: Arc<LogServer>,
    runner: RunnerThread,
}

impl LogStandin {
    /// Starts a log that listens on `address`.
    ///
    /// # Errors
    /// Returns the error of binding or of starting the thread.
    pub fn start(address: SocketAddr, control: LogControl) -> io::Result<Self> {
        let listener = bind(address)?;
        let address = listener.local_addr()?;
        let server = Arc::new(LogServer::new(control));
        let served = Arc::clone(&server);
        let runner = RunnerThread::start("log", move || server::run(listener, served))?;
        Ok(Self {
            address,
            server,
            runner,
        })
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.address
    }

    /// Changes the behaviour.
    pub fn control(&self, change: impl FnOnce(&mut LogControl)) {
        self.server.change(change);
    }

    /// Appends a record, whatever the behaviour, and returns its offset.
    pub fn append(&self, stream: &str, payload: Bytes) -> u64 {
        self.server.append(stream, payload)
    }

    /// Returns the payloads that a stream keeps, oldest first.
    #[must_use]
    pub fn records(&self, stream: &str) -> Vec<Bytes> {
        self.server.records(stream)
    }

    /// Stops the log; its records are gone.
    pub fn stop(mut self) {
        self.runner.stop();
    }
}
