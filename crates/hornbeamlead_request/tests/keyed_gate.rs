//! Keys at one agent: arbitration, queries of other hosts, stored answers and fences.

mod common;

use common::{
    GateBench, answer, at, endpoint_calls, fleet, host, replies, request, request_id, view,
};
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_core::counter::RefusalReason;
use hornbeamlead_core::effect::AgentEffect;
use hornbeamlead_core::event::{AgentEvent, EndpointOutcome};
use hornbeamlead_core::ids::{IdempotencyKey, Incarnation, LinkId, RequestId};
use hornbeamlead_core::message::control::CellView;
use hornbeamlead_core::message::request::{
    ForwardedRequest, KeyAnswer, KeyGrant, KeyQuery, KeyState, LinkMessage, RequestOutcome,
    RequestReply, RequestSafety,
};
use hornbeamlead_core::status::HostMembership;
use rstest::rstest;
use std::time::Duration;

const FIRST: u64 = CellView::FIRST_NUMBER;

/// Gate of "agent-1" with a lease and a view of these members.
fn arbiter(number: u64, members: &[(&str, u16)]) -> GateBench {
    let mut bench = GateBench::serving(8);
    bench.fleet = fleet(&["negombo"], &[]);
    bench.membership = HostMembership {
        lease_until: Some(MonoTime(u64::MAX)),
        view: Some(view(number, members)),
    };
    bench
}

fn keyed(counter: u64, key: &str, grant: Option<u64>) -> AgentEvent {
    AgentEvent::Requested {
        link: LinkId(1),
        request: ForwardedRequest {
            id: request_id(counter),
            request: request(RequestSafety::NonIdempotent, Some(key)),
            deadline: at(5_000).mono,
            granted: grant.map(|view| KeyGrant {
                arbiter: host("agent-2"),
                view,
            }),
        },
    }
}

fn query(key: &str, view: u64) -> AgentEvent {
    AgentEvent::KeyQueried {
        link: LinkId(2),
        query: KeyQuery {
            query: 7,
            arbiter: host("agent-2"),
            incarnation: Incarnation(1),
            service: common::service(common::SERVICE),
            key: IdempotencyKey::new(key).unwrap(),
            view,
        },
    }
}

fn key_state(effects: &[AgentEffect]) -> Option<KeyState> {
    effects.iter().find_map(|effect| match effect {
        AgentEffect::ReplyLink {
            message: LinkMessage::KeyAnswer(answer),
            ..
        } => Some(answer.key_state.clone()),
        _ => None,
    })
}

fn granted(effects: &[AgentEffect]) -> Vec<RequestId> {
    let id = |effect: &AgentEffect| match effect {
        AgentEffect::SendLink {
            message: LinkMessage::Request(request),
            ..
        } => Some(request.id.clone()),
        _ => None,
    };
    effects.iter().filter_map(id).collect()
}

fn queries(effects: &[AgentEffect]) -> Vec<u64> {
    let number = |effect: &AgentEffect| match effect {
        AgentEffect::SendLink {
            message: LinkMessage::KeyQuery(query),
            ..
        } => Some(query.query),
        _ => None,
    };
    effects.iter().filter_map(number).collect()
}

fn reason(effects: &[AgentEffect]) -> Option<RefusalReason> {
    match replies(effects).first()?.outcome {
        RequestOutcome::NotRun { reason, .. } | RequestOutcome::Unknown { reason } => Some(reason),
        RequestOutcome::Answered(_) => None,
    }
}

fn from_runner(id: &RequestId, outcome: RequestOutcome) -> AgentEvent {
    AgentEvent::Replied {
        from: common::address(300),
        reply: RequestReply {
            id: id.clone(),
            outcome,
            load: common::load(0),
        },
    }
}

/// Key that "agent-1" arbitrates in a view of two members.
fn own_key() -> String {
    let members = [("agent-1", 200), ("agent-2", 300)];
    let owns = |key: &String| {
        let mut bench = arbiter(FIRST, &members);
        granted(&bench.handle(at(1), &keyed(1, key, None))).len() == 1
    };
    (0..100).map(|n| format!("key-{n}")).find(owns).unwrap()
}

fn two_members(number: u64) -> GateBench {
    arbiter(number, &[("agent-1", 200), ("agent-2", 300)])
}

#[test]
fn no_view_no_arbiter() {
    let mut bench = GateBench::serving(8);
    bench.fleet = fleet(&["negombo"], &[]);
    let effects = bench.handle(at(1), &keyed(1, "k", None));
    assert_eq!(reason(&effects), Some(RefusalReason::NoArbiter));
}

#[test]
fn lapsed_lease_refuses() {
    let mut bench = two_members(FIRST);
    bench.membership.lease_until = Some(at(1).mono);
    let effects = bench.handle(at(1), &keyed(1, &own_key(), None));
    assert_eq!(reason(&effects), Some(RefusalReason::NoArbiter));
}

#[test]
fn copies_share_answer() {
    let mut bench = two_members(FIRST);
    let key = own_key();
    let grants = granted(&bench.handle(at(1), &keyed(1, &key, None)));
    assert_eq!(grants.len(), 1);
    let effects = bench.handle(at(2), &keyed(2, &key, None));
    assert!(granted(&effects).is_empty() && replies(&effects).is_empty());
    let outcome = RequestOutcome::Answered(answer("done"));
    let effects = bench.handle(at(3), &from_runner(&grants[0], outcome.clone()));
    assert_eq!(replies(&effects).len(), 2);
    let effects = bench.handle(at(4), &keyed(3, &key, None));
    assert_eq!(replies(&effects)[0].outcome, outcome);
    assert!(granted(&effects).is_empty());
}

#[test]
fn broken_link_unknown() {
    let mut bench = two_members(FIRST);
    let key = own_key();
    bench.handle(at(1), &keyed(1, &key, None));
    let to = common::address(300);
    let effects = bench.handle(at(2), &AgentEvent::LinkBroken { to });
    let absent = key_answer(queries(&effects)[0], KeyState::Absent);
    let effects = bench.handle(at(3), &absent);
    assert_eq!(reason(&effects), Some(RefusalReason::LinkBroken));
    let effects = bench.handle(at(4), &keyed(2, &key, None));
    assert!(granted(&effects).is_empty());
}

fn key_answer(query: u64, key_state: KeyState) -> AgentEvent {
    AgentEvent::KeyAnswered {
        from: common::address(300),
        answer: KeyAnswer {
            query,
            host: host("agent-2"),
            incarnation: Incarnation(1),
            key_state,
            observed_for: Duration::MAX,
            past: Vec::new(),
            homes: Vec::new(),
        },
    }
}

#[rstest]
#[case(KeyState::Absent, 1, 0)]
#[case(KeyState::Answered(answer("done")), 0, 1)]
#[case(KeyState::Unknown, 0, 1)]
#[case(KeyState::Running, 0, 0)]
fn new_arbiter_queries_first(
    #[case] key_state: KeyState,
    #[case] grants: usize,
    #[case] answers: usize,
) {
    let mut bench = two_members(FIRST + 5);
    let effects = bench.handle(at(1), &keyed(1, &own_key(), None));
    assert!(granted(&effects).is_empty());
    let event = key_answer(queries(&effects)[0], key_state);
    let effects = bench.handle(at(2), &event);
    assert_eq!(granted(&effects).len(), grants);
    assert_eq!(replies(&effects).len(), answers);
}

#[test]
fn both_lost_unknown() {
    let mut bench = arbiter(
        FIRST,
        &[("agent-1", 200), ("agent-2", 300), ("agent-3", 400)],
    );
    let key = foreign_key();
    bench.handle(at(1), &AgentEvent::TimerFired);
    bench.membership.view = Some(view(FIRST + 1, &[("agent-1", 200)]));
    let effects = bench.handle(at(2), &keyed(1, &key, None));
    assert_eq!(reason(&effects), Some(RefusalReason::KeyHistoryLost));
}

/// Key that "agent-1" does not arbitrate in a view of three members.
fn foreign_key() -> String {
    let members = [("agent-1", 200), ("agent-2", 300), ("agent-3", 400)];
    let foreign = |key: &String| {
        let mut bench = arbiter(FIRST, &members);
        let effects = bench.handle(at(1), &keyed(1, key, None));
        reason(&effects) == Some(RefusalReason::NoArbiter)
    };
    (0..100).map(|n| format!("key-{n}")).find(foreign).unwrap()
}

#[test]
fn moved_home_unknown() {
    let mut bench = two_members(FIRST);
    bench.fleet = fleet(&["negombo", "colombo"], &[]);
    let foreign = |key: &String| {
        let mut other = two_members(FIRST);
        other.fleet = fleet(&["negombo", "colombo"], &[]);
        let effects = other.handle(at(1), &keyed(1, key, None));
        reason(&effects) == Some(RefusalReason::NoArbiter)
    };
    let here = |key: &String| {
        let mut other = two_members(FIRST);
        granted(&other.handle(at(1), &keyed(1, key, None))).len() == 1
    };
    let mut keys = (0..500).map(|n| format!("key-{n}"));
    let key = keys.find(|key| foreign(key) && here(key)).unwrap();
    bench.handle(at(1), &AgentEvent::TimerFired);
    let drain = common::note(&["colombo"], &["colombo"]);
    let mut change = drain.clone();
    change.added = Default::default();
    change.changed.data_centres = drain.added.data_centres;
    change.id = hornbeamlead_core::ids::NoteId::new("drain").unwrap();
    bench
        .fleet
        .apply(hornbeamlead_core::ids::LogOffset(1), &change)
        .unwrap();
    let effects = bench.handle(at(2), &keyed(2, &key, None));
    assert_eq!(reason(&effects), Some(RefusalReason::KeyHistoryLost));
}

#[test]
fn runner_keeps_answer() {
    let mut bench = two_members(FIRST);
    let effects = bench.handle(at(1), &keyed(1, "k", Some(FIRST)));
    assert_eq!(endpoint_calls(&effects).len(), 1);
    assert_eq!(
        key_state(&bench.handle(at(2), &query("k", FIRST))),
        Some(KeyState::Running)
    );
    let done = AgentEvent::EndpointDone {
        id: request_id(1),
        outcome: EndpointOutcome::Answered(answer("done")),
    };
    bench.handle(at(3), &done);
    assert_eq!(
        key_state(&bench.handle(at(4), &query("k", FIRST))),
        Some(KeyState::Answered(answer("done")))
    );
    let effects = bench.handle(at(5), &keyed(2, "k", Some(FIRST)));
    assert!(endpoint_calls(&effects).is_empty());
}

#[test]
fn older_view_fenced() {
    let mut bench = two_members(FIRST);
    let effects = bench.handle(at(1), &query("k", FIRST + 1));
    assert_eq!(key_state(&effects), Some(KeyState::Absent));
    let effects = bench.handle(at(2), &keyed(1, "k", Some(FIRST)));
    assert_eq!(reason(&effects), Some(RefusalReason::Fenced));
    let effects = bench.handle(at(3), &keyed(2, "k", Some(FIRST + 1)));
    assert_eq!(endpoint_calls(&effects).len(), 1);
}

#[test]
fn older_grant_refused() {
    let mut bench = two_members(FIRST + 1);
    let effects = bench.handle(at(1), &keyed(1, "k", Some(FIRST)));
    assert_eq!(reason(&effects), Some(RefusalReason::NoArbiter));
}

#[test]
fn full_table_refuses() {
    let mut policy = common::agent_policy(&[100]);
    policy.gate.max_keys = 1;
    let mut bench = GateBench::new(policy);
    bench.handle(
        at(0),
        &AgentEvent::EndpointAnnounced(common::endpoint(&[common::SERVICE], 8)),
    );
    bench.handle(at(1), &keyed(1, "one", Some(FIRST)));
    let effects = bench.handle(at(1), &keyed(2, "two", Some(FIRST)));
    assert_eq!(reason(&effects), Some(RefusalReason::KeysFull));
}

#[test]
fn key_expires() {
    let mut bench = two_members(FIRST);
    bench.handle(at(1), &keyed(1, "k", Some(FIRST)));
    let done = AgentEvent::EndpointDone {
        id: request_id(1),
        outcome: EndpointOutcome::Answered(answer("done")),
    };
    bench.handle(at(2), &done);
    assert_eq!(bench.gate.status().keys, 1);
    bench.handle(at(599_000), &AgentEvent::TimerFired);
    assert_eq!(bench.gate.status().keys, 1);
    bench.handle(at(600_001), &AgentEvent::TimerFired);
    assert_eq!(bench.gate.status().keys, 0);
}

#[test]
fn fenced_arbiter_refuses() {
    let mut bench = two_members(FIRST);
    let key = own_key();
    bench.handle(at(1), &query(&key, FIRST + 1));
    let effects = bench.handle(at(2), &keyed(1, &key, None));
    assert_eq!(reason(&effects), Some(RefusalReason::NoArbiter));
}

#[rstest]
#[case(vec![view(FIRST + 1, &[("agent-1", 200)])], true)]
#[case(Vec::new(), false)]
fn missed_view_reported(#[case] past: Vec<CellView>, #[case] runs: bool) {
    let mut bench = two_members(FIRST);
    bench.handle(at(1), &AgentEvent::TimerFired);
    bench.membership.view = Some(view(FIRST + 2, &[("agent-1", 200), ("agent-2", 300)]));
    let effects = bench.handle(at(2), &keyed(1, &own_key(), None));
    assert!(granted(&effects).is_empty());
    let mut answer_event = key_answer(queries(&effects)[0], KeyState::Absent);
    if let AgentEvent::KeyAnswered { answer, .. } = &mut answer_event {
        answer.past = past;
    }
    let effects = bench.handle(at(3), &answer_event);
    assert_eq!(granted(&effects).len(), usize::from(runs));
    let lost = reason(&effects) == Some(RefusalReason::KeyHistoryLost);
    assert_eq!(lost, !runs);
}

#[test]
fn new_term_queries() {
    let mut bench = two_members(FIRST);
    bench.handle(at(1), &AgentEvent::TimerFired);
    bench.membership.view = Some(view(2 * FIRST, &[("agent-1", 200), ("agent-2", 300)]));
    let effects = bench.handle(at(2), &keyed(1, &own_key(), None));
    assert!(granted(&effects).is_empty());
    let answer_event = key_answer(queries(&effects)[0], KeyState::Absent);
    assert_eq!(granted(&bench.handle(at(3), &answer_event)).len(), 1);
}

/// Logs did not tell why keys were unknown: whether an agent had seen the first view of its cell.
#[rstest]
#[case::first(FIRST, "view=1048576 previous=0 first=true")]
#[case::later(FIRST + 1, "view=1048577 previous=0 first=false")]
fn first_view_logged(#[case] number: u64, #[case] inputs: &str) {
    let mut bench = two_members(number);
    let effects = bench.handle(at(1), &keyed(1, "key", None));
    let logged = effects.iter().any(|effect| match effect {
        AgentEffect::Decide(record) => record.rule == "views_followed" && *record.inputs == *inputs,
        _ => false,
    });
    assert!(logged, "{effects:?}");
}
