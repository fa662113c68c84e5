//! Order of waiting tasks and choice of a host for each.

use hornbeamlead_core::ids::{HostId, KindName, RackName};
use hornbeamlead_core::resource::{AcceleratorCount, CpuMillis, MemoryMebibytes, ResourceSize};
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// Capacity reserved for urgent tasks on a host: one core and 1 GiB.
pub const URGENT_RESERVE: ResourceSize = ResourceSize {
    cpu: CpuMillis(1_000),
    memory: MemoryMebibytes(1_024),
    accelerators: AcceleratorCount(0),
};

/// One in this many hosts of a cell reserves capacity for urgent tasks.
pub const HOSTS_PER_URGENT_RESERVE: usize = 16;

/// Sort key of a waiting task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedTask {
    /// Index in the caller's list.
    pub index: usize,
    /// Whether the task precedes all tasks that are not urgent.
    pub urgent: bool,
    /// Time left to the deadline after the expected run time, in milliseconds.
    pub slack_ms: i64,
    /// Priority among tasks of equal slack; the greater goes first.
    pub priority: u8,
    /// Rank of the claim.
    pub rank: u64,
}

/// Sorts waiting tasks: urgent first, then least slack, then priority, then rank.
pub fn sort_by_urgency(tasks: &mut [QueuedTask]) {
    tasks.sort_by(by_urgency);
}

/// Sorts waiting tasks in the order of their claims.
pub fn sort_by_rank(tasks: &mut [QueuedTask]) {
    tasks.sort_by_key(|task| (task.rank, task.index));
}

fn by_urgency(left: &QueuedTask, right: &QueuedTask) -> Ordering {
    right
        .urgent
        .cmp(&left.urgent)
        .then(left.slack_ms.cmp(&right.slack_ms))
        .then(right.priority.cmp(&left.priority))
        .then((left.rank, left.index).cmp(&(right.rank, right.index)))
}

/// Host that may receive a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CandidateHost {
    /// Host.
    pub host: HostId,
    /// Rack of the host.
    pub rack: RackName,
    /// Total capacity for batch tasks.
    pub capacity: ResourceSize,
    /// Capacity not taken by running tasks or pending start orders.
    pub free: ResourceSize,
    /// Part of the free capacity that only urgent tasks may use.
    pub reserved: ResourceSize,
    /// Kinds of the tasks running on the host.
    pub kinds: Vec<KindName>,
    /// Whether the live service on the host exceeds its latency goal, so that only urgent tasks may
    /// be added.
    pub over_goal: bool,
    /// Whether at most one task may be started on the host, as a probe.
    pub probe: bool,
}

/// Task to be placed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingTask<'a> {
    /// Kind of the task.
    pub kind: &'a KindName,
    /// Resources to reserve for it.
    pub size: ResourceSize,
    /// Whether it may be placed on a host whose service exceeds its latency goal.
    pub urgent: bool,
    /// Host on which its last attempt failed, to be avoided.
    pub avoid: Option<&'a HostId>,
    /// Number of running tasks of the same job on each rack, for spreading.
    pub on_rack: &'a BTreeMap<RackName, u32>,
}

/// Returns the index of the first host with enough free capacity.
#[must_use]
pub fn first_fit(size: &ResourceSize, hosts: &[CandidateHost]) -> Option<usize> {
    hosts.iter().position(|host| size.fits(&host.free))
}

/// Returns the index of the most suitable host for a task.
///
/// Expected interference with the service counts first, then the spread over racks, then the
/// utilization.
#[must_use]
pub fn best_fit(
    task: &PendingTask<'_>,
    hosts: &[CandidateHost],
    interference: impl Fn(&CandidateHost) -> u64,
) -> Option<usize> {
    hosts
        .iter()
        .enumerate()
        .filter(|(_, host)| task.size.fits(&free_for(task, host)))
        .filter(|(_, host)| task.urgent || !host.over_goal)
        .filter(|(_, host)| task.avoid != Some(&host.host))
        .min_by_key(|(_, host)| {
            let load = load_permille(host);
            let spread = task.on_rack.get(&host.rack).copied().unwrap_or(0);
            (host.over_goal, interference(host), spread, load)
        })
        .map(|(index, _)| index)
}

/// Returns the capacity of a host that a task may use.
fn free_for(task: &PendingTask<'_>, host: &CandidateHost) -> ResourceSize {
    match task.urgent {
        true => host.free,
        false => host.free.minus(&host.reserved),
    }
}

/// Reserves capacity for urgent tasks on the first of every [`HOSTS_PER_URGENT_RESERVE`] hosts
/// that are within their latency goal and not probed.
///
/// Without the reserve an urgent task in a full cell waits until another task ends, since the cell
/// starts the next waiting task as soon as capacity is free.
pub fn reserve_urgent_capacity(hosts: &mut [CandidateHost]) {
    let within_goal = hosts
        .iter_mut()
        .filter(|host| !host.over_goal && !host.probe);
    for host in within_goal.step_by(HOSTS_PER_URGENT_RESERVE) {
        host.reserved = URGENT_RESERVE;
    }
}

/// Returns the utilization of a host's most used resource, in thousandths.
fn load_permille(host: &CandidateHost) -> u64 {
    let part = |free: u64, whole: u64| {
        let taken = whole.saturating_sub(free) * 1000;
        taken.checked_div(whole).unwrap_or(0)
    };
    let cpu = part(host.free.cpu.0.into(), host.capacity.cpu.0.into());
    let memory = part(host.free.memory.0.into(), host.capacity.memory.0.into());
    cpu.max(memory)
}
