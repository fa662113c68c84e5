//! Client of the worker against the stand-in and against invalid answers.

mod common;

use common::{block_on, http_response, serve_fixed};
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::ids::{AttemptId, JobName, KindName, TaskId};
use hornbeamlead_core::note::DeliveryMode;
use hornbeamlead_core::resource::{AcceleratorCount, CpuMillis, MemoryMebibytes, ResourceSize};
use hornbeamlead_core::task::{
    CheckpointToken, TaskOrder, TaskPhase, TaskStatus, WorkerAnswer, WorkerCall, WorkerError,
};
use hornbeamlead_platform::worker::WorkerClient;
use hornbeamlead_standin::worker::WorkerStandin;
use hornbeamlead_standin::worker::control::WorkerSettings;
use hornbeamlead_standin::worker::history::TaskEventKind;
use rstest::rstest;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const NOW: MonoTime = MonoTime(5_000_000);
const LONG: Duration = Duration::from_secs(600);

fn attempt(number: u32) -> AttemptId {
    let job = JobName::new("seasoning").unwrap();
    let task = TaskId { job, index: 0 };
    AttemptId { task, number }
}

fn order(number: u32, cpu: u32, run_time: Duration) -> TaskOrder {
    TaskOrder {
        attempt: attempt(number),
        kind: KindName::new("report").unwrap(),
        size: ResourceSize {
            cpu: CpuMillis(cpu),
            memory: MemoryMebibytes(512),
            accelerators: AcceleratorCount(0),
        },
        run_time,
        checkpoint_every: LONG,
        delivery: DeliveryMode::Resumable,
        resume_from: None,
    }
}

fn start(order: TaskOrder, lease: Duration) -> WorkerCall {
    WorkerCall::Start {
        order,
        lease_until: NOW.plus(lease),
        start_by: NOW.plus(Duration::from_secs(2)),
    }
}

fn call(address: SocketAddr, call: &WorkerCall) -> Result<WorkerAnswer, WorkerError> {
    block_on(WorkerClient::new(|| NOW).call(address, call, NOW))
}

fn report(worker: &WorkerStandin) -> Vec<TaskStatus> {
    match call(worker.addr(), &WorkerCall::Report { number: 1 }) {
        Ok(WorkerAnswer::Report(report)) => report.tasks,
        other => panic!("expected a report, got {other:?}"),
    }
}

fn idle_worker() -> WorkerStandin {
    WorkerStandin::start(WorkerSettings::default()).unwrap()
}

#[test]
fn task_life_cycle() {
    let worker = idle_worker();
    let started = call(worker.addr(), &start(order(1, 1000, LONG), LONG));
    assert_eq!(started, Ok(WorkerAnswer::Done));
    let throttle = WorkerCall::Throttle {
        attempt: attempt(1),
        speed_percent: 40,
    };
    assert_eq!(call(worker.addr(), &throttle), Ok(WorkerAnswer::Done));
    assert_eq!(report(&worker)[0].speed_percent, 40);
    let stop = WorkerCall::Stop {
        attempt: attempt(1),
        checkpoint: true,
    };
    assert_eq!(call(worker.addr(), &stop), Ok(WorkerAnswer::Done));
    let stopped = &report(&worker)[0];
    assert_eq!(stopped.phase, TaskPhase::Stopped);
    assert_eq!(stopped.checkpoint.as_ref().unwrap().attempt, attempt(1));
    let forget = WorkerCall::Forget {
        attempt: attempt(1),
    };
    assert_eq!(call(worker.addr(), &forget), Ok(WorkerAnswer::Done));
    assert_eq!(report(&worker), []);
}

#[test]
fn resumed_elsewhere() {
    let worker = idle_worker();
    let mut resumed = order(2, 1000, Duration::from_secs(60));
    resumed.resume_from = Some(CheckpointToken {
        attempt: attempt(1),
        progress_ms: 60_000,
    });
    call(worker.addr(), &start(resumed, LONG)).unwrap();
    assert_eq!(report(&worker)[0].phase, TaskPhase::Finished);
}

#[test]
fn overcommit_refused() {
    let worker = idle_worker();
    call(worker.addr(), &start(order(1, 10_000, LONG), LONG)).unwrap();
    let refused = call(worker.addr(), &start(order(2, 6_001, LONG), LONG));
    let reason = "no_room".into();
    assert_eq!(refused, Err(WorkerError::Refused { reason }));
    let last = worker.history().events.pop().unwrap();
    assert_eq!(last.event, TaskEventKind::OvercommitRefused);
}

#[test]
fn late_start_unsent() {
    let worker = idle_worker();
    let late = WorkerCall::Start {
        order: order(1, 1000, LONG),
        lease_until: NOW.plus(LONG),
        start_by: NOW,
    };
    let reason = "start_too_late".into();
    let refused = call(worker.addr(), &late);
    assert_eq!(refused, Err(WorkerError::Refused { reason }));
    assert_eq!(worker.history().events, []);
}

#[test]
fn repeated_start_unknown() {
    let worker = idle_worker();
    let started = start(order(1, 1000, LONG), LONG);
    call(worker.addr(), &started).unwrap();
    let repeated = call(worker.addr(), &started);
    assert_eq!(repeated, Err(WorkerError::NoAnswer));
}

#[test]
fn lapsed_stays_lapsed() {
    let worker = idle_worker();
    let lease = Duration::from_secs(1);
    call(worker.addr(), &start(order(1, 1000, LONG), lease)).unwrap();
    std::thread::sleep(Duration::from_millis(1_200));
    let renew = WorkerCall::Renew {
        attempts: vec![attempt(1)],
        lease_until: NOW.plus(LONG),
    };
    assert_eq!(call(worker.addr(), &renew), Ok(WorkerAnswer::Done));
    assert_eq!(report(&worker)[0].phase, TaskPhase::Lapsed);
}

/// Sends a call to a worker that is frozen for `freeze`, so that it reads the call late.
///
/// The client learns the worker's clock before the freeze. Returns the time at which the call was
/// sent, in microseconds since the Unix epoch.
fn call_frozen(worker: &WorkerStandin, call: &WorkerCall, freeze: Duration) -> u64 {
    let client = WorkerClient::new(|| NOW);
    block_on(async {
        let report = WorkerCall::Report { number: 1 };
        let report = client.call(worker.addr(), &report, NOW).await;
        assert!(report.is_ok());
        worker.control(|control| control.frozen = true);
        let sent = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let unfreeze = async {
            tokio::time::sleep(freeze).await;
            worker.control(|control| control.frozen = false);
        };
        let _ = tokio::join!(client.call(worker.addr(), call, NOW), unfreeze);
        u64::try_from(sent.as_micros()).unwrap()
    })
}

#[test]
fn start_read_late() {
    let worker = idle_worker();
    let late = WorkerCall::Start {
        order: order(1, 1000, LONG),
        lease_until: NOW.plus(LONG),
        start_by: NOW.plus(Duration::from_millis(100)),
    };
    call_frozen(&worker, &late, Duration::from_millis(300));
    let kinds: Vec<TaskEventKind> = worker.history().events.iter().map(|it| it.event).collect();
    assert_eq!(kinds, [TaskEventKind::LateRefused]);
}

#[test]
fn renewal_read_late() {
    let worker = idle_worker();
    let lease = Duration::from_secs(2);
    call(worker.addr(), &start(order(1, 1000, LONG), lease)).unwrap();
    let renew = WorkerCall::Renew {
        attempts: vec![attempt(1)],
        lease_until: NOW.plus(lease),
    };
    let sent_us = call_frozen(&worker, &renew, Duration::from_secs(1));
    std::thread::sleep(Duration::from_millis(1_500));
    let lapsed = worker.history().events.pop().unwrap();
    assert_eq!(lapsed.event, TaskEventKind::Lapsed);
    let held_for = Duration::from_micros(lapsed.at_us.saturating_sub(sent_us));
    assert!(
        held_for <= lease,
        "lease held for {held_for:?} after the renewal was sent"
    );
}

#[rstest]
#[case::refused(http_response("409 Conflict", r#"{"refused":"no_room"}"#), true)]
#[case::no_reason(http_response("409 Conflict", ""), false)]
#[case::server_error(http_response("500 Oops", r#"{"refused":"no_room"}"#), false)]
#[case::bad_request(http_response("400 Bad", r#"{"refused":"no_room"}"#), false)]
#[case::cut_off("HTTP/1.1 409 Conflict\r\ncontent-length: 90\r\n\r\n{\"refused\"".to_owned(), false)]
#[case::closed(String::new(), false)]
fn refusal_needs_proof(#[case] answer: String, #[case] refused: bool) {
    let address = serve_fixed(answer);
    let error = call(address, &start(order(1, 1000, LONG), LONG)).unwrap_err();
    assert_eq!(matches!(error, WorkerError::Refused { .. }), refused);
}
