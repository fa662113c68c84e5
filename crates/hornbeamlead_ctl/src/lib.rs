//! Gives operators a command line: release notes, drains, cancellations, status and explanations.
//!
//! Notes go straight to the platform's log and are judged by the same function as in every
//! process of the fleet. Everything else is asked of the processes' listeners for operators.

#![warn(clippy::unwrap_used)]

pub mod args;
pub mod report;

mod explain;
mod failure;
mod files;
mod fleet_view;
mod jobs;
mod log_lines;
mod made_note;
mod note_commands;
mod notes_reader;
mod operators;
mod publish;
mod replay;
mod rollout;
mod run;
mod status;
mod status_wire;
mod story;

pub use run::run;
