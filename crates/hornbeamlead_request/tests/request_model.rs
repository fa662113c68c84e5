//! Whole request path under random schedules of faults.

mod common;
mod model;

use hornbeamlead_core::effect::CallerAnswer;
use model::{FaultPlan, ModelNode, ModelWorld};
use proptest::prelude::{ProptestConfig, any, prop_assert, prop_assert_eq, proptest};

fn text(answer: &CallerAnswer) -> Option<String> {
    match answer {
        CallerAnswer::Answered(answer) => Some(String::from_utf8_lossy(&answer.body).into_owned()),
        CallerAnswer::NotRun { .. } | CallerAnswer::Unknown { .. } => None,
    }
}

fn runs_of(world: &ModelWorld, order: u64) -> u32 {
    world.ledger.runs.get(&order).copied().unwrap_or(0)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    #[test]
    fn runs_at_most_once(seed in any::<u64>()) {
        let world = ModelWorld::run(seed, FaultPlan::ROUGH);
        for (order, call) in &world.ledger.calls {
            if !call.idempotent {
                prop_assert!(runs_of(&world, *order) <= 1, "order {} ran twice", order);
            }
        }
        for (key, runs) in &world.ledger.key_runs {
            prop_assert!(*runs <= 1, "key {} ran {} times", key, runs);
        }
    }

    #[test]
    fn refusal_is_true(seed in any::<u64>()) {
        let world = ModelWorld::run(seed, FaultPlan::ROUGH);
        for (order, call) in &world.ledger.calls {
            let refused = matches!(call.answers.first(), Some(CallerAnswer::NotRun { .. }));
            prop_assert!(!refused || runs_of(&world, *order) == 0, "order {} ran", order);
        }
    }

    #[test]
    fn one_answer_in_time(seed in any::<u64>()) {
        let world = ModelWorld::run(seed, FaultPlan::ROUGH);
        for (order, call) in &world.ledger.calls {
            let killed = world.nodes[call.node].clock().dead;
            prop_assert!(call.answers.len() <= 1, "order {}: {:?}", order, call.answers);
            prop_assert!(killed || call.answers.len() == 1, "order {} has no answer", order);
            prop_assert!(!call.late, "order {} was answered late", order);
        }
    }

    #[test]
    fn own_answer_only(seed in any::<u64>()) {
        let world = ModelWorld::run(seed, FaultPlan::ROUGH);
        for (order, call) in &world.ledger.calls {
            let expected = match call.key {
                Some(key) => format!("key {key}"),
                None => format!("order {order}"),
            };
            for body in call.answers.iter().filter_map(text) {
                prop_assert_eq!(&body, &expected);
            }
        }
    }

    #[test]
    fn slots_never_exceeded(seed in any::<u64>()) {
        let world = ModelWorld::run(seed, FaultPlan::ROUGH);
        for node in &world.nodes {
            if let ModelNode::Agent(agent) = node {
                prop_assert!(agent.most_running <= model::SLOTS);
            }
        }
    }

    #[test]
    fn replay_is_same(seed in any::<u64>()) {
        let first = ModelWorld::run(seed, FaultPlan::ROUGH);
        let second = ModelWorld::run(seed, FaultPlan::ROUGH);
        prop_assert_eq!(first.trace, second.trace);
    }

    #[test]
    fn calm_answers_all(seed in any::<u64>()) {
        let world = ModelWorld::run(seed, FaultPlan::CALM);
        let unanswered: Vec<_> = world
            .ledger
            .calls
            .values()
            .filter(|call| call.answers.first().and_then(text).is_none())
            .collect();
        prop_assert!(unanswered.is_empty(), "{:?}", unanswered);
    }
}
