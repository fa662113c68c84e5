//! Orders to hosts whose agents have connected again.

mod world;

use bytes::Bytes;
use hornbeamlead_emulator::store::EmulatedStore;
use hornbeamlead_jobs::effect::LinkId;
use hornbeamlead_jobs::ids::{JobId, PlannerEpoch};
use hornbeamlead_jobs::job::{JobBody, JobRecord, QueueTerms, StepSpec};
use hornbeamlead_jobs::message::{AgentMessage, AgentStamp, HostReport, PlannerMessage};
use hornbeamlead_jobs::planner::PlannerEvent;
use hornbeamlead_jobs::record::encode;
use hornbeamlead_jobs::store::{AppendCondition, NewRecord, StreamName};
use hornbeamlead_jobs::worker::WorkerFacts;
use rstest::rstest;
use std::net::SocketAddr;
use world::lone::LonePlanner;

const START_MS: u64 = 10_000;

const FIRST: LinkId = LinkId(1);

const SECOND: LinkId = LinkId(2);

fn put(planner: &mut LonePlanner, stream: StreamName, key: &str, value: Bytes) {
    let record = NewRecord {
        key: Some(key.into()),
        value: Some(value),
    };
    let now_ms = planner.now_ms;
    let store = &mut planner.store;
    store.append(now_ms, stream, &[record], AppendCondition::Always);
}

fn job_record() -> JobRecord {
    let step = StepSpec {
        tasks: 1,
        cpu: 1000,
        ..StepSpec::default()
    };
    JobRecord {
        terms: QueueTerms {
            service: "s".into(),
            max_attempts: 3,
            ..QueueTerms::default()
        },
        body: JobBody {
            steps: vec![step],
            ..JobBody::default()
        },
        ..JobRecord::default()
    }
}

fn connect(planner: &mut LonePlanner, link: LinkId) {
    let message = AgentMessage::Hello {
        host: "h1".into(),
        address: SocketAddr::from(([10, 0, 0, 1], 7000)),
        epoch: PlannerEpoch(0),
    };
    planner.handle(PlannerEvent::Agent { link, message });
}

fn report(planner: &mut LonePlanner, link: LinkId) {
    let message = AgentMessage::Report(Box::new(HostReport {
        stamp: AgentStamp(planner.now_ms),
        worker: Some(WorkerFacts {
            service: "s".into(),
            cpu: 4000,
            ..WorkerFacts::default()
        }),
        listed: true,
        ..HostReport::default()
    }));
    planner.handle(PlannerEvent::Agent { link, message });
}

/// Guards against starts on a new link before its first answer, which agents drop as too old.
#[rstest]
fn answered_first(#[values(10, 40, 100)] report_delay_ms: u64) {
    let mut planner = LonePlanner::new(EmulatedStore::default(), START_MS);
    put(
        &mut planner,
        StreamName::Operators,
        "config",
        Bytes::from_static(b"1"),
    );
    planner.run(500);
    connect(&mut planner, FIRST);
    report(&mut planner, FIRST);
    planner.run(200);
    let job = JobId(0xaa);
    let record = encode(&job_record());
    put(
        &mut planner,
        StreamName::Jobs,
        &format!("job/{job}"),
        record,
    );
    while !planner.events.contains(&"task_placed") {
        assert!(planner.now_ms < START_MS + 5000, "nothing is placed");
        report(&mut planner, FIRST);
        planner.run(10);
    }
    connect(&mut planner, SECOND);
    planner.run(report_delay_ms);
    for _ in 0..10 {
        report(&mut planner, SECOND);
        planner.run(100);
    }
    let on_second = |(link, _): &&(LinkId, PlannerMessage)| *link == SECOND;
    let messages = planner.sent.iter().filter(on_second);
    let messages: Vec<_> = messages.map(|(_, message)| message).collect();
    let is_start = |message: &&PlannerMessage| matches!(message, PlannerMessage::Start { .. });
    let start = messages.iter().position(is_start);
    let is_answer = |message: &&PlannerMessage| matches!(message, PlannerMessage::Grant { .. });
    let answer = messages.iter().position(is_answer);
    assert!(
        start.is_some() && answer.is_some() && answer < start,
        "{messages:?}"
    );
}
