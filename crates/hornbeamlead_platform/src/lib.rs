//! HTTP clients of the platform: its append-only log and the worker of a host.
//!
//! Clients are asynchronous and keep no state but connection pools and the clocks of workers.
//! Each exchange is limited in time and in the size of the answer, so that a slow or broken
//! platform delays a caller by at most
//! [`PLATFORM_TIMEOUT`](hornbeamlead_core::event::PLATFORM_TIMEOUT) per exchange.

#![warn(clippy::unwrap_used)]

mod worker_clock;

pub mod announce_wire;
pub mod log;
pub mod log_wire;
pub mod worker;
pub mod worker_wire;
