//! What the planner knows of the hosts.

use super::impact::{ImpactReading, ServingLevel};
use super::placement::{ImageId, TaskDemand};
use crate::effect::LinkId;
use crate::ids::{HostName, RunName, WorkerIncarnation};
use crate::message::AgentStamp;
use crate::worker::WorkerFacts;
use hornbeamlead_core::clock::MonoTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// Silence after which nothing is ordered from a host; it reports every 300 ms.
const REACH_SPAN: Duration = Duration::from_millis(1000);

/// Latency of serving tasks that were not read yet: far below any target.
pub(super) const NO_LATENCY: f64 = -3.0;

/// Host as the planner sees it.
#[derive(Clone, Debug)]
pub struct HostView {
    /// Host.
    pub host: HostName,
    /// Link, while it is open.
    pub link: Option<LinkId>,
    /// Worker, while one is known to live.
    pub worker: Option<WorkerFacts>,
    /// Newest life that has ended for certain.
    pub dead: Option<WorkerIncarnation>,
    /// When the newest report came; the beginning of the epoch before the first.
    pub heard: MonoTime,
    /// Whether a report came in this epoch.
    pub reported: bool,
    /// Whether the newest report holds lists that were read in this epoch.
    pub listed: bool,
    /// Stamp of the newest report.
    pub stamp: AgentStamp,
    /// Nothing starts there before.
    pub not_before: MonoTime,
    /// Failed attempts since the last one that was done.
    pub strikes: u32,
    /// Attempts that may be running there, with what they take.
    pub runs: BTreeMap<RunName, TaskDemand>,
    /// Mean logarithm of latency over target by serving image, as last reported.
    pub levels: BTreeMap<ImageId, f64>,
    /// Share of what its fillers ask for that they get.
    pub filler_rate: f64,
    /// When the impact of fillers was last learned from its reports, and from what.
    pub(super) learned: (MonoTime, ImpactReading),
    /// Whether only one task at a time is tried, after many failures.
    pub probation: bool,
    orders: u64,
}

impl HostView {
    pub(super) fn new(host: HostName, heard: MonoTime) -> Self {
        Self {
            host,
            link: None,
            worker: None,
            dead: None,
            heard,
            reported: false,
            listed: false,
            stamp: AgentStamp(0),
            not_before: MonoTime(0),
            strikes: 0,
            runs: BTreeMap::new(),
            levels: BTreeMap::new(),
            filler_rate: 1.0,
            learned: (MonoTime(0), ImpactReading::default()),
            probation: false,
            orders: 0,
        }
    }

    /// Returns the life of the worker.
    #[must_use]
    pub fn incarnation(&self) -> Option<&WorkerIncarnation> {
        self.worker.as_ref().map(|worker| &worker.incarnation)
    }

    /// Returns whether the worker is about to leave.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.worker.as_ref().is_some_and(|worker| worker.draining)
    }

    /// Returns the serving tasks that it runs, by image.
    pub(super) fn serving(&self) -> BTreeMap<ImageId, ServingLevel> {
        let mut images = BTreeMap::new();
        for demand in self.runs.values().filter(|demand| demand.target_ms > 0) {
            let level = images.entry(demand.image).or_insert(ServingLevel {
                tasks: 0,
                latency: self
                    .levels
                    .get(&demand.image)
                    .copied()
                    .unwrap_or(NO_LATENCY),
            });
            level.tasks += 1;
        }
        images
    }

    /// Returns the serving image that is closest to its target, or farthest over it.
    pub(super) fn tightest(&self) -> Option<(ImageId, f64)> {
        let levels = self
            .levels
            .iter()
            .map(|(&image, &latency)| (image, latency));
        levels.max_by(|left, right| left.1.total_cmp(&right.1))
    }

    /// Returns whether orders reach the host.
    #[must_use]
    pub fn is_open(&self, now: MonoTime) -> bool {
        self.link.is_some() && self.reported && now.since(self.heard) <= REACH_SPAN
    }

    /// Gives the next order on the link its number.
    pub(super) fn next_order(&mut self) -> u64 {
        self.orders += 1;
        self.orders
    }

    /// Binds the host to a new link, on which orders are numbered anew.
    pub(super) fn bind(&mut self, link: LinkId) -> Option<LinkId> {
        self.orders = 0;
        self.link.replace(link).filter(|old| *old != link)
    }
}
