//! Decides where batch tasks run, under which lease, and when they move, without I/O.

pub mod machine;
