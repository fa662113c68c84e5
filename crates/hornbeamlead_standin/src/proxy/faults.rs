//! Faults that the proxy injects.

use rand::Rng;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Faults of the traffic in one direction.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PathFaults {
    /// Delay of each datagram and chunk of a stream, in microseconds.
    pub delay_us: u64,
    /// Maximum random delay added to each datagram and chunk, in microseconds.
    pub jitter_us: u64,
    /// Whether all traffic is read and discarded; connections stay open.
    pub swallow: bool,
    /// Percentage of datagrams that are dropped.
    pub drop_percent: u8,
    /// Percentage of datagrams that are sent twice.
    pub duplicate_percent: u8,
    /// Percentage of datagrams that are delayed by `reorder_us`, so that later ones overtake them.
    pub reorder_percent: u8,
    /// Additional delay of a reordered datagram, in microseconds.
    pub reorder_us: u64,
}

impl PathFaults {
    /// Returns the delay of one datagram or chunk, with random jitter.
    pub(crate) fn draw_delay(&self, random: &mut SmallRng) -> Duration {
        let jitter_us = match self.jitter_us {
            0 => 0,
            max => random.random_range(0..=max),
        };
        Duration::from_micros(self.delay_us + jitter_us)
    }
}

/// Faults of a proxy.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ProxyFaults {
    /// Whether open and new connections are reset and all datagrams dropped.
    pub cut: bool,
    /// Whether open connections are reset and new ones refused, as by a process that has ended.
    pub refuse: bool,
    /// Whether all traffic is held back until the pause ends.
    pub pause: bool,
    /// Clients whose datagrams are dropped in both directions.
    pub blocked: BTreeSet<SocketAddr>,
    /// Faults from clients to the target.
    pub forward: PathFaults,
    /// Faults from the target to clients.
    pub backward: PathFaults,
}

/// Direction of traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Direction {
    /// From the client to the target.
    Forward,
    /// From the target to the client.
    Backward,
}

impl ProxyFaults {
    /// Returns the faults of a direction.
    pub(crate) fn path(&self, direction: Direction) -> &PathFaults {
        match direction {
            Direction::Forward => &self.forward,
            Direction::Backward => &self.backward,
        }
    }
}
