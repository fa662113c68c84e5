//! Routing, admission control and at-most-once execution of live requests, without I/O.

#![warn(clippy::unwrap_used)]

pub mod entry;
pub mod gate;

mod keys;
mod notes_reader;
mod rendezvous;
mod timer;
