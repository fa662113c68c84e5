//! Emulated platform in virtual time: store, workers, links and processes under random faults.

#![allow(dead_code, reason = "each test file uses a part")]

pub(crate) mod judge;
pub(crate) mod store;
pub(crate) mod worker;

use bytes::Bytes;
use hornbeamlead_core::clock::{ClockReading, MonoTime, WallTime};
use hornbeamlead_jobs::config::{ConfigChange, FleetConfig, QueueRoute};
use hornbeamlead_jobs::effect::{CallerReply, Effect, LinkId};
use hornbeamlead_jobs::entry::{CallerAsk, CallerRequest, EntryEvent, EntryMachine};
use hornbeamlead_jobs::ids::{JobId, RunName};
use hornbeamlead_jobs::job::{JobBody, JobPhase, QueueTerms, RunEnd, StepSpec};
use hornbeamlead_jobs::keeper::{KeeperEvent, KeeperMachine, KeeperPolicy, PacePolicy};
use hornbeamlead_jobs::locator::{LocatorNews, LocatorPolicy, PlannerLocator, PlannerSeat};
use hornbeamlead_jobs::message::{AgentMessage, PlannerMessage};
use hornbeamlead_jobs::operators::OperatorFormat;
use hornbeamlead_jobs::planner::{PlacementPolicy, PlannerEvent, PlannerMachine, PlannerPolicy};
use hornbeamlead_jobs::store::{
    AppendCondition, NewRecord, StoreAsk, StoreCall, StoreCaller, StoreOutcome, StreamName,
};
use hornbeamlead_jobs::worker::{
    WorkerAnnouncement, WorkerAnswer, WorkerAsk, WorkerCall, WorkerFacts, WorkerReply,
};
use judge::WorldJudge;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use store::WorldStore;
use worker::{WorldRun, WorldWorker};

/// Step of the virtual clock, in milliseconds.
const STEP_MS: u64 = 5;

/// Time from process to store and back, in milliseconds.
const STORE_MS: u64 = 10;

/// First reading of the virtual clock, so that no reading is zero.
const START_MS: u64 = 10_000;

/// Operators' records of the emulated platform: any value is the one configuration.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorldFormat;

impl OperatorFormat for WorldFormat {
    fn decode(&self, key: &str, value: Option<&[u8]>) -> ConfigChange {
        match (key.strip_prefix("evacuate/"), value) {
            (Some(zone), Some(_)) => ConfigChange::Evacuate(zone.into()),
            (Some(zone), None) => ConfigChange::Return(zone.into()),
            _ => ConfigChange::Config(world_config()),
        }
    }
}

fn world_config() -> FleetConfig {
    let terms = QueueTerms {
        queue: "h/q/".into(),
        service: "s".into(),
        priority: 0,
        max_attempts: 20,
        target_factor: 2.0,
        target_latency_ms: 500,
    };
    FleetConfig {
        version: 1,
        routes: vec![QueueRoute {
            host: "h".into(),
            prefix: "/q/".into(),
            terms,
        }],
        services: BTreeMap::new(),
    }
}

/// Agent process of one host.
struct WorldAgent {
    keeper: KeeperMachine,
    locator: PlannerLocator,
    planner: Option<PlannerMachine<WorldFormat>>,
    incarnation: u64,
}

/// Host with its worker.
struct WorldHost {
    agent: Option<WorldAgent>,
    restart_at: u64,
    frozen_until: u64,
    cut_until: u64,
    store_away_until: u64,
    worker: WorldWorker,
    worker_back_at: u64,
    announce_at: u64,
    sequence: u64,
}

/// Something that happens at a time.
enum WorldEvent {
    Stored(usize, u64, StoreCaller, StoreOutcome),
    EntryStored(StoreCaller, StoreOutcome),
    WorkerReplied(usize, u64, WorkerCall, WorkerAnswer),
    LateOrder(usize, WorkerCall),
    LateAppend(StreamName, Vec<NewRecord>, AppendCondition),
    LinkOpened(usize, u64, LinkId),
    LinkClosed(usize, u64, LinkId, bool),
    ToPlanner(usize, LinkId, AgentMessage),
    ToAgent(usize, LinkId, PlannerMessage),
}

struct PendingRead {
    host: Option<(usize, u64)>,
    call: StoreCall,
}

struct PendingHold {
    host: usize,
    incarnation: u64,
    call: WorkerCall,
}

/// Which faults a run draws from.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WorldFaults {
    /// Chance a second of a random agent being killed.
    pub(crate) kill: f64,
    /// Chance a second of the planner being killed.
    pub(crate) kill_planner: f64,
    /// Chance a second of an agent being frozen for up to 4 s.
    pub(crate) freeze: f64,
    /// Chance a second of a host being cut from all others for up to 5 s.
    pub(crate) cut: f64,
    /// Chance a second of a worker crashing.
    pub(crate) crash: f64,
    /// Chance a second of the store being away for up to 5 s, for all or for some hosts.
    pub(crate) store_away: f64,
    /// Share of appends whose answer is lost, some of which take effect later.
    pub(crate) lost: f64,
    /// Share of orders to workers that are carried out 2 to 6 s later without an answer.
    pub(crate) late: f64,
    /// Share of jobs that are cancelled.
    pub(crate) cancel: f64,
    /// Share of attempts that fail.
    pub(crate) fail: f64,
}

/// Emulated platform.
pub(crate) struct World {
    now: u64,
    random: SmallRng,
    faults: WorldFaults,
    faults_until: u64,
    store: WorldStore,
    reads: Vec<PendingRead>,
    holds: Vec<PendingHold>,
    hosts: Vec<WorldHost>,
    entry: EntryMachine<WorldFormat>,
    events: BTreeMap<(u64, u64), WorldEvent>,
    last_event: u64,
    /// Links by opener: host, its link, other host, link there.
    links: Vec<(usize, LinkId, usize, LinkId)>,
    last_incoming: u64,
    shared_epochs: bool,
    replies: BTreeMap<u64, CallerReply>,
    last_ticket: u64,
    cancels: VecDeque<(u64, JobId)>,
    cancel_tickets: BTreeMap<u64, JobId>,
    submit_tickets: BTreeMap<u64, JobId>,
    /// Jobs that were accepted.
    pub(crate) accepted: Vec<JobId>,
    /// Judge.
    pub(crate) judge: WorldJudge,
}

fn address(host: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host as u8 + 1], 7000))
}

impl World {
    /// Makes a platform with some hosts.
    pub(crate) fn new(seed: u64, hosts: usize, faults: WorldFaults, faults_ms: u64) -> Self {
        let host = |index: usize| WorldHost {
            agent: None,
            restart_at: START_MS,
            frozen_until: 0,
            cut_until: 0,
            store_away_until: 0,
            worker: WorldWorker::new(&format!("w-{index}"), START_MS),
            worker_back_at: 0,
            announce_at: START_MS,
            sequence: 0,
        };
        let mut store = WorldStore::default();
        let config = NewRecord {
            key: Some("config".into()),
            value: Some(Bytes::from_static(b"1")),
        };
        store.append(StreamName::Operators, &[config], AppendCondition::Always);
        Self {
            now: START_MS,
            random: SmallRng::seed_from_u64(seed),
            faults,
            faults_until: START_MS + faults_ms,
            store,
            reads: Vec::new(),
            holds: Vec::new(),
            hosts: (0..hosts).map(host).collect(),
            entry: EntryMachine::new(WorldFormat),
            events: BTreeMap::new(),
            last_event: 0,
            links: Vec::new(),
            last_incoming: 1 << 57,
            shared_epochs: false,
            replies: BTreeMap::new(),
            last_ticket: 0,
            cancels: VecDeque::new(),
            cancel_tickets: BTreeMap::new(),
            submit_tickets: BTreeMap::new(),
            accepted: Vec::new(),
            judge: WorldJudge::default(),
        }
    }

    /// Returns the present time in milliseconds.
    pub(crate) fn now(&self) -> u64 {
        self.now
    }

    fn clock(&self) -> ClockReading {
        ClockReading {
            mono: MonoTime(self.now * 1000),
            wall: WallTime(1_000_000_000 + self.now),
        }
    }

    /// Lets time pass.
    pub(crate) fn run(&mut self, span_ms: u64) {
        let end = self.now + span_ms;
        while self.now < end {
            self.now += STEP_MS;
            if self.now < self.faults_until {
                self.draw_faults();
            }
            self.step_workers();
            self.step_reads();
            self.step_events();
            self.step_hosts();
            self.step_callers();
        }
    }

    fn chance(&mut self, a_second: f64) -> bool {
        self.random.random::<f64>() < a_second * STEP_MS as f64 / 1000.0
    }

    fn draw_faults(&mut self) {
        let faults = self.faults;
        let host = self.random.random_range(0..self.hosts.len());
        let span = self.random.random_range(300..5000);
        if self.chance(faults.kill) {
            self.kill(host);
        }
        if self.chance(faults.kill_planner) {
            let planner = self.planner_host();
            if let Some(planner) = planner {
                self.kill(planner);
            }
        }
        if self.chance(faults.freeze) {
            self.hosts[host].frozen_until = self.now + span.min(4000);
        }
        if self.chance(faults.cut) {
            self.hosts[host].cut_until = self.now + span;
        }
        if self.chance(faults.crash) {
            self.crash(host);
        }
        if self.chance(faults.store_away) {
            let all = self.random.random::<bool>();
            for (index, other) in self.hosts.iter_mut().enumerate() {
                if all || index == host || index % 3 == 0 {
                    other.store_away_until = self.now + span;
                }
            }
        }
    }

    /// Returns the host whose process is planner.
    pub(crate) fn planner_host(&self) -> Option<usize> {
        self.hosts.iter().position(|host| {
            let agent = host.agent.as_ref();
            agent.is_some_and(|agent| {
                agent
                    .planner
                    .as_ref()
                    .is_some_and(PlannerMachine::is_active)
            })
        })
    }

    /// Kills the agent of a host; it starts again.
    pub(crate) fn kill(&mut self, host: usize) {
        self.hosts[host].agent = None;
        self.hosts[host].restart_at = self.now + 400;
        let ended: Vec<_> = self
            .links
            .iter()
            .filter(|link| link.0 == host || link.2 == host)
            .copied()
            .collect();
        for (opener, link, other, there) in ended {
            self.end_link(opener, link, other, there);
        }
    }

    /// Kills the agents of all hosts.
    pub(crate) fn kill_all(&mut self) {
        for host in 0..self.hosts.len() {
            self.kill(host);
        }
        self.entry = EntryMachine::new(WorldFormat);
    }

    /// Crashes the worker of a host; another life starts.
    pub(crate) fn crash(&mut self, host: usize) {
        if self.hosts[host].worker.alive {
            self.hosts[host].worker.crash();
            self.hosts[host].worker_back_at = self.now + 700;
        }
    }

    /// Cuts a host off from all others and from the store.
    pub(crate) fn cut(&mut self, host: usize, span_ms: u64) {
        self.hosts[host].cut_until = self.now + span_ms;
    }

    /// Takes the store away from all processes.
    pub(crate) fn lose_store(&mut self, span_ms: u64) {
        for host in &mut self.hosts {
            host.store_away_until = self.now + span_ms;
        }
    }

    fn step_workers(&mut self) {
        for index in 0..self.hosts.len() {
            let now = self.now;
            let host = &mut self.hosts[index];
            if host.worker.alive {
                host.worker.tick(now);
            } else if now >= host.worker_back_at {
                let deeds = std::mem::take(&mut host.worker.deeds);
                host.worker = WorldWorker::new(&format!("w-{index}-{now}"), now);
                host.worker.deeds = deeds;
                host.announce_at = now;
                host.sequence = 0;
            }
            self.judge_deeds(index, false);
        }
        let ready = |pending: &PendingHold, hosts: &[WorldHost], now: u64| {
            let host = &hosts[pending.host];
            let WorkerAsk::Hold { wait_until, .. } = pending.call.ask else {
                return true;
            };
            host.worker.has_ends() || !host.worker.alive || wait_until.0 / 1000 <= now
        };
        let holds = std::mem::take(&mut self.holds);
        for pending in holds {
            if ready(&pending, &self.hosts, self.now) {
                self.call_now(pending.host, pending.incarnation, pending.call);
            } else {
                self.holds.push(pending);
            }
        }
    }

    fn judge_deeds(&mut self, host: usize, late: bool) {
        for deed in std::mem::take(&mut self.hosts[host].worker.deeds) {
            self.judge.judge(self.now, host, &deed, late);
        }
    }

    fn step_reads(&mut self) {
        let reads = std::mem::take(&mut self.reads);
        for read in reads {
            let over = match &read.call.ask {
                StoreAsk::Read { wait_until, .. } => wait_until.0 / 1000 <= self.now,
                _ => true,
            };
            match self.store.read(&read.call.ask) {
                Some(outcome) => self.answer_read(read, outcome),
                None if over => {
                    let outcome = self.store.read_empty(&read.call.ask);
                    self.answer_read(read, outcome);
                }
                None => self.reads.push(read),
            }
        }
    }

    fn answer_read(&mut self, read: PendingRead, outcome: StoreOutcome) {
        let caller = read.call.caller;
        let event = match read.host {
            Some((host, incarnation)) => WorldEvent::Stored(host, incarnation, caller, outcome),
            None => WorldEvent::EntryStored(caller, outcome),
        };
        self.after(STORE_MS, event);
    }

    fn after(&mut self, span_ms: u64, event: WorldEvent) {
        self.last_event += 1;
        self.events
            .insert((self.now + span_ms, self.last_event), event);
    }

    fn step_events(&mut self) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let event = entry.remove();
            self.happen(event);
        }
    }

    fn is_frozen(&self, host: usize) -> bool {
        self.now < self.hosts[host].frozen_until
    }

    fn happen(&mut self, event: WorldEvent) {
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
            // A frozen process finds everything when it wakes.
            let span = self.hosts[host].frozen_until - self.now;
            return self.after(span, event);
        }
        match event {
            WorldEvent::EntryStored(caller, outcome) => {
                self.tell_entry(EntryEvent::Stored { caller, outcome });
            }
            WorldEvent::Stored(host, incarnation, caller, outcome) => {
                self.with_agent(host, incarnation, |agent, now| match caller {
                    StoreCaller::Locator | StoreCaller::Claim => {
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
                let clock_ms = Some(self.now);
                let reply = WorkerReply {
                    answer,
                    clock_ms,
                    sent: self.clock().mono,
                };
                let event = KeeperEvent::Replied {
                    tag: call.tag,
                    life: call.life,
                    reply,
                };
                self.with_agent(host, incarnation, |agent, now| {
                    agent.keeper.handle(now.mono, event)
                });
            }
            WorldEvent::LateOrder(host, call) => self.carry_out(host, &call, true),
            WorldEvent::LateAppend(stream, records, condition) => {
                self.store.append(stream, &records, condition);
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
            WorldEvent::ToPlanner(host, link, message) => self.hear_agent(host, link, message),
            WorldEvent::ToAgent(host, link, message) => self.hear_planner(host, link, message),
        }
    }

    fn hear_agent(&mut self, host: usize, link: LinkId, message: AgentMessage) {
        let incarnation = self.incarnation(host);
        self.with_agent(host, incarnation, |agent, now| match message {
            AgentMessage::Summons { epoch, address } => {
                agent
                    .locator
                    .learn_seat(now.mono, PlannerSeat { epoch, address });
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

    fn hear_planner(&mut self, host: usize, link: LinkId, message: PlannerMessage) {
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
                    agent.locator.heard(now.mono, stamp.is_none())
                }
                _ => {}
            }
            agent.keeper.handle(now.mono, KeeperEvent::Planner(message))
        });
    }

    fn incarnation(&self, host: usize) -> u64 {
        self.hosts[host]
            .agent
            .as_ref()
            .map_or(0, |agent| agent.incarnation)
    }

    fn with_agent(
        &mut self,
        host: usize,
        incarnation: u64,
        act: impl FnOnce(&mut WorldAgent, ClockReading) -> Vec<Effect>,
    ) {
        let now = self.clock();
        let Some(agent) = &mut self.hosts[host].agent else {
            return;
        };
        if agent.incarnation != incarnation {
            return;
        }
        let mut effects = act(agent, now);
        let (more, news) = agent.locator.drain();
        effects.extend(more);
        for news in news {
            match news {
                LocatorNews::LinkUp(link) => {
                    effects.extend(agent.keeper.handle(now.mono, KeeperEvent::LinkUp(link)));
                }
                LocatorNews::LinkDown => {
                    effects.extend(agent.keeper.handle(now.mono, KeeperEvent::LinkDown));
                }
                LocatorNews::Elected { epoch, claim } => {
                    let policy = planner_policy(host, incarnation);
                    let planner = PlannerMachine::new(policy, WorldFormat, epoch, claim, now.mono);
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
            self.obey(host, incarnation, effect);
        }
    }

    fn step_hosts(&mut self) {
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
                let event = KeeperEvent::Announced(self.announcement(host));
                self.with_agent(host, incarnation, |agent, now| {
                    agent.keeper.handle(now.mono, event)
                });
            }
            self.with_agent(host, incarnation, |agent, now| {
                let mut effects = match &mut agent.planner {
                    Some(planner) => planner.handle(now, PlannerEvent::Tick),
                    None => Vec::new(),
                };
                effects.extend(agent.keeper.handle(now.mono, KeeperEvent::Tick));
                agent.locator.tick(now.mono);
                effects
            });
        }
    }

    fn announcement(&self, host: usize) -> WorkerAnnouncement {
        let known = &self.hosts[host];
        WorkerAnnouncement {
            facts: WorkerFacts {
                life: known.worker.life.clone(),
                machine: None,
                service: "s".into(),
                data_centre: format!("z{}", host % 3).into(),
                cpu: 8000,
                memory: 16_000,
                accelerators: 0,
                labels: vec![format!("r{}", host % 2).into()],
                draining: false,
                leaves_in_ms: None,
            },
            address: address(host),
            sequence: known.sequence,
        }
    }

    fn start_agent(&mut self, host: usize) {
        let incarnation = self.now * 100 + host as u64;
        let keeper = KeeperPolicy {
            host: format!("h{host}").into(),
            address: address(host),
            lease_span: Duration::from_secs(9),
            hold_max: Duration::from_secs(6),
            pace: PacePolicy {
                patience: Duration::ZERO,
                step: Duration::from_millis(500),
            },
        };
        let locator = LocatorPolicy {
            host: format!("h{host}").into(),
            incarnation,
            address: address(host),
            // Candidates of equal seed and life choose equal epochs.
            seed: if self.shared_epochs {
                incarnation.rotate_right(32)
            } else {
                host as u64
            },
        };
        self.hosts[host].agent = Some(WorldAgent {
            keeper: KeeperMachine::new(keeper),
            locator: PlannerLocator::new(locator),
            planner: None,
            incarnation,
        });
    }

    fn obey(&mut self, host: usize, incarnation: u64, effect: Effect) {
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
            Effect::Hang { link } => {
                let ends = |it: &&(usize, LinkId, usize, LinkId)| {
                    (it.0, it.1) == (host, link) || (it.2, it.3) == (host, link)
                };
                if let Some(&(opener, link, other, there)) = self.links.iter().find(ends) {
                    self.end_link(opener, link, other, there);
                }
            }
            // Shown with a failed test.
            Effect::Log(line) => {
                println!(
                    "{} h{host} {} {} {}",
                    self.now, line.event, line.id, line.detail
                );
            }
            _ => {}
        }
    }

    /// Returns the other end of a link. One that a cut swallows bytes of stays silent for good.
    fn other_end(&mut self, host: usize, link: LinkId) -> Option<(usize, LinkId)> {
        let position = self.links.iter().position(|&(opener, own, other, there)| {
            (opener, own) == (host, link) || (other, there) == (host, link)
        })?;
        let (opener, own, other, there) = self.links[position];
        if opener != other && (self.is_cut(opener) || self.is_cut(other)) {
            self.links.remove(position);
            return None;
        }
        match (opener, own) == (host, link) {
            true => Some((other, there)),
            false => Some((opener, own)),
        }
    }

    fn is_cut(&self, host: usize) -> bool {
        self.now < self.hosts[host].cut_until
    }

    fn end_link(&mut self, opener: usize, link: LinkId, other: usize, there: LinkId) {
        self.links
            .retain(|known| (known.0, known.1) != (opener, link));
        for (host, link) in [(opener, link), (other, there)] {
            let incarnation = self.incarnation(host);
            self.after(1, WorldEvent::LinkClosed(host, incarnation, link, false));
        }
    }

    fn dial(&mut self, host: usize, incarnation: u64, link: LinkId, target: SocketAddr) {
        let other = (0..self.hosts.len()).find(|index| address(*index) == target);
        let Some(other) = other else {
            return;
        };
        let dark = other != host && (self.is_cut(host) || self.is_cut(other));
        match (&self.hosts[other].agent, dark) {
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

    fn call_store(&mut self, host: usize, incarnation: u64, call: StoreCall) {
        let caller = call.caller;
        let answer = |outcome| WorldEvent::Stored(host, incarnation, caller, outcome);
        if self.is_cut(host) || self.now < self.hosts[host].store_away_until {
            let cause = "away".into();
            let outcome = match self.random.random::<bool>() {
                true => StoreOutcome::Refused { cause },
                false => StoreOutcome::Unanswered { cause },
            };
            let span = if matches!(outcome, StoreOutcome::Refused { .. }) {
                10
            } else {
                700
            };
            return self.after(span, answer(outcome));
        }
        match &call.ask {
            StoreAsk::Append {
                stream,
                records,
                condition,
            } => {
                let lost =
                    self.now < self.faults_until && self.random.random::<f64>() < self.faults.lost;
                if lost {
                    let span = self.random.random_range(0..4000);
                    let late = WorldEvent::LateAppend(*stream, records.clone(), *condition);
                    self.after(span, late);
                    let cause = "lost".into();
                    return self.after(700, answer(StoreOutcome::Unanswered { cause }));
                }
                let outcome = self.store.append(*stream, records, *condition);
                self.after(STORE_MS, answer(outcome));
            }
            _ => self.reads.push(PendingRead {
                host: Some((host, incarnation)),
                call,
            }),
        }
    }

    fn call_worker(&mut self, host: usize, incarnation: u64, call: WorkerCall) {
        match &call.ask {
            WorkerAsk::Hold { .. } => self.holds.push(PendingHold {
                host,
                incarnation,
                call,
            }),
            _ => {
                let late =
                    self.now < self.faults_until && self.random.random::<f64>() < self.faults.late;
                if late {
                    let span = self.random.random_range(2000..6000);
                    self.after(span, WorldEvent::LateOrder(host, call.clone()));
                    let answer = WorkerAnswer::Unanswered;
                    return self.after(
                        500,
                        WorldEvent::WorkerReplied(host, incarnation, call, answer),
                    );
                }
                self.call_now(host, incarnation, call);
            }
        }
    }

    fn call_now(&mut self, host: usize, incarnation: u64, call: WorkerCall) {
        let answer = match self.hosts[host].worker.alive {
            true => self.carry_out_with_answer(host, &call, false),
            false => WorkerAnswer::Gone,
        };
        self.after(
            2,
            WorldEvent::WorkerReplied(host, incarnation, call, answer),
        );
    }

    fn carry_out(&mut self, host: usize, call: &WorkerCall, late: bool) {
        if self.hosts[host].worker.alive {
            self.carry_out_with_answer(host, call, late);
        }
    }

    fn carry_out_with_answer(
        &mut self,
        host: usize,
        call: &WorkerCall,
        late: bool,
    ) -> WorkerAnswer {
        let fails = self.random.random::<f64>() < self.faults.fail;
        let span = self.random.random_range(150..1500);
        let now = self.now;
        let judge = &self.judge;
        let plan = |run: RunName| WorldRun {
            done_at: (!judge.is_lasting(run)).then_some(now + span),
            began: now,
            stop_at: None,
            end: if fails { RunEnd::Failed } else { RunEnd::Done },
        };
        let answer = self.hosts[host].worker.call(now, call, plan);
        self.judge_deeds(host, late);
        answer
    }

    fn tell_entry(&mut self, event: EntryEvent) {
        let now = self.clock();
        let effects = self.entry.handle(now, event);
        for effect in effects {
            match effect {
                Effect::Store(call) => {
                    let caller = call.caller;
                    match &call.ask {
                        StoreAsk::Append {
                            stream,
                            records,
                            condition,
                        } => {
                            let outcome = self.store.append(*stream, records, *condition);
                            self.after(STORE_MS, WorldEvent::EntryStored(caller, outcome));
                        }
                        _ => self.reads.push(PendingRead { host: None, call }),
                    }
                }
                Effect::Reply { ticket, reply } => {
                    self.note_reply(ticket, &reply);
                    self.replies.insert(ticket, reply);
                }
                _ => {}
            }
        }
    }

    fn note_reply(&mut self, ticket: u64, reply: &CallerReply) {
        match reply {
            CallerReply::Accepted => {
                let job = self.submit_tickets.get(&ticket).copied();
                self.accepted.extend(job);
            }
            CallerReply::Cancelled => {
                if let Some(job) = self.cancel_tickets.get(&ticket) {
                    self.judge.cancel(self.now, *job);
                }
            }
            _ => {}
        }
    }

    fn step_callers(&mut self) {
        while let Some(&(at, job)) = self.cancels.front() {
            if at > self.now {
                break;
            }
            self.cancels.pop_front();
            let ticket = self.ask(job, CallerAsk::Cancel);
            self.cancel_tickets.insert(ticket, job);
        }
        self.tell_entry(EntryEvent::Tick);
    }

    fn ask(&mut self, job: JobId, ask: CallerAsk) -> u64 {
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        if matches!(ask, CallerAsk::Submit(_)) {
            self.submit_tickets.insert(ticket, job);
        }
        let request = CallerRequest {
            ticket,
            host: "h".into(),
            path: format!("/q/{job}").into(),
            ask,
            deadline: self.clock().mono.plus(Duration::from_secs(3)),
        };
        self.tell_entry(EntryEvent::Request(request));
        ticket
    }

    /// Hands in a job; it may be cancelled later, as the faults say.
    pub(crate) fn submit(&mut self, job: JobId, body: JobBody) {
        self.judge.submit(job, body.clone());
        self.ask(job, CallerAsk::Submit(Ok(body)));
        if self.random.random::<f64>() < self.faults.cancel {
            let span = self.random.random_range(100..4000);
            self.cancels.push_back((self.now + span, job));
            self.cancels.make_contiguous().sort_unstable();
        }
    }

    /// Returns the state of a job as a caller sees it.
    pub(crate) fn phase(&mut self, job: JobId) -> Option<JobPhase> {
        let ticket = self.ask(job, CallerAsk::Read);
        match self.replies.get(&ticket) {
            Some(CallerReply::Phase(phase)) => Some(*phase),
            _ => None,
        }
    }

    /// Returns the attempts of a job that run.
    pub(crate) fn running(&self, job: JobId) -> Vec<RunName> {
        let runs = self
            .hosts
            .iter()
            .flat_map(|host| host.worker.running.keys());
        runs.filter(|run| run.task.step.job == job)
            .copied()
            .collect()
    }

    /// Cancels a job now.
    pub(crate) fn cancel(&mut self, job: JobId) {
        let ticket = self.ask(job, CallerAsk::Cancel);
        self.cancel_tickets.insert(ticket, job);
    }

    /// Keeps workers from announcing themselves for a while.
    pub(crate) fn delay_announcements(&mut self, span_ms: u64) {
        for host in &mut self.hosts {
            host.announce_at = self.now + span_ms;
        }
    }

    /// Has all candidates choose the same epoch for the same offset, from their next start on.
    pub(crate) fn share_epochs(&mut self) {
        self.shared_epochs = true;
    }

    /// Returns how many hosts have a link to the planner.
    pub(crate) fn connected_hosts(&self) -> usize {
        let agents = self.hosts.iter().filter_map(|host| host.agent.as_ref());
        agents
            .filter(|agent| agent.locator.link().is_some())
            .count()
    }

    /// Makes a job of one step of lasting tasks.
    pub(crate) fn lasting_job(tasks: u32) -> JobBody {
        let step = StepSpec {
            tasks,
            cpu: 500,
            memory: 100,
            lasting: true,
            ..StepSpec::default()
        };
        JobBody {
            spec: "serve".into(),
            steps: vec![step],
            ..JobBody::default()
        }
    }

    /// Draws a job of one to three steps.
    pub(crate) fn draw_job(&mut self) -> (JobId, JobBody) {
        let job = JobId(self.random.random());
        let steps = self.random.random_range(1..=3_u16);
        let step = |index: u16, random: &mut SmallRng| StepSpec {
            tasks: random.random_range(1..=4),
            cpu: random.random_range(100..1500),
            memory: random.random_range(50..500),
            estimate_ms: 800,
            after: if index > 0 {
                vec![index - 1]
            } else {
                Vec::new()
            },
            ..StepSpec::default()
        };
        let steps = (0..steps)
            .map(|index| step(index, &mut self.random))
            .collect();
        let body = JobBody {
            spec: "work".into(),
            steps,
            ..JobBody::default()
        };
        (job, body)
    }
}

fn planner_policy(host: usize, incarnation: u64) -> PlannerPolicy {
    PlannerPolicy {
        host: format!("h{host}").into(),
        incarnation,
        address: address(host),
        lease_span: Duration::from_secs(9),
        placement: PlacementPolicy::default(),
    }
}
