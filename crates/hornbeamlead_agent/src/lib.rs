//! Combines the request side, the batch side and the configuration of an agent in one state
//! machine, without I/O.

#![warn(clippy::unwrap_used)]

mod machine;
mod snapshot_schedule;
mod worker_guard;

pub use machine::AgentMachine;
