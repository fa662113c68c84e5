//! Stands in for the platform in tests: its log, a worker with its endpoint, and a fault proxy.
//!
//! Each stand-in runs on a thread of its own within the process that starts it, or as a
//! subcommand of `hornbeamlead-standin`. None of it is shipped.

#![warn(clippy::unwrap_used)]

mod body;
mod control;
mod runner;

pub mod client;
pub mod fleet;
pub mod http;
pub mod log;
pub mod proxy;
pub mod worker;
