//! Pattern: the store refuses one host for seconds, or is away for all, while callers keep asking.

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

fn lost_route(relays: u8) -> RelayRoute {
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
fn refused_host_served_by_relay() {
    let mut route = lost_route(2);
    let way = StoreRoute::Relay(relay(1));
    for ms in [10, 600, 1200] {
        assert_eq!(route.choose(at(ms), &append()), way);
        assert_eq!(route.record_outcome(at(ms), way, &APPENDED), None);
    }
}

/// Reads find out when the store serves the host again; appends are not risked for it.
#[test]
fn direct_again_after_probe() {
    let mut route = lost_route(1);
    let way = StoreRoute::Relay(relay(1));
    assert_eq!(route.choose(at(400), &read(at(800))), way);
    assert_eq!(route.choose(at(600), &append()), way);
    assert_eq!(route.choose(at(600), &read(at(1000))), StoreRoute::Direct);
    assert_eq!(route.choose(at(601), &read(at(1000))), way);
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

/// A store that is away for all costs no detours: callers are refused at once.
#[test]
fn away_for_all() {
    let mut route = lost_route(3);
    for ms in [10, 20] {
        let way = route.choose(at(ms), &append());
        assert!(matches!(way, StoreRoute::Relay(_)), "{way:?}");
        route.record_outcome(at(ms), way, &refused());
    }
    assert_eq!(route.choose(at(30), &append()), StoreRoute::Direct);
    assert_eq!(route.relay(at(30)), None);
    assert!(route.relay(at(1000)).is_some());
}

#[test]
fn failed_relay_left() {
    let mut route = lost_route(2);
    let unanswered = StoreOutcome::Unanswered {
        cause: "frozen".into(),
    };
    route.record_outcome(at(10), StoreRoute::Relay(relay(1)), &unanswered);
    assert_eq!(route.choose(at(20), &append()), StoreRoute::Relay(relay(2)));
}

#[test]
fn nobody_to_ask() {
    let mut route = lost_route(0);
    assert_eq!(route.choose(at(10), &append()), StoreRoute::Direct);
}

/// A relayed call keeps its spans, though the clocks of two hosts have nothing in common.
#[test]
fn call_on_other_clock() {
    let call = StoreCall {
        caller: StoreCaller::Plan,
        operation: read(at(400)),
        deadline: at(900),
    };
    let bytes = encode(&RelayedCall::new(at(100), &call));
    let relayed = decode::<RelayedCall>(&bytes).expect("readable");
    let there = MonoTime(5_000_000);
    let made = relayed.into_call(there);
    assert_eq!(made.deadline, there.plus(Duration::from_millis(800)));
    assert_eq!(made.operation, read(there.plus(Duration::from_millis(300))));
}
