//! Gives operators a command line: release notes, drains, cancellations, status and explanations.

#![warn(clippy::unwrap_used)]
