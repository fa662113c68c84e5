//! Grants of the planner, and the leases that an agent renews by them.

mod agent;

use agent::TestAgent;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_jobs::message::AgentStamp;
use rstest::rstest;

/// Reading of the agent's clock shortly after its start.
const EARLY: MonoTime = MonoTime(1_000_000);

/// Guards against the stamp of answers to reports without a worker being taken for a permission, if
/// the agent's clock has started moments ago.
#[rstest]
#[case(Some(AgentStamp::NO_LEASES), false)]
#[case(None, false)]
#[case(Some(AgentStamp(EARLY.0)), true)]
fn stamp_permits_leases(#[case] stamp: Option<AgentStamp>, #[case] renews: bool) {
    let mut agent = TestAgent::new(EARLY);
    agent.grant(stamp);
    agent.announce();
    // The first hold reads the worker's clock.
    agent.answer_hold(&[]);
    assert_eq!(agent.renews(), renews);
}
