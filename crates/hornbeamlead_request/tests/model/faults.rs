//! Injected faults: pauses, restarts, broken links, endpoints down, clock steps, drains.

use super::{ModelNode, ModelWorld, ScheduledEvent};
use hornbeamlead_core::event::AgentEvent;
use hornbeamlead_core::ids::LinkId;
use rand::Rng;

/// Amount of work and faults in a run; message and endpoint faults are in thousandths.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FaultPlan {
    pub(crate) active_us: u64,
    pub(crate) calls: u64,
    pub(crate) keyed_percent: u32,
    pub(crate) keys: u64,
    pub(crate) min_timeout_us: u64,
    pub(crate) loss: u32,
    pub(crate) duplicates: u32,
    pub(crate) late: u32,
    pub(crate) endpoint_faults: u32,
    pub(crate) faults: u64,
    pub(crate) drains: bool,
}

impl FaultPlan {
    /// No faults.
    pub(crate) const NO_FAULTS: Self = Self {
        active_us: 8_000_000,
        calls: 120,
        keyed_percent: 40,
        keys: 200,
        min_timeout_us: 500_000,
        loss: 0,
        duplicates: 0,
        late: 0,
        endpoint_faults: 0,
        faults: 0,
        drains: false,
    };

    /// Few keys, and many hosts that crash or freeze.
    pub(crate) const KEYED: Self = Self {
        active_us: 8_000_000,
        calls: 120,
        keyed_percent: 100,
        keys: 6,
        min_timeout_us: 300_000,
        loss: 5,
        duplicates: 20,
        late: 20,
        endpoint_faults: 20,
        faults: 18,
        drains: false,
    };

    /// All kinds of faults.
    pub(crate) const ALL_FAULTS: Self = Self {
        active_us: 12_000_000,
        calls: 250,
        keyed_percent: 50,
        keys: 30,
        min_timeout_us: 50_000,
        loss: 20,
        duplicates: 40,
        late: 60,
        endpoint_faults: 60,
        faults: 25,
        drains: true,
    };
}

impl ModelWorld {
    pub(crate) fn schedule_faults(&mut self) {
        for number in 0..self.plan.faults {
            let at = self.random.random_range(1_000_000..self.plan.active_us);
            self.add(at, ScheduledEvent::Fault { number });
        }
    }

    pub(crate) fn inject_fault(&mut self, number: u64) {
        let node = self.random.random_range(0..self.nodes.len());
        if self.nodes[node].clock().dead {
            return;
        }
        match self.random.random_range(0..9) {
            0 | 1 => self.pause(node),
            2 => self.restart(node, number),
            3 => self.replace_frozen(node, number),
            4 => self.break_links(node),
            5 => self.toggle_endpoint(node),
            6 => {
                let step = self.random.random_range(0..1 << 35);
                self.nodes[node].clock_mut().wall_offset_us = step;
            }
            7 => self.platform.log_down = !self.platform.log_down,
            _ if self.plan.drains => {
                let in_service = self.random.random();
                self.platform.publish(in_service);
            }
            _ => {}
        }
    }

    fn pause(&mut self, node: usize) {
        let span = self.random.random_range(10_000..4_000_000);
        let clock = self.nodes[node].clock();
        let until = clock.paused_until_us.max(self.now_us + span);
        let clock = self.nodes[node].clock_mut();
        clock.paused_until_us = until;
        clock.resumed_us = until;
    }

    /// Kills a process and starts its next incarnation.
    fn restart(&mut self, node: usize, number: u64) {
        self.kill(node);
        self.start_next(node, number);
    }

    /// Freezes an agent for long and starts its next incarnation at another address meanwhile.
    fn replace_frozen(&mut self, node: usize, number: u64) {
        if matches!(self.nodes[node], ModelNode::Entry(_)) {
            return;
        }
        self.pause(node);
        self.start_next(node, number);
    }

    fn kill(&mut self, node: usize) {
        self.nodes[node].clock_mut().dead = true;
        self.nodes[node].clock_mut().paused_until_us = 0;
        for other in 0..self.nodes.len() {
            if other != node {
                self.add(
                    300,
                    ScheduledEvent::Broken {
                        at: other,
                        to: node,
                    },
                );
            }
        }
    }

    fn start_next(&mut self, node: usize, number: u64) {
        let incarnation = number + 2;
        match &self.nodes[node] {
            ModelNode::Entry(_) => self.start_entry((node % 2) as u16, incarnation),
            ModelNode::Agent(agent) => {
                let name = agent.host.as_str().trim_start_matches("agent-");
                let index: u16 = name.parse().expect("an agent number");
                let port = 2000 + self.nodes.len() as u16 * 10;
                self.start_agent(index, incarnation, port);
            }
        }
    }

    /// Breaks the links between a process and a random other; messages in transit may still arrive.
    fn break_links(&mut self, node: usize) {
        let other = self.random.random_range(0..self.nodes.len());
        if other == node {
            return;
        }
        self.add(
            0,
            ScheduledEvent::Broken {
                at: node,
                to: other,
            },
        );
        self.add(
            0,
            ScheduledEvent::Broken {
                at: other,
                to: node,
            },
        );
        let event = AgentEvent::LinkClosed {
            link: LinkId(node as u64),
        };
        if matches!(self.nodes[other], ModelNode::Agent(_)) {
            self.add(0, ScheduledEvent::Agent { at: other, event });
        }
    }

    fn toggle_endpoint(&mut self, node: usize) {
        if matches!(self.nodes[node], ModelNode::Agent(_)) {
            let agent = self.agent_mut(node);
            agent.endpoint_down = !agent.endpoint_down;
        }
    }
}
