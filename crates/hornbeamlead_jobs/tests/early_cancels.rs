//! Cancellations that the planner reads before their jobs, or whose jobs never come.

mod world;

use hornbeamlead_emulator::store::EmulatedStore;
use hornbeamlead_jobs::entry::{CANCEL_PREFIX, JOB_PREFIX};
use hornbeamlead_jobs::ids::JobId;
use hornbeamlead_jobs::job::{JobBody, JobPhase, JobRecord, StepSpec};
use hornbeamlead_jobs::record::{PlanRecord, encode};
use hornbeamlead_jobs::store::{
    AppendCondition, NewRecord, StoreOperation, StoreOutcome, StreamName,
};
use rstest::rstest;
use world::lone::LonePlanner;

const JOB: JobId = JobId(0xaa);

const START_MS: u64 = 10_000;

/// Time in which a planner recovers, or handles what is stored, in milliseconds.
const SETTLE_MS: u64 = 1000;

fn append_job(store: &mut EmulatedStore, now_ms: u64, job: JobId) {
    let step = StepSpec {
        tasks: 1,
        ..StepSpec::default()
    };
    let record = JobRecord {
        body: JobBody {
            steps: vec![step],
            ..JobBody::default()
        },
        ..JobRecord::default()
    };
    append(store, now_ms, format!("{JOB_PREFIX}{job}"), encode(&record));
}

fn append_cancel(store: &mut EmulatedStore, now_ms: u64, job: JobId) {
    append(store, now_ms, format!("{CANCEL_PREFIX}{job}"), encode(&()));
}

fn append(store: &mut EmulatedStore, now_ms: u64, key: String, value: bytes::Bytes) {
    let record = NewRecord {
        key: Some(key.into()),
        value: Some(value),
    };
    let condition = AppendCondition::Always;
    store.append(now_ms, StreamName::Jobs, &[record], condition);
}

/// Returns the phase in which a job was closed, by the records of the plan that are still stored.
fn closed(planner: &LonePlanner, job: JobId) -> Option<JobPhase> {
    planner
        .plan_records()
        .into_iter()
        .find_map(|record| match record {
            PlanRecord::Closed { job: it, phase } if it == job => Some(phase),
            _ => None,
        })
}

fn is_accepted(planner: &LonePlanner, job: JobId) -> bool {
    let accepted =
        |record: &PlanRecord| matches!(record, PlanRecord::Accepted { job: it, .. } if *it == job);
    planner.plan_records().iter().any(accepted)
}

/// Returns the keys of the jobs stream.
fn stored_keys(store: &EmulatedStore) -> Vec<Box<str>> {
    let stream = StreamName::Jobs;
    let after = None;
    match store.read(&StoreOperation::Newest { stream, after }) {
        Some(StoreOutcome::Page { records, .. }) => records.into_iter().map(|it| it.key).collect(),
        other => panic!("unexpected outcome {other:?}"),
    }
}

fn active(store: EmulatedStore, now_ms: u64) -> LonePlanner {
    let mut planner = LonePlanner::new(store, now_ms);
    planner.run(SETTLE_MS);
    assert!(planner.is_active());
    planner
}

/// Guards against a job that runs although its cancellation was acknowledged, because its append was
/// carried out late.
#[rstest]
fn job_after_cancel(#[values(50, 3000, 15_000)] pause_ms: u64) {
    let mut planner = active(EmulatedStore::default(), START_MS);
    append_cancel(&mut planner.store, planner.now_ms, JOB);
    planner.run(pause_ms);
    append_job(&mut planner.store, planner.now_ms, JOB);
    planner.run(SETTLE_MS);
    assert!(is_accepted(&planner, JOB));
    assert_eq!(closed(&planner, JOB), Some(JobPhase::Cancelled));
}

/// Guards against the same where the planner that has read the cancellation is replaced.
#[rstest]
fn next_planner(#[values(false, true)] stored_before: bool) {
    let mut planner = active(EmulatedStore::default(), START_MS);
    append_cancel(&mut planner.store, planner.now_ms, JOB);
    planner.run(15_000);
    let (mut store, now_ms) = (planner.store, planner.now_ms);
    if stored_before {
        append_job(&mut store, now_ms, JOB);
    }
    let mut planner = LonePlanner::with_epoch(store, now_ms, 2);
    planner.run(SETTLE_MS);
    assert!(planner.is_active());
    if !stored_before {
        append_job(&mut planner.store, planner.now_ms, JOB);
        planner.run(SETTLE_MS);
    }
    assert_eq!(closed(&planner, JOB), Some(JobPhase::Cancelled));
}

/// Guards against a job that nobody has submitted and that is shown as cancelled.
#[test]
fn never_shown() {
    let mut planner = active(EmulatedStore::default(), START_MS);
    append_cancel(&mut planner.store, planner.now_ms, JOB);
    planner.run(SETTLE_MS);
    assert_eq!(closed(&planner, JOB), None);
    assert!(!is_accepted(&planner, JOB));
}

/// Guards against cancellations of ids that never existed, which are kept for ever.
#[rstest]
fn forgotten(#[values(1, 500)] count: u64) {
    let mut planner = active(EmulatedStore::default(), START_MS);
    for job in 0..count {
        append_cancel(&mut planner.store, planner.now_ms, JobId(job));
    }
    planner.run(30_000);
    assert_eq!(stored_keys(&planner.store).len() as u64, count);
    planner.run(60_000);
    assert_eq!(stored_keys(&planner.store).len(), 0);
    append_job(&mut planner.store, planner.now_ms, JobId(0));
    planner.run(SETTLE_MS);
    assert_eq!(closed(&planner, JobId(0)), None, "a job of its own");
}

/// Guards against memory that grows with the number of such cancellations.
#[test]
fn number_limited() {
    let mut planner = active(EmulatedStore::default(), START_MS);
    for job in 0..20_000 {
        append_cancel(&mut planner.store, planner.now_ms, JobId(job));
    }
    planner.run(10_000);
    let stored = stored_keys(&planner.store).len();
    assert!(stored <= 8192, "{stored}");
}

/// Guards against cancellations of ended jobs that stay in the store for ever.
#[test]
fn after_end() {
    let mut planner = active(EmulatedStore::default(), START_MS);
    append_job(&mut planner.store, planner.now_ms, JOB);
    append_cancel(&mut planner.store, planner.now_ms, JOB);
    planner.run(8000);
    assert_eq!(stored_keys(&planner.store).len(), 0);
    append_cancel(&mut planner.store, planner.now_ms, JOB);
    planner.run(8000);
    assert_eq!(stored_keys(&planner.store).len(), 0);
}
