//! Deterministic simulation of the request path: the real state machines with a simulated network,
//! endpoints, planner and callers that fail according to a seeded schedule.
#![allow(dead_code)]

mod faults;
mod ledger;
mod nodes;
mod platform;

pub(crate) use faults::FaultPlan;
pub(crate) use ledger::{CallLedger, CallRecord};
pub(crate) use nodes::SLOTS;

use hornbeamlead_core::clock::{ClockReading, MonoTime, WallTime};
use hornbeamlead_core::effect::{AgentEffect, EntryEffect};
use hornbeamlead_core::event::{AgentEvent, EntryEvent};
use hornbeamlead_core::ids::LinkId;
use hornbeamlead_core::message::control::ControlMessage;
use hornbeamlead_core::message::request::LinkMessage;
use nodes::{AgentNode, EntryNode, NodeClock};
use platform::ModelPlatform;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Duration of the end phase without new calls and faults, in microseconds.
const QUIET_US: u64 = 15_000_000;

/// Scheduled event of the simulation.
#[derive(Clone, Debug)]
pub(crate) enum ScheduledEvent {
    Link {
        from: usize,
        to: usize,
        message: LinkMessage,
        remaining_us: Option<u64>,
    },
    LinkReply {
        from: usize,
        to: usize,
        message: LinkMessage,
    },
    Datagram {
        from: usize,
        to: usize,
        message: ControlMessage,
    },
    Refused {
        at: usize,
        to: usize,
        unsent: Vec<hornbeamlead_core::ids::RequestId>,
    },
    Broken {
        at: usize,
        to: usize,
    },
    Entry {
        at: usize,
        event: EntryEvent,
    },
    Agent {
        at: usize,
        event: AgentEvent,
    },
    Wake {
        at: usize,
    },
    Endpoint {
        at: usize,
    },
    EndpointDone {
        at: usize,
        event: AgentEvent,
    },
    Planner,
    Call {
        number: u64,
    },
    Fault {
        number: u64,
    },
}

/// Process of the simulation.
#[expect(clippy::large_enum_variant, reason = "a model has a handful of nodes")]
pub(crate) enum ModelNode {
    Entry(EntryNode),
    Agent(AgentNode),
}

impl ModelNode {
    pub(crate) fn clock(&self) -> &NodeClock {
        match self {
            Self::Entry(node) => &node.clock,
            Self::Agent(node) => &node.clock,
        }
    }

    pub(crate) fn clock_mut(&mut self) -> &mut NodeClock {
        match self {
            Self::Entry(node) => &mut node.clock,
            Self::Agent(node) => &mut node.clock,
        }
    }
}

/// State of the simulation.
pub(crate) struct ModelWorld {
    pub(crate) now_us: u64,
    pub(crate) random: SmallRng,
    pub(crate) nodes: Vec<ModelNode>,
    pub(crate) platform: ModelPlatform,
    pub(crate) ledger: CallLedger,
    pub(crate) plan: FaultPlan,
    pub(crate) trace: u64,
    queue: BTreeMap<(u64, u64), ScheduledEvent>,
    order: u64,
    pub(crate) faults_until_us: u64,
}

impl ModelWorld {
    /// Runs a whole schedule and returns the state at its end.
    pub(crate) fn run(seed: u64, plan: FaultPlan) -> Self {
        let mut world = Self {
            now_us: 0,
            random: SmallRng::seed_from_u64(seed),
            nodes: Vec::new(),
            platform: ModelPlatform::new(),
            ledger: CallLedger::default(),
            faults_until_us: plan.active_us,
            plan,
            trace: 0,
            queue: BTreeMap::new(),
            order: 0,
        };
        world.start_nodes();
        world.schedule_calls();
        world.schedule_faults();
        world.add(0, ScheduledEvent::Planner);
        let end_us = world.faults_until_us + QUIET_US;
        while let Some(((at, _), scheduled)) = world.queue.pop_first() {
            if at > end_us {
                break;
            }
            world.now_us = at;
            world.process(scheduled);
        }
        world
    }

    pub(crate) fn add(&mut self, delay_us: u64, scheduled: ScheduledEvent) {
        self.order += 1;
        self.queue
            .insert((self.now_us + delay_us, self.order), scheduled);
    }

    pub(crate) fn clock_of(&self, at: usize) -> ClockReading {
        let clock = self.nodes[at].clock();
        ClockReading {
            mono: MonoTime(self.now_us + clock.offset_us),
            wall: WallTime((self.now_us + clock.wall_offset_us) / 1000),
        }
    }

    pub(crate) fn node_at(&self, address: SocketAddr) -> Option<usize> {
        self.nodes
            .iter()
            .rposition(|node| node.clock().address == address)
    }

    fn process(&mut self, scheduled: ScheduledEvent) {
        match scheduled {
            ScheduledEvent::Planner => self.run_planner(),
            ScheduledEvent::Call { number } => self.call(number),
            ScheduledEvent::Fault { number } => self.inject_fault(number),
            ScheduledEvent::Endpoint { at } => self.announce_endpoint(at),
            ScheduledEvent::EndpointDone { at, event } => self.finish_at_endpoint(at, event),
            ScheduledEvent::Wake { at } => self.wake(at),
            ScheduledEvent::Link {
                from,
                to,
                message,
                remaining_us,
            } => {
                self.deliver(from, to, message, remaining_us);
            }
            ScheduledEvent::LinkReply { from, to, message } => self.deliver_back(from, to, message),
            ScheduledEvent::Datagram { from, to, message } => {
                let address = self.nodes[from].clock().address;
                self.deliver_datagram(to, address, message);
            }
            ScheduledEvent::Refused { at, to, unsent } => {
                let to = self.nodes[to].clock().address;
                self.deliver_event(
                    at,
                    EntryEvent::LinkRefused {
                        to,
                        unsent: unsent.clone(),
                    },
                    AgentEvent::LinkRefused { to, unsent },
                );
            }
            ScheduledEvent::Broken { at, to } => {
                let to = self.nodes[to].clock().address;
                self.deliver_event(
                    at,
                    EntryEvent::LinkBroken { to },
                    AgentEvent::LinkBroken { to },
                );
            }
            ScheduledEvent::Entry { at, event } => self.entry_event(at, event),
            ScheduledEvent::Agent { at, event } => self.agent_event(at, event),
        }
    }

    /// Delivers an event in the form that the receiving process takes.
    fn deliver_event(&mut self, at: usize, entry: EntryEvent, agent: AgentEvent) {
        match &self.nodes[at] {
            ModelNode::Entry(_) => self.entry_event(at, entry),
            ModelNode::Agent(_) => self.agent_event(at, agent),
        }
    }

    fn deliver_datagram(&mut self, at: usize, from: SocketAddr, message: ControlMessage) {
        let entry = EntryEvent::Datagram {
            from,
            message: message.clone(),
        };
        self.deliver_event(at, entry, AgentEvent::Datagram { from, message });
    }

    fn deliver(&mut self, from: usize, to: usize, message: LinkMessage, remaining_us: Option<u64>) {
        if self.nodes[to].clock().dead {
            return;
        }
        if let Some(resume) = self.paused_until(to) {
            let delay = resume - self.now_us;
            return self.add(
                delay,
                ScheduledEvent::Link {
                    from,
                    to,
                    message,
                    remaining_us,
                },
            );
        }
        let link = LinkId(from as u64);
        let event = match message {
            LinkMessage::Request(mut request) => {
                request.deadline = MonoTime(self.clock_of(to).mono.0 + remaining_us.unwrap_or(0));
                AgentEvent::Requested { link, request }
            }
            LinkMessage::Cancel(id) => AgentEvent::Cancelled { link, id },
            LinkMessage::KeyQuery(query) => AgentEvent::KeyQueried { link, query },
            LinkMessage::NotesRequest(_)
            | LinkMessage::Notes(_)
            | LinkMessage::Reply(_)
            | LinkMessage::KeyAnswer(_) => return,
        };
        self.agent_event(to, event);
    }

    fn deliver_back(&mut self, from: usize, to: usize, message: LinkMessage) {
        let address = self.nodes[from].clock().address;
        match message {
            LinkMessage::Reply(reply) => {
                let entry = EntryEvent::Replied {
                    from: address,
                    reply: reply.clone(),
                };
                self.deliver_event(
                    to,
                    entry,
                    AgentEvent::Replied {
                        from: address,
                        reply,
                    },
                );
            }
            LinkMessage::KeyAnswer(answer) => {
                self.agent_event(
                    to,
                    AgentEvent::KeyAnswered {
                        from: address,
                        answer,
                    },
                );
            }
            _ => {}
        }
    }

    pub(crate) fn entry_event(&mut self, at: usize, event: EntryEvent) {
        if let Some(resume) = self.paused_until(at) {
            let delay = resume - self.now_us;
            return self.add(delay, ScheduledEvent::Entry { at, event });
        }
        let now = self.clock_of(at);
        let ModelNode::Entry(node) = &mut self.nodes[at] else {
            return;
        };
        if node.clock.dead {
            return;
        }
        let effects = node.machine.handle(now, event);
        self.hash_trace(&format!("{at} {effects:?}"));
        for effect in effects {
            self.entry_effect(at, effect);
        }
    }

    pub(crate) fn agent_event(&mut self, at: usize, event: AgentEvent) {
        if let Some(resume) = self.paused_until(at) {
            let delay = resume - self.now_us;
            return self.add(delay, ScheduledEvent::Agent { at, event });
        }
        let now = self.clock_of(at);
        let ModelNode::Agent(node) = &mut self.nodes[at] else {
            return;
        };
        if node.clock.dead {
            return;
        }
        let effects = node.handle(now, &event);
        self.hash_trace(&format!("{at} {effects:?}"));
        for effect in effects {
            self.agent_effect(at, effect);
        }
    }

    fn entry_effect(&mut self, at: usize, effect: EntryEffect) {
        match effect {
            EntryEffect::AnswerCaller { ticket, answer } => {
                let now_us = self.now_us;
                let resumed = self.nodes[at].clock().resumed_us;
                self.ledger
                    .record_answer(at, ticket, answer, now_us, resumed);
            }
            EntryEffect::SendLink { to, message } => self.send_link(at, to, message),
            EntryEffect::SendDatagram { to, message } => self.send_datagram(at, to, message),
            EntryEffect::ReadNotes { from } => self.read_notes(at, from),
            EntryEffect::WakeAt(time) => self.schedule_wake(at, time),
            EntryEffect::ReplyLink { .. }
            | EntryEffect::CountRefusal(_)
            | EntryEffect::CountRetry(_)
            | EntryEffect::Decide(_)
            | EntryEffect::Exit => {}
        }
    }

    fn agent_effect(&mut self, at: usize, effect: AgentEffect) {
        match effect {
            AgentEffect::ReplyLink { link, message } => {
                let to = link.0 as usize;
                for delay in self.delays() {
                    let message = message.clone();
                    self.add(
                        delay,
                        ScheduledEvent::LinkReply {
                            from: at,
                            to,
                            message,
                        },
                    );
                }
            }
            AgentEffect::SendLink { to, message } => self.send_link(at, to, message),
            AgentEffect::CallEndpoint { request, .. } => self.run_at_endpoint(at, request),
            AgentEffect::SendDatagram { to, message } => self.send_datagram(at, to, message),
            AgentEffect::WakeAt(time) => self.schedule_wake(at, time),
            AgentEffect::AbandonEndpoint { .. }
            | AgentEffect::CallWorker { .. }
            | AgentEffect::ReadLog { .. }
            | AgentEffect::AppendLog { .. }
            | AgentEffect::CountRefusal(_)
            | AgentEffect::CountRetry(_)
            | AgentEffect::Decide(_)
            | AgentEffect::Exit => {}
        }
    }

    fn send_link(&mut self, at: usize, to: SocketAddr, message: LinkMessage) {
        let Some(to) = self.node_at(to) else {
            return;
        };
        if self.nodes[to].clock().dead {
            let unsent = match message {
                LinkMessage::Request(request) => vec![request.id],
                _ => Vec::new(),
            };
            return self.add(500, ScheduledEvent::Refused { at, to, unsent });
        }
        let now = self.clock_of(at).mono;
        let remaining_us = match &message {
            LinkMessage::Request(request) => Some(request.deadline.0.saturating_sub(now.0)),
            _ => None,
        };
        for delay in self.delays() {
            let message = message.clone();
            self.add(
                delay,
                ScheduledEvent::Link {
                    from: at,
                    to,
                    message,
                    remaining_us,
                },
            );
        }
    }

    fn send_datagram(&mut self, at: usize, to: SocketAddr, message: ControlMessage) {
        let Some(to) = self.node_at(to) else {
            return;
        };
        for delay in self.delays() {
            let message = message.clone();
            self.add(
                delay,
                ScheduledEvent::Datagram {
                    from: at,
                    to,
                    message,
                },
            );
        }
    }

    fn schedule_wake(&mut self, at: usize, time: MonoTime) {
        let now = self.clock_of(at).mono;
        self.nodes[at].clock_mut().wake = time;
        if time != MonoTime::MAX {
            self.add(time.0.saturating_sub(now.0), ScheduledEvent::Wake { at });
        }
    }

    fn wake(&mut self, at: usize) {
        if let Some(resume) = self.paused_until(at) {
            let delay = resume - self.now_us;
            return self.add(delay, ScheduledEvent::Wake { at });
        }
        if self.clock_of(at).mono < self.nodes[at].clock().wake {
            return;
        }
        self.deliver_event(at, EntryEvent::TimerFired, AgentEvent::TimerFired);
    }

    /// Folds a line into the digest that compares two runs of one seed.
    fn hash_trace(&mut self, line: &str) {
        for byte in line.bytes() {
            self.trace = (self.trace ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }

    /// Delays of the copies of one message; empty if the message is lost.
    fn delays(&mut self) -> Vec<u64> {
        let faulty = self.now_us < self.faults_until_us;
        let ordinary = self.random.random_range(200..3_000);
        if !faulty {
            return vec![ordinary];
        }
        match self.random.random_range(0..1000_u32) {
            roll if roll < self.plan.loss => Vec::new(),
            roll if roll < self.plan.loss + self.plan.duplicates => {
                vec![ordinary, ordinary + self.random.random_range(0..2_000_000)]
            }
            roll if roll < self.plan.loss + self.plan.duplicates + self.plan.late => {
                vec![self.random.random_range(0..1_500_000)]
            }
            _ => vec![ordinary],
        }
    }
}
