//! Shares of best-effort tasks that the agent does not know, because it has restarted or a call has
//! failed.

mod agent;

use agent::{TestAgent, incarnation};
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_jobs::ids::{RunName, RunNumber};
use hornbeamlead_jobs::message::{AgentStamp, PlannerMessage, RunTraits, StartOrder};
use hornbeamlead_jobs::worker::{RunningRow, WorkerAnswer, WorkerOperation};
use rstest::rstest;

const START: MonoTime = MonoTime(60_000_000);

const TARGET_MS: u32 = 18;

/// Latency that is far below the target.
const LOW_MS: u32 = 9;

/// Latency over the target.
const HIGH_MS: u32 = 40;

fn run(index: u32) -> RunName {
    let mut name = RunName {
        run: RunNumber(1),
        ..RunName::default()
    };
    name.task.index = index;
    name
}

fn row(index: u32, reading: u32) -> RunningRow {
    RunningRow {
        run: run(index),
        saved: None,
        percent: 50,
        reading,
    }
}

/// Serving task 0 and best-effort tasks 1 and 2.
fn rows(latency: u32) -> [RunningRow; 3] {
    [row(0, latency), row(1, 1800), row(2, 1800)]
}

fn serving() -> RunTraits {
    RunTraits {
        target_ms: TARGET_MS,
        long_running: true,
        ..RunTraits::default()
    }
}

fn best_effort() -> RunTraits {
    RunTraits {
        best_effort: true,
        interference_percent: 100,
        cpu: 2000,
        ..RunTraits::default()
    }
}

fn started_agent() -> TestAgent {
    let mut agent = TestAgent::new(START);
    agent.grant(Some(AgentStamp(START.0)));
    agent.announce();
    agent
}

/// Returns an agent that has restarted beside a worker with running tasks.
fn restarted_agent() -> TestAgent {
    let mut agent = started_agent();
    agent.tell(PlannerMessage::Traits(vec![
        (run(0), serving()),
        (run(1), best_effort()),
        (run(2), best_effort()),
    ]));
    agent
}

/// Passes readings and returns the shares that were sent.
fn shares_sent(agent: &mut TestAgent, latency: u32, holds: u32) -> Vec<(RunName, u8)> {
    let mut shares = Vec::new();
    for _ in 0..holds {
        agent.answer_hold(&rows(latency));
        shares.extend(agent.answer_throttling(&WorkerAnswer::Done));
    }
    shares
}

/// Guards against a task that keeps the share that an earlier process of the agent set, because its
/// successor takes the share for 100 %. One call for each task suffices.
#[test]
fn sent_after_restart() {
    let mut agent = restarted_agent();
    let shares = shares_sent(&mut agent, LOW_MS, 20);
    assert_eq!(shares, [(run(1), 100), (run(2), 100)]);
}

/// Guards against a task that keeps its share because the call that raises it to 100 % has failed.
#[rstest]
fn sent_after_failure(#[values(1, 4)] failures: u32) {
    let mut agent = restarted_agent();
    shares_sent(&mut agent, LOW_MS, 1);
    let reduced = shares_sent(&mut agent, HIGH_MS, 3);
    assert!(reduced.iter().any(|(_, share)| *share < 50), "{reduced:?}");
    let full = [(run(1), 100), (run(2), 100)];
    let mut failed = 0;
    for _ in 0..40 {
        agent.answer_hold(&rows(LOW_MS));
        let raises = agent.calls.iter().any(|call| {
            matches!(
                call.operation,
                WorkerOperation::Throttle { percent: 100, .. }
            )
        });
        let answer = match raises && failed < failures {
            true => WorkerAnswer::Unanswered,
            false => WorkerAnswer::Done,
        };
        let shares = agent.answer_throttling(&answer);
        if raises {
            assert_eq!(shares, full);
            failed += 1;
        }
    }
    // Each failed call is repeated once, and the last succeeds.
    assert_eq!(failed, failures + 1);
}

/// Guards against calls for tasks that the agent has started itself, which start at 100 %.
#[rstest]
#[case(WorkerAnswer::Done)]
#[case(WorkerAnswer::Unanswered)]
fn none_after_start(#[case] start_answer: WorkerAnswer) {
    let mut agent = started_agent();
    // The first hold reads the worker's clock, without which nothing starts.
    agent.answer_hold(&[]);
    for (number, traits) in [serving(), best_effort(), best_effort()]
        .into_iter()
        .enumerate()
    {
        let order = StartOrder {
            run: run(number as u32),
            incarnation: incarnation(),
            spec: "work".into(),
            saved: None,
            traits,
        };
        let number = number as u64 + 1;
        agent.tell(PlannerMessage::Start { number, order });
    }
    let starts = std::mem::take(&mut agent.calls);
    assert_eq!(starts.len(), 3);
    for call in starts {
        agent.answer(call, start_answer.clone());
    }
    assert_eq!(shares_sent(&mut agent, LOW_MS, 20), []);
}
