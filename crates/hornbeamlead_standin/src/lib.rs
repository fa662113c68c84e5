//! Test doubles of the platform: its log, a worker with its endpoint, and a fault proxy.
//!
//! Each stand-in runs on its own thread in the process that starts it, or as a subcommand of
//! `hornbeamlead-standin`. This package is for tests only and is not shipped.

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
