//! Plan records expire: snapshots keep up with them, and readers bear a gap.

mod world;

use hornbeamlead_emulator::store::EmulatedStore;
use hornbeamlead_jobs::snapshot::read_snapshot;
use hornbeamlead_jobs::store::{StoreOperation, StoreOutcome, StreamName};
use world::lone::LonePlanner;

/// Returns the plan offset of the newest snapshot.
fn snapshot_offset(store: &EmulatedStore) -> Option<u64> {
    let newest = store.read(&StoreOperation::Newest {
        stream: StreamName::Snapshots,
        after: None,
    });
    let Some(StoreOutcome::Page { records, .. }) = newest else {
        panic!("the store answers reads of the newest records");
    };
    let snapshot = read_snapshot(&records).expect("the snapshot decodes");
    snapshot.map(|(_, offset)| offset)
}

fn plan_end(store: &EmulatedStore) -> u64 {
    let read = StoreOperation::Read {
        stream: StreamName::Plan,
        from: 0,
        wait_until: hornbeamlead_core::clock::MonoTime(0),
        end_only: true,
    };
    match store.read_empty(&read) {
        StoreOutcome::Records { end, .. } => end,
        other => panic!("unexpected outcome {other:?}"),
    }
}

/// Guards against a snapshot that waits for the store and keeps out newer ones, so that what is
/// stored at last is older than the plan's retention.
#[test]
fn waiting_replaced() {
    let mut planner = LonePlanner::new(EmulatedStore::default(), 10_000);
    planner.refused = Some(StreamName::Snapshots);
    planner.run(25_000);
    assert!(planner.is_active());
    assert_eq!(snapshot_offset(&planner.store), None);
    let end = plan_end(&planner.store);
    planner.refused = None;
    planner.run(200);
    // A snapshot is made each 3 s, and a heartbeat is recorded each 250 ms.
    let offset = snapshot_offset(&planner.store).expect("a snapshot is stored");
    assert!(offset + 13 >= end, "{offset} of {end}");
}
