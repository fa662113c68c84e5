//! Routes to the store while it refuses one host or is unavailable to all.

use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_jobs::record::{decode, encode};
use hornbeamlead_jobs::relay::{RelayRoute, RelayedCall, StoreRoute};
use hornbeamlead_jobs::store::{
    AppendCondition, NewRecord, StoreCall, StoreCaller, StoreOperation, StoreOutcome, StreamName,
};
use std::net::SocketAddr;
use std::time::Duration;

fn at(ms: u64) -> MonoTime {
    MonoTime(1_000_000 + ms * 1000)
}

fn relay(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7440))
}

fn append() -> StoreOperation {
    StoreOperation::Append {
        stream: StreamName::Jobs,
        records: vec![NewRecord {
            key: Some("job/1".into()),
            value: Some("body".into()),
        }],
        condition: AppendCondition::Always,
    }
}

fn read(wait_until: MonoTime) -> StoreOperation {
    StoreOperation::Read {
        stream: StreamName::Plan,
        from: 7,
        wait_until,
        end_only: false,
    }
}

fn refused() -> StoreOutcome {
    StoreOutcome::Refused {
        cause: "status 503".into(),
    }
}

const APPENDED: StoreOutcome = StoreOutcome::Appended { offset: 3 };

fn refused_route(relays: u8) -> RelayRoute {
    let mut route = RelayRoute::default();
    for number in 1..=relays {
        route.add_relay(relay(number));
    }
    assert_eq!(route.choose(at(0), &append()), StoreRoute::Direct);
    assert_eq!(
        route.record_outcome(at(0), StoreRoute::Direct, &refused()),
        Some(true)
    );
    route
}

#[test]
fn relay_serves_refused() {
    let mut route = refused_route(2);
    let chosen = StoreRoute::Relay(relay(1));
    for ms in [10, 600, 1200] {
        assert_eq!(route.choose(at(ms), &append()), chosen);
        assert_eq!(route.record_outcome(at(ms), chosen, &APPENDED), None);
    }
}

/// Reads probe whether the store serves the host again; appends are never used as probes.
#[test]
fn direct_after_probe() {
    let mut route = refused_route(1);
    let chosen = StoreRoute::Relay(relay(1));
    assert_eq!(route.choose(at(400), &read(at(800))), chosen);
    assert_eq!(route.choose(at(600), &append()), chosen);
    assert_eq!(route.choose(at(600), &read(at(1000))), StoreRoute::Direct);
    assert_eq!(route.choose(at(601), &read(at(1000))), chosen);
    let outcome = StoreOutcome::Records {
        end: 7,
        records: Vec::new(),
    };
    assert_eq!(
        route.record_outcome(at(700), StoreRoute::Direct, &outcome),
        Some(false)
    );
    assert_eq!(route.choose(at(701), &append()), StoreRoute::Direct);
}

/// While the store is unavailable to all hosts, calls go to it directly and are refused at once.
/// While the store is silent for this host, each probe blocks a reader until its deadline. Over 7 s,
/// few reads are sent as probes, and never a second one before the first has ended.
#[test]
fn silent_store_seldom_probed() {
    let mut route = refused_route(2);
    let mut probes = Vec::new();
    let mut ends_at = None;
    for ms in (0..7000).step_by(20) {
        if ends_at.is_some_and(|end| ms >= end) {
            let cause = "NoAnswer".into();
            route.record_outcome(
                at(ms),
                StoreRoute::Direct,
                &StoreOutcome::Unanswered { cause },
            );
            ends_at = None;
        }
        if route.choose(at(ms), &read(at(ms + 400))) == StoreRoute::Direct {
            assert_eq!(ends_at, None, "second probe at {ms}");
            probes.push(ms);
            ends_at = Some(ms + 1400);
        }
    }
    assert!((1..=3).contains(&probes.len()), "{probes:?}");
}

#[test]
fn store_down() {
    let mut route = refused_route(3);
    for ms in [10, 20] {
        let chosen = route.choose(at(ms), &append());
        assert!(matches!(chosen, StoreRoute::Relay(_)), "{chosen:?}");
        route.record_outcome(at(ms), chosen, &refused());
    }
    assert_eq!(route.choose(at(30), &append()), StoreRoute::Direct);
    assert_eq!(route.relay(at(30)), None);
    assert!(route.relay(at(1000)).is_some());
}

#[test]
fn failed_relay_skipped() {
    let mut route = refused_route(2);
    let unanswered = StoreOutcome::Unanswered {
        cause: "frozen".into(),
    };
    route.record_outcome(at(10), StoreRoute::Relay(relay(1)), &unanswered);
    assert_eq!(route.choose(at(20), &append()), StoreRoute::Relay(relay(2)));
}

#[test]
fn no_relay() {
    let mut route = refused_route(0);
    assert_eq!(route.choose(at(10), &append()), StoreRoute::Direct);
}

/// A relayed call keeps its timeouts, although the clocks of two hosts are unrelated.
#[test]
fn relayed_timeouts() {
    let call = StoreCall {
        caller: StoreCaller::Plan,
        operation: read(at(400)),
        deadline: at(900),
    };
    let bytes = encode(&RelayedCall::new(at(100), &call));
    let relayed = decode::<RelayedCall>(&bytes).expect("readable");
    let relay_now = MonoTime(5_000_000);
    let converted = relayed.into_call(relay_now);
    assert_eq!(
        converted.deadline,
        relay_now.plus(Duration::from_millis(800))
    );
    assert_eq!(
        converted.operation,
        read(relay_now.plus(Duration::from_millis(300)))
    );
}
