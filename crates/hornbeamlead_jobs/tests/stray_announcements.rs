//! Announcements that are late, or come from another machine, do not displace an agent's worker.

mod agent;

use agent::TestAgent;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_jobs::ids::{RunName, WorkerIncarnation};
use hornbeamlead_jobs::message::{AgentMessage, AgentStamp, PlannerMessage};
use hornbeamlead_jobs::supervisor::{ExpectedWorker, SupervisorEvent};
use hornbeamlead_jobs::worker::{WorkerAnnouncement, WorkerFacts};
use rstest::rstest;
use std::net::SocketAddr;

const NOW: MonoTime = MonoTime(20_000_000);

fn announce(agent: &mut TestAgent, id: &str, born: u64, machine: &str) -> WorkerIncarnation {
    let incarnation = WorkerIncarnation {
        id: id.into(),
        born,
    };
    let facts = WorkerFacts {
        incarnation: incarnation.clone(),
        machine: Some(machine.into()),
        ..WorkerFacts::default()
    };
    agent.handle(SupervisorEvent::Announced(WorkerAnnouncement {
        facts,
        address: SocketAddr::from(([10, 0, 0, 1], 8000)),
        sequence: 1,
    }));
    incarnation
}

/// Returns whether the agent carries out orders for an incarnation.
fn obeys_for(agent: &mut TestAgent, incarnation: &WorkerIncarnation) -> bool {
    agent.grant(Some(AgentStamp(NOW.0)));
    agent.calls.clear();
    agent.tell(PlannerMessage::Stop {
        number: 1,
        run: RunName::default(),
        incarnation: incarnation.clone(),
    });
    !agent.calls.is_empty()
}

#[rstest]
#[case::older_same_id("w-1", 6, "m-1")]
#[case::older_other_id("w-0", 6, "m-1")]
#[case::newer_other_machine("w-9", 9, "m-9")]
fn displaces_nothing(#[case] id: &str, #[case] born: u64, #[case] machine: &str) {
    let mut agent = TestAgent::new(NOW);
    let worker = announce(&mut agent, "w-1", 7, "m-1");
    let stray = announce(&mut agent, id, born, machine);
    assert!(!obeys_for(&mut agent, &stray));
    assert!(obeys_for(&mut agent, &worker));
}

#[test]
fn restarted_worker_taken() {
    let mut agent = TestAgent::new(NOW);
    let worker = announce(&mut agent, "w-1", 7, "m-1");
    let restarted = announce(&mut agent, "w-2", 8, "m-1");
    assert!(!obeys_for(&mut agent, &worker));
    assert!(obeys_for(&mut agent, &restarted));
}

/// Guards against a first announcement that comes from another writer: it names no worker to use.
#[rstest]
#[case::other_address("10.0.0.2:8000", "s", false)]
#[case::other_service("10.0.0.1:8000", "unknown", false)]
#[case::own("10.0.0.1:8000", "s", true)]
fn configured_only(#[case] address: &str, #[case] service: &str, #[case] taken: bool) {
    let expected = ExpectedWorker {
        address: Some(SocketAddr::from(([10, 0, 0, 1], 8000))),
        service: Some("s".into()),
    };
    let mut agent = TestAgent::expecting(NOW, expected);
    let incarnation = WorkerIncarnation {
        id: "w-1".into(),
        born: 7,
    };
    let facts = WorkerFacts {
        incarnation: incarnation.clone(),
        service: service.into(),
        ..WorkerFacts::default()
    };
    agent.handle(SupervisorEvent::Announced(WorkerAnnouncement {
        facts,
        address: address.parse().expect("an address"),
        sequence: 1,
    }));
    assert_eq!(obeys_for(&mut agent, &incarnation), taken);
}

/// Guards against a life that never existed and is reported as ended: another writer's first
/// announcement was taken, and the worker answered before it was refuted.
#[test]
fn unverified_not_ended() {
    let mut agent = TestAgent::new(NOW);
    announce(&mut agent, "w-9", 9, "m-1");
    announce(&mut agent, "w-1", 7, "m-1");
    agent.answer_hold(&[]);
    let ended = agent.messages.iter().find_map(|message| match message {
        AgentMessage::Report(report) => report.dead.clone(),
        _ => None,
    });
    assert_eq!(ended, None);
}
