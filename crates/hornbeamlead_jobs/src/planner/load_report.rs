//! Computes the load report of a heartbeat from the sums of the work that waits and a walk over the
//! hosts.

use super::PlannerMachine;
use super::hosts::HostView;
use super::job_plan::TaskShape;
use super::placement::HostLoad;
use super::waiting_load::ShapeLoad;
use crate::effect::Effect;
use crate::ids::RunName;
use crate::load::{CoreMillis, LoadReport, LoadRow};
use crate::operators::OperatorFormat;
use crate::record::{HeartbeatReports, PlanRecord, encode, encode_heartbeat};
use crate::store::NewRecord;
use crate::worker::WorkerFacts;
use hornbeamlead_core::clock::{MonoTime, WallTime};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time over which the rate of completed work is averaged.
const RATE_WINDOW: Duration = Duration::from_secs(15);

/// Time for which work has to wait, and number of tasks that have to complete meanwhile, before the
/// rate counts: before, it only tells how little there was to do, or how long tasks take.
const MIN_WAIT: Duration = Duration::from_secs(5);
const MIN_COMPLETED: u32 = 10;

/// Least share of the room that is expected to be used, as a divisor. Long tasks complete rarely,
/// and then many at once.
const MIN_SPEED_SHARE: u32 = 2;

/// Share of what serving tasks reserve that best-effort tasks cannot use, as a divisor.
const SERVING_USE: u32 = 2;

/// Time after a takeover for which the room is not known, because hosts connect and report.
pub(super) const CONNECT_TIME: Duration = Duration::from_secs(2);

/// Interval between log lines that state the load.
const LOG_INTERVAL: Duration = Duration::from_secs(2);

/// Most rows in a log line.
const LOGGED_ROWS: usize = 4;

/// Service, and whether the tasks are best-effort.
type LoadClass = (Box<str>, bool);

/// Completed work of a class, while work of the class waits.
#[derive(Clone, Copy, Debug, Default)]
struct ClassRate {
    /// Work that completed since the last report.
    completed: CoreMillis,
    /// Tasks that completed while work waited.
    tasks: u32,
    /// Faded sum of rates in thousandths of a core, and of their weights.
    rate_sum: f64,
    weight_sum: f64,
    /// Since when reports have stated work of the class.
    waiting_since: Option<MonoTime>,
}

impl ClassRate {
    /// Adds what has completed since the last report.
    fn advance(&mut self, elapsed: Duration) {
        let completed = std::mem::take(&mut self.completed).0 as f64;
        let weight = (elapsed.as_secs_f64() / RATE_WINDOW.as_secs_f64()).min(1.0);
        let rate = completed / elapsed.as_secs_f64();
        self.rate_sum += (rate - self.rate_sum) * weight;
        self.weight_sum += (1.0 - self.weight_sum) * weight;
    }

    /// Returns the mean rate, and the rate to expect with the given room.
    fn speed(&mut self, now: MonoTime, room: u32) -> (u32, u32) {
        let since = *self.waiting_since.get_or_insert(now);
        let rate = (self.rate_sum / self.weight_sum.max(f64::EPSILON)) as u32;
        let is_known = now.since(since) >= MIN_WAIT && self.tasks >= MIN_COMPLETED;
        let speed = match is_known {
            true => rate.clamp(room / MIN_SPEED_SHARE, room),
            false => room,
        };
        (rate, speed)
    }
}

/// What is kept from one report to the next.
#[derive(Debug, Default)]
pub(super) struct LoadTracker {
    rates: BTreeMap<LoadClass, ClassRate>,
    /// Time of day of the latest event.
    pub(super) wall: WallTime,
    reported_at: Option<MonoTime>,
    logged_at: Option<MonoTime>,
}

impl LoadTracker {
    /// Averages the rates over the time since the last report; forgets those of classes without
    /// work.
    fn advance(&mut self, now: MonoTime, rows: &[LoadRow]) {
        let elapsed = self.reported_at.map(|at| now.since(at)).unwrap_or_default();
        self.reported_at = Some(now);
        let waits = |class: &LoadClass| {
            rows.iter()
                .any(|row| row.service == class.0 && row.best_effort == class.1)
        };
        self.rates.retain(|class, _| waits(class));
        if !elapsed.is_zero() {
            for rate in self.rates.values_mut() {
                rate.advance(elapsed);
            }
        }
    }
}

/// Reachable workers of a service.
#[derive(Clone, Debug, Default)]
struct ServiceRoom<'a> {
    /// Processor time for tasks that reserve it, in thousandths of a core.
    reserved: u32,
    /// Processor time for best-effort tasks, in thousandths of a core.
    best_effort: u32,
    /// Capacity of the largest workers.
    largest: HostLoad,
    labels: BTreeSet<&'a str>,
}

impl<'a> ServiceRoom<'a> {
    fn add(&mut self, view: &'a HostView, worker: &'a WorkerFacts) {
        let load = view.runs.load();
        let reserved = worker.cpu.saturating_sub(load.long_running_cpu);
        let running = load.cpu.saturating_sub(load.long_running_cpu);
        let used = running + load.long_running_cpu / SERVING_USE;
        self.reserved = self.reserved.saturating_add(reserved);
        let best_effort = worker.cpu.saturating_sub(used);
        self.best_effort = self.best_effort.saturating_add(best_effort);
        self.largest.cpu = self.largest.cpu.max(worker.cpu);
        self.largest.memory = self.largest.memory.max(worker.memory);
        self.largest.accelerators = self.largest.accelerators.max(worker.accelerators);
        self.labels
            .extend(worker.labels.iter().map(|label| &**label));
    }

    /// Returns whether a worker may exist that can run tasks of a shape.
    fn can_run(&self, shape: &TaskShape) -> bool {
        let cpu = if shape.best_effort { 0 } else { shape.cpu };
        let label = shape.label.as_deref();
        cpu <= self.largest.cpu
            && shape.memory <= self.largest.memory
            && shape.accelerators <= self.largest.accelerators
            && label.is_none_or(|label| self.labels.contains(label))
    }
}

impl<F: OperatorFormat> PlannerMachine<F> {
    /// Counts the work of a task that has completed.
    pub(super) fn count_completed(&mut self, run: RunName) {
        let job = self.ledger.jobs.get(&run.task.step.job);
        let record = job.and_then(|job| job.record.as_ref());
        let Some((record, spec)) = record.and_then(|record| {
            let spec = record.step(run.task.step)?;
            Some((record, spec)).filter(|_| !spec.long_running)
        }) else {
            return;
        };
        let class = (record.terms.service.clone(), spec.best_effort);
        let class = self.load.rates.entry(class).or_default();
        class.completed = class.completed.plus(CoreMillis::of_task(spec));
        class.tasks = class.tasks.saturating_add(1);
    }

    /// Encodes records for an append, a heartbeat with its reports.
    pub(super) fn encode_records(
        &mut self,
        now: MonoTime,
        records: &[PlanRecord],
    ) -> Vec<NewRecord> {
        let mut encoded = Vec::with_capacity(records.len());
        for record in records {
            let value = match record {
                PlanRecord::Tick { .. } => {
                    let load = self.load_report(now);
                    let placed = self.placed_report(now);
                    encode_heartbeat(record, &HeartbeatReports { load, placed })
                }
                record => encode(record),
            };
            encoded.push(NewRecord {
                key: None,
                value: Some(value),
            });
        }
        encoded
    }

    /// Returns the report for a heartbeat; `None` until the state is recovered and hosts have had
    /// time to report.
    fn load_report(&mut self, now: MonoTime) -> Option<LoadReport> {
        let connected = now.since(self.started_at) >= CONNECT_TIME;
        if self.recovery.is_some() || !connected {
            return None;
        }
        let mut rows = self.waiting_rows(now);
        self.load.advance(now, &rows);
        // Rows are ordered by service, class and priority: each waits for those before it.
        let mut ahead = (LoadClass::default(), 0_u64);
        for row in &mut rows {
            let class = (row.service.clone(), row.best_effort);
            let rate = self.load.rates.entry(class.clone()).or_default();
            (row.rate, row.speed) = rate.speed(now, row.room);
            if ahead.0 != class {
                ahead = (class, 0);
            }
            ahead.1 = ahead.1.saturating_add(row.work.0);
            let wait_ms = ahead.1.saturating_mul(1000) / u64::from(row.speed.max(1));
            row.wait_ms = u32::try_from(wait_ms).unwrap_or(u32::MAX);
        }
        let report = LoadReport::new(rows);
        self.log_load(now, &report);
        Some(report)
    }

    /// Returns rows with the work that has not completed and the room for it, by service, class and
    /// priority.
    fn waiting_rows(&self, now: MonoTime) -> Vec<LoadRow> {
        let rooms = self.service_rooms(now);
        let mut sums = BTreeMap::<(&str, bool, u8), ShapeLoad>::new();
        for (shape, load) in self.work.load().shapes() {
            let room = rooms.get(&*shape.service);
            let is_possible = room.is_some_and(|room| room.can_run(shape));
            if is_possible && load.work.plus(load.late_work).0 > 0 {
                let key = (&*shape.service, shape.best_effort, shape.priority);
                sums.entry(key).or_default().add(load);
            }
        }
        let row = |((service, best_effort, priority), sum): (_, ShapeLoad)| {
            let room = rooms.get(service);
            let rooms = room.map(|room| (room.reserved, room.best_effort));
            let (reserved, best_effort_room) = rooms.unwrap_or_default();
            LoadRow {
                service: Box::from(service),
                priority,
                best_effort,
                jobs: sum.jobs,
                work: sum.work,
                late_work: sum.late_work,
                room: if best_effort {
                    best_effort_room
                } else {
                    reserved
                },
                rate: 0,
                speed: 0,
                wait_ms: 0,
            }
        };
        sums.into_iter().map(row).collect()
    }

    fn service_rooms(&self, now: MonoTime) -> BTreeMap<&str, ServiceRoom<'_>> {
        let mut rooms = BTreeMap::<&str, ServiceRoom<'_>>::new();
        for view in self.hosts.values().filter(|view| view.is_reachable(now)) {
            let usable = |worker: &&WorkerFacts| {
                !worker.draining && !self.operators.is_evacuated(&worker.data_centre)
            };
            if let Some(worker) = view.worker.as_ref().filter(usable) {
                let room = rooms.entry(&worker.service).or_default();
                room.add(view, worker);
            }
        }
        rooms
    }

    fn log_load(&mut self, now: MonoTime, report: &LoadReport) {
        let logged = self.load.logged_at;
        let recent = logged.is_some_and(|at| now.since(at) < LOG_INTERVAL);
        if recent || report.rows.is_empty() {
            return;
        }
        self.load.logged_at = Some(now);
        let mut detail = format!(
            "rows={} longest_wait_ms={} rest_rows={} rest_work={}",
            report.rows.len(),
            report.longest_wait_ms(),
            report.rest_rows,
            report.rest_work
        );
        for row in report.rows.iter().take(LOGGED_ROWS) {
            detail += &format!(
                " service={} priority={} best_effort={} jobs={} work={} late_work={} room={} rate={} \
                 wait_ms={}",
                row.service,
                row.priority,
                row.best_effort,
                row.jobs,
                row.work,
                row.late_work,
                row.room,
                row.rate,
                row.wait_ms
            );
        }
        self.log("load_report", self.epoch, detail);
        self.effects.push(Effect::Count("load_report"));
    }
}
