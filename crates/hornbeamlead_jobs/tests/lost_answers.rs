//! Answers of a worker that are lost: an attempt is reported as not started only when it cannot run.

mod agent;

use agent::{TestAgent, incarnation};
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_jobs::ids::{RunName, RunNumber};
use hornbeamlead_jobs::message::{AgentMessage, AgentStamp, PlannerMessage, StartOrder};
use hornbeamlead_jobs::worker::{
    RunningRow, WorkerAnswer, WorkerCall, WorkerOperation, WorkerRefusal,
};
use rstest::rstest;

const START: MonoTime = MonoTime(60_000_000);

fn run() -> RunName {
    RunName {
        run: RunNumber(1),
        ..RunName::default()
    }
}

/// Returns an agent that has been ordered to start an attempt, and the answer was lost.
fn uncertain_agent() -> TestAgent {
    let mut agent = TestAgent::new(START);
    agent.grant(Some(AgentStamp(START.0)));
    agent.announce();
    agent.answer_hold(&[]);
    agent.grant(Some(AgentStamp(START.0)));
    agent.tell(PlannerMessage::Start {
        number: 1,
        order: StartOrder {
            run: run(),
            incarnation: incarnation(),
            spec: "work".into(),
            saved: None,
            traits: Default::default(),
        },
    });
    let call = take_call(&mut agent);
    assert!(matches!(call.operation, WorkerOperation::Start { .. }));
    agent.answer(call, WorkerAnswer::Unanswered);
    agent
}

fn take_call(agent: &mut TestAgent) -> WorkerCall {
    agent.calls.pop().expect("a call waits for an answer")
}

fn not_started(agent: &TestAgent) -> usize {
    let reported = |message: &&AgentMessage| matches!(message, AgentMessage::NotStarted { .. });
    agent.messages.iter().filter(reported).count()
}

/// The repeated start is refused or not answered either, which says nothing about the first one.
#[rstest]
#[case::no_room(WorkerAnswer::Refused(WorkerRefusal::NoRoom))]
#[case::superseded(WorkerAnswer::Refused(WorkerRefusal::Superseded))]
#[case::unanswered(WorkerAnswer::Unanswered)]
fn stopped_before_reported(#[case] answer: WorkerAnswer) {
    let mut agent = uncertain_agent();
    let repeated = take_call(&mut agent);
    assert!(matches!(repeated.operation, WorkerOperation::Start { .. }));
    agent.answer(repeated, answer);
    let running = RunningRow {
        run: run(),
        saved: None,
        percent: 1,
        reading: 0,
    };
    agent.answer_hold(&[running]);
    agent.answer_hold(&[]);
    assert_eq!(not_started(&agent), 0);
    let stop = take_call(&mut agent);
    assert_eq!(stop.operation, WorkerOperation::Stop { run: run() });
    agent.answer(stop, WorkerAnswer::Done);
    agent.answer_hold(&[]);
    agent.answer_hold(&[]);
    assert_eq!(not_started(&agent), 1);
}

/// The stop's answer is lost as well: it is repeated until the worker has confirmed it.
#[test]
fn stop_repeated() {
    let mut agent = uncertain_agent();
    for _ in 0..3 {
        let call = take_call(&mut agent);
        agent.answer(call, WorkerAnswer::Unanswered);
        agent.answer_hold(&[]);
    }
    assert_eq!(not_started(&agent), 0);
    let stop = take_call(&mut agent);
    assert_eq!(stop.operation, WorkerOperation::Stop { run: run() });
}
