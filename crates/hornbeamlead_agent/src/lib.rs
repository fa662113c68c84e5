//! Composes the decisions of an agent into one state machine, without I/O.

#![warn(clippy::unwrap_used)]

mod machine;
mod snapshot_pace;

pub use machine::AgentMachine;
