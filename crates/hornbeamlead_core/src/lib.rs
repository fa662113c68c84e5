//! Shared types, internal messages and the replicated fleet configuration, without I/O.
//!
//! Nothing in this package opens a socket, starts a thread, reads a clock or uses unseeded
//! randomness, so the daemon, the property tests and the benchmarks run the same code.

#![warn(clippy::unwrap_used)]

mod newtype;

pub mod clock;
pub mod counter;
pub mod effect;
pub mod event;
pub mod explain;
pub mod fleet;
pub mod ids;
pub mod message;
pub mod note;
pub mod notes_replica;
pub mod policy;
pub mod record;
pub mod resource;
pub mod status;
pub mod task;
