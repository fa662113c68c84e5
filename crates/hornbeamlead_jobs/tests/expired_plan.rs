//! Plan records expire: snapshots keep up with them, and readers bear a gap.

mod world;

use hornbeamlead_core::clock::{ClockReading, MonoTime, WallTime};
use hornbeamlead_emulator::store::EmulatedStore;
use hornbeamlead_jobs::effect::{Effect, LinkId};
use hornbeamlead_jobs::entry::{EntryEvent, EntryMachine};
use hornbeamlead_jobs::ids::{JobId, PlannerEpoch};
use hornbeamlead_jobs::ledger::JobLedger;
use hornbeamlead_jobs::locator::{LocatorPolicy, PlannerAddress, PlannerLocator};
use hornbeamlead_jobs::record::{PlanRecord, encode};
use hornbeamlead_jobs::snapshot::{SnapshotSet, read_snapshot, snapshot_records};
use hornbeamlead_jobs::store::{
    AppendCondition, NewRecord, StoreCall, StoreCaller, StoreOperation, StoreOutcome, StreamName,
};
use rstest::rstest;
use std::net::SocketAddr;
use world::lone::LonePlanner;
use world::{World, WorldFaults, WorldFormat};

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
        wait_until: MonoTime(0),
        end_only: true,
    };
    match store.read_empty(&read) {
        StoreOutcome::Records { end, .. } => end,
        other => panic!("unexpected outcome {other:?}"),
    }
}

/// Number of plan records that have expired in [`gap_store`].
const EXPIRED_RECORDS: u64 = 40;

/// Time at which the records of [`gap_store`] have expired, in milliseconds.
const GAP_MS: u64 = 40_000;

fn append(store: &mut EmulatedStore, now: u64, stream: StreamName, records: &[NewRecord]) {
    store.append(now, stream, records, AppendCondition::Always);
}

fn heartbeat() -> NewRecord {
    NewRecord {
        key: None,
        value: Some(encode(&PlanRecord::Tick { jobs_read: 0 })),
    }
}

/// Returns a store in which plan records have expired that the newest snapshot does not include.
fn gap_store() -> EmulatedStore {
    let mut store = EmulatedStore::default();
    let records = vec![heartbeat(); EXPIRED_RECORDS as usize];
    append(&mut store, 10_000, StreamName::Plan, &records);
    let snapshot = snapshot_records(
        &JobLedger::default(),
        EXPIRED_RECORDS - 4,
        SnapshotSet::First,
    );
    append(&mut store, 10_000, StreamName::Snapshots, &snapshot);
    let config = NewRecord {
        key: Some("config".into()),
        value: Some(encode(&1_u8)),
    };
    append(&mut store, 10_000, StreamName::Operators, &[config]);
    store.expire(GAP_MS);
    store
}

/// Adds a snapshot that includes the expired records.
fn close_gap(store: &mut EmulatedStore, now: u64) {
    let snapshot = snapshot_records(&JobLedger::default(), EXPIRED_RECORDS, SnapshotSet::First);
    append(store, now, StreamName::Snapshots, &snapshot);
}

fn is_plan_read(operation: &&StoreOperation) -> bool {
    matches!(
        operation,
        StoreOperation::Read {
            stream: StreamName::Plan,
            ..
        } | StoreOperation::Newest {
            stream: StreamName::Snapshots,
            ..
        }
    )
}

fn count(events: &[&str], event: &str) -> usize {
    events.iter().filter(|other| **other == event).count()
}

/// Guards against a recovery that reads an outdated snapshot over and over without a pause or a
/// word in the log, and against one that skips records.
#[test]
fn recovery_waits() {
    let mut planner = LonePlanner::new(gap_store(), GAP_MS);
    planner.run(10_000);
    assert!(!planner.is_active());
    let reads = planner.calls.iter().filter(is_plan_read).count();
    assert!(reads <= 20, "{reads} reads in 10 s");
    assert_eq!(count(&planner.events, "plan_gap"), 1);
    close_gap(&mut planner.store, planner.now_ms);
    planner.run(2500);
    assert!(planner.is_active());
}

/// Guards against an entry that reads an outdated snapshot over and over without a pause.
#[test]
fn entry_waits() {
    let mut store = gap_store();
    let mut entry = EntryMachine::new(WorldFormat);
    let (mut reads, mut events) = (0, Vec::new());
    let mut outcomes = Vec::new();
    for now_ms in (GAP_MS..GAP_MS + 13_000).step_by(10) {
        if now_ms == GAP_MS + 10_000 {
            assert!(reads <= 20, "{reads} reads in 10 s");
            assert_eq!(count(&events, "plan_gap"), 1);
            assert!(!entry.is_ready());
            close_gap(&mut store, now_ms);
            append(&mut store, now_ms, StreamName::Plan, &[heartbeat()]);
        }
        let now = ClockReading {
            mono: MonoTime(now_ms * 1000),
            wall: WallTime(now_ms),
        };
        let stored = std::mem::take(&mut outcomes).into_iter();
        let stored = stored.map(|(caller, outcome)| EntryEvent::Stored { caller, outcome });
        for event in stored.chain([EntryEvent::Tick]).collect::<Vec<_>>() {
            for effect in entry.handle(now, event) {
                match effect {
                    Effect::Store(call) => {
                        reads += usize::from(is_plan_read(&&call.operation));
                        let outcome = store.read(&call.operation);
                        let outcome = outcome.unwrap_or_else(|| store.read_empty(&call.operation));
                        outcomes.push((call.caller, outcome));
                    }
                    Effect::Log(line) => events.push(line.event),
                    _ => {}
                }
            }
        }
    }
    assert!(entry.is_ready());
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

/// Guards against a planner that is replaced after a long outage of the store by one that cannot
/// recover, because what the former knows has expired.
#[rstest]
fn store_away(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12)] seed: u64,
    #[values(18_000, 21_000, 30_000)] span_ms: u64,
) {
    let mut world = World::new(seed, 4, WorldFaults::default(), 0);
    world.run(3000);
    let job = JobId(23);
    world.submit(job, World::long_running_job(8));
    world.run(2000);
    assert_eq!(world.running(job).len(), 8);
    world.stop_store(span_ms);
    world.run(span_ms + 10_000);
    assert!(world.planner_host().is_some());
    assert_eq!(world.running(job).len(), 8);
    assert_eq!(world.judge.violations, Vec::<String>::new());
}

/// Guards against an election that is delayed by a call that failed long before.
#[test]
fn later_election() {
    let address = SocketAddr::from(([10, 0, 0, 1], 7000));
    let policy = LocatorPolicy {
        host: "h1".into(),
        incarnation: 1,
        address,
        seed: 1,
    };
    let mut locator = PlannerLocator::new(policy);
    let at = |ms: u64| MonoTime(ms * 1000);
    let epoch = PlannerEpoch(1);
    locator.learn_planner(at(1000), PlannerAddress { epoch, address });
    let link = LinkId(1);
    locator.tick(at(1000));
    locator.link_opened(at(1005), link);
    // The planner cannot reach the store for a moment, and neither can this process.
    locator.on_planner_message(at(1010), true);
    locator.tick(at(1010));
    let cause = "unavailable".into();
    let caller = election_caller(&locator.drain().0).expect("the plan's end is read");
    locator.stored(at(1020), caller, StoreOutcome::Refused { cause });
    locator.on_planner_message(at(1100), false);

    locator.link_closed(at(20_000), link, false);
    let end = 7;
    let records = Vec::new();
    let plan_end = StoreOutcome::Records { end, records };
    let claimed = (20_000..21_000).step_by(10).any(|ms| {
        locator.tick(at(ms));
        let (mut effects, _) = locator.drain();
        if let Some(caller) = election_caller(&effects) {
            locator.stored(at(ms), caller, plan_end.clone());
            effects.extend(locator.drain().0);
        }
        effects.iter().any(is_claim)
    });
    assert!(claimed);
}

/// Returns the caller of the latest call of an election.
fn election_caller(effects: &[Effect]) -> Option<StoreCaller> {
    effects.iter().rev().find_map(|effect| match effect {
        Effect::Store(call) if matches!(call.caller, StoreCaller::Claim(_)) => Some(call.caller),
        _ => None,
    })
}

fn is_claim(effect: &Effect) -> bool {
    matches!(
        effect,
        Effect::Store(StoreCall {
            operation: StoreOperation::Append {
                condition: AppendCondition::Claim { .. },
                ..
            },
            ..
        })
    )
}
