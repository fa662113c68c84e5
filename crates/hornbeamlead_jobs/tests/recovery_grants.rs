//! Reports that reach a planner which has not recovered yet.

mod world;

use hornbeamlead_core::clock::{ClockReading, MonoTime, WallTime};
use hornbeamlead_core::policy::ServiceOrder;
use hornbeamlead_jobs::effect::{Effect, LinkId};
use hornbeamlead_jobs::ids::PlannerEpoch;
use hornbeamlead_jobs::locator::PlannerElection;
use hornbeamlead_jobs::message::{AgentMessage, AgentStamp, HostReport, PlannerMessage};
use hornbeamlead_jobs::planner::{PlacementPolicy, PlannerEvent, PlannerMachine, PlannerPolicy};
use hornbeamlead_jobs::store::{StoreCall, StoreOperation, StoreOutcome};
use hornbeamlead_jobs::worker::WorkerFacts;
use std::net::SocketAddr;
use std::time::Duration;
use world::WorldFormat;

const LINK: LinkId = LinkId(1);

fn clock(ms: u64) -> ClockReading {
    ClockReading {
        mono: MonoTime(ms * 1000),
        wall: WallTime(ms),
    }
}

fn outcome(call: &StoreCall, appends: usize) -> Option<StoreOutcome> {
    match call.operation {
        StoreOperation::Append { .. } if appends == 1 => {
            let cause = "unavailable".into();
            Some(StoreOutcome::Refused { cause })
        }
        StoreOperation::Append { .. } => Some(StoreOutcome::Appended {
            offset: appends as u64,
        }),
        // Without answers to its reads the planner does not recover.
        _ => None,
    }
}

/// Guards against leases that a planner grants before it knows their bounds in the plan, and that
/// it does not take into account once it has recovered.
#[test]
fn recovering_grants_nothing() {
    let address = SocketAddr::from(([10, 0, 0, 1], 7000));
    let policy = PlannerPolicy {
        host: "h1".into(),
        incarnation: 1,
        address,
        lease_span: Duration::from_millis(8500),
        placement: PlacementPolicy::default(),
        order: ServiceOrder::default(),
        copies: false,
    };
    let epoch = PlannerEpoch(1);
    let election = PlannerElection {
        epoch,
        claim: 0,
        plan_ended_at: clock(10_000).mono,
    };
    let mut planner = PlannerMachine::new(policy, WorldFormat, election, clock(10_000).mono);
    let hello = AgentMessage::Hello {
        host: "h2".into(),
        address,
        epoch,
    };
    let mut events = vec![PlannerEvent::Agent {
        link: LINK,
        message: hello,
    }];
    let (mut granted, mut appends) = (Vec::new(), 0);
    for ms in (10_000..14_000).step_by(5) {
        if ms % 100 == 0 {
            let report = HostReport {
                stamp: AgentStamp(ms),
                worker: Some(WorkerFacts::default()),
                ..HostReport::default()
            };
            events.push(PlannerEvent::Agent {
                link: LINK,
                message: AgentMessage::Report(Box::new(report)),
            });
        }
        events.push(PlannerEvent::Tick);
        for event in std::mem::take(&mut events) {
            for effect in planner.handle(clock(ms), event) {
                match effect {
                    Effect::Store(call) => {
                        appends +=
                            usize::from(matches!(call.operation, StoreOperation::Append { .. }));
                        let caller = call.caller;
                        let stored = outcome(&call, appends);
                        events
                            .extend(stored.map(|outcome| PlannerEvent::Stored { caller, outcome }));
                    }
                    Effect::ToAgent {
                        message: PlannerMessage::Grant { stamp, .. },
                        ..
                    } => granted.extend(stamp),
                    _ => {}
                }
            }
        }
    }
    assert!(appends > 2 && !planner.is_active());
    assert_eq!(granted, Vec::new());
}
