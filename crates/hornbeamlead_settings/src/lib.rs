//! Reads, checks and resolves settings and release notes.
