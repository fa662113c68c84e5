//! What is known of the clocks of workers, so that spans are counted from the moment of a call.
//!
//! A call may lie in a buffer while its worker is frozen. Were its spans counted from the moment
//! in which the worker reads it, a lease would outlast the one that the planner granted, and a
//! start could come long after its last moment. Each answer of a worker therefore tells its
//! clock; a later call tells the reading that the clock had at least passed when the spans were
//! taken, and the worker counts from there.

use hornbeamlead_core::clock::MonoTime;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Workers whose clocks are remembered at most; an agent has one, seldom two.
const MAX_WORKERS: usize = 16;

/// Reading of a worker's clock, with the time at which it was known here.
#[derive(Clone, Copy, Debug)]
struct ClockEcho {
    worker_us: u64,
    received: MonoTime,
}

/// Clocks of workers, as last heard of.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkerClocks {
    echoes: Arc<Mutex<BTreeMap<SocketAddr, ClockEcho>>>,
}

impl WorkerClocks {
    /// Remembers a worker's reading that was received at `received`.
    pub(crate) fn note(&self, worker: SocketAddr, worker_us: u64, received: MonoTime) {
        let mut echoes = self.echoes.lock().unwrap_or_else(PoisonError::into_inner);
        if echoes.len() >= MAX_WORKERS && !echoes.contains_key(&worker) {
            echoes.pop_first();
        }
        let echo = ClockEcho {
            worker_us,
            received,
        };
        echoes.insert(worker, echo);
    }

    /// Returns a reading that the worker's clock had passed at `now`.
    pub(crate) fn passed_at(&self, worker: SocketAddr, now: MonoTime) -> Option<u64> {
        let echoes = self.echoes.lock().unwrap_or_else(PoisonError::into_inner);
        let echo = echoes.get(&worker)?;
        let age = now.since(echo.received);
        // An answer that came after `now` was read tells nothing about that moment but this.
        let early = echo.received.since(now);
        let passed_us = echo.worker_us.saturating_add(whole_micros(age));
        Some(passed_us.saturating_sub(whole_micros(early)))
    }
}

fn whole_micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
