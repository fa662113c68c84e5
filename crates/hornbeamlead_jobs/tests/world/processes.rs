//! Processes of the emulated platform: events that they handle and effects that they request.

use super::*;

impl World {
    pub(super) fn is_frozen(&self, host: usize) -> bool {
        self.now < self.hosts[host].frozen_until
    }

    pub(super) fn handle_event(&mut self, event: WorldEvent) {
        let host = match &event {
            WorldEvent::Stored(host, ..)
            | WorldEvent::WorkerReplied(host, ..)
            | WorldEvent::LinkOpened(host, ..)
            | WorldEvent::LinkClosed(host, ..)
            | WorldEvent::ToPlanner(host, ..)
            | WorldEvent::ToAgent(host, ..) => Some(*host),
            _ => None,
        };
        if let Some(host) = host.filter(|host| self.is_frozen(*host)) {
            // A frozen process handles its events when it resumes.
            let span = self.hosts[host].frozen_until - self.now;
            return self.after(span, event);
        }
        match event {
            WorldEvent::EntryStored(caller, outcome) => {
                self.notify_entry(EntryEvent::Stored { caller, outcome });
            }
            WorldEvent::Stored(host, incarnation, caller, outcome) => {
                self.with_agent(host, incarnation, |agent, now| match caller {
                    StoreCaller::Locator(_) | StoreCaller::Claim(_) | StoreCaller::PlanEnd => {
                        agent.locator.stored(now.mono, caller, outcome);
                        Vec::new()
                    }
                    _ => match &mut agent.planner {
                        Some(planner) => {
                            planner.handle(now, PlannerEvent::Stored { caller, outcome })
                        }
                        None => Vec::new(),
                    },
                });
            }
            WorldEvent::WorkerReplied(host, incarnation, call, answer) => {
                let clock_ms = Some(self.worker_clock_ms(host));
                let reply = WorkerReply {
                    answer,
                    clock_ms,
                    sent: self.clock().mono,
                };
                let event = SupervisorEvent::Replied {
                    tag: call.tag,
                    incarnation: call.incarnation,
                    reply,
                };
                self.with_agent(host, incarnation, |agent, now| {
                    agent.supervisor.handle(now.mono, event)
                });
            }
            WorldEvent::LateOrder(host, call) => self.carry_out(host, &call, true),
            WorldEvent::Partition(host, span_ms) => self.partition(host, span_ms),
            WorldEvent::LateAppend(stream, records, condition) => {
                self.store.append(self.now, stream, &records, condition);
            }
            WorldEvent::LinkOpened(host, incarnation, link) => {
                self.with_agent(host, incarnation, |agent, now| {
                    agent.locator.link_opened(now.mono, link);
                    Vec::new()
                });
            }
            WorldEvent::LinkClosed(host, incarnation, link, refused) => {
                self.with_agent(host, incarnation, |agent, now| {
                    agent.locator.link_closed(now.mono, link, refused);
                    match &mut agent.planner {
                        Some(planner) => planner.handle(now, PlannerEvent::Closed(link)),
                        None => Vec::new(),
                    }
                });
            }
            WorldEvent::ToPlanner(host, link, message) => {
                self.deliver_to_planner(host, link, message)
            }
            WorldEvent::ToAgent(host, link, message) => self.deliver_to_agent(host, link, message),
        }
    }

    pub(super) fn deliver_to_planner(&mut self, host: usize, link: LinkId, message: AgentMessage) {
        let incarnation = self.incarnation(host);
        self.with_agent(host, incarnation, |agent, now| match message {
            AgentMessage::ConnectRequest { epoch, address } => {
                agent
                    .locator
                    .learn_planner(now.mono, PlannerAddress { epoch, address });
                Vec::new()
            }
            message => match &mut agent.planner {
                Some(planner) => planner.handle(now, PlannerEvent::Agent { link, message }),
                None => vec![Effect::ToAgent {
                    link,
                    message: PlannerMessage::NotPlanner,
                }],
            },
        });
    }

    pub(super) fn deliver_to_agent(&mut self, host: usize, link: LinkId, message: PlannerMessage) {
        let incarnation = self.incarnation(host);
        self.with_agent(host, incarnation, |agent, now| {
            if agent.locator.link() != Some(link) {
                return Vec::new();
            }
            match &message {
                PlannerMessage::NotPlanner => {
                    agent.locator.not_planner(now.mono, link);
                    return Vec::new();
                }
                PlannerMessage::Grant { stamp, .. } => {
                    agent.locator.on_planner_message(now.mono, stamp.is_none())
                }
                _ => {}
            }
            agent
                .supervisor
                .handle(now.mono, SupervisorEvent::Planner(message))
        });
    }

    pub(super) fn incarnation(&self, host: usize) -> u64 {
        self.hosts[host]
            .agent
            .as_ref()
            .map_or(0, |agent| agent.incarnation)
    }

    pub(super) fn with_agent(
        &mut self,
        host: usize,
        incarnation: u64,
        act: impl FnOnce(&mut WorldAgent, ClockReading) -> Vec<Effect>,
    ) {
        let (now, copies, order) = (self.clock(), self.copies, self.order);
        let Some(agent) = &mut self.hosts[host].agent else {
            return;
        };
        if agent.incarnation != incarnation {
            return;
        }
        let mut effects = act(agent, now);
        let (more, events) = agent.locator.drain();
        effects.extend(more);
        for event in events {
            match event {
                LocatorEvent::LinkUp(link) => {
                    effects.extend(
                        agent
                            .supervisor
                            .handle(now.mono, SupervisorEvent::LinkUp(link)),
                    );
                }
                LocatorEvent::LinkDown => {
                    effects.extend(agent.supervisor.handle(now.mono, SupervisorEvent::LinkDown));
                }
                LocatorEvent::Elected(election) => {
                    let policy = PlannerPolicy {
                        copies,
                        order,
                        ..planner_policy(host, incarnation)
                    };
                    let planner = PlannerMachine::new(policy, WorldFormat, election, now.mono);
                    agent.planner = Some(planner);
                }
            }
        }
        if agent
            .planner
            .as_ref()
            .is_some_and(PlannerMachine::is_deposed)
        {
            agent.planner = None;
            agent.locator.step_down(now.mono);
        }
        for effect in effects {
            self.perform(host, incarnation, effect);
        }
    }

    pub(super) fn step_hosts(&mut self) {
        for host in 0..self.hosts.len() {
            if self.is_frozen(host) {
                continue;
            }
            if self.hosts[host].agent.is_none() && self.now >= self.hosts[host].restart_at {
                self.start_agent(host);
            }
            let incarnation = self.incarnation(host);
            if self.now >= self.hosts[host].announce_at && self.hosts[host].worker.alive {
                self.hosts[host].announce_at = self.now + 1000;
                self.hosts[host].sequence += 1;
                let event = SupervisorEvent::Announced(self.announcement(host));
                self.with_agent(host, incarnation, |agent, now| {
                    agent.supervisor.handle(now.mono, event)
                });
            }
            self.with_agent(host, incarnation, |agent, now| {
                let mut effects = match &mut agent.planner {
                    Some(planner) => planner.handle(now, PlannerEvent::Tick),
                    None => Vec::new(),
                };
                effects.extend(agent.supervisor.handle(now.mono, SupervisorEvent::Tick));
                agent.locator.tick(now.mono);
                effects
            });
        }
    }

    pub(super) fn announcement(&self, host: usize) -> WorkerAnnouncement {
        let world_host = &self.hosts[host];
        WorkerAnnouncement {
            facts: WorkerFacts {
                incarnation: world_host.worker.incarnation.clone(),
                machine: None,
                service: "s".into(),
                data_centre: format!("z{}", host % 3).into(),
                cpu: world_host.room.cpu,
                memory: world_host.room.memory,
                accelerators: 0,
                labels: vec![format!("r{}", host % 2).into()],
                draining: world_host.draining,
                leaves_in_ms: None,
            },
            address: address(host),
            sequence: world_host.sequence,
        }
    }

    pub(super) fn start_agent(&mut self, host: usize) {
        let incarnation = self.now * 100 + host as u64;
        let supervisor = SupervisorPolicy {
            host: format!("h{host}").into(),
            address: address(host),
            lease_span: Duration::from_millis(8500),
            hold_max: Duration::from_secs(6),
            worker: ExpectedWorker::default(),
            throttle: ThrottlePolicy {
                grace_period: Duration::ZERO,
                step: Duration::from_millis(500),
            },
        };
        let locator = LocatorPolicy {
            host: format!("h{host}").into(),
            incarnation,
            address: address(host),
            // The seed cancels the incarnation out, so that all candidates choose equal epochs.
            seed: if self.shared_epochs {
                incarnation.rotate_right(32)
            } else {
                host as u64
            },
        };
        self.hosts[host].agent = Some(WorldAgent {
            supervisor: SupervisorMachine::new(supervisor),
            locator: PlannerLocator::new(locator),
            planner: None,
            incarnation,
        });
    }

    pub(super) fn perform(&mut self, host: usize, incarnation: u64, effect: Effect) {
        match effect {
            Effect::Store(call) => self.call_store(host, incarnation, call),
            Effect::Worker(call) => self.call_worker(host, incarnation, call),
            Effect::Dial { link, address, .. } => self.dial(host, incarnation, link, address),
            Effect::ToPlanner { link, message } => {
                if let Some((other, there)) = self.other_end(host, link) {
                    self.after(1, WorldEvent::ToPlanner(other, there, message));
                }
            }
            Effect::ToAgent { link, message } => {
                if let Some((other, there)) = self.other_end(host, link) {
                    self.after(1, WorldEvent::ToAgent(other, there, message));
                }
            }
            Effect::CloseLink { link } => {
                let ends = |it: &&(usize, LinkId, usize, LinkId)| {
                    (it.0, it.1) == (host, link) || (it.2, it.3) == (host, link)
                };
                if let Some(&(opener, link, other, there)) = self.links.iter().find(ends) {
                    self.end_link(opener, link, other, there);
                }
            }
            Effect::AddRelay(address) if self.relays => {
                self.hosts[host].route.add_relay(address);
            }
            // The test harness shows the output of failed tests.
            Effect::Log(line) => {
                println!(
                    "{} h{host} {} {} {}",
                    self.now, line.event, line.id, line.detail
                );
            }
            _ => {}
        }
    }

    /// Returns the other end of a link. A link that loses a message to a partition is removed, so
    /// that it transports no message afterwards.
    pub(super) fn other_end(&mut self, host: usize, link: LinkId) -> Option<(usize, LinkId)> {
        let position = self.links.iter().position(|&(opener, own, other, there)| {
            (opener, own) == (host, link) || (other, there) == (host, link)
        })?;
        let (opener, own, other, there) = self.links[position];
        if opener != other && (self.is_partitioned(opener) || self.is_partitioned(other)) {
            self.links.remove(position);
            return None;
        }
        match (opener, own) == (host, link) {
            true => Some((other, there)),
            false => Some((opener, own)),
        }
    }

    pub(super) fn is_partitioned(&self, host: usize) -> bool {
        self.now < self.hosts[host].partitioned_until
    }

    pub(super) fn end_link(&mut self, opener: usize, link: LinkId, other: usize, there: LinkId) {
        self.links.retain(|open| (open.0, open.1) != (opener, link));
        for (host, link) in [(opener, link), (other, there)] {
            let incarnation = self.incarnation(host);
            self.after(1, WorldEvent::LinkClosed(host, incarnation, link, false));
        }
    }

    pub(super) fn dial(&mut self, host: usize, incarnation: u64, link: LinkId, target: SocketAddr) {
        let other = (0..self.hosts.len()).find(|index| address(*index) == target);
        let Some(other) = other else {
            return;
        };
        let unreachable =
            other != host && (self.is_partitioned(host) || self.is_partitioned(other));
        match (&self.hosts[other].agent, unreachable) {
            (_, true) => self.after(500, WorldEvent::LinkClosed(host, incarnation, link, false)),
            (None, false) => self.after(1, WorldEvent::LinkClosed(host, incarnation, link, true)),
            (Some(_), false) => {
                self.last_incoming += 1;
                self.links
                    .push((host, link, other, LinkId(self.last_incoming)));
                self.after(1, WorldEvent::LinkOpened(host, incarnation, link));
            }
        }
    }

    pub(super) fn call_now(&mut self, host: usize, incarnation: u64, call: WorkerCall) {
        if self.now < self.hosts[host].worker_hangs_until {
            return self.hang_call(host, incarnation, call);
        }
        let answer = match self.hosts[host].worker.alive {
            true => self.carry_out_with_answer(host, &call, false),
            false => WorkerAnswer::Gone,
        };
        self.after(
            2,
            WorldEvent::WorkerReplied(host, incarnation, call, answer),
        );
    }

    pub(super) fn carry_out(&mut self, host: usize, call: &WorkerCall, late: bool) {
        if self.hosts[host].worker.alive {
            self.carry_out_with_answer(host, call, late);
        }
    }

    pub(super) fn carry_out_with_answer(
        &mut self,
        host: usize,
        call: &WorkerCall,
        late: bool,
    ) -> WorkerAnswer {
        let now = self.worker_clock_ms(host);
        let planned = self.planned_run(now, host, call);
        let answer = self.hosts[host].worker.call(now, call, |_| planned);
        self.note_fallen(host);
        self.observe_run_events(host, late);
        answer
    }
}
