//! The whole request path under random fault schedules.

mod common;
mod model;

use hornbeamlead_core::effect::CallerAnswer;
use model::{CallRecord, FaultPlan, ModelNode, ModelWorld};
use proptest::prelude::{ProptestConfig, TestCaseError, any, prop_assert, proptest};

fn text(answer: &CallerAnswer) -> Option<String> {
    match answer {
        CallerAnswer::Answered(answer) => Some(String::from_utf8_lossy(&answer.body).into_owned()),
        CallerAnswer::NotRun { .. } | CallerAnswer::Unknown { .. } => None,
    }
}

fn check_call(world: &ModelWorld, order: u64, call: &CallRecord) -> Result<(), TestCaseError> {
    let runs = world.ledger.runs.get(&order).copied().unwrap_or(0);
    let refused = matches!(call.answers.first(), Some(CallerAnswer::NotRun { .. }));
    let entry_died = world.nodes[call.node].clock().dead;
    let expected = match call.key {
        Some(key) => format!("key {key}"),
        None => format!("order {order}"),
    };
    prop_assert!(call.idempotent || runs <= 1, "{} ran twice", expected);
    prop_assert!(!refused || runs == 0, "{} ran after a refusal", expected);
    prop_assert!(call.answers.len() <= 1, "{} was answered twice", expected);
    prop_assert!(
        entry_died || !call.answers.is_empty(),
        "{} has no answer",
        expected
    );
    prop_assert!(!call.late, "{} was answered late", expected);
    for body in call.answers.iter().filter_map(text) {
        prop_assert!(body == expected, "{} got the answer of {}", expected, body);
    }
    Ok(())
}

fn check_all(world: &ModelWorld) -> Result<(), TestCaseError> {
    for (order, call) in &world.ledger.calls {
        check_call(world, *order, call)?;
    }
    for (key, runs) in &world.ledger.key_runs {
        prop_assert!(*runs <= 1, "key {} ran {} times", key, runs);
    }
    for node in &world.nodes {
        if let ModelNode::Agent(agent) = node {
            prop_assert!(
                agent.max_running <= model::SLOTS,
                "endpoint ran more requests than it has slots"
            );
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(150))]

    #[test]
    fn faults_all_at_once(seed in any::<u64>()) {
        check_all(&ModelWorld::run(seed, FaultPlan::ALL_FAULTS))?;
    }

    #[test]
    fn many_copies_of_keys(seed in any::<u64>()) {
        check_all(&ModelWorld::run(seed, FaultPlan::KEYED))?;
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(20))]

    #[test]
    fn replay_deterministic(seed in any::<u64>()) {
        let first = ModelWorld::run(seed, FaultPlan::ALL_FAULTS);
        let second = ModelWorld::run(seed, FaultPlan::ALL_FAULTS);
        prop_assert!(first.trace == second.trace);
    }

    #[test]
    fn answers_without_faults(seed in any::<u64>()) {
        let world = ModelWorld::run(seed, FaultPlan::NO_FAULTS);
        check_all(&world)?;
        for (order, call) in &world.ledger.calls {
            let answered = call.answers.first().and_then(text).is_some();
            prop_assert!(answered, "order {}: {:?}", order, call.answers);
        }
    }
}
