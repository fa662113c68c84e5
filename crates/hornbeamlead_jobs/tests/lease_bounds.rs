//! Lease bounds in the plan: snapshots keep them, and planners of earlier versions end them.

use hornbeamlead_jobs::ids::{HostName, StreamOffset};
use hornbeamlead_jobs::ledger::JobLedger;
use hornbeamlead_jobs::record::{PlanRecord, PlannerClaim, decode, encode};
use hornbeamlead_jobs::snapshot::{SnapshotSet, read_snapshot, snapshot_records};
use hornbeamlead_jobs::store::{NewRecord, ReadRecord};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Snapshot part as earlier versions encode it.
#[derive(Serialize, Deserialize)]
struct EarlierPart {
    plan_offset: StreamOffset,
    number: u32,
    parts: u32,
    content: Vec<u8>,
}

fn host() -> HostName {
    "h1".into()
}

fn bound(remaining_ms: Option<u32>) -> PlanRecord {
    PlanRecord::LeaseBound {
        host: host(),
        remaining_ms,
    }
}

fn claim() -> PlannerClaim {
    PlannerClaim {
        host: "h2".into(),
        incarnation: 1,
        address: SocketAddr::from(([10, 0, 0, 1], 7000)),
    }
}

fn bounded_ledger() -> JobLedger {
    let mut ledger = JobLedger::default();
    ledger.apply(&PlanRecord::GrantsConfirmed);
    ledger.apply(&bound(Some(4000)));
    ledger
}

fn read_records(records: Vec<NewRecord>) -> Vec<ReadRecord> {
    let read = |(offset, record): (usize, NewRecord)| ReadRecord {
        offset: offset as u64,
        key: record.key.unwrap_or_default(),
        value: record.value,
    };
    records.into_iter().enumerate().map(read).collect()
}

#[test]
fn snapshot_keeps_bound() {
    let ledger = bounded_ledger();
    let records = read_records(snapshot_records(&ledger, 7, SnapshotSet::First));
    assert_eq!(read_snapshot(&records), Ok(Some((ledger, 7))));
}

/// A snapshot that an earlier version wrote ends with the ledger.
#[test]
fn earlier_snapshot() {
    let mut records = read_records(snapshot_records(
        &JobLedger::default(),
        7,
        SnapshotSet::First,
    ));
    let value = records[0].value.as_deref().expect("the part has a value");
    let mut part = decode::<EarlierPart>(value).expect("the part decodes");
    let no_leases = [1, 0, 0];
    assert!(part.content.ends_with(&no_leases));
    part.content.truncate(part.content.len() - no_leases.len());
    records[0].value = Some(encode(&part));
    assert_eq!(read_snapshot(&records), Ok(Some((JobLedger::default(), 7))));
}

#[test]
fn bound_withdrawn() {
    let mut ledger = bounded_ledger();
    ledger.apply(&PlanRecord::Takeover(claim()));
    let remaining = Duration::from_secs(4);
    assert_eq!(ledger.lease_bounds.get(&host()), Some(&remaining));
    assert!(ledger.confirmed_grants);
    ledger.apply(&bound(None));
    assert!(ledger.lease_bounds.is_empty());
}

/// A planner of an earlier version grants leases to hosts whose bounds it does not know, and for a
/// while after its last append.
#[test]
fn earlier_planner() {
    let mut ledger = bounded_ledger();
    ledger.apply(&PlanRecord::Claim(claim()));
    assert!(ledger.lease_bounds.is_empty());
    assert!(!ledger.confirmed_grants);
    ledger.apply(&PlanRecord::Takeover(claim()));
    assert!(!ledger.confirmed_grants);
}
