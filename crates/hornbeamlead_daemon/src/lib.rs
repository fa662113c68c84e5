//! Runs the entry and agent roles: sockets, threads and rings around the decisions.
//!
//! Each duty has a thread of its own. The decision thread owns the state machine of the role and
//! does no I/O; all others hand it events through one bounded ring and take effects from bounded
//! rings. A full ring is a counted refusal, never a wait without an end.
//!
//! gotham boxes its handlers (`dyn`); that stays at the rim, before the ring into the decisions.

#![warn(clippy::unwrap_used)]

mod args;
mod clock;
mod control;
mod decision;
mod fleet;
mod launch;
mod links;
mod logs;
mod platform;
mod signals;

pub mod counters;
pub mod ring;
pub mod web;

pub use args::{DaemonArgs, parse_args};
pub use launch::{ExitStatus, run};
