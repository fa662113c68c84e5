//! Placement: which waiting task goes next, and to which host.

use hornbeamlead_core::ids::{HostId, KindName, RackName};
use hornbeamlead_core::resource::{AcceleratorCount, CpuMillis, MemoryMebibytes, ResourceSize};
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// Room kept for urgent tasks on a host: one core and 1 GiB.
pub const URGENT_ROOM: ResourceSize = ResourceSize {
    cpu: CpuMillis(1_000),
    memory: MemoryMebibytes(1_024),
    accelerators: AcceleratorCount(0),
};

/// Hosts of a cell for each one that keeps room for urgent tasks.
pub const HOSTS_PER_KEPT_ROOM: usize = 16;

/// Waiting task as the order of placement sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedTask {
    /// Index in the caller's list.
    pub index: usize,
    /// Whether it goes before all that are not urgent.
    pub urgent: bool,
    /// Time left to the deadline after the expected run time, in milliseconds.
    pub slack_ms: i64,
    /// Greater goes first among tasks of equal slack.
    pub priority: u8,
    /// Rank of the claim.
    pub rank: u64,
}

/// Sorts waiting tasks: urgent first, then least slack, then priority, then rank.
pub fn sort_by_need(tasks: &mut [QueuedTask]) {
    tasks.sort_by(by_need);
}

/// Sorts waiting tasks in the order of their claims.
pub fn sort_by_rank(tasks: &mut [QueuedTask]) {
    tasks.sort_by_key(|task| (task.rank, task.index));
}

fn by_need(left: &QueuedTask, right: &QueuedTask) -> Ordering {
    right
        .urgent
        .cmp(&left.urgent)
        .then(left.slack_ms.cmp(&right.slack_ms))
        .then(right.priority.cmp(&left.priority))
        .then((left.rank, left.index).cmp(&(right.rank, right.index)))
}

/// Host as placement sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostRoom {
    /// Host.
    pub host: HostId,
    /// Its rack.
    pub rack: RackName,
    /// What batch tasks may take in all.
    pub capacity: ResourceSize,
    /// What is left.
    pub room: ResourceSize,
    /// Part of it that is kept for urgent tasks.
    pub kept: ResourceSize,
    /// Kinds of the tasks there.
    pub kinds: Vec<KindName>,
    /// Whether the service there is over its latency goal, so that nothing may be added.
    pub pressed: bool,
    /// Whether at most one task may be started there, as a probe.
    pub probe: bool,
}

/// Task that looks for a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeekingTask<'a> {
    /// Kind.
    pub kind: &'a KindName,
    /// Reservation.
    pub size: ResourceSize,
    /// Whether it may go to a host whose service is over its latency goal.
    pub urgent: bool,
    /// Host on which its last attempt failed.
    pub avoid: Option<&'a HostId>,
    /// Tasks of the same job on each rack, for the spread.
    pub on_rack: &'a BTreeMap<RackName, u32>,
}

/// Returns the index of the first host with room, in the order given.
#[must_use]
pub fn first_fit(size: &ResourceSize, hosts: &[HostRoom]) -> Option<usize> {
    hosts.iter().position(|host| size.fits(&host.room))
}

/// Returns the index of the host that suits a task best.
///
/// Expected harm to the service counts first, then the spread over racks, then the room left.
#[must_use]
pub fn best_fit(
    task: &SeekingTask<'_>,
    hosts: &[HostRoom],
    harm: impl Fn(&HostRoom) -> u64,
) -> Option<usize> {
    hosts
        .iter()
        .enumerate()
        .filter(|(_, host)| task.size.fits(&room_for(task, host)))
        .filter(|(_, host)| task.urgent || !host.pressed)
        .filter(|(_, host)| task.avoid != Some(&host.host))
        .min_by_key(|(_, host)| {
            let load = load_permille(host);
            let spread = task.on_rack.get(&host.rack).copied().unwrap_or(0);
            (host.pressed, harm(host), spread, load)
        })
        .map(|(index, _)| index)
}

/// Returns the room that a task may use.
fn room_for(task: &SeekingTask<'_>, host: &HostRoom) -> ResourceSize {
    match task.urgent {
        true => host.room,
        false => host.room.minus(&host.kept),
    }
}

/// Keeps room for urgent tasks on the first of every [`HOSTS_PER_KEPT_ROOM`] calm hosts.
///
/// Without it an urgent task waits until some other task ends, since a full cell starts the next
/// waiting task as soon as one does.
pub fn keep_urgent_room(hosts: &mut [HostRoom]) {
    let calm = hosts.iter_mut().filter(|host| !host.pressed && !host.probe);
    for host in calm.step_by(HOSTS_PER_KEPT_ROOM) {
        host.kept = URGENT_ROOM;
    }
}

/// Returns how much of a host's most used resource is taken, in thousandths.
fn load_permille(host: &HostRoom) -> u64 {
    let part = |room: u64, whole: u64| {
        let taken = whole.saturating_sub(room) * 1000;
        taken.checked_div(whole).unwrap_or(0)
    };
    let cpu = part(host.room.cpu.0.into(), host.capacity.cpu.0.into());
    let memory = part(host.room.memory.0.into(), host.capacity.memory.0.into());
    cpu.max(memory)
}
