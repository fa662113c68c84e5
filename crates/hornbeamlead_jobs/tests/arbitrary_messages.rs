//! Messages with numbers that no correct process sends end no state machine.

mod agent;
mod world;

use bytes::Bytes;
use hornbeamlead_core::clock::{ClockReading, MonoTime, WallTime};
use hornbeamlead_emulator::store::EmulatedStore;
use hornbeamlead_jobs::effect::LinkId;
use hornbeamlead_jobs::entry::{CallerOperation, CallerRequest, EntryEvent, EntryMachine};
use hornbeamlead_jobs::ids::{
    JobId, PlannerEpoch, RunName, RunNumber, StepName, TaskName, WorkerIncarnation,
};
use hornbeamlead_jobs::job::{JobBody, JobRecord, JobSchedule, QueueTerms, RunEnd, StepSpec};
use hornbeamlead_jobs::message::{
    AgentMessage, AgentStamp, HostReport, IdleRow, IdleRuns, PlannerMessage, StartOrder,
};
use hornbeamlead_jobs::planner::PlannerEvent;
use hornbeamlead_jobs::record::{PlanRecord, encode};
use hornbeamlead_jobs::snapshot::read_snapshot;
use hornbeamlead_jobs::store::{
    AppendCondition, NewRecord, PlannerComponent, ReadRecord, StoreCaller, StoreOperation,
    StoreOutcome, StreamName,
};
use hornbeamlead_jobs::supervisor::SupervisorEvent;
use hornbeamlead_jobs::worker::{
    EndedRow, RunningRow, WorkerAnnouncement, WorkerAnswer, WorkerFacts, WorkerLists, WorkerReply,
    WorkerTag,
};
use proptest::prelude::*;
use std::net::SocketAddr;
use world::WorldFormat;
use world::lone::LonePlanner;

const JOB: JobId = JobId(0xaa);

const START_MS: u64 = 10_000;

fn number() -> impl Strategy<Value = u64> {
    prop_oneof![0..4_u64, any::<u64>(), u64::MAX - 2..=u64::MAX]
}

fn short() -> impl Strategy<Value = u32> {
    prop_oneof![0..4_u32, any::<u32>(), u32::MAX - 2..=u32::MAX]
}

fn address() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7000))
}

fn incarnation() -> impl Strategy<Value = WorkerIncarnation> {
    let id = "w-1";
    prop_oneof![Just(7), number()].prop_map(move |born| WorkerIncarnation {
        id: id.into(),
        born,
    })
}

fn run_name() -> impl Strategy<Value = RunName> {
    let job = prop_oneof![Just(JOB.0), number()];
    (job, short(), any::<u16>(), short(), short()).prop_map(
        |(job, occurrence, step, index, run)| {
            let step = StepName {
                job: JobId(job),
                occurrence,
                step,
            };
            let task = TaskName { step, index };
            let run = RunNumber(run);
            RunName { task, run }
        },
    )
}

fn facts() -> impl Strategy<Value = WorkerFacts> {
    let leaves = prop::option::of(short());
    (incarnation(), short(), short(), short(), leaves).prop_map(
        |(incarnation, cpu, memory, accelerators, leaves_in_ms)| WorkerFacts {
            incarnation,
            service: "s".into(),
            cpu,
            memory,
            accelerators,
            draining: leaves_in_ms.is_some(),
            leaves_in_ms,
            ..WorkerFacts::default()
        },
    )
}

fn running_row() -> impl Strategy<Value = RunningRow> {
    (run_name(), any::<u8>(), short()).prop_map(|(run, percent, reading)| RunningRow {
        run,
        saved: Some("c".into()),
        percent,
        reading,
    })
}

fn ended_row() -> impl Strategy<Value = EndedRow> {
    let end = prop::sample::select(vec![RunEnd::Done, RunEnd::Failed, RunEnd::Lapsed]);
    (number(), run_name(), end).prop_map(|(number, run, end)| EndedRow {
        number,
        run,
        end,
        saved: None,
    })
}

fn rows() -> impl Strategy<Value = (Vec<RunningRow>, Vec<EndedRow>)> {
    let running = prop::collection::vec(running_row(), 0..3);
    (running, prop::collection::vec(ended_row(), 0..3))
}

fn agent_message() -> impl Strategy<Value = AgentMessage> {
    let idle = prop::collection::vec((any::<u16>(), any::<u32>()), 0..3);
    let report = (number(), number(), prop::option::of(facts()), rows(), idle);
    let report = report.prop_map(|(stamp, orders_seen, worker, (running, ended), idle)| {
        let idle = idle.into_iter();
        let idle = idle.map(|(row, idle_ms)| IdleRow { row, idle_ms });
        AgentMessage::Report(Box::new(HostReport {
            stamp: AgentStamp(stamp),
            orders_seen,
            worker,
            listed: true,
            running,
            ended,
            idle: IdleRuns(idle.collect()),
            ..HostReport::default()
        }))
    });
    let not_started = (run_name(), incarnation());
    prop_oneof![
        4 => report,
        1 => not_started.prop_map(|(run, incarnation)| AgentMessage::NotStarted {
            run,
            incarnation,
            refusal: None,
        }),
    ]
}

fn planner_message() -> impl Strategy<Value = PlannerMessage> {
    let grant = (number(), prop::option::of(number()), number());
    let start = (number(), run_name(), incarnation());
    prop_oneof![
        grant.prop_map(|(epoch, stamp, seen)| PlannerMessage::Grant {
            epoch: PlannerEpoch(epoch),
            stamp: stamp.map(AgentStamp),
            seen: AgentStamp(seen),
        }),
        start.prop_map(|(number, run, incarnation)| PlannerMessage::Start {
            number,
            order: StartOrder {
                run,
                incarnation,
                spec: "work".into(),
                saved: None,
                traits: Default::default(),
            },
        }),
        (number(), run_name(), incarnation()).prop_map(|(number, run, incarnation)| {
            PlannerMessage::Stop {
                number,
                run,
                incarnation,
            }
        }),
        (incarnation(), number()).prop_map(|(incarnation, through)| {
            PlannerMessage::Acknowledge {
                incarnation,
                through,
            }
        }),
    ]
}

/// Job that passes the check of an entry.
fn job_record() -> impl Strategy<Value = JobRecord> {
    let step = (1..4_u32, short(), short(), short(), any::<bool>()).prop_map(
        |(tasks, cpu, memory, estimate_ms, best_effort)| StepSpec {
            tasks,
            cpu,
            memory,
            estimate_ms,
            best_effort,
            ..StepSpec::default()
        },
    );
    let schedule =
        (number(), number(), 0..4_u32).prop_map(|(first_ms, interval_ms, times)| JobSchedule {
            first_ms,
            interval_ms,
            times,
        });
    let steps = prop::collection::vec(step, 1..3);
    (steps, schedule, number(), any::<f32>(), short()).prop_map(
        |(steps, schedule, accepted_ms, target_factor, target_latency_ms)| JobRecord {
            terms: QueueTerms {
                queue: "h/q/".into(),
                service: "s".into(),
                max_attempts: 1,
                target_factor,
                target_latency_ms,
                ..QueueTerms::default()
            },
            accepted_ms,
            body: JobBody {
                spec: "work".into(),
                steps,
                schedule,
            },
        },
    )
}

fn plan_record() -> impl Strategy<Value = PlanRecord> {
    prop_oneof![
        (run_name(), incarnation()).prop_map(|(run, incarnation)| PlanRecord::Started {
            run,
            host: "h1".into(),
            incarnation,
        }),
        run_name().prop_map(|run| PlanRecord::Ended {
            run,
            end: RunEnd::Failed,
            saved: None,
        }),
        number().prop_map(|jobs_read| PlanRecord::Tick { jobs_read }),
        Just(PlanRecord::Accepted {
            job: JOB,
            queue: "h/q/".into(),
        }),
    ]
}

fn read_record() -> impl Strategy<Value = ReadRecord> {
    let value = prop_oneof![
        plan_record().prop_map(|record| encode(&record)),
        prop::collection::vec(any::<u8>(), 0..20).prop_map(Bytes::from),
    ];
    let key = prop::sample::select(vec![
        "",
        "config",
        "job/00000000000000aa",
        "job/x",
        "part/0",
    ]);
    (number(), key, prop::option::of(value)).prop_map(|(offset, key, value)| ReadRecord {
        offset,
        key: key.into(),
        value,
    })
}

fn store_outcome() -> impl Strategy<Value = StoreOutcome> {
    let records = || prop::collection::vec(read_record(), 0..3);
    prop_oneof![
        number().prop_map(|offset| StoreOutcome::Appended { offset }),
        number().prop_map(|end| StoreOutcome::Moved { end }),
        number().prop_map(|first| StoreOutcome::Expired { first }),
        (number(), records()).prop_map(|(end, records)| StoreOutcome::Records { end, records }),
        (number(), records(), any::<bool>())
            .prop_map(|(end, records, more)| { StoreOutcome::Page { records, more, end } }),
    ]
}

fn planner_caller() -> impl Strategy<Value = StoreCaller> {
    let components = vec![
        PlannerComponent::Operators,
        PlannerComponent::Plan,
        PlannerComponent::Recovery,
        PlannerComponent::Jobs,
        PlannerComponent::Records,
        PlannerComponent::Upkeep,
    ];
    let component = prop::sample::select(components);
    component.prop_map(|component| component.caller(PlannerEpoch(1)))
}

fn put(store: &mut EmulatedStore, stream: StreamName, key: Option<&str>, value: Bytes) {
    let record = NewRecord {
        key: key.map(Into::into),
        value: Some(value),
    };
    store.append(START_MS, stream, &[record], AppendCondition::Always);
}

fn planner(record: &JobRecord) -> LonePlanner {
    let mut store = EmulatedStore::default();
    let snapshot =
        hornbeamlead_jobs::snapshot::snapshot_records(&Default::default(), 0, Default::default());
    for part in snapshot {
        put(
            &mut store,
            StreamName::Snapshots,
            part.key.as_deref(),
            part.value.unwrap_or_default(),
        );
    }
    put(
        &mut store,
        StreamName::Operators,
        Some("config"),
        Bytes::from_static(b"1"),
    );
    put(
        &mut store,
        StreamName::Jobs,
        Some(&format!("job/{JOB}")),
        encode(record),
    );
    LonePlanner::new(store, START_MS)
}

fn hello() -> PlannerEvent {
    let message = AgentMessage::Hello {
        host: "h1".into(),
        address: address(),
        epoch: PlannerEpoch(0),
    };
    agent_event(message)
}

fn agent_event(message: AgentMessage) -> PlannerEvent {
    let link = LinkId(1);
    PlannerEvent::Agent { link, message }
}

proptest! {
    #[test]
    fn planner_survives(
        record in job_record(),
        messages in prop::collection::vec(agent_message(), 1..8),
        outcomes in prop::collection::vec((planner_caller(), store_outcome()), 0..4),
    ) {
        let mut planner = planner(&record);
        planner.run(1000);
        planner.handle(hello());
        for message in messages {
            planner.handle(agent_event(message));
            planner.run(50);
        }
        for (caller, outcome) in outcomes {
            planner.handle(PlannerEvent::Stored { caller, outcome });
            planner.run(50);
        }
    }

    #[test]
    fn supervisor_survives(
        announced in facts(),
        clock_ms in prop::option::of(number()),
        messages in prop::collection::vec(planner_message(), 1..8),
        lists in prop::collection::vec(rows(), 1..4),
    ) {
        let mut agent = agent::TestAgent::new(MonoTime(20_000_000));
        let incarnation = announced.incarnation.clone();
        agent.handle(SupervisorEvent::Announced(WorkerAnnouncement {
            facts: announced,
            address: address(),
            sequence: 1,
        }));
        for (index, (running, ended)) in lists.into_iter().enumerate() {
            let lists = WorkerLists { running, ended, ..WorkerLists::default() };
            agent.handle(SupervisorEvent::Replied {
                tag: WorkerTag::Hold(index as u64 + 1),
                incarnation: incarnation.clone(),
                reply: WorkerReply {
                    answer: WorkerAnswer::Lists(lists),
                    clock_ms,
                    sent: MonoTime(19_000_000),
                },
            });
            agent.handle(SupervisorEvent::Tick);
        }
        for message in messages {
            agent.tell(message);
        }
    }

    #[test]
    fn entry_survives(
        record in job_record(),
        outcomes in prop::collection::vec((any::<bool>(), store_outcome()), 1..8),
    ) {
        let mut entry = EntryMachine::new(WorldFormat);
        let now = ClockReading { mono: MonoTime(20_000_000), wall: WallTime(1_000_000) };
        for (ticket, (plan, outcome)) in (1..).zip(outcomes) {
            let caller = if plan { StoreCaller::Plan } else { StoreCaller::Operators };
            entry.handle(now, EntryEvent::Stored { caller, outcome });
            entry.handle(now, EntryEvent::Request(CallerRequest {
                ticket,
                host: "h".into(),
                path: format!("/q/{JOB}").into(),
                operation: CallerOperation::Submit(Ok(record.body.clone())),
                deadline: MonoTime::MAX,
            }));
            entry.handle(now, EntryEvent::Tick);
        }
    }
}

fn large_record(tasks: u32, times: u32) -> JobRecord {
    let step = StepSpec {
        tasks,
        ..StepSpec::default()
    };
    JobRecord {
        body: JobBody {
            steps: vec![step],
            schedule: JobSchedule {
                times,
                ..JobSchedule::default()
            },
            ..JobBody::default()
        },
        ..JobRecord::default()
    }
}

/// Returns the number of tasks in the newest snapshot of the planner.
fn stored_tasks(planner: &mut LonePlanner) -> usize {
    let newest = StoreOperation::Newest {
        stream: StreamName::Snapshots,
        after: None,
    };
    let Some(StoreOutcome::Page { records, .. }) = planner.store.read(&newest) else {
        panic!("the store answers");
    };
    let snapshot = read_snapshot(&records).expect("the snapshot decodes");
    let (ledger, _) = snapshot.expect("a snapshot is stored");
    let jobs = ledger
        .jobs
        .values()
        .flat_map(|job| job.occurrences.values());
    jobs.flat_map(|occurrence| &occurrence.steps)
        .flatten()
        .count()
}

/// A job of 200,000 tasks that are due at once, in 20 occurrences.
#[test]
fn many_occurrences() {
    let mut planner = planner(&large_record(10_000, 20));
    planner.run(3500);
    assert!(planner.is_active());
    let tasks = stored_tasks(&mut planner);
    assert!((10_000..=100_000).contains(&tasks), "{tasks}");
}

/// A record that no entry accepts; a step of so many tasks would use up the memory.
#[test]
fn invalid_record() {
    let mut planner = planner(&large_record(2_000_000, 0));
    planner.run(3500);
    assert!(planner.events.contains(&"job_unreadable"));
    assert_eq!(stored_tasks(&mut planner), 0);
}
