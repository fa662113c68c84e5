//! Table of a cell's hosts, built from their heartbeats.

use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::ids::{AttemptId, Epoch, HostId, Incarnation, RackName};
use hornbeamlead_core::message::control::{HostHeartbeat, ViewMember};
use hornbeamlead_core::resource::ResourceSize;
use hornbeamlead_core::task::{TaskPhase, TaskStatus};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// State of a host, as reported by its heartbeats.
#[derive(Clone, Debug)]
pub(crate) struct HostEntry {
    /// Incarnation of its agent.
    pub(crate) incarnation: Incarnation,
    /// Address for links and datagrams.
    pub(crate) address: SocketAddr,
    /// Rack of the host.
    pub(crate) rack: RackName,
    /// Capacity for batch tasks.
    pub(crate) capacity: ResourceSize,
    /// Sequence of the newest heartbeat.
    pub(crate) sequence: u64,
    /// Time of the newest heartbeat, by the agent's clock.
    pub(crate) clock: MonoTime,
    /// When that heartbeat was received, by the planner's clock.
    pub(crate) received: MonoTime,
    /// When the newest heartbeat that was answered with a lease was received.
    pub(crate) renewed: Option<MonoTime>,
    /// When the agent first reported this planner's epoch, so that it ignores older planners.
    pub(crate) follows_since: Option<MonoTime>,
    /// Table of attempts; `None` until a full one was received.
    pub(crate) table: Option<BTreeMap<AttemptId, TaskStatus>>,
    /// Digest of that table.
    pub(crate) digest: u64,
    /// When the newest heartbeat that confirmed the table was received.
    pub(crate) table_at: MonoTime,
    /// Delayed p99 latency of the live service, in microseconds.
    pub(crate) service_p99_us: Option<u64>,
    /// Number of the view that the agent has.
    pub(crate) view: u64,
    /// Whether the agent is stopping.
    pub(crate) leaving: bool,
}

impl HostEntry {
    /// Returns the status of an attempt in the host's table.
    pub(crate) fn status(&self, attempt: &AttemptId) -> Option<&TaskStatus> {
        self.table.as_ref()?.get(attempt)
    }

    /// Returns the attempts in the host's table.
    pub(crate) fn statuses(&self) -> impl Iterator<Item = &TaskStatus> {
        self.table.iter().flat_map(BTreeMap::values)
    }

    /// Returns the total size of the running attempts.
    pub(crate) fn running_size(&self) -> ResourceSize {
        self.statuses()
            .filter(|status| status.phase == TaskPhase::Running)
            .fold(ResourceSize::default(), |sum, status| {
                sum.plus(&status.size)
            })
    }
}

/// Hosts of a cell.
#[derive(Clone, Debug, Default)]
pub(crate) struct HostTable {
    hosts: BTreeMap<HostId, HostEntry>,
}

impl HostTable {
    /// Returns the hosts by name.
    pub(crate) fn hosts(&self) -> &BTreeMap<HostId, HostEntry> {
        &self.hosts
    }

    pub(crate) fn get(&self, host: &HostId) -> Option<&HostEntry> {
        self.hosts.get(host)
    }

    pub(crate) fn get_mut(&mut self, host: &HostId) -> Option<&mut HostEntry> {
        self.hosts.get_mut(host)
    }

    /// Applies a heartbeat; returns false for one that is not newer than the last.
    pub(crate) fn apply_heartbeat(
        &mut self,
        heartbeat: &HostHeartbeat,
        epoch: Epoch,
        now: MonoTime,
    ) -> bool {
        let known = self.hosts.get(&heartbeat.host);
        let stale = known.is_some_and(|entry| {
            (heartbeat.incarnation, heartbeat.sequence) <= (entry.incarnation, entry.sequence)
        });
        if stale {
            return false;
        }
        let restarted = known.is_none_or(|entry| entry.incarnation != heartbeat.incarnation);
        let entry = self
            .hosts
            .entry(heartbeat.host.clone())
            .or_insert_with(|| new_entry(heartbeat, now));
        if restarted {
            entry.table = None;
            entry.digest = 0;
            entry.follows_since = None;
        }
        refresh(entry, heartbeat, now);
        if heartbeat.epoch >= epoch && entry.follows_since.is_none() {
            entry.follows_since = Some(now);
        }
        update_table(entry, heartbeat, now);
        true
    }

    /// Removes the hosts whose last heartbeat was received earlier than `before`.
    pub(crate) fn remove_silent(&mut self, before: MonoTime) {
        self.hosts.retain(|_, entry| entry.received >= before);
    }

    /// Returns a host as a member of the cell's view.
    pub(crate) fn member(host: &HostId, entry: &HostEntry) -> ViewMember {
        ViewMember {
            host: host.clone(),
            incarnation: entry.incarnation,
            link_address: entry.address,
        }
    }
}

fn new_entry(heartbeat: &HostHeartbeat, now: MonoTime) -> HostEntry {
    HostEntry {
        incarnation: heartbeat.incarnation,
        address: heartbeat.link_address,
        rack: heartbeat.rack.clone(),
        capacity: heartbeat.capacity,
        sequence: heartbeat.sequence,
        clock: heartbeat.clock,
        received: now,
        renewed: None,
        follows_since: None,
        table: None,
        digest: 0,
        table_at: now,
        service_p99_us: None,
        view: heartbeat.view,
        leaving: heartbeat.leaving,
    }
}

fn refresh(entry: &mut HostEntry, heartbeat: &HostHeartbeat, now: MonoTime) {
    entry.incarnation = heartbeat.incarnation;
    entry.address = heartbeat.link_address;
    entry.capacity = heartbeat.capacity;
    entry.sequence = heartbeat.sequence;
    entry.clock = heartbeat.clock;
    entry.received = now;
    entry.service_p99_us = heartbeat.service_p99_us;
    entry.view = heartbeat.view;
    entry.leaving = heartbeat.leaving;
}

fn update_table(entry: &mut HostEntry, heartbeat: &HostHeartbeat, now: MonoTime) {
    if heartbeat.whole {
        let statuses = heartbeat.tasks.iter().cloned();
        entry.table = Some(
            statuses
                .map(|status| (status.attempt.clone(), status))
                .collect(),
        );
        entry.digest = heartbeat.table_digest;
    }
    if entry.table.is_some() && entry.digest == heartbeat.table_digest {
        entry.table_at = now;
    }
}
