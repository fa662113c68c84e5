//! Readings of workers' clocks, so that the durations of a call count from when it was sent.
//!
//! A call may wait in a buffer while its worker is frozen. If the worker counted durations from
//! the time at which it reads the call, a lease would outlast the one that the planner granted,
//! and a start could take effect long after its deadline. Each answer of a worker therefore
//! carries its clock. A later call carries a lower bound of that clock at the time when the
//! durations were computed, and the worker counts from there.

use hornbeamlead_core::clock::MonoTime;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Maximum number of workers whose clocks are kept; an agent has one, rarely two.
const MAX_WORKERS: usize = 16;

/// Reading of a worker's clock, with the local time at which it was received.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    worker_us: u64,
    received: MonoTime,
}

/// Latest clock reading of each worker, shared by all clones.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkerClocks {
    readings: Arc<Mutex<BTreeMap<SocketAddr, ClockReading>>>,
}

impl WorkerClocks {
    /// Records a reading of a worker's clock that was received at `received`.
    pub(crate) fn record(&self, worker: SocketAddr, worker_us: u64, received: MonoTime) {
        let mut readings = self.readings.lock().unwrap_or_else(PoisonError::into_inner);
        if readings.len() >= MAX_WORKERS && !readings.contains_key(&worker) {
            readings.pop_first();
        }
        let reading = ClockReading {
            worker_us,
            received,
        };
        readings.insert(worker, reading);
    }

    /// Returns a lower bound of the worker's clock at `now`, in microseconds.
    pub(crate) fn lower_bound_at(&self, worker: SocketAddr, now: MonoTime) -> Option<u64> {
        let readings = self.readings.lock().unwrap_or_else(PoisonError::into_inner);
        let reading = readings.get(&worker)?;
        let age = now.since(reading.received);
        // If the answer was received after `now`, the bound moves back by the difference.
        let ahead = reading.received.since(now);
        let lower_bound_us = reading.worker_us.saturating_add(whole_micros(age));
        Some(lower_bound_us.saturating_sub(whole_micros(ahead)))
    }
}

fn whole_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
