//! Faults that the proxy brings about.

use rand::Rng;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Faults of one direction.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PathFaults {
    /// Delay of all that passes, in microseconds.
    pub delay_us: u64,
    /// Greatest further delay, drawn for each piece, in microseconds.
    pub jitter_us: u64,
    /// Whether everything is read and thrown away; connections stay open.
    pub swallow: bool,
    /// Share of datagrams that are dropped.
    pub drop_percent: u8,
    /// Share of datagrams that are sent twice.
    pub duplicate_percent: u8,
    /// Share of datagrams that are held back by `reorder_us`, so that later ones overtake them.
    pub reorder_percent: u8,
    /// Time for which a reordered datagram is held back, in microseconds.
    pub reorder_us: u64,
}

impl PathFaults {
    /// Draws the delay of one piece.
    pub(crate) fn draw_delay(&self, random: &mut SmallRng) -> Duration {
        let jitter_us = match self.jitter_us {
            0 => 0,
            most => random.random_range(0..=most),
        };
        Duration::from_micros(self.delay_us + jitter_us)
    }
}

/// Faults of both directions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ProxyFaults {
    /// Whether connections are closed, new ones too, and datagrams dropped.
    pub cut: bool,
    /// Whether everything is held back until the pause ends.
    pub pause: bool,
    /// Clients whose datagrams are dropped, and those to them.
    pub blocked: BTreeSet<SocketAddr>,
    /// Faults from the client to the target.
    pub forward: PathFaults,
    /// Faults from the target to the client: the answers.
    pub backward: PathFaults,
}

/// Direction of a path.
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
