//! Run times and readings of the emulated tasks, the configuration and the policy of planners.

use super::*;

/// Attempts of a task unless a test sets fewer.
pub(super) const MAX_ATTEMPTS: u16 = 20;

/// Latency of serving tasks as a fraction of their target.
const SERVING_LEVEL: f64 = 0.4;

/// Multiple of the usual run time that a straggler takes.
const STRAGGLER_FACTOR: u64 = 7;

/// Time after which a worker that fails all attempts ends one, in milliseconds.
const FAILING_MS: u64 = 200;

/// Multiple of the usual run time that tasks take on a slow host.
const SLOW_HOST_FACTOR: u64 = 3;

/// Time for which members of a gang wait for the others, in milliseconds.
const GANG_MS: u64 = 3000;

/// Run time of an attempt that makes no progress, in milliseconds.
const HANG_MS: u64 = 1 << 32;

impl World {
    /// Returns the run of an attempt that a call starts now.
    pub(super) fn planned_run(&mut self, now: u64, host: usize, call: &WorkerCall) -> EmulatedRun {
        let fails_all = self.now < self.hosts[host].worker_fails_until;
        let fails = self.random.random::<f64>() < self.faults.fail || fails_all;
        let random_ms = self.random.random_range(150..1500);
        let best_effort_rate = match self.slow_host {
            Some(slow) if slow == host => 0.2,
            _ => self.best_effort_rate,
        };
        let run = match &call.operation {
            WorkerOperation::Start { run, .. } => *run,
            _ => RunName::default(),
        };
        let step = self.judge.step(run);
        let task_ms = self.task_ms.unwrap_or(random_ms);
        let is_first = run.run.0 == 1;
        let span_ms = match step {
            _ if fails_all => Some(FAILING_MS),
            // The gang never completes, since one member crashes its worker.
            Some(step) if step.gang && self.judge.deadly.is_in(run.task.step) => Some(GANG_MS),
            Some(step) if step.long_running => None,
            Some(step) if step.best_effort => Some(self.best_effort_ms.unwrap_or(random_ms)),
            _ if is_first && self.straggler == Some(run.task.index) => {
                Some(task_ms * STRAGGLER_FACTOR)
            }
            _ if self.slow_tasks_on == Some(host) => Some(task_ms * SLOW_HOST_FACTOR),
            _ => Some(task_ms),
        };
        let alone = step.is_some_and(|step| step.gang && self.judge.deadly.is_in(run.task.step));
        let (span_ms, fails) = match self.failing_host {
            _ if self.hung_host == Some(host) => (Some(HANG_MS), false),
            Some((failing, after_ms)) if failing == host => (Some(after_ms), true),
            _ => (span_ms, fails),
        };
        EmulatedRun {
            done_at: span_ms.map(|span_ms| now + span_ms),
            reading: step.map_or(0, |step| steady_reading(step, best_effort_rate)),
            began: now,
            stop_at: None,
            crash_at: self.judge.deadly.crash_at(now, run),
            end: match (alone, fails) {
                (true, _) => RunEnd::Alone,
                (false, true) => RunEnd::Failed,
                (false, false) => RunEnd::Done,
            },
        }
    }

    /// Ends the other members of a gang one of whose members has crashed its worker.
    pub(super) fn break_gang(&mut self, crashed: RunName) {
        let same = |run: &RunName| run.task.step == crashed.task.step && run.run == crashed.run;
        for host in 0..self.hosts.len() {
            let end = self.worker_clock_ms(host);
            let runs = self.hosts[host].worker.running.iter_mut();
            for (_, state) in runs.filter(|(run, state)| same(run) && state.end == RunEnd::Alone) {
                state.done_at = Some(end);
                state.end = RunEnd::Broken;
            }
        }
    }

    /// Sets the number of attempts of a task for jobs from now on.
    pub(crate) fn set_attempts(&mut self, attempts: u16) {
        let record = NewRecord {
            key: Some("config".into()),
            value: Some(attempts.to_string().into()),
        };
        let (stream, condition) = (StreamName::Operators, AppendCondition::Always);
        self.store.append(self.now, stream, &[record], condition);
    }

    /// Has attempts end in a given time.
    pub(crate) fn end_in(&mut self, span_ms: u64, ending: &[RunName]) {
        for host in 0..self.hosts.len() {
            let end = self.worker_clock_ms(host) + span_ms;
            let runs = self.hosts[host].worker.running.iter_mut();
            for (_, state) in runs.filter(|(run, _)| ending.contains(run)) {
                state.done_at = Some(end);
            }
        }
    }

    /// Returns the running attempts of a task, each with the index of its host.
    pub(crate) fn attempts(&self, task: TaskName) -> Vec<(RunName, usize)> {
        let hosts = self.hosts.iter().enumerate();
        let runs = hosts.flat_map(|(index, host)| {
            let runs = host.worker.running.keys();
            runs.map(move |run| (*run, index))
        });
        runs.filter(|(run, _)| run.task == task).collect()
    }
}

/// Returns the reading of an attempt with constant load: the latency of a long-running task, the
/// processor use of any other.
fn steady_reading(step: &StepSpec, best_effort_rate: f64) -> u32 {
    match step {
        step if step.long_running => (f64::from(step.target_ms) * SERVING_LEVEL) as u32,
        step if step.best_effort => (f64::from(step.cpu) * best_effort_rate) as u32,
        step => step.cpu,
    }
}

pub(super) fn planner_policy(host: usize, incarnation: u64) -> PlannerPolicy {
    PlannerPolicy {
        host: format!("h{host}").into(),
        incarnation,
        address: address(host),
        lease_span: Duration::from_millis(8500),
        placement: PlacementPolicy::default(),
        order: ServiceOrder::default(),
        copies: false,
    }
}

pub(super) fn world_config(attempts: Option<&[u8]>) -> FleetConfig {
    let attempts = attempts.and_then(|text| str::from_utf8(text).ok()?.parse().ok());
    let terms = QueueTerms {
        queue: "h/q/".into(),
        service: "s".into(),
        priority: 0,
        max_attempts: attempts.unwrap_or(MAX_ATTEMPTS),
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
        ..FleetConfig::default()
    }
}
