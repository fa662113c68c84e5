//! Talks HTTP to the platform: its append-only log and the worker of a host.
