//! Talks HTTP to the platform: its append-only log and the worker of a host.
//!
//! Clients are asynchronous and keep no state but their pools of connections. Each call has a
//! timeout and a bounded answer, so that a slow or broken platform costs a caller no more than
//! [`PLATFORM_TIMEOUT`](hornbeamlead_core::event::PLATFORM_TIMEOUT).

#![warn(clippy::unwrap_used)]

mod worker_clock;

pub mod announce_wire;
pub mod log;
pub mod log_wire;
pub mod worker;
pub mod worker_wire;
