//! Measures memory by counting the bytes that the process has allocated, and elapsed time.

use cap::Cap;
use std::alloc::System;
use std::time::{Duration, Instant};

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// Returns the currently allocated bytes.
pub(crate) fn allocated() -> usize {
    ALLOCATOR.allocated()
}

/// Builds a value and returns it with the bytes that stay allocated for it.
pub(crate) fn measure_allocation<T>(build: impl FnOnce() -> T) -> (T, usize) {
    let before = allocated();
    let value = build();
    (value, allocated().saturating_sub(before))
}

/// Returns the elapsed time of the work.
pub(crate) fn measure_time(work: impl FnOnce()) -> Duration {
    let began = Instant::now();
    work();
    began.elapsed()
}
