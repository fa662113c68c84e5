//! Command-line tool for operators: release notes, drains, cancellations, status and explanations.
//!
//! Notes are appended directly to the platform's log and evaluated by the same function as in
//! every process of the fleet. Everything else is read from the processes' operator listeners.

#![warn(clippy::unwrap_used)]

pub mod args;
pub mod report;

mod config_command;
mod crash_story;
mod explain;
mod failure;
mod files;
mod fleet_view;
mod generated_note;
mod job_timeline;
mod jobs;
mod log_lines;
mod note_commands;
mod notes_reader;
mod operator_client;
mod publish;
mod replay;
mod rollout;
mod run;
mod status;
mod status_wire;

pub use run::run;
