//! Planned stop of an agent: it refuses for a while before it exits.

use hornbeamlead_agent::AgentMachine;
use hornbeamlead_core::clock::{ClockReading, MonoTime, WallTime};
use hornbeamlead_core::effect::AgentEffect;
use hornbeamlead_core::event::AgentEvent;
use hornbeamlead_core::ids::{CellId, DataCentreName, HostId, Incarnation, RackName};
use hornbeamlead_core::policy::{AgentPolicy, GatePolicy, ProcessPlace, SchedulePolicy};
use hornbeamlead_core::resource::ResourceSize;
use std::time::Duration;

const START: MonoTime = MonoTime(60_000_000);

fn idle_machine() -> AgentMachine {
    let address = "127.0.0.1:7000".parse().unwrap();
    let place = ProcessPlace {
        host: HostId::new("negombo-01").unwrap(),
        incarnation: Incarnation(1),
        data_centre: DataCentreName::new("negombo").unwrap(),
        rack: RackName::new("negombo-r1").unwrap(),
        link_address: address,
        control_address: address,
        operator_address: address,
        seed: 1,
    };
    let policy = AgentPolicy {
        cell: CellId(1),
        entries: Vec::new(),
        seeds: Vec::new(),
        batch_capacity: ResourceSize::default(),
        gate: GatePolicy::default(),
        schedule: SchedulePolicy::default(),
    };
    AgentMachine::new(place, policy)
}

fn exits(machine: &mut AgentMachine, after: Duration, event: &AgentEvent) -> bool {
    let now = ClockReading {
        mono: START.plus(after),
        wall: WallTime(0),
    };
    machine.handle(now, event).contains(&AgentEffect::Exit)
}

#[test]
fn exit_after_grace() {
    let mut machine = idle_machine();
    assert!(!exits(&mut machine, Duration::ZERO, &AgentEvent::StopAsked));
    assert!(machine.status().stopping);
    let early = Duration::from_millis(1_999);
    assert!(!exits(&mut machine, early, &AgentEvent::Woke));
    assert!(exits(
        &mut machine,
        Duration::from_secs(2),
        &AgentEvent::Woke
    ));
}

#[test]
fn second_stop_keeps_grace() {
    let mut machine = idle_machine();
    exits(&mut machine, Duration::ZERO, &AgentEvent::StopAsked);
    let late = Duration::from_secs(2);
    assert!(exits(&mut machine, late, &AgentEvent::StopAsked));
}
