//! Announcements of workers that are not the agent's own.

use hornbeamlead_agent::AgentMachine;
use hornbeamlead_core::clock::{ClockReading, MonoTime, WallTime};
use hornbeamlead_core::counter::RefusalReason;
use hornbeamlead_core::effect::AgentEffect;
use hornbeamlead_core::event::{AgentEvent, EndpointAnnounce};
use hornbeamlead_core::ids::{CellId, DataCentreName, HostId, Incarnation, RackName};
use hornbeamlead_core::policy::{AgentPolicy, GatePolicy, ProcessIdentity, SchedulePolicy};
use hornbeamlead_core::resource::ResourceSize;
use rstest::rstest;
use std::net::SocketAddr;

const OWN: u16 = 8301;
const FOREIGN: u16 = 8302;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn agent(worker: Option<u16>) -> AgentMachine {
    let identity = ProcessIdentity {
        host: HostId::new("negombo-01").expect("valid in tests"),
        incarnation: Incarnation(1),
        data_centre: DataCentreName::new("negombo").expect("valid in tests"),
        rack: RackName::new("r1").expect("valid in tests"),
        link_address: address(1),
        control_address: address(1),
        operator_address: address(2),
        seed: 1,
    };
    let policy = AgentPolicy {
        cell: CellId(1),
        entries: Vec::new(),
        seeds: Vec::new(),
        worker: worker.map(address),
        batch_capacity: ResourceSize::default(),
        gate: GatePolicy::default(),
        schedule: SchedulePolicy::default(),
    };
    AgentMachine::new(identity, policy)
}

/// Hands an agent an announcement; returns the workers that it calls in the next second, and the
/// refusals.
fn announce(
    agent: &mut AgentMachine,
    at_ms: u64,
    port: u16,
    incarnation: u64,
) -> (Vec<u16>, Vec<RefusalReason>) {
    let announce = EndpointAnnounce {
        incarnation: Incarnation(incarnation),
        address: address(port + 100),
        worker_address: address(port),
        services: Vec::new(),
        slots: 8,
        connections: 64,
        capacity: ResourceSize::default(),
        leaving: false,
    };
    let at = |ms: u64| ClockReading {
        mono: MonoTime(ms * 1000),
        wall: WallTime(ms * 1000),
    };
    let mut effects = agent.handle(at(at_ms), &AgentEvent::EndpointAnnounced(announce));
    effects.extend(agent.handle(at(at_ms + 1000), &AgentEvent::TimerFired));
    let called = effects.iter().filter_map(|effect| match effect {
        AgentEffect::CallWorker { address, .. } => Some(address.port()),
        _ => None,
    });
    let refused = effects.iter().filter_map(|effect| match effect {
        AgentEffect::CountRefusal(reason) => Some(*reason),
        _ => None,
    });
    (called.collect(), refused.collect())
}

/// The foreign worker may be older or newer than the agent's own.
#[rstest]
#[case::configured_first(Some(OWN), [FOREIGN, OWN], [4, 9])]
#[case::configured_older(Some(OWN), [OWN, FOREIGN], [4, 3])]
#[case::configured_newer(Some(OWN), [OWN, FOREIGN], [4, 9])]
#[case::known_older(None, [OWN, FOREIGN], [4, 3])]
#[case::known_newer(None, [OWN, FOREIGN], [4, 9])]
fn foreign_refused(
    #[case] worker: Option<u16>,
    #[case] ports: [u16; 2],
    #[case] incarnations: [u64; 2],
) {
    let mut agent = agent(worker);
    let mut refusals = 0;
    for (index, (port, incarnation)) in ports.into_iter().zip(incarnations).enumerate() {
        let (called, refused) = announce(&mut agent, 1000 + 1200 * index as u64, port, incarnation);
        assert!(!called.contains(&FOREIGN), "{called:?}");
        refusals += refused.len();
    }
    assert_eq!(refusals, 1);
}

#[test]
fn successor_taken() {
    let mut agent = agent(None);
    announce(&mut agent, 1000, OWN, 4);
    let (called, refused) = announce(&mut agent, 3600, FOREIGN, 5);
    assert!(called.contains(&FOREIGN), "{called:?}");
    assert_eq!(refused, []);
}

#[test]
fn late_delivery_refused() {
    let mut agent = agent(Some(OWN));
    announce(&mut agent, 1000, OWN, 4);
    let (_, refused) = announce(&mut agent, 2200, OWN, 3);
    assert_eq!(refused, [RefusalReason::Fenced]);
}
