//! Endpoint of a worker: slots, interference by tasks, and faults.

use hornbeamlead_platform::worker_wire::{AttemptWire, DeliveryWire, SizeWire, StartCall};
use hornbeamlead_standin::client::{TestError, TestRequest, send_blocking};
use hornbeamlead_standin::worker::WorkerStandin;
use hornbeamlead_standin::worker::control::{
    KindBehaviour, ServiceFault, WorkerControl, WorkerSettings,
};
use rstest::rstest;

fn start(change: impl FnOnce(&mut WorkerControl)) -> WorkerStandin {
    let mut settings = WorkerSettings::default();
    settings.control.service.jitter_percent = 0;
    change(&mut settings.control);
    WorkerStandin::start(settings).unwrap()
}

fn task_start() -> StartCall {
    StartCall {
        attempt: AttemptWire {
            job: "charring".into(),
            index: 0,
            number: 1,
        },
        kind: "noisy".into(),
        size: SizeWire::default(),
        run_time_ms: 600_000,
        checkpoint_every_ms: 600_000,
        delivery: DeliveryWire::Resumable,
        resume_from: None,
        lease_ms: 600_000,
        start_within_ms: 1_000,
    }
}

#[test]
fn request_echoed() {
    let worker = start(|_| {});
    let path = "/ledger/casks?status=201";
    let request = TestRequest::post(worker.endpoint_addr(), path, "hoop")
        .header("hornbeamlead-request", "entry-01/1/1");
    let answer = send_blocking(&request).unwrap();
    assert_eq!(answer.status, 201);
    assert_eq!(answer.text(), "POST /ledger/casks?status=201\nhoop");
    let runs = worker.runs().runs;
    assert_eq!(&*runs[0].request, "entry-01/1/1");
}

#[test]
fn slots_bounded() {
    let worker = start(|control| control.service.fault = ServiceFault::Silent);
    let request = TestRequest::get(worker.endpoint_addr(), "/ledger/a");
    let calls: Vec<_> = (0..8)
        .map(|_| request.clone())
        .map(|request| std::thread::spawn(move || send_blocking(&request)))
        .collect();
    while worker.runs().runs.len() < 8 {
        std::thread::yield_now();
    }
    assert_eq!(send_blocking(&request).unwrap().status, 503);
    let (_, runs) = worker.stop();
    assert_eq!((runs.slots_exceeded, runs.peak_in_flight), (1, 8));
    for call in calls {
        assert!(call.join().unwrap().is_err());
    }
}

#[test]
fn noisy_neighbour() {
    let worker = start(|control| {
        control.service.time_us = 10_000;
        let noisy = KindBehaviour {
            slowdown_percent: 400,
            ..KindBehaviour::default()
        };
        control.kinds.insert("noisy".into(), noisy);
    });
    let call = serde_json::to_vec(&task_start()).unwrap();
    let started = TestRequest::post(worker.addr(), "/tasks/start", call);
    assert_eq!(send_blocking(&started).unwrap().status, 204);
    send_blocking(&TestRequest::get(worker.endpoint_addr(), "/ledger/a")).unwrap();
    let run = worker.runs().runs.remove(0);
    assert!(run.ended_us.unwrap() - run.at_us >= 50_000);
}

#[rstest]
#[case::breaking_off(ServiceFault::Disconnecting, false)]
#[case::cutting_off(ServiceFault::Truncating, true)]
fn answer_lost(#[case] fault: ServiceFault, #[case] response_started: bool) {
    let worker = start(|control| control.service.fault = fault);
    let request = TestRequest::get(worker.endpoint_addr(), "/ledger/a");
    let error = send_blocking(&request).unwrap_err();
    assert_eq!(
        matches!(error, TestError::Truncated { .. }),
        response_started,
        "{error}"
    );
    assert_eq!(worker.runs().runs.len(), 1);
}

#[test]
fn failing_tasks() {
    let worker = start(|control| {
        control.fail_tasks = true;
        control.fail_after_ms = 0;
    });
    let call = serde_json::to_vec(&task_start()).unwrap();
    send_blocking(&TestRequest::post(worker.addr(), "/tasks/start", call)).unwrap();
    let report = send_blocking(&TestRequest::get(worker.addr(), "/tasks")).unwrap();
    assert_eq!(report.json()["tasks"][0]["phase"], "failed");
}
