//! Decides where live requests go, whether they are admitted and that a key runs once, without I/O.

#![warn(clippy::unwrap_used)]

pub mod entry;
pub mod gate;

mod keys;
mod notes_reader;
mod rendezvous;
mod timer;
