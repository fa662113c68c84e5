//! Runs the entry and agent roles: sockets, threads and rings around the decisions.

#![warn(clippy::unwrap_used)]
