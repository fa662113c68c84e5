//! First view of a new cell: what its agents know about the views before the newest one.

use hornbeamlead_agent::AgentMachine;
use hornbeamlead_core::clock::{ClockReading, MonoTime, WallTime};
use hornbeamlead_core::effect::{AgentEffect, AppendRecord};
use hornbeamlead_core::event::{AgentEvent, EndpointAnnounce, StreamBatch};
use hornbeamlead_core::ids::{
    CellId, DataCentreName, HostId, IdempotencyKey, Incarnation, LinkId, LogOffset, RackName,
    ServiceName,
};
use hornbeamlead_core::message::control::{CellView, ControlMessage};
use hornbeamlead_core::message::request::{KeyQuery, LinkMessage};
use hornbeamlead_core::policy::{AgentPolicy, GatePolicy, ProcessIdentity, SchedulePolicy};
use hornbeamlead_core::record::{CellRecord, LogBatch, LogRecord, StreamName};
use hornbeamlead_core::resource::ResourceSize;
use hornbeamlead_core::task::{WorkerAnswer, WorkerCall, WorkerReport};
use rstest::rstest;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

const AGENTS: u16 = 4;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn agent(index: u16, seed: u64) -> AgentMachine {
    let identity = ProcessIdentity {
        host: HostId::new(&format!("negombo-{index}")).expect("valid in tests"),
        incarnation: Incarnation(1),
        data_centre: DataCentreName::new("negombo").expect("valid in tests"),
        rack: RackName::new("r1").expect("valid in tests"),
        link_address: address(index),
        control_address: address(index),
        operator_address: address(100 + index),
        seed: seed * u64::from(AGENTS) + u64::from(index),
    };
    let policy = AgentPolicy {
        cell: CellId(1),
        entries: Vec::new(),
        seeds: (1..=AGENTS)
            .filter(|it| *it != index)
            .map(address)
            .collect(),
        worker: None,
        batch_capacity: ResourceSize::default(),
        gate: GatePolicy::default(),
        schedule: SchedulePolicy::default(),
    };
    AgentMachine::new(identity, policy)
}

/// Agents of a new cell with a log that answers at once.
struct NewCell {
    agents: Vec<AgentMachine>,
    records: Vec<LogRecord<CellRecord>>,
    now_ms: u64,
    /// Whether datagrams with the first view are lost.
    loses_first_view: bool,
}

impl NewCell {
    fn run(&mut self, until_ms: u64) {
        while self.now_ms < until_ms {
            self.now_ms += 20;
            for index in 1..=AGENTS {
                self.handle(index, AgentEvent::TimerFired);
            }
        }
    }

    fn announce_workers(&mut self) {
        for index in 1..=AGENTS {
            self.handle(index, AgentEvent::EndpointAnnounced(announce(index)));
        }
    }

    /// Handles an event at an agent, and all events that follow from it without a delay.
    fn handle(&mut self, index: u16, event: AgentEvent) {
        let now = ClockReading {
            mono: MonoTime(self.now_ms * 1000),
            wall: WallTime(self.now_ms),
        };
        let mut events = VecDeque::from([(index, event)]);
        while let Some((index, event)) = events.pop_front() {
            let agent = &mut self.agents[usize::from(index) - 1];
            for effect in agent.handle(now, &event) {
                events.extend(self.carry_out(index, now.mono, effect));
            }
        }
    }

    fn carry_out(
        &mut self,
        index: u16,
        began: MonoTime,
        effect: AgentEffect,
    ) -> Option<(u16, AgentEvent)> {
        match effect {
            AgentEffect::CallWorker {
                call: call @ WorkerCall::Report { .. },
                ..
            } => {
                let report = WorkerReport {
                    tasks: Vec::new(),
                    service_p99_us: None,
                    usage_age: Duration::ZERO,
                };
                let result = Ok(WorkerAnswer::Report(report));
                Some((index, AgentEvent::WorkerDone { call, result }))
            }
            AgentEffect::ReadLog { stream, from } => {
                let result = Ok(self.read(&stream, from));
                let event = AgentEvent::LogRead {
                    stream,
                    began,
                    result,
                };
                Some((index, event))
            }
            AgentEffect::AppendLog {
                stream,
                record: AppendRecord::Cell(record),
            } => {
                let offset = LogOffset(self.records.len() as u64);
                let id = record.id.clone();
                self.records.push(LogRecord { offset, record });
                let result = Ok(offset);
                Some((index, AgentEvent::LogAppended { stream, id, result }))
            }
            AgentEffect::SendDatagram { to, message } if !self.loses(&message) => {
                let from = address(index);
                Some((to.port(), AgentEvent::Datagram { from, message }))
            }
            _ => None,
        }
    }

    fn loses(&self, message: &ControlMessage) -> bool {
        let view = match message {
            ControlMessage::HeartbeatReply(reply) => reply.view.as_ref(),
            _ => None,
        };
        self.loses_first_view && view.is_some_and(|it| it.number == CellView::FIRST_NUMBER)
    }

    fn read(&self, stream: &StreamName, from: LogOffset) -> StreamBatch {
        match stream {
            StreamName::Cell(_) => {
                let records = self.records.iter().filter(|it| it.offset >= from);
                StreamBatch::Cell(LogBatch {
                    oldest: LogOffset(0),
                    next: LogOffset(self.records.len() as u64),
                    records: records.cloned().collect(),
                })
            }
            StreamName::Notes => StreamBatch::Notes(empty_batch()),
            StreamName::Jobs => StreamBatch::Jobs(empty_batch()),
        }
    }

    /// Returns for how long an agent says that it has followed the views, and their number.
    fn observed(&mut self, index: u16) -> (Duration, u64) {
        let query = KeyQuery {
            query: 1,
            arbiter: HostId::new("negombo-9").expect("valid in tests"),
            incarnation: Incarnation(1),
            service: ServiceName::new("ledger").expect("valid in tests"),
            key: IdempotencyKey::new("key").expect("valid in tests"),
            view: 0,
        };
        let now = ClockReading {
            mono: MonoTime(self.now_ms * 1000),
            wall: WallTime(self.now_ms),
        };
        let link = LinkId(1);
        let agent = &mut self.agents[usize::from(index) - 1];
        let effects = agent.handle(now, &AgentEvent::KeyQueried { link, query });
        let answer = effects.into_iter().find_map(|effect| match effect {
            AgentEffect::ReplyLink {
                message: LinkMessage::KeyAnswer(answer),
                ..
            } => Some(answer),
            _ => None,
        });
        let answer = answer.expect("queries are answered");
        let newest = answer.past.iter().map(|it| it.number).max();
        (answer.observed_for, newest.unwrap_or(0))
    }
}

fn announce(index: u16) -> EndpointAnnounce {
    EndpointAnnounce {
        incarnation: Incarnation(1),
        address: address(200 + index),
        worker_address: address(300 + index),
        services: Vec::new(),
        slots: 8,
        connections: 64,
        capacity: ResourceSize::default(),
        leaving: false,
    }
}

fn empty_batch<R>() -> LogBatch<R> {
    LogBatch {
        oldest: LogOffset(0),
        next: LogOffset(0),
        records: Vec::new(),
    }
}

/// Keyed requests ended as unknown for a key's lifetime after the first view's datagram was lost.
#[rstest]
fn first_view_lost(
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
    #[values(false, true)] loses_first_view: bool,
) {
    let mut cell = NewCell {
        agents: (1..=AGENTS).map(|index| agent(index, seed)).collect(),
        records: Vec::new(),
        now_ms: 1000,
        loses_first_view,
    };
    cell.announce_workers();
    cell.run(6_000);
    let observed: Vec<_> = (1..=AGENTS).map(|index| cell.observed(index)).collect();
    assert!(
        observed.iter().all(|(_, number)| *number > 0),
        "{observed:?}"
    );
    let from_first = observed.iter().any(|(span, _)| *span == Duration::MAX);
    assert!(from_first, "{observed:?}");
}
