//! Order of waiting tasks and choice of a host.

use hornbeamlead_core::ids::{HostId, KindName, RackName};
use hornbeamlead_core::resource::{AcceleratorCount, CpuMillis, MemoryMebibytes, ResourceSize};
use hornbeamlead_schedule::placement::{
    CandidateHost, PendingTask, QueuedTask, best_fit, first_fit, reserve_urgent_capacity,
    sort_by_urgency,
};
use std::collections::BTreeMap;

fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("valid name")
}

fn size(cpu: u32) -> ResourceSize {
    ResourceSize {
        cpu: CpuMillis(cpu),
        memory: MemoryMebibytes(cpu),
        accelerators: AcceleratorCount(0),
    }
}

fn candidate(host: &str, rack: &str, left: u32) -> CandidateHost {
    CandidateHost {
        host: name(host),
        rack: name(rack),
        capacity: size(8_000),
        free: size(left),
        reserved: ResourceSize::default(),
        kinds: Vec::new(),
        over_goal: false,
        probe: false,
    }
}

fn queued(index: usize, urgent: bool, slack_ms: i64, priority: u8) -> QueuedTask {
    QueuedTask {
        index,
        urgent,
        slack_ms,
        priority,
        rank: index as u64,
    }
}

fn choose(
    hosts: &[CandidateHost],
    avoid: Option<&HostId>,
    counts: &[(&str, u32)],
) -> Option<usize> {
    let kind: KindName = name("seasoning");
    let on_rack: BTreeMap<RackName, u32> = counts
        .iter()
        .map(|(rack, count)| (name(rack), *count))
        .collect();
    let task = PendingTask {
        kind: &kind,
        size: size(1_000),
        urgent: false,
        avoid,
        on_rack: &on_rack,
    };
    best_fit(&task, hosts, |_| 0)
}

#[test]
fn urgent_then_slack() {
    let mut queue = vec![
        queued(0, false, 500, 1),
        queued(1, false, 100, 1),
        queued(2, false, 100, 9),
        queued(3, true, 9_000, 1),
    ];
    sort_by_urgency(&mut queue);
    let order: Vec<usize> = queue.iter().map(|task| task.index).collect();
    assert_eq!(order, [3, 2, 1, 0]);
}

#[test]
fn emptier_host_first() {
    let hosts = [candidate("a", "r1", 2_000), candidate("b", "r1", 6_000)];
    assert_eq!(choose(&hosts, None, &[]), Some(1));
    assert_eq!(first_fit(&size(1_000), &hosts), Some(0));
}

#[test]
fn spread_over_racks() {
    let hosts = [candidate("a", "r1", 6_000), candidate("b", "r2", 2_000)];
    assert_eq!(choose(&hosts, None, &[("r1", 3), ("r2", 1)]), Some(1));
}

#[test]
fn failed_host_avoided() {
    let hosts = [candidate("a", "r1", 6_000), candidate("b", "r1", 2_000)];
    assert_eq!(choose(&hosts, Some(&name("a")), &[]), Some(1));
}

#[test]
fn over_goal_or_full_skipped() {
    let mut hosts = [candidate("a", "r1", 6_000), candidate("b", "r1", 500)];
    hosts[0].over_goal = true;
    assert_eq!(choose(&hosts, None, &[]), None);
}

#[test]
fn urgent_over_goal() {
    let mut hosts = [candidate("a", "r1", 6_000), candidate("b", "r1", 2_000)];
    hosts[0].over_goal = true;
    let kind: KindName = name("seasoning");
    let on_rack = BTreeMap::new();
    let mut task = PendingTask {
        kind: &kind,
        size: size(1_000),
        urgent: true,
        avoid: None,
        on_rack: &on_rack,
    };
    assert_eq!(
        best_fit(&task, &hosts, |_| 0),
        Some(1),
        "hosts within their goal must be preferred"
    );
    task.size = size(4_000);
    assert_eq!(best_fit(&task, &hosts, |_| 0), Some(0));
}

#[test]
fn urgent_capacity_reserved() {
    let kind = name("urgent");
    let on_rack = BTreeMap::new();
    let mut hosts = vec![candidate("a", "r1", 1_000), candidate("b", "r1", 500)];
    reserve_urgent_capacity(&mut hosts);
    let mut task = PendingTask {
        kind: &kind,
        size: size(1_000),
        urgent: false,
        avoid: None,
        on_rack: &on_rack,
    };
    assert_eq!(best_fit(&task, &hosts, |_| 0), None);
    task.urgent = true;
    assert_eq!(best_fit(&task, &hosts, |_| 0), Some(0));
}
