//! Stands in for the platform in tests: its log, a worker with its endpoint, and a fault proxy.
