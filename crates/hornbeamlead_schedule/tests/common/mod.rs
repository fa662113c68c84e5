//! Small deterministic world: real batch sides against a fake log, fake workers and a faulty net.

#![allow(dead_code, reason = "each test file uses a part of it")]

mod drive;
pub(crate) mod log;
pub(crate) mod worker;

use hornbeamlead_core::clock::{MonoTime, WallTime};
use hornbeamlead_core::effect::AppendRecord;
use hornbeamlead_core::event::AgentEvent;
use hornbeamlead_core::ids::*;
use hornbeamlead_core::note::*;
use hornbeamlead_core::notes_keeper::NotesReplica;
use hornbeamlead_core::policy::*;
use hornbeamlead_core::record::StreamName;
use hornbeamlead_core::resource::*;
use hornbeamlead_core::task::{TaskPhase, WorkerCall};
use hornbeamlead_schedule::cell_log::CellState;
use hornbeamlead_schedule::job_log::JobState;
use hornbeamlead_schedule::machine::ScheduleMachine;
use hornbeamlead_schedule::stream::StreamReader;
use log::FakeLog;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use worker::FakeWorker;

pub(crate) const SECOND: u64 = 1_000_000;
const MILLI: u64 = 1_000;

/// Where a host stands and what it has.
#[derive(Clone, Debug)]
pub(crate) struct HostPlan {
    pub(crate) cell: u32,
    pub(crate) data_centre: &'static str,
    pub(crate) rack: String,
}

/// One host with its agent and worker.
pub(crate) struct FakeHost {
    pub(crate) plan: HostPlan,
    pub(crate) worker: Option<FakeWorker>,
    pub(crate) machine: Option<ScheduleMachine>,
    pub(crate) keeper: NotesReplica,
    pub(crate) paused_until: u64,
    pub(crate) cut_from_log: bool,
    pub(crate) side: u8,
    life: u64,
    clock_offset: u64,
    wake: Option<u64>,
}

enum Item {
    Agent(usize, u64, AgentEvent),
    Wake(usize, u64, u64),
    Announce(usize),
    Call(usize, u64, WorkerCall),
    Read(usize, u64, StreamName, LogOffset, MonoTime),
    Append(usize, u64, StreamName, AppendRecord, bool),
}

/// Rates of faults, in percent.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FaultRates {
    pub(crate) drop: u32,
    pub(crate) duplicate: u32,
    pub(crate) delay: u32,
    pub(crate) lost_append: u32,
    pub(crate) late_append: u32,
    pub(crate) lost_call: u32,
}

/// The world.
pub(crate) struct World {
    pub(crate) now: u64,
    pub(crate) hosts: Vec<FakeHost>,
    pub(crate) log: FakeLog,
    pub(crate) rates: FaultRates,
    pub(crate) log_down: bool,
    pub(crate) notes_blocked: bool,
    pub(crate) append_ms: u64,
    pub(crate) violations: Vec<String>,
    pub(crate) started: BTreeMap<TaskId, u32>,
    pub(crate) start_times: BTreeMap<AttemptId, u64>,
    pub(crate) decisions: BTreeMap<&'static str, u32>,
    pub(crate) trace: Vec<String>,
    pub(crate) policy: SchedulePolicy,
    pub(crate) jobs: StreamReader<JobState>,
    pub(crate) cells: BTreeMap<u32, StreamReader<CellState>>,
    out_since: BTreeMap<&'static str, u64>,
    attempts_run: BTreeSet<AttemptId>,
    queue: BTreeMap<(u64, u64), Item>,
    sequence: u64,
    random: SmallRng,
}

pub(crate) fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("valid name")
}

pub(crate) fn size(cpu: u32, memory: u32) -> ResourceSize {
    ResourceSize {
        cpu: CpuMillis(cpu),
        memory: MemoryMebibytes(memory),
        accelerators: AcceleratorCount(0),
    }
}

pub(crate) fn job(text: &str, tasks: u32, run: Duration) -> JobSpec {
    JobSpec {
        name: name(text),
        team: name("coopers"),
        kind: name("seasoning"),
        tasks,
        size: size(1000, 512),
        run_time: run,
        deadline: WallTime(600_000),
        priority: 1,
        urgent: false,
        delivery: DeliveryMode::Resumable,
        checkpoint_every: Duration::from_secs(1),
        data_centres: Vec::new(),
    }
}

/// Hosts of some data centres, `count` each, two to a rack; one cell a data centre.
pub(crate) fn plans(centres: &[&'static str], count: usize) -> Vec<HostPlan> {
    let mut plans = Vec::new();
    for (cell, data_centre) in centres.iter().enumerate() {
        plans.extend((0..count).map(|index| HostPlan {
            cell: cell as u32 + 1,
            data_centre,
            rack: format!("{data_centre}-r{}", index / 2),
        }));
    }
    plans
}

impl World {
    /// Makes a world with all data centres in service and a team without a tight quota.
    pub(crate) fn new(seed: u64, plans: &[HostPlan], policy: SchedulePolicy) -> Self {
        let mut world = Self {
            now: SECOND,
            hosts: Vec::new(),
            log: FakeLog::default(),
            rates: FaultRates::default(),
            log_down: false,
            notes_blocked: false,
            append_ms: 5,
            violations: Vec::new(),
            started: BTreeMap::new(),
            start_times: BTreeMap::new(),
            decisions: BTreeMap::new(),
            trace: Vec::new(),
            policy,
            jobs: StreamReader::default(),
            cells: BTreeMap::new(),
            out_since: BTreeMap::new(),
            attempts_run: BTreeSet::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            random: SmallRng::seed_from_u64(seed),
        };
        let centres: BTreeSet<_> = plans.iter().map(|plan| plan.data_centre).collect();
        let mut note = empty_note("first");
        note.added.data_centres = centres
            .iter()
            .map(|text| DataCentreSpec {
                name: name(text),
                in_service: true,
            })
            .collect();
        note.added.teams = vec![TeamSpec {
            name: name("coopers"),
            quota: size(1_000_000, 1_000_000),
        }];
        world.log.publish(note);
        for plan in plans {
            world.add_host(plan.clone());
        }
        world
    }

    fn add_host(&mut self, plan: HostPlan) {
        let index = self.hosts.len();
        let clock_offset = self.random.random_range(0..1_000 * SECOND);
        self.hosts.push(FakeHost {
            plan,
            worker: Some(FakeWorker {
                capacity: size(4000, 8192),
                ..FakeWorker::default()
            }),
            machine: None,
            keeper: NotesReplica::default(),
            paused_until: 0,
            cut_from_log: false,
            side: 0,
            life: 0,
            clock_offset,
            wake: None,
        });
        self.start_agent(index);
        self.push_in(MILLI, Item::Announce(index));
    }

    pub(crate) fn host_name(index: usize) -> HostId {
        name(&format!("host-{index:02}"))
    }

    fn address(index: usize) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], 10_000 + index as u16))
    }

    fn host_at(address: SocketAddr) -> usize {
        usize::from(address.port()) - 10_000
    }

    /// Starts the agent process of a host afresh.
    pub(crate) fn start_agent(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        host.life += 1;
        let address = Self::address(index);
        let place = ProcessIdentity {
            host: Self::host_name(index),
            incarnation: Incarnation(host.life),
            data_centre: name(host.plan.data_centre),
            rack: name(&host.plan.rack),
            link_address: address,
            control_address: address,
            operator_address: address,
            seed: index as u64,
        };
        let policy = AgentPolicy {
            cell: CellId(host.plan.cell),
            entries: Vec::new(),
            seeds: Vec::new(),
            batch_capacity: size(4000, 8192),
            gate: GatePolicy::default(),
            schedule: self.policy.clone(),
        };
        host.machine = Some(ScheduleMachine::new(place, policy));
        host.keeper = NotesReplica::default();
        host.wake = None;
        host.paused_until = 0;
        let life = host.life;
        self.push_in(0, Item::Agent(index, life, AgentEvent::TimerFired));
    }

    /// Kills the agent process; the worker goes on.
    pub(crate) fn kill_agent(&mut self, index: usize) {
        self.hosts[index].machine = None;
    }

    /// Loses the whole host.
    pub(crate) fn lose_host(&mut self, index: usize) {
        self.kill_agent(index);
        self.hosts[index].worker = None;
    }

    /// Brings a lost host back, empty.
    pub(crate) fn return_host(&mut self, index: usize) {
        self.hosts[index].worker.get_or_insert(FakeWorker {
            capacity: size(4000, 8192),
            ..FakeWorker::default()
        });
        if self.hosts[index].machine.is_none() {
            self.start_agent(index);
        }
    }

    /// Publishes a note that adds jobs.
    pub(crate) fn add_jobs(&mut self, id: &str, jobs: Vec<JobSpec>) {
        let mut note = empty_note(id);
        note.added.jobs = jobs;
        self.log.publish(note);
    }

    /// Publishes a note that withdraws jobs.
    pub(crate) fn withdraw(&mut self, id: &str, jobs: &[&str]) {
        let mut note = empty_note(id);
        note.withdrawn.jobs = jobs.iter().map(|text| name(text)).collect();
        self.log.publish(note);
    }

    /// Publishes a note that takes a data centre out or back in.
    pub(crate) fn set_service(&mut self, id: &str, data_centre: &'static str, in_service: bool) {
        let mut note = empty_note(id);
        note.changed.data_centres = vec![DataCentreSpec {
            name: name(data_centre),
            in_service,
        }];
        self.log.publish(note);
        match in_service {
            true => drop(self.out_since.remove(data_centre)),
            false => drop(self.out_since.entry(data_centre).or_insert(self.now)),
        }
    }

    /// Returns the index of the host whose agent plans a cell by its own word.
    pub(crate) fn planner(&self, cell: u32) -> Option<usize> {
        let state = self.cells.get(&cell)?.state();
        let host = state.claim()?.host.clone();
        (0..self.hosts.len()).find(|index| Self::host_name(*index) == host)
    }

    /// Runs for a span.
    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now + u64::try_from(span.as_micros()).expect("short");
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), item) = entry.remove_entry();
            self.now = self.now.max(at);
            self.step(item);
        }
        self.now = end;
        self.check_workers();
    }

    /// Runs until `done`, at most for a span; returns whether it was reached.
    pub(crate) fn run_until(&mut self, most: Duration, done: impl Fn(&Self) -> bool) -> bool {
        let step = Duration::from_millis(250);
        let mut spent = Duration::ZERO;
        while spent < most {
            if done(self) {
                return true;
            }
            self.run(step);
            spent += step;
        }
        done(self)
    }

    /// Returns how many tasks of a job ended in a phase, by the jobs stream.
    pub(crate) fn ended(&self, job: &str, phase: TaskPhase) -> usize {
        let ledgers = self.jobs.state().jobs().get(&name(job));
        let ended = ledgers.into_iter().flat_map(BTreeMap::values);
        ended
            .filter_map(|ledger| ledger.ended.as_ref())
            .filter(|task| task.phase == phase)
            .count()
    }

    /// Returns how many tasks of a job ended, by the jobs stream.
    pub(crate) fn all_ended(&self, job: &str) -> usize {
        let ledgers = self.jobs.state().jobs().get(&name(job));
        let ended = ledgers.into_iter().flat_map(BTreeMap::values);
        ended.filter(|ledger| ledger.ended.is_some()).count()
    }

    /// Returns how many attempts run.
    pub(crate) fn running(&self) -> usize {
        let workers = self.hosts.iter().filter_map(|host| host.worker.as_ref());
        workers.map(|worker| worker.running().count()).sum()
    }

    /// Returns how many attempts run in a data centre.
    pub(crate) fn running_in(&self, data_centre: &str) -> usize {
        let hosts = self
            .hosts
            .iter()
            .filter(|host| host.plan.data_centre == data_centre);
        let workers = hosts.filter_map(|host| host.worker.as_ref());
        workers.map(|worker| worker.running().count()).sum()
    }

    /// Checks that no task runs twice and that no worker is overfilled.
    pub(crate) fn check_workers(&mut self) {
        let mut places: BTreeMap<TaskId, AttemptId> = BTreeMap::new();
        let mut found = Vec::new();
        for index in 0..self.hosts.len() {
            let now = self.mono(index);
            let Some(worker) = &mut self.hosts[index].worker else {
                continue;
            };
            worker.advance(now);
            if worker.overfilled > 0 {
                worker.overfilled = 0;
                found.push(format!("host-{index:02} was asked to overfill its worker"));
            }
            for task in worker.running() {
                let attempt = task.order.attempt.clone();
                if let Some(other) = places.insert(attempt.task.clone(), attempt.clone()) {
                    found.push(format!("{attempt} runs beside {other}"));
                }
            }
        }
        for text in found {
            self.violations.push(format!("{} {text}", self.now / MILLI));
        }
    }
}

pub(crate) fn empty_note(id: &str) -> ReleaseNote {
    ReleaseNote {
        id: name(id),
        based_on: None,
        author: "tester".into(),
        added: NoteItems::default(),
        changed: NoteItems::default(),
        withdrawn: NoteNames::default(),
    }
}
