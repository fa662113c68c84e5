//! A caller's request through an entry: sent, answered, refused, retried.

mod common;

use common::{
    address, announce, announced, answer, answers, asked, at, entry_knowing, reply, sent,
};
use hornbeamlead_core::counter::RefusalReason;
use hornbeamlead_core::effect::{CallerAnswer, EntryEffect};
use hornbeamlead_core::event::EntryEvent;
use hornbeamlead_core::ids::CallerTicket;
use hornbeamlead_core::message::control::ControlMessage;
use hornbeamlead_core::message::request::{RequestOutcome, RequestSafety};
use rstest::rstest;
use std::time::Duration;

const AGENTS: [(&str, u16); 3] = [("a", 210), ("b", 220), ("c", 230)];

fn not_run(reason: RefusalReason) -> RequestOutcome {
    RequestOutcome::NotRun {
        reason,
        retry_after: Duration::ZERO,
    }
}

fn stray(effects: &[EntryEffect]) -> bool {
    effects.contains(&EntryEffect::CountRefusal(RefusalReason::StrayAnswer))
}

#[test]
fn answer_reaches_caller() {
    let mut entry = entry_knowing(&AGENTS);
    let effects = entry.handle(at(4000), asked(1, RequestSafety::NonIdempotent, 6000));
    let (to, request) = sent(&effects).remove(0);
    let outcome = RequestOutcome::Answered(answer("done"));
    let effects = entry.handle(at(4010), reply(to.port(), &request.id, outcome));
    let expected = CallerAnswer::Answered(answer("done"));
    assert_eq!(answers(&effects), vec![(CallerTicket(1), expected)]);
}

#[test]
fn wish_comes_last() {
    let mut entry = entry_knowing(&AGENTS);
    let effects = entry.handle(at(4000), asked(1, RequestSafety::NonIdempotent, 6000));
    let wishes = effects
        .iter()
        .filter(|effect| matches!(effect, EntryEffect::WakeAt(_)));
    assert_eq!(wishes.count(), 1);
    assert!(matches!(effects.last(), Some(EntryEffect::WakeAt(_))));
}

#[test]
fn crossed_answer_dropped() {
    let mut entry = entry_knowing(&AGENTS);
    let effects = entry.handle(at(4000), asked(1, RequestSafety::NonIdempotent, 6000));
    let (to, request) = sent(&effects).remove(0);
    let outcome = RequestOutcome::Answered(answer("crossed"));
    let other = AGENTS.iter().find(|(_, port)| *port != to.port()).unwrap();
    let effects = entry.handle(at(4010), reply(other.1, &request.id, outcome.clone()));
    assert!(stray(&effects) && answers(&effects).is_empty());
    let mut older = request.id.clone();
    older.incarnation = hornbeamlead_core::ids::Incarnation(0);
    let effects = entry.handle(at(4010), reply(to.port(), &older, outcome));
    assert!(stray(&effects) && answers(&effects).is_empty());
}

#[test]
fn late_answer_dropped() {
    let mut entry = entry_knowing(&AGENTS);
    let effects = entry.handle(at(4000), asked(1, RequestSafety::NonIdempotent, 4500));
    let (to, request) = sent(&effects).remove(0);
    let effects = entry.handle(at(4500), EntryEvent::TimerFired);
    let reason = RefusalReason::DeadlinePassed;
    assert_eq!(
        answers(&effects),
        vec![(CallerTicket(1), CallerAnswer::Unknown { reason })]
    );
    let outcome = RequestOutcome::Answered(answer("late"));
    let effects = entry.handle(at(4600), reply(to.port(), &request.id, outcome));
    assert!(stray(&effects) && answers(&effects).is_empty());
}

#[test]
fn second_worker_after_refusal() {
    let mut entry = entry_knowing(&AGENTS);
    let effects = entry.handle(at(4000), asked(1, RequestSafety::NonIdempotent, 6000));
    let (first, request) = sent(&effects).remove(0);
    let refusal = not_run(RefusalReason::QueueFull);
    let effects = entry.handle(at(4010), reply(first.port(), &request.id, refusal));
    let (second, again) = sent(&effects).remove(0);
    assert_ne!(first, second);
    assert_ne!(request.id, again.id);
}

#[rstest]
#[case(RequestSafety::NonIdempotent, 0)]
#[case(RequestSafety::Idempotent, 1)]
fn broken_link(#[case] safety: RequestSafety, #[case] copies: usize) {
    let mut entry = entry_knowing(&AGENTS);
    let effects = entry.handle(at(4000), asked(1, safety, 6000));
    let (to, _) = sent(&effects).remove(0);
    let effects = entry.handle(at(4010), EntryEvent::LinkBroken { to });
    assert_eq!(sent(&effects).len(), copies);
    let reason = RefusalReason::LinkBroken;
    let given_up = answers(&effects) == vec![(CallerTicket(1), CallerAnswer::Unknown { reason })];
    assert_eq!(given_up, copies == 0);
}

#[test]
fn unsent_goes_elsewhere() {
    let mut entry = entry_knowing(&AGENTS);
    let effects = entry.handle(at(4000), asked(1, RequestSafety::NonIdempotent, 6000));
    let (to, request) = sent(&effects).remove(0);
    let unsent = vec![request.id];
    let effects = entry.handle(at(4010), EntryEvent::LinkRefused { to, unsent });
    assert_eq!(sent(&effects).len(), 1);
    assert_ne!(sent(&effects)[0].0, to);
}

#[test]
fn stop_ends_at_zero() {
    let mut entry = entry_knowing(&AGENTS);
    let effects = entry.handle(at(4000), asked(1, RequestSafety::NonIdempotent, 6000));
    let (to, request) = sent(&effects).remove(0);
    let effects = entry.handle(at(4001), EntryEvent::StopRequested);
    assert!(!effects.contains(&EntryEffect::Exit));
    let effects = entry.handle(at(4002), asked(2, RequestSafety::NonIdempotent, 6000));
    let refused = answers(&effects).remove(0).1;
    assert!(matches!(
        refused,
        CallerAnswer::NotRun {
            reason: RefusalReason::Leaving,
            ..
        }
    ));
    let outcome = RequestOutcome::Answered(answer("done"));
    let effects = entry.handle(at(4003), reply(to.port(), &request.id, outcome));
    assert_eq!(answers(&effects).len(), 1);
    assert!(effects.contains(&EntryEffect::Exit));
}

#[test]
fn announcements_within_rate() {
    let mut entry = entry_knowing(&[]);
    let mut asked_for = Duration::ZERO;
    for number in 0..100_u16 {
        let agent = announce(&format!("w{number}"), 1000 + number, 1);
        let effects = entry.handle(at(0), announced(agent));
        asked_for = effects
            .iter()
            .find_map(|effect| match effect {
                EntryEffect::SendDatagram {
                    message: ControlMessage::AnnounceReply(reply),
                    ..
                } => Some(reply.next_after),
                _ => None,
            })
            .unwrap();
    }
    // 100 agents of at least 300 bytes each at 6000 bytes a second.
    assert!(asked_for >= Duration::from_secs(5), "{asked_for:?}");
}

#[test]
fn older_life_stays_out() {
    let mut entry = entry_knowing(&[("a", 210)]);
    let mut newer = announce("a", 215, 1);
    newer.incarnation = hornbeamlead_core::ids::Incarnation(2);
    entry.handle(at(4100), announced(newer));
    entry.handle(at(4200), announced(announce("a", 210, 99)));
    let effects = entry.handle(at(4300), asked(1, RequestSafety::NonIdempotent, 6000));
    assert_eq!(sent(&effects)[0].0, address(215));
}

#[test]
fn drop_remembers_life() {
    let mut entry = entry_knowing(&[("a", 210)]);
    entry.handle(at(20_000), EntryEvent::TimerFired);
    assert!(entry.status(at(20_000)).members.is_empty());
    entry.handle(at(20_001), announced(announce("a", 210, 9)));
    assert!(entry.status(at(20_001)).members.is_empty());
    entry.handle(at(20_002), announced(announce("a", 210, 10)));
    assert_eq!(entry.status(at(20_002)).members.len(), 1);
}

#[test]
fn refused_callers_spread() {
    let mut entry = entry_knowing(&AGENTS);
    entry.handle(at(4000), EntryEvent::StopRequested);
    let mut spans = std::collections::BTreeSet::new();
    for ticket in 0..50 {
        let effects = entry.handle(at(4001), asked(ticket, RequestSafety::Idempotent, 6000));
        let CallerAnswer::NotRun { retry_after, .. } = answers(&effects).remove(0).1 else {
            panic!("a stopping entry refuses");
        };
        assert!(retry_after >= Duration::from_secs(1));
        spans.insert(retry_after.as_millis() / 100);
    }
    assert!(spans.len() > 10, "{spans:?}");
}

#[test]
fn earlier_copy_may_have_run() {
    let mut entry = entry_knowing(&AGENTS);
    let effects = entry.handle(at(4000), asked(1, RequestSafety::Idempotent, 6000));
    let (to, _) = sent(&effects).remove(0);
    let mut effects = entry.handle(at(4010), EntryEvent::LinkBroken { to });
    while let Some((to, request)) = sent(&effects).pop() {
        let refusal = not_run(RefusalReason::QueueFull);
        effects = entry.handle(at(4020), reply(to.port(), &request.id, refusal));
    }
    let reason = RefusalReason::QueueFull;
    assert_eq!(
        answers(&effects),
        vec![(CallerTicket(1), CallerAnswer::Unknown { reason })]
    );
}
