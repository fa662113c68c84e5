//! Snapshots that are larger than one call to the store, and jobs that ended long ago.

mod fleet;
mod world;

use fleet::Fleet;
use hornbeamlead_emulator::store::EmulatedStore;
use hornbeamlead_jobs::ids::JobId;
use hornbeamlead_jobs::index::PhaseIndex;
use hornbeamlead_jobs::job::{JobBody, JobPhase, StepSpec};
use hornbeamlead_jobs::ledger::JobLedger;
use hornbeamlead_jobs::record::PlanRecord;
use hornbeamlead_jobs::snapshot::{SnapshotSet, read_snapshot, snapshot_records};
use hornbeamlead_jobs::store::{
    AppendCondition, ReadRecord, StoreOperation, StoreOutcome, StreamName,
};
use rstest::rstest;
use world::lone::LonePlanner;

/// First reading of the clock, in milliseconds.
const START_MS: u64 = 10_000;

/// Ended jobs whose snapshot takes several calls.
const MANY: u64 = 500_000;

fn newest(planner: &LonePlanner) -> Vec<ReadRecord> {
    let newest = StoreOperation::Newest {
        stream: StreamName::Snapshots,
        after: None,
    };
    match planner.store.read(&newest) {
        Some(StoreOutcome::Page { records, .. }) => records,
        other => panic!("the store answers {other:?}"),
    }
}

fn snapshot(planner: &LonePlanner) -> Option<(JobLedger, u64)> {
    read_snapshot(&newest(planner)).expect("the snapshot decodes")
}

fn ended(count: u64) -> JobLedger {
    let ended = (0..count).map(|job| (JobId(job << 20), JobPhase::Completed));
    JobLedger {
        ended: ended.collect(),
        ..JobLedger::default()
    }
}

/// Stores a snapshot in as many calls as it takes.
fn store_with(ledger: &JobLedger) -> EmulatedStore {
    let mut store = EmulatedStore::default();
    for record in snapshot_records(ledger, 0, SnapshotSet::First) {
        let condition = AppendCondition::Always;
        store.append(START_MS, StreamName::Snapshots, &[record], condition);
    }
    store
}

/// Guards against snapshots that the store refuses for their size, so that no later process gets
/// ready. At any time there is a complete one, at most some seconds old.
#[rstest]
fn several_calls(#[values(1, 2)] planners: u64) {
    let mut planner = LonePlanner::new(store_with(&ended(MANY)), START_MS);
    for epoch in 1..=planners {
        if epoch > 1 {
            let (store, now_ms) = (std::mem::take(&mut planner.store), planner.now_ms);
            planner = LonePlanner::with_epoch(store, now_ms, epoch);
        }
        planner.run(3000);
        let mut last = snapshot(&planner).expect("a snapshot is complete").1;
        for _ in 0..10 {
            planner.run(800);
            let (ledger, offset) = snapshot(&planner).expect("a snapshot is complete");
            assert_eq!(ledger.ended.len() as u64, MANY);
            assert!(offset >= last);
            last = offset;
        }
        assert!(last > 20, "the newest snapshot ends at {last}");
        assert!(!planner.events.contains(&"upkeep_failed"));
    }
}

/// Guards against bodies and ends of jobs that are kept for good.
#[test]
fn ended_forgotten() {
    let step = StepSpec {
        tasks: 1,
        cpu: 250,
        memory: 16,
        estimate_ms: 100,
        ..StepSpec::default()
    };
    let body = JobBody {
        spec: "work".into(),
        steps: vec![step],
        ..JobBody::default()
    };
    let planner = LonePlanner::new(EmulatedStore::default(), START_MS);
    let mut fleet = Fleet::new(planner, 2, 100);
    fleet.run(1000);
    for number in 1..=500 {
        fleet.submit(JobId(number), body.clone());
    }
    fleet.run(20_000);
    let bodies = StoreOperation::Newest {
        stream: StreamName::Jobs,
        after: None,
    };
    let Some(StoreOutcome::Page { records, .. }) = fleet.planner.store.read(&bodies) else {
        panic!("the store answers");
    };
    assert_eq!(records.len(), 0);
    // Callers may ask for the state of a job for 2 min.
    fleet.run(150_000);
    let (ledger, _) = snapshot(&fleet.planner).expect("a snapshot is complete");
    assert_eq!(ledger.ended.len(), 500);
    // The next planner goes on counting.
    fleet.replace_planner(2);
    fleet.run(500_000);
    let (ledger, _) = snapshot(&fleet.planner).expect("a snapshot is complete");
    assert_eq!(ledger.ended.len(), 0);
}

/// Guards against an end that is forgotten while the body of its job may still be stored: the next
/// planner would run the job again.
#[test]
fn body_kept() {
    let planner = LonePlanner::new(EmulatedStore::default(), START_MS);
    let mut fleet = Fleet::new(planner, 2, 100);
    fleet.run(1000);
    let step = StepSpec {
        tasks: 1,
        cpu: 250,
        memory: 16,
        ..StepSpec::default()
    };
    let body = JobBody {
        spec: "work".into(),
        steps: vec![step],
        ..JobBody::default()
    };
    fleet.submit(JobId(1), body);
    fleet.planner.refused = Some(StreamName::Jobs);
    fleet.run(700_000);
    let (ledger, _) = snapshot(&fleet.planner).expect("a snapshot is complete");
    assert_eq!(ledger.phase(JobId(1)), Some(JobPhase::Completed));
    fleet.replace_planner(2);
    fleet.run(5000);
    assert_eq!(fleet.starts.len(), 1);
}

/// Guards against entries that keep what the plan has forgotten.
#[test]
fn entry_forgets() {
    let mut index = PhaseIndex::from(&ended(3));
    let jobs = Box::new([JobId(0), JobId(1 << 20)]);
    index.apply(&PlanRecord::Forgotten { jobs });
    assert_eq!(index.len(), 1);
    assert_eq!(index.phase(JobId(2 << 20)), Some(JobPhase::Completed));
}
