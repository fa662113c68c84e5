//! Snapshots of several planners: a late one does not damage a newer one.

mod world;

use bytes::Bytes;
use hornbeamlead_emulator::store::EmulatedStore;
use hornbeamlead_jobs::ids::JobId;
use hornbeamlead_jobs::job::JobPhase;
use hornbeamlead_jobs::ledger::JobLedger;
use hornbeamlead_jobs::record::{PlanRecord, PlannerClaim, encode};
use hornbeamlead_jobs::snapshot::{SnapshotSet, read_snapshot, snapshot_records};
use hornbeamlead_jobs::store::{
    AppendCondition, NewRecord, ReadRecord, StoreOperation, StreamName,
};
use rstest::rstest;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use world::lone::LonePlanner;

/// Number of ended jobs of which a snapshot has two parts.
const LARGE: u64 = 30_000;

/// Newest records of the snapshots stream.
#[derive(Default)]
struct SnapshotStream {
    end: u64,
    newest: BTreeMap<Box<str>, ReadRecord>,
}

impl SnapshotStream {
    fn append(&mut self, records: Vec<NewRecord>) {
        for record in records {
            let key = record.key.expect("parts have keys");
            let (offset, value) = (self.end, record.value);
            self.end += 1;
            let record = ReadRecord {
                offset,
                key: key.clone(),
                value,
            };
            self.newest.insert(key, record);
        }
    }

    fn records(&self) -> Vec<ReadRecord> {
        self.newest.values().cloned().collect()
    }

    fn read(&self) -> Option<(JobLedger, u64)> {
        read_snapshot(&self.records()).expect("the snapshot decodes")
    }
}

fn ledger(ended: u64) -> JobLedger {
    let ended = (0..ended).map(|job| (JobId(job << 40), JobPhase::Completed));
    JobLedger {
        ended: ended.collect(),
        ..JobLedger::default()
    }
}

/// Guards against a late snapshot of a deposed planner that replaces a part of its successor's.
#[test]
fn late_snapshot() {
    let (small, large) = (ledger(1), ledger(LARGE));
    let first = SnapshotSet::default();
    let late = snapshot_records(&small, 10, first);
    let newer = snapshot_records(&large, 20, first.next());
    assert_eq!((late.len(), newer.len()), (1, 2));
    let mut stream = SnapshotStream::default();
    stream.append(newer);
    stream.append(late);
    assert_eq!(stream.read(), Some((large, 20)));
}

/// Guards against a recovery that waits for the next snapshot although an earlier one is complete.
#[test]
fn damaged_snapshot() {
    let (small, large) = (ledger(1), ledger(LARGE));
    let set = SnapshotSet::default();
    let mut stream = SnapshotStream::default();
    stream.append(snapshot_records(&small, 10, set.next()));
    stream.append(snapshot_records(&large, 20, set));
    stream.append(snapshot_records(&small, 15, set));
    assert_eq!(stream.read(), Some((small, 15)));
}

/// Guards against a record of another writer that no planner and no entry gets past.
#[rstest]
#[case("part/7", b"\x09")]
#[case("part/0", b"")]
#[case(
    "part/0",
    b"\x01\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01\x00\x01\x02\xff\xff"
)]
#[case("other", b"odd")]
#[case("", b"\x01")]
fn odd_record(#[case] key: &str, #[case] value: &'static [u8]) {
    let set = SnapshotSet::default();
    let mut stream = SnapshotStream::default();
    stream.append(snapshot_records(&ledger(LARGE), 10, set.next()));
    stream.append(vec![NewRecord {
        key: Some(key.into()),
        value: Some(Bytes::from_static(value)),
    }]);
    assert_eq!(stream.read(), Some((ledger(LARGE), 10)));
}

/// Guards against a planner that starts without the state that it cannot read.
#[test]
fn all_unreadable() {
    let mut stream = SnapshotStream::default();
    stream.append(vec![NewRecord {
        key: Some("part/0".into()),
        value: Some(Bytes::from_static(b"odd")),
    }]);
    assert!(read_snapshot(&stream.records()).is_err());
}

/// Guards against parts that the version before cannot read: it takes the parts with the highest
/// plan offset under any keys, and writes its own under `part/0` and so on.
#[test]
fn earlier_versions() {
    let set = SnapshotSet::default();
    let keys = |set: SnapshotSet| {
        let records = snapshot_records(&ledger(LARGE), 7, set);
        let keys = records.into_iter().filter_map(|record| record.key);
        keys.collect::<Vec<_>>()
    };
    assert_eq!(keys(set), ["part/0".into(), "part/1".into()]);
    let other = keys(set.next());
    assert!(other.iter().all(|key| !keys(set).contains(key)));
    assert_eq!(keys(set.next().next()), keys(set));
}

/// Guards against a set that is not that of the snapshot from which a planner recovers.
#[test]
fn set_of_newest() {
    let set = SnapshotSet::default();
    let mut stream = SnapshotStream::default();
    assert_eq!(SnapshotSet::of_newest(&stream.records()), set);
    stream.append(snapshot_records(&ledger(1), 10, set.next()));
    stream.append(snapshot_records(&ledger(1), 5, set));
    assert_eq!(SnapshotSet::of_newest(&stream.records()), set.next());
}

/// Guards against a planner that writes to the set of its predecessor, whether that has stored a
/// snapshot or not.
#[rstest]
#[case(0, "part2/0")]
#[case(1, "part/0")]
#[case(2, "part2/0")]
fn successor_set(#[case] deposed: usize, #[case] key: &str) {
    let mut store = EmulatedStore::default();
    let condition = AppendCondition::Always;
    let snapshot = snapshot_records(&ledger(1), 0, SnapshotSet::default());
    store.append(10_000, StreamName::Snapshots, &snapshot, condition);
    let claim = PlanRecord::Takeover(PlannerClaim {
        host: "h9".into(),
        incarnation: 9,
        address: SocketAddr::from(([10, 0, 0, 9], 7000)),
    });
    let claim = NewRecord {
        key: None,
        value: Some(encode(&claim)),
    };
    let claims = vec![claim; deposed];
    store.append(10_000, StreamName::Plan, &claims, condition);
    let mut planner = LonePlanner::new(store, 10_000);
    planner.run(1000);
    let written = planner.calls.iter().find_map(|call| match call {
        StoreOperation::Append {
            stream: StreamName::Snapshots,
            records,
            ..
        } => records[0].key.clone(),
        _ => None,
    });
    assert_eq!(written.as_deref(), Some(key));
}
