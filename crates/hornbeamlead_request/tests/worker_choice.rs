//! Choice of a worker: load, data centre, slow start, ejection, budget and second copies.

mod common;

use common::{
    address, announce, announced, answer, answers, asked, at, centre, entry_knowing, load, reply,
    sent,
};
use hornbeamlead_core::clock::ClockReading;
use hornbeamlead_core::counter::{RefusalReason, RetryReason};
use hornbeamlead_core::effect::EntryEffect;
use hornbeamlead_core::event::EntryEvent;
use hornbeamlead_core::message::request::{
    EndpointAnswer, LoadSample, RequestOutcome, RequestReply, RequestSafety,
};
use hornbeamlead_core::status::MemberState;
use hornbeamlead_request::entry::EntryMachine;
use proptest::prelude::{ProptestConfig, any, prop_assert, proptest};
use std::collections::BTreeMap;
use std::time::Duration;

const AGENTS: [(&str, u16); 4] = [("a", 210), ("b", 220), ("c", 230), ("d", 240)];

/// Sends requests one after the other, each answered at once, and counts who got them.
fn spread(entry: &mut EntryMachine, count: u64, now: ClockReading) -> BTreeMap<u16, u64> {
    let mut counts = BTreeMap::new();
    for ticket in 0..count {
        let event = asked(ticket, RequestSafety::NonIdempotent, 60_000);
        let effects = entry.handle(now, event);
        let (to, request) = sent(&effects).remove(0);
        *counts.entry(to.port()).or_default() += 1;
        let outcome = RequestOutcome::Answered(answer("done"));
        entry.handle(now, reply(to.port(), &request.id, outcome));
    }
    counts
}

fn tell_load(entry: &mut EntryMachine, name: &str, port: u16, sample: LoadSample, millis: u64) {
    let mut agent = announce(name, port, 0);
    agent.load = sample;
    agent.sequence = millis;
    entry.handle(at(millis), announced(agent));
}

fn failing() -> RequestOutcome {
    RequestOutcome::Answered(EndpointAnswer {
        status: 500,
        ..answer("failed")
    })
}

/// Answers what is sent to one worker with failures until it is ejected.
fn fail_worker(entry: &mut EntryMachine, bad: u16, now: ClockReading) {
    for ticket in 1000..1200 {
        let effects = entry.handle(now, asked(ticket, RequestSafety::NonIdempotent, 60_000));
        let (to, request) = sent(&effects).remove(0);
        let outcome = match to.port() == bad {
            true => failing(),
            false => RequestOutcome::Answered(answer("done")),
        };
        entry.handle(now, reply(to.port(), &request.id, outcome));
    }
}

fn state_of(entry: &EntryMachine, name: &str, now: ClockReading) -> Option<MemberState> {
    let members = entry.status(now).members;
    let member = members.iter().find(|member| member.host.as_str() == name);
    member.map(|member| member.state)
}

#[test]
fn idle_worker_first() {
    let mut entry = entry_knowing(&AGENTS[..2]);
    tell_load(&mut entry, "a", 210, load(8), 4000);
    let event = asked(1, RequestSafety::NonIdempotent, 6000);
    assert_eq!(sent(&entry.handle(at(4001), event))[0].0, address(220));
}

#[test]
fn slow_worker_last() {
    let mut entry = entry_knowing(&AGENTS[..2]);
    let slow = LoadSample {
        service_time_us: 100_000,
        ..load(0)
    };
    tell_load(&mut entry, "a", 210, slow, 4000);
    for ticket in 0..8 {
        let event = asked(ticket, RequestSafety::NonIdempotent, 60_000);
        assert_eq!(sent(&entry.handle(at(4001), event))[0].0, address(220));
    }
}

#[test]
fn own_requests_count() {
    let mut entry = entry_knowing(&AGENTS[..2]);
    let mut counts: BTreeMap<u16, u32> = BTreeMap::new();
    for ticket in 0..16 {
        let event = asked(ticket, RequestSafety::NonIdempotent, 60_000);
        let to = sent(&entry.handle(at(4001), event))[0].0;
        *counts.entry(to.port()).or_default() += 1;
    }
    assert_eq!(counts, BTreeMap::from([(210, 8), (220, 8)]));
}

#[test]
fn own_centre_first() {
    let mut entry = entry_knowing(&AGENTS[..2]);
    for round in 0..=8 {
        let mut away = announce("c", 230, round + 1);
        away.data_centre = centre("colombo");
        entry.handle(at(4000 + 500 * round), announced(away));
        for (name, port) in &AGENTS[..2] {
            tell_load(&mut entry, name, *port, load(0), 4000 + 500 * round);
        }
    }
    for (name, port) in &AGENTS[..2] {
        tell_load(&mut entry, name, *port, load(2), 8001);
    }
    let event = asked(98, RequestSafety::NonIdempotent, 60_000);
    assert_ne!(sent(&entry.handle(at(8001), event))[0].0, address(230));
    for (name, port) in &AGENTS[..2] {
        tell_load(&mut entry, name, *port, load(8), 8002);
    }
    let event = asked(99, RequestSafety::NonIdempotent, 60_000);
    assert_eq!(sent(&entry.handle(at(8002), event))[0].0, address(230));
}

#[test]
fn newcomer_starts_slowly() {
    let mut entry = entry_knowing(&AGENTS[..3]);
    entry.handle(at(4000), announced(announce("d", 240, 1)));
    for ticket in 0..9 {
        let event = asked(ticket, RequestSafety::NonIdempotent, 60_000);
        let effects = entry.handle(at(4001), event);
        assert_ne!(sent(&effects)[0].0, address(240));
    }
    for millis in (4000..=8000).step_by(500) {
        for (name, port) in AGENTS {
            tell_load(&mut entry, name, port, load(0), millis + 1);
        }
    }
    let counts = spread(&mut entry, 100, at(8100));
    assert!(counts.contains_key(&240), "{counts:?}");
}

#[test]
fn failing_worker_ejected() {
    let mut entry = entry_knowing(&AGENTS);
    fail_worker(&mut entry, 210, at(4100));
    assert_eq!(state_of(&entry, "a", at(4100)), Some(MemberState::Ejected));
    let counts = spread(&mut entry, 100, at(4200));
    assert!(!counts.contains_key(&210), "{counts:?}");
}

#[test]
fn probe_brings_back() {
    let mut entry = entry_knowing(&AGENTS);
    fail_worker(&mut entry, 210, at(4100));
    let event = asked(1, RequestSafety::NonIdempotent, 60_000);
    let effects = entry.handle(at(5200), event);
    let (to, request) = sent(&effects).remove(0);
    assert_eq!(to, address(210));
    let event = asked(2, RequestSafety::NonIdempotent, 60_000);
    assert_ne!(sent(&entry.handle(at(5200), event))[0].0, address(210));
    let outcome = RequestOutcome::Answered(answer("done"));
    entry.handle(at(5210), reply(210, &request.id, outcome));
    assert_eq!(state_of(&entry, "a", at(5210)), Some(MemberState::Serving));
}

#[test]
fn ejected_share_capped() {
    let mut entry = entry_knowing(&AGENTS);
    for ticket in 0..400 {
        let event = asked(ticket, RequestSafety::NonIdempotent, 60_000);
        let effects = entry.handle(at(4100), event);
        let (to, request) = sent(&effects).remove(0);
        entry.handle(at(4100), reply(to.port(), &request.id, failing()));
    }
    let members = entry.status(at(4100)).members;
    let ejected = members
        .iter()
        .filter(|member| member.state == MemberState::Ejected);
    assert_eq!(ejected.count(), 1);
}

#[test]
fn leaving_rides_back() {
    let mut entry = entry_knowing(&AGENTS[..2]);
    let event = asked(1, RequestSafety::NonIdempotent, 60_000);
    let effects = entry.handle(at(4001), event);
    let (to, request) = sent(&effects).remove(0);
    let leaving = RequestReply {
        id: request.id,
        outcome: RequestOutcome::Answered(answer("done")),
        load: LoadSample {
            leaving: true,
            ..load(0)
        },
    };
    let event = EntryEvent::Replied {
        from: to,
        reply: leaving,
    };
    entry.handle(at(4002), event);
    let counts = spread(&mut entry, 40, at(4003));
    assert!(!counts.contains_key(&to.port()), "{counts:?}");
}

#[test]
fn silent_worker_avoided() {
    let mut entry = entry_knowing(&AGENTS[..2]);
    entry.handle(at(5000), announced(announce("b", 220, 10)));
    entry.handle(at(5600), EntryEvent::TimerFired);
    assert_eq!(state_of(&entry, "a", at(5600)), Some(MemberState::Suspect));
    let counts = spread(&mut entry, 40, at(5600));
    assert_eq!(counts.keys().copied().collect::<Vec<_>>(), vec![220]);
}

#[test]
fn slow_answer_hedged_once() {
    let mut entry = entry_knowing(&AGENTS);
    spread(&mut entry, 200, at(4100));
    let event = asked(900, RequestSafety::Idempotent, 60_000);
    let first = sent(&entry.handle(at(4200), event)).remove(0);
    let effects = entry.handle(at(4300), EntryEvent::TimerFired);
    let second = sent(&effects).remove(0);
    assert!(effects.contains(&EntryEffect::CountRetry(RetryReason::Hedge)));
    assert_ne!(first.0, second.0);
    assert!(sent(&entry.handle(at(5300), EntryEvent::TimerFired)).is_empty());
    let outcome = RequestOutcome::Answered(answer("done"));
    let effects = entry.handle(
        at(5301),
        reply(second.0.port(), &second.1.id, outcome.clone()),
    );
    assert_eq!(answers(&effects).len(), 1);
    let effects = entry.handle(at(5302), reply(first.0.port(), &first.1.id, outcome));
    assert!(answers(&effects).is_empty());
}

#[test]
fn order_never_hedged() {
    let mut entry = entry_knowing(&AGENTS);
    spread(&mut entry, 200, at(4100));
    entry.handle(at(4200), asked(900, RequestSafety::NonIdempotent, 60_000));
    for millis in [4300, 5300, 9300] {
        assert!(sent(&entry.handle(at(millis), EntryEvent::TimerFired)).is_empty());
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn retries_within_budget(seed in any::<u64>(), refused in 1..=100_u64) {
        let mut entry = entry_knowing(&AGENTS);
        let mut tries = 0_u64;
        let mut roll = seed;
        for ticket in 0..500 {
            let event = asked(ticket, RequestSafety::NonIdempotent, 60_000);
            let mut effects = entry.handle(at(4100), event);
            while let Some((to, request)) = sent(&effects).pop() {
                tries += 1;
                roll = roll.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                let outcome = match (roll >> 33) % 100 < refused {
                    true => RequestOutcome::NotRun {
                        reason: RefusalReason::QueueFull,
                        retry_after: Duration::ZERO,
                    },
                    false => RequestOutcome::Answered(answer("done")),
                };
                effects = entry.handle(at(4100), reply(to.port(), &request.id, outcome));
            }
        }
        // A tenth of 500, and what a budget may start with.
        prop_assert!(tries <= 500 + 50 + 10, "{} tries", tries);
    }
}
