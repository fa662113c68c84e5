//! Admission at the agent: slots, queue, deadlines, fences, stop.

mod common;

use common::{
    GateBench, agent_policy, answer, at, called, centre, endpoint, fleet, replies, request_id,
    requested, requested_of,
};
use hornbeamlead_core::counter::RefusalReason;
use hornbeamlead_core::effect::AgentEffect;
use hornbeamlead_core::event::{AgentEvent, EndpointOutcome};
use hornbeamlead_core::ids::LinkId;
use hornbeamlead_core::message::control::ControlMessage;
use hornbeamlead_core::message::request::RequestOutcome;
use rstest::rstest;

fn done(counter: u64, outcome: EndpointOutcome) -> AgentEvent {
    AgentEvent::EndpointDone {
        id: request_id(counter),
        outcome,
    }
}

fn reason(effects: &[AgentEffect]) -> Option<RefusalReason> {
    replies(effects)
        .first()
        .and_then(|reply| match reply.outcome {
            RequestOutcome::NotRun { reason, .. } => Some(reason),
            _ => None,
        })
}

#[test]
fn slots_then_queue() {
    let mut bench = GateBench::serving(8);
    for counter in 0..8 {
        assert_eq!(
            called(&bench.handle(at(1), &requested(counter, 5000))).len(),
            1
        );
    }
    assert!(called(&bench.handle(at(1), &requested(8, 5000))).is_empty());
    let outcome = EndpointOutcome::Answered(answer("done"));
    let effects = bench.handle(at(2), &done(0, outcome));
    assert_eq!(called(&effects), vec![request_id(8)]);
    assert_eq!(replies(&effects).len(), 1);
}

#[test]
fn full_queue_refuses() {
    let mut bench = GateBench::serving(8);
    for counter in 0..72 {
        let effects = bench.handle(at(1), &requested(counter, 5000));
        assert!(replies(&effects).is_empty());
    }
    let effects = bench.handle(at(1), &requested(72, 5000));
    assert_eq!(reason(&effects), Some(RefusalReason::QueueFull));
}

#[test]
fn waiting_past_deadline() {
    let mut bench = GateBench::serving(1);
    bench.handle(at(1), &requested(0, 5000));
    bench.handle(at(1), &requested(1, 100));
    let effects = bench.handle(at(100), &AgentEvent::TimerFired);
    assert_eq!(reason(&effects), Some(RefusalReason::DeadlinePassed));
    let outcome = EndpointOutcome::Answered(answer("done"));
    let effects = bench.handle(at(200), &done(0, outcome));
    assert!(called(&effects).is_empty());
}

#[test]
fn hopeless_deadline_refused() {
    let mut bench = GateBench::serving(1);
    bench.handle(at(0), &requested(0, 5000));
    bench.handle(at(100), &done(0, EndpointOutcome::Answered(answer("done"))));
    bench.handle(at(100), &requested(1, 5000));
    bench.handle(at(100), &requested(2, 5000));
    // Two are ahead, each taking about 100 ms.
    let effects = bench.handle(at(100), &requested(3, 300));
    assert_eq!(reason(&effects), Some(RefusalReason::DeadlineUnreachable));
}

#[rstest]
#[case(EndpointOutcome::Unreachable, true)]
#[case(EndpointOutcome::Broken, false)]
fn proof_of_not_run(#[case] outcome: EndpointOutcome, #[case] proven: bool) {
    let mut bench = GateBench::serving(8);
    bench.handle(at(1), &requested(0, 5000));
    let effects = bench.handle(at(2), &done(0, outcome));
    assert_eq!(reason(&effects).is_some(), proven);
    assert_eq!(replies(&effects).len(), 1);
}

#[test]
fn refused_id_never_runs() {
    let mut bench = GateBench::new(agent_policy(&[100]));
    let effects = bench.handle(at(0), &requested(0, 5000));
    assert_eq!(reason(&effects), Some(RefusalReason::NoWorker));
    bench.handle(
        at(1),
        &AgentEvent::EndpointAnnounced(endpoint(&["ledger"], 8)),
    );
    let effects = bench.handle(at(2), &requested(0, 5000));
    assert!(called(&effects).is_empty());
    assert_eq!(reason(&effects), Some(RefusalReason::NoWorker));
}

#[test]
fn cancelled_id_never_runs() {
    let mut bench = GateBench::serving(8);
    let cancel = AgentEvent::Cancelled {
        link: LinkId(1),
        id: request_id(0),
    };
    bench.handle(at(0), &cancel);
    assert!(called(&bench.handle(at(1), &requested(0, 5000))).is_empty());
}

#[test]
fn finished_id_never_runs() {
    let mut bench = GateBench::serving(8);
    bench.handle(at(0), &requested(0, 5000));
    assert!(called(&bench.handle(at(0), &requested(0, 5000))).is_empty());
    bench.handle(at(1), &done(0, EndpointOutcome::Answered(answer("done"))));
    let effects = bench.handle(at(2), &requested(0, 5000));
    assert!(called(&effects).is_empty());
    let outcome = &replies(&effects)[0].outcome;
    assert!(matches!(outcome, RequestOutcome::Unknown { .. }));
}

#[test]
fn stop_lets_queue_end() {
    let mut bench = GateBench::serving(1);
    bench.handle(at(0), &requested(0, 5000));
    bench.handle(at(0), &requested(1, 5000));
    bench.handle(at(1), &AgentEvent::StopRequested);
    let effects = bench.handle(at(2), &requested(2, 5000));
    assert_eq!(reason(&effects), Some(RefusalReason::Leaving));
    let effects = bench.handle(at(3), &done(0, EndpointOutcome::Answered(answer("done"))));
    assert_eq!(called(&effects), vec![request_id(1)]);
    assert!(!bench.gate.idle());
    bench.handle(at(4), &done(1, EndpointOutcome::Answered(answer("done"))));
    assert!(bench.gate.idle());
}

#[test]
fn leaving_told_at_once() {
    let mut bench = GateBench::serving(8);
    let effects = bench.handle(at(50), &AgentEvent::StopRequested);
    let told = effects.iter().any(|effect| match effect {
        AgentEffect::SendDatagram {
            message: ControlMessage::Announce(announce),
            ..
        } => announce.load.leaving,
        _ => false,
    });
    assert!(told);
}

#[test]
fn drained_centre_refuses() {
    let mut bench = GateBench::serving(8);
    bench.fleet = fleet(&["negombo", "colombo"], &["negombo"]);
    assert!(!bench.fleet.in_service(&centre("negombo")));
    let effects = bench.handle(at(1), &requested(0, 5000));
    assert_eq!(reason(&effects), Some(RefusalReason::Leaving));
}

#[test]
fn services_share_queue() {
    let mut bench = GateBench::new(agent_policy(&[100]));
    let both = endpoint(&["ledger", "course"], 1);
    bench.handle(at(0), &AgentEvent::EndpointAnnounced(both));
    for counter in 0..65 {
        bench.handle(at(0), &requested_of("ledger", counter, 9000));
    }
    let effects = bench.handle(at(0), &requested_of("course", 100, 9000));
    assert_eq!(reason(&effects), Some(RefusalReason::FairShare));
    assert_ne!(replies(&effects)[0].id, request_id(100));
    let effects = bench.handle(at(1), &done(0, EndpointOutcome::Answered(answer("done"))));
    assert_eq!(called(&effects), vec![request_id(100)]);
}

/// Answers requests one at a time, each after a span, and returns the slots told at the end.
fn slots_after(bench: &mut GateBench, from: u64, count: u64, span: u64) -> u16 {
    let mut slots = 0;
    for number in 0..count {
        let began = from + number * span;
        let counter = from * 1_000 + number;
        let announce = endpoint(&["ledger"], 8);
        bench.handle(at(began), &AgentEvent::EndpointAnnounced(announce));
        bench.handle(at(began), &requested(counter, began + 60_000));
        let outcome = EndpointOutcome::Answered(answer("done"));
        let effects = bench.handle(at(began + span), &done(counter, outcome));
        slots = replies(&effects)[0].load.slots;
    }
    slots
}

#[test]
fn limit_follows_latency() {
    let mut bench = GateBench::serving(8);
    assert_eq!(slots_after(&mut bench, 0, 100, 10), 8);
    let lowered = slots_after(&mut bench, 1_000, 200, 50);
    assert!((4..8).contains(&lowered), "{lowered}");
    assert_eq!(slots_after(&mut bench, 11_000, 400, 10), 8);
}

#[test]
fn older_endpoint_stays_out() {
    let mut bench = GateBench::new(agent_policy(&[100]));
    let mut newer = endpoint(&["ledger"], 8);
    newer.incarnation = hornbeamlead_core::ids::Incarnation(2);
    bench.handle(at(0), &AgentEvent::EndpointAnnounced(newer));
    let older = endpoint(&["course"], 8);
    bench.handle(at(1), &AgentEvent::EndpointAnnounced(older));
    assert_eq!(called(&bench.handle(at(2), &requested(0, 5000))).len(), 1);
}

#[test]
fn silent_endpoint_gone() {
    let mut bench = GateBench::serving(8);
    bench.handle(at(2_500), &AgentEvent::TimerFired);
    let effects = bench.handle(at(2_501), &requested(0, 5000));
    assert_eq!(reason(&effects), Some(RefusalReason::NoWorker));
}

#[test]
fn slots_shared_fairly() {
    let mut bench = GateBench::new(agent_policy(&[100]));
    let both = endpoint(&["ledger", "course"], 2);
    bench.handle(at(0), &AgentEvent::EndpointAnnounced(both));
    for counter in 0..6 {
        bench.handle(at(0), &requested_of("course", counter, 9000));
    }
    bench.handle(at(0), &requested_of("ledger", 100, 9000));
    let effects = bench.handle(at(1), &done(0, EndpointOutcome::Answered(answer("done"))));
    assert_eq!(called(&effects), vec![request_id(100)]);
}
