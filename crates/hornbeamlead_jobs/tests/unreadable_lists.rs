//! Lists of a worker with rows that cannot be decoded.

mod agent;

use agent::{TestAgent, incarnation};
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_jobs::ids::RunName;
use hornbeamlead_jobs::job::RunEnd;
use hornbeamlead_jobs::message::{AgentMessage, HostReport, PlannerMessage, StartOrder};
use hornbeamlead_jobs::worker::{EndedRow, RunningRow, WorkerAnswer, WorkerLists};

fn order() -> StartOrder {
    StartOrder {
        run: RunName::default(),
        incarnation: incarnation(),
        spec: "work".into(),
        saved: None,
        traits: Default::default(),
    }
}

/// Returns an agent whose worker has answered a start.
fn started_agent() -> TestAgent {
    let mut agent = TestAgent::new(MonoTime(20_000_000));
    agent.announce();
    grant(&mut agent);
    agent.answer_lists(WorkerLists::default());
    agent.tell(PlannerMessage::Start {
        number: 1,
        order: order(),
    });
    let start = agent.calls.pop().expect("a start is in flight");
    agent.answer(start, WorkerAnswer::Done);
    agent.answer_lists(WorkerLists::default());
    agent.messages.clear();
    agent
}

fn grant(agent: &mut TestAgent) {
    let stamp = agent.stamp();
    agent.grant(Some(stamp));
}

fn unreadable() -> WorkerLists {
    WorkerLists {
        unreadable: 1,
        ..WorkerLists::default()
    }
}

fn running() -> WorkerLists {
    WorkerLists {
        running: vec![RunningRow {
            run: order().run,
            saved: None,
            percent: 10,
            reading: 0,
        }],
        ..WorkerLists::default()
    }
}

fn not_started(agent: &TestAgent) -> bool {
    let mut messages = agent.messages.iter();
    messages.any(|message| matches!(message, AgentMessage::NotStarted { .. }))
}

fn last_report(agent: &TestAgent) -> &HostReport {
    let reports = agent.messages.iter().rev();
    let mut reports = reports.filter_map(|message| match message {
        AgentMessage::Report(report) => Some(&**report),
        _ => None,
    });
    reports.next().expect("a report was sent")
}

/// Guards against a second start of a task that runs, because the row that names it cannot be read.
#[test]
fn absence_unproven() {
    let mut agent = started_agent();
    agent.answer_lists(unreadable());
    assert!(!not_started(&agent));
    assert_eq!(last_report(&agent).in_flight, [order().run]);
    agent.answer_lists(WorkerLists::default());
    assert!(not_started(&agent));
}

/// Guards against a stop of an attempt that runs, because the row that names it cannot be read.
#[test]
fn absence_untold() {
    let mut agent = started_agent();
    agent.answer_lists(running());
    assert!(last_report(&agent).listed);
    agent.answer_lists(unreadable());
    assert!(!last_report(&agent).listed);
    agent.answer_lists(running());
    assert!(last_report(&agent).listed);
}

/// Rows that can be read hold, beside one that cannot.
#[test]
fn presence_proven() {
    let mut agent = started_agent();
    let unreadable = 1;
    agent.answer_lists(WorkerLists {
        unreadable,
        ..running()
    });
    let report = last_report(&agent);
    assert_eq!((report.running.len(), report.in_flight.len()), (1, 0));
    let end = EndedRow {
        number: 1,
        run: order().run,
        end: RunEnd::Done,
        saved: None,
    };
    agent.answer_lists(WorkerLists {
        ended: vec![end.clone()],
        unreadable,
        ..WorkerLists::default()
    });
    assert_eq!(last_report(&agent).ended, [end]);
}
