//! Measures the system: an open-loop load generator and named experiments.
