//! Reads of the planner's address by a process that has just ceased to be the planner.

use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_jobs::effect::Effect;
use hornbeamlead_jobs::locator::{LocatorPolicy, PlannerLocator};
use hornbeamlead_jobs::store::{StoreCall, StoreOperation, StoreOutcome, StreamName};
use std::net::SocketAddr;

/// Step of the clock, in milliseconds.
const STEP_MS: u64 = 5;

/// Time in which a read that failed is repeated, in milliseconds.
const REPEAT_MS: u64 = 500;

/// Locator with a clock that the test controls. The test decides when its calls are answered.
struct TestLocator {
    locator: PlannerLocator,
    now_ms: u64,
}

impl TestLocator {
    fn new() -> Self {
        let policy = LocatorPolicy {
            host: "h0".into(),
            incarnation: 1,
            address: SocketAddr::from(([10, 0, 0, 1], 7000)),
            seed: 1,
        };
        let locator = PlannerLocator::new(policy);
        let now_ms = 10_000;
        Self { locator, now_ms }
    }

    fn now(&self) -> MonoTime {
        MonoTime(self.now_ms * 1000)
    }

    fn deliver(&mut self, call: &StoreCall, outcome: StoreOutcome) {
        self.locator.stored(self.now(), call.caller, outcome);
    }

    /// Advances the clock and returns the reads of the address that the locator makes.
    fn run(&mut self, span_ms: u64) -> Vec<StoreCall> {
        let mut reads = Vec::new();
        for _ in 0..span_ms / STEP_MS {
            self.now_ms += STEP_MS;
            self.locator.tick(self.now());
            for effect in self.locator.drain().0 {
                if let Effect::Store(call) = effect {
                    reads.extend(reads_address(&call).then_some(call));
                }
            }
        }
        reads
    }

    fn await_read(&mut self) -> StoreCall {
        self.run(STEP_MS).pop().expect("the locator reads")
    }

    /// Follows the address, and returns the read in flight.
    fn follow(&mut self) -> StoreCall {
        let page = self.await_read();
        self.deliver(&page, empty_page());
        self.await_read()
    }
}

fn reads_address(call: &StoreCall) -> bool {
    match &call.operation {
        StoreOperation::Read { stream, .. } | StoreOperation::Newest { stream, .. } => {
            *stream == StreamName::Planner
        }
        StoreOperation::Append { .. } => false,
    }
}

fn empty_page() -> StoreOutcome {
    StoreOutcome::Page {
        records: Vec::new(),
        more: false,
        end: 0,
    }
}

/// Guards against reads that add up because the answer to a read from before ends a later one.
#[test]
fn one_read_in_flight() {
    let mut locator = TestLocator::new();
    let old = locator.follow();
    locator.locator.step_down(locator.now());
    locator.await_read();
    let cause = "unavailable".into();
    locator.deliver(&old, StoreOutcome::Unanswered { cause });
    assert_eq!(locator.run(REPEAT_MS), []);
}

/// Guards against a process that does not follow the address until a read from before has ended.
#[test]
fn followed_at_once() {
    let mut locator = TestLocator::new();
    locator.follow();
    locator.locator.step_down(locator.now());
    locator.follow();
}
