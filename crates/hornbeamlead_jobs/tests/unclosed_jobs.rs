//! Jobs whose last end is in the plan without the record that closes them, as when a planner is
//! replaced between two appends.

mod world;

use bytes::Bytes;
use hornbeamlead_core::clock::{ClockReading, MonoTime, WallTime};
use hornbeamlead_core::policy::ServiceOrder;
use hornbeamlead_jobs::effect::Effect;
use hornbeamlead_jobs::entry::JOB_PREFIX;
use hornbeamlead_jobs::ids::{
    JobId, PlannerEpoch, RunName, RunNumber, StepName, TaskName, WorkerIncarnation,
};
use hornbeamlead_jobs::job::{JobBody, JobPhase, JobRecord, QueueTerms, RunEnd, StepSpec};
use hornbeamlead_jobs::locator::PlannerElection;
use hornbeamlead_jobs::planner::{PlacementPolicy, PlannerEvent, PlannerMachine, PlannerPolicy};
use hornbeamlead_jobs::record::{PlanRecord, PlannerClaim, encode};
use hornbeamlead_jobs::store::{ReadRecord, StoreCall, StoreOperation, StoreOutcome, StreamName};
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;
use world::WorldFormat;

const JOB: JobId = JobId(61);

/// Incarnation of the new planner's process.
const INCARNATION: u64 = 5;

fn address() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7000))
}

fn read_record(offset: u64, key: &str, value: Bytes) -> ReadRecord {
    ReadRecord {
        offset,
        key: key.into(),
        value: Some(value),
    }
}

/// Records of the plan: the job's tasks start and end in order, and the new planner takes over.
fn plan(ends: &[RunEnd]) -> Vec<ReadRecord> {
    let step = StepName {
        job: JOB,
        ..StepName::default()
    };
    let run = |index: usize| RunName {
        task: TaskName {
            step,
            index: index as u32,
        },
        run: RunNumber(1),
    };
    let accepted = PlanRecord::Accepted {
        job: JOB,
        queue: "h/q/".into(),
    };
    let started = (0..ends.len()).map(|index| PlanRecord::Started {
        run: run(index),
        host: "h1".into(),
        incarnation: WorkerIncarnation::default(),
    });
    let ended = ends.iter().enumerate();
    let ended = ended.map(|(index, &end)| PlanRecord::Ended {
        run: run(index),
        end,
        saved: None,
    });
    let takeover = PlanRecord::Takeover(PlannerClaim {
        host: "h0".into(),
        incarnation: INCARNATION,
        address: address(),
    });
    let records = [accepted].into_iter().chain(started).chain(ended);
    let records = records.chain([takeover]).zip(0..);
    records
        .map(|(record, offset)| read_record(offset, "", encode(&record)))
        .collect()
}

fn job_record(step: StepSpec) -> ReadRecord {
    let record = JobRecord {
        terms: QueueTerms {
            max_attempts: 1,
            ..QueueTerms::default()
        },
        body: JobBody {
            steps: vec![step],
            ..JobBody::default()
        },
        ..JobRecord::default()
    };
    read_record(0, &format!("{JOB_PREFIX}{JOB}"), encode(&record))
}

/// Answers a read of the store; the store has no snapshot.
fn answer(call: &StoreCall, step: &StepSpec, plan: &[ReadRecord]) -> Option<StoreOutcome> {
    let page = |records| StoreOutcome::Page {
        records,
        more: false,
        end: 1,
    };
    match &call.operation {
        StoreOperation::Newest { stream, .. } if *stream == StreamName::Jobs => {
            Some(page(vec![job_record(step.clone())]))
        }
        StoreOperation::Newest { .. } => Some(page(Vec::new())),
        StoreOperation::Read { stream, .. } if *stream == StreamName::Plan => {
            Some(StoreOutcome::Records {
                end: plan.len() as u64,
                records: plan.to_vec(),
            })
        }
        _ => None,
    }
}

/// Returns a planner that has recovered its state from the plan.
fn recovered(step: &StepSpec, plan: &[ReadRecord]) -> PlannerMachine<WorldFormat> {
    let policy = PlannerPolicy {
        host: "h0".into(),
        incarnation: INCARNATION,
        address: address(),
        lease_span: Duration::from_millis(8500),
        placement: PlacementPolicy::default(),
        order: ServiceOrder::default(),
        copies: false,
    };
    let mut now = ClockReading {
        mono: MonoTime(1_000_000),
        wall: WallTime(1_000_000),
    };
    let election = PlannerElection {
        epoch: PlannerEpoch(2),
        claim: plan.len() as u64 - 1,
        plan_ended_at: now.mono,
    };
    let mut planner = PlannerMachine::new(policy, WorldFormat, election, now.mono);
    for _ in 0..10 {
        now.mono = now.mono.plus(Duration::from_millis(10));
        for effect in planner.handle(now, PlannerEvent::Tick) {
            if let Effect::Store(call) = effect
                && let Some(outcome) = answer(&call, step, plan)
            {
                let caller = call.caller;
                planner.handle(now, PlannerEvent::Stored { caller, outcome });
            }
        }
    }
    assert!(planner.is_active());
    planner
}

/// Guards against a job that stays open for good because the record that closes it was never stored.
#[rstest]
#[case(RunEnd::Done, JobPhase::Completed)]
#[case(RunEnd::Failed, JobPhase::Failed)]
#[case(RunEnd::Stopped, JobPhase::Running)]
fn end_decides(#[case] end: RunEnd, #[case] phase: JobPhase) {
    let step = StepSpec {
        tasks: 1,
        ..StepSpec::default()
    };
    let planner = recovered(&step, &plan(&[end]));
    assert_eq!(planner.ledger().phase(JOB), Some(phase));
}

/// Guards against a job that fails because of a member whose gang has completed.
#[rstest]
#[case(RunEnd::Done)]
#[case(RunEnd::Failed)]
#[case(RunEnd::Lost)]
fn completed_gang_decides(#[case] other: RunEnd) {
    let step = StepSpec {
        tasks: 2,
        gang: true,
        ..StepSpec::default()
    };
    let planner = recovered(&step, &plan(&[RunEnd::Done, other]));
    assert_eq!(planner.ledger().phase(JOB), Some(JobPhase::Completed));
}
