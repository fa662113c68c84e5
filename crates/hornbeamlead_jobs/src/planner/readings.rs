//! Feeds workers' usage and latency readings to the interference model, and sends the resulting
//! traits to agents, which throttle best-effort tasks by them.

use super::PlannerMachine;
use super::hosts::HostView;
use super::interference::{FULL_THROTTLE_COEFFICIENT, InterferenceSample};
use super::placement::{Candidate, HostInterference, ImageId, TaskDemand};
use super::rebalance::SLOW_RATE;
use super::run_times::RunWork;
use crate::effect::{Effect, LinkId};
use crate::ids::{HostName, RunName};
use crate::job::{RunEnd, StepSpec};
use crate::message::{HostReport, PlannerMessage, RunTraits};
use crate::operators::OperatorFormat;
use crate::worker::RunningRow;
use hornbeamlead_core::clock::MonoTime;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// Least time between two samples of a host. Each reading covers half a second.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

/// Logarithm of latency over target above which an agent gets updated traits, by which it throttles
/// interfering tasks.
const THROTTLE_LOG_LATENCY: f64 = -0.25;

/// Change of an interference coefficient from which an agent gets updated traits.
const SENT_COEFFICIENT_STEP: f64 = 0.5;

impl<F: OperatorFormat> PlannerMachine<F> {
    /// Learns run times from the progress of a running attempt that is placed on the host.
    pub(super) fn learn_progress(&mut self, now: MonoTime, row: &RunningRow) {
        let Some((job, task)) = self.ledger.task(row.run.task) else {
            return;
        };
        let spec = job
            .spec(row.run.task.step)
            .filter(|spec| !spec.long_running);
        let (Some(spec), Some(run_view)) = (spec, self.runs.get_mut(&row.run)) else {
            return;
        };
        let rate = run_view.cpu_rate;
        let new = || RunWork::new(now, row.percent, task.saved.is_some());
        let work = run_view.work.get_or_insert_with(new);
        work.advance(now, rate, row.percent);
        if let Some(whole_ms) = work.projected_ms() {
            self.run_times.observe_progress(row.run, spec, whole_ms);
        }
    }

    /// Learns the run time of a task, and the speed of its host, from the end of its attempt.
    pub(super) fn learn_end(&mut self, now: MonoTime, run: RunName, host: &HostName, end: RunEnd) {
        self.run_times.remove_run(run);
        let run_view = self.runs.get(&run);
        let work = run_view.and_then(|run_view| Some((run_view.work?, run_view.cpu_rate)));
        let (Some((mut work, rate)), Some((job, _))) = (work, self.ledger.task(run.task)) else {
            return;
        };
        let spec = job.spec(run.task.step);
        if let (RunEnd::Done, Some(spec)) = (end, spec) {
            work.advance(now, rate, 100);
            self.run_times.finish(run, &job.queue, spec, &work);
        }
        let median_ms = self.run_times.median_ms(run.task.step);
        let ratio = median_ms.and_then(|median_ms| Some(work.projected_ms()? / median_ms));
        let slow = ratio.and_then(|ratio| self.host_speeds.observe(now, host, ratio));
        if let Some(median) = slow {
            self.log("host_slow", host, format!("run_time_ratio={median:.2}"));
            self.effects.push(Effect::Count("host_slow"));
        }
    }

    /// Takes an interference sample from a host's report and learns from it.
    pub(super) fn learn_interference(
        &mut self,
        now: MonoTime,
        host: &HostName,
        report: &HostReport,
    ) {
        let Some(view) = self.hosts.get_mut(host) else {
            return;
        };
        if now.since(view.last_sample.0) < SAMPLE_INTERVAL {
            return;
        }
        let capacity = report.worker.as_ref().map_or(1, |worker| worker.cpu.max(1));
        let mut sample = InterferenceSample::default();
        let (mut used, mut requested) = (0.0, 0.0);
        for row in &report.running {
            let Some(demand) = view.runs.get(&row.run) else {
                continue;
            };
            let value = f64::from(row.reading);
            match demand.target_ms {
                0 if demand.best_effort => {
                    let share = value / f64::from(capacity);
                    *sample.usage.entry(demand.image).or_default() += share;
                    used += value;
                    requested += f64::from(demand.cpu);
                    if let Some(run_view) = self.runs.get_mut(&row.run) {
                        run_view.cpu_rate = value / f64::from(demand.cpu.max(1));
                        let slow = run_view.cpu_rate < SLOW_RATE;
                        run_view.slow_since = slow.then(|| run_view.slow_since.unwrap_or(now));
                    }
                }
                // A reading of 0 means that the task has not served a request yet.
                target if target > 0 && row.reading > 0 => {
                    let log_latency = (value / f64::from(target)).ln();
                    sample.serving.insert(row.run, (demand.image, log_latency));
                }
                _ => {}
            }
        }
        view.best_effort_rate = if requested > 0.0 {
            used / requested
        } else {
            1.0
        };
        view.log_latencies = sample.log_latencies();
        let consecutive = now.since(view.last_sample.0) < SAMPLE_INTERVAL * 3;
        let before = std::mem::replace(&mut view.last_sample, (now, sample));
        if consecutive {
            self.interference.learn(&before.1, &view.last_sample.1);
        }
        let near_target = view
            .slowest_serving()
            .is_some_and(|(_, log_latency)| log_latency > THROTTLE_LOG_LATENCY);
        let link = view.link;
        self.learn_levels(now, host);
        let changed = self.update_expectations(host);
        if let Some(link) = link.filter(|_| near_target || changed) {
            self.send_traits(link, host);
        }
    }

    /// Updates the levels of a host's serving steps from its latest sample.
    fn learn_levels(&mut self, now: MonoTime, host: &HostName) {
        let Some(view) = self.hosts.get(host) else {
            return;
        };
        let sample = &view.last_sample.1;
        for (run, &(image, log_latency)) in &sample.serving {
            let rise = self.interference.rise(image, &sample.usage);
            let step = run.task.step;
            self.serving_levels
                .observe(now, step, host, log_latency - rise);
        }
    }

    /// Recalculates the latencies to expect on a host. Returns whether the interference
    /// coefficients there have changed since the agent got them.
    fn update_expectations(&mut self, host: &HostName) -> bool {
        let Some(view) = self.hosts.get_mut(host) else {
            return false;
        };
        let capacity = view.worker.as_ref().map_or(1, |worker| worker.cpu.max(1));
        let mut requested = BTreeMap::<ImageId, f64>::new();
        for demand in view.runs.values().filter(|demand| demand.best_effort) {
            let share = f64::from(demand.cpu) / f64::from(capacity);
            *requested.entry(demand.image).or_default() += share;
        }
        let mut expected = BTreeMap::<ImageId, f64>::new();
        for (run, demand) in view.runs.iter().filter(|(_, demand)| demand.target_ms > 0) {
            if let Some(level) = self.serving_levels.expected(run.task.step) {
                let highest = expected.entry(demand.image).or_insert(level);
                *highest = highest.max(level);
            }
        }
        let mut hasher = DefaultHasher::new();
        for (&image, log_latency) in &mut expected {
            *log_latency += self.interference.rise(image, &requested);
            for &best_effort in requested.keys() {
                let coefficient = self.interference.coefficient(image, best_effort);
                let rounded = (coefficient / SENT_COEFFICIENT_STEP).round() as u64;
                (image, best_effort, rounded).hash(&mut hasher);
            }
        }
        view.expected_latencies = expected;
        let digest = hasher.finish();
        let changed = digest != view.sent_coefficients && !requested.is_empty();
        if changed {
            view.sent_coefficients = digest;
        }
        changed
    }

    pub(super) fn send_traits(&mut self, link: LinkId, host: &HostName) {
        let traits = |run: RunName| {
            let (job, _) = self.ledger.task(run.task)?;
            let spec = job.spec(run.task.step)?;
            Some((run, self.traits_of(spec, host)))
        };
        let rows: Vec<_> = self.runs_on(host).into_iter().filter_map(traits).collect();
        if !rows.is_empty() {
            let message = PlannerMessage::Traits(rows);
            self.effects.push(Effect::ToAgent { link, message });
        }
    }

    /// Returns the traits by which an agent handles the attempts of a step on its host.
    pub(super) fn traits_of(&self, spec: &StepSpec, host: &HostName) -> RunTraits {
        let view = self.hosts.get(host);
        let image = ImageId::from(&*spec.image);
        // Throttling a task that does not slow down the slowest serving image gains nothing.
        let coefficient = match view.and_then(HostView::slowest_serving) {
            Some((slowest, _)) => self.interference.coefficient(slowest, image),
            None => {
                let serving = view.map(HostView::serving).unwrap_or_default();
                self.interference.max_coefficient(&serving, image)
            }
        };
        RunTraits {
            target_ms: if spec.long_running { spec.target_ms } else { 0 },
            best_effort: spec.best_effort,
            long_running: spec.long_running,
            interference_percent: (coefficient / FULL_THROTTLE_COEFFICIENT * 100.0)
                .clamp(0.0, 200.0) as u8,
            cpu: spec.cpu,
            image: image.short(),
            coefficients: match (spec.best_effort, view) {
                (true, Some(view)) => self.coefficients_on(view, image),
                _ => Box::default(),
            },
        }
    }

    fn coefficients_on(&self, view: &HostView, best_effort: ImageId) -> Box<[(u32, u8)]> {
        let serving = view.runs.values().filter(|demand| demand.target_ms > 0);
        let images: BTreeSet<ImageId> = serving.map(|demand| demand.image).collect();
        let row = |image: ImageId| {
            let tenths = self.interference.coefficient(image, best_effort) * 10.0;
            (image.short(), tenths.round() as u8)
        };
        images.into_iter().map(row).collect()
    }

    /// Returns how much a task would slow down the serving tasks of a worker.
    pub(super) fn interference_on(
        &self,
        candidate: &Candidate<'_>,
        demand: &TaskDemand,
    ) -> HostInterference {
        let (model, serving) = (&self.interference, &candidate.serving);
        match demand {
            _ if demand.best_effort => HostInterference::new(model, serving, demand.image),
            _ if demand.target_ms > 0 => {
                HostInterference::of_serving(model, &self.policy.placement, serving, demand.image)
            }
            _ => HostInterference::default(),
        }
    }
}
