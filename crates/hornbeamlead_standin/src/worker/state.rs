//! State of a worker and its endpoint.

use super::control::{WorkerControl, WorkerSettings};
use super::history::{EndpointRuns, TaskEvent, TaskEventKind, WorkerHistory};
use super::tasks::{TaskRun, attempt_key};
use super::usage::UsageRing;
use hornbeamlead_platform::worker_wire::{
    ALREADY_SEEN_REASON, AttemptCall, AttemptWire, RenewCall, ReportAnswer, SizeWire, StartCall,
    StopCall, ThrottleCall,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Reason of a worker for refusing a call; the call had no effect.
pub(crate) type Refusal = &'static str;

/// Job, index and number of an attempt.
type AttemptKey = (Box<str>, u32, u32);

/// Monotonic clock in microseconds since the Unix epoch.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkerClock {
    origin: Instant,
    origin_us: u64,
}

impl WorkerClock {
    fn new() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            origin: Instant::now(),
            origin_us: whole_micros(since_epoch.unwrap_or_default()),
        }
    }

    /// Returns the time in microseconds since the Unix epoch.
    pub(crate) fn now_us(self) -> u64 {
        self.origin_us + whole_micros(self.origin.elapsed())
    }
}

/// State of a worker and its endpoint.
#[derive(Debug)]
pub(crate) struct WorkerState {
    pub(crate) settings: WorkerSettings,
    pub(crate) control: WorkerControl,
    pub(crate) clock: WorkerClock,
    pub(crate) random: SmallRng,
    pub(crate) runs: EndpointRuns,
    pub(crate) in_flight: u16,
    pub(crate) usage: UsageRing,
    tasks: BTreeMap<AttemptKey, TaskRun>,
    seen: BTreeSet<AttemptKey>,
    events: Vec<TaskEvent>,
    peak_reserved: SizeWire,
}

impl WorkerState {
    /// Creates the state of a worker without tasks.
    pub(crate) fn new(settings: WorkerSettings) -> Self {
        Self {
            control: settings.control.clone(),
            clock: WorkerClock::new(),
            random: SmallRng::seed_from_u64(settings.seed),
            settings,
            runs: EndpointRuns::default(),
            in_flight: 0,
            usage: UsageRing::default(),
            tasks: BTreeMap::new(),
            seen: BTreeSet::new(),
            events: Vec::new(),
            peak_reserved: SizeWire::default(),
        }
    }

    /// Advances the simulation of all tasks to the current time, which it returns.
    pub(crate) fn advance(&mut self) -> u64 {
        let now_us = self.clock.now_us();
        for task in self.tasks.values_mut() {
            task.advance(now_us, &mut self.events);
        }
        now_us
    }

    /// Starts an attempt, unless it is a duplicate, late or does not fit.
    ///
    /// The durations of the call count from `counted_from_us`.
    pub(crate) fn start(
        &mut self,
        mut call: StartCall,
        counted_from_us: u64,
    ) -> Result<(), Refusal> {
        let now_us = self.advance();
        let age_ms = now_us.saturating_sub(counted_from_us).div_ceil(1_000);
        call.lease_ms = call.lease_ms.saturating_sub(age_ms);
        call.start_within_ms = call.start_within_ms.saturating_sub(age_ms);
        let key = attempt_key(&call.attempt);
        if self.seen.contains(&key) {
            return Err(self.refuse(call, TaskEventKind::DuplicateRefused, ALREADY_SEEN_REASON));
        }
        if call.start_within_ms == 0 || call.lease_ms == 0 {
            return Err(self.refuse(call, TaskEventKind::LateRefused, "start_too_late"));
        }
        let reserved = add(self.reserved(), call.size);
        if !fits(reserved, self.task_capacity()) {
            return Err(self.refuse(call, TaskEventKind::OvercommitRefused, "no_room"));
        }
        self.peak_reserved = max_of(self.peak_reserved, reserved);
        let task = TaskRun::start(call, &self.control, now_us);
        self.events.push(task.event(TaskEventKind::Started, now_us));
        self.seen.insert(key.clone());
        self.tasks.insert(key, task);
        Ok(())
    }

    /// Renews the leases of running attempts; other attempts are ignored.
    ///
    /// The duration of the lease counts from `counted_from_us`, or from now if that is earlier.
    pub(crate) fn renew(&mut self, call: &RenewCall, counted_from_us: u64) {
        let now_us = self.advance();
        let from_us = now_us.min(counted_from_us);
        let until_us = from_us.saturating_add(call.lease_ms.saturating_mul(1_000));
        for attempt in &call.attempts {
            if let Ok(task) = self.running(attempt) {
                task.renew(until_us);
            }
        }
    }

    /// Writes a checkpoint of a running attempt.
    pub(crate) fn checkpoint(&mut self, call: &AttemptCall) -> Result<(), Refusal> {
        let now_us = self.advance();
        let mut events = Vec::new();
        self.running(&call.attempt)?
            .write_checkpoint(now_us, &mut events);
        self.events.append(&mut events);
        Ok(())
    }

    /// Sets the maximum speed of a running attempt.
    pub(crate) fn throttle(&mut self, call: &ThrottleCall) -> Result<(), Refusal> {
        self.advance();
        self.running(&call.attempt)?.throttle(call.speed_percent);
        Ok(())
    }

    /// Stops a running attempt, after writing a checkpoint if the call requests one.
    pub(crate) fn stop(&mut self, call: &StopCall) -> Result<(), Refusal> {
        let now_us = self.advance();
        let mut events = Vec::new();
        let task = self.running(&call.attempt)?;
        if call.checkpoint {
            task.write_checkpoint(now_us, &mut events);
        }
        task.stop(now_us, &mut events);
        self.events.append(&mut events);
        Ok(())
    }

    /// Removes an ended attempt from reports; a further start of it is still refused.
    pub(crate) fn forget(&mut self, call: &AttemptCall) -> Result<(), Refusal> {
        self.advance();
        if self.running(&call.attempt).is_ok() {
            return Err("running");
        }
        self.tasks.remove(&attempt_key(&call.attempt));
        Ok(())
    }

    /// Returns the status of all attempts, with lagging usage and latency.
    pub(crate) fn report(&mut self) -> ReportAnswer {
        let now_us = self.advance();
        let lag_us = self.control.usage_lag_ms.saturating_mul(1_000);
        let lagging = self.usage.read(now_us.saturating_sub(lag_us));
        let statuses = self
            .tasks
            .iter()
            .map(|(key, task)| task.status(lagging.usage.get(key).copied()));
        ReportAnswer {
            tasks: statuses.collect(),
            service_p99_us: lagging.service_p99_us,
            usage_age_ms: now_us.saturating_sub(lagging.at_us) / 1_000,
        }
    }

    /// Samples the resource usage of the running tasks.
    pub(crate) fn sample_usage(&mut self) {
        let now_us = self.advance();
        let control = &self.control;
        let running = self.tasks.iter().filter(|(_, task)| task.is_running());
        let usage = running.map(|(key, task)| (key.clone(), actual_usage(task, control)));
        let usage = usage.collect();
        self.usage.push(now_us, usage);
    }

    /// Returns the service time of requests in percent of that on an idle host.
    pub(crate) fn service_time_percent(&mut self) -> u64 {
        self.advance();
        let running = self.tasks.values().filter(|task| task.is_running());
        let slowdowns = running.map(|task| {
            let slowdown = self.control.kind(task.kind()).slowdown_percent;
            slowdown * u64::from(task.speed_percent()) / 100
        });
        100 + slowdowns.sum::<u64>()
    }

    /// Returns all events up to now.
    pub(crate) fn read_history(&mut self) -> WorkerHistory {
        self.advance();
        WorkerHistory {
            events: self.events.clone(),
            peak_reserved: self.peak_reserved,
        }
    }

    /// Removes all attempts and records the running ones as killed.
    pub(crate) fn kill_tasks(&mut self) {
        let now_us = self.advance();
        let running = self.tasks.values().filter(|task| task.is_running());
        let killed = running.map(|task| task.event(TaskEventKind::Killed, now_us));
        self.events.extend(killed);
        self.tasks.clear();
    }

    fn running(&mut self, attempt: &AttemptWire) -> Result<&mut TaskRun, Refusal> {
        match self.tasks.get_mut(&attempt_key(attempt)) {
            Some(task) if task.is_running() => Ok(task),
            Some(_) => Err("not_running"),
            None => Err("unknown_attempt"),
        }
    }

    fn refuse(&mut self, call: StartCall, event: TaskEventKind, refusal: Refusal) -> Refusal {
        let now_us = self.clock.now_us();
        let never_started = TaskRun::start(call, &self.control, now_us);
        self.events.push(never_started.event(event, now_us));
        refusal
    }

    fn reserved(&self) -> SizeWire {
        let running = self.tasks.values().filter(|task| task.is_running());
        running.map(TaskRun::size).fold(SizeWire::default(), add)
    }

    fn task_capacity(&self) -> SizeWire {
        let (all, reserve) = (self.settings.capacity, self.settings.service_reserve);
        SizeWire {
            cpu_millis: all.cpu_millis.saturating_sub(reserve.cpu_millis),
            memory_mebibytes: all
                .memory_mebibytes
                .saturating_sub(reserve.memory_mebibytes),
            accelerators: all.accelerators.saturating_sub(reserve.accelerators),
        }
    }
}

fn actual_usage(task: &TaskRun, control: &WorkerControl) -> SizeWire {
    let size = task.size();
    let percent = control.kind(task.kind()).usage_percent;
    let share = |amount: u32, percent: u64| {
        u32::try_from(u64::from(amount) * percent / 100).unwrap_or(u32::MAX)
    };
    let cpu_percent = percent * u64::from(task.speed_percent()) / 100;
    SizeWire {
        cpu_millis: share(size.cpu_millis, cpu_percent),
        memory_mebibytes: share(size.memory_mebibytes, percent),
        accelerators: size.accelerators,
    }
}

fn add(one: SizeWire, other: SizeWire) -> SizeWire {
    SizeWire {
        cpu_millis: one.cpu_millis.saturating_add(other.cpu_millis),
        memory_mebibytes: one.memory_mebibytes.saturating_add(other.memory_mebibytes),
        accelerators: one.accelerators.saturating_add(other.accelerators),
    }
}

fn max_of(one: SizeWire, other: SizeWire) -> SizeWire {
    SizeWire {
        cpu_millis: one.cpu_millis.max(other.cpu_millis),
        memory_mebibytes: one.memory_mebibytes.max(other.memory_mebibytes),
        accelerators: one.accelerators.max(other.accelerators),
    }
}

fn fits(size: SizeWire, task_capacity: SizeWire) -> bool {
    size.cpu_millis <= task_capacity.cpu_millis
        && size.memory_mebibytes <= task_capacity.memory_mebibytes
        && size.accelerators <= task_capacity.accelerators
}

fn whole_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
