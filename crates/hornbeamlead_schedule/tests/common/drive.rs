//! Execution of effects in the simulation: deliveries, calls, reads and appends, with faults.

use super::log::record_id;
use super::{MILLI, SECOND, SimCluster, SimEvent, size};
use hornbeamlead_core::clock::{ClockReading, MonoTime, WallTime};
use hornbeamlead_core::effect::{AgentEffect, AppendRecord};
use hornbeamlead_core::event::{AgentEvent, EndpointAnnounce, StreamBatch};
use hornbeamlead_core::ids::{Incarnation, LogOffset, Revision};
use hornbeamlead_core::message::control::ControlMessage;
use hornbeamlead_core::message::request::LinkMessage;
use hornbeamlead_core::note::DeliveryMode;
use hornbeamlead_core::record::{LogError, StreamName};
use hornbeamlead_core::task::{TaskOrder, WorkerCall, WorkerError};
use rand::Rng;
use std::net::SocketAddr;

impl SimCluster {
    pub(super) fn schedule_event(&mut self, delay: u64, sim_event: SimEvent) {
        self.sequence += 1;
        self.queue
            .insert((self.now + delay, self.sequence), sim_event);
    }

    fn chance(&mut self, percent: u32) -> bool {
        percent > 0 && self.random.random_range(0..100) < percent
    }

    pub(super) fn mono(&self, index: usize) -> MonoTime {
        MonoTime(self.now + self.hosts[index].clock_offset)
    }

    fn is_live(&self, index: usize, incarnation: u64) -> bool {
        self.hosts[index].incarnation == incarnation && self.hosts[index].machine.is_some()
    }

    fn is_lost(&self, index: usize, event: &AgentEvent) -> bool {
        let answer = matches!(
            event,
            AgentEvent::LogRead { .. } | AgentEvent::WorkerDone { .. }
        );
        answer && self.hosts[index].answers_lost
    }

    pub(super) fn step(&mut self, sim_event: SimEvent) {
        match sim_event {
            SimEvent::Agent(index, _, event) if self.is_lost(index, &event) => {}
            SimEvent::Agent(index, incarnation, event) if self.is_live(index, incarnation) => {
                let paused_until = self.hosts[index].paused_until;
                if paused_until > self.now {
                    let delay = paused_until - self.now;
                    self.schedule_event(delay, SimEvent::Agent(index, incarnation, event));
                    return;
                }
                self.deliver(index, &event);
            }
            SimEvent::Wake(index, incarnation, at) => {
                let host = &self.hosts[index];
                if host.wake == Some(at) && host.incarnation == incarnation {
                    self.step(SimEvent::Agent(index, incarnation, AgentEvent::TimerFired));
                }
            }
            SimEvent::Announce(index) => self.announce(index),
            SimEvent::Call(index, incarnation, call) => self.call_worker(index, incarnation, &call),
            SimEvent::Read(index, incarnation, stream, from, began) => {
                let up = !self.log_down && !self.hosts[index].log_unreachable;
                let result = match up {
                    true => self.log.read(&stream, from),
                    false => Err(LogError::Unavailable),
                };
                let event = AgentEvent::LogRead {
                    stream,
                    began,
                    result,
                };
                let delay = if up { 2 * MILLI } else { 500 * MILLI };
                self.schedule_event(delay, SimEvent::Agent(index, incarnation, event));
            }
            SimEvent::Append(index, incarnation, stream, record, late) => {
                self.append(index, incarnation, &stream, record, late);
            }
            SimEvent::Agent(..) => {}
        }
    }

    fn announce(&mut self, index: usize) {
        if self.hosts[index].worker.is_some() {
            let event = AgentEvent::EndpointAnnounced(EndpointAnnounce {
                incarnation: Incarnation(1),
                address: Self::address(index),
                worker_address: Self::address(index),
                services: Vec::new(),
                slots: 8,
                connections: 64,
                capacity: size(16_000, 65_536),
                leaving: false,
            });
            let incarnation = self.hosts[index].incarnation;
            self.step(SimEvent::Agent(index, incarnation, event));
        }
        self.schedule_event(500 * MILLI, SimEvent::Announce(index));
    }

    fn append(
        &mut self,
        index: usize,
        incarnation: u64,
        stream: &StreamName,
        record: AppendRecord,
        late: bool,
    ) {
        let id = record_id(&record);
        let up = !self.log_down && !self.hosts[index].log_unreachable;
        let mut result = Err(LogError::Unavailable);
        if up || late {
            let offset = self.log.append(stream, record);
            self.update_reference_states();
            if !late && !self.chance(self.rates.lost_append) {
                result = Ok(offset);
            }
        }
        if late {
            return;
        }
        let delay = if result.is_ok() { MILLI } else { 500 * MILLI };
        let event = AgentEvent::LogAppended {
            stream: stream.clone(),
            id,
            result,
        };
        self.schedule_event(delay, SimEvent::Agent(index, incarnation, event));
    }

    /// Replays the streams into the reference states.
    fn update_reference_states(&mut self) {
        if let Ok(StreamBatch::Jobs(batch)) = self.log.read(&StreamName::Jobs, self.jobs.cursor()) {
            self.jobs.take(&batch);
        }
        for stream in self.log.cells.keys().cloned().collect::<Vec<_>>() {
            let StreamName::Cell(cell) = &stream else {
                continue;
            };
            let reader = self.cells.entry(cell.0).or_default();
            if let Ok(StreamBatch::Cell(batch)) = self.log.read(&stream, reader.cursor()) {
                reader.take(&batch);
            }
        }
    }

    fn deliver(&mut self, index: usize, event: &AgentEvent) {
        let now = ClockReading {
            mono: self.mono(index),
            wall: WallTime(self.now / MILLI),
        };
        let host = &mut self.hosts[index];
        match event {
            AgentEvent::LogRead {
                result: Ok(StreamBatch::Notes(batch)),
                ..
            } => drop(host.replica.apply_batch(batch)),
            AgentEvent::NotesForwarded(records) => drop(host.replica.apply_records(records)),
            _ => {}
        }
        let mut effects = Vec::new();
        let machine = host.machine.as_mut().expect("live agent");
        machine.handle(now, host.replica.fleet(), event, &mut effects);
        for effect in effects {
            self.execute(index, effect);
        }
    }

    fn execute(&mut self, index: usize, effect: AgentEffect) {
        let incarnation = self.hosts[index].incarnation;
        match effect {
            AgentEffect::SendDatagram { to, message } => self.send(index, to, message),
            AgentEffect::SendLink {
                to,
                message: LinkMessage::NotesRequest(from),
            } => self.forward_notes(index, Self::host_at(to), from),
            AgentEffect::CallWorker { call, .. } => {
                self.schedule_event(MILLI, SimEvent::Call(index, incarnation, call));
            }
            AgentEffect::ReadLog { stream, from } => {
                let began = self.mono(index);
                self.schedule_event(
                    2 * MILLI,
                    SimEvent::Read(index, incarnation, stream, from, began),
                );
            }
            AgentEffect::AppendLog { stream, record } => {
                if self.chance(self.rates.late_append) {
                    let delay = self.random.random_range(1..20 * SECOND);
                    let copy = record.clone();
                    self.schedule_event(
                        delay,
                        SimEvent::Append(index, incarnation, stream.clone(), copy, true),
                    );
                }
                let delay = self.append_ms * MILLI;
                self.schedule_event(
                    delay,
                    SimEvent::Append(index, incarnation, stream, record, false),
                );
            }
            AgentEffect::WakeAt(at) => {
                let due =
                    at.0.saturating_sub(self.hosts[index].clock_offset)
                        .max(self.now);
                self.hosts[index].wake = Some(due);
                let delay = due - self.now;
                self.schedule_event(delay, SimEvent::Wake(index, incarnation, due));
            }
            AgentEffect::Decide(record) => {
                *self.decisions.entry(record.rule).or_insert(0) += 1;
                let host = Self::host_name(index);
                let line = format!(
                    "{} {host} {} {} {}",
                    self.now / MILLI,
                    record.rule,
                    record.subject,
                    record.inputs
                );
                self.trace.push(line);
            }
            _ => {}
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: ControlMessage) {
        let target = Self::host_at(to);
        let copies = 1 + u32::from(self.chance(self.rates.duplicate));
        for _ in 0..copies {
            let partitioned = self.hosts[from].partition != self.hosts[target].partition;
            if partitioned || self.chance(self.rates.drop) {
                continue;
            }
            let slow = self.chance(self.rates.delay);
            let max_delay = if slow { 3 * SECOND } else { 2 * MILLI };
            let delay = self.random.random_range(500..max_delay);
            let event = AgentEvent::Datagram {
                from: Self::address(from),
                message: message.clone(),
            };
            let incarnation = self.hosts[target].incarnation;
            self.schedule_event(delay, SimEvent::Agent(target, incarnation, event));
        }
    }

    fn forward_notes(&mut self, requester: usize, target: usize, from: Revision) {
        let partitioned = self.hosts[requester].partition != self.hosts[target].partition;
        if partitioned || self.notes_blocked || self.hosts[target].machine.is_none() {
            return;
        }
        let copies = self.hosts[target].replica.copies_from(LogOffset(from.0));
        let records = copies
            .iter()
            .map(|copy| self.log.notes[copy.offset.0 as usize].clone())
            .collect();
        let incarnation = self.hosts[requester].incarnation;
        self.schedule_event(
            2 * MILLI,
            SimEvent::Agent(requester, incarnation, AgentEvent::NotesForwarded(records)),
        );
    }

    fn call_worker(&mut self, index: usize, incarnation: u64, call: &WorkerCall) {
        let now = self.mono(index);
        let lost = self.chance(self.rates.lost_call);
        let Some(worker) = &mut self.hosts[index].worker else {
            return;
        };
        let (result, started) = worker.call(call, now);
        let result = if lost {
            Err(WorkerError::NoAnswer)
        } else {
            result
        };
        if let Some(order) = started {
            self.record_start(index, &order);
        }
        let event = AgentEvent::WorkerDone {
            call: call.clone(),
            result,
        };
        let delay = if lost { 2 * SECOND } else { MILLI };
        self.schedule_event(delay, SimEvent::Agent(index, incarnation, event));
    }

    fn record_start(&mut self, index: usize, order: &TaskOrder) {
        let attempt = &order.attempt;
        self.trace.push(format!(
            "{} host-{index:02} START {attempt} from {:?}",
            self.now / MILLI,
            order.resume_from.as_ref().map(|token| token.progress_ms)
        ));
        self.start_times.insert(attempt.clone(), self.now);
        *self.started.entry(attempt.task.clone()).or_insert(0) += 1;
        if !self.attempts_run.insert(attempt.clone()) {
            self.violations.push(format!("{attempt} was started twice"));
        }
        let data_centre = self.hosts[index].spec.data_centre;
        let out = self.drained_since.get(data_centre).copied();
        let bound = u64::try_from(self.policy.start_bound.as_micros()).expect("short");
        if out.is_some_and(|since| self.now > since + bound) {
            self.violations
                .push(format!("{attempt} started in a drained data centre"));
        }
        if order.delivery == DeliveryMode::AtMostOnce && self.started[&attempt.task] > 1 {
            self.violations.push(format!(
                "{attempt} has at-most-once delivery but was started again"
            ));
        }
        self.check_workers();
    }
}
