//! Deterministic simulation of real batch sides with a fake log, fake workers and a faulty network.

#![allow(dead_code, reason = "each test file uses a part of it")]

mod drive;
pub(crate) mod log;
pub(crate) mod worker;

use hornbeamlead_core::clock::{MonoTime, WallTime};
use hornbeamlead_core::effect::AppendRecord;
use hornbeamlead_core::event::AgentEvent;
use hornbeamlead_core::ids::*;
use hornbeamlead_core::note::*;
use hornbeamlead_core::notes_replica::NotesReplica;
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

/// Location of a host.
#[derive(Clone, Debug)]
pub(crate) struct HostSpec {
    pub(crate) cell: u32,
    pub(crate) data_centre: &'static str,
    pub(crate) rack: String,
}

/// One host with its agent and worker.
pub(crate) struct FakeHost {
    pub(crate) spec: HostSpec,
    pub(crate) worker: Option<FakeWorker>,
    pub(crate) machine: Option<ScheduleMachine>,
    pub(crate) replica: NotesReplica,
    pub(crate) paused_until: u64,
    pub(crate) log_unreachable: bool,
    /// Whether answers of the log and of the worker are lost before the agent sees them.
    pub(crate) answers_lost: bool,
    pub(crate) partition: u8,
    incarnation: u64,
    clock_offset: u64,
    wake: Option<u64>,
}

enum SimEvent {
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

/// Simulated cluster of hosts of one or several cells.
pub(crate) struct SimCluster {
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
    drained_since: BTreeMap<&'static str, u64>,
    attempts_run: BTreeSet<AttemptId>,
    queue: BTreeMap<(u64, u64), SimEvent>,
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

/// Returns `count` hosts in each data centre, two per rack, with one cell per data centre.
pub(crate) fn host_specs(centres: &[&'static str], count: usize) -> Vec<HostSpec> {
    let mut host_specs = Vec::new();
    for (cell, data_centre) in centres.iter().enumerate() {
        host_specs.extend((0..count).map(|index| HostSpec {
            cell: cell as u32 + 1,
            data_centre,
            rack: format!("{data_centre}-r{}", index / 2),
        }));
    }
    host_specs
}

impl SimCluster {
    /// Creates a cluster with all data centres in service and a team with a large quota.
    pub(crate) fn new(seed: u64, host_specs: &[HostSpec], policy: SchedulePolicy) -> Self {
        let mut cluster = Self {
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
            drained_since: BTreeMap::new(),
            attempts_run: BTreeSet::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            random: SmallRng::seed_from_u64(seed),
        };
        let centres: BTreeSet<_> = host_specs.iter().map(|spec| spec.data_centre).collect();
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
        cluster.log.publish(note);
        for spec in host_specs {
            cluster.add_host(spec.clone());
        }
        cluster
    }

    fn add_host(&mut self, spec: HostSpec) {
        let index = self.hosts.len();
        let clock_offset = self.random.random_range(0..1_000 * SECOND);
        self.hosts.push(FakeHost {
            spec,
            worker: Some(FakeWorker {
                capacity: size(4000, 8192),
                ..FakeWorker::default()
            }),
            machine: None,
            replica: NotesReplica::default(),
            paused_until: 0,
            log_unreachable: false,
            answers_lost: false,
            partition: 0,
            incarnation: 0,
            clock_offset,
            wake: None,
        });
        self.start_agent(index);
        self.schedule_event(MILLI, SimEvent::Announce(index));
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

    /// Starts a new agent process on a host.
    pub(crate) fn start_agent(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        host.incarnation += 1;
        let address = Self::address(index);
        let identity = ProcessIdentity {
            host: Self::host_name(index),
            incarnation: Incarnation(host.incarnation),
            data_centre: name(host.spec.data_centre),
            rack: name(&host.spec.rack),
            link_address: address,
            control_address: address,
            operator_address: address,
            seed: index as u64,
        };
        let policy = AgentPolicy {
            cell: CellId(host.spec.cell),
            entries: Vec::new(),
            seeds: Vec::new(),
            worker: None,
            batch_capacity: size(4000, 8192),
            gate: GatePolicy::default(),
            schedule: self.policy.clone(),
        };
        host.machine = Some(ScheduleMachine::new(identity, policy));
        host.replica = NotesReplica::default();
        host.wake = None;
        host.paused_until = 0;
        let incarnation = host.incarnation;
        self.schedule_event(
            0,
            SimEvent::Agent(index, incarnation, AgentEvent::TimerFired),
        );
    }

    /// Kills the agent process; the worker keeps running.
    pub(crate) fn kill_agent(&mut self, index: usize) {
        self.hosts[index].machine = None;
    }

    /// Removes the agent and the worker of a host.
    pub(crate) fn lose_host(&mut self, index: usize) {
        self.kill_agent(index);
        self.hosts[index].worker = None;
    }

    /// Restarts the missing processes of a host; a new worker has no tasks.
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

    /// Publishes a note that drains a data centre or returns it to service.
    pub(crate) fn set_service(&mut self, id: &str, data_centre: &'static str, in_service: bool) {
        let mut note = empty_note(id);
        note.changed.data_centres = vec![DataCentreSpec {
            name: name(data_centre),
            in_service,
        }];
        self.log.publish(note);
        match in_service {
            true => drop(self.drained_since.remove(data_centre)),
            false => drop(self.drained_since.entry(data_centre).or_insert(self.now)),
        }
    }

    /// Returns the index of the host that holds the claim in force of a cell.
    pub(crate) fn planner(&self, cell: u32) -> Option<usize> {
        let state = self.cells.get(&cell)?.state();
        let host = state.claim()?.host.clone();
        (0..self.hosts.len()).find(|index| Self::host_name(*index) == host)
    }

    /// Runs the simulation for a span.
    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now + u64::try_from(span.as_micros()).expect("short");
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), sim_event) = entry.remove_entry();
            self.now = self.now.max(at);
            self.step(sim_event);
        }
        self.now = end;
        self.check_workers();
    }

    /// Runs until `done` holds, for at most `timeout`; returns whether it was reached.
    pub(crate) fn run_until(&mut self, timeout: Duration, done: impl Fn(&Self) -> bool) -> bool {
        let step = Duration::from_millis(250);
        let mut spent = Duration::ZERO;
        while spent < timeout {
            if done(self) {
                return true;
            }
            self.run(step);
            spent += step;
        }
        done(self)
    }

    /// Returns how many tasks of a job ended in a phase, according to the jobs stream.
    pub(crate) fn ended(&self, job: &str, phase: TaskPhase) -> usize {
        let ledgers = self.jobs.state().jobs().get(&name(job));
        let ended = ledgers.into_iter().flat_map(BTreeMap::values);
        ended
            .filter_map(|ledger| ledger.ended.as_ref())
            .filter(|task| task.phase == phase)
            .count()
    }

    /// Returns how many tasks of a job ended, according to the jobs stream.
    pub(crate) fn all_ended(&self, job: &str) -> usize {
        let ledgers = self.jobs.state().jobs().get(&name(job));
        let ended = ledgers.into_iter().flat_map(BTreeMap::values);
        ended.filter(|ledger| ledger.ended.is_some()).count()
    }

    /// Returns the number of running attempts.
    pub(crate) fn running(&self) -> usize {
        let workers = self.hosts.iter().filter_map(|host| host.worker.as_ref());
        workers.map(|worker| worker.running().count()).sum()
    }

    /// Returns the number of running attempts in a data centre.
    pub(crate) fn running_in(&self, data_centre: &str) -> usize {
        let hosts = self
            .hosts
            .iter()
            .filter(|host| host.spec.data_centre == data_centre);
        let workers = hosts.filter_map(|host| host.worker.as_ref());
        workers.map(|worker| worker.running().count()).sum()
    }

    /// Checks that no task runs twice and that no start exceeded a worker's capacity.
    pub(crate) fn check_workers(&mut self) {
        let mut places: BTreeMap<TaskId, AttemptId> = BTreeMap::new();
        let mut found = Vec::new();
        for index in 0..self.hosts.len() {
            let now = self.mono(index);
            let Some(worker) = &mut self.hosts[index].worker else {
                continue;
            };
            worker.advance(now);
            if worker.overcommitted > 0 {
                worker.overcommitted = 0;
                found.push(format!(
                    "host-{index:02} was asked to exceed its worker's capacity"
                ));
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
