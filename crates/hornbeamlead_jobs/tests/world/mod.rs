//! Emulated platform in virtual time: the store, workers, links and processes, with random faults.

#![allow(dead_code, reason = "each test file uses some of the items")]

mod callers;
mod calls;
mod faults;
mod lives;
pub(crate) mod lone;
mod patterns;
mod processes;
pub(crate) mod troubles;
mod watch;

use hornbeamlead_core::clock::{ClockReading, MonoTime, WallTime};
use hornbeamlead_core::policy::ServiceOrder;
use hornbeamlead_emulator::deadly::CRASH_DOWN_MS;
use hornbeamlead_emulator::judge::JobJudge;
use hornbeamlead_emulator::rooms::WorkerRoom;
use hornbeamlead_emulator::store::EmulatedStore;
use hornbeamlead_emulator::worker::{EmulatedRun, EmulatedWorker, RunEvent};
use hornbeamlead_jobs::config::{ConfigChange, FleetConfig, QueueRoute};
use hornbeamlead_jobs::effect::{CallerReply, Effect, LinkId};
use hornbeamlead_jobs::entry::{CallerOperation, CallerRequest, EntryEvent, EntryMachine};
use hornbeamlead_jobs::ids::{JobId, PlannerEpoch, RunName, TaskName, TaskSlot};
use hornbeamlead_jobs::job::{JobBody, JobPhase, QueueTerms, RunEnd, StepSpec};
use hornbeamlead_jobs::locator::{
    LocatorEvent, LocatorPolicy, PLANNER_KEY, PlannerAddress, PlannerElection, PlannerLocator,
};
use hornbeamlead_jobs::message::{AgentMessage, PlannerMessage};
use hornbeamlead_jobs::operators::OperatorFormat;
use hornbeamlead_jobs::planner::{PlacementPolicy, PlannerEvent, PlannerMachine, PlannerPolicy};
use hornbeamlead_jobs::record::{PlanRecord, PlannerClaim, encode};
use hornbeamlead_jobs::relay::{RelayRoute, StoreRoute};
use hornbeamlead_jobs::store::{
    AppendCondition, NewRecord, StoreCall, StoreCaller, StoreOperation, StoreOutcome, StreamName,
};
use hornbeamlead_jobs::supervisor::{
    ExpectedWorker, SupervisorEvent, SupervisorMachine, SupervisorPolicy, ThrottlePolicy,
};
use hornbeamlead_jobs::worker::{
    WorkerAnnouncement, WorkerAnswer, WorkerCall, WorkerFacts, WorkerOperation, WorkerReply,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

pub(crate) use faults::WorldFaults;
use patterns::{MAX_ATTEMPTS, planner_policy, world_config};
use watch::RunWatch;

/// Step of the virtual clock, in milliseconds.
const STEP_MS: u64 = 5;

/// Usual round trip of a call to the store, in milliseconds.
const STORE_MS: u64 = 10;

/// Capacity of a worker until a test changes it.
const WORKER_ROOM: WorkerRoom = WorkerRoom {
    cpu: 8000,
    memory: 16_000,
};

/// First reading of the virtual clock, in milliseconds; not 0, so that no reading is 0.
const START_MS: u64 = 10_000;

/// Decoder of the operators' records; the value of a configuration is the number of attempts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorldFormat;

impl OperatorFormat for WorldFormat {
    fn decode(&self, key: &str, value: Option<&[u8]>) -> ConfigChange {
        match (key.strip_prefix("evacuate/"), value) {
            (Some(data_centre), Some(_)) => ConfigChange::Evacuate(data_centre.into()),
            (Some(data_centre), None) => ConfigChange::Return(data_centre.into()),
            (None, value) => ConfigChange::Config(world_config(value)),
        }
    }
}

/// Agent process of a host.
struct WorldAgent {
    supervisor: SupervisorMachine,
    locator: PlannerLocator,
    planner: Option<PlannerMachine<WorldFormat>>,
    incarnation: u64,
}

/// Host with its worker and its agent process.
struct WorldHost {
    agent: Option<WorldAgent>,
    restart_at: u64,
    frozen_until: u64,
    partitioned_until: u64,
    store_down_until: u64,
    store_silent_until: u64,
    route: RelayRoute,
    worker: EmulatedWorker,
    worker_back_at: u64,
    /// Whether the next life of the worker gets the id of this one.
    keeps_id: bool,
    /// Time before which the next life does not announce itself.
    silent_until: u64,
    /// Reading of the virtual clock at which the worker's clock began, and its first reading.
    clock_origin: (u64, u64),
    worker_hangs_until: u64,
    worker_fails_until: u64,
    crash_at: VecDeque<u64>,
    announce_at: u64,
    draining: bool,
    sequence: u64,
    room: WorkerRoom,
}

/// Event that is due at a certain time.
enum WorldEvent {
    Stored(usize, u64, StoreCaller, StoreOutcome),
    EntryStored(StoreCaller, StoreOutcome),
    WorkerReplied(usize, u64, WorkerCall, WorkerAnswer),
    LateOrder(usize, WorkerCall),
    LateAppend(StreamName, Vec<NewRecord>, AppendCondition),
    Partition(usize, u64),
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

/// Emulated platform.
pub(crate) struct World {
    now: u64,
    random: SmallRng,
    faults: WorldFaults,
    faults_until: u64,
    store: EmulatedStore,
    reads: Vec<PendingRead>,
    holds: Vec<PendingHold>,
    hosts: Vec<WorldHost>,
    entry: EntryMachine<WorldFormat>,
    events: BTreeMap<(u64, u64), WorldEvent>,
    last_event: u64,
    /// Links as the opening host, its link id, the other host, and the link id there.
    links: Vec<(usize, LinkId, usize, LinkId)>,
    last_incoming: u64,
    shared_epochs: bool,
    refused_stream: Option<StreamName>,
    replies: BTreeMap<u64, CallerReply>,
    last_ticket: u64,
    cancels: VecDeque<(u64, JobId)>,
    cancel_tickets: BTreeMap<u64, JobId>,
    submit_tickets: BTreeMap<u64, JobId>,
    /// Whether processes may call the store through one another.
    pub(crate) relays: bool,
    /// Round trip of a call to the store, in milliseconds.
    pub(crate) store_ms: u64,
    /// Fraction of their processor demand that best-effort tasks get.
    pub(crate) best_effort_rate: f64,
    /// Host whose best-effort tasks get a fifth of their processor demand.
    pub(crate) slow_host: Option<usize>,
    /// Order in which planners that are elected from now on serve jobs.
    pub(crate) order: ServiceOrder,
    /// Run time of best-effort tasks in milliseconds; random if absent.
    pub(crate) best_effort_ms: Option<u64>,
    /// Run time of ordinary tasks in milliseconds; random if absent.
    pub(crate) task_ms: Option<u64>,
    /// Task of each step whose first attempt takes seven times as long.
    pub(crate) straggler: Option<u32>,
    /// Host on which ordinary tasks take three times as long.
    pub(crate) slow_tasks_on: Option<usize>,
    /// Host on which all attempts fail, and time in milliseconds after which they do.
    pub(crate) failing_host: Option<(usize, u64)>,
    /// Host on which no attempt makes progress.
    pub(crate) hung_host: Option<usize>,
    /// Whether workers that tasks crash leave calls without an answer instead of refusing connections.
    pub(crate) dark_crashes: bool,
    /// Whether stragglers get copies, in planners from now on.
    pub(crate) copies: bool,
    /// Rate of the workers' clocks in percent of true time.
    pub(crate) worker_clock_percent: u64,
    watch: Option<RunWatch>,
    /// Jobs that were accepted.
    pub(crate) accepted: Vec<JobId>,
    /// Judge that checks the starts and ends of attempts and collects violations.
    pub(crate) judge: JobJudge,
}

fn address(host: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host as u8 + 1], 7000))
}

impl World {
    /// Creates a platform in which random faults occur for the first `faults_ms` milliseconds.
    pub(crate) fn new(seed: u64, hosts: usize, faults: WorldFaults, faults_ms: u64) -> Self {
        let host = |index: usize| WorldHost {
            agent: None,
            restart_at: START_MS,
            frozen_until: 0,
            partitioned_until: 0,
            store_down_until: 0,
            store_silent_until: 0,
            route: RelayRoute::default(),
            worker: EmulatedWorker::new(&format!("w-{index}"), START_MS),
            worker_back_at: 0,
            keeps_id: false,
            silent_until: 0,
            clock_origin: (START_MS, START_MS),
            worker_hangs_until: 0,
            worker_fails_until: 0,
            crash_at: VecDeque::new(),
            announce_at: START_MS,
            draining: false,
            sequence: 0,
            room: WORKER_ROOM,
        };
        let mut store = EmulatedStore::default();
        let config = NewRecord {
            key: Some("config".into()),
            value: Some(MAX_ATTEMPTS.to_string().into()),
        };
        store.append(
            START_MS,
            StreamName::Operators,
            &[config],
            AppendCondition::Always,
        );
        let mut judge = JobJudge::default();
        (0..hosts).for_each(|host| judge.rooms.set(START_MS, host, WORKER_ROOM));
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
            refused_stream: None,
            replies: BTreeMap::new(),
            last_ticket: 0,
            cancels: VecDeque::new(),
            cancel_tickets: BTreeMap::new(),
            submit_tickets: BTreeMap::new(),
            relays: false,
            store_ms: STORE_MS,
            best_effort_rate: 1.0,
            slow_host: None,
            order: ServiceOrder::default(),
            best_effort_ms: None,
            task_ms: None,
            straggler: None,
            slow_tasks_on: None,
            failing_host: None,
            hung_host: None,
            dark_crashes: false,
            copies: true,
            worker_clock_percent: 100,
            watch: None,
            accepted: Vec::new(),
            judge,
        }
    }

    /// Returns the reading of the virtual clock in milliseconds.
    pub(crate) fn now(&self) -> u64 {
        self.now
    }

    /// Returns the wall time of a reading of the virtual clock, both in milliseconds.
    pub(crate) fn wall_ms(now: u64) -> u64 {
        1_000_000_000 + now
    }

    /// Returns the reading of a worker's clock in milliseconds.
    fn worker_clock_ms(&self, host: usize) -> u64 {
        let (began_at, first) = self.hosts[host].clock_origin;
        first + (self.now - began_at) * self.worker_clock_percent / 100
    }

    fn clock(&self) -> ClockReading {
        ClockReading {
            mono: MonoTime(self.now * 1000),
            wall: WallTime(Self::wall_ms(self.now)),
        }
    }

    /// Advances the virtual clock and performs everything that is due.
    pub(crate) fn run(&mut self, span_ms: u64) {
        let end = self.now + span_ms;
        while self.now < end {
            self.now += STEP_MS;
            self.store.expire(self.now);
            if self.now < self.faults_until {
                self.inject_faults();
            }
            self.step_flaps();
            self.step_workers();
            self.step_reads();
            self.step_events();
            self.step_hosts();
            self.step_callers();
            self.step_watch();
        }
    }

    /// Returns the host whose process is the active planner.
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

    /// Returns the epoch of the active planner.
    pub(crate) fn planner_epoch(&self) -> Option<PlannerEpoch> {
        let agent = self.hosts[self.planner_host()?].agent.as_ref()?;
        agent.planner.as_ref().map(PlannerMachine::epoch)
    }

    /// Returns the epoch and address of the active planner.
    pub(crate) fn planner_address(&self) -> Option<PlannerAddress> {
        let epoch = self.planner_epoch()?;
        let address = address(self.planner_host()?);
        Some(PlannerAddress { epoch, address })
    }

    /// Stores the address of a planner, as a late append does.
    pub(crate) fn publish_address(&mut self, planner: &PlannerAddress) {
        let record = NewRecord {
            key: Some(PLANNER_KEY.into()),
            value: Some(encode(planner)),
        };
        let (stream, condition) = (StreamName::Planner, AppendCondition::Always);
        self.store.append(self.now, stream, &[record], condition);
    }

    fn step_workers(&mut self) {
        for index in 0..self.hosts.len() {
            let (now, worker_now) = (self.now, self.worker_clock_ms(index));
            let host = &mut self.hosts[index];
            if host.worker.alive {
                host.worker.tick(worker_now);
                self.note_fallen(index);
            } else if now >= host.worker_back_at {
                self.begin_life(index);
            }
            self.observe_run_events(index, false);
        }
        let ready = |pending: &PendingHold, hosts: &[WorldHost], now: u64| {
            let host = &hosts[pending.host];
            let WorkerOperation::Hold { wait_until, .. } = pending.call.operation else {
                return true;
            };
            host.worker.has_unacknowledged_ends()
                || !host.worker.alive
                || wait_until.0 / 1000 <= now
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

    fn observe_run_events(&mut self, host: usize, late: bool) {
        for event in std::mem::take(&mut self.hosts[host].worker.run_events) {
            if let RunEvent::Crashed(run) = &event {
                self.break_gang(*run);
            }
            self.judge.observe(self.now, host, &event, late);
        }
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
            self.handle_event(event);
        }
    }
}
