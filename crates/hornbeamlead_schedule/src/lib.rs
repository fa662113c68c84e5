//! Decides where batch tasks run, under which lease, and when they move, without I/O.

#![warn(clippy::unwrap_used)]

mod appender;
mod election;
mod keeper;
mod keeper_table;
mod planner;
mod read_slot;
mod tenure;
mod turn;

pub mod cell_log;
pub mod interference;
pub mod job_log;
pub mod learning;
pub mod machine;
pub mod placement;
pub mod quarantine;
pub mod stream;
