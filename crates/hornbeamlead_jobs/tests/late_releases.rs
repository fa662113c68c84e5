//! Acknowledgements of ends that have no answer and reach the next life of the worker.

mod agent;

use agent::{TestAgent, incarnation};
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_jobs::ids::{RunName, RunNumber, WorkerIncarnation};
use hornbeamlead_jobs::job::RunEnd;
use hornbeamlead_jobs::message::{AgentMessage, AgentStamp, PlannerMessage};
use hornbeamlead_jobs::worker::{EndedRow, WorkerLists};
use rstest::rstest;
use std::time::Duration;

const START: MonoTime = MonoTime(60_000_000);

/// Time after which no call without an answer is carried out any more.
const LATE: Duration = Duration::from_secs(15);

fn next_life() -> WorkerIncarnation {
    WorkerIncarnation {
        born: 8,
        ..incarnation()
    }
}

fn lists(born: u64, ended: &[EndedRow]) -> WorkerLists {
    WorkerLists {
        born: Some(born),
        ended: ended.to_vec(),
        ..WorkerLists::default()
    }
}

fn names_worker(agent: &TestAgent) -> bool {
    let reports = agent
        .messages
        .iter()
        .rev()
        .find_map(|message| match message {
            AgentMessage::Report(report) => Some(report),
            _ => None,
        });
    reports.is_some_and(|report| report.worker.is_some())
}

/// Has the worker end an attempt. The hold that acknowledges it gets no answer if `lost` is set.
fn agent_with_end(lost: bool) -> TestAgent {
    let mut agent = TestAgent::new(START);
    agent.grant(Some(AgentStamp(START.0)));
    agent.announce();
    let end = EndedRow {
        number: 1,
        run: RunName {
            run: RunNumber(1),
            ..RunName::default()
        },
        end: RunEnd::Done,
        saved: None,
    };
    agent.answer_lists(lists(7, &[end]));
    agent.tell(PlannerMessage::Acknowledge {
        incarnation: incarnation(),
        through: 1,
    });
    match lost {
        true => assert_eq!(agent.lose_hold(), 1),
        false => agent.answer_lists(lists(7, &[])),
    }
    agent
}

/// Guards against work that is done again: the next life under the id drops its first ends by the
/// late acknowledgement, before anybody has seen them. It gets no work before that is over.
#[rstest]
#[case::lost(true)]
#[case::answered(false)]
fn next_life_waits(#[case] lost: bool, #[values(false, true)] announced_first: bool) {
    let mut agent = agent_with_end(lost);
    if announced_first {
        agent.announce_life(next_life());
    }
    agent.answer_lists(lists(8, &[]));
    agent.announce_life(next_life());
    agent.answer_lists(lists(8, &[]));
    agent.wait(Duration::from_millis(400));
    assert_eq!(names_worker(&agent), !lost);
    agent.wait(LATE);
    agent.answer_lists(lists(8, &[]));
    agent.announce_life(next_life());
    agent.answer_lists(lists(8, &[]));
    agent.wait(Duration::from_millis(400));
    assert!(names_worker(&agent));
}

/// Guards against a worker that waits although its id is a new one, so that no call for the life
/// before reaches it.
#[test]
fn other_id_used() {
    let mut agent = agent_with_end(true);
    let other = WorkerIncarnation {
        id: "w-2".into(),
        born: 8,
    };
    agent.announce_life(other);
    for _ in 0..3 {
        agent.answer_lists(lists(8, &[]));
    }
    agent.wait(Duration::from_millis(400));
    assert!(names_worker(&agent));
}
