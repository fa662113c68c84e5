//! Defers jobs while there is too little room for all of them to end on time.
//!
//! Jobs compete for the room of their service; best-effort tasks and all others use different parts
//! of it. What best-effort tasks can get is not known from the workers' capacity, because it
//! depends on the serving tasks beside them, so it is learned from the CPU that they use while more
//! of them wait.

use super::PlannerMachine;
use super::placement::HostLoad;
use super::ready::{DeadlineOutlook, ReadyStep, saturating_signed};
use super::service_order::{JobDemand, select_on_time};
use crate::effect::Effect;
use crate::ids::JobId;
use crate::job::JobRecord;
use crate::ledger::{OccurrenceState, TaskState};
use crate::operators::OperatorFormat;
use hornbeamlead_core::clock::{ClockReading, MonoTime};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Interval between two observations of the CPU that best-effort tasks use; as long as that of the
/// workers' readings.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(500);

/// Least time between two selections, each of which looks at all jobs and hosts.
const SELECT_INTERVAL: Duration = Duration::from_millis(50);

/// Share of the room that best-effort tasks are assumed to get before one was observed.
const FIRST_SHARE: f64 = 0.55;

/// Lowest and highest share that is believed.
const SHARE_RANGE: (f64, f64) = (0.2, 1.0);

/// Weight of a new observation.
const SHARE_WEIGHT: f64 = 0.15;

/// Part of a running task's work that is assumed to be left.
const RUNNING_WORK_LEFT: f64 = 0.5;

/// Shares of CPU that is reserved, and of memory that is in use, from which a service counts as
/// busy. Below one half, a job with nothing running has to be given room.
const BUSY_SHARES: (f64, f64) = (0.6, 0.55);

/// Occurrence of a job.
type OccurrenceName = (JobId, u32);

/// Service and whether the room is that of best-effort tasks.
type RoomName = (Box<str>, bool);

/// What the planner knows about the shortage of room.
#[derive(Debug)]
pub(super) struct OverloadState {
    /// Share of the room beside other tasks that best-effort tasks get, by service.
    best_effort_shares: BTreeMap<Box<str>, f64>,
    /// Services that had no room for some best-effort tasks in the latest pass.
    short_of_room: BTreeSet<Box<str>>,
    observed_at: MonoTime,
    selected_at: MonoTime,
    /// Services that use more than half of their capacity, whatever their best-effort tasks use.
    busy: BTreeSet<Box<str>>,
    /// Work that is left of the occurrences that were not selected or are late already, in
    /// core-milliseconds.
    deferred: BTreeMap<OccurrenceName, f64>,
}

impl Default for OverloadState {
    fn default() -> Self {
        Self {
            best_effort_shares: BTreeMap::new(),
            short_of_room: BTreeSet::new(),
            observed_at: MonoTime(0),
            selected_at: MonoTime(0),
            busy: BTreeSet::new(),
            deferred: BTreeMap::new(),
        }
    }
}

impl OverloadState {
    /// Sets the services that had no room for some best-effort tasks.
    pub(super) fn note_shortage(&mut self, services: BTreeSet<Box<str>>) {
        self.short_of_room = services;
    }

    /// Learns the share of the room that best-effort tasks get while more of them wait.
    fn observe(&mut self, now: MonoTime, rooms: &BTreeMap<Box<str>, ServiceRoom>) {
        if now.since(self.observed_at) < OBSERVE_INTERVAL {
            return;
        }
        self.observed_at = now;
        let short = rooms.iter().filter(|(service, room)| {
            self.short_of_room.contains(*service) && room.best_effort > 0.0
        });
        for (service, room) in short {
            let (least, most) = SHARE_RANGE;
            let observed = (room.best_effort_used / room.best_effort).clamp(least, most);
            let share = self
                .best_effort_shares
                .entry(service.clone())
                .or_insert(FIRST_SHARE);
            *share += SHARE_WEIGHT * (observed - *share);
        }
    }

    fn best_effort_share(&self, service: &str) -> f64 {
        let share = self.best_effort_shares.get(service);
        share.copied().unwrap_or(FIRST_SHARE)
    }
}

/// Capacity of a service, and what its tasks use: CPU in thousandths of a core, memory in
/// mebibytes. Capacity and what is reserved count on all workers, the rest on those that get tasks.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceRoom {
    cpu: f64,
    reserved: f64,
    memory: f64,
    memory_used: f64,
    /// CPU that best-effort tasks could get if serving tasks did not slow down.
    best_effort: f64,
    best_effort_used: f64,
    /// CPU that is not reserved for long-running tasks.
    others: f64,
}

impl ServiceRoom {
    fn is_busy(&self) -> bool {
        let (cpu, memory) = BUSY_SHARES;
        self.reserved > cpu * self.cpu && self.memory_used > memory * self.memory
    }
}

/// Unfinished jobs that compete for the same room.
#[derive(Default)]
struct CompetingJobs {
    names: Vec<OccurrenceName>,
    demands: Vec<JobDemand>,
}

impl<F: OperatorFormat> PlannerMachine<F> {
    /// Ranks the steps of jobs for which there is too little room behind those of the others.
    pub(super) fn defer_by_value(&mut self, now: ClockReading, steps: &mut [ReadyStep]) {
        if now.mono.since(self.overload.selected_at) >= SELECT_INTERVAL {
            self.overload.selected_at = now.mono;
            self.update_selection(now);
        }
        for step in steps {
            let name = (step.name.job, step.name.occurrence);
            let Some(&work) = self.overload.deferred.get(&name) else {
                continue;
            };
            let (_, outlook, _, order) = &mut step.sort_key;
            *outlook = (*outlook).max(DeadlineOutlook::Deferred);
            *order = work as i64;
            if self.overload.busy.contains(&step.record.terms.service) {
                step.unconditional = 0;
            }
        }
    }

    fn update_selection(&mut self, now: ClockReading) {
        let rooms = self.rooms_by_service(now.mono);
        self.overload.observe(now.mono, &rooms);
        let busy = rooms.iter().filter(|(_, room)| room.is_busy());
        self.overload.busy = busy.map(|(service, _)| service.clone()).collect();
        self.update_deferred(now, &rooms);
    }

    fn rooms_by_service(&self, now: MonoTime) -> BTreeMap<Box<str>, ServiceRoom> {
        let mut rooms = BTreeMap::<Box<str>, ServiceRoom>::new();
        for view in self.hosts.values() {
            let Some(worker) = &view.worker else {
                continue;
            };
            let load = HostLoad::of(&view.runs);
            let room = rooms.entry(worker.service.clone()).or_default();
            room.cpu += f64::from(worker.cpu);
            room.reserved += f64::from(load.cpu);
            room.memory += f64::from(worker.memory);
            room.memory_used += f64::from(load.memory);
        }
        for candidate in self.candidates(now) {
            let room = rooms.entry(candidate.worker.service.clone()).or_default();
            let cpu = f64::from(candidate.worker.cpu);
            room.best_effort += candidate.best_effort_room();
            let usage = candidate.view.last_sample.1.usage.values();
            room.best_effort_used += usage.sum::<f64>() * cpu;
            room.others += cpu - f64::from(candidate.load.long_running_cpu);
        }
        rooms
    }

    /// Selects the jobs that can end on time together; all others are deferred.
    fn update_deferred(&mut self, now: ClockReading, rooms: &BTreeMap<Box<str>, ServiceRoom>) {
        let mut competing = BTreeMap::<RoomName, CompetingJobs>::new();
        let mut deferred = BTreeMap::new();
        for (&job, state) in &self.ledger.jobs {
            let Some(record) = state.record.as_ref().filter(|_| !state.phase.is_final()) else {
                continue;
            };
            for (&number, occurrence) in &state.occurrences {
                let Some((demand, path_ms)) = job_demand(now, number, record, occurrence) else {
                    continue;
                };
                if demand.due_in_ms < path_ms {
                    deferred.insert((job, number), demand.work);
                    continue;
                }
                let name = (record.terms.service.clone(), record.body.is_best_effort());
                let jobs = competing.entry(name).or_default();
                jobs.names.push((job, number));
                jobs.demands.push(demand);
            }
        }
        for ((service, best_effort), jobs) in competing {
            let room = rooms.get(&service).copied().unwrap_or_default();
            let millicores = match best_effort {
                true => room.best_effort * self.overload.best_effort_share(&service),
                false => room.others,
            };
            let cores = millicores / 1000.0;
            let selected = select_on_time(&jobs.demands, cores);
            let rows = jobs.names.into_iter().zip(&jobs.demands).zip(selected);
            for ((name, demand), _) in rows.filter(|(_, selected)| !selected) {
                if !self.overload.deferred.contains_key(&name) {
                    let detail = format!(
                        "work_ms={:.0} due_in_ms={} cores={cores:.1}",
                        demand.work, demand.due_in_ms
                    );
                    self.effects
                        .push(Effect::log("job_deferred", name.0, detail));
                    self.effects.push(Effect::Count("job_deferred"));
                }
                deferred.insert(name, demand.work);
            }
        }
        self.overload.deferred = deferred;
    }
}

/// Returns what an occurrence of a job needs to end on time, and the estimated duration of its
/// remaining critical path in milliseconds. `None` if it has no end, or no work is left.
fn job_demand(
    now: ClockReading,
    number: u32,
    record: &JobRecord,
    occurrence: &OccurrenceState,
) -> Option<(JobDemand, i64)> {
    let mut work = 0.0;
    let mut path_ms = 0;
    for (index, (spec, tasks)) in record.body.steps.iter().zip(&occurrence.steps).enumerate() {
        if spec.long_running {
            return None;
        }
        work += tasks.iter().map(work_left).sum::<f64>() * spec.task_work();
        if tasks.iter().any(TaskState::is_waiting) {
            path_ms = path_ms.max(record.body.remaining_path_ms(index) as i64);
        }
    }
    let demand = JobDemand {
        work,
        due_in_ms: saturating_signed(record.deadline_ms(number))
            .saturating_sub(saturating_signed(now.wall.0)),
        total_work: record.body.work(),
        priority: record.terms.priority,
        started: occurrence.is_started(),
    };
    (work > 0.0).then_some((demand, path_ms))
}

/// Returns the part of a task's work that is left.
fn work_left(task: &TaskState) -> f64 {
    match task {
        _ if task.done => 0.0,
        _ if task.is_waiting() => 1.0,
        _ => RUNNING_WORK_LEFT,
    }
}
