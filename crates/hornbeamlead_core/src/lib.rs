//! Holds the shared vocabulary, the inner messages and the configuration of the fleet, without I/O.
//!
//! Nothing in this package opens a socket, starts a thread, reads a clock or draws unseeded
//! randomness. The same types are used by the daemon, the property tests and the measurements.

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
pub mod notes_keeper;
pub mod policy;
pub mod record;
pub mod resource;
pub mod status;
pub mod task;
