//! Composes the decisions of an agent into one state machine, without I/O.

mod machine;

pub use machine::AgentMachine;
