//! Decides where batch tasks run, under which lease, and when they move, without I/O.

#![warn(clippy::unwrap_used)]

mod attempt_table;
mod election;
mod event_context;
mod planner;
mod planner_lease;
mod record_appender;
mod stream_poller;
mod supervisor;

pub mod cell_log;
pub mod interference;
pub mod job_log;
pub mod learning;
pub mod machine;
pub mod placement;
pub mod quarantine;
pub mod stream;
