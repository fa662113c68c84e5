//! The journal is applied to a snapshot only if it certainly holds all that the snapshot lacks.

use bytes::Bytes;
use hornbeamlead_jobs::ids::{JobId, PlannerEpoch};
use hornbeamlead_jobs::job::JobPhase;
use hornbeamlead_jobs::journal::{JournalEntry, JournalGap, SnapshotOrigin, read_journal};
use hornbeamlead_jobs::ledger::JobLedger;
use hornbeamlead_jobs::record::{PlanRecord, encode};
use hornbeamlead_jobs::snapshot::{SnapshotSet, read_snapshot, snapshot_records};
use hornbeamlead_jobs::store::{NewRecord, ReadRecord};
use rstest::rstest;

/// Limit of the store for a record, in bytes.
const RECORD_BYTES: usize = 256 * 1024;

/// Offset of the claim of each epoch.
const CLAIMS: [u64; 4] = [0, 10, 50, 90];

/// Returns an entry with one record at the begin of its section.
fn entry(epoch: u64, since: u64, end: u64) -> JournalEntry {
    let record = PlanRecord::Closed {
        job: JobId(since),
        phase: JobPhase::Completed,
    };
    JournalEntry {
        epoch: PlannerEpoch(epoch),
        claim: CLAIMS[epoch as usize],
        since,
        end,
        records: vec![(since, encode(&record))],
    }
}

fn read(records: Vec<NewRecord>) -> Vec<ReadRecord> {
    let read = |record: NewRecord| ReadRecord {
        offset: 0,
        key: record.key.unwrap_or_default(),
        value: record.value,
    };
    records.into_iter().map(read).collect()
}

/// Entries of two planners, whose second one has claimed at 50 and started from a snapshot at 40.
fn two_planners() -> Vec<JournalEntry> {
    vec![
        entry(1, 30, 42),
        entry(2, 40, 53),
        entry(2, 53, 60),
        entry(2, 60, 66),
    ]
}

fn replay(
    entries: &[JournalEntry],
    offset: u64,
    writer: Option<u64>,
) -> Result<Vec<u64>, JournalGap> {
    let records = entries.iter().enumerate();
    let records = records.map(|(slot, entry)| entry.to_record(slot)).collect();
    let writer = writer.map(PlannerEpoch);
    let copies = read_journal(&read(records), SnapshotOrigin { offset, writer })?;
    Ok(copies.into_iter().map(|copy| copy.0).collect())
}

#[rstest]
#[case::predecessor(40, Some(1), &[40, 53, 60])]
#[case::predecessor_newer(45, Some(1), &[53, 60])]
#[case::earlier_version_before(45, None, &[53, 60])]
#[case::own(55, Some(2), &[60])]
#[case::own_newest(80, Some(2), &[])]
#[case::successor_idle(95, Some(3), &[])]
fn complete(#[case] offset: u64, #[case] writer: Option<u64>, #[case] expected: &[u64]) {
    let copies = replay(&two_planners(), offset, writer);
    assert_eq!(copies.as_deref(), Ok(expected));
}

/// A planner of an earlier version, which copies nothing, has acted after those of the journal.
#[rstest]
#[case(two_planners())]
#[case(Vec::new())]
fn earlier_version_after(#[case] entries: Vec<JournalEntry>) {
    assert_eq!(replay(&entries, 80, None), Err(JournalGap::Unwritten));
}

/// A snapshot older than that from which the planner started has all but its first entries released.
#[rstest]
#[case(35, 40, 0)]
#[case(45, 53, 1)]
#[case(45, 60, 2)]
fn incomplete(#[case] offset: u64, #[case] since: u64, #[case] missing: usize) {
    let mut entries = two_planners();
    if missing > 0 {
        entries.remove(missing);
    }
    let copies = replay(&entries, offset, Some(1));
    assert_eq!(copies, Err(JournalGap::Incomplete { since }));
}

#[test]
fn unreadable() {
    let mut records = read(vec![entry(1, 30, 42).to_record(0)]);
    records[0].value = Some(Bytes::from_static(b"\x09"));
    let origin = SnapshotOrigin {
        offset: 30,
        writer: None,
    };
    let gap = read_journal(&records, origin);
    assert!(matches!(gap, Err(JournalGap::Unreadable { .. })), "{gap:?}");
}

/// Guards against a record of another writer after which no planner becomes active. What stands under
/// the key of an entry may be one.
#[rstest]
#[case("odd")]
#[case("")]
#[case("-1")]
#[case("0x")]
fn other_key(#[case] key: &str) {
    let entries = two_planners();
    let records = entries.iter().enumerate();
    let mut records = read(records.map(|(slot, entry)| entry.to_record(slot)).collect());
    let origin = SnapshotOrigin {
        offset: 45,
        writer: Some(PlannerEpoch(1)),
    };
    let whole = read_journal(&records, origin);
    assert!(whole.is_ok());
    records.push(ReadRecord {
        offset: 99,
        key: key.into(),
        value: Some(Bytes::from_static(b"odd")),
    });
    assert_eq!(read_journal(&records, origin), whole);
}

/// What a planner finds at its start can be larger than a record of the store.
#[rstest]
#[case(300, 4000)]
#[case(8, 100_000)]
fn large_entry(#[case] size: usize, #[case] end: u64) {
    let content = Bytes::from(vec![7; size]);
    let records: Vec<_> = (40..end).map(|offset| (offset, content.clone())).collect();
    let whole = JournalEntry {
        records: records.clone(),
        ..entry(2, 38, end + 5)
    };
    let parts = whole.split();
    assert!(parts.len() > 4);
    let size = |part: &JournalEntry| part.to_record(0).value.map_or(0, |value| value.len());
    assert!(parts.iter().map(size).max() <= Some(RECORD_BYTES));
    let offsets: Vec<_> = records.iter().map(|record| record.0).collect();
    assert_eq!(replay(&parts, 38, Some(1)), Ok(offsets));
}

/// Snapshots of earlier versions end with what is known of leases.
#[test]
fn snapshot_writer() {
    for journaled in [None, Some(PlannerEpoch(7))] {
        let ledger = JobLedger {
            journaled,
            ..JobLedger::default()
        };
        let records = read(snapshot_records(&ledger, 7, SnapshotSet::First));
        assert_eq!(read_snapshot(&records), Ok(Some((ledger, 7))));
    }
}
