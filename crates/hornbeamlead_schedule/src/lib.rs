//! Decides where batch tasks run, under which lease, and when they move, without I/O.

#![warn(clippy::unwrap_used)]

pub mod machine;
