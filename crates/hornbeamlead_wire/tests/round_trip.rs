//! Every message and record survives encoding and decoding unchanged.

use bytes::Bytes;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::counter::RefusalReason;
use hornbeamlead_core::ids::{
    AttemptId, CellId, Epoch, HostId, IdempotencyKey, Incarnation, LogOffset, RequestId, Revision,
    TaskId,
};
use hornbeamlead_core::message::control::{
    AgentAnnounce, CellView, ControlMessage, HeartbeatReply, HostHeartbeat, TaskCommand, ViewMember,
};
use hornbeamlead_core::message::request::{
    CallerRequest, EndpointAnswer, ForwardedRequest, HeaderField, KeyAnswer, KeyGrant, KeyState,
    LinkMessage, LoadSample, NoteCopy, RequestOutcome, RequestReply, RequestSafety,
};
use hornbeamlead_core::note::DeliveryMode;
use hornbeamlead_core::record::{
    AttemptChange, AttemptRecord, CellEntry, CellRecord, CellSnapshot, EndedTask, EpochClaim,
    JobEntry, JobRecord, JobSnapshot, OwnedRange, ReleasedTask, SuccessorName, TaskRange,
    WriterPosition,
};
use hornbeamlead_core::resource::{AcceleratorCount, CpuMillis, MemoryMebibytes, ResourceSize};
use hornbeamlead_core::task::{CheckpointToken, TaskOrder, TaskPhase, TaskStatus};
use hornbeamlead_wire::{
    decode_cell, decode_control, decode_job, decode_link, encode_cell, encode_control, encode_job,
    encode_link,
};
use proptest::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;

fn host() -> impl Strategy<Value = HostId> {
    "[a-z][a-z0-9-]{0,15}".prop_map(|text| text.parse().unwrap())
}

fn address() -> impl Strategy<Value = SocketAddr> {
    (any::<[u8; 4]>(), any::<u16>()).prop_map(SocketAddr::from)
}

fn attempt() -> impl Strategy<Value = AttemptId> {
    ("[a-z]{1,12}", any::<u32>(), any::<u32>()).prop_map(|(job, index, number)| AttemptId {
        task: TaskId {
            job: job.parse().unwrap(),
            index,
        },
        number,
    })
}

fn size() -> impl Strategy<Value = ResourceSize> {
    (any::<u32>(), any::<u32>(), any::<u16>()).prop_map(|(cpu, memory, accelerators)| {
        ResourceSize {
            cpu: CpuMillis(cpu),
            memory: MemoryMebibytes(memory),
            accelerators: AcceleratorCount(accelerators),
        }
    })
}

fn token() -> impl Strategy<Value = CheckpointToken> {
    (attempt(), any::<u64>()).prop_map(|(attempt, progress_ms)| CheckpointToken {
        attempt,
        progress_ms,
    })
}

fn phase() -> impl Strategy<Value = TaskPhase> {
    prop_oneof![
        Just(TaskPhase::Running),
        Just(TaskPhase::Finished),
        Just(TaskPhase::Failed),
        Just(TaskPhase::Stopped),
        Just(TaskPhase::Lapsed),
    ]
}

fn order() -> impl Strategy<Value = TaskOrder> {
    (
        attempt(),
        size(),
        any::<u32>(),
        any::<bool>(),
        proptest::option::of(token()),
    )
        .prop_map(
            |(attempt, size, millis, at_most_once, resume_from)| TaskOrder {
                attempt,
                kind: "seasoning".parse().unwrap(),
                size,
                run_time: Duration::from_millis(millis.into()),
                checkpoint_every: Duration::from_millis(u64::from(millis) / 2),
                delivery: if at_most_once {
                    DeliveryMode::AtMostOnce
                } else {
                    DeliveryMode::Resumable
                },
                resume_from,
            },
        )
}

fn status() -> impl Strategy<Value = TaskStatus> {
    (
        attempt(),
        phase(),
        size(),
        proptest::option::of(token()),
        0..=100u8,
    )
        .prop_map(
            |(attempt, phase, size, checkpoint, speed_percent)| TaskStatus {
                attempt,
                phase,
                size,
                kind: "charring".parse().unwrap(),
                checkpoint,
                speed_percent,
                usage: Some(size),
            },
        )
}

fn view() -> impl Strategy<Value = CellView> {
    let member = (host(), any::<u64>(), address()).prop_map(|(host, incarnation, link_address)| {
        ViewMember {
            host,
            incarnation: Incarnation(incarnation),
            link_address,
        }
    });
    (any::<u64>(), proptest::collection::vec(member, 0..5))
        .prop_map(|(number, members)| CellView { number, members })
}

fn control() -> impl Strategy<Value = ControlMessage> {
    let announce = (
        host(),
        any::<u64>(),
        address(),
        any::<u16>(),
        proptest::option::of(view()),
    )
        .prop_map(|(host, number, address, load, view)| {
            ControlMessage::Announce(AgentAnnounce {
                host,
                incarnation: Incarnation(number),
                sequence: number / 3,
                data_centre: "negombo".parse().unwrap(),
                rack: "r1".parse().unwrap(),
                cell: CellId(7),
                link_address: address,
                operator_address: address,
                services: vec!["ledger".parse().unwrap()],
                load: LoadSample {
                    in_flight: load,
                    leaving: load % 2 == 0,
                    ..Default::default()
                },
                revision: Revision(number),
                view,
            })
        });
    let heartbeat = (
        host(),
        any::<u64>(),
        address(),
        proptest::collection::vec(status(), 0..4),
    )
        .prop_map(|(host, number, link_address, tasks)| {
            ControlMessage::Heartbeat(HostHeartbeat {
                host,
                incarnation: Incarnation(number),
                sequence: 1,
                clock: MonoTime(number),
                epoch: Epoch(2),
                data_centre: "perth-cbd".parse().unwrap(),
                rack: "r2".parse().unwrap(),
                link_address,
                capacity: ResourceSize::default(),
                admitted: ResourceSize::default(),
                revision: Revision(3),
                view: 4,
                table_digest: number,
                whole: tasks.is_empty(),
                tasks,
                service_p99_us: Some(number),
                leaving: false,
            })
        });
    let command = prop_oneof![
        (order(), any::<u64>()).prop_map(|(order, at)| TaskCommand::Start {
            order,
            start_by: MonoTime(at)
        }),
        (attempt(), 0..=100u8).prop_map(|(attempt, speed_percent)| TaskCommand::Throttle {
            attempt,
            speed_percent
        }),
        attempt().prop_map(|attempt| TaskCommand::Stop { attempt }),
        attempt().prop_map(|attempt| TaskCommand::Forget { attempt }),
    ];
    let reply = (
        host(),
        address(),
        proptest::collection::vec(command, 0..4),
        view(),
    )
        .prop_map(|(planner, link_address, commands, view)| {
            ControlMessage::HeartbeatReply(HeartbeatReply {
                cell: CellId(1),
                planner,
                epoch: Epoch(9),
                sequence: 5,
                lease_until: Some(MonoTime(77)),
                revision: Revision(6),
                link_address,
                view: Some(view),
                acknowledged: 3,
                want_whole: true,
                commands,
            })
        });
    prop_oneof![announce, heartbeat, reply]
}

fn forwarded() -> impl Strategy<Value = ForwardedRequest> {
    (
        host(),
        any::<u64>(),
        proptest::collection::vec(any::<u8>(), 0..200),
        any::<bool>(),
    )
        .prop_map(|(entry, counter, body, idempotent)| ForwardedRequest {
            id: RequestId {
                entry: entry.clone(),
                incarnation: Incarnation(4),
                counter,
            },
            request: CallerRequest {
                service: "desk".parse().unwrap(),
                method: "POST".into(),
                path: "/sessions?day=1".into(),
                headers: vec![HeaderField {
                    name: "accept".into(),
                    value: "*/*".into(),
                }],
                body: Bytes::from(body),
                safety: match idempotent {
                    true => RequestSafety::Idempotent,
                    false => RequestSafety::NonIdempotent,
                },
                key: IdempotencyKey::new("enrol-17"),
            },
            deadline: MonoTime(5_000_000),
            granted: Some(KeyGrant {
                arbiter: entry,
                view: counter,
            }),
        })
}

fn link() -> impl Strategy<Value = LinkMessage> {
    let outcome = prop_oneof![
        proptest::collection::vec(any::<u8>(), 0..200).prop_map(|body| {
            RequestOutcome::Answered(EndpointAnswer {
                status: 201,
                headers: vec![],
                body: Bytes::from(body),
            })
        }),
        (0..RefusalReason::ALL.len()).prop_map(|index| RequestOutcome::NotRun {
            reason: RefusalReason::ALL[index],
            retry_after: Duration::from_micros(1_234),
        }),
        (0..RefusalReason::ALL.len()).prop_map(|index| RequestOutcome::Unknown {
            reason: RefusalReason::ALL[index]
        }),
    ];
    let reply = (host(), any::<u64>(), outcome).prop_map(|(entry, counter, outcome)| {
        LinkMessage::Reply(RequestReply {
            id: RequestId {
                entry,
                incarnation: Incarnation(1),
                counter,
            },
            outcome,
            load: LoadSample::default(),
        })
    });
    let notes = proptest::collection::vec(any::<u8>(), 0..50).prop_map(|payload| {
        LinkMessage::Notes(vec![NoteCopy {
            offset: LogOffset(3),
            payload: Bytes::from(payload),
        }])
    });
    let key_answer = (
        host(),
        any::<u64>(),
        proptest::option::of(0..u64::MAX),
        view(),
    )
        .prop_map(|(host, query, observed_us, view)| {
            LinkMessage::KeyAnswer(KeyAnswer {
                query,
                host,
                incarnation: Incarnation(5),
                key_state: KeyState::Absent,
                observed_for: observed_us.map_or(Duration::MAX, Duration::from_micros),
                past: vec![view],
                homes: vec![vec!["negombo".parse().unwrap()], Vec::new()],
            })
        });
    prop_oneof![
        forwarded().prop_map(LinkMessage::Request),
        reply,
        notes,
        key_answer
    ]
}

fn change() -> impl Strategy<Value = AttemptChange> {
    prop_oneof![
        (host(), proptest::option::of(token()))
            .prop_map(|(host, resume_from)| AttemptChange::Started { host, resume_from }),
        token().prop_map(|token| AttemptChange::Checkpointed { token }),
        proptest::option::of(token()).prop_map(|token| AttemptChange::Released { token }),
        phase().prop_map(|phase| AttemptChange::Ended { phase }),
    ]
}

fn attempt_record() -> impl Strategy<Value = AttemptRecord> {
    (attempt(), change()).prop_map(|(attempt, change)| AttemptRecord { attempt, change })
}

fn claim() -> impl Strategy<Value = EpochClaim> {
    (host(), address(), any::<u64>(), any::<bool>()).prop_map(
        |(host, control_address, number, forced)| EpochClaim {
            successor: Some(SuccessorName {
                host: host.clone(),
                control_address,
            }),
            host,
            incarnation: Incarnation(number),
            control_address,
            previous: Epoch(number),
            forced,
        },
    )
}

fn cell_record() -> impl Strategy<Value = CellRecord> {
    let entry = prop_oneof![
        claim().prop_map(CellEntry::Claim),
        proptest::collection::vec(attempt_record(), 0..5).prop_map(|changes| CellEntry::Attempts {
            epoch: Epoch(5),
            changes
        }),
        (claim(), proptest::collection::vec(attempt_record(), 0..5)).prop_map(
            |(claim, attempts)| CellEntry::Snapshot(CellSnapshot {
                up_to: LogOffset(8),
                epoch: Epoch(2),
                claim: Some(claim),
                forced: Epoch(1),
                attempts,
            })
        ),
    ];
    entry.prop_map(|entry| CellRecord {
        id: "r-1".parse().unwrap(),
        entry,
    })
}

fn job_record() -> impl Strategy<Value = JobRecord> {
    let released = (attempt(), proptest::option::of(token()))
        .prop_map(|(attempt, token)| ReleasedTask { attempt, token });
    let ended = (attempt(), phase()).prop_map(|(attempt, phase)| EndedTask { attempt, phase });
    let range = TaskRange {
        job: "casks".parse().unwrap(),
        first: 3,
        count: 9,
    };
    let entry = prop_oneof![
        Just(JobEntry::Claim {
            cell: CellId(2),
            epoch: Epoch(3),
            range: range.clone()
        }),
        (
            proptest::collection::vec(released, 0..4),
            proptest::collection::vec(ended, 0..4)
        )
            .prop_map(move |(released, ended)| JobEntry::Snapshot(JobSnapshot {
                up_to: LogOffset(1),
                owned: vec![OwnedRange {
                    cell: CellId(4),
                    range: range.clone()
                }],
                released,
                ended,
                writer_positions: vec![WriterPosition {
                    cell: CellId(4),
                    epoch: Epoch(3),
                    sequence: 2
                }],
            })),
    ];
    entry.prop_map(|entry| JobRecord {
        id: "j-1".parse().unwrap(),
        entry,
    })
}

proptest! {
    #[test]
    fn control_round_trip(message in control()) {
        prop_assert_eq!(decode_control(&encode_control(&message)), Ok(message));
    }

    #[test]
    fn link_round_trip(message in link()) {
        let now = MonoTime(1_000_000);
        prop_assert_eq!(decode_link(&encode_link(&message, now), now), Ok(message));
    }

    #[test]
    fn cell_round_trip(record in cell_record()) {
        prop_assert_eq!(decode_cell(&encode_cell(&record)), Ok(record));
    }

    #[test]
    fn job_round_trip(record in job_record()) {
        prop_assert_eq!(decode_job(&encode_job(&record)), Ok(record));
    }

    #[test]
    fn deadline_shifts(
        request in forwarded(),
        remaining in 0..10_000_000u64,
        received_at in any::<u32>(),
    ) {
        let sent = MonoTime(1_000);
        let mut request = request;
        request.deadline = MonoTime(1_000 + remaining);
        let bytes = encode_link(&LinkMessage::Request(request), sent);
        let received = MonoTime(u64::from(received_at));
        match decode_link(&bytes, received) {
            Ok(LinkMessage::Request(decoded)) => {
                prop_assert_eq!(decoded.deadline, MonoTime(u64::from(received_at) + remaining));
            }
            unexpected => prop_assert!(false, "{:?}", unexpected),
        }
    }
}
