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

/// Outage of the log, as its clients observe it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutageMode {
    /// The log is available.
    #[default]
    None,
    /// Each call is answered with status 503.
    Refusing,
    /// Calls get no response; their connections are closed when the outage ends.
    Silent,
}

/// Behaviour of the log; `POST /_standin/control` changes it at run time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogControl {
    /// Current outage.
    pub outage: OutageMode,
    /// Latency of an append, in milliseconds; the record is appended after half of it.
    pub append_latency_ms: u64,
    /// Latency of a read, in milliseconds.
    pub read_latency_ms: u64,
    /// Maximum appends per second; further ones are answered with status 429.
    pub appends_per_second: u32,
    /// Percentage of appends that take effect, but get no response.
    pub lost_answer_percent: u8,
    /// Maximum payload bytes in the response to a read, which holds at least one record.
    pub max_read_bytes: usize,
    /// Maximum number of records that each stream retains.
    pub retention_records: usize,
    /// Seed of the random choice of lost responses; has effect only at start.
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

/// Running stand-in of the log.
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
    /// Returns an error if the address cannot be bound or the thread cannot be started.
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

    /// Returns the address that the log listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.address
    }

    /// Changes the behaviour of the log.
    pub fn control(&self, change: impl FnOnce(&mut LogControl)) {
        self.server.change(change);
    }

    /// Appends a record regardless of outage, rate and latency, and returns its offset.
    pub fn append(&self, stream: &str, payload: Bytes) -> u64 {
        self.server.append(stream, payload)
    }

    /// Returns the payloads that a stream retains, oldest first.
    #[must_use]
    pub fn records(&self, stream: &str) -> Vec<Bytes> {
        self.server.records(stream)
    }

    /// Stops the log and drops its records.
    pub fn stop(mut self) {
        self.runner.stop();
    }
}
