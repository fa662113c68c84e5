//! Small deterministic model of the request path: real machines, and a network, endpoints, a planner
//! and callers that fail by a seeded schedule.
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

/// Time without new requests and faults at the end, in microseconds.
const QUIET_US: u64 = 15_000_000;

/// Something that happens at a moment.
#[derive(Clone, Debug)]
pub(crate) enum Happening {
    Link {
        from: usize,
        to: usize,
        message: LinkMessage,
        left_us: Option<u64>,
    },
    Back {
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
    EndpointOver {
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

/// Process of the model.
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

/// Whole model.
pub(crate) struct ModelWorld {
    pub(crate) now_us: u64,
    pub(crate) random: SmallRng,
    pub(crate) nodes: Vec<ModelNode>,
    pub(crate) platform: ModelPlatform,
    pub(crate) ledger: CallLedger,
    pub(crate) plan: FaultPlan,
    pub(crate) trace: u64,
    queue: BTreeMap<(u64, u64), Happening>,
    order: u64,
    pub(crate) faults_until_us: u64,
}

impl ModelWorld {
    /// Runs a whole schedule and returns the world at its end.
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
        world.plan_calls();
        world.plan_faults();
        world.add(0, Happening::Planner);
        let end_us = world.faults_until_us + QUIET_US;
        while let Some(((at, _), happening)) = world.queue.pop_first() {
            if at > end_us {
                break;
            }
            world.now_us = at;
            world.happen(happening);
        }
        world
    }

    pub(crate) fn add(&mut self, delay_us: u64, happening: Happening) {
        self.order += 1;
        self.queue
            .insert((self.now_us + delay_us, self.order), happening);
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

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Planner => self.plan_views(),
            Happening::Call { number } => self.call(number),
            Happening::Fault { number } => self.fail_something(number),
            Happening::Endpoint { at } => self.announce_endpoint(at),
            Happening::EndpointOver { at, event } => self.end_at_endpoint(at, event),
            Happening::Wake { at } => self.wake(at),
            Happening::Link {
                from,
                to,
                message,
                left_us,
            } => {
                self.deliver(from, to, message, left_us);
            }
            Happening::Back { from, to, message } => self.deliver_back(from, to, message),
            Happening::Datagram { from, to, message } => {
                let address = self.nodes[from].clock().address;
                self.give_datagram(to, address, message);
            }
            Happening::Refused { at, to, unsent } => {
                let to = self.nodes[to].clock().address;
                self.give(
                    at,
                    EntryEvent::LinkRefused {
                        to,
                        unsent: unsent.clone(),
                    },
                    AgentEvent::LinkRefused { to, unsent },
                );
            }
            Happening::Broken { at, to } => {
                let to = self.nodes[to].clock().address;
                self.give(
                    at,
                    EntryEvent::LinkBroken { to },
                    AgentEvent::LinkBroken { to },
                );
            }
            Happening::Entry { at, event } => self.entry_event(at, event),
            Happening::Agent { at, event } => self.agent_event(at, event),
        }
    }

    /// Gives an entry or an agent its form of one event.
    fn give(&mut self, at: usize, entry: EntryEvent, agent: AgentEvent) {
        match &self.nodes[at] {
            ModelNode::Entry(_) => self.entry_event(at, entry),
            ModelNode::Agent(_) => self.agent_event(at, agent),
        }
    }

    fn give_datagram(&mut self, at: usize, from: SocketAddr, message: ControlMessage) {
        let entry = EntryEvent::Datagram {
            from,
            message: message.clone(),
        };
        self.give(at, entry, AgentEvent::Datagram { from, message });
    }

    fn deliver(&mut self, from: usize, to: usize, message: LinkMessage, left_us: Option<u64>) {
        if self.nodes[to].clock().dead {
            return;
        }
        if let Some(resume) = self.paused_until(to) {
            let delay = resume - self.now_us;
            return self.add(
                delay,
                Happening::Link {
                    from,
                    to,
                    message,
                    left_us,
                },
            );
        }
        let link = LinkId(from as u64);
        let event = match message {
            LinkMessage::Request(mut request) => {
                request.deadline = MonoTime(self.clock_of(to).mono.0 + left_us.unwrap_or(0));
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
                self.give(
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
            return self.add(delay, Happening::Entry { at, event });
        }
        let now = self.clock_of(at);
        let ModelNode::Entry(node) = &mut self.nodes[at] else {
            return;
        };
        if node.clock.dead {
            return;
        }
        let effects = node.machine.handle(now, event);
        self.note(&format!("{at} {effects:?}"));
        for effect in effects {
            self.entry_effect(at, effect);
        }
    }

    pub(crate) fn agent_event(&mut self, at: usize, event: AgentEvent) {
        if let Some(resume) = self.paused_until(at) {
            let delay = resume - self.now_us;
            return self.add(delay, Happening::Agent { at, event });
        }
        let now = self.clock_of(at);
        let ModelNode::Agent(node) = &mut self.nodes[at] else {
            return;
        };
        if node.clock.dead {
            return;
        }
        let effects = node.handle(now, &event);
        self.note(&format!("{at} {effects:?}"));
        for effect in effects {
            self.agent_effect(at, effect);
        }
    }

    fn entry_effect(&mut self, at: usize, effect: EntryEffect) {
        match effect {
            EntryEffect::AnswerCaller { ticket, answer } => {
                let now_us = self.now_us;
                let resumed = self.nodes[at].clock().resumed_us;
                self.ledger.note_answer(at, ticket, answer, now_us, resumed);
            }
            EntryEffect::SendLink { to, message } => self.send_link(at, to, message),
            EntryEffect::SendDatagram { to, message } => self.send_datagram(at, to, message),
            EntryEffect::ReadNotes { from } => self.read_notes(at, from),
            EntryEffect::WakeAt(time) => self.plan_wake(at, time),
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
                        Happening::Back {
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
            AgentEffect::WakeAt(time) => self.plan_wake(at, time),
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
            return self.add(500, Happening::Refused { at, to, unsent });
        }
        let now = self.clock_of(at).mono;
        let left_us = match &message {
            LinkMessage::Request(request) => Some(request.deadline.0.saturating_sub(now.0)),
            _ => None,
        };
        for delay in self.delays() {
            let message = message.clone();
            self.add(
                delay,
                Happening::Link {
                    from: at,
                    to,
                    message,
                    left_us,
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
                Happening::Datagram {
                    from: at,
                    to,
                    message,
                },
            );
        }
    }

    fn plan_wake(&mut self, at: usize, time: MonoTime) {
        let now = self.clock_of(at).mono;
        self.nodes[at].clock_mut().wake = time;
        if time != MonoTime::MAX {
            self.add(time.0.saturating_sub(now.0), Happening::Wake { at });
        }
    }

    fn wake(&mut self, at: usize) {
        if let Some(resume) = self.paused_until(at) {
            let delay = resume - self.now_us;
            return self.add(delay, Happening::Wake { at });
        }
        if self.clock_of(at).mono < self.nodes[at].clock().wake {
            return;
        }
        self.give(at, EntryEvent::TimerFired, AgentEvent::TimerFired);
    }

    /// Folds a line into the digest by which two runs of one seed are compared.
    fn note(&mut self, line: &str) {
        for byte in line.bytes() {
            self.trace = (self.trace ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }

    /// Delays of the copies of one message; none if it is lost.
    fn delays(&mut self) -> Vec<u64> {
        let faulty = self.now_us < self.faults_until_us;
        let ordinary = self.random.random_range(200..3_000);
        if !faulty {
            return vec![ordinary];
        }
        match self.random.random_range(0..1000_u32) {
            roll if roll < self.plan.loss => Vec::new(),
            roll if roll < self.plan.loss + self.plan.copies => {
                vec![ordinary, ordinary + self.random.random_range(0..2_000_000)]
            }
            roll if roll < self.plan.loss + self.plan.copies + self.plan.late => {
                vec![self.random.random_range(0..1_500_000)]
            }
            _ => vec![ordinary],
        }
    }
}
