//! Outcomes of store calls that arrive after the state machine that made the call was replaced.

mod world;

use hornbeamlead_core::clock::{ClockReading, MonoTime, WallTime};
use hornbeamlead_core::policy::ServiceOrder;
use hornbeamlead_emulator::store::EmulatedStore;
use hornbeamlead_jobs::effect::Effect;
use hornbeamlead_jobs::ids::PlannerEpoch;
use hornbeamlead_jobs::locator::PlannerElection;
use hornbeamlead_jobs::planner::{PlacementPolicy, PlannerEvent, PlannerMachine, PlannerPolicy};
use hornbeamlead_jobs::record::{PlanRecord, PlannerClaim, encode};
use hornbeamlead_jobs::store::{
    AppendCondition, NewRecord, StoreCall, StoreOperation, StoreOutcome, StreamName,
};
use std::net::SocketAddr;
use std::slice::from_ref;
use std::time::Duration;
use world::WorldFormat;

/// Time in which a planner makes any of its calls, in milliseconds. Longer than the interval of its
/// heartbeats and the backoff of its calls.
const CALL_MS: u64 = 1000;

/// Step of the clock, in milliseconds.
const STEP_MS: u64 = 5;

/// Process that is elected planner repeatedly. The test decides when its calls are answered.
struct TestProcess {
    store: EmulatedStore,
    now_ms: u64,
    epoch: u64,
    planner: PlannerMachine<WorldFormat>,
    /// Calls that are not answered yet.
    calls: Vec<StoreCall>,
}

impl TestProcess {
    fn new() -> Self {
        let (mut store, now_ms, epoch) = (EmulatedStore::default(), 10_000, 1);
        let planner = elect(&mut store, now_ms, epoch);
        Self {
            store,
            now_ms,
            epoch,
            planner,
            calls: Vec::new(),
        }
    }

    /// Replaces the planner by one of the next epoch.
    fn elect_again(&mut self) {
        self.epoch += 1;
        self.calls.clear();
        self.planner = elect(&mut self.store, self.now_ms, self.epoch);
    }

    fn handle(&mut self, event: PlannerEvent) {
        let now = ClockReading {
            mono: mono(self.now_ms),
            wall: WallTime(self.now_ms),
        };
        for effect in self.planner.handle(now, event) {
            if let Effect::Store(call) = effect {
                self.calls.push(call);
            }
        }
    }

    fn tick(&mut self) {
        self.now_ms += STEP_MS;
        self.handle(PlannerEvent::Tick);
    }

    fn execute(&mut self, call: &StoreCall) -> StoreOutcome {
        match &call.operation {
            StoreOperation::Append {
                stream,
                records,
                condition,
            } => self.store.append(self.now_ms, *stream, records, *condition),
            read => {
                let outcome = self.store.read(read);
                outcome.unwrap_or_else(|| self.store.read_empty(read))
            }
        }
    }

    fn deliver(&mut self, call: &StoreCall, outcome: StoreOutcome) {
        let caller = call.caller;
        self.handle(PlannerEvent::Stored { caller, outcome });
    }

    fn answer(&mut self, call: &StoreCall) {
        let outcome = self.execute(call);
        self.deliver(call, outcome);
    }

    /// Answers all calls until the planner makes a certain one, and returns it unanswered.
    fn await_call(&mut self, is_awaited: fn(&StoreCall) -> bool) -> StoreCall {
        for _ in 0..CALL_MS / STEP_MS {
            self.tick();
            if let Some(index) = self.calls.iter().position(is_awaited) {
                return self.calls.remove(index);
            }
            for call in std::mem::take(&mut self.calls) {
                self.answer(&call);
            }
        }
        panic!("the planner did not make the call");
    }

    /// Answers all calls for a while, and returns whether the planner made a certain one.
    fn makes_call(&mut self, is_awaited: fn(&StoreCall) -> bool) -> bool {
        for _ in 0..CALL_MS / STEP_MS {
            self.tick();
            for call in std::mem::take(&mut self.calls) {
                if is_awaited(&call) {
                    return true;
                }
                self.answer(&call);
            }
        }
        false
    }
}

fn mono(ms: u64) -> MonoTime {
    MonoTime(ms * 1000)
}

fn address() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7000))
}

/// Claims an epoch at the end of the plan and creates its planner.
fn elect(store: &mut EmulatedStore, now_ms: u64, epoch: u64) -> PlannerMachine<WorldFormat> {
    let (host, incarnation): (Box<str>, _) = ("h0".into(), 1);
    let claim = PlannerClaim {
        host: host.clone(),
        incarnation,
        address: address(),
    };
    let record = NewRecord {
        key: None,
        value: Some(encode(&PlanRecord::Takeover(claim))),
    };
    let mut claim_at = |end| {
        let condition = AppendCondition::Claim { end, epoch };
        store.append(now_ms, StreamName::Plan, from_ref(&record), condition)
    };
    let outcome = match claim_at(0) {
        StoreOutcome::Moved { end } => claim_at(end),
        outcome => outcome,
    };
    let StoreOutcome::Appended { offset: claim } = outcome else {
        panic!("the claim was not stored: {outcome:?}");
    };
    let policy = PlannerPolicy {
        host,
        incarnation,
        address: address(),
        lease_span: Duration::from_millis(8500),
        placement: PlacementPolicy::default(),
        order: ServiceOrder::default(),
        copies: false,
    };
    let election = PlannerElection {
        epoch: PlannerEpoch(epoch),
        claim,
        plan_ended_at: mono(now_ms),
    };
    PlannerMachine::new(policy, WorldFormat, election, mono(now_ms))
}

fn appends_to(call: &StoreCall, expected: StreamName) -> bool {
    matches!(&call.operation, StoreOperation::Append { stream, .. } if *stream == expected)
}

fn is_batch(call: &StoreCall) -> bool {
    appends_to(call, StreamName::Plan)
}

fn is_address(call: &StoreCall) -> bool {
    appends_to(call, StreamName::Planner)
}

/// Returns whether a call may follow only after a batch of the planner was stored.
fn follows_batch(call: &StoreCall) -> bool {
    is_batch(call) || appends_to(call, StreamName::Snapshots)
}

fn is_jobs_read(call: &StoreCall) -> bool {
    matches!(&call.operation, StoreOperation::Read { stream, .. } if *stream == StreamName::Jobs)
}

/// Guards against a planner that takes the success of its predecessor's append for its own, and
/// acts on records that are not stored.
#[test]
fn old_append_stored() {
    let mut process = TestProcess::new();
    let old = process.await_call(is_batch);
    let outcome = process.execute(&old);
    assert!(matches!(outcome, StoreOutcome::Appended { .. }));
    process.elect_again();
    let own = process.await_call(is_batch);
    process.deliver(&old, outcome);
    assert!(!process.makes_call(follows_batch));
    process.answer(&own);
    assert!(process.makes_call(follows_batch));
}

/// Guards against a planner that deposes itself because its predecessor's append was refused.
#[test]
fn old_append_fenced() {
    let mut process = TestProcess::new();
    let old = process.await_call(is_batch);
    process.elect_again();
    let own = process.await_call(is_batch);
    let outcome = process.execute(&old);
    assert_eq!(outcome, StoreOutcome::Fenced);
    process.deliver(&old, outcome);
    assert!(!process.planner.is_deposed());
    process.answer(&own);
    assert!(process.makes_call(is_batch));
}

/// Guards against a planner that does not publish its address because its predecessor's was stored.
#[test]
fn old_address_stored() {
    let mut process = TestProcess::new();
    let old = process.await_call(is_address);
    let outcome = process.execute(&old);
    process.elect_again();
    let own = process.await_call(is_address);
    process.deliver(&old, outcome);
    let cause = "unavailable".into();
    process.deliver(&own, StoreOutcome::Refused { cause });
    assert!(process.makes_call(is_address));
}

/// Guards against a planner that deposes itself because its predecessor's read was too late.
#[test]
fn old_read_expired() {
    let mut process = TestProcess::new();
    let old = process.await_call(is_jobs_read);
    process.elect_again();
    process.await_call(is_jobs_read);
    process.deliver(&old, StoreOutcome::Expired { first: 1 });
    assert!(!process.planner.is_deposed());
}
