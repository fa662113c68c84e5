//! Defers jobs while there is too little room for all of them to end on time.
//!
//! Jobs compete for the room of their service; best-effort tasks and all others use different parts
//! of it. What best-effort tasks can get is not known from the workers' capacity, because it
//! depends on the serving tasks beside them, so it is learned from the CPU that they use while more
//! of them wait.

use super::PlannerMachine;
use super::ready::saturating_signed;
use super::service_order::{JobDemand, select_on_time};
use super::work_queue::OccurrenceName;
use crate::effect::Effect;
use crate::operators::OperatorFormat;
use hornbeamlead_core::clock::{ClockReading, MonoTime};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Interval between two observations of the CPU that best-effort tasks use; as long as that of the
/// workers' readings.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(500);

/// Least time between two selections, each of which looks at all hosts and many jobs.
const SELECT_INTERVAL: Duration = Duration::from_millis(50);

/// Share of the room that best-effort tasks are assumed to get before one was observed.
const FIRST_SHARE: f64 = 0.55;

/// Lowest and highest share that is believed.
const SHARE_RANGE: (f64, f64) = (0.2, 1.0);

/// Weight of a new observation.
const SHARE_WEIGHT: f64 = 0.15;

/// Most occurrences that compete, those with the earliest deadlines. Later ones are served by their
/// deadlines.
const MAX_COMPETITORS: usize = 1024;

/// Shares of CPU that is reserved, and of memory that is in use, from which a service counts as
/// busy. Below one half, a job with nothing running has to be given room.
const BUSY_SHARES: (f64, f64) = (0.6, 0.55);

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
    /// Occurrences that were left out of those that can end on time together.
    pub(super) left_out: BTreeSet<OccurrenceName>,
}

impl Default for OverloadState {
    fn default() -> Self {
        Self {
            best_effort_shares: BTreeMap::new(),
            short_of_room: BTreeSet::new(),
            observed_at: MonoTime(0),
            selected_at: MonoTime(0),
            busy: BTreeSet::new(),
            left_out: BTreeSet::new(),
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

    /// Returns whether a service uses more than half of its capacity.
    pub(super) fn is_busy(&self, service: &str) -> bool {
        self.busy.contains(service)
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
    /// CPU that is neither reserved for long-running tasks nor used by the backlog of late schedules.
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
    /// Selects the jobs that are served by their deadlines, if that is due. Returns whether it was.
    pub(super) fn select_by_value(&mut self, now: ClockReading) -> bool {
        let is_due = now.mono.since(self.overload.selected_at) >= SELECT_INTERVAL;
        if is_due {
            self.overload.selected_at = now.mono;
            self.update_selection(now);
        }
        is_due
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
            let load = view.runs.load();
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
            let backlog = candidate.view.runs.overdue().cpu as f64;
            room.others += cpu - f64::from(candidate.load.long_running_cpu) - backlog;
        }
        rooms
    }

    /// Selects the jobs that can end on time together; all others are deferred.
    fn update_deferred(&mut self, now: ClockReading, rooms: &BTreeMap<Box<str>, ServiceRoom>) {
        let now_ms = saturating_signed(now.wall.0);
        let mut competing = BTreeMap::<RoomName, CompetingJobs>::new();
        for competitor in self.work.competitors().take(MAX_COMPETITORS) {
            let plan = competitor.plan;
            let name = (plan.record.terms.service.clone(), plan.best_effort);
            let jobs = competing.entry(name).or_default();
            jobs.names.push(competitor.name);
            jobs.demands.push(JobDemand {
                work: competitor.work,
                due_in_ms: competitor.deadline_ms.saturating_sub(now_ms),
                total_work: plan.total_work,
                priority: plan.record.terms.priority,
                started: competitor.is_started,
            });
        }
        let mut left_out = BTreeSet::new();
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
                if !self.overload.left_out.contains(&name) {
                    let detail = format!(
                        "work_ms={:.0} due_in_ms={} cores={cores:.1}",
                        demand.work, demand.due_in_ms
                    );
                    self.effects
                        .push(Effect::log("job_deferred", name.0, detail));
                    self.effects.push(Effect::Count("job_deferred"));
                }
                left_out.insert(name);
            }
        }
        for &(job, occurrence) in left_out.symmetric_difference(&self.overload.left_out) {
            self.work.rank_again(job, occurrence);
        }
        self.overload.left_out = left_out;
    }
}
