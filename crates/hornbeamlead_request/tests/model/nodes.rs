//! Entries, agents and their endpoints.

use super::{Happening, ModelNode, ModelWorld};
use crate::common::{CENTRE, SERVICE, address, agent_policy, centre, endpoint, place};
use bytes::Bytes;
use hornbeamlead_core::clock::{ClockReading, MonoTime};
use hornbeamlead_core::effect::AgentEffect;
use hornbeamlead_core::event::{AgentEvent, EndpointOutcome};
use hornbeamlead_core::fleet::FleetState;
use hornbeamlead_core::ids::{CellId, DataCentreName, HostId, Incarnation};
use hornbeamlead_core::message::request::{EndpointAnswer, ForwardedRequest};
use hornbeamlead_core::policy::EntryPolicy;
use hornbeamlead_core::status::HostMembership;
use hornbeamlead_request::entry::EntryMachine;
use hornbeamlead_request::gate::{GateContext, RequestGate};
use rand::Rng;
use std::net::SocketAddr;

/// Slots of each endpoint.
pub(crate) const SLOTS: u16 = 3;

/// Time between announcements of an endpoint, in microseconds.
const ENDPOINT_ANNOUNCE_US: u64 = 500_000;

/// Clock, address and faults of one process.
#[derive(Clone, Debug)]
pub(crate) struct NodeClock {
    pub(crate) address: SocketAddr,
    pub(crate) offset_us: u64,
    pub(crate) wall_offset_us: u64,
    pub(crate) paused_until_us: u64,
    pub(crate) resumed_us: u64,
    pub(crate) dead: bool,
    pub(crate) wake: MonoTime,
}

impl NodeClock {
    fn new(port: u16, offset_us: u64) -> Self {
        Self {
            address: address(port),
            offset_us,
            wall_offset_us: offset_us,
            paused_until_us: 0,
            resumed_us: 0,
            dead: false,
            wake: MonoTime::MAX,
        }
    }
}

/// Entry.
pub(crate) struct EntryNode {
    pub(crate) clock: NodeClock,
    pub(crate) machine: EntryMachine,
}

/// Agent with its endpoint.
pub(crate) struct AgentNode {
    pub(crate) clock: NodeClock,
    pub(crate) gate: RequestGate,
    pub(crate) fleet: FleetState,
    pub(crate) membership: HostMembership,
    pub(crate) host: HostId,
    pub(crate) incarnation: Incarnation,
    pub(crate) centre: DataCentreName,
    pub(crate) cell: CellId,
    pub(crate) running: u16,
    pub(crate) most_running: u16,
    pub(crate) endpoint_down: bool,
    pub(crate) lapsed_us: u64,
}

impl AgentNode {
    pub(crate) fn handle(&mut self, now: ClockReading, event: &AgentEvent) -> Vec<AgentEffect> {
        let mut effects = Vec::new();
        let context = GateContext {
            fleet: &self.fleet,
            membership: &self.membership,
        };
        self.gate.handle(now, context, event, &mut effects);
        effects
    }
}

impl ModelWorld {
    /// Starts two entries, and three agents in each of two data centres.
    pub(crate) fn start_nodes(&mut self) {
        for number in 0..2 {
            self.start_entry(number, 1);
        }
        for number in 0..6 {
            self.start_agent(number, 1, 1000 + 10 * number);
        }
    }

    pub(crate) fn start_entry(&mut self, number: u16, life: u64) {
        let port = 100 + number;
        let mut own = place(&format!("entry-{number}"), port, life);
        own.seed = self.random.random();
        let offset = self.random.random_range(0..1 << 40);
        self.nodes.push(ModelNode::Entry(EntryNode {
            clock: NodeClock::new(port, offset),
            machine: EntryMachine::new(own, EntryPolicy::default()),
        }));
        let at = self.nodes.len() - 1;
        self.add(0, Happening::Wake { at });
        self.nodes[at].clock_mut().wake = MonoTime(0);
    }

    pub(crate) fn start_agent(&mut self, number: u16, life: u64, port: u16) {
        let name = format!("agent-{number}");
        let mut own = place(&name, port, life);
        own.seed = self.random.random();
        let (centre_name, cell) = match number {
            0..3 => (CENTRE, CellId(1)),
            _ => ("colombo", CellId(2)),
        };
        own.data_centre = centre(centre_name);
        let mut policy = agent_policy(&[100, 101]);
        policy.cell = cell;
        let offset = self.random.random_range(0..1 << 40);
        self.nodes.push(ModelNode::Agent(AgentNode {
            clock: NodeClock::new(port, offset),
            host: own.host.clone(),
            incarnation: own.incarnation,
            centre: own.data_centre.clone(),
            cell,
            gate: RequestGate::new(own, policy),
            fleet: FleetState::default(),
            membership: HostMembership::default(),
            running: 0,
            most_running: 0,
            endpoint_down: false,
            lapsed_us: 0,
        }));
        let at = self.nodes.len() - 1;
        self.add(0, Happening::Endpoint { at });
    }

    pub(crate) fn paused_until(&self, at: usize) -> Option<u64> {
        let until = self.nodes[at].clock().paused_until_us;
        (until > self.now_us).then_some(until)
    }

    pub(crate) fn agent_mut(&mut self, at: usize) -> &mut AgentNode {
        match &mut self.nodes[at] {
            ModelNode::Agent(node) => node,
            ModelNode::Entry(_) => panic!("node {at} is an entry"),
        }
    }

    pub(crate) fn announce_endpoint(&mut self, at: usize) {
        if self.nodes[at].clock().dead {
            return;
        }
        if !self.agent_mut(at).endpoint_down {
            let announce = endpoint(&[SERVICE], SLOTS);
            self.agent_event(at, AgentEvent::EndpointAnnounced(announce));
        }
        self.add(ENDPOINT_ANNOUNCE_US, Happening::Endpoint { at });
    }

    /// Runs a request: recorded when it starts, answered later, or broken off.
    pub(crate) fn run_at_endpoint(&mut self, at: usize, request: ForwardedRequest) {
        let faulty = self.now_us < self.faults_until_us;
        let down = self.agent_mut(at).endpoint_down;
        let left_us = request.deadline.since(self.clock_of(at).mono).as_micros() as u64;
        let id = request.id.clone();
        let roll = self.random.random_range(0..1000_u32);
        if down || (faulty && roll < self.plan.endpoint_faults / 3) {
            let outcome = EndpointOutcome::Unreachable;
            let event = AgentEvent::EndpointDone { id, outcome };
            return self.add(300, Happening::Agent { at, event });
        }
        let agent = self.agent_mut(at);
        agent.running += 1;
        agent.most_running = agent.most_running.max(agent.running);
        let runs = !(faulty && roll < self.plan.endpoint_faults / 2);
        if runs {
            self.ledger.note_run(&request.request);
        }
        let span = self.random.random_range(5_000..60_000);
        let broken = faulty && roll < self.plan.endpoint_faults;
        let (delay, outcome) = match broken || span > left_us {
            true => (left_us.min(span), EndpointOutcome::Broken),
            false => (span, EndpointOutcome::Answered(echo(&request))),
        };
        let event = AgentEvent::EndpointDone { id, outcome };
        self.add(delay, Happening::EndpointOver { at, event });
    }

    pub(crate) fn end_at_endpoint(&mut self, at: usize, event: AgentEvent) {
        self.agent_mut(at).running -= 1;
        self.agent_event(at, event);
    }
}

/// Answer that tells which request it belongs to.
fn echo(request: &ForwardedRequest) -> EndpointAnswer {
    let text = match &request.request.key {
        Some(key) => format!("key {}", key.as_str()),
        None => format!("order {}", String::from_utf8_lossy(&request.request.body)),
    };
    EndpointAnswer {
        status: 200,
        headers: Vec::new(),
        body: Bytes::from(text),
    }
}
