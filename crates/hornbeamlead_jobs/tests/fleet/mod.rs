//! Planner with hosts whose workers do what they are ordered to, which measures the processor time of
//! each step of the planner.

#![allow(dead_code, reason = "each test file uses some of the items")]

use crate::world::World;
use crate::world::lone::LonePlanner;
use hornbeamlead_core::clock::MonoTime;
use hornbeamlead_jobs::effect::LinkId;
use hornbeamlead_jobs::ids::{JobId, RunName, WorkerIncarnation};
use hornbeamlead_jobs::job::{JobBody, JobRecord, QueueTerms, RunEnd};
use hornbeamlead_jobs::message::{AgentMessage, AgentStamp, HostReport, PlannerMessage};
use hornbeamlead_jobs::planner::PlannerEvent;
use hornbeamlead_jobs::record::encode;
use hornbeamlead_jobs::store::{AppendCondition, NewRecord, StreamName};
use hornbeamlead_jobs::worker::{EndedRow, RunningRow, WorkerFacts};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Processor capacity of a worker, in thousandths of a core.
pub(crate) const HOST_CPU: u32 = 16_000;

/// Interval between two reports of a host, in milliseconds.
const REPORT_MS: u64 = 200;

/// Step of the clock, in milliseconds.
const STEP_MS: u64 = 10;

/// Host with its worker.
struct FleetHost {
    number: u8,
    born: u64,
    running: BTreeMap<RunName, u64>,
    ended: Vec<EndedRow>,
    last_end: u64,
    orders_seen: u64,
}

impl FleetHost {
    fn incarnation(&self) -> WorkerIncarnation {
        WorkerIncarnation {
            id: format!("w-{}", self.number).into(),
            born: self.born,
        }
    }

    fn link(&self) -> LinkId {
        LinkId(self.number.into())
    }

    fn take(&mut self, now_ms: u64, task_ms: u64, message: PlannerMessage) {
        match message {
            PlannerMessage::Start { number, order } => {
                self.orders_seen = number;
                self.running.insert(order.run, now_ms + task_ms);
            }
            PlannerMessage::Stop { number, run, .. } => {
                self.orders_seen = number;
                if self.running.remove(&run).is_some() {
                    self.end(run, RunEnd::Stopped);
                }
            }
            PlannerMessage::Acknowledge { through, .. } => {
                self.ended.retain(|row| row.number > through);
            }
            _ => {}
        }
    }

    fn end(&mut self, run: RunName, end: RunEnd) {
        self.last_end += 1;
        self.ended.push(EndedRow {
            number: self.last_end,
            run,
            end,
            saved: Some(checkpoint(run)),
        });
    }

    fn end_due(&mut self, now_ms: u64) {
        let due = self.running.extract_if(.., |_, end_ms| *end_ms <= now_ms);
        let due: Vec<_> = due.collect();
        for (run, _) in due {
            self.end(run, RunEnd::Done);
        }
    }

    fn report(&self, now_ms: u64) -> HostReport {
        let row = |run: &RunName| RunningRow {
            run: *run,
            saved: Some(checkpoint(*run)),
            percent: 100,
            reading: 0,
        };
        HostReport {
            stamp: AgentStamp(now_ms * 1000),
            orders_seen: self.orders_seen,
            worker: Some(WorkerFacts {
                incarnation: self.incarnation(),
                service: "s".into(),
                data_centre: "d".into(),
                cpu: HOST_CPU,
                memory: 64_000,
                ..WorkerFacts::default()
            }),
            listed: true,
            running: self.running.keys().map(row).collect(),
            ended: self.ended.clone(),
            ..HostReport::default()
        }
    }
}

/// Planner and its hosts.
pub(crate) struct Fleet {
    pub(crate) planner: LonePlanner,
    hosts: Vec<FleetHost>,
    /// Run time of the tasks, in milliseconds.
    pub(crate) task_ms: u64,
    /// Attempts that have been ordered, and when, in milliseconds.
    pub(crate) starts: Vec<(u64, RunName)>,
    /// Checkpoint that each of them resumes from.
    pub(crate) checkpoints: Vec<Option<Box<str>>>,
}

/// Returns the checkpoint that an attempt saves.
fn checkpoint(run: RunName) -> Box<str> {
    format!("{run}").into()
}

impl Fleet {
    /// Creates a fleet whose hosts connect at once.
    pub(crate) fn new(planner: LonePlanner, hosts: u8, task_ms: u64) -> Self {
        let host = |number| FleetHost {
            number,
            born: 1,
            running: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            orders_seen: 0,
        };
        let mut fleet = Self {
            planner,
            hosts: (1..=hosts).map(host).collect(),
            task_ms,
            starts: Vec::new(),
            checkpoints: Vec::new(),
        };
        fleet.connect();
        fleet
    }

    /// Replaces the planner by one that recovers from its store.
    pub(crate) fn replace_planner(&mut self, epoch: u64) {
        let store = std::mem::take(&mut self.planner.store);
        self.planner = LonePlanner::with_epoch(store, self.planner.now_ms, epoch);
        for host in &mut self.hosts {
            host.orders_seen = 0;
        }
        self.connect();
    }

    fn connect(&mut self) {
        for host in &self.hosts {
            let message = AgentMessage::Hello {
                host: format!("h{}", host.number).into(),
                address: SocketAddr::from(([10, 0, 1, host.number], 7000)),
                epoch: Default::default(),
            };
            let link = host.link();
            self.planner.handle(PlannerEvent::Agent { link, message });
        }
    }

    /// Stores a job as an entry does.
    pub(crate) fn submit(&mut self, job: JobId, body: JobBody) {
        let now_ms = self.planner.now_ms;
        store_job(&mut self.planner, now_ms, job, body);
    }

    /// Advances the clock.
    pub(crate) fn run(&mut self, span_ms: u64) {
        let end_ms = self.planner.now_ms + span_ms;
        while self.planner.now_ms < end_ms {
            self.planner.run(STEP_MS);
            let now_ms = self.planner.now_ms;
            for (link, message) in std::mem::take(&mut self.planner.sent) {
                if let PlannerMessage::Start { order, .. } = &message {
                    self.starts.push((now_ms, order.run));
                    self.checkpoints.push(order.saved.clone());
                }
                let host = self.hosts.iter_mut().find(|host| host.link() == link);
                if let Some(host) = host {
                    host.take(now_ms, self.task_ms, message);
                }
            }
            for host in &mut self.hosts {
                host.end_due(now_ms);
                if now_ms.is_multiple_of(REPORT_MS) || !host.ended.is_empty() {
                    let (link, report) = (host.link(), Box::new(host.report(now_ms)));
                    let message = AgentMessage::Report(report);
                    self.planner.handle(PlannerEvent::Agent { link, message });
                }
            }
        }
    }

    /// Has the worker of a host start again, which ends the other members of its gangs.
    pub(crate) fn crash_worker(&mut self, index: usize) {
        let lost = std::mem::take(&mut self.hosts[index].running);
        self.hosts[index].born += 1;
        self.hosts[index].last_end = 0;
        self.hosts[index].ended.clear();
        let gangs: BTreeSet<_> = lost.keys().map(|run| (run.task.step, run.run)).collect();
        for host in &mut self.hosts {
            let is_broken = |run: &RunName| gangs.contains(&(run.task.step, run.run));
            let broken = host.running.extract_if(.., |run, _| is_broken(run));
            let broken: Vec<_> = broken.map(|(run, _)| run).collect();
            for run in broken {
                host.end(run, RunEnd::Broken);
            }
        }
    }

    /// Returns the number of tasks that run.
    pub(crate) fn running(&self) -> usize {
        self.hosts.iter().map(|host| host.running.len()).sum()
    }

    /// Returns when the first attempt of a job was ordered, in milliseconds.
    pub(crate) fn first_start(&self, job: JobId) -> Option<u64> {
        let mut starts = self.starts.iter();
        let first = starts.find(|(_, run)| run.task.step.job == job);
        first.map(|(at_ms, _)| *at_ms)
    }

    /// Returns the reading of the planner's clock.
    pub(crate) fn now(&self) -> MonoTime {
        MonoTime(self.planner.now_ms * 1000)
    }
}

/// Stores a job in the store of a planner.
pub(crate) fn store_job(planner: &mut LonePlanner, now_ms: u64, job: JobId, body: JobBody) {
    let record = JobRecord {
        terms: QueueTerms {
            queue: "h/q/".into(),
            service: "s".into(),
            priority: 0,
            max_attempts: 3,
            target_factor: 2.0,
            target_latency_ms: 1000,
        },
        accepted_ms: World::wall_ms(now_ms),
        body,
    };
    let record = NewRecord {
        key: Some(format!("job/{job}").into()),
        value: Some(encode(&record)),
    };
    let condition = AppendCondition::Always;
    planner
        .store
        .append(now_ms, StreamName::Jobs, &[record], condition);
}
