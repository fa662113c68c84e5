//! Builders shared by the tests of the request path.
#![allow(dead_code)]

use bytes::Bytes;
use hornbeamlead_core::clock::{ClockReading, MonoTime, WallTime};
use hornbeamlead_core::effect::{AgentEffect, CallerAnswer, EntryEffect};
use hornbeamlead_core::event::{AgentEvent, EndpointAnnounce, EntryEvent};
use hornbeamlead_core::fleet::FleetState;
use hornbeamlead_core::ids::{
    CallerTicket, CellId, DataCentreName, HostId, IdempotencyKey, Incarnation, LinkId, LogOffset,
    NoteId, RackName, RequestId, ServiceName,
};
use hornbeamlead_core::message::control::{AgentAnnounce, CellView, ControlMessage, ViewMember};
use hornbeamlead_core::message::request::{
    CallerRequest, EndpointAnswer, ForwardedRequest, LinkMessage, LoadSample, RequestOutcome,
    RequestReply, RequestSafety,
};
use hornbeamlead_core::note::{DataCentreSpec, NoteItems, NoteNames, ReleaseNote, ServiceSpec};
use hornbeamlead_core::policy::{
    AgentPolicy, EntryPolicy, GatePolicy, ProcessIdentity, SchedulePolicy,
};
use hornbeamlead_core::resource::{AcceleratorCount, CpuMillis, MemoryMebibytes, ResourceSize};
use hornbeamlead_core::status::HostMembership;
use hornbeamlead_request::entry::EntryMachine;
use hornbeamlead_request::gate::{GateContext, RequestGate};
use std::net::SocketAddr;
use std::time::Duration;

pub(crate) const SERVICE: &str = "ledger";
pub(crate) const CENTRE: &str = "negombo";

pub(crate) fn at(millis: u64) -> ClockReading {
    ClockReading {
        mono: MonoTime(millis * 1000),
        wall: WallTime(millis),
    }
}

pub(crate) fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub(crate) fn service(name: &str) -> ServiceName {
    ServiceName::new(name).expect("valid in tests")
}

pub(crate) fn host(name: &str) -> HostId {
    HostId::new(name).expect("valid in tests")
}

pub(crate) fn centre(name: &str) -> DataCentreName {
    DataCentreName::new(name).expect("valid in tests")
}

pub(crate) fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

pub(crate) fn identity(name: &str, number: u16, incarnation: u64) -> ProcessIdentity {
    ProcessIdentity {
        host: host(name),
        incarnation: Incarnation(incarnation),
        data_centre: centre(CENTRE),
        rack: RackName::new("r1").expect("valid in tests"),
        link_address: address(number),
        control_address: address(number),
        operator_address: address(number + 1),
        seed: 7,
    }
}

pub(crate) fn agent_policy(entries: &[u16]) -> AgentPolicy {
    AgentPolicy {
        cell: CellId(1),
        entries: entries.iter().map(|number| address(*number)).collect(),
        seeds: Vec::new(),
        worker: None,
        batch_capacity: ResourceSize::default(),
        gate: GatePolicy::default(),
        schedule: SchedulePolicy::default(),
    }
}

pub(crate) fn announce(name: &str, number: u16, sequence: u64) -> AgentAnnounce {
    AgentAnnounce {
        host: host(name),
        incarnation: Incarnation(1),
        sequence,
        data_centre: centre(CENTRE),
        rack: RackName::new("r1").expect("valid in tests"),
        cell: CellId(1),
        link_address: address(number),
        operator_address: address(number + 1),
        services: vec![service(SERVICE)],
        load: load(0),
        revision: hornbeamlead_core::ids::Revision(0),
        view: None,
    }
}

pub(crate) fn load(in_flight: u16) -> LoadSample {
    LoadSample {
        in_flight,
        queued: 0,
        slots: 8,
        service_time_us: 10_000,
        leaving: false,
    }
}

pub(crate) fn request(safety: RequestSafety, key: Option<&str>) -> CallerRequest {
    CallerRequest {
        service: service(SERVICE),
        method: "POST".into(),
        path: "/orders".into(),
        headers: Vec::new(),
        body: Bytes::from_static(b"order"),
        safety,
        key: key.and_then(IdempotencyKey::new),
    }
}

pub(crate) fn caller_requested(ticket: u64, safety: RequestSafety, deadline_ms: u64) -> EntryEvent {
    EntryEvent::CallerRequested {
        ticket: CallerTicket(ticket),
        request: request(safety, None),
        deadline: Some(at(deadline_ms).mono),
    }
}

pub(crate) fn caller_requested_keyed(ticket: u64, key: &str, deadline_ms: u64) -> EntryEvent {
    EntryEvent::CallerRequested {
        ticket: CallerTicket(ticket),
        request: request(RequestSafety::NonIdempotent, Some(key)),
        deadline: Some(at(deadline_ms).mono),
    }
}

pub(crate) fn answer(text: &'static str) -> EndpointAnswer {
    EndpointAnswer {
        status: 200,
        headers: Vec::new(),
        body: Bytes::from_static(text.as_bytes()),
    }
}

pub(crate) fn reply(from: u16, id: &RequestId, outcome: RequestOutcome) -> EntryEvent {
    EntryEvent::Replied {
        from: address(from),
        reply: RequestReply {
            id: id.clone(),
            outcome,
            load: load(0),
        },
    }
}

pub(crate) fn endpoint(services: &[&str], slots: u16) -> EndpointAnnounce {
    EndpointAnnounce {
        incarnation: Incarnation(1),
        address: address(9001),
        worker_address: address(9002),
        services: services.iter().map(|name| service(name)).collect(),
        slots,
        connections: 64,
        capacity: ResourceSize {
            cpu: CpuMillis(16_000),
            memory: MemoryMebibytes(64 * 1024),
            accelerators: AcceleratorCount(0),
        },
        leaving: false,
    }
}

/// Configuration with the given data centres, in service unless listed in `out`.
pub(crate) fn fleet(centres: &[&str], out: &[&str]) -> FleetState {
    let mut state = FleetState::default();
    state
        .apply(LogOffset(0), &note(centres, out))
        .expect("valid in tests");
    state
}

pub(crate) fn note(centres: &[&str], out: &[&str]) -> ReleaseNote {
    let specs = centres.iter().map(|name| DataCentreSpec {
        name: centre(name),
        in_service: !out.contains(name),
    });
    ReleaseNote {
        id: NoteId::new("first").expect("valid in tests"),
        based_on: None,
        author: "tests".into(),
        added: NoteItems {
            data_centres: specs.collect(),
            services: vec![ServiceSpec {
                name: service(SERVICE),
                reserve: ResourceSize::default(),
                default_timeout: ms(2_000),
                max_timeout: ms(10_000),
            }],
            ..NoteItems::default()
        },
        changed: NoteItems::default(),
        withdrawn: NoteNames::default(),
    }
}

pub(crate) fn view(number: u64, members: &[(&str, u16)]) -> CellView {
    let members = members.iter().map(|(name, port)| ViewMember {
        host: host(name),
        incarnation: Incarnation(1),
        link_address: address(*port),
    });
    CellView {
        number,
        members: members.collect(),
    }
}

/// Entry that has received announcements of the given agents, by name and port.
pub(crate) fn entry_with_agents(agents: &[(&str, u16)]) -> EntryMachine {
    let mut entry = EntryMachine::new(identity("entry-1", 100, 1), EntryPolicy::default());
    // Long enough for the slow start of all agents to end.
    for round in 0..=8 {
        for (name, number) in agents {
            let event = announced(announce(name, *number, round + 1));
            entry.handle(at(500 * round), event);
        }
    }
    entry
}

pub(crate) fn announced(announce: AgentAnnounce) -> EntryEvent {
    EntryEvent::Datagram {
        from: announce.link_address,
        message: ControlMessage::Announce(announce),
    }
}

/// Requests sent by the effects, with the receiver's address.
pub(crate) fn sent_requests(effects: &[EntryEffect]) -> Vec<(SocketAddr, ForwardedRequest)> {
    let request = |effect: &EntryEffect| match effect {
        EntryEffect::SendLink {
            to,
            message: LinkMessage::Request(request),
        } => Some((*to, request.clone())),
        _ => None,
    };
    effects.iter().filter_map(request).collect()
}

pub(crate) fn answers(effects: &[EntryEffect]) -> Vec<(CallerTicket, CallerAnswer)> {
    let answer = |effect: &EntryEffect| match effect {
        EntryEffect::AnswerCaller { ticket, answer } => Some((*ticket, answer.clone())),
        _ => None,
    };
    effects.iter().filter_map(answer).collect()
}

/// Gate with the state that its agent would provide.
#[derive(Debug)]
pub(crate) struct GateBench {
    pub(crate) gate: RequestGate,
    pub(crate) fleet: FleetState,
    pub(crate) membership: HostMembership,
}

impl GateBench {
    pub(crate) fn new(policy: AgentPolicy) -> Self {
        Self {
            gate: RequestGate::new(identity("agent-1", 200, 1), policy),
            fleet: FleetState::default(),
            membership: HostMembership::default(),
        }
    }

    /// Gate whose endpoint has announced itself.
    pub(crate) fn serving(slots: u16) -> Self {
        let mut bench = Self::new(agent_policy(&[100]));
        bench.handle(
            at(0),
            &AgentEvent::EndpointAnnounced(endpoint(&[SERVICE], slots)),
        );
        bench
    }

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

pub(crate) fn request_id(counter: u64) -> RequestId {
    RequestId {
        entry: host("entry-1"),
        incarnation: Incarnation(1),
        counter,
    }
}

pub(crate) fn requested(counter: u64, deadline_ms: u64) -> AgentEvent {
    requested_of(SERVICE, counter, deadline_ms)
}

pub(crate) fn requested_of(name: &str, counter: u64, deadline_ms: u64) -> AgentEvent {
    let mut content = request(RequestSafety::NonIdempotent, None);
    content.service = service(name);
    AgentEvent::Requested {
        link: LinkId(1),
        request: ForwardedRequest {
            id: request_id(counter),
            request: content,
            deadline: at(deadline_ms).mono,
            granted: None,
        },
    }
}

/// Ids of the requests that the effects pass to the endpoint.
pub(crate) fn endpoint_calls(effects: &[AgentEffect]) -> Vec<RequestId> {
    let id = |effect: &AgentEffect| match effect {
        AgentEffect::CallEndpoint { request, .. } => Some(request.id.clone()),
        _ => None,
    };
    effects.iter().filter_map(id).collect()
}

pub(crate) fn replies(effects: &[AgentEffect]) -> Vec<RequestReply> {
    let reply = |effect: &AgentEffect| match effect {
        AgentEffect::ReplyLink {
            message: LinkMessage::Reply(reply),
            ..
        } => Some(reply.clone()),
        _ => None,
    };
    effects.iter().filter_map(reply).collect()
}
