//! Simulates the agents of one cell in virtual time, with an in-memory log and in-memory workers.
//!
//! The model injects no faults. It delivers events to the agents and counts the processor time and
//! the bytes of each agent.

use super::model_log::ModelLog;
use super::model_worker::ModelWorker;
use super::samples::{SAMPLE_INCARNATION, SAMPLE_WALL, address, host, name, size};
use hornbeamlead_agent::AgentMachine;
use hornbeamlead_core::clock::{ClockReading, MonoTime, WallTime};
use hornbeamlead_core::effect::AgentEffect;
use hornbeamlead_core::event::{AgentEvent, EndpointAnnounce};
use hornbeamlead_core::ids::{CellId, LogOffset, Revision};
use hornbeamlead_core::message::control::ControlMessage;
use hornbeamlead_core::message::request::LinkMessage;
use hornbeamlead_core::policy::{AgentPolicy, GatePolicy, ProcessIdentity, SchedulePolicy};
use hornbeamlead_wire::encode_control;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Latency of a datagram or link message.
const NETWORK_DELAY: Duration = Duration::from_millis(1);

/// Latency of a log read or worker call.
const CALL_DELAY: Duration = Duration::from_millis(2);

/// Latency of an append to the log.
const APPEND_DELAY: Duration = Duration::from_millis(20);

/// Resources used by one agent since the costs were last cleared.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AgentCost {
    /// Time spent in the state machine.
    pub(crate) time: Duration,
    /// Bytes of datagrams sent and received, including headers.
    pub(crate) bytes: usize,
    /// Number of records appended to the log.
    pub(crate) appends: usize,
}

struct ModelHost {
    machine: AgentMachine,
    worker: ModelWorker,
    wake_at: MonoTime,
    cost: AgentCost,
}

enum QueuedItem {
    Event(usize, Box<AgentEvent>),
    Wake(usize),
}

/// Simulated cell: agents, workers, log and the queue of events.
pub(crate) struct CellModel {
    now: MonoTime,
    hosts: Vec<ModelHost>,
    log: ModelLog,
    queue: BTreeMap<(MonoTime, u64), QueuedItem>,
    sequence: u64,
}

impl CellModel {
    /// Creates a cell of some workers, each with capacity for `tasks_per_worker` tasks of one core.
    pub(crate) fn new(workers: usize, tasks_per_worker: u32, schedule: &SchedulePolicy) -> Self {
        let mut model = Self {
            now: MonoTime(1_000_000),
            hosts: Vec::new(),
            log: ModelLog::default(),
            queue: BTreeMap::new(),
            sequence: 0,
        };
        for number in 0..workers {
            model.add_host(number, tasks_per_worker, schedule);
        }
        model
    }

    /// Returns the log, for publishing notes.
    pub(crate) fn log(&mut self) -> &mut ModelLog {
        &mut self.log
    }

    /// Advances virtual time by `span`.
    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now.plus(span);
        while let Some(next) = self.queue.first_entry() {
            if next.key().0 > end {
                break;
            }
            let ((at, _), item) = next.remove_entry();
            self.now = at;
            self.step(item);
        }
        self.now = end;
    }

    /// Resets the costs of all agents.
    pub(crate) fn clear_costs(&mut self) {
        for host in &mut self.hosts {
            host.cost = AgentCost::default();
        }
    }

    /// Returns the costs of all agents.
    pub(crate) fn costs(&self) -> Vec<AgentCost> {
        self.hosts.iter().map(|host| host.cost).collect()
    }

    /// Returns the index of the agent that is the cell's planner.
    pub(crate) fn planner(&self) -> Option<usize> {
        let plans = |host: &ModelHost| host.machine.status().schedule.planning.is_some();
        self.hosts.iter().position(plans)
    }

    /// Returns the number of running tasks on all workers.
    pub(crate) fn running(&self) -> usize {
        self.hosts.iter().map(|host| host.worker.running()).sum()
    }

    /// Returns the number of tasks started so far on all workers.
    pub(crate) fn started(&self) -> usize {
        self.hosts.iter().map(|host| host.worker.started()).sum()
    }

    fn add_host(&mut self, number: usize, tasks_per_worker: u32, schedule: &SchedulePolicy) {
        let identity = ProcessIdentity {
            host: name(&host(number)),
            incarnation: SAMPLE_INCARNATION,
            data_centre: name("negombo"),
            rack: name(&format!("negombo-r{}", number / 3)),
            link_address: address(number),
            control_address: address(number),
            operator_address: address(number),
            seed: u64::try_from(number).unwrap_or_default(),
        };
        let policy = AgentPolicy {
            cell: CellId(1),
            entries: Vec::new(),
            seeds: vec![address(0)],
            worker: None,
            batch_capacity: size(tasks_per_worker),
            gate: GatePolicy::default(),
            schedule: schedule.clone(),
        };
        self.hosts.push(ModelHost {
            machine: AgentMachine::new(identity, policy),
            worker: ModelWorker::default(),
            wake_at: MonoTime::MAX,
            cost: AgentCost::default(),
        });
        let announce = EndpointAnnounce {
            incarnation: SAMPLE_INCARNATION,
            address: address(number),
            worker_address: address(number),
            services: Vec::new(),
            slots: 8,
            connections: 64,
            capacity: size(tasks_per_worker),
            leaving: false,
        };
        self.send(
            number,
            Duration::ZERO,
            AgentEvent::EndpointAnnounced(announce),
        );
    }

    fn push(&mut self, delay: Duration, item: QueuedItem) {
        self.sequence += 1;
        self.queue
            .insert((self.now.plus(delay), self.sequence), item);
    }

    fn send(&mut self, to: usize, delay: Duration, event: AgentEvent) {
        self.push(delay, QueuedItem::Event(to, Box::new(event)));
    }

    fn step(&mut self, item: QueuedItem) {
        match item {
            QueuedItem::Event(index, event) => self.deliver(index, &event),
            QueuedItem::Wake(index) if self.hosts[index].wake_at <= self.now => {
                self.hosts[index].wake_at = MonoTime::MAX;
                self.deliver(index, &AgentEvent::TimerFired);
            }
            QueuedItem::Wake(_) => {}
        }
    }

    fn deliver(&mut self, index: usize, event: &AgentEvent) {
        let wall = WallTime(SAMPLE_WALL.0 + self.now.0 / 1000);
        let now = ClockReading {
            mono: self.now,
            wall,
        };
        let host = &mut self.hosts[index];
        let began = Instant::now();
        let effects = host.machine.handle(now, event);
        host.cost.time += began.elapsed();
        for effect in effects {
            self.apply_effect(index, effect);
        }
    }

    fn apply_effect(&mut self, index: usize, effect: AgentEffect) {
        match effect {
            AgentEffect::SendDatagram { to, message } => self.send_datagram(index, to, message),
            AgentEffect::SendLink { to, message } => self.answer_link(index, to, &message),
            AgentEffect::CallWorker { call, .. } => {
                let result = Ok(self.hosts[index].worker.call(self.now, &call));
                self.send(index, CALL_DELAY, AgentEvent::WorkerDone { call, result });
            }
            AgentEffect::ReadLog { stream, from } => {
                let result = Ok(self.log.read(&stream, from));
                let began = self.now;
                self.send(
                    index,
                    CALL_DELAY,
                    AgentEvent::LogRead {
                        stream,
                        began,
                        result,
                    },
                );
            }
            AgentEffect::AppendLog { stream, record } => {
                self.hosts[index].cost.appends += 1;
                let (id, offset) = self.log.append(&stream, record);
                let result = Ok(offset);
                self.send(
                    index,
                    APPEND_DELAY,
                    AgentEvent::LogAppended { stream, id, result },
                );
            }
            AgentEffect::WakeAt(at) => self.schedule_wake(index, at),
            AgentEffect::ReplyLink { .. }
            | AgentEffect::CallEndpoint { .. }
            | AgentEffect::AbandonEndpoint { .. }
            | AgentEffect::CountRefusal(_)
            | AgentEffect::CountRetry(_)
            | AgentEffect::Decide(_)
            | AgentEffect::Exit => {}
        }
    }

    fn schedule_wake(&mut self, index: usize, at: MonoTime) {
        let at = at.max(self.now);
        if at < self.hosts[index].wake_at {
            self.hosts[index].wake_at = at;
            self.push(at.since(self.now), QueuedItem::Wake(index));
        }
    }

    fn send_datagram(&mut self, index: usize, to: SocketAddr, message: ControlMessage) {
        let Some(receiver) = self.index_of(to) else {
            return;
        };
        let bytes = encode_control(&message).len() + super::messages::HEADER_BYTES;
        if receiver != index {
            self.hosts[index].cost.bytes += bytes;
            self.hosts[receiver].cost.bytes += bytes;
        }
        let from = address(index);
        self.send(
            receiver,
            NETWORK_DELAY,
            AgentEvent::Datagram { from, message },
        );
    }

    /// Answers a request for notes from the log on behalf of the peer, and refuses other messages.
    fn answer_link(&mut self, index: usize, to: SocketAddr, message: &LinkMessage) {
        match (self.index_of(to), message) {
            (Some(_), LinkMessage::NotesRequest(Revision(from))) => {
                let records = self.log.notes_from(LogOffset(*from));
                self.send(index, NETWORK_DELAY, AgentEvent::NotesForwarded(records));
            }
            (Some(_) | None, _) => {
                let unsent = Vec::new();
                self.send(index, NETWORK_DELAY, AgentEvent::LinkRefused { to, unsent });
            }
        }
    }

    fn index_of(&self, to: SocketAddr) -> Option<usize> {
        (0..self.hosts.len()).find(|number| address(*number) == to)
    }
}
