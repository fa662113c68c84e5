//! Counts the bytes that the process has allocated.

use cap::Cap;
use std::alloc::System;
use std::time::{Duration, Instant};

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// Returns the bytes allocated now.
pub(crate) fn allocated() -> usize {
    ALLOCATOR.allocated()
}

/// Builds a value and returns it with the bytes that it holds.
pub(crate) fn held_by<T>(build: impl FnOnce() -> T) -> (T, usize) {
    let before = allocated();
    let value = build();
    (value, allocated().saturating_sub(before))
}

/// Returns the time that the work takes on this core.
pub(crate) fn time_of(work: impl FnOnce()) -> Duration {
    let began = Instant::now();
    work();
    began.elapsed()
}
