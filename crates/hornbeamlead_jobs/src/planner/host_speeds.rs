//! Hosts on which tasks take clearly longer than their siblings elsewhere.

use crate::ids::HostName;
use hornbeamlead_core::clock::MonoTime;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Most tasks kept of a host.
const MAX_TASKS: usize = 9;

/// Tasks from which a host may count as slow.
const MIN_TASKS: usize = 4;

/// Median ratio to the siblings' run time from which a host counts as slow. Data on another rack
/// makes half as long again.
const SLOW_RATIO: f64 = 1.75;

/// Time after its latest task after which a host is no longer known, so that it is tried again.
const MEMORY: Duration = Duration::from_secs(30);

/// Latest tasks of a host.
#[derive(Clone, Debug)]
struct HostTasks {
    /// Run times as multiples of the siblings' median.
    ratios: VecDeque<f64>,
    latest: MonoTime,
}

impl HostTasks {
    fn median(&self) -> Option<f64> {
        let mut ratios: Vec<f64> = self.ratios.iter().copied().collect();
        ratios.sort_unstable_by(f64::total_cmp);
        let middle = ratios.get(ratios.len().saturating_sub(1) / 2).copied();
        middle.filter(|_| ratios.len() >= MIN_TASKS)
    }
}

/// Speeds of hosts, as their tasks show.
#[derive(Clone, Debug, Default)]
pub struct HostSpeeds {
    hosts: BTreeMap<HostName, HostTasks>,
}

impl HostSpeeds {
    /// Learns from a task, whose run time is given as a multiple of its siblings' median. Returns
    /// the median of the host's tasks if the host counts as slow from now on.
    pub fn observe(&mut self, now: MonoTime, host: &HostName, ratio: f64) -> Option<f64> {
        self.hosts
            .retain(|_, tasks| now.since(tasks.latest) <= MEMORY);
        let was_slow = self.cost(now, host) > 0.0;
        let make = || HostTasks {
            ratios: VecDeque::new(),
            latest: now,
        };
        let tasks = self.hosts.entry(host.clone()).or_insert_with(make);
        tasks.latest = now;
        tasks.ratios.push_back(ratio);
        if tasks.ratios.len() > MAX_TASKS {
            tasks.ratios.pop_front();
        }
        let median = tasks.median();
        median.filter(|&median| median >= SLOW_RATIO && !was_slow)
    }

    /// Returns the cost of placing a task on a host: the share of a run time that it loses there.
    #[must_use]
    pub fn cost(&self, now: MonoTime, host: &HostName) -> f64 {
        let known = self.hosts.get(host);
        let known = known.filter(|tasks| now.since(tasks.latest) <= MEMORY);
        let median = known.and_then(HostTasks::median);
        median.map_or(0.0, |median| {
            if median >= SLOW_RATIO {
                median - 1.0
            } else {
                0.0
            }
        })
    }
}
