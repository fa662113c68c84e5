//! Runs the entry and agent roles: sockets, threads and rings around the state machines.
//!
//! Each kind of I/O has a thread of its own. A ring is a bounded channel between threads. The
//! decision thread owns the state machine of the role and does no I/O; all other threads send it
//! events through one ring and receive effects from rings of their own. A full ring causes a
//! counted refusal, never an unbounded wait.
//!
//! gotham boxes its handlers (`dyn`); dynamic dispatch is confined to the HTTP listeners, before
//! the ring into the decision thread.

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

pub mod budget;
pub mod counters;
pub mod ring;
pub mod web;

pub use args::{DaemonArgs, parse_args};
pub use launch::{ExitStatus, run};
